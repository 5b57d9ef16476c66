# SPDX-License-Identifier: Apache-2.0

"""Steps for the quarantine of requests that crash their runners."""

import json
import socket
import types

from behave import given, then, when
from click import testing
import trio

from features.worlds import answers, crashes, system
from mountridge import cli, clitools
from mountridge.documents import instances, quarantines
from mountridge import errors, metrics
from mountridge.net import dialects, httpserver, lasthop
from mountridge.routing import backoffs, crashwatch, entryapi, partrecords
from mountridge.routing import quarantine, routedexchanges
from mountridge.state import commands, statemachine

CRASHING = b'kill all'
QUARANTINED = errors.RequestHeldBack.code


@given('{count:d} runners of {kind}')
def runners(context, count, kind):
    context.sizes = {'count': count, 'experts': 8 * (kind == 'a group')}


async def _until_quarantined(play):
    """Send a crashing request until it is refused."""
    for number in range(40):
        name = play.world.entries[number % 3]
        if await play.ask(name, CRASHING) == QUARANTINED:
            return
        await trio.sleep(1)
    raise AssertionError('never quarantined')


async def _send_others(play, per_s, span_s):
    async with trio.open_nursery() as nursery:
        for number in range(round(per_s * span_s)):
            name = play.world.entries[number % 3]
            body = b'other %d' % number
            nursery.start_soon(play.ask, name, body)
            await trio.sleep(1 / per_s)


async def _when_crashed(play, count, act):
    while len(play.crashes(CRASHING)) < count:
        await trio.sleep(0.01)
    act()


async def _during(play, case, span_s):
    if case == 'other requests run at the same time':
        await _send_others(play, 30, span_s)
    elif case == 'the leader is killed after one crash':
        # Restarted with its disk, it is a follower.
        leader = play.world.leader
        await _when_crashed(play, 1, lambda: play.world.kill(leader))
        await trio.sleep(1.5)
        play.start(leader)
    elif case == 'a gateway is partitioned after one crash':
        await _when_crashed(play, 1, lambda: play.world.isolate('e3'))
        await trio.sleep(8)
        play.world.heal('e3')


@when(
    'a crashing request is sent every {interval_s:g} s to another gateway for'
    ' {span_s:g} s, while {case}'
)
def send_crashing(context, interval_s, span_s, case):
    async def script(play):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_during, play, case, span_s)
            for number in range(round(span_s / interval_s)):
                name = play.world.entries[number % 3]
                nursery.start_soon(play.ask, name, CRASHING)
                await trio.sleep(interval_s)

    crashes.play(context, script, **context.sizes)


@then('it has crashed {least:d} to {most:d} runners')
def check_crashes(context, least, most):
    found = context.play.crashes(CRASHING)
    assert least <= len(found) <= most, found


@then('it has reached none more than {late_s:g} s after crash {most:d}')
def check_late(context, late_s, most):
    found = context.play.crashes(CRASHING)
    if len(found) >= most:
        late = [at_s for at_s in found if at_s > found[most - 1] + late_s]
        assert not late, found


@then('it is then refused at once, as final and with its own code')
def check_refused(context):
    mine = [each for each in context.play.answers if each[2] == CRASHING]
    last_s = context.play.crashes(CRASHING)[-1]
    after = [each for each in mine if each[0] - each[5] > last_s + 1]
    assert len(after) >= 5, mine
    for _, _, _, status, code, took_s in after:
        assert (status, code) == (502, QUARANTINED), after
        assert took_s < 0.1, after


@then('no other request has been refused with that code')
def check_others(context):
    answers = context.play.answers
    held = [
        each
        for each in answers
        if each[2] != CRASHING and each[4] == QUARANTINED
    ]
    assert not held, held


@then('at least {least:d} % are served')
def check_share(context, least):
    served = [each for each in context.play.answers if each[3] == 200]
    share = len(served) / len(context.play.answers)
    assert share >= least / 100, share


@when(
    'a crashing request is quarantined, all processes lose power, and it is'
    ' sent {count:d} times'
)
def quarantined_over_loss(context, count):
    async def script(play):
        await _until_quarantined(play)
        await trio.sleep(1)
        await play.lose_power()
        for number in range(count):
            await play.ask(play.world.entries[number % 3], CRASHING)

    crashes.play(context, script, **context.sizes)


