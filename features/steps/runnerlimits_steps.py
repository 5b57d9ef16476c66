# SPDX-License-Identifier: Apache-2.0

"""Steps on limits that runners name: many gateways, on virtual time."""

import collections
import heapq
import itertools
import json
import math
import pathlib
import random
import sys
import types

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import Phase, settings, strategies
import trio

from features.worlds import rests
from mountridge import errors
from mountridge.net import dialects
from mountridge.routing import backends, gatewaysets, runnerlimits
from mountridge.routing import sendgates, warmup

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / 'platform'))
from adapter import wire  # noqa: E402,H306

WINDOW_S, CONTACT_S, SPAN_S = 4.0, 0.5, 24.0
KIND = sendgates.RequestClass('s')
BORN_MS = 1000
RUNNER = rests.Runner(0).instance


def most_in_window(times_s):
    """Return how many of the times lie in one window at most."""
    window, most = collections.deque(), 0
    for at_s in sorted(times_s):
        window.append(at_s)
        while window[0] <= at_s - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    return most


# Gateways that send one runner as much as they may.


class _Fleet:
    """Limits of all gateways, with the arrivals at one runner."""

    def __init__(self, count, limit_at, seed, poll_s=0.1):
        self.poll_s = poll_s
        self.rng = random.Random(seed)
        self.limit_at = limit_at
        self.names = [f'g-{n}' for n in range(count)]
        self.limits = {name: self._start(name, -100.0) for name in self.names}
        self.heard_s, self.excused = {}, set()
        self.counted_s = []
        self.suspended_until_s = {}
        self._events, self._order = [], itertools.count()

    def _start(self, name, started_s):
        return runnerlimits.RunnerLimits(name, 'h', started_s)

    def at(self, at_s, action, *args):
        heapq.heappush(self._events, (at_s, next(self._order), action, args))

    def apply_view(self, now_s, name, names):
        self.limits[name].update_gateways(dict.fromkeys(names, 'h'), now_s)

    def set_view(self, names, at_s, lag_s=0.0):
        """Let each of the names see these gateways, up to ``lag_s`` later."""
        for name in names:
            after_s = self.rng.uniform(0, lag_s)
            self.at(at_s + after_s, self.apply_view, name, list(names))

    def restart(self, now_s, name):
        self.excused.add(name)
        self.limits[name] = self._start(name, now_s)
        self.heard_s.pop(name, None)

    def add(self, now_s, name):
        self.names.append(name)
        self.limits[name] = self._start(name, now_s)
        self.set_view(self.names, now_s, 1.0)
        self.send(now_s, name)

    def suspend(self, now_s, name, span_s):
        self.suspended_until_s[name] = now_s + span_s

    def send(self, now_s, name):
        limits = self.limits[name]
        next_s = limits.next_send_s(RUNNER, now_s)
        wait_s = self.rng.uniform(0.5, 1.5) * self.poll_s
        if next_s > now_s:
            wait_s = min(wait_s, next_s - now_s + 0.001)
        self.at(now_s + wait_s, self.send, name)
        if now_s < self.suspended_until_s.get(name, 0.0):
            return
        if next_s <= now_s:
            slot = limits.reserve(RUNNER, now_s)
            after_s = self.rng.uniform(0, 0.3)
            self.at(now_s + after_s, self.arrive, name, limits, slot)

    def arrive(self, now_s, name, limits, slot):
        until_s = self.suspended_until_s.get(name, 0.0)
        if now_s < until_s:
            self.at(until_s, self.arrive, name, limits, slot)
            return
        if slot is None and limits.next_send_s(RUNNER, now_s) > now_s:
            return
        if slot is not None and not limits.may_send(RUNNER, slot, now_s):
            return
        if limits is not self.limits[name]:
            return
        heard_s = self.heard_s.get(name, math.inf)
        if heard_s <= now_s - CONTACT_S and name not in self.excused:
            self.counted_s.append(now_s)
        after_s = self.rng.uniform(0.01, 0.4)
        self.at(now_s + after_s, self.answer, name, limits, now_s)

    def answer(self, now_s, name, limits, sent_s):
        per_s = self.limit_at(now_s)
        if per_s is None:
            limits.end_limit(RUNNER, sent_s, now_s)
            return
        limits.name_limit(RUNNER, per_s, sent_s, now_s)
        if limits is self.limits[name]:
            self.heard_s.setdefault(name, now_s)

    def play(self, span_s=SPAN_S):
        for name in self.names:
            self.at(0.0, self.send, name)
        while self._events[0][0] < span_s:
            now_s, _, action, args = heapq.heappop(self._events)
            action(now_s, *args)
        return most_in_window(self.counted_s)


