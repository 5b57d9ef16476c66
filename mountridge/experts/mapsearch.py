# SPDX-License-Identifier: Apache-2.0

"""The search for a better expert map: one copy or swap after the other.

Each step looks at the most loaded rank and at a few of the least loaded, and
takes the change that lowers the norm of the ranks' loads most. What a step
costs hardly grows with the ranks: at 192 ranks, 10 sets of 384 experts and 3
places a whole search takes 0.1 to 0.2 s where looking at all ranks for each
candidate took 0.35 s for a fifth of the steps (one core, invented demand).
"""

import collections
import heapq
import math
import typing

__all__ = [
    'Allowance', 'Change', 'ExpertMap', 'Loads', 'Search', 'rank_loads',
    'spread',
]  # fmt: skip

#: For each rank the experts in its slots. An expert that stands in several
#: ranks shares its load among them evenly.
ExpertMap = tuple[tuple[int, ...], ...]

#: Norm by which the most loaded ranks are judged together.
POWER = 16
#: Coldest ranks that are looked at for each step of the search.
COLDEST = 4
#: Steps of one search, and for each rank: enough for each rank to take a new
#: expert, which is what is left to gain where there are many ranks.
LEAST_STEPS = 64
#: Gain of the norm below which a change is noise: a tenth of the least that
#: a plan for 192 ranks takes.
LEAST_GAIN = 1e-4


class Loads(typing.NamedTuple):
    """A fast and a slow mean of the load of each expert."""

    fast: list[float]
    slow: list[float]


class Change(typing.NamedTuple):
    """One step of the search: an expert of the hot rank goes to a cold one.

    It takes a slot there; the expert that stood in it either has another
    copy, or comes back into the hot rank's slot.
    """

    hot: int
    hot_slot: int
    cold: int
    cold_slot: int
    is_swap: bool


class Allowance:
    """How many experts may be new to a rank, over all sets of layers."""

    def __init__(self, ranks: int, most: int):
        self.most = most
        self.taken = [0] * ranks


def rank_loads(placed: ExpertMap, load: list[float]) -> list[float]:
    """Return the load of each rank."""
    copies = collections.Counter(e for slots in placed for e in slots)
    return [sum(load[e] / copies[e] for e in slots) for slots in placed]


class _Times:
    """The time of each rank under one load, and their norm.

    A rank that is to hold nothing has an infinite pace: what it holds all
    the same can't be helped, and counts as nothing here.
    """

    def __init__(
        self, placed: ExpertMap, load: list[float], paces: list[float]
    ):
        self.load = load
        self._paces = [pace if pace < math.inf else 0.0 for pace in paces]
        each = rank_loads(placed, load)
        self.each = [a * pace for a, pace in zip(each, self._paces)]
        self._mean = sum(self.each) / len(self.each) or 1.0
        self._terms = [(time / self._mean) ** POWER for time in self.each]
        self._sum = sum(self._terms)

    def norm_gain(self, deltas: typing.Iterable[tuple[int, float]]) -> float:
        """Return by how much the norm falls where ranks get other loads."""
        after = self._sum
        each, terms, mean = self.each, self._terms, self._mean
        for rank, delta in deltas:
            time = each[rank] + delta * self._paces[rank]
            after += (time / mean) ** POWER - terms[rank]
        return self._sum ** (1 / POWER) - max(after, 0.0) ** (1 / POWER)

    def add(self, deltas: typing.Iterable[tuple[int, float]]) -> None:
        """Give ranks other loads."""
        for rank, delta in deltas:
            time = self.each[rank] + delta * self._paces[rank]
            self.each[rank] = time
            self._terms[rank] = (time / self._mean) ** POWER
        # Added up anew: a difference of large terms would leave an error.
        self._sum = sum(self._terms)


