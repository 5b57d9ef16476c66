# SPDX-License-Identifier: Apache-2.0

"""Steps on incarnations of runners, and on outdated or malformed messages."""

import json
import logging
import pathlib
import random
import sys
import types

from behave import given, then, when
from hypothesis import example
from hypothesis import given as for_all
from hypothesis import Phase, settings, strategies
import trio

from features.worlds import lives as lives_world
from mountridge import entry, errors, messages, metrics, sidecar
from mountridge.documents import instances, routes
from mountridge.experts import demand, ranks
from mountridge.groups import engines, groups
from mountridge.net import dialects, httpserver, lasthop
from mountridge.routing import backends, entryapi
from mountridge.routing import sendgates
from mountridge.state import commands, views
from standins import engineserver

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / 'platform'))
from adapter import api, wire  # noqa: E402,H306
from adapter import engine as platform_engine  # noqa: E402,H306

SPELLINGS = (entryapi.NATIVE, api.WIRE_NAMES)
ADDRESSES = {'X': '10.0.0.1:80', 'Y': '10.0.0.2:80'}
LETTERS = {address: letter for letter, address in ADDRESSES.items()}


def _instance(key, letter='X', born_s=0, state=instances.READY):
    return instances.Instance(
        key, 's', ADDRESSES[letter], 'north', 'v', 4, state, born_s * 1000
    )


def _check_many(count, *drawn):
    """Return a decorator that runs a check on ``count`` random cases."""
    wrap = settings(
        max_examples=count, derandomize=True, deadline=None, database=None,
        phases=[Phase.explicit, Phase.generate],
    )  # fmt: skip
    return lambda check: wrap(for_all(*drawn)(check))()


# Messages.


def _receive(world, message):
    """Receive one message in the notation of the feature."""
    first, *rest = message.split()
    if first == 'wait':
        world.wait(0)
        world.wait(float(rest[0]))
    elif first == 'leave':
        numbers = [n for n in rest[1:] if not n.startswith('#')]
        incarnations = [int(n[1:]) for n in rest[1:] if n.startswith('#')]
        born_ms = int(numbers[0]) * 1000 if numbers else 0
        world.leave(rest[0], born_ms, incarnations[0] if incarnations else 0)
    else:
        state = rest[3] if len(rest) > 3 else instances.READY
        letter, born_s, seq = rest[0], int(rest[1]), int(rest[2])
        world.heartbeat(_instance(first, letter, born_s, state), seq)


def _registered(world):
    """Return the registrations in the notation of the feature."""
    lines = []
    for each in world.active():
        letter = LETTERS[each.address]
        line = f'{each.instance_id} {letter} {each.born_ms // 1000}'
        state = '' if each.state == instances.READY else f' {each.state}'
        lines.append(f'{line} {each.lives}{state}')
    return ', '.join(sorted(lines)) or 'nothing'


@given('an empty registry')
def empty_registry(context):
    context.worlds = [lives_world.World(), lives_world.World()]


@when('the registry receives {received}')
def receive(context, received):
    steady, changing = context.worlds
    for message in received.split(', '):
        _receive(steady, message)
        changing.change_leader()
        _receive(changing, message)


@then('it has registered {expected}, also with a new leader for each message')
def check_registered(context, expected):
    for world in context.worlds:
        assert _registered(world) == expected, _registered(world)


@then('it has registered {expected} with one leader for all messages')
def check_registered_steadily(context, expected):
    assert _registered(context.worlds[0]) == expected, _registered(
        context.worlds[0]
    )


@given('a replicated state in which a runner has restarted')
def restarted_state(context):
    world = context.world = lives_world.World()
    world.heartbeat(_instance('a', 'X', 990), 5)
    context.earlier = world.machine.instances['a']
    world.heartbeat(_instance('a', 'X', 995), 1)


@when('a {kind} of its earlier incarnation is committed afterwards')
def commit_late(context, kind):
    proposed = context.earlier._replace(seq=6)
    if kind == 'leave':
        proposed = proposed._replace(state=instances.LEFT)
    command = commands.SetInstance(proposed, lives_world.BEGIN_S)
    context.world.machine.apply(9, command)


@when(
    'a leave with an earlier start, proposed on an empty state, is committed'
)
def commit_early_leave(context):
    proposed = instances.Instance('a', '', '', '', '', 0, instances.LEFT, 990)
    command = commands.SetInstance(proposed, lives_world.BEGIN_S)
    context.world.machine.apply(9, command)


