# SPDX-License-Identifier: Apache-2.0

"""The retry budget of each service, shared by all gateways.

In each window the retries of a service may be at most ``ratio`` times its
requests, plus a slack. A gateway's quota is what its own requests earn and
its share of the slack, so that the limit holds for the sum without messages
between gateways:

- A token bucket gets what requests earn, and holds up to half of the slack. It
  is empty when the process starts, so that a restart never adds to what the
  gateway may send.
- A sliding window permits the other half of the slack. It needs a record of a
  whole window, so a process uses it only once it is older.

A retry counts from when it is allowed until a window after it was sent, since
it may wait for a runner in between.
"""

import collections
import typing

__all__ = ['Retry', 'RetryBudget', 'Usage']

#: Share of the budget that gateways use. The rest is for requests and retries
#: that the caller, the gateway and the runner see in different windows.
USED_SHARE = 0.95
#: Part of the slack that the token bucket holds; the other is in the sliding
#: window.
BUCKET_SHARE = 0.5
#: Tokens that a bucket holds at least, and those that it holds without a share
#: of the slack; the slack for each gateway is larger.
MIN_CAPACITY = 1.0
UNSHARED_CAPACITY = 2.0


class Usage(typing.NamedTuple):
    """Retries of one service by one gateway, and what it may still send."""

    retries: int  # by the sliding window: sent within it, or waiting
    tokens: float  # in the bucket
    slack_share: float


class _Counts:
    """Retries of one service, and its bucket."""

    def __init__(self) -> None:
        self.sent_s: collections.deque[float] = collections.deque()
        #: Retries that have been allowed but not sent: by the sliding window,
        #: and with a token.
        self.waiting = 0
        self.waiting_tokens = 0
        self.tokens = 0.0


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
    """What this process may retry, by service.

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
        self._counts: collections.defaultdict[str, _Counts] = (
            collections.defaultdict(_Counts)
        )

    def record_first(self, service: str, now_s: float) -> None:
        """Count a request, whose first send is no retry."""
        counts = self._counts[service]
        counts.tokens += USED_SHARE * self._ratio
        self._limit_tokens(counts, now_s)

    def try_acquire(self, service: str, now_s: float) -> Retry | None:
        """Allow a retry and count it; None if no quota is left."""
        counts = self._current(service, now_s)
        if counts.tokens >= 1:
            return Retry(counts, True, now_s)
        retries = len(counts.sent_s) + counts.waiting
        if retries + 1 > self._window_quota(now_s):
            return None
        return Retry(counts, False, now_s)

    def usage(self, service: str, now_s: float) -> Usage:
        """Return what is counted for a service."""
        counts = self._current(service, now_s)
        return Usage(
            len(counts.sent_s) + counts.waiting,
            counts.tokens,
            self._slack_share(now_s),
        )

    def _current(self, service: str, now_s: float) -> _Counts:
        """Return the counts of a service as of now."""
        counts = self._counts[service]
        while counts.sent_s and counts.sent_s[0] <= now_s - self._window_s:
            counts.sent_s.popleft()
        self._limit_tokens(counts, now_s)
        return counts

    def _slack_of(self, part: float, slack_share: float) -> float:
        """Return a part of this gateway's slack for a window."""
        return USED_SHARE * part * self._slack * slack_share

    def _window_quota(self, now_s: float) -> float:
        """Return the retries that the sliding window permits."""
        if now_s < self.started_s + self._window_s:
            return 0.0
        return self._slack_of(1 - BUCKET_SHARE, self._slack_share(now_s))

    def _limit_tokens(self, counts: _Counts, now_s: float) -> None:
        """Drop the tokens that the bucket does not hold.

        What waits to be sent takes room, so that in no window more is sent
        than the bucket holds and what is added in it.
        """
        room = self._capacity(now_s) - counts.waiting_tokens
        counts.tokens = min(counts.tokens, max(0.0, room))

    def _capacity(self, now_s: float) -> float:
        """Return the tokens that a bucket holds."""
        slack_share = self._slack_share(now_s)
        if not slack_share:
            return UNSHARED_CAPACITY
        return max(MIN_CAPACITY, self._slack_of(BUCKET_SHARE, slack_share))
