# SPDX-License-Identifier: Apache-2.0

"""Steps for runners that send bytes without end, or stop within a head."""

import contextlib
import itertools
import time
import tracemalloc

from behave import given, then, when
import h11
import trio

from features.steps import brokenoff_steps as broken
from features.steps import forwarding_steps as base
from mountridge.dispatch import upstreams
from mountridge.documents import routes
from mountridge import errors
from mountridge.net import httpserver, lasthop
from mountridge.routing import routedanswers

#: Bytes that a runner sends at a time.
PIECE_BYTES = 16384
#: Most memory that one such answer may take.
MAX_BYTES = 4 << 20
#: Deadline of requests for large answers.
LARGE_DEADLINE_MS = 30000
LARGE_BYTES = 4_000_000
MB = 1 << 20
#: Positions within a head that are tried at once. With ten times as many the
#: process is so busy beside load that connections to its runners time out.
BATCH = 4
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
TINY_CHUNK = b'1\r\nx\r\n'
LAST_CHUNK = b'0\r\n\r\n'


def _pad(count=PIECE_BYTES):
    return b'x' * count


def _first_and_rest(what, request):
    """Return the bytes before the endless ones, and what then repeats."""
    other = {b'x-request-id': b'other'}
    chunk = b'%x\r\n%s\r\n' % (PIECE_BYTES, _pad())
    small = base._answer_bytes(200, other, b'not this')
    interim = b'HTTP/1.1 100 Continue\r\n\r\n'
    length = b'Content-Length: %d\r\n\r\n' % 10**12
    return {
        'what is no answer': (b'', _pad()),
        'one line of a head': (base._head(200, request, b'X-A: '), _pad()),
        'lines of a head': (base._head(200, request), b'X-A: b\r\n' * 2000),
        'interim answers': (b'', interim * 500),
        'answers to other requests': (b'', small * 200),
        'the body of an answer to another': (
            base._head(200, other, CHUNKED), chunk,
        ),
        'a body in chunks': (base._head(200, request, CHUNKED), chunk),
        'a body with no length': (base._head(200, request, b'\r\n'), _pad()),
        'a body with a length of 1 TB': (
            base._head(200, request, length), _pad(),
        ),
        'the body of an error': (base._head(500, request, CHUNKED), chunk),
        'the size of a chunk': (
            base._head(200, request, CHUNKED), b'1' * PIECE_BYTES,
        ),
        'the trailer of a last chunk': (
            base._head(200, request, CHUNKED + b'0\r\n'),
            b'X-A: b\r\n' * 2000,
        ),
    }[what]  # fmt: skip


class Endless(base.Runner):
    """A runner that sends bytes until its connection is closed."""

    async def serve(self, stream):
        request = await self._read(stream)
        if request is None:
            return
        self.runs += 1
        first, rest = _first_and_rest(self.fault, request)
        try:
            await stream.send_all(first)
            while True:
                await stream.send_all(rest)
        except trio.BrokenResourceError:
            self.closed.set()


def _closing(request):
    """Return a request after which its connection is closed."""
    return request.replace(b'\r\n', b'\r\nConnection: close\r\n', 1)


async def _read_dropping(stream):
    """Read to the end; keep the start and the end of what was received."""
    data = b''
    try:
        while piece := await stream.receive_some(65536):
            data = data + piece
            if len(data) > 4096:
                data = data[:2048] + data[-2048:]
    except trio.BrokenResourceError:
        pass
    return data


def _play(what, path):
    """Return (bytes received, duration, most memory taken, the runner)."""

    async def main():
        world = base.World('answers correctly', 'answers correctly')
        runner = world.runners[0] = Endless(what)
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            stream = await world.open()
            request = base._request(b'/%s/1' % path.encode())
            deadline = b'%d' % broken.DEADLINE_MS
            begun_s = trio.current_time()
            request = request.replace(b'2500', deadline)
            await stream.send_all(_closing(request))
            data = await _read_dropping(stream)
            took_s = trio.current_time() - begun_s
            with trio.move_on_after(1):
                await runner.closed.wait()
            nursery.cancel_scope.cancel()
        return data, took_s, runner

    tracemalloc.start()
    try:
        data, took_s, runner = trio.run(main)
        return data, took_s, tracemalloc.get_traced_memory()[1], runner
    finally:
        tracemalloc.stop()


