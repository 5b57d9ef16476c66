# SPDX-License-Identifier: Apache-2.0

"""A socket that listens before the libraries of a process are loaded.

Loading them takes 0.5 to 0.7 s on a quarter to a third of a core. Where all
processes start at the same moment, callers that connect meanwhile then wait
for that long; refused everywhere, they would use up their tries. Imports
nothing but the clock and small parts of the standard library.
"""

import json
import socket

from mountridge import clocks

__all__ = ['BEGAN_S', 'listen', 'listen_early']

#: Connections that may wait; far more than come to one box within a start.
BACKLOG = 1024
#: Time at which this process began, as nearly as it can tell: this
#: module is the first to be loaded.
BEGAN_S = clocks.now_s()


def listen(address: str) -> socket.socket:
    """Return a socket that listens on IP:PORT.

    :raises OSError: the address can't be had.
    """
    host, _, port = address.rpartition(':')
    made = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind((host, int(port)))
        made.listen(BACKLOG)
    except OSError:
        made.close()
        raise
    return made


def listen_early(path: str) -> socket.socket | None:
    """Return a socket on the callers' address of a settings file.

    None where the file is not written in JSON or names no such address that
    can be had: the whole check of the settings says later what is wrong.
    """
    try:
        with open(path) as lines:
            settings = json.load(lines)
        return listen(settings['entry']['front'])
    except (OSError, ValueError, KeyError, TypeError):
        return None
