# SPDX-License-Identifier: Apache-2.0

"""The last hop: HTTP/1.1 to runners over persistent connections, with h11.

Runners may answer with a delay, twice, early or without a length, or truncate
an answer. An answer is matched to its request by the request id that it
echoes; a connection that delivered anything unexpected is not reused.
"""

import contextlib
import socket
import struct
import typing

import h11
import trio

from mountridge import errors
from mountridge.net import dialects, turns

__all__ = [
    'BROKEN_CONNECTION', 'CHUNKED', 'CLOSE', 'END_OF_ANSWER', 'LENGTH', 'Pool',
    'Probing', 'Reply', 'read_ahead',
]  # fmt: skip

#: Framings of an answer, by what marks its end: a length in its head, its
#: last chunk, or the end of the connection.
LENGTH, CHUNKED, CLOSE = 'length', 'chunked', 'close'
#: Statuses of final answers in HTTP. The parser rejects lower ones, but takes
#: any three digits above.
FINAL_STATUSES = range(200, 600)
#: Statuses whose answers have no body.
BODILESS_STATUSES = (204, 304)

READ_BYTES = 65536
#: Longest body that is sent in one write with the head of its request.
MAX_COPIED_BYTES = 65536
#: Idle connections kept to one runner by one gateway.
MAX_IDLE = 8
#: A runner on another box of the same region accepts within milliseconds. Past
#: this time to connect, it is unreachable or overloaded, and an attempt at
#: another one is faster.
CONNECT_S = 0.3
#: Connections idle for longer are not reused; runners may close idle ones
#: without having announced a timeout.
IDLE_TIMEOUT_S = 4.0
#: A connection is not used this shortly before the idle timeout that its
#: runner announced, in whole seconds: the outcome of a request that crosses
#: the close is unknown, so it can't be retried unless it is repeatable. Longer
#: than a round trip to a runner.
CLOSE_MARGIN_S = 0.5
#: A connection fails after this time without an acknowledgement of sent data,
#: so that the loss of a box is detected.
USER_TIMEOUT_MS = 2500
#: Addresses whose eviction times are kept: several times a whole fleet.
MAX_EVICTED = 2000
#: Most answers read for one request, including those to earlier requests, and
#: most interim answers before each.
MAX_ANSWERS = 4
#: Most bytes of the body of a skipped answer, and of bodies that are read as a
#: whole by default: far above what any API of a runner answers.
MAX_SKIPPED_BYTES = 1 << 20
MAX_BODY_BYTES = 8 << 20


class Probing(typing.NamedTuple):
    """How to find out by connections whether a process has ended."""

    count: int  # most connections
    #: How long one has to stay open to show that the process runs.
    settle_s: float
    pause_s: float  # after one that was closed


#: After a connection that broke, to find the cause; an overloaded process
#: resets connections too.
BROKEN_CONNECTION = Probing(2, 0.003, 0.0)
#: After an answer that may be whole. A process that ends closes its sockets
#: one after the other, and its listening socket may be the last: with many
#: connections, or on a busy box, that takes some 10 ms.
END_OF_ANSWER = Probing(16, 0.05, 0.005)

Headers = list[tuple[bytes, bytes]]


class _Connection:
    """One connection to a runner, used by one request at a time."""

    def __init__(self, stream: trio.SocketStream, opened_s: float):
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        self.stream = stream
        self.opened_s = opened_s
        self.http = h11.Connection(h11.CLIENT)
        #: Whether a send has failed; a reset is reported to it alone, and is
        #: read as a close from then on.
        self.send_failed = False
        self.idle_since_s = 0.0
        #: For how long it may stay idle.
        self.idle_s = IDLE_TIMEOUT_S
        self._turns = turns.Turns()

    def update_idle_timeout(self, headers: Headers) -> None:
        """Apply the idle timeout that an answer announces."""
        announced_s = dialects.keep_alive_s(headers)
        if announced_s is not None:
            self.idle_s = min(IDLE_TIMEOUT_S, announced_s - CLOSE_MARGIN_S)

    def is_stale(self, now_s: float) -> bool:
        """Return whether it is closed, idle for too long, or has input."""
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
        """Reset the connection on close, dropping data not read yet.

        Otherwise a runner on a suspended box might later start a request
        whose caller has already disconnected.
        """
        linger = struct.pack('ii', 1, 0)
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def next_event(self) -> typing.Any:
        """Return the next event of the answer."""
        while (event := await self.arrived_event()) is h11.NEED_DATA:
            await self.receive()
        return event

    async def arrived_event(self) -> typing.Any:
        """Return the next event that has arrived, NEED_DATA if none has."""
        await self._turns.count_part()
        return self.http.next_event()

    async def receive(self) -> None:
        """Wait for more bytes of the answer, or its end."""
        self.http.receive_data(await self.stream.receive_some(READ_BYTES))


async def read_ahead(
    chunks: typing.AsyncIterator[bytes],
    may_hold: typing.Callable[[int], bool],
) -> tuple[bytes, bool]:
    """Return a body, and whether it is whole.

    Reading stops once no more than the length so far may be held; what follows
    is still to come from ``chunks``.
    """
    parts, length = [], 0
    async for chunk in chunks:
        parts.append(chunk)
        length += len(chunk)
        if not may_hold(length):
            return b''.join(parts), False
    return b''.join(parts), True


