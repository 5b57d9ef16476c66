# SPDX-License-Identifier: Apache-2.0

"""Commands on requests that are held back since they crash runners."""

import datetime
import json

import click
import tabulate

from mountridge import clitools
from mountridge.routing import entryapi

__all__ = ['group']


@click.group('quarantine')
def group() -> None:
    """List requests that are held back, and release one.

    A request is known by a digest, which its callers get with the refusal
    and log lines show. What a command confirms is kept by a quorum.
    """


@group.command('list')
@clitools.ENTRY
@click.option('--json', 'as_json', is_flag=True, help='For programs.')
def quarantine_list(address: str, as_json: bool) -> None:
    """Show what is held back, and what was and may be tried."""
    prefix = entryapi.NATIVE.quarantine
    _show(clitools.call_entry(address, b'GET', prefix, b''), as_json)


@group.command('release')
@clitools.ENTRY
@click.argument('digest')
def quarantine_release(address: str, digest: str) -> None:
    """Send a request to runners again, and forget that it crashed some."""
    native = entryapi.NATIVE
    target = native.quarantine + digest.encode() + native.release
    _show(clitools.call_entry(address, b'POST', target, b''), False)


def _show(answer: bytes, as_json: bool) -> None:
    listed = json.loads(answer)['quarantine']
    if as_json:
        click.echo(json.dumps(listed))
        return
    rows = [_cells(each) for each in listed]
    click.echo(tabulate.tabulate(rows, headers='keys'))


def _cells(each: dict) -> dict[str, str | int]:
    """Return what a line shows of a request."""
    since = datetime.datetime.fromtimestamp(each['since_s'], datetime.UTC)
    return {
        'digest': each['digest'],
        'state': 'held back' if each['is_held'] else 'may be tried',
        'crashes': each['crashes'],
        'holds': each['holds'],
        'since': since.isoformat(timespec='seconds'),
    }
