# SPDX-License-Identifier: Apache-2.0

"""Greedy search for a better expert map, one copy or swap at a time.

Each step considers moves between the most loaded rank and a few of the least
loaded ones, and makes the move that lowers the norm of the rank loads most.
The cost of a step is nearly independent of the number of ranks.
"""

import collections
import heapq
import math
import typing

__all__ = [
    'CopyBudget', 'ExpertMap', 'Loads', 'Move', 'Search', 'balance',
    'rank_loads',
]  # fmt: skip

#: The experts in the slots of each rank. The copies of an expert on several
#: ranks share its load evenly.
ExpertMap = tuple[tuple[int, ...], ...]

#: Order of the norm; a high one is dominated by the most loaded ranks.
NORM_ORDER = 16
#: How many of the least loaded ranks each step considers as targets.
COLD_RANKS = 4
#: Lower bound of the steps per set of layers. The bound grows with the ranks
#: so that each of them can receive a new expert.
MIN_STEPS = 64
#: Gains of the norm up to this are treated as noise; well below
#: `mapplans.MIN_COPY_GAIN` per rank for hundreds of ranks.
MIN_GAIN = 1e-4


class Loads(typing.NamedTuple):
    """A fast and a slow moving average of the load of each expert."""

    fast: list[float]
    slow: list[float]


class Move(typing.NamedTuple):
    """One step of the search: copy an expert of the hot rank to a cold one.

    The expert takes over a slot there. The expert that was in the slot either
    has another copy, or moves to the slot on the hot rank (a swap).
    """

    hot: int
    hot_slot: int
    cold: int
    cold_slot: int
    is_swap: bool


class CopyBudget:
    """Limit of the experts new to a rank, over all sets of layers."""

    def __init__(self, ranks: int, limit: int):
        self.limit = limit
        self.used = [0] * ranks


def rank_loads(placement: ExpertMap, load: list[float]) -> list[float]:
    """Return the load of each rank."""
    copies = collections.Counter(e for slots in placement for e in slots)
    return [sum(load[e] / copies[e] for e in slots) for slots in placement]


class _RankTimes:
    """The time of each rank for one load, and the norm of these times.

    A rank with an infinite slowdown is to hold no experts; those that it
    still holds can't be moved and are excluded from the norm.
    """

    def __init__(
        self, placement: ExpertMap, load: list[float], slowdowns: list[float]
    ):
        self.load = load
        self._slowdowns = [
            ratio if ratio < math.inf else 0.0 for ratio in slowdowns
        ]
        each = rank_loads(placement, load)
        self.each = [a * ratio for a, ratio in zip(each, self._slowdowns)]
        self._mean = sum(self.each) / len(self.each) or 1.0
        self._terms = [(time / self._mean) ** NORM_ORDER for time in self.each]
        self._sum = sum(self._terms)
        self._norm = self._sum ** (1 / NORM_ORDER)

    def norm_gain(self, deltas: typing.Iterable[tuple[int, float]]) -> float:
        """Return by how much the norm falls if rank loads change."""
        after = self._sum
        each, terms, mean = self.each, self._terms, self._mean
        for rank, delta in deltas:
            time = each[rank] + delta * self._slowdowns[rank]
            after += (time / mean) ** NORM_ORDER - terms[rank]
        return self._norm - max(after, 0.0) ** (1 / NORM_ORDER)

    def max_gain(self, hot: int, cold: int, load: float) -> float:
        """Return an upper bound of the gain if ``load`` leaves ``hot``.

        Only the loads of ``hot`` and ``cold`` may fall.
        """
        time = max(0.0, self.each[hot] - load * self._slowdowns[hot])
        after = (
            self._sum
            - self._terms[hot]
            - self._terms[cold]
            + (time / self._mean) ** NORM_ORDER
        )
        return self._norm - max(after, 0.0) ** (1 / NORM_ORDER)

    def add(self, deltas: typing.Iterable[tuple[int, float]]) -> None:
        """Change the loads of ranks."""
        for rank, delta in deltas:
            time = self.each[rank] + delta * self._slowdowns[rank]
            self.each[rank] = time
            self._terms[rank] = (time / self._mean) ** NORM_ORDER
        # Recomputed: updating it with differences of large terms would
        # accumulate rounding errors.
        self._sum = sum(self._terms)
        self._norm = self._sum ** (1 / NORM_ORDER)


