# SPDX-License-Identifier: Apache-2.0

"""Steps on the retry budget that all gateways share."""

from behave import given, then, when

from features.worlds import retries


@given(
    '{count:d} gateways with {per_s:d} requests a second and a slack of '
    '{slack:d}'
)
def fleet_settings(context, count, per_s, slack):
    context.fleet_settings = (count, per_s, slack)


@given('all attempts at runners fail')
def runners_fail(context):
    context.fleets = []


@when('{fault}, in {runs:d} runs')
def run_fleets(context, fault, runs):
    for run in range(runs):
        seed = f'{context.scenario.name} {run}'
        fleet = retries.Fleet(*context.fleet_settings, seed)
        retries.FAULTS[fault](fleet)
        fleet.run()
        context.fleets.append(fleet)


@then('no window has more retries than the budget in any run')
def check_windows(context):
    assert all(fleet.retries_s for fleet in context.fleets)
    excess = [fleet.excess() for fleet in context.fleets]
    assert max(excess) <= 0, excess
