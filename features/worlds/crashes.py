# SPDX-License-Identifier: Apache-2.0

"""Entries and controllers with simulated runners that requests crash.

The processes are real, on a simulated network and virtual time; connections to
runners are simulated. A request whose body starts with "kill" crashes each
runner that starts to run it, and with it all requests that run there. So does
one that has a harmful part, a moment after it has begun. In a group, the other
ranks stand still then, and refuse requests until the crashed one is back.
"""

import contextlib
import json

import msgspec
import trio

from features.worlds import answers, system
from mountridge.documents import instances, routes
from mountridge import errors, messages
from mountridge.net import httpserver

__all__ = ['Play', 'play']

KEY = (b'Host', b'a.example')
LATENCY_S, RUN_S = 0.005, 0.3
#: Time until a crashed runner is back, as a new incarnation.
RESTART_S = 3.0
#: Time for which a request with a harmful part runs until its runner crashes.
BEGIN_S = 0.1
#: How long requests at the other ranks of a group stand still, and how long a
#: group needs to form again.
STALL_S, FORM_S = 1.5, 0.6
#: Requests that one runner has at most.
MAX_OPEN = 8


def _document(experts, teams):
    route = routes.Route(
        'r', 'a.example', '/', routes.SAFE, 3000.0, 100.0, 1,
        [routes.Share('s', 1.0)], 2, True, False, 0.0,
    )  # fmt: skip
    engine = routes.Engine(4, 1000, experts=experts) if experts else None
    services = [routes.Service('s', '/h', 8, engine)]
    listed = [routes.Team(name, [name], None) for name in teams] or None
    table = routes.RouteTable(1, [route], services, routes.Limits(), listed)
    return msgspec.json.encode(table)


class Runner:
    """An address, and the current incarnation of the runner there."""

    def __init__(self, number):
        self.number, self.incarnation = number, 0
        self.address = f'10.0.0.{number}:1'
        self.is_down = False
        self.ended = trio.Event()
        self.is_busy = False
        self.open = 0

    def instance(self):
        return instances.Instance(
            f'i-{self.number}-{self.incarnation}', 's', self.address,
            'north', 'v', 4, instances.READY,
        )  # fmt: skip

    def crash(self):
        self.is_down = True
        self.ended.set()

    def start(self):
        self.incarnation += 1
        self.is_down, self.ended = False, trio.Event()


class _Pool:
    """Simulates the connections of one entry to runners."""

    def __init__(self, play, name):
        self.play, self.name = play, name

    @contextlib.asynccontextmanager
    async def request(self, address, _, __, headers, body, ____, on_send):
        runner = self.play.runners[address]
        if runner.is_down:
            raise errors.NoRunner('refused')
        await trio.sleep(self.play.connect_s)
        on_send()
        await trio.sleep(LATENCY_S)
        parts = _shared_parts(headers)
        self.play.record_arrival(self.name, runner, body, parts)
        if self.play.is_closed() or runner.open >= MAX_OPEN:
            raise errors.RunnerRefused('the runner answered 503')
        runner.open += 1
        try:
            await self._run(runner, body, parts)
        finally:
            runner.open -= 1
        yield answers.reply()

    async def _run(self, runner, body, parts):
        """Run a request until its end, or that of its runner or group."""
        play, ended, runner.is_busy = self.play, runner.ended, True
        is_harmful = not play.harmful.isdisjoint(parts)
        if body.startswith(b'kill'):
            runner.crash()
            play.world.nursery.start_soon(play.restart, runner)
        if is_harmful:
            (part,) = play.harmful.intersection(parts)
            play.world.nursery.start_soon(play.crash_soon, runner, part)
        with trio.move_on_after(RUN_S):
            await ended.wait()
        if not ended.is_set() and play.is_closed():
            await trio.sleep(STALL_S)
            raise errors.BadAnswer('cut')
        if ended.is_set():
            raise errors.OutcomeUnknown('no answer: reset')

    async def refuses_connections(self, address, *limits_s):
        await trio.sleep(LATENCY_S)
        return self.play.runners[address].is_down

    async def evict(self, address):
        pass


def _shared_parts(headers):
    listed = dict(headers).get(b'x-prefix-parts', b'').split(b',')
    return tuple(part.partition(b':')[0] for part in listed[:-1])


