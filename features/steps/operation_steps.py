# SPDX-License-Identifier: Apache-2.0

"""Steps on draining, priorities, shares and limits, on virtual time."""

from behave import then, when
import trio

from features.worlds import system
from mountridge import application, errors, messages

BUSY_SHEET = """team,service,concurrency,rate_per_s,queue_s,priority
crews,drafts,2000,10000,2,draft
small,drafts,2000,10000,2,draft
control-room,alarms,8,1000,0.5,alarm
"""


async def _send_requests(world, every_s, span_s, **options):
    """Send a request every ``every_s``, each through a usable gateway.

    A gateway is used for ``keep_s`` before another is chosen.
    """
    end_s = trio.current_time() + span_s
    count = options.pop('start', 0)
    keep_s = options.pop('keep_s', 0.0)
    kept, kept_until_s = '', 0.0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            if trio.current_time() >= kept_until_s:
                kept = _usable_gateway(world, count)
                kept_until_s = trio.current_time() + keep_s
            name = kept
            nursery.start_soon(
                world.request,
                name,
                options.get('team', 'crews'),
                options.get('service', 'drafts'),
                f'{options.get("team", "m")}{count}',
                '',
                60.0,
                None,
                options.get('whole', False),
            )
            count += 1
            await trio.sleep(every_s)
    return count


def _usable_gateway(world, count):
    """Return a gateway as the address directory would list it."""
    for name in world.gateways:
        part = world.daemons[name]
        live = world.processes.get(name)
        if live and part.lease.is_valid(trio.current_time()):
            listed = sorted(
                m.name
                for m in part.members()
                if m.kind == 'gateway' and m.state == 'live'
            )
            if listed:
                return listed[count % len(listed)]
    raise AssertionError('no usable gateway')


async def _reuse_addresses(world):
    await _send_requests(world, 0.1, 15, keep_s=1.9)


def _process_name(world, what):
    if what == 'an agent':
        return 'a1'
    return 'g1' if what == 'a gateway' else world.leader


@when(
    'callers send requests continuously and {what} begins a planned stop'
    ' at {at_s:d} s'
)
def stop_process(context, what, at_s):
    async def script(world):
        await world.begin()
        name = _process_name(world, what)
        for runner in world.runners.values():
            # Short answers, so that there are moments with no open request.
            runner.gap_s = 0.005
        # Two callers that each reuse an address for almost its time to live.
        for _ in range(2):
            world.nursery.start_soon(_reuse_addresses, world)
            await trio.sleep(0.95)
        await trio.sleep(at_s)
        stopped_s = trio.current_time()
        world.stop(name)
        await trio.sleep(25)
        context.has_exited = name not in world.processes
        context.late_starts = [
            at - stopped_s
            for at, _ in getattr(world.runners.get(name), 'starts', [])
            if at > stopped_s + 3
        ]
        return world.results

    context.results = system.play_for(context, script)


@then('every caller gets its own complete answer')
def check_all_complete(context):
    assert len(context.results) > 100
    bad = [
        (mark, str(r.problem), r.cut)
        for mark, r in context.results
        if r.data != system.complete_answer(mark)
    ]
    assert not bad, (len(bad), bad[:3])


@then(
    'the stopped process has exited, and started no work more than 3 s after'
    ' the stop'
)
def check_stopped(context):
    assert context.has_exited
    assert not context.late_starts, context.late_starts[:3]


@when('callers send requests continuously and every box is restarted in turn')
def restart_in_turn(context):
    async def script(world):
        await world.begin()
        world.nursery.start_soon(_send_requests, world, 0.1, 60)
        names = list(world.runners) + world.gateways + world.controllers
        for name in names:
            world.stop(name)
            while name in world.processes:
                await trio.sleep(0.05)
            await trio.sleep(1)
            world.start(name)
            await trio.sleep(4)
        await trio.sleep(70)
        return world.results

    context.results = system.play_for(context, script)


