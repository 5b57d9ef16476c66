# SPDX-License-Identifier: Apache-2.0

"""Steps on stops, classes, shares and limits, on virtual time."""

from behave import then, when
import trio

from features.worlds import system
from mountridge import application, errors, messages

BUSY_SHEET = """team,service,concurrency,rate_per_s,queue_s,priority
crews,drafts,2000,10000,2,draft
small,drafts,2000,10000,2,draft
control-room,alarms,8,1000,0.5,alarm
"""


async def _callers(world, every_s, span_s, **own):
    """Ask at a steady pace, each time through a gateway that is there."""
    end_s = trio.current_time() + span_s
    count = own.pop('start', 0)
    keep_s = own.pop('keep_s', 0.0)
    kept, kept_until_s = '', 0.0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            if trio.current_time() >= kept_until_s:
                kept = _usable(world, count)
                kept_until_s = trio.current_time() + keep_s
            name = kept
            nursery.start_soon(
                world.request,
                name,
                own.get('team', 'crews'),
                own.get('service', 'drafts'),
                f'{own.get("team", "m")}{count}',
                '',
                60.0,
                None,
                own.get('whole', False),
            )
            count += 1
            await trio.sleep(every_s)
    return count


def _usable(world, count):
    """Return a gateway, as an answer to "which address" names it."""
    for name in world.gateways:
        part = world.parts[name]
        live = world.processes.get(name)
        if live and part.held.is_valid(trio.current_time()):
            listed = sorted(
                m.name
                for m in part.members()
                if m.kind == 'gateway' and m.state == 'live'
            )
            if listed:
                return listed[count % len(listed)]
    raise AssertionError('no gateway to ask')


async def _keepers(world):
    await _callers(world, 0.1, 15, keep_s=1.9)


def _name(world, what):
    if what == 'an agent':
        return 'a1'
    return 'g1' if what == 'a gateway' else world.leader


@when(
    'callers ask all the time and {what} is stopped as planned at'
    ' {at_s:d} s'
)
def stop_one(context, what, at_s):
    async def script(world):
        await world.begin()
        name = _name(world, what)
        for runner in world.runners.values():
            # Short answers, so that there are moments with none open.
            runner.gap_s = 0.005
        # Two callers, each of which keeps an address for its time to live.
        for _ in range(2):
            world.nursery.start_soon(_keepers, world)
            await trio.sleep(0.95)
        await trio.sleep(at_s)
        stopped_s = trio.current_time()
        world.stop(name)
        await trio.sleep(25)
        context.ended = name not in world.processes
        context.late = [
            at - stopped_s
            for at, _ in getattr(world.runners.get(name), 'starts', [])
            if at > stopped_s + 3
        ]
        return world.results

    context.results = system.play_for(context, script)


@then('every caller has its own whole answer')
def check_all_whole(context):
    assert len(context.results) > 100
    bad = [
        (mark, str(r.problem), r.cut)
        for mark, r in context.results
        if r.data != system.whole(mark)
    ]
    assert not bad, (len(bad), bad[:3])


@then('the stopped process has ended, and had no new work after 3 s')
def check_ended(context):
    assert context.ended
    assert not context.late, context.late[:3]


@when('callers ask all the time and every box is stopped and started in turn')
def roll(context):
    async def script(world):
        await world.begin()
        world.nursery.start_soon(_callers, world, 0.1, 60)
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


@when('an agent leaves while no gateway can hear the controllers')
def leave_unheard(context):
    async def script(world):
        await world.begin()
        for number in range(20):
            name = world.gateways[number % 2]
            await world.request(name, 'crews', 'drafts', f'first {number}')
        for name in world.gateways:
            for each in world.controllers:
                world.cut |= {(name, each), (each, name)}
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
        context.new = len(world.runners['a1'].starts) - before

    system.play_for(context, script)


