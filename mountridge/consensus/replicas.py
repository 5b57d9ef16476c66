# SPDX-License-Identifier: Apache-2.0

"""A replica: the consensus core with its disk, its clock and its peers."""

import random
import typing

import msgspec
import trio

from mountridge import application, errors, messages, signals
from mountridge.consensus import consensus, entries, replication, storage
from mountridge.logs import logger
from mountridge.net import sockets

__all__ = ['Replica', 'pack_message', 'unpack_message']

TICK_PART = 0.25
#: A full disk is tried again after this long: well within an election.
FULL_S = 0.2
#: Entries kept in memory past a snapshot, for followers a little behind.
KEEP_ENTRIES = 1000

_KINDS: tuple[type, ...] = (
    consensus.AskVote,
    consensus.Vote,
    consensus.Append,
    consensus.Appended,
    consensus.Install,
    consensus.Installed,
    consensus.Campaign,
    consensus.Started,
    consensus.NotLeading,
)
_NUMBER = {kind: number for number, kind in enumerate(_KINDS)}
_DECODERS = [msgspec.msgpack.Decoder(kind) for kind in _KINDS]
_OUTER = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])


def pack_message(message: consensus.Message) -> bytes:
    """Return the bytes of a message between controllers."""
    return msgspec.msgpack.encode((_NUMBER[type(message)], message))


def unpack_message(data: bytes) -> consensus.Message:
    """Return the message in ``data``.

    :raises BadMessage: where it is malformed.
    """
    try:
        kind, body = _OUTER.decode(data)
        return _DECODERS[kind].decode(body)
    except (msgspec.MsgspecError, IndexError) as problem:
        raise errors.BadMessage(str(problem))


