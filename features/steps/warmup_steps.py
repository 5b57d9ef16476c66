# SPDX-License-Identifier: Apache-2.0

"""Steps on runners that can be cold: many gateways, on virtual time."""

import collections
import random
import types

from behave import given, then, when
import trio
import trio.testing

from mountridge.documents import instances, routes
from mountridge import errors, messages, metrics
from mountridge.routing import backends, forwarding, picking, warmup
from mountridge.routing import sendgates

SLOTS, QUEUE = 5, 20
#: After power returns: gateways start, receive a view with the previous
#: runners, runners register (each drawn from a range), and groups open.
BEGIN_S, VIEW_S, REGISTER_S, OPEN_S = (0, 0.3), (0.5, 0.8), (0.5, 1.9), 0.9
#: Latency to a runner, to its refusal and to a first event; mean duration of
#: the rest of a response.
LATENCY_S, REFUSAL_S, FIRST_S, RESPONSE_S = 0.002, 0.004, 0.17, 1.3
REPORT_S = 0.2
SPAN_S, DEADLINE_S, MAX_ATTEMPTS = 4.0, 8.0, 5
#: Callers that wait while the power is off.
WAITING = 300
#: Random schedules for each fault.
SEEDS = 6
KIND = sendgates.RequestClass('s')


def _route(priority):
    return types.SimpleNamespace(priority=priority, target_ms=0, gap_ms=0)


def most_in_a_second(times_s):
    """Return how many of the sorted times lie within one second at most."""
    window, most = collections.deque(), 0
    for at_s in times_s:
        window.append(at_s)
        while window[0] <= at_s - 1.0:
            window.popleft()
        most = max(most, len(window))
    return most


class _Runner:
    """One runner and its predecessor at the same address."""

    def __init__(self, number, group, hall):
        self.group = group
        made = [
            instances.Instance(
                f'{incarnation}-{number}', 's', f'10.0.0.{number}:1', hall,
                'v', SLOTS, instances.READY, 0, True,
            )
            for incarnation in ('old', 'new')
        ]  # fmt: skip
        self.old, self.new = made
        self.is_registered = False
        self.in_flight = 0
        self.arrived_s = []


