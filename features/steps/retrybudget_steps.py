# SPDX-License-Identifier: Apache-2.0

"""Steps on the retry budget that all gateways share."""

import fractions

from behave import given, then, when
import trio

from features.worlds import retries, system
from mountridge.routing import budgets


@given(
    '{count:d} gateways with {per_s:d} requests a second and a slack of '
    '{slack:d}'
)
def fleet_settings(context, count, per_s, slack):
    context.fleet_settings = (count, per_s, slack)


@given('all attempts at runners fail')
def runners_fail(context):
    context.fleets = []


@when('{fault}, in {runs:d} runs')
def run_fleets(context, fault, runs):
    for run in range(runs):
        seed = f'{context.scenario.name} {run}'
        fleet = retries.Fleet(*context.fleet_settings, seed)
        retries.FAULTS[fault](fleet)
        fleet.run()
        context.fleets.append(fleet)


@then('no window has more retries than the budget in any run')
def check_windows(context):
    assert all(fleet.retries_s for fleet in context.fleets)
    excess = [fleet.excess() for fleet in context.fleets]
    assert max(excess) <= 0, excess


@then('the shares of the slack never add up to more than 1')
def check_shares(context):
    largest = [fleet.largest_share for fleet in context.fleets]
    # Some are used, and sums of fractions are rounded.
    assert 0 < max(largest) <= 1 + 1e-9, largest


# One budget.


@given(
    'a budget of a process that started {ago_s:g} s ago, with a slack of'
    ' {slack:g} in {window_s:g} s'
)
def one_budget(context, ago_s, slack, window_s):
    context.now_s = ago_s
    context.budget = budgets.RetryBudget(
        0.2, slack, window_s, 0.0, lambda now_s: 1.0
    )


def _acquire_all(context):
    found = []
    while retry := context.budget.try_acquire('s', context.now_s):
        found.append(retry)
    return found


@when('as many retries as possible are allowed, and sent {later_s:g} s later')
def send_all_later(context, later_s):
    allowed = _acquire_all(context)
    assert allowed
    context.now_s += later_s
    for retry in allowed:
        retry.mark_sent(context.now_s)


@then('it allows {count:d} retries')
def check_allowed(context, count):
    assert len(_acquire_all(context)) == count


@then('{later_s:g} s later it allows {count:d} retries')
def check_allowed_later(context, later_s, count):
    context.now_s += later_s
    check_allowed(context, count)


# Shares of the slack.


def _isolate_for(span_s):
    async def isolate(world):
        world.isolate('e1')
        await trio.sleep(span_s)
        world.heal('e1')

    return isolate


async def _restart(world):
    await world.restart('e1', 0.0)


async def _isolate(world):
    world.isolate('e1')


async def _kill_second(world):
    world.kill('e2')


async def _drain_second(world):
    world.stop('e2')


async def _do_nothing(world):
    pass


EVENTS = {
    'nothing else happens': _do_nothing,
    'the first restarts': _restart,
    'the first is isolated': _isolate,
    'the first is isolated for 5 s': _isolate_for(5),
    'the first is isolated for 12 s': _isolate_for(12),
    'the second is killed': _kill_second,
    'the second begins to drain': _drain_second,
}


@given('three entries that have held their leases for 15 s')
def entries_with_leases(context):
    context.sizes = {
        'gateways': 0,
        'agents': 0,
        'controllers': 3,
        'entries': 3,
    }


@when('{event}, and shares are read {after_s:g} s later')
def read_share(context, event, after_s):
    async def script(world):
        for name in world.controllers + world.entries:
            world.start(name)
        await trio.sleep(0.01)
        world.elect()
        await trio.sleep(15)
        begun_s = trio.current_time()
        await EVENTS[event](world)
        await trio.sleep_until(begun_s + after_s)
        first = world.daemons['e1']
        context.share = first.slack_shares.share(first.app.now_s())

    system.play(script, context.scenario.name, **context.sizes)


@then('the first entry has {share} of the slack')
def check_share(context, share):
    assert context.share == float(fractions.Fraction(share)), context.share