@when('an agent renews but hears no answers while callers ask')
def deaf_agent(context):
    async def script(world):
        await world.begin()
        world.cut |= {(c, 'a1') for c in world.controllers}
        await trio.sleep(3.5)
        before = len(world.runners['a1'].starts)
        # Gateways that have not heard of it may still send it tickets.
        part = world.parts['a1']
        ticket = messages.Ticket(
            'r', 't', part.app.incarnation, 'crews', 'drafts', '/', b'{}',
            1, 1.0, 5.0, 60.0, '', trio.current_time(), '', 1,
        )  # fmt: skip
        for _ in range(20):
            part.on_ticket(application.Peer(b'g9.i.1', 0, ''), ticket)
            await trio.sleep(0.1)
        await _callers(world, 0.05, 3)
        context.new = len(world.runners['a1'].starts) - before
        whole = [r for _, r in world.results if r.data is not None]
        assert len(whole) > 40, len(whole)

    system.play_for(context, script)


@then('it takes no new work once its lease is out')
@then('it takes no new work from that moment')
def check_no_work(context):
    assert context.new == 0, context.new


def _small(world, slots=4):
    for name in world.runners:
        world.own[name] = {'agent': {'slots': slots}}


@when(
    'drafting comes at {times:d} times what the runners can do, with'
    ' {pings:d} pings a second'
)
def overload(context, times, pings):
    async def script(world):
        _small(world)
        await world.begin(BUSY_SHEET)
        # 2 runners x 3 slots for drafting, 0.1 s each: 60 a second.
        every_s = 1 / (60 * times)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_callers, world, every_s, 12)

            async def ping():
                await trio.sleep(2)
                await _callers(
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
    # The answer itself takes 0.1 s.
    assert max(r.took_s for r in found) <= 0.1 + limit_s


@then('what is refused is told at once when to come back, at spread times')
def check_refused(context):
    refused = [
        r
        for m, r in context.results
        if m.startswith('m') and r.problem is not None
    ]
    assert len(refused) > 500, len(refused)
    for result in refused:
        assert result.outcome == errors.NOT_RUN, result.problem
        # At once, or at the end of the time in queue that its row allows.
        assert result.took_s < 2.5, result.took_s
    quick = sum(r.took_s < 0.3 for r in refused) / len(refused)
    assert quick > 0.8, quick
    told = {r.problem.retry_after_s for r in refused}
    assert None not in told and len(told) > 20


@when(
    'a large team asks {times:d} times as much as a small one of equal'
    ' weight'
)
def large_small(context, times):
    async def script(world):
        _small(world)
        await world.begin(BUSY_SHEET)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_callers, world, 1 / (10 * times), 10)

            async def small():
                await _callers(world, 0.1, 10, team='small')

            nursery.start_soon(small)
        return world.results

    context.results = system.play_for(context, script)


@then('the small team has at least {good:d} in {total:d} of its answers')
def check_small(context, good, total):
    found = [r for m, r in context.results if m.startswith('small')]
    whole = sum(r.data is not None for r in found)
    assert whole >= good / total * len(found), (whole, len(found))


@then('the large team still uses what the small one leaves')
def check_large(context):
    found = [r for m, r in context.results if m.startswith('m')]
    whole = sum(r.data is not None for r in found)
    # 60 a second in 10 s, less 100 of the small team's, less the ends.
    assert whole >= 400, whole


async def _most_at_once(world, service_part, limit_s, samples):
    while trio.current_time() < limit_s:
        await trio.sleep(0.01)
        samples.append(sum(service_part(r) for r in world.runners.values()))


