# SPDX-License-Identifier: Apache-2.0

"""Steps for requests that crash the runners behind agents."""

from behave import given, then, when
import trio

from features.worlds import system
from mountridge import errors

HARMFUL, BEGIN_S, EACH_S = b'bad', 3.0, 0.25


@given('{count:d} agents with a runner each')
def agents(context, count):
    context.agents = count


# Guards against requests behind agents that are quarantined by nothing: the
# gateways were not told which attempts ended with a crash.
@when(
    'requests share a harmful part from 3 s on, beside sound ones, for'
    ' {span_s:g} s, while {case}'
)
def share_part(context, span_s, case):
    context.sound, context.play = [], None
    repeats = 2 if case == 'each is sent once more by its caller' else 1

    async def script(world):
        context.play = world
        await world.begin()
        for runner in world.runners.values():
            runner.crashes_on = 'harmful'
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_harmful, world, nursery)
            number = 0
            while trio.current_time() < started_s + span_s:
                number += 1
                nursery.start_soon(ask_sound, world, number)
                await trio.sleep(0.05)

    async def ask_sound(world, number):
        sent_s, name = trio.current_time(), world.gateways[number % 2]
        parts = (b'first', b'middle%d' % (number % 5))
        result = await world.request(
            name, 'crews', 'drafts', f'sound{number}', parts=parts
        )
        context.sound.append((sent_s, result.data is not None))

    async def send_harmful(world, nursery):
        await trio.sleep(BEGIN_S)
        if case == 'the leader is killed':
            nursery.start_soon(kill_leader, world)
        for number in range(round((span_s - BEGIN_S) / EACH_S)):
            nursery.start_soon(ask_harmful, world, number)
            await trio.sleep(EACH_S)

    async def kill_leader(world):
        while not _crashes(world):
            await trio.sleep(0.01)
        await world.restart(world.leader, 1.5)

    async def ask_harmful(world, number):
        for repeat in range(repeats):
            name = world.gateways[(number + repeat) % 2]
            parts = (b'first', HARMFUL, b'middle%d' % (number % 5))
            await world.request(
                name, 'crews', 'drafts', f'harmful{number}', parts=parts
            )

    name = context.scenario.name
    system.play(script, name, gateways=2, agents=context.agents)


def _crashes(world):
    found = [each for r in world.runners.values() for each in r.crashes]
    return sorted(found)


def _reached(world):
    """Return when requests with a harmful part reached runners."""
    starts = [each for r in world.runners.values() for each in r.starts]
    return sorted(at_s for at_s, mark in starts if 'harmful' in mark)


@then(
    'at most {most:d} of them reach runners behind agents later than'
    ' {late_s:g} s after the fifth crash'
)
def check_reached(context, most, late_s):
    crashed_s = [at_s for at_s, _ in _crashes(context.play)]
    assert crashed_s
    if len(crashed_s) >= 5:
        late = [
            at_s
            for at_s in _reached(context.play)
            if at_s > crashed_s[4] + late_s
        ]
        assert len(late) <= most, (len(late), crashed_s)


@then(
    '9 of 10 sound ones are served from {from_s:g} s after the last'
    ' crash on'
)
def check_served(context, from_s):
    last_s = _crashes(context.play)[-1][0]
    later = [
        served for at_s, served in context.sound if at_s > last_s + from_s
    ]
    assert len(later) >= 20, (last_s, len(later))
    assert sum(later) >= 0.9 * len(later), (sum(later), len(later))


@when(
    'the same request is sent every second through another gateway for'
    ' {span_s:g} s'
)
def send_same(context, span_s):
    context.problems = []

    async def script(world):
        context.play = world
        await world.begin()
        for runner in world.runners.values():
            runner.crashes_on = 'harmful'
        for number in range(round(span_s)):
            name = world.gateways[number % 2]
            result = await world.request(name, 'crews', 'drafts', 'harmful')
            context.problems.append(result.problem)
            await trio.sleep(1)

    name = context.scenario.name
    system.play(script, name, gateways=2, agents=context.agents)


@then('it has crashed at most {most:d} runners, and is refused as quarantined')
def check_same(context, most):
    crashed = _crashes(context.play)
    assert len(crashed) <= most, crashed
    assert isinstance(context.problems[-1], errors.RequestHeldBack)
