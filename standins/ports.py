# SPDX-License-Identifier: Apache-2.0

"""Allocates loopback ports that stay free until a process binds them.

A port that the kernel picks as free may be given to an outgoing connection
or to another process before the intended process listens on it. So each
process that allocates ports locks a block of its own, below the kernel's
range of ephemeral ports. A block comes with a network of loopback addresses,
for processes that listen on the same ports of many hosts.
"""

import fcntl
import pathlib
import socket
import tempfile
import typing

__all__ = ['free_port', 'network']

#: Blocks end below 32768, the default start of the kernel's ephemeral range.
FIRST_PORT = 12000
BLOCKS = 100
#: A process that uses up a block locks another one.
BLOCK_PORTS = 200
#: Networks from 127.1 up, one per block; other programs mostly use 127.0.
FIRST_NETWORK = 1

#: Locked files of this process's blocks by number; kept open until it ends.
_locked_files: dict[int, typing.IO] = {}
_ports: typing.Iterator[int] = iter(())


def free_port() -> int:
    """Return an unused port of this process's block.

    :raises OSError: all blocks are locked by other processes.
    """
    global _ports
    while True:
        for port in _ports:
            if _is_free(port):
                return port
        first = FIRST_PORT + _lock_block() * BLOCK_PORTS
        _ports = iter(range(first, first + BLOCK_PORTS))


def network() -> str:
    """Return the prefix of the loopback addresses of this process.

    Addresses with hosts 1 to 254 may listen on any port: no other process
    uses this prefix.

    :raises OSError: all blocks are locked by other processes.
    """
    number = next(iter(_locked_files)) if _locked_files else _lock_block()
    return f'127.{FIRST_NETWORK + number}.7.'


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
        return True


def _lock_block() -> int:
    """Lock a block that no other process uses and return its number."""
    folder = pathlib.Path(tempfile.gettempdir()) / 'mountridge-ports'
    folder.mkdir(exist_ok=True)
    for number in range(BLOCKS):
        lock = open(folder / str(number), 'w')
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        _locked_files[number] = lock
        return number
    raise OSError(f'all {BLOCKS} blocks of ports are in use')
