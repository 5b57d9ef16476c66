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

#: Seeds played until one finds the fault.
SEEDS = (1, 2, 3)
MINUTES = 1.0
TIMEOUT_S = 240


class SoakMutant(typing.NamedTuple):
    """A fault put in, and the rule that must show it."""

    rule: str
    fault: mutants.Mutant


def _mutant(rule: str, name: str, module: str, old: str, new: str):
    return SoakMutant(rule, mutants.Mutant(name, module, old, new, ''))


MUTANTS = (
    _mutant(
        'at most one run', 'what may not be repeated is', 'forwarding',
        'if problem.outcome != errors.NOT_RUN and not route.repeatable:',
        'if False:',
    ),
    _mutant(
        'not run is true', 'what ran is called not run', 'forwarding',
        'if exchange.may_have_run and problem.outcome == errors.NOT_RUN:',
        'if False:',
    ),
    _mutant(
        'whole and right answers', 'cut streams look whole', 'lasthop',
        "raise errors.BadAnswer('the connection ended')", 'return',
    ),
    _mutant(
        'acknowledged routes are kept', 'a lower version of routes',
        'statemachine', 'if command.version > machine.routes_version:',
        'if True:',
    ),
    _mutant(
        'one map a pass', 'maps: go before all are armed', 'mapchanges',
        'return Phase.ARMING if self._unarmed else Phase.STARTING',
        'return Phase.STARTING',
    ),
    _mutant(
        'repeated sends in budget', 'no budget of repeated sends', 'budgets',
        'if len(repeated) + 1 > most:', 'if False:',
    ),
    _mutant(
        'planned stops cut nothing', 'stops wait for nothing', 'entry',
        'while self.front.open_requests and self.app.now_s() < until_s:',
        'while False:',
    ),
)  # fmt: skip


def _play(seed: int, place: pathlib.Path) -> dict[str, int]:
    """Return the rules that a run of the copied tree broke."""
    command = [sys.executable, '-m', 'tools.soak', 'run']
    command += ['--seed', str(seed), '--minutes', str(MINUTES)]
    command += ['--out', str(place / 'kept')]
    done = subprocess.run(
        command,
        cwd=place,
        env={'PYTHONPATH': str(place), 'PATH': '/usr/bin:/bin'},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    try:
        return json.loads(done.stdout)['broken']
    except ValueError:
        raise RuntimeError(done.stderr[-2000:])


def run(mutant: SoakMutant) -> str:
    """Return what became of a mutant."""
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder) / 'tree'
        times = mutants.copy_with(mutant.fault, place)
        if times != 1:
            return f'stands {times} times'
        told = []
        for seed in SEEDS:
            broken = _play(seed, place)
            if mutant.rule in broken:
                return f'caught by seed {seed}: {broken}'
            told.append(broken)
    return f'LIVES: {told}'


def main(names: tuple[str, ...]) -> int:
    """Run all, or those whose name holds one of these; 1 if one lives."""
    chosen = [
        m
        for m in MUTANTS
        if not names or any(name in m.fault.name for name in names)
    ]
    living = 0
    for mutant in chosen:
        state = run(mutant)
        living += not state.startswith('caught')
        print(f'{mutant.fault.name}: {state}', flush=True)
    print(f'{len(chosen) - living} of {len(chosen)} caught')
    return 1 if living else 0
