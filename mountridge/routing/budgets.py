# SPDX-License-Identifier: Apache-2.0

"""The retry budget of each service, shared by all gateways.

In each window the retries of a service may be at most ``ratio`` times its
requests, plus a slack. A gateway's quota is what its own requests earn and
its share of the slack, so that the limit holds for the sum without messages
between gateways.

A retry counts from when it is allowed until a window after it was sent, since
it may wait for a runner in between.
"""

import collections
import typing

__all__ = ['Retry', 'RetryBudget', 'Usage']

#: Share of the quota that is used: this gateway's window and that of the
#: operators' count do not begin at the same moment.
USED_SHARE = 0.8


class Usage(typing.NamedTuple):
    """Sends of one service by one gateway within the window."""

    first: int
    retries: int  # sent, or waiting to be sent
    slack_share: float


class _Counts:
    """Sends of one service."""

    def __init__(self) -> None:
        self.first_s: collections.deque[float] = collections.deque()
        self.sent_s: collections.deque[float] = collections.deque()
        #: Retries that have been allowed but not sent.
        self.waiting = 0


class Retry:
    """A retry that the budget has allowed, until it is sent or released."""

    __slots__ = ('_counts', 'allowed_s')

    def __init__(self, counts: _Counts, now_s: float):
        self._counts = counts
        self.allowed_s = now_s
        counts.waiting += 1

    def mark_sent(self, now_s: float) -> None:
        """Count it as sent."""
        self._counts.waiting -= 1
        self._counts.sent_s.append(now_s)

    def release(self) -> None:
        """Return it to the budget; it will not be sent."""
        self._counts.waiting -= 1


class RetryBudget:
    """First sends and retries of this process, by service.

    ``slack_share`` returns the share of the slack of this process, 0 to 1.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        slack_share: typing.Callable[[float], float],
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._slack_share = slack_share
        self._counts: dict[str, _Counts] = {}

    def record_first(self, service: str, now_s: float) -> None:
        """Count a request, whose first send is no retry."""
        self._current(service, now_s).first_s.append(now_s)

    def try_acquire(self, service: str, now_s: float) -> Retry | None:
        """Allow a retry and count it; None if no quota is left."""
        counts = self._current(service, now_s)
        slack = self._slack * self._slack_share(now_s)
        quota = USED_SHARE * (self._ratio * len(counts.first_s) + slack)
        if len(counts.sent_s) + counts.waiting + 1 > quota:
            return None
        return Retry(counts, now_s)

    def usage(self, service: str, now_s: float) -> Usage:
        """Return what is counted for a service."""
        counts = self._current(service, now_s)
        retries = len(counts.sent_s) + counts.waiting
        return Usage(len(counts.first_s), retries, self._slack_share(now_s))

    def _current(self, service: str, now_s: float) -> _Counts:
        """Return the counts of a service as of now."""
        counts = self._counts.setdefault(service, _Counts())
        for times_s in (counts.first_s, counts.sent_s):
            while times_s and times_s[0] <= now_s - self._window_s:
                times_s.popleft()
        return counts