@when('an agent drains while no gateway can reach the controllers')
def drain_unreported(context):
    async def script(world):
        await world.begin()
        for number in range(20):
            name = world.gateways[number % 2]
            await world.request(name, 'crews', 'drafts', f'first {number}')
        for name in world.gateways:
            for each in world.controllers:
                world.cut_links |= {(name, each), (each, name)}
        before = len(world.runners['a1'].starts)
        world.stop('a1')
        async with trio.open_nursery() as nursery:
            for number in range(20):
                name = world.gateways[number % 2]
                nursery.start_soon(
                    world.request, name, 'crews', 'drafts', f'm{number}'
                )
        lost = [str(r.problem) for _, r in world.results if not r.data]
        assert not lost, lost
        context.new_starts = len(world.runners['a1'].starts) - before

    system.play_for(context, script)


@when('an agent renews but receives no answers while callers send requests')
def cut_answers(context):
    async def script(world):
        await world.begin()
        world.cut_links |= {(c, 'a1') for c in world.controllers}
        await trio.sleep(3.5)
        before = len(world.runners['a1'].starts)
        # A gateway that is not informed may still send it tickets.
        part = world.daemons['a1']
        ticket = messages.Ticket(
            'r', 't', part.app.incarnation, 'crews', 'drafts', '/', b'{}',
            1, 1.0, 5.0, 60.0, '', trio.current_time(), '', 1,
        )  # fmt: skip
        for _ in range(20):
            part.on_ticket(application.Peer(b'g9.i.1', 0, ''), ticket)
            await trio.sleep(0.1)
        await _send_requests(world, 0.05, 3)
        context.new_starts = len(world.runners['a1'].starts) - before
        whole = [r for _, r in world.results if r.data is not None]
        assert len(whole) > 40, len(whole)

    system.play_for(context, script)


@then('it starts no new work once its lease has expired')
@then('it starts no new work from then on')
def check_no_work(context):
    assert context.new_starts == 0, context.new_starts


def _limit_slots(world, slots=4):
    for name in world.runners:
        world.settings_overrides[name] = {'agent': {'slots': slots}}


@when(
    'drafting arrives at {times:d} times the capacity of the runners, with'
    ' {pings:d} pings a second'
)
def overload_drafting(context, times, pings):
    async def script(world):
        _limit_slots(world)
        await world.begin(BUSY_SHEET)
        # 2 runners with 3 slots for drafting, 0.1 s a request: 60 per second.
        every_s = 1 / (60 * times)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_requests, world, every_s, 12)

            async def ping():
                await trio.sleep(2)
                await _send_requests(
                    world, 1 / pings, 10, team='control-room',
                    service='alarms',
                )  # fmt: skip

            nursery.start_soon(ping)
        return world.results

    context.results = system.play_for(context, script)


@then('no ping waits longer than {limit_s:f} s and none is refused')
def check_pings(context, limit_s):
    found = [r for m, r in context.results if m.startswith('control')]
    assert len(found) >= 45, len(found)
    assert all(r.data is not None for r in found)
    # Processing takes 0.1 s.
    assert max(r.took_s for r in found) <= 0.1 + limit_s


@then('refusals come at once, each with a time to retry, and these are spread')
def check_refused(context):
    refused = [
        r
        for m, r in context.results
        if m.startswith('m') and r.problem is not None
    ]
    assert len(refused) > 500, len(refused)
    for result in refused:
        assert result.outcome == errors.NOT_RUN, result.problem
        # At once, or after the maximum queueing time of its row.
        assert result.took_s < 2.5, result.took_s
    quick = sum(r.took_s < 0.3 for r in refused) / len(refused)
    assert quick > 0.8, quick
    retry_times = {r.problem.retry_after_s for r in refused}
    assert None not in retry_times and len(retry_times) > 20


@when(
    'a large team sends {times:d} times as many requests as a small one of'
    ' equal weight'
)
def run_two_teams(context, times):
    async def script(world):
        _limit_slots(world)
        await world.begin(BUSY_SHEET)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_requests, world, 1 / (10 * times), 10)

            async def small():
                await _send_requests(world, 0.1, 10, team='small')

            nursery.start_soon(small)
        return world.results

    context.results = system.play_for(context, script)


