# SPDX-License-Identifier: Apache-2.0

"""Time to the next acknowledged order after the loss of controllers.

Runs in virtual time: 9 entries in 3 halls, 6 of them with a disk, and an
operator who waits 1 s for an answer before it tries another box. The operator
only asks boxes that are up, as a lost one would merely add its own time-out.
``python -m bench.failovers [RUNS]``.
"""

from concurrent import futures
import functools
import logging
import random
import sys

import tabulate
import trio

from bench import path
from features.worlds import core

RUNS = 200
HALLS = {
    f'{hall}{number}': (hall, number < 3)
    for number in (1, 2, 3)
    for hall in ('north', 'south', 'west')
}
#: The founding box, one with a disk, and one without.
SEEDS = ['north1', 'south2', 'west3']
#: Maximum delay of the order after the loss.
MAX_ORDER_DELAY_S = 0.2
#: Concurrent runs.
PROCESSES = 4


def _leader_killed(world, leader, others):
    world.kill(leader)


def _leader_silent(world, leader, others):
    world.isolated.add(leader)


def _follower_killed(world, leader, others):
    world.kill(others[0])


def _follower_silent(world, leader, others):
    world.isolated.add(others[0])


def _two_killed(world, leader, others):
    world.kill(leader)
    world.kill(others[0])


def _two_silent(world, leader, others):
    world.isolated.update((leader, others[0]))


def _hall_lost(world, leader, others):
    world.isolated.update(world.in_hall(world.halls[leader][0]))


LOSSES = {
    'leader killed': _leader_killed,
    'leader without power': _leader_silent,
    'follower killed': _follower_killed,
    'follower without power': _follower_silent,
    'two killed, the leader too': _two_killed,
    'two without power, the leader too': _two_silent,
    "the leader's hall without power": _hall_lost,
}


async def _run(world, loss, rng) -> float:
    await world.begin()
    await trio.sleep(rng.random())
    leader = world.leader()
    others = [name for name in world.voters() if name != leader]
    rng.shuffle(others)
    loss(world, leader, others)
    lost_s = trio.current_time()
    await trio.sleep(rng.random() * MAX_ORDER_DELAY_S)
    remaining = [n for n in world.processes if n not in world.isolated]
    rng.shuffle(remaining)
    await world.write_until_acked(3 * remaining, 1)
    return trio.current_time() - lost_s


def run(loss: str, seed: int) -> float:
    """Return the time in s from the loss to the acknowledgement."""
    logging.disable()
    rng = random.Random(f'{loss} {seed}')

    def script(world):
        return _run(world, LOSSES[loss], rng)

    return core.play(
        script, seed, HALLS, SEEDS, controller_losses=2, hall_losses=1
    )


def main() -> None:
    """Run each loss and print the table."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else RUNS
    rows = []
    with futures.ProcessPoolExecutor(PROCESSES) as pool:
        for loss in LOSSES:
            run_loss = functools.partial(run, loss)
            times_s = sorted(pool.map(run_loss, range(runs), chunksize=5))
            quantiles = [
                path.quantile(times_s, share) for share in (0.5, 0.9, 0.99)
            ]
            rows.append([loss, *quantiles, times_s[-1]])
    headers = ['loss', 'p50 s', 'p90 s', 'p99 s', 'worst s']
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.3f'))


if __name__ == '__main__':
    main()