class Search:
    """A search for a better map; rank loads are updated incrementally.

    :param placement: the map to start from
    :param max_new: most experts that may be new to a rank; None: no limit
    :param empty: the expert number that marks an empty slot
    :param slowdowns: ratio of current to usual step time of each rank
    :param in_use: the map in use, if it differs from ``placement``
    :param budget: limit of new experts shared by the searches of all sets
    """

    def __init__(
        self,
        placement: ExpertMap,
        loads: Loads,
        max_new: int | None = None,
        empty: int | None = None,
        slowdowns: list[float] | None = None,
        in_use: ExpertMap | None = None,
        budget: CopyBudget | None = None,
    ):
        slowdowns = slowdowns or [1.0] * len(placement)
        #: Ranks that may hold experts.
        self._candidates = [
            r for r, ratio in enumerate(slowdowns) if ratio < math.inf
        ]
        self.placement = [list(slots) for slots in placement]
        self._max_new = math.inf if max_new is None else max_new
        self._in_use = [set(slots) for slots in in_use or placement]
        self._budget = budget
        self._empty = empty
        self._copies = collections.Counter(
            e for slots in placement for e in slots
        )
        self._holders: dict[int, set[int]] = collections.defaultdict(set)
        for rank, slots in enumerate(placement):
            for expert in slots:
                self._holders[expert].add(rank)
        #: How many experts are new to each rank.
        self.new_counts = [
            sum(self._is_new(rank, expert) for expert in set(slots))
            for rank, slots in enumerate(placement)
        ]
        #: A move must lower the norm for each of these loads.
        self._times = [_RankTimes(placement, loads.fast, slowdowns)]
        if loads.slow is not loads.fast:
            self._times.append(_RankTimes(placement, loads.slow, slowdowns))

    def _is_new(self, rank: int, expert: int) -> bool:
        return expert != self._empty and expert not in self._in_use[rank]

    def _deltas(
        self, move: Move, load: list[float]
    ) -> list[tuple[int, float]]:
        """Return by how much the load of each affected rank changes."""
        copied = self.placement[move.hot][move.hot_slot]
        replaced = self.placement[move.cold][move.cold_slot]
        count, others = self._copies[copied], self._copies[replaced]
        if move.is_swap:
            step = load[copied] / count - load[replaced] / others
            return [(move.hot, -step), (move.cold, step)]
        less = load[copied] * (1 / (count + 1) - 1 / count)
        deltas = {rank: less for rank in self._holders[copied]}
        deltas[move.cold] = load[copied] / (count + 1)
        if replaced != self._empty:
            more = load[replaced] * (1 / (others - 1) - 1 / others)
            for rank in self._holders[replaced]:
                deltas[rank] = deltas.get(rank, 0.0) + more
            deltas[move.cold] -= load[replaced] / (others - 1)
        return list(deltas.items())

    def _gain(self, move: Move, times: _RankTimes) -> float:
        """Return by how much a move lowers the norm, per expert copied."""
        gain = times.norm_gain(self._deltas(move, times.load))
        return gain / 2 if move.is_swap else gain

    def _hot_experts(self) -> typing.Iterator[tuple[int, int, int]]:
        """Yield the hottest rank, a slot there, and a cold rank."""
        each = self._times[0].each
        hot = max(self._candidates, key=each.__getitem__)
        for cold in self._coldest(each):
            for slot, expert in enumerate(self.placement[hot]):
                if cold not in self._holders[expert]:
                    yield hot, slot, cold

    def _max_gain(self, hot: int, slot: int, cold: int) -> float:
        """Return an upper bound of the gain of moves of a slot's expert."""
        expert = self.placement[hot][slot]
        if self._copies[expert] > 1 and expert != self._empty:
            # All ranks that hold it would be relieved.
            return math.inf
        times = self._times[0]
        return times.max_gain(hot, cold, times.load[expert])

    def _coldest(self, each: list[float]) -> list[int]:
        """Return the least loaded ranks that may receive a new expert."""
        candidates = self._candidates
        if self._budget is not None:
            used, limit = self._budget.used, self._budget.limit
            candidates = [rank for rank in candidates if used[rank] < limit]
        return heapq.nsmallest(COLD_RANKS, candidates, key=each.__getitem__)

    def _moves_of(
        self, hot: int, slot: int, cold: int
    ) -> typing.Iterator[Move]:
        """Yield the moves of one expert of the hot rank to a cold one."""
        expert = self.placement[hot][slot]
        was_empty = False
        for j, replaced in enumerate(self.placement[cold]):
            if replaced == self._empty and was_empty:
                # Empty slots are interchangeable; one is enough.
                continue
            was_empty = was_empty or replaced == self._empty
            if not self._may_replace(cold, expert, replaced):
                continue
            if self._copies[replaced] > 1 or replaced == self._empty:
                yield Move(hot, slot, cold, j, False)
            if hot not in self._holders[replaced]:
                if self._may_replace(hot, replaced, expert):
                    yield Move(hot, slot, cold, j, True)

    def _may_replace(self, rank: int, expert: int, replaced: int) -> bool:
        """Return whether the limits let ``expert`` replace another."""
        budget = self._budget
        if self.new_counts[rank] < self._max_new and (
            budget is None or budget.used[rank] < budget.limit
        ):
            return True
        return self._is_new(rank, expert) <= self._is_new(rank, replaced)

    def is_allowed(self, move: Move) -> bool:
        """Return whether a move found earlier is still within the limits."""
        copied = self.placement[move.hot][move.hot_slot]
        replaced = self.placement[move.cold][move.cold_slot]
        if not self._may_replace(move.cold, copied, replaced):
            return False
        return not move.is_swap or self._may_replace(
            move.hot, replaced, copied
        )

    def best_move(self) -> tuple[float, Move] | None:
        """Return the move with the highest gain per expert, and the gain."""
        found = None
        first, *others = self._times
        for hot, slot, cold in self._hot_experts():
            least = found[0] if found else MIN_GAIN
            if self._max_gain(hot, slot, cold) <= least:
                continue
            for move in self._moves_of(hot, slot, cold):
                gain = self._gain(move, first)
                if gain > MIN_GAIN and (found is None or gain > found[0]):
                    gain = min([gain, *(self._gain(move, t) for t in others)])
                    if found is None or gain > found[0]:
                        found = (gain, move)
        return found if found and found[0] > MIN_GAIN else None

    def apply(self, move: Move) -> None:
        """Make a move."""
        for times in self._times:
            times.add(self._deltas(move, times.load))
        copied = self.placement[move.hot][move.hot_slot]
        replaced = self.placement[move.cold][move.cold_slot]
        self._replace(move.cold, move.cold_slot, copied)
        if move.is_swap:
            self._replace(move.hot, move.hot_slot, replaced)
        else:
            self._copies[copied] += 1
            self._copies[replaced] -= 1

    def _replace(self, rank: int, slot: int, expert: int) -> None:
        """Replace the expert in a slot."""
        before = self.placement[rank][slot]
        self.placement[rank][slot] = expert
        self._holders[before].discard(rank)
        self._holders[expert].add(rank)
        added = self._is_new(rank, expert) - self._is_new(rank, before)
        self.new_counts[rank] += added
        if self._budget is not None:
            self._budget.used[rank] += added


