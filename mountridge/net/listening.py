# SPDX-License-Identifier: Apache-2.0

"""Listening sockets, opened before a process imports its libraries.

The imports take 0.5 to 0.7 s on a quarter to a third of a core. Where all
processes start at once, callers then wait for the imports to finish;
otherwise they would be refused everywhere and run out of attempts.
Imports nothing but the clock and small parts of the standard library.
"""

import json
import socket

from mountridge import clocks

__all__ = ['PROCESS_START_S', 'listen', 'listen_early']

#: Connections waiting to be accepted; more than one box gets during a start.
BACKLOG = 1024
#: Approximate start of this process: this module is imported first.
PROCESS_START_S = clocks.now_s()


def listen(address: str) -> socket.socket:
    """Return a socket that listens on IP:PORT.

    :raises OSError: the address is not available.
    """
    host, _, port = address.rpartition(':')
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, int(port)))
        bound.listen(BACKLOG)
    except OSError:
        bound.close()
        raise
    return bound


def listen_early(path: str) -> socket.socket | None:
    """Return a socket on the callers' address of a settings file.

    None if the file is not JSON or has no address that is available: errors
    are reported later, when the settings are validated.
    """
    try:
        with open(path) as file:
            settings = json.load(file)
        return listen(settings['entry']['front'])
    except (OSError, ValueError, KeyError, TypeError):
        return None
