# SPDX-License-Identifier: Apache-2.0

"""Steps on admission: which requests are sent where there is little room."""

import contextlib

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies
import msgspec
import trio

from features.worlds import admission, answers, crashes, rests
from mountridge.documents import routes
from mountridge import errors, messages
from mountridge.net import httpserver
from mountridge.routing import admissionbounds, admissionmodel
from mountridge.routing import admissionpriorities, admissionreturns
from mountridge.routing import backends, sendgates

LIMITS = routes.Limits()


class _RecordingPool:
    """Records the headers that are sent to runners."""

    def __init__(self, pool):
        self._pool = pool
        self.sent = []

    @contextlib.asynccontextmanager
    async def request(self, address, method, target, headers, *others):
        self.sent.append(dict(headers))
        sending = self._pool.request(address, method, target, headers, *others)
        async with sending as reply:
            yield reply


def _route(name, kind, priority):
    return routes.Route(
        name, 'a.example', f'/{name}/', kind, 3000.0, 100.0, priority,
        [routes.Share('s', 1.0)], 2, False, False, 0.0,
    )  # fmt: skip


@given('streaming routes to one service of priority {first:d} and {second:d}')
def streaming_routes(context, first, second):
    context.routes = [
        _route('a', routes.STREAMING, first),
        _route('b', routes.STREAMING, second),
    ]


@when(
    'a request on a route of priority {own:d} is sent by a team of priority'
    ' {team}'
)
def send_request(context, own, team):
    world = rests.World(1, 1)
    table = routes.RouteTable(
        1,
        [*context.routes, _route('own', routes.SAFE, own)],
        [routes.Service('s', '/h', 8, None)],
        LIMITS,
        [routes.Team('t', ['key'], None if team == 'none' else int(team))],
    )
    world.index = routes.index(table)
    gateway = world.gateways['g0']
    context.pool = gateway.pool = _RecordingPool(gateway.pool)
    headers = [
        (b'Host', b'a.example'),
        (b'Authorization', b'Bearer key'),
        (rests.NAMES.priority, b'7'),
    ]
    request = httpserver.Request(b'GET', b'/own/1', headers, b'')

    async def script():
        await trio.sleep(0.1)
        await gateway.handle(request, answers.Responder())

    world.play(script)


@then('its runner is told priority {told}')
def check_priority(context, told):
    (sent,) = context.pool.sent
    expected = None if told == 'nothing' else told.encode()
    assert sent.get(rests.NAMES.priority) == expected, sent


# Load patterns.

SHARES = (0.36, 0.48, 0.16)
#: Bursts and other patterns last this long.
FROM_S, TO_S, END_S = 5.0, 11.0, 20.0


@given(
    '{gateways:d} gateways and {groups:d} groups of {ranks:d} ranks at an'
    ' imbalance of {imbalance:g}'
)
def make_world(context, gateways, groups, ranks, imbalance):
    context.size = gateways, groups, ranks
    context.world = admission.World(*context.size)
    context.world.imbalance = imbalance


@given('{per_s:g} requests a second of three priorities')
def send_demand(context, per_s):
    context.per_s = per_s
    _demand(context.world, per_s)


def _demand(world, per_s):
    for priority, share in enumerate(SHARES):
        for team in range(4):
            world.demand(
                admission.Kind(priority, per_s * share / 4, f't{team}')
            )


def _burst(context, priority, times, **fields):
    rate = context.per_s * SHARES[priority] * (times - 1)
    kind = admission.Kind(priority, rate, 't0', FROM_S, TO_S)
    context.world.demand(kind._replace(**fields))


def _restart(world):
    world.gateways = [
        world.make_gateway(number) for number in range(len(world.gateways))
    ]


def _set_from_to(world, name, value, to_s):
    """Set an attribute of the world from `FROM_S` on, and back at ``to_s``."""
    before = getattr(world, name)
    world.at(FROM_S, setattr, world, name, value)
    world.at(to_s, setattr, world, name, before)


def _lose_reports(world, to_s=FROM_S + 2):
    _set_from_to(world, 'reports_lost', True, to_s)


def _halve_views(world):
    half = len(world.gateways) // 2
    _set_from_to(world, 'gateways_in_view', half, TO_S)


def _both_bursts(context):
    _burst(context, 2, 2.5)
    _burst(context, 0, 1.7)


