# SPDX-License-Identifier: Apache-2.0

"""Backoffs and leaving runners, as announced in the runners' answers.

An entry that received an announcement, and has had no fault since, must obey
it; the arrivals at the runner show whether it does.
"""

import math
import typing

from mountridge.net import dialects, httpserver

__all__ = ['Announcements', 'LeavingResponder', 'request_backoff']

NAMES = dialects.NATIVE.headers
#: Requests that arrive so soon may have been sent before the announcement.
IN_FLIGHT_S = 0.5
#: Requests that are tolerated during a backoff.
MAX_SENDS_IN_BACKOFF = 2


class Announcements:
    """Announcements of each runner to each entry."""

    def __init__(self) -> None:
        self._backoffs: dict[tuple[str, str], tuple[float, float]] = {}
        self._sent_in_backoff: dict[tuple[str, str], int] = {}
        self._leaving_s: dict[tuple[str, str], float] = {}

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

    def leaving_since_s(self, runner: str, entry: str) -> float:
        """Return when it was announced; infinity if it was not."""
        return self._leaving_s.get((runner, entry), math.inf)


class LeavingResponder:
    """A responder whose answers announce that the runner leaves."""

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
        extended = [*headers, (NAMES.leaving, b'1')]
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