def _restarts(fleet):
    for name in fleet.names[::4]:
        at_s = fleet.rng.uniform(1, SPAN_S - 6)
        fleet.at(at_s, fleet.restart, name)
        fleet.at(at_s + 0.5, fleet.apply_view, name, list(fleet.names))
        others = [n for n in fleet.names if n != name]
        fleet.set_view(others, at_s + 3.0, 1.0)
        fleet.set_view(fleet.names, at_s + 5.0, 1.0)


def _joins(fleet):
    for number in range(4):
        fleet.at(3.0 + 3 * number, fleet.add, f'new-{number}')


def _halves(fleet):
    for half in (fleet.names[::2], fleet.names[1::2]):
        fleet.set_view(half, 0.0)


def _suspensions(fleet):
    for name in fleet.names[::5]:
        fleet.at(fleet.rng.uniform(1, SPAN_S), fleet.suspend, name, 6.0)


FAULTS = {
    'gateways restart': _restarts,
    'gateways join': _joins,
    'halves never knew of the other': _halves,
    'a gateway is suspended': _suspensions,
}


@given('a runner that names a limit of {per_s:g} requests a second')
def runner_with_limit(context, per_s):
    context.per_s = per_s


@when('{count:d} gateways send it as much as they may, and {fault}')
def send_all(context, count, fault):
    per_s, rng = context.per_s, random.Random(count)
    limits = {
        'the limit rises and falls': lambda now_s: (
            per_s if now_s % 6 < 3 else per_s / 5
        ),
        'each answer has its own limit': lambda _: rng.uniform(0.5, 1) * per_s,
    }
    fleet = _Fleet(count, limits.get(fault, lambda _: per_s), seed=count)
    if fault != 'halves never knew of the other':
        fleet.set_view(fleet.names, 0.0)
    FAULTS.get(fault, lambda _: None)(fleet)
    context.most = fleet.play()


@then('in any 4 s it gets at most {over:g} times its limit and 5 requests')
def check_most(context, over):
    most = over * context.per_s * WINDOW_S + 5
    assert context.most <= most, (context.most, most)


@then('in 4 s it gets at least {some:g} times its limit')
def check_some(context, some):
    """Check that gateways use what they may, so that it is tested."""
    assert context.most >= some * context.per_s * WINDOW_S, context.most


@then('in random schedules with several faults any 4 s keep to the limit')
def check_schedules(context):
    @settings(
        max_examples=40,
        deadline=None,
        database=None,
        derandomize=True,
        phases=(Phase.generate, Phase.shrink),
    )
    @for_all(
        strategies.sampled_from((2, 3, 5, 12, 39, 100, 390)),
        strategies.sampled_from((0.0, 0.2, 0.5, 1.0, 1.99, 4.0, 12.0, 60.0)),
        strategies.sets(strategies.sampled_from(sorted(FAULTS))),
        strategies.integers(0, 1000),
    )
    def keeps_limit(count, per_s, faults, seed):
        fleet = _Fleet(count, lambda _: per_s, seed)
        # With several faults too, gateways hold two views at most: an old and
        # a new one, or those of two halves.
        if 'halves never knew of the other' in faults:
            faults = {'halves never knew of the other'}
        else:
            fleet.set_view(fleet.names, 0.0)
        for fault in sorted(faults):
            FAULTS[fault](fleet)
        over = 1.5 if faults else 1.2
        most = fleet.play()
        assert most <= over * per_s * WINDOW_S + 5, most

    keeps_limit()


