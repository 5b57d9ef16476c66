# SPDX-License-Identifier: Apache-2.0

"""ZeroMQ sockets on trio, each owned by one task, and calls over them.

`pyzmq` has no trio support. The socket's descriptor is edge-triggered, and a
send may consume the edge of a received message. So each send checks the
pending events again and wakes the receiver if necessary.
"""

import typing

import trio
import zmq

from mountridge import errors, messages
from mountridge.net import keys

__all__ = ['Channel', 'Connection', 'dealer', 'router']

#: Messages queued for one peer before more are rejected.
HIGH_WATER = 10000
#: The transport reconnects to a peer that was unresponsive for this long.
#: Well below 3 s, within which boxes must be up to date after a network
#: partition. Calls repeat what a closed connection has lost.
HEARTBEAT_MS = 1000
#: Timeout of an attempt to connect: a few round trips between regions. In a
#: network partition the kernel repeats the SYN only after 1, 2 and 4 s, so a
#: box would stay unreachable for seconds after the partition has healed.
CONNECT_MS = 400
#: Shortest and longest pause between attempts to connect.
RECONNECT_MS = 50
RECONNECT_MAX_MS = 400
#: Messages received before other tasks may run.
MESSAGES_PER_TURN = 16


class Channel:
    """One ZeroMQ socket and the task that receives on it."""

    def __init__(self, socket: zmq.Socket):
        self.socket = socket
        self._scope: trio.CancelScope | None = None
        self.closed = False
        self._received = 0

    def send(self, parts: list[bytes]) -> bool:
        """Send without waiting; return false if the queue is full."""
        try:
            self.socket.send_multipart(parts, zmq.NOBLOCK, copy=True)
        except zmq.ZMQError:
            return False
        if self._scope and self.socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self._scope.cancel()
        return True

    async def receive(self) -> list[zmq.Frame]:
        """Return the parts of the next message."""
        self._received += 1
        if self._received % MESSAGES_PER_TURN == 0:
            # Lets other tasks run even if messages are always available.
            await trio.lowlevel.checkpoint()
        while not self.closed:
            try:
                return self.socket.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                with trio.CancelScope() as self._scope:
                    await trio.lowlevel.wait_readable(self.socket.FD)
                self._scope = None
        return []

    def close(self) -> None:
        """Close the socket at once; the receiver then gets no parts."""
        self.closed = True
        if self._scope:
            self._scope.cancel()
        self.socket.close(linger=0)


def _set_options(socket: zmq.Socket, settings: dict) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER)
    socket.setsockopt(zmq.MAXMSGSIZE, settings['limits']['message_bytes'])
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS // 2)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)


def router(context: zmq.Context, settings: dict) -> Channel:
    """Return the bound channel on which a process receives messages."""
    socket = context.socket(zmq.ROUTER)
    _set_options(socket, settings)
    socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
    socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
    keys.secure_server(socket, settings)
    socket.bind(settings['bind'])
    return Channel(socket)


def dealer(
    context: zmq.Context,
    settings: dict,
    address: str,
    peer: str,
    identity: str,
) -> Channel:
    """Return a channel connected to the process ``peer`` at ``address``.

    ``identity`` stays the same after a reconnect, so that replies are still
    delivered.
    """
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.ROUTING_ID, identity.encode())
    _set_options(socket, settings)
    keys.secure_client(socket, settings, peer)
    socket.connect(address)
    return Channel(socket)


class Connection:
    """A connection to one peer, for calls with replies and one-way messages.

    ``on_message`` is called with each message that is not a reply to a call;
    ``on_received`` is called for each message at all, delayed replies too.
    """

    def __init__(
        self,
        channel: Channel,
        on_message: typing.Callable[[typing.Any], None] | None = None,
        on_received: typing.Callable[[], None] | None = None,
    ):
        self.channel = channel
        self._on_message = on_message
        self._on_received = on_received
        self._seq = 0
        self._pending: dict[int, trio.MemorySendChannel] = {}

    def send(self, message: typing.Any) -> bool:
        """Send a message that has no reply."""
        return self.channel.send([messages.encode(message)])

    async def call(
        self,
        message: typing.Any,
        timeout_s: float,
        delay_callback: tuple[float, typing.Callable[[], None]] | None = None,
    ):
        """Send a message and return its reply.

        ``delay_callback`` is (time in s, function that is called if there is
        no reply by then).

        :raises NoController: no reply arrived in time.
        :raises MountridgeError: the peer answered with a `Failure`.
        """
        self._seq += 1
        seq = self._seq
        sender, receiver = trio.open_memory_channel(1)
        self._pending[seq] = sender
        try:
            if not self.channel.send([messages.encode(message, seq)]):
                raise errors.NoController('the send queue is full')
            reply = await _receive(receiver, timeout_s, delay_callback)
        finally:
            del self._pending[seq]
        if reply is None:
            raise errors.NoController('no reply in time')
        if isinstance(reply, messages.Failure):
            problem = errors.by_code(reply.code)(reply.message)
            problem.leader = reply.leader
            problem.leader_address = reply.leader_address
            raise problem
        return reply

    async def run(self) -> None:
        """Receive until closed; malformed messages are dropped."""
        while not self.channel.closed:
            parts = await self.channel.receive()
            if not parts:
                return
            try:
                envelope = messages.decode(memoryview(parts[-1]))
            except errors.BadMessage:
                continue
            if self._on_received:
                self._on_received()
            pending = self._pending.get(envelope.seq)
            if pending is not None:
                try:
                    pending.send_nowait(envelope.message)
                except (trio.WouldBlock, trio.BrokenResourceError):
                    pass
            elif envelope.seq == 0 and self._on_message:
                self._on_message(envelope.message)

    def close(self) -> None:
        """Close the connection."""
        self.channel.close()


async def _receive(
    receiver: trio.MemoryReceiveChannel,
    timeout_s: float,
    delay_callback: tuple[float, typing.Callable[[], None]] | None,
) -> typing.Any:
    """Return what is received within ``timeout_s``, else None."""
    if delay_callback is not None and delay_callback[0] < timeout_s:
        delay_s, on_delay = delay_callback
        with trio.move_on_after(delay_s):
            return await receiver.receive()
        on_delay()
        timeout_s -= delay_s
    with trio.move_on_after(timeout_s):
        return await receiver.receive()
    return None
