# SPDX-License-Identifier: Apache-2.0

"""The largest of the values recorded lately."""

import collections

__all__ = ['RecentMax']


class RecentMax:
    """The largest value of a span up to now, of values recorded in order."""

    def __init__(self, span_s: float):
        self._span_s = span_s
        #: (time, value), each larger than those after it.
        self._values: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record(self, value: int, now_s: float) -> int:
        """Record a value, and return the largest of the span."""
        values = self._values
        while values and values[-1][1] <= value:
            values.pop()
        values.append((now_s, value))
        while values[0][0] < now_s - self._span_s:
            values.popleft()
        return values[0][1]
