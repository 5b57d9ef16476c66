# SPDX-License-Identifier: Apache-2.0

"""The wait queue of a runner: strict priorities, fair shares, timeouts.

A lower priority number is served first. Within a priority, teams get slots
in proportion to their weights, by start-time fair queueing over a virtual
time. A request that is not expected to start before its time in the queue
ends is refused at once, with the time after which to retry.
"""

import heapq
import typing

from mountridge import errors

__all__ = ['Queue', 'QueuedRequest']

#: Weight of a new sample in the moving average of the service time.
SMOOTHING = 0.1


class QueuedRequest(typing.NamedTuple):
    """A request in the queue."""

    attempt_id: str
    team: str
    priority: int
    weight: float
    expires_s: float  # monotonic


class Queue:
    """Waiting and running requests of one runner with ``slots``.

    ``reserved`` slots are reserved for priority 0. `mean_s` is the moving
    average of the time that a request occupies its slot.
    """

    def __init__(self, slots: int, reserved: int, mean_s: float = 1.0):
        self.slots = slots
        self.reserved = reserved
        self.mean_s = mean_s
        self.running: dict[str, tuple[int, float]] = {}
        #: Waiting requests with their start tags in virtual time.
        self._waiting: dict[str, tuple[QueuedRequest, float]] = {}
        self._heaps: dict[int, list[tuple[float, int, str]]] = {}
        self._finish_tags: dict[tuple[int, str], float] = {}
        self._virtual_time: dict[int, float] = {}
        self._push_count = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def _start_tag(self, priority: int, team: str) -> float:
        """Return the virtual start time of a team's next request."""
        return max(
            self._virtual_time.get(priority, 0.0),
            self._finish_tags.get((priority, team), 0.0),
        )

    def _count_ahead(self, priority: int, start_tag: float) -> int:
        """Return how many waiting requests are served before such a one."""
        return sum(
            1
            for item, other_tag in self._waiting.values()
            if item.priority < priority
            or (item.priority == priority and other_tag <= start_tag)
        )

    def _free_slots(self, priority: int) -> int:
        reserved = 0 if priority == 0 else self.reserved
        return self.slots - reserved - len(self.running)

    def expected_wait_s(self, priority: int, team: str = '') -> float:
        """Return the time that a team's new request is expected to wait.

        Only requests ahead of it count: a team within its share does not
        wait for the backlog of another team.
        """
        ahead = self._count_ahead(priority, self._start_tag(priority, team))
        if self._free_slots(priority) > 0 and not ahead:
            return 0.0
        usable = self.slots - (0 if priority == 0 else self.reserved)
        return (ahead + 1) * self.mean_s / usable

    def push(self, item: QueuedRequest, now_s: float) -> None:
        """Put a request into the queue.

        :raises Busy: it is expected to expire before it starts; the error
            has ``retry_after_s``.
        """
        wait_s = self.expected_wait_s(item.priority, item.team)
        left_s = item.expires_s - now_s
        if wait_s > left_s or (left_s <= 0 and wait_s > 0):
            raise errors.Busy(
                f'expected wait of {wait_s:.1f} s exceeds the'
                f' {max(0, left_s):.1f} s allowed in the queue',
                retry_after_s=max(self.mean_s / self.slots, wait_s - left_s),
            )
        start_tag = self._start_tag(item.priority, item.team)
        self._finish_tags[item.priority, item.team] = (
            start_tag + 1 / item.weight
        )
        self._push_count += 1
        heap = self._heaps.setdefault(item.priority, [])
        heapq.heappush(heap, (start_tag, self._push_count, item.attempt_id))
        self._waiting[item.attempt_id] = (item, start_tag)

    def pop(self, now_s: float) -> QueuedRequest | None:
        """Move the next request to a free slot; return it, or None."""
        for priority in sorted(self._heaps):
            if self._free_slots(priority) <= 0:
                continue
            heap = self._heaps[priority]
            while heap:
                start_tag, _, attempt_id = heapq.heappop(heap)
                found = self._waiting.pop(attempt_id, None)
                if found is None:
                    continue
                item = found[0]
                self._virtual_time[priority] = start_tag
                self.running[attempt_id] = (priority, now_s)
                return item
            self._reset(priority)
        return None

    def _reset(self, priority: int) -> None:
        """Drop the tags of an idle priority to bound the memory used."""
        del self._heaps[priority]
        self._virtual_time.pop(priority, None)
        for key in [k for k in self._finish_tags if k[0] == priority]:
            del self._finish_tags[key]

    def remove(self, attempt_id: str) -> bool:
        """Remove a waiting request; return false if it is not waiting."""
        return self._waiting.pop(attempt_id, None) is not None

    def pop_expired(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return the requests that have expired."""
        found = [w for w, _ in self._waiting.values() if w.expires_s <= now_s]
        for item in found:
            del self._waiting[item.attempt_id]
        return found

    def release_slot(self, attempt_id: str, now_s: float) -> None:
        """Free the slot of an ended request and update the mean time."""
        found = self.running.pop(attempt_id, None)
        if found is not None:
            took_s = now_s - found[1]
            self.mean_s += SMOOTHING * (took_s - self.mean_s)
            self.mean_s = max(self.mean_s, 0.001)
