# SPDX-License-Identifier: Apache-2.0

"""Policies for expert maps over scripted drifts: skew against bytes moved.

The load of experts is invented, seeded, and reported one interval late.
Leaves out: layers of different load, and the network between ranks.
``make bench-maps`` prints the table, ``make plots`` draws the frontier.
"""

import math
import random
import statistics
import sys

import tabulate

from mountridge.experts import maps

INTERVALS = 90
#: An hour, in intervals of 40 s.
EXPERT_GIB = 0.08
EXPERTS = 64
SLOTS = {16: 6, 64: 2}
ERTIS = maps.Weights(skew=4.0, move=1.0, expert_gib=EXPERT_GIB)
MITTELLAND = maps.Weights(skew=1.0, move=40.0, expert_gib=EXPERT_GIB)
FREE = maps.Weights(skew=1.0, move=0.0, expert_gib=EXPERT_GIB)


def base(rng: random.Random) -> list[float]:
    """Return a skewed load of the experts, in random order."""
    load = [1 / (1 + n) ** 0.4 for n in range(EXPERTS)]
    rng.shuffle(load)
    return load


def cold_snap(load, at, rng):
    """A sixth of the experts fills to 4 times its load within 10 min."""
    rise = min(1.0, max(0.0, (at - 15) / 15))
    return [x * (1 + 3 * rise * (n % 6 == 0)) for n, x in enumerate(load)]


def tariff_change(load, at, rng):
    """At once, eight experts have five times their load."""
    return [x * (5 if at >= 30 and n < 8 else 1) for n, x in enumerate(load)]


def slow_drift(load, at, rng):
    """Popularity wanders round all experts in an hour."""
    return [
        x * (1.5 + math.sin(2 * math.pi * (at / INTERVALS + n / EXPERTS)))
        for n, x in enumerate(load)
    ]


def flapping(load, at, rng):
    """Every 80 s two sets of experts change places."""
    side = (at // 2) % 2
    return [x * (3 if n % 8 == side else 1) for n, x in enumerate(load)]


def failed_rank(load, at, rng):
    """No drift; the map loses a rank and gets it back (see `run`)."""
    return list(load)


DRIFTS = (cold_snap, tariff_change, slow_drift, flapping, failed_rank)


def never(current, loads, at):
    """Never move."""
    return None


def greedy(current, loads, at):
    """Move all that lowers the skew, at each interval."""
    now = maps.Loads(loads.fast, loads.fast)
    return maps.plan(current, now, FREE)


def periodic(current, loads, at):
    """Move all that lowers the skew, every five minutes."""
    return greedy(current, loads, at) if at % 8 == 0 else None


def ours(weights):
    """Return our policy at the given weights."""
    return lambda current, loads, at: maps.plan(current, loads, weights)


POLICIES = {
    'never': never,
    'greedy': greedy,
    'periodic': periodic,
    'ours, Ertis': ours(ERTIS),
    'ours, Mittelland': ours(MITTELLAND),
}


def run(policy, drift, ranks: int, seed: int) -> tuple[float, float, int]:
    """Return (mean skew, GiB moved, intervals with a move)."""
    rng = random.Random(seed)
    still = base(rng)
    current = maps.first_map(ranks, SLOTS[ranks], EXPERTS)
    loads = None
    skews, moved, moves = [], 0, 0
    for at in range(INTERVALS):
        true = drift(still, at, rng)
        true = [x * rng.uniform(0.9, 1.1) for x in true]
        if drift is failed_rank and at == 30:
            # Its neighbours hold its experts until a plan spreads them.
            current = _without_rank(current)
        skews.append(maps.skew(current, true))
        if loads is not None:
            made = policy(current, loads, at)
            if made is not None:
                moved += made.moved
                moves += 1
                current = made.new
        loads = maps.smooth(loads, true)
    return statistics.mean(skews), moved * EXPERT_GIB, moves


def _without_rank(current):
    """Return the map with rank 0 standing in for rank 1's experts."""
    first = tuple(dict.fromkeys(current[0] + current[1]))
    rest = current[2:]
    return (first[: len(first) // 2], first[len(first) // 2 :]) + rest


def table(seed: int = 1) -> list[list]:
    """Return rows of (ranks, drift, policy, skew, GiB, moves)."""
    rows = []
    for ranks in SLOTS:
        for drift in DRIFTS:
            for name, policy in POLICIES.items():
                found = run(policy, drift, ranks, seed)
                rows.append([ranks, drift.__name__, name, *found])
    return rows


def main() -> None:
    """Print the table, and its means; draw it where a file is named."""
    rows = table()
    headers = ['ranks', 'drift', 'policy', 'skew', 'GiB moved', 'moves']
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.3f'))
    means = []
    for ranks in SLOTS:
        for name in POLICIES:
            mine = [r for r in rows if r[0] == ranks and r[2] == name]
            means.append(
                [ranks, name]
                + [statistics.mean(r[k] for r in mine) for k in (3, 4, 5)]
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
