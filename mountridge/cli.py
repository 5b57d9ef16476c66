# SPDX-License-Identifier: Apache-2.0

"""The command line: three daemons, and what operators ask and change."""

import getpass
import json
import pathlib
import sys
import typing

import click
import tabulate
import trio
import yaml

from mountridge import application, clihalls, cliquarantine, cliroutes
from mountridge import clitools, errors
from mountridge import logs, messages
from mountridge.consensus import entries, storage
from mountridge.documents import sheets, tables
from mountridge.net import keys
from mountridge import settings as settings_module, utils
from mountridge.state import members

__all__ = ['main']

CALL_S = 10.0
PROBE_S = 0.5

SETTINGS = click.argument('settings_file', type=click.Path())
OPERATOR = click.option(
    '--settings',
    'settings_file',
    envvar='MOUNTRIDGE_SETTINGS',
    required=True,
    type=click.Path(),
    help='Settings with the controllers and keys.',
)
AS_JSON = click.option('--json', 'as_json', is_flag=True, help='For programs.')


def _load(path: str) -> dict:
    try:
        return settings_module.load(path)
    except errors.MountridgeError as problem:
        clitools.fail(problem)


def _operate(path: str, work: typing.Callable) -> typing.Any:
    """Run ``work(application)`` with connections, and return its result."""
    settings = _load(path)
    settings['name'] = settings['operator_key'] or settings['name']

    async def main() -> typing.Any:
        app = application.Application(settings)
        async with trio.open_nursery() as nursery:
            app.nursery = nursery
            try:
                return await work(app)
            finally:
                nursery.cancel_scope.cancel()
                app.close()

    try:
        return trio.run(main)
    except* errors.MountridgeError as group:
        clitools.fail(_first(group))


def _call_leader(path: str, message: typing.Any) -> typing.Any:
    async def work(app: application.Application) -> typing.Any:
        return await members.Leader(app).call(message, CALL_S)

    return _operate(path, work)


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
@SETTINGS
def gateway(settings_file: str) -> None:
    """Run a gateway on an entry box."""
    from mountridge import gateway as daemon

    _run(daemon.run, settings_file, 'gateway')


@main.command()
@SETTINGS
def agent(settings_file: str) -> None:
    """Run an agent in the slot of a runner box."""
    from mountridge import agent as daemon

    _run(daemon.run, settings_file, 'agent')


@main.command()
@SETTINGS
def entry(settings_file: str) -> None:
    """Run an entry: a gateway by routes, and a controller with a disk."""
    from mountridge import entry as daemon

    _run(
        lambda loaded: daemon.run(loaded, settings_file),
        settings_file,
        'entry',
    )


@main.command()
@SETTINGS
def sidecar(settings_file: str) -> None:
    """Run a sidecar beside a model engine."""
    from mountridge.groups import engines
    from mountridge import sidecar as daemon

    def run(loaded: dict) -> None:
        daemon.run(loaded, engines.connect)

    _run(run, settings_file, 'sidecar')


@main.command()
@SETTINGS
def controller(settings_file: str) -> None:
    """Run a controller on a box with a disk."""
    from mountridge import controller as daemon

    _run(daemon.run, settings_file, 'controller')


def _run(run: typing.Callable, path: str, role: str) -> None:
    loaded = _load(path)
    if loaded['role'] != role:
        clitools.fail(errors.BadSettings(f'role: expected {role}'))
    logs.open_log(loaded)
    try:
        run(loaded)
    except* errors.MountridgeError as group:
        clitools.fail(_first(group))


def _first(group: BaseExceptionGroup) -> errors.MountridgeError:
    """Return the first of our own errors in a group."""
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found


@main.group()
def table() -> None:
    """Read, review and change the table of weights and limits."""


def _read_file(path: str) -> list[tables.Row]:
    try:
        return sheets.read_sheet(pathlib.Path(path).read_text())
    except errors.MountridgeError as problem:
        clitools.fail(problem)
    except (OSError, UnicodeDecodeError) as problem:
        clitools.fail(errors.BadSheet(f'{path}: {problem}'))


