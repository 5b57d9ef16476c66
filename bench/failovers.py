# SPDX-License-Identifier: Apache-2.0

"""Time to the next acknowledged order after a loss among the controllers.

Plays on virtual time: 9 entries in 3 halls, of which 6 have a disk, and an
operator who waits 1 s for an answer before it goes to another box. It asks
boxes that are there, since what a lost box costs it is its own wait.
``python -m bench.failovers [PLAYS]``.
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

PLAYS = 200
HALLS = {
    f'{hall}{number}': (hall, number < 3)
    for number in (1, 2, 3)
    for hall in ('north', 'south', 'west')
}
#: The founder, a box with a disk, and one without.
SEEDS = ['north1', 'south2', 'west3']
#: An order comes this long after the loss, at most.
ORDER_S = 0.2
#: Plays at once.
JOBS = 4


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


async def _play(world, loss, rng) -> float:
    await world.begin()
    await trio.sleep(rng.random())
    leader = world.leader()
    others = [name for name in world.voters() if name != leader]
    rng.shuffle(others)
    loss(world, leader, others)
    lost_s = trio.current_time()
    await trio.sleep(rng.random() * ORDER_S)
    left = [n for n in world.processes if n not in world.isolated]
    rng.shuffle(left)
    await world.write_until_acked(3 * left, 1)
    return trio.current_time() - lost_s


def play(loss: str, seed: int) -> float:
    """Return the time from the loss to the acknowledgement, in s."""
    logging.disable()
    rng = random.Random(f'{loss} {seed}')

    def script(world):
        return _play(world, LOSSES[loss], rng)

    return core.play(
        script, seed, HALLS, SEEDS, controller_losses=2, hall_losses=1
    )


def main() -> None:
    """Play each loss and print the table."""
    plays = int(sys.argv[1]) if len(sys.argv) > 1 else PLAYS
    rows = []
    with futures.ProcessPoolExecutor(JOBS) as pool:
        for loss in LOSSES:
            one = functools.partial(play, loss)
            took = sorted(pool.map(one, range(plays), chunksize=5))
            parts = [path.quantile(took, part) for part in (0.5, 0.9, 0.99)]
            rows.append([loss, *parts, took[-1]])
    headers = ['loss', 'p50 s', 'p90 s', 'p99 s', 'worst s']
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.3f'))


if __name__ == '__main__':
    main()
