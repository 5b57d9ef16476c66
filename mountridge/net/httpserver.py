# SPDX-License-Identifier: Apache-2.0

"""HTTP/1.1 server for callers: h11 on trio streams, one task a connection.

quart on hypercorn serves the gateway's own API, but can't serve routed
requests: a disconnect must cancel the work at once, a truncated response must
not look complete, and the limits of a connection change with the routes
document (docs/PLATFORM.md). h11 is the parser that hypercorn uses.
"""

import json
import socket
import typing

import h11
import trio

from mountridge.documents import routes
from mountridge import errors
from mountridge.logs import logger
from mountridge.net import listening, turns

__all__ = [
    'BodyBudget', 'Handler', 'Request', 'Responder', 'Server', 'metrics_task',
    'send_error', 'send_json',
]  # fmt: skip

READ_BYTES = 65536
#: Bytes that a caller may pipeline while a response is being sent.
PIPELINE_BYTES = 1 << 20

#: Longest body that is sent in one write with the head of its response.
MAX_COPIED_BYTES = 16384

#: Longest stream that is held for a caller of HTTP/1.0.
MAX_HELD_BYTES = 4 << 20

#: Most bytes of request bodies held at once by a server: a quarter of the
#: memory of a small box. The servers of one process do not share it, so that
#: callers' bodies never keep heartbeats and operators out.
MAX_BODIES_BYTES = 48 << 20
#: Retry-After where there are more: about as long as a body takes to arrive.
BODIES_RETRY_S = 1.0

Headers = list[tuple[bytes, bytes]]


class Request(typing.NamedTuple):
    """One complete request; header names are as received."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header ``name`` (lower case)."""
        for received_name, value in self.headers:
            if received_name.lower() == name:
                return value
        return None

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b'?')[0]


class _HeldStream(typing.NamedTuple):
    """A stream that is sent once it has ended."""

    status: int
    headers: Headers
    parts: list[bytes]


