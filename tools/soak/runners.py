# SPDX-License-Identifier: Apache-2.0

"""Emulated runners that can restart, each behind its own link."""

import contextlib
import random
import time
import typing

import trio

from mountridge.net import dialects, httpserver
from standins import engine, engineserver
from tools.soak import announcements, checks, fleet, framings
from tools.soak import harmfulparts, links

__all__ = ['EmulatedRunners', 'Runner', 'build']

NAMES = dialects.NATIVE.headers
PORT = 9000
PLAIN_SLOTS = 8
PLAIN_WORK_S = 0.02
#: Longer than any request waits.
SLOW_WORK_S = 60.0
#: Path prefix of requests that crash the runner that starts them.
CRASHING_PATH = b'/%s/' % harmfulparts.CRASHING_KIND.encode()
CRASH_DOWN_S = 2.0
#: How long a request with a harmful part runs until its runner crashes.
BEGIN_S = (0.01, 0.12)
BEGIN_POLL_S = 0.005
#: How long a request with a harmful part waits to be run, at most.
MAX_WAIT_S = 8.0
#: Bytes that are not a valid HTTP response.
GARBLED = b'\x00\x17 not an answer \r\n\r\n'
#: Chunks of one byte, sent at a time by a runner that never ends an answer.
TINY_CHUNKS = 2000 * b'1\r\nx\r\n'


class Runner:
    """One runner: its handler, address and current incarnation."""

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
        self.garbled = 0.0  # share of requests with an invalid response
        self.endless = 0.0  # share of requests answered without end
        #: Size of the answers by kind, where it is not the usual one.
        self.large_bytes: dict[bytes, int] = {}
        self.state = 'ready'
        self.backoff_s = 0.0  # if set, refuses requests and asks for it
        self.is_leaving = False  # announced in all its answers
        self.limit_per_s: float | None = None  # named in all its answers
        self.broken_off = 0.0  # share of answers that are broken off
        self.invalid = 0.0  # share of answers with an invalid status
        #: Set when the process is about to end in the middle of an answer.
        self.is_ending = trio.Event()
        self.cold_until_s = 0.0
        #: Ends this incarnation and starts the next one later; set by the run.
        self.crash: typing.Callable[[], None] = lambda: None
        self._nursery: trio.Nursery | None = None
        self._down_s = 0.0  # until the next incarnation
        self._incarnation = trio.CancelScope()

    def end(self, down_s: float) -> None:
        """End this incarnation; the next starts after ``down_s``, cold."""
        self._down_s = down_s
        self.link.close_port()
        self._incarnation.cancel()

    async def run(self, system: fleet.Fleet, checker: checks.Checker) -> None:
        """Run, and restart after each end, until cancelled."""
        frames = system.sizes.get('frames_answers', False)
        handler = self._observed(system.rng, checker, frames)
        limits = engineserver.limits
        while True:
            self.link.accept()
            server = httpserver.Server(handler, limits, lambda: False)
            with trio.CancelScope() as self._incarnation:
                async with trio.open_nursery() as nursery:
                    self._nursery = nursery
                    nursery.start_soon(server.run, self.address)
                    nursery.start_soon(self._register, system, checker)
            self.link.refuse()
            await trio.sleep(self._down_s)
            self.state, self.is_leaving = 'ready', False
            self.limit_per_s = None
            checker.end_drain(self)
            checker.announcements.forget(self.name)
            self.cold_until_s = trio.current_time() + system.sizes['cold_s']

    async def _register(
        self, system: fleet.Fleet, checker: checks.Checker
    ) -> None:
        born_ms = int(time.time() * 1000)

        def status_report() -> dict:
            cold_s = max(0.0, self.cold_until_s - trio.current_time())
            return {
                'hall': self.hall,
                'state': self.state,
                'born_ms': born_ms,
                'cold_ms': cold_s * 1000,
            }

        asked = ''

        async def post(path: bytes, body: bytes) -> int:
            nonlocal asked
            asked = system.address('control')
            return (await system.ask(asked, path, body))[0]

        def acknowledged(body: dict) -> None:
            entry = system.entry_at(asked)
            checker.record_heartbeat(self, body, entry, trio.current_time())

        at = links.link_address(self.address)
        names = (self.name, self.service, at, PLAIN_SLOTS)
        await engineserver.register(post, *names, status_report, acknowledged)

    def _observed(
        self, rng: random.Random, checker: checks.Checker, frames: bool
    ) -> httpserver.Handler:
        """Return a handler that records requests and injects faults."""

        async def handle(request, responder) -> None:
            if not request.path.startswith(b'/v1/'):
                request_id = request.header(NAMES.request_id) or b''
                now_s = trio.current_time()
                checker.record_arrival(request_id, self, now_s)
                if request.path.startswith(CRASHING_PATH):
                    checker.crashes_s.append(now_s)
                    self.end(CRASH_DOWN_S)
                    await trio.sleep_forever()
                part = checker.harmful_parts.of(
                    request.header(NAMES.prefix_parts)
                )
                if part is not None:
                    checker.record_harmful(part, request_id, now_s)
                    await self._run_harmful(part, responder, rng, checker)
                if frames:
                    responder = self._framing(
                        request_id, responder, rng, checker
                    )
                if self.limit_per_s is not None:
                    responder = self._limiting(request_id, responder, checker)
                if self.backoff_s:
                    checker.record_announcement(request_id, self, now_s)
                    await announcements.request_backoff(
                        responder, request_id, self.backoff_s
                    )
                    return
                if self.is_leaving:
                    responder = self._leaving(request_id, responder, checker)
                if rng.random() < self.garbled:
                    await responder._stream.send_all(GARBLED)
                    return
                if self.endless and rng.random() < self.endless:
                    await self._send_endless(request_id, responder._stream)
                    return
                large = self.large_bytes.get(request.path.split(b'/')[1])
                if large is not None:
                    await self._send_large(request, responder, large)
                    return
            await self.handler(request, responder)
            if frames and responder.started and not responder.finished:
                # Without a length, a stream that closes would look complete.
                links.reset_stream(responder._stream)

        return handle

    async def _send_endless(
        self, request_id: bytes, stream: trio.SocketStream
    ) -> None:
        """Send chunks of one byte until the caller closes."""
        named = NAMES.request_id + b': ' + request_id
        head = [b'HTTP/1.1 200 X', named, b'Transfer-Encoding: chunked']
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(b'\r\n'.join([*head, b'', b'']))
            while True:
                await stream.send_all(TINY_CHUNKS)

    async def _send_large(
        self,
        request: httpserver.Request,
        responder: httpserver.Responder,
        count: int,
    ) -> None:
        request_id = request.header(NAMES.request_id) or b''
        body = {'path': request.path.decode(), 'padding': count * 'x'}
        named = [(NAMES.request_id, request_id)]
        await httpserver.send_json(responder, 200, body, named)

    def _leaving(
        self,
        request_id: bytes,
        responder: httpserver.Responder,
        checker: checks.Checker,
    ) -> announcements.AnnouncingResponder:
        """Return a responder that announces in its answer that it leaves."""

        def announced() -> None:
            now_s = trio.current_time()
            checker.record_announcement(request_id, self, now_s)

        return announcements.AnnouncingResponder(
            responder, (NAMES.leaving, b'1'), announced
        )

    async def _run_harmful(
        self,
        part: bytes,
        responder: httpserver.Responder,
        rng: random.Random,
        checker: checks.Checker,
    ) -> None:
        """Crash soon after a request with a harmful part begins to run.

        A stream crashes the runner after it has begun its answer, another
        request before that.
        """
        span_s = rng.uniform(*BEGIN_S)

        async def crash() -> None:
            await trio.sleep(span_s)
            crashed_s = trio.current_time()
            checker.harmful_parts.crashes_s[part].append(crashed_s)
            self.crash()

        async def crash_once_begun() -> None:
            with trio.move_on_after(MAX_WAIT_S):
                while not responder.started:
                    await trio.sleep(BEGIN_POLL_S)
            if responder.started and not responder.finished:
                await crash()

        if self.service == 'llm':
            self._nursery.start_soon(crash_once_begun)
            return
        await crash()
        await trio.sleep_forever()

    def _framing(
        self,
        request_id: bytes,
        responder: httpserver.Responder,
        rng: random.Random,
        checker: checks.Checker,
    ) -> framings.FramedResponder:
        """Return a responder that draws the framing of its answer."""
        is_stream = self.service == 'llm'
        drawn = framings.draw(rng, self.broken_off, is_stream, self.invalid)

        def on_end(status: int, broken: framings.Break | None) -> None:
            if broken is not None:
                request = request_id.decode('latin-1')
                fields = {'framing': drawn.framing, **broken._asdict()}
                checker.note('broken off', request=request, **fields)
            elif status == 200:
                checker.record_whole(request_id, self)

        return framings.FramedResponder(
            responder, drawn, on_end, self._close_port
        )

    def _close_port(self) -> bool:
        """Refuse connections as the process ends, while that is injected."""
        if self.broken_off:
            self.link.close_port()
            self.is_ending.set()
        return bool(self.broken_off)

    def _limiting(
        self,
        request_id: bytes,
        responder: httpserver.Responder,
        checker: checks.Checker,
    ) -> announcements.AnnouncingResponder:
        """Return a responder that names the limit in its answers."""
        per_s = self.limit_per_s

        def announced() -> None:
            now_s = trio.current_time()
            checker.record_limit(request_id, self, per_s, now_s)

        return announcements.AnnouncingResponder(
            responder, (NAMES.limit, b'%g' % per_s), announced
        )


