# SPDX-License-Identifier: Apache-2.0

"""Policies for expert maps while demand shifts and copies take time.

Plays the product's own planning (`demand`, `mapplans`) on invented demand:
a few experts get most choices, and every few seconds part of the experts
change places in that order. A change is in use once the rank with the most
new experts has copied them, one after the other, and the orders are through.
Leaves out: passes, requests, faults. Prints how many times the mean the most
loaded rank has, over time, with the standard error over seeds.
``python -m bench.shifts --help``.
"""

import random
import statistics
import typing

import click
import tabulate

from mountridge.experts import demand, mapplans, maps

#: Between two looks at the group.
STEP_S = 0.02
#: From the end of the copies to the first pass with the new map.
ORDERS_S = 0.25
#: Least time between the end of a change and the next look for a plan.
PAUSE_S = 0.05
#: Time constant of the counts of the policy that does not tell shifts.
COUNTS_S = 0.6
#: Part of a report's choices that single prompts bring, whatever is liked.
OWN_PART = 0.2
CHOICES = 20000
#: The experts' shares fall by their place in the order to this power.
ZIPF = 1.3


class Deployment(typing.NamedTuple):
    """A group, and how its demand shifts."""

    ranks: int
    sets: int
    sheet: mapplans.EngineParameters
    shift_s: float
    share: float  # of the experts that change places in a shift


DEPLOYMENTS = {
    'slow copies': Deployment(
        12, 3, mapplans.EngineParameters(11, 4, 96, 0.4), 3.9, 0.59
    ),
    'fast copies': Deployment(
        16, 4, mapplans.EngineParameters(5, 2, 64, 0.04), 3.3, 0.59
    ),
}


class Plan(typing.NamedTuple):
    """A map on its way, and when it is in use."""

    placed: mapplans.Placement
    from_s: float


class World:
    """Demand, the map in use, and the one that is being copied."""

    def __init__(self, made: Deployment, seed: int):
        self.made = made
        self.rng = random.Random(seed)
        experts, ranks = made.sheet.experts, made.ranks
        self.placed = [
            [list(range(rank, experts, ranks)) for rank in range(ranks)]
            for _ in range(made.sets)
        ]
        self.order = [
            self.rng.sample(range(experts), experts) for _ in range(made.sets)
        ]
        self.coming: Plan | None = None
        #: Part of the choices of each expert, set by set.
        self.likes = self._likes()
        #: The likes of the time since the last report, added up.
        self._since = [0.0] * len(self.likes)
        self._skew: float | None = None
        self.next_plan_s = 0.0

    def _likes(self) -> list[float]:
        found = []
        for order in self.order:
            likes = [0.0] * len(order)
            for place, expert in enumerate(order):
                likes[expert] = 1 / (1 + place) ** ZIPF
            found += [like / sum(likes) for like in likes]
        return found

    def shift(self) -> None:
        """Let some experts change places in the order."""
        for order in self.order:
            count = round(self.made.share * len(order))
            places = self.rng.sample(range(len(order)), count)
            moved = [order[place] for place in places]
            self.rng.shuffle(moved)
            for place, expert in zip(places, moved):
                order[place] = expert
        self.likes = self._likes()
        self._skew = None

    def use(self, placed: mapplans.Placement) -> None:
        """Take a map into use."""
        self.placed, self.coming = placed, None
        self._skew = None

    def tick(self) -> None:
        """Let requests choose experts for one step."""
        self._since = [a + b for a, b in zip(self._since, self.likes)]

    def report(self) -> list[float]:
        """Return the choices since the last report, with what chance adds."""
        counts = []
        steps = demand.SPAN_S / STEP_S
        for like in self._since:
            own = self.rng.expovariate(self.made.sheet.experts)
            part = (1 - OWN_PART) * like / steps + OWN_PART * own
            counts.append(CHOICES * part)
        self._since = [0.0] * len(self.likes)
        return counts

    def skew(self) -> float:
        """Return the most loaded rank over the mean, over all sets."""
        if self._skew is None:
            self._skew = self._most_loaded()
        return self._skew

    def _most_loaded(self) -> float:
        experts = self.made.sheet.experts
        found = []
        for number, by_rank in enumerate(self.placed):
            load = self.likes[number * experts : (number + 1) * experts]
            found.append(max(maps.rank_loads(by_rank, load)))
        return self.made.ranks * statistics.mean(found)

    def begin(self, counts: list[float], sheet, now_s: float) -> None:
        """Plan from counts, and begin to copy where that pays."""
        if self.coming is None and now_s < self.next_plan_s:
            return
        self.next_plan_s = now_s + PAUSE_S
        paces = [1.0] * self.made.ranks
        planned = mapplans.plan(self.placed, counts, paces, sheet)
        if planned is None:
            return
        new = [
            sum(
                len(set(after[rank]) - set(before[rank]))
                for before, after in zip(self.placed, planned.placement)
            )
            for rank in range(self.made.ranks)
        ]
        copied_s = max(new) * self.made.sheet.copy_s
        self.coming = Plan(planned.placement, now_s + copied_s + ORDERS_S)