@then('twice the shares of all owners of {count:d} gateways keep to any limit')
def check_shares(context, count):
    for tenths in range(0, 2000):
        per_s = tenths / 10
        share = runnerlimits.compute_share(per_s, count)
        assert 1 <= share.owners <= count and share.sends >= 1, share
        both = 2 * share.owners * share.sends
        assert both <= 1.5 * WINDOW_S * per_s + 5, (per_s, share)


@when(
    '{count:d} gateways know of it for {span_s:g} s, and then it names none'
    ' for {ended_s:g} s'
)
def end_for_all(context, count, span_s, ended_s):
    def limit_at(now_s):
        return context.per_s if now_s < span_s else None

    fleet = context.fleet = _Fleet(count, limit_at, 1, poll_s=2.0)
    fleet.set_view(fleet.names, 0.0)
    fleet.at(span_s, lambda _: fleet.heard_s.clear())
    context.most = fleet.play(span_s + ended_s)
    context.now_s = span_s + ended_s


@then('no gateway knows a limit any more')
def check_none_known(context):
    known = [
        name
        for name, limits in context.fleet.limits.items()
        if limits.is_limited(RUNNER, context.now_s)
    ]
    assert not known, known


@given('a gateway that started {ago_s:g} s ago, and a lease of {lease_s:g} s')
def started(context, ago_s, lease_s):
    context.limits = runnerlimits.RunnerLimits('g', 'h', 10 - ago_s, lease_s)


@when('a runner names a limit of {per_s:g} requests a second')
def name(context, per_s):
    context.limits.name_limit(RUNNER, per_s, 9.5, 10.0)


@then('the gateway sends it nothing for {span_s:g} s')
def check_nothing(context, span_s):
    assert context.limits.next_send_s(RUNNER, 10.0) == 10.0 + span_s


# Gateways with their forwarders.


def _limited(value):
    return rests.Answer(200, ((b'X-Limit', str(value).encode()),))


def _ranks(context):
    return list(context.world.runners.values())


@given('{gateways:d} gateways and {ranks:d} ranks, and a common view')
def known_gateways(context, gateways, ranks):
    context.world = rests.World(gateways, ranks)
    halls = dict.fromkeys(context.world.gateways, 'north')
    for gateway in context.world.gateways.values():
        gateway.backends.limits.update_gateways(halls, 0.0)
    for runner in _ranks(context):
        runner.instance = runner.instance._replace(born_ms=BORN_MS)
    context.first = _ranks(context)[0]


@given('the first rank names a limit of {value} a second')
def name_first(context, value):
    context.first.answer = _limited(value)


@given('all ranks name a limit of {value} a second')
def name_all(context, value):
    for runner in _ranks(context):
        runner.answer = _limited(value)


@given(
    'the second rank answers at the address of the first, with a limit of'
    ' {value}'
)
def misdirected(context, value):
    headers = ((b'X-Instance-Id', b'i-1'), (b'X-Limit', value.encode()))
    context.first.answer = rests.Answer(421, headers)


@when('{per_s:d} requests a second arrive for {span_s:d} s')
def load(context, per_s, span_s):
    context.world.play(lambda: context.world.load(per_s, span_s))


@when(
    '{per_s:d} requests a second arrive for {span_s:d} s, at first only at one'
    ' gateway'
)
def load_at_one(context, per_s, span_s):
    async def script():
        for _ in range(3):
            await context.world.ask('g0')
        await context.world.load(per_s, span_s)

    context.world.play(script)


