# SPDX-License-Identifier: Apache-2.0

"""Steps on lives of runners: which word counts, and what can't be read."""

import json
import logging
import pathlib
import random
import sys
import types

from behave import given, then, when
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
from mountridge.state import commands, views
from standins import engineserver

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / 'platform'))
from adapter import api, wire  # noqa: E402,H306
from adapter import engine as platform_engine  # noqa: E402,H306

SPELLINGS = (entryapi.NATIVE, api.SPELLING)
ADDRESSES = {'X': '10.0.0.1:80', 'Y': '10.0.0.2:80'}
LETTERS = {address: letter for letter, address in ADDRESSES.items()}


def _instance(key, letter='X', born_s=0, state=instances.READY):
    return instances.Instance(
        key, 's', ADDRESSES[letter], 'north', 'v', 4, state, born_s * 1000
    )


def _check_many(count, *drawn):
    """Return a decorator that runs a check on ``count`` drawn cases."""
    wrap = settings(
        max_examples=count, derandomize=True, deadline=None, database=None,
        phases=[Phase.explicit, Phase.generate],
    )  # fmt: skip
    return lambda check: wrap(for_all(*drawn)(check))()


# Words.


def _hear(world, word):
    """Take one word of a table of words."""
    first, *rest = word.split()
    if first == 'wait':
        world.wait(0)
        world.wait(float(rest[0]))
    elif first == 'leave':
        numbers = [n for n in rest[1:] if not n.startswith('#')]
        lives = [int(n[1:]) for n in rest[1:] if n.startswith('#')]
        born_ms = int(numbers[0]) * 1000 if numbers else 0
        world.leave(rest[0], born_ms, lives[0] if lives else 0)
    else:
        state = rest[3] if len(rest) > 3 else instances.READY
        letter, born_s, seq = rest[0], int(rest[1]), int(rest[2])
        world.say(_instance(first, letter, born_s, state), seq)


def _held(world):
    """Return what is held as the tables tell it."""
    told = []
    for held in world.live():
        letter = LETTERS[held.address]
        line = f'{held.instance_id} {letter} {held.born_ms // 1000}'
        state = '' if held.state == instances.READY else f' {held.state}'
        told.append(f'{line} {held.lives}{state}')
    return ', '.join(sorted(told)) or 'nothing'


@given('a registry that has heard nothing')
def silent_registry(context):
    context.worlds = [lives_world.World(), lives_world.World()]


@when('it hears {words}')
def hear(context, words):
    steady, changing = context.worlds
    for word in words.split(', '):
        _hear(steady, word)
        changing.change_leader()
        _hear(changing, word)


@then('it holds {held}, also where a new leader takes each word')
def check_held(context, held):
    for world in context.worlds:
        assert _held(world) == held, _held(world)


@then('it holds {held} while one leader takes all words')
def check_held_steadily(context, held):
    assert _held(context.worlds[0]) == held, _held(context.worlds[0])


@given('a replicated state in which a runner has started again')
def restarted_state(context):
    world = context.world = lives_world.World()
    world.say(_instance('a', 'X', 990), 5)
    context.former = world.machine.instances['a']
    world.say(_instance('a', 'X', 995), 1)


@when('a {word} of its former life is committed after that')
def commit_late(context, word):
    said = context.former._replace(seq=6)
    if word == 'leave':
        said = said._replace(state=instances.LEFT)
    command = commands.SetInstance(said, lives_world.BEGIN_S)
    context.world.machine.apply(9, command)


@when('a leave of an older start, made on nothing held, is committed after it')
def commit_unheld_leave(context):
    said = instances.Instance('a', '', '', '', '', 0, instances.LEFT, 990)
    command = commands.SetInstance(said, lives_world.BEGIN_S)
    context.world.machine.apply(9, command)


@then('the new life holds')
def check_new_life(context):
    assert _held(context.world) == 'a X 995 2', _held(context.world)