@then('the new incarnation is still registered')
def check_new_incarnation(context):
    assert _registered(context.world) == 'a X 995 2', _registered(
        context.world
    )


@given('messages of runners that restart, at few addresses')
def drawn_messages(context):
    message = strategies.tuples(
        strategies.sampled_from(['beat', 'beat', 'leave', 'leader']),
        strategies.sampled_from('abc'),
        strategies.integers(0, 3),
        strategies.integers(1, 3),
    )
    context.messages = strategies.lists(message, max_size=24)


def _start_s(key, number):
    """Return a start time that is unique among all runners."""
    return 900 + 3 * number + 'abc'.index(key)


def _letter(key, number):
    return 'XY'[(number + 'abc'.index(key)) % 2]


@when('they arrive in any order, repeatedly, and with changes of the leader')
def play_messages(context):
    context.plays = []

    @_check_many(300, context.messages)
    def play(drawn):
        world = lives_world.World()
        steps = []
        for kind, key, number, seq in drawn:
            born_s = _start_s(key, number)
            if kind == 'beat':
                world.heartbeat(
                    _instance(key, _letter(key, number), born_s), seq
                )
            elif kind == 'leave':
                world.leave(key, born_s * 1000)
            else:
                world.change_leader()
            steps.append(dict(world.machine.instances))
        context.plays.append((drawn, steps))


@then('each id has the latest start received, and each address one runner')
def check_latest(context):
    for drawn, steps in context.plays:
        for known in steps:
            active = [i.address for i in known.values() if i.state != 'left']
            assert len(active) == len(set(active)), known
        beats = {
            (key, number) for kind, key, number, _ in drawn if kind == 'beat'
        }
        for key, number in sorted(beats):
            born_s, letter = _start_s(key, number), _letter(key, number)
            later = any(
                _letter(*other) == letter and _start_s(*other) > born_s
                for other in beats
            )
            known = steps[-1].get(key)
            assert later or known.born_ms >= born_s * 1000, (
                key,
                number,
                known,
                drawn,
            )


@then('no message registers an incarnation that has left')
def check_no_return(context):
    for drawn, steps in context.plays:
        ended = set()
        for (kind, key, _, _), known in zip(drawn, steps):
            if kind == 'leave' and known[key].state == 'left':
                ended.add((key, known[key].born_ms))
            for each in known.values():
                has_returned = (each.instance_id, each.born_ms) in ended
                assert each.state == 'left' or not has_returned, drawn


# Gateways.


@given('a gateway that knows a runner which was {state}')
def known_runner(context, state):
    known = context.known = backends.Backends('g')
    first = _instance('a', 'X', 990)._replace(lives=1)
    context.others = [_instance('b', 'Y', 990)._replace(lives=1)]
    known.update_runners([first, *context.others])
    earlier = context.earlier = known.by_id['a']
    earlier.request_started(1.0)
    if state == 'excluded':
        earlier.record_failure(1.0)
        earlier.record_failure(1.0)
    earlier.replaced = state == 'replaced'
    if state == 'refusing':
        known.record_refusal(earlier, 1.0)
    if state == 'slow':
        known.record_report(messages.RunnerLoad('a', 0, 0, 900, 0, True), 1.0)
    if state == 'full':
        known.record_report(messages.RunnerLoad('a', 4, 9, 100, 0, True), 1.0)
    context.state = state


@when('the runner restarts under its id')
def restart(context):
    context.restarted = _instance('a', 'X', 995)._replace(lives=2)
    _update_runners(context, [context.restarted, *context.others])


@when('another runner registers at its address')
def another_registers(context):
    _update_runners(context, [_instance('c', 'X', 995), *context.others])


def _update_runners(context, registered):
    context.to_close = context.known.update_runners(registered)


def _check_selected(context):
    picked = context.known.pick(
        sendgates.RequestClass('s'), 'north', {'b'}, 1, random.Random(1), 1.01
    )
    assert picked and picked.backend.instance == context.restarted, picked
    assert picked.backend is not context.earlier
    assert (picked.backend.own_requests, picked.load) == (0, 0), picked.load
    assert picked.backend.slowdown == 1.0


@then('it is selected like any other, and connections to it are to be closed')
def check_selected(context):
    _check_selected(context)
    assert context.to_close == [ADDRESSES['X']], context.to_close


@then('connections to its address are to be closed')
def check_to_close(context):
    assert context.to_close == [ADDRESSES['X']], context.to_close


