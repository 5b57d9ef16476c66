# SPDX-License-Identifier: Apache-2.0

"""Steps on runners that can turn cold: many gateways, on virtual time."""

import collections
import random
import types

from behave import given, then, when
import trio
import trio.testing

from mountridge.documents import instances, routes
from mountridge import errors, messages, metrics
from mountridge.routing import backends, forwarding, picking, warmup

SLOTS, QUEUE = 5, 20
#: After power returns: gateways begin, have a view with runners of before,
#: runners register, and groups open, each drawn from a span.
BEGIN_S, VIEW_S, REGISTER_S, OPEN_S = (0, 0.3), (0.5, 0.8), (0.5, 1.9), 0.9
#: To a runner, to its refusal, to a first event; how long an answer takes.
WAY_S, REFUSED_S, FIRST_S, ANSWER_S = 0.002, 0.004, 0.17, 1.3
REPORT_S = 0.2
SPAN_S, DEADLINE_S, MOST_TRIES = 4.0, 8.0, 5
#: Callers that have waited through the loss: 134 a second for 2 s and more.
WAITED = 300
#: Random schedules that are played for each fault.
SEEDS = 6


def most_in_a_second(times_s):
    """Return the most of sorted times that lie within one second."""
    window, most = collections.deque(), 0
    for at_s in times_s:
        window.append(at_s)
        while window[0] <= at_s - 1.0:
            window.popleft()
        most = max(most, len(window))
    return most


class _Runner:
    """One runner and the one that stood at its address before."""

    def __init__(self, number, group, hall):
        self.group = group
        made = [
            instances.Instance(
                f'{life}-{number}', 's', f'10.0.0.{number}:1', hall, 'v',
                SLOTS, instances.READY, 0, True,
            )
            for life in ('old', 'new')
        ]  # fmt: skip
        self.old, self.new = made
        self.is_known = False
        self.there = 0
        self.arrived_s = []


class _Return:
    """All power returns to gateways, runners and their callers."""

    def __init__(self, gateways, halls, groups, ranks, per_s, over, slack):
        self.rng = random.Random(11)
        self.names = {f'g-{n}': f'h{n % halls}' for n in range(gateways)}
        self.runners = [
            _Runner(n, n % groups, f'h{n % halls}')
            for n in range(groups * ranks)
        ]
        self.bound = (per_s, over, slack)
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
        """Return the registrations that the leader holds."""
        return [r.new if r.is_known else r.old for r in self.runners]

    async def start(self, name):
        await trio.sleep(self.rng.uniform(*BEGIN_S))
        per_s, over, slack = self.bound
        own = warmup.Warmup(name, self.names[name], over, slack, self.now_s())
        known = backends.Backends(name, own)
        await trio.sleep(self.rng.uniform(*VIEW_S))
        own.follow_services({'s': per_s})
        own.follow_gateways(self.names, self.now_s())
        known.follow_gateways(self.names)
        known.follow(self.listed())
        service = types.SimpleNamespace(engine=routes.Engine(SLOTS, 1, 8))
        index = types.SimpleNamespace(services={'s': service})
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
        runner.is_known = True
        for known in self.known.values():
            known.follow(self.listed())

    async def report(self):
        while True:
            await trio.sleep(REPORT_S)
            is_open = self.now_s() >= self.begun_s + OPEN_S
            for known in self.known.values():
                for runner in self.runners:
                    told = messages.RunnerLoad(
                        runner.new.instance_id, min(SLOTS, runner.there),
                        max(0, runner.there - SLOTS), 100, runner.group,
                        is_open,
                    )  # fmt: skip
                    known.report(told, self.now_s())

    async def run(self, per_s):
        self.begun_s = self.now_s()
        async with trio.open_nursery() as nursery:
            for name in self.names:
                nursery.start_soon(self.start, name)
            for runner in self.runners:
                nursery.start_soon(self.register, runner)
            nursery.start_soon(self.report)
            for _ in range(WAITED):
                nursery.start_soon(self.ask)
            until_s = self.begun_s + SPAN_S
            while self.now_s() < until_s:
                nursery.start_soon(self.ask)
                await trio.sleep(self.rng.expovariate(per_s))
            await trio.sleep(DEADLINE_S)
            nursery.cancel_scope.cancel()

    async def ask(self):
        """A caller, who comes back once where it is refused."""
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
                else_s = forwarding.RETRY_AFTER_S[type(problem)]
                rest_s = problem.retry_after_s or else_s
            await trio.sleep(min(rest_s, (until_s - self.now_s()) / 3))

    async def send(self, name, number, until_s):
        exchange = types.SimpleNamespace(
            service='s', attempted=set(), begun_s=self.now_s(),
            deadline_s=until_s,
            team=None, route=types.SimpleNamespace(priority=1),
        )  # fmt: skip
        known = self.known[name]
        for _ in range(MOST_TRIES):
            picked = await self.pickers[name].pick(exchange)
            backend = picked.backend
            exchange.attempted.add(backend.instance.instance_id)
            send = known.began(backend, self.now_s())
            try:
                if await self.is_taken(known, backend, send, number):
                    return
            finally:
                backend.ended()
        raise errors.RunnerRefused()

    async def is_taken(self, known, backend, send, number):
        """Return whether a runner takes a request, and let it answer."""
        instance = backend.instance
        runner = next(r for r in self.runners if instance in (r.old, r.new))
        send.leaves(self.now_s())
        await trio.sleep(WAY_S)
        is_gone = instance is runner.old
        if not is_gone:
            runner.arrived_s.append(self.now_s())
        is_open = self.now_s() >= self.begun_s + OPEN_S
        if is_gone or not is_open or runner.there >= SLOTS + QUEUE:
            await trio.sleep(REFUSED_S)
            backend.replaced = is_gone
            if is_gone:
                send.take_back()
            else:
                backend.heard(runner.there, 0, self.now_s())
            known.refused(backend, self.now_s())
            return False
        runner.there += 1
        while runner.there > SLOTS and self.rng.random() < 0.5:
            await trio.sleep(FIRST_S)
        await trio.sleep(FIRST_S)
        self.served_s[number] = self.now_s() - self.begun_s
        known.accepted(backend, self.now_s())
        await trio.sleep(self.rng.expovariate(1 / ANSWER_S))
        runner.there -= 1
        return True


