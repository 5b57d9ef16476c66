# SPDX-License-Identifier: Apache-2.0

"""Reloads the settings file when it changes, with or without a signal."""

import pathlib
import typing

import trio

from mountridge import application, errors, settings
from mountridge.logs import logger

__all__ = ['task']

#: Interval at which the file is checked for changes without a signal.
POLL_S = 1.0


def task(
    app: application.Application,
    path: str,
    apply: typing.Callable[[dict], None],
) -> application.Task:
    """Return a task that calls ``apply`` with changed settings.

    ``apply`` uses the seeds and the halls only; changes of other settings
    require a restart of the process.
    """
    requested = trio.Event()

    def request() -> None:
        requested.set()

    async def watch() -> None:
        nonlocal requested
        # The file may have changed since it was loaded.
        applied = _reload(path, b'', apply)
        while True:
            with trio.move_on_after(POLL_S):
                await requested.wait()
            requested = trio.Event()
            applied = _reload(path, applied, apply)

    app.reload.append(request)
    return watch


def _reload(
    path: str, applied: bytes, apply: typing.Callable[[dict], None]
) -> bytes:
    """Apply a changed file; return the content that is applied now.

    ``applied`` is empty where nothing has been applied since the start.
    Invalid settings are not applied; they are loaded again, and the error
    logged again, until the file is corrected.
    """
    try:
        content = pathlib.Path(path).read_bytes()
        if content == applied:
            return applied
        apply(settings.load(path))
        if applied:
            logger.info('settings reloaded', taken='entry.seeds, halls')
        return content
    except (OSError, errors.BadSettings) as problem:
        logger.error('settings not reloaded', reason=str(problem))
        return applied