@table.command()
@OPERATOR
def get(settings_file: str) -> None:
    """Write the table as a sheet (CSV) to standard output.

    The version goes to standard error: give it to `table put --base`.
    """
    reply = _call_leader(settings_file, messages.Table())
    rows = [tables.Row(**row) for row in reply.rows]
    click.echo(sheets.write_sheet(rows), nl=False)
    click.echo(f'version {reply.version}', err=True)


@table.command()
@click.argument('sheet', type=click.Path())
def check(sheet: str) -> None:
    """Check a sheet without sending it."""
    click.echo(f'{len(_read_file(sheet))} rows, no errors')


@table.command()
@OPERATOR
@click.argument('sheet', type=click.Path())
def diff(settings_file: str, sheet: str) -> None:
    """Show, row by row, what a sheet would change."""
    new = _read_file(sheet)
    reply = _call_leader(settings_file, messages.Table())
    old = [tables.Row(**row) for row in reply.rows]
    lines = tables.diff_rows(old, new)
    click.echo('\n'.join(lines) if lines else 'no changes')


async def _wait_in_force(leader: members.Leader, index: int) -> None:
    while True:
        reply = await leader.call(messages.Table(), CALL_S)
        if reply.in_force_index >= index:
            return
        await trio.sleep(0.05)


@table.command()
@OPERATOR
@AS_JSON
@click.option('--base', type=int, required=True, help='Version edited.')
@click.option('--operation', default='', help='Id; the same on a resend.')
@click.option('--wait', is_flag=True, help='Wait until it is in force.')
@click.argument('sheet', type=click.Path())
def put(
    settings_file: str,
    as_json: bool,
    base: int,
    operation: str,
    wait: bool,
    sheet: str,
) -> None:
    """Replace the table by a sheet, if the base version still holds."""
    rows = _read_file(sheet)
    message = messages.Put(
        operation or utils.fresh_id(),
        base,
        getpass.getuser(),
        [tables.to_cells(row) for row in rows],
    )
    click.echo(f'operation {message.operation_id}', err=True)

    async def work(app: application.Application) -> messages.PutReply:
        leader = members.Leader(app)
        reply = await leader.call(message, CALL_S)
        if wait and reply.accepted:
            await _wait_in_force(leader, reply.index)
        return reply

    reply = _operate(settings_file, work)
    if as_json:
        click.echo(json.dumps(reply._asdict()))
    elif reply.accepted:
        state = 'in force' if wait else 'accepted'
        click.echo(f'version {reply.version} {state}')
    else:
        click.echo(f'refused: the table is at version {reply.version}')
        click.echo('\n'.join(reply.diff))
    if not reply.accepted:
        sys.exit(clitools.EXIT_REFUSED)


@table.command('log')
@OPERATOR
@AS_JSON
def table_log(settings_file: str, as_json: bool) -> None:
    """Show who made which version, when, and whether it is in force."""
    reply = _call_leader(settings_file, messages.Table())
    listed = [
        {
            'version': version,
            'who': who,
            'at_s': at_s,
            'in_force': index <= reply.in_force_index,
        }
        for version, index, who, at_s in reply.log
    ]
    if as_json:
        click.echo(json.dumps(listed))
        return
    click.echo(tabulate.tabulate(listed, headers='keys'))
    if reply.waiting_for:
        click.echo('not yet in force at: ' + ', '.join(reply.waiting_for))


def _address(loaded: dict, address: str) -> str:
    return loaded['controllers'].get(address, address)


def _call_process(
    path: str, name: str, address: str, message: typing.Any
) -> typing.Any:
    async def work(app: application.Application) -> typing.Any:
        where = _address(app.settings, address)
        return await app.connect(where, name).call(message, CALL_S)

    return _operate(path, work)


@main.command()
@OPERATOR
@click.argument('name')
@click.argument('address')
def dump(settings_file: str, name: str, address: str) -> None:
    """Show the state of the process NAME at ADDRESS (tcp://IP:PORT)."""
    reply = _call_process(settings_file, name, address, messages.Dump())
    click.echo(json.dumps(reply.state, indent=2, default=str))


