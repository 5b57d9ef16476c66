# SPDX-License-Identifier: Apache-2.0

"""Forwarding of a runner's answer to the caller: complete, or by events.

A truncated answer never looks complete: a body is sent once all of it has been
received, or, if it is too long to be held, as it comes; and a stream is ended
only where the runner ended it, after a whole event. Where only the end of the
connection marks the end of an answer, more evidence is needed
(`_check_closed`).
"""

import contextlib
import typing

from mountridge.documents import routes
from mountridge import errors
from mountridge.net import dialects, events, lasthop
from mountridge.routing import routedexchanges

__all__ = ['HeldAnswers', 'forward', 'send_answer']

Answer, Exchange = routedexchanges.Answer, routedexchanges.Exchange
#: A longer body is forwarded as it comes, at the pace of its caller: a body
#: that is held takes memory, and one that has begun can't be retried.
READ_AHEAD_BYTES = 256 << 10
#: Size of the parts in which the start of such a body is sent, each of which
#: is copied.
PIECE_BYTES = 64 << 10
#: Answers up to this are held whatever others take.
MIN_HELD_BYTES = 16 << 10
#: Most bytes of longer answers held at once: a quarter of the memory of a
#: small box.
MAX_HELD_BYTES = 48 << 20
#: Longest event of a stream.
MAX_EVENT_BYTES = 1 << 20

Clock = typing.Callable[[], float]
Confirm = typing.Callable[[], typing.Awaitable[None]]


