# SPDX-License-Identifier: Apache-2.0

"""Answers of emulated runners in each framing, whole or broken off."""

import random
import typing

import trio

from mountridge.net import httpserver, lasthop
from tools.soak import links

__all__ = ['Break', 'Drawn', 'FramedResponder', 'draw']

Headers = httpserver.Headers
LENGTH, CHUNKED, CLOSE = lasthop.LENGTH, lasthop.CHUNKED, lasthop.CLOSE
#: The answer as the server frames it, on a connection that is kept.
AS_SERVED = 'as served'
FRAMINGS = (AS_SERVED, LENGTH, CHUNKED, CLOSE)
BEFORE_HEAD, WITHIN_HEAD, AFTER_HEAD = 'before head', 'in head', 'after head'
WITHIN, BETWEEN, AT_END = 'within', 'between events', 'before the end'
PLACES = (BEFORE_HEAD, WITHIN_HEAD, AFTER_HEAD, WITHIN, BETWEEN, AT_END)
#: The answer is whole but for its status, one of those that HTTP lacks.
IN_STATUS = 'in status'
INVALID_STATUSES = (0, 99, 600, 999)
#: In `ENDS_FRAMING` the length or the last chunk is that of the part sent.
CLOSES, RESETS, GOES_SILENT = 'closes', 'resets', 'goes silent'
ENDS_FRAMING, ENDS_PROCESS = 'ends the framing', 'ends its process'
MANNERS = (CLOSES, RESETS, GOES_SILENT, ENDS_FRAMING)
#: Streams are broken off after fewer events than this.
MAX_EVENTS = 8
LAST_CHUNK = b'0\r\n\r\n'
#: Time in which a runner's port is closed before its connections are.
PORT_CLOSED_S = 0.01


class Break(typing.NamedTuple):
    """Where and how an answer is broken off."""

    place: str
    manner: str
    events: int  # that come before it
    status: int = 200


class Drawn(typing.NamedTuple):
    """The framing of an answer, and its break, None if it is whole."""

    framing: str
    broken: Break | None


def draw(
    rng: random.Random,
    broken_share: float,
    is_stream: bool,
    invalid_share: float = 0.0,
) -> Drawn:
    """Draw the framing of one answer, and whether it is broken off.

    ``invalid_share`` is that of answers with an invalid status.
    """
    framing = rng.choice(FRAMINGS)
    if invalid_share and framing != AS_SERVED:
        if rng.random() < invalid_share:
            status = rng.choice(INVALID_STATUSES)
            return Drawn(framing, Break(IN_STATUS, CLOSES, 0, status))
    if framing == AS_SERVED or rng.random() >= broken_share:
        return Drawn(framing, None)
    place, manner = rng.choice(PLACES), rng.choice(MANNERS)
    events = rng.randrange(1, MAX_EVENTS) if is_stream else 0
    if not is_stream and place == BETWEEN:
        place = AT_END
    if manner == ENDS_FRAMING and not (is_stream and place == WITHIN):
        manner = CLOSES
    if framing == CLOSE and manner == CLOSES:
        # Without a length, an answer that closes here looks complete, unless
        # its runner refuses connections.
        is_short_body = not is_stream and place in (AFTER_HEAD, WITHIN)
        if place == BETWEEN or is_short_body:
            manner = ENDS_PROCESS
    return Drawn(framing, Break(place, manner, events))


