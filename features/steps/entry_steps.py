# SPDX-License-Identifier: Apache-2.0

"""Steps on routes, registration, expert maps, retry budgets and logs."""

import json
import pathlib
import random
import re
import statistics
import subprocess
import sys

from behave import given, then, when
import trio
import trio.testing

from features.worlds import lives as lives_world
from features.worlds import ranks as ranks_world
from mountridge.documents import instances, routes
from mountridge import errors, logs, messages
from mountridge.routing import budgets
from mountridge.state import commands, members, statemachine

FOLDER = pathlib.Path(__file__).resolve().parents[2]


def _route(prefix, host='a.example', **over):
    route = {
        'name': prefix,
        'host': host,
        'prefix': prefix,
        'kind': 'safe',
        'timeout_ms': 1000,
        'target_ms': 100,
        'priority': 1,
        'shares': [{'service': 's', 'weight': 1}],
        'most_attempts': 2,
        'public': False,
        'resumable': False,
        'gap_ms': 0,
    }
    return list({**route, **over}.values())


def _document(routes_given, version=1, teams=()):
    listed = routes_given
    for route in listed:
        route[7] = [list(share.values()) for share in route[7]]
    service = ['s', '/health', 10, None]
    limits = [16384, 1 << 20, 3000, 15000]
    teams = [[name, keys, None] for name, keys in teams]
    return json.dumps([version, listed, [service], limits, teams]).encode()


@given('routes for a.example at / and /x/ and /x/y/')
def three_routes(context):
    document = _document([_route('/'), _route('/x/'), _route('/x/y/')])
    context.index = routes.index(routes.decode(document))


@then('a request for {host} with the path {path} matches the route {name}')
def check_route(context, host, path, name):
    found = context.index.match(host, path)
    assert (found.name if found else 'none') == name, found


FAULTS = {
    'route names an unknown service': lambda: _document(
        [_route('/', shares=[{'service': 'other', 'weight': 1}])]
    ),
    'routes share a host and a prefix': lambda: _document(
        [_route('/'), _route('/', host='A.example')]
    ),
    'weights add up to zero': lambda: _document(
        [_route('/', shares=[{'service': 's', 'weight': 0}])]
    ),
    'time-out is zero': lambda: _document([_route('/', timeout_ms=0)]),
    'teams share a key': lambda: _document(
        [_route('/')], teams=[('a', ['k']), ('b', ['k'])]
    ),
    'text is truncated': lambda: _document([_route('/')])[:-20],
}


@given('a routes document whose {fault}')
def faulty_document(context, fault):
    context.document = FAULTS[fault]()


@then('it is rejected as a whole with code {code:d}')
def check_refused(context, code):
    try:
        routes.decode(context.document)
    except errors.BadRoutes as problem:
        assert problem.code == code, problem
    else:
        raise AssertionError('the document was accepted')


@given('an empty replicated state')
def replicated_state(context):
    context.machine = statemachine.StateMachine()
    context.log_index = 0


def _apply(context, command):
    context.log_index += 1
    return context.machine.apply(context.log_index, command)


@when('routes of the versions {numbers} are put in this order')
def put_versions(context, numbers):
    for index, number in enumerate(re.findall(r'\d+', numbers)):
        content = b'%d' % index
        _apply(context, commands.PutRoutes(int(number), content, 1.0))


@then(
    'version {number:d} with its first content is in force,'
    ' also after a snapshot'
)
def check_in_force(context, number):
    restored = statemachine.StateMachine()
    restored.restore(context.machine.snapshot())
    for machine in (context.machine, restored):
        assert machine.routes() == messages.RoutesReply(number, b'1')
        assert machine.routes_version == number


def _runner(key='i-1', state=instances.READY, address='10.0.0.1:80'):
    return instances.Instance(key, 's', address, 'north', 'v1', 4, state)


@when('a runner registers, leaves, and its delayed heartbeat is received')
def leave_before_heartbeat(context):
    for state in (instances.READY, instances.LEFT, instances.READY):
        _apply(context, commands.SetInstance(_runner(state=state), 1.0))


@then('it has left')
def check_left(context):
    assert context.machine.instances['i-1'].state == instances.LEFT


@when('another runner registers at the address of a live one')
def reuse_address(context):
    for key in ('i-2', 'i-3'):
        command = commands.SetInstance(_runner(key, address='a:1'), 1.0)
        _apply(context, command)


@then('the live one has left and the other is ready')
def check_reused(context):
    assert context.machine.instances['i-2'].state == instances.LEFT
    assert context.machine.instances['i-3'].state == instances.READY


@given("a leader's registry")
def leaders_registry(context):
    world = lives_world.World()
    context.machine, context.registry = world.machine, world.registry


@when(
    'a runner reports {first} with number 5'
    ' and then {second} with number {n:d}'
)
def two_heartbeats(context, first, second, n):
    async def main():
        for state, seq in ((first, 5), (second, n)):
            heartbeat = messages.Heartbeat(_runner(state=state), seq)
            await context.registry.on_heartbeat(None, heartbeat)

    trio.run(main)


@then('the registration has state {state}')
def check_state(context, state):
    assert context.machine.instances['i-1'].state == state


# Expert maps.


@given('a group of 4 engines whose demand shifts every second')
def shifting_group(context):
    context.name = context.scenario.name


@when('sidecars and a leader change its maps for {span_s:d} s with {faults}')
def change_maps(context, span_s, faults):
    context.world = ranks_world.play(span_s, faults, context.name)


@then('no forward pass used two maps')
def check_maps_not_mixed(context):
    assert context.world.group.step > 100, context.world.group.step
    assert context.world.group.mixed_passes == 0


