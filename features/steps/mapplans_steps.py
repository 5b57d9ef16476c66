# SPDX-License-Identifier: Apache-2.0

"""Steps for plans of expert maps with slow ranks."""

import random

from behave import given, then, when

from mountridge import errors
from mountridge.experts import mapplans, maps

RANKS, EXPERTS, SETS = 16, 64, 4
#: Selections of the most selected expert.
MAX_SELECTIONS = 10000
PARAMETERS = mapplans.EngineParameters(slots=5, max_new=2, experts=EXPERTS)


@given(
    'a group of 16 ranks with 64 experts in 4 sets, 5 slots and 2 new '
    'per change'
)
def make_plan_group(context):
    _make_group(context, RANKS, SETS, PARAMETERS)


@given(
    'a group of 12 ranks with 96 experts in 3 sets '
    'and {copy_s:g} s per copy'
)
def make_slow_copies(context, copy_s):
    parameters = mapplans.EngineParameters(
        slots=11, max_new=4, experts=96, copy_s=copy_s
    )
    _make_group(context, 12, 3, parameters)


@given(
    'a group of 32 ranks with 128 experts in 12 sets '
    'and {copy_s:g} s per copy'
)
def make_large_group(context, copy_s):
    parameters = mapplans.EngineParameters(
        slots=5, max_new=2, experts=128, copy_s=copy_s
    )
    _make_group(context, 32, 12, parameters)


@given(
    'a group of {ranks:d} ranks with {experts:d} experts in {sets:d} sets '
    'and {slots:d} slots'
)
def make_sized_group(context, ranks, experts, sets, slots):
    parameters = mapplans.EngineParameters(
        slots, max_new=2, experts=experts, copy_s=0.0026
    )
    _make_group(context, ranks, sets, parameters)


@given("the experts' shares follow a power law with exponent {exponent:g}")
def power_law_shares(context, exponent):
    rng = random.Random(5)
    experts = context.parameters.experts
    shares = [
        MAX_SELECTIONS / (1 + position) ** exponent
        for position in range(experts)
    ]
    context.counts = []
    for _ in context.placement:
        context.counts += rng.sample(shares, experts)


def _make_group(context, ranks, sets, parameters):
    rng = random.Random(3)
    context.parameters = parameters
    context.placement = [
        [list(range(r, parameters.experts, ranks)) for r in range(ranks)]
        for _ in range(sets)
    ]
    context.counts = [
        rng.uniform(50, 150) for _ in range(sets * parameters.experts)
    ]
    context.slowdowns = [1.0] * ranks


@given('one expert of each set receives {percent:d} % of the selections')
def one_hot_expert(context, percent):
    experts = context.parameters.experts
    for first in range(0, len(context.counts), experts):
        others = sum(context.counts[first : first + experts])
        others -= context.counts[first + 5]
        context.counts[first + 5] = others * percent / (100 - percent)


@given('rank {rank:d} takes {times:g} times its usual time')
def slow_rank(context, rank, times):
    context.slowdowns[rank] = times


@given('ranks 3, 7 and 11 take {times:g} times their usual time')
def three_slow_ranks(context, times):
    for rank in (3, 7, 11):
        context.slowdowns[rank] = times


@given('all ranks take {times:g} times their usual time')
def slow_ranks(context, times):
    context.slowdowns = [times] * RANKS


def _plan(context):
    context.before = context.placement
    plan = mapplans.plan(
        context.placement,
        context.counts,
        context.slowdowns,
        context.parameters,
    )
    if plan is not None:
        context.placement = plan.placement


@when('a map is planned')
def plan_map(context):
    _plan(context)


@when('a map is planned and adopted, and rank {rank:d} recovers')
def plan_and_recover(context, rank):
    _plan(context)
    context.slowdowns[rank] = 1.0


@given('some experts are selected far more often than others')
def uneven_demand(context):
    rng = random.Random(7)
    context.counts = [20 * rng.paretovariate(1.2) for _ in context.counts]


