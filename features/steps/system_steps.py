# SPDX-License-Identifier: Apache-2.0

"""Steps that run the code of the daemons over a simulated network."""

import functools
import logging
import types

from behave import given, then, when
import trio

from features.worlds import system as system_world
from mountridge import errors, messages
from mountridge.logs import logger

logger.logger.addHandler(logging.NullHandler())
logger.logger.propagate = False


@given(
    'a system of {gateways:d} gateways, {agents:d} agents and'
    ' {controllers:d} controllers'
)
def describe(context, gateways, agents, controllers):
    context.sizes = {
        'gateways': gateways,
        'agents': agents,
        'controllers': controllers,
    }


def _key(name):
    return f'{system_world.WALL_S:.0f}-{name}'


@when('a call with a key is made and its {message} {fault}')
def plan_call(context, message, fault):
    context.rule = (message, system_world.ACTIONS[fault])


async def _first_call(context, world):
    await world.begin()
    kind, action = context.rule
    rule = system_world.rule_for(kind, action)
    world.rules.append(rule)
    result = await world.request(
        'g1', 'receipts', 'corrections', 'k', _key('k')
    )
    # Some messages, such as the outcome, are sent after the answer.
    await trio.sleep(0.2)
    assert rule.triggered, f'no {kind} was sent'
    return result


@when(
    'the caller resends it through alternating gateways until it has an answer'
)
def resend(context):
    async def script(world):
        reported = []
        result = await _first_call(context, world)
        for number in range(60):
            reported.append((result.outcome, world.runs('k')))
            if result.data is not None:
                break
            await trio.sleep(1)
            name = world.gateways[number % 2]
            result = await world.request(
                name, 'receipts', 'corrections', 'k', _key('k')
            )
        await trio.sleep(30)
        return result, reported, world.runs('k')

    context.result, context.reported, context.runs = system_world.play_for(
        context, script
    )


@then('it ran at most once, and the caller has its own complete answer')
def check_once_complete(context):
    assert context.runs <= 1, context.runs
    result = context.result
    if result.data is not None:
        assert result.data == system_world.complete_answer('k'), result.data
        assert context.runs == 1
        return
    # An answer lost with its agent or gateway has an unknown outcome.
    assert result.outcome == errors.UNKNOWN, result.problem
    assert 'kills' in context.scenario.name, result.problem


@then('it had not run whenever it was reported as not run')
def check_reported(context):
    for outcome, runs in context.reported:
        if outcome == errors.NOT_RUN:
            assert runs == 0, context.reported


@when('the caller gives up, and {seconds:d} s pass')
def give_up(context, seconds):
    async def script(world):
        result = await _first_call(context, world)
        await trio.sleep(seconds)
        return result, world.runs('k')

    context.result, context.runs = system_world.play_for(context, script)


@then('it ran at most once, and not at all if it was reported as not run')
def check_not_run(context):
    assert context.runs <= 1
    if context.result.outcome == errors.NOT_RUN:
        assert context.runs == 0, context.result.problem
    if context.result.data is not None:
        assert context.runs == 1


@when(
    '{count:d} callers send requests at once and the third {message} {fault}'
)
def send_at_once(context, count, message, fault):
    action = system_world.ACTIONS[fault]

    async def script(world):
        await world.begin()
        # Both gateways have sent a request before the fault.
        await world.request('g1', 'crews', 'drafts', 'first')
        await world.request('g2', 'crews', 'drafts', 'second')
        rule = system_world.rule_for(message, action, 3)
        world.rules.append(rule)
        async with trio.open_nursery() as nursery:
            for number in range(count):
                name = world.gateways[number % 2]
                nursery.start_soon(
                    world.request, name, 'crews', 'drafts', f'm{number}'
                )
                await trio.sleep(0.004)
        assert rule.triggered, f'no third {message} was sent'
        results = world.results[2:]
        await trio.sleep(30)
        running = sum(r.running for r in world.runners.values())
        return results, running

    context.results, context.running = system_world.play_for(context, script)


@then('each caller has its own complete answer or an error')
def check_each(context):
    assert len(context.results) == 6
    for mark, result in context.results:
        if result.data is not None:
            assert result.data == system_world.complete_answer(
                mark
            ), result.data
        else:
            assert result.problem is not None or result.cut


@then('no caller waits longer than {limit_s:d} s')
def check_waits(context, limit_s):
    waits = [round(r.took_s, 1) for _, r in context.results]
    assert max(waits) <= limit_s, sorted(waits)[-5:]


@then('at least half of the callers have their answer')
def check_half(context):
    answered = [r for _, r in context.results if r.data is not None]
    assert len(answered) >= 3, [str(r.problem) for _, r in context.results]


@then('the runners are idle {seconds:d} s later')
def check_idle(context, seconds):
    assert context.running == 0, context.running


