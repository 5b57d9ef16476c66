# SPDX-License-Identifier: Apache-2.0

"""Steps on how shifts of demand are told from counts of choices."""

import random
import types

from behave import given, then, when

from mountridge.experts import demand, mapchanges, ranks
from mountridge.groups import rankgroups
from mountridge import messages

EXPERTS, RANKS, REPORT_S = 96, 12, 0.12
#: Choices in the report of a rank that reads a prompt, and of one that
#: only writes. A tenth of the reports have a prompt.
READING, WRITING = 20000, 2000
#: Part of a prompt's choices that is its own, whatever is asked for most.
OWN_PART = 0.2


def _likes(rng):
    likes = [1 / (1 + n) ** 1.3 for n in range(EXPERTS)]
    rng.shuffle(likes)
    return [like / sum(likes) for like in likes]


@given('the choices of 96 experts, reported each 0.12 s by 12 ranks')
def make_demand(context):
    context.rng = random.Random(5)
    context.demand = demand.Demand()
    context.likes = _likes(context.rng)
    context.now_s = 0.0
    context.told_s = []


def _report(context):
    rng = context.rng
    amount = READING if rng.random() < 0.1 else WRITING
    own = _likes(rng)
    counts = [
        round(amount * ((1 - OWN_PART) * like + OWN_PART * its))
        for like, its in zip(context.likes, own)
    ]
    if context.demand.take(demand.pack(counts), context.now_s):
        context.told_s.append(context.now_s)


def _keep(context, span_s, idle=False):
    until_s = context.now_s + span_s
    while context.now_s < until_s:
        if idle:
            context.demand.take(demand.pack([0] * EXPERTS), context.now_s)
        else:
            _report(context)
        context.now_s += REPORT_S / RANKS


@when('demand keeps for 4 s and then shifts for good')
def keep_and_shift(context):
    _keep(context, 4)
    context.shifted_s = context.now_s
    context.likes = _likes(context.rng)
    _keep(context, 1.0)


@when('demand keeps for 4 s')
def keep_some(context):
    _keep(context, 4)


@when('demand keeps for 30 s')
def keep_long(context):
    _keep(context, 30)


@when('demand keeps for 4 s, rests for 3 s, and keeps for 4 s')
def keep_and_rest(context):
    _keep(context, 4)
    _keep(context, 3, idle=True)
    _keep(context, 4)


@then('one shift was told, at most {most_s:g} s after it')
def check_one_shift(context, most_s):
    assert len(context.told_s) == 1, context.told_s
    late_s = context.told_s[0] - context.shifted_s
    assert 0 <= late_s <= most_s, late_s


@then('once settled the mean is within {most:g} of what is asked for now')
def check_mean(context, most):
    assert context.demand.is_settled
    total = sum(context.demand.mean)
    away = 0.5 * sum(
        abs(mean / total - like)
        for mean, like in zip(context.demand.mean, context.likes)
    )
    assert away <= most, away


@then('no shift was told')
def check_no_shift(context):
    assert not context.told_s, context.told_s


@when('counts are packed and read again')
def pack_counts(context):
    context.counts = [round(1e6 * like) for like in context.likes]
    context.packed = demand.pack(context.counts)
    assert demand.unpack(demand.pack([0, 0])) == [0.0, 0.0]


@then(
    'they took {size:d} bytes, and each count is within a {part:d}th '
    'of the largest'
)
def check_packed(context, size, part):
    assert len(context.packed.parts) == size
    largest = max(context.counts)
    for sent, read in zip(context.counts, demand.unpack(context.packed)):
        assert abs(sent - read) <= largest / part, (sent, read)


def _rank_report(context, epoch, choices=demand.NO_CHOICES):
    state = ranks.RankState(
        'g', epoch, 0, 12, True, 7, 3, 3, ranks.NO_VERSION,
        ranks.NO_VERSION, ranks.NO_VERSION, 4, 0, 1000, 1.0,
    )  # fmt: skip
    return messages.RankReport('i-0', state, [[1]], choices, ranks.NO_VERSION)


@given('a group of 12 ranks that copies the experts of a change')
def make_group(context):
    context.group = rankgroups.Group()
    context.group.record_report(_rank_report(context, 1), 0.0)
    change = mapchanges.Change('g', 1, 9, [[[1], [2]]])
    context.group.progress = mapchanges.Progress(change, [])
    # The group's own counts stand in for those of the steps above.
    context.demand = types.SimpleNamespace(take=_taker(context))


def _taker(context):
    def take(choices, now_s):
        before = context.group.outdated
        context.group.record_report(_rank_report(context, 1, choices), now_s)
        return context.group.outdated and not before

    return take


@then('a newer plan may take the place of the change')
def check_gives_way(context):
    assert context.told_s and context.group.accepts_new_change


@then('none may once a pass is held for it')
def check_held(context):
    group = context.group
    held = group.change._replace(step=12)
    group.progress = mapchanges.Progress(held, [])
    assert not group.accepts_new_change


@when('the group forms anew')
def form_anew(context):
    context.group.record_report(_rank_report(context, 2), context.now_s)


@then('no change is under way, and what is asked for is known')
def check_known(context):
    assert context.group.change is None
    assert context.group.demand.is_settled
