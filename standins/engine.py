# SPDX-License-Identifier: Apache-2.0

"""Emulates a group of model engines that run forward passes in lock-step.

Prefix caches, KV cache transfers, models and adapters are not emulated. All
times are arguments, and all random numbers come from one seeded generator, so
that scenarios run the group on virtual time and the lab on real time.
"""

import collections
import random
import typing

from mountridge import errors
from mountridge.experts import ranks

__all__ = ['EngineParameters', 'Group', 'Rank', 'Sequence']


class EngineParameters(typing.NamedTuple):
    """Size and cost model of the engines of a group."""

    ranks: int = 4
    slots: int = 4  # requests that a rank processes concurrently
    step_s: float = 0.006  # duration of a token step with balanced experts
    decode_s: float = 0.0007  # added to a token step per decoding request
    steps_per_pass: int = 5  # token steps; one event has the tokens of a pass
    prefill_chunk: int = 512  # most prompt tokens processed in a token step
    prefill_per_s: float = 60000.0  # prompt tokens per second
    memory_tokens: int = 186000  # capacity of the KV cache
    sets: int = 2  # sets of layers, each with an expert map of its own
    experts: int = 16  # in each set
    places: int = 5  # experts that a rank can hold, in each set
    spare: int = 2  # most experts that a map change can add, in each set
    expert_share: float = 0.85  # part of `step_s` that grows with the skew
    copy_s: float = 0.04  # to copy one expert while a map is prepared
    form_s: float = 0.6  # to form the group again


class Sequence:
    """One request in an engine, with its remaining prompt and output."""

    def __init__(self, prompt: int, output: int, first_event: int = 0):
        self.prompt_left = prompt
        self.output_left = output
        self.tokens = prompt  # in the KV cache
        self.events = first_event  # number of the newest event
        self.unsent: list[int] = []  # numbers of events not sent yet
        self.done = False
        self.aborted = False


class Rank:
    """One engine of a group."""

    def __init__(self, number: int, held: list[list[int]]):
        self.number = number
        self.waiting: collections.deque[Sequence] = collections.deque()
        self.running: list[Sequence] = []
        self.held = held  # experts of the map in use, by set
        self.map_version = 0
        self.prepared = ranks.NO_VERSION
        self.prepared_map: list[list[list[int]]] = []
        self.ready_s = 0.0  # when the prepared map is copied
        self.armed = ranks.NO_VERSION
        self.armed_step = ranks.NO_VERSION
        self.held_step = ranks.NO_VERSION
        self.newest = 0  # highest version ever prepared
        self.counts: list[int] = []  # selections, by set and expert
        self.slowdown = 1.0
        self.alive = True

    def tokens(self) -> int:
        """Return the tokens in the KV cache."""
        return sum(sequence.tokens for sequence in self.running)