@when('pings come far above their limit while drafting goes on')
def many_pings(context):
    async def script(world):
        _small(world, slots=12)
        await world.begin(BUSY_SHEET)
        samples = []
        end_s = trio.current_time() + 10

        def pings(runner):
            agent = world.parts[runner.name]
            return sum(1 for p, _ in agent.queue.running.values() if p == 0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(_most_at_once, world, pings, end_s, samples)
            nursery.start_soon(_callers, world, 0.05, 10)

            async def ping():
                await _callers(
                    world, 0.004, 10, team='control-room', service='alarms'
                )

            nursery.start_soon(ping)
        context.samples = samples
        return world.results

    context.results = system.play_for(context, script)


@then('never more pings run at once than their row allows')
def check_ping_limit(context):
    assert max(context.samples) <= 8, max(context.samples)
    assert max(context.samples) >= 4, max(context.samples)


@then('drafting still gets its answers')
def check_drafting(context):
    found = [r for m, r in context.results if m.startswith('m')]
    whole = sum(r.data is not None for r in found)
    assert whole >= 0.95 * len(found), (whole, len(found))


LIMITED = """team,service,concurrency,rate_per_s,queue_s,deadline_s
crews,drafts,12,10000,2,10
"""


@when('a row of {limit:d} at once is asked far above it and {fault}')
def limited(context, limit, fault):
    async def script(world):
        await world.begin(LIMITED)
        for runner in world.runners.values():
            runner.gap_s = 0.1
        samples = []
        end_s = trio.current_time() + 40
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _most_at_once, world, lambda r: r.running, end_s, samples
            )
            nursery.start_soon(_ask_each, world, fault, end_s)
            await trio.sleep(10)
            _strike(world, fault)
        context.samples = samples

    system.play_for(context, script)


async def _ask_each(world, fault, end_s):
    """Ask at 40 a second, far above 12 at once of 0.5 s each."""
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


def _strike(world, fault):
    if fault.startswith('a gateway is killed'):
        world.nursery.start_soon(world.restart, 'g2')
    elif fault.startswith('a gateway is cut'):
        for each in world.controllers:
            world.cut |= {('g2', each), (each, 'g2')}
    elif fault == 'the leader is killed':
        world.kill(world.leader)
    elif fault == 'the leader is cut off in silence':
        world.cut_off(world.leader)


@then('never more than {limit:d} run at once')
def check_limit(context, limit):
    assert max(context.samples) <= limit, max(context.samples)


@then('at least {count:d} run at once for most of the time')
def check_used(context, count):
    later = context.samples[len(context.samples) // 2 :]
    used = sum(s >= count for s in later) / len(later)
    assert used > 0.5, used


@when('a runner stalls for {span_s:d} s while callers ask')
def stall(context, span_s):
    async def script(world):
        world.own['g1'] = world.own['g2'] = {'gateway': {'stall_s': 2.0}}
        await world.begin()
        runner = world.runners['a1']
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_callers, world, 0.1, 80)
            await trio.sleep(2)
            runner.stalled = True
            await trio.sleep(span_s)
            runner.stalled = False
            healed_s = trio.current_time()
        context.back = [
            at - healed_s for at, _ in runner.starts if at > healed_s
        ]
        return world.results

    context.results = system.play_for(context, script)


@then('at most 1 in {part:d} callers has no answer')
def check_answers(context, part):
    lost = [r for _, r in context.results if r.data is None]
    assert len(lost) <= len(context.results) / part, (
        len(lost),
        len(context.results),
        [str(r.problem) for r in lost[:3]],
    )


@then('the runner has work again within {limit_s:d} s of its recovery')
def check_back(context, limit_s):
    assert context.back and min(context.back) < limit_s
    assert len(context.back) > 50, len(context.back)


@when('every runner cuts every answer and {count:d} callers ask')
def cut_all(context, count):
    async def script(world):
        await world.begin()
        for runner in world.runners.values():
            runner.pieces, runner.cuts = 5, True
            runner.gap_s = 0.0
        before = sum(len(r.starts) for r in world.runners.values())
        await _callers(world, 0.05, count * 0.05, whole=True)
        after = sum(len(r.starts) for r in world.runners.values())
        return len(world.results), after - before

    context.asked, context.seen = system.play_for(context, script)


@then('the runners see at most {times:f} times as many requests')
def check_budget(context, times):
    assert context.asked >= 200
    assert context.seen <= times * context.asked, context.seen
    assert context.seen > context.asked, 'nothing was retried at all'


@when('a caller vanishes in the middle of a long answer')
def vanish(context):
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
def check_freed(context):
    assert context.running == 0