class FramedResponder:
    """A responder that frames its answer as drawn, and may break it off.

    ``on_end`` is called with the status of an answer that has been sent, and
    None, or with its break.
    ``close_port`` makes the runner refuse connections, since its process is
    about to end; it returns False if that can't be done now.
    """

    def __init__(
        self,
        inner: httpserver.Responder,
        drawn: Drawn,
        on_end: typing.Callable[[int, Break | None], None],
        close_port: typing.Callable[[], bool],
    ):
        self._inner = inner
        self._framing, self._broken = drawn
        self._on_end = on_end
        self._close_port = close_port
        self._status = 0
        self._headers: Headers = []
        #: Pieces of the body that wait until their length is known.
        self._waiting: list[bytes] = []
        self._sent_pieces = 0
        self._has_head = False
        self.started = self.finished = False

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._inner, name)

    async def start(self, status: int, headers: Headers) -> None:
        """Begin an answer; its head is sent with its first piece."""
        self.started = True
        self._status, self._headers = status, headers
        if self._framing == AS_SERVED:
            await self._inner.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a piece of the body: an event of a stream, or a whole body."""
        if self._framing == AS_SERVED:
            await self._inner.send(data)
        elif self._framing == LENGTH:
            self._waiting.append(data)
        else:
            if not self._has_head:
                await self._send_head(self._framing)
            await self._send_piece(data)

    async def finish(self) -> None:
        """Send the end of the body."""
        if self._framing == LENGTH:
            await self._send_head(LENGTH)
            for data in self._waiting:
                await self._send_piece(data)
        elif self._framing != AS_SERVED and not self._has_head:
            # Only with its last chunk is a stream without events complete.
            self._framing = CHUNKED
            await self._send_head(CHUNKED)
        if self._broken is not None:
            is_whole = self._broken.place == IN_STATUS
            is_chunked = self._framing == CHUNKED
            await self._break_off(LAST_CHUNK * (is_whole and is_chunked))
        if self._framing == AS_SERVED:
            await self._inner.finish()
        elif self._framing == CHUNKED:
            await self._inner._stream.send_all(LAST_CHUNK)
        self.finished = True
        self._on_end(self._status, None)

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer."""
        if self._framing == AS_SERVED:
            await self._inner.send_response(status, headers, body)
            self.finished = True
            self._on_end(status, None)
            return
        await self.start(status, headers)
        await self.send(body)
        await self.finish()

    async def _send_head(self, framing: str) -> None:
        is_invalid = self._broken and self._broken.place == IN_STATUS
        status = self._broken.status if is_invalid else self._status
        lines = [b'HTTP/1.1 %03d Answer' % status, b'Connection: close']
        lines += [b'%s: %s' % header for header in self._headers]
        if framing == LENGTH:
            lines.append(b'Content-Length: %d' % self._length())
        elif framing == CHUNKED:
            lines.append(b'Transfer-Encoding: chunked')
        head = b'\r\n'.join(lines) + b'\r\n\r\n'
        ends = {
            BEFORE_HEAD: 0,
            WITHIN_HEAD: len(head) // 2,
            AFTER_HEAD: len(head),
        }
        if self._broken is not None and self._broken.place in ends:
            await self._break_off(head[: ends[self._broken.place]])
        self._has_head = True
        await self._inner._stream.send_all(head)

    def _length(self) -> int:
        broken, pieces = self._broken, self._waiting
        if broken is None or broken.manner != ENDS_FRAMING:
            return sum(len(piece) for piece in pieces)
        halves = [len(x) // 2 for x in pieces[broken.events :][:1]]
        return sum(map(len, pieces[: broken.events])) + sum(halves)

    async def _send_piece(self, data: bytes) -> None:
        is_chunked = self._framing == CHUNKED
        place, manner, events = (self._broken or (None, None, None))[:3]
        framed = _chunk(data) if is_chunked else data
        if place == WITHIN and self._sent_pieces == events:
            half = data[: len(data) // 2]
            if is_chunked and manner == ENDS_FRAMING:
                await self._break_off(_chunk(half) + LAST_CHUNK)
            await self._break_off(framed[: len(framed) // 2])
        await self._inner._stream.send_all(framed)
        self._sent_pieces += 1
        if place == BETWEEN and self._sent_pieces == events:
            await self._break_off(b'')

    async def _break_off(self, last_data: bytes) -> None:
        """Send some more bytes and end the connection, or send no more."""
        stream, manner = self._inner._stream, self._broken.manner
        self._on_end(self._status, self._broken)
        await stream.send_all(last_data)
        if manner == GOES_SILENT:
            await trio.sleep_forever()
        if manner == ENDS_PROCESS and self._close_port():
            await trio.sleep(PORT_CLOSED_S)
        elif manner in (RESETS, ENDS_PROCESS):
            links.reset_stream(stream)
        # The server closes the connection.
        raise trio.ClosedResourceError


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)
