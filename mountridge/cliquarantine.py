# SPDX-License-Identifier: Apache-2.0

"""Commands on requests and parts of prompts that are quarantined."""

import datetime
import json

import click
import tabulate

from mountridge import clitools
from mountridge.routing import entryapi

__all__ = ['group']


@click.group('quarantine')
def group() -> None:
    """List and release requests, and parts of prompts, that crash runners.

    Each is identified by a digest, which its callers get in the error
    response and which log lines show. A confirmed change is committed by a
    quorum of controllers.
    """


@group.command('list')
@clitools.ENTRY_OPTION
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def quarantine_list(address: str, as_json: bool) -> None:
    """Show requests and parts of prompts that are or were quarantined.

    `held back`: quarantined. `may be tried`: quarantined before, sent to
    runners again. `being tried`: a part that one request is sent with.
    """
    prefix = entryapi.NATIVE.quarantine
    _show(clitools.call_entry(address, b'GET', prefix, b''), as_json)


@group.command('release')
@clitools.ENTRY_OPTION
@click.argument('digest')
def quarantine_release(address: str, digest: str) -> None:
    """Send a request or part to runners again, and forget its crashes.

    Prints the remaining entries. An unknown digest, also one that was
    released before, is refused.
    """
    native = entryapi.NATIVE
    target = native.quarantine + digest.encode() + native.release
    _show(clitools.call_entry(address, b'POST', target, b''), False)


def _show(answer: bytes, as_json: bool) -> None:
    listed = json.loads(answer)['quarantine']
    if as_json:
        click.echo(json.dumps(listed))
        return
    rows = [_table_row(entry) for entry in listed]
    click.echo(tabulate.tabulate(rows, headers='keys'))


def _state(entry: dict) -> str:
    if entry['is_held']:
        return 'held back'
    return 'being tried' if entry.get('is_part') else 'may be tried'


def _table_row(entry: dict) -> dict[str, str | int]:
    """Return the columns shown for a request."""
    since = datetime.datetime.fromtimestamp(entry['since_s'], datetime.UTC)
    return {
        'digest': entry['digest'],
        'of': 'part' if entry.get('is_part') else 'request',
        'state': _state(entry),
        'crashes': entry['crashes'],
        'holds': entry['holds'],
        'since': since.isoformat(timespec='seconds'),
    }