class Responder:
    """Sends the response to one request, complete or as a stream.

    A caller of HTTP/1.0 gets a stream without a length as one body with a
    length once the stream has ended. HTTP/1.0 has no chunks, so it could
    not distinguish the end of a stream from a connection that broke. Such
    a stream takes memory as any other complete answer does: for what a
    runner sends within the deadline of the request, up to
    `MAX_HELD_BYTES`.
    """

    def __init__(
        self,
        http: h11.Connection,
        stream,
        closing: bool,
        idle_s: float,
        method: bytes = b'',
    ):
        self._http = http
        #: Whether the request is for the head of a response alone.
        self._without_body = method == b'HEAD'
        self._stream = stream
        self._closing = closing
        self._idle_s = idle_s
        self.started = False
        #: Whether all of it has been sent. A send may be cancelled midway,
        #: while the parser counts the response as complete.
        self.finished = False
        self._held: _HeldStream | None = None
        self._held_bytes = 0

    def _persistence(self) -> Headers:
        if self._closing:
            return [(b'Connection', b'close')]
        return [(b'Keep-Alive', b'timeout=%d' % self._idle_s)]

    async def _begin(self) -> None:
        """Record that the response has started, unless it is cancelled.

        A send that was cancelled before would not send a byte, and another
        response could not follow.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self.started = True

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head; ``headers`` determine the framing of the body."""
        await self._begin()
        is_framed = any(n.lower() == b'content-length' for n, _ in headers)
        if self._http.their_http_version < b'1.1' and not is_framed:
            self._held = _HeldStream(status, headers, [])
            return
        fields = headers + self._persistence()
        head = h11.Response(status_code=status, headers=fields)
        await self._stream.send_all(self._http.send(head))

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if self._held is not None:
            self._held.parts.append(data)
            self._held_bytes += len(data)
            if self._held_bytes > MAX_HELD_BYTES:
                raise errors.BadAnswer('too long for a caller of HTTP/1.0')
            return
        await self._stream.send_all(self._http.send(h11.Data(data)))

    async def finish(self) -> None:
        """Send the end of the body."""
        if self._held is not None:
            status, headers, parts = self._held
            await self.send_response(status, headers, b''.join(parts))
            return
        await self._stream.send_all(self._http.send(h11.EndOfMessage()))
        self.finished = True

    async def send_response(
        self, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete response, a short one in one write."""
        await self._begin()
        length = (b'Content-Length', b'%d' % len(body))
        fields = headers + [length] + self._persistence()
        head = h11.Response(status_code=status, headers=fields)
        parts = [self._http.send(head)]
        if body and not self._without_body:
            # Bodies are not copied by the parser.
            parts += self._http.send_with_data_passthrough(h11.Data(body))
        parts.append(self._http.send(h11.EndOfMessage()))
        if len(body) <= MAX_COPIED_BYTES:
            parts = [b''.join(parts)]
        for part in parts:
            if part:
                await self._stream.send_all(part)
        self.finished = True


class BodyBudget:
    """The bytes of request bodies that a server holds for its callers."""

    def __init__(self, max_bytes: int = MAX_BODIES_BYTES):
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def take(self, count: int) -> None:
        """Count bytes that are held from now on.

        :raises BodiesHeld: there would be too many; none are counted.
        """
        if self.held_bytes + count > self.max_bytes:
            raise errors.BodiesHeld(
                f'over {self.max_bytes} bytes of request bodies',
                retry_after_s=BODIES_RETRY_S,
            )
        self.held_bytes += count

    def release(self, count: int) -> None:
        """Count bytes no longer."""
        self.held_bytes -= count


Handler = typing.Callable[[Request, Responder], typing.Awaitable[None]]


async def send_json(
    responder: Responder,
    status: int,
    body: typing.Any,
    headers: Headers | None = None,
) -> None:
    """Send a response with a JSON body."""
    content_type = (b'Content-Type', b'application/json')
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    await responder.send_response(
        status, [content_type] + (headers or []), data
    )


async def send_error(responder: Responder, problem: errors.MountridgeError):
    """Send an error response: status, code and when to retry."""
    fields: Headers = []
    if problem.retry_after_s is not None:
        fields.append((b'Retry-After', b'%.3f' % problem.retry_after_s))
    body = {
        'error': {
            'code': problem.code,
            'type': type(problem).__name__,
            'message': str(problem),
            'outcome': problem.outcome,
        }
    }
    await send_json(responder, problem.status, body, fields)


class _Disconnected(Exception):
    """The caller has closed the connection."""


class Server:
    """Serves one handler on one address.

    ``limits`` returns the limits in force. While ``closing`` returns true,
    each response closes its connection.
    """

    def __init__(
        self,
        handler: Handler,
        limits: typing.Callable[[], routes.Limits],
        closing: typing.Callable[[], bool],
        bodies: BodyBudget | None = None,
    ):
        self._handler = handler
        self._bodies = bodies or BodyBudget()
        self._limits = limits
        self._closing = closing
        self._idle: set[trio.CancelScope] = set()
        self._turns = turns.Turns()
        self.open_requests = 0

    async def run(
        self, address: str, listening_socket: socket.socket | None = None
    ) -> None:
        """Serve on IP:PORT until cancelled.

        ``listening_socket`` is already bound to that address.
        """
        bound = listening_socket or listening.listen(address)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(bound))
        await trio.serve_listeners(self.serve_connection, [listener])

    def close_idle(self) -> None:
        """Close the connections with no request in progress."""
        for scope in list(self._idle):
            scope.cancel()

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve the requests of one connection until it ends."""
        try:
            await self._serve_requests(stream)
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            _Disconnected,
        ):
            # The caller has disconnected; its request has been cancelled.
            pass
        except* Exception as group:
            logger.error('request failed unexpectedly', exc_info=group)
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        data = b''
        while True:
            data = data or await self._wait_for_bytes(stream)
            if not data:
                return
            # Those in force now, and not when the connection became idle.
            limits = self._limits()
            idle_s = limits.idle_ms / 1000
            http = h11.Connection(
                h11.SERVER, max_incomplete_event_size=limits.header_bytes
            )
            http.receive_data(data)
            try:
                request = await self._read(http, stream, limits)
            except errors.MountridgeError as problem:
                await self._reject_unread(http, stream, problem)
                return
            if request is None:
                return
            responder = Responder(
                http, stream, self._closing(), idle_s, request.method
            )
            self.open_requests += 1
            try:
                await self._handle(http, stream, request, responder)
            finally:
                self.open_requests -= 1
                self._bodies.release(len(request.body))
            if not responder.finished or http.our_state is not h11.DONE:
                return
            if http.their_state is not h11.DONE:
                return
            data, is_closed = http.trailing_data
            if is_closed and not data:
                return

    async def _reject_unread(self, http, stream, problem) -> None:
        responder = Responder(http, stream, True, 0)
        try:
            await send_error(responder, problem)
        except h11.LocalProtocolError:
            # The protocol state of the connection allows no response.
            return

    async def _read(
        self, http: h11.Connection, stream, limits: routes.Limits
    ) -> Request | None:
        """Return the next complete request, None at the connection's end.

        Its body counts as held until it is released.

        :raises BadRequest: the request is malformed, too large or too slow.
        :raises BodiesHeld: too many bodies are held.
        """
        head = await self._read_head(http, stream, limits)
        if head is None:
            return None
        body = await self._read_body(http, stream, limits)
        headers = list(head.headers.raw_items())
        return Request(head.method, head.target, headers, body)

    async def _read_body(
        self, http: h11.Connection, stream, limits: routes.Limits
    ) -> bytes:
        body, length = bytearray(), 0
        try:
            while True:
                with trio.move_on_after(limits.idle_ms / 1000) as scope:
                    event = await self._next_event(http, stream)
                if scope.cancelled_caught:
                    raise errors.TooSlow('time-out while reading the body')
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if length + len(event.data) > limits.body_bytes:
                    raise errors.TooLarge(f'over {limits.body_bytes} bytes')
                self._bodies.take(len(event.data))
                length += len(event.data)
                body += event.data
        except BaseException:
            self._bodies.release(length)
            raise

    async def _read_head(
        self, http: h11.Connection, stream, limits: routes.Limits
    ) -> h11.Request | None:
        with trio.move_on_after(limits.header_ms / 1000) as scope:
            event = await self._next_event(http, stream)
        if scope.cancelled_caught:
            raise errors.TooSlow('time-out while reading the head')
        if not isinstance(event, h11.Request):
            return None
        # The parser limits the size of a head only while it is incomplete.
        if _head_bytes(event) > limits.header_bytes:
            raise errors.HeadTooLarge(f'over {limits.header_bytes} bytes')
        return event

    async def _wait_for_bytes(self, stream) -> bytes:
        """Return the next bytes, b'' after a timeout or at the end."""
        data = b''
        with trio.move_on_after(self._limits().idle_ms / 1000) as scope:
            self._idle.add(scope)
            try:
                data = await stream.receive_some(READ_BYTES)
            finally:
                self._idle.discard(scope)
        return data

    async def _next_event(self, http: h11.Connection, stream) -> typing.Any:
        """Return the next event of the current request."""
        try:
            while True:
                await self._turns.count_part()
                event = http.next_event()
                if event is not h11.NEED_DATA:
                    break
                if http.they_are_waiting_for_100_continue:
                    interim = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    await stream.send_all(http.send(interim))
                http.receive_data(await stream.receive_some(READ_BYTES))
        except h11.RemoteProtocolError as problem:
            if problem.error_status_hint == 431:
                raise errors.HeadTooLarge()
            raise errors.BadRequest(str(problem))
        if isinstance(event, h11.ConnectionClosed):
            raise _Disconnected()
        return event

    async def _handle(
        self, http, stream, request: Request, responder: Responder
    ) -> None:
        """Run the handler; cancel it if the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, http, stream, nursery.cancel_scope
            )
            await self._handler(request, responder)
            nursery.cancel_scope.cancel()


def _head_bytes(head: h11.Request) -> int:
    """Return the approximate size of a request's head as received."""
    fields = head.headers.raw_items()
    size = sum(len(name) + len(value) + 4 for name, value in fields)
    return size + len(head.method) + len(head.target)


async def _cancel_on_disconnect(http, stream, scope: trio.CancelScope) -> None:
    """Cancel ``scope`` on a disconnect; buffer pipelined requests."""
    buffered = 0
    while buffered < PIPELINE_BYTES:
        try:
            data = await stream.receive_some(READ_BYTES)
        except trio.BrokenResourceError:
            data = b''
        if not data:
            scope.cancel()
            return
        buffered += len(data)
        http.receive_data(data)


def metrics_task(app) -> typing.Callable[[], typing.Awaitable[None]]:
    """Return the task that serves an application's metrics as text."""

    async def answer(request: Request, responder: Responder) -> None:
        content_type = (b'Content-Type', b'text/plain; version=0.0.4')
        body = app.metrics.text().encode()
        await responder.send_response(200, [content_type], body)

    async def serve() -> None:
        address = app.settings['metrics']
        if address:
            server = Server(answer, routes.Limits, lambda: False)
            await server.run(address)

    return serve