@given('words of runners that start again, at few addresses')
def drawn_words(context):
    word = strategies.tuples(
        strategies.sampled_from(['beat', 'beat', 'leave', 'leader']),
        strategies.sampled_from('abc'),
        strategies.integers(0, 3),
        strategies.integers(1, 3),
    )
    context.words = strategies.lists(word, max_size=24)


def _start_s(key, life):
    """Return a start that no life of another runner has."""
    return 900 + 3 * life + 'abc'.index(key)


def _place(key, life):
    return 'XY'[(life + 'abc'.index(key)) % 2]


@when('they come late, twice, and with leaders between')
def play_words(context):
    context.plays = []

    @_check_many(300, context.words)
    def play(words):
        world = lives_world.World()
        steps = []
        for kind, key, life, seq in words:
            born_s = _start_s(key, life)
            if kind == 'beat':
                world.say(_instance(key, _place(key, life), born_s), seq)
            elif kind == 'leave':
                world.leave(key, born_s * 1000)
            else:
                world.change_leader()
            steps.append(dict(world.machine.instances))
        context.plays.append((words, steps))


@then('each id has the latest start heard, and each address one runner')
def check_latest(context):
    for words, steps in context.plays:
        for held in steps:
            live = [h.address for h in held.values() if h.state != 'left']
            assert len(live) == len(set(live)), held
        beats = {(key, life) for kind, key, life, _ in words if kind == 'beat'}
        for key, life in sorted(beats):
            born_s, place = _start_s(key, life), _place(key, life)
            later = any(
                _place(*other) == place and _start_s(*other) > born_s
                for other in beats
            )
            held = steps[-1].get(key)
            assert later or held.born_ms >= born_s * 1000, (
                key,
                life,
                held,
                words,
            )


@then('no word brings back a life that has left')
def check_no_return(context):
    for words, steps in context.plays:
        over = set()
        for (kind, key, life, _), held in zip(words, steps):
            if kind == 'leave' and held[key].state == 'left':
                over.add((key, held[key].born_ms))
            for live in held.values():
                is_back = (live.instance_id, live.born_ms) in over
                assert live.state == 'left' or not is_back, words


# Gateways.


@given('a gateway that knows a runner which was {spoiled}')
def spoiled_runner(context, spoiled):
    known = context.known = backends.Backends('g')
    first = _instance('a', 'X', 990)._replace(lives=1)
    context.others = [_instance('b', 'Y', 990)._replace(lives=1)]
    known.update_runners([first, *context.others])
    former = context.former = known.by_id['a']
    former.request_started(1.0)
    if spoiled == 'left out':
        former.record_failure(1.0)
        former.record_failure(1.0)
    former.replaced = spoiled == 'replaced'
    if spoiled == 'refusing':
        known.record_refusal(former, 1.0)
    if spoiled == 'slow':
        known.record_report(messages.RunnerLoad('a', 0, 0, 900, 0, True), 1.0)
    if spoiled == 'full':
        known.record_report(messages.RunnerLoad('a', 4, 9, 100, 0, True), 1.0)
    context.spoiled = spoiled


@when('the runner starts again under its id')
def start_again(context):
    context.restarted = _instance('a', 'X', 995)._replace(lives=2)
    _follow(context, [context.restarted, *context.others])


@when('another runner registers at its address')
def another_registers(context):
    _follow(context, [_instance('c', 'X', 995), *context.others])


def _follow(context, registered):
    context.forgotten = context.known.update_runners(registered)


def _check_taken(context):
    picked = context.known.pick('s', 'north', {'b'}, 1, random.Random(1), 1.01)
    assert picked and picked.backend.instance == context.restarted, picked
    assert picked.backend is not context.former
    assert (picked.backend.own, picked.load) == (0, 0), picked.load
    assert picked.backend.slowdown == 1.0


@then('it is taken like any other, and its address is to be forgotten')
def check_taken(context):
    _check_taken(context)
    assert context.forgotten == [ADDRESSES['X']], context.forgotten


@then('its address is to be forgotten')
def check_forgotten(context):
    assert context.forgotten == [ADDRESSES['X']], context.forgotten


