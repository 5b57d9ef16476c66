# SPDX-License-Identifier: Apache-2.0

"""Commands to create and check data folders of controllers."""

import click
import trio

from mountridge import application, clitools, errors, messages
from mountridge.consensus import entries, storage

__all__ = ['group']

PROBE_TIMEOUT_S = 0.5


@click.group('storage')
def group() -> None:
    """Create and check data folders of controllers."""


@group.command('init')
@clitools.SETTINGS_ARGUMENT
def storage_init(settings_file: str) -> None:
    """Create the data folder of one of the first controllers.

    Only for a new system: refused if another controller of the settings
    belongs to a running system, or if the folder holds data already. Start
    a controller that lost its disk with an empty folder instead, and add it
    with `controllers add`.
    """
    loaded = clitools.load_settings(settings_file)
    names = loaded['controllers']
    _refuse_if_running(
        settings_file, [n for n in names if n != loaded['name']]
    )
    voters = {f'{name}.0': address for name, address in names.items()}
    try:
        storage.initialize(
            loaded['controller']['data'],
            f'{loaded["name"]}.0',
            entries.Config(voters, {}),
        )
    except errors.MountridgeError as problem:
        clitools.fail(problem)
    click.echo(f'{loaded["name"]}.0 is ready')


def _refuse_if_running(path: str, names: list[str]) -> None:
    """Raise if another controller is running, unless its term is still 0.

    :raises RefusedChange: one of them has a term, or does not answer.
    """

    async def work(app: application.Application) -> None:
        for name in names:
            address = app.settings['controllers'][name]
            if not await _is_listening(address):
                continue
            question = messages.Admin('status', '', '')
            connection = app.connect(address, name)
            try:
                reply = await connection.call(question, PROBE_TIMEOUT_S)
            except errors.NoController:
                raise errors.RefusedChange(
                    f'{name} is running but did not answer'
                )
            if reply.done:
                raise errors.RefusedChange(
                    f'{name} belongs to a running system'
                )

    clitools.run_as_operator(path, work)


async def _is_listening(address: str) -> bool:
    host, _, port = address.removeprefix('tcp://').rpartition(':')
    try:
        with trio.fail_after(PROBE_TIMEOUT_S):
            stream = await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError):
        return False
    await stream.aclose()
    return True


@group.command('check')
@click.argument('folder', type=click.Path())
def storage_check(folder: str) -> None:
    """Check a whole data folder without changing it.

    Prints the id, the term, the indexes of the snapshot and of the last
    entry, and the sizes of the journal and of its incomplete tail.
    """
    try:
        click.echo(storage.describe(folder))
    except (errors.MountridgeError, OSError) as problem:
        if isinstance(problem, OSError):
            problem = errors.DamagedStorage(str(problem))
        clitools.fail(problem)