@when('a map is planned twice more after a demand shift')
def plan_twice(context):
    uneven_demand(context)
    _plan(context)
    _plan(context)


@when('a map is planned although {fault}')
def plan_inconsistent(context, fault):
    experts = context.parameters.experts
    if fault == 'the routes name twice as many experts':
        experts *= 2
    elif fault == 'the routes name half as many experts':
        experts //= 2
    elif fault == 'the counts are of one set less':
        del context.counts[-EXPERTS:]
    elif fault == 'the counts are of one set more':
        context.counts += context.counts[:EXPERTS]
    elif fault == 'a rank holds an expert beyond the counts':
        context.placement[-1][-1].append(EXPERTS)
    elif fault == 'an expert is reported by no rank':
        # As where one of two ranks reports the map before, the other the next.
        context.placement[-1][-1].pop()
    elif fault == 'a rank has not reported its experts':
        context.placement = [by_rank[:-1] for by_rank in context.placement]
    else:
        assert fault == 'no rank has reported', fault
        context.placement = []
    context.parameters = context.parameters._replace(experts=experts)
    context.problem = None
    try:
        _plan(context)
    except errors.MountridgeError as problem:
        context.problem = problem


@then('planning is refused with code {code:d}')
def check_plan_refused(context, code):
    assert context.problem is not None and context.problem.code == code


@then('it is a complete map within the limits of slots and new experts')
def check_complete(context):
    for before, after in zip(context.before, context.placement):
        assert {e for held in after for e in held} == set(range(EXPERTS))
        for old, new in zip(before, after):
            assert len(new) == len(set(new)) <= PARAMETERS.slots, new
            assert len(set(new) - set(old)) <= PARAMETERS.max_new, (old, new)


@then('at most {most:d} experts are new to a rank over all sets')
def check_new_over_sets(context, most):
    for rank in range(len(context.slowdowns)):
        new = sum(
            len(set(after[rank]) - set(before[rank]))
            for before, after in zip(context.before, context.placement)
        )
        assert new <= most, (rank, new)


@then('rank {rank:d} holds at most {most:d} experts in each set')
def check_most_held(context, rank, most):
    held = [len(by_rank[rank]) for by_rank in context.placement]
    assert max(held) <= most, held


@then('rank {rank:d} holds at least {least:d} experts in each set')
def check_least_held(context, rank, least):
    held = [len(by_rank[rank]) for by_rank in context.placement]
    assert min(held) >= least, held


@then('the most loaded rank has at most {limit:g} times the mean load')
def check_skew(context, limit):
    ranks = len(context.slowdowns)
    skew = (
        _total_time(context, context.placement) * ranks / sum(context.counts)
    )
    assert skew <= limit, skew


@then('at most {limit:d} experts are copied over all ranks')
def check_copies(context, limit):
    copies = sum(
        maps.moved_experts(before, after)
        for before, after in zip(context.before, context.placement)
    )
    assert copies <= limit, copies


def _total_time(context, placement):
    total = 0.0
    for number, by_rank in enumerate(placement):
        experts = context.parameters.experts
        load = context.counts[number * experts : (number + 1) * experts]
        each = maps.rank_loads(by_rank, load)
        total += max(a * s for a, s in zip(each, context.slowdowns))
    return total


@then("the slowest rank's time is at most {share:g} of the time before")
def check_time(context, share):
    before, after = _total_time(context, context.before), _total_time(
        context, context.placement
    )
    assert after <= share * before, after / before


@given('the first runner takes {times:g} times its usual time')
def slow_runner(context, times):
    for known in context.site.known:
        known.by_id['i-0'].slowdown = times


@then('the first runner received no requests')
def check_no_requests(context):
    assert not context.site.arrivals['i-0'], context.site.arrivals['i-0']
    assert context.site.arrivals['i-1']
