# SPDX-License-Identifier: Apache-2.0

"""Emulated operators, who change routes and drain and restore halls."""

import json
import typing

import trio

from standins import engine
from tools.soak import checks, loads, schedule

__all__ = ['Operator']

#: Attempts to send an order until it is acknowledged, to random entries.
MAX_SENDS = 4
#: Kind of the requests for the route of one version.
PROBE = {'kind': 'probe', 'deadline_ms': 2500, 'prompt': 0, 'output': 0}


def _route(
    name: str,
    kind: str = 'safe',
    service: str = 'plain',
    ms: float = 2500.0,
    resumable: bool = True,
) -> list:
    is_resumable = kind == 'streaming' and resumable
    place = ['soak.example', f'/{name}/', kind, ms, 500.0, 1]
    return [name, *place, [[service, 1.0]], 2, True, is_resumable, 0.0]


def document(sizes: dict, version: int, variant: str = '') -> bytes:
    """Return a routes document, with a route for each newest version."""
    listed = [
        _route(
            kind['name'],
            kind['kind'],
            kind['service'],
            kind['deadline_ms'],
            kind.get('resumable', True),
        )
        for kind in sizes['kinds']
    ]
    oldest = max(1, version - checks.PROBED_VERSIONS + 1)
    listed += [_route(f'at-{n}') for n in range(oldest, version + 1)]
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
    """Sends orders and reads back the routes in force."""

    def __init__(self, caller: loads.Caller, note: typing.Callable):
        self.system = caller.system
        self.checker = caller.checker
        self.caller = caller
        self.note = note
        #: Halls that are drained, or may be.
        self.drained: set[str] = set()
        self._sent: dict[int, bytes] = {}

    async def put_first_routes(self) -> None:
        """Put the first routes until they are acknowledged."""
        while self.checker.acked_version == 0:
            await self._put(1, document(self.system.sizes, 1))

    async def carry_out(self, order: schedule.Order) -> None:
        """Carry out one order of the plan."""
        if order.kind == 'hall':
            await self._toggle_hall(order.pick)
            return
        version = self.checker.sent_version
        if order.kind in ('put', 'race'):
            version += 1
        if order.kind == 'old':
            version = max(1, version - 1 - order.pick % 3)
        source = document(self.system.sizes, version)
        async with trio.open_nursery() as nursery:
            if order.kind == 'race':
                other = document(self.system.sizes, version, 'raced')
                nursery.start_soon(self._put, version, other)
            body = self._sent.get(version, source)
            nursery.start_soon(self._put, version, body)
        await self.read()

    async def _send(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Send an order until it is answered with another status than 503."""
        status, answer = 503, b''
        for _ in range(MAX_SENDS):
            address = self.system.address('control')
            status, answer = await self.system.ask(
                address, path.encode(), body
            )
            self.note('order', path=path, status=status)
            if status != 503:
                break
            await trio.sleep(0.2)
        return status, answer

    async def _put(self, version: int, source: bytes) -> None:
        self.checker.sent_version = max(self.checker.sent_version, version)
        self._sent.setdefault(version, source)
        status, answer = await self._send('/v1/routes/put', source)
        rule = 'orders sent again are taken'
        self.checker.check(rule, status in (200, 503), version=version)
        if status == 200:
            in_force = json.loads(answer)['version']
            self.checker.acked_version = max(
                self.checker.acked_version, in_force, version
            )

    async def read(self) -> None:
        """Read the routes back from a random entry and check them."""
        acked = self.checker.acked_version
        address = self.system.address('control')
        status, body = await self.system.ask(address, b'/v1/routes/get')
        if status == 200:
            self.checker.record_read(acked, json.loads(body)[0], body)

    async def probe(self, name: str) -> int:
        """Return the newest version whose route an entry serves, 0 if none.

        Sends one request per version.
        """
        incarnation, newest = (
            self.system.incarnations[name],
            self.checker.sent_version,
        )
        front = self.system.fronts[self.system.names.index(name)]
        oldest = max(1, newest - checks.PROBED_VERSIONS + 1)
        for version in range(newest, oldest - 1, -1):
            kind = {**PROBE, 'name': f'at-{version}'}
            status = (await self.caller.ask(kind, front)).status
            if (
                status in (200, 404)
                and incarnation == self.system.incarnations[name]
            ):
                self.checker.record_probe(
                    name, incarnation, version, status == 200
                )
            if status == 200:
                return version
        return 0

    async def _toggle_hall(self, pick: int) -> None:
        """Drain a hall, or restore one if any is drained."""
        halls = self.system.sizes['halls']
        is_restore = bool(self.drained)
        hall = min(self.drained) if is_restore else halls[pick % len(halls)]
        if is_restore:
            self.checker.out_of_service_s.pop(hall, None)
        call = 'restore' if is_restore else 'drain'
        status, _ = await self._send(f'/v1/halls/{hall}/{call}', b'')
        if status == 200 and is_restore:
            self.drained.discard(hall)
        elif status == 200:
            self.checker.out_of_service_s[hall] = trio.current_time()
        if status in (200, 503) and not is_restore:
            self.drained.add(hall)  # also if the outcome is unknown
