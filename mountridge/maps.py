# SPDX-License-Identifier: Apache-2.0

"""Expert maps: which rank holds which expert, and when to move some.

All ranks of a group advance together, so a step takes as long as the most
loaded rank. A move is taken where the waiting that it saves within
`HORIZON_S`, by the row's weight of skew, is worth more than the bytes that
it moves, by the row's weight of moving. The gain must show in a fast and a
slow mean of the load alike: so a load that flaps moves nothing.
"""

import collections
import math
import typing

__all__ = [
    'ExpertMap', 'Loads', 'Plan', 'Weights', 'first_map', 'moved_experts',
    'plan', 'rank_loads', 'skew', 'smooth', 'spread',
]  # fmt: skip

#: For each rank the experts in its slots. An expert that stands in several
#: ranks shares its load among them evenly.
ExpertMap = tuple[tuple[int, ...], ...]

#: Time within which a move must pay, in seconds.
HORIZON_S = 120.0
#: A new plan must promise this many times its cost.
MARGIN = 1.5
#: Norm by which the most loaded ranks are judged together.
POWER = 16
#: Coldest ranks that are looked at for each step of the search.
COLDEST = 4
MAX_MOVES = 64
#: Gain of the norm below which a change is noise.
LEAST_GAIN = 1e-3
FAST, SLOW = 0.5, 0.1


class Weights(typing.NamedTuple):
    """The two columns of the row, and the size of an expert."""

    skew: float
    move: float
    expert_gib: float


class Loads(typing.NamedTuple):
    """A fast and a slow mean of the load of each expert."""

    fast: list[float]
    slow: list[float]


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


