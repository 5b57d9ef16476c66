# SPDX-License-Identifier: Apache-2.0

"""Steps for the forwarder, with raw callers and runners on loopback."""

import itertools
import socket
import struct
import types

from behave import given, then, when
import trio
import trio.testing

from mountridge.documents import instances, routes
from mountridge import errors, messages, metrics
from mountridge.net import dialects, events, httpserver, lasthop
from mountridge.routing import backends, budgets, forwarding

EVENTS = [b'id: %d\ndata: e%d\n\n' % (n, n) for n in range(1, 6)]
COMMENT = b': end\n'
RETRY_TIME = b'retry: 3000\n'
UNNUMBERED = b'data: no number\n\n'
JSON = b'{"text": "whole"}'
HOST = '127.0.0.1'
#: Streams that may not be resumed.
ONCE = 'streaming-once'
PAUSES = 'pauses after 2 events'
SILENT = 'never answers'
#: A crash whose listening socket is closed after the connections.
LATE_REFUSAL = (
    'ends between two events, its listening socket last, with no length'
)
#: A process that accepts connections for a while as it ends.
SLOW_END, SLOW_END_S = 'sends no length and ends 20 ms later', 0.02
#: A process that accepts and resets some connections as it ends.
RESETTING_END, MOST_RESET = 'sends no length and resets 3 as it ends', 4
#: A stream that is whole, and whose runner's process ends with it.
ALL_AND_ENDS = 'has all events, its process ends, no length'
#: Events after which a stream is truncated; a half is within the next one.
TRUNCATIONS = {
    'truncates its answer': 2,
    'truncates an event': 2.5,
    'closes within an event, with no length': 2.5,
    'closes before its first event, with no length': 0,
    'ends between two events, with no length': 2,
    'names its media type and ends within an event, with no length': 2.5,
    'sends its last chunk within an event': 2.5,
    'sends a length that ends within an event': 2.5,
    'sends a length of no event': 0,
    LATE_REFUSAL: 2,
    PAUSES: 2,
}
#: Faults of runners whose process ends with the answer.
CRASHES = (
    'ends between two events, with no length',
    'sends a length and crashes',
    'sends no length and crashes',
    'sends all with no length and crashes',
    ALL_AND_ENDS,
)
#: The fault of a rank that refuses requests while its group is closed.
CLOSED = 'refuses while its group is closed'
#: Time for the gateway to read the first events before the next are sent.
PAUSE_S = 0.1
LIMITS = routes.Limits(8192, 2000, 300.0, 2000.0)


def _head(status, request, extra=b''):
    lines = [b'HTTP/1.1 %d X' % status]
    lines.append(b'X-Request-Id: ' + request.get(b'x-request-id', b''))
    return b'\r\n'.join(lines) + b'\r\n' + extra


def _answer_bytes(status, request, body, extra=b''):
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    return _head(status, request, extra + length) + body


def _stream_bytes(request, fault):
    """Return a stream that ends as the fault says, its framing whole."""
    first = int(request.get(b'last-event-id', b'0'))
    cut = TRUNCATIONS.get(fault)
    whole = EVENTS[first:] if cut is None else EVENTS[first : int(cut)]
    data = b''.join(whole)
    if cut not in (None, int(cut or 0)):
        data += EVENTS[int(cut)][:4]
    if fault.startswith('truncates a stream of events'):
        kept = [] if 'without' in fault else EVENTS[:1]
        data = b''.join([*kept, UNNUMBERED])
        return _head(200, request, b'\r\n') + data + b'da'
    if fault == 'closes after a comment, with no length':
        return _head(200, request, b'\r\n') + COMMENT + b'\n'
    if fault == 'closes after a retry time, with no length':
        return _head(200, request, b'\r\n') + RETRY_TIME + b'\n'
    if 'leaves out' in fault and not first:
        data = b''.join(EVENTS[:2] + EVENTS[3:])
    if 'comment' in fault:
        data += COMMENT
    if 'JSON' in fault:
        json_type = b'Content-Type: application/json\r\n\r\n'
        return _head(200, request, json_type) + JSON
    if 'media type' in fault:
        media_type = b'Content-Type: Text/Event-Stream; charset=utf-8\r\n'
        return _head(200, request, media_type + b'\r\n') + data
    if 'no length' in fault:
        return _head(200, request, b'\r\n') + data
    if 'length' in fault:
        return _answer_bytes(200, request, data)
    chunked = b'Transfer-Encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n%s\r\n0\r\n\r\n' % (len(data), data)
    return _head(200, request, chunked) + chunk


