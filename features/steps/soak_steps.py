# SPDX-License-Identifier: Apache-2.0

"""Steps on the fault soak: its plans, its checks, and one short run."""

import json
import pathlib
import subprocess
import sys
import tempfile
import types

from behave import given, then, when
import trio
import yaml

from tools.soak import checks, report, schedule

HERE = pathlib.Path('tools/soak')
SIZES = yaml.safe_load((HERE / 'sizes.yaml').read_text())
READ = next(k for k in SIZES['kinds'] if k['name'] == 'read')
ORDER = next(k for k in SIZES['kinds'] if k['name'] == 'order')
#: Time of the scenarios of the checker.
NOW_S = 1000.0


@then('the plans of seeds 1, 1 and 2 are the same, the same and another')
def check_plans(context):
    first, again, other = (schedule.draw(n, SIZES, 120) for n in (1, 1, 2))
    assert first == again
    assert first.faults != other.faults and first.orders != other.orders


@when('seed {seed:d} is played for half a minute on a few processes')
def play(context, seed):
    context.folder = tempfile.mkdtemp()
    command = [sys.executable, '-m', 'tools.soak', 'run', '--seed', str(seed)]
    command += ['--minutes', '0.5', '--sizes', str(HERE / 'short.yaml')]
    command += ['--out', context.folder]
    context.done = subprocess.run(
        command, capture_output=True, text=True, timeout=120
    )


@then('no rule is broken, and these were checked')
def check_run(context):
    assert context.done.returncode == 0, context.done.stderr[-3000:]
    verdict = json.loads(context.done.stdout)
    rules = {row['rule'] for row in context.table}
    assert rules <= set(verdict['checked']), verdict


@then('no process of the run is left')
def check_left(context):
    found = []
    for each in pathlib.Path('/proc').glob('[0-9]*/cmdline'):
        try:
            if context.folder.encode() in each.read_bytes():
                found.append(each.parent.name)
        except OSError:
            continue  # it has ended meanwhile
    assert not found, found


@given('a checker that knows of a request to "entry-1"')
def make_watch(context):
    folder = pathlib.Path(tempfile.mkdtemp())
    report.trio = types.SimpleNamespace(current_time=lambda: NOW_S)
    context.add_cleanup(setattr, report, 'trio', trio)
    context.report = report.Report(folder)
    context.report.print_progress = lambda text: None
    sizes = {**SIZES, 'cold_per_s': 2}
    context.checker = checks.Checker(sizes, context.report)
    context.checker.run_counts.append({})
    context.request = _ask(context, ORDER, 'order-1')
    context.runner = types.SimpleNamespace(
        name='p-1',
        hall='north',
        service='plain',
        cold_until_s=0.0,
        backoff_s=0.0,
    )


def _ask(context, kind, request_id):
    asked = checks.SentRequest(request_id, kind, 'entry-1', NOW_S)
    context.checker.sent_requests[request_id] = asked
    return asked


def _answer(context, status, body=b'{}', whole=True):
    named = {b'x-request-id': b'order-1'}
    answer = checks.Answer(status, named, body, whole, False)
    context.checker.record_answer(context.request, answer, NOW_S)


def _arrive(context, request_id=b'order-1'):
    context.checker.record_arrival(request_id, context.runner, NOW_S)


@when('it ran and is answered 503')
def run_and_refuse(context):
    context.checker.run_counts[0][b'order-1'] = 1
    _answer(context, 503)


@when('it ran twice')
def run_twice(context):
    context.checker.run_counts[0][b'order-1'] = 2
    context.checker.sweep(NOW_S, 0, [])


@when('it is answered 200 with the path of another')
def answer_other(context):
    _answer(context, 200, b'{"path": "/order/order-2"}')


@when('a request that nobody sent arrives')
def arrive_unasked(context):
    _arrive(context, b'order-9')


@when('it is answered 404')
def deny(context):
    _answer(context, 404)


@when("it arrives {over_s:d} s after its runner's hall was taken out")
def arrive_out(context, over_s):
    context.checker.out_of_service_s['north'] = NOW_S - over_s
    _arrive(context)


@when('9 of its kind arrive at a cold runner that bears 2')
def arrive_cold(context):
    context.runner.cold_until_s = NOW_S + 1
    for number in range(9):
        _ask(context, READ, f'read-{number}')
        _arrive(context, b'read-%d' % number)


@when('it arrives 40 times')
def arrive_often(context):
    for _ in range(40):
        _arrive(context)
    context.checker.sweep(NOW_S, 0, [])


@when('version 2 is read where 3 was acknowledged')
def read_older(context):
    context.checker.record_read(3, 2, b'')


@when('version 2 is read twice with other contents')
def read_other(context):
    context.checker.record_read(2, 2, b'a')
    context.checker.record_read(2, 2, b'b')


@when('its entry serves version 3 and then has it no more')
def go_back(context):
    context.checker.sent_version = 3
    context.checker.record_probe('entry-1', 1, 3, True)
    context.checker.record_probe('entry-1', 1, 3, False)


@when('its entry stops, and it is cut after it arrived')
def stop_and_cut(context):
    context.checker.stop_requested_s['entry-1'] = NOW_S - 1
    _arrive(context)
    _answer(context, 0, whole=False)


@when('3 of its kind arrive 1 s after a rest of 3 s was asked for')
def arrive_in_rest(context):
    context.runner.backoff_s = 3.0
    context.checker.record_announcement(b'order-1', context.runner, NOW_S - 1)
    for number in range(3):
        _ask(context, READ, f'read-{number}')
        _arrive(context, b'read-%d' % number)


@when('one arrives 3 s after its runner said that it leaves')
def arrive_leaving(context):
    context.checker.record_announcement(b'order-1', context.runner, NOW_S - 3)
    _arrive(context)


@when('it has crashed 3 runners, and 4 more 5 s later')
def crash_many(context):
    context.checker.crashes_s += [NOW_S - 9] * 3 + [NOW_S - 4] * 4
    context.checker.sweep(NOW_S, 0, [])


@when('a pass has two maps')
def mix(context):
    context.checker.sweep(NOW_S, 1, [])


@when('a process ends by itself')
def end(context):
    context.checker.sweep(NOW_S, 0, ['entry-1'])


@then('the rule "{rule}" is broken')
def check_broken(context, rule):
    assert set(context.report.broken) == {rule}, context.report.broken
