# SPDX-License-Identifier: Apache-2.0

"""Steps on groups that refuse requests, as gateways see them."""

import random
import types

from behave import given, then, when
import trio
import trio.testing

from mountridge.documents import instances, routes
from mountridge import messages
from mountridge.routing import backends, picking

SLOTS = 5
#: From a request to a refusal by its rank, and from a change of the group to
#: its report at the gateways.
REFUSED_S, REPORT_S = 0.004, 0.15
#: From a request to its first event.
FIRST_S = 0.17
#: When gateways learn of the ranks that stand where those of their first view
#: stood, and the number of the first of these.
NEW_S, FRESH = 0.5, 100
#: Requests that a gateway finds waiting, and more a second for a while.
WAITING, RATE, SPAN_S = 5, 15.0, 0.8


def _rank(number):
    return instances.Instance(
        f'i-{number}', 's', f'10.0.0.{number}:1', 'h0', 'v', SLOTS,
        instances.READY,
    )  # fmt: skip


def _load(number, group, is_open):
    return messages.RunnerLoad(f'i-{number}', 0, 0, 100, group, is_open)


@given('{groups:d} groups of {ranks:d} ranks with 5 slots each')
def make_groups(context, groups, ranks):
    context.now_s = 100.0
    context.ranks = ranks
    context.known = backends.Backends('g-0')
    count = groups * ranks
    context.known.follow([_rank(number) for number in range(count)])
    _report_all(context, True)


