# SPDX-License-Identifier: Apache-2.0

"""Steps on gateways that route requests to groups that refuse them."""

import random
import types

from behave import given, then, when
import trio
import trio.testing

from mountridge.documents import instances, routes
from mountridge import messages
from mountridge.routing import backends, picking
from mountridge.routing import sendgates

SLOTS = 5
#: From a request to its refusal by a rank, and from a change of the group's
#: state to its report at the gateways.
REFUSAL_S, REPORT_S = 0.004, 0.15
#: From a request to its first event.
FIRST_EVENT_S = 0.17
#: When an outdated view is updated, and the number of the first of its ranks.
VIEW_UPDATE_S, FIRST_NEW_RANK = 0.5, 100
#: Requests per gateway at its start, and then per second for some time.
INITIAL_REQUESTS, REQUESTS_PER_S, DURATION_S = 5, 15.0, 0.8


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
    context.known.update_runners([_rank(number) for number in range(count)])
    _report_all(context, True)


def _report_all(context, is_open):
    for number in range(len(context.known.by_id)):
        load = _load(number, 1 + number // context.ranks, is_open)
        context.known.record_report(load, context.now_s)


def _pick(context, attempted=frozenset(), seed=1):
    rng = random.Random(seed)
    kind = sendgates.RequestClass('s', was_refused=bool(attempted))
    return context.known.pick(
        kind, 'h0', set(attempted), 1, rng, context.now_s
    )


@when('a rank of group {group:d} refuses while it has {running:d} requests')
def refuse(context, group, running):
    backend = context.known.by_id[f'i-{(group - 1) * context.ranks}']
    context.now_s += 0.01
    backend.record_load(running, 0, context.now_s)
    context.changed = context.known.changed
    context.known.record_refusal(backend, context.now_s)


@when('{after_s:g} s pass at the gateway')
def wait(context, after_s):
    context.now_s += after_s


@when('all ranks of both groups report that they are {state}')
def report_all(context, state):
    _report_all(context, state == 'open')
    context.known.closed_for_s('s', context.now_s)


@when('a report of an open rank arrives 0.1 s later')
def report_open(context):
    context.now_s += 0.1
    context.known.record_report(_load(1, 1, True), context.now_s)


@when('a rank accepts a request 0.1 s later')
def accept(context):
    context.now_s += 0.1
    context.known.record_acceptance(context.known.by_id['i-1'], context.now_s)


@then('requests go to group {group:d} only')
def one_group(context, group):
    found = {_pick(context, seed=n).backend.group for n in range(40)}
    assert found == {group}, found


@then('requests go to both groups')
def both_groups(context):
    found = {_pick(context, seed=n).backend.group for n in range(40)}
    assert found == {1, 2}, found


@then('a new request finds {found} runner')
def check_new_request(context, found):
    assert (_pick(context) is not None) == (found == 'a')


@then('a refused request finds {found} runner')
def check_refused_request(context, found):
    picked = _pick(context, {'i-0'})
    assert (picked is not None) == (found == 'a')


@then('the requests that wait for a group are woken')
def woken(context):
    assert context.changed.is_set()


@then('all groups have been closed for {span_s:g} s')
def closed_for(context, span_s):
    assert context.known.closed_for_s('s', context.now_s) == span_s


@given('a gateway that has just received a view of {count:d} ranks')
def new_gateway(context, count):
    context.now_s = 100.0
    context.known = backends.Backends('g-0')
    context.known.update_runners([_rank(number) for number in range(count)])
    assert not context.known.is_probing('s')


@when('a request is in progress on one of them')
def begin_request(context):
    _pick(context).backend.request_started(context.now_s)


@then('other requests have to wait for its outcome')
def check_others_wait(context):
    assert context.known.is_probing('s')


@then('they need not wait once a report has arrived')
def check_report_ends_wait(context):
    context.known.record_report(_load(3, 1, True), context.now_s)
    assert not context.known.is_probing('s')


class _Start:
    """Gateways that get requests while the group of their ranks starts."""

    def __init__(self, gateways, ranks, is_outdated):
        self.ranks = ranks
        self.is_outdated = is_outdated
        self.rng = random.Random(7)
        self.opens_s = 0.0
        self.requests = self.served = 0
        self.most_attempts = 0
        self.refused = [0] * gateways
        service = types.SimpleNamespace(engine=routes.Engine(SLOTS, 1, 8))
        index = routes.Index(None, {}, {}, {'s': service})
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

    def update_views(self, first):
        """Send all gateways a view of ranks numbered from ``first``."""
        for known in self.known:
            known.update_runners([_rank(first + n) for n in range(self.ranks)])

    async def run(self, opens_s):
        first = FIRST_NEW_RANK if self.is_outdated else 0
        self.update_views(0)
        async with trio.open_nursery() as nursery:
            self.opens_s = trio.current_time() + opens_s
            for gateway in range(len(self.known)):
                nursery.start_soon(self.send_requests, gateway, nursery)
            if self.is_outdated:
                await trio.sleep(VIEW_UPDATE_S)
                self.update_views(first)
            await trio.sleep_until(self.opens_s + REPORT_S)
            for known in self.known:
                for number in range(self.ranks):
                    load = _load(first + number, 1, True)
                    known.record_report(load, trio.current_time())

    async def send_requests(self, gateway, nursery):
        """Send the initial requests, then more at random intervals."""
        for _ in range(INITIAL_REQUESTS):
            nursery.start_soon(self.request, gateway)
        until_s = trio.current_time() + DURATION_S
        while trio.current_time() < until_s:
            nursery.start_soon(self.request, gateway)
            await trio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    async def request(self, gateway):
        """Attempt one request until a rank accepts it."""
        self.requests += 1
        now_s = trio.current_time()
        exchange = types.SimpleNamespace(
            service='s',
            attempted=set(),
            started_s=now_s,
            deadline_s=now_s + 8.0,
            team=None,
            request_head=None,
            route=types.SimpleNamespace(priority=1, target_ms=0, gap_ms=0),
            is_returned=False,
            refusals=0,
        )
        while not await self.is_accepted(gateway, exchange):
            self.refused[gateway] += 1
        self.served += 1
        self.most_attempts = max(self.most_attempts, len(exchange.attempted))

    async def is_accepted(self, gateway, exchange):
        known = self.known[gateway]
        picked = await self.pickers[gateway].pick(exchange)
        backend = picked.backend
        number = int(backend.instance.instance_id[2:])
        exchange.attempted.add(backend.instance.instance_id)
        backend.request_started(trio.current_time())
        is_open = trio.current_time() >= self.opens_s
        is_replaced = self.is_outdated and number < FIRST_NEW_RANK
        if is_replaced or not is_open:
            await trio.sleep(REFUSAL_S)
            backend.replaced = is_replaced
            backend.record_load(0, 0, trio.current_time())
            known.record_refusal(backend, trio.current_time())
            backend.request_ended()
            return False
        await trio.sleep(FIRST_EVENT_S)
        known.record_acceptance(backend, trio.current_time())
        backend.request_ended()
        return True


@given('{gateways:d} gateways with an {view} view of {ranks:d} ranks')
def prepare_start(context, gateways, view, ranks):
    context.parameters = (gateways, ranks, view != 'accurate')


@when('callers send requests and the group opens {opens_s:g} s later')
def run_start(context, opens_s):
    async def play():
        context.start = _Start(*context.parameters)
        await context.start.run(opens_s)

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@then('all requests are served, none with a third attempt')
def check_served(context):
    start = context.start
    assert start.served == start.requests > 100, (start.served, start.requests)
    assert start.most_attempts <= 2, start.most_attempts


@then('the ranks refuse at most {most:d} requests per gateway')
def check_refusals(context, most):
    assert max(context.start.refused) <= most, context.start.refused
