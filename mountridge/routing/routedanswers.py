# SPDX-License-Identifier: Apache-2.0

"""A runner's answer on its way to the caller: whole, or event by event.

An answer that was cut never looks whole: a body is given once all of it is
there, a stream ends only where the runner ended it.
"""

import typing

from mountridge.documents import routes
from mountridge import errors
from mountridge.net import dialects, lasthop
from mountridge.routing import events, routedexchanges

__all__ = ['give', 'send_whole']

Answer, Exchange = routedexchanges.Answer, routedexchanges.Exchange
Clock = typing.Callable[[], float]


async def give(
    exchange: Exchange,
    reply: lasthop.Reply,
    now_s: Clock,
    after_events: typing.Callable[[], None],
) -> None:
    """Give an answer; ``after_events`` may end a stream by raising.

    :raises RunnerFailed: the runner failed, and its answer is kept.
    :raises BadAnswer: it was cut, or an event is missing.
    """
    is_stream = exchange.route.kind == routes.STREAMING
    if is_stream and reply.head.status < 300:
        await _give_stream(exchange, reply, now_s, after_events)
    else:
        await _give_whole(exchange, reply, now_s)


async def _give_whole(
    exchange: Exchange, reply: lasthop.Reply, now_s: Clock
) -> None:
    body = await reply.whole()
    status = reply.head.status
    if exchange.responder.started:
        raise errors.RunnerFailed(f'resuming was answered {status}')
    headers = dialects.reply_headers(reply.headers, False)
    answer = Answer(status, headers, body)
    if status >= 500:
        exchange.error_answer = answer
        raise errors.RunnerFailed(f'the runner answered {status}')
    await send_whole(exchange, answer, now_s())


async def send_whole(exchange: Exchange, answer: Answer, now_s: float) -> None:
    """Send an answer whose whole body is there."""
    exchange.first_data_s = now_s
    exchange.status = answer.status
    await exchange.responder.send_whole(*answer)


async def _give_stream(
    exchange: Exchange,
    reply: lasthop.Reply,
    now_s: Clock,
    after_events: typing.Callable[[], None],
) -> None:
    """Pass whole events on as they come, each number once."""
    responder = exchange.responder
    if not responder.started:
        headers = dialects.reply_headers(reply.headers, False)
        exchange.status = reply.head.status
        await responder.start(reply.head.status, headers)
    splitter = events.Splitter()
    async for piece in reply.pieces():
        fresh = [
            event
            for event in splitter.feed(piece)
            if _is_next(exchange, event)
        ]
        if fresh:
            exchange.record_events(len(fresh), now_s())
            await responder.send(b''.join(event.data for event in fresh))
            after_events()
    if splitter.rest:
        await responder.send(splitter.rest)
    await responder.finish()


def _is_next(exchange: Exchange, event: events.Event) -> bool:
    """Return whether an event is new to the caller, and count it.

    :raises BadAnswer: one before it is missing.
    """
    last = exchange.last_event_id
    if event.event_id is None:
        return True
    if last is not None and event.event_id <= last:
        return False
    if last is not None and event.event_id > last + 1:
        raise errors.BadAnswer(f'event {event.event_id} came after {last}')
    exchange.last_event_id = event.event_id
    return True
