# SPDX-License-Identifier: Apache-2.0

"""Expert maps: which rank holds which expert, and when to move some.

All ranks of a group advance together, so a step takes as long as the most
loaded rank. A move is taken where the waiting that it saves within
`HORIZON_S`, by the row's weight of skew, is worth more than the bytes that
it moves, by the row's weight of moving. The gain must show in a fast and a
slow mean of the load alike: so a load that flaps moves nothing.
"""

import typing

from mountridge.experts import mapsearch

__all__ = [
    'ExpertMap', 'Loads', 'Plan', 'Weights', 'first_map', 'moved_experts',
    'plan', 'rank_loads', 'skew', 'smooth',
]  # fmt: skip

#: Time within which a move must pay, in seconds.
HORIZON_S = 120.0
#: A new plan must promise this many times its cost.
MARGIN = 1.5
MAX_MOVES = 64
FAST, SLOW = 0.5, 0.1

ExpertMap, Loads = mapsearch.ExpertMap, mapsearch.Loads
rank_loads = mapsearch.rank_loads


class Weights(typing.NamedTuple):
    """The two columns of the row, and the size of an expert."""

    skew: float
    move: float
    expert_gib: float


class Plan(typing.NamedTuple):
    """A new map, what it costs and gains, and why."""

    new: ExpertMap
    moved: int  # experts copied to a rank
    skew_before: float
    skew_after: float
    reason: str


def first_map(ranks: int, slots: int, experts: int) -> ExpertMap:
    """Return the map that spreads experts evenly, spare slots too."""
    return tuple(
        tuple((rank * slots + slot) % experts for slot in range(slots))
        for rank in range(ranks)
    )


def smooth(loads: Loads | None, sample: list[float]) -> Loads:
    """Return the means with one more report in them."""
    if loads is None:
        return Loads(list(sample), list(sample))

    def mix(old: list[float], part: float) -> list[float]:
        return [o + part * (s - o) for o, s in zip(old, sample)]

    return Loads(mix(loads.fast, FAST), mix(loads.slow, SLOW))


def skew(placed: ExpertMap, load: list[float]) -> float:
    """Return how far the slowest rank is above the mean, as a part of it."""
    each = rank_loads(placed, load)
    mean = sum(each) / len(each)
    return max(each) / mean - 1 if mean > 0 else 0.0


def moved_experts(old: ExpertMap, new: ExpertMap) -> int:
    """Return how many experts some rank must fetch."""
    return sum(
        len(set(after) - set(before)) for before, after in zip(old, new)
    )


def plan(current: ExpertMap, loads: Loads, weights: Weights) -> Plan | None:
    """Return the moves that pay, or None where none do."""
    cost = weights.move * weights.expert_gib * MARGIN
    search = mapsearch.Search(current, loads)
    moves = 0
    while moves < MAX_MOVES:
        best = search.best()
        if best is None or best[0] * weights.skew * HORIZON_S <= cost:
            break
        search.take(best[1])
        moves += 1
    if not moves:
        return None
    new = tuple(tuple(slots) for slots in search.placed)
    before, after = skew(current, loads.fast), skew(new, loads.fast)
    fetched = moved_experts(current, new)
    saved_s = (before - after) * HORIZON_S
    return Plan(
        new,
        fetched,
        before,
        after,
        f'skew {before:.2f} -> {after:.2f}, {saved_s:.0f} s less waiting in '
        f'{HORIZON_S:.0f} s at weight {weights.skew:g}, for '
        f'{fetched * weights.expert_gib:.2f} GiB at weight {weights.move:g}',
    )
