# SPDX-License-Identifier: Apache-2.0

"""Steps on backoffs that runners request, on virtual time."""

import json
import math
import random

from behave import given, then, when
import trio

from features.worlds import rests, system
from mountridge import errors
from mountridge.net import dialects
from mountridge.routing import backends, backoffs
from mountridge.routing import sendgates

LEAVING = rests.Answer(200, ((b'X-Leaving', b'1'),))


def _backing_off(span_s):
    headers = ((b'X-Not-Run', b'1'), (b'Retry-After', b'%g' % span_s))
    return rests.Answer(503, headers)


def _runners(context):
    return list(context.world.runners.values())


@given('{gateways:d} gateways and {ranks:d} ranks of one group')
def one_group(context, gateways, ranks):
    context.world = rests.World(gateways, ranks)


@given(
    '{gateways:d} gateways and {ranks:d} ranks of one group, and requests with'
    ' {attempts:d} attempt'
)
def limited_attempts(context, gateways, ranks, attempts):
    context.world = rests.World(gateways, ranks, attempts)


@when(
    '{per_s:g} requests a second arrive for {span_s:g} s, and {count:d} ranks'
    ' request a backoff of {backoff_s:g} s from {from_s:g} to {to_s:g} s'
)
def load_and_back_off(context, per_s, span_s, from_s, to_s, count, backoff_s):
    world = context.world
    chosen = _runners(context)[:count]

    async def refuse():
        await trio.sleep(from_s)
        for runner in chosen:
            runner.answer = _backing_off(backoff_s)
        await trio.sleep(to_s - from_s)
        for runner in chosen:
            runner.answer = rests.Answer()

    async def script():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(refuse)
            await world.load(per_s, span_s)

    world.play(script)
    assert any(runner.backoffs for runner in chosen)


@when(
    '{per_s:g} requests a second arrive for {span_s:g} s, and a rank'
    ' announces it from {from_s:g} s on'
)
def load_and_leave(context, per_s, span_s, from_s):
    world = context.world

    async def leave():
        await trio.sleep(from_s)
        _runners(context)[0].answer = LEAVING

    async def script():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leave)
            await world.load(per_s, span_s)

    world.play(script)


async def _lose_registration(world, runner, lost_s):
    world.update_registrations(without=(runner.instance.instance_id,))
    await trio.sleep(lost_s)
    world.update_registrations()


@when(
    'a rank requests a backoff of {backoff_s:g} s and its registration is lost'
    ' for {lost_s:g} s'
)
def back_off_and_lose(context, backoff_s, lost_s):
    world = context.world
    runner = _runners(context)[0]

    async def script():
        runner.answer = _backing_off(backoff_s)
        while not runner.backoffs:
            await world.ask('g0')
        await _lose_registration(world, runner, lost_s)
        await world.load(20, backoff_s)

    world.play(script)


@when(
    'a rank announces that it leaves and its registration is lost'
    ' for {lost_s:g} s'
)
def leave_and_lose(context, lost_s):
    world = context.world
    runner = _runners(context)[0]

    async def script():
        runner.answer = LEAVING
        while not runner.arrivals:
            await world.ask('g0')
        await _lose_registration(world, runner, lost_s)
        await world.load(20, 3)

    world.play(script)


@when('a rank {announces}, and its registration times out and returns')
def announce_and_return(context, announces):
    world = context.world
    runner = _runners(context)[0]
    runner.instance = runner.instance._replace(born_ms=5)

    async def script():
        is_leaving = announces == 'announces that it leaves'
        runner.answer = LEAVING if is_leaving else _backing_off(30.0)
        while not runner.arrivals:
            await world.ask('g0')
        await _lose_registration(world, runner, 0.5)
        lives = runner.instance.lives + 1
        runner.instance = runner.instance._replace(lives=lives)
        world.update_registrations()
        context.before = len(runner.arrivals)
        await world.load(20, 3)

    world.play(script)


