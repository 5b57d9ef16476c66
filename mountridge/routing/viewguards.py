# SPDX-License-Identifier: Apache-2.0

"""Whether requests may be handled by the view that this process holds.

A gateway serves on without a lease, so that callers are served while the
controllers can't be reached. But after a pause, in which the process was not
run, all that it knows is as old as the pause, and the changes that it missed
may wait beside the requests. So requests wait until a renewal that was sent
after the pause is granted.
"""

import typing

import trio

from mountridge import errors
from mountridge.state import leases

__all__ = ['ViewGuard', 'unguarded']

#: How long a request may wait for the view to be confirmed: longer than a
#: renewal and a search for another leader take. Then another gateway is the
#: better choice for the caller.
WAIT_S = 0.6

Clock = typing.Callable[[], float]
Confirm = typing.Callable[[], typing.Awaitable[None]]


class ViewGuard:
    """Holds back requests while the view may be outdated.

    ``confirm`` returns once the lease has been renewed since the last pause.
    ``now_s`` reads the clock, which detects a pause that has just ended.
    """

    def __init__(
        self, lease: leases.HeldLease, confirm: Confirm, now_s: Clock
    ):
        self._lease = lease
        self._confirm = confirm
        self._now_s = now_s

    def pauses(self) -> int:
        """Return the number of pauses; state of earlier ones is outdated."""
        self._now_s()
        return self._lease.pauses

    def is_current(self) -> bool:
        """Return whether the view is not from before a pause."""
        self._now_s()
        return self._lease.is_current()

    def age_s(self) -> float:
        """Return how long ago the view was known to be up to date."""
        return self._now_s() - self._lease.confirmed_s

    async def wait(self) -> int:
        """Wait until the view is not from before a pause.

        Returns the number of pauses as it was called, so that one that comes
        later makes a difference.

        :raises NoLease: it was not confirmed in time.
        """
        pauses = self.pauses()
        if self._lease.is_current():
            return pauses
        with trio.move_on_after(WAIT_S):
            await self._confirm()
        if not self.is_current():
            raise errors.NoLease('not run for a while, the view is outdated')
        return pauses


async def _confirm_nothing() -> None:
    """Return at once, where no lease is held."""


def unguarded(now_s: Clock) -> ViewGuard:
    """Return the guard of a process without pauses."""
    return ViewGuard(leases.HeldLease(), _confirm_nothing, now_s)
