# SPDX-License-Identifier: Apache-2.0

"""A gateway's state of one runner: its incarnation, load and health.

The load is estimated from the newest report and from the requests that this
gateway has sent since. A runner that fails requests is ejected for a time
that doubles with each ejection; afterwards it gets requests again.
"""

import collections

from mountridge.documents import instances
from mountridge.routing import groupstates

__all__ = ['Backend', 'UNREPORTED_INTERVALS']

#: Age of a load report, in report intervals, above which it is ignored and
#: only the gateway's own requests count.
STALE_INTERVALS = 5.0
#: Own requests started within this many report intervals are assumed not
#: to be in the newest report: the leader forwards reports with a delay.
UNREPORTED_INTERVALS = 1.25
#: Consecutive failures after which a runner is ejected.
FAILURES = 2
EJECT_S = 1.0
MAX_EJECT_S = 8.0


class Backend:
    """One incarnation of a runner, as known to this gateway."""

    def __init__(self, instance: instances.Instance):
        self.instance = instance
        self.own_requests = 0  # of this gateway, in flight there
        #: Start times of recent own requests that a report may not include.
        self._started_s: collections.deque[float] = collections.deque()
        self.reported_requests = (
            0  # running and waiting, by the newest load report
        )
        self.reported_s = float('-inf')
        #: When the newest report of its sidecar arrived.
        self.sidecar_report_s = float('-inf')
        #: Current step time over the usual one, as reported by its sidecar.
        self.slowdown = 1.0
        #: Number of its group, 0 if unknown.
        self.group = 0
        self.group_state = groupstates.GroupState()
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = 0.0
        #: Another runner answers at its address; this is permanent.
        self.replaced = False

    def load(self, interval_s: float, now_s: float) -> int:
        """Return the estimated number of requests on the runner.

        ``interval_s`` is the usual time between two reports of a runner.
        """
        if now_s - self.reported_s > STALE_INTERVALS * interval_s:
            return self.own_requests
        unreported_s = UNREPORTED_INTERVALS * interval_s
        while self._started_s and self._started_s[0] < now_s - unreported_s:
            self._started_s.popleft()
        return max(
            self.own_requests, self.reported_requests + len(self._started_s)
        )

    def occupancy(self, interval_s: float, now_s: float) -> float:
        """Return the estimated number of requests per slot."""
        return self.load(interval_s, now_s) / max(1, self.instance.slots)

    def is_same_incarnation(self, instance: instances.Instance) -> bool:
        """Return whether a registration is of this incarnation."""
        known = self.instance
        registered = (instance.lives, instance.born_ms)
        return registered == (known.lives, known.born_ms)

    def request_started(self, now_s: float) -> None:
        """Count a request of this gateway as sent."""
        self.own_requests += 1
        self._started_s.append(now_s)

    def request_ended(self) -> None:
        """Count a request of this gateway as ended."""
        self.own_requests -= 1

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Record a load report."""
        self.reported_requests = running + waiting
        self.reported_s = now_s

    def record_success(self) -> None:
        """Record a complete answer, which resets failures and ejections."""
        self.failures = 0
        self.ejections = 0

    def record_failure(self, now_s: float) -> None:
        """Record a failure; several in a row eject the runner."""
        self.failures += 1
        if self.failures < FAILURES:
            return
        self.failures = FAILURES - 1
        self.ejections += 1
        span_s = min(MAX_EJECT_S, EJECT_S * 2 ** (self.ejections - 1))
        self.ejected_until_s = now_s + span_s
