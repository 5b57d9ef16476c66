# SPDX-License-Identifier: Apache-2.0

"""Entries and controllers with simulated runners that requests crash.

The processes are real, on a simulated network and virtual time; connections to
runners are simulated. A request whose body starts with "kill" crashes each
runner that starts to run it, and with it all requests that run there.
"""

import contextlib
import json
import types

import msgspec
import trio

from features.worlds import answers, system
from mountridge.documents import instances, routes
from mountridge import errors, messages
from mountridge.net import dialects, httpserver, lasthop

__all__ = ['Play', 'play']

KEY = (b'Host', b'a.example')
LATENCY_S, RUN_S = 0.005, 0.3
#: Time until a crashed runner is back, as a new incarnation.
RESTART_S = 3.0


def _document(experts):
    route = routes.Route(
        'r', 'a.example', '/', routes.SAFE, 3000.0, 100.0, 1,
        [routes.Share('s', 1.0)], 2, True, False, 0.0,
    )  # fmt: skip
    engine = routes.Engine(4, 1000, experts=experts) if experts else None
    services = [routes.Service('s', '/h', 8, engine)]
    table = routes.RouteTable(1, [route], services, routes.Limits(), None)
    return msgspec.json.encode(table)


class Runner:
    """An address, and the current incarnation of the runner there."""

    def __init__(self, number):
        self.number, self.incarnation = number, 0
        self.address = f'10.0.0.{number}:1'
        self.is_down = False
        self.ended = trio.Event()
        self.is_busy = False

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
    async def request(self, address, _, __, ___, body, ____, on_send):
        runner = self.play.runners[address]
        if runner.is_down:
            raise errors.NoRunner('refused')
        on_send()
        await trio.sleep(LATENCY_S)
        self.play.record_arrival(self.name, runner, body)
        if body.startswith(b'kill'):
            runner.crash()
            self.play.world.nursery.start_soon(self.play.restart, runner)
        ended, runner.is_busy = runner.ended, True
        with trio.move_on_after(RUN_S):
            await ended.wait()
        if ended.is_set():
            raise errors.OutcomeUnknown('no answer: reset')
        head = dialects.ReplyHead(200, None, False, None, None, None)
        yield types.SimpleNamespace(
            head=head,
            headers=[],
            read_body=answers.read_body,
            framing=lasthop.LENGTH,
        )

    async def refuses_connections(self, address):
        await trio.sleep(LATENCY_S)
        return self.play.runners[address].is_down

    async def evict(self, address):
        pass


class Play:
    """A system, its runners, and the requests that reached them."""

    def __init__(self, world, count):
        self.world = world
        listed = [Runner(number) for number in range(count)]
        self.runners = {runner.address: runner for runner in listed}
        self.arrivals = []  # (time, entry, incarnation of the runner, body)
        self.answers = []  # (time, entry, body, status, code, duration)

    def record_arrival(self, name, runner, body):
        incarnation = runner.instance().instance_id
        self.arrivals.append((trio.current_time(), name, incarnation, body))

    def start(self, name):
        self.world.start(name)
        if name in self.world.entries:
            self.world.daemons[name].forwarder.pool = _Pool(self, name)

    async def begin(self, experts):
        for name in self.world.controllers + self.world.entries:
            self.start(name)
        await trio.sleep(0.01)
        self.world.elect()
        await trio.sleep(4)
        await self.world.daemons['e1'].put_routes(_document(experts))
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

    async def ask(self, name, body, deadline_ms=3000):
        begun_s = trio.current_time()
        request = httpserver.Request(
            b'POST',
            b'/1',
            [KEY, (b'X-Deadline-Ms', b'%d' % deadline_ms)],
            body,
        )
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


def play(context, script, count=6, experts=0):
    """Run ``script(play)`` on a system; keep the play in the context."""

    async def run(world):
        context.play = Play(world, count)
        await context.play.begin(experts)
        await script(context.play)

    name = context.scenario.name
    system.play(run, name, gateways=0, agents=0, controllers=3, entries=3)
