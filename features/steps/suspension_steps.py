# SPDX-License-Identifier: Apache-2.0

"""Steps on suspended boxes, simulated by two clocks that diverge."""

import pathlib
import re

from behave import given, then, when
import trio

from features.worlds import rests, system
from mountridge import application, clocks, messages
from mountridge.logs import logger
from mountridge.state import leases

#: Reads of a system clock other than through the module `clocks`.
READS = re.compile(
    r'\btime\.(monotonic|perf_counter|clock_gettime)\b|\bcurrent_time\('
)
#: The module of the clocks, and the rate limit of log lines.
MAY_READ = {'clocks.py', 'logs.py'}


@then('only the clocks and the log read a system clock')
def check_sources(context):
    found = [
        f'{path}: {line}'
        for folder in ('mountridge', 'platform')
        for path in sorted(pathlib.Path(folder).rglob('*.py'))
        if path.name not in MAY_READ
        for line in path.read_text().splitlines()
        if READS.search(line)
    ]
    assert not found, found


class Sources:
    """Real time, and a monotonic clock that stops during suspensions."""

    def __init__(self):
        self.real_s, self.monotonic_s = 1000.0, 400.0
        self.delay_s = 0.0  # how much later the monotonic clock is read

    def sleep(self, span_s):
        self.real_s += span_s
        self.monotonic_s += span_s

    def suspend(self, span_s):
        self.real_s += span_s

    def clock(self, on_suspension):
        return clocks.Clock(
            on_suspension,
            lambda: self.real_s,
            lambda: self.monotonic_s + self.delay_s,
        )


@given('a clock whose monotonic source stops during suspensions')
def two_clocks(context):
    context.sources, context.gaps = Sources(), []
    context.clock = context.sources.clock(context.gaps.append)


@when('it is read {steps:d} times during suspensions of {gap_s:g} s in total')
def suspend_clock(context, steps, gap_s):
    context.begun_s = context.clock.now_s()
    for _ in range(steps):
        context.sources.suspend(gap_s / steps)
        context.clock.now_s()


@then('it has advanced by {gap_s:g} s, and {number} gap is reported')
def check_gap(context, gap_s, number):
    assert abs(context.clock.now_s() - context.begun_s - gap_s) < 1e-9
    assert len(context.gaps) == (number == 'a'), context.gaps
    for gap in context.gaps:
        assert clocks.MIN_SUSPENSION_S < gap <= gap_s + 1e-9, context.gaps


@when('its monotonic source is read 3 s late')
def read_late(context):
    context.sources.delay_s = 3.0
    context.clock.now_s()
    context.sources.delay_s = 0.0
    context.sources.sleep(10.0)
    context.clock.now_s()


@then('no gap is reported, then or later')
def check_no_gap(context):
    assert not context.gaps, context.gaps


def _record_warnings(context):
    """Record the warnings that are logged from now on."""
    context.lines = []

    def record(text, **fields):
        context.lines.append((text, fields))

    context.add_cleanup(setattr, logger, 'warning', logger.warning)
    logger.warning = record


@given('a process with such a clock')
def process(context):
    _record_warnings(context)
    world = system.World(None, 1)
    context.app = application.Application(world.settings('gateway', 'g1'))
    context.sources, context.reported = Sources(), []
    context.app.clock = context.sources.clock(context.app.report_suspension)
    context.app.on_suspension.append(context.reported.append)


@when('it gets a lease of 3 s and is suspended for 4 s')
def get_lease(context):
    context.held = leases.HeldLease()
    sent_s = context.app.now_s()
    grant = messages.Grant(3.0, messages.Fence(1, 1), 1, False, [], [], {})
    assert context.held.apply_grant(grant, sent_s)
    assert context.held.is_valid(context.app.now_s())
    context.sources.suspend(4.0)


@then('its lease has expired')
def check_expired(context):
    assert not context.held.is_valid(context.app.now_s())


@then('the gap is logged, counted and reported to its subscribers')
def check_reported(context):
    assert context.reported == [4.0], context.reported
    assert context.app.metrics.counts['clock.gaps'] == 1
    assert ('suspended', {'gap_ms': 4000}) in context.lines, context.lines


@given(
    '{gateways:d} gateways and {ranks:d} ranks of one group, with such a clock'
)
def suspended_group(context, gateways, ranks):
    context.world = rests.World(gateways, ranks)


@when(
    '{count:d} requests of {span_s:g} s wait for a connection, and a'
    ' suspension of {gap_s:g} s is detected {when}'
)
def suspend_requests(context, count, span_s, gap_s, when):
    world = context.world
    (runner,) = world.runners.values()

    async def script():
        runner.connect_s = 0.2
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(world.ask, 'g0', round(span_s * 1000))
            await trio.sleep(0.1)
            world.suspend(gap_s, is_noticed=when == 'at once')
            context.woke_s = trio.current_time()
        context.took_s = trio.current_time() - context.woke_s

    world.play(script)


@then(
    'their status is 504 within {within_s:g} s, and no runner has received'
    ' them'
)
def check_ended(context, within_s):
    statuses = [each.status for each in context.world.answers]
    assert statuses == [504] * 3, statuses
    assert context.took_s <= within_s, context.took_s
    assert not any(each.arrivals for each in context.world.runners.values())


@when(
    'a rank requests a backoff of {backoff_s:g} s, and a suspension takes'
    ' {gap_s:g} s'
)
def suspend_backoff(context, backoff_s, gap_s):
    world = context.world
    (runner,) = world.runners.values()

    async def script():
        headers = ((b'X-Not-Run', b'1'), (b'Retry-After', b'%g' % backoff_s))
        runner.answer = rests.Answer(503, headers)
        await world.ask('g0')
        world.suspend(gap_s)
        runner.answer = rests.Answer()
        await trio.sleep(2 * rests.REPORT_S)
        await world.ask('g0')

    world.play(script)


@then('the next request reaches it')
def check_reached(context):
    (runner,) = context.world.runners.values()
    assert len(runner.arrivals) == 2, runner.arrivals
