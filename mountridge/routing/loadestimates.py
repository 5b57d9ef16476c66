# SPDX-License-Identifier: Apache-2.0

"""Estimates of what the newest load reports of runners do not show yet."""

import collections

from mountridge.routing import runnerstates

__all__ = ['LoadEstimates']

#: Least usual time between two reports of one runner, and the weight of the
#: newest interval in it. With many runners the leader sets longer intervals.
MIN_REPORT_INTERVAL_S = 0.12
SMOOTHING = 0.05
#: Longer gaps between reports are outages, not intervals.
MAX_REPORT_INTERVAL_S = 2.0
#: Window in which this gateway counts its own requests, to estimate how many
#: the others send: long enough for a few, shorter than bursts last.
RATE_WINDOW_S = 1.0


class LoadEstimates:
    """The usual report interval, and the rates of this gateway's requests."""

    def __init__(self) -> None:
        #: Usual time between two reports of one runner, as they arrive.
        self.report_interval_s = MIN_REPORT_INTERVAL_S
        #: Times of recent selections, by service.
        self._picked_s: dict[str, collections.deque[float]] = {}

    def record_report(
        self, backend: runnerstates.Backend, now_s: float
    ) -> None:
        """Record that a report of a runner's sidecar arrives now."""
        newest_s = now_s - backend.sidecar_report_s
        if newest_s < MAX_REPORT_INTERVAL_S:
            interval_s = self.report_interval_s + SMOOTHING * (
                newest_s - self.report_interval_s
            )
            self.report_interval_s = max(MIN_REPORT_INTERVAL_S, interval_s)
        backend.sidecar_report_s = now_s

    def others_unreported(
        self, service: str, gateways: int, now_s: float
    ) -> float:
        """Count a request; return the estimate of others' unreported ones."""
        picked_s = self._picked_s.setdefault(service, collections.deque())
        while picked_s and picked_s[0] < now_s - RATE_WINDOW_S:
            picked_s.popleft()
        own_per_s = len(picked_s) / RATE_WINDOW_S
        picked_s.append(now_s)
        unreported_s = (
            runnerstates.UNREPORTED_INTERVALS * self.report_interval_s
        )
        return own_per_s * unreported_s * max(0, gateways - 1)
