# SPDX-License-Identifier: Apache-2.0

"""The budget of repeated sends, which all gateways share.

In each window a service may get at most ``ratio`` times its requests, plus
a slack, in sends beyond the first of each request. A gateway takes its own
requests' part and an equal part of the slack, so that the sum holds with no
message between gateways.
"""

import collections

__all__ = ['RetryBudget']

#: Part of the allowance that is used: windows of the operators' count and
#: of this gateway's do not begin at the same moment.
USED_PART = 0.8


class RetryBudget:
    """First and repeated sends of the newest window, by service."""

    def __init__(self, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first: dict[str, collections.deque[float]] = {}
        self._repeated: dict[str, collections.deque[float]] = {}

    def _recent(
        self,
        sends: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> collections.deque[float]:
        found = sends.setdefault(service, collections.deque())
        while found and found[0] <= now_s - self._window_s:
            found.popleft()
        return found

    def first(self, service: str, now_s: float) -> None:
        """Count a request's first send."""
        self._recent(self._first, service, now_s).append(now_s)

    def take(self, service: str, gateways: int, now_s: float) -> bool:
        """Count a repeated send; false where the budget has none left."""
        repeated = self._recent(self._repeated, service, now_s)
        first = self._recent(self._first, service, now_s)
        slack = self._slack / max(1, gateways)
        most = USED_PART * (self._ratio * len(first) + slack)
        if len(repeated) + 1 > most:
            return False
        repeated.append(now_s)
        return True