class EmulatedRunners(typing.NamedTuple):
    """All runners, and the group of engines that some of them form."""

    runners: list[Runner]
    group: engine.Group
    ranks: engineserver.EngineRunners


def build(
    system: fleet.Fleet, checker: checks.Checker, rng: random.Random
) -> EmulatedRunners:
    """Return the runners of a run, not yet started."""
    sizes = system.sizes
    group = engine.Group(engine.EngineParameters(ranks=sizes['ranks']), rng)
    group.shift_demand()
    ranks = engineserver.EngineRunners(group, rng)
    checker.run_counts.append(ranks.runs)
    created: list[Runner] = []

    def add(name: str, service: str, host: int, *stand_in) -> None:
        place = (system.hall_of(name), f'{system.network}{host}:{PORT}')
        created.append(Runner(name, service, *place, stand_in))

    for n in range(sizes['ranks']):
        add(f'i-{n}', 'llm', 100 + n, ranks.handler(n), ranks.faults[n])
    for prefix, service, count, host, work_s in (
        ('p', 'plain', sizes['plains'], 150, PLAIN_WORK_S),
        ('o', 'other', sizes['others'], 180, PLAIN_WORK_S),
        ('s', 'slow', sizes['slows'], 200, SLOW_WORK_S),
    ):
        for n in range(count):
            plain = engineserver.PlainRunner(n, work_s, rng)
            checker.run_counts.append(plain.runs)
            add(f'{prefix}-{n}', service, host + n, plain.handle, plain.faults)
    for runner in created:
        runner.large_bytes = {
            kind['name'].encode(): kind['bytes']
            for kind in sizes['kinds']
            if 'bytes' in kind
        }
    return EmulatedRunners(created, group, ranks)
