# SPDX-License-Identifier: Apache-2.0

"""Emulated runners with lives, each behind a link of its own."""

import random
import time
import typing

import trio

from mountridge.net import dialects, httpserver
from standins import engine, engineserver
from tools.soak import checks, fleet, links, words

__all__ = ['Built', 'Runner', 'build']

NAMES = dialects.NATIVE.headers
PORT = 9000
PLAIN_SLOTS = 8
PLAIN_WORK_S = 0.02
#: Requests whose path begins so end the runner that begins to run them.
KILLER = b'/killer/'
KILLED_S = 2.0
#: Bytes that are no answer in the protocol.
GARBLED = b'\x00\x17 not an answer \r\n\r\n'


class Runner:
    """One runner: its handler, its address, and its present life."""

    def __init__(
        self,
        name: str,
        service: str,
        hall: str,
        address: str,
        stand_in: tuple[httpserver.Handler, engineserver.Faults],
    ):
        self.name = name
        self.service = service
        self.hall = hall
        self.address = address
        self.link = links.Link(address)
        self.handler, self.faults = stand_in
        self.garbled = 0.0  # share of its requests answered with nonsense
        self.state = 'ready'
        self.rest_s = 0.0  # turns all away, and asks for so much rest
        self.is_leaving = False  # all its answers say so
        self.cold_until_s = 0.0
        self._down_s = 0.0  # until its next life
        self._life = trio.CancelScope()

    def end(self, down_s: float) -> None:
        """End this life; the next begins ``down_s`` later, and cold."""
        self._down_s = down_s
        self._life.cancel()

    async def run(self, made: fleet.Fleet, watch: checks.Watch) -> None:
        """Live, and live again after each end, until cancelled."""
        served = self._watched(made.rng, watch)
        limits = engineserver.limits
        while True:
            self.link.accept()
            server = httpserver.Server(served, limits, lambda: False)
            with trio.CancelScope() as self._life:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(server.run, self.address)
                    nursery.start_soon(self._register, made, watch)
            self.link.refuse()
            await trio.sleep(self._down_s)
            self.state, self.is_leaving = 'ready', False
            watch.out_s.pop(self.name, None)
            watch.spoken.forget(self.name)
            self.cold_until_s = trio.current_time() + made.sizes['cold_s']

    async def _register(self, made: fleet.Fleet, watch: checks.Watch) -> None:
        born_ms = int(time.time() * 1000)

        def told() -> dict:
            cold_s = max(0.0, self.cold_until_s - trio.current_time())
            return {
                'hall': self.hall,
                'state': self.state,
                'born_ms': born_ms,
                'cold_ms': cold_s * 1000,
            }

        def heard(body: dict) -> None:
            watch.heartbeat(self, body, trio.current_time())

        at = links.listen_of(self.address)
        names = (self.name, self.service, at, PLAIN_SLOTS)
        await engineserver.register(made.post, *names, told, heard)

    def _watched(
        self, rng: random.Random, watch: checks.Watch
    ) -> httpserver.Handler:
        """Return a handler that tells of all requests, and garbles some."""

        async def handle(request, responder) -> None:
            if not request.path.startswith(b'/v1/'):
                request_id = request.header(NAMES.request_id) or b''
                now_s = trio.current_time()
                watch.arrive(request_id, self, now_s)
                if request.path.startswith(KILLER):
                    watch.crashed_s.append(now_s)
                    self.end(KILLED_S)
                    await trio.sleep_forever()
                if self.rest_s:
                    watch.speaks(request_id, self, now_s)
                    await words.turn_away(responder, request_id, self.rest_s)
                    return
                if self.is_leaving:
                    watch.speaks(request_id, self, now_s)
                    responder = words.Telling(responder)
                if rng.random() < self.garbled:
                    await responder._stream.send_all(GARBLED)
                    return
            await self.handler(request, responder)

        return handle


class Built(typing.NamedTuple):
    """All runners, and the group of engines among them."""

    runners: list[Runner]
    group: engine.Group
    ranks: engineserver.EngineRunners


def build(made: fleet.Fleet, watch: checks.Watch, rng: random.Random) -> Built:
    """Return the runners of a run, none of which lives yet."""
    sizes = made.sizes
    group = engine.Group(engine.EngineParameters(ranks=sizes['ranks']), rng)
    group.shift_demand()
    ranks = engineserver.EngineRunners(group, rng)
    watch.runs.append(ranks.runs)
    found: list[Runner] = []

    def add(name: str, service: str, host: int, *stand_in) -> None:
        place = (made.hall_of(name), f'{made.network}{host}:{PORT}')
        found.append(Runner(name, service, *place, stand_in))

    for n in range(sizes['ranks']):
        add(f'i-{n}', 'llm', 100 + n, ranks.handler(n), ranks.faults[n])
    for n in range(sizes['plains']):
        plain = engineserver.PlainRunner(n, PLAIN_WORK_S, rng)
        watch.runs.append(plain.runs)
        add(f'p-{n}', 'plain', 150 + n, plain.handle, plain.faults)
    return Built(found, group, ranks)
