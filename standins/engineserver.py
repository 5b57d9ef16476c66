# SPDX-License-Identifier: Apache-2.0

"""HTTP servers of emulated runners: a group of engines, and plain services.

They use the native wire format. `Faults` makes a runner fail; `register`
sends its heartbeats.
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

__all__ = ['EngineRunners', 'Faults', 'PlainRunner', 'register']

NAMES = dialects.NATIVE.headers
#: Interval of polls for new events, and for requests while a group is idle.
POLL_S = 0.005
_ORDER = msgspec.json.Decoder(ranks.RankOrder)


class Faults:
    """Faults of a runner, as fractions of its requests from 0 to 1.

    The soak sets these fields by the names of its faults.
    """

    def __init__(self) -> None:
        self.errors = 0.0  # answered 500
        self.cut = 0.0  # stopped in the middle of the answer
        self.lost = 0.0  # processed but not answered
        self.silent = False  # no request is answered


class EngineRunners:
    """Serves the engines of one group, each as a runner."""

    def __init__(self, group: engine.Group, rng: random.Random):
        self.group = group
        self.rng = rng
        self.faults = [Faults() for _ in group.ranks]
        #: How often each request was started, by its id.
        self.runs: dict[bytes, int] = {}

    async def run_passes(self) -> None:
        """Run passes until cancelled."""
        while True:
            duration_s = self.group.begin_pass(trio.current_time())
            if duration_s is None:
                await trio.sleep(POLL_S)
                continue
            await trio.sleep(duration_s)
            self.group.end_pass()

    def handler(self, number: int) -> httpserver.Handler:
        """Return the handler of requests and API calls to one rank."""

        async def handle(request, responder) -> None:
            if self.faults[number].silent:
                await trio.sleep_forever()
            if request.path.startswith(b'/v1/'):
                await self._handle_api_call(number, request, responder)
            else:
                await self._handle_request(number, request, responder)

        return handle

    async def _handle_api_call(self, number: int, request, responder) -> None:
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
                self.group.execute_order(number, order, trio.current_time())
            except errors.RefusedChange as problem:
                await httpserver.send_error(responder, problem)
                return
        headers = [(NAMES.instance_id, b'i-%d' % number)]
        data = msgspec.json.encode(body)
        await httpserver.send_json(responder, 200, data, headers)

    async def _handle_request(self, number: int, request, responder) -> None:
        rank = self.group.ranks[number]
        request_id = request.header(NAMES.request_id) or b''
        headers = [(NAMES.request_id, request_id)]
        if len(rank.waiting) >= 2 * self.group.params.slots:
            headers.append((NAMES.not_run, b'1'))
            await httpserver.send_json(responder, 503, {}, headers)
            return
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        call = dialects.read_request_head(request, NAMES)
        first = int(call.last_event_id or 0)
        left = call.output_tokens - first * self.group.params.steps_per_pass
        sequence = engine.Sequence(call.prompt_tokens, max(1, left), first)
        # Resumed after the last event: the stream has no more events.
        sequence.done = first > 0 and left <= 0
        if sequence.done:
            content_type = (b'Content-Type', b'text/event-stream')
            await responder.start(200, headers + [content_type])
            await responder.finish()
            return
        rank.waiting.append(sequence)
        try:
            await self._stream(number, sequence, responder, headers)
        finally:
            sequence.aborted = True
            if sequence in rank.waiting:
                rank.waiting.remove(sequence)

    async def _stream(self, number: int, sequence, responder, headers) -> None:
        faults = self.faults[number]
        if self.rng.random() < faults.errors:
            await httpserver.send_json(responder, 500, {}, headers)
            return
        cut = self.rng.random() < faults.cut
        content_type = (b'Content-Type', b'text/event-stream')
        while not sequence.done or sequence.unsent:
            await trio.sleep(POLL_S)
            if sequence.aborted or (cut and sequence.events > 2):
                return
            if sequence.unsent and not responder.started:
                await responder.start(200, headers + [content_type])
            for event in sequence.unsent:
                await responder.send(b'id: %d\ndata: tokens\n\n' % event)
            sequence.unsent.clear()
        await responder.finish()


class PlainRunner:
    """Serves one runner of a plain service."""

    def __init__(self, number: int, work_s: float, rng: random.Random):
        self.number = number
        self.work_s = work_s
        self.rng = rng
        self.faults = Faults()
        self.runs: dict[bytes, int] = {}
        self.born_ms = 0
        self.seq = 0

    def restart(self, now_s: float) -> None:
        """Start again under the same id, without any previous state."""
        self.born_ms = round(now_s * 1000)
        self.seq = 0
        self.runs.clear()

    def heartbeat(self, address: str, slots: int) -> bytes:
        """Return the body of the next heartbeat."""
        self.seq += 1
        return heartbeat('plain', address, self.seq, slots, self.born_ms)

    async def handle(self, request, responder) -> None:
        """Answer a request after 0.5 to 1.5 times ``work_s``."""
        request_id = request.header(NAMES.request_id) or b''
        headers = [(NAMES.request_id, request_id)]
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        await trio.sleep(self.work_s * (0.5 + self.rng.random()))
        if self.faults.silent or self.rng.random() < self.faults.lost:
            await trio.sleep_forever()
        status = 500 if self.rng.random() < self.faults.errors else 200
        body = {'by': self.number, 'path': request.path.decode()}
        await httpserver.send_json(responder, status, body, headers)


def heartbeat(
    service: str, address: str, seq: int, slots: int, born_ms: int = 0
) -> bytes:
    """Return the body of a heartbeat, without a start time if it is 0."""
    fields = _required_fields(service, address, seq, slots)
    return json.dumps(
        fields | ({'born_ms': born_ms} if born_ms else {})
    ).encode()


def _required_fields(service: str, address: str, seq: int, slots: int) -> dict:
    """Return the fields that every heartbeat must have."""
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
    instance_id: str,
    service: str,
    address: str,
    slots: int,
    more_fields: typing.Callable[[], dict] = dict,
    on_acknowledged: typing.Callable[[dict], None] = lambda body: None,
) -> None:
    """Send a runner's heartbeats until cancelled.

    ``more_fields`` returns optional fields of the next heartbeat; a later
    ``born_ms`` among them restarts the sequence numbers. ``on_acknowledged``
    is called with each heartbeat that was answered with status 200.
    """
    seq = born_ms = 0
    while True:
        more = more_fields()
        seq = 1 if more.get('born_ms', 0) > born_ms else seq + 1
        born_ms = more.get('born_ms', 0)
        body = _required_fields(service, address, seq, slots) | more
        path = b'/v1/instances/%s/heartbeat' % instance_id.encode()
        if await post(path, json.dumps(body).encode()) == 200:
            on_acknowledged(body)
        await trio.sleep(1.0)


def limits() -> routes.Limits:
    """Return the default limits, for the servers of emulated runners."""
    return routes.Limits()