def _stream(request, truncate_after=None):
    """Return a stream from the event after the last one that was received."""
    first = int(request.get(b'last-event-id', b'0'))
    data = _head(200, request, b'Transfer-Encoding: chunked\r\n\r\n')
    for number, event in enumerate(EVENTS[first:]):
        if truncate_after is not None and number >= int(truncate_after):
            if number != truncate_after:
                data += b'%x\r\n%s\r\n' % (4, event[:4])
            return data
        data += b'%x\r\n%s\r\n' % (len(event), event)
    return data + b'0\r\n\r\n'


class Runner:
    """A runner that sends raw bytes, correctly or with a fault."""

    def __init__(self, fault):
        self.fault = fault
        self.runs = 0
        self.received = []
        self.closed = trio.Event()
        self.was_reset = False
        #: Called when a request is received, before the answer.
        self.on_request = lambda: None
        self.listening = trio.CancelScope()
        self.connections = 0
        #: Time from a request to its answer.
        self.pause_s = 0.0

    async def listen(self, listener, nursery):
        """Accept connections until ``listening`` is cancelled."""
        with self.listening:
            await trio.serve_listeners(
                self.serve, [listener], handler_nursery=nursery
            )

    async def serve(self, stream):
        self.connections += 1
        if self.fault == LATE_REFUSAL and self.connections > 1:
            self.listening.cancel()
            await trio.testing.wait_all_tasks_blocked()
            await _reset(stream)
            return
        if self.fault in (SLOW_END, RESETTING_END) and self.connections > 1:
            if self.fault == SLOW_END:
                await trio.sleep(SLOW_END_S)
            if self.fault == SLOW_END or self.connections > MOST_RESET:
                self.listening.cancel()
                await trio.testing.wait_all_tasks_blocked()
            await _reset(stream)
            return
        request = await self._read(stream)
        while request is not None:
            self.received.append(request)
            self.on_request()
            await trio.sleep(self.pause_s)
            data, keep = self._answer(request)
            if data is None:
                self.was_reset = await _read_to_end(stream)
                self.closed.set()
                return
            if self.fault in CRASHES:
                self.listening.cancel()
                await trio.testing.wait_all_tasks_blocked()
            await stream.send_all(data)
            if self.fault == PAUSES:
                await trio.sleep(PAUSE_S)
                await stream.send_all(_stream(request)[len(data) :])
            if not keep:
                return
            request = await self._read(stream)

    async def _read(self, stream):
        data = b''
        while b'\r\n\r\n' not in data:
            try:
                more = await stream.receive_some(4096)
            except trio.BrokenResourceError:
                # The gateway has reset the connection.
                return None
            if not more:
                return None
            data += more
        head = data.partition(b'\r\n\r\n')[0]
        lines = [x.partition(b': ') for x in head.split(b'\r\n')[1:]]
        found = {name.lower(): value for name, _, value in lines}
        found[b'streams'] = b'/streaming' in head
        found[b'is_head'] = head.startswith(b'HEAD ')
        return found

    def _answer(self, request):
        """Return (bytes, whether to keep the connection open)."""
        fault = self.fault
        if fault == CLOSED:
            return _answer_bytes(503, request, b'', b'X-Not-Run: 1\r\n'), True
        if fault == 'reports that it has not run it':
            return _answer_bytes(503, request, b'', b'X-Not-Run: 1\r\n'), True
        if fault == 'reports that it is another instance':
            return _answer_bytes(421, request, b''), True
        self.runs += 1
        if request[b'is_head']:
            length = b'Content-Length: 5\r\n\r\n'
            return (
                (None, False)
                if fault == SILENT
                else (_head(200, request, length), True)
            )
        if fault == SILENT:
            return None, False
        if fault == 'closes without an answer':
            return b'', False
        framed = ('no length', 'last chunk', 'a length', 'of events')
        if request[b'streams'] and any(x in fault for x in framed):
            keep = 'no length' not in fault and 'of events' not in fault
            return _stream_bytes(request, fault), keep
        if request[b'streams']:
            cut = TRUNCATIONS.get(fault)
            return _stream(request, cut), cut is None or fault == PAUSES
        if fault == 'truncates its answer':
            return _answer_bytes(200, request, b'whole')[:-2], False
        if fault == 'fails while running it':
            return _answer_bytes(500, request, b'failed'), True
        if fault == 'first answers an earlier request':
            other = {b'x-request-id': b'other'}
            earlier = _answer_bytes(200, other, b'not this')
            return earlier + _answer_bytes(200, request, b'whole'), True
        if fault == 'first answers no request':
            stray = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray'
            return stray + _answer_bytes(200, request, b'whole'), True
        if fault == 'sends a head of no request':
            return b'HTTP/1.1 200 OK\r\n\r\n', False
        if fault == 'sends more data after its answer':
            return (
                _answer_bytes(200, request, b'whole') + b'HTTP/1.1 200',
                True,
            )
        if fault in (
            'sends no length and closes',
            'sends all with no length and crashes',
        ):
            return _head(200, request, b'\r\n') + b'whole', False
        crashes = ('sends no length and crashes', SLOW_END, RESETTING_END)
        if fault in crashes:
            return _head(200, request, b'\r\n') + b'who', False
        return _answer_bytes(200, request, b'whole'), True