class Machine(typing.Protocol):
    """What a replica drives: a state machine."""

    def apply_payload(self, index: int, payload: bytes) -> typing.Any:
        """Apply one committed entry and return its reply."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


class Replica:
    """One controller's copy of the log and of the state machine."""

    def __init__(
        self,
        app: application.Application,
        machine: Machine,
        on_role: typing.Callable[[consensus.Role], None],
    ):
        self.app = app
        self.machine = machine
        self._on_role = on_role
        self._settings = app.settings['controller']
        self.disk = storage.Storage(self._settings['data'])
        self.node = self._make_node()
        self.applied = self.node.commit
        self._peers: dict[str, tuple[str, sockets.Connection]] = {}
        #: Where those that wrote to this replica take answers, by id.
        self._senders: dict[str, str] = {}
        self._events: list[typing.Any] = []
        self._proposals: list[tuple[bytes, trio.MemorySendChannel]] = []
        self._waiting: dict[int, tuple[int, trio.MemorySendChannel]] = {}
        self._reads: dict[int, trio.MemorySendChannel] = {}
        self._read_count = 0
        #: Effects of steps taken outside the task, still to be carried out.
        self._carried: list[consensus.Effect] = []
        self._wake = trio.Event()
        self._stepped = trio.Event()
        self._snapshotting = False

    def _make_node(self) -> consensus.Node:
        found = self.disk.contents
        log = entries.Log(
            found.snapshot.index, found.snapshot.term, found.snapshot.config
        )
        if found.entries:
            log.append(found.entries)
        timing = consensus.Timing(
            self._settings['heartbeat_s'], self._settings['election_s']
        )
        node = consensus.make_node(
            found.node_id,
            found.term,
            found.voted_for,
            log,
            timing,
            random.Random(self.app.incarnation),
            self.app.now_s(),
        )
        node.snapshot = found.snapshot
        if found.snapshot.data:
            self.machine.restore(found.snapshot.data)
        return node

    # What others ask.

    def lease_valid(self) -> bool:
        """Return whether this replica surely leads now.

        It must also have applied all that earlier leaders committed.
        """
        if self.applied < self.node.term_start:
            return False
        return replication.lease_valid(self.node, self.app.now_s())

    def check_leader(self) -> None:
        """Refuse, naming the leader, unless this replica surely leads."""
        if not self.lease_valid():
            problem = errors.NotLeader()
            leader_id = self.node.leader_id
            if leader_id == self.node.node_id:
                # It led, and is not heard by enough: someone else may know.
                raise problem
            problem.leader = leader_id.partition('.')[0]
            addresses = self.node.config.addresses()
            problem.leader_address = addresses.get(leader_id, '')
            raise problem

    async def propose(self, payload: bytes) -> typing.Any:
        """Return the machine's reply once the command is committed.

        :raises NotLeader: it was not taken, or was lost with a leader.
        :raises MountridgeError: the machine refuses the command.
        """
        self.check_leader()
        sender, receiver = trio.open_memory_channel(1)
        self._proposals.append((payload, sender))
        self._wake.set()
        return _unwrap(await receiver.receive())

    async def confirm(self) -> None:
        """Return once a quorum has confirmed that this replica leads."""
        self.check_leader()
        self._read_count += 1
        sender, receiver = trio.open_memory_channel(1)
        self._reads[self._read_count] = sender
        self.put(consensus.Read(self._read_count))
        _unwrap(await receiver.receive())

    async def stepped(self) -> None:
        """Return after the next step, by which much may have changed."""
        await self._stepped.wait()

    def put(self, event: typing.Any) -> None:
        """Hand an event to the core."""
        self._events.append(event)
        self._wake.set()

    def on_raft(self, peer, message: messages.Raft) -> None:
        """Take a message from another controller."""
        if peer.name and peer.name != message.sender.partition('.')[0]:
            self.app.metrics.incr('raft.wrong_sender')
            return
        try:
            inner = unpack_message(message.body)
        except errors.BadMessage:
            self.app.metrics.incr('message.malformed')
            return
        self._senders[message.sender] = message.address
        if message.to != self.node.node_id:
            self.app.metrics.incr('raft.wrong_identity')
            self._answer_for_former(message, inner)
            return
        self.put(consensus.Received(message.sender, inner))

    def _answer_for_former(
        self, message: messages.Raft, inner: consensus.Message
    ) -> None:
        """Tell a voter that a former identity of this box does not lead.

        The box has lost its disk, and with it the identity, but it was asked
        at the address of the former one, whose process must have ended for
        this one to listen there. Without the answer voters that start anew
        would wait for 0.5 to 1.0 s where the leader's disk is lost.
        """
        is_own = message.to.partition('.')[0] == self.app.name
        if is_own and isinstance(inner, consensus.Started):
            answer = consensus.NotLeading(inner.start_id)
            self._send(consensus.Send(message.sender, answer), message.to)

    # The task.

    async def run(self) -> None:
        """Feed events to the core and carry out its effects, for ever."""
        tick_s = self._settings['heartbeat_s'] * TICK_PART
        if self.applied < self.node.log.last_index:
            logger.info('recovered', index=self.node.log.last_index)
        while True:
            with trio.move_on_after(tick_s):
                await self._wake.wait()
            self._wake = trio.Event()
            effects = self._step_all()
            await self._carry_out(effects)
            self._stepped.set()
            self._stepped = trio.Event()
            self._maybe_snapshot()

    def _step_all(self) -> list[consensus.Effect]:
        events, self._events = self._events, []
        effects, self._carried = self._carried, []
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
                self._answer(self._reads, event.read_id, problem)
            return []

    def _step_proposals(self) -> list[consensus.Effect]:
        taken, self._proposals = self._proposals, []
        first = self.node.log.last_index + 1
        payloads = [payload for payload, _ in taken]
        try:
            effects = consensus.step(
                self.node, consensus.Propose(payloads), self.app.now_s()
            )
        except errors.NotLeader as problem:
            for _, waiter in taken:
                _send(waiter, problem)
            return []
        for number, (_, waiter) in enumerate(taken):
            self._waiting[first + number] = (self.node.term, waiter)
        return effects

    async def _carry_out(self, effects: list[consensus.Effect]) -> None:
        """Send early messages, save all in one frame, then do the rest."""
        for effect in effects:
            if isinstance(effect, consensus.Send) and effect.early:
                self._send(effect)
        await self._save(effects)
        for effect in effects:
            if isinstance(effect, consensus.Send) and not effect.early:
                self._send(effect)
            elif isinstance(effect, consensus.Apply):
                self._apply(effect.entries)
            elif isinstance(effect, consensus.ReadReady):
                result = None if effect.ok else errors.NotLeader()
                self._answer(self._reads, effect.read_id, result)
            elif isinstance(effect, consensus.Role):
                self._role(effect)
            elif isinstance(effect, consensus.SaveSnapshot):
                self._restore(effect)

    async def _save(self, effects: list[consensus.Effect]) -> None:
        vote: consensus.SaveVote | None = None
        fresh: list[entries.Entry] = []
        for effect in effects:
            if isinstance(effect, consensus.SaveVote):
                vote = effect
            elif isinstance(effect, consensus.SaveEntries):
                fresh = fresh + effect.entries
            elif isinstance(effect, consensus.SaveSnapshot):
                # The new journal begins with the log as it is by now.
                fresh = []
                await self._save_snapshot(effect)
        if not vote and not fresh:
            return
        await self._write(self.disk.save, vote, fresh)
        if fresh:
            last = fresh[-1]
            self.put(consensus.Synced(last.index, last.term))

    async def _write(self, write: typing.Callable, *args: typing.Any) -> None:
        """Write to the disk, again and again while it has no room.

        Meanwhile this replica takes no step and says nothing: as a leader
        it loses its lease and another one is elected, as a voter it is
        missed. Nothing is acknowledged that is not on the disk.
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
            await trio.sleep(FULL_S)
        if is_full:
            logger.info('disk has room again')

    async def _save_snapshot(self, effect: consensus.SaveSnapshot) -> None:
        """Put a snapshot in place; the log here is what is past it."""
        snapshot = effect.snapshot
        if effect.installed:
            await self._write(self.disk.write_snapshot, snapshot)
        log = self.node.log
        after = log.between(snapshot.index + 1, log.last_index)
        await self._write(self.disk.rotate, snapshot, after)
        if after:
            self.put(consensus.Synced(after[-1].index, after[-1].term))

    def _restore(self, effect: consensus.SaveSnapshot) -> None:
        if effect.installed:
            self.machine.restore(effect.snapshot.data)
            self.applied = effect.snapshot.index
            logger.info('snapshot installed', index=self.applied)

    def _send(self, effect: consensus.Send, sender: str = '') -> None:
        address = self.node.config.addresses().get(effect.to)
        known = self._peers.get(effect.to)
        address = address or (known[0] if known else None)
        name = effect.to.partition('.')[0]
        # A learner with an empty log knows only who wrote to it.
        address = address or self._senders.get(effect.to)
        address = address or self.app.settings['controllers'].get(name)
        if address is None:
            return
        if known is None or known[0] != address:
            if known:
                known[1].close()
            known = (address, self.app.connect(address, name))
            self._peers[effect.to] = known
        body = pack_message(effect.message)
        if not known[1].send(
            messages.Raft(
                sender or self.node.node_id,
                effect.to,
                body,
                self.app.settings['bind'],
            )
        ):
            self.app.metrics.incr('raft.unsent')

    def _apply(self, ready: list[entries.Entry]) -> None:
        for entry in ready:
            self.applied = entry.index
            result: typing.Any = None
            if entry.kind == entries.COMMAND:
                try:
                    result = self.machine.apply_payload(
                        entry.index, entry.payload
                    )
                except errors.MountridgeError as problem:
                    result = problem
            found = self._waiting.pop(entry.index, None)
            if found is not None:
                lost = found[0] != entry.term
                _send(found[1], errors.NotLeader() if lost else result)

    def _role(self, role: consensus.Role) -> None:
        logger.info('role', **role._asdict())
        self.app.metrics.incr(f'raft.{role.role}')
        self._on_role(role)
        address = self.node.config.addresses().get(role.leader_id, '')
        if address:
            signals.leader_known.send(self, address=address)

    def _answer(self, waiting: dict, key: int, result: typing.Any) -> None:
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
        """Write a snapshot beside the journal, then let the log shrink."""
        log = self.node.log
        made = consensus.Snapshot(
            index, log.term_at(index), log.config_at(index), data
        )
        try:
            await trio.to_thread.run_sync(self.disk.write_snapshot, made)
        except errors.DiskFull as problem:
            logger.error('no snapshot', index=index, reason=str(problem))
            await trio.sleep(FULL_S)
            return
        finally:
            self._snapshotting = False
        self.put(consensus.Compact(index, data, KEEP_ENTRIES))
        logger.info('snapshot', index=index, size_bytes=len(data))

    async def change_config(self, config: entries.Config) -> None:
        """Change the controllers; return once it is committed.

        :raises RefusedChange: with the reason for the operator.
        """
        self.check_leader()
        event = consensus.ChangeConfig(config)
        effects = consensus.step(self.node, event, self.app.now_s())
        index, term = self.node.log.last_index, self.node.term
        sender, receiver = trio.open_memory_channel(1)
        self._waiting[index] = (term, sender)
        self._carried.extend(effects)
        self._wake.set()
        _unwrap(await receiver.receive())

    async def hand_over(self) -> None:
        """Give leadership to another voter before a planned stop."""
        if self.node.role != consensus.LEADER:
            return
        self.put(consensus.HandOver(''))
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
