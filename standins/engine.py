# SPDX-License-Identifier: Apache-2.0

"""A group of model engines in lock-step: passes, slots, experts, orders.

What it leaves out: prefix caches, moves of memory, models and adapters. All
times are arguments, and all chance comes from one seeded generator, so that
scenarios run it on virtual time and the lab on real time.
"""

import collections
import random
import typing

from mountridge import errors
from mountridge.experts import ranks

__all__ = ['EngineSheet', 'Group', 'Rank', 'Run']


class EngineSheet(typing.NamedTuple):
    """What the engines of a group are."""

    ranks: int = 4
    slots: int = 4
    step_s: float = 0.006  # one token step
    per_run_s: float = 0.0007  # and for each request that writes
    stride: int = 5  # token steps of a pass; an event holds its tokens
    chunk: int = 512  # prompt tokens read in a token step at most
    read_per_s: float = 60000.0
    memory_tokens: int = 186000
    sets: int = 2
    experts: int = 16
    places: int = 5
    spare: int = 2
    expert_share: float = 0.85  # of a step, for the most loaded rank
    copy_s: float = 0.04  # for one expert of a map that is prepared
    form_s: float = 0.6


class Run:
    """One request at a rank: what is still to be read and written."""

    def __init__(self, prompt: int, output: int, first_event: int = 0):
        self.to_read = prompt
        self.to_write = output
        self.tokens = prompt
        self.events = first_event
        self.fresh: list[int] = []  # numbers of events not taken yet
        self.done = False
        self.cut = False


class Rank:
    """One engine of a group."""

    def __init__(self, number: int, held: list[list[int]]):
        self.number = number
        self.waiting: collections.deque[Run] = collections.deque()
        self.running: list[Run] = []
        self.held = held  # experts in use, by set
        self.map_version = 0
        self.prepared = ranks.NO_VERSION
        self.prepared_map: list[list[list[int]]] = []
        self.ready_s = 0.0
        self.armed = ranks.NO_VERSION
        self.armed_step = ranks.NO_VERSION
        self.held_step = ranks.NO_VERSION
        self.newest = 0  # highest version ever prepared
        self.counts: list[int] = []
        self.slow = 1.0
        self.alive = True

    def tokens(self) -> int:
        """Return the tokens in memory."""
        return sum(run.tokens for run in self.running)


