# SPDX-License-Identifier: Apache-2.0

"""Builds with a fault put in, which a run of the soak must find."""

import json
import pathlib
import subprocess
import sys
import tempfile
import typing

from tools import mutants

__all__ = ['MUTANTS', 'main']

#: Seeds that are played until one finds the fault, and for how long.
SEEDS, MINUTES = (1, 2, 3), '1'


class Shown(typing.NamedTuple):
    """The rule that must show a mutant, and the sizes that bring it about."""

    rule: str
    sizes: str = ''


#: Sizes with runners that tell what they want, and one that is ended.
WORDS = 'tools/soak/words.yaml'

MUTANTS = {
    'forwarding: what may not be repeated is': Shown('at most one run'),
    'forwarding: what is under way is called not run': Shown(
        'not run is true'
    ),
    'last hop: cut answers look whole': Shown('whole and right answers'),
    'entry: go before all are armed': Shown('one map a pass'),
    'budgets: no bound': Shown('repeated sends in budget'),
    'entry: a planned stop waits for no answer': Shown(
        'planned stops cut nothing'
    ),
    'rests: none is heard': Shown('rests are kept', WORDS),
    'rests: no word of leaving is heard': Shown(
        'who leaves gets nothing', WORDS
    ),
    'quarantine: no crash is counted': Shown(
        'requests that crash runners are held back', WORDS
    ),
}


def _play(seed: int, place: pathlib.Path, sizes: str) -> dict[str, int]:
    """Return the rules that a run of the copied tree broke."""
    command = [sys.executable, '-m', 'tools.soak', 'run', '--out', 'kept']
    command += ['--seed', str(seed), '--minutes', MINUTES]
    command += ['--sizes', sizes] if sizes else []
    env = {'PYTHONPATH': str(place), 'PATH': '/usr/bin:/bin'}
    done = subprocess.run(
        command, cwd=place, env=env, capture_output=True, text=True
    )
    if not done.stdout:
        raise RuntimeError(done.stderr[-2000:])
    return json.loads(done.stdout)['broken']


def run(shown: Shown, fault: mutants.Mutant) -> str:
    """Return what became of a mutant."""
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder) / 'tree'
        times = mutants.copy_with(fault, place)
        if times != 1:
            return f'stands {times} times'
        for seed in SEEDS:
            broken = _play(seed, place, shown.sizes)
            if shown.rule in broken:
                return f'caught by seed {seed}: {broken}'
    return 'LIVES'


def main(names: tuple[str, ...]) -> int:
    """Run all, or those whose name holds one of these; 1 if one lives."""
    living = 0
    for fault in mutants.MUTANTS:
        is_named = not names or any(name in fault.name for name in names)
        if fault.name not in MUTANTS or not is_named:
            continue
        state = run(MUTANTS[fault.name], fault)
        living += not state.startswith('caught')
        print(f'{fault.name}: {state}', flush=True)
    return 1 if living else 0
