# SPDX-License-Identifier: Apache-2.0

"""The commands of the soak: ``python -m tools.soak COMMAND``."""

import json
import pathlib
import shutil
import sys
import tempfile

import click
import yaml

from tools.soak import mutants, schedules, session

HERE = pathlib.Path(__file__).parent


@click.group()
def main() -> None:
    """Soak the system with faults."""


@main.command('schedules')
@click.argument('first', type=int)
@click.argument('count', type=int)
def play_schedules(first: int, count: int) -> None:
    """Run random schedules over the consensus core, in virtual time."""
    sys.exit(schedules.run(first, count))


@main.command()
@click.option('--seed', type=int, required=True)
@click.option('--minutes', type=float, default=2.0, show_default=True)
@click.option('--sizes', default='', help='YAML that replaces sizes.')
@click.option('--out', help='Keep all logs below this folder.')
def run(seed: int, minutes: float, sizes: str, out: str | None) -> None:
    """Play one seed on real processes; exits 1 if a rule was broken."""
    sys.exit(0 if _play(seed, minutes, sizes, out) else 1)


def _play(
    seed: int, minutes: float, sizes: str = '', out: str | None = None
) -> bool:
    """Play a run, print its verdict; keep the logs of one that failed."""
    chosen = yaml.safe_load((HERE / 'sizes.yaml').read_text())
    if sizes:
        chosen.update(yaml.safe_load(pathlib.Path(sizes).read_text()))
    pathlib.Path(out or '.').mkdir(parents=True, exist_ok=True)
    folder = tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=out)
    verdict = session.play(seed, minutes * 60, chosen, pathlib.Path(folder))
    click.echo(json.dumps(verdict))
    if not verdict['passed']:
        again = f'python -m tools.soak run --seed {seed} --minutes {minutes}'
        again += f' --sizes {sizes}' if sizes else ''
        click.echo(f'FAILED; logs in {folder}; again: {again}', err=True)
    elif not out:
        shutil.rmtree(folder)
    return verdict['passed']


@main.command()
def seeds() -> None:
    """Play each seed that failed once."""
    failed = 0
    for kept in yaml.safe_load((HERE / 'seeds.yaml').read_text()):
        click.echo(f'seed {kept["seed"]}: {kept["cause"]}', err=True)
        sizes = str(HERE / kept['sizes']) if 'sizes' in kept else ''
        failed += not _play(kept['seed'], kept['minutes'], sizes)
    sys.exit(1 if failed else 0)


@main.command('mutants')
@click.argument('names', nargs=-1)
def play_mutants(names: tuple[str, ...]) -> None:
    """Put faults into copies of the product that the soak must find."""
    sys.exit(mutants.main(names))


if __name__ == '__main__':
    main()