async def _reset(stream):
    linger = struct.pack('ii', 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    await trio.aclose_forcefully(stream)


async def _read_to_end(stream):
    """Return whether the connection is ended by a reset."""
    try:
        await stream.receive_some(1)
    except trio.BrokenResourceError:
        return True
    return False


def _table(engine):
    made = [
        routes.Route(
            kind, 'a.example', f'/{kind}/', kind, 3000.0, 100.0, 1,
            [routes.Share('s', 1.0)], 2, False, kind == routes.STREAMING, 0.0,
        )  # fmt: skip
        for kind in routes.KINDS
    ]
    made.append(
        made[routes.KINDS.index(routes.STREAMING)]._replace(
            name=ONCE, prefix=f'/{ONCE}/', resumable=False
        )
    )
    services = [routes.Service('s', '/h', 8, engine)]
    teams = [routes.Team('crews', ['key'], None)]
    return routes.RouteTable(1, made, services, LIMITS, teams)


class World:
    """A forwarder with its server, and runners with the given faults."""

    def __init__(self, *faults, engine=None):
        self.runners = [Runner(fault) for fault in faults]
        app = types.SimpleNamespace(
            settings={
                'hall': 'north',
                'digest_key': '',
            },
            incarnation='1',
            now_s=trio.current_time,
            metrics=metrics.Metrics(None),
        )
        self.known = backends.Backends()
        self.index = routes.index(_table(engine))
        self.forwarder = forwarding.Forwarder(
            app,
            dialects.NATIVE,
            lambda: self.index,
            self.known,
            lambda: 1,
            budgets.RetryBudget(0.2, 96.0, 10.0, -100.0, lambda now_s: 1.0),
        )
        self.server = httpserver.Server(
            self.forwarder.handle, lambda: LIMITS, lambda: False
        )
        self.port = 0
        #: Number of crashes of runners that were counted.
        self.crashes = 0
        self.forwarder.crashes.on_crash = self._count_crash
        #: Events that were counted as sent, by request.
        self.counted = []
        self.forwarder.crashes.record_success = lambda exchange: (
            self.counted.append(exchange.events_sent)
        )

    async def _count_crash(self):
        self.crashes += 1

    async def start(self, nursery):
        registered = []
        for number, runner in enumerate(self.runners):
            (listener,) = await trio.open_tcp_listeners(0, host=HOST)
            port = listener.socket.getsockname()[1]
            if runner.fault == 'cannot be reached':
                await listener.aclose()
            else:
                nursery.start_soon(runner.listen, listener, nursery)
            registered.append(
                instances.Instance(
                    f'i-{number}', 's', f'{HOST}:{port}', 'north', 'v', 4,
                    instances.READY,
                )  # fmt: skip
            )
        self.known.update_runners(registered)
        # Makes the first one the least loaded, and the last one the most.
        for number in range(1, len(registered)):
            known = self.known.by_id[f'i-{number}']
            known.record_load(2 + number, 0, trio.current_time())
        self.registered = registered
        (front,) = await trio.open_tcp_listeners(0, host=HOST)
        self.port = front.socket.getsockname()[1]
        serve = self.server.serve_connection
        nursery.start_soon(trio.serve_listeners, serve, [front])

    async def open(self):
        return await trio.open_tcp_stream(HOST, self.port)


def _run(context, script):
    async def main():
        async with trio.open_nursery() as nursery:
            with trio.fail_after(10):
                await context.world.start(nursery)
                await script(context.world)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _read_all(stream):
    """Return what is received until a complete answer, the end or 5 s."""
    data = b''
    with trio.move_on_after(5):
        while True:
            more = await stream.receive_some(65536)
            if not more:
                break
            data += more
            if data.endswith(b'\r\n0\r\n\r\n') or _is_complete(data):
                break
    return data


def _is_complete(data):
    head, _, body = data.partition(b'\r\n\r\n')
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b': ')
        if name.lower() == b'content-length':
            return len(body) >= int(value)
    return False


