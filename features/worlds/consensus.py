# SPDX-License-Identifier: Apache-2.0

"""A simulated clock, network and disks for the consensus core.

Without sockets, threads and file systems. A disk keeps what was synced;
effects that were not yet synced are lost when a controller is killed.
"""

import collections
import heapq
import random

from mountridge.consensus import consensus, entries
from mountridge import errors

TIMING = consensus.Timing(heartbeat_s=0.1, election_s=0.5)
TICK_S = 0.025
DELAY_S = (0.001, 0.01)


class Disk:
    """The synced state of one controller."""

    def __init__(self, config):
        self.term, self.voted_for = 0, ''
        self.snapshot = consensus.Snapshot(0, 0, config, b'')
        self.entries = []

    def save(self, effect):
        if isinstance(effect, consensus.SaveVote):
            self.term, self.voted_for = effect
        elif isinstance(effect, consensus.SaveEntries):
            base = self.snapshot.index
            new_entries = [e for e in effect.entries if e.index > base]
            if new_entries:
                position = new_entries[0].index - base - 1
                assert position <= len(self.entries), 'gap in the journal'
                self.entries[position:] = new_entries
        elif isinstance(effect, consensus.SaveSnapshot):
            snapshot = effect.snapshot
            keep = [e for e in self.entries if e.index > snapshot.index]
            if effect.from_leader:
                same = [
                    e
                    for e in self.entries
                    if (e.index, e.term) == (snapshot.index, snapshot.term)
                ]
                keep = keep if same else []
            self.snapshot, self.entries = snapshot, keep

    def load(self):
        base = self.snapshot
        log = entries.Log(base.index, base.term, base.config)
        if self.entries:
            log.append(list(self.entries))
        return log


