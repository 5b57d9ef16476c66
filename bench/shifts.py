# SPDX-License-Identifier: Apache-2.0

"""Compares expert map policies when demand shifts and copies take time.

Runs the planning of the product (`demand`, `mapplans`) on synthetic demand: a
few experts get most choices, and every few seconds some of the experts swap
their ranks in popularity. A change is in use once the rank with the most new
experts has copied them one by one and the orders have been delivered. Not
modelled: forward passes, requests, faults. Prints the load of the most loaded
rank relative to the mean, over time, with the standard error over seeds.
``python -m bench.shifts --help``.
"""

import random
import statistics
import typing

import click
import tabulate

from mountridge.experts import demand, mapplans, maps

#: Time step of the simulation.
STEP_S = 0.02
#: From the end of the copies to the first forward pass with the new map.
ORDERS_S = 0.25
#: Minimum interval between two searches for a plan.
PAUSE_S = 0.05
#: Time constant of the decaying counts.
COUNTS_S = 0.6
#: Share of a report's choices that are due to single prompts.
PROMPT_SHARE = 0.2
CHOICES = 20000
#: Exponent of the power law of experts' popularity.
ZIPF = 1.3


class Deployment(typing.NamedTuple):
    """A group of ranks, and how its demand shifts."""

    ranks: int
    sets: int
    parameters: mapplans.EngineParameters
    shift_s: float
    shift_share: float  # of experts that swap their positions in a shift


DEPLOYMENTS = {
    'slow copies': Deployment(
        12, 3, mapplans.EngineParameters(11, 4, 96, 0.4), 3.9, 0.59
    ),
    'fast copies': Deployment(
        16, 4, mapplans.EngineParameters(5, 2, 64, 0.04), 3.3, 0.59
    ),
}


class Plan(typing.NamedTuple):
    """A map that is being copied, and when it comes into use."""

    placement: mapplans.Placement
    in_use_s: float


class Simulation:
    """A group with its demand, the map in use, and a pending change."""

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.rng = random.Random(seed)
        experts, ranks = deployment.parameters.experts, deployment.ranks
        self.placement = [
            [list(range(rank, experts, ranks)) for rank in range(ranks)]
            for _ in range(deployment.sets)
        ]
        self.order = [
            self.rng.sample(range(experts), experts)
            for _ in range(deployment.sets)
        ]
        self.pending: Plan | None = None
        #: Share of the choices by expert, set by set.
        self.popularity = self._compute_popularity()
        #: Sum of the popularity over the steps since the last report.
        self._since = [0.0] * len(self.popularity)
        self._skew: float | None = None
        self.next_plan_s = 0.0

    def _compute_popularity(self) -> list[float]:
        results = []
        for order in self.order:
            popularity = [0.0] * len(order)
            for position, expert in enumerate(order):
                popularity[expert] = 1 / (1 + position) ** ZIPF
            results += [value / sum(popularity) for value in popularity]
        return results

    def shift(self) -> None:
        """Let some experts swap their positions in the order."""
        for order in self.order:
            count = round(self.deployment.shift_share * len(order))
            positions = self.rng.sample(range(len(order)), count)
            moved = [order[position] for position in positions]
            self.rng.shuffle(moved)
            for position, expert in zip(positions, moved):
                order[position] = expert
        self.popularity = self._compute_popularity()
        self._skew = None

    def use(self, placement: mapplans.Placement) -> None:
        """Put a map into use."""
        self.placement, self.pending = placement, None
        self._skew = None

    def record_step(self) -> None:
        """Accumulate the choices of one time step."""
        self._since = [a + b for a, b in zip(self._since, self.popularity)]

    def report(self) -> list[float]:
        """Return the choices since the last report, with random noise."""
        counts = []
        steps = demand.SPAN_S / STEP_S
        for value in self._since:
            by_prompt = self.rng.expovariate(
                self.deployment.parameters.experts
            )
            share = (
                1 - PROMPT_SHARE
            ) * value / steps + PROMPT_SHARE * by_prompt
            counts.append(CHOICES * share)
        self._since = [0.0] * len(self.popularity)
        return counts

    def skew(self) -> float:
        """Return the ratio of the most loaded rank to the mean, over sets."""
        if self._skew is None:
            self._skew = self._compute_skew()
        return self._skew

    def _compute_skew(self) -> float:
        experts = self.deployment.parameters.experts
        results = []
        for number, by_rank in enumerate(self.placement):
            load = self.popularity[number * experts : (number + 1) * experts]
            results.append(max(maps.rank_loads(by_rank, load)))
        return self.deployment.ranks * statistics.mean(results)

    def start_change(
        self, counts: list[float], parameters, now_s: float
    ) -> None:
        """Plan from counts, and start copying if a change is worth it."""
        if self.pending is None and now_s < self.next_plan_s:
            return
        self.next_plan_s = now_s + PAUSE_S
        slowdowns = [1.0] * self.deployment.ranks
        planned = mapplans.plan(self.placement, counts, slowdowns, parameters)
        if planned is None:
            return
        new = [
            sum(
                len(set(after[rank]) - set(before[rank]))
                for before, after in zip(self.placement, planned.placement)
            )
            for rank in range(self.deployment.ranks)
        ]
        copied_s = max(new) * self.deployment.parameters.copy_s
        self.pending = Plan(planned.placement, now_s + copied_s + ORDERS_S)


