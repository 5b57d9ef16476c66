# SPDX-License-Identifier: Apache-2.0

"""The clock that all decides by: it counts the time of a suspension.

The steady clock of the system stands still while a machine is suspended, so
a lease or a rest of before would look young to a process that has slept past
it. Timers run on that clock, and so whatever they wake decides by this one.
Loaded before all else at a start: imports nothing but parts of the standard
library.
"""

import time
import typing

__all__ = ['Clock', 'MIN_SUSPENSION_S', 'counts_suspension', 'now_s']

#: A suspension that is told: below the shortest bound that it could break,
#: the 0.3 s in which a connection to a runner is made, and far above what
#: passes between the two readings of a busy process.
MIN_SUSPENSION_S = 0.25
#: Readings by which the distance of the two clocks is found. One that is
#: interrupted between the two shows too little of it.
FIRST_LOOKS = 3

Reading = typing.Callable[[], float]


def _find() -> tuple[bool, Reading]:
    """Return whether a clock counts suspended time, and the best there is."""
    clock = getattr(time, 'CLOCK_BOOTTIME', None)
    if clock is None:
        return False, time.monotonic
    try:
        time.clock_gettime(clock)
    except OSError:
        return False, time.monotonic
    return True, lambda: time.clock_gettime(clock)


#: Whether `now_s` counts suspended time; without, it is the steady clock.
counts_suspension, now_s = _find()


class Clock:
    """The clock of a process, which tells when it was suspended."""

    def __init__(
        self,
        on_suspension: typing.Callable[[float], None],
        real: Reading = now_s,
        steady: Reading = time.monotonic,
    ):
        self._on_suspension = on_suspension
        self._real = real
        self._steady = steady
        self._ahead_s = max(real() - steady() for _ in range(FIRST_LOOKS))

    def now_s(self) -> float:
        """Return the present time; tells of a gap before that is acted on.

        A time in seconds from some moment, which never goes back.
        """
        now_s = self._real()
        gap_s = now_s - self._steady() - self._ahead_s
        if gap_s > MIN_SUSPENSION_S:
            self._ahead_s += gap_s
            self._on_suspension(gap_s)
        return now_s