def _load_and(context, per_s, span_s, after_s, change):
    async def later():
        await trio.sleep(after_s)
        change()

    async def script():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(later)
            await context.world.load(per_s, span_s)

    context.world.play(script)


@when(
    '{per_s:d} requests a second arrive for {span_s:d} s, and it restarts'
    ' after {after_s:d} s'
)
def load_and_restart(context, per_s, span_s, after_s):
    _load_and_register(context, per_s, span_s, after_s, BORN_MS + 1)
    context.first = context.later


@when(
    '{per_s:d} requests a second arrive for {span_s:d} s, and it is registered'
    ' again after {after_s:d} s'
)
def load_and_return(context, per_s, span_s, after_s):
    _load_and_register(context, per_s, span_s, after_s, BORN_MS)
    context.first.arrivals += context.later.arrivals


def _load_and_register(context, per_s, span_s, after_s, born_ms):
    later = context.later = rests.Runner(0, incarnation=2)
    later.instance = later.instance._replace(born_ms=born_ms)
    context.at_s = after_s

    def register():
        context.world.put_runner(later)
        context.world.update_registrations()

    _load_and(context, per_s, span_s, after_s, register)


@then('its new incarnation gets a request within {span_s:g} s')
def check_new(context, span_s):
    first_s = context.later.arrivals[0].at_s
    assert first_s <= context.at_s + span_s, first_s


@then('the gateway keeps no limit')
def check_none_kept(context):
    assert not len(context.world.gateways['g0'].backends.limits)


@when(
    '{per_s:d} requests a second arrive for {span_s:d} s, and it names none'
    ' after {after_s:d} s'
)
def load_and_end(context, per_s, span_s, after_s):
    context.at_s = after_s

    def end():
        context.first.answer = rests.Answer()

    _load_and(context, per_s, span_s, after_s, end)


@when(
    '{per_s:d} requests a second arrive for {span_s:d} s, and it names {value}'
    ' after {after_s:d} s'
)
def load_and_change(context, per_s, span_s, value, after_s):
    def change():
        context.first.answer = _limited(value)

    _load_and(context, per_s, span_s, after_s, change)


@when(
    '{per_s:d} requests a second arrive for {span_s:d} s, and all name none'
    ' after {after_s:d} s'
)
def load_and_end_all(context, per_s, span_s, after_s):
    context.at_s = after_s

    def end():
        for runner in _ranks(context):
            runner.answer = rests.Answer()

    _load_and(context, per_s, span_s, after_s, end)


def _refusals(context):
    return [
        (number, json.loads(answer.body)['error'])
        for number, answer in enumerate(context.world.answers)
        if answer.status != 200
    ]


@then(
    'all refusals are {code:d}, and none comes from {after_s:d} s after the'
    ' next answer on'
)
def check_refusals(context, code, after_s):
    found = _refusals(context)
    assert found and {error['code'] for _, error in found} == {code}, found
    assert _after_end(context, after_s, after_s + 2) >= 8
    # Refused at once, so in order of arrival: none of the last 3 s.
    last = max(number for number, _ in found)
    assert last < len(context.world.answers) - 30, found


@then('all refusals are {code:d}, and {count:d} requests are refused')
def check_refusal_count(context, code, count):
    found = _refusals(context)
    assert [error['code'] for _, error in found] == [code] * count, found


def _after_end(context, from_s, to_s):
    times_s = [each.at_s for each in context.first.arrivals]
    served_s = rests.SERVICE_S + 2 * rests.LATENCY_S
    ended_s = served_s + next(
        at_s for at_s in times_s if at_s + served_s > context.at_s
    )
    return sum(ended_s + from_s < at_s <= ended_s + to_s for at_s in times_s)


@then('it gets {most:d} requests or less in the second after the next answer')
def check_care(context, most):
    assert _after_end(context, 0, 1) <= most, context.first.arrivals


