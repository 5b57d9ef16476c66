# SPDX-License-Identifier: Apache-2.0

"""The agent's way to its one runner, over the connections of `lasthop`.

httpx costs more than all else in the agent does for a token; the figures
are in docs/MEASUREMENTS.md. h11 is the parser that it uses inside.
"""

import contextlib
import typing

from mountridge import clocks
from mountridge.net import dialects, lasthop

__all__ = ['Response', 'Upstream']

#: The runner is on the agent's own box or next to it.
CONNECT_S = 2.0


class Response:
    """The runner's answer: its head, and its body in pieces."""

    def __init__(self, reply: lasthop.Reply):
        self._reply = reply
        self.head = reply.head

    def pieces(self) -> typing.AsyncIterator[bytes]:
        """Yield the body; returns only at its explicit end.

        :raises BadAnswer: it was cut before its end.
        """
        return self._reply.chunks()


class Upstream:
    """The way to one runner at ``http://HOST:PORT``."""

    def __init__(self, url: str):
        self._address = url.removeprefix('http://').rstrip('/')
        names = dialects.NATIVE.headers
        self._pool = lasthop.Pool(names, clocks.now_s, CONNECT_S)

    @contextlib.asynccontextmanager
    async def request(
        self, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> typing.AsyncIterator[Response]:
        """Post ``body`` and give the answer once its head has come.

        :raises NoRunner: no connection could be made; nothing was sent.
        :raises OutcomeUnknown: the connection broke before the answer.
        """
        fields = [
            ('host', self._address),
            ('content-length', str(len(body))),
            *headers,
        ]
        encoded = [(name.encode(), value.encode()) for name, value in fields]
        async with self._pool.request(
            self._address, b'POST', path.encode(), encoded, body, None
        ) as reply:
            yield Response(reply)