def _request(path, key=b'key', extra=b'', method=b'GET'):
    lines = [
        method + b' ' + path + b' HTTP/1.1',
        b'Host: a.example',
        b'X-Request-Id: mine',
        b'X-Deadline-Ms: 2500',
    ]
    if key:
        lines.append(b'Authorization: Bearer ' + key)
    return b'\r\n'.join(lines) + b'\r\n' + extra + b'\r\n'


async def _ask(context, world, kind):
    """Send one request on a new connection and keep the answer."""
    stream = await world.open()
    await stream.send_all(_request(b'/%s/1' % kind.encode()))
    context.data = await _read_all(stream)


@given('two runners of which the first {fault}')
def two_runners(context, fault):
    context.world = World(fault, 'answers correctly')


@given(
    'four runners of which all but the last report that they are other'
    ' instances'
)
def replaced_runners(context):
    replaced = 'reports that it is another instance'
    context.world = World(replaced, replaced, replaced, 'answers correctly')


@given('the second ends all streams with no length')
def end_without_length(context):
    context.world.runners[1].fault = 'ends streams with no length'


@when('a streaming request is sent, to go on after event {number:d}')
def send_to_go_on(context, number):
    async def script(world):
        stream = await world.open()
        last = b'Last-Event-Id: %d\r\n' % number
        await stream.send_all(_request(b'/streaming/1', extra=last))
        context.data = await _read_all(stream)

    context.kind = 'streaming'
    _run(context, script)


@given('neither accepts a further connection in time')
def accept_none(context):
    pool = context.world.forwarder.pool

    async def refuses_connections(
        address, timeout_s=lasthop.CONNECT_S, probing=None
    ):
        await trio.sleep(timeout_s)
        return False

    pool.refuses_connections = refuses_connections


@when(
    'a {kind} request is sent with a deadline of {deadline_ms:d} ms, and'
    ' answered after {pause_ms:d} ms'
)
def send_late(context, kind, deadline_ms, pause_ms):
    async def script(world):
        world.runners[0].pause_s = pause_ms / 1000
        stream = await world.open()
        request = _request(b'/%s/1' % kind.encode())
        deadline = b'X-Deadline-Ms: %d\r\n' % deadline_ms
        await stream.send_all(
            request.replace(b'X-Deadline-Ms: 2500\r\n', deadline)
        )
        context.data = await _read_all(stream)

    context.kind = kind
    _run(context, script)


@given('no retries are left in the budget')
def no_retries_left(context):
    context.world.forwarder.budget = budgets.RetryBudget(
        0.0, 0.0, 10.0, 0.0, lambda now_s: 0.0
    )


@given('two ranks of a closed group')
def closed_ranks(context):
    engine = routes.Engine(4, 1000, experts=8)
    context.world = World(CLOSED, CLOSED, engine=engine)


def _report(world, is_open, now_s):
    for instance_id in world.known.by_id:
        load = messages.RunnerLoad(instance_id, 0, 0, 100, 1, is_open)
        world.known.record_report(load, now_s)


@when('a streaming request is sent and a load report shows the group open')
def send_and_open(context):
    async def script(world):
        refused = trio.Event()

        async def open_group():
            await refused.wait()
            # The answer is sent after this event; wait until it is received.
            await trio.testing.wait_all_tasks_blocked(0.05)
            for runner in world.runners:
                runner.fault = 'answers correctly'
            _report(world, True, trio.current_time())

        world.runners[0].on_request = refused.set
        async with trio.open_nursery() as nursery:
            nursery.start_soon(open_group)
            await _ask(context, world, 'streaming')

    context.kind = 'streaming'
    _run(context, script)


