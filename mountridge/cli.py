# SPDX-License-Identifier: Apache-2.0

"""The command line: three daemons, and what operators ask and change."""

import json
import typing

import click
import trio
import yaml

from mountridge import application, clicontrollers, clihalls, cliquarantine
from mountridge import cliroutes, clistorage, clitable, clitools, errors
from mountridge import logs, messages
from mountridge.net import keys
from mountridge.state import members

__all__ = ['main']


@click.group()
@click.version_option(package_name='mountridge')
def main() -> None:
    """Balance load over expert-parallel model groups.

    Daemons: gateway (entry boxes), agent (runner boxes), controller (boxes
    with a disk). Operators: edit the table with `table`, ask why with
    `ask`, look inside a process with `dump`. Start with docs/QUICKSTART.md.

    Exit codes: 0 done, 1 refused, 2 wrong usage, 3 not reached.
    """


@main.command()
@clitools.SETTINGS
def gateway(settings_file: str) -> None:
    """Run a gateway on an entry box."""
    from mountridge import gateway as daemon

    _run(daemon.run, settings_file, 'gateway')


@main.command()
@clitools.SETTINGS
def agent(settings_file: str) -> None:
    """Run an agent in the slot of a runner box."""
    from mountridge import agent as daemon

    _run(daemon.run, settings_file, 'agent')


@main.command()
@clitools.SETTINGS
def entry(settings_file: str) -> None:
    """Run an entry: a gateway by routes, and a controller with a disk."""
    from mountridge import entry as daemon

    _run(
        lambda loaded: daemon.run(loaded, settings_file),
        settings_file,
        'entry',
    )


@main.command()
@clitools.SETTINGS
def sidecar(settings_file: str) -> None:
    """Run a sidecar beside a model engine."""
    from mountridge.groups import engines
    from mountridge import sidecar as daemon

    def run(loaded: dict) -> None:
        daemon.run(loaded, engines.connect)

    _run(run, settings_file, 'sidecar')


@main.command()
@clitools.SETTINGS
def controller(settings_file: str) -> None:
    """Run a controller on a box with a disk."""
    from mountridge import controller as daemon

    _run(daemon.run, settings_file, 'controller')


def _run(run: typing.Callable, path: str, role: str) -> None:
    loaded = clitools.load(path)
    if loaded['role'] != role:
        clitools.fail(errors.BadSettings(f'role: expected {role}'))
    logs.open_log(loaded)
    try:
        run(loaded)
    except* errors.MountridgeError as group:
        clitools.fail(clitools.first(group))


def _address(loaded: dict, address: str) -> str:
    return loaded['controllers'].get(address, address)


def _call_process(
    path: str, name: str, address: str, message: typing.Any
) -> typing.Any:
    async def work(app: application.Application) -> typing.Any:
        where = _address(app.settings, address)
        return await app.connect(where, name).call(message, clitools.CALL_S)

    return clitools.operate(path, work)


@main.command()
@clitools.OPERATOR
@click.argument('name')
@click.argument('address')
def dump(settings_file: str, name: str, address: str) -> None:
    """Show the state of the process NAME at ADDRESS (tcp://IP:PORT)."""
    reply = _call_process(settings_file, name, address, messages.Dump())
    click.echo(json.dumps(reply.state, indent=2, default=str))


@main.command()
@clitools.OPERATOR
@clitools.AS_JSON
@click.option('--count', default=20, help='Most records of each process.')
@click.argument('request_id', default='')
def ask(
    settings_file: str, as_json: bool, count: int, request_id: str
) -> None:
    """Show the decisions about a request, or the newest, with reasons."""

    async def work(app: application.Application) -> list[dict]:
        state = await members.LeaderClient(app).call(
            messages.Members(), clitools.CALL_S
        )
        found: list[dict] = []

        async def one(member) -> None:
            try:
                caller = app.connect(member['address'], member['name'])
                question = messages.Ask(request_id, count)
                reply = await caller.call(question, 2.0)
                found.extend(reply.records)
            except errors.NoController:
                click.echo(f'{member["name"]} did not answer', err=True)

        async with trio.open_nursery() as nursery:
            for member in state.members:
                nursery.start_soon(one, member)
        return sorted(found, key=lambda record: record['at_s'])

    records = clitools.operate(settings_file, work)
    if as_json:
        click.echo(json.dumps(records))
        return
    for record in records:
        click.echo(_describe(record))
    if not records:
        click.echo('no record: unknown, or older than what is kept')


def _describe(record: dict) -> str:
    row = f' row {record["row"]}' if record['row'] else ''
    if record['table_version']:
        row += f' (table {record["table_version"]})'
    code = f' [{record["code"]}]' if record['code'] else ''
    return (
        f'{record["at_s"]:.3f} {record["request_id"]} {record["by"]}: '
        f'{record["what"]}{code} {record["team"]}/{record["service"]}'
        f'{row}: {record["reason"]}'
    )


@main.command()
@clitools.OPERATOR
@click.argument('name')
@click.argument('address')
def stop(settings_file: str, name: str, address: str) -> None:
    """Begin a planned stop of the process NAME at ADDRESS."""
    _call_process(settings_file, name, address, messages.Stop())
    click.echo(f'{name} is stopping')


@main.group()
def settings() -> None:
    """Check and show settings."""


@settings.command('check')
@clitools.SETTINGS
def settings_check(settings_file: str) -> None:
    """Check a settings file; every error at once, with its path."""
    clitools.load(settings_file)
    click.echo('no errors')


@settings.command('show')
@clitools.SETTINGS
def settings_show(settings_file: str) -> None:
    """Show the settings with all defaults."""
    click.echo(yaml.safe_dump(clitools.load(settings_file), sort_keys=False))


@main.group('keys')
def keys_group() -> None:
    """Keys of the processes."""


@keys_group.command('make')
@click.argument('folder', type=click.Path())
@click.argument('names', nargs=-1, required=True)
def keys_make(folder: str, names: tuple[str, ...]) -> None:
    """Make a key pair in FOLDER for each of NAMES."""
    try:
        for path in keys.make(folder, list(names)):
            click.echo(path.name)
    except errors.MountridgeError as problem:
        clitools.fail(problem)


for each in (
    clitable,
    clistorage,
    clicontrollers,
    cliroutes,
    clihalls,
    cliquarantine,
):
    main.add_command(each.group)