def _check(context, path, outcome, within_s):
    data, took_s, taken, runner = _play(context.what, path)
    context.runners.append(runner)
    if outcome == 'cut':
        assert data.startswith(b'HTTP/1.1 200'), data[:80]
        assert not data.endswith(b'0\r\n\r\n'), data[-40:]
    else:
        got = broken._outcome(data, path)
        assert got == outcome, (got, data[:200])
    assert took_s < within_s, took_s
    assert taken < MAX_BYTES, taken
    assert runner.runs == 1, runner.runs


@given('a runner that sends {what} without end')
def set_endless(context, what):
    context.what, context.runners = what, []


@then(
    'within bounds of memory a safe request gets {outcome}, in {within_s:g} s'
)
def check_safe(context, outcome, within_s):
    _check(context, 'safe', outcome, within_s)


@then(
    'within bounds of memory an unsafe request gets {outcome}, in'
    ' {within_s:g} s'
)
def check_unsafe(context, outcome, within_s):
    _check(context, 'unsafe', outcome, within_s)


@then(
    'within bounds of memory a stream that may be resumed gets {outcome}, in'
    ' {within_s:g} s'
)
def check_stream(context, outcome, within_s):
    _check(context, 'streaming', outcome, within_s)


@then('the runner has been closed each time')
def check_closed(context):
    assert all(runner.closed.is_set() for runner in context.runners)


@when('an agent reads from a runner that sends {what} without end')
def read_as_agent(context, what):
    runner = Endless(what)
    context.runners, context.read_bytes = [runner], 0

    async def read(address):
        upstream = upstreams.Upstream(f'http://{address}')
        path = '/v1/services/plain'
        headers = [('x-request-id', 'mine')]
        try:
            async with upstream.request(path, headers, b'', 'mine') as answer:
                async for data in answer.pieces():
                    context.read_bytes += len(data)
        except errors.MountridgeError as problem:
            context.problem = problem

    async def main():
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host=base.HOST)
            nursery.start_soon(runner.listen, listener, nursery)
            port = listener.socket.getsockname()[1]
            begun_s, context.problem = trio.current_time(), None
            with trio.move_on_after(10):
                await read(f'{base.HOST}:{port}')
            context.took_s = trio.current_time() - begun_s
            with trio.move_on_after(1):
                await runner.closed.wait()
            nursery.cancel_scope.cancel()

    trio.run(main)


@then(
    'it ends with {error} after at most {most_mb:d} MB, within {limit_s:g} s'
)
def check_agent(context, error, most_mb, limit_s):
    assert type(context.problem).__name__ == error, context.problem
    assert context.read_bytes <= most_mb << 20, context.read_bytes
    assert context.took_s < limit_s, context.took_s


# Callers that read slowly.


