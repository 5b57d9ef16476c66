# SPDX-License-Identifier: Apache-2.0

"""Follows changes of the settings file, told by a signal or not."""

import pathlib
import typing

import trio

from mountridge import application, errors, settings
from mountridge.logs import logger

__all__ = ['task']

#: How often the file is looked at for a change without a signal.
POLL_S = 1.0


def task(
    app: application.Application,
    path: str,
    take: typing.Callable[[dict], None],
) -> application.Task:
    """Return a task that hands newer settings to ``take``.

    ``take`` uses the seeds and the halls alone; all else needs a start of
    the process.
    """
    changed = trio.Event()

    def hurry() -> None:
        changed.set()

    async def follow() -> None:
        nonlocal changed
        seen = pathlib.Path(path).read_bytes()
        while True:
            with trio.move_on_after(POLL_S):
                await changed.wait()
            changed = trio.Event()
            seen = _reload(path, seen, take)

    app.reload.append(hurry)
    return follow


def _reload(
    path: str, seen: bytes, take: typing.Callable[[dict], None]
) -> bytes:
    """Take a changed file; return what counts as seen from now on."""
    try:
        given = pathlib.Path(path).read_bytes()
        if given == seen:
            return seen
        take(settings.load(path))
        logger.info('settings reloaded', taken='entry.seeds, halls')
        return given
    except (OSError, errors.BadSettings) as problem:
        logger.error('settings not reloaded', reason=str(problem))
        return seen