@then(
    'it gets {least:d} requests or more within 2 s from 2 s after the next'
    ' answer'
)
def check_full(context, least):
    assert _after_end(context, 2, 4) >= least, context.first.arrivals


@then(
    'in any 4 s the first rank gets at most {over:g} times {per_s:g} and'
    ' {slack:d} requests'
)
def check_first(context, over, per_s, slack):
    """Check the arrivals from gateways that heard half a second before."""
    heard_s, counted_s = {}, []
    answer_s = rests.SERVICE_S + 2 * rests.LATENCY_S
    for at_s, gateway in context.first.arrivals:
        known_s = heard_s.setdefault(gateway, at_s + answer_s) + CONTACT_S
        if at_s >= known_s:
            counted_s.append(at_s)
    most = most_in_window(counted_s)
    assert most <= over * per_s * WINDOW_S + slack, (most, counted_s)


@then('the first rank gets {least:d} requests or more')
def check_least(context, least):
    assert len(context.first.arrivals) >= least, context.first.arrivals


@then('the {which} rank gets {count:d} requests')
def check_count(context, which, count):
    runner = _ranks(context)[('first', 'second').index(which)]
    assert len(runner.arrivals) == count, runner.arrivals


@then('the gateway knows no limit of the first rank')
def check_unknown(context):
    limits = context.world.gateways['g0'].backends.limits
    first, second = (r.instance for r in _ranks(context)[:2])
    assert not limits.is_limited(first, 0.0)
    assert limits.is_limited(second, 0.0)


@when(
    '{count:d} requests wait {wait_s:g} s for a connection to it, and one has'
    ' its answer'
)
def wait_for_connection(context, count, wait_s):
    world, first = context.world, context.first

    async def script():
        first.service_s = 0.05
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(world.ask, 'g0', 20000)
                await trio.sleep(0.001)
                first.connect_s = wait_s

    world.play(script)


@when(
    'both have named it and one request arrives {due_s:g} s before one is due'
)
def ask_before_due(context, due_s):
    world = context.world
    limits = world.gateways['g0'].backends.limits

    async def script():
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(world.ask, 'g0')
        now_s = trio.current_time()
        runners = [each.instance for each in world.runners.values()]
        await trio.sleep(limits.slot_s(runners, 0, now_s) - due_s - now_s)
        await _ask_timed(context, 'g0')

    world.play(script)


async def _ask_timed(context, gateway):
    begun_s = trio.current_time()
    context.answer = await context.world.ask(gateway)
    context.took_s = trio.current_time() - begun_s


@then('it is answered {status:d} in {least_s:g} to {most_s:g} s')
def check_answered(context, status, least_s, most_s):
    answer = context.answer
    assert answer.status == status, answer.body
    assert least_s <= context.took_s <= most_s, context.took_s
    if status == 503:
        error = json.loads(answer.body)['error']
        assert error['code'] == errors.RunnersLimited.code, error
        assert 0.5 <= float(answer.headers[b'Retry-After']) <= 30.0


@when('a gateway that is no owner of it has named it and gets a request')
def ask_other(context):
    world, runner = context.world, context.first.instance
    share = runnerlimits.compute_share(0.0, len(world.gateways))

    async def script():
        for name, gateway in world.gateways.items():
            limits = gateway.backends.limits
            limits.name_limit(runner, 0.0, 0.0, trio.current_time())
            if limits.next_send_s(runner, 0.0) > runnerlimits.MAX_INTERVAL_S:
                await _ask_timed(context, name)

    world.play(script)
    others = len(world.gateways) - share.owners
    assert len(world.answers) == others, (len(world.answers), share)


# One gateway.


@given(
    'a gateway that may send a request to a runner with a limit of {per_s:g} a'
    ' second'
)
def may_send(context, per_s):
    context.known = backends.Backends('g-0')
    context.known.update_runners([RUNNER])
    context.limits = context.known.limits
    context.limits.name_limit(RUNNER, per_s, 0.0, 1.0)
    context.now_s = 100.0