@when('an answer of the former life comes late')
def late_answer(context):
    context.former.request_ended()
    context.former.record_failure(1.0)
    context.former.replaced = True
    context.known.record_refusal(context.former, 1.0)


@then('it is taken like any other')
def check_still_taken(context):
    _check_taken(context)


# Connections.


@given('a runner on loopback, and kept connections to it')
def loopback_runner(context):
    context.now_s = 0.0
    context.opened = 0
    pool = lasthop.Pool(dialects.NATIVE.headers, lambda: context.now_s)

    async def serve(stream):
        context.opened += 1
        while await stream.receive_some(4096):
            if context.breaks:
                return
            answer = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
            await stream.send_all(answer + context.told + b'\r\n')

    context.breaks, context.told = False, b''
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


def _ask(context, address):
    host = [(b'Host', b'a')]
    return context.pool.request(address, b'GET', b'/', host, b'', None)


@when('it tells so, and another request comes after {rest_s:g} s')
def tell_kept(context, rest_s):
    told = context.scenario.name.split('"')[1]
    if told != 'nothing':
        context.told = b'Keep-Alive: %s\r\n' % told.encode()

    async def script(address):
        for span_s in (rest_s, 0.0):
            async with _ask(context, address) as reply:
                await reply.read_body()
            context.now_s += span_s

    _on_loopback(context, script)


@then('{count:d} connections have been opened')
def check_opened_count(context, count):
    assert context.opened == count, context.opened


@when('it is told to have started again, while a request is under way')
def told_again(context):
    async def script(address):
        async with _ask(context, address) as reply:
            await reply.read_body()
        context.now_s += 1
        async with _ask(context, address) as reply:
            assert context.opened == 1, context.opened
            context.now_s += 1
            await context.pool.evict(address)
            await reply.read_body()
        context.now_s += 1
        async with _ask(context, address) as reply:
            await reply.read_body()

    _on_loopback(context, script)


@then('no connection of before is used again')
def check_opened(context):
    assert context.opened == 2, context.opened


@when('it breaks off while a request is under way')
def breaks_off(context):
    context.breaks = True
    context.problem = None

    async def script(address):
        try:
            async with _ask(context, address):
                raise AssertionError('it was answered')
        except errors.MountridgeError as problem:
            context.problem = problem

    _on_loopback(context, script)


@then('that request may have run')
def check_may_have_run(context):
    assert context.problem.outcome == errors.UNKNOWN, context.problem


# Malformed words.

#: Fields of the project's own form, and as the platform spells them.
SPELT = {
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
    'slots': 'slots', 'count': 'seq', 'start': 'born_ms',
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
    'a state of ours only': {'state': instances.LEFT},
    'a number as state': {'state': 1},
    'an empty service': {'service': ''},
    'a very long service': {'service': 's' * 5000},
    'an address with no port': {'address': '10.0.0.1'},
    'an address by name': {'address': 'runner:80'},
    'a port over 65535': {'address': '10.0.0.1:65536'},
    'an address in digits of another script': {
        'address': '\u0661\u0660.0.0.1:80'
    },
}
IDS = {
    'an empty id': b'',
    'a very long id': b'i' * 5000,
    'control characters as id': b'i\x00\x7f',
    'a slash in its id': b'i/1',
}
BODIES = {
    'a list as body': b'[]',
    'an empty body': b'',
    'half of a body': b'{"service":"s","add',
    'bytes that are no UTF-8': b'\xff\xfe{}',
    'a body nested 30000 deep': b'{"x":' + b'[' * 30000,
    'a body of 1 MB': b' ' * (1 << 20),
}


def _spell(spelling, fields):
    """Return a heartbeat's or leave's body in a spelling."""
    if spelling is entryapi.NATIVE:
        return json.dumps(fields).encode()
    return json.dumps({SPELT.get(k, k): v for k, v in fields.items()}).encode()


def _malformed(spelling, wrong, good):
    """Return the id in the path, and the body, of a malformed word."""
    if wrong in IDS:
        return IDS[wrong], _spell(spelling, good)
    if wrong == 'bytes that are no UTF-8 in an unknown field':
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
    """Keeps the answer to a call."""

    async def send_response(self, status, headers, body):
        self.status, self.body = status, json.loads(body)