@when(
    'a streaming request is sent after {closed_s:g} s of reports that it is'
    ' closed'
)
def send_to_closed(context, closed_s):
    async def script(world):
        now_s = trio.current_time()
        _report(world, False, now_s - closed_s)
        world.known.closed_for_s('s', now_s - closed_s)
        _report(world, False, now_s)
        await _ask(context, world, 'streaming')
        context.took_s = trio.current_time() - now_s

    context.kind = 'streaming'
    _run(context, script)


@then('it was returned {when}, with a Retry-After header')
def check_when(context, when):
    waited = context.took_s > 0.2
    assert waited == (when == 'after some wait'), context.took_s
    assert b'retry-after' in context.data.lower(), context.data


@then('no runner has received it')
def check_unreceived(context):
    assert not any(runner.received for runner in context.world.runners)


@when('a {kind} request is sent {early_s:g} s before they register')
def send_early(context, kind, early_s):
    async def script(world):
        world.known.update_runners([])

        async def register():
            await trio.sleep(early_s)
            world.known.update_runners(world.registered)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(register)
            await _ask(context, world, kind)

    context.kind = kind
    _run(context, script)


@given('a runner that {fault}, and one that {other}')
def two_faulty_runners(context, fault, other):
    context.world = World(fault, other)


@when('a {kind} request is sent twice')
def send_twice(context, kind):
    async def script(world):
        for _ in range(2):
            await _ask(context, world, kind)

    context.kind = kind
    _run(context, script)


@then('the first runner has received {count:d} of them')
def check_received(context, count):
    received = context.world.runners[0].received
    assert len(received) == count, received
    assert b' 200 ' in context.data.split(b'\r\n')[0], context.data


@then('{count:d} events of it are counted as sent')
def check_counted(context, count):
    assert context.world.counted == [count], context.world.counted


@then('the first runner has accepted {count:d} connections')
def check_connections(context, count):
    assert context.world.runners[0].connections == count


@when('a {kind} request is sent and that runner starts to drain')
def send_to_draining(context, kind):
    async def script(world):
        def drain():
            first = world.registered[0]._replace(state=instances.DRAINING)
            world.known.update_runners([first, *world.registered[1:]])

        world.runners[0].on_request = drain
        await _ask(context, world, kind)

    context.kind = kind
    _run(context, script)


@when('a request that may run once is sent and that runner {state}')
def send_once(context, state):
    if state == 'starts to drain':
        send_to_draining(context, 'unsafe')
    else:
        send_request(context, 'unsafe')


@given('the second does the same')
def same_fault(context):
    context.world.runners[1].fault = context.world.runners[0].fault


@then('{count:d} crashes have been counted')
def check_crashes(context, count):
    assert context.world.crashes == count, context.world.crashes


@when('a {kind} request is sent')
def send_request(context, kind):
    async def script(world):
        await _ask(context, world, kind)

    context.kind = kind
    _run(context, script)


@when(
    'a streaming request is sent and that runner slows down {slowdown:g} times'
)
def send_to_slow(context, slowdown):
    async def script(world):
        def slow():
            world.known.by_id['i-0'].slowdown = slowdown

        world.runners[0].on_request = slow
        await _ask(context, world, 'streaming')

    context.kind = 'streaming'
    _run(context, script)


@when('a streaming request arrives when new ones are refused')
def send_after_close(context):
    async def script(world):
        world.forwarder.closed = True
        await _ask(context, world, 'streaming')

    context.kind = 'streaming'
    _run(context, script)


@when('a safe request arrives {before_s:g} s before the first routes')
def send_before_routes(context, before_s):
    async def script(world):
        index, world.index = world.index, None

        async def give_routes():
            await trio.sleep(before_s)
            world.index = index
            world.forwarder.routes_known.set()

        stream = await world.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(give_routes)
            await stream.send_all(_request(b'/safe/1'))
            context.data = await _read_all(stream)
            nursery.cancel_scope.cancel()

    context.kind = 'safe'
    _run(context, script)


