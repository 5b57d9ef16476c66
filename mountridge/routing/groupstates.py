# SPDX-License-Identifier: Apache-2.0

"""Whether the group of a runner takes requests, as a gateway knows it.

All ranks of a group refuse while it is not open: for some seconds after one
of them was lost or all have started. A request that is sent then has used up
one of its tries, and after a start of all boxes each of them would use up all
within 10 ms, so that its caller is refused though the group opens soon.

Three things tell: the reports of sidecars, which come at once when the state
of the group changes, a rank that refuses a request though it has room, and
one that takes a request.
"""

__all__ = ['Closure', 'HOPE_S']

#: A refusal by a rank with room stands for this long where nothing newer
#: says more; then requests that have no try behind them find out. Above the
#: way of a report by the leader, 0.15 s, and below the 0.6 s in which a group
#: forms.
REFUSED_S = 0.3
#: A report of a closed group that is older than this says nothing: sidecars
#: report each 0.5 s at the latest.
TOLD_S = 1.5
#: A group that is closed for longer has lost a rank for good, or some have
#: never come: nobody waits for it. After a loss of all power one opens 2.5 s
#: after its runners have gone, after the loss of one rank 2 to 4 s.
HOPE_S = 4.0


class Closure:
    """What is known of one runner's group."""

    def __init__(self) -> None:
        self._told_open = True
        self._told_s = float('-inf')
        self._refused_s = float('-inf')

    @property
    def is_proved(self) -> bool:
        """Whether anything was told of the group since this was made."""
        return self._told_s > float('-inf')

    def tell(self, is_open: bool, now_s: float) -> bool:
        """Take a report; return whether it says that the group has opened."""
        was_closed = self.is_closed(now_s, was_refused=True)
        self._told_open = is_open
        self._told_s = now_s
        return was_closed and is_open

    def refused(self, now_s: float) -> None:
        """Note that the rank refused a request though it had room."""
        self._refused_s = now_s

    def is_closed(self, now_s: float, was_refused: bool = False) -> bool:
        """Return whether a request sent now would likely be refused.

        One that ``was_refused`` before waits for a sign that it is not.
        """
        if was_refused and not self.is_proved:
            return True
        if self._told_s >= self._refused_s:
            return not self._told_open and now_s - self._told_s < TOLD_S
        return was_refused or now_s - self._refused_s < REFUSED_S
