# SPDX-License-Identifier: Apache-2.0

"""Steps for expert maps that engines refuse."""

from behave import given, then, when
import trio

from features.steps import manyranks_steps as base
from mountridge import errors, messages
from mountridge.experts import mapdeltas, ranks

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
