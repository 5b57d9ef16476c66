# SPDX-License-Identifier: Apache-2.0

"""A loopback proxy on one link, which can be delayed, held and reset."""

import collections
import socket
import struct

import trio

from mountridge.net import listening

__all__ = ['BACK', 'LATE', 'Link', 'TO', 'listen_of']

#: Directions: to the process that listens, and back to who connected; and
#: what is late in both of them.
TO, BACK, LATE = 'to', 'back', 'late'
READ_BYTES = 65536
#: By how much each read of a late link is passed on later.
DELAY_S = 0.2
#: How often a held direction looks whether it may go on.
POLL_S = 0.01
#: A link listens on the port of its process, plus this.
PORT_OFFSET = 500


def listen_of(address: str) -> str:
    """Return the address of the link before the process at ``address``."""
    host, _, port = address.rpartition(':')
    return f'{host}:{int(port) + PORT_OFFSET}'


class Link:
    """What lies between all clients of one address and its process."""

    def __init__(self, target: str):
        self.target = target
        #: How many faults hold each direction, or make both late.
        self.harmed: collections.Counter[str] = collections.Counter()
        self._open: set[trio.SocketStream] = set()
        #: Set while its process lives; else it refuses as a dead port does.
        self._is_up = trio.Event()
        self._is_up.set()
        self._listening = trio.CancelScope()

    async def run(self) -> None:
        """Pass connections on until cancelled."""
        while True:
            await self._is_up.wait()
            made = trio.socket.from_stdlib_socket(
                listening.listen(listen_of(self.target))
            )
            with trio.CancelScope() as self._listening:
                listener = trio.SocketListener(made)
                await trio.serve_listeners(self._connect, [listener])

    def refuse(self) -> None:
        """Reset what is open and refuse what comes, until `accept`."""
        self._is_up = trio.Event()
        self.reset()
        self._listening.cancel()

    def accept(self) -> None:
        """Take connections again."""
        self._is_up.set()

    async def _connect(self, client: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(':')
        self._open.add(client)
        server = None
        try:
            server = await trio.open_tcp_stream(host, int(port))
            self._open.add(server)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, server, TO)
                nursery.start_soon(self._pump, server, client, BACK)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # One side is gone: so is the other, with what was under way.
            _reset(client)
            _reset(server)
        finally:
            for stream in self._open & {client, server}:
                self._open.discard(stream)
                await trio.aclose_forcefully(stream)

    async def _pump(self, source, sink, way: str) -> None:
        data = b'-'
        while data:
            data = await source.receive_some(READ_BYTES)
            await trio.sleep(DELAY_S * self.harmed[LATE])
            while self.harmed[way]:
                await trio.sleep(POLL_S)
            if data:
                await sink.send_all(data)
        await sink.send_eof()

    def reset(self) -> None:
        """Reset all connections, with what is on its way in them."""
        for stream in list(self._open):
            _reset(stream)


def _reset(stream: trio.SocketStream | None) -> None:
    if stream is not None and stream.socket.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.socket.close()
