# SPDX-License-Identifier: Apache-2.0

"""Commands on the set of controllers."""

import click

from mountridge import clitools, messages

__all__ = ['group']


@click.group('controllers')
def group() -> None:
    """See, add, replace and remove controllers, one at a time."""


def _admin(path: str, action: str, name: str = '', address: str = '') -> None:
    reply = clitools.call_leader(path, messages.Admin(action, name, address))
    click.echo(reply.text)


@group.command('status')
@clitools.OPERATOR
def controllers_status(settings_file: str) -> None:
    """Show the controllers, who leads, and how far each one is."""
    _admin(settings_file, 'show')


@group.command('add')
@clitools.OPERATOR
@click.argument('name')
@click.argument('address')
def controllers_add(settings_file: str, name: str, address: str) -> None:
    """Add the controller NAME at ADDRESS as a learner; prints its id."""
    _admin(settings_file, 'add', name, address)


@group.command('promote')
@clitools.OPERATOR
@click.argument('controller_id')
def controllers_promote(settings_file: str, controller_id: str) -> None:
    """Make a learner that has caught up a voter."""
    _admin(settings_file, 'promote', controller_id)


@group.command('remove')
@clitools.OPERATOR
@click.argument('controller_id')
def controllers_remove(settings_file: str, controller_id: str) -> None:
    """Remove a controller by its id."""
    _admin(settings_file, 'remove', controller_id)


@group.command('transfer')
@clitools.OPERATOR
@click.argument('controller_id', default='')
def controllers_transfer(settings_file: str, controller_id: str) -> None:
    """Hand leadership to a voter, by default to the best one."""
    _admin(settings_file, 'transfer', controller_id)
