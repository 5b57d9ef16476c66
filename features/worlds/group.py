# SPDX-License-Identifier: Apache-2.0

"""A group of ranks in lock-step, its gates, and a log that decides.

Leaves out: kernels, and how the log is replicated (it has its own world).
The log is one list; a coordinator opens and closes maps in it, and ranks
hear its state in messages that are late, lost, doubled or crossed.
"""

import random

from mountridge.groups import gates
from mountridge import messages

GROUP = 'g'


class World:
    """Ranks, the log, and a record of the map of each step and rank."""

    def __init__(self, ranks, seed):
        self.rng = random.Random(seed)
        self.log = [gates.initial_state(GROUP)]
        self.term = 1
        self.gates = [gates.Gate() for _ in range(ranks)]
        self.steps = [0] * ranks  # the next step of each rank
        self.used = {}  # step -> {rank: version}
        self.acks = set()  # of the coordinator that leads now
        self.waiting_since = None
        self.inbox = []  # (due, number, rank, gate, fence, state)
        self.now = 0
        self.lossy = self.late = 0.0
        self.dead = set()
        self.frozen = set()
        self.count = 0
        self.adopted = 0

    def tick(self):
        """One unit of time: messages, ranks, and the coordinator."""
        self.now += 1
        due = [m for m in self.inbox if m[0] <= self.now]
        self.inbox = [m for m in self.inbox if m[0] > self.now]
        for message in sorted(due, key=lambda m: m[:2]):
            _, number, rank, gate, fence, state = message
            if rank in self.frozen:
                self.inbox.append((self.now + 1, number) + message[2:])
            elif rank not in self.dead and gate is self.gates[rank]:
                # What was sent to an earlier incarnation does not arrive.
                gate.apply(fence, state)
        for rank in range(len(self.gates)):
            if rank not in self.dead | self.frozen:
                self.run_rank(rank)
        self.coordinate()

    def run_rank(self, rank):
        gate = self.gates[rank]
        if gate.state and gate.state.opened and not gate.armed:
            if gate.arm(gate.state.opened) and not self.lost():
                self.acks.add((rank, gate.armed))
        elif gate.armed and not self.lost():
            self.acks.add((rank, gate.armed))
        step = self.steps[rank]
        # Lock-step: no rank is more than one step ahead of another.
        if step > min(self.steps):
            return
        version = gate.enter(step)
        if version != gates.WAIT:
            self.used.setdefault(step, {})[rank] = version
            self.steps[rank] += 1

    def lost(self):
        return self.rng.random() < self.lossy

    def fence(self):
        return messages.Fence(self.term, len(self.log))

    def coordinate(self):
        """Open maps now and then, close them, and tell all ranks."""
        state = self.log[-1]
        if state.opened:
            self.decide(state)
        elif self.now % 15 == 0:
            step = max(self.steps) + self.rng.randrange(0, 8)
            self.log.append(gates.open_map(state, step, min(self.steps) - 1))
            self.waiting_since = self.now
        for rank in range(len(self.gates)):
            if self.lost():
                continue
            delay = self.rng.randrange(1, 3)
            if self.rng.random() < self.late:
                delay += self.rng.randrange(0, 40)
            self.count += 1
            self.inbox.append(
                (self.now + delay, self.count, rank, self.gates[rank],
                 self.fence(), self.log[-1])
            )  # fmt: skip

    def decide(self, state):
        ranks = range(len(self.gates))
        all_armed = all((r, state.opened) in self.acks for r in ranks)
        if not all_armed and self.now - self.waiting_since < 20:
            return
        closed = gates.close_map(state, state.opened, all_armed)
        self.log.append(closed)
        self.adopted += all_armed

    def fail_over(self):
        """A new coordinator leads; it knows the log, and no acks."""
        self.term += 1
        self.acks.clear()
        self.waiting_since = self.now

    def restart(self, rank):
        """The rank's process starts again and knows nothing."""
        self.dead.discard(rank)
        gate = gates.Gate()
        gate.entered = self.steps[rank] - 1
        self.gates[rank] = gate

    def check(self):
        """Assert that no step had two maps."""
        for step, by_rank in self.used.items():
            assert len(set(by_rank.values())) == 1, (step, by_rank)
