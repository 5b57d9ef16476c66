# SPDX-License-Identifier: Apache-2.0

"""HTTP requests from the agent to its runner, over `lasthop` connections.

httpx is not used here, since it costs more per token than all other work of
the agent; see docs/MEASUREMENTS.md.
"""

import contextlib
import typing

from mountridge import clocks, errors
from mountridge.dispatch import streamends
from mountridge.net import dialects, events, lasthop

__all__ = ['Response', 'Upstream']

#: Short, since the runner is on the agent's own box or next to it.
CONNECT_TIMEOUT_S = 2.0
#: Longest answer: agents pass on what arrives without waiting for its reader,
#: and gateways hold a plain answer until it is whole.
MAX_ANSWER_BYTES = 32 << 20
#: How long an answer waits for the check that its runner has not crashed.
CONFIRM_S = 0.1


class Response:
    """The runner's response: its head, and its body as a stream."""

    def __init__(
        self,
        path: str,
        reply: lasthop.Reply,
        has_ended: typing.Callable[[lasthop.Probing], typing.Awaitable[bool]],
    ):
        self._path = path
        self._reply = reply
        self._has_ended = has_ended
        self.head = reply.head

    async def pieces(self) -> typing.AsyncIterator[bytes]:
        """Yield the body in pieces, up to its explicit end.

        :raises BadAnswer: the body was truncated, is too long, or is a stream
            that ends within or before its last event, or has ended with the
            process of the runner.
        """
        end, length = streamends.StreamEnd(), 0
        async for data in self._reply.chunks():
            length += len(data)
            if length > MAX_ANSWER_BYTES:
                raise errors.BadAnswer(f'over {MAX_ANSWER_BYTES} bytes')
            end.feed(data)
            yield data
        if dialects.media_type(self._reply.headers) == events.MEDIA_TYPE:
            end.check(self._path, self._reply.framing)
        if self._reply.framing != lasthop.CLOSE:
            return
        if await self._has_ended(lasthop.END_OF_ANSWER):
            raise errors.BadAnswer('the runner ended with its answer')


class Upstream:
    """A client of the runner at ``http://HOST:PORT``."""

    def __init__(self, url: str):
        self._address = url.removeprefix('http://').rstrip('/')
        names = dialects.NATIVE.headers
        self._pool = lasthop.Pool(names, clocks.now_s, CONNECT_TIMEOUT_S)

    @contextlib.asynccontextmanager
    async def request(
        self,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        request_id: str | None = None,
    ) -> typing.AsyncIterator[Response]:
        """Post ``body`` and yield the response once its head is received.

        An answer that names another request than ``request_id`` is skipped;
        runners need not name any.

        :raises NoRunner: no connection could be made; nothing was sent.
        :raises OutcomeUnknown: the connection broke before the response.
        """
        fields = [
            ('host', self._address),
            ('content-length', str(len(body))),
            *headers,
        ]
        encoded = [(name.encode(), value.encode()) for name, value in fields]
        async with self._pool.request(
            self._address, b'POST', path.encode(), encoded, body, request_id
        ) as reply:
            yield Response(path, reply, self._has_ended)

    async def has_crashed(self) -> bool:
        """Return whether the runner's address refuses connections."""
        return await self._has_ended(lasthop.BROKEN_CONNECTION)

    async def _has_ended(self, probing: lasthop.Probing) -> bool:
        return await self._pool.refuses_connections(
            self._address, CONFIRM_S, probing
        )