def _send_others_while(context, act, per_s, span_s, interval_s):
    """Send other requests while ``act`` is applied to each runner in turn."""

    async def script(play):
        async def disturb():
            for number in range(round(span_s / interval_s)):
                act(play, list(play.runners.values())[number % 6])
                await trio.sleep(interval_s)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(disturb)
            await _send_others(play, per_s, span_s)

    crashes.play(context, script, **context.sizes)


def _crash(play, runner):
    runner.crash()
    play.world.nursery.start_soon(play.restart, runner)


def _reset(play, runner):
    runner.ended.set()
    runner.ended = trio.Event()


@when(
    '{per_s:g} other requests a second are sent for {span_s:g} s, and a'
    ' runner crashes every {interval_s:g} s'
)
def crash_each(context, per_s, span_s, interval_s):
    _send_others_while(context, _crash, per_s, span_s, interval_s)


@when(
    '{per_s:g} other requests a second are sent for {span_s:g} s, and a'
    ' runner resets its connections every {interval_s:g} s'
)
def resets(context, per_s, span_s, interval_s):
    _send_others_while(context, _reset, per_s, span_s, interval_s)


@then('no crash has been recorded')
def check_unrecorded(context):
    for app in context.play.world.processes.values():
        assert not app.metrics.counts['quarantine.crashes'], app.name
    assert any(
        app.metrics.counts['request.count']
        for app in context.play.world.processes.values()
    )


@when('a request has seen one crash, and is sent again after {later_s:g} s')
def one_crash(context, later_s):
    async def script(play):
        body = b'innocent'

        async def crash():
            await trio.sleep(0.1)
            (runner,) = [r for r in play.runners.values() if r.is_busy]
            runner.crash()
            play.world.nursery.start_soon(play.restart, runner)

        # No time is left for a retry, so that no success clears it.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash)
            await play.ask('e1', body, 250)
        await trio.sleep(later_s)
        context.codes = [await play.ask(name, body) for name in
                         play.world.entries]  # fmt: skip

    crashes.play(context, script, **context.sizes)


@when(
    '{count:d} requests are quarantined, and {released:d} of them released, in'
    ' a log'
)
def quarantine_many(context, count, released):
    context.machine = statemachine.StateMachine()
    context.digests = [b'%016d' % number for number in range(count)]
    for index, digest in enumerate(context.digests):
        command = commands.QuarantineRequest(digest, 2, float(index))
        context.machine.apply(index + 1, command)
    for number in range(released):
        digest = context.digests[-1 - number]
        command = commands.ReleaseRequest(digest, False, 0.0)
        context.machine.apply(count + 1 + number, command)


@then('the latest {count:d} are kept, and a snapshot restores them')
def check_snapshot(context, count):
    machine = context.machine
    assert len(machine.quarantine) == count
    assert list(machine.quarantine) == context.digests[100:-5]
    again = statemachine.StateMachine()
    again.restore(machine.snapshot())
    assert again.quarantine == machine.quarantine
    assert list(again.quarantine) == list(machine.quarantine)


@when(
    'a crashing request is quarantined and sent every {interval_s:g} s for'
    ' {span_s:g} s'
)
def quarantined_for_long(context, interval_s, span_s):
    async def script(play):
        await _until_quarantined(play)
        for number in range(round(span_s / interval_s)):
            await play.ask(play.world.entries[number % 3], CRASHING)
            await trio.sleep(interval_s)

    crashes.play(context, script, **context.sizes)


def _suspect(play, body):
    """Record three crashes with other causes at the first gateway."""
    first = play.world.daemons['e1'].forwarder
    request = httpserver.Request(b'POST', b'/1', [crashes.KEY], body)
    digest = first.quarantine.digest(request, None, None)
    for number in range(3):
        life = (f'i-{number}', 's', '', '', '', 1, instances.READY)
        runner = instances.Instance(*life)
        first.quarantine.record_crash(digest, runner, trio.current_time())
    return first.crashes.on_crash


