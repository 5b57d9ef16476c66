# SPDX-License-Identifier: Apache-2.0

"""Simulation of a group of engines, their sidecars and a leader.

Runs on virtual time, with the product's code for planning and map changes.
Orders from sidecars to engines can be lost or delayed, the leader can change,
sidecars and boxes can freeze, and ranks can fail or restart.
"""

import random
import types

import trio
import trio.testing

from mountridge import application, errors, remoteranks, sidecar
from mountridge.experts import mapplans, ranks
from mountridge.groups import engines, groups
from standins import engine

SHEET = engine.EngineParameters()
#: What the routes state of these engines.
PARAMETERS = mapplans.EngineParameters(
    SHEET.places, SHEET.spare, SHEET.experts
)
#: Requests that each rank always has, running or waiting.
REQUESTS_PER_RANK = 3
#: Interval at which a stalled group is checked.
POLL_S = 0.01
#: How long a sidecar is frozen after it has sent an order to hold.
FROZEN_S = 4.0


class Leader:
    """Application and replica of a leader: a clock, a log, and leadership."""

    def __init__(self, world):
        self.world = world
        self.node = types.SimpleNamespace(term=world.term)
        self.metrics = types.SimpleNamespace(
            incr=lambda _: None, gauge=world.gauges.__setitem__
        )
        self.groups = groups.Groups(self, self, lambda _: world.parameters)
        if not world.without_other_box:
            self.groups.send_remote_order = self._send_remote_order

    def _send_remote_order(self, remote):
        engine = self.world.remote_engine(remote.instance_id)
        self.world.nursery.start_soon(
            sidecar.execute_order, engine, remote.order
        )
        return True

    def now_s(self):
        return trio.current_time()

    def wall_s(self):
        return trio.current_time()

    def start_task(self, task, *args):
        self.world.nursery.start_soon(task, *args)

    def check_leader(self):
        if self.world.leader is not self:
            raise errors.NotLeader()

    def send(self, route, message):
        """Push a message to a sidecar; it may be lost."""
        world = self.world
        if world.rng.random() >= world.push_loss:
            world.nursery.start_soon(self._push, int(route), message)
        return True

    async def _push(self, number, message):
        await trio.sleep(0.002)
        self.world.sidecars[number].on_push(message)

    async def propose(self, _payload):
        await trio.sleep(0.005)
        self.check_leader()
        self.world.log_index += 1
        self.world.planned_at_s[self.world.log_index] = trio.current_time()
        return self.world.log_index


class Engine:
    """Client of one rank's engine, for its sidecar or a remote box."""

    def __init__(self, world, number, is_remote=False):
        self.world, self.number = world, number
        self.is_remote = is_remote

    async def state(self):
        await trio.sleep(0.001)
        if not self.is_remote or self.world.with_box:
            await trio.sleep_until(self.world.frozen_until_s[self.number])
        return self.world.group.state(self.number, trio.current_time())

    async def counts(self):
        return list(self.world.group.ranks[self.number].counts)

    async def experts(self):
        held = self.world.group.ranks[self.number].held
        return [list(each) for each in held]

    async def instance_id(self):
        return f'i-{self.number}'

    async def execute(self, order):
        world = self.world
        await trio.sleep(0.001)
        if world.rng.random() >= world.order_loss:
            now_s = trio.current_time()
            try:
                world.group.execute_order(self.number, order, now_s)
            except errors.RefusedChange:
                world.refused += 1
                raise
            freezes = world.freezing and order.kind == ranks.HOLD
            if freezes and not self.is_remote:
                world.frozen_until_s[self.number] = now_s + FROZEN_S
            return
        if world.delaying:
            world.nursery.start_soon(self._execute_delayed, order)
        await trio.sleep(engines.ORDER_TIMEOUT_S)
        raise errors.OutcomeUnknown('no response')

    async def _execute_delayed(self, order):
        await trio.sleep(self.world.rng.uniform(2, 12))
        try:
            now_s = trio.current_time()
            self.world.group.execute_order(self.number, order, now_s)
        except errors.RefusedChange:
            # The engine refuses an order that no longer fits its state.
            return


class Caller:
    """A sidecar's connection to the current leader."""

    def __init__(self, world, number):
        self.world = world
        self.peer = application.Peer(b'%d' % number, 0, '')

    async def call(self, report, _timeout_s):
        await trio.sleep(0.002)
        self.world.reports += 1
        groups = self.world.leader.groups
        reply = groups.on_report(self.peer, report)
        await trio.sleep(0.002)
        return reply