@then('the median change took at most {most_s:g} s from its plan to its use')
def check_change_duration(context, most_s):
    took_s = statistics.median(context.world.change_durations_s)
    assert took_s <= most_s, took_s


@then('a change took at most {most:d} reports on average')
def check_reports(context, most):
    mean = context.world.reports / context.world.changes
    assert mean <= most, mean


@then('the maps were changed at least {count:d} times')
def check_changes(context, count):
    assert context.world.changes >= count, context.world.changes


@then('no rank is held at the end')
def check_not_held(context):
    held = [rank.held_step for rank in context.world.group.ranks]
    assert set(held) == {-1}, held


@then('the group was stalled for at most {most_s:g} s per change')
def check_stalled_per_change(context, most_s):
    world = context.world
    assert world.changes >= 10, world.changes
    assert world.stalled_s <= most_s * world.changes, world.stalled_s


@then('the group was stalled for at most {most_s:g} s in total')
def check_stalled(context, most_s):
    assert context.world.stalled_s <= most_s, context.world.stalled_s


# Budgets.


@given('{count:d} gateways that share a retry budget of 0.2 and 96 in 10 s')
def gateways_with_budget(context, count):
    context.budgets = [
        budgets.RetryBudget(0.2, 96, 10.0, 0.0, lambda now_s: 1 / count)
        for _ in range(count)
    ]


@when('each sends {count:d} requests in 20 s and retries as many as allowed')
def send_all(context, count):
    rng = random.Random(1)
    sends = [
        (rng.uniform(0, 20), budget)
        for budget in context.budgets
        for _ in range(count)
    ]
    context.firsts_s, context.retries_s = [], []
    for now_s, budget in sorted(sends, key=lambda each: each[0]):
        budget.record_first('s', now_s)
        context.firsts_s.append(now_s)
        while retry := budget.try_acquire('s', now_s):
            retry.mark_sent(now_s)
            context.retries_s.append(now_s)


@then('no window of 10 s has more retries than the budget')
def check_budget(context):
    assert context.retries_s or len(context.budgets) > 10
    for end_s in context.retries_s:
        retries = [s for s in context.retries_s if end_s - 10 < s <= end_s]
        firsts = [s for s in context.firsts_s if end_s - 10 < s <= end_s]
        assert len(retries) <= 0.2 * len(firsts) + 96, end_s


# Logs.


@given('a log sink that allows 10 lines a second')
def log_sink(context):
    context.now_s = 0.0
    context.written = b''
    context.is_reading = True

    def write(data):
        if not context.is_reading:
            raise BlockingIOError()
        context.written += data
        return len(data)

    context.sink = logs.LineSink(write, 10.0, lambda: context.now_s)


@when('100 lines are logged at once, and one more 3 s later')
def many_lines(context):
    for _ in range(100):
        context.sink('line\n')
    context.now_s = 3.0
    context.sink('line\n')


@then('21 lines and one that reports 80 dropped lines were written')
def check_lines(context):
    lines = context.written.decode().splitlines()
    assert lines.count('line') == 21, lines
    assert json.loads(lines[-2])['count'] == 80, lines


@when('its reader stops reading and 5 lines are logged')
def stop_reading(context):
    context.is_reading = False
    for _ in range(5):
        context.sink('line\n')


@then('4 of them are counted as dropped')
def check_dropped(context):
    assert context.sink.dropped == 4


# Names.


@then('nothing outside the folder platform names its headers or calls')
def check_names(context):
    found = []
    for top in ('mountridge', 'standins', 'bench', 'tools'):
        for path in (FOLDER / top).rglob('*.py'):
            text = path.read_text().lower()
            if 'x-mountridge-' in text or "'/mountridge/" in text:
                found.append(path.name)
    assert not found, found
    size = sum(
        len(path.read_text().splitlines())
        for path in (FOLDER / 'platform').rglob('*.py')
    )
    assert size < 1200, size


@then("Python's own platform module is found with that folder on the path")
def check_platform_module(context):
    code = 'import platform; print(platform.python_version())'
    for path in (FOLDER, FOLDER / 'platform'):
        shown = subprocess.run(
            [sys.executable, '-c', code],
            cwd=path,
            capture_output=True,
            text=True,
        )
        assert shown.stdout.startswith('3.'), shown.stderr


# Calls to the leader.


class _App:
    """Connects to an unresponsive controller ``a`` and the leader ``b``."""

    metrics = None
    settings = {
        'controllers': {'a': 'tcp://127.0.0.1:1', 'b': 'tcp://127.0.0.1:2'},
        'entry': {'seeds': []},
        'bind': 'tcp://127.0.0.1:1',
    }

    def __init__(self):
        self.answered = 0

    def now_s(self):
        return trio.current_time()

    def connect(self, address, peer, on_message=None, on_received=None):
        app = self

        class Connection:
            async def call(self, message, timeout_s, delay_callback=None):
                if peer == 'a':
                    await trio.sleep(timeout_s)
                    raise errors.NoController('no reply in time')
                await trio.sleep(0.001)
                app.answered += 1
                return messages.Registered()

            def close(self):
                pass

        return Connection()


@given('a leader, and an unresponsive controller that is called first')
def unresponsive_first(context):
    context.app = _App()


@when('{count:d} calls begin 0.1 s apart')
def staggered_calls(context, count):
    async def main():
        leader = members.LeaderClient(context.app)
        context.took_s = []

        async def call():
            began_s = trio.current_time()
            await leader.call(messages.Leave('i'), 3.0)
            context.took_s.append(trio.current_time() - began_s)

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(call)
                await trio.sleep(0.1)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


@then('each is answered within {limit_s:g} s')
def check_took(context, limit_s):
    assert max(context.took_s) < limit_s, context.took_s