class Search:
    """A map under search, with the load of each rank kept up to date."""

    def __init__(
        self,
        placed: ExpertMap,
        loads: Loads,
        spare: int | None = None,
        empty: int | None = None,
        paces: list[float] | None = None,
        first: ExpertMap | None = None,
        allowance: Allowance | None = None,
    ):
        #: How many times its usual time each rank takes for its load.
        paces = paces or [1.0] * len(placed)
        self._able = [r for r, pace in enumerate(paces) if pace < math.inf]
        self.placed = [list(slots) for slots in placed]
        #: How many experts may be new to a rank; None for any number.
        self._spare = math.inf if spare is None else spare
        self._first = [set(slots) for slots in first or placed]
        #: What the searches of all sets of layers may add to each rank.
        self._allowance = allowance
        #: The expert that stands for an empty place.
        self._empty = empty
        self._copies = collections.Counter(
            e for slots in placed for e in slots
        )
        self._holders: dict[int, set[int]] = collections.defaultdict(set)
        for rank, slots in enumerate(placed):
            for expert in slots:
                self._holders[expert].add(rank)
        #: Experts that are new to each rank.
        self.fresh = [
            sum(self._is_new(rank, expert) for expert in set(slots))
            for rank, slots in enumerate(placed)
        ]
        #: A change must gain under each of these.
        self._times = [_Times(placed, loads.fast, paces)]
        if loads.slow is not loads.fast:
            self._times.append(_Times(placed, loads.slow, paces))

    def _is_new(self, rank: int, expert: int) -> bool:
        return expert != self._empty and expert not in self._first[rank]

    def _deltas(
        self, change: Change, load: list[float]
    ) -> list[tuple[int, float]]:
        """Return by how much the load of each touched rank changes."""
        going = self.placed[change.hot][change.hot_slot]
        coming = self.placed[change.cold][change.cold_slot]
        count, others = self._copies[going], self._copies[coming]
        if change.is_swap:
            step = load[going] / count - load[coming] / others
            return [(change.hot, -step), (change.cold, step)]
        less = load[going] * (1 / (count + 1) - 1 / count)
        deltas = {rank: less for rank in self._holders[going]}
        deltas[change.cold] = load[going] / (count + 1)
        if coming != self._empty:
            more = load[coming] * (1 / (others - 1) - 1 / others)
            for rank in self._holders[coming]:
                deltas[rank] = deltas.get(rank, 0.0) + more
            deltas[change.cold] -= load[coming] / (others - 1)
        return list(deltas.items())

    def _gain(self, change: Change, times: _Times) -> float:
        """Return by how much a change lowers the norm, for each copy."""
        gain = times.norm_gain(self._deltas(change, times.load))
        return gain / 2 if change.is_swap else gain

    def _changes(self) -> typing.Iterator[Change]:
        """Yield the changes between the hottest rank and cold ones."""
        each = self._times[0].each
        hot = max(self._able, key=each.__getitem__)
        for cold in self._coldest(each):
            for i, mine in enumerate(self.placed[hot]):
                if cold in self._holders[mine]:
                    continue
                yield from self._changes_of(hot, i, cold)

    def _coldest(self, each: list[float]) -> list[int]:
        """Return the least loaded ranks that may take a new expert."""
        able = self._able
        if self._allowance is not None:
            taken, most = self._allowance.taken, self._allowance.most
            able = [rank for rank in able if taken[rank] < most]
        return heapq.nsmallest(COLDEST, able, key=each.__getitem__)

    def _changes_of(
        self, hot: int, slot: int, cold: int
    ) -> typing.Iterator[Change]:
        """Yield the changes of one expert of the hot rank with a cold one."""
        mine = self.placed[hot][slot]
        was_empty = False
        for j, theirs in enumerate(self.placed[cold]):
            if theirs == self._empty and was_empty:
                # One empty place is as good as another.
                continue
            was_empty = was_empty or theirs == self._empty
            if not self._may_take(cold, mine, theirs):
                continue
            if self._copies[theirs] > 1 or theirs == self._empty:
                yield Change(hot, slot, cold, j, False)
            if hot not in self._holders[theirs]:
                if self._may_take(hot, theirs, mine):
                    yield Change(hot, slot, cold, j, True)

    def _may_take(self, rank: int, coming: int, going: int) -> bool:
        """Return whether a rank may hold one expert in place of another."""
        added = self._is_new(rank, coming) - self._is_new(rank, going)
        if added <= 0:
            return True
        if self.fresh[rank] + added > self._spare:
            return False
        allowance = self._allowance
        if allowance is None:
            return True
        return allowance.taken[rank] + added <= allowance.most

    def is_allowed(self, change: Change) -> bool:
        """Return whether a change found earlier still fits."""
        going = self.placed[change.hot][change.hot_slot]
        coming = self.placed[change.cold][change.cold_slot]
        if not self._may_take(change.cold, going, coming):
            return False
        return not change.is_swap or self._may_take(change.hot, coming, going)

    def best(self) -> tuple[float, Change] | None:
        """Return the change that gains most for each expert moved."""
        found = None
        first, *others = self._times
        for change in self._changes():
            gain = self._gain(change, first)
            if gain > LEAST_GAIN and (found is None or gain > found[0]):
                gain = min([gain, *(self._gain(change, t) for t in others)])
                if found is None or gain > found[0]:
                    found = (gain, change)
        return found if found and found[0] > LEAST_GAIN else None

    def take(self, change: Change) -> None:
        """Make a change."""
        for times in self._times:
            times.add(self._deltas(change, times.load))
        going = self.placed[change.hot][change.hot_slot]
        coming = self.placed[change.cold][change.cold_slot]
        self._put(change.cold, change.cold_slot, going)
        if change.is_swap:
            self._put(change.hot, change.hot_slot, coming)
        else:
            self._copies[going] += 1
            self._copies[coming] -= 1

    def _put(self, rank: int, slot: int, expert: int) -> None:
        """Let a rank hold an expert in place of the one in a slot."""
        before = self.placed[rank][slot]
        self.placed[rank][slot] = expert
        self._holders[before].discard(rank)
        self._holders[expert].add(rank)
        added = self._is_new(rank, expert) - self._is_new(rank, before)
        self.fresh[rank] += added
        if self._allowance is not None:
            self._allowance.taken[rank] += added


