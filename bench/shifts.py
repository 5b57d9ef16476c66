# SPDX-License-Identifier: Apache-2.0

"""Compares expert map policies when demand shifts and copies take time.

Runs the planning of the product (`demand`, `mapplans`) on synthetic demand: a
few experts get most choices, and every few seconds some of the experts swap
their ranks in popularity, or one of a few demands returns. A change is in use
once the rank with the most new experts has copied them one by one and the
orders have been delivered. Not modelled: forward passes, requests, faults.
Prints the load of the most loaded rank relative to the mean: over time with
the standard error over seeds, right after a shift to a demand that is new or
returns, and at the end of the interval. Prints also the time from a shift to
the next map in use, the experts copied each minute, and the processor time of
a search. ``python -m bench.shifts --help``.
"""

import collections
import math
import random
import statistics
import time
import typing

import click
import tabulate

from mountridge.experts import demand, mapplans, maps

#: Time step of the simulation.
STEP_S = 0.02
#: Minimum interval between two searches for a plan.
PAUSE_S = 0.05
#: Time constant of the decaying counts.
COUNTS_S = 0.6
#: Share of a report's choices that are due to single prompts.
PROMPT_SHARE = 0.2
CHOICES = 20000


class Deployment(typing.NamedTuple):
    """A group of ranks, and how its demand shifts."""

    ranks: int
    sets: int
    parameters: mapplans.EngineParameters
    shift_s: float
    shift_share: float  # of experts that swap their positions in a shift
    #: From the end of the copies to the first pass with the new map.
    orders_s: float = 0.25
    #: Exponent of the power law of experts' popularity.
    exponent: float = 1.3
    alike: int = 1  # experts with the same popularity
    #: Share of the choices that follow the power law.
    common: float = 1.0
    #: Ranks that report counts, in turn.
    reporting: int = 1
    prompt_share: float = PROMPT_SHARE
    #: Random part of each expert's choices in one rank's report.
    noise: float = 0.0
    #: Number of demands that return; 0: none does.
    demands: int = 0


LARGE_GROUP = Deployment(
    32, 12, mapplans.EngineParameters(5, 2, 128, 0.037), 2.13, 0.64,
    orders_s=0.35, exponent=0.82, alike=2, common=0.75, reporting=10,
    prompt_share=0.0, noise=0.5,
)  # fmt: skip
MANY_SETS = Deployment(
    24, 16, mapplans.EngineParameters(5, 2, 96, 0.076), 3.8, 0.64,
    orders_s=0.35, exponent=0.94, alike=2, common=0.75, reporting=10,
    prompt_share=0.0, noise=0.5,
)  # fmt: skip
DEPLOYMENTS = {
    'slow copies': Deployment(
        12, 3, mapplans.EngineParameters(11, 4, 96, 0.4), 3.9, 0.59
    ),
    'fast copies': Deployment(
        16, 4, mapplans.EngineParameters(5, 2, 64, 0.04), 3.3, 0.59
    ),
    'large group': LARGE_GROUP,
    'many sets': MANY_SETS,
    'large group, 9 demands return': LARGE_GROUP._replace(demands=9),
    'many sets, 9 demands return': MANY_SETS._replace(demands=9),
    'large group, one demand': LARGE_GROUP._replace(shift_s=1e9),
}


class Plan(typing.NamedTuple):
    """A map that is being copied, and when it comes into use."""

    placement: mapplans.Placement
    ready_s: float  # when all experts are copied
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
        self.order = self._draw_order()
        self._orders = [self._draw_order() for _ in range(deployment.demands)]
        self._drawn: set[int] = set()
        self.pending: Plan | None = None
        self.copied = 0
        self.searches_s: list[float] = []
        #: Share of the choices by expert, set by set.
        self.popularity = self._compute_popularity()
        #: The popularity in each step that the next report covers.
        self._since: collections.deque[list[float]] = collections.deque(
            maxlen=round(demand.SPAN_S / STEP_S)
        )
        self._skew: float | None = None
        self.next_plan_s = 0.0

    def _draw_order(self) -> list[list[int]]:
        """Return the experts of each set by falling popularity."""
        experts = self.deployment.parameters.experts
        return [
            self.rng.sample(range(experts), experts)
            for _ in range(self.deployment.sets)
        ]

    def _compute_popularity(self) -> list[float]:
        deployment = self.deployment
        results = []
        for order in self.order:
            popularity = [0.0] * len(order)
            for position, expert in enumerate(order):
                popularity[expert] = (
                    1 + position // deployment.alike
                ) ** -deployment.exponent
            total = sum(popularity) / deployment.common
            other = (1 - deployment.common) / len(order)
            results += [value / total + other for value in popularity]
        return results

    def shift(self) -> bool:
        """Shift demand; return whether this demand has been here before."""
        self._skew = None
        if self._orders:
            drawn = self.rng.randrange(len(self._orders))
            returns = drawn in self._drawn
            self._drawn.add(drawn)
            self.order = self._orders[drawn]
            self.popularity = self._compute_popularity()
            return returns
        for order in self.order:
            count = round(self.deployment.shift_share * len(order))
            positions = self.rng.sample(range(len(order)), count)
            moved = [order[position] for position in positions]
            self.rng.shuffle(moved)
            for position, expert in zip(positions, moved):
                order[position] = expert
        self.popularity = self._compute_popularity()
        return False

    def use(self, placement: mapplans.Placement) -> None:
        """Put a map into use."""
        self.placement, self.pending = placement, None
        self._skew = None

    def record_step(self) -> None:
        """Record the choices of one time step."""
        self._since.append(self.popularity)

    def report(self) -> list[float]:
        """Return a rank's choices since its last report, with noise."""
        first = self._since[0]
        if any(each is not first for each in self._since):
            steps = len(self._since)
            first = [sum(values) / steps for values in zip(*self._since)]
        draw, experts = (
            self.rng.expovariate,
            self.deployment.parameters.experts,
        )
        noise, by_prompt = self.deployment.noise, self.deployment.prompt_share
        if noise:
            first = [v * (1 - noise + noise * draw(1.0)) for v in first]
        if by_prompt:
            first = [
                (1 - by_prompt) * value + by_prompt * draw(experts)
                for value in first
            ]
        return [CHOICES * value for value in first]

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
        began_s = time.process_time()
        planned = mapplans.plan(self.placement, counts, slowdowns, parameters)
        self.searches_s.append(time.process_time() - began_s)
        if planned is None:
            return
        new = [
            sum(
                len(set(after[rank]) - set(before[rank]))
                for before, after in zip(self.placement, planned.placement)
            )
            for rank in range(self.deployment.ranks)
        ]
        self.copied += sum(new)
        ready_s = now_s + max(new) * self.deployment.parameters.copy_s
        self.pending = Plan(
            planned.placement, ready_s, ready_s + self.deployment.orders_s
        )


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
        copying = simulation.pending and now_s < simulation.pending.ready_s
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


