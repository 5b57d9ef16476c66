# SPDX-License-Identifier: Apache-2.0

"""The last hop: HTTP/1.1 to runners over kept connections, with h11.

Runners may answer late, twice, early, without a length, or break off. An
answer is tied to its request by the id that it carries back; a connection
that brought anything unexpected is not used again.
"""

import contextlib
import socket
import struct
import typing

import h11
import trio

from mountridge import errors
from mountridge.net import dialects

__all__ = ['Pool', 'Reply']

READ_BYTES = 65536
#: Idle connections kept to one runner by one gateway.
MAX_IDLE = 8
#: A runner on another box of the same region accepts within milliseconds;
#: past this it is cut off or overloaded, and another one is quicker.
CONNECT_S = 0.3
#: Runners close idle connections after a time that they may not tell.
IDLE_S = 4.0
#: Where one tells it, in whole seconds, its connection is not used in this
#: last part of it: a request that crosses its close may or may not have run,
#: so that one that may run once is lost. Above the way to a runner and back.
CLOSE_S = 0.5
#: Bytes that are not acknowledged for this long end the connection, so that
#: a box that is gone without a word is noticed.
USER_TIMEOUT_MS = 2500
#: Addresses whose former runner is remembered: a whole fleet, a few times.
MOST_FORGOTTEN = 2000
#: Answers to earlier requests that may stand before the one awaited.
MAX_SURPLUS = 4

Headers = list[tuple[bytes, bytes]]


class _Connection:
    """One connection to a runner, used by one request at a time."""

    def __init__(self, stream: trio.SocketStream, opened_s: float):
        self.stream = stream
        self.opened_s = opened_s
        self.http = h11.Connection(h11.CLIENT)
        self.idle_since_s = 0.0
        #: For how long it may rest, as far as the runner has told.
        self.idle_s = IDLE_S

    def heard(self, headers: Headers) -> None:
        """Take what an answer tells of its connection."""
        told_s = dialects.kept_s(headers)
        if told_s is not None:
            self.idle_s = min(IDLE_S, told_s - CLOSE_S)

    def is_stale(self, now_s: float) -> bool:
        """Return whether it was closed, rested too long, or has bytes."""
        if now_s - self.idle_since_s > self.idle_s:
            return True
        try:
            self.stream.socket._sock.recv(1)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def reset_on_close(self) -> None:
        """Let the close drop what the runner has not read yet.

        A runner whose box stands still would else begin, seconds later, on
        a request whose caller has left.
        """
        linger = struct.pack('ii', 1, 0)
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def event(self) -> typing.Any:
        """Return the next event of the answer."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.http.receive_data(await self.stream.receive_some(READ_BYTES))


class Reply:
    """A runner's answer: its head, and its body in pieces."""

    def __init__(
        self, connection: _Connection, head: dialects.ReplyHead, headers
    ):
        self._connection = connection
        self.head = head
        self.headers: Headers = headers

    async def pieces(self) -> typing.AsyncIterator[bytes]:
        """Yield the body; returns only at its explicit end.

        :raises BadAnswer: it was cut before its end.
        """
        try:
            while True:
                event = await self._connection.event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return
                else:
                    raise errors.BadAnswer('the connection ended')
        except (h11.RemoteProtocolError, OSError) as problem:
            raise errors.BadAnswer(str(problem))
        except trio.BrokenResourceError as problem:
            raise errors.BadAnswer(str(problem))

    async def whole(self) -> bytes:
        """Return the whole body.

        :raises BadAnswer: it was cut before its end.
        """
        return b''.join([piece async for piece in self.pieces()])


