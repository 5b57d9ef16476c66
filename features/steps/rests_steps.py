# SPDX-License-Identifier: Apache-2.0

"""Steps on what runners ask for in their answers, on virtual time."""

from behave import given, then, when
import trio

from features.worlds import rests

LEAVING = rests.Answer(200, ((b'X-Leaving', b'1'),))


def _resting(span_s):
    told = ((b'X-Not-Run', b'1'), (b'Retry-After', b'%g' % span_s))
    return rests.Answer(503, told)


def _runners(context):
    return list(context.world.runners.values())


@given('{gateways:d} gateways and {ranks:d} ranks of one group')
def one_group(context, gateways, ranks):
    context.world = rests.World(gateways, ranks)


@when(
    '{per_s:g} requests a second come for {span_s:g} s, and from {from_s:g}'
    ' to {to_s:g} s {count:d} ranks ask for {rest_s:g} s of rest'
)
def load_and_rest(context, per_s, span_s, from_s, to_s, count, rest_s):
    world = context.world
    chosen = _runners(context)[:count]

    async def turn_away():
        await trio.sleep(from_s)
        for runner in chosen:
            runner.answer = _resting(rest_s)
        await trio.sleep(to_s - from_s)
        for runner in chosen:
            runner.answer = rests.Answer()

    async def script():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(turn_away)
            await world.load(per_s, span_s)

    world.play(script)
    assert any(runner.rests for runner in chosen)


@when(
    '{per_s:g} requests a second come for {span_s:g} s, and a rank says so'
    ' from {from_s:g} s on'
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
    world.follow(without=(runner.instance.instance_id,))
    await trio.sleep(lost_s)
    world.follow()


@when(
    'a rank asks for {rest_s:g} s of rest and its registration is lost'
    ' for {lost_s:g} s'
)
def rest_and_lose(context, rest_s, lost_s):
    world = context.world
    runner = _runners(context)[0]

    async def script():
        runner.answer = _resting(rest_s)
        while not runner.rests:
            await world.ask('g0')
        await _lose_registration(world, runner, lost_s)
        await world.load(20, rest_s)

    world.play(script)


@when(
    'a rank says that it leaves and its registration is lost for {lost_s:g} s'
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


@when('a rank asks for {rest_s:g} s of rest and starts again after {at_s:g} s')
def rest_and_restart(context, rest_s, at_s):
    world = context.world
    context.later = rests.Runner(0, life=2)

    async def script():
        _runners(context)[0].answer = _resting(rest_s)
        await world.ask('g0')
        await trio.sleep(at_s)
        world.put(context.later)
        world.follow()
        await trio.sleep(2 * rests.REPORT_S)
        await world.ask('g0')

    world.play(script)


@then('its new life gets the next request')
def check_new_life(context):
    assert len(context.later.arrivals) == 1, context.later.arrivals


@then('no gateway has sent more than {most:d} requests into a rest')
def check_rests(context, most):
    found = [runner.most_in_a_rest() for runner in _runners(context)]
    assert max(found) <= most, found


@then('all requests are served')
def check_served(context):
    refused = context.world.refused()
    assert not refused, f'{len(refused)} of {len(context.world.answers)}'


@then(
    'no gateway has sent it any request later than {late_s:g} s after its word'
)
def check_leaving(context, late_s):
    runner = _runners(context)[0]
    assert runner.told_leaving_s
    for gateway, told_s in runner.told_leaving_s.items():
        mine = [each for each in runner.arrivals if each.gateway == gateway]
        late = [each for each in mine if each.at_s > told_s + late_s]
        assert not late, late
