# SPDX-License-Identifier: Apache-2.0

"""Steps for single decision functions and for external input."""

from behave import given, then
from hypothesis import given as for_all
from hypothesis import Phase, settings, strategies

from mountridge.dispatch import attempts, queues, runners, tickets
from mountridge.documents import sheets, tables
from mountridge import errors, messages, settings as settings_module
from mountridge.state import claims, leases, limits, views

BASE = {
    'role': 'gateway',
    'name': 'g1',
    'bind': 'tcp://127.0.0.1:1',
    'controllers': {'c1': 'tcp://127.0.0.1:2'},
    'keys': {'off': True},
}


def code_of(call, *args):
    """Return the code of the error that a call raises, or 0."""
    try:
        call(*args)
    except errors.MountridgeError as problem:
        return problem.code
    return 0


def _ticket(attempt_id='t1', incarnation='i1', agent_s=100.0):
    return messages.Ticket(
        'r', attempt_id, incarnation, 'team', 'service', '/', b'', 1, 1.0,
        5.0, 60.0, '', agent_s, '', 1,
    )  # fmt: skip


@given("an agent's ticket log with an accepted ticket")
def some_tickets(context):
    context.log = tickets.TicketLog('i1')
    context.log.accept(_ticket(), 100.0)


@then('a ticket {case} is refused with code {code:d}')
def ticket_refused(context, case, code):
    ticket, now_s = _ticket('t2'), 100.0
    if case.startswith('for another'):
        ticket = _ticket('t2', 'i0')
    elif case.startswith('that was accepted'):
        ticket = _ticket()
        if 'ended' in case:
            context.log.begin('t1')
            context.log.end('t1', errors.RAN, 101.0)
            now_s = 125.0
    elif case.startswith('that was in transit'):
        now_s = 140.0
    else:
        context.log.bar('t2', 100.0)
    assert code_of(context.log.accept, ticket, now_s) == code


@then(
    'a revocation returns "{before}" before, "{during}" during and "{after}"'
    ' after'
)
def revocation(context, before, during, after):
    log = context.log
    log.accept(_ticket('t2'), 100.0)
    assert log.bar('t2', 101.0) == before
    log.begin('t1')
    assert log.bar('t1', 101.0) == during
    log.end('t1', errors.RAN, 102.0)
    assert log.bar('t1', 103.0) == after


NOW_S = 1_000_000.0


def _claim(attempt_id='a1', digest='d', key=f'{NOW_S:.0f}-k'):
    return messages.Claim(key, digest, 'r', attempt_id, 'agent', 'i1')


@given('claims of which one is granted')
def some_claims(context):
    context.claims = claims.Claims()
    context.claims.clock_s = NOW_S
    assert context.claims.open(_claim(), NOW_S).granted


def _end(context, outcome):
    context.claims.close(
        messages.Outcome(_claim().key, 'a1', outcome, 200, b'x')
    )


def _open(context, case):
    """Open the claim of a case and return the reply."""
    table = context.claims
    if 'same attempt after' in case:
        _end(context, errors.RAN)
        return table.open(_claim(), NOW_S)
    if 'same attempt' in case:
        return table.open(_claim(), NOW_S)
    if 'another attempt' in case:
        return table.open(_claim('a2'), NOW_S)
    if 'another request' in case:
        return table.open(_claim('a2', 'other'), NOW_S)
    if 'not to run' in case:
        _end(context, errors.NOT_RUN)
        return table.open(_claim('a2'), NOW_S)
    if 'tomorrow' in case:
        return table.open(_claim('a2', key='x'), NOW_S + 86400)
    if 'without a time' in case:
        return claims.key_time('no-time')
    table.clock_s = NOW_S + 700
    table.expire(600)
    if 'stepped back' in case:
        table.clock_s = NOW_S + 10
        table.expire(600)
    if 'longer retention' in case:
        table.expire(6000)
    assert not table.records
    return table.open(_claim('a2'), NOW_S)


@then('a claim {case} is {answer}')
def claim_case(context, case, answer):
    if answer.startswith('refused'):
        assert code_of(_open, context, case) == int(answer.split()[-1])
    else:
        assert _open(context, case).granted == (answer == 'granted')