@main.command()
@OPERATOR
@AS_JSON
@click.option('--count', default=20, help='Most records of each process.')
@click.argument('request_id', default='')
def ask(
    settings_file: str, as_json: bool, count: int, request_id: str
) -> None:
    """Show the decisions about a request, or the newest, with reasons."""

    async def work(app: application.Application) -> list[dict]:
        state = await members.Leader(app).call(messages.Members(), CALL_S)
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

    records = _operate(settings_file, work)
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
@OPERATOR
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
@SETTINGS
def settings_check(settings_file: str) -> None:
    """Check a settings file; every error at once, with its path."""
    _load(settings_file)
    click.echo('no errors')


@settings.command('show')
@SETTINGS
def settings_show(settings_file: str) -> None:
    """Show the settings with all defaults."""
    click.echo(yaml.safe_dump(_load(settings_file), sort_keys=False))


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


@main.group('storage')
def storage_group() -> None:
    """Data folders of controllers."""


@storage_group.command('init')
@SETTINGS
def storage_init(settings_file: str) -> None:
    """Make the data folder of one of the first controllers.

    Only for a new system. A controller that lost its disk is started with
    an empty folder instead, and added with `controllers add`.
    """
    loaded = _load(settings_file)
    names = loaded['controllers']
    _refuse_if_running(
        settings_file, [n for n in names if n != loaded['name']]
    )
    voters = {f'{name}.0': address for name, address in names.items()}
    try:
        storage.initialize(
            loaded['controller']['data'],
            f'{loaded["name"]}.0',
            entries.Config(voters, {}),
        )
    except errors.MountridgeError as problem:
        clitools.fail(problem)
    click.echo(f'{loaded["name"]}.0 is ready')


def _refuse_if_running(path: str, names: list[str]) -> None:
    """Refuse where another controller runs, unless it has never voted."""

    async def work(app: application.Application) -> None:
        for name in names:
            address = app.settings['controllers'][name]
            if not await _listens(address):
                continue
            question = messages.Admin('status', '', '')
            caller = app.connect(address, name)
            try:
                reply = await caller.call(question, PROBE_S)
            except errors.NoController:
                raise errors.RefusedChange(f'{name} runs, and refuses us')
            if reply.done:
                raise errors.RefusedChange(f'{name} knows a running system')

    _operate(path, work)


async def _listens(address: str) -> bool:
    host, _, port = address.removeprefix('tcp://').rpartition(':')
    try:
        with trio.fail_after(PROBE_S):
            stream = await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError):
        return False
    await stream.aclose()
    return True


@storage_group.command('check')
@click.argument('folder', type=click.Path())
def storage_check(folder: str) -> None:
    """Check all of a data folder without changing it."""
    try:
        click.echo(storage.check(folder))
    except (errors.MountridgeError, OSError) as problem:
        if isinstance(problem, OSError):
            problem = errors.DamagedStorage(str(problem))
        clitools.fail(problem)


@main.group()
def controllers() -> None:
    """See, add, replace and remove controllers, one at a time."""


def _admin(path: str, action: str, name: str = '', address: str = '') -> None:
    reply = _call_leader(path, messages.Admin(action, name, address))
    click.echo(reply.text)


@controllers.command('status')
@OPERATOR
def controllers_status(settings_file: str) -> None:
    """Show the controllers, who leads, and how far each one is."""
    _admin(settings_file, 'show')


@controllers.command('add')
@OPERATOR
@click.argument('name')
@click.argument('address')
def controllers_add(settings_file: str, name: str, address: str) -> None:
    """Add the controller NAME at ADDRESS as a learner; prints its id."""
    _admin(settings_file, 'add', name, address)


@controllers.command('promote')
@OPERATOR
@click.argument('controller_id')
def controllers_promote(settings_file: str, controller_id: str) -> None:
    """Make a learner that has caught up a voter."""
    _admin(settings_file, 'promote', controller_id)


@controllers.command('remove')
@OPERATOR
@click.argument('controller_id')
def controllers_remove(settings_file: str, controller_id: str) -> None:
    """Remove a controller by its id."""
    _admin(settings_file, 'remove', controller_id)


@controllers.command('transfer')
@OPERATOR
@click.argument('controller_id', default='')
def controllers_transfer(settings_file: str, controller_id: str) -> None:
    """Hand leadership to a voter, by default to the best one."""
    _admin(settings_file, 'transfer', controller_id)


main.add_command(cliroutes.group)
main.add_command(clihalls.group)
main.add_command(cliquarantine.group)