def _report_all(context, is_open):
    for number in range(len(context.known.by_id)):
        load = _load(number, 1 + number // context.ranks, is_open)
        context.known.report(load, context.now_s)


def _pick(context, tried=frozenset(), seed=1):
    rng = random.Random(seed)
    return context.known.pick(
        's', 'h0', set(tried), 1, rng, context.now_s, bool(tried)
    )


@when('a rank of group {group:d} refuses with {there:d} requests there')
def refuse(context, group, there):
    backend = context.known.by_id[f'i-{(group - 1) * context.ranks}']
    context.now_s += 0.01
    backend.heard(there, 0, context.now_s)
    context.changed = context.known.changed
    context.known.refused(backend, context.now_s)


@when('{after_s:g} s go by')
def wait(context, after_s):
    context.now_s += after_s


@when('all ranks of both groups report that they are {state}')
def report_all(context, state):
    _report_all(context, state == 'open')
    context.known.closed_for_s('s', context.now_s)


@when('a report of an open rank comes 0.1 s later')
def report_open(context):
    context.now_s += 0.1
    context.known.report(_load(1, 1, True), context.now_s)


@when('a rank takes a request 0.1 s later')
def take(context):
    context.now_s += 0.1
    context.known.accepted(context.known.by_id['i-1'], context.now_s)


@then('requests go to group {group:d} only')
def one_group(context, group):
    found = {_pick(context, seed=n).backend.group for n in range(40)}
    assert found == {group}, found


@then('requests go to both groups')
def both_groups(context):
    found = {_pick(context, seed=n).backend.group for n in range(40)}
    assert found == {1, 2}, found


@then('a request without a try finds {found} runner')
def without_try(context, found):
    assert (_pick(context) is not None) == (found == 'a')


@then('a request that was refused finds {found} runner')
def with_try(context, found):
    picked = _pick(context, {'i-0'})
    assert (picked is not None) == (found == 'a')


@then('those that wait were woken')
def woken(context):
    assert context.changed.is_set()


@then('all are closed for {span_s:g} s')
def closed_for(context, span_s):
    assert context.known.closed_for_s('s', context.now_s) == span_s


@given('a gateway that has just learnt of {count:d} ranks')
def fresh_gateway(context, count):
    context.now_s = 100.0
    context.known = backends.Backends('g-0')
    context.known.follow([_rank(number) for number in range(count)])
    assert not context.known.is_proving('s')


@when('a request is on its way to one of them')
def under_way(context):
    _pick(context).backend.began(context.now_s)


@then('others are to wait for what becomes of it')
def others_wait(context):
    assert context.known.is_proving('s')


@then('they need not once a report has come')
def report_frees(context):
    context.known.report(_load(3, 1, True), context.now_s)
    assert not context.known.is_proving('s')


class _Wave:
    """Gateways that start before ranks whose group is not open yet."""

    def __init__(self, gateways, ranks, is_stale):
        self.ranks = ranks
        self.is_stale = is_stale
        self.rng = random.Random(7)
        self.opens_s = 0.0
        self.asked = self.served = 0
        self.most_tries = 0
        self.refused = [0] * gateways
        service = types.SimpleNamespace(engine=routes.Engine(SLOTS, 1, 8))
        index = types.SimpleNamespace(services={'s': service})
        app = types.SimpleNamespace(
            settings={'hall': 'h0'}, now_s=trio.current_time
        )
        self.known = [backends.Backends(f'g-{n}') for n in range(gateways)]
        self.pickers = [
            picking.Picker(
                app, lambda: index, known, lambda: gateways, self.rng
            )
            for known in self.known
        ]

    def follow(self, first):
        """Let all gateways learn of ranks numbered from ``first``."""
        for known in self.known:
            known.follow([_rank(first + n) for n in range(self.ranks)])

    async def run(self, opens_s):
        first = FRESH if self.is_stale else 0
        self.follow(0)
        async with trio.open_nursery() as nursery:
            self.opens_s = trio.current_time() + opens_s
            for gateway in range(len(self.known)):
                nursery.start_soon(self.callers, gateway, nursery)
            if self.is_stale:
                await trio.sleep(NEW_S)
                self.follow(first)
            await trio.sleep_until(self.opens_s + REPORT_S)
            for known in self.known:
                for number in range(self.ranks):
                    load = _load(first + number, 1, True)
                    known.report(load, trio.current_time())

    async def callers(self, gateway, nursery):
        """Send those that waited for the process, then some a second."""
        for _ in range(WAITING):
            nursery.start_soon(self.ask, gateway)
        until_s = trio.current_time() + SPAN_S
        while trio.current_time() < until_s:
            nursery.start_soon(self.ask, gateway)
            await trio.sleep(self.rng.expovariate(RATE))

    async def ask(self, gateway):
        self.asked += 1
        now_s = trio.current_time()
        exchange = types.SimpleNamespace(
            service='s', attempted=set(), begun_s=now_s, deadline_s=now_s + 8.0
        )
        while not await self.is_taken(gateway, exchange):
            self.refused[gateway] += 1
        self.served += 1
        self.most_tries = max(self.most_tries, len(exchange.attempted))

    async def is_taken(self, gateway, exchange):
        known = self.known[gateway]
        picked = await self.pickers[gateway].pick(exchange)
        backend = picked.backend
        number = int(backend.instance.instance_id[2:])
        exchange.attempted.add(backend.instance.instance_id)
        backend.began(trio.current_time())
        takes = trio.current_time() >= self.opens_s
        is_gone = self.is_stale and number < FRESH
        if is_gone or not takes:
            await trio.sleep(REFUSED_S)
            backend.replaced = is_gone
            backend.heard(0, 0, trio.current_time())
            known.refused(backend, trio.current_time())
            backend.ended()
            return False
        await trio.sleep(FIRST_S)
        known.accepted(backend, trio.current_time())
        backend.ended()
        return True


@given('{gateways:d} gateways and {ranks:d} ranks, of a view that is {view}')
def make_wave(context, gateways, ranks, view):
    context.sizes = (gateways, ranks, view != 'right')


@when('callers come while the group opens {opens_s:g} s later')
def run_wave(context, opens_s):
    async def play():
        context.wave = _Wave(*context.sizes)
        await context.wave.run(opens_s)

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@then('all are served, none with a third try')
def all_served(context):
    wave = context.wave
    assert wave.served == wave.asked > 100, (wave.served, wave.asked)
    assert wave.most_tries <= 2, wave.most_tries


@then('the ranks refuse at most {most:d} times a gateway')
def few_refusals(context, most):
    assert max(context.wave.refused) <= most, context.wave.refused
