# SPDX-License-Identifier: Apache-2.0

"""The life cycle of a daemon: tasks, message handlers and planned stop."""

import functools
import inspect
import signal
import time
import typing

import trio
import zmq

from mountridge import builds, clocks, errors, messages, metrics, records
from mountridge import signals, utils
from mountridge.logs import logger
from mountridge.net import keys, sockets

__all__ = ['Application']

#: Maximum time for which unsent messages delay the end of the process.
LINGER_MS = 100

Task = typing.Callable[[], typing.Awaitable[None]]
Handler = typing.Callable[['Peer', typing.Any], typing.Any]


class Peer(typing.NamedTuple):
    """The sender of a message, and how to reply to it."""

    route: bytes
    seq: int
    name: str  # from its key; '' where keys are off


class Application:
    """A daemon: its settings, bound channel, tasks, handlers and hooks.

    `handlers` maps a message type to a function of (peer, message) whose
    result, unless None, is sent back as the reply. `drain` hooks run on a
    planned stop, before the tasks are cancelled. `dumpers` return the parts
    of the state that `mountridge dump` prints.
    """

    def __init__(self, settings: dict):
        self.settings = settings
        self.name = settings['name']
        #: Identifies this run of the process; state of other runs is invalid.
        self.incarnation = utils.fresh_id()
        self.metrics = metrics.open_metrics(settings)
        self.clock = clocks.Clock(
            self.report_suspension, on_pause=self.report_pause
        )
        #: Called after a suspension of the machine, with its duration in
        #: seconds, before the new time is used.
        self.on_suspension: list[typing.Callable[[float], None]] = []
        #: Called after this process was not run for a while, with the
        #: duration in seconds, before it acts on anything it knew before.
        self.on_pause: list[typing.Callable[[float], None]] = []
        self.handlers: dict[type, Handler] = {
            messages.Dump: self._dump,
            messages.Stop: self._stop,
        }
        self.tasks: list[Task] = []
        self.drain: list[Task] = []
        #: Called when the settings may have changed.
        self.reload: list[typing.Callable[[], None]] = []
        self.dumpers: dict[str, typing.Callable[[], typing.Any]] = {}
        self.nursery: trio.Nursery | None = None
        self.stopping = trio.Event()
        self.channel: sockets.Channel | None = None
        self._dealers = 0

    @functools.cached_property
    def context(self) -> zmq.Context:
        """The ZeroMQ context of all sockets of this process."""
        return zmq.Context(io_threads=1)

    def now_s(self) -> float:
        """Return the monotonic time that is passed as ``now_s``.

        It includes the time for which the machine was suspended.
        """
        return self.clock.now_s()

    def report_suspension(self, gap_s: float) -> None:
        """Log a suspension of ``gap_s`` and call the hooks for it."""
        self.metrics.incr('clock.gaps')
        logger.warning('suspended', gap_ms=round(gap_s * 1000))
        for hook in self.on_suspension:
            hook(gap_s)

    def report_pause(self, gap_s: float) -> None:
        """Log that the process was not run for ``gap_s``; call the hooks."""
        self.metrics.incr('clock.pauses')
        logger.warning('not run', gap_ms=round(gap_s * 1000))
        for hook in self.on_pause:
            hook(gap_s)

    async def watch_pauses(self) -> None:
        """Read the clock often enough to detect pauses."""
        self.clock.watch()
        while True:
            await trio.sleep(clocks.READ_INTERVAL_S)
            self.now_s()

    def wall_s(self) -> float:
        """Return the Unix time, for records and the age of keys."""
        return time.time()

    def open_router(self) -> sockets.Channel:
        """Return the bound channel on which this process receives calls."""
        return sockets.router(self.context, self.settings)

    def open_dealer(self, address: str, peer: str) -> sockets.Channel:
        """Return a channel to the process ``peer`` at ``address``."""
        # Identities must be unique: routers keep one connection for each.
        self._dealers += 1
        identity = f'{self.name}.{self.incarnation}.{self._dealers}'
        return sockets.dealer(
            self.context, self.settings, address, peer, identity
        )

    def connect(
        self,
        address: str,
        peer: str,
        on_message: typing.Callable[[typing.Any], None] | None = None,
        on_received: typing.Callable[[], None] | None = None,
    ) -> sockets.Connection:
        """Return a running connection to the process ``peer``."""
        channel = self.open_dealer(address, peer)
        connection = sockets.Connection(channel, on_message, on_received)
        self.start_task(connection.run)
        return connection

    def send(self, route: bytes, message: typing.Any, seq: int = 0) -> bool:
        """Send to a peer that is connected to the bound channel."""
        return self.channel.send([route, messages.encode(message, seq)])

    def send_all(self, routes: list[bytes], message: typing.Any) -> None:
        """Send one message to several peers, encoded once."""
        data = messages.encode(message)
        for route in routes:
            self.channel.send([route, data])

    def reply(self, peer: Peer, message: typing.Any) -> bool:
        """Reply to the message that was received from ``peer``."""
        return self.send(peer.route, message, peer.seq)

    def start_task(self, task: typing.Callable, *args: typing.Any) -> None:
        """Run ``task`` until it ends or the process stops."""
        self.nursery.start_soon(task, *args)

    def _dump(self, peer: Peer, message: messages.Dump):
        state = {name: dumper() for name, dumper in self.dumpers.items()}
        build = {
            'build': builds.build_name(),
            'format_level': records.FORMAT_LEVEL,
        }
        return messages.DumpReply({'name': self.name, **build, **state})

    def _stop(self, peer: Peer, message: messages.Stop):
        self.stopping.set()
        return messages.DumpReply({'name': self.name, 'stopping': True})

    async def _receive(self) -> None:
        while True:
            parts = await self.channel.receive()
            if len(parts) != 2:
                self.metrics.incr('message.malformed')
                continue
            try:
                envelope = messages.decode(memoryview(parts[1]))
            except errors.UnknownKind as problem:
                self._refuse_kind(bytes(parts[0]), problem)
                continue
            except errors.BadMessage:
                self.metrics.incr('message.malformed')
                continue
            name = _peer_name(parts[1])
            peer = Peer(bytes(parts[0]), envelope.seq, name)
            self._handle(peer, envelope.message)

    def _refuse_kind(self, route: bytes, problem: errors.UnknownKind) -> None:
        """Answer a call of a kind that only later builds know."""
        self.metrics.incr('message.unknown_kind')
        if problem.seq:
            self.send(route, _failure(problem), problem.seq)

    def _handle(self, peer: Peer, message: typing.Any) -> None:
        handler = self.handlers.get(type(message))
        if handler is None:
            self.metrics.incr('message.unexpected')
            return
        if inspect.iscoroutinefunction(handler):
            self.start_task(self._answer, handler, peer, message)
            return
        try:
            result = handler(peer, message)
        except errors.MountridgeError as problem:
            result = _failure(problem)
        if result is not None:
            self.reply(peer, result)

    async def _answer(self, handler, peer: Peer, message) -> None:
        try:
            result = await handler(peer, message)
        except errors.MountridgeError as problem:
            result = _failure(problem)
        self.reply(peer, result)

    async def _watch_signals(self) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    self._reload()
                else:
                    self.stopping.set()

    def _reload(self) -> None:
        logger.info('reload requested')
        for hook in self.reload:
            hook()

    async def run(self) -> None:
        """Run until a planned stop is requested and the drain is complete."""
        self.channel = self.open_router()
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                for task in self.system_tasks() + self.tasks:
                    nursery.start_soon(task)
                signals.started.send(self)
                logger.info(
                    'started',
                    build=builds.build_name(),
                    format_level=records.FORMAT_LEVEL,
                )
                if not clocks.counts_suspension:
                    problem = errors.NoRealClock()
                    reason = str(problem)
                    logger.warning(
                        'clock ignores suspensions',
                        code=problem.code,
                        reason=reason,
                    )
                await self.stopping.wait()
                logger.info('stopping')
                for hook in self.drain:
                    await hook()
                nursery.cancel_scope.cancel()
        finally:
            signals.stopped.send(self)
            self.close()
            logger.info('stopped')

    def system_tasks(self) -> list[Task]:
        """Return the tasks that every daemon has."""

        async def authenticate() -> None:
            await keys.serve_authentication(self.context, self.settings)

        tasks = [authenticate, self._receive, self._watch_signals]
        # Only a process with knowledge that may become outdated needs it.
        return tasks + [self.watch_pauses] * bool(self.on_pause)

    def close(self) -> None:
        """Close all sockets."""
        self.context.destroy(linger=LINGER_MS)


def _failure(problem: errors.MountridgeError) -> messages.Failure:
    leader = getattr(problem, 'leader', '')
    address = getattr(problem, 'leader_address', '')
    return messages.Failure(problem.code, str(problem), leader, address)


def _peer_name(frame: zmq.Frame) -> str:
    """Return the name that the peer's key authenticates, '' without keys."""
    try:
        return frame.get('User-Id')
    except zmq.ZMQError:
        return ''