@when('a request is quarantined for other crashes, and has succeeded since')
def succeeded(context):
    async def script(play):
        report = _suspect(play, b'innocent')
        # Through a gateway that has seen none of the crashes.
        assert await play.ask('e2', b'innocent') == 0
        await report()
        await trio.sleep(1)
        context.codes = [await play.ask(name, b'innocent')
                         for name in play.world.entries]  # fmt: skip

    crashes.play(context, script, **context.sizes)


@when(
    'a request is quarantined for other crashes, and is sent {later_s:g} s'
    ' later'
)
def sent_later(context, later_s):
    async def script(play):
        await _suspect(play, b'innocent')()
        # The new view was sent to all gateways before the answer.
        await trio.sleep(2 * system.LATENCY_S)
        for name in play.world.entries:
            assert await play.ask(name, b'innocent') == QUARANTINED, name
        await trio.sleep(later_s)
        context.code = await play.ask('e2', b'innocent')
        await trio.sleep(1)
        context.records = await play.world.daemons['e3'].read_quarantine()

    crashes.play(context, script, **context.sizes)


@then('it is served, and no entry of it remains')
def check_forgotten(context):
    assert context.code == 0, context.code
    assert context.records == [], context.records


@then('it is served everywhere within 1 s')
def check_served(context):
    assert context.codes == [0, 0, 0], context.codes


@given(
    'a rank that crashed while running a request that had returned {count:d}'
    ' events'
)
def crashed_rank(context, count):
    known = quarantine.Quarantine()
    known.update([quarantines.QuarantinedRequest(b'other', True, 2, 1, 0.0)])
    app = types.SimpleNamespace(
        now_s=lambda: 1.0, metrics=metrics.Metrics(None)
    )
    held_backoffs = backoffs.Backoffs()
    context.watch = crashwatch.CrashWatch(
        app,
        known,
        partrecords.PartRecords(),
        held_backoffs,
        lambda _: True,
        lambda runner: runner,
    )
    request = httpserver.Request(b'POST', b'/1', [], b'body')
    exchange = routedexchanges.Exchange(request, None, 0.0)
    exchange.request_head = dialects.read_request_head(
        request, dialects.NATIVE.headers
    )
    exchange.events_sent = count
    runner = instances.Instance('i', 's', '', '', '', 1, instances.READY)

    async def refuses_connections(address, timeout_s=None):
        return True

    pool = types.SimpleNamespace(refuses_connections=refuses_connections)
    trio.run(
        context.watch.check_attempt,
        exchange,
        runner,
        errors.BadAnswer('cut'),
        pool,
    )
    context.exchange = exchange


@then('it {may} be retried')
def check_retry(context, may):
    again = context.watch.may_retry(context.exchange, 1.0)
    assert again == (may == 'may'), again


@when('a crashing request is quarantined, and an operator releases it')
def release(context):
    async def script(play):
        await _until_quarantined(play)
        entry = play.world.daemons['e2']
        context.calls = entryapi.handlers(entry, entryapi.NATIVE).control
        context.listed = (await _call(context, b'GET', b''))['quarantine']
        target = context.listed[0]['digest'].encode() + b'/release'
        context.left = (await _call(context, b'POST', target))['quarantine']
        context.wrong = [
            (await _call(context, b'POST', other))['error']['code']
            for other in (target, b'00/release', b'zz/release')
        ]
        await trio.sleep(1)
        context.before = len(play.crashes(CRASHING))
        await play.ask('e1', CRASHING)

    crashes.play(context, script, **context.sizes)


async def _call(context, method, target):
    prefix = entryapi.NATIVE.quarantine
    request = httpserver.Request(method, prefix + target, [], b'')
    responder = answers.Responder()
    await context.calls(request, responder)
    return json.loads(responder.body)


@then(
    'it was listed, it reaches runners again, and no other digest is accepted'
)
def check_released(context):
    (listed,) = context.listed
    assert listed['is_held'] and listed['crashes'] == 2, listed
    assert context.left == [], context.left
    bad, unknown = errors.BadRequest.code, errors.NotHeldBack.code
    assert context.wrong == [unknown, bad, bad], context.wrong
    assert len(context.play.crashes(CRASHING)) > context.before


