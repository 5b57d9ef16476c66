# SPDX-License-Identifier: Apache-2.0

"""Entries in halls, some with a disk and a controller, on virtual time.

The daemons' own code runs, including elections and the log. The world
simulates channels, disks, and losses of boxes and whole halls; it has no
sockets, no runners and no HTTP.
"""

import collections
import types

import trio
import trio.testing

from features.worlds import system
from mountridge import controller, entry, errors, messages
from mountridge import settings as settings_module
from mountridge.consensus import consensus, entries, replicas, storage
from mountridge.control import formation, voterplacement
from mountridge.documents import routes
from mountridge.net import dialects

#: Duration of a disk sync.
SYNC_S = 0.005
#: Network delay within a hall and between halls, at least; at most twice that.
SAME_HALL_S, CROSS_HALL_S = 0.0003, 0.0015
#: Time that a process takes to start.
START_S = 0.4


class Disk:
    """The synced contents of one disk; stands in for `storage.Storage`."""

    def __init__(self, node_id, config):
        self.node_id = node_id
        self.term, self.voted_for = 0, ''
        self.snapshot = consensus.Snapshot(0, 0, config, b'')
        self.entries = []

    @property
    def contents(self):
        return types.SimpleNamespace(
            node_id=self.node_id,
            term=self.term,
            voted_for=self.voted_for,
            snapshot=self.snapshot,
            entries=list(self.entries),
        )

    def save(self, vote, new_entries):
        if vote:
            self.term, self.voted_for = vote
        if new_entries:
            start = new_entries[0].index - self.snapshot.index - 1
            self.entries[start:] = new_entries

    def write_snapshot(self, snapshot):
        pass

    def rotate(self, snapshot, after):
        self.snapshot, self.entries = snapshot, list(after)


class Replica(replicas.Replica):
    """A replica whose syncs take virtual time."""

    async def _write(self, write, *args):
        await trio.sleep(self.app.world.sync_s)
        write(*args)


class Channel(system.Channel):
    """A channel with an identity of its own for replies."""

    def __init__(self, world, owner, peer=None, number=0):
        super().__init__(world, owner, peer)
        self.number = number


class Process(system.Process):
    """An entry process that connects by address."""

    def open_dealer(self, address, peer):
        number = len(self.dealers)
        dealer = Channel(self.world, self, self.world.box_at(address), number)
        self.dealers.append(dealer)
        return dealer


