# SPDX-License-Identifier: Apache-2.0

"""The retry budget of each service, shared by all gateways.

In each window the retries of a service may be at most ``ratio`` times its
requests, plus a slack. A gateway's quota is what its own requests earn and
an equal share of the slack, so that the limit holds for the sum without
messages between gateways.
"""

import collections
import typing

__all__ = ['RetryBudget', 'Usage']

#: Share of the quota that is used: this gateway's window and that of the
#: operators' count do not begin at the same moment.
USED_SHARE = 0.8


class Usage(typing.NamedTuple):
    """Sends of one service by one gateway within the window."""

    first: int
    retries: int


class RetryBudget:
    """First sends and retries in the current window, by service."""

    def __init__(self, ratio: float, slack: float, window_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._first: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def _recent(
        self,
        sends: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> collections.deque[float]:
        """Return the send times of a service within the window."""
        found = sends.setdefault(service, collections.deque())
        while found and found[0] <= now_s - self._window_s:
            found.popleft()
        return found

    def record_first(self, service: str, now_s: float) -> None:
        """Count the first send of a request."""
        self._recent(self._first, service, now_s).append(now_s)

    def try_acquire(self, service: str, gateways: int, now_s: float) -> bool:
        """Count a retry; return False, without counting, if none is left.

        ``gateways`` is the number of gateways that share the slack.
        """
        retries = self._recent(self._retries, service, now_s)
        first = self._recent(self._first, service, now_s)
        slack = self._slack / max(1, gateways)
        quota = USED_SHARE * (self._ratio * len(first) + slack)
        if len(retries) + 1 > quota:
            return False
        retries.append(now_s)
        return True

    def usage(self, service: str, now_s: float) -> Usage:
        """Return what is counted for a service."""
        return Usage(
            len(self._recent(self._first, service, now_s)),
            len(self._recent(self._retries, service, now_s)),
        )