@then('that rank gets nothing more')
def check_nothing_more(context):
    runner = _runners(context)[0]
    assert len(runner.arrivals) == context.before, runner.arrivals


@when(
    'a rank requests a backoff of {backoff_s:g} s and restarts'
    ' after {at_s:g} s'
)
def back_off_and_restart(context, backoff_s, at_s):
    world = context.world
    context.later = rests.Runner(0, incarnation=2)

    async def script():
        _runners(context)[0].answer = _backing_off(backoff_s)
        await world.ask('g0')
        await trio.sleep(at_s)
        world.put_runner(context.later)
        world.update_registrations()
        await trio.sleep(2 * rests.REPORT_S)
        await world.ask('g0')

    world.play(script)


@then('its new incarnation gets the next request')
def check_new_incarnation(context):
    assert len(context.later.arrivals) == 1, context.later.arrivals


@then('no gateway has sent more than {most:d} requests during a backoff')
def check_backoffs(context, most):
    found = [runner.most_during_backoff() for runner in _runners(context)]
    assert max(found) <= most, found


@then('all requests are served')
def check_served(context):
    refused = context.world.refused()
    assert not refused, f'{len(refused)} of {len(context.world.answers)}'


@then('no gateway has sent it any request later than {late_s:g} s after that')
def check_leaving(context, late_s):
    runner = _runners(context)[0]
    assert runner.leaving_since_s
    for gateway, announced_s in runner.leaving_since_s.items():
        mine = [each for each in runner.arrivals if each.gateway == gateway]
        late = [each for each in mine if each.at_s > announced_s + late_s]
        assert not late, late


@when(
    'both request a backoff of {left_s:g} s and then accept requests,'
    ' and one arrives'
)
def all_back_off(context, left_s):
    world = context.world

    async def script():
        for runner in _runners(context):
            runner.answer = _backing_off(left_s)
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(world.ask, 'g0')
            await trio.sleep(0.05)
            assert all(runner.backoffs for runner in _runners(context))
            for runner in _runners(context):
                runner.answer = rests.Answer()
            begun_s = trio.current_time()
            context.answer = await world.ask('g0')
            context.took_s = trio.current_time() - begun_s

    world.play(script)


@then('it is answered {status:d}, {least_s:g} to {most_s:g} s later')
def check_waited(context, status, least_s, most_s):
    assert context.answer.status == status, context.answer.body
    assert least_s <= context.took_s <= most_s, context.took_s
    if status == 503:
        error = json.loads(context.answer.body)['error']
        assert error['code'] == errors.RunnersResting.code, error
        back_s = float(context.answer.headers[b'Retry-After'])
        assert 3.8 < back_s < 6.0, back_s


@when(
    '{count:d} requests wait {wait_s:g} s for a connection, and a rank'
    ' requests a backoff of {backoff_s:g} s'
)
def wait_and_back_off(context, count, wait_s, backoff_s):
    world = context.world
    runner = _runners(context)[0]

    async def script():
        runner.answer = _backing_off(backoff_s)
        _runners(context)[1].connect_s = 0.01
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(world.ask, 'g0')
                # The first is refused while the others wait.
                await trio.sleep(0.001)
                runner.connect_s = wait_s

    world.play(script)


@then('that rank gets {count:d} of them')
def check_arrived(context, count):
    arrivals = _runners(context)[0].arrivals
    assert len(arrivals) == count, arrivals


@when(
    'it repeatedly requests a backoff of {backoff_s:g} s,'
    ' with a latency of 0.8 s'
)
def back_off_repeatedly(context, backoff_s):
    world = context.world
    runner = _runners(context)[0]

    async def script():
        runner.answer = _backing_off(backoff_s)
        await world.ask('g0')
        runner.latency_s = 0.8
        await world.load(20, 8)

    world.play(script)
    assert len(runner.backoffs) > 2, runner.backoffs


