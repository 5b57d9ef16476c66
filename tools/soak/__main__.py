# SPDX-License-Identifier: Apache-2.0

"""Command line of the soak test: ``python -m tools.soak COMMAND``."""

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
    """Run the system under injected faults."""


@main.command('schedules')
@click.argument('first', type=int)
@click.argument('count', type=int)
def run_schedules(first: int, count: int) -> None:
    """Run random fault schedules on the consensus core, in virtual time."""
    sys.exit(schedules.run(first, count))


@main.command()
@click.option('--seed', type=int, required=True)
@click.option('--minutes', type=float, default=2.0, show_default=True)
@click.option('--sizes', default='', help='YAML file that overrides sizes.')
@click.option('--out', help='Keep all logs in this folder.')
@click.option(
    '--old',
    type=click.Path(exists=True, resolve_path=True),
    help='Checkout of an older build, with its .venv: starts on it, and '
    'rolls through all processes, back, and forward again.',
)
def run(
    seed: int, minutes: float, sizes: str, out: str | None, old: str | None
) -> None:
    """Run one seed on real processes; exits with 1 if a rule was broken."""
    sys.exit(0 if _run_seed(seed, minutes, sizes, out, old or '') else 1)


def _run_seed(
    seed: int,
    minutes: float,
    sizes: str = '',
    out: str | None = None,
    old: str = '',
) -> bool:
    """Run one seed and print the verdict; keep the logs if it failed."""
    run_sizes = yaml.safe_load((HERE / 'sizes.yaml').read_text())
    if sizes:
        run_sizes.update(yaml.safe_load(pathlib.Path(sizes).read_text()))
    pathlib.Path(out or '.').mkdir(parents=True, exist_ok=True)
    folder = tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=out)
    verdict = session.execute(
        seed, minutes * 60, run_sizes, pathlib.Path(folder), old
    )
    click.echo(json.dumps(verdict))
    if not verdict['passed']:
        repeat_command = (
            f'python -m tools.soak run --seed {seed} --minutes {minutes}'
        )
        repeat_command += f' --sizes {sizes}' if sizes else ''
        repeat_command += f' --old {old}' if old else ''
        click.echo(
            f'FAILED; logs in {folder}; repeat: {repeat_command}', err=True
        )
    elif not out:
        shutil.rmtree(folder)
    return verdict['passed']


@main.command()
def seeds() -> None:
    """Run each seed that has failed before."""
    failed = 0
    for entry in yaml.safe_load((HERE / 'seeds.yaml').read_text()):
        click.echo(f'seed {entry["seed"]}: {entry["cause"]}', err=True)
        sizes = str(HERE / entry['sizes']) if 'sizes' in entry else ''
        failed += not _run_seed(entry['seed'], entry['minutes'], sizes)
    sys.exit(1 if failed else 0)


@main.command('mutants')
@click.argument('names', nargs=-1)
def run_mutants(names: tuple[str, ...]) -> None:
    """Run mutants of the product that the soak test must detect."""
    sys.exit(mutants.main(names))


if __name__ == '__main__':
    main()
