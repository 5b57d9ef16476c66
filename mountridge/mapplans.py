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

from mountridge import maps

__all__ = ['Planned', 'Sheet', 'plan']

#: Part by which the passes' slowest ranks must get faster, set by set, for
#: a change to pay for its copies and its orders.
LEAST_GAIN = 0.1
#: Gain per expert copied, in the norm of `maps`, below which it stays.
LEAST_MOVE_GAIN = 0.02
#: A rank at this many times its usual time is relieved of all experts that
#: others have places for. Below, weighing its load by its pace is enough.
RELIEVE_PACE = 2.0

#: By set of layers and rank, the experts.
Placed = list[list[list[int]]]


class Sheet(typing.NamedTuple):
    """What an engine allows of expert maps."""

    places: int  # experts that a rank holds at most, by set
    spare: int  # experts new to a rank, by set, in one change
    experts: int  # of one set


class Planned(typing.NamedTuple):
    """A map that pays, and why."""

    placed: Placed
    reason: str


def plan(
    placed: Placed, counts: list[float], paces: list[float], sheet: Sheet
) -> Planned | None:
    """Return a better map, None where none pays.

    ``counts`` has the choices of each expert, set by set; ``paces`` how
    many times its usual time each rank takes.
    """
    before = after = 0.0
    moved = 0
    new = []
    for number, by_rank in enumerate(placed):
        first = number * sheet.experts
        load = counts[first : first + sheet.experts]
        planned = _plan_set(by_rank, load, paces, sheet)
        before += _slowest(by_rank, load, paces)
        after += _slowest(planned, load, paces)
        moved += maps.moved_experts(by_rank, planned)
        new.append([list(held) for held in planned])
    if before <= 0 or (before - after) / before < LEAST_GAIN:
        return None
    mean = sum(counts) / max(1, len(paces))
    return Planned(
        new,
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


def _plan_set(
    placed: list[list[int]],
    load: list[float],
    paces: list[float],
    sheet: Sheet,
) -> maps.ExpertMap:
    """Return the map of one set of layers, balanced anew."""
    slow = {r for r, pace in enumerate(paces) if pace >= RELIEVE_PACE}
    if len(slow) == len(paces):
        slow = set()
    weighed = [
        math.inf if rank in slow else pace for rank, pace in enumerate(paces)
    ]
    return maps.spread(
        _relieve(placed, load, slow, sheet),
        load,
        sheet.places,
        sheet.spare,
        LEAST_MOVE_GAIN,
        weighed,
        placed,
    )


def _relieve(
    placed: list[list[int]],
    load: list[float],
    slow: set[int],
    sheet: Sheet,
) -> list[list[int]]:
    """Return a map in which the slow ranks hold as little as can be.

    What others hold too is dropped; the rest goes to the least loaded of
    those that may take one more new expert and have a place, or can drop
    an expert that others hold too.
    """
    new = [list(held) for held in placed]
    copies = collections.Counter(e for held in placed for e in held)
    taken: collections.Counter[int] = collections.Counter()
    for rank in sorted(slow):
        for expert in sorted(placed[rank], key=lambda e: -load[e]):
            if copies[expert] == 1:
                target = _who_takes(new, load, slow, sheet, copies, taken)
                if target is None:
                    continue
                new[target].append(expert)
                taken[target] += 1
                copies[expert] += 1
            new[rank].remove(expert)
            copies[expert] -= 1
    return new


def _who_takes(
    new: list[list[int]],
    load: list[float],
    slow: set[int],
    sheet: Sheet,
    copies: collections.Counter[int],
    taken: collections.Counter[int],
) -> int | None:
    """Return a rank with a free place, made where there is none."""
    each = maps.rank_loads(new, load)
    able = [
        rank
        for rank in range(len(new))
        if rank not in slow and taken[rank] < sheet.spare
    ]
    free = [rank for rank in able if len(new[rank]) < sheet.places]
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
