# SPDX-License-Identifier: Apache-2.0

"""What a gateway knows of one runner: its life, its load, its health.

Its load is estimated from its newest report and from what this gateway has
sent since. One that fails requests is left out for a while, for longer each
time, and then tried again by requests.
"""

import collections

from mountridge.documents import instances
from mountridge.routing import closures

__all__ = ['Backend', 'UNSEEN_RESTS']

#: A load report older than this many of the times between two is no better
#: than the own count alone.
OLD_RESTS = 5.0
#: Own requests begun within this many of them are not in the newest report
#: yet: the leader passes reports on a little later.
UNSEEN_RESTS = 1.25
#: Failures in a row after which a runner is left out.
FAILURES = 2
EJECT_S = 1.0
MAX_EJECT_S = 8.0


class Backend:
    """One life of a runner, as this gateway sees it."""

    def __init__(self, instance: instances.Instance):
        self.instance = instance
        self.own = 0  # own requests under way there
        #: When own requests of late began; a report may not have them yet.
        self._begun_s: collections.deque[float] = collections.deque()
        self.reported = 0  # running and waiting, by that report
        self.reported_s = float('-inf')
        #: When its sidecar's newest report came.
        self.told_s = float('-inf')
        #: How many times its usual time its work takes, by its sidecar.
        self.pace = 1.0
        #: Number of its group, 0 where that is not known.
        self.group = 0
        self.closure = closures.Closure()
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = 0.0
        #: Another runner answers at its address; it never comes back.
        self.replaced = False

    def load(self, rest_s: float, now_s: float) -> int:
        """Return the requests that are there, as far as is known.

        ``rest_s`` is the usual time between two reports of a runner.
        """
        if now_s - self.reported_s > OLD_RESTS * rest_s:
            return self.own
        unseen_s = UNSEEN_RESTS * rest_s
        while self._begun_s and self._begun_s[0] < now_s - unseen_s:
            self._begun_s.popleft()
        return max(self.own, self.reported + len(self._begun_s))

    def occupancy(self, rest_s: float, now_s: float) -> float:
        """Return the requests there for each that it works on at once."""
        return self.load(rest_s, now_s) / max(1, self.instance.slots)

    def is_life_of(self, instance: instances.Instance) -> bool:
        """Return whether a registration is the same life of the runner."""
        mine = self.instance
        told = (instance.lives, instance.born_ms)
        return told == (mine.lives, mine.born_ms)

    def began(self, now_s: float) -> None:
        """Count an own request as sent."""
        self.own += 1
        self._begun_s.append(now_s)

    def ended(self) -> None:
        """Count an own request as over."""
        self.own -= 1

    def heard(self, running: int, waiting: int, now_s: float) -> None:
        """Take a load report."""
        self.reported = running + waiting
        self.reported_s = now_s

    def succeeded(self) -> None:
        """Count an answer; the runner is well."""
        self.failures = 0
        self.ejections = 0

    def failed(self, now_s: float) -> None:
        """Count a failure; some in a row leave the runner out."""
        self.failures += 1
        if self.failures < FAILURES:
            return
        self.failures = FAILURES - 1
        self.ejections += 1
        span_s = min(MAX_EJECT_S, EJECT_S * 2 ** (self.ejections - 1))
        self.ejected_until_s = now_s + span_s
