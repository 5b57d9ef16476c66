# SPDX-License-Identifier: Apache-2.0

"""Steps on suspended machines: two clocks, moved apart from each other."""

import pathlib
import re

from behave import given, then, when
import trio

from features.worlds import rests, system
from mountridge import application, clocks, messages
from mountridge.logs import logger
from mountridge.state import leases

#: What reads a clock of the system past the one that all decide by.
READS = re.compile(
    r'\btime\.(monotonic|perf_counter|clock_gettime)\b|\bcurrent_time\('
)
#: The clocks themselves, and how many log lines a second are written.
MAY_READ = {'clocks.py', 'logs.py'}


@then('only the clocks and the log read a clock of the system')
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


class Readings:
    """Real time, and a steady clock that stands still while suspended."""

    def __init__(self):
        self.real_s, self.steady_s = 1000.0, 400.0
        self.late_s = 0.0  # the steady reading is taken so much later

    def sleep(self, span_s):
        self.real_s += span_s
        self.steady_s += span_s

    def suspend(self, span_s):
        self.real_s += span_s

    def clock(self, on_suspension):
        return clocks.Clock(
            on_suspension,
            lambda: self.real_s,
            lambda: self.steady_s + self.late_s,
        )


@given('a clock whose steady reading stands still while real time goes on')
def two_clocks(context):
    context.readings, context.gaps = Readings(), []
    context.clock = context.readings.clock(context.gaps.append)


@when(
    'it is looked at {steps:d} times over a suspension of {gap_s:g} s in all'
)
def suspend_clock(context, steps, gap_s):
    context.begun_s = context.clock.now_s()
    for _ in range(steps):
        context.readings.suspend(gap_s / steps)
        context.clock.now_s()


@then('it has gone on by {gap_s:g} s, and {told} gap is told')
def check_gap(context, gap_s, told):
    assert abs(context.clock.now_s() - context.begun_s - gap_s) < 1e-9
    assert len(context.gaps) == (told == 'a'), context.gaps
    for gap in context.gaps:
        assert clocks.MIN_SUSPENSION_S < gap <= gap_s + 1e-9, context.gaps


@when('its steady reading is taken 3 s late')
def read_late(context):
    context.readings.late_s = 3.0
    context.clock.now_s()
    context.readings.late_s = 0.0
    context.readings.sleep(10.0)
    context.clock.now_s()


@then('no gap is told, then or later')
def check_no_gap(context):
    assert not context.gaps, context.gaps


def _lines(context):
    """Return the log lines that are written from now on."""
    context.lines = []

    def note(text, **fields):
        context.lines.append((text, fields))

    context.add_cleanup(setattr, logger, 'warning', logger.warning)
    logger.warning = note


@given('a process on such a clock')
def process(context):
    _lines(context)
    world = system.World(None, 1)
    context.app = application.Application(world.settings('gateway', 'g1'))
    context.readings, context.told = Readings(), []
    context.app.clock = context.readings.clock(context.app.report_suspension)
    context.app.on_suspension.append(context.told.append)


@when('it takes a lease of 3 s and is suspended for 4 s')
def take_lease(context):
    context.held = leases.HeldLease()
    sent_s = context.app.now_s()
    grant = messages.Grant(3.0, messages.Fence(1, 1), 1, False, [], [], {})
    assert context.held.apply_grant(grant, sent_s)
    assert context.held.is_valid(context.app.now_s())
    context.readings.suspend(4.0)


@then('its lease is over')
def check_over(context):
    assert not context.held.is_valid(context.app.now_s())


@then('the gap is logged, counted and told to what asked for it')
def check_told(context):
    assert context.told == [4.0], context.told
    assert context.app.metrics.counts['clock.gaps'] == 1
    assert ('suspended', {'gap_ms': 4000}) in context.lines, context.lines


@given(
    '{gateways:d} gateways and {ranks:d} ranks of one group, on such a clock'
)
def suspended_group(context, gateways, ranks):
    context.world = rests.World(gateways, ranks)


@when(
    '{count:d} requests of {span_s:g} s wait for a connection, and {slept_s:g}'
    ' s are slept and noticed {when}'
)
def sleep_through(context, count, span_s, slept_s, when):
    world = context.world
    (runner,) = world.runners.values()

    async def script():
        runner.connect_s = 0.2
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(world.ask, 'g0', round(span_s * 1000))
            await trio.sleep(0.1)
            world.suspend(slept_s, is_noticed=when == 'at once')
            context.woke_s = trio.current_time()
        context.took_s = trio.current_time() - context.woke_s

    world.play(script)


@then(
    'they are answered 504 within {within_s:g} s, and no runner has seen them'
)
def check_ended(context, within_s):
    statuses = [each.status for each in context.world.answers]
    assert statuses == [504] * 3, statuses
    assert context.took_s <= within_s, context.took_s
    assert not any(each.arrivals for each in context.world.runners.values())


@when(
    'a rank asks for {rest_s:g} s of rest, and {slept_s:g} s are slept through'
)
def rest_and_sleep(context, rest_s, slept_s):
    world = context.world
    (runner,) = world.runners.values()

    async def script():
        told = ((b'X-Not-Run', b'1'), (b'Retry-After', b'%g' % rest_s))
        runner.answer = rests.Answer(503, told)
        await world.ask('g0')
        world.suspend(slept_s)
        runner.answer = rests.Answer()
        await trio.sleep(2 * rests.REPORT_S)
        await world.ask('g0')

    world.play(script)


@then('the next request reaches it')
def check_reached(context):
    (runner,) = context.world.runners.values()
    assert len(runner.arrivals) == 2, runner.arrivals
