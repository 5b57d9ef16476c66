# SPDX-License-Identifier: Apache-2.0

"""Compares expert map policies over scripted drifts: skew and bytes moved.

The load of experts is synthetic, seeded, and reported one interval late. Not
modelled: layers of different load, and the network between ranks.
``make bench-maps`` prints the table, ``make plots`` draws the frontier.
"""

import math
import random
import statistics
import sys

import tabulate

from mountridge.experts import maps

#: An hour, in intervals of 40 s.
INTERVALS = 90
EXPERT_GIB = 0.08
EXPERTS = 64
SLOTS = {16: 6, 64: 2}
SKEW_FIRST = maps.Weights(skew=4.0, move=1.0, expert_gib=EXPERT_GIB)
MOVES_FIRST = maps.Weights(skew=1.0, move=40.0, expert_gib=EXPERT_GIB)
FREE_MOVES = maps.Weights(skew=1.0, move=0.0, expert_gib=EXPERT_GIB)


def initial_load(rng: random.Random) -> list[float]:
    """Return a skewed load of the experts, in random order."""
    load = [1 / (1 + n) ** 0.4 for n in range(EXPERTS)]
    rng.shuffle(load)
    return load


def cold_snap(load, interval, rng):
    """The load of a sixth of the experts quadruples within 10 min."""
    rise = min(1.0, max(0.0, (interval - 15) / 15))
    return [x * (1 + 3 * rise * (n % 6 == 0)) for n, x in enumerate(load)]


def tariff_change(load, interval, rng):
    """The load of eight experts increases to five times at once."""
    return [
        x * (5 if interval >= 30 and n < 8 else 1) for n, x in enumerate(load)
    ]


def slow_drift(load, interval, rng):
    """The peak load moves across all experts within an hour."""
    return [
        x
        * (1.5 + math.sin(2 * math.pi * (interval / INTERVALS + n / EXPERTS)))
        for n, x in enumerate(load)
    ]


def flapping(load, interval, rng):
    """The peak load alternates between two sets of experts every 80 s."""
    side = (interval // 2) % 2
    return [x * (3 if n % 8 == side else 1) for n, x in enumerate(load)]


def failed_rank(load, interval, rng):
    """No drift, but a rank fails and returns (see `run`)."""
    return list(load)


DRIFTS = (cold_snap, tariff_change, slow_drift, flapping, failed_rank)


def never(placement, loads, interval):
    """Never move."""
    return None


def greedy(placement, loads, interval):
    """Make every move that lowers the skew, at each interval."""
    now = maps.Loads(loads.fast, loads.fast)
    return maps.plan(placement, now, FREE_MOVES)


def periodic(placement, loads, interval):
    """Make every move that lowers the skew, every five minutes."""
    return greedy(placement, loads, interval) if interval % 8 == 0 else None


def planner(weights):
    """Return the policy of `maps.plan` with the given weights."""
    return lambda placement, loads, interval: maps.plan(
        placement, loads, weights
    )


POLICIES = {
    'never': never,
    'greedy': greedy,
    'periodic': periodic,
    'planner, skew first': planner(SKEW_FIRST),
    'planner, moves first': planner(MOVES_FIRST),
}


def run(policy, drift, ranks: int, seed: int) -> tuple[float, float, int]:
    """Return (mean skew, GiB moved, intervals with a move)."""
    rng = random.Random(seed)
    base_load = initial_load(rng)
    placement = maps.first_map(ranks, SLOTS[ranks], EXPERTS)
    loads = None
    skews, moved, move_count = [], 0, 0
    for interval in range(INTERVALS):
        actual = drift(base_load, interval, rng)
        actual = [x * rng.uniform(0.9, 1.1) for x in actual]
        if drift is failed_rank and interval == 30:
            # A neighbour takes over its experts until the next plan.
            placement = _without_rank(placement)
        skews.append(maps.skew(placement, actual))
        if loads is not None:
            plan = policy(placement, loads, interval)
            if plan is not None:
                moved += plan.moved
                move_count += 1
                placement = plan.new
        loads = maps.smooth(loads, actual)
    return statistics.mean(skews), moved * EXPERT_GIB, move_count


def _without_rank(placement):
    """Return the map with the experts of ranks 0 and 1 redistributed."""
    first = tuple(dict.fromkeys(placement[0] + placement[1]))
    rest = placement[2:]
    return (first[: len(first) // 2], first[len(first) // 2 :]) + rest


def table(seed: int = 1) -> list[list]:
    """Return rows of (ranks, drift, policy, skew, GiB, moves)."""
    rows = []
    for ranks in SLOTS:
        for drift in DRIFTS:
            for name, policy in POLICIES.items():
                result = run(policy, drift, ranks, seed)
                rows.append([ranks, drift.__name__, name, *result])
    return rows


def main() -> None:
    """Print the table and its means; draw them if a file is given."""
    rows = table()
    headers = ['ranks', 'drift', 'policy', 'skew', 'GiB moved', 'moves']
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.3f'))
    means = []
    for ranks in SLOTS:
        for name in POLICIES:
            matching = [r for r in rows if r[0] == ranks and r[2] == name]
            means.append(
                [ranks, name]
                + [statistics.mean(r[k] for r in matching) for k in (3, 4, 5)]
            )
    print(tabulate.tabulate(means, headers=headers[:1] + headers[2:]))
    if len(sys.argv) > 1:
        draw(means, sys.argv[1])


def draw(means: list[list], path: str) -> None:
    """Draw the frontier of skew against bytes moved."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 4))
    for ranks, name, skew, gib, _ in means:
        axes.scatter(gib, skew, marker='o' if ranks == 16 else 's')
        axes.annotate(f'{name} ({ranks})', (gib, skew), fontsize=7)
    axes.set_xscale('symlog', linthresh=1)
    axes.set_xlim(-0.2, 100)
    axes.set_xlabel('GiB moved in an hour, mean of five drifts')
    axes.set_ylabel('mean skew of a step')
    figure.tight_layout()
    figure.savefig(path, dpi=120)


if __name__ == '__main__':
    main()