class _PowerReturn:
    """Power returns to gateways, runners and their callers."""

    def __init__(self, gateways, halls, groups, ranks, per_s, over, slack):
        self.rng = random.Random(11)
        self.names = {f'g-{n}': f'h{n % halls}' for n in range(gateways)}
        self.runners = [
            _Runner(n, n % groups, f'h{n % halls}')
            for n in range(groups * ranks)
        ]
        self.limit = (per_s, over, slack)
        self.known = {}
        self.pickers = {}
        self.ready = {name: trio.Event() for name in self.names}
        self.asked, self.codes = 0, collections.Counter()
        #: From the return of power to a caller's first event, by its number.
        self.served_s = {}
        self.begun_s = 0.0

    def now_s(self):
        return trio.current_time()

    def listed(self):
        """Return the registrations that the leader has."""
        return [r.new if r.is_registered else r.old for r in self.runners]

    async def start(self, name):
        await trio.sleep(self.rng.uniform(*BEGIN_S))
        per_s, over, slack = self.limit
        limiter = warmup.WarmupLimiter(
            name, self.names[name], over, slack, self.now_s()
        )
        known = backends.Backends(name, limiter)
        await trio.sleep(self.rng.uniform(*VIEW_S))
        limiter.update_services({'s': per_s})
        limiter.update_gateways(self.names, self.now_s())
        known.update_gateways(self.names)
        known.update_runners(self.listed())
        service = types.SimpleNamespace(engine=routes.Engine(SLOTS, 1, 8))
        index = routes.Index(None, {}, {}, {'s': service})
        app = types.SimpleNamespace(
            settings={'hall': self.names[name]},
            now_s=self.now_s,
            metrics=metrics.Metrics(None),
        )
        self.pickers[name] = picking.Picker(
            app, lambda: index, known, lambda: len(self.names), self.rng
        )
        self.known[name] = known
        self.ready[name].set()

    async def register(self, runner):
        await trio.sleep(self.rng.uniform(*REGISTER_S))
        runner.is_registered = True
        for known in self.known.values():
            known.update_runners(self.listed())

    async def report(self):
        while True:
            await trio.sleep(REPORT_S)
            is_open = self.now_s() >= self.begun_s + OPEN_S
            for known in self.known.values():
                for runner in self.runners:
                    load = messages.RunnerLoad(
                        runner.new.instance_id, min(SLOTS, runner.in_flight),
                        max(0, runner.in_flight - SLOTS), 100, runner.group,
                        is_open,
                    )  # fmt: skip
                    known.record_report(load, self.now_s())

    async def run(self, per_s):
        self.begun_s = self.now_s()
        async with trio.open_nursery() as nursery:
            for name in self.names:
                nursery.start_soon(self.start, name)
            for runner in self.runners:
                nursery.start_soon(self.register, runner)
            nursery.start_soon(self.report)
            for _ in range(WAITING):
                nursery.start_soon(self.ask)
            until_s = self.begun_s + SPAN_S
            while self.now_s() < until_s:
                nursery.start_soon(self.ask)
                await trio.sleep(self.rng.expovariate(per_s))
            await trio.sleep(DEADLINE_S)
            nursery.cancel_scope.cancel()

    async def ask(self):
        """Send a request of a caller, which retries once if refused."""
        number, self.asked = self.asked, self.asked + 1
        until_s = self.now_s() + DEADLINE_S
        for _ in range(2):
            name = self.rng.choice(list(self.names))
            await self.ready[name].wait()
            try:
                await self.send(name, number, until_s)
                return
            except errors.MountridgeError as problem:
                self.codes[problem.code] += 1
                default_s = forwarding.RETRY_AFTER_S[type(problem)]
                retry_s = problem.retry_after_s or default_s
            await trio.sleep(min(retry_s, (until_s - self.now_s()) / 3))

    async def send(self, name, number, until_s):
        exchange = types.SimpleNamespace(
            service='s', attempted=set(), started_s=self.now_s(),
            deadline_s=until_s,
            team=None, request_head=None, route=_route(1), is_returned=False,
            refusals=0,
        )  # fmt: skip
        known = self.known[name]
        for _ in range(MAX_ATTEMPTS):
            picked = await self.pickers[name].pick(exchange)
            backend = picked.backend
            exchange.attempted.add(backend.instance.instance_id)
            send = known.request_started(backend, KIND, self.now_s())
            try:
                if await self.is_accepted(known, backend, send, number):
                    return
                exchange.refusals += not backend.replaced
            finally:
                backend.request_ended()
        raise errors.RunnerRefused()

    async def is_accepted(self, known, backend, send, number):
        """Return whether a runner accepts a request, and let it respond."""
        instance = backend.instance
        runner = next(r for r in self.runners if instance in (r.old, r.new))
        send.mark_sent(self.now_s())
        await trio.sleep(LATENCY_S)
        is_replaced = instance is runner.old
        if not is_replaced:
            runner.arrived_s.append(self.now_s())
        is_open = self.now_s() >= self.begun_s + OPEN_S
        if is_replaced or not is_open or runner.in_flight >= SLOTS + QUEUE:
            await trio.sleep(REFUSAL_S)
            backend.replaced = is_replaced
            if is_replaced:
                send.discard()
            else:
                backend.record_load(runner.in_flight, 0, self.now_s())
            known.record_refusal(backend, self.now_s())
            return False
        runner.in_flight += 1
        while runner.in_flight > SLOTS and self.rng.random() < 0.5:
            await trio.sleep(FIRST_S)
        await trio.sleep(FIRST_S)
        self.served_s[number] = self.now_s() - self.begun_s
        known.record_acceptance(backend, self.now_s())
        await trio.sleep(self.rng.expovariate(1 / RESPONSE_S))
        runner.in_flight -= 1
        return True


@given(
    '{gateways:d} gateways in {halls:d} halls'
    ' and {groups:d} groups of {ranks:d} ranks in 3 halls'
)
def make_fleet(context, gateways, halls, groups, ranks):
    context.fleet = (gateways, halls, groups, ranks)


@given(
    'a cold runner sustains {per_s:g} requests a second,'
    ' limit {over:g} times that plus {slack:g}'
)
def set_limit(context, per_s, over, slack):
    context.limit = (per_s, over, slack)