class Reply:
    """A runner's answer: its head, and its body in chunks."""

    def __init__(
        self,
        connection: _Connection,
        head: dialects.ReplyHead,
        headers: Headers,
        framing: str,
    ):
        self._connection = connection
        self.head = head
        self.headers: Headers = headers
        #: `LENGTH`, `CHUNKED` or `CLOSE`.
        self.framing = framing

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body; return only at the end that its framing marks.

        What has arrived together is yielded as one, in however small parts it
        was sent. With `CLOSE` the end is that of the connection, which does
        not show that the body is complete.

        :raises BadAnswer: the body was truncated.
        """
        connection = self._connection
        try:
            while True:
                data, event = await self._read_arrived()
                if data:
                    yield data
                if event is h11.NEED_DATA:
                    await connection.receive()
                elif isinstance(event, h11.EndOfMessage):
                    if self.framing == CLOSE and connection.send_failed:
                        raise errors.BadAnswer('the connection was reset')
                    return
                elif isinstance(event, h11.RemoteProtocolError):
                    raise event
                else:
                    raise errors.BadAnswer(
                        'the connection was closed within the answer'
                    )
        except (h11.RemoteProtocolError, OSError) as problem:
            raise errors.BadAnswer(str(problem))
        except trio.BrokenResourceError as problem:
            raise errors.BadAnswer(str(problem))

    async def _read_arrived(self) -> tuple[bytes, typing.Any]:
        """Return the part of the body that has arrived, and what follows it.

        That is an event, NEED_DATA or the error of the parser.
        """
        parts = []
        try:
            while True:
                event = await self._connection.arrived_event()
                if not isinstance(event, h11.Data):
                    return b''.join(parts), event
                parts.append(bytes(event.data))
        except h11.RemoteProtocolError as problem:
            return b''.join(parts), problem

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the complete body.

        :raises BadAnswer: the body was truncated, or is too long.
        """
        body, is_whole = await read_ahead(
            self.chunks(), lambda length: length <= max_bytes
        )
        if not is_whole:
            raise errors.BadAnswer(f'the body is over {max_bytes} bytes')
        return body