@when(
    'it accepts a long request, requests a backoff of {backoff_s:g} s, and'
    ' {count:d} arrive after {at_s:g} s'
)
def serve_and_back_off(context, backoff_s, count, at_s):
    world = context.world
    runner = _runners(context)[0]

    async def script():
        runner.service_s = 3.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.ask, 'g0', 5000)
            await trio.sleep(0.5)
            runner.answer = _backing_off(backoff_s)
            await world.ask('g0')
            runner.answer, runner.service_s = rests.Answer(), rests.SERVICE_S
            await trio.sleep(at_s)
            for _ in range(count):
                nursery.start_soon(world.ask, 'g0')
                await trio.sleep(0.1)

    world.play(script)


@then('all {count:d} others are served')
def check_all(context, count):
    served = [each for each in context.world.answers if each.status == 200]
    assert len(served) == count, context.world.refused()


@given(
    'a gateway that knows a runner that has backed off, a busy and an idle one'
)
def backed_off(context):
    context.known = backends.Backends()
    context.known.update_runners([rests.Runner(n).instance for n in range(4)])
    context.known.backoffs.back_off(rests.Runner(0).instance, 1.0, 100.0)
    context.known.by_id['i-1'].record_load(2, 0, 111.0)


@when('a fourth runner has refused a request, {ago_s:d} s after that')
def refused_by_fourth(context, ago_s):
    now_s = 101.0 + ago_s
    context.known.by_id['i-1'].record_load(2, 0, now_s)
    attempted, rng = {'i-0', 'i-3'}, random.Random(1)
    context.picked = context.known.pick(
        sendgates.RequestClass('s'), 'north', attempted, 1, rng, now_s
    )


@then('it goes to the {which} one')
def check_which(context, which):
    names = {'busy': 'i-1', 'idle': 'i-2'}
    found = context.picked.backend.instance.instance_id
    assert found == names[which], found


@then('it is parsed as a backoff of {span} s, and that the runner {leaves}')
def check_head(context, span, leaves):
    name = context.scenario.name.partition(' -- ')[0]
    status, _, header = name.removeprefix('The head of a response ').partition(
        ' with '
    )
    name, _, value = header.encode().partition(b': ')
    head = dialects.read_reply_head(
        int(status), [(name, value)], dialects.NATIVE.headers
    )
    if span == 'invalid':
        assert math.isnan(head.backoff_s), head
    else:
        assert head.backoff_s == (None if span == 'no' else float(span)), head
    assert head.is_leaving == (leaves == 'leaves'), head


@then('it lasts {lasts_s:g} s, and a shorter one later does not end it')
def check_lasts(context, lasts_s):
    asked = context.scenario.name.partition(' -- ')[0].rpartition(' ')[2]
    span_s = math.nan if asked == 'invalid' else float(asked)
    found, runner = backoffs.Backoffs(), rests.Runner(0).instance
    assert found.back_off(runner, span_s, 10.0) == 10.0 + lasts_s
    assert found.back_off(runner, 0.1, 10.1) == 10.0 + lasts_s
    assert not found.may_select(runner, 10.0 + lasts_s - 0.01)
    assert found.may_select(runner, 10.0 + lasts_s)


@when('{count:d} incarnations of runners request a backoff')
def many_incarnations(context, count):
    context.backoffs = backoffs.Backoffs()
    context.runners_backing_off = [
        rests.Runner(n).instance for n in range(count)
    ]
    for runner in context.runners_backing_off:
        context.backoffs.back_off(runner, 60.0, 0.0)


@then('the backoffs of {count:d} are kept, with the latest')
def check_kept(context, count):
    assert len(context.backoffs) == count
    assert not context.backoffs.may_select(
        context.runners_backing_off[-1], 1.0
    )


# An agent and its only runner.


def _refusal(span_s):
    return dialects.ReplyHead(503, None, True, None, None, None, span_s)


