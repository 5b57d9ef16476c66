# SPDX-License-Identifier: Apache-2.0

"""Set-up of the scenarios: each gets fresh state and a seeded generator."""

import random


def before_scenario(context, scenario):
    """Give the scenario its own generator and list of things to close."""
    context.rng = random.Random(scenario.name)


def after_scenario(context, scenario):
    """End the processes that the scenario started."""
    made = getattr(context, 'cluster', None)
    if made is not None:
        made.stop_all()
        context.cluster = None
