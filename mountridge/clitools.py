# SPDX-License-Identifier: Apache-2.0

"""What commands share: options, exit codes, errors, calls to processes."""

import json
import sys
import typing

import click
import trio

from mountridge import application, clocks, errors
from mountridge.net import dialects, lasthop
from mountridge import settings as settings_module
from mountridge.state import members

__all__ = [
    'AS_JSON',
    'CALL_S',
    'ENTRY',
    'EXIT_REFUSED',
    'EXIT_UNREACHED',
    'EXIT_USAGE',
    'OPERATOR',
    'SETTINGS',
    'call_entry',
    'call_leader',
    'fail',
    'first',
    'load',
    'operate',
]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHED = 3
#: How long a process may take to answer a command.
CALL_S = 10.0

ENTRY = click.option(
    '--entry',
    'address',
    required=True,
    help='IP:PORT at which an entry takes control calls.',
)
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


def fail(problem: errors.MountridgeError) -> typing.NoReturn:
    """End the command with an error's code and text."""
    click.echo(f'error {problem.code}: {problem}', err=True)
    unreached = isinstance(problem, errors.NoController)
    sys.exit(EXIT_UNREACHED if unreached else EXIT_REFUSED)


def call_entry(
    address: str, method: bytes, target: bytes, body: bytes
) -> bytes:
    """Return the body of an entry's answer, or end with its error."""

    async def work() -> tuple[int, bytes]:
        pool = lasthop.Pool(dialects.NATIVE.headers, clocks.now_s)
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
        fail(errors.NoController(str(problem)))
    except trio.TooSlowError:
        fail(errors.NoController(f'{address} gave no answer'))
    if status != 200:
        told = json.loads(answer)['error']
        fail(errors.by_code(told['code'])(told['message']))
    return answer


def load(path: str) -> dict:
    """Return checked settings, or end with their errors."""
    try:
        return settings_module.load(path)
    except errors.MountridgeError as problem:
        fail(problem)


def operate(path: str, work: typing.Callable) -> typing.Any:
    """Run ``work(application)`` with connections, and return its result."""
    settings = load(path)
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
        fail(first(group))


def call_leader(path: str, message: typing.Any) -> typing.Any:
    """Return the reply of the controller that leads, or end with its error."""

    async def work(app: application.Application) -> typing.Any:
        return await members.LeaderClient(app).call(message, CALL_S)

    return operate(path, work)


def first(group: BaseExceptionGroup) -> errors.MountridgeError:
    """Return the first of our own errors in a group."""
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