@when(
    'power returns while callers are waiting, and {per_s:g} a second arrive'
    ' (order of tasks {order:d})'
)
def power_returns(context, per_s, order):
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(str(order))

    async def play():
        context.world = _PowerReturn(*context.fleet, *context.limit)
        await context.world.run(per_s)

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@then(
    'the most requests that a runner gets in a second are {most:d} or {which}'
)
def check_most(context, most, which):
    found = max(most_in_a_second(r.arrived_s) for r in context.world.runners)
    assert (found <= most) == (which == 'less'), found


@then('all are served, the waiting callers within {span_s:g} s')
def check_out(context, span_s):
    world = context.world
    assert len(world.served_s) == world.asked, (world.codes, world.asked)
    waited_s = [s for number, s in world.served_s.items() if number < WAITING]
    assert max(waited_s) <= span_s, max(waited_s)


@then('refusals are at most {most:d} in 100 requests')
def check_refused(context, most):
    world = context.world
    assert world.codes.total() * 100 <= most * world.asked, world.codes


# Random schedules.

#: Between attempts of a gateway to send to each runner, far more than it may;
#: most delay of a view; duration of a lease.
ATTEMPT_S, LAG_S, LEASE_S = 0.04, 3.0, 3.0


class _Gateway:
    """One gateway, its state and its limiter."""

    def __init__(self, name, hall):
        self.name, self.hall = name, hall
        self.restart_s = 0.0
        self.is_partitioned = False
        self.limiter = None


class _Schedule:
    """Gateways that send as much as they may while their views differ."""

    def __init__(self, seed, gateways, halls, limit):
        self.rng = random.Random(seed)
        self.limit = limit
        self.runners = [
            instances.Instance(
                f'i-{n}', 's', f'10.0.0.{n}:1', f'h{n % halls}', 'v', SLOTS,
                instances.READY,
            )
            for n in range(6)
        ]  # fmt: skip
        self.gateways = []
        #: (since when, the view): the views of the leader.
        first = {f'g-{n}': f'h{n % halls}' for n in range(gateways)}
        self.views = [(float('-inf'), first)]
        for number in range(gateways):
            self.add(number, halls, 0.0)
        self.arrived_s = collections.defaultdict(list)

    def add(self, number, halls, now_s):
        gateway = _Gateway(f'g-{number}', f'h{number % halls}')
        self.gateways.append(gateway)
        self.start(gateway, now_s)

    def start(self, gateway, now_s):
        """Start a gateway; it knows nothing of its previous incarnation."""
        per_s, over, slack = self.limit
        gateway.restart_s, gateway.is_partitioned = now_s, False
        started_s = now_s if now_s else float('-inf')
        gateway.limiter = warmup.WarmupLimiter(
            gateway.name, gateway.hall, over, slack, started_s
        )
        gateway.limiter.update_services({'s': per_s})
        self.register(gateway, now_s)
        gateway.limiter.update_gateways(self.views[-1][1], now_s)

    def register(self, gateway, now_s):
        view = {**self.views[-1][1], gateway.name: gateway.hall}
        if view != self.views[-1][1]:
            self.views.append((now_s, view))

    def expel(self, now_s):
        """Remove those from the view whose lease has expired."""
        view = dict(self.views[-1][1])
        for gateway in self.gateways:
            is_unreachable = (
                gateway.is_partitioned or gateway.restart_s > now_s
            )
            if is_unreachable and now_s - gateway.unreachable_s > LEASE_S:
                view.pop(gateway.name, None)
        if view != self.views[-1][1]:
            self.views.append((now_s, view))

    def down(self, gateway, now_s, span_s):
        gateway.unreachable_s, gateway.restart_s = now_s, now_s + span_s

    def partition(self, gateway, now_s):
        gateway.unreachable_s, gateway.is_partitioned = now_s, True

    def heal(self, gateway, now_s):
        gateway.is_partitioned = False
        self.register(gateway, now_s)

    def play(self, faults, span_s):
        """Run with ``faults``: times and the functions called then."""
        now_s, faults = 0.0, sorted(faults, key=lambda each: each[0])
        while now_s < span_s:
            now_s += ATTEMPT_S
            while faults and faults[0][0] <= now_s:
                faults.pop(0)[1](now_s)
            self.expel(now_s)
            for gateway in self.gateways:
                if gateway.restart_s > now_s:
                    continue
                if gateway.limiter is None:
                    self.start(gateway, now_s)
                if (
                    not gateway.is_partitioned
                    and self.rng.random() < ATTEMPT_S
                ):
                    lag_s = self.rng.uniform(0, LAG_S)
                    seen = [v for at, v in self.views if at <= now_s - lag_s]
                    gateway.limiter.update_gateways(seen[-1], now_s)
                self.send(gateway, now_s)

    def send(self, gateway, now_s):
        at_s = now_s + self.rng.uniform(0, ATTEMPT_S)
        for runner in self.runners:
            gateway.limiter.generation(at_s)
            if not gateway.limiter.quota(runner, at_s):
                continue
            if gateway.limiter.has_quota_left(runner, at_s):
                send = gateway.limiter.record_send(runner, at_s)
                late_s = at_s + self.rng.choice([0.0, 0.001, 0.3])
                send.mark_sent(late_s)
                self.arrived_s[runner.instance_id].append(late_s)

    def most(self):
        return max(
            most_in_a_second(sorted(times))
            for times in self.arrived_s.values()
        )


