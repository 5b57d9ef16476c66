# SPDX-License-Identifier: Apache-2.0

"""Commands to list, drain and restore halls."""

import datetime
import json

import click
import tabulate

from mountridge import clitools
from mountridge.documents import halls
from mountridge.routing import entryapi

__all__ = ['group']

HALL = click.argument('name')


@click.group('halls')
def group() -> None:
    """List halls, take them out of service, and restore them.

    A confirmed change is committed by a quorum of controllers, and applied
    within seconds by all entries that are connected to them. If a command
    is not confirmed, repeat it through any entry: a change that has been
    applied is only confirmed.
    """


@group.command('list')
@clitools.ENTRY_OPTION
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def halls_list(address: str, as_json: bool) -> None:
    """Show all halls that have ever been out of service."""
    answer = clitools.call_entry(address, b'GET', entryapi.NATIVE.halls, b'')
    listed = [halls.HallState(**each) for each in json.loads(answer)['halls']]
    if as_json:
        click.echo(json.dumps([state._asdict() for state in listed]))
        return
    rows = [_table_row(state) for state in listed]
    click.echo(tabulate.tabulate(rows, headers='keys'))


@group.command('drain')
@clitools.ENTRY_OPTION
@HALL
def halls_drain(address: str, name: str) -> None:
    """Take a hall out of service; requests that run there finish."""
    _set_hall(address, name, entryapi.NATIVE.drain_hall)


@group.command('restore')
@clitools.ENTRY_OPTION
@HALL
def halls_restore(address: str, name: str) -> None:
    """Put a hall back into service; its runners get requests again."""
    _set_hall(address, name, entryapi.NATIVE.restore_hall)


def _set_hall(address: str, name: str, suffix: bytes) -> None:
    target = entryapi.NATIVE.halls + name.encode() + suffix
    answer = clitools.call_entry(address, b'POST', target, b'')
    state = halls.HallState(**json.loads(answer))
    line = ', '.join(
        f'{key} {value}' for key, value in _table_row(state).items()
    )
    click.echo(line)


def _table_row(state: halls.HallState) -> dict[str, str | int]:
    """Return the columns shown for a hall."""
    since = datetime.datetime.fromtimestamp(state.since_s, datetime.UTC)
    return {
        'hall': state.name,
        'state': 'out' if state.is_out else 'in service',
        'revision': state.revision,
        'since': since.isoformat(timespec='seconds') if state.revision else '',
    }