@then('the digest of a request with another {part} is different')
def check_parts(context, part):
    given_parts = {
        'method': b'POST', 'target': b'/1', 'caller': b'me', 'body': b'all'
    }  # fmt: skip
    other = given_parts | {part: given_parts[part] + b'x'}
    context.one = quarantines.digest(b'k', **given_parts)
    assert quarantines.digest(b'k', **other) != context.one
    # Bytes that move from one part to the next change the digest too.
    moved = given_parts | {'target': b'/1m', 'caller': b'e'}
    assert quarantines.digest(b'k', **moved) != context.one
    context.keyed = quarantines.digest(b'other', **given_parts)


@then('it has a fixed size, and differs under another key')
def check_keyed(context):
    assert len(context.one) == quarantines.DIGEST_BYTES
    assert context.keyed != context.one


@given('a real address that {behaviour}')
def address(context, behaviour):
    made = socket.socket()
    made.bind(('127.0.0.1', 0))
    if behaviour != 'refuses connections':
        made.listen(0)
    context.address = '127.0.0.1:%d' % made.getsockname()[1]
    context.fillers = []
    if behaviour == 'answers no packet':
        # While the accept queue is full, further packets are dropped.
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(made.getsockname())
            context.fillers.append(filler)
    context.add_cleanup(made.close)


@then('it is {reported} as one that refuses connections')
def check_refused_address(context, reported):
    async def ask():
        pool = lasthop.Pool(dialects.NATIVE.headers, trio.current_time)
        return await pool.refuses_connections(context.address)

    assert trio.run(ask) == (reported == 'reported')
    for filler in context.fillers:
        filler.close()


@when('{count:d} requests are suspect, and {good:d} succeed')
def many(context, count, good):
    context.records = quarantine.Quarantine()
    runner = instances.Instance('i', 's', '', '', '', 1, instances.READY)
    for number in range(count):
        context.records.record_crash(b's%d' % number, runner, 1.0)
    for number in range(good):
        context.records.record_success(b'g%d' % number, 2.0)
    context.last = b's%d' % (count - 1)


@then('the latest {suspects:d} and {good:d} of them are kept')
def check_bounds(context, suspects, good):
    known = context.records
    assert len(known._crashes) == suspects and len(known._success_at_s) == good
    context.report = report = known.make_report(3.0)
    assert len(report.crashes) == quarantine.MAX_REPORTED
    assert report.crashes[-1].digest == context.last


@then(
    'they are reported for {reported_s:g} s, {most:d} at a time, and count for'
    ' {counted_s:g} s'
)
def check_reported_for(context, reported_s, most, counted_s):
    known = context.records
    assert len(context.report.crashes) == most
    assert known.make_report(0.9 + reported_s) is not None
    assert known.make_report(1.1 + reported_s) is None
    runner = instances.Instance('j', 's', '', '', '', 1, instances.READY)
    known.record_crash(context.last, runner, 0.9 + counted_s)
    assert known.is_quarantined(context.last, 0.9 + counted_s)
    assert not known.is_quarantined(context.last, 1.1 + counted_s)


@given('an entry with two quarantine entries')
def entry_of_commands(context):
    listed = [
        quarantines.QuarantinedRequest(b'1' * 16, True, 2, 1, 0.0),
        quarantines.QuarantinedRequest(b'2' * 16, False, 5, 2, 0.0),
    ]
    entries = [
        each._asdict() | {'digest': each.digest.hex()} for each in listed
    ]

    def call_entry(address, method, target, body):
        context.received = f'{method.decode()} {target.decode()}'
        return json.dumps({'quarantine': entries}).encode()

    context.add_cleanup(setattr, clitools, 'call_entry', clitools.call_entry)
    clitools.call_entry = call_entry


@when('"quarantine {args}" is run on it')
def run_command(context, args):
    context.shown = testing.CliRunner().invoke(
        cli.main, ['quarantine', *args.split(), '--entry', 'there']
    )


@then('it has received {received}, and shows {shown}')
def check_command(context, received, shown):
    assert context.shown.exit_code == 0, context.shown.output
    assert context.received == received, context.received
    assert shown in ' '.join(
        context.shown.output.split()
    ), context.shown.output
