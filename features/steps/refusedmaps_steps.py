# SPDX-License-Identifier: Apache-2.0

"""Steps for expert maps that engines refuse."""

from behave import given, then, when
import trio

from features.steps import manyranks_steps as base
from features.worlds import ranks as ranks_world
from mountridge import errors, messages
from mountridge.experts import mapchanges, mapdeltas, mapplans, ranks

#: Time between two orders, or two rounds of reports.
STEP_S = 0.02


class _Engine:
    """Refuses orders, or does not answer them."""

    def __init__(self, problem):
        self.orders = []
        self._problem = problem

    async def execute(self, order):
        self.orders.append(order)
        raise self._problem


def _make_sidecar(context, problem):
    base.make_sidecar(context)
    context.at_s = 100.0
    context.sidecar.app.now_s = lambda: context.at_s
    context.sidecar.engine = context.engine = _Engine(problem)
    context.at_once = 0


@given('a sidecar whose engine refuses to prepare any map')
def make_refusing(context):
    _make_sidecar(context, errors.RefusedChange('engine returned status 409'))


@given('a sidecar whose engine answers no order to prepare a map')
def make_silent(context):
    _make_sidecar(context, errors.OutcomeUnknown('no response'))


def _prepare(context, version):
    order = ranks.RankOrder(ranks.PREPARE, 1, version, ranks.NO_VERSION, [])
    packed = mapdeltas.pack(context.known, ranks.NO_VERSION, [])
    made = context.sidecar
    made._reported = 'reported'
    made.on_push(messages.RankPush(1, order, packed))
    while context.tasks:
        task, args = context.tasks.pop()
        trio.run(task, *args)
    context.at_once += made._reported is None


@when(
    'it receives the same order to prepare 50 times a second for {span_s:d} s'
)
def receive_same(context, span_s):
    for _ in range(round(span_s / STEP_S)):
        _prepare(context, 9)
        context.at_s += STEP_S


@when('it receives orders to prepare three maps within 0.1 s')
def receive_others(context):
    for version in (9, 10, 11):
        _prepare(context, version)
        context.at_s += STEP_S


@then('its engine gets the order at most {most:d} times')
def check_most_orders(context, most):
    assert 0 < len(context.engine.orders) <= most, len(context.engine.orders)


@then('its engine gets the order at least {least:d} times')
def check_least_orders(context, least):
    assert len(context.engine.orders) >= least, len(context.engine.orders)


@then('the sidecar has reported at once after the first refusal alone')
def check_at_once(context):
    assert context.at_once == len(context.engine.orders), context.at_once


@given('one expert is copied in {copy_s:d} s')
def set_copy_time(context, copy_s):
    parameters = mapplans.EngineParameters(3, 2, 384, copy_s)
    planner = context.leader.groups.planner
    planner._engine_parameters = lambda _: parameters


def _count_versions(context):
    """Give each planned map a version of its own, and keep its time."""
    context.planned_s, context.abandoned_s = [], []

    async def propose(_payload):
        context.planned_s.append(context.leader.at_s)
        return 11 + len(context.planned_s)

    context.leader.propose = propose


@when('the ranks report for {span_s:d} s, and rank 2 prepares no map')
def report_unprepared(context, span_s):
    _count_versions(context)
    leader, group = context.leader, context.group
    until_s = leader.at_s + 1.0 + span_s
    leader.at_s += 1.0
    while leader.at_s < until_s:
        before = group.change
        for rank in range(context.size):
            version = group.change.version if group.change else 3
            prepared = 3 if rank == 2 else version
            leader.report(rank, context.size, prepared=prepared)
        if before is not None and group.change is None:
            context.abandoned_s.append(leader.at_s)
        leader.at_s += 5 * STEP_S


@then(
    'between {least:d} and {most:d} changes were planned, each later than the'
    ' one before'
)
def check_planned(context, least, most):
    planned_s = context.planned_s
    assert least <= len(planned_s) <= most, planned_s
    pauses_s = [b - a for a, b in zip(planned_s, planned_s[1:])]
    assert pauses_s == sorted(set(pauses_s)), pauses_s


@then('no change was abandoned within {span_s:d} s')
def check_abandoned(context, span_s):
    assert context.abandoned_s, 'none was abandoned'
    for began_s, ended_s in zip(context.planned_s, context.abandoned_s):
        assert ended_s - began_s >= span_s, (began_s, ended_s)


def _report_all(context, **fields):
    for rank in range(context.size):
        context.leader.at_s += 0.001
        context.leader.report(rank, context.size, **fields)


@when('the ranks prepare and use the map of the next change')
def use_next_map(context):
    leader, group = context.leader, context.group
    while group.change is None:
        leader.at_s += 5 * STEP_S
        _report_all(context, prepared=3)
    version = group.change.version
    _report_all(context, prepared=version)
    assert group.progress.phase == mapchanges.Phase.HOLDING
    _report_all(context, prepared=version, map_version=version)
    assert group.change is None


@then(
    'a change that begins within {span_s:d} s is abandoned {least_s:d} to'
    ' {most_s:d} s later'
)
def check_next(context, span_s, least_s, most_s):
    group, leader = context.group, context.leader
    used = {'map_version': group.reports[0][0].state.map_version}
    _report_until(context, lambda: group.change is not None, span_s, used)
    began_s = leader.at_s
    _report_until(context, lambda: group.change is None, most_s, used)
    assert leader.at_s - began_s >= least_s, leader.at_s - began_s


def _report_until(context, is_over, span_s, fields):
    until_s = context.leader.at_s + span_s
    while not is_over():
        assert context.leader.at_s < until_s, 'not in time'
        context.leader.at_s += STEP_S
        _report_all(context, **fields)


@given('a group of 4 engines with steady demand')
def make_steady_group(context):
    context.name = context.scenario.name


@then('each engine refused at most {per_s:g} orders a second meanwhile')
def check_refused(context, per_s):
    world = context.world
    most = per_s * world.span_s * ranks_world.SHEET.ranks
    assert 0 < world.refused <= most, world.refused