def balance(
    placement: list[ExpertMap],
    load: list[list[float]],
    slots: int,
    max_new: int,
    max_new_total: int,
    min_gain: float,
    slowdowns: list[float],
    in_use: list[ExpertMap],
) -> list[ExpertMap]:
    """Return maps, by set of layers, whose ranks share ``load`` more evenly.

    A rank holds at most ``slots`` experts of a set. At most ``max_new`` of
    them are new to it, and at most ``max_new_total`` over all sets. Copies
    are made in the order of their gain, whatever their set; each must lower
    the norm of the rank loads by ``min_gain``. During the search an empty
    slot holds an extra expert without load. A rank with an infinite slowdown
    is excluded from all moves. Experts are new to a rank if they are not in
    ``in_use``, the current maps, from which ``placement`` may differ.
    """
    empty = len(load[0])
    budget = CopyBudget(len(slowdowns), max_new_total)
    searches = []
    for by_rank, set_load, current in zip(placement, load, in_use):
        full = tuple(
            tuple(experts) + (empty,) * (slots - len(experts))
            for experts in by_rank
        )
        set_load = set_load + [0.0]
        loads = Loads(set_load, set_load)
        search = Search(
            full, loads, max_new, empty, slowdowns, current, budget
        )
        for rank in range(len(slowdowns)):
            budget.used[rank] += search.new_counts[rank]
        searches.append(search)
    steps = max(MIN_STEPS, len(slowdowns)) * len(searches)
    _apply_best(searches, min_gain, steps)
    return [
        tuple(
            tuple(expert for expert in experts if expert != empty)
            for experts in search.placement
        )
        for search in searches
    ]


def _apply_best(searches: list[Search], min_gain: float, steps: int) -> None:
    """Make the best move of any search until none reaches ``min_gain``."""
    best = [search.best_move() for search in searches]
    for _ in range(steps):
        gain, number = max(
            (found[0] if found else 0.0, number)
            for number, found in enumerate(best)
        )
        if gain < min_gain:
            return
        search = searches[number]
        move = best[number][1]
        if search.is_allowed(move):
            search.apply(move)
        best[number] = search.best_move()
