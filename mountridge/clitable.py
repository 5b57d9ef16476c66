# SPDX-License-Identifier: Apache-2.0

"""Commands on the table of weights and limits."""

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
    """Read, review and change the table of weights and limits."""


def _read_file(path: str) -> list[tables.Row]:
    try:
        return sheets.read_sheet(pathlib.Path(path).read_text())
    except errors.MountridgeError as problem:
        clitools.fail(problem)
    except (OSError, UnicodeDecodeError) as problem:
        clitools.fail(errors.BadSheet(f'{path}: {problem}'))


@group.command()
@clitools.OPERATOR
def get(settings_file: str) -> None:
    """Write the table as a sheet (CSV) to standard output.

    The version goes to standard error: give it to `table put --base`.
    """
    reply = clitools.call_leader(settings_file, messages.Table())
    rows = [tables.Row(**row) for row in reply.rows]
    click.echo(sheets.write_sheet(rows), nl=False)
    click.echo(f'version {reply.version}', err=True)


@group.command()
@click.argument('sheet', type=click.Path())
def check(sheet: str) -> None:
    """Check a sheet without sending it."""
    click.echo(f'{len(_read_file(sheet))} rows, no errors')


@group.command()
@clitools.OPERATOR
@click.argument('sheet', type=click.Path())
def diff(settings_file: str, sheet: str) -> None:
    """Show, row by row, what a sheet would change."""
    new = _read_file(sheet)
    reply = clitools.call_leader(settings_file, messages.Table())
    old = [tables.Row(**row) for row in reply.rows]
    lines = tables.diff_rows(old, new)
    click.echo('\n'.join(lines) if lines else 'no changes')


async def _wait_in_force(leader: members.LeaderClient, index: int) -> None:
    while True:
        reply = await leader.call(messages.Table(), clitools.CALL_S)
        if reply.in_force_index >= index:
            return
        await trio.sleep(0.05)


@group.command()
@clitools.OPERATOR
@clitools.AS_JSON
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
        leader = members.LeaderClient(app)
        reply = await leader.call(message, clitools.CALL_S)
        if wait and reply.accepted:
            await _wait_in_force(leader, reply.index)
        return reply

    reply = clitools.operate(settings_file, work)
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
@clitools.OPERATOR
@clitools.AS_JSON
def table_log(settings_file: str, as_json: bool) -> None:
    """Show who made which version, when, and whether it is in force."""
    reply = clitools.call_leader(settings_file, messages.Table())
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