@then('the first outcome is kept, but ran replaces unknown')
def first_outcome(context):
    table = context.claims
    key = _claim().key
    table.mark_unknown('agent', 'i2')
    assert table.records[key].outcome == errors.UNKNOWN
    _end(context, errors.RAN)
    assert table.records[key].outcome == errors.RAN
    _end(context, errors.NOT_RUN)
    table.mark_unknown('agent', 'i3')
    assert table.records[key].outcome == errors.RAN


def _grant(term, index, changes=()):
    fence = messages.Fence(term, index)
    return messages.Grant(3.0, fence, index, False, list(changes), [])


@given('a holder with a grant of term {term:d} at index {index:d}')
def holder(context, term, index):
    context.held = leases.HeldLease()
    assert context.held.apply_grant(_grant(term, index), 100.0)
    assert context.held.until_s == 103.0
    context.case = context.scenario.name.partition(' with ')[2]


@then('it does not accept it')
def not_accepted(context):
    term, index = (2, 11) if 'term' in context.case else (3, 9)
    term = 4 if 'later leader' in context.case else term
    assert not context.held.apply_grant(_grant(term, index), 101.0)
    assert context.held.until_s == 103.0
    assert context.held.view.index == 10


@then('it does not accept the push')
def push_not_accepted(context):
    fence = messages.Fence(3, 12)
    since = 10
    if 'gap' in context.case:
        since = 11
    else:
        fence = messages.Fence(2, 12)
    pushed = messages.Changes(fence, since, 12, [])
    assert not context.held.apply_changes(pushed)
    assert context.held.view.index == 10


@then('it starts the lease at the request')
def starts_at_request(context):
    assert context.held.apply_grant(_grant(3, 11), 101.0)
    assert context.held.is_valid(103.9) and not context.held.is_valid(104.0)


@given('a queue of {slots:d} slots, {reserved:d} reserved for pings')
def queue(context, slots, reserved):
    context.queue = queues.Queue(slots, reserved, mean_s=1.0)


def _push(queue, name, team='t', priority=2, weight=1.0, expires_s=1e6):
    item = queues.QueuedRequest(name, team, priority, weight, expires_s)
    queue.push(item, 0.0)


def _pop_all(queue):
    found = []
    while item := queue.pop(0.0):
        found.append(item)
    return found


@then('3 drafts start and a slot stays free')
def reserved_slot(context):
    for number in range(6):
        _push(context.queue, f'd{number}')
    assert len(_pop_all(context.queue)) == 3
    _push(context.queue, 'ping', priority=0)
    assert [i.attempt_id for i in _pop_all(context.queue)] == ['ping']


@then('a ping starts before earlier drafts')
def ping_first(context):
    for number in range(6):
        _push(context.queue, f'd{number}')
    _push(context.queue, 'ping', priority=0)
    assert _pop_all(context.queue)[0].attempt_id == 'ping'


@then('of two teams the one of weight 3 starts 3 of 4')
def weighted(context):
    queue = context.queue
    for number in range(100):
        _push(queue, f'a{number}', 'a', weight=3.0)
        _push(queue, f'b{number}', 'b', weight=1.0)
    started = []
    for _ in range(80):
        item = queue.pop(0.0)
        started.append(item.team)
        queue.release_slot(item.attempt_id, 1.0)
    assert 58 <= started.count('a') <= 62, started.count('a')


@then('a request that would wait too long is refused')
def too_long(context):
    for number in range(9):
        _push(context.queue, f'd{number}')
    _pop_all(context.queue)
    try:
        _push(context.queue, 'late', expires_s=1.0)
    except errors.Busy as problem:
        # Six requests wait ahead of it and run three at a time, 1 s each.
        assert 0.5 < problem.retry_after_s < 3, problem.retry_after_s
    else:
        raise AssertionError('it was accepted')
    _push(context.queue, 'early', expires_s=10.0)


@then('a removed request never starts')
def removed(context):
    _push(context.queue, 'removed')
    assert context.queue.remove('removed')
    assert not context.queue.remove('removed')
    assert _pop_all(context.queue) == []


def random_run(count, *given_strategies):
    """Return a decorator that runs a check on derandomized examples."""
    wrap = settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[Phase.explicit, Phase.generate],
    )
    return lambda check: wrap(for_all(*given_strategies)(check))()


