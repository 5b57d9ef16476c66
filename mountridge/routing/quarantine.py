# SPDX-License-Identifier: Apache-2.0

"""Requests that crash their runners, as one gateway knows them.

A connection that breaks shows no crash: cuts, resets, planned ends and boxes
that stand still look alike. A runner has crashed where its connection broke
while it ran a request and its address refuses a new one right after. All that
ran there is suspect; a good end clears, and what has crashed several lives of
runners without one is held back. The leader counts for all gateways, and what
is held back comes with the view; a gateway's own count holds at once.
"""

import collections
import typing

from mountridge.documents import instances, quarantines, routes
from mountridge import messages
from mountridge.net import httpserver

__all__ = ['Quarantine', 'REPORT_S']

#: Between two reports of the same crashes, for leaders that are new.
REPORT_S = 2.0
#: A crash is told again for so long: an election and the leases after it are
#: over by then. Told for as long as they count, the suspects of one lost hall
#: would take the leader of 390 gateways 12,000 of them a second for 600 s.
TELL_FOR_S = 30.0
#: Suspects and good ends that one gateway keeps, the latest ones; 100 bytes
#: each. A crash makes as many suspects as the runner had requests.
MOST_SUSPECTS = 500
MOST_GOOD = 1000
#: Crashes in one report, of 60 bytes each.
MOST_TOLD = 64


class Quarantine:
    """What one gateway has seen, and what is held back everywhere."""

    def __init__(self, key: str = ''):
        self._key = key.encode()
        self._held: dict[bytes, quarantines.QuarantinedRequest] = {}
        #: When lives of runners crashed, by digest.
        self._crashes: collections.OrderedDict[bytes, dict[tuple, float]] = (
            collections.OrderedDict()
        )
        self._good_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        #: Good ends of what is suspect here or held back by the view.
        self._cleared: dict[bytes, float] = {}

    def digest(
        self,
        request: httpserver.Request,
        team: routes.Team | None,
        key: str | None,
    ) -> bytes:
        """Return what stands for a request of a caller."""
        caller = f'{team.name if team else ""}/{key or ""}'
        return quarantines.digest(
            self._key,
            request.method,
            request.target,
            caller.encode('latin-1', 'replace'),
            request.body,
        )

    def follow(
        self, listed: typing.Iterable[quarantines.QuarantinedRequest]
    ) -> None:
        """Follow the view: what is or was held back."""
        before = self._held
        self._held = {each.digest: each for each in listed}
        for digest, each in before.items():
            if each.is_held and not self._holds(digest):
                # Released: what it was held for counts no more.
                self._crashes.pop(digest, None)
        for digest in self._held:
            was_held = digest in before and before[digest].is_held
            if self._holds(digest) and not was_held:
                self._tell_good(digest)

    def _tell_good(self, digest: bytes) -> None:
        """Let the leader know of a good end of what is held back anew."""
        if digest in self._good_s:
            self._cleared[digest] = self._good_s[digest]

    def is_held(self, digest: bytes, now_s: float) -> bool:
        """Return whether a request is sent to no runner now."""
        return self._holds(digest) or self._is_proved(digest, now_s)

    def _holds(self, digest: bytes) -> bool:
        known = self._held.get(digest)
        return known is not None and known.is_held

    def is_any_held(self) -> bool:
        """Return whether any request is held back by the view."""
        return any(each.is_held for each in self._held.values())

    def is_any_known(self) -> bool:
        """Return whether any request is suspect or was held back."""
        return bool(self._held or self._crashes)

    def _is_proved(self, digest: bytes, now_s: float) -> bool:
        """Return whether the own count alone holds a request back."""
        seen = self._crashes.get(digest, {})
        fresh = [
            at_s
            for at_s in seen.values()
            if now_s - at_s < quarantines.CRASH_TTL_S
        ]
        return len(fresh) >= quarantines.CRASH_THRESHOLD

    def crashed(
        self,
        digest: bytes,
        runner: instances.Instance,
        now_s: float,
    ) -> None:
        """Note that a runner crashed while it ran a request."""
        seen = self._crashes.pop(digest, {})
        life = (runner.instance_id, runner.lives, runner.born_ms)
        seen.setdefault(life, now_s)
        self._crashes[digest] = seen
        while len(self._crashes) > MOST_SUSPECTS:
            self._crashes.popitem(last=False)

    def ended_well(self, digest: bytes, now_s: float) -> bool:
        """Note that a runner has run a request to a good end.

        Returns whether the leader is to know: it was suspect or held back.
        """
        self._good_s.pop(digest, None)
        self._good_s[digest] = now_s
        while len(self._good_s) > MOST_GOOD:
            self._good_s.popitem(last=False)
        if not self._crashes.pop(digest, None) and digest not in self._held:
            return False
        self._cleared[digest] = now_s
        return True

    def report(self, now_s: float) -> messages.CrashReport | None:
        """Return what the leader is to know; None for nothing."""
        self._forget(now_s)
        crashes = [
            quarantines.Crash(digest, *life, now_s - at_s)
            for digest, seen in self._crashes.items()
            for life, at_s in seen.items()
            if now_s - at_s < TELL_FOR_S
        ]
        good = [(key, now_s - at_s) for key, at_s in self._cleared.items()]
        if not crashes and not good:
            return None
        return messages.CrashReport(crashes[-MOST_TOLD:], good[-MOST_TOLD:])

    def reported(self, report: messages.CrashReport) -> None:
        """Note that the leader has taken a report."""
        for digest, _ in report.successes:
            self._cleared.pop(digest, None)

    def _forget(self, now_s: float) -> None:
        for digest, seen in list(self._crashes.items()):
            for life, at_s in list(seen.items()):
                if now_s - at_s >= quarantines.CRASH_TTL_S:
                    del seen[life]
            if not seen:
                del self._crashes[digest]