@given(
    '{gateways:d} gateways in {halls:d} halls'
    ' and {groups:d} groups of {ranks:d} ranks in 3 halls'
)
def make_fleet(context, gateways, halls, groups, ranks):
    context.fleet = (gateways, halls, groups, ranks)


@given(
    'a cold runner bears {per_s:g} requests a second,'
    ' {over:g} times that and {slack:g} more'
)
def bears(context, per_s, over, slack):
    context.bears = (per_s, over, slack)


@when('all power returns to callers that waited, and {per_s:g} a second come')
def power_returns(context, per_s):
    async def play():
        context.world = _Return(*context.fleet, *context.bears)
        await context.world.run(per_s)

    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


@then('the most that a runner gets in a second is {most:d} or {which}')
def check_most(context, most, which):
    found = max(most_in_a_second(r.arrived_s) for r in context.world.runners)
    assert (found <= most) == (which == 'less'), found


@then('all are served, those that waited within {span_s:g} s')
def check_out(context, span_s):
    world = context.world
    assert len(world.served_s) == world.asked, (world.codes, world.asked)
    waited_s = [s for number, s in world.served_s.items() if number < WAITED]
    assert max(waited_s) <= span_s, max(waited_s)


@then('at most {most:d} in 100 are refused once')
def check_refused(context, most):
    world = context.world
    assert world.codes.total() * 100 <= most * world.asked, world.codes


# Random schedules.

#: How often each gateway tries to send to each runner: far more than it may.
TRY_S, LAG_S, LEASE_S = 0.04, 3.0, 3.0


class _Gateway:
    """One gateway, the view that it has and what it may send."""

    def __init__(self, name, hall):
        self.name, self.hall = name, hall
        self.up_s = 0.0
        self.is_cut = False
        self.own = None


