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

Confirm = typing.Callable[[], typing.Awaitable[None]]


class ViewGuard:
    """Holds back requests while the view may be outdated.

    ``confirm`` returns once the lease has been renewed since the last pause.
    """

    def __init__(self, lease: leases.HeldLease, confirm: Confirm):
        self._lease = lease
        self._confirm = confirm

    @property
    def pauses(self) -> int:
        """The number of pauses so far; state of earlier ones is outdated."""
        return self._lease.pauses

    def age_s(self, now_s: float) -> float:
        """Return how long ago the view was known to be up to date."""
        return now_s - self._lease.confirmed_s

    def check(self) -> None:
        """Check that the view is not from before a pause.

        :raises NoLease: it is.
        """
        if not self._lease.is_current():
            raise errors.NoLease('not run for a while, the view is outdated')

    async def wait(self) -> None:
        """Wait until the view is not from before a pause.

        :raises NoLease: it was not confirmed in time.
        """
        if self._lease.is_current():
            return
        with trio.move_on_after(WAIT_S):
            await self._confirm()
        self.check()


async def _confirm_nothing() -> None:
    """Return at once, where no lease is held."""


def unguarded() -> ViewGuard:
    """Return the guard of a process without pauses."""
    return ViewGuard(leases.HeldLease(), _confirm_nothing)
