# SPDX-License-Identifier: Apache-2.0

"""Steps for requests that may cross halls: entries without a network."""

import collections
import heapq
import math
import random

from behave import given, then, when

from mountridge.documents import instances
from mountridge import messages
from mountridge.routing import backends
from mountridge.routing import sendgates

KIND = sendgates.RequestClass('s')
HALLS = ('h0', 'h1', 'h2')
SLOTS = 5
#: Interval of reports, and their age when they arrive.
REPORT_S, DELAY_S = 0.12, 0.05
SEEDS = (11, 12, 13)
TICK_S, SPAN_S, TOOK_S = 0.01, 30.0, 1.0
#: The runner that is slow, and when.
SLOW, SLOW_X, SLOW_FROM_S, SLOW_UNTIL_S = 'i-0', 12, 5.0, 14.0


def _runners(count):
    return [
        instances.Instance(
            f'i-{n}', 's', f'10.0.0.{n}:80', HALLS[n % 3], 'v', SLOTS,
            instances.READY,
        )
        for n in range(count)
    ]  # fmt: skip


def _group(key):
    """Return the group of a runner: each hall has ranks of both."""
    return 1 + int(key[2:]) // 3 % 2


def _entry(name, runners, hall_cost):
    known = backends.Backends(name, hall_cost=hall_cost)
    known.update_runners(runners)
    return known


def _report(known, key, load, percent=100, is_open=True, now_s=0.0):
    group = _group(key)
    report = messages.RunnerLoad(key, load, 0, percent, group, is_open)
    known.record_report(report, now_s)


@given('an entry in hall h0 to which a hop is worth {cost:g}')
def make_entry(context, cost):
    context.known = _entry('g-0', _runners(6), cost)


def _set_load(context, group, is_near, state):
    words = {'slow': (0, 200, True), 'closed': (0, 100, False)}
    load, percent, is_open = words.get(state) or (int(state), 100, True)
    for key, backend in context.known.by_id.items():
        is_in_h0 = backend.instance.hall == 'h0'
        if _group(key) == group and is_in_h0 == is_near:
            _report(context.known, key, load, percent, is_open)


@given('in h0 the runner of group 1 has {one} and that of group 2 has {two}')
def set_near(context, one, two):
    _set_load(context, 1, True, one)
    _set_load(context, 2, True, two)


@given('elsewhere those of group 1 have {one} and those of group 2 {two}')
def set_far(context, one, two):
    _set_load(context, 1, False, one)
    _set_load(context, 2, False, two)


@when('a request is sent')
def send_request(context):
    # Ties are broken at random.
    context.went = [
        context.known.pick(KIND, 'h0', set(), 1, random.Random(n), 0.01)
        for n in range(20)
    ]


@then('it goes to group {group} in {where}')
def check_went(context, group, where):
    for picked in context.went:
        instance = picked.backend.instance
        is_near = instance.hall == 'h0'
        assert is_near == (where == 'this hall'), instance
        assert group in ('any', str(picked.backend.group)), instance


class _Play:
    """One load played on entries that select runners on their own."""

    def __init__(self, per_s, slow, hall_cost, seed):
        self.rng = random.Random(seed)
        runners = _runners(24)
        self.entries = [_entry(f'g-{n}', runners, hall_cost) for n in range(9)]
        self.halls = {r.instance_id: r.hall for r in runners}
        self.loads = dict.fromkeys(self.halls, 0)
        self.slow = slow
        self.sent = collections.Counter()
        self.waited = collections.Counter()
        self.crossed = 0
        self.ends, self.reports = [], collections.deque()
        for tick in range(round(SPAN_S / TICK_S)):
            now_s = tick * TICK_S
            self.update(tick, now_s)
            for number, known in enumerate(self.entries):
                hall = HALLS[number % 3]
                if self.rng.random() < per_s(hall, now_s) * TICK_S:
                    self.send(known, hall, now_s)

    def update(self, tick, now_s):
        while self.ends and self.ends[0][0] <= now_s:
            _, _, key, known = heapq.heappop(self.ends)
            self.loads[key] -= 1
            known.by_id[key].request_ended()
        if tick % round(REPORT_S / TICK_S) == 0:
            self.reports.append((now_s + DELAY_S, dict(self.loads)))
        while self.reports and self.reports[0][0] <= now_s:
            _, loads = self.reports.popleft()
            for known in self.entries:
                for key, load in loads.items():
                    _report(known, key, load, now_s=now_s)

    def send(self, known, hall, now_s):
        count = len(self.entries)
        picked = known.pick(KIND, hall, set(), count, self.rng, now_s)
        picked.backend.request_started(now_s)
        key = picked.backend.instance.instance_id
        self.sent[hall] += 1
        self.waited[hall] += self.loads[key] >= SLOTS
        self.crossed += self.halls[key] != hall
        self.loads[key] += 1
        is_slow = key == self.slow and SLOW_FROM_S <= now_s < SLOW_UNTIL_S
        took_s = self.rng.expovariate(1 / TOOK_S) * (SLOW_X if is_slow else 1)
        end = (now_s + took_s, sum(self.sent.values()), key, known)
        heapq.heappush(self.ends, end)


@given('9 entries in 3 halls and 24 runners of 5 slots in 2 groups')
def make_halls(context):
    context.slow = ''


def _set_demand(context, share):
    """Set the demand of a hall, as a share of the slots there."""
    # Three entries in each hall, before a third of the slots.
    slots = 24 * SLOTS / 3
    context.per_s = lambda hall, now_s: share(hall, now_s) * slots / TOOK_S / 3


@given('an even load of 0.3 of the slots')
def set_even(context):
    _set_demand(context, lambda hall, now_s: 0.3)


@given('opposite peaks in three halls')
def set_peaks(context):
    def share(hall, now_s):
        turn = now_s / 17 + HALLS.index(hall) / 3
        return 0.45 * (1 + 0.55 * math.sin(2 * math.pi * turn))

    _set_demand(context, share)


@given('one hall x 2')
def set_one_hall(context):
    _set_demand(context, lambda hall, now_s: 0.8 if hall == 'h0' else 0.4)


@given('one runner x 12 slower for 9 s')
def set_slow_runner(context):
    context.slow = SLOW
    _set_demand(context, lambda hall, now_s: 0.4)


@when('30 s of the load are played with a hop at {default:g} and at {cost:g}')
def play(context, default, cost):
    context.before, context.after = (
        [_Play(context.per_s, context.slow, each, seed) for seed in SEEDS]
        for each in (default, cost)
    )


def _sum(plays, count):
    return sum(count(play) for play in plays)


@then('at most {most:g} times as many streams cross halls')
def check_crossing(context, most):
    before, after = (
        _sum(each, lambda play: play.crossed)
        / _sum(each, lambda play: sum(play.sent.values()))
        for each in (context.before, context.after)
    )
    print(f'cross halls: {before:.3f}, {after:.3f}')
    assert after <= most * before, (before, after)


@then('in no hall more requests wait, but for 1 in 100')
def check_waiting(context):
    for hall in HALLS:
        before, after = (
            _sum(each, lambda play: play.waited[hall])
            / _sum(each, lambda play: play.sent[hall])
            for each in (context.before, context.after)
        )
        print(f'wait in {hall}: {before:.3f}, {after:.3f}')
        assert after <= before + 0.01, (hall, before, after)