class _Schedule:
    """Gateways that send all they may while their views differ."""

    def __init__(self, seed, gateways, halls, bears):
        self.rng = random.Random(seed)
        self.bears = bears
        self.runners = [
            instances.Instance(
                f'i-{n}', 's', f'10.0.0.{n}:1', f'h{n % halls}', 'v', SLOTS,
                instances.READY,
            )
            for n in range(6)
        ]  # fmt: skip
        self.gateways = []
        #: (since when, the view): what the leader holds.
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
        """Start a gateway: it knows nothing of a former life."""
        per_s, over, slack = self.bears
        gateway.up_s, gateway.is_cut = now_s, False
        began_s = now_s if now_s else float('-inf')
        gateway.own = warmup.Warmup(
            gateway.name, gateway.hall, over, slack, began_s
        )
        gateway.own.follow_services({'s': per_s})
        self.register(gateway, now_s)
        gateway.own.follow_gateways(self.views[-1][1], now_s)

    def register(self, gateway, now_s):
        view = {**self.views[-1][1], gateway.name: gateway.hall}
        if view != self.views[-1][1]:
            self.views.append((now_s, view))

    def expel(self, now_s):
        """Let the leader forget those that are cut off or down for long."""
        view = dict(self.views[-1][1])
        for gateway in self.gateways:
            is_away = gateway.is_cut or gateway.up_s > now_s
            if is_away and now_s - gateway.away_s > LEASE_S:
                view.pop(gateway.name, None)
        if view != self.views[-1][1]:
            self.views.append((now_s, view))

    def down(self, gateway, now_s, span_s):
        gateway.away_s, gateway.up_s = now_s, now_s + span_s

    def cut(self, gateway, now_s):
        gateway.away_s, gateway.is_cut = now_s, True

    def heal(self, gateway, now_s):
        gateway.is_cut = False
        self.register(gateway, now_s)

    def play(self, faults, span_s):
        """Play ``faults``: times and what is done then."""
        now_s, faults = 0.0, sorted(faults, key=lambda each: each[0])
        while now_s < span_s:
            now_s += TRY_S
            while faults and faults[0][0] <= now_s:
                faults.pop(0)[1](now_s)
            self.expel(now_s)
            for gateway in self.gateways:
                if gateway.up_s > now_s:
                    continue
                if gateway.own is None:
                    self.start(gateway, now_s)
                if not gateway.is_cut and self.rng.random() < TRY_S:
                    lag_s = self.rng.uniform(0, LAG_S)
                    seen = [v for at, v in self.views if at <= now_s - lag_s]
                    gateway.own.follow_gateways(seen[-1], now_s)
                self.send(gateway, now_s)

    def send(self, gateway, now_s):
        at_s = now_s + self.rng.uniform(0, TRY_S)
        for runner in self.runners:
            gateway.own.deal(at_s)
            if not gateway.own.part(runner, at_s):
                continue
            if gateway.own.is_free(runner, at_s):
                send = gateway.own.send(runner, at_s)
                late_s = at_s + self.rng.choice([0.0, 0.001, 0.3])
                send.leaves(late_s)
                self.arrived_s[runner.instance_id].append(late_s)

    def most(self):
        return max(
            most_in_a_second(sorted(times))
            for times in self.arrived_s.values()
        )


def _restarts(world, rng):
    """Kill gateways at random moments; each starts again soon."""
    for _ in range(60):
        gateway = rng.choice(world.gateways)
        yield rng.uniform(1, 11), _killed(world, gateway, rng.uniform(0.1, 1))


def _killed(world, gateway, span_s):
    def kill(now_s):
        world.down(gateway, now_s, span_s)
        gateway.own = None

    return kill


def _herd(world, rng):
    """Kill all at one moment, twice."""
    for at_s in (3.0, 6.0):
        for gateway in world.gateways:
            yield at_s, _killed(world, gateway, rng.uniform(0.1, 0.6))


def _hall(world, rng):
    """Lose a hall for longer than a lease, and have it back."""
    for gateway in world.gateways:
        if gateway.hall == 'h0':
            yield 2.0, _killed(world, gateway, rng.uniform(4.0, 6.0))


