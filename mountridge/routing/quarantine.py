# SPDX-License-Identifier: Apache-2.0

"""One gateway's record of requests that crash their runners.

A broken connection alone does not show a crash: truncated answers, resets,
planned stops and suspended boxes look alike. A runner counts as crashed if its
connection broke while it ran a request and its address refuses a new one right
after that. All requests that it ran are suspects; a success clears a suspect,
and one that has crashed several incarnations of runners without a success is
quarantined. The leader counts the crashes of all gateways, and its quarantine
list is part of the view; a gateway's own count takes effect at once. Parts of
prompts are recorded beside (`partrecords`).
"""

import collections
import typing

from mountridge.documents import instances, quarantines, routes
from mountridge import messages
from mountridge.net import httpserver

__all__ = ['Quarantine', 'REPORT_INTERVAL_S', 'incarnation']

#: Interval between reports of the same crashes, which a new leader needs.
REPORT_INTERVAL_S = 2.0
#: How long a crash is reported: longer than an election and the leases after
#: it. Reports for as long as crashes count would overload the leader of a
#: large deployment after the loss of a hall.
REPORT_FOR_S = 30.0
#: Suspects and successes that one gateway keeps, the latest ones; about 100
#: bytes each. A crash makes a suspect of each request that the runner had.
MAX_SUSPECTS = 500
MAX_SUCCESSES = 1000
#: Most crashes and most successes in one report; about 60 bytes each.
MAX_REPORTED = 64


def incarnation(runner: instances.Instance) -> tuple[str, int, int]:
    """Return what identifies one start of a runner."""
    return runner.instance_id, runner.lives, runner.born_ms


class Quarantine:
    """Crashes seen by one gateway, and the quarantine list of the leader."""

    def __init__(self, key: str = ''):
        self._key = key.encode()
        self._listed: dict[bytes, quarantines.QuarantinedRequest] = {}
        #: Times of the crashes of runner incarnations, by digest.
        self._crashes: collections.OrderedDict[bytes, dict[tuple, float]] = (
            collections.OrderedDict()
        )
        self._success_at_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        #: Successes of suspect or quarantined requests, not yet reported.
        self._unreported: dict[bytes, float] = {}

    def digest(
        self,
        request: httpserver.Request,
        team: routes.Team | None,
        key: str | None,
    ) -> bytes:
        """Return the digest that identifies a request of a caller."""
        caller = f'{team.name if team else ""}/{key or ""}'
        return self.digest_of(
            request.method,
            request.target,
            caller.encode('latin-1', 'replace'),
            request.body,
        )

    def digest_of(
        self, method: bytes, target: bytes, caller: bytes, body: bytes
    ) -> bytes:
        """Return the digest of a request by what identifies it."""
        return quarantines.digest(self._key, method, target, caller, body)

    def update(
        self, listed: typing.Iterable[quarantines.QuarantinedRequest]
    ) -> None:
        """Apply the list of requests that are or were quarantined."""
        before = self._listed
        self._listed = {each.digest: each for each in listed}
        for digest, each in before.items():
            if each.is_held and not self._is_quarantined_by_leader(digest):
                # Released: earlier crashes no longer count.
                self._crashes.pop(digest, None)
        for digest in self._listed:
            was_quarantined = digest in before and before[digest].is_held
            if self._is_quarantined_by_leader(digest) and not was_quarantined:
                self._report_success(digest)

    def _report_success(self, digest: bytes) -> None:
        """Report an earlier success of a newly quarantined request."""
        if digest in self._success_at_s:
            self._unreported[digest] = self._success_at_s[digest]

    def is_quarantined(self, digest: bytes, now_s: float) -> bool:
        """Return whether a request may be sent to no runner now."""
        return self._is_quarantined_by_leader(
            digest
        ) or self._is_crash_limit_reached(digest, now_s)

    def _is_quarantined_by_leader(self, digest: bytes) -> bool:
        entry = self._listed.get(digest)
        return entry is not None and entry.is_held

    def is_any_quarantined(self) -> bool:
        """Return whether the leader has quarantined any request."""
        return any(each.is_held for each in self._listed.values())

    def has_entries(self) -> bool:
        """Return whether any request is suspect or is or was quarantined."""
        return bool(self._listed or self._crashes)

    def _is_crash_limit_reached(self, digest: bytes, now_s: float) -> bool:
        """Return whether this gateway alone has seen enough crashes."""
        seen = self._crashes.get(digest, {})
        recent = [
            at_s
            for at_s in seen.values()
            if now_s - at_s < quarantines.CRASH_TTL_S
        ]
        return len(recent) >= quarantines.CRASH_THRESHOLD

    def record_crash(
        self,
        digest: bytes,
        runner: instances.Instance,
        now_s: float,
    ) -> None:
        """Record that a runner crashed while it ran a request."""
        seen = self._crashes.pop(digest, {})
        seen.setdefault(incarnation(runner), now_s)
        self._crashes[digest] = seen
        while len(self._crashes) > MAX_SUSPECTS:
            self._crashes.popitem(last=False)

    def record_success(self, digest: bytes, now_s: float) -> bool:
        """Record that a runner has completed a request.

        Returns whether to report it: the request was suspect, or it is or
        was quarantined.
        """
        self._success_at_s.pop(digest, None)
        self._success_at_s[digest] = now_s
        while len(self._success_at_s) > MAX_SUCCESSES:
            self._success_at_s.popitem(last=False)
        if not self._crashes.pop(digest, None) and digest not in self._listed:
            return False
        self._unreported[digest] = now_s
        return True

    def has_unreported(self) -> bool:
        """Return whether the leader may not know a success that it needs."""
        return bool(self._unreported)

    def make_report(self, now_s: float) -> messages.CrashReport | None:
        """Return the next report to the leader, None if it would be empty."""
        self._expire(now_s)
        crashes = [
            quarantines.Crash(digest, *crashed, now_s - at_s)
            for digest, seen in self._crashes.items()
            for crashed, at_s in seen.items()
            if now_s - at_s < REPORT_FOR_S
        ]
        good = [(key, now_s - at_s) for key, at_s in self._unreported.items()]
        if not crashes and not good:
            return None
        return messages.CrashReport(
            crashes[-MAX_REPORTED:], good[-MAX_REPORTED:]
        )

    def acknowledge(self, report: messages.CrashReport) -> None:
        """Record that the leader has received a report."""
        for digest, _ in report.successes:
            self._unreported.pop(digest, None)

    def _expire(self, now_s: float) -> None:
        for digest, seen in list(self._crashes.items()):
            for crashed, at_s in list(seen.items()):
                if now_s - at_s >= quarantines.CRASH_TTL_S:
                    del seen[crashed]
            if not seen:
                del self._crashes[digest]
