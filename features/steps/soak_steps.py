# SPDX-License-Identifier: Apache-2.0

"""Steps for the soak test: its plans, its rules, and one short run."""

import json
import pathlib
import re
import subprocess
import sys
import tempfile
import types

from behave import given, then, when
import trio
import yaml

from mountridge import metrics
from tools.soak import __main__ as soak_command
from tools.soak import checks, documents, framings, harmfulparts
from tools.soak import operators, report, rolls, schedule, touch

HERE = pathlib.Path('tools/soak')
SIZES = yaml.safe_load((HERE / 'sizes.yaml').read_text())
READ = next(k for k in SIZES['kinds'] if k['name'] == 'read')
CHAT = next(k for k in SIZES['kinds'] if k['name'] == 'chat')
ORDER = next(k for k in SIZES['kinds'] if k['name'] == 'order')
ENDED = framings.ENDS_PROCESS
#: Sizes with requests that crash runners.
WITH_CRASHES = ('words', 'parts')
SOUND_RULE = 'sound requests are not held back'
#: Time of the scenarios of the checker.
NOW_S = 1000.0


@then('seed 1 gives the same plan twice, and seed 2 a different one')
def check_plans(context):
    first, again, other = (schedule.draw(n, SIZES, 120) for n in (1, 1, 2))
    assert first == again
    assert first.faults != other.faults and first.orders != other.orders


@then('seed 1 gives the same rolls twice, each through all processes')
def check_rolls(context):
    names = ['entry-0', 'entry-1', 'entry-2', 'entry-3', 'sidecar-0']
    drawn = [schedule.draw_rolls(1, names, SIZES, 120) for _ in range(2)]
    context.rolls = drawn[0]
    assert drawn[0] == drawn[1]
    assert [roll.to_new for roll in context.rolls] == [True, False, True]
    assert all(sorted(roll.names) == names for roll in context.rolls)
    kills = [kill for roll in context.rolls for kill in roll.is_killed]
    assert True in kills and False in kills


@then('a run of seed 1 has no old build by default')
def check_no_old_build(context):
    parsed = soak_command.run.make_context('run', ['--seed', '1'])
    assert not parsed.params['old'], parsed.params


@then('the leader is replaced first, last and last, in time for the recovery')
def check_roll_times(context):
    rolls = context.rolls
    assert [roll.leader_last for roll in rolls] == [False, True, True]
    ends_s = [roll.start_s + len(roll.names) * roll.step_s for roll in rolls]
    starts_s = [roll.start_s for roll in rolls]
    assert starts_s[0] >= SIZES['planned_s'], starts_s
    pairs = zip(ends_s, [*starts_s[1:], 120 - SIZES['recover_s']])
    assert all(end_s <= next_s + 1e-6 for end_s, next_s in pairs), ends_s


@when('seed {seed:d} is run for half a minute on a few processes')
def run_short_soak(context, seed):
    _run_soak(context, seed, '0.5', 'short.yaml')


@when(
    'seed {seed:d} is run for 18 s with answers of each framing, some broken'
    ' off'
)
def run_framings_soak(context, seed):
    _run_soak(context, seed, '0.3', 'framings.yaml')


@when('seed {seed:d} is run for 24 s with parts of prompts that crash runners')
def run_parts_soak(context, seed):
    _run_soak(context, seed, '0.4', 'parts.yaml')


@when('seed {seed:d} is run for 36 s with changes, drains and pauses')
def run_changes_soak(context, seed):
    _run_soak(context, seed, '0.6', 'changes.yaml')


@when('seed {seed:d} is run for 30 s with slow callers and endless answers')
def run_slow_soak(context, seed):
    _run_soak(context, seed, '0.5', 'slow.yaml')


@then('each harmful part has crashed a runner')
def check_harmful_crashes(context):
    verdict = json.loads(context.completed.stdout)
    for part in ('bad-chat', 'bad-read'):
        assert verdict[f'crashes by {part}'] > 0, verdict