def rank_loads(placed: ExpertMap, load: list[float]) -> list[float]:
    """Return the load of each rank."""
    copies = collections.Counter(e for slots in placed for e in slots)
    return [sum(load[e] / copies[e] for e in slots) for slots in placed]


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
        self.paces = paces or [1.0] * len(placed)
        self.placed = [list(slots) for slots in placed]
        #: How many experts may be new to a rank; None for any number.
        self.spare = spare
        self.first = [set(slots) for slots in first or placed]
        #: What the searches of all sets of layers may add to each rank.
        self.allowance = allowance
        #: The expert that stands for an empty place.
        self.empty = empty
        self.loads = loads
        self.copies = collections.Counter(e for slots in placed for e in slots)
        self.holders: dict[int, set[int]] = collections.defaultdict(set)
        for rank, slots in enumerate(placed):
            for expert in slots:
                self.holders[expert].add(rank)
        self.each = [self._times(rank_loads(placed, load)) for load in loads]
        self.means = [sum(x) / len(x) or 1.0 for x in self.each]
        self.powers = [
            sum((x / mean) ** POWER for x in each)
            for each, mean in zip(self.each, self.means)
        ]

    def _times(self, each: list[float]) -> list[float]:
        """Return the loads of ranks, each weighed by its pace.

        A rank that is to hold nothing has an infinite pace: what it holds
        all the same can't be helped, and counts as nothing here.
        """
        return [
            load * pace if pace < math.inf else 0.0
            for load, pace in zip(each, self.paces)
        ]

    def _rank_deltas(self, change: Change, load: list[float]):
        """Return by how much the time of each touched rank changes."""
        return {
            rank: delta * self.paces[rank]
            for rank, delta in self._load_deltas(change, load).items()
            if self.paces[rank] < math.inf
        }

    def _load_deltas(self, change: Change, load: list[float]):
        going = self.placed[change.hot][change.hot_slot]
        coming = self.placed[change.cold][change.cold_slot]
        deltas: dict[int, float] = collections.defaultdict(float)
        if change.is_swap:
            step = load[going] / self.copies[going]
            step -= load[coming] / self.copies[coming]
            return {change.hot: -step, change.cold: step}
        count, others = self.copies[going], self.copies[coming]
        for rank in self.holders[going]:
            deltas[rank] += load[going] * (1 / (count + 1) - 1 / count)
        for rank in self.holders[coming]:
            deltas[rank] += load[coming] * (1 / (others - 1) - 1 / others)
        deltas[change.cold] += load[going] / (count + 1)
        deltas[change.cold] -= load[coming] / (others - 1)
        return deltas

    def gain(self, change: Change, which: int) -> float:
        """Return by how much a change lowers the norm of rank loads."""
        each, mean = self.each[which], self.means[which]
        power = self.powers[which]
        after = power
        deltas = self._rank_deltas(change, self.loads[which])
        for rank, delta in deltas.items():
            after -= (each[rank] / mean) ** POWER
            after += ((each[rank] + delta) / mean) ** POWER
        return power ** (1 / POWER) - max(after, 0.0) ** (1 / POWER)

    def changes(self) -> typing.Iterator[Change]:
        """Yield the changes between the hottest rank and cold ones."""
        each = self.each[0]
        order = sorted(
            (r for r in range(len(each)) if self.paces[r] < math.inf),
            key=lambda r: each[r],
        )
        hot = order[-1]
        able = [rank for rank in order if self._has_room(rank)]
        for cold in able[:COLDEST]:
            for i, mine in enumerate(self.placed[hot]):
                if cold in self.holders[mine]:
                    continue
                for j, theirs in enumerate(self.placed[cold]):
                    if not self._may_take(cold, mine, theirs):
                        continue
                    if self.copies[theirs] > 1:
                        yield Change(hot, i, cold, j, False)
                    if hot not in self.holders[theirs]:
                        if self._may_take(hot, theirs, mine):
                            yield Change(hot, i, cold, j, True)

    def _has_room(self, rank: int) -> bool:
        """Return whether a rank may take a new expert of any set."""
        if self.allowance is None:
            return True
        return self.allowance.taken[rank] < self.allowance.most

    def _may_take(self, rank: int, coming: int, going: int) -> bool:
        """Return whether a rank may fetch one more expert."""
        if self.spare is None:
            return True
        before = self.fresh(rank)
        fresh = before - {going}
        if coming not in self.first[rank] and coming != self.empty:
            fresh.add(coming)
        if len(fresh) > self.spare:
            return False
        if self.allowance is None:
            return True
        added = len(fresh) - len(before)
        return self.allowance.taken[rank] + added <= self.allowance.most

    def fresh(self, rank: int) -> set[int]:
        """Return the experts that are new to a rank."""
        return set(self.placed[rank]) - self.first[rank] - {self.empty}

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
        for change in self.changes():
            moved = 2 if change.is_swap else 1
            gain = self.gain(change, 0) / moved
            if gain > LEAST_GAIN and (found is None or gain > found[0]):
                gain = min(gain, self.gain(change, 1) / moved)
                if found is None or gain > found[0]:
                    found = (gain, change)
        return found if found and found[0] > LEAST_GAIN else None

    def take(self, change: Change) -> None:
        """Make a change."""
        for which, load in enumerate(self.loads):
            for rank, delta in self._rank_deltas(change, load).items():
                self.each[which][rank] += delta
            mean = self.means[which]
            self.powers[which] = sum(
                (x / mean) ** POWER for x in self.each[which]
            )
        before = len(self.fresh(change.hot)), len(self.fresh(change.cold))
        going = self.placed[change.hot][change.hot_slot]
        coming = self.placed[change.cold][change.cold_slot]
        self.placed[change.cold][change.cold_slot] = going
        self.holders[going].add(change.cold)
        self.holders[coming].discard(change.cold)
        if change.is_swap:
            self.placed[change.hot][change.hot_slot] = coming
            self.holders[coming].add(change.hot)
            self.holders[going].discard(change.hot)
        else:
            self.copies[going] += 1
            self.copies[coming] -= 1
        if self.allowance is not None:
            for rank, known in zip((change.hot, change.cold), before):
                added = len(self.fresh(rank)) - known
                self.allowance.taken[rank] += added


def plan(current: ExpertMap, loads: Loads, weights: Weights) -> Plan | None:
    """Return the moves that pay, or None where none do."""
    cost = weights.move * weights.expert_gib * MARGIN
    search = Search(current, loads)
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
        loads = Loads(asked + [0.0], asked + [0.0])
        search = Search(full, loads, spare, empty, paces, known, allowance)
        for rank in range(len(paces)):
            allowance.taken[rank] += len(search.fresh(rank))
        searches.append(search)
    _take_best(searches, least_gain)
    return [
        tuple(
            tuple(expert for expert in held if expert != empty)
            for held in search.placed
        )
        for search in searches
    ]


def _take_best(searches: list[Search], least_gain: float) -> None:
    """Make the best change of any search, until none is good enough."""
    best = [search.best() for search in searches]
    for _ in range(MAX_MOVES * len(searches)):
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
