# SPDX-License-Identifier: Apache-2.0

"""Commands on halls: list them, take one out of service, put it back."""

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
    """List halls, take them out of service, and put them back.

    What a command confirms is kept by a quorum of controllers, and all
    gateways in touch obey it within seconds. Send a command again, through
    any entry, where it is not confirmed: that changes nothing twice.
    """


@group.command('list')
@clitools.ENTRY
@click.option('--json', 'as_json', is_flag=True, help='For programs.')
def halls_list(address: str, as_json: bool) -> None:
    """Show the halls that were ever out of service."""
    answer = clitools.call_entry(address, b'GET', entryapi.NATIVE.halls, b'')
    listed = [halls.HallState(**each) for each in json.loads(answer)['halls']]
    if as_json:
        click.echo(json.dumps([state._asdict() for state in listed]))
        return
    rows = [_cells(state) for state in listed]
    click.echo(tabulate.tabulate(rows, headers='keys'))


@group.command('drain')
@clitools.ENTRY
@HALL
def halls_drain(address: str, name: str) -> None:
    """Send nothing more to the runners of a hall; what runs there ends."""
    _order(address, name, entryapi.NATIVE.drain_hall)


@group.command('restore')
@clitools.ENTRY
@HALL
def halls_restore(address: str, name: str) -> None:
    """Send requests to the runners of a hall again."""
    _order(address, name, entryapi.NATIVE.restore_hall)


def _order(address: str, name: str, suffix: bytes) -> None:
    target = entryapi.NATIVE.halls + name.encode() + suffix
    answer = clitools.call_entry(address, b'POST', target, b'')
    state = halls.HallState(**json.loads(answer))
    told = ', '.join(f'{key} {value}' for key, value in _cells(state).items())
    click.echo(told)


def _cells(state: halls.HallState) -> dict[str, str | int]:
    """Return what a line shows of a hall."""
    since = datetime.datetime.fromtimestamp(state.since_s, datetime.UTC)
    return {
        'hall': state.name,
        'state': 'out' if state.is_out else 'in service',
        'revision': state.revision,
        'since': since.isoformat(timespec='seconds') if state.revision else '',
    }
