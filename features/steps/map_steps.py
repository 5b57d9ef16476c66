# SPDX-License-Identifier: Apache-2.0

"""Steps on expert maps: the gates of ranks, and plans."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import Phase, settings, strategies

from features.worlds import group
from mountridge.experts import maps


@given('a group of {ranks:d} ranks in lock-step')
def make_group(context, ranks):
    context.world = group.World(ranks, context.scenario.name)


def _disturb(world, fault, tick):
    """Strike now and then, each fault at its own pace."""
    every = 'all' in fault
    if 'lost' in fault or every:
        world.lossy = 0.3
    if 'late' in fault or every:
        world.late = 0.3
    rank = tick % len(world.gates)
    if ('dies' in fault or every) and tick % 23 == 0:
        world.dead.add(rank)
    if ('dies' in fault or every) and tick % 23 == 9:
        for each in list(world.dead):
            world.restart(each)
    if ('freezes' in fault or every) and tick % 31 == 0:
        world.frozen.add(rank)
    if ('freezes' in fault or every) and tick % 31 == 17:
        world.frozen.clear()
    if ('fails over' in fault or every) and tick % 47 == 0:
        world.fail_over()


@when('maps are opened and decided for {ticks:d} ticks and {fault}')
def run_group(context, ticks, fault):
    for tick in range(1, ticks):
        _disturb(context.world, fault, tick)
        context.world.tick()


@then('no step had two maps')
def check_one_map(context):
    context.world.check()


@then('the ranks went on and new maps were adopted')
def check_progress(context):
    assert min(context.world.steps) > 100, context.world.steps
    assert context.world.adopted >= 3, context.world.adopted


@then('in {count:d} random schedules no step had two maps')
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
                    ['kill', 'start', 'freeze', 'thaw', 'over', 'late',
                     'lossy', 'calm', 'wait', 'wait']
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
            _act(world, action, rank)
            for _ in range(ticks):
                world.tick()
        world.check()
        adopted.append(world.adopted)

    check()
    assert sum(adopted) > count, adopted


def _act(world, action, rank):
    if action == 'kill':
        world.dead.add(rank)
    elif action == 'start' and rank in world.dead:
        world.restart(rank)
    elif action == 'freeze':
        world.frozen.add(rank)
    elif action == 'thaw':
        world.frozen.clear()
    elif action == 'over':
        world.fail_over()
    elif action == 'late':
        world.late = 0.4
    elif action == 'lossy':
        world.lossy = 0.4
    elif action == 'calm':
        world.late = world.lossy = 0.0


MINDS_SKEW = maps.Weights(4.0, 1.0, 0.08)
MINDS_MOVING = maps.Weights(1.0, 40.0, 0.08)


@given('a group of {ranks:d} ranks with a skewed load and {case}')
def make_load(context, ranks, case):
    context.current = maps.first_map(ranks, 6, 64)
    still = [1.0 + (n % 7) * 0.02 for n in range(64)]
    hot = [x * (6 if n % 16 == 3 else 1) for n, x in enumerate(still)]
    loads = None
    for _ in range(40):
        sample = still if 'flapped' in case or 'even' in case else hot
        loads = maps.smooth(loads, sample)
    if 'flapped' in case:
        loads = maps.smooth(loads, hot)
    if 'even' in case:
        loads = maps.Loads([1.0] * 64, [1.0] * 64)
        context.current = maps.first_map(ranks, 4, 64)
    context.loads = loads
    moving = 'moving' in case or 'flapped' in case
    weights = MINDS_MOVING if moving else MINDS_SKEW
    context.plan = maps.plan(context.current, loads, weights)


@then('the plan {outcome}')
def check_plan(context, outcome):
    made = context.plan
    if outcome.startswith('moves at most'):
        lasting = maps.Loads(context.loads.fast, context.loads.fast)
        other = maps.plan(context.current, lasting, MINDS_MOVING)
        assert made is None or made.moved <= other.moved / 3, made.moved
    elif outcome == 'is none':
        assert made is None, made
    elif outcome.startswith('lowers'):
        assert made.skew_after <= made.skew_before / 2, made.reason
        assert 'skew' in made.reason and 'GiB' in made.reason
        experts = {e for slots in made.new for e in slots}
        assert experts == set(range(64)), 'an expert has no rank'
    else:
        other = maps.plan(context.current, context.loads, MINDS_SKEW)
        assert 0 < made.moved < other.moved, (made.moved, other.moved)
