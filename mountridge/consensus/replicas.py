# SPDX-License-Identifier: Apache-2.0

"""A replica: runs the consensus core with its disk, clock and peers."""

import random
import typing

import msgspec
import trio

from mountridge import application, errors, messages, records, signals
from mountridge.consensus import consensus, entries, replication, storage
from mountridge.logs import logger
from mountridge.net import sockets

__all__ = ['Replica', 'pack_message', 'unpack_message']

TICK_FRACTION = 0.25
#: Interval between retries on a full disk; below the election time.
DISK_FULL_RETRY_S = 0.2
#: Entries up to a snapshot that stay in memory, for slow followers.
KEEP_ENTRIES = 1000

_KINDS: tuple[type, ...] = (
    consensus.RequestVote,
    consensus.VoteReply,
    consensus.AppendEntries,
    consensus.AppendEntriesReply,
    consensus.InstallSnapshot,
    consensus.InstallSnapshotReply,
    consensus.TimeoutNow,
    consensus.LeaderQuery,
    consensus.NotLeading,
)
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_DECODERS = [records.decoder(kind, entries.Config) for kind in _KINDS]
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])


def pack_message(message: consensus.Message) -> bytes:
    """Return the encoding of a message between controllers."""
    return msgspec.msgpack.encode((_KIND_NUMBERS[type(message)], message))


def unpack_message(data: bytes) -> consensus.Message:
    """Return the message encoded in ``data``.

    :raises UnknownKind: its kind is not known.
    :raises BadMessage: it is malformed.
    """
    try:
        kind, body = _ENVELOPE.decode(data)
        if not 0 <= kind < len(_KINDS):
            raise errors.UnknownKind(f'unknown kind {kind}')
        return _DECODERS[kind](body)
    except (msgspec.MsgspecError, RecursionError) as problem:
        raise errors.BadMessage(str(problem))


