# SPDX-License-Identifier: Apache-2.0

"""Commands on data folders of controllers."""

import click
import trio

from mountridge import application, clitools, errors, messages
from mountridge.consensus import entries, storage

__all__ = ['group']

PROBE_S = 0.5


@click.group('storage')
def group() -> None:
    """Data folders of controllers."""


@group.command('init')
@clitools.SETTINGS
def storage_init(settings_file: str) -> None:
    """Make the data folder of one of the first controllers.

    Only for a new system. A controller that lost its disk is started with
    an empty folder instead, and added with `controllers add`.
    """
    loaded = clitools.load(settings_file)
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
    """Refuse where another controller runs, unless it has never voted."""

    async def work(app: application.Application) -> None:
        for name in names:
            address = app.settings['controllers'][name]
            if not await _listens(address):
                continue
            question = messages.Admin('status', '', '')
            caller = app.connect(address, name)
            try:
                reply = await caller.call(question, PROBE_S)
            except errors.NoController:
                raise errors.RefusedChange(f'{name} runs, and refuses us')
            if reply.done:
                raise errors.RefusedChange(f'{name} knows a running system')

    clitools.operate(path, work)


async def _listens(address: str) -> bool:
    host, _, port = address.removeprefix('tcp://').rpartition(':')
    try:
        with trio.fail_after(PROBE_S):
            stream = await trio.open_tcp_stream(host, int(port))
    except (OSError, trio.TooSlowError):
        return False
    await stream.aclose()
    return True


@group.command('check')
@click.argument('folder', type=click.Path())
def storage_check(folder: str) -> None:
    """Check all of a data folder without changing it."""
    try:
        click.echo(storage.describe(folder))
    except (errors.MountridgeError, OSError) as problem:
        if isinstance(problem, OSError):
            problem = errors.DamagedStorage(str(problem))
        clitools.fail(problem)