@when('it selects the runner for a request that {what}')
def select(context, what):
    backend = context.known.by_id[RUNNER.instance_id]
    sends = context.known.request_started(backend, KIND, context.now_s)
    if what != 'is given up before it began':
        sends.check(context.now_s)
        sends.mark_sent(context.now_s)
    if what == 'another runner answers':
        sends.discard()
    sends.end(context.now_s)


@when('the runner answers a request for another one')
def misdirected_to(context):
    headers = [(b'X-Instance-Id', RUNNER.instance_id.encode())]
    head = dialects.read_reply_head(421, headers, dialects.NATIVE.headers)
    context.known.record_misdirected(head, context.now_s)


@then('it may select it again after {after_s:g} s')
def check_again(context, after_s):
    next_s = context.limits.next_send_s(RUNNER, context.now_s)
    assert max(0.0, next_s - context.now_s) == after_s, next_s


@given('a gateway that knows a limit of {per_s:g} a second')
def knows_limit(context, per_s):
    context.limits = runnerlimits.RunnerLimits('g-0')
    context.limits.name_limit(RUNNER, per_s, 1.0, 2.0)


@when('an answer to a request sent {which} the last names {limit}')
def stale_answer(context, which, limit):
    sent_s = {'before': 1.5, 'after': 2.5}[which]
    if limit == 'no':
        context.limits.end_limit(RUNNER, sent_s, 3.0)
    else:
        context.limits.name_limit(RUNNER, float(limit), sent_s, 3.0)


@then('the limit is {after} a second')
def check_limit(context, after):
    limit = context.limits._limits[RUNNER.instance_id, RUNNER.born_ms]
    assert context.limits.count_named() == (after != 'no')
    assert after == 'no' or limit.per_s == float(after), limit.per_s


@given('one of two owners of a runner with a limit of {per_s:g} a second')
def owner(context, per_s):
    names = [f'g-{number}' for number in range(9)]
    order = sorted(
        names, key=lambda name: gatewaysets.weigh(name, RUNNER.instance_id)
    )
    context.name, *context.others = order[-3:]
    context.limits = runnerlimits.RunnerLimits(context.name)
    view = {context.name: 'h', context.others[0]: 'h'}
    context.limits.update_gateways(view, 0.0)
    context.limits.name_limit(RUNNER, per_s, 0.0, 1.0)


@when('it selects the runner for a request, and {change}')
def select_and(context, change):
    limits, now_s = context.limits, 1.0 + 2 / 0.2
    assert limits.next_send_s(RUNNER, now_s) <= now_s
    slot = limits.reserve(RUNNER, now_s)
    span_s = 0.0
    if change == '0.3 s pass':
        span_s = 0.3
    elif change == 'its box is suspended for 0.6 s':
        span_s = 0.6
    elif change == 'the limit falls to 0.15':
        limits.name_limit(RUNNER, 0.15, 0.0, now_s)
    elif change == 'the limit ends':
        limits.end_limit(RUNNER, now_s, now_s)
    else:
        assert change == 'two others become the owners', change
        view = dict.fromkeys((context.name, *context.others), 'h')
        limits.update_gateways(view, now_s)
    context.may_send = limits.may_send(RUNNER, slot, now_s + span_s)


@then('the request {outcome}')
def check_outcome(context, outcome):
    assert context.may_send == (outcome == 'is sent'), outcome


@when('the first rank has named a limit of {per_s:g} a second')
def first_named(context, per_s):
    context.per_s = per_s