PATTERNS = {
    'a burst of the least urgent x 2.5': lambda c: _burst(c, 2, 2.5),
    'a burst of the most urgent x 1.7': lambda c: _burst(c, 0, 1.7),
    'both bursts': _both_bursts,
    'both bursts without reports': lambda c: (
        _both_bursts(c),
        _lose_reports(c.world, TO_S),
    ),
    'both bursts with half of the gateways in views': lambda c: (
        _both_bursts(c),
        _halve_views(c.world),
    ),
    'both bursts without reports and half of the gateways in views': (
        lambda c: (
            _both_bursts(c),
            _lose_reports(c.world, TO_S),
            _halve_views(c.world),
        )
    ),
    'a restart of all gateways with half of them in views': lambda c: (
        c.world.at(FROM_S, _restart, c.world),
        _halve_views(c.world),
    ),
    'one team x 5': lambda c: _burst(c, 2, 5.0, team='flood'),
    'callers of the least urgent that repeat at once': lambda c: _burst(
        c, 2, 2.5, retries=3, is_patient=False, team='hasty'
    ),
    'one gateway with all demand of a hall': lambda c: c.world.demand(
        admission.Kind(1, c.per_s / 3, 't1', FROM_S, TO_S),
        c.world.gateways[:1],
    ),
    'a loss of all reports for 2 s': lambda c: _lose_reports(c.world),
    'a restart of all gateways': lambda c: c.world.at(
        FROM_S, _restart, c.world
    ),
    'a closed group for 0.6 s': lambda c: (
        c.world.at(FROM_S, c.world.set_open, 1, False),
        c.world.at(FROM_S + 0.6, c.world.set_open, 1, True),
    ),
}


@when('there is {pattern} from 5 to 11 s')
def play_pattern(context, pattern):
    PATTERNS[pattern](context)
    context.world.play(END_S)


@when('{span_s:g} s pass')
def play(context, span_s):
    context.world.play(span_s)