@then('its answer is {answer}')
def check_answer(context, answer):
    head, _, body = context.data.partition(b'\r\n\r\n')
    status = int(head.split(b' ')[1])
    assert status == int(answer[:3]), context.data
    if answer.endswith('0 events, complete'):
        assert body == b'0\r\n\r\n', body
    elif answer.endswith('complete') and context.kind.startswith('streaming'):
        sent = [x for x in body.split(b'\r\n') if x and len(x) > 3]
        assert b''.join(sent) == b''.join(EVENTS), body
        assert body.endswith(b'0\r\n\r\n'), body
    elif answer.endswith('and all events'):
        first = COMMENT if 'comment' in answer else RETRY_TIME
        sent = [x for x in body.split(b'\r\n') if len(x) > 3]
        assert b''.join(sent) == first + b'\n' + b''.join(EVENTS), body
        assert body.endswith(b'0\r\n\r\n'), body
    elif answer.endswith('empty'):
        assert body == b'0\r\n\r\n', body
    elif answer.endswith('its comment'):
        sent = [x for x in body.split(b'\r\n') if len(x) > 3]
        assert b''.join(sent) == b''.join(EVENTS) + COMMENT, body
        assert body.endswith(b'0\r\n\r\n'), body
    elif answer.endswith('no event after the cut'):
        assert UNNUMBERED in body, body
        after = body.partition(UNNUMBERED)[2]
        assert after == b'\r\n', body
    elif answer.endswith('the object'):
        assert body == JSON, context.data
    elif answer.endswith('events, without an end'):
        count = int(answer.split()[1])
        sent = [x for x in body.split(b'\r\n') if len(x) > 3]
        assert b''.join(sent) == b''.join(EVENTS[:count]), body
        assert not body.endswith(b'0\r\n\r\n'), body
    elif answer.endswith('complete'):
        assert body == b'whole', context.data
    elif answer.endswith('unknown'):
        assert b'"outcome": "unknown"' in body, body
    elif answer.endswith('from the runner'):
        assert body == b'failed', body


@then('the runners ran it {count:d} times')
def check_runs(context, count):
    runs = [runner.runs for runner in context.world.runners]
    assert sum(runs) == count, runs


@then(
    "no runner received the caller's key, and each received the remaining time"
)
def check_headers(context):
    for runner in context.world.runners:
        for request in runner.received:
            assert b'authorization' not in request, request
            assert 0 < int(request[b'x-deadline-ms']) <= 2500, request
            assert request[b'x-team'] == b'crews', request
            assert request[b'x-expect-instance'].startswith(b'i-'), request


@when('a safe request is sent and its caller disconnects after 0.2 s')
def disconnect(context):
    async def script(world):
        stream = await world.open()
        await stream.send_all(_request(b'/safe/1'))
        await trio.sleep(0.2)
        await stream.aclose()
        with trio.move_on_after(0.5):
            await world.runners[0].closed.wait()

    _run(context, script)


@then('it is reset, so that data not read by the runner is dropped')
def check_reset(context):
    assert context.world.runners[0].was_reset


@then("the runner's connection is closed within 0.5 s")
def check_closed(context):
    assert context.world.runners[0].closed.is_set()


INVALID = {
    'sends no key': _request(b'/safe/1', key=b''),
    'sends a key of no team': _request(b'/safe/1', key=b'other'),
    'requests a path without a route': _request(b'/none/1'),
    'sends a head of 20000 bytes': _request(
        b'/safe/1', extra=b'X-Much: ' + b'x' * 20000 + b'\r\n'
    ),
    'sends a body of 3000 bytes': _request(
        b'/unsafe/1', extra=b'Content-Length: 3000\r\n', method=b'POST'
    )
    + b'x' * 3000,
    'sends half a head and waits': _request(b'/safe/1')[:-10],
    'sends an invalid request': b'nonsense\r\n\r\n',
}


@when('one caller {does}')
def send_invalid(context, does):
    async def script(world):
        stream = await world.open()
        await stream.send_all(INVALID[does])
        context.data = await _read_all(stream)

    _run(context, script)


@then('it is answered with {status:d} and no runner ran it')
def check_status(context, status):
    assert context.data.startswith(b'HTTP/1.1 %d ' % status), context.data
    assert not any(runner.runs for runner in context.world.runners)


@then('no bytes of answers are held')
def check_none_held(context):
    held = context.world.forwarder.held_answers
    assert held.held_bytes == 0, held.held_bytes


HEADS = {
    **INVALID,
    'gets no answer in time': _request(b'/safe/1').replace(b'2500', b'200'),
    'is answered': _request(b'/safe/1'),
}


@when('a HEAD request {does}, and a GET request follows on its connection')
def send_head(context, does):
    async def script(world):
        if does == 'gets no answer in time':
            world.runners[0].fault = SILENT
        stream = await world.open()
        await stream.send_all(HEADS[does].replace(b'GET', b'HEAD', 1))
        context.head = b''
        while b'\r\n\r\n' not in context.head:
            more = await stream.receive_some(65536)
            assert more, context.head
            context.head += more
        world.runners[0].fault = 'answers correctly'
        await stream.send_all(_request(b'/safe/2'))
        context.data = await _read_all(stream)

    _run(context, script)


