# SPDX-License-Identifier: Apache-2.0

"""The command line: starts the daemons, and runs operators' commands."""

import json
import typing

import click
import trio
import yaml

from mountridge import application, builds, clicontrollers, clihalls
from mountridge import cliquarantine, cliroutes, clistorage, clitable
from mountridge import clitools, errors, logs, messages, records
from mountridge.net import keys
from mountridge.state import members

__all__ = ['main']


@click.group()
@click.version_option(package_name='mountridge')
def main() -> None:
    """Balance load over expert-parallel model groups.

    Daemons: gateway (entry boxes), agent (runner boxes) and controller
    (boxes with a disk); or entry (entry boxes) and sidecar (runner boxes).
    Operators: edit the table with `table`, list the decisions about a
    request with `ask`, show the state of a process with `dump`. Start with
    docs/QUICKSTART.md.

    Exit codes: 0 done, 1 refused or invalid, 2 wrong usage, 3 no answer in
    time (a change may have been applied, or not).
    """


@main.command()
@clitools.SETTINGS_ARGUMENT
def gateway(settings_file: str) -> None:
    """Run a gateway on an entry box."""
    from mountridge import gateway as daemon

    _run_daemon(daemon.run, settings_file, 'gateway')


@main.command()
@clitools.SETTINGS_ARGUMENT
def agent(settings_file: str) -> None:
    """Run an agent in front of the runner on its box."""
    from mountridge import agent as daemon

    _run_daemon(daemon.run, settings_file, 'agent')


@main.command()
@clitools.SETTINGS_ARGUMENT
def entry(settings_file: str) -> None:
    """Run an entry, with a controller on a box with a disk."""
    from mountridge import entry as daemon

    _run_daemon(
        lambda loaded: daemon.run(loaded, settings_file),
        settings_file,
        'entry',
    )


@main.command()
@clitools.SETTINGS_ARGUMENT
def sidecar(settings_file: str) -> None:
    """Run a sidecar beside a model engine."""
    from mountridge.groups import engines
    from mountridge import sidecar as daemon

    def run(loaded: dict) -> None:
        daemon.run(loaded, settings_file, engines.connect)

    _run_daemon(run, settings_file, 'sidecar')


@main.command()
@clitools.SETTINGS_ARGUMENT
def controller(settings_file: str) -> None:
    """Run a controller on a box with a disk."""
    from mountridge import controller as daemon

    _run_daemon(daemon.run, settings_file, 'controller')


def _run_daemon(run: typing.Callable, path: str, role: str) -> None:
    loaded = clitools.load_settings(path)
    if loaded['role'] != role:
        clitools.fail(errors.BadSettings(f'role: expected {role}'))
    logs.open_log(loaded)
    try:
        run(loaded)
    except* errors.MountridgeError as group:
        clitools.fail(clitools.first_error(group))


@main.command()
def version() -> None:
    """Print the build and format level of this program.

    The build identifies the installed source files; `dump` prints that of a
    running process.
    """
    click.echo(
        f'build {builds.build_name()}, format level {records.FORMAT_LEVEL}'
    )


def _resolve_address(loaded: dict, address: str) -> str:
    return loaded['controllers'].get(address, address)


def _call_process(
    path: str, name: str, address: str, message: typing.Any
) -> typing.Any:
    async def work(app: application.Application) -> typing.Any:
        resolved = _resolve_address(app.settings, address)
        return await app.connect(resolved, name).call(
            message, clitools.CALL_TIMEOUT_S
        )

    return clitools.run_as_operator(path, work)


@main.command()
@clitools.SETTINGS_OPTION
@click.argument('name')
@click.argument('address')
def dump(settings_file: str, name: str, address: str) -> None:
    """Print the state of a process as JSON.

    NAME is the name in its settings, ADDRESS the name of a controller or
    tcp://IP:PORT.
    """
    reply = _call_process(settings_file, name, address, messages.Dump())
    click.echo(json.dumps(reply.state, indent=2, default=str))


@main.command()
@clitools.SETTINGS_OPTION
@clitools.JSON_OPTION
@click.option(
    '--count', default=20, help='Maximum records per process; 0 for all.'
)
@click.argument('request_id', default='')
def ask(
    settings_file: str, as_json: bool, count: int, request_id: str
) -> None:
    """Show decisions about a request, with reasons.

    Without REQUEST_ID, shows the newest decisions. Asks all gateways and
    agents, and names on standard error those that do not answer within 2 s.
    Each keeps only its newest records, in memory.
    """

    async def work(app: application.Application) -> list[dict]:
        listed = await members.LeaderClient(app).call(
            messages.ReadMembers(), clitools.CALL_TIMEOUT_S
        )
        found: list[dict] = []

        async def ask_member(member) -> None:
            try:
                connection = app.connect(member['address'], member['name'])
                question = messages.ReadDecisions(request_id, count)
                reply = await connection.call(question, 2.0)
                found.extend(reply.records)
            except errors.NoController:
                click.echo(f'{member["name"]} did not answer', err=True)

        async with trio.open_nursery() as nursery:
            for member in listed.members:
                nursery.start_soon(ask_member, member)
        return sorted(found, key=lambda record: record['at_s'])

    records = clitools.run_as_operator(settings_file, work)
    if as_json:
        click.echo(json.dumps(records))
        return
    for record in records:
        click.echo(_format_record(record))
    if not records:
        click.echo('no record: unknown, or older than what is kept')


def _format_record(record: dict) -> str:
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
@clitools.SETTINGS_OPTION
@click.argument('name')
@click.argument('address')
def stop(settings_file: str, name: str, address: str) -> None:
    """Begin a planned stop of a process.

    The process drains and then exits; the command does not wait for that.
    Repeating it changes nothing. NAME is the name in its settings, ADDRESS
    the name of a controller or tcp://IP:PORT.
    """
    _call_process(settings_file, name, address, messages.Stop())
    click.echo(f'{name} is stopping')


@main.group()
def settings() -> None:
    """Check and show settings files."""


@settings.command('check')
@clitools.SETTINGS_ARGUMENT
def settings_check(settings_file: str) -> None:
    """Check a settings file and list all errors, with their paths."""
    clitools.load_settings(settings_file)
    click.echo('no errors')


@settings.command('show')
@clitools.SETTINGS_ARGUMENT
def settings_show(settings_file: str) -> None:
    """Show the settings of a file, with defaults filled in."""
    click.echo(
        yaml.safe_dump(clitools.load_settings(settings_file), sort_keys=False)
    )


@main.group('keys')
def keys_group() -> None:
    """Make the keys of the processes."""


@keys_group.command('make')
@click.argument('folder', type=click.Path())
@click.argument('names', nargs=-1, required=True)
def keys_make(folder: str, names: tuple[str, ...]) -> None:
    """Make a key pair in FOLDER for each of NAMES.

    Prints the names of the new files: NAME.key (public) and
    NAME.key_secret. Never overwrites a key: if any of the names has one,
    that is an error and no key is made.
    """
    try:
        for path in keys.create_key_pairs(folder, list(names)):
            click.echo(path.name)
    except errors.MountridgeError as problem:
        clitools.fail(problem)


for module in (
    clitable,
    clistorage,
    clicontrollers,
    cliroutes,
    clihalls,
    cliquarantine,
):
    main.add_command(module.group)
