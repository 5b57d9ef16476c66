# SPDX-License-Identifier: Apache-2.0

"""Options, exit codes, error handling and calls shared by the commands."""

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
    'CALL_TIMEOUT_S',
    'ENTRY_OPTION',
    'EXIT_NO_ANSWER',
    'EXIT_REFUSED',
    'EXIT_USAGE',
    'JSON_OPTION',
    'SETTINGS_ARGUMENT',
    'SETTINGS_OPTION',
    'call_entry',
    'call_leader',
    'fail',
    'first_error',
    'load_settings',
    'run_as_operator',
]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NO_ANSWER = 3
#: Timeout of a call of a command to a process.
CALL_TIMEOUT_S = 10.0

ENTRY_OPTION = click.option(
    '--entry',
    'address',
    required=True,
    help='IP:PORT of the control API of an entry.',
)
SETTINGS_ARGUMENT = click.argument('settings_file', type=click.Path())
SETTINGS_OPTION = click.option(
    '--settings',
    'settings_file',
    envvar='MOUNTRIDGE_SETTINGS',
    required=True,
    type=click.Path(),
    help='Settings with controllers and keys; else $MOUNTRIDGE_SETTINGS.',
)
JSON_OPTION = click.option(
    '--json', 'as_json', is_flag=True, help='Print JSON.'
)


def fail(problem: errors.MountridgeError) -> typing.NoReturn:
    """Print an error's code and message, and exit."""
    click.echo(f'error {problem.code}: {problem}', err=True)
    no_answer = isinstance(problem, errors.NoController)
    sys.exit(EXIT_NO_ANSWER if no_answer else EXIT_REFUSED)


def call_entry(
    address: str, method: bytes, target: bytes, body: bytes
) -> bytes:
    """Return the JSON body of an entry's response, or exit with its error.

    A body with neither a length nor chunks that was cut off is no JSON.
    """

    async def work() -> tuple[int, bytes]:
        pool = lasthop.Pool(dialects.NATIVE.headers, clocks.now_s)
        headers = [
            (b'Host', address.encode()),
            (b'Content-Length', b'%d' % len(body)),
        ]
        with trio.fail_after(CALL_TIMEOUT_S):
            async with pool.request(
                address, method, target, headers, body, None
            ) as reply:
                return reply.head.status, await reply.read_body()

    try:
        status, answer = trio.run(work)
    except errors.MountridgeError as problem:
        fail(errors.NoController(str(problem)))
    except trio.TooSlowError:
        fail(errors.NoController(f'{address} did not answer in time'))
    try:
        decoded = json.loads(answer)
        if status == 200:
            return answer
        refusal = decoded['error']
        problem = errors.by_code(refusal['code'])(refusal['message'])
    except (ValueError, KeyError, TypeError):
        problem = errors.NoController(
            f'the answer of {address}, status {status}, is incomplete or not'
            ' that of an entry'
        )
    fail(problem)


def load_settings(path: str) -> dict:
    """Return checked settings, or exit with their errors."""
    try:
        return settings_module.load(path)
    except errors.MountridgeError as problem:
        fail(problem)


def run_as_operator(path: str, work: typing.Callable) -> typing.Any:
    """Run ``work(application)`` as an operator, and return its result.

    Connects with the key of ``operator_key`` if the settings name one. Exits
    with the first error of the work.
    """
    settings = load_settings(path)
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
        fail(first_error(group))


def call_leader(path: str, message: typing.Any) -> typing.Any:
    """Return the reply of the leading controller, or exit with its error."""

    async def work(app: application.Application) -> typing.Any:
        return await members.LeaderClient(app).call(message, CALL_TIMEOUT_S)

    return run_as_operator(path, work)


def first_error(group: BaseExceptionGroup) -> errors.MountridgeError:
    """Return the first error of a group, which may be nested."""
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found