def _cuts(world, rng):
    """Cut gateways off for a time, each from its own moment."""
    for gateway in rng.sample(world.gateways, len(world.gateways) // 2):
        at_s = rng.uniform(1, 4)
        yield at_s, lambda now_s, g=gateway: world.cut(g, now_s)
        heal_s = at_s + rng.uniform(1, 6)
        yield heal_s, lambda now_s, g=gateway: world.heal(g, now_s)


def _joins(world, rng):
    """Let new gateways come, under names that were never seen."""
    for number in range(6):
        yield rng.uniform(1, 11), lambda now_s, n=number: world.add(
            1000 + n, 3, now_s
        )


def _all(world, rng):
    for fault in (_restarts, _hall, _cuts, _joins):
        yield from fault(world, rng)


FAULTS = {
    'gateways are killed and start again': _restarts,
    'all are killed at one moment, twice': _herd,
    'a hall is lost and comes back': _hall,
    'half are cut off for a time': _cuts,
    'new gateways join': _joins,
    'all but the second at once': _all,
}


@when('{gateways:d} gateways send all that they may while {fault}')
def random_schedules(context, gateways, fault):
    context.found = []
    for seed in range(SEEDS):
        world = _Schedule(seed, gateways, 3, context.bears)
        faults = list(FAULTS[fault](world, random.Random(seed)))
        world.play(faults, 12.0)
        context.found.append(world.most())


@then('no runner gets over {most:d} in any second')
def check_all(context, most):
    assert max(context.found) <= most, context.found


@then('some get {some:d} or more')
def check_some(context, some):
    """The gateways do send all that they may, or nothing would be shown."""
    assert max(context.found) >= some, context.found


# One gateway.


def _runner(number, hall='h0', is_cold=False):
    return instances.Instance(
        f'i-{number}', 's', f'10.0.0.{number}:1', hall, 'v', SLOTS,
        instances.READY, 0, is_cold,
    )  # fmt: skip


def _gateways(count, halls):
    return {f'g-{n}': f'h{n % halls}' for n in range(count)}


@when('{gateways:d} gateways in {halls:d} halls share {runners:d} runners')
def share_runners(context, gateways, halls, runners):
    per_s, over, slack = context.bears
    context.parts = {}
    listed = [_runner(n, f'h{n % halls}') for n in range(runners)]
    names = _gateways(gateways, halls)
    for name, hall in names.items():
        own = warmup.Warmup(name, hall, over, slack)
        own.follow_services({'s': per_s})
        own.follow_gateways(names, 0.0)
        for runner in listed:
            part = own.part(runner, 0.0)
            is_first = own.is_first(runner)
            held = context.parts.setdefault((runner, len(names) > 1), {})
            if part:
                held[name, hall] = (part, is_first)


@then('each runner has one first owner, in its hall')
def one_first(context):
    for (runner, _), held in context.parts.items():
        halls = [hall for (_, hall), (_, first) in held.items() if first]
        assert halls == [runner.hall], (runner, held)


@then('it has owners in other halls, and its parts add up to {most:d} at most')
def owners_elsewhere(context, most):
    for (runner, are_more), held in context.parts.items():
        away = [hall for _, hall in held if hall != runner.hall]
        assert away or not are_more, (runner, held)
        assert sum(part for part, _ in held.values()) <= most, held


@then('each gateway owns {least:d} runners at least')
def owns_some(context, least):
    owned = collections.Counter(
        name for held in context.parts.values() for name, _ in held
    )
    print(owned)
    assert min(owned.values()) >= least or not least, owned


class _Gateway1:
    """One of 39 gateways, its picker and the runners that it knows."""

    def __init__(self, runners, started_s=float('-inf')):
        self.rng = random.Random(5)
        self.own = warmup.Warmup('g-0', 'h0', 1.5, 5.0, started_s)
        self.own.follow_services({'s': 14.0})
        self.own.follow_gateways(_gateways(39, 3), 0.0)
        self.known = backends.Backends('g-0', self.own)
        self.known.follow(runners)
        service = types.SimpleNamespace(engine=None)
        index = types.SimpleNamespace(services={'s': service})
        app = types.SimpleNamespace(
            settings={'hall': 'h0'},
            now_s=trio.current_time,
            metrics=metrics.Metrics(None),
        )
        self.picker = picking.Picker(
            app, lambda: index, self.known, lambda: 39, self.rng
        )
        #: What became of requests, by number, in order: (number, after how
        #: long, the runner or the refusal).
        self.told = []

    def exchange(self, priority=1, tried=()):
        now_s = trio.current_time()
        return types.SimpleNamespace(
            service='s', attempted=set(tried), begun_s=now_s,
            deadline_s=now_s + 8,
            team=None, route=types.SimpleNamespace(priority=priority),
        )  # fmt: skip

    async def ask(self, number, priority=1, tried=()):
        exchange = self.exchange(priority, tried)
        became = None
        try:
            picked = await self.picker.pick(exchange)
            now_s = trio.current_time()
            self.known.began(picked.backend, now_s).leaves(now_s)
            became = picked.backend.instance.instance_id
        except errors.MountridgeError as problem:
            became = problem
        took_s = trio.current_time() - exchange.begun_s
        self.told.append((number, round(took_s, 3), became))
        return became


def _play(play):
    trio.run(play, clock=trio.testing.MockClock(autojump_threshold=0))


def _with_part(part, count):
    """Return runners of which the gateway has such a part."""
    own = warmup.Warmup('g-0', 'h0', 1.5, 5.0)
    own.follow_services({'s': 14.0})
    own.follow_gateways(_gateways(39, 3), 0.0)
    runners = [_runner(number) for number in range(200)]
    return [r for r in runners if own.part(r, 0.0) == part][:count]


@given('a gateway that may send 1 request in a window to each of 2 runners')
def make_gateway(context):
    context.runners = _with_part(1, 2)
    context.started_ago_s = None


@given('it has started {ago_s:g} s ago')
def started(context, ago_s):
    context.started_ago_s = ago_s


@given('other gateways own both')
def other_owners(context):
    context.runners = _with_part(0, 2)


@given('the first of them is cold, and both have 1 of 5 slots taken')
def first_cold(context):
    first, second = context.runners
    context.runners = [first._replace(is_cold=True), second]


@when('requests of priorities {priorities} come at one moment')
def come_at_once(context, priorities):
    async def play():
        context.gateway = _Gateway1(context.runners)
        async with trio.open_nursery() as nursery:
            for number, priority in enumerate(priorities.split(), 1):
                nursery.start_soon(context.gateway.ask, number, int(priority))
                await trio.sleep(0.0001)

    _play(play)


@then('{numbers} are sent in this order, the last two {after_s:g} s later')
def sent_in_order(context, numbers, after_s):
    told = [each for each in context.gateway.told if isinstance(each[2], str)]
    assert [str(each[0]) for each in told] == numbers.split(), told
    assert [round(each[1], 2) for each in told] == [0, 0, after_s, after_s]


@then(
    '{numbers} are refused within {span_s:g} s with {code:d},'
    ' to come back after {after_s:g} s'
)
def refused_soon(context, numbers, span_s, code, after_s):
    told = [x for x in context.gateway.told if not isinstance(x[2], str)]
    assert [str(each[0]) for each in told] == numbers.split(), told
    for _, took_s, problem in told:
        assert took_s <= span_s and problem.code == code, told
        back_s = took_s + problem.retry_after_s
        assert after_s - 0.01 <= back_s <= after_s * 1.5, told


@when('the first of 2 requests fails at its first runner')
def first_fails(context):
    async def play():
        gateway = context.gateway = _Gateway1(context.runners)
        first = await gateway.ask(1)
        await gateway.ask(1, tried={first})
        await gateway.ask(2)

    _play(play)


@then('its second try goes to the other runner')
def to_the_other(context):
    (_, _, first), (_, _, second), _ = context.gateway.told
    assert {first, second} == {r.instance_id for r in context.runners}


@then('the second request waits for {wait_s:g} s')
def second_waits(context, wait_s):
    assert context.gateway.told[2][:2] == (2, wait_s), context.gateway.told


@when('2 requests come, and the sends are such that each {what}')
def taken_back(context, what):
    async def play():
        gateway = context.gateway = _Gateway1(context.runners)
        for _ in range(2):
            picked = await gateway.picker.pick(gateway.exchange())
            send = gateway.known.began(picked.backend, trio.current_time())
            if what != 'never left':
                send.leaves(trio.current_time())
            send.take_back()
        await gateway.ask(3)

    _play(play)


@then('another request finds a runner at once')
def finds_at_once(context):
    ((_, took_s, became),) = context.gateway.told
    assert took_s == 0 and isinstance(became, str), context.gateway.told


@when('a request comes')
def one_comes(context):
    async def play():
        started_s = trio.current_time() - context.started_ago_s
        context.gateway = _Gateway1(context.runners, started_s)
        await context.gateway.ask(1)

    _play(play)


@then('it is sent {after_s:g} s later')
def sent_later(context, after_s):
    ((_, took_s, became),) = context.gateway.told
    assert took_s == after_s and isinstance(became, str), took_s


@when('a request comes, and another one {later_s:g} s later')
def two_come(context, later_s):
    async def play():
        context.gateway = _Gateway1(context.runners)
        await context.gateway.ask(1)
        await trio.sleep(later_s)
        await context.gateway.ask(2)

    _play(play)


@then(
    'the first waits for a runner,'
    ' and the other is refused at once with {code:d}'
)
def hopeless(context, code):
    (_, first_s, _), (_, second_s, problem) = context.gateway.told
    assert first_s > 1 and second_s == 0, context.gateway.told
    assert problem.code == code, problem


@when('40 requests come, each 2 s after the other')
def forty_come(context):
    async def play():
        gateway = context.gateway = _Gateway1(context.runners)
        for number in range(40):
            await trio.sleep(2)
            for runner in context.runners:
                load = messages.RunnerLoad(
                    runner.instance_id, 1, 0, 100, 1, True
                )
                gateway.known.report(load, trio.current_time())
            await gateway.ask(number)
            for backend in gateway.known.by_id.values():
                backend.own = 0

    _play(play)


@then('all go to the second')
def all_second(context):
    went = {became for _, _, became in context.gateway.told}
    assert went == {context.runners[1].instance_id}, went


# Views that lack gateways.


@given('{gateways:d} gateways in {halls:d} halls that {know}')
def gateways_that(context, gateways, halls, know):
    per_s, over, slack = context.bears
    context.names = _gateways(gateways, halls)
    has_begun = know == 'have just begun'
    context.owns = {}
    for name, hall in context.names.items():
        # Of a hall that is lost only its own gateways begin anew.
        is_new = has_begun and hall == 'h0'
        began_s = 0.0 if is_new else float('-inf')
        own = warmup.Warmup(name, hall, over, slack, began_s)
        own.follow_services({'s': per_s})
        if not is_new:
            own.follow_gateways(context.names, 0.0)
        context.owns[name] = own


@when(
    'each gets a view without {who}, and {after_s:g} s later sends all it may'
)
def send_by_view(context, who, after_s):
    context.sent = collections.Counter()
    for name, own in context.owns.items():
        lacks_all = who == 'any other'
        view = {
            other: hall
            for other, hall in context.names.items()
            if other == name or not (lacks_all or hall == 'h0')
        }
        own.follow_gateways(view, 0.0)
        own.deal(after_s)
        for number in range(10):
            runner = _runner(number)
            while own.part(runner, after_s) and own.is_free(runner, after_s):
                own.send(runner, after_s).leaves(after_s)
                context.sent[runner.instance_id] += 1


@then('the runners of hall h0 get at most {most:d} from all together')
def check_sum(context, most):
    assert len(context.sent) == 10, context.sent
    assert max(context.sent.values()) <= most, context.sent


@given('a gateway that sends all that it may to a runner of its own')
def make_lone_gateway(context):
    context.own = warmup.Warmup('g-0', 'h0', 1.0, 0.0)
    context.own.follow_gateways(_gateways(2, 1), 0.0)
    context.sent_s = []


@when(
    'the routes let a cold runner bear {before:g}, and {after_s:g} s later'
    ' {after:g} requests a second'
)
def raise_bound(context, before, after_s, after):
    runner = _runner(1)
    context.own.follow_services({'s': before})
    for step in range(int(200 * after_s)):
        now_s = step / 100
        if now_s == after_s:
            context.own.follow_services({'s': after})
            context.part = context.own.part(runner, now_s)
        if context.own.is_free(runner, now_s):
            context.own.send(runner, now_s).leaves(now_s)
            context.sent_s.append(now_s)


@then('it sends no more than its part in any window')
def check_part(context):
    sent_s = context.sent_s
    assert context.part > 1 and len(sent_s) > context.part
    for first_s in sent_s:
        count = sum(
            first_s <= at_s < first_s + warmup.WINDOW_S for at_s in sent_s
        )
        assert count <= context.part, (first_s, count, context.part)


@when('2 gateways elsewhere share a runner that bears {bound:g} in a second')
def share_from_elsewhere(context, bound):
    names = {'g-0': 'h1', 'g-1': 'h1'}
    context.shares = []
    for name, hall in names.items():
        own = warmup.Warmup(name, hall, 1.0, 0.0)
        own.follow_services({'s': bound})
        own.follow_gateways(names, 0.0)
        context.shares.append(own.part(_runner(1, 'h0'), 0.0))


@then('it has an owner, and its parts add up to {most:d} at most')
def check_shares(context, most):
    assert 0 < sum(context.shares) <= most, context.shares


@given('a gateway that knows a runner in hall h0')
def know_runners(context):
    context.own = _one_of_39()
    context.before = [
        context.own.part(_runner(n, 'h0'), 0.0) for n in range(200)
    ]


@when('the runner starts again under its id in hall h1')
def move_runners(context):
    context.after = [
        context.own.part(_runner(n, 'h1'), 0.0) for n in range(200)
    ]


@then('the gateway has the part there of one that never knew the other place')
def check_moved(context):
    fresh = _one_of_39()
    expected = [fresh.part(_runner(n, 'h1'), 0.0) for n in range(200)]
    assert context.after == expected and expected != context.before


def _one_of_39():
    own = warmup.Warmup('g-0', 'h0', 1.5, 5.0)
    own.follow_services({'s': 14.0})
    own.follow_gateways(_gateways(39, 3), 0.0)
    return own
