# SPDX-License-Identifier: Apache-2.0

"""A loopback TCP proxy that can delay, block and reset connections."""

import collections
import socket
import struct

import trio

from mountridge.net import listening

__all__ = [
    'DELAYED', 'Link', 'TO_CLIENT', 'TO_SERVER', 'link_address',
    'reset_stream',
]  # fmt: skip

#: Faults of a link: either direction blocked, or both delayed.
TO_SERVER, TO_CLIENT, DELAYED = 'to', 'back', 'late'
READ_BYTES = 65536
#: Delay of each read of a delayed link.
DELAY_S = 0.2
#: How often a blocked direction checks whether it may continue.
POLL_S = 0.01
#: Distance of a link's port from the port of its process.
PORT_OFFSET = 500


def link_address(address: str) -> str:
    """Return the address of the link to the process at ``address``."""
    host, _, port = address.rpartition(':')
    return f'{host}:{int(port) + PORT_OFFSET}'


class Link:
    """A proxy between all clients of one address and its process."""

    def __init__(self, target: str):
        self.target = target
        #: Number of active faults that block a direction, or delay both.
        self.active_faults: collections.Counter[str] = collections.Counter()
        self._open: set[trio.SocketStream] = set()
        #: Set while its process is up; otherwise connections are refused.
        self._is_up = trio.Event()
        self._is_up.set()
        self._listening = trio.CancelScope()

    async def run(self) -> None:
        """Forward connections until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._is_up.wait()
                listening_socket = trio.socket.from_stdlib_socket(
                    listening.listen(link_address(self.target))
                )
                with trio.CancelScope() as self._listening:
                    listener = trio.SocketListener(listening_socket)
                    await trio.serve_listeners(
                        self._connect, [listener], handler_nursery=nursery
                    )

    def refuse(self) -> None:
        """Reset open connections and refuse new ones until `accept`."""
        self.close_port()
        self.reset()

    def close_port(self) -> None:
        """Refuse new connections until `accept`; keep the open ones."""
        if self._is_up.is_set():
            self._is_up = trio.Event()
        self._listening.cancel()

    def accept(self) -> None:
        """Accept connections again."""
        self._is_up.set()

    async def _connect(self, client: trio.SocketStream) -> None:
        host, _, port = self.target.rpartition(':')
        self._open.add(client)
        server = None
        try:
            server = await trio.open_tcp_stream(host, int(port))
            self._open.add(server)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, server, TO_SERVER)
                nursery.start_soon(self._pump, server, client, TO_CLIENT)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # Once one side has failed, the other is reset as well.
            reset_stream(client)
            reset_stream(server)
        finally:
            for stream in self._open & {client, server}:
                self._open.discard(stream)
                await trio.aclose_forcefully(stream)

    async def _pump(self, source, sink, direction: str) -> None:
        data = b'-'
        while data:
            data = await source.receive_some(READ_BYTES)
            await trio.sleep(DELAY_S * self.active_faults[DELAYED])
            while self.active_faults[direction]:
                await trio.sleep(POLL_S)
            if data:
                await sink.send_all(data)
        await sink.send_eof()

    def reset(self) -> None:
        """Reset all connections and drop the data in flight."""
        for stream in list(self._open):
            reset_stream(stream)


def reset_stream(stream: trio.SocketStream | None) -> None:
    """Reset a connection unless it is closed."""
    if stream is not None and stream.socket.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.socket.close()