class Pool:
    """Connections to all runners, by address."""

    def __init__(
        self,
        names: dialects.HeaderNames,
        now_s: typing.Callable[[], float],
        connect_s: float = CONNECT_S,
    ):
        self._names = names
        self._connect_s = connect_s
        self._now_s = now_s
        self._idle: dict[str, list[_Connection]] = {}
        #: When a new runner was told of at an address: connections that are
        #: older lead to the former one, and are not kept.
        self._forgotten_s: dict[str, float] = {}

    async def _connect(self, address: str) -> _Connection:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if not connection.is_stale(self._now_s()):
                return connection
            await trio.aclose_forcefully(connection.stream)
        host, _, port = address.rpartition(':')
        opened_s = self._now_s()
        try:
            with trio.fail_after(self._connect_s):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError) as problem:
            raise errors.NoRunner(f'{address} can not be reached: {problem}')
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        return _Connection(stream, opened_s)

    @contextlib.asynccontextmanager
    async def request(
        self,
        address: str,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        request_id: str | None,
        on_send: typing.Callable[[], None] = lambda: None,
    ) -> typing.AsyncIterator[Reply]:
        """Send a request and give its answer once the head has come.

        Answers that carry another id than ``request_id`` are passed over;
        None takes any. ``on_send`` is called when its first bytes leave.

        :raises NoRunner: no connection could be made; nothing was sent.
        :raises OutcomeUnknown: the connection broke before the answer.
        """
        connection = await self._connect(address)
        asked = h11.Request(method=method, target=target, headers=headers)
        try:
            on_send()
            await self._send(connection, asked, body)
            yield await self._reply(connection, asked, body, request_id)
        finally:
            await self._give_back(address, connection)

    async def _send(
        self, connection: _Connection, asked: h11.Request, body: bytes
    ) -> None:
        data = _encode(connection.http, asked, body)
        try:
            await connection.stream.send_all(data)
        except (OSError, trio.BrokenResourceError) as problem:
            # It may still have answered before it stopped reading.
            if not connection.http.trailing_data[0] and not body:
                raise errors.OutcomeUnknown(f'not sent: {problem}')

    async def _reply(
        self,
        connection: _Connection,
        asked: h11.Request,
        body: bytes,
        request_id: str | None,
    ) -> Reply:
        """Return the answer to this request, past those to earlier ones."""
        for _ in range(MAX_SURPLUS):
            status, headers = await self._head(connection)
            head = dialects.read_reply(status, headers, self._names)
            reply = Reply(connection, head, headers)
            if None in (request_id, head.request_id):
                return reply
            if head.request_id == request_id:
                return reply
            await reply.whole()
            _expect_another(connection, asked, body)
        raise errors.OutcomeUnknown('only answers to other requests came')

    async def _head(self, connection: _Connection) -> tuple[int, Headers]:
        try:
            event = await connection.event()
            while isinstance(event, h11.InformationalResponse):
                event = await connection.event()
        except (h11.RemoteProtocolError, OSError) as problem:
            raise errors.OutcomeUnknown(f'no answer: {problem}')
        except trio.BrokenResourceError as problem:
            raise errors.OutcomeUnknown(f'no answer: {problem}')
        if not isinstance(event, h11.Response):
            raise errors.OutcomeUnknown('the runner closed with no answer')
        headers = list(event.headers.raw_items())
        connection.heard(headers)
        return event.status_code, headers

    async def _give_back(self, address: str, connection: _Connection) -> None:
        """Keep a connection for the next request, or close it."""
        http = connection.http
        whole = http.our_state is h11.DONE and http.their_state is h11.DONE
        idle = self._idle.setdefault(address, [])
        forgotten_s = self._forgotten_s.get(address, float('-inf'))
        leads_there = connection.opened_s > forgotten_s
        if (
            whole
            and leads_there
            and not http.trailing_data[0]
            and len(idle) < MAX_IDLE
        ):
            http.start_next_cycle()
            connection.idle_since_s = self._now_s()
            idle.append(connection)
            return
        if not whole:
            connection.reset_on_close()
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(connection.stream)

    async def is_refused(self, address: str) -> bool:
        """Return whether an address refuses connections, at once.

        False where it takes one, and where nothing answers in time: the box
        may be cut off, or stand still.
        """
        host, _, port = address.rpartition(':')
        with trio.move_on_after(self._connect_s):
            with trio.socket.socket() as asked:
                try:
                    await asked.connect((host, int(port)))
                except ConnectionRefusedError:
                    return True
                except OSError:
                    return False
        return False

    async def forget(self, address: str) -> None:
        """Close what is kept to a runner that is gone.

        What is under way there goes on, and is not kept after it.
        """
        while len(self._forgotten_s) >= MOST_FORGOTTEN:
            del self._forgotten_s[next(iter(self._forgotten_s))]
        self._forgotten_s[address] = self._now_s()
        for connection in self._idle.pop(address, []):
            await trio.aclose_forcefully(connection.stream)


def _encode(http: h11.Connection, asked: h11.Request, body: bytes) -> bytes:
    data = http.send(asked)
    if body:
        data += http.send(h11.Data(body))
    return data + http.send(h11.EndOfMessage())


def _expect_another(
    connection: _Connection, asked: h11.Request, body: bytes
) -> None:
    """Read on past an answer that belongs to an earlier request."""
    waiting, _ = connection.http.trailing_data
    connection.http = h11.Connection(h11.CLIENT)
    _encode(connection.http, asked, body)
    if waiting:
        connection.http.receive_data(waiting)
