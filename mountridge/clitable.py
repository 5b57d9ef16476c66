# SPDX-License-Identifier: Apache-2.0

"""Commands to read, compare and replace the table of weights and limits."""

import getpass
import json
import pathlib
import sys

import click
import tabulate
import trio

from mountridge import application, clitools, errors, messages, utils
from mountridge.documents import sheets, tables
from mountridge.state import members

__all__ = ['group']


@click.group('table')
def group() -> None:
    """Read, compare and replace the table of weights and limits."""


def _read_rows(path: str) -> list[tables.Row]:
    try:
        return sheets.read_sheet(pathlib.Path(path).read_text())
    except errors.MountridgeError as problem:
        clitools.fail(problem)
    except (OSError, UnicodeDecodeError) as problem:
        clitools.fail(errors.BadSheet(f'{path}: {problem}'))


@group.command()
@clitools.SETTINGS_OPTION
def get(settings_file: str) -> None:
    """Write the table as a sheet (CSV) to standard output.

    The version goes to standard error; pass it to `table put --base`.
    """
    reply = clitools.call_leader(settings_file, messages.ReadTable())
    rows = [tables.Row(**row) for row in reply.rows]
    click.echo(sheets.write_sheet(rows), nl=False)
    click.echo(f'version {reply.version}', err=True)


@group.command()
@click.argument('sheet', type=click.Path())
def check(sheet: str) -> None:
    """Check a sheet without sending it."""
    click.echo(f'{len(_read_rows(sheet))} rows, no errors')


@group.command()
@clitools.SETTINGS_OPTION
@click.argument('sheet', type=click.Path())
def diff(settings_file: str, sheet: str) -> None:
    """Show the rows that a sheet would add, remove or change."""
    new = _read_rows(sheet)
    reply = clitools.call_leader(settings_file, messages.ReadTable())
    old = [tables.Row(**row) for row in reply.rows]
    lines = tables.diff_rows(old, new)
    click.echo('\n'.join(lines) if lines else 'no changes')


async def _wait_in_force(leader: members.LeaderClient, index: int) -> None:
    while True:
        reply = await leader.call(
            messages.ReadTable(), clitools.CALL_TIMEOUT_S
        )
        if reply.in_force_index >= index:
            return
        await trio.sleep(0.05)


@group.command()
@clitools.SETTINGS_OPTION
@clitools.JSON_OPTION
@click.option(
    '--base',
    type=int,
    required=True,
    help='Version that the sheet is an edit of.',
)
@click.option(
    '--operation',
    default='',
    help='Id of the put, to repeat on a retry; else a new one.',
)
@click.option(
    '--wait', is_flag=True, help='Wait until it is in force everywhere.'
)
@click.argument('sheet', type=click.Path())
def put(
    settings_file: str,
    as_json: bool,
    base: int,
    operation: str,
    wait: bool,
    sheet: str,
) -> None:
    """Replace the table by a sheet, if it is still at the base version.

    Otherwise refused, with the rows that differ. Prints the operation id on
    standard error. To retry a put that was not answered, pass this id: it
    is then applied once, and each retry gets the same answer.
    """
    rows = _read_rows(sheet)
    message = messages.PutTable(
        operation or utils.fresh_id(),
        base,
        getpass.getuser(),
        [tables.to_cells(row) for row in rows],
    )
    click.echo(f'operation {message.operation_id}', err=True)

    async def work(app: application.Application) -> messages.PutTableReply:
        leader = members.LeaderClient(app)
        reply = await leader.call(message, clitools.CALL_TIMEOUT_S)
        if wait and reply.accepted:
            await _wait_in_force(leader, reply.index)
        return reply

    reply = clitools.run_as_operator(settings_file, work)
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


@group.command('log')
@clitools.SETTINGS_OPTION
@clitools.JSON_OPTION
def table_log(settings_file: str, as_json: bool) -> None:
    """Show the versions: who put each, when, and whether it is in force.

    Times are in seconds since the epoch. Without --json, also names the
    processes that may still act on an older version.
    """
    reply = clitools.call_leader(settings_file, messages.ReadTable())
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
