# SPDX-License-Identifier: Apache-2.0

"""Steps on requests that crash their runners."""

import json
import socket
import types

from behave import given, then, when
from click import testing
import trio

from features.worlds import answers, crashes
from mountridge import cli, clitools
from mountridge.documents import instances, quarantines
from mountridge import errors, metrics
from mountridge.net import dialects, httpserver, lasthop
from mountridge.routing import backoffs, crashwatch, entryapi, quarantine
from mountridge.routing import routedexchanges
from mountridge.state import commands, statemachine

KILLER = b'kill all'
HELD = errors.RequestHeldBack.code


@given('{count:d} runners of {kind}')
def runners(context, count, kind):
    context.sizes = {'count': count, 'experts': 8 * (kind == 'a group')}


async def _until_held(play):
    """Send a killer until it is refused; callers come again by themselves."""
    for number in range(40):
        name = play.world.entries[number % 3]
        if await play.ask(name, KILLER) == HELD:
            return
        await trio.sleep(1)
    raise AssertionError('never held back')


async def _others(play, per_s, span_s):
    async with trio.open_nursery() as nursery:
        for number in range(round(per_s * span_s)):
            name = play.world.entries[number % 3]
            body = b'other %d' % number
            nursery.start_soon(play.ask, name, body)
            await trio.sleep(1 / per_s)


async def _when_crashed(play, count, act):
    while len(play.crashes(KILLER)) < count:
        await trio.sleep(0.01)
    act()


async def _during(play, case, span_s):
    if case == 'others run beside it':
        await _others(play, 30, span_s)
    elif case == 'the leader is killed after one':
        # On a disk of its own; it comes back as a follower.
        leader = play.world.leader
        await _when_crashed(play, 1, lambda: play.world.kill(leader))
        await trio.sleep(1.5)
        play.start(leader)
    elif case == 'a gateway is cut off after one':
        await _when_crashed(play, 1, lambda: play.world.cut_off('e3'))
        await trio.sleep(8)
        play.world.heal('e3')


@when(
    'a killer comes each {rest_s:g} s at another gateway for {span_s:g} s,'
    ' while {case}'
)
def killer_comes(context, rest_s, span_s, case):
    async def script(play):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_during, play, case, span_s)
            for number in range(round(span_s / rest_s)):
                name = play.world.entries[number % 3]
                nursery.start_soon(play.ask, name, KILLER)
                await trio.sleep(rest_s)

    crashes.play(context, script, **context.sizes)


@then('it has crashed {least:d} to {most:d} runners')
def check_crashes(context, least, most):
    found = context.play.crashes(KILLER)
    assert least <= len(found) <= most, found


@then(
    'it has reached none later than {late_s:g} s after it was the {most:d}th'
    ' time'
)
def check_late(context, late_s, most):
    found = context.play.crashes(KILLER)
    if len(found) >= most:
        late = [at_s for at_s in found if at_s > found[most - 1] + late_s]
        assert not late, found


@then('it is then refused at once, finally and with its own code')
def check_refused(context):
    mine = [each for each in context.play.answers if each[2] == KILLER]
    last_s = context.play.crashes(KILLER)[-1]
    after = [each for each in mine if each[0] - each[5] > last_s + 1]
    assert len(after) >= 5, mine
    for _, _, _, status, code, took_s in after:
        assert (status, code) == (502, HELD), after
        assert took_s < 0.1, after


@then('no other request has been refused with that code')
def check_others(context):
    answers = context.play.answers
    held = [each for each in answers if each[2] != KILLER and each[4] == HELD]
    assert not held, held


@then('at least {least:d} in 100 are served')
def check_share(context, least):
    served = [each for each in context.play.answers if each[3] == 200]
    share = len(served) / len(context.play.answers)
    assert share >= least / 100, share