class Group:
    """Ranks that run every forward pass together."""

    def __init__(self, params: EngineParameters, rng: random.Random):
        self.params = params
        self.rng = rng
        self.step = 0
        self.epoch = 0
        self.open_at_s = 0.0
        self.mixed_passes = 0  # whose ranks used different maps
        self.held_s = 0.0
        self.ranks: list[Rank] = []
        #: Unix time of each engine's start; 0 until it restarts.
        self.born_ms = [0] * params.ranks
        self.popularity = [1.0] * (params.sets * params.experts)
        self.reform(0.0)

    def reform(self, now_s: float) -> None:
        """Start a new epoch with the initial map; abort all requests."""
        params = self.params
        self.epoch += 1
        self.open_at_s = now_s + (params.form_s if self.epoch > 1 else 0.0)
        for rank in self.ranks:
            for sequence in [*rank.running, *rank.waiting]:
                sequence.aborted = True
        self.ranks = []
        for number in range(params.ranks):
            own = list(range(number, params.experts, params.ranks))
            rank = Rank(number, [list(own) for _ in range(params.sets)])
            rank.counts = [0] * (params.sets * params.experts)
            self.ranks.append(rank)

    def restart(self, number: int, born_ms: int, now_s: float) -> None:
        """Restart a rank under the same id; the group forms again."""
        self.born_ms[number] = born_ms
        self.reform(now_s)

    def shift_demand(self) -> None:
        """Change at random which experts are selected most often."""
        self.popularity = [
            self.rng.paretovariate(1.2) for _ in self.popularity
        ]

    def is_open(self, now_s: float) -> bool:
        """Return whether the group can run passes."""
        alive = all(rank.alive for rank in self.ranks)
        return alive and now_s >= self.open_at_s

    def state(self, number: int, now_s: float) -> ranks.RankState:
        """Return the state that a rank reports."""
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
            rank.slowdown,
            self.born_ms[number],
        )

    # Orders.

    def execute_order(
        self, number: int, order: ranks.RankOrder, now_s: float
    ) -> None:
        """Carry out an order to a rank.

        :raises RefusedChange: the order does not fit the rank's state.
        """
        if order.epoch != self.epoch:
            raise errors.RefusedChange(f'the current epoch is {self.epoch}')
        rank = self.ranks[number]
        if order.kind == ranks.PREPARE:
            self._prepare(rank, order, now_s)
        elif order.kind == ranks.ARM:
            self._arm(rank, order, now_s)
        elif order.kind == ranks.HOLD:
            self._check_not_started(order.step)
            rank.held_step = order.step
        elif order.kind == ranks.GO and rank.held_step == order.step:
            rank.held_step = ranks.NO_VERSION

    def _check_not_started(self, step: int) -> None:
        if step <= self.step:
            raise errors.RefusedChange(f'pass {step} has already started')

    def _prepare(
        self, rank: Rank, order: ranks.RankOrder, now_s: float
    ) -> None:
        if order.version == rank.prepared:
            return
        if order.version <= rank.newest:
            raise errors.RefusedChange('a newer version has been prepared')
        if rank.armed != ranks.NO_VERSION:
            raise errors.RefusedChange('a version is armed')
        copies = 0
        for before, by_rank in zip(rank.held, order.placed):
            if len(by_rank[rank.number]) > self.params.places:
                raise errors.RefusedChange('more experts than places')
            new = set(by_rank[rank.number]) - set(before)
            if len(new) > self.params.spare:
                raise errors.RefusedChange(
                    'more new experts than spare places'
                )
            copies += len(new)
        rank.newest = rank.prepared = order.version
        rank.prepared_map = order.placed
        rank.ready_s = now_s + copies * self.params.copy_s

    def _arm(self, rank: Rank, order: ranks.RankOrder, now_s: float) -> None:
        if rank.armed == order.version and rank.armed_step == order.step:
            return
        self._check_not_started(order.step)
        if rank.prepared != order.version or now_s < rank.ready_s:
            raise errors.RefusedChange('the version is not prepared')
        rank.armed, rank.armed_step = order.version, order.step

    # Passes.

    def begin_pass(self, now_s: float) -> float | None:
        """Start the next pass and return its duration in seconds.

        Returns None if the group is not open, the pass is held, or there are
        no requests.
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
            self._switch_map(rank)
        if len({rank.map_version for rank in self.ranks}) > 1:
            self.mixed_passes += 1
        return self._duration_s()

    def _admit(self, rank: Rank) -> None:
        params = self.params
        while rank.waiting and len(rank.running) < params.slots:
            if rank.tokens() + rank.waiting[0].tokens > params.memory_tokens:
                return
            rank.running.append(rank.waiting.popleft())

    def _switch_map(self, rank: Rank) -> None:
        """Use the armed map if it is armed for this pass."""
        if rank.armed_step != self.step:
            return
        rank.held = [
            list(by_rank[rank.number]) for by_rank in rank.prepared_map
        ]
        rank.map_version = rank.armed
        rank.armed = rank.armed_step = ranks.NO_VERSION

    def _duration_s(self) -> float:
        params = self.params
        requests_s = max(self._requests_s(rank) for rank in self.ranks)
        skew = self._select_experts()
        steps_s = params.steps_per_pass * params.step_s
        return (
            steps_s * (1 - params.expert_share + params.expert_share * skew)
            + requests_s
        )

    def _requests_s(self, rank: Rank) -> float:
        """Return the time that a rank needs for its requests in a pass."""
        params = self.params
        prefilling = [
            sequence for sequence in rank.running if sequence.prompt_left
        ]
        budget = params.prefill_chunk * params.steps_per_pass
        tokens = min(
            budget, sum(sequence.prompt_left for sequence in prefilling)
        )
        decoding = len(rank.running) - len(prefilling)
        prefill_s = tokens / params.prefill_per_s
        return rank.slowdown * (
            prefill_s + decoding * params.decode_s * params.steps_per_pass
        )

    def _select_experts(self) -> float:
        """Count selections; return the skew (largest load / mean load)."""
        params = self.params
        skews = []
        for number in range(params.sets):
            first = number * params.experts
            weights = self.popularity[first : first + params.experts]
            total = sum(weights)
            holders = collections.Counter(
                e for rank in self.ranks for e in rank.held[number]
            )
            loads = []
            for rank in self.ranks:
                for expert, weight in enumerate(weights):
                    mean = (
                        weight
                        / total
                        * len(rank.running)
                        * params.steps_per_pass
                    )
                    rank.counts[first + expert] += round(100 * mean)
                loads.append(
                    sum(weights[e] / holders[e] for e in rank.held[number])
                )
            skews.append(max(loads) * len(loads) / total)
        return sum(skews) / len(skews)

    def end_pass(self) -> None:
        """Finish the pass: advance prefills and emit an event per decode."""
        for rank in self.ranks:
            budget = self.params.prefill_chunk * self.params.steps_per_pass
            for sequence in rank.running:
                if sequence.prompt_left:
                    processed = min(budget, sequence.prompt_left)
                    sequence.prompt_left -= processed
                    budget -= processed
                    if sequence.prompt_left:
                        continue
                sequence.output_left = max(
                    0, sequence.output_left - self.params.steps_per_pass
                )
                sequence.tokens += self.params.steps_per_pass
                sequence.events += 1
                sequence.unsent.append(sequence.events)
                sequence.done = sequence.output_left == 0
            rank.running = [
                r for r in rank.running if not r.done and not r.aborted
            ]
