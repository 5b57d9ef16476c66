# SPDX-License-Identifier: Apache-2.0

"""Steps for the detection of demand shifts from selection counts."""

import random
import types

from behave import given, then, when

from mountridge.experts import demand, mapchanges, ranks
from mountridge.groups import rankgroups
from mountridge import messages

EXPERTS, RANKS, REPORT_S = 96, 12, 0.12
#: Selections in the report of a rank that processes a prompt, and of one that
#: only decodes. A tenth of the reports include a prompt.
PREFILL, DECODE = 20000, 2000
#: Share of the selections that are specific to one prompt.
PROMPT_SHARE = 0.2


def _random_shares(rng):
    weights = [1 / (1 + n) ** 1.3 for n in range(EXPERTS)]
    rng.shuffle(weights)
    return [weight / sum(weights) for weight in weights]


@given('selection counts of 96 experts, reported every 0.12 s by 12 ranks')
def make_demand(context):
    context.rng = random.Random(5)
    context.demand = demand.Demand()
    context.shares = _random_shares(context.rng)
    context.now_s = 0.0
    context.detected_s = []


def _report(context):
    rng = context.rng
    amount = PREFILL if rng.random() < 0.1 else DECODE
    prompt_shares = _random_shares(rng)
    counts = [
        round(amount * ((1 - PROMPT_SHARE) * share + PROMPT_SHARE * own))
        for share, own in zip(context.shares, prompt_shares)
    ]
    if context.demand.record(demand.pack(counts), context.now_s):
        context.detected_s.append(context.now_s)


def _run(context, span_s, idle=False):
    until_s = context.now_s + span_s
    while context.now_s < until_s:
        if idle:
            context.demand.record(demand.pack([0] * EXPERTS), context.now_s)
        else:
            _report(context)
        context.now_s += REPORT_S / RANKS


@when('demand is constant for 4 s and then shifts')
def run_and_shift(context):
    _run(context, 4)
    context.shifted_s = context.now_s
    context.shares = _random_shares(context.rng)
    _run(context, 1.0)


@when('demand is constant for 4 s')
def run_constant(context):
    _run(context, 4)


@when('demand is constant for 30 s')
def run_long(context):
    _run(context, 30)


@when('demand is constant for 4 s, idle for 3 s, and constant for 4 s')
def run_with_idle_period(context):
    _run(context, 4)
    _run(context, 3, idle=True)
    _run(context, 4)


@then('one shift is detected, at most {limit_s:g} s after it')
def check_one_shift(context, limit_s):
    assert len(context.detected_s) == 1, context.detected_s
    delay_s = context.detected_s[0] - context.shifted_s
    assert 0 <= delay_s <= limit_s, delay_s


@then('the settled mean is within {limit:g} of the current demand')
def check_mean(context, limit):
    assert context.demand.is_settled
    total = sum(context.demand.mean)
    distance = 0.5 * sum(
        abs(mean / total - share)
        for mean, share in zip(context.demand.mean, context.shares)
    )
    assert distance <= limit, distance


@then('no shift is detected')
def check_no_shift(context):
    assert not context.detected_s, context.detected_s


@when('counts are packed and unpacked')
def pack_counts(context):
    context.counts = [round(1e6 * share) for share in context.shares]
    context.packed = demand.pack(context.counts)
    assert demand.unpack(demand.pack([0, 0])) == [0.0, 0.0]


@then(
    'they take {size:d} bytes, and each count is within a {fraction:d}th '
    'of the largest'
)
def check_packed(context, size, fraction):
    assert len(context.packed.levels) == size
    largest = max(context.counts)
    for sent, received in zip(context.counts, demand.unpack(context.packed)):
        assert abs(sent - received) <= largest / fraction, (sent, received)


def _rank_report(context, epoch, choices=demand.NO_COUNTS):
    state = ranks.RankState(
        'g', epoch, 0, 12, True, 7, 3, 3, ranks.NO_VERSION,
        ranks.NO_VERSION, ranks.NO_VERSION, 4, 0, 1000, 1.0,
    )  # fmt: skip
    return messages.RankReport('i-0', state, [[1]], choices, ranks.NO_VERSION)


@given('a group of 12 ranks that is copying the experts of a change')
def make_group(context):
    context.group = rankgroups.Group()
    context.group.record_report(_rank_report(context, 1), 0.0)
    change = mapchanges.Change('g', 1, 9, [[[1], [2]]])
    context.group.progress = mapchanges.Progress(change, [])
    # The steps above report to the group, which has its own counts.
    context.demand = types.SimpleNamespace(record=_recorder(context))


def _recorder(context):
    def record(choices, now_s):
        before = context.group.outdated
        context.group.record_report(_rank_report(context, 1, choices), now_s)
        return context.group.outdated and not before

    return record


@then('a newer plan may replace the change')
def check_replaceable(context):
    assert context.detected_s and context.group.accepts_new_change


@then('no plan may replace it once a pass is held for it')
def check_held(context):
    group = context.group
    held = group.change._replace(step=12)
    group.progress = mapchanges.Progress(held, [])
    assert not group.accepts_new_change


@when('the group forms again')
def form_again(context):
    context.group.record_report(_rank_report(context, 2), context.now_s)


@then('no change is in progress, and demand is known')
def check_known(context):
    assert context.group.change is None
    assert context.group.demand.is_settled