def _run_soak(context, seed, minutes, sizes):
    context.folder = tempfile.mkdtemp()
    command = [sys.executable, '-m', 'tools.soak', 'run', '--seed', str(seed)]
    command += ['--minutes', minutes, '--sizes', str(HERE / sizes)]
    command += ['--out', context.folder]
    context.completed = subprocess.run(
        command, capture_output=True, text=True, timeout=120
    )


@then('no rule is broken, and these rules were checked')
def check_run(context):
    assert context.completed.returncode == 0, context.completed.stderr[-3000:]
    verdict = json.loads(context.completed.stdout)
    rules = {row['rule'] for row in context.table}
    assert rules <= set(verdict['checked']), verdict


@then('no process of the run remains')
def check_no_processes_remain(context):
    remaining = []
    for each in pathlib.Path('/proc').glob('[0-9]*/cmdline'):
        try:
            if context.folder.encode() in each.read_bytes():
                remaining.append(each.parent.name)
        except OSError:
            continue  # it has ended in the meantime
    assert not remaining, remaining


@when('the framings of {count:d} streams and {others:d} bodies are drawn')
def draw_framings(context, count, others):
    drawn = [framings.draw(context.rng, 0.8, True) for _ in range(count)]
    context.streams = set(drawn)
    drawn = [framings.draw(context.rng, 0.8, False) for _ in range(others)]
    context.bodies = set(drawn)


@then(
    'each framing is drawn whole, and broken off at each place by close, reset'
    ' and silence'
)
def check_framings(context):
    for framing in framings.FRAMINGS[1:]:
        of_framing = [x for x in context.streams if x.framing == framing]
        assert framings.Drawn(framing, None) in of_framing, framing
        breaks = {x.broken[:2] for x in of_framing if x.broken is not None}
        for place in framings.PLACES:
            for manner in framings.MANNERS[:3]:
                found = {(place, manner), (place, ENDED)} & breaks
                assert found, (framing, place, manner)
        if framing != framings.CLOSE:
            assert (framings.WITHIN, framings.ENDS_FRAMING) in breaks, framing


@then(
    'what has no length closes within a body, or between two events, only as'
    ' its process ends'
)
def check_unframed(context):
    for drawn, places in (
        (context.streams, [framings.BETWEEN]),
        (context.bodies, [framings.AFTER_HEAD, framings.WITHIN]),
    ):
        breaks = [x.broken for x in drawn if x.framing == framings.CLOSE]
        closed = [x.place for x in breaks if x and x.manner == framings.CLOSES]
        assert closed and not set(closed) & set(places), closed
        ended = {x.place for x in breaks if x and x.manner == ENDED}
        assert ended == set(places), ended