class HeldAnswers:
    """The bytes of answers that a process holds for all of its callers.

    One is held until it is whole and its caller has read it. With many slow
    callers, long answers are forwarded as they come instead.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES):
        self.max_bytes = max_bytes
        self.held_bytes = 0

    @contextlib.contextmanager
    def hold(self) -> typing.Iterator[typing.Callable[[int], bool]]:
        """Count one answer; yield a function that updates its length.

        It returns whether more of that answer may be held.
        """
        counted = 0

        def may_hold(length: int) -> bool:
            nonlocal counted
            self.held_bytes += length - counted
            counted = length
            if length <= MIN_HELD_BYTES:
                return True
            is_room = self.held_bytes <= self.max_bytes
            return is_room and length <= READ_AHEAD_BYTES

        try:
            yield may_hold
        finally:
            self.held_bytes -= counted


async def forward(
    exchange: Exchange,
    reply: lasthop.Reply,
    now_s: Clock,
    after_events: typing.Callable[[], None],
    confirm_end: Confirm,
    held: HeldAnswers,
) -> None:
    """Forward an answer; ``after_events`` may end a stream by raising.

    ``held`` bounds what is held of it. ``confirm_end`` raises if what has been
    received may not be all of it.

    :raises RunnerFailed: the runner failed; its answer is kept in the
        exchange unless a stream has been started.
    :raises BadAnswer: it was truncated, or an event is missing.
    """
    exchange.framing = reply.framing
    if _is_stream(exchange, reply):
        await _forward_stream(
            exchange, reply, now_s, after_events, confirm_end
        )
    else:
        with held.hold() as may_hold:
            await _forward_complete(
                exchange, reply, now_s, confirm_end, may_hold
            )


def _is_stream(exchange: Exchange, reply: lasthop.Reply) -> bool:
    """Return whether an answer consists of events, by its route and type."""
    if exchange.route.kind != routes.STREAMING or reply.head.status >= 300:
        return False
    media_type = dialects.media_type(reply.headers)
    return media_type in (None, events.MEDIA_TYPE)


async def _forward_complete(
    exchange: Exchange,
    reply: lasthop.Reply,
    now_s: Clock,
    confirm_end: Confirm,
    may_hold: typing.Callable[[int], bool],
) -> None:
    status, chunks = reply.head.status, reply.chunks()
    body, is_all = await lasthop.read_ahead(chunks, may_hold)
    if is_all:
        await confirm_end()
    if exchange.responder.started:
        raise errors.RunnerFailed(
            f'the runner answered {status} when the stream was resumed'
        )
    if not is_all:
        if status >= 500:
            raise errors.RunnerFailed(f'the runner answered {status}')
        parts = _with_start(body, chunks, may_hold)
        del body
        await _forward_long(exchange, reply, parts, now_s, confirm_end)
        return
    headers = dialects.reply_headers(reply.headers, False)
    answer = Answer(status, headers, body)
    if status >= 500:
        exchange.error_answer = answer
        raise errors.RunnerFailed(f'the runner answered {status}')
    await send_answer(exchange, answer, now_s())


async def _with_start(
    start: bytes,
    chunks: typing.AsyncIterator[bytes],
    may_hold: typing.Callable[[int], bool],
) -> typing.AsyncIterator[bytes]:
    """Yield the start of a body, which then is not held, and the rest."""
    for first in range(0, len(start), PIECE_BYTES):
        yield start[first : first + PIECE_BYTES]
    del start
    may_hold(0)
    async for chunk in chunks:
        yield chunk


async def _forward_long(
    exchange: Exchange,
    reply: lasthop.Reply,
    parts: typing.AsyncIterator[bytes],
    now_s: Clock,
    confirm_end: Confirm,
) -> None:
    """Forward a body that is too long to be held, as its caller reads it.

    Once the caller has got a part of it, no other runner can be asked.
    """
    responder = exchange.responder
    exchange.is_body_begun = True
    exchange.first_data_s = now_s()
    exchange.status = reply.head.status
    has_length = reply.framing == lasthop.LENGTH
    headers = dialects.reply_headers(reply.headers, has_length)
    await responder.start(reply.head.status, headers)
    async for part in parts:
        await responder.send(part)
    await confirm_end()
    await responder.finish()


async def send_answer(
    exchange: Exchange, answer: Answer, now_s: float
) -> None:
    """Send an answer whose body is complete."""
    exchange.first_data_s = now_s
    exchange.status = answer.status
    await exchange.responder.send_response(*answer)


async def _forward_stream(
    exchange: Exchange,
    reply: lasthop.Reply,
    now_s: Clock,
    after_events: typing.Callable[[], None],
    confirm_end: Confirm,
) -> None:
    """Forward complete events as they arrive, each numbered one once."""
    responder = exchange.responder
    if not responder.started:
        headers = dialects.reply_headers(reply.headers, False)
        exchange.status = reply.head.status
        await responder.start(reply.head.status, headers)
    splitter = events.Splitter()
    async for chunk in reply.chunks():
        new, missing = _take_new(exchange, splitter.feed(chunk))
        count = sum(not event.is_empty for event in new)
        if len(splitter.remainder) > MAX_EVENT_BYTES:
            raise errors.BadAnswer(f'an event over {MAX_EVENT_BYTES} bytes')
        if count:
            exchange.record_events(count, now_s())
        if new:
            await responder.send(b''.join(event.data for event in new))
        if missing is not None:
            raise missing
        if count:
            after_events()
    exchange.partial_event_bytes = len(splitter.remainder)
    rest = splitter.end()
    if reply.framing == lasthop.CLOSE:
        await _check_closed(exchange, splitter.event_count, confirm_end)
    if rest:
        await responder.send(rest)
    await responder.finish()


async def _check_closed(
    exchange: Exchange, event_count: int, confirm_end: Confirm
) -> None:
    """Check that a stream that ended with its connection is complete.

    An empty one and a broken-off one end alike, unless another runner has
    ended after the same numbered event. In each case the runner must not have
    ended with the stream.

    :raises BadAnswer: it may be incomplete.
    """
    last = exchange.last_event_id
    is_end_known = last is not None and last == exchange.closed_after
    exchange.closed_after = last
    if not event_count and not is_end_known:
        raise errors.BadAnswer('the stream ended before its first event')
    await confirm_end()


def _take_new(
    exchange: Exchange, received: list[events.Event]
) -> tuple[list[events.Event], errors.BadAnswer | None]:
    """Return the new events, up to one before which an event is missing."""
    new = []
    for event in received:
        try:
            if _is_new(exchange, event):
                new.append(event)
        except errors.BadAnswer as problem:
            return new, problem
    return new, None


def _is_new(exchange: Exchange, event: events.Event) -> bool:
    """Return whether an event is new to the caller; record its number.

    :raises BadAnswer: an event before it is missing.
    """
    last = exchange.last_event_id
    if event.event_id is None:
        exchange.is_numbered &= event.is_empty
        return True
    if last is not None and event.event_id <= last:
        return False
    if last is not None and event.event_id > last + 1:
        raise errors.BadAnswer(
            f'event {event.event_id} arrived after event {last}'
        )
    exchange.last_event_id = event.event_id
    return True