ROW = tables.check_rows(
    [{'team': 't', 'service': 's', 'concurrency': '10', 'deadline_s': '5'}]
)[0]
KEY = tables.row_key(ROW)


class Share:
    """One gateway's limiter, lease and running requests."""

    def __init__(self):
        self.limiter = limits.Limiter()
        self.shares = {}
        self.lease_s = -1.0
        self.ends = []


def _play_shares(history):
    """Apply (action, gateway, wait_s) steps; return the peak of requests."""
    now_s, peak, quiet_until_s = 0.0, 0, 0.0
    gateways = {name: Share() for name in range(4)}
    leader = limits.Apportioner(0.0)
    lease_ends = {}
    for action, name, wait_s in history:
        now_s += wait_s
        gateway = gateways[name]
        for each in gateways.values():
            for _ in [e for e in each.ends if e <= now_s]:
                each.limiter.release(KEY)
            each.ends = [e for e in each.ends if e > now_s]
        for other, until_s in list(lease_ends.items()):
            if until_s <= now_s:
                leader.remove_gateway(other, {KEY: ROW}, now_s)
                del lease_ends[other]
        if action in ('renew', 'renew, lost'):
            granted = leader.grant(
                name,
                gateway.limiter.demand(now_s),
                gateway.limiter.held(gateway.shares),
                {KEY: ROW},
                now_s,
            )
            lease_ends[name] = now_s + 3
            if action == 'renew':
                gateway.shares = {s.row: s for s in granted}
                gateway.lease_s = now_s + 3
        elif action == 'restart':
            gateway.limiter, gateway.shares = limits.Limiter(), {}
            gateway.lease_s, gateway.ends = -1.0, []
        elif action == 'fail over':
            quiet_until_s = now_s + 3
            leader = limits.Apportioner(quiet_until_s)
            lease_ends = {}
        else:
            for _ in range(4):
                share = gateway.shares.get(KEY)
                if now_s < gateway.lease_s:
                    if not code_of(gateway.limiter.admit, KEY, share, now_s):
                        gateway.ends.append(now_s + 4.9)
        peak = max(peak, sum(len(g.ends) for g in gateways.values()))
    return peak


@then('in {count:d} random histories no row is used above its limit')
def check_shares(context, count):
    seen = []

    @random_run(
        count,
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ['ask'] * 4
                    + ['renew'] * 4
                    + ['renew, lost', 'restart', 'fail over']
                ),
                strategies.integers(0, 3),
                strategies.sampled_from([0.0, 0.1, 0.8, 3.5]),
            ),
            min_size=40,
            max_size=120,
        ),
    )
    def check(history):
        most = _play_shares(history)
        assert most <= 10, most
        seen.append(most)

    assert max(seen) >= 7, max(seen)


@then(
    'the share of a lapsed gateway is free only after the deadline of its row'
)
def lapsed_share(context):
    leader = limits.Apportioner(0.0)
    rows = {KEY: ROW}
    demand = [messages.Share(KEY, 10, 10.0)]
    granted = leader.grant('g1', demand, [], rows, 1.0)
    assert granted[0].concurrency == 10
    leader.remove_gateway('g1', rows, 4.0)
    assert leader.grant('g2', demand, [], rows, 4.0 + 4.9) == [
        messages.Share(KEY, 0, 100.0)
    ]
    assert leader.grant('g2', demand, [], rows, 4.0 + 5.1)[0].concurrency == 10


@then('an attempt accepts frames only in order, each once')
def frames_in_place(context):
    attempt = attempts.Attempt('t1', 'a1')

    def frame(position, data, end=False):
        return messages.Frame('t1', position, data, end, 200, 0, '', 0.0)

    assert attempt.receive(frame(0, b'abc'))
    assert not attempt.receive(frame(0, b'abc'))
    assert not attempt.receive(frame(5, b'x'))
    assert attempt.receive(frame(3, b'de'))
    assert attempt.receive(frame(5, b'', True))
    assert not attempt.receive(frame(5, b'x'))
    assert attempt.position == 5 and attempt.ended


def _member(name):
    return views.Member(
        name, 'agent', 'i', 'h', 'tcp://x', '', ['s'], '', 4, 'live'
    )


@given('{count:d} runners known to a gateway')
def known_runners(context, count):
    context.known = runners.Runners()
    listed = [_member(f'a{n}') for n in range(count)]
    context.known.update(listed, 0.0)


