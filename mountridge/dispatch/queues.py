# SPDX-License-Identifier: Apache-2.0

"""The queue before a runner: strict classes, fair shares, bounded by time.

A lower priority number goes first. Within a priority, teams get slots by
weight (start-time fair queueing over a virtual time). A request that can't
start within its time in queue is refused at once, with the time after
which it could have been taken.
"""

import heapq
import typing

from mountridge import errors

__all__ = ['Queue', 'Waiting']

#: Weight of a new sample in the mean service time.
SMOOTHING = 0.1


class Waiting(typing.NamedTuple):
    """One request in the queue."""

    attempt_id: str
    team: str
    priority: int
    weight: float
    expires_s: float  # monotonic


class Queue:
    """Waiting and running requests of one runner with ``slots``.

    ``reserved`` slots are kept free for priority 0. `mean_s` is the mean
    time that a request keeps its slot.
    """

    def __init__(self, slots: int, reserved: int, mean_s: float = 1.0):
        self.slots = slots
        self.reserved = reserved
        self.mean_s = mean_s
        self.running: dict[str, tuple[int, float]] = {}
        #: Waiting requests with their place in the virtual time.
        self._waiting: dict[str, tuple[Waiting, float]] = {}
        self._heaps: dict[int, list[tuple[float, int, str]]] = {}
        self._finish: dict[tuple[int, str], float] = {}
        self._virtual: dict[int, float] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def _start(self, priority: int, team: str) -> float:
        """Return where a team's next request stands in its class."""
        return max(
            self._virtual.get(priority, 0.0),
            self._finish.get((priority, team), 0.0),
        )

    def _ahead(self, priority: int, start: float) -> int:
        """Return how many waiting requests go before such a one."""
        return sum(
            1
            for item, other in self._waiting.values()
            if item.priority < priority
            or (item.priority == priority and other <= start)
        )

    def _free(self, priority: int) -> int:
        kept = 0 if priority == 0 else self.reserved
        return self.slots - kept - len(self.running)

    def wait_s(self, priority: int, team: str = '') -> float:
        """Return the time that a team's new request would likely wait.

        Only what goes before it counts: a team within its share does not
        wait for another one's backlog.
        """
        ahead = self._ahead(priority, self._start(priority, team))
        if self._free(priority) > 0 and not ahead:
            return 0.0
        usable = self.slots - (0 if priority == 0 else self.reserved)
        return (ahead + 1) * self.mean_s / usable

    def push(self, item: Waiting, now_s: float) -> None:
        """Put a request into the queue.

        :raises Busy: it would wait past its time; with ``retry_after_s``.
        """
        wait_s = self.wait_s(item.priority, item.team)
        left_s = item.expires_s - now_s
        if wait_s > left_s or (left_s <= 0 and wait_s > 0):
            raise errors.Busy(
                f'wait {wait_s:.1f} s, allowed {max(0, left_s):.1f} s',
                retry_after_s=max(self.mean_s / self.slots, wait_s - left_s),
            )
        start = self._start(item.priority, item.team)
        self._finish[item.priority, item.team] = start + 1 / item.weight
        self._count += 1
        heap = self._heaps.setdefault(item.priority, [])
        heapq.heappush(heap, (start, self._count, item.attempt_id))
        self._waiting[item.attempt_id] = (item, start)

    def pop(self, now_s: float) -> Waiting | None:
        """Start the next request that has a slot, or return None."""
        for priority in sorted(self._heaps):
            if self._free(priority) <= 0:
                continue
            heap = self._heaps[priority]
            while heap:
                start, _, attempt_id = heapq.heappop(heap)
                found = self._waiting.pop(attempt_id, None)
                if found is None:
                    continue
                item = found[0]
                self._virtual[priority] = start
                self.running[attempt_id] = (priority, now_s)
                return item
            self._reset(priority)
        return None

    def _reset(self, priority: int) -> None:
        """Forget the shares of an idle class, so the maps stay small."""
        del self._heaps[priority]
        self._virtual.pop(priority, None)
        for key in [k for k in self._finish if k[0] == priority]:
            del self._finish[key]

    def remove(self, attempt_id: str) -> bool:
        """Take a waiting request out; false where it does not wait."""
        return self._waiting.pop(attempt_id, None) is not None

    def expired(self, now_s: float) -> list[Waiting]:
        """Take out and return the requests whose time in queue is over."""
        late = [w for w, _ in self._waiting.values() if w.expires_s <= now_s]
        for item in late:
            del self._waiting[item.attempt_id]
        return late

    def done(self, attempt_id: str, now_s: float) -> None:
        """Free the slot of a request that has ended."""
        found = self.running.pop(attempt_id, None)
        if found is not None:
            took_s = now_s - found[1]
            self.mean_s += SMOOTHING * (took_s - self.mean_s)
            self.mean_s = max(self.mean_s, 0.001)