class StateMachine(typing.Protocol):
    """The state machine that a replica applies committed entries to."""

    def apply_payload(self, index: int, payload: bytes) -> typing.Any:
        """Apply one committed entry and return its result.

        :raises UnknownCommand: this build cannot read it.
        """

    def knows_payload(self, payload: bytes) -> bool:
        """Return whether this build knows the command of an entry."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


class Replica:
    """One controller's copy of the log and of the state machine."""

    def __init__(
        self,
        app: application.Application,
        machine: StateMachine,
        on_role: typing.Callable[[consensus.RoleChanged], None],
    ):
        self.app = app
        self.machine = machine
        self._on_role = on_role
        self._settings = app.settings['controller']
        self.disk = storage.Storage(self._settings['data'])
        self.node = self._make_node()
        self.applied = self.node.commit_index
        self._peers: dict[str, tuple[str, sockets.Connection]] = {}
        #: Addresses for replies to controllers not in the configuration.
        self._reply_addresses: dict[str, str] = {}
        self._events: list[typing.Any] = []
        self._proposals: list[tuple[bytes, trio.MemorySendChannel]] = []
        self._pending_commands: dict[
            int, tuple[int, trio.MemorySendChannel]
        ] = {}
        self._pending_reads: dict[int, trio.MemorySendChannel] = {}
        self._last_read_id = 0
        #: Effects of steps outside `run`, which executes them.
        self._deferred_effects: list[consensus.Effect] = []
        #: Whether the voters are enough for what is acknowledged; set by the
        #: formation of the cluster.
        self.has_enough_voters: typing.Callable[[], bool] = lambda: True
        self._wake = trio.Event()
        self._stepped = trio.Event()
        self._snapshotting = False
        #: Id and term of a leader that this replica does not follow.
        self._refused_leader = ('', 0)

    def _make_node(self) -> consensus.Node:
        contents = self.disk.contents
        log = entries.Log(
            contents.snapshot.index,
            contents.snapshot.term,
            contents.snapshot.config,
        )
        if contents.entries:
            log.append(contents.entries)
        timing = consensus.Timing(
            self._settings['heartbeat_s'], self._settings['election_s']
        )
        node = consensus.make_node(
            contents.node_id,
            contents.term,
            contents.voted_for,
            log,
            timing,
            random.Random(self.app.incarnation),
            self.app.now_s(),
        )
        node.snapshot = contents.snapshot
        if contents.snapshot.data:
            self.machine.restore(contents.snapshot.data)
        return node

    # Calls from other modules.

    def lease_valid(self) -> bool:
        """Return whether this replica holds the leader's lease.

        It must also have applied all entries that earlier leaders committed.
        """
        if self.applied < self.node.term_start_index:
            return False
        return replication.lease_valid(self.node, self.app.now_s())

    def check_leader(self) -> None:
        """Check that this replica holds the leader's lease.

        :raises NotLeader: it does not; names the known leader.
        """
        if not self.lease_valid():
            problem = errors.NotLeader()
            leader_id = self.node.leader_id
            if leader_id == self.node.node_id:
                # The lease has run out: another controller may lead.
                raise problem
            problem.leader = leader_id.partition('.')[0]
            addresses = self.node.config.addresses()
            problem.leader_address = addresses.get(leader_id, '')
            raise problem

    async def propose(
        self, payload: bytes, is_acknowledged: bool = True
    ) -> typing.Any:
        """Return the state machine's result once the command is committed.

        A command whose result is acknowledged to others waits until there
        are enough voters; see `has_enough_voters`.

        :raises NotLeader: it was not proposed, or was lost in an election.
        :raises MountridgeError: the state machine refuses the command.
        """
        self.check_leader()
        while is_acknowledged and not self.has_enough_voters():
            await self.wait_for_step()
            self.check_leader()
        sender, receiver = trio.open_memory_channel(1)
        self._proposals.append((payload, sender))
        self._wake.set()
        return _unwrap(await receiver.receive())

    async def confirm_leadership(self) -> None:
        """Return once a quorum has confirmed that this replica leads."""
        self.check_leader()
        self._last_read_id += 1
        sender, receiver = trio.open_memory_channel(1)
        self._pending_reads[self._last_read_id] = sender
        self.submit_event(consensus.Read(self._last_read_id))
        _unwrap(await receiver.receive())

    async def wait_for_step(self) -> None:
        """Wait until the effects of the next step are executed."""
        await self._stepped.wait()

    def submit_event(self, event: typing.Any) -> None:
        """Queue an event for the consensus core."""
        self._events.append(event)
        self._wake.set()

    def on_raft(self, peer, message: messages.Raft) -> None:
        """Handle a message from another controller."""
        if peer.name and peer.name != message.sender.partition('.')[0]:
            self.app.metrics.incr('raft.wrong_sender')
            return
        try:
            consensus_message = unpack_message(message.body)
        except errors.BadMessage:
            self.app.metrics.incr('message.malformed')
            return
        self._reply_addresses[message.sender] = message.address
        if message.to != self.node.node_id:
            self.app.metrics.incr('raft.wrong_identity')
            self._reply_for_former_identity(message, consensus_message)
            return
        if self._can_follow(message.sender, consensus_message):
            self.submit_event(
                consensus.Received(message.sender, consensus_message)
            )

    def _can_follow(self, sender: str, message: consensus.Message) -> bool:
        """Return whether to handle a message of the protocol.

        Once a leader has sent a command of a later build, nothing that it
        replicates in that term is handled or acknowledged. A minority of
        such replicas stays behind until its upgrade; a majority of them
        elects another leader, and the command is never committed.
        """
        if not isinstance(
            message, (consensus.AppendEntries, consensus.InstallSnapshot)
        ):
            return True
        if self._refused_leader == (sender, message.term):
            return False
        for entry in getattr(message, 'entries', ()):
            if not self._knows_entry(entry):
                self._refused_leader = (sender, message.term)
                logger.error(
                    'refusing to follow leader of later build',
                    code=errors.UnknownCommand.code,
                    leader=sender,
                    index=entry.index,
                )
                self.app.metrics.incr('raft.unknown_command')
                return False
        return True

    def _knows_entry(self, entry: entries.Entry) -> bool:
        if entry.kind == entries.COMMAND:
            return self.machine.knows_payload(entry.payload)
        return entry.kind in entries.KINDS

    def _reply_for_former_identity(
        self, message: messages.Raft, consensus_message: consensus.Message
    ) -> None:
        """Reply that a former identity of this box does not lead.

        The box has lost its disk and its identity, but listens at the former
        address, so the former process has ended. Without the reply restarted
        voters would wait for the election timeout if the leader's disk is
        lost.
        """
        is_own = message.to.partition('.')[0] == self.app.name
        if is_own and isinstance(consensus_message, consensus.LeaderQuery):
            reply = consensus.NotLeading(consensus_message.start_id)
            self._send(consensus.Send(message.sender, reply), message.to)

    # The task.

    async def run(self) -> None:
        """Step the core with queued events and execute its effects."""
        tick_s = self._settings['heartbeat_s'] * TICK_FRACTION
        if self.applied < self.node.log.last_index:
            logger.info('log recovered', index=self.node.log.last_index)
        while True:
            with trio.move_on_after(tick_s):
                await self._wake.wait()
            self._wake = trio.Event()
            effects = self._step_all()
            await self._execute(effects)
            self._stepped.set()
            self._stepped = trio.Event()
            self._maybe_snapshot()

    def _step_all(self) -> list[consensus.Effect]:
        events, self._events = self._events, []
        effects, self._deferred_effects = self._deferred_effects, []
        for event in events:
            effects += self._step(event)
        if self._proposals:
            effects += self._step_proposals()
        return effects + self._step(consensus.Tick())

    def _step(self, event: typing.Any) -> list[consensus.Effect]:
        now_s = self.app.now_s()
        try:
            return consensus.step(self.node, event, now_s)
        except errors.MountridgeError as problem:
            if isinstance(event, consensus.Read):
                self._resolve(self._pending_reads, event.read_id, problem)
            return []

    def _step_proposals(self) -> list[consensus.Effect]:
        proposals, self._proposals = self._proposals, []
        first = self.node.log.last_index + 1
        payloads = [payload for payload, _ in proposals]
        try:
            effects = consensus.step(
                self.node, consensus.Propose(payloads), self.app.now_s()
            )
        except errors.NotLeader as problem:
            for _, waiter in proposals:
                _send(waiter, problem)
            return []
        for number, (_, waiter) in enumerate(proposals):
            self._pending_commands[first + number] = (self.node.term, waiter)
        return effects

    async def _execute(self, effects: list[consensus.Effect]) -> None:
        """Execute effects: sends before the sync, then saves, then the rest.

        All votes and entries are saved in one frame.
        """
        for effect in effects:
            if isinstance(effect, consensus.Send) and effect.before_sync:
                self._send(effect)
        await self._save(effects)
        for effect in effects:
            if isinstance(effect, consensus.Send) and not effect.before_sync:
                self._send(effect)
            elif isinstance(effect, consensus.Apply):
                self._apply(effect.entries)
            elif isinstance(effect, consensus.ReadReady):
                result = None if effect.ok else errors.NotLeader()
                self._resolve(self._pending_reads, effect.read_id, result)
            elif isinstance(effect, consensus.RoleChanged):
                self._announce_role(effect)
            elif isinstance(effect, consensus.SaveSnapshot):
                self._restore_snapshot(effect)

    async def _save(self, effects: list[consensus.Effect]) -> None:
        vote: consensus.SaveVote | None = None
        new_entries: list[entries.Entry] = []
        for effect in effects:
            if isinstance(effect, consensus.SaveVote):
                vote = effect
            elif isinstance(effect, consensus.SaveEntries):
                new_entries = new_entries + effect.entries
            elif isinstance(effect, consensus.SaveSnapshot):
                # The new journal starts with all of the current log.
                new_entries = []
                await self._save_snapshot(effect)
        if not vote and not new_entries:
            return
        await self._write(self.disk.save, vote, new_entries)
        if new_entries:
            last = new_entries[-1]
            self.submit_event(consensus.Synced(last.index, last.term))

    async def _write(self, write: typing.Callable, *args: typing.Any) -> None:
        """Write to the disk; retry while it is full.

        Until then this replica makes no step and sends nothing: a leader
        loses its lease and is replaced, a voter does not count. Nothing is
        acknowledged before it is on the disk.
        """
        is_full = False
        while True:
            try:
                await trio.to_thread.run_sync(write, *args)
                break
            except errors.DiskFull as problem:
                if not is_full:
                    logger.error(
                        'disk full', code=problem.code, reason=str(problem)
                    )
                is_full = True
                self.app.metrics.incr('disk.full')
            await trio.sleep(DISK_FULL_RETRY_S)
        if is_full:
            logger.info('disk no longer full')

    async def _save_snapshot(self, effect: consensus.SaveSnapshot) -> None:
        """Save a snapshot and a journal of the entries after it."""
        snapshot = effect.snapshot
        if effect.from_leader:
            await self._write(self.disk.write_snapshot, snapshot)
        log = self.node.log
        after = log.between(snapshot.index + 1, log.last_index)
        await self._write(self.disk.rotate, snapshot, after)
        if after:
            self.submit_event(
                consensus.Synced(after[-1].index, after[-1].term)
            )

    def _restore_snapshot(self, effect: consensus.SaveSnapshot) -> None:
        if effect.from_leader:
            self.machine.restore(effect.snapshot.data)
            self.applied = effect.snapshot.index
            logger.info('snapshot installed', index=self.applied)
            # It does not tell what became of its own proposals up to there.
            for index in sorted(self._pending_commands):
                if index <= self.applied:
                    _, waiter = self._pending_commands.pop(index)
                    _send(waiter, errors.NotLeader())

    def _send(self, effect: consensus.Send, sender: str = '') -> None:
        address = self.node.config.addresses().get(effect.to)
        connection = self._peers.get(effect.to)
        address = address or (connection[0] if connection else None)
        name = effect.to.partition('.')[0]
        # A learner with an empty log knows only senders of messages.
        address = address or self._reply_addresses.get(effect.to)
        address = address or self.app.settings['controllers'].get(name)
        if address is None:
            return
        if connection is None or connection[0] != address:
            if connection:
                connection[1].close()
            connection = (address, self.app.connect(address, name))
            self._peers[effect.to] = connection
        body = pack_message(effect.message)
        if not connection[1].send(
            messages.Raft(
                sender or self.node.node_id,
                effect.to,
                body,
                self.app.settings['bind'],
            )
        ):
            self.app.metrics.incr('raft.unsent')

    def _apply(self, ready: list[entries.Entry]) -> None:
        """Apply committed entries.

        :raises UnknownCommand: an entry is of a later build. The process
            ends, as without the entry its state would differ from that of
            the other controllers.
        """
        for entry in ready:
            self.applied = entry.index
            try:
                result = self._apply_entry(entry)
            except errors.UnknownCommand as problem:
                logger.error(
                    'cannot apply command of later build',
                    code=problem.code,
                    index=entry.index,
                    reason=str(problem),
                )
                raise
            pending = self._pending_commands.pop(entry.index, None)
            if pending is not None:
                lost = pending[0] != entry.term
                _send(pending[1], errors.NotLeader() if lost else result)

    def _apply_entry(self, entry: entries.Entry) -> typing.Any:
        """Apply an entry; return the reply to its proposer or its refusal."""
        if entry.kind not in entries.KINDS:
            raise errors.UnknownCommand(f'kind {entry.kind} of log entry')
        if entry.kind != entries.COMMAND:
            return None
        try:
            return self.machine.apply_payload(entry.index, entry.payload)
        except errors.UnknownCommand:
            raise
        except errors.MountridgeError as problem:
            return problem

    def _announce_role(self, role: consensus.RoleChanged) -> None:
        logger.info('role changed', **role._asdict())
        self.app.metrics.incr(f'raft.{role.role}')
        self._on_role(role)
        address = self.node.config.addresses().get(role.leader_id, '')
        if address:
            signals.leader_known.send(self, address=address)

    def _resolve(self, waiting: dict, key: int, result: typing.Any) -> None:
        waiter = waiting.pop(key, None)
        if waiter is not None:
            _send(waiter, result)

    # Snapshots.

    def _maybe_snapshot(self) -> None:
        index = self.applied
        last = self.node.snapshot.index if self.node.snapshot else 0
        if self._snapshotting:
            return
        if index - last < self._settings['snapshot_entries']:
            return
        self._snapshotting = True
        self.app.start_task(self._snapshot, index, self.machine.snapshot())

    async def _snapshot(self, index: int, data: bytes) -> None:
        """Write a snapshot beside the journal, then compact the log."""
        log = self.node.log
        snapshot = consensus.Snapshot(
            index, log.term_at(index), log.config_at(index), data
        )
        try:
            await trio.to_thread.run_sync(self.disk.write_snapshot, snapshot)
        except errors.DiskFull as problem:
            logger.error(
                'failed to write snapshot', index=index, reason=str(problem)
            )
            await trio.sleep(DISK_FULL_RETRY_S)
            return
        finally:
            self._snapshotting = False
        self.submit_event(consensus.Compact(index, data, KEEP_ENTRIES))
        logger.info('snapshot written', index=index, size_bytes=len(data))

    async def change_config(self, config: entries.Config) -> None:
        """Change the configuration; return once that is committed.

        :raises RefusedChange: with the reason for the operator.
        """
        self.check_leader()
        event = consensus.ChangeConfig(config)
        effects = consensus.step(self.node, event, self.app.now_s())
        index, term = self.node.log.last_index, self.node.term
        sender, receiver = trio.open_memory_channel(1)
        self._pending_commands[index] = (term, sender)
        self._deferred_effects.extend(effects)
        self._wake.set()
        _unwrap(await receiver.receive())

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another voter before a planned stop."""
        if self.node.role != consensus.LEADER:
            return
        self.submit_event(consensus.TransferLeadership(''))
        with trio.move_on_after(2 * self._settings['election_s']):
            while self.node.role == consensus.LEADER:
                await trio.sleep(self._settings['heartbeat_s'] / 4)


def _send(waiter: trio.MemorySendChannel, result: typing.Any) -> None:
    try:
        waiter.send_nowait(result)
    except (trio.WouldBlock, trio.BrokenResourceError):
        pass


def _unwrap(result: typing.Any) -> typing.Any:
    if isinstance(result, errors.MountridgeError):
        raise result
    return result