@when('a response of the earlier incarnation arrives late')
def late_response(context):
    context.earlier.request_ended()
    context.earlier.record_failure(1.0)
    context.earlier.replaced = True
    context.known.record_refusal(context.earlier, 1.0)


@then('it is selected like any other')
def check_still_selected(context):
    _check_selected(context)


# Connections.


@given('a runner on loopback, and a pool of connections to it')
def loopback_runner(context):
    context.now_s = 0.0
    context.opened = 0
    pool = lasthop.Pool(dialects.NATIVE.headers, lambda: context.now_s)

    async def serve(stream):
        context.opened += 1
        while await stream.receive_some(4096):
            if context.disconnects:
                return
            head = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
            await stream.send_all(head + context.keep_alive + b'\r\n')

    context.disconnects, context.keep_alive = False, b''
    context.pool, context.serve = pool, serve


def _on_loopback(context, script):
    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listener.socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, context.serve, [listener])
            with trio.fail_after(5):
                await script(f'127.0.0.1:{port}')
            nursery.cancel_scope.cancel()

    trio.run(main)


def _request(context, address):
    host = [(b'Host', b'a')]
    return context.pool.request(address, b'GET', b'/', host, b'', None)


@when('it sends that header, and another request follows after {idle_s:g} s')
def send_keep_alive(context, idle_s):
    sent = context.scenario.name.split('"')[1]
    if sent != 'nothing':
        context.keep_alive = b'Keep-Alive: %s\r\n' % sent.encode()

    async def script(address):
        for span_s in (idle_s, 0.0):
            async with _request(context, address) as reply:
                await reply.read_body()
            context.now_s += span_s

    _on_loopback(context, script)


@then('{count:d} connections have been opened')
def check_opened_count(context, count):
    assert context.opened == count, context.opened


@when('a restart is reported while a request is in progress')
def restart_during_request(context):
    async def script(address):
        async with _request(context, address) as reply:
            await reply.read_body()
        context.now_s += 1
        async with _request(context, address) as reply:
            assert context.opened == 1, context.opened
            context.now_s += 1
            await context.pool.evict(address)
            await reply.read_body()
        context.now_s += 1
        async with _request(context, address) as reply:
            await reply.read_body()

    _on_loopback(context, script)


@then('no earlier connection is reused')
def check_opened(context):
    assert context.opened == 2, context.opened


@when('the runner disconnects while a request is in progress')
def disconnect(context):
    context.disconnects = True
    context.problem = None

    async def script(address):
        try:
            async with _request(context, address):
                raise AssertionError('the request was answered')
        except errors.MountridgeError as problem:
            context.problem = problem

    _on_loopback(context, script)


@then('that request may have run')
def check_may_have_run(context):
    assert context.problem.outcome == errors.UNKNOWN, context.problem


# Malformed messages.

#: Native names of fields, and the platform's names for them.
PLATFORM_NAMES = {
    'hall': 'zone', 'software': 'version', 'born_ms': 'born',
    'cold_ms': 'cold-remaining-ms',
}  # fmt: skip
GOOD = {
    'service': 's', 'address': ADDRESSES['X'], 'hall': 'north', 'seq': 7,
    'software': 'v', 'slots': 4, 'state': 'ready', 'born_ms': 995000,
    'cold_ms': 0,
}  # fmt: skip
NAMED = {
    'service': 'service', 'address': 'address', 'state': 'state',
    'slots': 'slots', 'sequence number': 'seq', 'start': 'born_ms',
}  # fmt: skip
VALUES = {
    'a null {}': None, 'a negative {}': -1, 'a fraction as {}': 1.5,
    'text as {}': '7', 'a huge {}': 10**25, 'a nested {}': [[1]],
}  # fmt: skip
FIELDS = {
    'a start of true': {'born_ms': True},
    'negative slots': {'slots': -1},
    'a huge number of slots': {'slots': 10**30},
    'a negative cold time': {'cold_ms': -1},
    'an unknown state': {'state': 'resting'},
    'an internal state': {'state': instances.LEFT},
    'a number as state': {'state': 1},
    'an empty service': {'service': ''},
    'a very long service': {'service': 's' * 5000},
    'an address without a port': {'address': '10.0.0.1'},
    'a host name as address': {'address': 'runner:80'},
    'a port over 65535': {'address': '10.0.0.1:65536'},
    'an address in non-ASCII digits': {'address': '\u0661\u0660.0.0.1:80'},
}
IDS = {
    'an empty id': b'',
    'a very long id': b'i' * 5000,
    'control characters as id': b'i\x00\x7f',
    'a slash in its id': b'i/1',
}
BODIES = {
    'an array as body': b'[]',
    'an empty body': b'',
    'a truncated body': b'{"service":"s","add',
    'invalid UTF-8': b'\xff\xfe{}',
    'a body nested 30000 deep': b'{"x":' + b'[' * 30000,
    'a body of 1 MB': b' ' * (1 << 20),
}


