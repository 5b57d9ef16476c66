# SPDX-License-Identifier: Apache-2.0

"""Builds with a fault put in, which a run of the soak must find."""

import json
import pathlib
import subprocess
import sys
import tempfile

from tools import mutants

__all__ = ['MUTANTS', 'main']

#: Seeds that are played until one finds the fault, and for how long.
SEEDS, MINUTES = (1, 2, 3), '1'

#: The rule that must show it, and the fault: a name, a module, old, new.
MUTANTS = (
    ('at most one run', 'what may not be repeated is', 'forwarding',
     'if problem.outcome != errors.NOT_RUN and not route.repeatable:',
     'if False:'),
    ('not run is true', 'what ran is called not run', 'forwarding',
     'if exchange.may_have_run and problem.outcome == errors.NOT_RUN:',
     'if False:'),
    ('whole and right answers', 'cut streams look whole', 'lasthop',
     "raise errors.BadAnswer('the connection ended')", 'return'),
    ('acknowledged routes are kept', 'lower versions of routes',
     'statemachine', 'if command.version > machine.routes_version:',
     'if True:'),
    ('one map a pass', 'maps go before all are armed', 'mapchanges',
     'return Phase.ARMING if self._unarmed else Phase.STARTING',
     'return Phase.STARTING'),
    ('repeated sends in budget', 'no budget of repeated sends', 'budgets',
     'if len(repeated) + 1 > most:', 'if False:'),
    ('planned stops cut nothing', 'stops wait for nothing', 'entry',
     'while self.front.open_requests and self.app.now_s() < until_s:',
     'while False:'),
)  # fmt: skip


def _play(seed: int, place: pathlib.Path) -> dict[str, int]:
    """Return the rules that a run of the copied tree broke."""
    command = [sys.executable, '-m', 'tools.soak', 'run', '--out', 'kept']
    command += ['--seed', str(seed), '--minutes', MINUTES]
    env = {'PYTHONPATH': str(place), 'PATH': '/usr/bin:/bin'}
    done = subprocess.run(
        command, cwd=place, env=env, capture_output=True, text=True
    )
    if not done.stdout:
        raise RuntimeError(done.stderr[-2000:])
    return json.loads(done.stdout)['broken']


def run(rule: str, fault: mutants.Mutant) -> str:
    """Return what became of a mutant."""
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder) / 'tree'
        times = mutants.copy_with(fault, place)
        if times != 1:
            return f'stands {times} times'
        for seed in SEEDS:
            broken = _play(seed, place)
            if rule in broken:
                return f'caught by seed {seed}: {broken}'
    return 'LIVES'


def main(names: tuple[str, ...]) -> int:
    """Run all, or those whose name holds one of these; 1 if one lives."""
    living = 0
    for rule, *fault in MUTANTS:
        if names and not any(name in fault[0] for name in names):
            continue
        state = run(rule, mutants.Mutant(*fault, feature=''))
        living += not state.startswith('caught')
        print(f'{fault[0]}: {state}', flush=True)
    return 1 if living else 0
