# SPDX-License-Identifier: Apache-2.0

"""Commands to check, put and get routes documents, through an entry."""

import json
import pathlib

import click

from mountridge import clitools, errors
from mountridge.documents import routes
from mountridge.routing import entryapi

__all__ = ['group']


@click.group('routes')
def group() -> None:
    """Check, read and change the routes of entries."""


@group.command('check')
@click.argument('document', type=click.Path(exists=True))
def routes_check(document: str) -> None:
    """Check a routes document without sending it."""
    try:
        table = routes.decode(pathlib.Path(document).read_bytes())
    except errors.BadRoutes as problem:
        clitools.fail(problem)
    click.echo(f'version {table.version}: {len(table.routes)} routes')


@group.command('put')
@clitools.ENTRY_OPTION
@click.argument('document', type=click.Path(exists=True))
def routes_put(address: str, document: str) -> None:
    """Put a routes document.

    Stored if its version is above the stored one, else ignored, so that a
    repeat changes nothing. Prints the version then stored.
    """
    body = pathlib.Path(document).read_bytes()
    answer = clitools.call_entry(
        address, b'POST', entryapi.NATIVE.put_routes, body
    )
    stored = json.loads(answer)['version']
    click.echo(f'held: version {stored}')


@group.command('get')
@clitools.ENTRY_OPTION
def routes_get(address: str) -> None:
    """Print the routes document with the highest version."""
    answer = clitools.call_entry(
        address, b'GET', entryapi.NATIVE.get_routes, b''
    )
    click.echo(answer.decode())