class World:
    """The group, its sidecars and leaders, with the faults of a scenario."""

    def __init__(self, nursery, faults, seed):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.group = engine.Group(SHEET, self.rng)
        #: Part of the orders to engines that are lost, or delayed.
        self.order_loss = 0.0
        #: Whether these orders are carried out later.
        self.delaying = 'delayed' in faults
        if 'lost' in faults or self.delaying:
            self.order_loss = 0.3
        self.changing = 'leader changes' in faults
        self.term_s = 0.7 if 'every 0.7 s' in faults else 3.0
        self.failing = 'failing' in faults
        #: Whether ranks restart under their ids and report their start times.
        self.restarting = 'restart' in faults
        #: False at the end, so that the last change finishes and no pass is
        #: held for another one at the moment of the check.
        self.shifting = True
        self.report_s = 0.5 if 'report every 0.5 s' in faults else 0.2
        #: Part of the leader's pushes that are lost.
        self.push_loss = 0.5 if 'pushes lost' in faults else 0.0
        self.sidecars = {}
        self.freezing = 'frozen' in faults
        #: Whether the runner is frozen with its sidecar.
        self.with_box = 'the box' in faults
        self.frozen_until_s = [0.0] * SHEET.ranks
        #: Whether there is no other box that could send orders.
        self.without_other_box = 'no other box' in faults
        #: Limits of the engines by the routes, which may be of another model.
        self.parameters = PARAMETERS
        if 'another model' in faults:
            self.parameters = PARAMETERS._replace(slots=3 * SHEET.places)
            self.shifting = False
            # One rank holds all experts that are in demand.
            self.group.popularity = [
                50.0 if number % SHEET.ranks == 0 else 1.0
                for number in range(SHEET.sets * SHEET.experts)
            ]
        #: Orders that engines refused while faults were injected.
        self.refused = 0
        self.span_s = 0.0
        self.term, self.log_index, self.changes = 1, 0, 0
        self.reports = 0
        #: When each map was planned, and the times from then to its use.
        self.planned_at_s, self.change_durations_s = {}, []
        #: How long no pass could begin, for a hold or while the group formed.
        self.stalled_s = 0.0
        #: Newest values of the leaders' gauges, by name.
        self.gauges = {}
        self.leader = Leader(self)

    def start(self):
        for number in range(SHEET.ranks):
            self.nursery.start_soon(self._sidecar, number)
        self.nursery.start_soon(self._passes)
        self.nursery.start_soon(self._shift)
        self.nursery.start_soon(self._send_remote_orders)
        if self.changing:
            self.nursery.start_soon(self._change_leaders)
        if self.failing or self.restarting:
            self.nursery.start_soon(self._restart_ranks)

    async def _send_remote_orders(self):
        """Call engines with unresponsive sidecars for the current leader."""
        app = types.SimpleNamespace(
            now_s=trio.current_time,
            metrics=types.SimpleNamespace(incr=lambda _: None),
        )
        while True:
            leader = self.leader
            remote_ranks = remoteranks.RemoteRanks(
                app, leader.groups, self.remote_engine
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(remote_ranks.run)
                while self.leader is leader:
                    await trio.sleep(remoteranks.CHECK_INTERVAL_S)
                nursery.cancel_scope.cancel()

    def remote_engine(self, instance_id):
        return Engine(self, int(instance_id.partition('-')[2]), True)

    async def _sidecar(self, number):
        app = types.SimpleNamespace(
            settings={
                'sidecar': {'report_s': self.report_s},
                'controllers': {'c': 'tcp://127.0.0.1:1'},
                'entry': {'seeds': []},
                'bind': 'tcp://127.0.0.1:1',
            },
            now_s=trio.current_time,
            metrics=types.SimpleNamespace(incr=lambda _: None),
            start_task=self.nursery.start_soon,
        )
        made = sidecar.Sidecar(app, Engine(self, number))
        made.leader = Caller(self, number)
        self.sidecars[number] = made
        await made.run()

    async def _passes(self):
        used = 0
        while True:
            for rank in self.group.ranks:
                while (
                    len(rank.running) + len(rank.waiting) < REQUESTS_PER_RANK
                ):
                    rank.waiting.append(engine.Sequence(200, 100))
            duration_s = self.group.begin_pass(trio.current_time())
            if duration_s is None:
                self.stalled_s += POLL_S
                await trio.sleep(POLL_S)
                continue
            if self.group.ranks[0].map_version not in (0, used):
                self.changes += 1
                used = self.group.ranks[0].map_version
                now_s = trio.current_time()
                self.change_durations_s.append(now_s - self.planned_at_s[used])
            await trio.sleep(duration_s)
            self.group.end_pass()

    async def _shift(self):
        while self.shifting:
            self.group.shift_demand()
            await trio.sleep(1)

    async def _change_leaders(self):
        while True:
            await trio.sleep(self.term_s)
            self.term += 1
            self.leader = Leader(self)

    async def _restart_ranks(self):
        while True:
            await trio.sleep(5 + self.rng.random())
            now_s = trio.current_time()
            if self.restarting:
                number = self.rng.randrange(SHEET.ranks)
                self.group.restart(number, round(now_s * 1000), now_s)
            else:
                self.group.reform(now_s)


def play(span_s, faults, seed):
    """Simulate ``span_s`` and 20 s more; return the world.

    In the last 20 s no order is lost, demand does not shift and the routes
    are those of the engines' model.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery, faults, seed)
            world.start()
            await trio.sleep(span_s)
            world.span_s = span_s
            world.order_loss = 0.0
            world.parameters = PARAMETERS
            world.shifting = False
            await trio.sleep(20)
            nursery.cancel_scope.cancel()
        return world

    # Trio runs tasks that are ready together in an order drawn from this seed.
    trio._core._run._r.seed(str(seed))
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, clock=clock)
