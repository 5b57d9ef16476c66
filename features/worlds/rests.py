# SPDX-License-Identifier: Apache-2.0

"""Gateways with runners that request a backoff or leave, on virtual time.

The forwarders and the parsing of responses are real, connections are not.
Each runner records the requests that reached it, and from which gateway.
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
from mountridge.routing import backends, budgets, forwarding

__all__ = ['Answer', 'Arrival', 'Runner', 'World']

NAMES = dialects.NATIVE.headers
#: Latency of one way to a runner, its service time and its report interval.
LATENCY_S, SERVICE_S, REPORT_S = 0.005, 0.3, 0.2
SLOTS = 6
#: Ratio, slack and window of the retry budget.
BUDGET = (0.2, 96.0, 10.0)


class Answer(typing.NamedTuple):
    """A runner's response; one of status 200 follows the service time."""

    status: int = 200
    headers: tuple[tuple[bytes, bytes], ...] = ()


class Arrival(typing.NamedTuple):
    """A request that has reached a runner."""

    at_s: float
    gateway: str


class Runner:
    """One incarnation of a runner: its responses, and what has reached it."""

    def __init__(self, number: int, incarnation: int = 1):
        self.instance = instances.Instance(
            f'i-{number}', 's', f'10.0.0.{number}:1', 'north', 'v', SLOTS,
            instances.READY, lives=incarnation,
        )  # fmt: skip
        self.answer = Answer()
        self.latency_s = LATENCY_S
        self.connect_s = 0.0
        self.service_s = SERVICE_S
        self.running = 0
        self.arrivals: list[Arrival] = []
        #: Gateway, and the times from and to which it was told to back off.
        self.backoffs: list[tuple[str, float, float]] = []
        #: When it first announced to each gateway that it leaves.
        self.leaving_since_s: dict[str, float] = {}

    async def serve(self, gateway: str) -> Answer:
        """Answer a request that has arrived."""
        self.arrivals.append(Arrival(trio.current_time(), gateway))
        answer = self.answer
        if answer.status == 200:
            self.running += 1
            await trio.sleep(self.service_s)
            self.running -= 1
        now_s = trio.current_time()
        for name, value in answer.headers:
            if name == b'Retry-After':
                self.backoffs.append((gateway, now_s, now_s + float(value)))
            elif name == b'X-Leaving':
                self.leaving_since_s.setdefault(gateway, now_s)
        return answer

    def most_during_backoff(self) -> int:
        """Return the most requests of one gateway during a backoff.

        The first half second does not count: requests may be under way.
        """
        return max(
            (
                sum(
                    from_s + 0.5 < each.at_s < until_s
                    for each in self.arrivals
                    if each.gateway == gateway
                )
                for gateway, from_s, until_s in self.backoffs
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
        await trio.sleep(runner.latency_s)
        answer = await runner.serve(self._gateway)
        await trio.sleep(runner.latency_s)
        headers = [(NAMES.request_id, request_id.encode()), *answer.headers]
        head = dialects.read_reply_head(answer.status, headers, NAMES)
        yield answers.reply(head, headers)


class World:
    """Some gateways, and the runners of one service."""

    def __init__(self, gateways: int, runners: int, attempts: int = 2):
        #: For how long the machine was suspended while timers stood still.
        self.suspended_s = 0.0
        self.runners: dict[str, Runner] = {}
        for number in range(runners):
            self.put_runner(Runner(number))
        self.index = _index(attempts)
        self.gateways = {f'g{n}': self._gateway(f'g{n}', gateways)
                         for n in range(gateways)}  # fmt: skip
        self.is_open = True
        self.answers: list[answers.Responder] = []
        self._count = 0

    def _gateway(self, name: str, count: int) -> forwarding.Forwarder:
        app = types.SimpleNamespace(
            settings={
                'hall': 'north',
                'digest_key': '',
            },
            incarnation=name,
            now_s=self.now_s,
            metrics=metrics.Metrics(None),
        )
        made = forwarding.Forwarder(
            app, dialects.NATIVE, lambda: self.index,
            backends.Backends(name), lambda: count,
            budgets.RetryBudget(*BUDGET, -100.0, lambda now_s: 1 / count),
        )  # fmt: skip
        made.pool = _Pool(self, name)
        return made

    def now_s(self) -> float:
        """Return the time that the gateways use."""
        return trio.current_time() + self.suspended_s

    def suspend(self, span_s: float, is_noticed: bool = True) -> None:
        """Advance real time without any timer."""
        self.suspended_s += span_s
        for gateway in self.gateways.values() if is_noticed else ():
            gateway.cancel_overdue(self.now_s())

    def put_runner(self, runner: Runner) -> None:
        """Put a runner, or a later incarnation of one, at its address."""
        self.runners[runner.instance.address] = runner

    def update_registrations(self, without: tuple[str, ...] = ()) -> None:
        """Update the registrations at all gateways, without some."""
        registered = [
            runner.instance
            for runner in self.runners.values()
            if runner.instance.instance_id not in without
        ]
        for gateway in self.gateways.values():
            gateway.backends.update_runners(registered)

    def play(self, script: typing.Callable) -> None:
        """Run a script on virtual time while sidecars report."""

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                self.update_registrations()
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
                    gateway.backends.record_report(load, self.now_s())
            await trio.sleep(REPORT_S)

    async def ask(
        self, gateway: str, deadline_ms: int = 2500
    ) -> answers.Responder:
        """Send one request and return its response."""
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
        """Send requests to all gateways in turn, and await the responses."""
        names = list(self.gateways)
        async with trio.open_nursery() as nursery:
            for number in range(round(per_s * span_s)):
                nursery.start_soon(self.ask, names[number % len(names)])
                await trio.sleep(1 / per_s)

    def refused(self) -> list[int]:
        """Return the statuses of requests that were not served."""
        return [each.status for each in self.answers if each.status != 200]


def _index(attempts: int) -> routes.Index:
    route = routes.Route(
        'r', 'a.example', '/', routes.SAFE, 3000.0, 100.0, 1,
        [routes.Share('s', 1.0)], attempts, True, False, 0.0,
    )  # fmt: skip
    engine = routes.Engine(SLOTS, 1000, experts=8)
    services = [routes.Service('s', '/h', 8, engine)]
    limits = routes.Limits()
    return routes.index(routes.RouteTable(1, [route], services, limits, None))