class _Entry:
    """An entry whose leader is a registry."""

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

    def take(self, spelling, raw_id, ending, body):
        """Take a call to the control address, and return its answer."""
        path = spelling.instances + raw_id + ending
        request = httpserver.Request(b'POST', path, [], body)
        responder = _Responder()
        control = entryapi.handlers(self, spelling).control
        trio.run(control, request, responder)
        return responder


class _Lines(logging.Handler):
    """Keeps the messages of log lines."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


@given('a runner that is held')
def held_runner(context):
    world = context.world = lives_world.World()
    context.entry = _Entry(world)
    for spelling in SPELLINGS:
        good = _spell(spelling, GOOD)
        reply = context.entry.take(spelling, b'a', spelling.heartbeat, good)
        assert reply.status == 200, reply.body
    context.before = world.machine.snapshot()


@when('a {word} with {wrong} comes, in either spelling')
def malformed_comes(context, word, wrong):
    handler = _Lines()
    logger = logging.getLogger('mountridge')
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    context.answers = []
    good = GOOD if word == 'heartbeat' else {'born_ms': 995000}
    for spelling in SPELLINGS:
        raw_id, body = _malformed(spelling, wrong, good)
        ending = getattr(spelling, word)
        answer = context.entry.take(spelling, raw_id, ending, body)
        context.answers.append(answer)
    logger.removeHandler(handler)
    logger.setLevel(level)
    context.lines = handler.lines


@then(
    'it is refused with code {code:d}, counted under {cause}, and logged once'
)
def check_refused(context, code, cause):
    for answer in context.answers:
        assert 400 <= answer.status < 500, answer.status
        assert answer.body['error']['code'] == code, answer.body
        assert len(json.dumps(answer.body)) < 400, answer.body
    counts = context.entry.app.metrics.counts
    assert counts == {f'runner.malformed.{cause}': 2}, counts
    assert context.lines == 2 * ['malformed runner message'], context.lines
    assert context.world.machine.snapshot() == context.before


@given('a registry whose deployment has the hall north and the service s')
def named_registry(context):
    world = context.world = lives_world.World()
    world.settings['halls'] = ['north']
    context.services = {'s'}
    world.registry.names_service = lambda name: name in context.services


@when('a runner that is held at X is followed by one with {what} at X')
def unnamed_comes(context, what):
    context.world.say(_instance('a', 'X', 990), 1)
    other = _instance('b', 'X', 995)
    changed = {'another service': {'service': 't'}}
    changed = changed.get(what, {'hall': 'south'})
    context.problem = context.world.say(other._replace(**changed), 1)


@then('the answer is {code:d}, and the runner at X stays')
def check_stays(context, code):
    assert context.problem.code == code, context.problem
    assert _held(context.world) == 'a X 990 1', _held(context.world)


@when('a held runner drains after its service was taken out of the routes')
def drains_unnamed(context):
    context.world.say(_instance('a', 'X', 990), 1)
    context.services.clear()
    draining = _instance('a', 'X', 990, instances.DRAINING)
    assert context.world.say(draining, 2) is None


@then('the registry has it as draining')
def check_draining(context):
    assert _held(context.world) == 'a X 990 1 draining'


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
    """Draw a body: a good one with values changed, or cut, or any bytes."""
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


@when('1200 bodies are made of random bytes, values and mutations')
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
            _check_can_be_held(heartbeat)
            context.read += 1


def _check_can_be_held(heartbeat):
    held = heartbeat.instance
    assert messages.decode(messages.encode(heartbeat)).message == heartbeat
    assert views.unpack_instance(views.pack(held)) == held
    host, _, port = held.address.rpartition(':')
    assert host.count('.') == 3 and 0 < int(port) < 65536, held.address
    assert held.state in (instances.READY, instances.DRAINING)
    assert held.born_ms >= 0 and held.slots >= 0 and heartbeat.seq >= 0
    assert held.instance_id.isascii() and held.instance_id.isprintable()


@then('each spelling reads a heartbeat that can be held, or refuses it')
def check_drawn(context):
    assert context.read > 50 and context.refused > 400, context.read


class _Calls(engines.EngineCalls):
    """Calls that an engine answers with given bytes."""

    def __init__(self, body):
        self.body = body

    async def call(self, method, target, body=b'', timeout_s=0.0):
        return dialects.ReplyHead(200, None, False, 'i', None, None), self.body


@when('an engine answers 300 bodies made of random values and mutations')
def draw_states(context):
    context.read, context.refused = 0, 0
    group = {'name': 'g', 'epoch': 1, 'rank': 0, 'state': 'open'}
    good = {
        'running': 1, 'queued': 0, 'pace': 1.0, 'size': 4, 'group': group,
        'step': 3, 'map': 0, 'prepared': 1, 'held': 3, 'born': 1,
        'counts': [1, 2, 3],
    }  # fmt: skip

    @_check_many(300, _mutated(good))
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
    decode = routes.decode if 'our own' in form else wire.DIALECT.decode_routes
    body = b'{"x":%s%s}' % (b'[' * 30000, b']' * 30000)
    try:
        decode(body)
    except errors.BadRoutes as problem:
        context.problem = problem


@then('they are refused with a code')
def check_nested(context):
    assert context.problem.status == 400, context.problem


# Groups, and a runner from its words to its requests.


@given('a sidecar whose engine has counted 5 and 7 choices')
def counting_sidecar(context):
    context.counted = []

    async def counts():
        return context.counted

    told = {'sidecar': {'report_s': 0.2}, 'controllers': {'c': 'tcp://a:1'}}
    app = types.SimpleNamespace(
        settings=told | {'entry': {'seeds': []}, 'bind': 'tcp://a:1'},
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
    context.choices = trio.run(context.sidecar._new_counts, state)


@when('the engine counts anew, 1 and 9')
def counts_anew(context):
    _count(context, [1, 9])


@then('no choices are told, and none are made up')
def check_no_choices(context):
    assert context.choices == demand.NO_COUNTS, context.choices
    _count(context, [2, 11])
    assert demand.unpack(context.choices)[1] == 2, context.choices


@given('a leader that knows a rank by a start that is told')
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


@when('a report of its former life comes late')
def late_report(context):
    context.reply = _report(context, 990000)


@then('no load is passed on, and no order is given')
def check_no_load(context):
    assert context.reply.order is None
    assert context.groups.pop_loads() == []
    _report(context, 995000)
    assert len(context.groups.pop_loads()) == 1


@given('an emulated runner, a registry and a gateway that follows it')
def emulated_runner(context):
    context.world = lives_world.World()
    context.entry = _Entry(context.world)
    context.known = backends.Backends('g')
    context.plain = engineserver.Plain(0, 0.02, context.rng)
    _beat(context)


def _beat(context):
    spelling = entryapi.NATIVE
    body = context.plain.heartbeat(ADDRESSES['X'], 4)
    reply = context.entry.take(spelling, b'p-0', spelling.heartbeat, body)
    assert reply.status == 200, reply.body
    view = context.world.machine.view
    packed = view.under(views.INSTANCE_PREFIX).values()
    context.forgotten = context.known.update_runners(
        [views.unpack_instance(value) for value in packed]
    )


@when('it fails there, starts again and says so')
def fails_and_restarts(context):
    _beat(context)
    former = context.known.by_id['p-0']
    former.record_failure(1.0)
    former.record_failure(1.0)
    former.replaced = True
    _beat(context)
    assert context.known.by_id['p-0'] is former
    context.plain.restart(999.0)
    _beat(context)


@then('the gateway sends it requests at once')
def check_sends(context):
    rng = random.Random(1)
    picked = context.known.pick('plain', 'north', set(), 1, rng, 1.0)
    assert picked.backend.instance.born_ms == 999000, picked
    assert context.forgotten == [ADDRESSES['X']], context.forgotten
    assert context.world.counts['runner.lives'] == 2