@when(
    'a killer is held back, all processes lose power, and it comes {count:d}'
    ' times'
)
def held_over_loss(context, count):
    async def script(play):
        await _until_held(play)
        await trio.sleep(1)
        await play.lose_power()
        for number in range(count):
            await play.ask(play.world.entries[number % 3], KILLER)

    crashes.play(context, script, **context.sizes)


def _others_while(context, act, per_s, span_s, rest_s):
    """Send other requests while ``act`` is done to each runner in turn."""

    async def script(play):
        async def disturb():
            for number in range(round(span_s / rest_s)):
                act(play, list(play.runners.values())[number % 6])
                await trio.sleep(rest_s)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(disturb)
            await _others(play, per_s, span_s)

    crashes.play(context, script, **context.sizes)


def _crash(play, runner):
    runner.crash()
    play.world.nursery.start_soon(play.back, runner)


def _reset(play, runner):
    runner.ended.set()
    runner.ended = trio.Event()


@when(
    '{per_s:g} other requests a second come for {span_s:g} s, and a runner'
    ' crashes each {rest_s:g} s'
)
def crash_by_itself(context, per_s, span_s, rest_s):
    _others_while(context, _crash, per_s, span_s, rest_s)


@when(
    '{per_s:g} other requests a second come for {span_s:g} s, and one resets'
    ' each {rest_s:g} s'
)
def resets(context, per_s, span_s, rest_s):
    _others_while(context, _reset, per_s, span_s, rest_s)


@then('no crash has been counted')
def check_uncounted(context):
    for app in context.play.world.processes.values():
        assert not app.metrics.counts['quarantine.crashes'], app.name
    assert any(
        app.metrics.counts['request.count']
        for app in context.play.world.processes.values()
    )


@when('a request has met one crash, and comes again after {later_s:g} s')
def one_crash(context, later_s):
    async def script(play):
        body = b'innocent'

        async def crash():
            await trio.sleep(0.1)
            (runner,) = [r for r in play.runners.values() if r.is_busy]
            runner.crash()
            play.world.nursery.start_soon(play.back, runner)

        # Its second try has no time left, so that no good end clears it.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(crash)
            await play.ask('e1', body, 250)
        await trio.sleep(later_s)
        context.codes = [await play.ask(name, body) for name in
                         play.world.entries]  # fmt: skip

    crashes.play(context, script, **context.sizes)


@when(
    '{count:d} requests are held back, and {freed:d} of them released, in a'
    ' log'
)
def hold_many(context, count, freed):
    context.machine = statemachine.StateMachine()
    context.digests = [b'%016d' % number for number in range(count)]
    for index, digest in enumerate(context.digests):
        command = commands.QuarantineRequest(digest, 2, float(index))
        context.machine.apply(index + 1, command)
    for number in range(freed):
        digest = context.digests[-1 - number]
        command = commands.ReleaseRequest(digest, False, 0.0)
        context.machine.apply(count + 1 + number, command)


@then('{count:d} are kept, the latest ones, and a snapshot gives the same')
def check_snapshot(context, count):
    machine = context.machine
    assert len(machine.quarantine) == count
    assert list(machine.quarantine) == context.digests[100:-5]
    again = statemachine.StateMachine()
    again.restore(machine.snapshot())
    assert again.quarantine == machine.quarantine
    assert list(again.quarantine) == list(machine.quarantine)


@when('a killer is held back and comes each {rest_s:g} s for {span_s:g} s')
def held_for_long(context, rest_s, span_s):
    async def script(play):
        await _until_held(play)
        for number in range(round(span_s / rest_s)):
            await play.ask(play.world.entries[number % 3], KILLER)
            await trio.sleep(rest_s)

    crashes.play(context, script, **context.sizes)


def _suspect(play, body):
    """Let the first gateway see three crashes that others have caused."""
    first = play.world.parts['e1'].forwarder
    request = httpserver.Request(b'POST', b'/1', [crashes.KEY], body)
    digest = first.quarantine.digest(request, None, None)
    for number in range(3):
        life = (f'i-{number}', 's', '', '', '', 1, instances.READY)
        runner = instances.Instance(*life)
        first.quarantine.crashed(digest, runner, trio.current_time())
    return first.crashes.on_crash


