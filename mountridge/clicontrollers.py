# SPDX-License-Identifier: Apache-2.0

"""Commands to show and change the membership of the controllers."""

import click

from mountridge import clitools, messages

__all__ = ['group']


@click.group('controllers')
def group() -> None:
    """Show, add, promote and remove controllers.

    Each change is made by the leader and concerns one controller. An id is
    the controller's name and a suffix that identifies its data folder, as
    `controllers status` shows it.
    """


def _call_admin(
    path: str, action: str, name: str = '', address: str = ''
) -> None:
    reply = clitools.call_leader(path, messages.Admin(action, name, address))
    click.echo(reply.text)


@group.command('status')
@clitools.SETTINGS_OPTION
def controllers_status(settings_file: str) -> None:
    """Show the controllers, the leader, and the lag of each.

    The lag is the number of log entries that a controller lacks, and the
    time since its last answer, in seconds.
    """
    _call_admin(settings_file, 'show')


@group.command('add')
@clitools.SETTINGS_OPTION
@click.argument('name')
@click.argument('address')
def controllers_add(settings_file: str, name: str, address: str) -> None:
    """Add the controller NAME at ADDRESS as a learner.

    Prints its id. ADDRESS is tcp://IP:PORT; the controller must be running.
    Repeating it changes nothing.
    """
    _call_admin(settings_file, 'add', name, address)


@group.command('promote')
@clitools.SETTINGS_OPTION
@click.argument('controller_id')
def controllers_promote(settings_file: str, controller_id: str) -> None:
    """Make a learner that has caught up a voter.

    Refused if it is not a learner, also if it already is a voter.
    """
    _call_admin(settings_file, 'promote', controller_id)


@group.command('remove')
@clitools.SETTINGS_OPTION
@click.argument('controller_id')
def controllers_remove(settings_file: str, controller_id: str) -> None:
    """Remove a controller by its id.

    Refused if it leads, if it is not a member (any more), or if too few of
    the remaining voters respond.
    """
    _call_admin(settings_file, 'remove', controller_id)


@group.command('transfer')
@clitools.SETTINGS_OPTION
@click.argument('controller_id', default='')
def controllers_transfer(settings_file: str, controller_id: str) -> None:
    """Transfer leadership to a voter.

    Without CONTROLLER_ID, selects the responsive voter with the most
    complete log. The command does not wait until the voter leads.
    """
    _call_admin(settings_file, 'transfer', controller_id)
