# SPDX-License-Identifier: Apache-2.0

"""Steps on the load on the leader of groups with many ranks."""

import io
import json
import logging
import random
import types

from behave import given, then, when
import trio

from mountridge import application, controller, errors, logs, messages
from mountridge import remoteranks, sidecar
from mountridge.experts import demand, mapchanges, mapdeltas, mapplans, ranks
from mountridge.groups import groups, mapplanning

SETS, RANKS, EXPERTS, PLACES = 10, 192, 384, 3
PEER = application.Peer(b'route', 0, '')
#: Rounds of reports in which a change must be finished.
MOST_ROUNDS = 20


def _first_map():
    rng = random.Random(3)
    return [
        [[rank, rank + RANKS, rng.randrange(EXPERTS)] for rank in range(RANKS)]
        for _ in range(SETS)
    ]


@given('a map of 192 ranks with 384 experts in 10 sets and 3 places')
def make_map(context):
    context.known = _first_map()


@when('{count:d} of its experts change, and it is packed')
def change_map(context, count):
    rng = random.Random(4)
    context.placed = [
        [list(held) for held in by_rank] for by_rank in context.known
    ]
    for place in rng.sample(range(SETS * RANKS), count):
        held = context.placed[place % SETS][place // SETS]
        held[-1] = (held[-1] + 7) % EXPERTS
    context.packed = mapdeltas.pack(context.placed, 7, context.known)
    context.packed_whole = mapdeltas.pack(context.placed, ranks.NO_VERSION, [])


@then('it takes at most {most:d} bytes, and {most_whole:d} without a base')
def check_packed_size(context, most, most_whole):
    sizes = len(context.packed.data), len(context.packed_whole.data)
    assert sizes[0] <= most and sizes[1] <= most_whole, sizes


@then('both packed forms unpack to the new map')
def check_unpacked(context):
    unpacked = mapdeltas.unpack(context.packed, context.known)
    assert unpacked == context.placed
    assert mapdeltas.unpack(context.packed_whole, []) == context.placed


@when('a packed map is unpacked that {fault}')
def unpack_bad_map(context, fault):
    packed = mapdeltas.pack(context.known, 7, context.known)
    known = context.known
    if fault == 'is truncated':
        packed = packed._replace(data=packed.data[:-4])
    elif fault == 'states a size of zero':
        packed = packed._replace(slots=0)
    elif fault == 'states a size above the limit':
        packed = packed._replace(ranks=10**9)
    elif fault == 'has more data than its size':
        packed = packed._replace(slots=2)
    else:
        known = [by_rank[:-1] for by_rank in known]
    try:
        mapdeltas.unpack(packed, known)
        context.problem = None
    except errors.MountridgeError as problem:
        context.problem = problem


@then('the map is refused with code {code:d}')
def check_refused(context, code):
    assert context.problem is not None and context.problem.code == code


class _Engine:
    """Accepts any order, and records it."""

    def __init__(self):
        self.orders = []

    async def execute(self, order):
        self.orders.append(order)


@given('a sidecar that knows no map')
def make_sidecar(context):
    context.tasks = []
    app = types.SimpleNamespace(
        settings={
            'sidecar': {'report_s': 0.12},
            'controllers': {'c': 'tcp://127.0.0.1:1'},
            'entry': {'seeds': []},
            'bind': 'tcp://127.0.0.1:1',
        },
        now_s=lambda: 100.0,
        start_task=lambda task, *args: context.tasks.append((task, args)),
    )
    context.engine = _Engine()
    context.sidecar = sidecar.Sidecar(app, context.engine)
    context.known = _first_map()


def _push(context, packed):
    order = ranks.RankOrder(ranks.PREPARE, 1, 9, ranks.NO_VERSION, [])
    context.sidecar.on_push(messages.RankPush(1, order, packed))

    async def run():
        for task, args in context.tasks:
            await task(*args)

    trio.run(run)
    context.tasks.clear()


@when('it receives an order to prepare a map packed against map {base:d}')
def push_with_base(context, base):
    # As after a report: no change to report.
    context.sidecar._reported = 'reported'
    _push(context, mapdeltas.pack(context.known, base, context.known))


@then('the order is not carried out, and the sidecar reports at once')
def check_not_carried_out(context):
    assert not context.engine.orders
    assert context.sidecar._reported is None and context.sidecar._wake.is_set()


@when('it receives the order again with the whole map')
def push_whole(context):
    _push(context, mapdeltas.pack(context.known, ranks.NO_VERSION, []))


@then('the order is carried out with that map')
def check_carried_out(context):
    assert [order.placed for order in context.engine.orders] == [context.known]


@given('a report interval of {interval_s:g} s set by the leader')
def set_interval(context, interval_s):
    context.sidecar._interval_s = interval_s


@when('it has just reported')
def has_reported(context):
    context.sidecar._reported = sidecar._urgent_state(_state(0, RANKS))
    context.sidecar._reported_s = context.sidecar.app.now_s()


@when('it copies the experts of a map')
def copies_experts(context):
    order = ranks.RankOrder(ranks.PREPARE, 1, 9, ranks.NO_VERSION, [])
    context.sidecar._order = (order, context.sidecar.app.now_s())


@then('its next report is due after {interval_s:g} s')
def check_due(context, interval_s):
    state, now_s = _state(0, RANKS), context.sidecar.app.now_s()
    assert not context.sidecar._is_due(state, now_s + interval_s - 0.02)
    assert context.sidecar._is_due(state, now_s + interval_s)


class _ChangingEngine:
    """Uses another map, or starts again, once its state has been read."""

    def __init__(self, change):
        self.before = _state(1, RANKS, born_ms=1000)
        self.after = self.before._replace(**change)
        self.reads = 0

    async def state(self):
        self.reads += 1
        return self.before if self.reads == 1 else self.after

    async def experts(self):
        return _experts_of(self.after)

    async def counts(self):
        return [0]

    async def instance_id(self):
        return 'i-1'


def _experts_of(state):
    """Return the experts by which a map of an engine can be told."""
    return [[state.map_version, state.epoch, state.born_ms]]


@given("a rank's engine that {changes} once its state was read")
def make_changing_engine(context, changes):
    make_sidecar(context)
    context.engine = _ChangingEngine(
        {
            'uses another map': {'map_version': 4, 'step': 51},
            'starts again': {'map_version': 0, 'epoch': 2, 'born_ms': 2000},
        }[changes]
    )


@when('a sidecar reports its rank until it has reported its experts')
def report_by_sidecar(context):
    context.reports = []

    async def call(report, _timeout_s):
        context.reports.append(report)
        return messages.RankReply(
            1, None, mapdeltas.NO_MAP, 0.0, False, False, False
        )

    made = context.sidecar
    made.engine, made.leader.call = context.engine, call
    made.app.metrics = types.SimpleNamespace(incr=lambda _: None)

    async def check():
        for _ in range(3):
            try:
                await made._check()
            except errors.MountridgeError:
                continue

    trio.run(check)


@when('a leader reports its rank until it has reported its experts')
def report_by_leader(context):
    leader, context.reports = _Leader(), []
    remote = remoteranks.RemoteRanks(
        leader, leader.groups, lambda _: context.engine
    )
    leader.groups.on_remote_report = context.reports.append
    # The sidecar has reported another map before.
    state = context.engine.before._replace(map_version=2)
    last = messages.RankReport(
        'i-1', state, [[9]], demand.NO_COUNTS, ranks.NO_VERSION
    )

    async def update():
        for _ in range(3):
            await remote._try_update(last)

    trio.run(update)


@then('each report has the experts of the map that it names')
def check_experts(context):
    named = [each for each in context.reports if each.experts]
    assert named, context.reports
    for report in named:
        assert report.experts == _experts_of(report.state), report


def _state(rank, size, **fields):
    state = ranks.RankState(
        'g', 1, rank, size, True, 50, 3, 3, ranks.NO_VERSION,
        ranks.NO_VERSION, ranks.NO_VERSION, 4, 0, 1000, 1.0,
    )  # fmt: skip
    return state._replace(**fields)


class _Leader:
    """Application and replica of a leader; records the orders it pushes."""

    def __init__(self):
        self.at_s = 10.0
        self.sent, self.tasks = [], []
        #: Whether a search was still to run when the last report was answered.
        self.replies_first = False
        self.node = types.SimpleNamespace(term=1)
        self.metrics = types.SimpleNamespace(
            incr=lambda _: None, gauge=lambda name, value: None
        )
        self.groups = groups.Groups(self, self, lambda _: None)

    def wall_s(self):
        return self.at_s

    def now_s(self):
        return self.at_s

    def check_leader(self):
        """Pass: this controller always leads."""

    def send(self, route, message):
        self.sent.append(message.order.kind)
        return True

    def report(self, rank, size, known_map=ranks.NO_VERSION, **fields):
        state = _state(rank, size, **fields)
        report = messages.RankReport(
            f'i-{rank}', state, [[1]], demand.NO_COUNTS, known_map
        )

        reply = self.groups.on_report(PEER, report)
        self.replies_first = bool(self.tasks)
        while self.tasks:
            task, args = self.tasks.pop()
            trio.run(task, *args)
        return reply

    def start_task(self, task, *args):
        self.tasks.append((task, args))


@given('a leader that {size:d} ranks have reported to')
def make_leader(context, size):
    context.leader, context.size = _Leader(), size
    for rank in range(size):
        context.leader.report(rank, size)
    context.replies = [context.leader.report(r, size) for r in range(size)]


@then('{count:d} ranks are asked for counts')
def check_counting(context, count):
    asked = [reply for reply in context.replies if reply.wants_counts]
    assert len(asked) == count, len(asked)


@then('reports arrive at most {most:d} times a second while no map changes')
def check_report_rate(context, most):
    per_s = sum(
        1 / (reply.report_interval_s or 0.12) for reply in context.replies
    )
    assert per_s <= most, per_s


@when('all ranks go through a change one after the other')
def go_through_change(context):
    leader, size = context.leader, context.size
    group = leader.groups.by_name['g']
    complete_states, context.checks = group.complete_states, 0

    def counted(now_s):
        context.checks += 1
        return complete_states(now_s)

    group.complete_states = counted
    states = [report.state for report, _ in group.reports.values()]
    change = mapchanges.Change('g', 1, 9, _first_map())
    group.maps[9] = change.placement
    group.progress = mapchanges.Progress(change, states)
    context.kinds = []
    fields = {'prepared': 9}
    for _ in range(MOST_ROUNDS):
        if group.progress is None:
            break
        step = group.change.step
        if step != ranks.NO_VERSION:
            fields.update(armed=9, armed_step=step)
        for rank in range(size):
            leader.at_s += 0.0005
            extra = {'held_step': step} if rank == 0 else {}
            is_released = context.kinds[-1:] == [ranks.GO]
            if is_released:
                extra = {'map_version': 9, 'armed': ranks.NO_VERSION}
            reply = leader.report(rank, size, **{**fields, **extra})
            sent = leader.sent + ([reply.order.kind] if reply.order else [])
            leader.sent = []
            for kind in sent:
                if context.kinds[-1:] != [kind]:
                    context.kinds.append(kind)


@then('the orders were sent in the sequence prepare, hold, arm, go')
def check_kinds(context):
    assert context.leader.groups.by_name['g'].progress is None
    kinds = list(dict.fromkeys(context.kinds))
    assert kinds == [
        ranks.PREPARE, ranks.HOLD, ranks.ARM, ranks.GO,
    ], context.kinds  # fmt: skip


@then('all ranks were checked together at most {most:d} times')
def check_checks(context, most):
    assert context.checks <= most, context.checks


@given('maps 9 and 11 of which 11 is to be prepared')
def make_two_maps(context):
    group = context.leader.groups.by_name['g']
    group.maps = {9: _first_map(), 11: _first_map()}
    states = [report.state for report, _ in group.reports.values()]
    change = mapchanges.Change('g', 1, 11, group.maps[11])
    group.progress = mapchanges.Progress(change, states)


@given('map 9 is of a former model with other {dimension}')
def make_former_map(context, dimension):
    maps = context.leader.groups.by_name['g'].maps
    if dimension == 'sets':
        maps[9] = 2 * maps[9]
    else:
        maps[9] = [2 * by_rank for by_rank in maps[9]]


@when('rank {rank:d} reports that it knows map {known:d}')
def report_known(context, rank, known):
    context.reply = context.leader.report(rank, context.size, known)


@then('the map that it receives is packed against {base:d}')
def check_base(context, base):
    assert context.reply.order.kind == ranks.PREPARE
    assert context.reply.packed.base == base, context.reply.packed.base
    assert context.reply.order.placed == []


def _make_plannable(context, search):
    """Give the group enough demand, and run ``search`` to find its plans."""
    group = context.leader.groups.by_name['g']
    group.demand.mean = [1.0 * mapplanning.MIN_SELECTIONS]
    planner = context.leader.groups.planner
    planner._engine_parameters = lambda _: mapplans.EngineParameters(
        PLACES, 2, EXPERTS
    )
    planner.offload = search
    return group


@when('demand shifts during the search for a plan')
def shift_in_search(context):
    async def search(*_args):
        # As `Group.record_report` does when demand shifts.
        context.group.outdated = True
        return mapplans.MapPlan(_first_map(), 'better')

    async def propose(_payload):
        return 12

    context.group = _make_plannable(context, search)
    context.leader.propose = propose
    context.leader.at_s += 1.0
    context.leader.report(0, context.size)


@then('the report is answered before the search ends')
def check_answered_first(context):
    assert context.leader.replies_first


@then('the planned change begins, and a newer one may replace it')
def check_outdated(context):
    assert context.group.change.version == 12
    assert context.group.outdated and context.group.accepts_new_change


@when('the routes name twice as many experts as are reported')
def routes_of_another_model(context):
    group = context.leader.groups.by_name['g']
    states = [report.state for report, _ in group.reports.values()]
    for state in states:
        report = messages.RankReport(
            f'i-{state.rank}',
            state,
            [by_rank[state.rank] for by_rank in _first_map()],
            demand.NO_COUNTS,
            ranks.NO_VERSION,
        )
        group.record_report(report, context.leader.at_s)
    group.demand.mean = [100.0] * (SETS * EXPERTS)
    context.searches = 0

    async def search(function, *args):
        context.searches += 1
        return function(*args)

    planner = context.leader.groups.planner
    planner.offload = search
    planner._engine_parameters = lambda _: mapplans.EngineParameters(
        PLACES, 2, 2 * EXPERTS
    )


@then('reports are answered for 1 s, and no change begins')
def check_goes_on(context):
    for number in range(200):
        context.leader.at_s += 0.005
        reply = context.leader.report(number % context.size, context.size)
        assert reply is not None
    assert context.searches > 0
    assert context.leader.groups.by_name['g'].change is None


@when('searches find no better map during 1 s of reports, 0.005 s apart')
def search_without_result(context):
    context.searches = 0

    async def search(*_args):
        context.searches += 1

    _make_plannable(context, search)
    for number in range(200):
        context.leader.at_s += 0.005
        context.leader.report(number % context.size, context.size)


@then('at most {most:d} searches were made')
def check_searches(context, most):
    assert 1 <= context.searches <= most, context.searches


@when(
    'rank {first:d} reports a new epoch, and rank {delayed:d} the old one'
    ' after it'
)
def report_delayed(context, first, delayed):
    context.leader.report(first, context.size, epoch=2)
    context.leader.report(delayed, context.size, epoch=1)


@then('{after_s:g} s later only rank {rank:d} is unresponsive')
def check_unresponsive(context, after_s, rank):
    now_s = context.leader.at_s + after_s
    found = context.leader.groups.unresponsive_ranks(0.4, now_s)
    assert [report.state.rank for report in found] == [rank], found


@given('leases of {count:d} gateways at a leader')
def make_leases(context, count):
    context.interval_s = controller.loads_interval_s(count)
    context.gateways = count


@then('at most {most:d} load messages are sent per second in all')
def check_loads_rate(context, most):
    assert context.gateways / context.interval_s <= most + 1e-6
    assert controller.loads_interval_s(1) == controller.MIN_LOADS_INTERVAL_S


@given('enough demand to plan, and a map that all ranks use')
def make_demand(context):
    context.planned_from, context.on_search = [], lambda: None

    async def search(_function, placement, *_args):
        context.planned_from.append(placement)
        context.on_search()
        return mapplans.MapPlan([[[1]] * context.size], 'better')

    async def propose(_payload):
        return 12

    context.group = _make_plannable(context, search)
    context.leader.propose = propose


#: What one rank reports, before or during a search.
OTHERS = {
    'reports the next map already': {'map_version': 7},
    'is armed for the next map': {'armed': 7, 'armed_step': 60},
    'reports another size': {'size': 5},
}


@when('one rank {reports}')
def report_other(context, reports):
    fields = {'size': context.size, **OTHERS[reports]}
    context.leader.at_s += 1.0
    context.leader.report(1, **fields)
    context.leader.report(0, context.size)


@then('no search begins')
def check_no_search(context):
    assert not context.planned_from, context.planned_from


@when('the reports of all ranks are of one map again')
def report_one_map(context):
    for rank in range(context.size):
        context.leader.report(rank, context.size, map_version=7)


@then('a search begins with that map')
def check_search(context):
    assert context.planned_from[:1] == [[[[1]] * 4]], context.planned_from


@when('a rank {reports} while the search runs')
def change_in_search(context, reports):
    fields = OTHERS[reports]

    def report():
        state = _state(1, context.size, **fields)
        report = messages.RankReport(
            'i-1', state, [[1]], demand.NO_COUNTS, ranks.NO_VERSION
        )
        context.group.record_report(report, context.leader.at_s)

    context.on_search = report
    context.leader.at_s += 1.0
    context.leader.report(0, context.size)


@then('no change begins')
def check_no_change(context):
    assert context.planned_from and context.group.change is None


@when('searches fail with an IndexError')
def fail_search(context):
    context.searches = 0

    async def search(*_args):
        context.searches += 1
        return [][0]

    planner = context.leader.groups.planner
    planner.offload = search
    context.log = io.StringIO()
    handler = logging.StreamHandler(context.log)
    handler.setFormatter(logs._LineFormatter('leader', as_json=True))
    logs.logger.logger.addHandler(handler)
    context.add_cleanup(logs.logger.logger.removeHandler, handler)


@then('the log names where the search has failed')
def check_log(context):
    lines = context.log.getvalue().splitlines()
    fields = json.loads(next(x for x in lines if 'search for a map' in x))
    assert 'IndexError' in fields['exception'], fields
    assert 'return [][0]' in fields['traceback'], fields
