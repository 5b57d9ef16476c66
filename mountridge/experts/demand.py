# SPDX-License-Identifier: Apache-2.0

"""Estimates the current demand for each expert and detects demand shifts.

Demand stays constant for several seconds and then changes abruptly. Counts
of expert selections are therefore averaged only over the time since the
last shift. A shift is detected when the newest counts differ from this mean
much more than they usually do. Reports cover some time, so the first counts
after a shift are partly from before it; their number is estimated from the
experts that were selected most, and they are subtracted.
"""

import typing

__all__ = ['Demand', 'NO_COUNTS', 'PackedCounts', 'pack', 'unpack']

#: Length of the window of counts that is compared with the mean. In shorter
#: windows single prompts look like shifts.
SPAN_S = 0.2
#: The window moves by half of its length, so that a shift is noticed soon.
PART_S = SPAN_S / 2
#: A shift is detected when at least this share of the selections went to
#: other experts than in the mean, and when the share exceeds the usual one
#: by this factor.
MIN_SHIFT_DISTANCE = 0.12
SHIFT_RATIO = 1.7
#: Distance from the mean before any has been measured: a demand that shifts
#: this early is noticed only if it differs much.
FIRST_DISTANCE = 0.12
#: Weight of the newest distance in the moving average of distances.
SMOOTHING = 0.05
#: Factor by which the mean decays with each part: a mean over 2 s.
DECAY = 0.95
#: Parts after that of a detected shift whose counts may be partly from before
#: it: reports cover up to one window.
MIXED_PARTS = 2
#: Experts that received this share of the selections before a shift show how
#: many of a part's counts are from before it.
FORMER_SHARE = 0.25
#: Quantile, weighted by selections, of the ratio of their counts to the mean:
#: a shift keeps the popularity of some experts.
FORMER_QUANTILE = 0.15
#: Least share of counts from after the shift in a part for a plan from it.
MIN_NEW_SHARE = 0.5

#: Largest value of one byte of packed counts.
MAX_LEVEL = 255


class PackedCounts(typing.NamedTuple):
    """Selection counts, quantized to one byte per expert.

    Takes a third of the bytes of plain numbers; most reports are sent to
    another hall. The rounding error is less than a 500th of the largest
    count, on which no plan depends.
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
        self._part: list[float] = []
        self._part_start_s = 0.0
        #: Counts of the part before, if they are of the same demand.
        self._previous: list[float] = []
        #: How many parts may still have counts from before the last shift.
        self._mixed_parts = 0
        self._usual_distance = FIRST_DISTANCE
        #: Whether a shift was detected and too few counts are from after it.
        self.is_shifting = False

    @property
    def is_settled(self) -> bool:
        """Return whether the mean only has counts since the last shift."""
        return bool(self.mean) and not self.is_shifting

    def record(self, counts: PackedCounts, now_s: float) -> bool:
        """Add the counts of one report; return whether demand shifted."""
        levels, scale = counts.levels, counts.scale
        if len(self._part) != len(levels):
            self._part = [0.0] * len(levels)
            self.mean, self._previous, self._mixed_parts = [], [], 0
            self.is_shifting = False
            self._part_start_s = now_s
        # Unpacks and adds in one iteration: the leader handles dozens of
        # reports per second with thousands of counts each.
        self._part = [a + scale * b for a, b in zip(self._part, levels)]
        if now_s - self._part_start_s < PART_S:
            return False
        self._part_start_s = now_s
        if not any(self._part):
            return False
        shifted = self._close_part(self._part)
        self._part = [0.0] * len(levels)
        return shifted

    def _close_part(self, part: list[float]) -> bool:
        """Compare the window with the mean; return whether demand shifted."""
        if self._mixed_parts:
            # At least half of its counts are from after the shift.
            self._mixed_parts -= 1
            self.mean, self.is_shifting = part, False
            self._previous = [] if self._mixed_parts else part
            return False
        previous, self._previous = self._previous, part
        window = [a + b for a, b in zip(previous, part)] if previous else part
        if not self.mean:
            self.mean = part
            return False
        distance = _distance(window, self.mean)
        if previous and distance > max(
            MIN_SHIFT_DISTANCE, SHIFT_RATIO * self._usual_distance
        ):
            self._mixed_parts, self._previous = MIXED_PARTS, []
            self._use_new_counts(part, self.mean)
            return True
        self._usual_distance += SMOOTHING * (distance - self._usual_distance)
        self.mean = [DECAY * m + n for m, n in zip(self.mean, part)]
        return False

    def _use_new_counts(self, part: list[float], former: list[float]) -> None:
        """Set the mean to the counts of a part that are from after a shift."""
        former_share = _former_share(part, former)
        self.is_shifting = 1 - former_share < MIN_NEW_SHARE
        scale = former_share * sum(part) / (sum(former) or 1.0)
        self.mean = [
            max(0.0, new - scale * old) for new, old in zip(part, former)
        ]


def _former_share(counts: list[float], former: list[float]) -> float:
    """Return which share of the counts is from before a shift, 0 to 1."""
    order = sorted(range(len(former)), key=former.__getitem__, reverse=True)
    total, former_total = sum(counts) or 1.0, sum(former) or 1.0
    weight, ratios = 0.0, []
    for expert in order:
        if weight >= FORMER_SHARE * former_total:
            break
        weight += former[expert]
        ratio = counts[expert] / total * former_total / former[expert]
        ratios.append((ratio, former[expert]))
    below = 0.0
    for ratio, amount in sorted(ratios):
        below += amount
        if below >= FORMER_QUANTILE * weight:
            return min(1.0, ratio)
    return 0.0


def _distance(counts: list[float], mean: list[float]) -> float:
    """Return the total variation distance of two distributions, 0 to 1."""
    if not mean:
        return 0.0
    counts_sum, mean_sum = sum(counts), sum(mean)
    return 0.5 * sum(
        abs(a / counts_sum - b / mean_sum) for a, b in zip(counts, mean)
    )