@when('an agent is disconnected from the controllers during a long answer')
def disconnect_agent(context):
    async def script(world):
        await world.begin()
        for runner in world.runners.values():
            runner.pieces, runner.gap_s = 200, 0.1
        results = []

        async def send():
            results.append(
                await world.request('g1', 'crews', 'drafts', 'long')
            )

        world.nursery.start_soon(send)
        await trio.sleep(1)
        name = next(n for n, r in world.runners.items() if r.running)
        for each in world.controllers:
            world.cut_links |= {(name, each), (each, name)}
        await trio.sleep(5)
        for runner in world.runners.values():
            runner.pieces = 5
        before = len(world.runners[name].starts)
        for number in range(10):
            result = await world.request(
                'g2', 'crews', 'drafts', f'new {number}'
            )
            assert result.data is not None, result.problem
        context.requests_after = len(world.runners[name].starts) - before
        await trio.sleep(30)
        return results[0]

    context.result = system_world.play_for(context, script)


@then('the caller has its own complete answer')
def check_own_answer(context):
    expected = system_world.complete_answer('long', 200)
    assert context.result.data == expected, context.result.problem


@then('no new request is sent to that agent after its lease has expired')
def check_no_new(context):
    assert context.requests_after == 0, context.later


@when('a call with a key has an answer of {count:d} pieces and is sent again')
def large_answer(context, count):
    async def script(world):
        await world.begin()
        for runner in world.runners.values():
            runner.pieces, runner.gap_s = count // 10, 0.0
        results = []
        for name in ('g1', 'g2'):
            results.append(
                await world.request(
                    name, 'receipts', 'corrections', 'k', _key('k')
                )
            )
            await trio.sleep(0.5)
        for name in list(world.runners):
            await world.restart(name)
        await trio.sleep(2)
        results.append(
            await world.request(
                'g1', 'receipts', 'corrections', 'k', _key('k')
            )
        )
        return results, world.runs('k'), count // 10

    found = system_world.play_for(context, script)
    context.results, context.runs, context.pieces = found


@then('the second answer, sent by the agent, is complete too')
def check_second(context):
    expected = system_world.complete_answer('k', context.pieces)
    first, second, _ = context.results
    assert first.data == expected, first.problem
    assert second.data == expected, second.problem or len(second.data)


@then('after the agent has restarted the outcome is unknown, and it ran once')
def check_unknown(context):
    last = context.results[2]
    assert last.data is None and last.outcome == errors.UNKNOWN, last.data
    assert context.runs == 1


@when(
    'a call with a key has its answer truncated by the runner and is sent'
    ' again'
)
def truncate_answer(context):
    async def script(world):
        await world.begin()
        for runner in world.runners.values():
            runner.truncates = True
        for name in ('g1', 'g2'):
            await world.request(
                name, 'receipts', 'corrections', 'k', _key('k')
            )
            await trio.sleep(0.5)
        return [r for _, r in world.results], world.runs('k')

    context.results, context.runs = system_world.play_for(context, script)


@then('neither answer is delivered as complete, and it ran once')
def check_neither(context):
    for result in context.results:
        assert result.data is None, result.data
        assert result.outcome != errors.NOT_RUN, result.problem
    assert context.runs == 1, context.runs


def _leave_with(dispatcher, reply):
    """Empty the view of a gateway as it gets a reply."""
    leave = functools.partial(dispatcher.update_members, [])
    call, connect = dispatcher.leader.call, dispatcher._connection

    async def claim(message, timeout_s):
        answer = await call(message, timeout_s)
        if isinstance(message, messages.Claim) and 'claim' in reply:
            leave()
        return answer

    def connection(name):
        found = connect(name)

        async def ask(message, timeout_s):
            answer = await found.call(message, timeout_s)
            is_load = isinstance(message, messages.WatchLoad)
            if is_load == ('load' in reply):
                leave()
            if reply == 'an answer that is unknown':
                answer = answer._replace(outcome=errors.UNKNOWN)
            return answer

        return types.SimpleNamespace(
            call=ask, send=found.send, close=found.close
        )

    if 'claim' in reply:
        dispatcher.leader.call = claim
    else:
        dispatcher._connection = connection


@when(
    'a call with a key is sent {times}, and its agent leaves the view with'
    ' {reply}'
)
def call_as_agent_leaves(context, times, reply):
    async def script(world):
        await world.begin()
        dispatcher = world.daemons['g1'].dispatcher
        arguments = 'receipts', 'corrections', 'k', _key('k')
        if times == 'twice':
            world.runners['a1'].gap_s = 0.5
            world.nursery.start_soon(world.request, 'g2', *arguments)
            await trio.sleep(0.1)
            await dispatcher._ensure_load('a1')
        _leave_with(dispatcher, reply)
        await world.request('g1', *arguments)
        await trio.sleep(20)
        return world.results, world.runs('k')

    context.results, context.runs = system_world.play_for(context, script)


@then('each call gets an answer or a coded error, and it ran at most once')
def check_coded(context):
    assert context.results and context.runs <= 1, context.runs
    for _, result in context.results:
        assert result.data is not None or result.problem, vars(result)
