# SPDX-License-Identifier: Apache-2.0

"""Ports on loopback that nobody else takes before a process binds them.

A port that the kernel names as free may be given to an outgoing connection,
or to whoever asks next, until the process that is to listen has started: 17
of 4,800 were taken after 0.5 s, with eight systems and 1,000 connections a
second beside. So each process that hands out ports holds a block of its own,
below the range from which the kernel takes those of connections. A block
comes with a network of loopback addresses, for what listens on the same ports
of many hosts.
"""

import fcntl
import pathlib
import socket
import tempfile
import typing

__all__ = ['free_port', 'network']

#: Blocks lie below 32768, where the kernel's range begins by default.
FIRST_PORT = 12000
BLOCKS = 100
#: More than one process hands out in its life: a scenario takes some 15.
BLOCK_PORTS = 200
#: Networks 127.1 and up, one a block; most programs use 127.0 alone.
FIRST_NETWORK = 1

#: The files whose locks hold this process's blocks until it ends, by number.
_held: dict[int, typing.IO] = {}
_ports: typing.Iterator[int] = iter(())


def free_port() -> int:
    """Return a port of this process's block that nobody listens on.

    :raises OSError: no block is left.
    """
    global _ports
    while True:
        for port in _ports:
            if _is_free(port):
                return port
        first = FIRST_PORT + _take_block() * BLOCK_PORTS
        _ports = iter(range(first, first + BLOCK_PORTS))


def network() -> str:
    """Return what the loopback addresses of this process begin with.

    Hosts 1 to 254 of it listen on any port and meet no other process's.

    :raises OSError: no block is left.
    """
    number = next(iter(_held)) if _held else _take_block()
    return f'127.{FIRST_NETWORK + number}.7.'


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
        return True


def _take_block() -> int:
    """Return the number of a block that no other process holds."""
    folder = pathlib.Path(tempfile.gettempdir()) / 'mountridge-ports'
    folder.mkdir(exist_ok=True)
    for number in range(BLOCKS):
        lock = open(folder / str(number), 'w')
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        _held[number] = lock
        return number
    raise OSError(f'all {BLOCKS} blocks of ports are held')
