# SPDX-License-Identifier: Apache-2.0

"""Wait queue for the requests of one gateway to one service.

Ordered by priority, and by arrival among requests of the same priority.
"""

import bisect
import itertools

import trio

__all__ = ['WaitQueue', 'Waiter']


class Waiter:
    """One request in a wait queue."""

    def __init__(self, key: tuple[int, int]):
        self.key = key
        #: Set when the position may have changed; the task that waits on it
        #: replaces it with a new event.
        self.moved = trio.Event()


class WaitQueue:
    """The waiting requests, in the order in which they are sent."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def join(self, priority: int) -> Waiter:
        """Add a waiter behind all of the same or a more urgent priority.

        Where it is inserted before others, only the last waiter is woken: it
        has the latest send time, so it is the first that may have to be
        refused.
        """
        waiter = Waiter((priority, next(self._arrivals)))
        bisect.insort(self._waiters, waiter, key=_key)
        self._waiters[-1].moved.set()
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Remove a waiter and wake the one that is first now."""
        self._waiters.remove(waiter)
        if self._waiters:
            self._waiters[0].moved.set()

    def count_ahead(self, waiter: Waiter) -> int:
        """Return how many requests are ahead of ``waiter``."""
        return bisect.bisect_left(self._waiters, waiter.key, key=_key)


def _key(waiter: Waiter) -> tuple[int, int]:
    return waiter.key