def _spell(spelling, fields):
    """Return the body of a heartbeat or leave in one set of wire names."""
    if spelling is entryapi.NATIVE:
        return json.dumps(fields).encode()
    return json.dumps(
        {PLATFORM_NAMES.get(k, k): v for k, v in fields.items()}
    ).encode()


def _malformed(spelling, wrong, good):
    """Return the id in the path, and the body, of a malformed message."""
    if wrong in IDS:
        return IDS[wrong], _spell(spelling, good)
    if wrong == 'invalid UTF-8 in an unknown field':
        return b'a', _spell(spelling, good)[:-1] + b',"x":"\xff"}'
    if wrong in BODIES:
        body = BODIES[wrong]
        if wrong == 'a body nested 30000 deep':
            body = _spell(spelling, good)[:-1] + b',' + body[1:]
        return b'a', body
    fields = dict(good) | FIELDS.get(wrong, {})
    for name, field in NAMED.items():
        if wrong == f'no {name}':
            del fields[field]
        for text, value in VALUES.items():
            if wrong == text.format(name):
                fields[field] = value
    assert fields != good, wrong
    return b'a', _spell(spelling, fields)


class _Responder:
    """Records the response to a call."""

    async def send_response(self, status, headers, body):
        self.status, self.body = status, json.loads(body)


class _Entry:
    """An entry process that calls a registry directly."""

    record_malformed = entry.Entry.record_malformed

    def __init__(self, world):
        self.world = world
        self.app = types.SimpleNamespace(metrics=metrics.Metrics(None))
        self.settings = {}

    async def heartbeat(self, heartbeat):
        await self.world.registry.on_heartbeat(None, heartbeat)

    async def leave(self, instance_id, born_ms):
        leave = messages.Leave(instance_id, born_ms)
        await self.world.registry.on_leave(None, leave)

    def receive(self, spelling, raw_id, ending, body):
        """Receive a call to the control address; return the response."""
        path = spelling.instances + raw_id + ending
        request = httpserver.Request(b'POST', path, [], body)
        responder = _Responder()
        control = entryapi.handlers(self, spelling).control
        trio.run(control, request, responder)
        return responder