class World:
    """Controllers by id, their network, and a history of commits."""

    def __init__(self, names, seed, sync_s=0.001, voters=None):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.sync_s = sync_s
        self.slow_disks = {}  # name -> duration of its syncs
        voters = voters if voters is not None else names
        self.config = entries.Config({n: 'a' for n in voters}, {})
        self.disks = {n: Disk(self.config) for n in names}
        self.nodes = {}
        self.applied = {n: [] for n in names}  # payloads in order
        self.paused = set()
        self.cut = set()  # blocked links, as (from, to) pairs
        self.drop = self.duplicate = self.reorder = 0.0
        self.queue = []
        self.pending_effects = {}  # effects not yet executed, in order
        self.count = 0
        self.generation = {n: 0 for n in names}
        self.committed = {}  # index -> (term, payload) as first applied
        self.acked = []  # payloads whose commit was reported to the client
        #: (node, generation, index) -> (term, payload)
        self.pending_proposals = {}
        self.pending_reads = {}  # read id -> (node, acked count at request)
        self.read_results = []
        self.leaders = {}  # term -> id
        self.violations = set()
        for name in names:
            self.start(name)

    # Controllers.

    def start(self, name):
        disk = self.disks[name]
        node = consensus.make_node(
            name,
            max(disk.term, disk.snapshot.term),
            disk.voted_for,
            disk.load(),
            TIMING,
            random.Random(self.rng.random()),
            self.now_s,
        )
        node.snapshot = disk.snapshot
        self.nodes[name] = node
        self.generation[name] += 1
        self.pending_effects[name] = collections.deque()
        self.applied[name] = _unpack(disk.snapshot.data)
        self.paused.discard(name)
        self.schedule(TICK_S, 'tick', name, self.generation[name])

    def kill(self, name):
        """End a process; what was not synced is lost."""
        self.nodes.pop(name, None)
        self.generation[name] += 1

    def replace_box(self, name, new_name):
        """Restart a box with an empty disk, under a new identity."""
        self.kill(name)
        self.add(new_name)

    def add(self, new_name):
        self.disks[new_name] = Disk(entries.Config({}, {}))
        self.applied[new_name] = []
        self.generation[new_name] = 0
        self.start(new_name)

    def schedule(self, delay_s, kind, *args):
        self.count += 1
        heapq.heappush(
            self.queue, (self.now_s + delay_s, self.count, kind, args)
        )

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, kind, args = heapq.heappop(self.queue)
            getattr(self, 'on_' + kind)(*args)
        self.now_s = end_s

    def run_until(self, check, limit_s=10.0):
        end_s = self.now_s + limit_s
        while self.now_s < end_s:
            if check():
                return True
            self.run(0.01)
        return False

    def is_running(self, name, generation):
        return self.generation[name] == generation and name in self.nodes

    def on_tick(self, name, generation):
        if not self.is_running(name, generation):
            return
        self.schedule(TICK_S, 'tick', name, generation)
        if name not in self.paused:
            self.step(name, consensus.Tick())

    def on_deliver(self, sender, to, message):
        if to not in self.nodes or (sender, to) in self.cut:
            return
        if to in self.paused:
            # Delivered once the process resumes.
            self.schedule(0.05, 'deliver', sender, to, message)
            return
        self.step(to, consensus.Received(sender, message))

    def on_synced(self, name, generation):
        if not self.is_running(name, generation):
            return
        if name in self.paused:
            self.schedule(0.05, 'synced', name, generation)
            return
        # In the order of the steps, even if a pause delayed some.
        effects = self.pending_effects[name].popleft()
        for effect in effects:
            if isinstance(effect, SAVES):
                self.disks[name].save(effect)
        for effect in effects:
            self.execute_effect(name, effect)
        new_entries = [
            e
            for effect in effects
            if isinstance(effect, consensus.SaveEntries)
            for e in effect.entries
        ]
        if new_entries:
            event = consensus.Synced(
                new_entries[-1].index, new_entries[-1].term
            )
            self.step(name, event)

    def step(self, name, event):
        effects = consensus.step(self.nodes[name], event, self.now_s)
        for effect in effects:
            if isinstance(effect, consensus.Send) and effect.before_sync:
                self.send(name, effect)
        if effects:
            delay_s = 0.0
            if any(isinstance(e, SAVES) for e in effects):
                delay_s = self.slow_disks.get(name, self.sync_s)
            due_s = max(
                self.now_s + delay_s, getattr(self.nodes[name], 'due_s', 0)
            )
            self.nodes[name].due_s = due_s
            self.pending_effects[name].append(effects)
            generation = self.generation[name]
            self.schedule(due_s - self.now_s, 'synced', name, generation)
        return effects

    def send(self, name, effect):
        if self.rng.random() < self.drop or (name, effect.to) in self.cut:
            return
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            delay_s = self.rng.uniform(*DELAY_S)
            if self.rng.random() < self.reorder:
                delay_s += self.rng.uniform(0, 0.4)
            self.schedule(delay_s, 'deliver', name, effect.to, effect.message)

    def execute_effect(self, name, effect):
        if isinstance(effect, consensus.Send) and not effect.before_sync:
            self.send(name, effect)
        elif isinstance(effect, consensus.Apply):
            for entry in effect.entries:
                self.apply(name, entry)
        elif isinstance(effect, consensus.SaveSnapshot):
            if effect.from_leader:
                self.applied[name] = _unpack(effect.snapshot.data)
        elif isinstance(effect, consensus.RoleChanged):
            if effect.role == consensus.LEADER:
                other = self.leaders.setdefault(effect.term, name)
                if other != name:
                    self.violations.add(f'two leaders in term {effect.term}')
        elif isinstance(effect, consensus.ReadReady):
            self.record_read(effect)

    def apply(self, name, entry):
        what = (entry.term, entry.payload)
        known = self.committed.setdefault(entry.index, what)
        if known != what:
            self.violations.add(f'{name} applied another entry {entry.index}')
        if entry.kind == entries.COMMAND:
            self.applied[name].append(entry.payload)
        key = (name, self.generation[name], entry.index)
        waiting = self.pending_proposals.pop(key, None)
        if waiting == what:
            self.acked.append(entry.payload)

    # Actions of clients and operators.

    def leader(self):
        """Return the running leader of the latest term, or None."""
        found = [
            (node.term, name)
            for name, node in self.nodes.items()
            if node.role == consensus.LEADER and name not in self.paused
        ]
        return max(found)[1] if found else None

    def wait_leader(self, limit_s=10.0):
        ready = lambda: (  # noqa: E731
            self.leader()
            and self.nodes[self.leader()].commit_index
            >= self.nodes[self.leader()].term_start_index
        )
        assert self.run_until(ready, limit_s), 'no leader'
        return self.leader()

    def propose(self, name, payload):
        node = self.nodes[name]
        index = node.log.last_index + 1
        try:
            self.step(name, consensus.Propose([payload]))
        except errors.NotLeader:
            return False
        key = (name, self.generation[name], index)
        self.pending_proposals[key] = (node.term, payload)
        return True

    def read(self, name):
        self.count += 1
        read_id = self.count
        self.pending_reads[read_id] = (name, len(self.acked))
        try:
            self.step(name, consensus.Read(read_id))
        except errors.NotLeader:
            del self.pending_reads[read_id]

    def record_read(self, effect):
        name, acked = self.pending_reads.pop(effect.read_id, (None, 0))
        if not effect.ok or name is None:
            return
        seen = set(self.applied[name])
        missing = [p for p in self.acked[:acked] if p not in seen]
        if missing:
            self.violations.add(f'a read at {name} missed {missing[0]}')
        self.read_results.append(name)

    def compact(self, name, keep=5):
        node = self.nodes[name]
        data = _pack(self.applied[name])
        self.step(name, consensus.Compact(node.commit_index, data, keep))

    def change_config(self, voters, learners=()):
        """Commit a change of the configuration through the leader."""
        leader = self.wait_leader()
        config = entries.Config(
            {v: 'a' for v in voters}, {x: 'a' for x in learners}
        )
        self.step(leader, consensus.ChangeConfig(config))
        done = lambda: any(  # noqa: E731
            node.role == consensus.LEADER
            and node.config == config
            and node.commit_index >= node.config_index
            for node in self.nodes.values()
        )
        assert self.run_until(done), 'the change was not committed'

    def isolate(self, name, both=True):
        for other in self.disks:
            if other != name:
                self.cut.add((name, other))
                if both:
                    self.cut.add((other, name))

    # Invariants.

    def check(self, settled=False):
        """Assert that no acknowledged command is lost and all logs agree.

        If ``settled``, each acknowledged command must be applied; before that
        a restarted controller may not know yet which entries are committed.
        """
        assert not self.violations, sorted(self.violations)
        leases = [
            name
            for name, node in self.nodes.items()
            if name not in self.paused and holds_lease(node, self.now_s)
        ]
        assert len(leases) <= 1, f'two leases: {leases}'
        longest = max(self.applied.values(), key=len)
        for name, payloads in self.applied.items():
            if name in self.nodes:
                assert payloads == longest[: len(payloads)], name
        assert len(set(longest)) == len(longest), 'applied twice'
        known = {payload for _, payload in self.committed.values()}
        known = set(longest) if settled else known
        missing = [p for p in self.acked if p not in known]
        assert not missing, f'lost {missing[:3]}'


SAVES = (
    consensus.SaveVote,
    consensus.SaveEntries,
    consensus.SaveSnapshot,
)


def holds_lease(node, now_s):
    """Return whether a node may act as the leader."""
    from mountridge.consensus import replication

    return replication.lease_valid(node, now_s)


def _pack(payloads):
    return b'\n'.join(payloads)


def _unpack(data):
    return data.split(b'\n') if data else []
