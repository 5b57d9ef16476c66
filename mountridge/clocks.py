# SPDX-License-Identifier: Apache-2.0

"""A monotonic clock that includes the time of suspensions.

The monotonic clock of the system stops while a machine is suspended, so a
lease or backoff that ended in the meantime would still seem to be valid.
Timers run on that clock; the code that they resume must check deadlines
against this one.

Imported first at a start, so it imports the standard library alone.
"""

import time
import typing

__all__ = ['Clock', 'MIN_SUSPENSION_S', 'counts_suspension', 'now_s']

#: Shortest suspension that is reported: less than the shortest timeout (of
#: connecting to a runner, 0.3 s), and more than the delay between the readings
#: of the two clocks in a busy process.
MIN_SUSPENSION_S = 0.25
#: Number of readings to determine the offset of the two clocks. A process
#: interrupted between the two readings underestimates the offset.
OFFSET_READINGS = 3

Reading = typing.Callable[[], float]


def _find_clock() -> tuple[bool, Reading]:
    """Return whether a clock counts suspensions, and the best clock."""
    clock = getattr(time, 'CLOCK_BOOTTIME', None)
    if clock is None:
        return False, time.monotonic
    try:
        time.clock_gettime(clock)
    except OSError:
        return False, time.monotonic
    return True, lambda: time.clock_gettime(clock)


#: Whether `now_s` counts suspensions; if not, it is the monotonic clock.
counts_suspension, now_s = _find_clock()


class Clock:
    """The clock of a process, which detects suspensions."""

    def __init__(
        self,
        on_suspension: typing.Callable[[float], None],
        real: Reading = now_s,
        steady: Reading = time.monotonic,
    ):
        self._on_suspension = on_suspension
        self._real = real
        self._steady = steady
        #: Offset of the real clock from the steady clock.
        self._offset_s = max(real() - steady() for _ in range(OFFSET_READINGS))

    def now_s(self) -> float:
        """Return the time in seconds since an arbitrary moment.

        It never goes back. A suspension is reported to ``on_suspension``
        before the method returns.
        """
        now_s = self._real()
        gap_s = now_s - self._steady() - self._offset_s
        if gap_s > MIN_SUSPENSION_S:
            self._offset_s += gap_s
            self._on_suspension(gap_s)
        return now_s