def spread(
    placed: list[ExpertMap],
    load: list[list[float]],
    places: int,
    spare: int,
    most_new: int,
    least_gain: float,
    paces: list[float],
    first: list[ExpertMap],
) -> list[ExpertMap]:
    """Return maps, by set of layers, whose ranks share ``load`` more evenly.

    A rank holds at most ``places`` experts of a set. At most ``spare`` of
    them are new to it, and at most ``most_new`` over all sets. The copies
    that lower the norm of the ranks' loads most come first, whatever their
    set; each must lower it by ``least_gain``. An empty place stands in the
    search as an expert that nobody chooses. A rank of infinite pace gets
    nothing and gives nothing. What is new to a rank is told by ``first``,
    the maps in use, where ``placed`` differs from them.
    """
    empty = len(load[0])
    allowance = Allowance(len(paces), most_new)
    searches = []
    for held, asked, known in zip(placed, load, first):
        full = tuple(
            tuple(slots) + (empty,) * (places - len(slots)) for slots in held
        )
        asked = asked + [0.0]
        loads = Loads(asked, asked)
        search = Search(full, loads, spare, empty, paces, known, allowance)
        for rank in range(len(paces)):
            allowance.taken[rank] += search.fresh[rank]
        searches.append(search)
    steps = max(LEAST_STEPS, len(paces)) * len(searches)
    _take_best(searches, least_gain, steps)
    return [
        tuple(
            tuple(expert for expert in held if expert != empty)
            for held in search.placed
        )
        for search in searches
    ]


def _take_best(searches: list[Search], least_gain: float, steps: int) -> None:
    """Make the best change of any search, until none is good enough."""
    best = [search.best() for search in searches]
    for _ in range(steps):
        gain, number = max(
            (found[0] if found else 0.0, number)
            for number, found in enumerate(best)
        )
        if gain < least_gain:
            return
        search = searches[number]
        change = best[number][1]
        if search.is_allowed(change):
            search.take(change)
        best[number] = search.best()
