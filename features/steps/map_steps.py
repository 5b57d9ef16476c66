# SPDX-License-Identifier: Apache-2.0

"""Steps for expert maps: the gates of ranks, and plans."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import Phase, settings, strategies

from features.worlds import group
from mountridge.experts import maps


@given('a group of {ranks:d} ranks in lock-step')
def make_group(context, ranks):
    context.world = group.World(ranks, context.scenario.name)


def _disturb(world, fault, tick):
    """Inject faults, each with its own period in ticks."""
    is_all = 'all' in fault
    if 'lost' in fault or is_all:
        world.loss_rate = 0.3
    if 'delayed' in fault or is_all:
        world.delay_rate = 0.3
    rank = tick % len(world.gates)
    if ('crashes' in fault or is_all) and tick % 23 == 0:
        world.dead.add(rank)
    if ('crashes' in fault or is_all) and tick % 23 == 9:
        for crashed in list(world.dead):
            world.restart(crashed)
    if ('freezes' in fault or is_all) and tick % 31 == 0:
        world.frozen.add(rank)
    if ('freezes' in fault or is_all) and tick % 31 == 17:
        world.frozen.clear()
    if ('fails over' in fault or is_all) and tick % 47 == 0:
        world.fail_over()


@when('maps are opened and adopted for {ticks:d} ticks while {fault}')
def run_group(context, ticks, fault):
    for tick in range(1, ticks):
        _disturb(context.world, fault, tick)
        context.world.tick()


@then('no step used two maps')
def check_one_map(context):
    context.world.check()


@then('the ranks made progress and adopted new maps')
def check_progress(context):
    assert min(context.world.steps) > 100, context.world.steps
    assert context.world.adopted >= 3, context.world.adopted


@then('in {count:d} random schedules no step used two maps')
def check_random(context, count):
    adopted = []

    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[Phase.explicit, Phase.generate],
    )
    @for_all(
        strategies.integers(0, 10**6),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ['crash', 'restart', 'freeze', 'resume', 'fail over',
                     'delay', 'lose', 'clear', 'wait', 'wait']
                ),
                strategies.integers(0, 4),
                strategies.integers(1, 25),
            ),
            min_size=20,
            max_size=50,
        ),
    )  # fmt: skip
    def check(seed, schedule):
        world = group.World(5, seed)
        for action, rank, ticks in schedule:
            _inject(world, action, rank)
            for _ in range(ticks):
                world.tick()
        world.check()
        adopted.append(world.adopted)

    check()
    assert sum(adopted) > count, adopted


def _inject(world, action, rank):
    if action == 'crash':
        world.dead.add(rank)
    elif action == 'restart' and rank in world.dead:
        world.restart(rank)
    elif action == 'freeze':
        world.frozen.add(rank)
    elif action == 'resume':
        world.frozen.clear()
    elif action == 'fail over':
        world.fail_over()
    elif action == 'delay':
        world.delay_rate = 0.4
    elif action == 'lose':
        world.loss_rate = 0.4
    elif action == 'clear':
        world.delay_rate = world.loss_rate = 0.0


PREFER_LOW_SKEW = maps.Weights(4.0, 1.0, 0.08)
PREFER_FEW_MOVES = maps.Weights(1.0, 40.0, 0.08)


@given('a group of {ranks:d} ranks with a skewed load and {case}')
def make_load(context, ranks, case):
    context.current = maps.first_map(ranks, 6, 64)
    steady = [1.0 + (n % 7) * 0.02 for n in range(64)]
    hot = [x * (6 if n % 16 == 3 else 1) for n, x in enumerate(steady)]
    loads = None
    for _ in range(40):
        sample = steady if 'spike' in case or 'even' in case else hot
        loads = maps.smooth(loads, sample)
    if 'spike' in case:
        loads = maps.smooth(loads, hot)
    if 'even' in case:
        loads = maps.Loads([1.0] * 64, [1.0] * 64)
        context.current = maps.first_map(ranks, 4, 64)
    context.loads = loads
    few_moves = 'few moves' in case or 'spike' in case
    weights = PREFER_FEW_MOVES if few_moves else PREFER_LOW_SKEW
    context.plan = maps.plan(context.current, loads, weights)


@then('the plan {outcome}')
def check_plan(context, outcome):
    plan = context.plan
    if outcome.startswith('moves at most'):
        lasting = maps.Loads(context.loads.fast, context.loads.fast)
        other = maps.plan(context.current, lasting, PREFER_FEW_MOVES)
        assert plan is None or plan.moved <= other.moved / 3, plan.moved
    elif outcome == 'does not exist':
        assert plan is None, plan
    elif outcome.startswith('lowers'):
        assert plan.skew_after <= plan.skew_before / 2, plan.reason
        assert 'skew' in plan.reason and 'GiB' in plan.reason
        experts = {e for slots in plan.new for e in slots}
        assert experts == set(range(64)), 'an expert is on no rank'
    else:
        other = maps.plan(context.current, context.loads, PREFER_LOW_SKEW)
        assert 0 < plan.moved < other.moved, (plan.moved, other.moved)