@then('the small team gets at least {good:d} in {total:d} of its answers')
def check_small(context, good, total):
    found = [r for m, r in context.results if m.startswith('small')]
    whole = sum(r.data is not None for r in found)
    assert whole >= good / total * len(found), (whole, len(found))


@then('the large team still uses the remaining capacity')
def check_large(context):
    found = [r for m, r in context.results if m.startswith('m')]
    whole = sum(r.data is not None for r in found)
    # 60 per second for 10 s, less 100 of the small team and start and end.
    assert whole >= 400, whole


async def _sample_running(world, count_running, end_s, samples):
    while trio.current_time() < end_s:
        await trio.sleep(0.01)
        samples.append(sum(count_running(r) for r in world.runners.values()))


@when('pings arrive far above their limit during drafting')
def flood_pings(context):
    async def script(world):
        _limit_slots(world, slots=12)
        await world.begin(BUSY_SHEET)
        samples = []
        end_s = trio.current_time() + 10

        def pings(runner):
            agent = world.daemons[runner.name]
            return sum(1 for p, _ in agent.queue.running.values() if p == 0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(_sample_running, world, pings, end_s, samples)
            nursery.start_soon(_send_requests, world, 0.05, 10)

            async def ping():
                await _send_requests(
                    world, 0.004, 10, team='control-room', service='alarms'
                )

            nursery.start_soon(ping)
        context.samples = samples
        return world.results

    context.results = system.play_for(context, script)


@then('no more pings run concurrently than their row allows')
def check_ping_limit(context):
    assert max(context.samples) <= 8, max(context.samples)
    assert max(context.samples) >= 4, max(context.samples)


@then('drafting still gets its answers')
def check_drafting(context):
    found = [r for m, r in context.results if m.startswith('m')]
    whole = sum(r.data is not None for r in found)
    assert whole >= 0.95 * len(found), (whole, len(found))


LIMITED_SHEET = """team,service,concurrency,rate_per_s,queue_s,deadline_s
crews,drafts,12,10000,2,10
"""


@when(
    'a row limited to {limit:d} concurrent requests is overloaded and'
    ' {fault}'
)
def overload_row(context, limit, fault):
    async def script(world):
        await world.begin(LIMITED_SHEET)
        for runner in world.runners.values():
            runner.gap_s = 0.1
        samples = []
        end_s = trio.current_time() + 40
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _sample_running, world, lambda r: r.running, end_s, samples
            )
            nursery.start_soon(_send_to_gateways, world, fault, end_s)
            await trio.sleep(10)
            _inject_fault(world, fault)
        context.samples = samples

    system.play_for(context, script)


async def _send_to_gateways(world, fault, end_s):
    """Send 40 requests per second; 12 slots of 0.5 s serve 24 of them."""
    count = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            pick = count % 4
            if fault.startswith('demand moves'):
                pick = int(trio.current_time() / 5) % 4
            nursery.start_soon(
                world.request, world.gateways[pick], 'crews', 'drafts',
                f'm{count}',
            )  # fmt: skip
            count += 1
            await trio.sleep(0.025)


def _inject_fault(world, fault):
    if fault.startswith('a gateway is killed'):
        world.nursery.start_soon(world.restart, 'g2')
    elif fault.startswith('a gateway is cut'):
        for each in world.controllers:
            world.cut_links |= {('g2', each), (each, 'g2')}
    elif fault == 'the leader is killed':
        world.kill(world.leader)
    elif fault == 'the leader is cut off from all others':
        world.isolate(world.leader)


@then('no more than {limit:d} requests run concurrently')
def check_limit(context, limit):
    assert max(context.samples) <= limit, max(context.samples)


