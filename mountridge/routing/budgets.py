# SPDX-License-Identifier: Apache-2.0

"""The retry budget of each service, shared by all gateways.

In each window the retries of a service may be at most ``ratio`` times its
requests, plus a slack. A gateway's quota is what its own requests earn and
its share of the slack, so that the limit holds for the sum without messages
between gateways. The quota has two equal parts:

- a token bucket, which is empty when the process starts, so that a restart
  never adds to what the gateway may send;
- a sliding window, which permits bursts. It needs a record of a whole window,
  so a process uses it only once it is older than that.

A retry counts from when it is allowed until a window after it was sent, since
it may wait for a runner in between.
"""

import collections
import typing

__all__ = ['Retry', 'RetryBudget', 'Usage']

#: Share of the budget that gateways use. The rest is for requests and retries
#: that the caller, the gateway and the runner see in different windows.
USED_SHARE = 0.95
#: Part of the quota in the token bucket; the other is in the sliding window.
BUCKET_SHARE = 0.5
#: Part of a window's slack in the bucket that can be used at once.
BURST_SHARE = 0.5


class Usage(typing.NamedTuple):
    """Sends of one service by one gateway, and what it may still send."""

    first: int  # within the window
    retries: int  # by the sliding window: sent within it, or waiting
    tokens: float  # in the bucket
    slack_share: float


class _Counts:
    """Sends of one service, and its bucket."""

    def __init__(self, now_s: float):
        self.first_s: collections.deque[float] = collections.deque()
        self.sent_s: collections.deque[float] = collections.deque()
        #: Retries that have been allowed but not sent: by the sliding window,
        #: and with a token.
        self.waiting = 0
        self.waiting_tokens = 0
        self.tokens = 0.0
        self.refilled_s = now_s


class Retry:
    """A retry that the budget has allowed, until it is sent or released."""

    __slots__ = ('_counts', '_has_token', 'allowed_s')

    def __init__(self, counts: _Counts, has_token: bool, now_s: float):
        self._counts = counts
        self._has_token = has_token
        self.allowed_s = now_s
        if has_token:
            counts.tokens -= 1
            counts.waiting_tokens += 1
        else:
            counts.waiting += 1

    def mark_sent(self, now_s: float) -> None:
        """Count it as sent."""
        if self._has_token:
            self._counts.waiting_tokens -= 1
        else:
            self._counts.waiting -= 1
            self._counts.sent_s.append(now_s)

    def release(self) -> None:
        """Return it to the budget; it will not be sent."""
        if self._has_token:
            self._counts.waiting_tokens -= 1
            self._counts.tokens += 1
        else:
            self._counts.waiting -= 1


class RetryBudget:
    """First sends and retries of this process, by service.

    ``started_s`` is when the process started, and ``slack_share`` returns its
    share of the slack, 0 to 1.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        started_s: float,
        slack_share: typing.Callable[[float], float],
    ):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self.started_s = started_s
        self._slack_share = slack_share
        self._counts: dict[str, _Counts] = {}

    def record_first(self, service: str, now_s: float) -> None:
        """Count a request, whose first send is no retry."""
        counts = self._current(service, now_s)
        counts.first_s.append(now_s)
        self._add_tokens(
            counts, USED_SHARE * BUCKET_SHARE * self._ratio, now_s
        )

    def try_acquire(self, service: str, now_s: float) -> Retry | None:
        """Allow a retry and count it; None if no quota is left."""
        counts = self._current(service, now_s)
        if counts.tokens >= 1:
            return Retry(counts, True, now_s)
        retries = len(counts.sent_s) + counts.waiting
        if retries + 1 > self._window_quota(counts, now_s):
            return None
        return Retry(counts, False, now_s)

    def usage(self, service: str, now_s: float) -> Usage:
        """Return what is counted for a service."""
        counts = self._current(service, now_s)
        return Usage(
            len(counts.first_s),
            len(counts.sent_s) + counts.waiting,
            counts.tokens,
            self._slack_share(now_s),
        )

    def _current(self, service: str, now_s: float) -> _Counts:
        """Return the counts of a service as of now."""
        counts = self._counts.get(service)
        if counts is None:
            counts = self._counts[service] = _Counts(self.started_s)
        for times_s in (counts.first_s, counts.sent_s):
            while times_s and times_s[0] <= now_s - self._window_s:
                times_s.popleft()
        self._refill(counts, now_s)
        return counts

    def _window_quota(self, counts: _Counts, now_s: float) -> float:
        """Return the retries that the sliding window permits."""
        if now_s < self.started_s + self._window_s:
            return 0.0
        earned = self._ratio * len(counts.first_s)
        slack = self._slack * self._slack_share(now_s)
        return USED_SHARE * (1 - BUCKET_SHARE) * (earned + slack)

    # The token bucket.

    def _bucket_slack(self, now_s: float) -> float:
        """Return the slack of a window that the bucket may add."""
        share = self._slack_share(now_s)
        return USED_SHARE * BUCKET_SHARE * self._slack * share

    def _refill(self, counts: _Counts, now_s: float) -> None:
        """Add the slack for the time since the last refill."""
        slack = self._bucket_slack(now_s)
        per_s = max(0.0, slack - self._capacity(slack)) / self._window_s
        elapsed_s = now_s - counts.refilled_s
        counts.refilled_s = now_s
        self._add_tokens(counts, per_s * elapsed_s, now_s)

    def _add_tokens(
        self, counts: _Counts, tokens: float, now_s: float
    ) -> None:
        capacity = self._capacity(self._bucket_slack(now_s))
        # What waits to be sent counts, so that in no window more is sent than
        # the capacity and what is added in it.
        free = max(0.0, capacity - counts.waiting_tokens)
        counts.tokens = min(counts.tokens + tokens, free)

    def _capacity(self, slack: float) -> float:
        """Return the tokens that a bucket holds, at least one."""
        return max(1.0, BURST_SHARE * slack)
