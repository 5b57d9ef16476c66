# SPDX-License-Identifier: Apache-2.0

"""Emulated operators, who change routes and drain and restore halls."""

import json
import typing

import trio

from tools.soak import checks, documents, loads, schedule

__all__ = ['Operator']

#: Attempts to send an order until it is acknowledged, to random entries.
MAX_SENDS = 4
#: Changes of a series, and the time between two.
SERIES, SERIES_EVERY_S = 4, 0.05
#: Kind of the requests for the route of one version.
PROBE = {
    'kind': 'probe', 'deadline_ms': 2500, 'prompt': 0, 'output': 0,
    'is_probe': True,
}  # fmt: skip


class Operator:
    """Sends orders and reads back the routes in force."""

    def __init__(self, caller: loads.Caller, note: typing.Callable):
        self.system = caller.system
        self.checker = caller.checker
        self.caller = caller
        self.note = note
        #: Halls that are drained, or may be.
        self.drained: set[str] = set()
        #: Documents that were sent, by version.
        self._sent: dict[int, list[documents.Routes]] = {}

    async def put_first_routes(self) -> None:
        """Put the first routes until they are acknowledged."""
        while self.checker.acked_version == 0:
            await self._put(documents.make(self.system.sizes, 1))

    async def carry_out(self, order: schedule.Order) -> None:
        """Carry out one order of the plan."""
        if order.kind == 'hall':
            await self._toggle_hall(order.pick)
            return
        kinds = {
            'put': self._put_next,
            'race': self._race,
            'series': self._series,
            'resend': self._resend,
            'old': self._old,
            'other': self._other,
            'invalid': self._invalid,
        }
        await kinds[order.kind](order.pick)
        await self.read()

    async def _next(self, variant: str = '') -> None:
        version = self.checker.sent_version + 1
        await self._put(documents.make(self.system.sizes, version, variant))

    async def _put_next(self, pick: int) -> None:
        await self._next()

    async def _race(self, pick: int) -> None:
        """Send two documents with the same version at once."""
        version, sizes = self.checker.sent_version + 1, self.system.sizes
        async with trio.open_nursery() as nursery:
            for variant in ('raced', ''):
                routes = documents.make(sizes, version, variant)
                nursery.start_soon(self._put, routes)

    async def _series(self, pick: int) -> None:
        """Send several changes, each before the one before is answered."""
        async with trio.open_nursery() as nursery:
            for _ in range(SERIES):
                nursery.start_soon(self._next)
                await trio.sleep(SERIES_EVERY_S)

    async def _resend(self, pick: int) -> None:
        await self._put(self._sent[self.checker.sent_version][0])

    async def _old(self, pick: int) -> None:
        version = max(1, self.checker.sent_version - 1 - pick % 3)
        if version in self._sent:
            await self._put(self._sent[version][0])

    async def _other(self, pick: int) -> None:
        """Send other content under an acknowledged version."""
        version = self.checker.acked_version
        await self._put(documents.make(self.system.sizes, version, 'altered'))

    async def _invalid(self, pick: int) -> None:
        """Send an invalid document, which must be refused."""
        version = self.checker.sent_version + 1
        routes = documents.invalid(self.system.sizes, version, pick)
        self.checker.changes.record_sent(routes.meaning, is_valid=False)
        status, _ = await self._send('/v1/routes/put', routes.source)
        is_refused = 400 <= status < 500 or status == 503
        rule = 'invalid changes are refused'
        self.checker.check(rule, is_refused, status=status, pick=pick)

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

    async def _put(self, routes: documents.Routes) -> None:
        version, changes = routes.meaning.version, self.checker.changes
        self.checker.sent_version = max(self.checker.sent_version, version)
        sent = self._sent.setdefault(version, [])
        if routes not in sent:
            sent.append(routes)
        changes.record_sent(routes.meaning)
        status, answer = await self._send('/v1/routes/put', routes.source)
        changes.record_reply(routes.meaning, status, trio.current_time())
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
            version = json.loads(body)[0]
            self.checker.record_read(acked, version, body)
            sent = [each.source for each in self._sent.get(version, [])]
            rule = 'routes are read as they were sent'
            self.checker.check(rule, body in sent, version=version)

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