@then('at least {count:d} run concurrently for most of the time')
def check_utilization(context, count):
    later = context.samples[len(context.samples) // 2 :]
    used = sum(s >= count for s in later) / len(later)
    assert used > 0.5, used


async def _delay_leader(world, span_s):
    world.frozen_until_s[world.leader] = trio.current_time() + span_s


async def _cut_gateway(world):
    for each in world.controllers:
        world.cut_links |= {('g1', each), (each, 'g1')}


async def _elect_another(world):
    world.elect(without=world.leader)
    # Until the gateway has the new leader's first grant.
    await trio.sleep(1)


async def _lose_leader(world):
    world.kill(world.leader)


async def _use_limit(world):
    for runner in world.runners.values():
        runner.gap_s = 5.0
    world.nursery.start_soon(
        world.request, 'g2', 'control-room', 'alarms', 'other'
    )
    await trio.sleep(1)
    assert sum(r.running for r in world.runners.values()) == 1


LATE_RENEWALS = {
    "the leader's replies are 0.7 s late": lambda w: _delay_leader(w, 0.7),
    "the leader's replies are 2 s late": lambda w: _delay_leader(w, 2.0),
    'the gateway is cut off from the controllers': _cut_gateway,
    'another gateway uses the whole limit': _use_limit,
    'another controller has just been elected': _elect_another,
    'the leader is lost': _lose_leader,
}


@when('the first request of a row arrives while {fault}')
def send_first_request(context, fault):
    async def script(world):
        await world.begin(BUSY_SHEET.replace('alarms,8', 'alarms,1'))
        await LATE_RENEWALS[fault](world)
        return await world.request('g1', 'control-room', 'alarms', 'first')

    context.result = system.play_for(context, script)


@then('the first request is answered within {limit_s:g} s')
def check_answered_within(context, limit_s):
    result = context.result
    assert result.data == system.complete_answer('first'), result.problem
    assert result.took_s <= limit_s, result.took_s


@then('the first request is refused with {code:d} within {limit_s:g} s')
def check_refused_within(context, code, limit_s):
    result = context.result
    assert result.problem is not None and result.outcome == errors.NOT_RUN
    assert result.problem.code == code, result.problem
    assert result.took_s <= limit_s, result.took_s


@when('a runner stalls for {span_s:d} s while callers send requests')
def stall_runner(context, span_s):
    async def script(world):
        world.settings_overrides['g1'] = world.settings_overrides['g2'] = {
            'gateway': {'stall_s': 2.0}
        }
        await world.begin()
        runner = world.runners['a1']
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_requests, world, 0.1, 80)
            await trio.sleep(2)
            runner.stalled = True
            await trio.sleep(span_s)
            runner.stalled = False
            recovered_s = trio.current_time()
        context.later_starts = [
            at - recovered_s for at, _ in runner.starts if at > recovered_s
        ]
        return world.results

    context.results = system.play_for(context, script)


@then('at most 1 in {part:d} callers gets no answer')
def check_answers(context, part):
    lost = [r for _, r in context.results if r.data is None]
    assert len(lost) <= len(context.results) / part, (
        len(lost),
        len(context.results),
        [str(r.problem) for r in lost[:3]],
    )


@then('the runner is used again within {limit_s:d} s of its recovery')
def check_recovered(context, limit_s):
    assert context.later_starts and min(context.later_starts) < limit_s
    assert len(context.later_starts) > 50, len(context.later_starts)


@when('every runner breaks off every answer and {count:d} requests are sent')
def break_off_answers(context, count):
    async def script(world):
        await world.begin()
        for runner in world.runners.values():
            runner.pieces, runner.truncates = 5, True
            runner.gap_s = 0.0
        before = sum(len(r.starts) for r in world.runners.values())
        await _send_requests(world, 0.05, count * 0.05, whole=True)
        after = sum(len(r.starts) for r in world.runners.values())
        return len(world.results), after - before

    context.sent, context.received = system.play_for(context, script)


@then('the runners receive at most {times:f} times as many requests')
def check_budget(context, times):
    assert context.sent >= 200
    assert context.received <= times * context.sent, context.received
    assert context.received > context.sent, 'nothing was retried at all'


@when('a caller disconnects in the middle of a long answer')
def disconnect_caller(context):
    async def script(world):
        await world.begin()
        for runner in world.runners.values():
            runner.pieces, runner.gap_s = 1000, 0.1
        with trio.move_on_after(3):
            await world.request('g1', 'crews', 'drafts', 'long', vanish_s=2)
        await trio.sleep(1)
        return sum(r.running for r in world.runners.values())

    context.running = system.play_for(context, script)


@then('the runner stops that work within 1 s')
def check_cancelled(context):
    assert context.running == 0