class Group:
    """Ranks that make every pass together."""

    def __init__(self, sheet: EngineSheet, rng: random.Random):
        self.sheet = sheet
        self.rng = rng
        self.step = 0
        self.epoch = 0
        self.open_at_s = 0.0
        self.mixed_passes = 0
        self.held_s = 0.0
        self.ranks: list[Rank] = []
        #: Unix time of each engine's start; 0 for the first.
        self.born_ms = [0] * sheet.ranks
        self.popularity = [1.0] * (sheet.sets * sheet.experts)
        self.reform(0.0)

    def reform(self, now_s: float) -> None:
        """Begin a new epoch: the first map, and nothing else of before."""
        sheet = self.sheet
        self.epoch += 1
        self.open_at_s = now_s + (sheet.form_s if self.epoch > 1 else 0.0)
        for rank in self.ranks:
            for run in [*rank.running, *rank.waiting]:
                run.cut = True
        self.ranks = []
        for number in range(sheet.ranks):
            dealt = list(range(number, sheet.experts, sheet.ranks))
            rank = Rank(number, [list(dealt) for _ in range(sheet.sets)])
            rank.counts = [0] * (sheet.sets * sheet.experts)
            self.ranks.append(rank)

    def restart(self, number: int, born_ms: int, now_s: float) -> None:
        """Let a rank crash and start again under its id."""
        self.born_ms[number] = born_ms
        self.reform(now_s)

    def shift_demand(self) -> None:
        """Let other experts be chosen most."""
        self.popularity = [
            self.rng.paretovariate(1.2) for _ in self.popularity
        ]

    def is_open(self, now_s: float) -> bool:
        """Return whether the group makes passes."""
        alive = all(rank.alive for rank in self.ranks)
        return alive and now_s >= self.open_at_s

    def state(self, number: int, now_s: float) -> ranks.RankState:
        """Return what a rank says of itself."""
        rank = self.ranks[number]
        copied = rank.prepared if now_s >= rank.ready_s else ranks.NO_VERSION
        return ranks.RankState(
            'g',
            self.epoch,
            number,
            len(self.ranks),
            self.is_open(now_s),
            self.step,
            rank.map_version,
            copied,
            rank.armed,
            rank.armed_step,
            rank.held_step,
            len(rank.running),
            len(rank.waiting),
            rank.tokens(),
            rank.slow,
            self.born_ms[number],
        )

    # Orders.

    def follow(
        self, number: int, order: ranks.RankOrder, now_s: float
    ) -> None:
        """Carry out an order, or refuse what does not fit.

        :raises RefusedChange: with the reason.
        """
        if order.epoch != self.epoch:
            raise errors.RefusedChange(f'this is epoch {self.epoch}')
        rank = self.ranks[number]
        if order.kind == ranks.PREPARE:
            self._prepare(rank, order, now_s)
        elif order.kind == ranks.ARM:
            self._arm(rank, order, now_s)
        elif order.kind == ranks.HOLD:
            self._refuse_begun(order.step)
            rank.held_step = order.step
        elif order.kind == ranks.GO and rank.held_step == order.step:
            rank.held_step = ranks.NO_VERSION

    def _refuse_begun(self, step: int) -> None:
        if step <= self.step:
            raise errors.RefusedChange(f'pass {step} has begun')

    def _prepare(
        self, rank: Rank, order: ranks.RankOrder, now_s: float
    ) -> None:
        if order.version == rank.prepared:
            return
        if order.version <= rank.newest:
            raise errors.RefusedChange('an older version')
        if rank.armed != ranks.NO_VERSION:
            raise errors.RefusedChange('armed')
        fresh = 0
        for before, by_rank in zip(rank.held, order.placed):
            new = set(by_rank[rank.number]) - set(before)
            if len(new) > self.sheet.spare:
                raise errors.RefusedChange('too many new experts')
            fresh += len(new)
        rank.newest = rank.prepared = order.version
        rank.prepared_map = order.placed
        rank.ready_s = now_s + fresh * self.sheet.copy_s

    def _arm(self, rank: Rank, order: ranks.RankOrder, now_s: float) -> None:
        if rank.armed == order.version and rank.armed_step == order.step:
            return
        self._refuse_begun(order.step)
        if rank.prepared != order.version or now_s < rank.ready_s:
            raise errors.RefusedChange('not prepared')
        rank.armed, rank.armed_step = order.version, order.step

    # Passes.

    def begin_pass(self, now_s: float) -> float | None:
        """Begin the next pass and return how long it takes, in seconds.

        None where the group is not open, is held, or has nothing to do.
        """
        if not self.is_open(now_s):
            return None
        if any(rank.held_step == self.step + 1 for rank in self.ranks):
            return None
        for rank in self.ranks:
            self._admit(rank)
        if not any(rank.running for rank in self.ranks):
            return None
        self.step += 1
        for rank in self.ranks:
            self._take_armed(rank)
        if len({rank.map_version for rank in self.ranks}) > 1:
            self.mixed_passes += 1
        return self._length_s()

    def _admit(self, rank: Rank) -> None:
        sheet = self.sheet
        while rank.waiting and len(rank.running) < sheet.slots:
            if rank.tokens() + rank.waiting[0].tokens > sheet.memory_tokens:
                return
            rank.running.append(rank.waiting.popleft())

    def _take_armed(self, rank: Rank) -> None:
        if rank.armed_step != self.step:
            return
        rank.held = [
            list(by_rank[rank.number]) for by_rank in rank.prepared_map
        ]
        rank.map_version = rank.armed
        rank.armed = rank.armed_step = ranks.NO_VERSION

    def _length_s(self) -> float:
        sheet = self.sheet
        own_s = max(self._own_s(rank) for rank in self.ranks)
        skew = self._choose_experts()
        steps_s = sheet.stride * sheet.step_s
        return (
            steps_s * (1 - sheet.expert_share + sheet.expert_share * skew)
            + own_s
        )

    def _own_s(self, rank: Rank) -> float:
        sheet = self.sheet
        reading = [run for run in rank.running if run.to_read]
        budget = sheet.chunk * sheet.stride
        read = min(budget, sum(run.to_read for run in reading))
        writing = len(rank.running) - len(reading)
        own_s = read / sheet.read_per_s
        return rank.slow * (own_s + writing * sheet.per_run_s * sheet.stride)

    def _choose_experts(self) -> float:
        """Count choices; return the most loaded rank over the mean."""
        sheet = self.sheet
        skews = []
        for number in range(sheet.sets):
            first = number * sheet.experts
            weights = self.popularity[first : first + sheet.experts]
            total = sum(weights)
            holders = collections.Counter(
                e for rank in self.ranks for e in rank.held[number]
            )
            loads = []
            for rank in self.ranks:
                for expert, weight in enumerate(weights):
                    part = weight / total * len(rank.running) * sheet.stride
                    rank.counts[first + expert] += round(100 * part)
                loads.append(
                    sum(weights[e] / holders[e] for e in rank.held[number])
                )
            skews.append(max(loads) * len(loads) / total)
        return sum(skews) / len(skews)

    def end_pass(self) -> None:
        """End the pass: prompts are read on, and tokens written."""
        for rank in self.ranks:
            budget = self.sheet.chunk * self.sheet.stride
            for run in rank.running:
                if run.to_read:
                    read = min(budget, run.to_read)
                    run.to_read -= read
                    budget -= read
                    if run.to_read:
                        continue
                run.to_write = max(0, run.to_write - self.sheet.stride)
                run.tokens += self.sheet.stride
                run.events += 1
                run.fresh.append(run.events)
                run.done = run.to_write == 0
            rank.running = [
                r for r in rank.running if not r.done and not r.cut
            ]
