# SPDX-License-Identifier: Apache-2.0

"""A new expert map for a group, from counts and the paces of its ranks.

A pass waits in each set of layers for the most loaded rank, so the sum of
those ranks' loads over the sets is what a plan makes smaller. A rank that
is slow counts by as much more; one that is much slower gives its experts
away.
"""

import collections
import math
import typing

from mountridge.experts import maps, mapsearch, ranks

__all__ = ['EngineParameters', 'MapPlan', 'plan']

#: Part by which the passes' slowest ranks must get faster, set by set, for
#: a change to pay for its copies and its orders.
LEAST_GAIN = 0.1
#: Gain per expert copied below which it stays where it is, times the ranks.
#: One copy lowers the norm of `mapsearch` by less the more ranks share it,
#: and its price is shared by as many requests. In a model with 192 ranks, 10
#: sets of 384 experts and 3 places, a gain of 0.02 a copy whatever the ranks
#: left the most loaded rank at 1.8 times the mean after 130 copies; with
#: this it has 1.26 after 840, which take 0.01 s a rank
#: (model of plans on invented demand).
LEAST_MOVE_GAIN = 0.24
#: A rank at this many times its usual time is relieved of all experts that
#: others have places for. Below, weighing its load by its pace is enough.
RELIEVE_PACE = 2.0

#: How long the copies of one change may take at a rank. Demand may shift
#: each 3 s; until a change is in use the passes wait for the most loaded
#: rank. One copy is always allowed.
COPIES_S = 0.45

Placement = ranks.Placement


class EngineParameters(typing.NamedTuple):
    """What an engine allows of expert maps."""

    slots: int  # most experts per rank and set (setting `places`)
    max_new: int  # new experts per rank and set in a change (`spare`)
    experts: int  # of one set
    copy_s: float = 0.0  # to copy one expert; 0 where it is not known

    def most_new(self, sets: int) -> int:
        """Return how many experts may be new to a rank in one change."""
        most = self.max_new * sets
        if self.copy_s <= 0:
            return most
        return max(1, min(most, int(COPIES_S / self.copy_s)))


class MapPlan(typing.NamedTuple):
    """A map that pays, and why."""

    placement: Placement
    reason: str


def plan(
    placed: Placement,
    counts: list[float],
    paces: list[float],
    sheet: EngineParameters,
) -> MapPlan | None:
    """Return a better map, None where none pays.

    ``counts`` has the choices of each expert, set by set; ``paces`` how
    many times its usual time each rank takes.
    """
    load = [
        counts[first : first + sheet.experts]
        for first in range(0, len(placed) * sheet.experts, sheet.experts)
    ]
    new = _spread(placed, load, paces, sheet)
    before = sum(_slowest(p, asked, paces) for p, asked in zip(placed, load))
    after = sum(_slowest(p, asked, paces) for p, asked in zip(new, load))
    moved = sum(maps.moved_experts(old, now) for old, now in zip(placed, new))
    if before <= 0 or (before - after) / before < LEAST_GAIN:
        return None
    mean = sum(counts) / max(1, len(paces))
    return MapPlan(
        [[list(held) for held in by_rank] for by_rank in new],
        f'slowest ranks at {before / mean:.2f} times the mean, then '
        f'{after / mean:.2f}, for {moved} experts copied'
        f'{_told_slow(paces)}',
    )


def _told_slow(paces: list[float]) -> str:
    slow = [
        f'{rank} at {pace:.1f}'
        for rank, pace in enumerate(paces)
        if pace >= RELIEVE_PACE
    ]
    return f'; slow ranks: {", ".join(slow)}' if slow else ''


def _slowest(
    placed: list[list[int]], load: list[float], paces: list[float]
) -> float:
    each = maps.rank_loads(placed, load)
    return max(amount * pace for amount, pace in zip(each, paces))


def _spread(
    placed: Placement,
    load: list[list[float]],
    paces: list[float],
    sheet: EngineParameters,
) -> list[maps.ExpertMap]:
    """Return the maps of all sets of layers, balanced anew."""
    slow = {r for r, pace in enumerate(paces) if pace >= RELIEVE_PACE}
    if len(slow) == len(paces):
        slow = set()
    weighed = [
        math.inf if rank in slow else pace for rank, pace in enumerate(paces)
    ]
    taken: collections.Counter[int] = collections.Counter()
    relieved = [
        _relieve(by_rank, asked, slow, sheet, taken)
        for by_rank, asked in zip(placed, load)
    ]
    return mapsearch.balance(
        relieved,
        load,
        sheet.slots,
        sheet.max_new,
        sheet.most_new(len(placed)),
        LEAST_MOVE_GAIN / len(paces),
        weighed,
        placed,
    )


def _relieve(
    placed: list[list[int]],
    load: list[float],
    slow: set[int],
    sheet: EngineParameters,
    taken_by_all: collections.Counter[int],
) -> list[list[int]]:
    """Return a map in which the slow ranks hold as little as can be.

    What others hold too is dropped; the rest goes to ranks that may take one
    more new expert and have a place, or can drop an expert that others hold
    too. Those that have the fewest to copy, over all sets of layers, come
    first, since a change waits for the rank that copies longest.
    ``taken_by_all`` counts these copies and is added to.
    """
    new = [list(held) for held in placed]
    copies = collections.Counter(e for held in placed for e in held)
    taken: collections.Counter[int] = collections.Counter()
    for rank in sorted(slow):
        for expert in sorted(placed[rank], key=lambda e: -load[e]):
            if copies[expert] == 1:
                able = [
                    other
                    for other in range(len(new))
                    if other not in slow and taken[other] < sheet.max_new
                ]
                fewest = min((taken_by_all[r] for r in able), default=0)
                first = [r for r in able if taken_by_all[r] == fewest]
                target = _who_takes(new, load, first, sheet, copies)
                if target is None:
                    target = _who_takes(new, load, able, sheet, copies)
                if target is None:
                    continue
                new[target].append(expert)
                taken[target] += 1
                taken_by_all[target] += 1
                copies[expert] += 1
            new[rank].remove(expert)
            copies[expert] -= 1
    return new


def _who_takes(
    new: list[list[int]],
    load: list[float],
    able: list[int],
    sheet: EngineParameters,
    copies: collections.Counter[int],
) -> int | None:
    """Return a rank of ``able`` with a free place, made where none is."""
    each = maps.rank_loads(new, load)
    free = [rank for rank in able if len(new[rank]) < sheet.slots]
    if free:
        return min(free, key=lambda rank: (each[rank], rank))
    doubled = [
        (load[expert] / copies[expert], rank, expert)
        for rank in able
        for expert in new[rank]
        if copies[expert] > 1
    ]
    if not doubled:
        return None
    _, rank, expert = min(doubled)
    new[rank].remove(expert)
    copies[expert] -= 1
    return rank
