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

__all__ = [
    'Clock', 'MIN_PAUSE_S', 'MIN_SUSPENSION_S', 'READ_INTERVAL_S',
    'counts_suspension', 'now_s',
]  # fmt: skip

#: Shortest suspension that is reported: less than the shortest timeout (of
#: connecting to a runner, 0.3 s), and more than the delay between the readings
#: of the two clocks in a busy process.
MIN_SUSPENSION_S = 0.25
#: A process reads its clock at least this often, so that it notices a pause.
READ_INTERVAL_S = 0.25
#: Shortest pause that is reported: above what a busy process takes for one
#: turn, and below the time within which changes must be in force (2 s).
MIN_PAUSE_S = 1.0
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
    """The clock of a process, which detects suspensions and pauses.

    In a pause the process was not run, whether its box was suspended, the
    process stopped or not scheduled, or one turn of it took that long. What
    it knows of others may be outdated by the length of the pause.
    """

    def __init__(
        self,
        on_suspension: typing.Callable[[float], None],
        real: Reading = now_s,
        steady: Reading = time.monotonic,
        on_pause: typing.Callable[[float], None] = lambda gap_s: None,
    ):
        self._on_suspension = on_suspension
        self._on_pause = on_pause
        #: Time of the newest reading; None until pauses are detected.
        self._read_s: float | None = None
        self._real = real
        self._steady = steady
        #: Offset of the real clock from the steady clock.
        self._offset_s = max(real() - steady() for _ in range(OFFSET_READINGS))

    def now_s(self) -> float:
        """Return the time in seconds since an arbitrary moment.

        It never goes back. A suspension is reported to ``on_suspension``,
        and a pause to ``on_pause``, before the method returns.
        """
        now_s = self._real()
        gap_s = now_s - self._steady() - self._offset_s
        if gap_s > MIN_SUSPENSION_S:
            self._offset_s += gap_s
            self._on_suspension(gap_s)
        self._detect_pause(now_s)
        return now_s

    def watch(self) -> None:
        """Detect pauses from now on.

        Requires a reading at least every `READ_INTERVAL_S`.
        """
        self._read_s = self._real()

    def _detect_pause(self, now_s: float) -> None:
        if self._read_s is None:
            return
        paused_s = now_s - self._read_s
        self._read_s = max(self._read_s, now_s)
        if paused_s > MIN_PAUSE_S:
            self._on_pause(paused_s)
