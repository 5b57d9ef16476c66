# SPDX-License-Identifier: Apache-2.0

"""ZeroMQ sockets on trio, each owned by one task, and calls over them.

`pyzmq` has no trio support. The socket's descriptor only signals an edge,
and a send may use up the edge that announced a message, so each send looks
at the pending events again and wakes the receiver where it must.
"""

import typing

import trio
import zmq

from mountridge import errors, messages
from mountridge.net import keys

__all__ = ['Caller', 'Channel', 'router', 'dealer']

#: Messages that may wait for one peer before more are refused.
HIGH_WATER = 10000
#: A peer that is silent for this long is taken as gone by the transport, and
#: is connected to anew. Well below the 3 s after a cut by which operators
#: expect a box to be up to date. How long a busy process pauses was not
#: measured; what a connection loses that ends for nothing, calls repeat.
HEARTBEAT_MS = 1000
#: A connection that is not made by then is begun anew. Behind a cut the
#: system repeats the opening packet after 1, 2 and 4 s only, so that a box
#: would stay away for seconds after the cut has healed. Above a few round
#: trips between regions.
CONNECT_MS = 400
#: Pauses between attempts to connect: the first, and the longest. A process
#: takes 0.2 to 0.5 s to start.
RECONNECT_MS = 50
RECONNECT_MAX_MS = 400
#: Messages received before other tasks have a turn.
TURN = 16


class Channel:
    """One ZeroMQ socket and the task that receives on it."""

    def __init__(self, socket: zmq.Socket):
        self.socket = socket
        self._scope: trio.CancelScope | None = None
        self.closed = False
        self._received = 0

    def send(self, parts: list[bytes]) -> bool:
        """Send without waiting; false where the peer can't take it."""
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
        if self._received % TURN == 0:
            # With messages always waiting no other task would have a turn.
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
        """Close the socket at once; a receiver then gets no parts."""
        self.closed = True
        if self._scope:
            self._scope.cancel()
        self.socket.close(linger=0)


def _common(socket: zmq.Socket, settings: dict) -> None:
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
    """Return the bound channel on which a process takes messages."""
    socket = context.socket(zmq.ROUTER)
    _common(socket, settings)
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

    ``identity`` stays the same when the connection is made anew, so that
    replies still find their way.
    """
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.ROUTING_ID, identity.encode())
    _common(socket, settings)
    keys.secure_client(socket, settings, peer)
    socket.connect(address)
    return Channel(socket)


class Caller:
    """A connection to one peer: calls with replies, and plain sends.

    ``on_message`` takes each message that is not a reply to a call;
    ``on_heard`` is called for each message at all, late replies too.
    """

    def __init__(
        self,
        channel: Channel,
        on_message: typing.Callable[[typing.Any], None] | None = None,
        on_heard: typing.Callable[[], None] | None = None,
    ):
        self.channel = channel
        self._on_message = on_message
        self._on_heard = on_heard
        self._seq = 0
        self._waiting: dict[int, trio.MemorySendChannel] = {}

    def send(self, message: typing.Any) -> bool:
        """Send a message that has no reply."""
        return self.channel.send([messages.encode(message)])

    async def call(
        self,
        message: typing.Any,
        timeout_s: float,
        late: tuple[float, typing.Callable[[], None]] | None = None,
    ):
        """Send a message and return its reply.

        ``late`` is (time in s, what is called where no reply came by then).

        :raises NoController: no reply came in time.
        :raises MountridgeError: the peer answered with a `Failure`.
        """
        self._seq += 1
        seq = self._seq
        sender, receiver = trio.open_memory_channel(1)
        self._waiting[seq] = sender
        try:
            if not self.channel.send([messages.encode(message, seq)]):
                raise errors.NoController('the connection is full')
            reply = await _receive(receiver, timeout_s, late)
        finally:
            del self._waiting[seq]
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
            if self._on_heard:
                self._on_heard()
            waiting = self._waiting.get(envelope.seq)
            if waiting is not None:
                try:
                    waiting.send_nowait(envelope.message)
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
    late: tuple[float, typing.Callable[[], None]] | None,
) -> typing.Any:
    """Return what comes within ``timeout_s``, else None."""
    if late is not None and late[0] < timeout_s:
        late_s, tell = late
        with trio.move_on_after(late_s):
            return await receiver.receive()
        tell()
        timeout_s -= late_s
    with trio.move_on_after(timeout_s):
        return await receiver.receive()
    return None
