# SPDX-License-Identifier: Apache-2.0

"""What a runner says of itself in its answers, and what it gets after that.

An entry that was told a rest, or that the runner leaves, and has run on since
without harm, is held to it; each runner's own record of arrivals tells.
"""

import math
import typing

from mountridge.net import dialects, httpserver

__all__ = ['Spoken', 'Telling', 'turn_away']

NAMES = dialects.NATIVE.headers
#: What was on its way when the word was given is not counted.
UNDER_WAY_S = 0.5
#: Requests within a rest that are allowed; more show that it is not heard.
MOST_IN_REST = 2


class Spoken:
    """The words that each runner has given to each entry."""

    def __init__(self) -> None:
        self._rests: dict[tuple[str, str], tuple[float, float]] = {}
        self._in_rest: dict[tuple[str, str], int] = {}
        self._leaving_s: dict[tuple[str, str], float] = {}

    def asks_rest(
        self, runner: str, entry: str, span_s: float, now_s: float
    ) -> None:
        """Note that a runner asked an entry for rest."""
        self._rests[runner, entry] = (now_s, now_s + span_s)
        self._in_rest[runner, entry] = 0

    def leaves(self, runner: str, entry: str, now_s: float) -> None:
        """Note that a runner told an entry that it leaves."""
        self._leaving_s.setdefault((runner, entry), now_s)

    def forget(self, runner: str) -> None:
        """Begin another life of a runner, which has said nothing."""
        for held in (self._rests, self._in_rest, self._leaving_s):
            for key in [key for key in held if key[0] == runner]:
                del held[key]

    def in_rest(
        self, runner: str, entry: str, now_s: float
    ) -> tuple[int, float]:
        """Count an arrival; return how many came in a rest, and since when."""
        key = (runner, entry)
        told_s, until_s = self._rests.get(key, (math.inf, math.inf))
        if told_s + UNDER_WAY_S < now_s < until_s:
            self._in_rest[key] += 1
            return self._in_rest[key], told_s
        return 0, told_s

    def leaving_s(self, runner: str, entry: str) -> float:
        """Return when an entry was told; infinity where it was not."""
        return self._leaving_s.get((runner, entry), math.inf)


class Telling:
    """A responder whose answers tell that their runner leaves."""

    def __init__(self, inner: typing.Any):
        self._inner = inner

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._inner, name)

    async def start(self, status: int, headers: dialects.Headers) -> None:
        """Begin an answer."""
        await self._inner.start(status, [*headers, (NAMES.leaving, b'1')])

    async def send_response(
        self, status: int, headers: dialects.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""
        told = [*headers, (NAMES.leaving, b'1')]
        await self._inner.send_response(status, told, body)


async def turn_away(
    responder: httpserver.Responder, request_id: bytes, rest_s: float
) -> None:
    """Refuse a request and ask for rest."""
    told = [
        (NAMES.request_id, request_id),
        (NAMES.not_run, b'1'),
        (b'Retry-After', b'%g' % rest_s),
    ]
    await httpserver.send_json(responder, 503, {}, told)
