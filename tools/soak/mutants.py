# SPDX-License-Identifier: Apache-2.0

"""Mutants of the product that a run of the soak test must detect."""

import json
import pathlib
import subprocess
import sys
import tempfile
import typing

from tools import mutants

__all__ = ['MUTANTS', 'main']

#: Seeds to run until one detects the mutant, and minutes for each.
SEEDS, MINUTES = (1, 2, 3), '1'


class Expectation(typing.NamedTuple):
    """The rule that must detect a mutant, and the sizes to run with."""

    rule: str
    sizes: str = ''


#: Sizes with backoffs, leaving runners and a request that crashes runners.
ANNOUNCEMENT_SIZES = 'tools/soak/words.yaml'
#: Sizes with slow callers, and a disk that is lost as the system forms.
SLOW_SIZES = 'tools/soak/slow.yaml'

MUTANTS = {
    'forwarding: no refusal to repeat unsafe requests': Expectation(
        'at most one run'
    ),
    'forwarding: no unknown outcome for requests in flight': Expectation(
        'not run is true'
    ),
    'last hop: no detection of truncated responses': Expectation(
        'whole and right answers'
    ),
    'entry: no wait until all ranks are armed': Expectation('one map a pass'),
    'budgets: no limit on retries': Expectation('repeated sends in budget'),
    'entry: no wait for open requests on a planned stop': Expectation(
        'planned stops cut nothing'
    ),
    'backoffs: no handling of Retry-After': Expectation(
        'rests are kept', ANNOUNCEMENT_SIZES
    ),
    'backoffs: no handling of leaving runners': Expectation(
        'who leaves gets nothing', ANNOUNCEMENT_SIZES
    ),
    'runner limits: no gate at selection': Expectation(
        'named limits are kept', 'tools/soak/limits.yaml'
    ),
    'last hop: statuses that HTTP does not have': Expectation(
        'statuses of HTTP', 'tools/soak/statuses.yaml'
    ),
    'events: a stream may end within an event': Expectation(
        'whole and right answers', 'tools/soak/framings.yaml'
    ),
    'answers: long ones are held': Expectation(
        'processes stay within their memory', SLOW_SIZES
    ),
    'copies: too few voters acknowledge': Expectation(
        'routes are in force', SLOW_SIZES
    ),
    'quarantine: no count of crashes': Expectation(
        'requests that crash runners are held back', ANNOUNCEMENT_SIZES
    ),
}


def _run_seed(seed: int, tree: pathlib.Path, sizes: str) -> dict[str, int]:
    """Return the rules broken by a run of the copied tree."""
    command = [sys.executable, '-m', 'tools.soak', 'run', '--out', 'kept']
    command += ['--seed', str(seed), '--minutes', MINUTES]
    command += ['--sizes', sizes] if sizes else []
    env = {'PYTHONPATH': str(tree), 'PATH': '/usr/bin:/bin'}
    done = subprocess.run(
        command, cwd=tree, env=env, capture_output=True, text=True
    )
    if not done.stdout:
        raise RuntimeError(done.stderr[-2000:])
    return json.loads(done.stdout)['broken']


def run(expected: Expectation, fault: mutants.Mutant) -> str:
    """Return the result of a mutant."""
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder) / 'tree'
        count = mutants.copy_with(fault, tree)
        if count != 1:
            return f'snippet found {count} times'
        for seed in SEEDS:
            broken = _run_seed(seed, tree, expected.sizes)
            if expected.rule in broken:
                return f'caught by seed {seed}: {broken}'
    return 'LIVES'


def main(names: tuple[str, ...]) -> int:
    """Run all, or those whose name contains one of ``names``.

    Returns 1 if a mutant survived.
    """
    survived = 0
    for fault in mutants.MUTANTS:
        is_named = not names or any(name in fault.name for name in names)
        if fault.name not in MUTANTS or not is_named:
            continue
        state = run(MUTANTS[fault.name], fault)
        survived += not state.startswith('caught')
        print(f'{fault.name}: {state}', flush=True)
    return 1 if survived else 0
