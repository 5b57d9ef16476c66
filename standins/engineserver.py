# SPDX-License-Identifier: Apache-2.0

"""The emulated runners over HTTP: a group of engines and plain services.

Requests and answers are spelt in the project's own dialect. Faults are
switched by `Faults`; each runner registers itself with heartbeats.
"""

import json
import random
import typing

import msgspec
import trio

from mountridge.documents import routes
from mountridge import errors
from mountridge.experts import ranks
from mountridge.net import dialects, httpserver
from standins import engine

__all__ = ['Faults', 'Plain', 'Ranks', 'register']

NAMES = dialects.NATIVE.headers
IDLE_S = 0.005
_ORDER = msgspec.json.Decoder(ranks.RankOrder)


class Faults:
    """What a runner does wrong; shares of its requests, 0 to 1."""

    def __init__(self) -> None:
        self.errors = 0.0  # answered 500
        self.cut = 0.0  # broken off midway
        self.lost = 0.0  # run, and not answered
        self.silent = False  # nothing is answered at all


class Ranks:
    """The engines of one group, each a runner of its own."""

    def __init__(self, group: engine.Group, rng: random.Random):
        self.group = group
        self.rng = rng
        self.faults = [Faults() for _ in group.ranks]
        #: How often each request was begun, by its id.
        self.runs: dict[bytes, int] = {}

    async def passes(self) -> None:
        """Make passes for ever."""
        while True:
            length_s = self.group.begin_pass(trio.current_time())
            if length_s is None:
                await trio.sleep(IDLE_S)
                continue
            await trio.sleep(length_s)
            self.group.end_pass()

    def handler(self, number: int) -> httpserver.Handler:
        """Return what answers requests and calls to one rank."""

        async def handle(request, responder) -> None:
            if self.faults[number].silent:
                await trio.sleep_forever()
            if request.path.startswith(b'/v1/'):
                await self._call(number, request, responder)
            else:
                await self._serve(number, request, responder)

        return handle

    async def _call(self, number: int, request, responder) -> None:
        rank = self.group.ranks[number]
        body: typing.Any = {}
        if request.path == b'/v1/state':
            body = self.group.state(number, trio.current_time())
        elif request.path == b'/v1/counts':
            body = rank.counts
        elif request.path == b'/v1/experts':
            body = rank.held
        else:
            try:
                order = _ORDER.decode(request.body)
                self.group.follow(number, order, trio.current_time())
            except errors.RefusedChange as problem:
                await httpserver.send_error(responder, problem)
                return
        named = [(NAMES.instance_id, b'i-%d' % number)]
        data = msgspec.json.encode(body)
        await httpserver.send_json(responder, 200, data, named)

    async def _serve(self, number: int, request, responder) -> None:
        rank = self.group.ranks[number]
        request_id = request.header(NAMES.request_id) or b''
        told = [(NAMES.request_id, request_id)]
        if len(rank.waiting) >= 2 * self.group.sheet.slots:
            told.append((NAMES.not_run, b'1'))
            await httpserver.send_json(responder, 503, {}, told)
            return
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        call = dialects.read_request_head(request, NAMES)
        first = int(call.last_event_id or 0)
        left = call.output_tokens - first * self.group.sheet.stride
        run = engine.Run(call.prompt_tokens, max(1, left), first)
        # Resumed behind its last event: only the end is left to give.
        run.done = first > 0 and left <= 0
        if run.done:
            kind = (b'Content-Type', b'text/event-stream')
            await responder.start(200, told + [kind])
            await responder.finish()
            return
        rank.waiting.append(run)
        try:
            await self._stream(number, run, responder, told)
        finally:
            run.cut = True
            if run in rank.waiting:
                rank.waiting.remove(run)

    async def _stream(self, number: int, run, responder, told) -> None:
        fails = self.faults[number]
        if self.rng.random() < fails.errors:
            await httpserver.send_json(responder, 500, {}, told)
            return
        cut = self.rng.random() < fails.cut
        kind = (b'Content-Type', b'text/event-stream')
        while not run.done or run.fresh:
            await trio.sleep(IDLE_S)
            if run.cut or (cut and run.events > 2):
                return
            if run.fresh and not responder.started:
                await responder.start(200, told + [kind])
            for event in run.fresh:
                await responder.send(b'id: %d\ndata: tokens\n\n' % event)
            run.fresh.clear()
        await responder.finish()


class Plain:
    """One runner of a plain service."""

    def __init__(self, number: int, work_s: float, rng: random.Random):
        self.number = number
        self.work_s = work_s
        self.rng = rng
        self.faults = Faults()
        self.runs: dict[bytes, int] = {}
        self.born_ms = 0
        self.count = 0

    def restart(self, now_s: float) -> None:
        """Start again under the same id, and know nothing of before."""
        self.born_ms = round(now_s * 1000)
        self.count = 0
        self.runs.clear()

    def heartbeat(self, address: str, slots: int) -> bytes:
        """Return the body of its next heartbeat."""
        self.count += 1
        return heartbeat('plain', address, self.count, slots, self.born_ms)

    async def handle(self, request, responder) -> None:
        """Answer one request after its work."""
        request_id = request.header(NAMES.request_id) or b''
        told = [(NAMES.request_id, request_id)]
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        await trio.sleep(self.work_s * (0.5 + self.rng.random()))
        if self.faults.silent or self.rng.random() < self.faults.lost:
            await trio.sleep_forever()
        status = 500 if self.rng.random() < self.faults.errors else 200
        body = {'by': self.number, 'path': request.path.decode()}
        await httpserver.send_json(responder, status, body, told)


def heartbeat(
    service: str, address: str, seq: int, slots: int, born_ms: int = 0
) -> bytes:
    """Return the body of a heartbeat; 0 tells no start."""
    told = _told(service, address, seq, slots)
    return json.dumps(
        told | ({'born_ms': born_ms} if born_ms else {})
    ).encode()


def _told(service: str, address: str, seq: int, slots: int) -> dict:
    """Return what each heartbeat must say."""
    return {
        'service': service,
        'address': address,
        'hall': 'north',
        'seq': seq,
        'slots': slots,
        'state': 'ready',
    }


async def register(
    post: typing.Callable,
    key: str,
    service: str,
    address: str,
    slots: int,
    told: typing.Callable[[], dict] = dict,
    heard: typing.Callable[[dict], None] = lambda body: None,
) -> None:
    """Send a runner's heartbeats for ever.

    ``told`` gives what it says besides; with a later ``born_ms`` it counts
    anew. ``heard`` takes each heartbeat that was acknowledged.
    """
    seq = born_ms = 0
    while True:
        besides = told()
        seq = 1 if besides.get('born_ms', 0) > born_ms else seq + 1
        born_ms = besides.get('born_ms', 0)
        body = _told(service, address, seq, slots) | besides
        path = b'/v1/instances/%s/heartbeat' % key.encode()
        if await post(path, json.dumps(body).encode()) == 200:
            heard(body)
        await trio.sleep(1.0)


def limits() -> routes.Limits:
    """Return the limits of the emulated runners: the defaults."""
    return routes.Limits()