#: Plans where it wants to: the world, a report or None, whether demand has
#: just shifted, and the present time.
Policy = typing.Callable[[World, list[float] | None, bool, float], None]


def never(world: World, counts, shifted: bool, now_s: float) -> None:
    """Keep the first map."""


def oracle(world: World, counts, shifted: bool, now_s: float) -> None:
    """Know demand at once, and copy as today."""
    if shifted or world.coming is None:
        world.begin(world.likes, world.made.sheet, now_s)


def decaying(bounded: bool) -> Policy:
    """Plan from counts that decay; bounded by the time of copies or not."""
    mean: list[float] = []

    def policy(world: World, counts, shifted: bool, now_s: float) -> None:
        if counts is not None:
            kept = 1 - demand.SPAN_S / COUNTS_S
            mean[:] = [
                kept * old + new
                for old, new in zip(mean or [0.0] * len(counts), counts)
            ]
        if world.coming is None and mean:
            sheet = world.made.sheet
            sheet = sheet if bounded else sheet._replace(copy_s=0.0)
            world.begin(mean, sheet, now_s)

    return policy


def telling(waits: bool) -> Policy:
    """Tell shifts of demand; plan at once, or as the product does.

    The product waits for counts that hold nothing of before the shift.
    """
    known = demand.Demand()
    outdated = [False]

    def policy(world: World, counts, shifted: bool, now_s: float) -> None:
        if counts is not None:
            choices = demand.pack([round(count) for count in counts])
            outdated[0] |= known.record(choices, now_s)
        if not (known.is_settled if waits else known.mean):
            return
        copying = world.coming and now_s < world.coming.from_s - ORDERS_S
        if world.coming is None or (outdated[0] and copying):
            outdated[0] = False
            world.begin(known.mean, world.made.sheet, now_s)

    return policy


POLICIES: dict[str, typing.Callable[[], Policy]] = {
    'never move': lambda: never,
    'decaying counts, any number of copies': lambda: decaying(False),
    'decaying counts, copies bounded': lambda: decaying(True),
    'shifts told, planned at once': lambda: telling(False),
    'today: shifts told, counts of after': lambda: telling(True),
    'demand known at once': lambda: oracle,
}


def play(made: Deployment, policy: Policy, seed: int, span_s: float):
    """Return the mean skew, and the part of the time with over twice."""
    world = World(made, seed)
    skews = []
    now_s, shift_s = 0.0, made.shift_s
    report_s = world.rng.random() * demand.SPAN_S
    while now_s < span_s:
        shifted = now_s >= shift_s
        if shifted:
            world.shift()
            shift_s += made.shift_s
        if world.coming and now_s >= world.coming.from_s:
            world.use(world.coming.placed)
        world.tick()
        counts = None
        if now_s >= report_s:
            counts = world.report()
            report_s += demand.SPAN_S
        policy(world, counts, shifted, now_s)
        skews.append(world.skew())
        now_s += STEP_S
    return statistics.mean(skews), sum(s > 2 for s in skews) / len(skews)


def _error(values: list[float]) -> float:
    return statistics.stdev(values) / len(values) ** 0.5


@click.command()
@click.option('--seeds', default=6, help='Plays of each policy.')
@click.option('--span-s', default=20.0, help='Length of a play.')
def main(seeds: int, span_s: float) -> None:
    """Print the table of policies, on each deployment."""
    rows = []
    for title, made in DEPLOYMENTS.items():
        for name, make in POLICIES.items():
            found = [play(made, make(), s, span_s) for s in range(seeds)]
            skews = [skew for skew, _ in found]
            parts = [part for _, part in found]
            rows.append(
                [
                    title, name, statistics.mean(skews), _error(skews),
                    statistics.mean(parts), _error(parts),
                ]  # fmt: skip
            )
    head = ['deployment', 'policy', 'skew', '+-', 'time over 2', '+-']
    click.echo(tabulate.tabulate(rows, head, floatfmt='.3f'))


if __name__ == '__main__':
    main()
