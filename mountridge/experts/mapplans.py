# SPDX-License-Identifier: Apache-2.0

"""Plans a new expert map for a group from selection counts and slowdowns.

In each set of layers a forward pass waits for the most loaded rank, so a
plan lowers the sum of the highest rank loads over all sets. The load of a
slow rank is weighted by its slowdown; a rank that is much slower than usual
is relieved of its experts.
"""

import collections
import math
import typing

from mountridge import errors
from mountridge.experts import maps, mapsearch, ranks

__all__ = ['EngineParameters', 'MapPlan', 'plan']

#: Share by which the sum of the slowest ranks' times must fall for a change
#: to be worth its copies and orders.
MIN_GAIN = 0.1
#: Least gain per copied expert, multiplied by the number of ranks. The norm
#: of `mapsearch` changes less with each copy the more ranks there are, and the
#: requests of all ranks share the cost of a copy, so a fixed limit would end
#: the search too early in large groups.
MIN_COPY_GAIN = 0.24
#: A rank with at least this slowdown is relieved of all experts for which
#: other ranks have slots. Below it, weighting its load is enough.
RELIEVE_SLOWDOWN = 2.0

#: Limit of the time to copy the experts of one change to a rank: an eighth of
#: the time between demand shifts that come every two seconds, as passes stay
#: slow until the change is complete; the next change copies what else is
#: worth it. One copy is always allowed.
MAX_COPY_S = 0.25

Placement = ranks.Placement


class EngineParameters(typing.NamedTuple):
    """Limits that an engine sets for expert maps."""

    slots: int  # most experts per rank and set (setting `places`)
    max_new: int  # new experts per rank and set in a change (`spare`)
    experts: int  # per set
    copy_s: float = 0.0  # time to copy one expert; 0: unknown

    def max_new_total(self, sets: int) -> int:
        """Return how many experts may be new to a rank over all sets."""
        limit = self.max_new * sets
        if self.copy_s <= 0:
            return limit
        return max(1, min(limit, int(MAX_COPY_S / self.copy_s)))

    @property
    def max_copy_s(self) -> float:
        """How long a rank copies the experts of one change at most."""
        return max(MAX_COPY_S, self.copy_s)


class MapPlan(typing.NamedTuple):
    """A map that is worth a change, and the reason."""

    placement: Placement
    reason: str
    #: Load of the slowest ranks, relative to the mean, before and after.
    slowest_before: float = 0.0
    slowest_after: float = 0.0


def plan(
    placement: Placement,
    counts: list[float],
    slowdowns: list[float],
    parameters: EngineParameters,
) -> MapPlan | None:
    """Return a better map, or None if none is worth a change.

    ``counts`` has the selection counts of all experts, set by set;
    ``slowdowns`` the ratio of current to usual step time of each rank.

    :raises InconsistentGroup: the arguments do not fit each other. The map
        and the counts are reported by engines, the parameters come from the
        routes, and each may already be those of the next model; or the parts
        of the map are from before and after a change.
    """
    _check_dimensions(placement, counts, slowdowns, parameters)
    load = [
        counts[first : first + parameters.experts]
        for first in range(
            0, len(placement) * parameters.experts, parameters.experts
        )
    ]
    new = _balance(placement, load, slowdowns, parameters)
    before = sum(
        _max_time(by_rank, set_load, slowdowns)
        for by_rank, set_load in zip(placement, load)
    )
    after = sum(
        _max_time(by_rank, set_load, slowdowns)
        for by_rank, set_load in zip(new, load)
    )
    copied = sum(
        maps.moved_experts(old, now) for old, now in zip(placement, new)
    )
    if before <= 0 or (before - after) / before < MIN_GAIN:
        return None
    mean = sum(counts) / max(1, len(slowdowns))
    return MapPlan(
        [[list(experts) for experts in by_rank] for by_rank in new],
        f'slowest ranks at {before / mean:.2f} times the mean, then '
        f'{after / mean:.2f}, for {copied} experts copied'
        f'{_describe_slow_ranks(slowdowns)}',
        before / mean,
        after / mean,
    )


