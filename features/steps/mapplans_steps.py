# SPDX-License-Identifier: Apache-2.0

"""Steps on plans of expert maps where ranks are slow."""

import random

from behave import given, then, when

from mountridge.experts import mapplans, maps

RANKS, EXPERTS, SETS = 16, 64, 4
#: Choices of the most chosen expert.
CHOICES = 10000
SHEET = mapplans.Sheet(places=5, spare=2, experts=EXPERTS)


@given('a group of 16 ranks with 64 experts in 4 sets, 5 places and 2 spare')
def make_plan_group(context):
    _make_group(context, RANKS, SETS, SHEET)


@given(
    'a group of 12 ranks with 96 experts in 3 sets, '
    'whose copies take {copy_s:g} s'
)
def make_slow_copies(context, copy_s):
    sheet = mapplans.Sheet(places=11, spare=4, experts=96, copy_s=copy_s)
    _make_group(context, 12, 3, sheet)


@given(
    'a group of {ranks:d} ranks with {experts:d} experts in {sets:d} sets '
    'and {places:d} places'
)
def make_sized_group(context, ranks, experts, sets, places):
    sheet = mapplans.Sheet(places, spare=2, experts=experts, copy_s=0.0026)
    _make_group(context, ranks, sets, sheet)


@given(
    "the experts' shares fall by their place in the order to the power "
    '{power:g}'
)
def falling_shares(context, power):
    rng = random.Random(5)
    experts = context.sheet.experts
    shares = [CHOICES / (1 + place) ** power for place in range(experts)]
    context.counts = []
    for _ in context.placed:
        context.counts += rng.sample(shares, experts)


def _make_group(context, ranks, sets, sheet):
    rng = random.Random(3)
    context.sheet = sheet
    context.placed = [
        [list(range(r, sheet.experts, ranks)) for r in range(ranks)]
        for _ in range(sets)
    ]
    context.counts = [
        rng.uniform(50, 150) for _ in range(sets * sheet.experts)
    ]
    context.paces = [1.0] * ranks


@given('one expert of each set gets {part:d} of 100 choices')
def one_hot_expert(context, part):
    experts = context.sheet.experts
    for first in range(0, len(context.counts), experts):
        others = sum(context.counts[first : first + experts])
        others -= context.counts[first + 5]
        context.counts[first + 5] = others * part / (100 - part)


@given('rank {rank:d} takes {times:g} times its usual time')
def slow_rank(context, rank, times):
    context.paces[rank] = times


@given('ranks 3, 7 and 11 take {times:g} times their usual time')
def three_slow_ranks(context, times):
    for rank in (3, 7, 11):
        context.paces[rank] = times


@given('all ranks take {times:g} times their usual time')
def slow_ranks(context, times):
    context.paces = [times] * RANKS


def _plan(context):
    context.before = context.placed
    planned = mapplans.plan(
        context.placed, context.counts, context.paces, context.sheet
    )
    if planned is not None:
        context.placed = planned.placed


@when('a map is planned')
def plan_map(context):
    _plan(context)


@when('a map is planned and in use, and rank {rank:d} is as usual again')
def plan_and_recover(context, rank):
    _plan(context)
    context.paces[rank] = 1.0


@given('some experts are chosen far more than others')
def uneven_demand(context):
    rng = random.Random(7)
    context.counts = [20 * rng.paretovariate(1.2) for _ in context.counts]


@when('a map is planned twice more after a shift of demand')
def plan_twice(context):
    uneven_demand(context)
    _plan(context)
    _plan(context)


@then('it is a whole map within the places and the spare ones')
def check_whole(context):
    for before, after in zip(context.before, context.placed):
        assert {e for held in after for e in held} == set(range(EXPERTS))
        for old, new in zip(before, after):
            assert len(new) == len(set(new)) <= SHEET.places, new
            assert len(set(new) - set(old)) <= SHEET.spare, (old, new)


@then('at most {most:d} experts are new to a rank over all sets')
def check_new_over_sets(context, most):
    for rank in range(len(context.paces)):
        new = sum(
            len(set(after[rank]) - set(before[rank]))
            for before, after in zip(context.before, context.placed)
        )
        assert new <= most, (rank, new)


@then('rank {rank:d} holds at most {most:d} experts in each set')
def check_most(context, rank, most):
    held = [len(by_rank[rank]) for by_rank in context.placed]
    assert max(held) <= most, held


@then('rank {rank:d} holds at least {least:d} experts in each set')
def check_least_held(context, rank, least):
    held = [len(by_rank[rank]) for by_rank in context.placed]
    assert min(held) >= least, held


@then('the most loaded rank has at most {most:g} times the mean')
def check_skew(context, most):
    ranks = len(context.paces)
    skew = _time(context, context.placed) * ranks / sum(context.counts)
    assert skew <= most, skew


@then('at most {most:d} experts are new to all ranks together')
def check_copies(context, most):
    copies = sum(
        maps.moved_experts(before, after)
        for before, after in zip(context.before, context.placed)
    )
    assert copies <= most, copies


def _time(context, placed):
    total = 0.0
    for number, by_rank in enumerate(placed):
        experts = context.sheet.experts
        load = context.counts[number * experts : (number + 1) * experts]
        each = maps.rank_loads(by_rank, load)
        total += max(a * p for a, p in zip(each, context.paces))
    return total


@then("the slowest rank's time is at most {part:g} of what it was")
def check_time(context, part):
    before, after = _time(context, context.before), _time(
        context, context.placed
    )
    assert after <= part * before, after / before


@given('the first runner takes {times:g} times its usual time')
def slow_runner(context, times):
    for known in context.site.known:
        known.by_id['i-0'].slowdown = times


@then('the first runner got none')
def check_none(context):
    assert not context.site.arrivals['i-0'], context.site.arrivals['i-0']
    assert context.site.arrivals['i-1']
