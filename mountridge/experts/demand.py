# SPDX-License-Identifier: Apache-2.0

"""Estimates the current demand for each expert and detects demand shifts.

Demand stays constant for several seconds and then changes abruptly. Counts
of expert selections are therefore averaged only over the time since the
last shift. A shift is detected when the newest counts differ from this mean
much more than they usually do.
"""

import typing

__all__ = ['Demand', 'NO_COUNTS', 'PackedCounts', 'pack', 'unpack']

#: Length of the window of counts that is compared with the mean. In shorter
#: windows single prompts look like shifts.
SPAN_S = 0.2
#: A shift is detected when at least this share of the selections went to
#: other experts than in the mean, and when the share exceeds the usual one
#: by this factor.
MIN_SHIFT_DISTANCE = 0.2
SHIFT_RATIO = 1.7
#: Weight of the newest distance in the moving average of distances.
SMOOTHING = 0.1
#: Factor by which the mean decays with each window: a mean over 2 s.
DECAY = 0.9

#: Largest value of one byte of packed counts.
MAX_LEVEL = 255


class PackedCounts(typing.NamedTuple):
    """Selection counts, quantized to one byte per expert.

    Takes a third of the bytes of plain numbers. The rounding error is less
    than a 500th of the largest count.
    """

    scale: float  # selections per unit of a level
    levels: bytes


NO_COUNTS = PackedCounts(0.0, b'')


def pack(counts: list[int]) -> PackedCounts:
    """Return counts in the form in which they are sent."""
    largest = max(counts, default=0)
    if largest <= 0:
        return PackedCounts(0.0, bytes(len(counts)))
    # Integer arithmetic: faster than dividing and rounding each count.
    half = largest // 2
    levels = bytes([(MAX_LEVEL * count + half) // largest for count in counts])
    return PackedCounts(largest / MAX_LEVEL, levels)


def unpack(packed: PackedCounts) -> list[float]:
    """Return the counts, subject to the rounding error of packing."""
    return [packed.scale * level for level in packed.levels]


class Demand:
    """Selection counts of each expert, set by set, since the last shift."""

    def __init__(self) -> None:
        self.mean: list[float] = []
        self._window: list[float] = []
        self._window_start_s = 0.0
        self._usual_distance = MIN_SHIFT_DISTANCE / SHIFT_RATIO
        #: Whether the previous window had a shift. That window may contain
        #: counts from before the shift.
        self.is_shifting = False

    @property
    def is_settled(self) -> bool:
        """Return whether the mean only has counts since the last shift."""
        return bool(self.mean) and not self.is_shifting

    def record(self, counts: PackedCounts, now_s: float) -> bool:
        """Add the counts of one report; return whether demand shifted."""
        levels, scale = counts.levels, counts.scale
        if len(self._window) != len(levels):
            self._window = [0.0] * len(levels)
            self.mean = []
            self._window_start_s = now_s
        # Unpacks and adds in one iteration: the leader handles dozens of
        # reports per second with thousands of counts each.
        self._window = [a + scale * b for a, b in zip(self._window, levels)]
        if now_s - self._window_start_s < SPAN_S:
            return False
        self._window_start_s = now_s
        if not any(self._window):
            return False
        shifted = self._close_window()
        self._window = [0.0] * len(levels)
        return shifted

    def _close_window(self) -> bool:
        """Compare the window with the mean; return whether demand shifted."""
        distance = _distance(self._window, self.mean)
        if self.is_shifting or not self.mean:
            self.is_shifting = False
            self.mean = self._window
            return False
        if distance > max(
            MIN_SHIFT_DISTANCE, SHIFT_RATIO * self._usual_distance
        ):
            self.is_shifting = True
            self.mean = self._window
            return True
        self._usual_distance += SMOOTHING * (distance - self._usual_distance)
        self.mean = [DECAY * m + n for m, n in zip(self.mean, self._window)]
        return False


def _distance(counts: list[float], mean: list[float]) -> float:
    """Return the total variation distance of two distributions, 0 to 1."""
    if not mean:
        return 0.0
    counts_sum, mean_sum = sum(counts), sum(mean)
    return 0.5 * sum(
        abs(a / counts_sum - b / mean_sum) for a, b in zip(counts, mean)
    )