@when('a request is held back for crashes of others, and has ended well since')
def ended_well(context):
    async def script(play):
        tell = _suspect(play, b'innocent')
        # At a gateway that has seen none of the crashes.
        assert await play.ask('e2', b'innocent') == 0
        await tell()
        await trio.sleep(1)
        context.codes = [await play.ask(name, b'innocent')
                         for name in play.world.entries]  # fmt: skip

    crashes.play(context, script, **context.sizes)


@when(
    'a request is held back for crashes of others, and is tried {later_s:g} s'
    ' later'
)
def tried_later(context, later_s):
    async def script(play):
        await _suspect(play, b'innocent')()
        assert await play.ask('e2', b'innocent') == HELD
        await trio.sleep(later_s)
        context.code = await play.ask('e2', b'innocent')
        await trio.sleep(1)
        context.known = await play.world.parts['e3'].read_quarantine()

    crashes.play(context, script, **context.sizes)


@then('it is served, and nothing is known of it any more')
def check_forgotten(context):
    assert context.code == 0, context.code
    assert context.known == [], context.known


@then('it is served everywhere within 1 s')
def check_free(context):
    assert context.codes == [0, 0, 0], context.codes


@given('a rank that crashed under a request which had shown {count:d} events')
def crashed_rank(context, count):
    known = quarantine.Quarantine()
    known.follow([quarantines.Held(b'other', True, 2, 1, 0.0)])
    app = types.SimpleNamespace(
        now_s=lambda: 1.0, metrics=metrics.Metrics(None)
    )
    words = backoffs.Backoffs()
    context.watch = crashwatch.CrashWatch(app, known, words, lambda _: True)
    request = httpserver.Request(b'POST', b'/1', [], b'body')
    exchange = routedexchanges.Exchange(request, None, 0.0)
    exchange.call = dialects.read_call(request, dialects.NATIVE.headers)
    exchange.events_sent = count
    runner = instances.Instance('i', 's', '', '', '', 1, instances.READY)

    async def is_refused(address):
        return True

    pool = types.SimpleNamespace(is_refused=is_refused)
    trio.run(
        context.watch.look, exchange, runner, errors.BadAnswer('cut'), pool
    )
    context.exchange = exchange


@then('it {may} be tried again')
def check_again(context, may):
    again = context.watch.may_try_again(context.exchange, 1.0)
    assert again == (may == 'may'), again


@when('a killer is held back, and an operator releases it')
def release(context):
    async def script(play):
        await _until_held(play)
        entry = play.world.parts['e2']
        context.calls = entryapi.handlers(entry, entryapi.NATIVE).control
        context.listed = (await _call(context, b'GET', b''))['quarantine']
        target = context.listed[0]['digest'].encode() + b'/release'
        context.left = (await _call(context, b'POST', target))['quarantine']
        context.wrong = [
            (await _call(context, b'POST', other))['error']['code']
            for other in (target, b'00/release', b'zz/release')
        ]
        await trio.sleep(1)
        context.before = len(play.crashes(KILLER))
        await play.ask('e1', KILLER)

    crashes.play(context, script, **context.sizes)


async def _call(context, method, target):
    prefix = entryapi.NATIVE.quarantine
    request = httpserver.Request(method, prefix + target, [], b'')
    responder = answers.Responder()
    await context.calls(request, responder)
    return json.loads(responder.body)


@then('it was listed, it reaches runners again, and no other digest is taken')
def check_released(context):
    (listed,) = context.listed
    assert listed['is_held'] and listed['crashes'] == 2, listed
    assert context.left == [], context.left
    bad, unknown = errors.BadRequest.code, errors.NotHeldBack.code
    assert context.wrong == [unknown, bad, bad], context.wrong
    assert len(context.play.crashes(KILLER)) > context.before


