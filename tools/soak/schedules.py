# SPDX-License-Identifier: Apache-2.0

"""Runs random fault schedules on the consensus core.

``make soak-schedules SEED=1 COUNT=2000``; a seed always gives the same
schedule.
"""

import pathlib
import random
import sys

__all__ = ['run']

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / 'features' / 'steps'))


def run(first: int, count: int) -> int:
    """Run the schedules; return 1 if one of them failed."""
    import consensus_steps as steps

    failed = 0
    for seed in range(first, first + count):
        rng = random.Random(seed)
        schedule = [
            (
                rng.choice(steps.ACTIONS),
                rng.randrange(10),
                rng.choice([0.0, 0.003, 0.02, 0.1, 0.6]),
            )
            for _ in range(rng.randrange(30, 80))
        ]
        try:
            steps.run_schedule(rng.choice([3, 5]), seed, schedule)
        except AssertionError as problem:
            failed += 1
            print(f'seed {seed}: {problem}')
    print(f'{count - failed} schedules passed, {failed} failed')
    return 1 if failed else 0
