# SPDX-License-Identifier: Apache-2.0

"""What a process does first of all at its start.

Imported before all else, so it imports the standard library alone.
"""

import signal

__all__ = ['ignore_reload_signal']


def ignore_reload_signal() -> None:
    """Ignore SIGHUP until the application handles it.

    By default it ends the process. No reload is missed: the settings watch
    compares the file with the settings in use when it begins.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