def _restarts(world, rng):
    """Kill gateways at random times; each restarts soon."""
    for _ in range(60):
        gateway = rng.choice(world.gateways)
        yield rng.uniform(1, 11), _killed(world, gateway, rng.uniform(0.1, 1))


def _killed(world, gateway, span_s):
    def kill(now_s):
        world.down(gateway, now_s, span_s)
        gateway.limiter = None

    return kill


def _kills_of_all(world, rng):
    """Kill all at once, twice."""
    for at_s in (3.0, 6.0):
        for gateway in world.gateways:
            yield at_s, _killed(world, gateway, rng.uniform(0.1, 0.6))


def _hall_loss(world, rng):
    """Lose a hall for longer than a lease, then let it recover."""
    for gateway in world.gateways:
        if gateway.hall == 'h0':
            yield 2.0, _killed(world, gateway, rng.uniform(4.0, 6.0))


def _partitions(world, rng):
    """Partition half of the gateways, each at its own time."""
    for gateway in rng.sample(world.gateways, len(world.gateways) // 2):
        at_s = rng.uniform(1, 4)
        yield at_s, lambda now_s, g=gateway: world.partition(g, now_s)
        heal_s = at_s + rng.uniform(1, 6)
        yield heal_s, lambda now_s, g=gateway: world.heal(g, now_s)


def _joins(world, rng):
    """Let gateways join under new names."""
    for number in range(6):
        yield rng.uniform(1, 11), lambda now_s, n=number: world.add(
            1000 + n, 3, now_s
        )


def _combined(world, rng):
    for fault in (_restarts, _hall_loss, _partitions, _joins):
        yield from fault(world, rng)


FAULTS = {
    'gateways are killed and restart': _restarts,
    'all are killed at once, twice': _kills_of_all,
    'a hall is lost and recovers': _hall_loss,
    'half are partitioned for a time': _partitions,
    'new gateways join': _joins,
    'restarts, hall loss, partitions, joins': _combined,
}


@when('{gateways:d} gateways send as much as they may while {fault}')
def random_schedules(context, gateways, fault):
    context.found = []
    for seed in range(SEEDS):
        world = _Schedule(seed, gateways, 3, context.limit)
        faults = list(FAULTS[fault](world, random.Random(seed)))
        world.play(faults, 12.0)
        context.found.append(world.most())


@then('no runner gets more than {most:d} requests in any second')
def check_all(context, most):
    assert max(context.found) <= most, context.found


@then('the most that one gets in a second is {some:d} or more')
def check_near_limit(context, some):
    """Check that gateways send close to the limit, so that it is tested."""
    assert max(context.found) >= some, context.found


# One gateway.


def _runner(number, hall='h0', is_cold=False):
    return instances.Instance(
        f'i-{number}', 's', f'10.0.0.{number}:1', hall, 'v', SLOTS,
        instances.READY, 0, is_cold,
    )  # fmt: skip


def _gateways(count, halls):
    return {f'g-{n}': f'h{n % halls}' for n in range(count)}


@when(
    '{gateways:d} gateways in {halls:d} halls'
    ' compute quotas of {runners:d} runners'
)
def compute_quotas(context, gateways, halls, runners):
    per_s, over, slack = context.limit
    context.quotas = {}
    listed = [_runner(n, f'h{n % halls}') for n in range(runners)]
    names = _gateways(gateways, halls)
    for name, hall in names.items():
        limiter = warmup.WarmupLimiter(name, hall, over, slack)
        limiter.update_services({'s': per_s})
        limiter.update_gateways(names, 0.0)
        for runner in listed:
            quota = limiter.quota(runner, 0.0)
            is_primary = limiter.is_primary(runner)
            owners = context.quotas.setdefault((runner, len(names) > 1), {})
            if quota:
                owners[name, hall] = (quota, is_primary)


@then('each runner has one primary owner, in its hall')
def one_first(context):
    for (runner, _), owners in context.quotas.items():
        halls = [hall for (_, hall), (_, first) in owners.items() if first]
        assert halls == [runner.hall], (runner, owners)


@then('it has owners in other halls, and quotas of at most {most:d} in total')
def owners_elsewhere(context, most):
    for (runner, are_more), owners in context.quotas.items():
        away = [hall for _, hall in owners if hall != runner.hall]
        assert away or not are_more, (runner, owners)
        assert sum(quota for quota, _ in owners.values()) <= most, owners


@then('each gateway owns at least {least:d} runners')
def check_least(context, least):
    owned = collections.Counter(
        name for owners in context.quotas.values() for name, _ in owners
    )
    print(owned)
    assert min(owned.values()) >= least or not least, owned


class _SingleGateway:
    """One of 39 gateways, its picker and the runners that it knows."""

    def __init__(self, runners, started_s=float('-inf')):
        self.rng = random.Random(5)
        self.limiter = warmup.WarmupLimiter('g-0', 'h0', 1.5, 5.0, started_s)
        self.limiter.update_services({'s': 14.0})
        self.limiter.update_gateways(_gateways(39, 3), 0.0)
        self.known = backends.Backends('g-0', self.limiter)
        self.known.update_runners(runners)
        service = types.SimpleNamespace(engine=None)
        index = routes.Index(None, {}, {}, {'s': service})
        app = types.SimpleNamespace(
            settings={'hall': 'h0'},
            now_s=trio.current_time,
            metrics=metrics.Metrics(None),
        )
        self.picker = picking.Picker(
            app, lambda: index, self.known, lambda: 39, self.rng
        )
        #: Outcomes of requests in order: (number, after how many seconds,
        #: id of the runner or the error).
        self.outcomes = []

    def exchange(self, priority=1, tried=()):
        now_s = trio.current_time()
        return types.SimpleNamespace(
            service='s', attempted=set(tried), started_s=now_s,
            deadline_s=now_s + 8,
            team=None, request_head=None, route=_route(priority),
            is_returned=False, refusals=0,
        )  # fmt: skip

    async def ask(self, number, priority=1, tried=()):
        exchange = self.exchange(priority, tried)
        outcome = None
        try:
            picked = await self.picker.pick(exchange)
            now_s = trio.current_time()
            send = self.known.request_started(picked.backend, KIND, now_s)
            send.mark_sent(now_s)
            outcome = picked.backend.instance.instance_id
        except errors.MountridgeError as problem:
            outcome = problem
        took_s = trio.current_time() - exchange.started_s
        self.outcomes.append((number, round(took_s, 3), outcome))
        return outcome


def _play(play):
    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


def _with_quota(quota, count):
    """Return runners for which the gateway has this quota."""
    limiter = warmup.WarmupLimiter('g-0', 'h0', 1.5, 5.0)
    limiter.update_services({'s': 14.0})
    limiter.update_gateways(_gateways(39, 3), 0.0)
    runners = [_runner(number) for number in range(200)]
    return [r for r in runners if limiter.quota(r, 0.0) == quota][:count]


@given('a gateway with a quota of 1 request in a window for each of 2 runners')
def make_gateway(context):
    context.runners = _with_quota(1, 2)
    context.started_ago_s = None


@given('it started {ago_s:g} s ago')
def started(context, ago_s):
    context.started_ago_s = ago_s


@given('other gateways own both runners')
def other_owners(context):
    context.runners = _with_quota(0, 2)


@given('the first of them is cold, and both have 1 of 5 slots in use')
def first_cold(context):
    first, second = context.runners
    context.runners = [first._replace(is_cold=True), second]


@when('requests of priorities {priorities} arrive at once')
def send_at_once(context, priorities):
    async def play():
        context.gateway = _SingleGateway(context.runners)
        async with trio.open_nursery() as nursery:
            for number, priority in enumerate(priorities.split(), 1):
                nursery.start_soon(context.gateway.ask, number, int(priority))
                await trio.sleep(0.0001)

    _play(play)


@then(
    'requests {numbers} are sent in this order,'
    ' the last two {after_s:g} s later'
)
def sent_in_order(context, numbers, after_s):
    outcomes = [
        each for each in context.gateway.outcomes if isinstance(each[2], str)
    ]
    assert [str(each[0]) for each in outcomes] == numbers.split(), outcomes
    assert [round(each[1], 2) for each in outcomes] == [0, 0, after_s, after_s]


@then(
    'requests {numbers} are refused within {span_s:g} s with {code:d},'
    ' to retry after {after_s:g} s'
)
def refused_soon(context, numbers, span_s, code, after_s):
    outcomes = [
        x for x in context.gateway.outcomes if not isinstance(x[2], str)
    ]
    assert [str(each[0]) for each in outcomes] == numbers.split(), outcomes
    for _, took_s, problem in outcomes:
        assert took_s <= span_s and problem.code == code, outcomes
        back_s = took_s + problem.retry_after_s
        assert after_s - 0.01 <= back_s <= after_s * 1.5, outcomes


@when('the first of 2 requests fails at its first runner')
def first_fails(context):
    async def play():
        gateway = context.gateway = _SingleGateway(context.runners)
        first = await gateway.ask(1)
        await gateway.ask(1, tried={first})
        await gateway.ask(2)

    _play(play)


@then('its retry goes to the other runner')
def to_the_other(context):
    (_, _, first), (_, _, second), _ = context.gateway.outcomes
    assert {first, second} == {r.instance_id for r in context.runners}


@then('the second request waits for {wait_s:g} s')
def second_waits(context, wait_s):
    assert context.gateway.outcomes[2][:2] == (
        2,
        wait_s,
    ), context.gateway.outcomes


@when('2 requests arrive, and the send of each {what}')
def discard_sends(context, what):
    async def play():
        gateway = context.gateway = _SingleGateway(context.runners)
        for _ in range(2):
            picked = await gateway.picker.pick(gateway.exchange())
            send = gateway.known.request_started(
                picked.backend, KIND, trio.current_time()
            )
            if what != 'is given up before it begins':
                send.mark_sent(trio.current_time())
            send.discard()
        await gateway.ask(3)

    _play(play)


@then('another request gets a runner at once')
def finds_at_once(context):
    ((_, took_s, outcome),) = context.gateway.outcomes
    assert took_s == 0 and isinstance(outcome, str), context.gateway.outcomes


@when('a request arrives')
def send_one(context):
    async def play():
        started_s = trio.current_time() - context.started_ago_s
        context.gateway = _SingleGateway(context.runners, started_s)
        await context.gateway.ask(1)

    _play(play)


@then('it is sent {after_s:g} s later')
def sent_later(context, after_s):
    ((_, took_s, outcome),) = context.gateway.outcomes
    assert took_s == after_s and isinstance(outcome, str), took_s


@when('a request arrives, and another one {later_s:g} s later')
def send_two(context, later_s):
    async def play():
        context.gateway = _SingleGateway(context.runners)
        await context.gateway.ask(1)
        await trio.sleep(later_s)
        await context.gateway.ask(2)

    _play(play)


@then(
    'the first waits for a runner,'
    ' and the other is refused at once with {code:d}'
)
def check_refused_at_once(context, code):
    (_, first_s, _), (_, second_s, problem) = context.gateway.outcomes
    assert first_s > 1 and second_s == 0, context.gateway.outcomes
    assert problem.code == code, problem


@when('40 requests arrive, one every 2 s')
def send_forty(context):
    async def play():
        gateway = context.gateway = _SingleGateway(context.runners)
        for number in range(40):
            await trio.sleep(2)
            for runner in context.runners:
                load = messages.RunnerLoad(
                    runner.instance_id, 1, 0, 100, 1, True
                )
                gateway.known.record_report(load, trio.current_time())
            await gateway.ask(number)
            for backend in gateway.known.by_id.values():
                backend.own_requests = 0

    _play(play)


@then('all go to the second runner')
def all_second(context):
    went = {outcome for _, _, outcome in context.gateway.outcomes}
    assert went == {context.runners[1].instance_id}, went


# Views that lack gateways.


@given('{gateways:d} gateways in {halls:d} halls that {know}')
def gateways_that(context, gateways, halls, know):
    per_s, over, slack = context.limit
    context.names = _gateways(gateways, halls)
    have_started = know == 'have just started'
    context.limiters = {}
    for name, hall in context.names.items():
        # After the loss of hall h0 only its gateways have restarted.
        is_new = have_started and hall == 'h0'
        started_s = 0.0 if is_new else float('-inf')
        limiter = warmup.WarmupLimiter(name, hall, over, slack, started_s)
        limiter.update_services({'s': per_s})
        if not is_new:
            limiter.update_gateways(context.names, 0.0)
        context.limiters[name] = limiter


@when(
    'each gets a view without {who}, and {after_s:g} s later sends all it can'
)
def send_by_view(context, who, after_s):
    context.sent = collections.Counter()
    for name, limiter in context.limiters.items():
        lacks_all = who == 'all others'
        view = {
            other: hall
            for other, hall in context.names.items()
            if other == name or not (lacks_all or hall == 'h0')
        }
        limiter.update_gateways(view, 0.0)
        limiter.generation(after_s)
        for number in range(10):
            runner = _runner(number)
            while limiter.quota(runner, after_s) and limiter.has_quota_left(
                runner, after_s
            ):
                limiter.record_send(runner, after_s).mark_sent(after_s)
                context.sent[runner.instance_id] += 1


@then('each runner of hall h0 gets at most {most:d} requests in all')
def check_sum(context, most):
    assert len(context.sent) == 10, context.sent
    assert max(context.sent.values()) <= most, context.sent


@given('a gateway that sends as much as it may to a runner that it owns')
def make_owner(context):
    context.limiter = warmup.WarmupLimiter('g-0', 'h0', 1.0, 0.0)
    context.limiter.update_gateways(_gateways(2, 1), 0.0)
    context.sent_s = []


@when(
    'routes set a limit of {before:g}, and {after_s:g} s later'
    ' of {after:g} requests a second'
)
def raise_limit(context, before, after_s, after):
    runner = _runner(1)
    context.limiter.update_services({'s': before})
    for step in range(int(200 * after_s)):
        now_s = step / 100
        if now_s == after_s:
            context.limiter.update_services({'s': after})
            context.quota = context.limiter.quota(runner, now_s)
        if context.limiter.has_quota_left(runner, now_s):
            context.limiter.record_send(runner, now_s).mark_sent(now_s)
            context.sent_s.append(now_s)


@then('it sends no more than its quota in any window')
def check_quota(context):
    sent_s = context.sent_s
    assert context.quota > 1 and len(sent_s) > context.quota
    for first_s in sent_s:
        count = sum(
            first_s <= at_s < first_s + warmup.WINDOW_S for at_s in sent_s
        )
        assert count <= context.quota, (first_s, count, context.quota)


@when('2 gateways elsewhere compute quotas with a limit of {limit:g} a second')
def compute_remote_quotas(context, limit):
    names = {'g-0': 'h1', 'g-1': 'h1'}
    context.quotas = []
    for name, hall in names.items():
        limiter = warmup.WarmupLimiter(name, hall, 1.0, 0.0)
        limiter.update_services({'s': limit})
        limiter.update_gateways(names, 0.0)
        context.quotas.append(limiter.quota(_runner(1, 'h0'), 0.0))


@then('it has an owner, and quotas of at most {most:d} in total')
def check_remote_quotas(context, most):
    assert 0 < sum(context.quotas) <= most, context.quotas


@given('a gateway that knows a runner in hall h0')
def know_runner(context):
    context.limiter = _limiter_of_39()
    context.before = [
        context.limiter.quota(_runner(n, 'h0'), 0.0) for n in range(200)
    ]


@when('the runner restarts under its id in hall h1')
def move_runner(context):
    context.after = [
        context.limiter.quota(_runner(n, 'h1'), 0.0) for n in range(200)
    ]


@then('its quota is that of a gateway that never knew the runner in h0')
def check_moved(context):
    fresh = _limiter_of_39()
    expected = [fresh.quota(_runner(n, 'h1'), 0.0) for n in range(200)]
    assert context.after == expected and expected != context.before


def _limiter_of_39():
    limiter = warmup.WarmupLimiter('g-0', 'h0', 1.5, 5.0)
    limiter.update_services({'s': 14.0})
    limiter.update_gateways(_gateways(39, 3), 0.0)
    return limiter
