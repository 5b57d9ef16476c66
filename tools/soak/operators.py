# SPDX-License-Identifier: Apache-2.0

"""Operators: change routes, race, send again, take halls out and back."""

import json
import typing

import trio

from standins import engine
from tools.soak import checks, loads, schedule

__all__ = ['Operator']

#: An order without an acknowledgement is sent so often, to other entries.
MOST_SENDS = 4
#: A request for the route of one version.
PROBE = {'kind': 'probe', 'deadline_ms': 2500, 'prompt': 0, 'output': 0}


def _route(
    name: str, kind: str = 'safe', service: str = 'plain', ms: float = 2500.0
) -> list:
    streams = kind == 'streaming'
    place = ['soak.example', f'/{name}/', kind, ms, 500.0, 1]
    return [name, *place, [[service, 1.0]], 2, True, streams, 0.0]


def document(sizes: dict, version: int, variant: str = '') -> bytes:
    """Return a routes document; its newest versions have own routes."""
    listed = [
        _route(
            kind['name'], kind['kind'], kind['service'], kind['deadline_ms']
        )
        for kind in sizes['kinds']
    ]
    first = max(1, version - checks.KEPT_VERSIONS + 1)
    listed += [_route(f'at-{n}') for n in range(first, version + 1)]
    if variant:
        listed.append(_route(variant))
    sheet = engine.EngineParameters()
    llm = [sheet.slots, sheet.memory_tokens, sheet.experts]
    llm += [sheet.places, sheet.spare]
    cold = [sizes['cold_s'], sizes['cold_per_s']]
    cold = cold if sizes['cold_per_s'] else [0.0, 0.0]
    services = [['llm', '/h', 64, llm], ['plain', '/h', 64, None, *cold]]
    limits = [16384, 1 << 20, 3000.0, 15000.0]
    return json.dumps([version, listed, services, limits, None]).encode()


class Operator:
    """Sends orders and reads back what holds."""

    def __init__(self, caller: loads.Caller, note: typing.Callable):
        self.made = caller.made
        self.watch = caller.watch
        self.caller = caller
        self.note = note
        #: Halls that are out of service, or may be.
        self.out: set[str] = set()
        self._sent: dict[int, bytes] = {}

    async def first(self) -> None:
        """Put the first routes, and wait until they are acknowledged."""
        while self.watch.acked == 0:
            await self._put(1, document(self.made.sizes, 1))

    async def carry_out(self, order: schedule.Order) -> None:
        """Carry out one order of the plan."""
        if order.kind == 'hall':
            await self._turn_hall(order.pick)
            return
        version = self.watch.sent
        if order.kind in ('put', 'race'):
            version += 1
        if order.kind == 'old':
            version = max(1, version - 1 - order.pick % 3)
        source = document(self.made.sizes, version)
        async with trio.open_nursery() as nursery:
            if order.kind == 'race':
                other = document(self.made.sizes, version, 'raced')
                nursery.start_soon(self._put, version, other)
            again = self._sent.get(version, source)
            nursery.start_soon(self._put, version, again)
        await self.read()

    async def _send(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Send an order until it is answered by other than 503."""
        status, answer = 503, b''
        for _ in range(MOST_SENDS):
            address = self.made.address('control')
            status, answer = await self.made.ask(address, path.encode(), body)
            self.note('order', path=path, status=status)
            if status != 503:
                break
            await trio.sleep(0.2)
        return status, answer

    async def _put(self, version: int, source: bytes) -> None:
        self.watch.sent = max(self.watch.sent, version)
        self._sent.setdefault(version, source)
        status, answer = await self._send('/v1/routes/put', source)
        rule = 'orders sent again are taken'
        self.watch.check(rule, status in (200, 503), version=version)
        if status == 200:
            held = json.loads(answer)['version']
            self.watch.acked = max(self.watch.acked, held, version)

    async def read(self) -> None:
        """Read the routes back, from some entry."""
        acked = self.watch.acked
        address = self.made.address('control')
        status, body = await self.made.ask(address, b'/v1/routes/get')
        if status == 200:
            self.watch.read(acked, json.loads(body)[0], body)

    async def probe(self, name: str) -> int:
        """Return the newest version whose route an entry serves, 0 if none.

        Each version is asked for by a request of its own.
        """
        life, newest = self.made.lives[name], self.watch.sent
        front = self.made.fronts[self.made.names.index(name)]
        oldest = max(1, newest - checks.KEPT_VERSIONS + 1)
        for version in range(newest, oldest - 1, -1):
            kind = {**PROBE, 'name': f'at-{version}'}
            status = (await self.caller.ask(kind, front)).status
            if status in (200, 404) and life == self.made.lives[name]:
                self.watch.probe(name, life, version, status == 200)
            if status == 200:
                return version
        return 0

    async def _turn_hall(self, pick: int) -> None:
        """Take a hall out of service, or put it back if one is out.

        An entry that does not know the call answers 404.
        """
        halls = self.made.sizes['halls']
        is_back = bool(self.out)
        hall = min(self.out) if is_back else halls[pick % len(halls)]
        if is_back:
            self.watch.out_s.pop(hall, None)
        call = 'restore' if is_back else 'drain'
        status, _ = await self._send(f'/v1/halls/{hall}/{call}', b'')
        if status == 200 and is_back:
            self.out.discard(hall)
        elif status == 200:
            self.watch.out_s[hall] = trio.current_time()
        if status in (200, 503) and not is_back:
            self.out.add(hall)  # perhaps, where nothing was acknowledged