class Large(base.Runner):
    """A runner with large answers."""

    async def serve(self, stream):
        request = await self._read(stream)
        if request is None:
            return
        framing = self.fault
        length = b'Content-Length: %d\r\n\r\n' % LARGE_BYTES
        ends = {'a length': length, 'chunks': CHUNKED, 'no length': b'\r\n'}
        await stream.send_all(base._head(200, request, ends[framing]))
        piece = _pad(LARGE_BYTES // 250)
        if framing == 'chunks':
            piece = b'%x\r\n%s\r\n' % (len(piece), piece)
        try:
            for _ in range(250):
                await stream.send_all(piece)
            if framing == 'chunks':
                await stream.send_all(b'0\r\n\r\n')
        except trio.BrokenResourceError:
            self.closed.set()


def _allow_long(world):
    """Let routes allow requests that take long."""
    table = world.index.table
    listed = [
        route._replace(timeout_ms=LARGE_DEADLINE_MS) for route in table.routes
    ]
    world.index = routes.index(table._replace(routes=listed))


@given('a process that holds {held_mb:d} MB of answers for all callers')
def bound_held(context, held_mb):
    context.held_answers = routedanswers.HeldAnswers(held_mb << 20)


@given(
    'a runner that sends 4 MB {framing}, and {count:d} callers that read'
    ' nothing for {wait_ms:d} ms'
)
def read_slowly(context, framing, count, wait_ms):
    context.sizes = []
    framing = framing.removeprefix('with ').removeprefix('in ')

    async def call(world):
        stream = await world.open()
        request = base._request(b'/safe/1')
        deadline = b'%d' % LARGE_DEADLINE_MS
        await stream.send_all(request.replace(b'2500', deadline))
        await trio.sleep(wait_ms / 1000)
        size, end = 0, b''
        while piece := await stream.receive_some(65536):
            size, end = size + len(piece), (end + piece)[-5:]
            if size >= LARGE_BYTES and end in (b'0\r\n\r\n', b'xxxxx'):
                break
        context.sizes.append((size, end))

    async def main():
        world = base.World('answers correctly')
        world.runners[0] = Large(framing)
        if 'held_answers' in context:
            world.forwarder.held_answers = context.held_answers
        _allow_long(world)
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            async with trio.open_nursery() as callers:
                for _ in range(count):
                    callers.start_soon(call, world)
                await trio.sleep(wait_ms / 1000 - 0.05)
                context.held = tracemalloc.get_traced_memory()[1]
            nursery.cancel_scope.cancel()

    tracemalloc.start()
    try:
        trio.run(main)
    finally:
        tracemalloc.stop()


@then('the process holds under {held_mb:d} MB for them meanwhile')
def check_held(context, held_mb):
    assert context.held < held_mb << 20, context.held


@then('they get whole')
def check_whole(context):
    assert context.sizes, context.sizes
    for size, end in context.sizes:
        assert size > LARGE_BYTES and end in (b'0\r\n\r\n', b'xxxxx'), size


class Half(base.Runner):
    """A runner that closes in the middle of a large answer."""

    async def serve(self, stream):
        request = await self._read(stream)
        if request is not None:
            self.runs += 1
            length = b'Content-Length: %d\r\n\r\n' % LARGE_BYTES
            head = base._head(200, request, length)
            await stream.send_all(head + _pad(LARGE_BYTES // 2))


@when('a safe request gets half of a body of 4 MB with a length')
def break_off_large(context):
    async def script(world):
        stream = await world.open()
        await stream.send_all(_closing(base._request(b'/safe/1')))
        size = 0
        with contextlib.suppress(trio.BrokenResourceError):
            while piece := await stream.receive_some(65536):
                size += len(piece)
        context.size = size

    context.world = base.World('answers correctly', 'answers correctly')
    context.world.runners[0] = Half('answers correctly')
    base._run(context, script)


@then('its caller gets a part of it that does not look complete')
def check_part(context):
    assert 1 << 18 < context.size < LARGE_BYTES, context.size


@then('no other runner gets the request')
def check_runs(context):
    runs = [runner.runs for runner in context.world.runners]
    assert runs == [1, 0], runs


# Request bodies.


@given('a gateway that holds {count:d} bytes of request bodies')
def set_budget(context, count):
    context.world = base.World('answers correctly')
    budget = httpserver.BodyBudget(count)
    context.world.server._bodies = budget


async def _begin_body(world):
    """Send the start of a request body; return the stream and the rest."""
    stream = await world.open()
    extra = b'Content-Length: 1900\r\n'
    request = base._request(b'/safe/1', extra=extra, method=b'POST')
    await stream.send_all(_closing(request) + _pad(1500))
    return stream, _pad(400)


async def _finish(stream, rest):
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(rest)
    return await base._read_all(stream)


@when(
    'two callers have sent {part:d} bytes of bodies with {whole:d}, and {end}'
)
def send_bodies(context, part, whole, end):
    async def script(world):
        begun = [await _begin_body(world) for _ in range(2)]
        await trio.sleep(0.1)
        for stream, rest in begun:
            if end == 'leave':
                await stream.aclose()
            elif end == 'send the rest':
                await _finish(stream, rest)
        await trio.sleep(0.05)
        context.third = await _finish(*await _begin_body(world))
        for stream, _ in begun:
            await stream.aclose()
        await trio.sleep(0.05)
        context.fourth = await _finish(*await _begin_body(world))

    base._run(context, script)


@then('a third such caller {result}, and a fourth one later gets 200')
def check_third(context, result):
    status = context.third[9:12].decode()
    assert f'gets {status}' in result, context.third
    if 'code' in result:
        assert b'"code": 1217' in context.third, context.third
        assert b'"outcome": "not run"' in context.third, context.third
    assert context.fourth.startswith(b'HTTP/1.1 200'), context.fourth


class SlowReader(base.Runner):
    """A runner that reads the body of a request late."""

    #: Set when bodies are to be read.
    may_read: trio.Event

    async def serve(self, stream):
        data = await stream.receive_some(2048)
        await self.may_read.wait()
        head, _, start = data.partition(b'\r\n\r\n')
        size = len(start)
        while size < MB and (piece := await stream.receive_some(65536)):
            size += len(piece)
        self.received.append(size)
        lines = [line.partition(b': ') for line in head.split(b'\r\n')[1:]]
        request = {name.lower(): value for name, _, value in lines}
        await stream.send_all(base._answer_bytes(200, request, b'whole'))


@given(
    'a gateway that holds {held_mb:d} MB of request bodies for runners that'
    ' read slowly'
)
def make_slow_readers(context, held_mb):
    context.world = world = base.World('answers correctly')
    world.runners[0] = SlowReader('reads slowly')
    world.runners[0].may_read = trio.Event()
    _allow_long(world)
    world.server._limits = lambda: routes.Limits(body_bytes=2 * MB)
    world.server._bodies = httpserver.BodyBudget(held_mb * MB)


@when('{count:d} callers send bodies of 1 MB')
def send_large_bodies(context, count):
    context.answers, body = [], _pad(MB)

    async def call(world):
        stream = await world.open()
        extra = b'Content-Length: %d\r\n' % MB
        request = base._request(b'/unsafe/1', extra=extra, method=b'POST')
        deadline = b'%d' % LARGE_DEADLINE_MS
        await stream.send_all(_closing(request.replace(b'2500', deadline)))
        context.answers.append(await _finish(stream, body))

    async def script(world):
        bodies = world.server._bodies
        most = min(count, bodies.max_bytes // MB)
        async with trio.open_nursery() as callers:
            for _ in range(count):
                callers.start_soon(call, world)
            while bodies.held_bytes < most * MB or (
                len(context.answers) < count - most
            ):
                await trio.sleep(0.01)
            context.held = tracemalloc.get_traced_memory()[1]
            world.runners[0].may_read.set()

    tracemalloc.start()
    try:
        base._run(context, script)
    finally:
        tracemalloc.stop()


@then('{whole:d} of the bodies arrive whole, and as many callers get 200')
def check_bodies(context, whole):
    assert context.world.runners[0].received == whole * [MB]
    good = [a for a in context.answers if a.startswith(b'HTTP/1.1 200')]
    assert len(good) == whole, len(good)


@then('the other callers get 503 and the code 1217, before they have sent all')
def check_refused(context):
    assert not context.world.server._bodies.held_bytes
    for answer in context.answers:
        if not answer.startswith(b'HTTP/1.1 200'):
            assert answer.startswith(b'HTTP/1.1 503'), answer
            assert b'"code": 1217' in answer, answer


# Heads that stop.


class Stopping(broken.Runner):
    """A runner that closes within the head of each answer."""

    def __init__(self, framing, position):
        super().__init__(framing, 'within the head', 'closes')
        self.position = position

    def _broken(self, request):
        length = sum(map(len, base.EVENTS if request[b'streams'] else [b'']))
        return self._head(request, length)[: self.position]


@given(
    'a runner that closes after each number of bytes of a head framed by'
    ' {framing}'
)
def stop_in_head(context, framing):
    request = {b'x-request-id': b'1', b'streams': True}
    head = broken.Runner(framing, 'at the end', 'closes')._head(request, 80)
    paths = ('safe', 'unsafe', 'streaming', base.ONCE)
    cases = list(itertools.product(range(len(head)), paths))
    context.got = {}

    async def ask(case):
        position, path = case
        world = base.World('answers correctly', 'answers correctly')
        world.runners[0] = Stopping(framing, position)
        received = context.got.setdefault(case, [])
        await broken._ask(world, path, received)

    async def main():
        for first in range(0, len(cases), BATCH):
            async with trio.open_nursery() as nursery:
                for case in cases[first : first + BATCH]:
                    nursery.start_soon(ask, case)

    trio.run(main)


@then(
    'no caller gets a 200 that looks complete, unless another runner answered'
)
def check_stopped(context):
    assert context.got
    for (position, path), (data,) in context.got.items():
        got = broken._outcome(data, path)
        may_repeat = path in ('safe', 'streaming')
        expected = 'whole' if may_repeat else '502'
        assert got == expected, (position, path, got, data)


class _Arrived:
    """A stream of which all bytes have arrived, and that is then closed."""

    def __init__(self, data):
        self._data = data

    def setsockopt(self, *_):
        """Ignore options."""

    async def receive_some(self, _max_bytes):
        await trio.lowlevel.checkpoint()
        data, self._data = self._data, b''
        return data


async def _read_answer(data):
    connection = lasthop._Connection(_Arrived(data), 0.0)
    request = h11.Request(
        method=b'GET', target=b'/', headers=[(b'Host', b'a')]
    )
    lasthop._encode(connection.http, request, b'')
    await connection.next_event()
    reply = lasthop.Reply(connection, None, [], lasthop.CHUNKED)
    return [piece async for piece in reply.chunks()]


async def _read_request(data):
    server = httpserver.Server(None, routes.Limits, lambda: False)
    http = h11.Connection(h11.SERVER)
    request = await server._read(http, _Arrived(data), routes.Limits())
    return [request.body]


@when('{what} of {count:d} chunks of one byte arrives at once')
def tiny_chunks(context, what, count):
    body = TINY_CHUNK * count + LAST_CHUNK
    context.turns = 0

    async def count_turns():
        while True:
            await trio.lowlevel.checkpoint()
            context.turns += 1

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_turns)
            if what == 'An answer':
                answer = b'HTTP/1.1 200 OK\r\n' + CHUNKED + body
                context.pieces = await _read_answer(answer)
            else:
                head = b'POST / HTTP/1.1\r\nHost: a\r\n' + CHUNKED
                context.pieces = await _read_request(head + body)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert b''.join(context.pieces) == count * b'x'


@then('other tasks have run at least {least:d} times meanwhile')
def check_turns(context, least):
    assert context.turns >= least, context.turns


@then('it is handed on in at most {most:d} pieces')
def check_pieces(context, most):
    assert len(context.pieces) <= most, len(context.pieces)


@when(
    'a {kind} request is sent, and the process is busy past its deadline'
    ' before it sends the {what}'
)
def busy_past_deadline(context, kind, what):
    forward = routedanswers.forward

    async def forward_late(exchange, *args):
        time.sleep(max(0.0, exchange.deadline_s - trio.current_time()) + 0.1)
        # What arrived is read after the deadline has been noticed.
        await trio.lowlevel.cancel_shielded_checkpoint()
        await forward(exchange, *args)

    async def main():
        world = base.World('answers correctly')
        async with trio.open_nursery() as nursery:
            await world.start(nursery)
            stream = await world.open()
            request = base._request(b'/%s/1' % kind.encode())
            request = request.replace(b'2500', b'%d' % broken.DEADLINE_MS)
            await stream.send_all(_closing(request))
            context.data = await _read_dropping(stream)
            nursery.cancel_scope.cancel()

    routedanswers.forward = forward_late
    try:
        trio.run(main)
    finally:
        routedanswers.forward = forward


@then('its caller gets {status:d}')
def check_status(context, status):
    assert context.data.startswith(b'HTTP/1.1 %d ' % status), context.data[:80]
