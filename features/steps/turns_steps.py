# SPDX-License-Identifier: Apache-2.0

"""Steps for demand that shifts every few seconds."""

import collections
import random

from behave import given, then, when

from mountridge import messages
from mountridge.experts import demand, mapchanges, ranks
from mountridge.groups import rankgroups

RANKS, SETS, EXPERTS = 16, 4, 128
REPORT_S, SHIFT_S = 0.2, 2.13
#: Steps of time in which the selections of a report are drawn.
STEP_S = REPORT_S / RANKS
SELECTIONS = 20000
#: Random part of each expert's selections in one report.
NOISE = 0.5


def _popularity(orders):
    shares = [0.0] * (SETS * EXPERTS)
    for number, order in enumerate(orders):
        for position, expert in enumerate(order):
            shares[number * EXPERTS + expert] = (1 + position // 2) ** -0.82
    return [share / sum(shares) for share in shares]


def _draw_orders(rng):
    return [rng.sample(range(EXPERTS), EXPERTS) for _ in range(SETS)]


def _distance(counts, shares):
    total = sum(counts)
    return 0.5 * sum(abs(a / total - b) for a, b in zip(counts, shares))


@given('16 ranks that report in turn the selections of the last 0.2 s')
def make_ranks(context):
    context.rng = random.Random(9)
    context.orders = _draw_orders(context.rng)
    context.shares = context.former = _popularity(context.orders)
    context.recent = collections.deque([context.shares] * RANKS, RANKS)
    context.demand = demand.Demand()
    context.group = None
    context.now_s, context.shifted_s = 0.0, []
    context.detected_s, context.samples = [], []


@given('{share:g} of the experts swap their popularity every 2.13 s')
def let_experts_swap(context, share):
    def shift():
        for order in context.orders:
            count = round(share * EXPERTS)
            positions = context.rng.sample(range(EXPERTS), count)
            moved = [order[position] for position in positions]
            context.rng.shuffle(moved)
            for position, expert in zip(positions, moved):
                order[position] = expert
        return _popularity(context.orders)

    context.shift = shift


@given('two demands alternate every 2.13 s')
def let_demands_alternate(context):
    other = _draw_orders(context.rng)
    known = [context.orders, other]

    def shift():
        known.reverse()
        return _popularity(known[0])

    context.shift = shift


@given('{share:g} of the selections go to other experts every 2.13 s')
def let_some_selections_move(context, share):
    shares = context.shares

    def shift():
        hot = [0.0] * len(shares)
        for expert in context.rng.sample(range(len(shares)), 16):
            hot[expert] = 1 / 16
        return [(1 - share) * a + share * b for a, b in zip(shares, hot)]

    context.shift = shift


def _report(context):
    """Let one rank report the selections of the last 0.2 s."""
    context.recent.append(context.shares)
    counts = [
        round(
            SELECTIONS
            * (sum(shares) / RANKS if mixed else shares[0])
            * (1 - NOISE + NOISE * context.rng.expovariate(1.0))
        )
        for shares in zip(*context.recent)
        for mixed in (shares[0] != shares[-1],)
    ]
    context.now_s += STEP_S
    if context.group is not None:
        _report_to_group(context, counts)
    elif context.demand.record(demand.pack(counts), context.now_s):
        context.detected_s.append(context.now_s)


@when('{count:d} shifts of demand have been reported')
def report_shifts(context, count):
    next_s = SHIFT_S
    while len(context.shifted_s) < count or context.now_s < next_s - STEP_S:
        if context.now_s >= next_s:
            context.shifted_s.append(next_s)
            next_s += SHIFT_S
            context.former = context.shares
            context.shares = context.shift()
        _report(context)
        _sample(context)


def _sample(context):
    """Note what is known of demand, while a shift is recent."""
    if not context.shifted_s or context.now_s > context.shifted_s[-1] + 0.6:
        return
    known = context.group.demand if context.group else context.demand
    if known.is_settled:
        context.samples.append(
            (
                len(context.shifted_s),
                context.now_s - context.shifted_s[-1],
                _distance(known.mean, context.shares),
                _distance(known.mean, context.former),
                bool(context.group and context.group.accepts_new_change),
            )
        )


@when('demand {behaves} for 40 s')
def report_without_shift(context, behaves):
    first, last = context.shares, _popularity(_draw_orders(context.rng))
    while context.now_s < 40:
        if behaves == 'changes slowly' and context.now_s > 2:
            done = context.now_s / 40
            context.shares = [
                (1 - done) * a + done * b for a, b in zip(first, last)
            ]
        _report(context)


@then('each shift is detected within {limit_s:g} s, and nothing else is')
def check_detected(context, limit_s):
    assert len(context.detected_s) == len(context.shifted_s), (
        context.detected_s,
        context.shifted_s,
    )
    for shifted_s, detected_s in zip(context.shifted_s, context.detected_s):
        assert 0 <= detected_s - shifted_s <= limit_s, detected_s - shifted_s


@then('within {limit_s:g} s of each shift demand is known within {distance:g}')
def check_known(context, limit_s, distance):
    for number in range(1, len(context.shifted_s) + 1):
        assert any(
            number == shift and age_s <= limit_s and new <= distance
            for shift, age_s, new, _, _ in context.samples
        ), [each for each in context.samples if each[0] == number]


@then('no shift of demand was detected')
def check_nothing_detected(context):
    assert not context.detected_s, context.detected_s


@then('the first demand known after each shift is within {distance:g}')
def check_first_known(context, distance):
    for number, detected_s in enumerate(context.detected_s, 1):
        age_s = detected_s - context.shifted_s[number - 1]
        first = next(
            each
            for each in context.samples
            if each[0] == number and each[1] >= age_s
        )
        assert first[2] <= distance, first


def _report_to_group(context, counts):
    state = ranks.RankState(
        'g', 1, 0, RANKS, True, 7, 3, 3, ranks.NO_VERSION,
        ranks.NO_VERSION, ranks.NO_VERSION, 4, 0, 1000, 1.0,
    )  # fmt: skip
    report = messages.RankReport(
        'i-0', state, [[1]], demand.pack(counts), ranks.NO_VERSION
    )
    context.group.record_report(report, context.now_s)


@given('a group that is copying the experts of a change throughout')
def make_group(context):
    context.group = rankgroups.Group()
    _report_to_group(context, [0])
    change = mapchanges.Change('g', 1, 9, [[[1], [2]]])
    context.group.progress = mapchanges.Progress(change, [])


@when('a change is planned that {uses} the counts after the shift')
def plan_change(context, uses):
    # Set when the search begins, and by a shift during it.
    context.group.outdated = uses == 'does not use'
    context.group.answer_shift()


@then('{time} is logged with it, and none with the next change')
def check_shift_age(context, time):
    group = context.group
    age_ms = group.shift_age_ms(context.now_s)
    since_s = context.now_s - context.shifted_s[-1]
    if time == 'its age':
        assert 0 <= 1000 * since_s - age_ms <= 350, (age_ms, since_s)
        group.answer_shift()
    assert group.shift_age_ms(context.now_s) == -1


@then('within {limit_s:g} s of each shift a newer plan may replace the change')
def check_replaceable(context, limit_s):
    for number in range(1, len(context.shifted_s) + 1):
        assert any(
            number == shift and age_s <= limit_s and new <= 0.2 and accepts
            for shift, age_s, new, _, accepts in context.samples
        ), [each for each in context.samples if each[0] == number]


@then(
    "the gauges of the leader have the plans' gains and the time to their use"
)
def check_gauges(context):
    gauges = context.world.gauges
    before, after = (
        gauges['maps.g.slowest_before'],
        gauges['maps.g.slowest_after'],
    )
    assert before > after >= 1.0, gauges
    # Demand shifts every second; one that shifts again is counted anew.
    assert 0 <= gauges['maps.g.shift_to_use_ms'] <= 2000, gauges
