# SPDX-License-Identifier: Apache-2.0

"""Gateways before runners that ask for rest or leave, on virtual time.

The forwarders are real, and so is the reading of answers; connections are
not. Each runner writes down what reached it, and from which gateway.
"""

import contextlib
import types
import typing

import trio
import trio.testing

from features.worlds import answers
from mountridge.documents import instances, routes
from mountridge import messages, metrics
from mountridge.net import dialects, httpserver
from mountridge.routing import backends, forwarding

__all__ = ['Answer', 'Arrival', 'Runner', 'World']

NAMES = dialects.NATIVE.headers
#: To a runner and back, its work, and between reports of its sidecar.
WAY_S, WORK_S, REPORT_S = 0.005, 0.3, 0.2
SLOTS = 6
BOUNDS = {'retry_ratio': 0.2, 'retry_slack': 96.0, 'retry_window_s': 10.0}


class Answer(typing.NamedTuple):
    """What a runner answers; a status of 200 follows its work."""

    status: int = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()


class Arrival(typing.NamedTuple):
    """A request that has reached a runner."""

    at_s: float
    gateway: str


class Runner:
    """One life of a runner: what it answers, and what has reached it."""

    def __init__(self, number: int, life: int = 1):
        self.instance = instances.Instance(
            f'i-{number}', 's', f'10.0.0.{number}:1', 'north', 'v', SLOTS,
            instances.READY, lives=life,
        )  # fmt: skip
        self.answer = Answer()
        self.way_s = WAY_S
        self.connect_s = 0.0
        self.work_s = WORK_S
        self.running = 0
        self.arrivals: list[Arrival] = []
        #: When it answered a gateway so, and until when it wants nothing.
        self.rests: list[tuple[str, float, float]] = []
        #: When it first told a gateway that it leaves.
        self.told_leaving_s: dict[str, float] = {}

    async def serve(self, gateway: str) -> Answer:
        """Answer a request that has arrived."""
        self.arrivals.append(Arrival(trio.current_time(), gateway))
        answer = self.answer
        if answer.status == 200:
            self.running += 1
            await trio.sleep(self.work_s)
            self.running -= 1
        now_s = trio.current_time()
        for name, value in answer.headers:
            if name == b'Retry-After':
                self.rests.append((gateway, now_s, now_s + float(value)))
            elif name == b'X-Leaving':
                self.told_leaving_s.setdefault(gateway, now_s)
        return answer

    def most_in_a_rest(self) -> int:
        """Return the most that one gateway sent within a rest.

        What arrives in the first half second may have been on its way.
        """
        return max(
            (
                sum(
                    from_s + 0.5 < each.at_s < until_s
                    for each in self.arrivals
                    if each.gateway == gateway
                )
                for gateway, from_s, until_s in self.rests
            ),
            default=0,
        )


class _Pool:
    """Stands in for the connections of one gateway."""

    def __init__(self, world: 'World', gateway: str):
        self._world, self._gateway = world, gateway

    @contextlib.asynccontextmanager
    async def request(self, address, _, __, ___, ____, request_id, on_send):
        runner = self._world.runners[address]
        await trio.sleep(runner.connect_s)
        on_send()
        await trio.sleep(runner.way_s)
        answer = await runner.serve(self._gateway)
        await trio.sleep(runner.way_s)
        told = [(NAMES.request_id, request_id.encode()), *answer.headers]
        head = dialects.read_reply(answer.status, told, NAMES)
        yield types.SimpleNamespace(
            head=head, headers=told, read_body=answers.whole
        )


class World:
    """Some gateways, and the runners of one service."""

    def __init__(self, gateways: int, runners: int, tries: int = 2):
        #: For how long the machine was suspended; its timers stood still.
        self.slept_s = 0.0
        self.runners: dict[str, Runner] = {}
        for number in range(runners):
            self.put(Runner(number))
        self.index = _index(tries)
        self.gateways = {f'g{n}': self._gateway(f'g{n}', gateways)
                         for n in range(gateways)}  # fmt: skip
        self.is_open = True
        self.answers: list[answers.Responder] = []
        self._count = 0

    def _gateway(self, name: str, count: int) -> forwarding.Forwarder:
        app = types.SimpleNamespace(
            settings={
                'hall': 'north',
                'bounds': BOUNDS,
                'digest_key': '',
            },
            incarnation=name,
            now_s=self.now_s,
            metrics=metrics.Metrics(None),
        )
        made = forwarding.Forwarder(
            app, dialects.NATIVE, lambda: self.index,
            backends.Backends(name), lambda: count,
        )  # fmt: skip
        made.pool = _Pool(self, name)
        return made

    def now_s(self) -> float:
        """Return the time that the gateways decide by."""
        return trio.current_time() + self.slept_s

    def suspend(self, span_s: float, is_noticed: bool = True) -> None:
        """Let real time go on, and no timer."""
        self.slept_s += span_s
        for gateway in self.gateways.values() if is_noticed else ():
            gateway.cancel_overdue(self.now_s())

    def put(self, runner: Runner) -> None:
        """Put a runner, or a later life of one, at its address."""
        self.runners[runner.instance.address] = runner

    def follow(self, without: tuple[str, ...] = ()) -> None:
        """Give all gateways the registrations, but for some."""
        registered = [
            runner.instance
            for runner in self.runners.values()
            if runner.instance.instance_id not in without
        ]
        for gateway in self.gateways.values():
            gateway.known.follow(registered)

    def play(self, script: typing.Callable) -> None:
        """Run a script on virtual time, while sidecars report."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                self.follow()
                nursery.start_soon(self._report)
                with trio.fail_after(600):
                    await script()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _report(self) -> None:
        while True:
            for runner in self.runners.values():
                load = messages.RunnerLoad(
                    runner.instance.instance_id, runner.running, 0, 100, 1,
                    self.is_open,
                )  # fmt: skip
                for gateway in self.gateways.values():
                    gateway.known.report(load, self.now_s())
            await trio.sleep(REPORT_S)

    async def ask(
        self, gateway: str, deadline_ms: int = 2500
    ) -> answers.Responder:
        """Send one request and return its answer."""
        self._count += 1
        headers = [
            (b'Host', b'a.example'),
            (NAMES.request_id, b'r-%d' % self._count),
            (NAMES.deadline_ms, b'%d' % deadline_ms),
        ]
        request = httpserver.Request(b'GET', b'/1', headers, b'')
        responder = answers.Responder()
        await self.gateways[gateway].handle(request, responder)
        self.answers.append(responder)
        return responder

    async def load(self, per_s: float, span_s: float) -> None:
        """Send requests to all gateways in turn, and await their answers."""
        names = list(self.gateways)
        async with trio.open_nursery() as nursery:
            for number in range(round(per_s * span_s)):
                nursery.start_soon(self.ask, names[number % len(names)])
                await trio.sleep(1 / per_s)

    def refused(self) -> list[int]:
        """Return the statuses of what was not served."""
        return [each.status for each in self.answers if each.status != 200]


def _index(tries: int) -> routes.Index:
    route = routes.Route(
        'r', 'a.example', '/', routes.SAFE, 3000.0, 100.0, 1,
        [routes.Share('s', 1.0)], tries, True, False, 0.0,
    )  # fmt: skip
    engine = routes.Engine(SLOTS, 1000, experts=8)
    services = [routes.Service('s', '/h', 8, engine)]
    limits = routes.Limits()
    return routes.index(routes.RouteTable(1, [route], services, limits, None))