class _Lines(logging.Handler):
    """Records the messages of log lines."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@given('a registered runner')
def registered_runner(context):
    world = context.world = lives_world.World()
    context.entry = _Entry(world)
    for spelling in SPELLINGS:
        good = _spell(spelling, GOOD)
        reply = context.entry.receive(spelling, b'a', spelling.heartbeat, good)
        assert reply.status == 200, reply.body
    context.before = world.machine.snapshot()


@when('a {kind} with {wrong} is received, with either set of wire names')
def receive_malformed(context, kind, wrong):
    handler = _Lines()
    logger = logging.getLogger('mountridge')
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    context.responses = []
    good = GOOD if kind == 'heartbeat' else {'born_ms': 995000}
    for spelling in SPELLINGS:
        raw_id, body = _malformed(spelling, wrong, good)
        ending = getattr(spelling, kind)
        response = context.entry.receive(spelling, raw_id, ending, body)
        context.responses.append(response)
    logger.removeHandler(handler)
    logger.setLevel(level)
    context.lines = handler.lines


@then(
    'it is refused with code {code:d}, counted under {cause}, and logged once'
)
def check_refused(context, code, cause):
    for response in context.responses:
        assert 400 <= response.status < 500, response.status
        assert response.body['error']['code'] == code, response.body
        assert len(json.dumps(response.body)) < 400, response.body
    counts = context.entry.app.metrics.counts
    assert counts == {f'runner.malformed.{cause}': 2}, counts
    assert context.lines == 2 * ['malformed runner message'], context.lines
    assert context.world.machine.snapshot() == context.before


@given('a registry of a deployment with the hall north and the service s')
def deployed_registry(context):
    world = context.world = lives_world.World()
    world.settings['halls'] = ['north']
    context.services = {'s'}
    world.registry.service_exists = lambda name: name in context.services


@when('a runner registered at X is followed by one with {what} at X')
def register_unknown(context, what):
    context.world.heartbeat(_instance('a', 'X', 990), 1)
    other = _instance('b', 'X', 995)
    changed = {'another service': {'service': 't'}}
    changed = changed.get(what, {'hall': 'south'})
    context.problem = context.world.heartbeat(other._replace(**changed), 1)


@then('the reply has code {code:d}, and the runner at X stays registered')
def check_stays(context, code):
    assert context.problem.code == code, context.problem
    assert _registered(context.world) == 'a X 990 1', _registered(
        context.world
    )


@when('a registered runner drains after the routes have lost its service')
def drain_without_service(context):
    context.world.heartbeat(_instance('a', 'X', 990), 1)
    context.services.clear()
    draining = _instance('a', 'X', 990, instances.DRAINING)
    assert context.world.heartbeat(draining, 2) is None


@then('it is registered as draining')
def check_draining(context):
    assert _registered(context.world) == 'a X 990 1 draining'


# Any bytes.

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**20), 10**20)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=4), inner, max_size=3),
    max_leaves=6,
)


def _mutated(good):
    """Draw a body: valid, with one field changed, truncated, or any bytes."""
    values = strategies.sampled_from(
        [0, 1, 5, -1, 2**53, '', 'ready', 'draining', '10.0.0.9:81']
    )
    changes = strategies.dictionaries(
        strategies.sampled_from(sorted(good)), values | _JSON, max_size=1
    )
    bodies = changes.map(lambda given: json.dumps(good | given).encode())
    cut = strategies.tuples(bodies, strategies.integers(0, 300))
    cuts = cut.map(lambda both: both[0][: both[1]])
    kept = strategies.just(json.dumps(good).encode())
    return kept | bodies | cuts | strategies.binary(max_size=60)


@when('1200 bodies are drawn from random bytes, values and mutations')
def draw_bodies(context):
    context.read, context.refused = 0, 0
    for spelling in SPELLINGS:
        good = json.loads(_spell(spelling, GOOD))

        @_check_many(600, strategies.binary(max_size=4), _mutated(good))
        def read(raw_id, body):
            try:
                instance_id = instances.parse_id(b'i' + raw_id)
                heartbeat = spelling.read_heartbeat(instance_id, body)
            except errors.BadHeartbeat as problem:
                assert problem.cause != 'other', problem
                context.refused += 1
                return
            _check_can_be_registered(heartbeat)
            context.read += 1


def _check_can_be_registered(heartbeat):
    read = heartbeat.instance
    assert messages.decode(messages.encode(heartbeat)).message == heartbeat
    assert views.unpack_instance(views.pack(read)) == read
    host, _, port = read.address.rpartition(':')
    assert host.count('.') == 3 and 0 < int(port) < 65536, read.address
    assert read.state in (instances.READY, instances.DRAINING)
    assert read.born_ms >= 0 and read.slots >= 0 and heartbeat.seq >= 0
    assert read.instance_id.isascii() and read.instance_id.isprintable()


@then('each is a heartbeat that can be registered, or is refused')
def check_drawn(context):
    assert context.read > 50 and context.refused > 400, context.read


class _Calls(engines.EngineCalls):
    """Calls to an engine that responds with given bytes."""

    def __init__(self, body):
        self.body = body

    async def call(self, method, target, body=b'', timeout_s=0.0):
        return dialects.ReplyHead(200, None, False, 'i', None, None), self.body


@when('an engine responds with 300 bodies of random values and mutations')
def draw_states(context):
    context.read, context.refused = 0, 0
    group = {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'open'}
    good = {
        'running': 1, 'queued': 0, 'pace': 1.0, 'size': 4, 'group': group,
        'step': 3, 'map': 0, 'prepared': 1, 'held': 3, 'born': 1,
        'counts': [1, 2, 3],
    }  # fmt: skip

    @_check_many(300, _mutated(good))
    @example(json.dumps(good | {'pace': -1}).encode())
    def read(body):
        engine = platform_engine.PlatformEngine(_Calls(body))
        try:
            state = trio.run(engine.state)
            counts = trio.run(engine.counts)
        except errors.BadAnswer:
            context.refused += 1
            return
        packed = demand.pack(counts)
        report = messages.RankReport('i', state, [], packed, 1)
        assert messages.decode(messages.encode(report)).message == report
        assert round(state.slowdown) >= 0
        context.read += 1


@then('each is a state that can be reported, or a coded error')
def check_states(context):
    assert context.read > 20 and context.refused > 100, context.read


@when('routes that are nested 30000 deep are read in {form}')
def read_nested(context, form):
    decode = routes.decode if 'native' in form else wire.DIALECT.decode_routes
    body = b'{"x":%s%s}' % (b'[' * 30000, b']' * 30000)
    try:
        decode(body)
    except errors.BadRoutes as problem:
        context.problem = problem


@then('they are refused with a code')
def check_nested(context):
    assert context.problem.status == 400, context.problem


# Groups, and a runner from its heartbeats to its requests.


@given('a sidecar whose engine has counted 5 and 7 selections')
def counting_sidecar(context):
    context.counted = []

    async def counts():
        return context.counted

    sections = {
        'sidecar': {'report_s': 0.2},
        'controllers': {'c': 'tcp://a:1'},
    }
    app = types.SimpleNamespace(
        settings=sections | {'entry': {'seeds': []}, 'bind': 'tcp://a:1'},
        now_s=lambda: context.now_s,
    )
    engine = types.SimpleNamespace(counts=counts)
    context.sidecar = sidecar.Sidecar(app, engine)
    context.now_s = 0.0
    _count(context, [5, 7])


def _count(context, counted):
    numbers = [1, 0, 1, True, 5, 0, -1, -1, -1, -1, 1, 0, 0, 1.0]
    context.now_s += 1
    context.counted = counted
    state = ranks.RankState('g', *numbers)
    context.selections = trio.run(context.sidecar._new_counts, state)


@when('the engine resets its counters and reports 1 and 9')
def reset_counters(context):
    _count(context, [1, 9])


@then('no selections are reported, and later ones are counted from there')
def check_no_selections(context):
    assert context.selections == demand.NO_COUNTS, context.selections
    _count(context, [2, 11])
    assert demand.unpack(context.selections)[1] == 2, context.selections


@given('a leader that knows the start time of a rank')
def leader_of_rank(context):
    app = types.SimpleNamespace(
        now_s=lambda: 1.0, metrics=metrics.Metrics(None)
    )
    replica = types.SimpleNamespace(
        check_leader=lambda: None, node=types.SimpleNamespace(term=1)
    )
    context.groups = groups.Groups(app, replica, lambda _: None)
    context.groups.registered_start_ms = {'i': 995000}.get


def _report(context, born_ms):
    numbers = [1, 0, 1, True, 5, 0, -1, -1, -1, -1, 1, 0, 0, 1.0]
    state = ranks.RankState('g', *numbers, born_ms)
    report = messages.RankReport('i', state, [], demand.NO_COUNTS, -1)
    peer = types.SimpleNamespace(route=b'r')
    return context.groups.on_report(peer, report)


@when('a report of its earlier incarnation arrives late')
def late_report(context):
    context.reply = _report(context, 990000)


@then('no load is forwarded, and no order is sent')
def check_no_load(context):
    assert context.reply.order is None
    assert context.groups.pop_loads() == []
    _report(context, 995000)
    assert len(context.groups.pop_loads()) == 1


@given('an emulated runner, a registry and a gateway that reads its view')
def emulated_runner(context):
    context.world = lives_world.World()
    context.entry = _Entry(context.world)
    context.known = backends.Backends('g')
    context.plain = engineserver.PlainRunner(0, 0.02, context.rng)
    _send_heartbeat(context)


def _send_heartbeat(context):
    spelling = entryapi.NATIVE
    body = context.plain.heartbeat(ADDRESSES['X'], 4)
    reply = context.entry.receive(spelling, b'p-0', spelling.heartbeat, body)
    assert reply.status == 200, reply.body
    view = context.world.machine.view
    packed = view.by_prefix(views.INSTANCE_PREFIX).values()
    context.to_close = context.known.update_runners(
        [views.unpack_instance(value) for value in packed]
    )


@when('it fails at the gateway, restarts and sends a heartbeat')
def fail_and_restart(context):
    _send_heartbeat(context)
    earlier = context.known.by_id['p-0']
    earlier.record_failure(1.0)
    earlier.record_failure(1.0)
    earlier.replaced = True
    _send_heartbeat(context)
    assert context.known.by_id['p-0'] is earlier
    context.plain.restart(999.0)
    _send_heartbeat(context)


@then('the gateway sends it requests at once')
def check_sends(context):
    rng = random.Random(1)
    picked = context.known.pick(
        sendgates.RequestClass('plain'), 'north', set(), 1, rng, 1.0
    )
    assert picked.backend.instance.born_ms == 999000, picked
    assert context.to_close == [ADDRESSES['X']], context.to_close
    assert context.world.counts['runner.lives'] == 2