class Pool:
    """A pool of connections to runners, by address."""

    def __init__(
        self,
        names: dialects.HeaderNames,
        now_s: typing.Callable[[], float],
        connect_s: float = CONNECT_S,
        are_answers_named: bool = False,
    ):
        self._names = names
        #: Whether each answer names its request, so that one without a name
        #: belongs to no request.
        self._are_answers_named = are_answers_named
        self._connect_s = connect_s
        self._now_s = now_s
        self._idle: dict[str, list[_Connection]] = {}
        #: When an address was evicted, since its runner had ended or been
        #: replaced: connections opened before that are not reused.
        self._evicted_s: dict[str, float] = {}

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
            raise errors.NoRunner(f'could not connect to {address}: {problem}')
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
        """Send a request and yield its answer once the head is received.

        Answers with an id other than ``request_id`` are skipped, and those
        without one where answers are named; if it is None, the first answer
        is used. ``on_send`` is called just before the
        request is sent; if it raises, nothing is sent.

        :raises NoRunner: no connection could be made; nothing was sent.
        :raises OutcomeUnknown: the connection broke before the answer, or
            what came is none.
        """
        connection = await self._connect(address)
        request = h11.Request(method=method, target=target, headers=headers)
        try:
            on_send()
            await self._send(connection, request, body)
            yield await self._read_reply(connection, request, body, request_id)
        finally:
            await self._release(address, connection)

    async def _send(
        self, connection: _Connection, request: h11.Request, body: bytes
    ) -> None:
        parts = _encode(connection.http, request, body)
        try:
            for part in parts:
                await connection.stream.send_all(part)
        except (OSError, trio.BrokenResourceError) as problem:
            # The runner may have answered before it stopped reading.
            if not connection.http.trailing_data[0] and not body:
                raise errors.OutcomeUnknown(f'request not sent: {problem}')
            connection.send_failed = True

    async def _read_reply(
        self,
        connection: _Connection,
        request: h11.Request,
        body: bytes,
        request_id: str | None,
    ) -> Reply:
        """Return the answer to this request, skipping earlier ones."""
        for _ in range(MAX_ANSWERS):
            status, headers = await self._read_head(connection)
            head = dialects.read_reply_head(status, headers, self._names)
            framing = _framing(request.method, status, headers)
            reply = Reply(connection, head, headers, framing)
            if request_id is None or head.request_id == request_id:
                return reply
            if head.request_id is None and not self._are_answers_named:
                return reply
            if framing == CLOSE:
                raise errors.OutcomeUnknown('the answer is to another request')
            await self._skip(reply)
            _expect_next_answer(connection, request, body)
        raise errors.OutcomeUnknown('received only answers to other requests')

    async def _skip(self, reply: Reply) -> None:
        """Read the answer to another request to its end.

        :raises OutcomeUnknown: it has no end, or is too long.
        """
        try:
            await reply.read_body(MAX_SKIPPED_BYTES)
        except errors.BadAnswer as problem:
            raise errors.OutcomeUnknown(f'answer to another: {problem}')

    async def _read_head(self, connection: _Connection) -> tuple[int, Headers]:
        try:
            for _ in range(MAX_ANSWERS):
                event = await connection.next_event()
                if not isinstance(event, h11.InformationalResponse):
                    break
        except (h11.RemoteProtocolError, OSError) as problem:
            raise errors.OutcomeUnknown(f'no answer: {problem}')
        except trio.BrokenResourceError as problem:
            raise errors.OutcomeUnknown(f'no answer: {problem}')
        if not isinstance(event, h11.Response):
            raise errors.OutcomeUnknown(
                'the runner closed the connection without an answer'
            )
        if event.status_code not in FINAL_STATUSES:
            raise errors.OutcomeUnknown(
                'the runner answered with the invalid status'
                f' {event.status_code}'
            )
        headers = list(event.headers.raw_items())
        connection.update_idle_timeout(headers)
        return event.status_code, headers

    async def _release(self, address: str, connection: _Connection) -> None:
        """Keep a connection for reuse, or close it."""
        http = connection.http
        is_complete = (
            http.our_state is h11.DONE and http.their_state is h11.DONE
        )
        if is_complete and not http.trailing_data[0]:
            if self._keep(address, connection):
                http.start_next_cycle()
                return
        if not is_complete:
            connection.reset_on_close()
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(connection.stream)

    def _keep(self, address: str, connection: _Connection) -> bool:
        """Keep an idle connection for reuse, unless it may not be reused."""
        idle = self._idle.setdefault(address, [])
        evicted_s = self._evicted_s.get(address, float('-inf'))
        if connection.opened_s <= evicted_s or len(idle) >= MAX_IDLE:
            return False
        connection.idle_since_s = self._now_s()
        idle.append(connection)
        return True

    async def refuses_connections(
        self,
        address: str,
        timeout_s: float | None = None,
        probing: Probing = BROKEN_CONNECTION,
    ) -> bool:
        """Return whether an address refuses a connection.

        False if it accepts one, which is kept for the next request, and if
        nothing answers in time: its box may be partitioned or suspended. A
        process that ends may accept some more, and reset them; a later one
        shows whether it still listens.
        """
        if timeout_s is None:
            timeout_s = self._connect_s
        with trio.move_on_after(timeout_s):
            for _ in range(probing.count):
                try:
                    if await self._probe(address, probing.settle_s):
                        return False
                except ConnectionRefusedError:
                    return True
                except ConnectionResetError:
                    pass  # closed as it was accepted
                except OSError:
                    return False
                await trio.sleep(probing.pause_s)
        return False

    async def _probe(self, address: str, settle_s: float) -> bool:
        """Return whether a connection is accepted and stays open; keep it.

        :raises OSError: no connection could be made.
        """
        host, _, port = address.rpartition(':')
        opened_s = self._now_s()
        with contextlib.ExitStack() as opened:
            probe = opened.enter_context(trio.socket.socket())
            await probe.connect((host, int(port)))
            with trio.move_on_after(settle_s):
                # A runner sends nothing before a request.
                await trio.lowlevel.wait_readable(probe)
                return False
            connection = _Connection(trio.SocketStream(probe), opened_s)
            if self._keep(address, connection):
                # It is closed by the pool, no longer here.
                opened.pop_all()
        return True

    async def evict(self, address: str) -> None:
        """Close idle connections to a runner that has ended or been replaced.

        Connections in use are closed after their current request.
        """
        while len(self._evicted_s) >= MAX_EVICTED:
            del self._evicted_s[next(iter(self._evicted_s))]
        self._evicted_s[address] = self._now_s()
        for connection in self._idle.pop(address, []):
            await trio.aclose_forcefully(connection.stream)


def _framing(method: bytes, status: int, headers: Headers) -> str:
    names = {name.lower() for name, _ in headers}
    if method == b'HEAD' or status in BODILESS_STATUSES:
        return LENGTH
    if b'transfer-encoding' in names:
        return CHUNKED
    return LENGTH if b'content-length' in names else CLOSE


def _encode(
    http: h11.Connection, request: h11.Request, body: bytes
) -> list[bytes]:
    """Return the bytes of a request in parts; long bodies aren't copied."""
    parts = [http.send(request)]
    if body:
        parts += http.send_with_data_passthrough(h11.Data(body))
    parts.append(http.send(h11.EndOfMessage()))
    if len(body) <= MAX_COPIED_BYTES:
        return [b''.join(parts)]
    return [part for part in parts if part]


def _expect_next_answer(
    connection: _Connection, request: h11.Request, body: bytes
) -> None:
    """Reset the parser to read the answer after a skipped one."""
    unread, _ = connection.http.trailing_data
    connection.http = h11.Connection(h11.CLIENT)
    _encode(connection.http, request, body)
    if unread:
        connection.http.receive_data(unread)