def _check_dimensions(
    placement: Placement,
    counts: list[float],
    slowdowns: list[float],
    parameters: EngineParameters,
) -> None:
    if not placement or any(len(each) != len(slowdowns) for each in placement):
        raise errors.InconsistentGroup('the map of a rank is not known')
    expected = len(placement) * parameters.experts
    if len(counts) != expected:
        raise errors.InconsistentGroup(
            f'counts of {len(counts)} experts, expected {expected}'
        )
    held = (
        expert for by_rank in placement for each in by_rank for expert in each
    )
    largest = max(held, default=0)
    if largest >= parameters.experts:
        raise errors.InconsistentGroup(
            f'a rank holds expert {largest} of {parameters.experts}'
        )
    for number, by_rank in enumerate(placement):
        held_count = len({expert for each in by_rank for expert in each})
        if held_count < parameters.experts:
            raise errors.InconsistentGroup(
                f'ranks hold {held_count} of {parameters.experts} experts'
                f' in set {number}'
            )


def _describe_slow_ranks(slowdowns: list[float]) -> str:
    slow = [
        f'{rank} at {ratio:.1f}'
        for rank, ratio in enumerate(slowdowns)
        if ratio >= RELIEVE_SLOWDOWN
    ]
    return f'; slow ranks: {", ".join(slow)}' if slow else ''


def _max_time(
    placement: list[list[int]], load: list[float], slowdowns: list[float]
) -> float:
    each = maps.rank_loads(placement, load)
    return max(amount * ratio for amount, ratio in zip(each, slowdowns))


def _balance(
    placement: Placement,
    load: list[list[float]],
    slowdowns: list[float],
    parameters: EngineParameters,
) -> list[maps.ExpertMap]:
    """Return rebalanced maps for all sets of layers."""
    slow = {
        r for r, ratio in enumerate(slowdowns) if ratio >= RELIEVE_SLOWDOWN
    }
    if len(slow) == len(slowdowns):
        slow = set()
    weights = [
        math.inf if rank in slow else ratio
        for rank, ratio in enumerate(slowdowns)
    ]
    total_copies: collections.Counter[int] = collections.Counter()
    relieved = [
        _relieve(by_rank, set_load, slow, parameters, total_copies)
        for by_rank, set_load in zip(placement, load)
    ]
    return mapsearch.balance(
        relieved,
        load,
        parameters.slots,
        parameters.max_new,
        parameters.max_new_total(len(placement)),
        MIN_COPY_GAIN / len(slowdowns),
        weights,
        placement,
    )


def _relieve(
    placement: list[list[int]],
    load: list[float],
    slow: set[int],
    parameters: EngineParameters,
    total_copies: collections.Counter[int],
) -> list[list[int]]:
    """Return a map in which the slow ranks hold as few experts as possible.

    Experts that other ranks hold too are dropped. The others are copied to
    ranks that may receive a new expert and have a free slot, or can drop an
    expert that others hold too. Ranks with the fewest copies over all sets
    of layers come first, since a change waits for the rank that copies
    longest. ``total_copies`` counts the copies by rank and is updated.
    """
    new = [list(experts) for experts in placement]
    copies = collections.Counter(e for experts in placement for e in experts)
    received: collections.Counter[int] = collections.Counter()
    for rank in sorted(slow):
        for expert in sorted(placement[rank], key=lambda e: -load[e]):
            if copies[expert] == 1:
                candidates = [
                    other
                    for other in range(len(new))
                    if other not in slow
                    and received[other] < parameters.max_new
                ]
                fewest = min((total_copies[r] for r in candidates), default=0)
                first = [r for r in candidates if total_copies[r] == fewest]
                target = _find_target(new, load, first, parameters, copies)
                if target is None:
                    target = _find_target(
                        new, load, candidates, parameters, copies
                    )
                if target is None:
                    continue
                new[target].append(expert)
                received[target] += 1
                total_copies[target] += 1
                copies[expert] += 1
            new[rank].remove(expert)
            copies[expert] -= 1
    return new


def _find_target(
    new: list[list[int]],
    load: list[float],
    candidates: list[int],
    parameters: EngineParameters,
    copies: collections.Counter[int],
) -> int | None:
    """Return a candidate with a free slot, or None.

    If no candidate has one, drops the least loaded expert that other ranks
    hold too.
    """
    each = maps.rank_loads(new, load)
    free = [rank for rank in candidates if len(new[rank]) < parameters.slots]
    if free:
        return min(free, key=lambda rank: (each[rank], rank))
    replicated = [
        (load[expert] / copies[expert], rank, expert)
        for rank in candidates
        for expert in new[rank]
        if copies[expert] > 1
    ]
    if not replicated:
        return None
    _, rank, expert = min(replicated)
    new[rank].remove(expert)
    copies[expert] -= 1
    return rank