#: Starts changes; gets the simulation, a report or None, whether demand has
#: just shifted, and the current time.
Policy = typing.Callable[[Simulation, list[float] | None, bool, float], None]


def keep_first(
    simulation: Simulation, counts, shifted: bool, now_s: float
) -> None:
    """Keep the first map."""


def oracle(
    simulation: Simulation, counts, shifted: bool, now_s: float
) -> None:
    """Plan from the true demand as soon as it shifts."""
    if shifted or simulation.pending is None:
        simulation.start_change(
            simulation.popularity, simulation.deployment.parameters, now_s
        )


def decaying(bounded: bool) -> Policy:
    """Plan from decaying counts, optionally with bounded copy time."""
    mean: list[float] = []

    def policy(
        simulation: Simulation, counts, shifted: bool, now_s: float
    ) -> None:
        if counts is not None:
            kept = 1 - demand.SPAN_S / COUNTS_S
            mean[:] = [
                kept * old + new
                for old, new in zip(mean or [0.0] * len(counts), counts)
            ]
        if simulation.pending is None and mean:
            parameters = simulation.deployment.parameters
            parameters = (
                parameters if bounded else parameters._replace(copy_s=0.0)
            )
            simulation.start_change(mean, parameters, now_s)

    return policy


def detecting(waits: bool) -> Policy:
    """Detect demand shifts; plan at once, or wait as the product does.

    The product waits until counts contain nothing from before the shift.
    """
    known = demand.Demand()
    outdated = [False]

    def policy(
        simulation: Simulation, counts, shifted: bool, now_s: float
    ) -> None:
        if counts is not None:
            choices = demand.pack([round(count) for count in counts])
            outdated[0] |= known.record(choices, now_s)
        if not (known.is_settled if waits else known.mean):
            return
        copying = (
            simulation.pending
            and now_s < simulation.pending.in_use_s - ORDERS_S
        )
        if simulation.pending is None or (outdated[0] and copying):
            outdated[0] = False
            simulation.start_change(
                known.mean, simulation.deployment.parameters, now_s
            )

    return policy


POLICIES: dict[str, typing.Callable[[], Policy]] = {
    'never move': lambda: keep_first,
    'decaying counts, any number of copies': lambda: decaying(False),
    'decaying counts, copies bounded': lambda: decaying(True),
    'shifts detected, planned at once': lambda: detecting(False),
    'current: shifts detected, counts since': lambda: detecting(True),
    'demand known at once': lambda: oracle,
}


def simulate(deployment: Deployment, policy: Policy, seed: int, span_s: float):
    """Return the mean skew, and the share of time with a skew above 2."""
    simulation = Simulation(deployment, seed)
    skews = []
    now_s, shift_s = 0.0, deployment.shift_s
    report_s = simulation.rng.random() * demand.SPAN_S
    while now_s < span_s:
        shifted = now_s >= shift_s
        if shifted:
            simulation.shift()
            shift_s += deployment.shift_s
        if simulation.pending and now_s >= simulation.pending.in_use_s:
            simulation.use(simulation.pending.placement)
        simulation.record_step()
        counts = None
        if now_s >= report_s:
            counts = simulation.report()
            report_s += demand.SPAN_S
        policy(simulation, counts, shifted, now_s)
        skews.append(simulation.skew())
        now_s += STEP_S
    return statistics.mean(skews), sum(s > 2 for s in skews) / len(skews)


def _std_error(values: list[float]) -> float:
    return statistics.stdev(values) / len(values) ** 0.5


@click.command()
@click.option('--seeds', default=6, help='Simulations of each policy.')
@click.option('--span-s', default=20.0, help='Duration of a simulation.')
def main(seeds: int, span_s: float) -> None:
    """Print the table of policies, on each deployment."""
    rows = []
    for title, deployment in DEPLOYMENTS.items():
        for name, make in POLICIES.items():
            results = [
                simulate(deployment, make(), s, span_s) for s in range(seeds)
            ]
            skews = [skew for skew, _ in results]
            shares = [share for _, share in results]
            rows.append(
                [
                    title, name, statistics.mean(skews), _std_error(skews),
                    statistics.mean(shares), _std_error(shares),
                ]  # fmt: skip
            )
    head = ['deployment', 'policy', 'skew', '+-', 'time over 2', '+-']
    click.echo(tabulate.tabulate(rows, head, floatfmt='.3f'))


if __name__ == '__main__':
    main()
