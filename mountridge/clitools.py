# SPDX-License-Identifier: Apache-2.0

"""What commands share: exit codes, errors, and calls to an entry."""

import json
import sys
import typing

import click
import trio

from mountridge import clocks, errors
from mountridge.net import dialects, lasthop

__all__ = [
    'ENTRY',
    'EXIT_REFUSED',
    'EXIT_UNREACHED',
    'EXIT_USAGE',
    'call_entry',
    'fail',
]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHED = 3
#: How long an entry may take to answer a command.
CALL_S = 10.0

ENTRY = click.option(
    '--entry',
    'address',
    required=True,
    help='IP:PORT at which an entry takes control calls.',
)


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