@then('the digest of a request with another {part} is another one')
def check_parts(context, part):
    given_parts = {
        'method': b'POST', 'target': b'/1', 'caller': b'me', 'body': b'all'
    }  # fmt: skip
    other = given_parts | {part: given_parts[part] + b'x'}
    context.one = quarantines.digest(b'k', **given_parts)
    assert quarantines.digest(b'k', **other) != context.one
    # What moves from one part to the next is another request too.
    moved = given_parts | {'target': b'/1m', 'caller': b'e'}
    assert quarantines.digest(b'k', **moved) != context.one
    context.keyed = quarantines.digest(b'other', **given_parts)


@then('it tells no byte of the request, and is another one under another key')
def check_keyed(context):
    assert len(context.one) == quarantines.DIGEST_BYTES
    assert context.keyed != context.one


@given('a real address that {sign}')
def address(context, sign):
    made = socket.socket()
    made.bind(('127.0.0.1', 0))
    if sign != 'refuses the next':
        made.listen(0)
    context.address = '127.0.0.1:%d' % made.getsockname()[1]
    context.fillers = []
    if sign == 'answers no packet':
        # With a full queue of connections the next packet is dropped.
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(made.getsockname())
            context.fillers.append(filler)
    context.add_cleanup(made.close)


@then('it is {told} as one that refuses connections')
def check_told_refused(context, told):
    async def ask():
        pool = lasthop.Pool(dialects.NATIVE.headers, trio.current_time)
        return await pool.is_refused(context.address)

    assert trio.run(ask) == (told == 'told')
    for filler in context.fillers:
        filler.close()


@when('{count:d} requests are suspect, and {good:d} end well')
def many(context, count, good):
    context.known = quarantine.Quarantine()
    runner = instances.Instance('i', 's', '', '', '', 1, instances.READY)
    for number in range(count):
        context.known.crashed(b's%d' % number, runner, 1.0)
    for number in range(good):
        context.known.ended_well(b'g%d' % number, 2.0)
    context.last = b's%d' % (count - 1)


@then(
    'no more than {suspects:d} and {good:d} of them are kept, the latest ones'
)
def check_bounds(context, suspects, good):
    known = context.known
    assert len(known._crashes) == suspects and len(known._good_s) == good
    context.told = report = known.report(3.0)
    assert len(report.crashes) == quarantine.MOST_TOLD
    assert report.crashes[-1].digest == context.last


@then(
    'they are told for {told_s:g} s, {most:d} at a time, and count for {s:g} s'
)
def check_told_for(context, told_s, most, s):
    known = context.known
    assert len(context.told.crashes) == most
    assert known.report(0.9 + told_s) is not None
    assert known.report(1.1 + told_s) is None
    runner = instances.Instance('j', 's', '', '', '', 1, instances.READY)
    known.crashed(context.last, runner, 0.9 + s)
    assert known.is_held(context.last, 0.9 + s)
    assert not known.is_held(context.last, 1.1 + s)


@given('an entry that answers commands and knows two requests')
def entry_of_commands(context):
    listed = [
        quarantines.Held(b'1' * 16, True, 2, 1, 0.0),
        quarantines.Held(b'2' * 16, False, 5, 2, 0.0),
    ]
    told = [each._asdict() | {'digest': each.digest.hex()} for each in listed]

    def call_entry(address, method, target, body):
        context.asked = f'{method.decode()} {target.decode()}'
        return json.dumps({'quarantine': told}).encode()

    context.add_cleanup(setattr, clitools, 'call_entry', clitools.call_entry)
    clitools.call_entry = call_entry


@when('"quarantine {args}" is run on it')
def run_command(context, args):
    context.shown = testing.CliRunner().invoke(
        cli.main, ['quarantine', *args.split(), '--entry', 'there']
    )


@then('it has been asked for {asked}, and shows {shown}')
def check_command(context, asked, shown):
    assert context.shown.exit_code == 0, context.shown.output
    assert context.asked == asked, context.asked
    assert shown in ' '.join(
        context.shown.output.split()
    ), context.shown.output