@when(
    'requests of priorities {priorities} arrive {after_s:g} s later and may'
    ' wait 1.5 s'
)
def queue_requests(context, priorities, after_s):
    gateway = context.world.gateways['g0']
    context.outcomes = []

    async def pick(number, priority):
        begun_s = trio.current_time()
        exchange = types.SimpleNamespace(
            service='s', attempted=set(), started_s=begun_s,
            deadline_s=begun_s + 8, team=None, request_head=None,
            is_returned=False, refusals=0,
            route=types.SimpleNamespace(
                priority=priority, target_ms=0, gap_ms=0
            ),
        )  # fmt: skip
        outcome = None
        try:
            picked = await gateway.picker.pick(exchange)
            gateway.backends.request_started(
                picked.backend, KIND, trio.current_time()
            )
        except errors.MountridgeError as problem:
            outcome = problem
        took_s = trio.current_time() - begun_s
        context.outcomes.append((number, took_s, outcome))

    async def script():
        limits = gateway.backends.limits
        runner = context.first.instance
        await trio.sleep(1)
        limits.name_limit(runner, context.per_s, 0.0, trio.current_time())
        await trio.sleep(after_s)
        async with trio.open_nursery() as nursery:
            for number, priority in enumerate(priorities.split(), 1):
                nursery.start_soon(pick, number, int(priority))
                await trio.sleep(0.0001)

    context.world.play(script)


@then(
    'requests {numbers} are sent in order, {first_s:g} and {last_s:g} s later'
)
def check_order(context, numbers, first_s, last_s):
    sent = [each for each in context.outcomes if each[2] is None]
    assert [str(each[0]) for each in sent] == numbers.split(), sent
    for (_, took_s, _), due_s in zip(sent, (first_s, last_s)):
        # Waiters look at the runners every 0.1 s.
        assert due_s - 0.01 <= took_s <= due_s + 0.15, sent


@then(
    'request {number:d} is refused at once with {code:d}, to retry after'
    ' {least_s:g} to {most_s:g} s'
)
def check_refused(context, number, code, least_s, most_s):
    ((refused, took_s, problem),) = [x for x in context.outcomes if x[2]]
    assert (refused, problem.code) == (number, code), context.outcomes
    assert took_s <= 0.01, took_s
    assert least_s <= problem.retry_after_s <= most_s, problem.retry_after_s


@given(
    'a gateway that may send 1 request in 1.05 s to a runner that may be cold'
)
def cold_gateway(context):
    limiter = warmup.WarmupLimiter('g-0', 'h0', 1.0, 0.0)
    limiter.update_services({'s': 2.0})
    context.known = backends.Backends('g-0', limiter)
    context.known.update_runners([RUNNER._replace(hall='h0')])


@when(
    'the runner names a limit of {per_s:g} a second and the gateway sends all'
    ' it may'
)
def send_cold(context, per_s):
    known, rng = context.known, random.Random(1)
    headers = [(b'X-Limit', str(per_s).encode())]
    head = dialects.read_reply_head(200, headers, dialects.NATIVE.headers)
    context.sent_s = []
    for step in range(400):
        now_s = 10 + step / 10
        picked = known.pick(KIND, 'h0', set(), 1, rng, now_s)
        if picked:
            sends = known.request_started(picked.backend, KIND, now_s)
            sends.check(now_s)
            sends.mark_sent(now_s)
            sends.record_reply(head, now_s)
            context.sent_s.append(now_s)


@then('it sends at most {most:d} requests in any 4 s')
def check_cold(context, most):
    assert len(context.sent_s) > 3
    assert most_in_window(context.sent_s) <= most, context.sent_s


@then('it is parsed as a limit of {limit}')
def check_parsed(context, limit):
    header = context.scenario.name.split('"')[1].encode()
    name, _, value = header.partition(b': ')
    head = dialects.read_reply_head(200, [(name, value)], wire.HEADERS)
    if limit == 'malformed':
        assert math.isnan(head.limit_per_s), head
    else:
        expected = None if limit == 'none' else float(limit)
        assert head.limit_per_s == expected, head
