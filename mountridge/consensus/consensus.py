# SPDX-License-Identifier: Apache-2.0

"""The consensus core: a replicated log with one leader per term.

Follows Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-vote,
check-quorum, a leader lease, learners, changes of one voter at a time, and
leadership transfer. No I/O: `step` takes an event and the current time and
returns effects, which the caller executes in order. Effects that follow a
`SaveVote`, `SaveEntries` or `SaveSnapshot` must not be executed before that
is synced, except a `Send` with ``before_sync``.
"""

import random
import typing

from mountridge.consensus.consensustypes import (
    AppendEntries, AppendEntriesReply, Apply, CANDIDATE, ChangeConfig, Compact,
    Effect, FOLLOWER, InstallSnapshot, InstallSnapshotReply, LEADER,
    LeaderQuery, Message, Node, NotLeading, Peer, PRE_CANDIDATE, Propose, Read,
    ReadReady, Received, RequestVote, RoleChanged, SaveEntries, SaveSnapshot,
    SaveVote, Send, Snapshot, Synced, Tick, TimeoutNow, Timing,
    TransferLeadership, VoteReply,
)  # fmt: skip
from mountridge.consensus import elections, entries, replication
from mountridge import errors

__all__ = [
    'AppendEntries', 'AppendEntriesReply', 'Apply', 'CANDIDATE',
    'ChangeConfig', 'Compact', 'Effect', 'FOLLOWER', 'InstallSnapshot',
    'InstallSnapshotReply', 'LEADER', 'LeaderQuery', 'make_node', 'Message',
    'Node', 'NotLeading', 'Peer', 'PRE_CANDIDATE', 'Propose', 'Read',
    'ReadReady', 'Received', 'RequestVote', 'RoleChanged', 'SaveEntries',
    'SaveSnapshot', 'SaveVote', 'Send', 'Snapshot', 'step', 'Synced', 'Tick',
    'TimeoutNow', 'Timing', 'TransferLeadership', 'VoteReply',
]  # fmt: skip


def make_node(
    node_id: str,
    term: int,
    voted_for: str,
    log: entries.Log,
    timing: Timing,
    rng: random.Random,
    now_s: float,
) -> Node:
    """Return a follower with the state that its storage holds."""
    node = Node(node_id, term, voted_for, log, timing, rng)
    elections.reset_after_start(node, now_s)
    return node


def _tick(node: Node, event: Tick, now_s: float) -> list[Effect]:
    if node.role == LEADER:
        return replication.leader_tick(node, now_s)
    if now_s >= node.election_at_s:
        return elections.start_pre_vote(node, now_s)
    return elections.query_leaders(node, now_s)


def _propose(node: Node, event: Propose, now_s: float) -> list[Effect]:
    _check_leader(node)
    new_entries = [
        entries.Entry(
            node.term,
            node.log.last_index + 1 + number,
            entries.COMMAND,
            payload,
        )
        for number, payload in enumerate(event.payloads)
    ]
    return replication.append_as_leader(node, new_entries, now_s)


def _check_leader(node: Node) -> None:
    if node.role != LEADER or node.transfer_target:
        problem = errors.NotLeader(f'{node.node_id} is not the leader')
        problem.leader = node.leader_id
        raise problem


def _read(node: Node, event: Read, now_s: float) -> list[Effect]:
    _check_leader(node)
    node.pending_reads.append((event.read_id, now_s))
    return replication.send_heartbeats(
        node, now_s
    ) + replication.confirm_reads(node, now_s)


def _change_config(
    node: Node, event: ChangeConfig, now_s: float
) -> list[Effect]:
    _check_leader(node)
    if (
        node.commit_index < node.config_index
        or node.commit_index < node.term_start_index
    ):
        raise errors.RefusedChange('an earlier change is not yet committed')
    before, after = set(node.config.voters), set(event.config.voters)
    if len(before ^ after) > 1:
        raise errors.RefusedChange('only one voter at a time may change')
    if not after:
        raise errors.RefusedChange('the last voter cannot be removed')
    for added in after - before:
        replication.check_caught_up(node, added, now_s)
    entry = entries.Entry(
        node.term,
        node.log.last_index + 1,
        entries.CONFIG,
        event.config.pack(),
    )
    return replication.append_as_leader(node, [entry], now_s)


def _transfer_leadership(
    node: Node, event: TransferLeadership, now_s: float
) -> list[Effect]:
    _check_leader(node)
    target = event.target or replication.best_transfer_target(node, now_s)
    if target == node.node_id or target not in node.config.voters:
        raise errors.RefusedChange(
            f'cannot transfer leadership to {target or "another voter"}'
        )
    node.transfer_target = target
    node.transfer_deadline_s = now_s + node.timing.election_s
    return replication.continue_transfer(node, now_s)


def _compact(node: Node, event: Compact, now_s: float) -> list[Effect]:
    """Record a snapshot of the state at an applied index; trim the log."""
    index = event.index
    term = node.log.term_at(index)
    newest = node.snapshot.index if node.snapshot else -1
    if term is None or index > node.commit_index or index <= newest:
        return []
    log = node.log
    node.snapshot = Snapshot(index, term, log.config_at(index), event.data)
    log.trim(max(log.base_index, index - event.keep))
    return [SaveSnapshot(node.snapshot)]


def _handle_message(node: Node, event: Received, now_s: float) -> list[Effect]:
    handler = _MESSAGES[type(event.message)]
    return handler(node, event.sender, event.message, now_s)


_MESSAGES: dict[type, typing.Callable] = {
    RequestVote: elections.on_request_vote,
    VoteReply: elections.on_vote_reply,
    TimeoutNow: elections.on_timeout_now,
    LeaderQuery: elections.on_leader_query,
    NotLeading: elections.on_not_leading,
    AppendEntries: replication.on_append_entries,
    AppendEntriesReply: replication.on_append_entries_reply,
    InstallSnapshot: replication.on_install_snapshot,
    InstallSnapshotReply: replication.on_install_snapshot_reply,
}

_EVENTS: dict[type, typing.Callable] = {
    Tick: _tick,
    Received: _handle_message,
    Synced: replication.on_synced,
    Propose: _propose,
    Read: _read,
    ChangeConfig: _change_config,
    TransferLeadership: _transfer_leadership,
    Compact: _compact,
}


def step(node: Node, event: typing.Any, now_s: float) -> list[Effect]:
    """Process one event and return its effects, in order.

    :raises NotLeader: the event is for the leader only.
    :raises RefusedChange: the change of the configuration is not allowed.
    """
    return _EVENTS[type(event)](node, event, now_s)
