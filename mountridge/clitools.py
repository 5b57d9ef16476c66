# SPDX-License-Identifier: Apache-2.0

"""What all commands share: exit codes, and how they end with an error."""

import sys
import typing

import click

from mountridge import errors

__all__ = ['EXIT_REFUSED', 'EXIT_UNREACHED', 'EXIT_USAGE', 'fail']

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHED = 3


def fail(problem: errors.MountridgeError) -> typing.NoReturn:
    """End the command with an error's code and text."""
    click.echo(f'error {problem.code}: {problem}', err=True)
    unreached = isinstance(problem, errors.NoController)
    sys.exit(EXIT_UNREACHED if unreached else EXIT_REFUSED)
