# SPDX-License-Identifier: Apache-2.0

"""Backoffs, limits and leaving runners, as announced in runners' answers.

An entry that received an announcement, and has had no fault since, must obey
it; the arrivals at the runner show whether it does.
"""

import math
import typing

from mountridge.net import dialects, httpserver

__all__ = ['AnnouncingResponder', 'Announcements', 'request_backoff']

NAMES = dialects.NATIVE.headers
#: Requests that arrive so soon may have been sent before the announcement.
IN_FLIGHT_S = 0.5
#: Requests that are tolerated during a backoff; more show that the entry
#: ignores it.
MAX_SENDS_IN_BACKOFF = 2
#: Of the requests that a limit allows in a window, and some more.
LIMIT_WINDOW_S, LIMIT_OVER, LIMIT_SLACK = 4.0, 1.5, 5


class Announcements:
    """Announcements of each runner to each entry."""

    def __init__(self) -> None:
        self._backoffs: dict[tuple[str, str], tuple[float, float]] = {}
        self._sent_in_backoff: dict[tuple[str, str], int] = {}
        self._leaving_s: dict[tuple[str, str], float] = {}
        #: When a runner named its limit to an entry, and since then the times
        #: of arrivals at each runner that count in it.
        self._limited_s: dict[tuple[str, str], float] = {}
        self._limited_arrivals_s: dict[str, list[float]] = {}
        self._limits_per_s: dict[str, float] = {}

    def record_backoff(
        self, runner: str, entry: str, span_s: float, now_s: float
    ) -> None:
        """Record that a runner asked an entry for a backoff."""
        self._backoffs[runner, entry] = (now_s, now_s + span_s)
        self._sent_in_backoff[runner, entry] = 0

    def record_leaving(self, runner: str, entry: str, now_s: float) -> None:
        """Record that a runner announced to an entry that it leaves."""
        self._leaving_s.setdefault((runner, entry), now_s)

    def forget(self, runner: str) -> None:
        """Discard the announcements of a runner's previous incarnation."""
        self.forget_limit(runner)
        for table in (self._backoffs, self._sent_in_backoff, self._leaving_s):
            for key in [key for key in table if key[0] == runner]:
                del table[key]

    def count_in_backoff(
        self, runner: str, entry: str, now_s: float
    ) -> tuple[int, float]:
        """Count an arrival.

        Returns the number of arrivals during the backoff (0 outside of one),
        and when it was requested, infinity if it was not.
        """
        key = (runner, entry)
        requested_s, until_s = self._backoffs.get(key, (math.inf, math.inf))
        if requested_s + IN_FLIGHT_S < now_s < until_s:
            self._sent_in_backoff[key] += 1
            return self._sent_in_backoff[key], requested_s
        return 0, requested_s

    def record_limit(
        self, runner: str, entry: str, per_s: float, now_s: float
    ) -> None:
        """Record that a runner names a limit to an entry."""
        self._limited_s.setdefault((runner, entry), now_s)
        self._limits_per_s[runner] = per_s

    def forget_limit(self, runner: str, entry: str | None = None) -> None:
        """Discard what a runner named to an entry, by default to all."""
        for key in list(self._limited_s):
            if key[0] == runner and entry in (None, key[1]):
                del self._limited_s[key]
        if entry is None:
            self._limited_arrivals_s.pop(runner, None)

    def limited_since_s(self, runner: str, entry: str) -> float:
        """Return when a limit was first named; infinity if it was not."""
        return self._limited_s.get((runner, entry), math.inf)

    def count_limited(self, runner: str, now_s: float) -> tuple[int, float]:
        """Count an arrival from an entry that knows the limit of a runner.

        Returns the number of such arrivals in `LIMIT_WINDOW_S`, and the most
        that are allowed.
        """
        recent = self._limited_arrivals_s.setdefault(runner, [])
        recent.append(now_s)
        recent[:] = [s for s in recent if s > now_s - LIMIT_WINDOW_S]
        allowed = LIMIT_OVER * LIMIT_WINDOW_S * self._limits_per_s[runner]
        return len(recent), allowed + LIMIT_SLACK

    def leaving_since_s(self, runner: str, entry: str) -> float:
        """Return when it was announced; infinity if it was not."""
        return self._leaving_s.get((runner, entry), math.inf)


class AnnouncingResponder:
    """A responder whose answers have one more header.

    ``announced`` is called right before the head of an answer is sent.
    """

    def __init__(
        self,
        inner: typing.Any,
        header: tuple[bytes, bytes],
        announced: typing.Callable[[], None] = lambda: None,
    ):
        self._inner = inner
        self._header = header
        self._announced = announced

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._inner, name)

    async def start(self, status: int, headers: dialects.Headers) -> None:
        """Begin an answer."""
        self._announced()
        await self._inner.start(status, [*headers, self._header])

    async def send_response(
        self, status: int, headers: dialects.Headers, body: bytes
    ) -> None:
        """Send a whole answer."""
        self._announced()
        extended = [*headers, self._header]
        await self._inner.send_response(status, extended, body)


async def request_backoff(
    responder: httpserver.Responder, request_id: bytes, backoff_s: float
) -> None:
    """Refuse a request and ask for a backoff."""
    headers = [
        (NAMES.request_id, request_id),
        (NAMES.not_run, b'1'),
        (b'Retry-After', b'%g' % backoff_s),
    ]
    await httpserver.send_json(responder, 503, {}, headers)