def _ejected(known, now_s):
    return {c.name for c in known.candidates('s', {'*'}, now_s) if c.ejected}


@then('3 failures eject one for 2 s, then 4 s, and data ends the ejection')
def ejected(context):
    known = context.known
    for _ in range(2):
        known.record_failure('a0', 100.0)
    assert _ejected(known, 100.0) == set()
    known.record_failure('a0', 100.0)
    assert _ejected(known, 101.9) == {'a0'}
    assert _ejected(known, 102.1) == set(), 'it is not probed'
    known.record_failure('a0', 103.0)
    assert _ejected(known, 106.9) == {'a0'} and _ejected(known, 107.1) == set()
    known.record_first_data('a0', 0.1)
    known.record_failure('a0', 108.0)
    assert _ejected(known, 108.1) == set()


@then('of {count:d} failing runners at most {most:d} are ejected')
def capped(context, count, most):
    for number in range(count):
        for _ in range(3):
            context.known.record_failure(f'a{number}', 200.0)
    assert len(_ejected(context.known, 200.1)) == most


def _with(**changes):
    return settings_module.merge(BASE, changes)


WRONG = {
    'an unknown key': _with(gateway={'prot': 1}),
    'a negative number': _with(lease={'lease_s': -1.0}),
    'an address without port': _with(bind='tcp://127.0.0.1'),
    'an unknown role': _with(role='proxy'),
    'keys neither off nor on': _with(keys={'off': False}),
    'a slow renewal': _with(lease={'renew_s': 2.0}),
    'a key of 65 bytes': _with(digest_key='k' * 65),
    'a hop worth nothing': _with(routing={'hall_cost': 0}),
}


def _lines(call, *args):
    try:
        call(*args)
    except errors.MountridgeError as problem:
        return str(problem).split('\n')
    raise AssertionError('nothing was refused')


@then('settings with {error} name "{path}"')
def settings_path(context, error, path):
    assert code_of(settings_module.check, WRONG[error]) == 1501
    lines = _lines(settings_module.check, WRONG[error])
    assert any(line.startswith(path) for line in lines), lines


@then('settings with three errors give three lines')
def three_errors(context):
    wrong = _with(bind='x', role='y', lease={'lease_s': 'z'})
    assert len(_lines(settings_module.check, wrong)) == 3


@then('a sheet with four errors gives four lines with row and column')
def four_cells(context):
    sheet = 'team,service,weight\na,b,-1\n,b,1\na b,c,x\n'
    lines = _lines(sheets.read_sheet, sheet)
    assert len(lines) == 4, lines
    assert lines[0].startswith('row 2, column weight'), lines
    assert lines[1].startswith('row 3, column team'), lines


JUNK = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=4)
    | strategies.dictionaries(
        strategies.sampled_from(list(settings_module.DEFAULTS) + ['x']),
        inner,
        max_size=4,
    ),
    max_leaves=10,
)
GOOD_SHEET = 'team,service,weight,queue_s,repeatable\na,b,1,5,yes\n'


@then('{count:d} random inputs of {kind} give one or the other')
def random_inputs(context, count, kind):
    good = messages.encode(messages.ReadDecisions('r', 1), 7)

    def mixed(text):
        return strategies.tuples(
            strategies.integers(0, len(text)),
            strategies.text(max_size=4),
        ).map(lambda t: text[: t[0]] + t[1] + text[t[0] + 1 :])

    calls = {
        'messages': (
            messages.decode,
            strategies.binary(max_size=40)
            | strategies.tuples(
                strategies.integers(0, len(good) - 1),
                strategies.integers(0, 255),
            ).map(lambda t: good[: t[0]] + bytes([t[1]]) + good[t[0] + 1 :]),
        ),
        'sheets': (
            sheets.read_sheet,
            strategies.text(max_size=60) | mixed(GOOD_SHEET),
        ),
        'settings': (settings_module.check, JUNK),
        'keys': (
            claims.key_time,
            strategies.text(max_size=20) | mixed('1700000000-a'),
        ),
    }
    call, source = calls[kind]
    codes = set()

    @random_run(count, source)
    def check(value):
        codes.add(code_of(call, value))

    assert len(codes) >= 1 and codes != {0}, codes
