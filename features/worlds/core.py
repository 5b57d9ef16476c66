# SPDX-License-Identifier: Apache-2.0

"""Entries in halls, some with a disk and a controller, on virtual time.

The daemons' own code runs, elections and the log included; the world gives
it channels, disks, and losses of boxes and whole halls. It leaves out
sockets, runners, and callers' HTTP.
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

#: Of a disk: a sync. Of the network: within a hall, between halls.
SYNC_S = 0.005
NEAR_S, FAR_S = 0.0003, 0.0015
#: What a process takes to start.
START_S = 0.4


class Disk:
    """What one box has synced; it stands in for `storage.Storage`."""

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

    def save(self, vote, fresh):
        if vote:
            self.term, self.voted_for = vote
        if fresh:
            place = fresh[0].index - self.snapshot.index - 1
            self.entries[place:] = fresh

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
    """A channel that is reached by its own identity."""

    def __init__(self, world, owner, peer=None, number=0):
        super().__init__(world, owner, peer)
        self.number = number


class Process(system.Process):
    """An entry whose connections are made by address."""

    def open_dealer(self, address, peer):
        number = len(self.dealers)
        made = Channel(self.world, self, self.world.box_at(address), number)
        self.dealers.append(made)
        return made


class World:
    """Boxes by name: ``halls`` gives (hall, with a disk) of each."""

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
        #: Boxes that nothing reaches, and halls whose links are cut.
        self.isolated = set()
        self.cut_halls = set()
        self.last_due_s = {}
        self.clock_step_s = 0.0

    def box_at(self, address):
        return self.addresses[address]

    def address_of(self, name):
        return next(a for a, n in self.addresses.items() if n == name)

    # Life of boxes.

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
        self.nursery.start_soon(self._live, app)

    def _add_controller(self, name, app, made):
        if name not in self.disks:
            node_id = f'{name}.{self.generations[name]}'
            founds = not self.founded and name == self.seeds[0]
            self.founded = self.founded or founds
            config = entries.Config({}, {})
            if founds:
                voters = {node_id: app.settings['bind']}
                hall = {node_id: app.settings['hall']}
                config = entries.Config(voters, {}, hall)
            self.disks[name] = Disk(node_id, config)
        # The replica opens its disk by the folder of the settings.
        real, storage.Storage = storage.Storage, lambda _: self.disks[name]
        try:
            office = controller.build(app, Replica)
        finally:
            storage.Storage = real
        formed = formation.Formation(app, office.replica, made.leader)
        formation.add(app, formed)
        self.controllers[name] = office

    async def _live(self, app):
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
        await self.until(self.is_whole)
        await trio.sleep(1)

    async def until(self, check, limit_s=20.0):
        """Return how long it took until ``check()`` holds."""
        began_s = trio.current_time()
        with trio.fail_after(limit_s):
            while not check():
                await trio.sleep(0.02)
        return trio.current_time() - began_s

    def is_whole(self):
        """Return whether all take part, and the voters are as they should."""
        leader = self.leader()
        there = [name for name in self.processes if self.reached(name)]
        now_s = trio.current_time()
        if not leader or not all(
            self.entries[name].held.valid(now_s) for name in there
        ):
            return False
        config = self.config()
        taking_part = {key.partition('.')[0] for key in config.addresses()}
        with_disk = {name for name in there if self.halls[name][1]}
        losses = self.bounds.get('controller_losses', 1)
        return (
            taking_part >= with_disk
            and len(config.voters) == 2 * losses + 1
            and not voterplacement.excess(
                config, self.bounds.get('hall_losses', 0)
            )
        )

    def leader(self):
        """Return the box whose controller surely leads, or None."""
        leading = [
            (office.replica.node.term, name)
            for name, office in self.controllers.items()
            if office.replica.lease_valid() and self.reached(name)
        ]
        return max(leading)[1] if leading else None

    def config(self):
        """Return the controllers as the leader has them."""
        return self.controllers[self.leader()].replica.node.config

    def voters(self):
        return sorted(key.partition('.')[0] for key in self.config().voters)

    def reached(self, name):
        hall = self.halls[name][0]
        return name not in self.isolated and hall not in self.cut_halls

    # Messages.

    def post(self, app, to, data, reply=False, channel=None):
        if app.muted:
            return
        number = channel.number if channel else 0
        if reply:
            # Names of boxes hold no point.
            to, incarnation, number = to.split('.')
            number = int(number)
        else:
            incarnation = app.incarnation
        due_s = self._due_s(app.name, to)
        what = (app, to, data, reply, incarnation, number)
        self.nursery.start_soon(self._deliver, due_s, *what)

    def _due_s(self, sender, to):
        is_near = self.halls[sender][0] == self.halls[to][0]
        way_s = (NEAR_S if is_near else FAR_S) * (1 + self.rng.random())
        due_s = trio.current_time() + way_s
        # One connection keeps its order.
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
                part = system.Part(data)
                part.sender = app.name
                route = f'{app.name}.{incarnation}.{number}'.encode()
                target.channel.put([route, part])
            return
        if target.incarnation == incarnation:
            dealer = target.dealers[number]
            if not dealer.closed:
                dealer.put([data])

    # What operators do.

    async def order(self, box, version, limit_s):
        """Put a routes document at a box; true where acknowledged."""
        app = self.processes.get(box)
        if app is None or box in self.isolated or app.nursery is None:
            if box in self.isolated:
                await trio.sleep(limit_s)
            return False
        done = trio.Event()
        put = messages.PutRoutes(version, routes.compress(b'%d' % version))

        async def run():
            try:
                await self.entries[box].leader.call(put, entry.PUT_S)
                done.set()
            except errors.MountridgeError:
                pass

        app.start_task(run)
        with trio.move_on_after(limit_s):
            await done.wait()
        return done.is_set()

    async def write_until_acked(self, boxes, version, wait_s=1.0):
        """Order at one box after another; return how long it took."""
        began_s = trio.current_time()
        backoff_s = 0.1
        for box in boxes:
            if await self.order(box, version, wait_s):
                return trio.current_time() - began_s
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