@given('a checker that knows of a request to "entry-1"')
def make_checker(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    report.trio = types.SimpleNamespace(current_time=lambda: NOW_S)
    context.add_cleanup(setattr, report, 'trio', trio)
    context.report = report.Report(folder)
    context.report.print_progress = lambda text: None
    sizes = {**SIZES, 'cold_per_s': 2}
    context.checker = checks.Checker(sizes, context.report)
    context.checker.run_counts.append({})
    context.checker.changes.record_sent(_make(1))
    context.request = _record_sent(context, ORDER, 'order-1')
    context.runner = types.SimpleNamespace(
        name='p-1',
        hall='north',
        service='plain',
        cold_until_s=0.0,
        backoff_s=0.0,
        limit_per_s=None,
    )


@given('a checker that knows of a request of the kind {name}')
def make_checker_of_kind(context, name):
    make_checker(context)
    texts = [(HERE / f'{sizes}.yaml').read_text() for sizes in WITH_CRASHES]
    kinds = [kind for text in texts for kind in yaml.safe_load(text)['kinds']]
    kind = next(kind for kind in kinds if kind['name'] == name)
    harmful = {'harmful': ['bad-read'], 'calm_s': 0}
    context.checker.harmful_parts = harmfulparts.HarmfulParts(harmful)
    context.request = _record_sent(context, kind, 'order-1')


@then('the rule on sound requests {breaks}')
def check_sound(context, breaks):
    expected = {SOUND_RULE} if breaks == 'breaks' else set()
    assert set(context.report.broken) == expected, context.report.broken


def _record_sent(context, kind, request_id):
    asked = checks.SentRequest(request_id, kind, 'entry-1', NOW_S)
    context.checker.sent_requests[request_id] = asked
    return asked


def _answer(context, status, body=b'{}', is_whole=True):
    headers = {b'x-request-id': b'order-1'}
    answer = checks.Answer(status, headers, body, is_whole, False)
    context.checker.record_answer(context.request, answer, NOW_S)


def _arrive(context, request_id=b'order-1'):
    context.checker.record_arrival(request_id, context.runner, NOW_S)


def _answer_stream(context, body):
    request = _record_sent(context, CHAT, 'order-1')
    headers = {b'x-request-id': b'order-1'}
    answer = checks.Answer(200, headers, body, True, False)
    context.checker.record_answer(request, answer, NOW_S)


def _events(first, last):
    return b''.join(checks.EVENT % n for n in range(first, last + 1))


@when(
    'it is answered with a stream that ends after {sent:g} of {count:d} events'
)
def answer_short_stream(context, sent, count):
    whole, half = int(sent), sent % 1
    cut = (checks.EVENT % (whole + 1))[:9] if half else b''
    _answer_stream(context, _events(1, whole) + cut)


@when('it is answered with a stream with one of its events twice')
def answer_repeated_event(context):
    _answer_stream(context, _events(1, 5) + _events(5, 12))


@when('its runner sends a whole answer and it is answered with 502')
def lose_answer(context):
    _arrive(context)
    context.checker.record_whole(b'order-1', context.runner)
    _answer(context, 502)


@when('it has run and is answered with 503')
def answer_503_after_run(context):
    context.checker.run_counts[0][b'order-1'] = 1
    _answer(context, 503)


@when('it has run twice')
def run_twice(context):
    context.checker.run_counts[0][b'order-1'] = 2
    context.checker.sweep(NOW_S, 0, [])


@when('it is answered with 200 and the path of another request')
def answer_with_other_path(context):
    _answer(context, 200, b'{"path": "/order/order-2"}')


@when('a request that no caller sent arrives')
def arrive_unknown(context):
    _arrive(context, b'order-9')


@when('it is answered with 404')
def answer_404(context):
    _answer(context, 404)


@when("it arrives {over_s:d} s after the hall of its runner was drained")
def arrive_at_drained_hall(context, over_s):
    context.checker.out_of_service_s['north'] = NOW_S - over_s
    _arrive(context)


@when('9 safe requests arrive at a cold runner limited to 2 per second')
def arrive_at_cold_runner(context):
    context.runner.cold_until_s = NOW_S + 1
    for number in range(9):
        _record_sent(context, READ, f'read-{number}')
        _arrive(context, b'read-%d' % number)


@when('it arrives 40 times')
def arrive_repeatedly(context):
    for _ in range(40):
        _arrive(context)
    context.checker.sweep(NOW_S, 0, [])


@when('version 2 is read after 3 was acknowledged')
def read_older(context):
    context.checker.record_read(3, 2, b'')


@when('version 2 is read twice with different contents')
def read_different_contents(context):
    context.checker.record_read(2, 2, b'a')
    context.checker.record_read(2, 2, b'b')


@when('its entry serves version 3 and later does not')
def lose_version(context):
    context.checker.sent_version = 3
    context.checker.record_probe('entry-1', 1, 3, True)
    context.checker.record_probe('entry-1', 1, 3, False)


@when('its entry stops, and its answer is cut after it arrived')
def cut_answer_during_stop(context):
    context.checker.stop_requested_s['entry-1'] = NOW_S - 1
    _arrive(context)
    _answer(context, 0, is_whole=False)


@when('3 safe requests arrive 1 s into a backoff of 3 s')
def arrive_during_backoff(context):
    context.runner.backoff_s = 3.0
    context.checker.record_announcement(b'order-1', context.runner, NOW_S - 1)
    for number in range(3):
        _record_sent(context, READ, f'read-{number}')
        _arrive(context, b'read-%d' % number)


@when('12 safe requests arrive 1 s after a limit of 1 a second')
def arrive_over_limit(context):
    context.runner.limit_per_s = 1.0
    context.checker.record_limit(b'order-1', context.runner, 1.0, NOW_S - 1)
    for number in range(12):
        assert not context.report.broken, number
        _record_sent(context, READ, f'read-{number}')
        _arrive(context, b'read-%d' % number)


@when('it arrives 3 s after its runner announced that it leaves')
def arrive_at_leaving_runner(context):
    context.runner.is_leaving = True
    context.checker.record_announcement(b'order-1', context.runner, NOW_S - 4)
    answer = checks.Answer(503, {}, b'{}', True, False)
    context.checker.record_answer(context.request, answer, NOW_S - 3)
    _arrive(context)


@when('a request crashes 3 runners, and 4 more 5 s later')
def crash_runners(context):
    context.checker.crashes_s += [NOW_S - 9] * 3 + [NOW_S - 4] * 4
    context.checker.sweep(NOW_S, 0, [])


@when('a part crashes 5 runners, and reaches 4 more 5 s later')
def crash_runners_by_part(context):
    known = context.checker.harmful_parts
    known.crashes_s[b'bad'] += [NOW_S - 9] * 5
    for _ in range(4):
        context.checker.record_harmful(b'bad', b'order-1', NOW_S - 4)
    context.checker.sweep(NOW_S, 0, [])


@when('it is answered with 502 and the code of a quarantined part')
def answer_held_back(context):
    body = json.dumps({'error': {'code': harmfulparts.QUARANTINED_CODE}})
    answer = checks.Answer(502, {}, body.encode(), True, False)
    context.checker.record_answer(context.request, answer, NOW_S)
    context.checker.finish(1, 1, NOW_S - 1)


@when('a forward pass runs with two maps')
def run_pass_with_two_maps(context):
    context.checker.sweep(NOW_S, 1, [])


@when('a process takes {taken_mb:g} MB of {most_mb:g}')
def take_memory(context, taken_mb, most_mb):
    context.checker.record_memory('entry-1', most_mb, most_mb)
    assert not context.report.broken, context.report.broken
    context.checker.record_memory('entry-1', taken_mb, most_mb)


@when('a process ends unexpectedly')
def end_process(context):
    context.checker.sweep(NOW_S, 0, ['entry-1'])


@when('the metrics of an entry count a malformed message')
def count_malformed(context):
    counted = metrics.Metrics(None)
    counted.incr('message.malformed')

    async def ask(address, path):
        return 200, counted.text().encode()

    system = types.SimpleNamespace(ask=ask)
    rolled = rolls.Rolls(system, None, context.report)
    trio.run(rolled.check_messages, 'entry-1', '127.0.0.1:1')


@when('a process starts on the old build instead of the new one')
def start_old(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    (folder / 'entry-1.log').write_text('{"message": "started"}\n')
    system = types.SimpleNamespace(
        folder=folder, by_name=['entry-1'], on_old_build=set()
    )
    rolls.Rolls(system, None, context.report).check_builds()


@then('the rule "{rule}" is broken')
def check_broken(context, rule):
    assert set(context.report.broken) == {rule}, context.report.broken


# Changes of the routes.


CHANGING = {**SIZES, 'others': 2, 'slows': 1}


def _make(version, variant=''):
    return documents.make(CHANGING, version, variant).meaning


def _put(context, versions, age_s=10.0):
    """Record changes that were acknowledged a while ago."""
    for version in versions:
        context.checker.changes.record_sent(_make(version))
        at_s = NOW_S - age_s
        context.checker.changes.record_reply(_make(version), 200, at_s)


def _seen(route, **fields):
    kind = {**READ, 'name': route, **fields}
    return checks.SentRequest('read-1', kind, 'entry-4', NOW_S, 1).seen


@when('{age_s:g} s after an acknowledged change its route is refused')
def refuse_changed(context, age_s):
    _put(context, [1, 2], age_s)
    context.checker.changes.record_denied(_seen('at-2'), 404)


@when('{age_s:g} s after an acknowledged change a dropped key is taken')
def take_dropped_key(context, age_s):
    _put(context, [1, 2, 3], age_s)
    seen = _seen('keyed', key=documents.key(1))
    context.checker.changes.record_run(seen, 'plain', NOW_S)


@when('{age_s:g} s after a change had an effect its route is refused')
def refuse_after_effect(context, age_s):
    changes = context.checker.changes
    _put(context, [1, 2], 0.5)
    changes.record_run(_seen('at-2'), 'plain', NOW_S - age_s)
    changes.record_denied(_seen('at-2'), 404)


@when('a route of a refused change is run')
def run_refused(context):
    _put(context, [1])
    refused = _make(2, 'raced')
    context.checker.changes.record_sent(refused)
    context.checker.changes.record_reply(refused, 409, NOW_S)
    context.checker.changes.record_run(_seen('raced'), 'plain', NOW_S)


@when('a route sent later under an acknowledged version is run')
def run_other_content(context):
    _put(context, [1])
    context.checker.changes.record_sent(_make(1, 'altered'))
    context.checker.changes.record_run(_seen('altered'), 'plain', NOW_S)


def _operator(context, status, body):
    """Return an operator whose calls have one answer."""

    async def ask(*args):
        return status, body

    system = types.SimpleNamespace(
        sizes=CHANGING, ask=ask, address=lambda kind: ''
    )
    caller = types.SimpleNamespace(system=system, checker=context.checker)
    return operators.Operator(caller, context.report.note)


@when('an invalid change is acknowledged')
def acknowledge_invalid(context):
    order = schedule.Order('invalid', 0.0, 1)
    operator = _operator(context, 200, b'[0]')
    operator.read = trio.lowlevel.checkpoint
    trio.run(operator.carry_out, order)


@when('a change is read back with other content')
def read_other_content(context):
    _put(context, [1])
    answer = documents.make(CHANGING, 1, 'altered').source
    trio.run(_operator(context, 200, answer).read)


@when('{served:d} of {count:d} requests on an added route are served')
def serve_few(context, served, count):
    changes = context.checker.changes
    for number in range(count):
        changes.record_outcome(_seen('read'), False, True)
        changes.record_outcome(_seen('at-2'), True, number < served)
    changes.finish()


@when(
    '{late:d} of {count:d} requests wait {over_s:g} s beyond the timeout of'
    ' their route'
)
def wait_beyond_timeout(context, late, count, over_s):
    changes = context.checker.changes
    for number in range(count):
        took_s = 0.7 + (over_s if number < late else 0.0)
        changes.record_wait(_seen('patience'), 0.7, took_s)
    changes.finish()


@when('it arrives {over_s:g} s after the drain of its runner was acknowledged')
def arrive_at_drained_runner(context, over_s):
    context.runner.state = 'draining'
    context.checker.record_heartbeat(
        context.runner, {'state': 'draining'}, 'entry-2', NOW_S - over_s
    )
    _arrive(context)


@when('the checker knows of {faults}')
def know_faults(context, faults):
    names = [f'entry-{number}' for number in range(3)]
    context.touch = touch.Touch(SIZES, names)
    faulted = re.findall(r'\w+-\d', faults)
    context.touch.begin(faulted, NOW_S - 12)
    ended = re.search(r'until ([\d.]+) s', faults)
    if ended:
        context.touch.end(faulted, NOW_S - float(ended[1]))


@then('a change must be in force at "{entry}" within {bound_s:g} s')
def check_bound(context, entry, bound_s):
    found = context.touch.apply_bound_s(entry, NOW_S)
    assert found == bound_s, found
