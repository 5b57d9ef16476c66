# SPDX-License-Identifier: Apache-2.0

"""Simulation of a group of ranks in lock-step, their gates and a shared log.

Not simulated: computation, and the replication of the log, which is one list
here. A coordinator opens and closes maps in it, and ranks receive its state in
messages that may be delayed, lost, duplicated or reordered.
"""

import random

from mountridge.groups import gates
from mountridge import messages

GROUP = 'g'


class World:
    """The ranks, the log, and the map version that each rank used per step."""

    def __init__(self, ranks, seed):
        self.rng = random.Random(seed)
        self.log = [gates.initial_state(GROUP)]
        self.term = 1
        self.gates = [gates.Gate() for _ in range(ranks)]
        self.steps = [0] * ranks  # the next step of each rank
        self.used = {}  # step -> {rank: version}
        self.acks = set()  # (rank, version), at the current coordinator
        self.waiting_since = None
        self.inbox = []  # (due, number, rank, gate, fence, state)
        self.now = 0
        self.loss_rate = self.delay_rate = 0.0
        self.dead = set()
        self.frozen = set()
        self.sent = 0
        self.adopted = 0

    def tick(self):
        """Advance time by one: deliver messages, run ranks and coordinator."""
        self.now += 1
        due = [m for m in self.inbox if m[0] <= self.now]
        self.inbox = [m for m in self.inbox if m[0] > self.now]
        for message in sorted(due, key=lambda m: m[:2]):
            _, number, rank, gate, fence, state = message
            if rank in self.frozen:
                self.inbox.append((self.now + 1, number) + message[2:])
            elif rank not in self.dead and gate is self.gates[rank]:
                # Messages to an earlier incarnation are not delivered.
                gate.apply(fence, state)
        for rank in range(len(self.gates)):
            if rank not in self.dead | self.frozen:
                self.run_rank(rank)
        self.coordinate()

    def run_rank(self, rank):
        gate = self.gates[rank]
        if gate.state and gate.state.opened and not gate.armed:
            if gate.arm(gate.state.opened) and not self.loses_message():
                self.acks.add((rank, gate.armed))
        elif gate.armed and not self.loses_message():
            self.acks.add((rank, gate.armed))
        step = self.steps[rank]
        # In lock-step no rank is more than one step ahead of another.
        if step > min(self.steps):
            return
        version = gate.enter(step)
        if version != gates.WAIT:
            self.used.setdefault(step, {})[rank] = version
            self.steps[rank] += 1

    def loses_message(self):
        return self.rng.random() < self.loss_rate

    def fence(self):
        return messages.Fence(self.term, len(self.log))

    def coordinate(self):
        """Open or close a map if due, and send the state to all ranks."""
        state = self.log[-1]
        if state.opened:
            self.decide(state)
        elif self.now % 15 == 0:
            step = max(self.steps) + self.rng.randrange(0, 8)
            self.log.append(gates.open_map(state, step, min(self.steps) - 1))
            self.waiting_since = self.now
        for rank in range(len(self.gates)):
            if self.loses_message():
                continue
            delay = self.rng.randrange(1, 3)
            if self.rng.random() < self.delay_rate:
                delay += self.rng.randrange(0, 40)
            self.sent += 1
            self.inbox.append(
                (self.now + delay, self.sent, rank, self.gates[rank],
                 self.fence(), self.log[-1])
            )  # fmt: skip

    def decide(self, state):
        """Close the open map once all ranks are armed, or after a timeout."""
        ranks = range(len(self.gates))
        all_armed = all((r, state.opened) in self.acks for r in ranks)
        if not all_armed and self.now - self.waiting_since < 20:
            return
        closed = gates.close_map(state, state.opened, all_armed)
        self.log.append(closed)
        self.adopted += all_armed

    def fail_over(self):
        """Start a new coordinator, which has the log but no acks."""
        self.term += 1
        self.acks.clear()
        self.waiting_since = self.now

    def restart(self, rank):
        """Restart a rank's process, which loses its state."""
        self.dead.discard(rank)
        gate = gates.Gate()
        gate.entered = self.steps[rank] - 1
        self.gates[rank] = gate

    def check(self):
        """Assert that all ranks used one map version in each step."""
        for step, by_rank in self.used.items():
            assert len(set(by_rank.values())) == 1, (step, by_rank)