class Result(typing.NamedTuple):
    """Means over one simulation; skews are ratios to the mean load."""

    skew: float
    over_2: float  # share of the time with a skew above 2
    new_skew: float  # right after a shift to a new demand
    known_skew: float  # right after a shift to one that was here before
    last_skew: float  # right before the next shift
    relief_s: float  # from a shift to the next map in use
    copied_per_min: float
    search_ms: float


def simulate(
    deployment: Deployment, policy: Policy, seed: int, span_s: float
) -> Result:
    """Simulate a policy for ``span_s``."""
    simulation = Simulation(deployment, seed)
    skews, last, reliefs = [], [], []
    after: dict[bool, list[float]] = {False: [], True: []}
    now_s, shift_s, shifted_s = 0.0, deployment.shift_s, math.inf
    report_s = simulation.rng.random() * demand.SPAN_S
    while now_s < span_s:
        shifted = now_s >= shift_s
        if shifted:
            last.append(simulation.skew())
            after[simulation.shift()].append(simulation.skew())
            shifted_s = shift_s
            shift_s += deployment.shift_s
        if simulation.pending and now_s >= simulation.pending.in_use_s:
            simulation.use(simulation.pending.placement)
            if shifted_s < now_s:
                reliefs.append(now_s - shifted_s)
                shifted_s = math.inf
        simulation.record_step()
        counts = None
        if now_s >= report_s:
            counts = simulation.report()
            report_s += demand.SPAN_S / deployment.reporting
        policy(simulation, counts, shifted, now_s)
        skews.append(simulation.skew())
        now_s += STEP_S
    return Result(
        statistics.mean(skews),
        sum(s > 2 for s in skews) / len(skews),
        _mean(after[False]),
        _mean(after[True]),
        _mean(last),
        _mean(reliefs),
        60 * simulation.copied / span_s,
        1000 * _mean(simulation.searches_s),
    )


def _mean(values: typing.Iterable[float]) -> float:
    """Return the mean of the known values; not a number if there is none."""
    known = [value for value in values if not math.isnan(value)]
    return statistics.mean(known) if known else math.nan


def _std_error(values: list[float]) -> float:
    return statistics.stdev(values) / len(values) ** 0.5


@click.command()
@click.option('--seeds', default=6, help='Simulations of each policy.')
@click.option('--span-s', default=20.0, help='Duration of a simulation.')
@click.option('--only', default='', help='Deployments whose titles have it.')
@click.option('--policy', default='', help='Policies whose names have it.')
def main(seeds: int, span_s: float, only: str, policy: str) -> None:
    """Print the table of policies, on each deployment."""
    rows = []
    for title, deployment in DEPLOYMENTS.items():
        for name, make in POLICIES.items():
            if only not in title or policy not in name:
                continue
            results = [
                simulate(deployment, make(), s, span_s) for s in range(seeds)
            ]
            row = [_mean(values) for values in zip(*results)]
            error = _std_error([result.skew for result in results])
            rows.append([title, name, row[0], error, *row[1:]])
    head = ['deployment', 'policy', 'skew', '+-', 'time over 2', 'new',
            'returned', 'last', 'relief s', 'copies/min', 'ms']  # fmt: skip
    click.echo(tabulate.tabulate(rows, head, floatfmt='.3g'))


if __name__ == '__main__':
    main()
