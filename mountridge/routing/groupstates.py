# SPDX-License-Identifier: Apache-2.0

"""Tracks whether the group of a runner accepts requests.

All ranks of a group refuse requests while the group is closed: for some
seconds after one of them was lost, or until all have started. Each refusal
uses up one attempt of a request. After a start of all boxes a request would
use up all of its attempts within milliseconds and fail, although the group
opens soon.

The state follows from the reports of sidecars, which are sent at once when
the state of the group changes, from a rank that refuses a request though it
has free slots, and from a rank that accepts one.
"""

__all__ = ['GroupState', 'MAX_CLOSED_WAIT_S']

#: How long a refusal by a rank with free slots marks its group as closed if
#: no newer report arrives; after that requests without an attempt probe it.
#: Longer than a report takes by way of the leader (0.15 s), shorter than a
#: group takes to form (0.6 s).
REFUSAL_VALID_S = 0.3
#: A report of a closed group is ignored once it is older than this. Sidecars
#: report every 0.5 s at the latest.
REPORT_VALID_S = 1.5
#: Requests don't wait for a group that has been closed for longer: it has
#: lost a rank for good, or some ranks never started. A group opens again 2
#: to 4 s after the loss of a rank, and 2.5 s after a loss of all power.
MAX_CLOSED_WAIT_S = 4.0


class GroupState:
    """The state of the group of one runner, as known to this gateway."""

    def __init__(self) -> None:
        self._reported_open = True
        self._reported_s = float('-inf')
        self._refused_s = float('-inf')

    @property
    def is_known(self) -> bool:
        """Whether a report or an accepted request has shown the state."""
        return self._reported_s > float('-inf')

    def record_report(self, is_open: bool, now_s: float) -> bool:
        """Record a report or an accepted request.

        Returns whether the group counted as closed and is now open.
        """
        was_closed = self.is_closed(now_s, was_refused=True)
        self._reported_open = is_open
        self._reported_s = now_s
        return was_closed and is_open

    def record_refusal(self, now_s: float) -> None:
        """Record that the rank refused a request though it had free slots."""
        self._refused_s = now_s

    def is_closed(self, now_s: float, was_refused: bool = False) -> bool:
        """Return whether a request sent now would likely be refused.

        For a request that ``was_refused`` before, the group counts as closed
        until a report or an accepted request shows that it is open.
        """
        if was_refused and not self.is_known:
            return True
        if self._reported_s >= self._refused_s:
            return (
                not self._reported_open
                and now_s - self._reported_s < REPORT_VALID_S
            )
        return was_refused or now_s - self._refused_s < REFUSAL_VALID_S
