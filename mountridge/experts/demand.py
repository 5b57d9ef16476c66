# SPDX-License-Identifier: Apache-2.0

"""What the experts of a group are asked for now, from counts of choices.

Demand keeps for some seconds and then shifts at once. So counts are kept as
a mean over the time since the last shift, and a shift is told by how far
the newest counts lie from that mean: twice as far as usual.
"""

import typing

__all__ = ['PackedCounts', 'Demand', 'NO_COUNTS', 'pack', 'unpack']

#: Counts are compared with the mean each time that they span this long. Of
#: shorter spans single prompts tell too much: over 0.2 s the distance is 0.10
#: on average between shifts and 0.2 to 0.5 at one, on a group of 12 ranks.
SPAN_S = 0.2
#: Part of the choices that must have gone to other experts, and how many
#: times the usual part, for the newest counts to tell a shift. With these
#: all 9 shifts of a played day were told, and nothing else.
LEAST_DISTANCE = 0.2
TIMES_USUAL = 1.7
#: Weight of the newest distance in the usual one.
SMOOTHING = 0.1
#: Part of the mean that is kept at each span: a mean over 2 s.
KEPT = 0.9

#: Most that one byte of packed counts tells.
MOST = 255


class PackedCounts(typing.NamedTuple):
    """Counts of choices, a byte for each expert.

    A rank's report with counts as numbers takes 3 times the bytes, and
    most of them go to another hall. Less than a 500th of the most chosen
    expert's count is lost, which no plan depends on.
    """

    scale: float  # choices for each step of a byte
    levels: bytes


NO_COUNTS = PackedCounts(0.0, b'')


def pack(counts: list[int]) -> PackedCounts:
    """Return counts as they are sent."""
    most = max(counts, default=0)
    if most <= 0:
        return PackedCounts(0.0, bytes(len(counts)))
    # In whole numbers: half of the time of dividing and rounding each.
    half = most // 2
    parts = bytes([(MOST * count + half) // most for count in counts])
    return PackedCounts(most / MOST, parts)


def unpack(choices: PackedCounts) -> list[float]:
    """Return the counts that were sent, as far as they are told."""
    return [choices.scale * part for part in choices.levels]


class Demand:
    """The choices of each expert, set by set, since the last shift."""

    def __init__(self) -> None:
        self.mean: list[float] = []
        self._newest: list[float] = []
        self._since_s = 0.0
        self._usual = LEAST_DISTANCE / TIMES_USUAL
        #: Whether the span before saw a shift; it may hold some of before.
        self.is_shifting = False

    @property
    def is_settled(self) -> bool:
        """Return whether the mean holds only what was asked for since."""
        return bool(self.mean) and not self.is_shifting

    def record(self, choices: PackedCounts, now_s: float) -> bool:
        """Add the choices since the last report; tell if demand shifted."""
        counts, scale = choices.levels, choices.scale
        if len(self._newest) != len(counts):
            self._newest = [0.0] * len(counts)
            self.mean = []
            self._since_s = now_s
        # Read and added in one go: 0.25 ms instead of 0.8 ms for 3,840
        # counts, of which a leader takes 80 a second at 192 ranks.
        self._newest = [a + scale * b for a, b in zip(self._newest, counts)]
        if now_s - self._since_s < SPAN_S:
            return False
        self._since_s = now_s
        if not any(self._newest):
            return False
        shifted = self._close_span()
        self._newest = [0.0] * len(counts)
        return shifted

    def _close_span(self) -> bool:
        distance = _distance(self._newest, self.mean)
        if self.is_shifting or not self.mean:
            self.is_shifting = False
            self.mean = self._newest
            return False
        if distance > max(LEAST_DISTANCE, TIMES_USUAL * self._usual):
            self.is_shifting = True
            self.mean = self._newest
            return True
        self._usual += SMOOTHING * (distance - self._usual)
        self.mean = [KEPT * m + n for m, n in zip(self.mean, self._newest)]
        return False


def _distance(counts: list[float], mean: list[float]) -> float:
    """Return the part of the choices that lies elsewhere in the mean."""
    if not mean:
        return 0.0
    counted, meant = sum(counts), sum(mean)
    return 0.5 * sum(
        abs(a / counted - b / meant) for a, b in zip(counts, mean)
    )