LEAVES = system.REPLY_HEAD._replace(is_leaving=True)


CALLS, DRAFTS = ('receipts', 'corrections'), ('crews', 'drafts')


def _play_calls(context, head, from_s, to_s, per_s, span_s, row=CALLS):
    """Send calls while the first agent's runner responds with ``head``."""
    context.results = []

    async def script(world):
        await world.begin()
        runner = world.runners['a1']

        async def change():
            await trio.sleep(from_s)
            runner.head = head
            await trio.sleep(to_s - from_s)
            runner.head = system.REPLY_HEAD
            context.back_s = trio.current_time()

        async def call(number):
            mark = f'm{number}'
            key = f'{system.WALL_S:.0f}-{mark}'
            key = key if row == CALLS else ''
            result = await world.request('g1', *row, mark, key)
            context.results.append((mark, result))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change)
            for number in range(round(per_s * span_s)):
                nursery.start_soon(call, number)
                await trio.sleep(1 / per_s)
        return runner, dict(world.runners)

    context.runner, context.runners = system.play_for(context, script)


@when(
    'one runner requests a backoff of {backoff_s:g} s for {span_s:g} s, while'
    ' {per_s:g} calls a second arrive'
)
def back_off_behind_agent(context, backoff_s, span_s, per_s):
    context.backoff_s = backoff_s
    head = _refusal(backoff_s)
    _play_calls(context, head, 1.0, 1.0 + span_s, per_s, span_s + 6.0)


@when(
    'one runner requests a backoff of {backoff_s:g} s for {span_s:g} s, and'
    ' {count:d} calls with keys arrive'
)
def back_off_with_keys(context, backoff_s, span_s, count):
    head = _refusal(backoff_s)
    _play_calls(context, head, 0.0, span_s, count / span_s, span_s)


@when(
    'one runner announces that it leaves, while {per_s:g} calls a second'
    ' arrive for {span_s:g} s'
)
def leave_behind_agent(context, per_s, span_s):
    _play_calls(context, LEAVES, 1.0, span_s + 5.0, per_s, span_s)


@then('that runner gets at most {most:d} requests during a backoff')
def check_agent_backoffs(context, most):
    starts_s = [at_s for at_s, _ in context.runner.starts]
    assert context.runner.refusals
    for refused_s in context.runner.refusals:
        until_s = refused_s + context.backoff_s
        late = [x for x in starts_s if refused_s + 0.5 < x < until_s]
        assert len(late) <= most, (refused_s, late)


@then('all calls have been answered completely')
def check_complete(context):
    for mark, result in context.results:
        assert result.data == system.complete_answer(mark), (
            mark,
            result.problem,
        )


@then('that runner has run some after it accepts requests again')
def check_runs_again(context):
    starts_s = [at_s for at_s, _ in context.runner.starts]
    assert any(at_s > context.back_s for at_s in starts_s), starts_s[-1]


@then('each of them has run once')
def check_once(context):
    for mark, _ in context.results:
        runs = sum(each.runs[mark] for each in context.runners.values())
        assert runs == 1, (mark, runs)


@then('that runner gets nothing later than {late_s:g} s after that')
def check_leaves_agent(context, late_s):
    announced_s = context.runner.announcements[0]
    late = [x for x, _ in context.runner.starts if x > announced_s + late_s]
    assert not late, (announced_s, late)


@when(
    'one runner requests a backoff of {backoff_s:g} s from {from_s:g} s on, in'
    ' {count:d} calls over {span_s:g} s'
)
def back_off_in_burst(context, backoff_s, from_s, count, span_s):
    head, per_s = _refusal(backoff_s), count / span_s
    _play_calls(context, head, from_s, 1.0, per_s, span_s, DRAFTS)


@then('none has taken longer than {most_s:g} s')
def check_took(context, most_s):
    took_s = [result.took_s for _, result in context.results]
    assert max(took_s) <= most_s, sorted(took_s)[-5:]
