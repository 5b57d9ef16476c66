# SPDX-License-Identifier: Apache-2.0

"""Commands on routes: check, put and get a document, through an entry."""

import json
import pathlib

import click
import trio

from mountridge import clitools, errors
from mountridge.documents import routes
from mountridge.net import dialects, lasthop
from mountridge.routing import entryapi

__all__ = ['group']

CALL_S = 10.0


@click.group('routes')
def group() -> None:
    """Check, read and change the routes of entries."""


ENTRY = click.option(
    '--entry',
    'address',
    required=True,
    help='IP:PORT at which an entry takes control calls.',
)


@group.command('check')
@click.argument('document', type=click.Path(exists=True))
def routes_check(document: str) -> None:
    """Check a routes document without putting it."""
    try:
        table = routes.decode(pathlib.Path(document).read_bytes())
    except errors.BadRoutes as problem:
        clitools.fail(problem)
    click.echo(f'version {table.version}: {len(table.routes)} routes')


@group.command('put')
@ENTRY
@click.argument('document', type=click.Path(exists=True))
def routes_put(address: str, document: str) -> None:
    """Put a routes document; the highest version holds."""
    body = pathlib.Path(document).read_bytes()
    answer = _call_entry(address, b'POST', entryapi.NATIVE.put_routes, body)
    held = json.loads(answer)['version']
    click.echo(f'held: version {held}')


@group.command('get')
@ENTRY
def routes_get(address: str) -> None:
    """Read the newest routes document."""
    answer = _call_entry(address, b'GET', entryapi.NATIVE.get_routes, b'')
    click.echo(answer.decode())


def _call_entry(
    address: str, method: bytes, target: bytes, body: bytes
) -> bytes:
    """Return the body of an entry's answer, or end with its error."""

    async def work() -> tuple[int, bytes]:
        pool = lasthop.Pool(dialects.NATIVE.headers, trio.current_time)
        headers = [
            (b'Host', address.encode()),
            (b'Content-Length', b'%d' % len(body)),
        ]
        with trio.fail_after(CALL_S):
            async with pool.request(
                address, method, target, headers, body, None
            ) as reply:
                return reply.head.status, await reply.whole()

    try:
        status, answer = trio.run(work)
    except errors.MountridgeError as problem:
        clitools.fail(errors.NoController(str(problem)))
    except trio.TooSlowError:
        clitools.fail(errors.NoController(f'{address} gave no answer'))
    if status != 200:
        told = json.loads(answer)['error']
        clitools.fail(errors.by_code(told['code'])(told['message']))
    return answer
