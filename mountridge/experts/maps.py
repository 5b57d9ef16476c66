# SPDX-License-Identifier: Apache-2.0

"""Expert maps: which rank holds which expert, and when to move some.

All ranks of a group advance together, so a step takes as long as the most
loaded rank. A move is made when the waiting time that it saves within
`HORIZON_S`, weighted by the row's `skew`, exceeds the cost of the bytes that
it copies, weighted by the row's `move`. Both the fast and the slow moving
average of the load must show the gain, so that a short load spike moves
nothing.
"""

import typing

from mountridge.experts import mapsearch

__all__ = [
    'ExpertMap', 'Loads', 'Plan', 'Weights', 'first_map', 'moved_experts',
    'plan', 'rank_loads', 'skew', 'smooth',
]  # fmt: skip

#: Time within which a move must pay off, in seconds.
HORIZON_S = 120.0
#: Ratio of gain to cost that a move must exceed.
MARGIN = 1.5
MAX_MOVES = 64
#: Weights of a new sample in the fast and the slow moving average.
FAST, SLOW = 0.5, 0.1

ExpertMap, Loads = mapsearch.ExpertMap, mapsearch.Loads
rank_loads = mapsearch.rank_loads


class Weights(typing.NamedTuple):
    """Weights of a row for skew and moves, and the size of an expert."""

    skew: float
    move: float
    expert_gib: float


class Plan(typing.NamedTuple):
    """A new map, its cost and gain, and the reason for it."""

    new: ExpertMap
    moved: int  # experts copied to a rank
    skew_before: float
    skew_after: float
    reason: str


def first_map(ranks: int, slots: int, experts: int) -> ExpertMap:
    """Return a map that assigns experts to all slots round-robin."""
    return tuple(
        tuple((rank * slots + slot) % experts for slot in range(slots))
        for rank in range(ranks)
    )


def smooth(loads: Loads | None, sample: list[float]) -> Loads:
    """Return the moving averages updated with one sample."""
    if loads is None:
        return Loads(list(sample), list(sample))

    def update(old: list[float], weight: float) -> list[float]:
        return [o + weight * (s - o) for o, s in zip(old, sample)]

    return Loads(update(loads.fast, FAST), update(loads.slow, SLOW))


def skew(placement: ExpertMap, load: list[float]) -> float:
    """Return by how much the most loaded rank exceeds the mean, as a ratio."""
    each = rank_loads(placement, load)
    mean = sum(each) / len(each)
    return max(each) / mean - 1 if mean > 0 else 0.0


def moved_experts(old: ExpertMap, new: ExpertMap) -> int:
    """Return how many experts must be copied, over all ranks."""
    return sum(
        len(set(after) - set(before)) for before, after in zip(old, new)
    )


def plan(current: ExpertMap, loads: Loads, weights: Weights) -> Plan | None:
    """Return a plan of the moves that pay off, or None if there are none."""
    cost = weights.move * weights.expert_gib * MARGIN
    search = mapsearch.Search(current, loads)
    moves = 0
    while moves < MAX_MOVES:
        best = search.best_move()
        if best is None or best[0] * weights.skew * HORIZON_S <= cost:
            break
        search.apply(best[1])
        moves += 1
    if not moves:
        return None
    new = tuple(tuple(slots) for slots in search.placement)
    before, after = skew(current, loads.fast), skew(new, loads.fast)
    copied = moved_experts(current, new)
    saved_s = (before - after) * HORIZON_S
    return Plan(
        new,
        copied,
        before,
        after,
        f'skew {before:.2f} -> {after:.2f} saves {saved_s:.0f} s of waiting '
        f'in {HORIZON_S:.0f} s at weight {weights.skew:g}, for copying '
        f'{copied * weights.expert_gib:.2f} GiB at weight {weights.move:g}',
    )