@then('they are answered with {status:d} without a body and with 200')
def check_head(context, status):
    assert context.head.startswith(b'HTTP/1.1 %d ' % status), context.head
    assert context.head.endswith(b'\r\n\r\n'), context.head
    assert context.data.startswith(b'HTTP/1.1 200 '), context.data
    assert context.data.endswith(b'whole'), context.data


@when(
    'a connection has served a request, and the limit of heads is then'
    ' {change}'
)
def change_limit(context, change):
    async def script(world):
        stream = await world.open()
        await stream.send_all(_request(b'/safe/1'))
        assert (await _read_all(stream)).startswith(b'HTTP/1.1 200 ')
        # The server waits for the next request by now.
        await trio.testing.wait_all_tasks_blocked(0.05)
        header_bytes = int(change.rpartition(' ')[2])
        limits = LIMITS._replace(header_bytes=header_bytes)
        world.server._limits = lambda: limits
        head = _request(b'/safe/2', extra=b'X-A: ' + b'x' * 12000 + b'\r\n')
        for part in (head[:10000], head[10000:]):
            await stream.send_all(part)
            await trio.testing.wait_all_tasks_blocked(0.05)
        context.data = await _read_all(stream)

    _run(context, script)


@then(
    'a head of 12000 bytes that comes in two parts is answered with {status:d}'
)
def check_long_head(context, status):
    assert context.data.startswith(b'HTTP/1.1 %d ' % status), context.data


@when(
    'a stream of {count:d} events whose lines end with {line_end} arrives in'
    ' pieces of {size:d} bytes'
)
def split_stream(context, count, line_end, size):
    line_end = line_end.encode().replace(b'CR', b'\r').replace(b'LF', b'\n')
    context.sent = [x.replace(b'\n', line_end) for x in EVENTS[:count]]
    data = b''.join(context.sent)
    splitter = events.Splitter()
    #: Bytes that had arrived, and the events that were complete then.
    context.progress = []
    context.events = []
    for start in range(0, len(data), size):
        context.events += splitter.feed(data[start : start + size])
        arrived = min(start + size, len(data))
        context.progress.append((arrived, len(context.events)))
    context.arrived = data
    context.rest = splitter.remainder


@then(
    'each event is complete when the first piece after its blank line has'
    ' arrived'
)
def check_progress(context):
    assert [x.event_id for x in context.events] == [1, 2, 3, 4, 5]
    ends = list(itertools.accumulate(len(x) for x in context.sent))
    for arrived, complete in context.progress:
        assert complete >= sum(end <= arrived for end in ends), arrived


@then('its pieces add up to what arrived')
def check_pieces(context):
    split = b''.join(event.data for event in context.events)
    assert split + context.rest == context.arrived, context.rest


@when(
    'a runner answers a request of {count:d} bytes early, with {framing}, and'
    ' resets the connection'
)
def answer_early(context, count, framing):
    request = {b'x-request-id': b'mine'}
    data = _answer_bytes(200, request, b'whole')
    if framing == 'no length':
        data = _head(200, request, b'\r\n') + b'who'
    elif framing == 'a length, cut short':
        data = data[:-2]

    async def serve(stream):
        await stream.receive_some(4096)
        await stream.send_all(data)
        # The caller's send waits for room by then.
        await trio.testing.wait_all_tasks_blocked(0.05)
        await _reset(stream)

    async def main():
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host=HOST)
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            port = listener.socket.getsockname()[1]
            pool = lasthop.Pool(dialects.NATIVE.headers, trio.current_time)
            body = b'x' * count
            fields = [(b'Host', b'a'), (b'Content-Length', b'%d' % count)]
            with trio.fail_after(10):
                async with pool.request(
                    f'{HOST}:{port}', b'POST', b'/', fields, body, 'mine'
                ) as reply:
                    context.result = await _read_body(reply)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _read_body(reply):
    try:
        return await reply.read_body()
    except errors.MountridgeError as problem:
        return problem.code


@then('reading the answer {result}')
def check_result(context, result):
    expected = 1301 if result == 'fails with 1301' else b'whole'
    assert context.result == expected, context.result