class Play:
    """A system, its runners, and the requests that reached them."""

    def __init__(self, world, count, is_group=False):
        self.world, self.is_group = world, is_group
        #: Ids of parts that crash each runner which begins to answer them.
        self.harmful = set()
        self.crashes_s = []  # (time, part) of the crashes that they caused
        self.harmful_arrivals = []  # (time, entry, parts)
        self._closed_until_s = 0.0
        self.connect_s = 0.0  # time to connect to a runner
        listed = [Runner(number) for number in range(count)]
        self.runners = {runner.address: runner for runner in listed}
        self.arrivals = []  # (time, entry, incarnation of the runner, body)
        self.answers = []  # (time, entry, body, status, code, duration)

    def is_closed(self):
        """Return whether the group of all runners stands still."""
        return self.is_group and trio.current_time() < self._closed_until_s

    async def crash_soon(self, runner, part):
        """Crash a runner soon after it has begun to answer a request.

        Also where the request's caller has left meanwhile.
        """
        ended = runner.ended
        await trio.sleep(BEGIN_S)
        if not ended.is_set():
            self.crashes_s.append((trio.current_time(), part))
            self.crash(runner)

    def crash(self, runner):
        """Crash a runner, which is back after `RESTART_S`."""
        if not runner.is_down:
            runner.crash()
            self.world.nursery.start_soon(self.restart, runner)
            closed_s = trio.current_time() + RESTART_S + FORM_S
            self._closed_until_s = max(self._closed_until_s, closed_s)

    def record_arrival(self, name, runner, body, parts=()):
        if not self.harmful.isdisjoint(parts):
            arrival = (trio.current_time(), name, parts)
            self.harmful_arrivals.append(arrival)
        incarnation = runner.instance().instance_id
        self.arrivals.append((trio.current_time(), name, incarnation, body))

    def start(self, name):
        self.world.start(name)
        if name in self.world.entries:
            self.world.daemons[name].forwarder.pool = _Pool(self, name)

    async def begin(self, experts, teams):
        for name in self.world.controllers + self.world.entries:
            self.start(name)
        await trio.sleep(0.01)
        self.world.elect()
        await trio.sleep(4)
        await self.world.daemons['e1'].put_routes(_document(experts, teams))
        for runner in self.runners.values():
            await self.send_heartbeat(runner)
        self.world.nursery.start_soon(self._send_heartbeats)
        await trio.sleep(2)

    async def _send_heartbeats(self):
        while True:
            for runner in self.runners.values():
                if not runner.is_down:
                    await self.send_heartbeat(runner)
            await trio.sleep(0.5)

    async def send_heartbeat(self, runner):
        for name in self.world.entries:
            if self.world.processes.get(name) is None:
                continue
            with contextlib.suppress(errors.MountridgeError):
                seq = round(trio.current_time() * 1000)
                heartbeat = messages.Heartbeat(runner.instance(), seq)
                await self.world.daemons[name].heartbeat(heartbeat)
                return

    async def restart(self, runner):
        await trio.sleep(RESTART_S)
        runner.start()
        await self.send_heartbeat(runner)

    async def ask(self, name, body, deadline_ms=3000, parts=(), team=''):
        begun_s = trio.current_time()
        headers = [KEY, (b'X-Deadline-Ms', b'%d' % deadline_ms)]
        if team:
            headers.append((b'authorization', b'Bearer ' + team.encode()))
        if parts:
            listed = b','.join(part + b':100' for part in parts)
            headers.append((b'x-prefix-parts', listed))
        request = httpserver.Request(b'POST', b'/1', headers, body)
        responder = answers.Responder()
        await self.world.daemons[name].forwarder.handle(request, responder)
        now_s = trio.current_time()
        is_error = responder.status != 200
        error_body = json.loads(responder.body) if is_error else {}
        code = error_body['error']['code'] if is_error else 0
        self.answers.append(
            (now_s, name, body, responder.status, code, now_s - begun_s)
        )
        return code

    def crashes(self, body):
        """Return the times of the crashes that a request caused, in order."""
        return [at_s for at_s, _, _, found in self.arrivals if found == body]

    async def lose_power(self):
        """Kill all processes, and restart them with their disks."""
        names = list(self.world.processes)
        for name in names:
            self.world.kill(name)
        self.world.leader = ''
        await trio.sleep(1)
        for name in names:
            self.start(name)
        await trio.sleep(0.5)
        self.world.elect()
        await trio.sleep(4)


def play(context, script, count=6, experts=0, teams=()):
    """Run ``script(play)`` on a system; keep the play in the context."""

    async def run(world):
        context.play = Play(world, count, is_group=bool(experts))
        await context.play.begin(experts, teams)
        await script(context.play)

    name = context.scenario.name
    system.play(run, name, gateways=0, agents=0, controllers=3, entries=3)