@when('half of the runners are gone from {from_s:g} s on')
def play_loss(context, from_s):
    world = context.world
    world.at(from_s, world.remove, len(world.listed) // 2)
    world.play(END_S)


@then(
    'from {from_s:g} to {to_s:g} s at least {least:g} in 100 of the most'
    ' urgent requests are in time'
)
def check_in_time(context, from_s, to_s, least):
    share = context.world.in_time(from_s, to_s, priority=0)
    assert share * 100 >= least, share


@then(
    'from {from_s:g} to {to_s:g} s each other team is served more often than'
    ' the team that floods'
)
def check_flood(context, from_s, to_s):
    served = {
        team: context.world.served(from_s, to_s, team=team)
        for team in ('flood', 't0', 't1', 't2', 't3')
    }
    flood = served.pop('flood')
    assert min(served.values()) > flood, (flood, served)


@then('no kind or team is served less than a quarter as often as all')
def check_starved(context):
    world = context.world
    wanted = [{'priority': n} for n in range(len(SHARES))]
    teams = {stream.kind.team for stream in world.streams}
    wanted += [{'team': team} for team in teams]
    all_served = world.served(FROM_S, END_S - 4)
    for each in wanted:
        served = world.served(FROM_S, END_S - 4, **each)
        assert served >= all_served / 4, (each, served, all_served)


@then('no request is refused while under half of the places are taken')
def check_refusals(context):
    least = min(context.world.refused_at, default=1.0)
    assert least >= 0.5, least


@then('at most {most:g} in 100 places are taken at any time')
def check_taken(context, most):
    assert context.world.most_taken * 100 <= most, context.world.most_taken


@then('no request is refused')
def check_none_refused(context):
    assert not context.world.refused_at, context.world.refused_at


@then('all decisions are those of gateways without admission')
def check_unchanged(context):
    other = admission.World(*context.size, when='never')
    other.imbalance = context.world.imbalance
    _demand(other, context.per_s)
    other.play(context.world.now_s)
    went = [
        [stream.backend.instance.instance_id for stream in world.streams]
        for world in (context.world, other)
    ]
    assert went[0][: len(went[1]) - 1] == went[1][: len(went[0]) - 1]


# Single decisions.


def _filled(context, part, group=0):
    """Fill a group of a single gateway up to a part of its places."""
    world = context.world
    known = world.gateways[0]
    each = part * admission.SLOTS
    for number, key in enumerate(world.members(group)):
        running = round(each * (number + 1)) - round(each * number)
        load = messages.RunnerLoad(key, running, 0, 100, 1 + group, True)
        known.record_report(load, 0.0)
    return known


def _request(priority, is_returned=False):
    return sendgates.RequestClass(
        's', priority, 0.4, 0.12, 't', is_returned=is_returned
    )


def _decide(context, kind, now_s):
    """Return the Retry-After of a request, None if it is admitted."""
    known = context.world.gateways[0]
    try:
        known.admission.admit(kind, 8.0, 1, context.rng, now_s)
    except errors.Overloaded as problem:
        assert (problem.code, problem.outcome) == (1216, errors.NOT_RUN)
        return problem.retry_after_s
    return None


@given('a gateway and a full group')
def full_group(context):
    context.world = admission.World(1, 2, 5)
    for key in context.world.members(1):
        known = context.world.gateways[0]
        load = messages.RunnerLoad(key, 0, 0, 100, 2, False)
        known.record_report(load, 0.0)
    _filled(context, 1.0)


@when('a second group opens')
def open_group(context):
    assert _decide(context, _request(1), 0.01) is not None
    _filled(context, 0.0, 1)


@then('the next request is admitted within {most_s:g} s')
def check_admitted(context, most_s):
    assert _decide(context, _request(1), 0.01 + most_s) is None


@given('a gateway and a group with {part:g} of its places taken')
def partly_full_group(context, part):
    context.world = admission.World(1, 1, 5)
    context.known = _filled(context, part)


@then('a request is refused for the next {span_s:g} s')
def check_kept(context, span_s):
    for now_s in (0.1, 0.9, span_s):
        assert _decide(context, _request(0), now_s) is not None, now_s


@then('it is admitted {after_s:g} s after the reports')
def check_forgotten(context, after_s):
    assert _decide(context, _request(0), after_s) is None


@when('its passes take {pass_s:g} s')
def long_passes(context, pass_s):
    backend = context.known.by_id[context.world.members(0)[0]]
    for number in range(400):
        context.known.admission.record_gap(backend, pass_s, number / 1000)


@given(
    'a gateway and a group whose runners have no slots and one request each'
)
def group_without_slots(context):
    context.world = admission.World(1, 1, 5)
    context.known = known = context.world.gateways[0]
    known.update_runners(
        [each._replace(slots=0) for each in context.world.listed]
    )
    for key in context.world.members(0):
        load = messages.RunnerLoad(key, 1, 0, 100, 1, True)
        known.record_report(load, 0.0)


@then('a request is refused, and a runner is found for one that is sent')
def check_no_slots(context):
    assert _decide(context, _request(1), 0.41) is not None
    picked = context.known.pick(_request(1), 'h0', set(), 1, context.rng, 0.41)
    assert picked is not None


@then('requests of all priorities are admitted')
def check_all_admitted(context):
    for priority in (0, 0, 0, 1, 2):
        assert _decide(context, _request(priority), 0.41) is None, priority


@given('a gateway and a group with room for returned requests only')
def nearly_full_group(context):
    context.world = admission.World(1, 1, 5)
    known = _filled(context, 0.72)
    backend = known.by_id[context.world.members(0)[0]]
    # More urgent demand, and passes near the longest.
    for number in range(400):
        known.admission.record_gap(backend, 0.1, number / 1000)
    for _ in range(5):
        assert _decide(context, _request(0), 0.4) is None


@then(
    'a new request is refused with 1216 and a Retry-After of at least'
    ' {least_s:g} s'
)
def check_refused(context, least_s):
    context.retry_after_s = _decide(context, _request(2), 0.41)
    assert context.retry_after_s >= least_s


@then('one that returns after that time is admitted')
def check_returned(context):
    returns = admissionreturns.Returns()
    assert not returns.is_returned('r', 8000.0)
    left_ms = 8000 - 1000 * context.retry_after_s
    is_returned = returns.is_returned('r', left_ms)
    assert _decide(context, _request(2, is_returned), 0.42) is None


@then('one that repeats at once is refused')
def check_repeated(context):
    returns = admissionreturns.Returns()
    assert not returns.is_returned('r', 8000.0)
    is_returned = returns.is_returned('r', 7900.0)
    assert _decide(context, _request(2, is_returned), 0.43) is not None


@when('{count:d} requests of 8 s are refused within {span_s:g} s')
def refuse_many(context, count, span_s):
    context.waits = []
    for number in range(count):
        now_s = span_s * number / count
        kind = _request(2 * (number % 2))
        wait_s = _decide(context, kind, now_s)
        if wait_s is not None:
            context.waits.append((kind.priority, now_s, wait_s))


@then('each Retry-After is at least {least_s:g} s and at most {most_s:g} s')
def check_waits(context, least_s, most_s):
    waits = [wait_s for _, _, wait_s in context.waits]
    assert len(waits) >= 20, waits
    assert least_s <= min(waits) and max(waits) <= most_s, waits


@then('at most {most:d} of them return within the same {span_s:g} s')
def check_spread(context, most, span_s):
    ends = sorted(now_s + wait_s for _, now_s, wait_s in context.waits)
    together = max(
        sum(first <= other < first + span_s for other in ends)
        for first in ends
    )
    assert together <= most, (together, ends)


@then('the most urgent return sooner than the least urgent on average')
def check_sooner(context):
    means = []
    for priority in (0, 2):
        waits = [w for found, _, w in context.waits if found == priority]
        means.append(sum(waits) / len(waits))
    assert means[0] < means[1], means


# Properties.


@then(
    'for all engines and measured passes the bound is within half and all of'
    ' the slots'
)
def check_bounds(context):
    spans = strategies.floats(0.001, 10.0)
    gaps = strategies.lists(
        strategies.tuples(spans, strategies.floats(0.0, 20.0)), max_size=30
    )

    @settings(max_examples=200, database=None, derandomize=True)
    @for_all(gaps, strategies.integers(1, 64), spans)
    def check(measured, slots, limit_s):
        model = admissionmodel.PassModel(0.034, 0.0068, 20.0)
        bound = admissionbounds.GroupBound()
        now_s = 0.0
        for gap_s, requests in measured:
            now_s += gap_s
            bound.record_gap(model, gap_s, requests, slots, now_s)
            found = bound.most_requests(model, limit_s, slots, now_s)
            assert slots / 2 <= found <= slots

    check()


@then(
    'for all shares of demand a more urgent kind is admitted at least as far'
)
def check_order(context):
    levels = strategies.lists(strategies.integers(0, 9), min_size=1)

    @settings(max_examples=200, database=None, derandomize=True)
    @for_all(levels, strategies.booleans())
    def check(arrived, is_returned):
        demand = admissionpriorities.Demand()
        for number, priority in enumerate(arrived):
            demand.record('s', priority, number / 10)
        parts = [
            admissionpriorities.allowance(
                demand.share_before('s', priority), is_returned
            )
            for priority in range(10)
        ]
        assert parts == sorted(parts, reverse=True)
        assert min(parts) > 0.5

    check()


@then(
    'for all orders of decisions a kind gets at least {least:d} in 100 of its'
    ' requests'
)
def check_floor(context, least):
    room = strategies.lists(strategies.booleans(), min_size=20)

    @settings(max_examples=200, database=None, derandomize=True)
    @for_all(room)
    def check(has_room):
        floors = admissionpriorities.Floors()
        admitted = 0
        for each in has_room:
            is_admitted = each or floors.is_due(('s', '', 1))
            floors.record(('s', '', 1), is_admitted)
            admitted += is_admitted
        assert admitted >= least * len(has_room) / 100 - 1

    check()


@given(
    'a service whose streaming routes have priorities {first:d} and'
    ' {second:d}, and admission.when is {when}'
)
def make_gate(context, first, second, when):
    table = admission.table((first, second))
    context.known = backends.Backends('g')
    context.known.admission.update_routes(routes.index(table), when)


@then('admission is {state}')
def check_state(context, state):
    assert context.known.admission.is_on('s') == (state == 'on')


@when('streaming routes of different priorities are put at an entry')
def put_routes(context):
    async def script(play):
        entries = [play.world.daemons[name] for name in play.world.entries]
        before = [e.backends.admission.is_on('s') for e in entries]
        document = admission.table()._replace(version=2)
        await entries[0].put_routes(msgspec.json.encode(document))
        await trio.sleep(1)
        after = [e.backends.admission.is_on('s') for e in entries]
        context.is_on = (before, after)

    crashes.play(context, script, count=1)


@then('all entries admit requests to their service by room')
def check_entries(context):
    assert context.is_on == ([False] * 3, [True] * 3), context.is_on