class World:
    """Boxes by name; ``halls`` maps each to (hall, whether it has a disk)."""

    def __init__(self, nursery, rng, halls, seeds, **bounds):
        self.nursery = nursery
        self.rng = rng
        self.halls = halls
        self.bounds = bounds
        self.seeds = seeds
        self.founded = False
        self.sync_s = SYNC_S
        self.disks = {}
        self.processes = {}
        self.entries = {}
        self.controllers = {}
        self.generations = collections.Counter()
        self.addresses = {
            f'tcp://10.0.0.{n + 1}:1': name for n, name in enumerate(halls)
        }
        #: Boxes without network, and halls cut off from all others.
        self.isolated = set()
        self.cut_halls = set()
        self.last_due_s = {}
        self.paused_since_s = {}
        self.clock_step_s = 0.0

    def box_at(self, address):
        return self.addresses[address]

    def address_of(self, name):
        return next(a for a, n in self.addresses.items() if n == name)

    # Start and loss of boxes.

    def settings(self, name):
        hall, has_disk = self.halls[name]
        hosts = [self.address_of(s)[6:] for s in self.seeds]
        return settings_module.check(
            {
                'role': 'entry',
                'name': name,
                'hall': hall,
                'bind': self.address_of(name),
                'keys': {'off': True},
                'controller': {'data': '-' if has_disk else ''},
                'entry': {'seeds': hosts, 'front': f'{name}:80'},
                'bounds': self.bounds,
            }
        )

    def start(self, name):
        self.generations[name] += 1
        app = Process(self, self.settings(name), self.generations[name])
        app.settings['controller']['data'] = ''
        made = entry.build(app, dialects.NATIVE, lambda app, address: None)
        if self.halls[name][1]:
            self._add_controller(name, app, made)
        self.entries[name] = made
        self.processes[name] = app
        self.nursery.start_soon(self._run, app)

    def _add_controller(self, name, app, made):
        if name not in self.disks:
            node_id = f'{name}.{self.generations[name]}'
            is_founder = not self.founded and name == self.seeds[0]
            self.founded = self.founded or is_founder
            config = entries.Config({}, {})
            if is_founder:
                voters = {node_id: app.settings['bind']}
                hall = {node_id: app.settings['hall']}
                config = entries.Config(voters, {}, hall)
            self.disks[name] = Disk(node_id, config)
        # The replica opens its storage by the data folder in the settings.
        original, storage.Storage = storage.Storage, lambda _: self.disks[name]
        try:
            control = controller.build(app, Replica)
        finally:
            storage.Storage = original
        joined = formation.Formation(app, control.replica, made.leader)
        formation.add(app, joined)
        self.controllers[name] = control

    async def _run(self, app):
        with app.scope:
            await app.run()

    def kill(self, name, wipe=False):
        app = self.processes.pop(name, None)
        self.controllers.pop(name, None)
        if app:
            app.muted = True
            app.scope.cancel()
        if wipe:
            self.disks.pop(name, None)

    def in_hall(self, hall):
        return [n for n, (where, _) in self.halls.items() if where == hall]

    async def begin(self, names=None):
        for name in names or self.halls:
            self.start(name)
        await self.until(self.is_complete)
        await trio.sleep(1)

    async def until(self, check, limit_s=20.0):
        """Wait until ``check()`` is true; return how long it took."""
        started_s = trio.current_time()
        with trio.fail_after(limit_s):
            while not check():
                await trio.sleep(0.02)
        return trio.current_time() - started_s

    def is_complete(self):
        """Return whether all boxes are members and the voters are placed."""
        leader = self.leader()
        reachable = [
            name for name in self.processes if self.is_reachable(name)
        ]
        now_s = trio.current_time()
        if not leader or not all(
            self.entries[name].lease.is_valid(now_s) for name in reachable
        ):
            return False
        config = self.config()
        members = {key.partition('.')[0] for key in config.addresses()}
        with_disk = {name for name in reachable if self.halls[name][1]}
        losses = self.bounds.get('controller_losses', 1)
        return (
            members >= with_disk
            and len(config.voters) == 2 * losses + 1
            and not voterplacement.excess(
                config, self.bounds.get('hall_losses', 0)
            )
        )

    def leader(self):
        """Return the box whose controller holds the leader lease, or None."""
        leading = [
            (control.replica.node.term, name)
            for name, control in self.controllers.items()
            if control.replica.lease_valid() and self.is_reachable(name)
        ]
        return max(leading)[1] if leading else None

    def config(self):
        """Return the controllers in the leader's configuration."""
        return self.controllers[self.leader()].replica.node.config

    def voters(self):
        return sorted(key.partition('.')[0] for key in self.config().voters)

    def is_reachable(self, name):
        hall = self.halls[name][0]
        return name not in self.isolated and hall not in self.cut_halls

    # Messages.

    def post(self, app, to, data, reply=False, channel=None):
        if app.muted:
            return
        number = channel.number if channel else 0
        if reply:
            # Names of boxes contain no dot.
            to, incarnation, number = to.split('.')
            number = int(number)
        else:
            incarnation = app.incarnation
        due_s = self._due_s(app.name, to)
        args = (app, to, data, reply, incarnation, number)
        self.nursery.start_soon(self._deliver, due_s, *args)

    def _due_s(self, sender, to):
        is_local = self.halls[sender][0] == self.halls[to][0]
        delay_s = (SAME_HALL_S if is_local else CROSS_HALL_S) * (
            1 + self.rng.random()
        )
        due_s = trio.current_time() + delay_s
        # Messages between two boxes stay in order.
        due_s = max(due_s, self.last_due_s.get((sender, to), 0) + 1e-6)
        self.last_due_s[sender, to] = due_s
        return due_s

    def _is_cut(self, one, other):
        if one in self.isolated or other in self.isolated:
            return True
        halls = {self.halls[one][0], self.halls[other][0]}
        return len(halls) > 1 and bool(halls & self.cut_halls)

    async def _deliver(self, due_s, app, to, data, reply, incarnation, number):
        await trio.sleep_until(due_s)
        target = self.processes.get(to)
        if target is None or self._is_cut(app.name, to):
            return
        if not reply:
            if target.channel is not None:
                part = system.FrameWithSender(data)
                part.sender = app.name
                route = f'{app.name}.{incarnation}.{number}'.encode()
                target.channel.put([route, part])
            return
        if target.incarnation == incarnation:
            dealer = target.dealers[number]
            if not dealer.closed:
                dealer.put([data])

    # Writes.

    async def write(self, box, version, limit_s):
        """Put a routes document at a box; return whether it succeeded."""
        app = self.processes.get(box)
        if app is None or box in self.isolated or app.nursery is None:
            if box in self.isolated:
                await trio.sleep(limit_s)
            return False
        done = trio.Event()
        put = messages.PutRoutes(version, routes.compress(b'%d' % version))

        async def run():
            try:
                await self.entries[box].leader.call(put, entry.PUT_TIMEOUT_S)
                done.set()
            except errors.MountridgeError:
                pass

        app.start_task(run)
        with trio.move_on_after(limit_s):
            await done.wait()
        return done.is_set()

    async def write_until_acked(self, boxes, version, wait_s=1.0):
        """Write at one box after another; return how long it took."""
        started_s = trio.current_time()
        backoff_s = 0.1
        for box in boxes:
            if await self.write(box, version, wait_s):
                return trio.current_time() - started_s
            await trio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, 1.0)
        raise AssertionError(f'{version} was never acknowledged')


def play(script, seed, halls, seeds, **bounds):
    """Run ``script(world)`` on virtual time and return its result."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(str(seed))
    found = {}

    async def main():
        async with trio.open_nursery() as nursery:
            rng = system.random.Random(seed)
            world = World(nursery, rng, halls, seeds, **bounds)
            found['result'] = await script(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return found['result']
