# SPDX-License-Identifier: Apache-2.0

"""Replication of the consensus core: leader, followers and snapshots."""

from mountridge.consensus.consensustypes import (
    AppendEntries, AppendEntriesReply, Apply, Effect, ELECTION_STAGGER_S,
    FOLLOWER, InstallSnapshot, InstallSnapshotReply, LEADER, Node, Peer,
    ReadReady, RoleChanged, SaveEntries, SaveSnapshot, SaveVote, Send,
    Snapshot, Synced, TimeoutNow,
)  # fmt: skip
from mountridge.consensus import entries
from mountridge import errors

__all__ = [
    'adopt_term', 'append_as_leader', 'become_leader', 'best_transfer_target',
    'check_caught_up', 'confirm_reads', 'continue_transfer', 'leader_tick',
    'lease_valid', 'on_append_entries', 'on_append_entries_reply',
    'on_install_snapshot', 'on_install_snapshot_reply', 'on_synced',
    'quorum_ack_time', 'send_heartbeats',
]  # fmt: skip

#: Limits of the entries in one message, and of the unacknowledged messages
#: to one peer.
MAX_APPEND_BYTES = 256 << 10
MAX_INFLIGHT = 8
SNAPSHOT_CHUNK_BYTES = 256 << 10
#: Length of the lease, as a fraction of the election time; the rest allows
#: for clock drift between controllers.
LEASE_FRACTION = 0.9
#: Most entries by which a learner may be behind when it becomes a voter.
MAX_LEARNER_LAG = 100


# Roles.


def _step_down(node: Node) -> list[Effect]:
    was_leader = node.role == LEADER
    node.role = FOLLOWER
    node.leader_id = ''
    node.transfer_target = ''
    node.peers = {}
    failed = [ReadReady(read_id, False) for read_id, _ in node.pending_reads]
    node.pending_reads = []
    if was_leader:
        return failed + [RoleChanged(FOLLOWER, node.term, '')]
    return failed


def adopt_term(node: Node, term: int, now_s: float) -> list[Effect]:
    """Become a follower in a later term, with no vote in it yet."""
    node.term = term
    node.voted_for = ''
    return [SaveVote(term, '')] + _step_down(node)


def become_leader(node: Node, now_s: float) -> list[Effect]:
    """Append an empty entry, whose commit commits those of earlier terms."""
    node.role = LEADER
    node.leader_id = node.node_id
    node.transfer_target = ''
    node.pending_reads = []
    node.peers = {}
    node.leader_since_s = now_s
    node.term_start_index = node.log.last_index + 1
    _update_config(node)
    name = node.node_id.encode()
    entry = entries.Entry(
        node.term, node.term_start_index, entries.EMPTY, name
    )
    role = RoleChanged(LEADER, node.term, node.node_id)
    return [role] + append_as_leader(node, [entry], now_s)


def _update_config(node: Node) -> None:
    """Use the newest configuration in the log, committed or not."""
    node.config_index, node.config = node.log.config()
    if node.role != LEADER:
        return
    addresses = node.config.addresses()
    for peer_id in addresses:
        if peer_id != node.node_id and peer_id not in node.peers:
            node.peers[peer_id] = Peer(node.log.last_index + 1)
    for peer_id in list(node.peers):
        if peer_id not in addresses:
            del node.peers[peer_id]


# Leading.


def append_as_leader(
    node: Node, new_entries: list[entries.Entry], now_s: float
) -> list[Effect]:
    """Append the leader's new entries and send them to all peers.

    They are sent before the local sync: the leader counts its own copy only
    once it is synced.
    """
    node.log.append(new_entries)
    if any(entry.kind == entries.CONFIG for entry in new_entries):
        _update_config(node)
    sends = [
        effect
        for peer_id in node.peers
        for effect in _replicate_to(node, peer_id, now_s)
    ]
    return [*sends, SaveEntries(new_entries)]


def _replicate_to(
    node: Node, peer_id: str, now_s: float, heartbeat: bool = False
) -> list[Effect]:
    """Send a peer its missing entries, or an empty message as heartbeat."""
    peer = node.peers[peer_id]
    if peer.next_index <= node.log.base_index:
        return _send_snapshot_chunk(node, peer_id, now_s, heartbeat)
    effects: list[Effect] = []
    while (
        peer.next_index <= node.log.last_index and peer.inflight < MAX_INFLIGHT
    ):
        batch = _next_batch(node, peer.next_index)
        effects.append(_make_append(node, peer_id, batch, now_s))
        peer.next_index += len(batch)
        peer.inflight += 1
    if heartbeat and not effects:
        effects.append(_make_append(node, peer_id, [], now_s))
    return effects


def _next_batch(node: Node, first: int) -> list[entries.Entry]:
    size = 0
    last = first - 1
    for entry in node.log.between(first, node.log.last_index):
        size += len(entry.payload) + 32
        if size > MAX_APPEND_BYTES and last >= first:
            break
        last = entry.index
    return node.log.between(first, last)


def _make_append(
    node: Node, peer_id: str, batch: list[entries.Entry], now_s: float
) -> Send:
    prev = node.peers[peer_id].next_index - 1
    message = AppendEntries(
        node.term,
        prev,
        node.log.term_at(prev),
        batch,
        node.commit_index,
        now_s,
    )
    return Send(peer_id, message, before_sync=True)


def _send_snapshot_chunk(
    node: Node, peer_id: str, now_s: float, heartbeat: bool
) -> list[Effect]:
    """Send the next chunk of a snapshot; a heartbeat sends it again."""
    peer = node.peers[peer_id]
    snapshot = node.snapshot
    if snapshot is None:
        return []
    if peer.install_offset >= 0 and not heartbeat:
        return []
    offset = max(0, peer.install_offset)
    peer.install_offset = offset
    message = InstallSnapshot(
        node.term,
        snapshot.index,
        snapshot.term,
        snapshot.config,
        offset,
        len(snapshot.data),
        snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES],
        now_s,
    )
    return [Send(peer_id, message, before_sync=True)]


def leader_tick(node: Node, now_s: float) -> list[Effect]:
    """Check the leader's quorum and deadlines, and send due heartbeats."""
    contact_s = max(node.leader_since_s, quorum_ack_time(node, now_s))
    if now_s - contact_s > node.timing.election_s:
        return _step_down(node)
    if node.transfer_target and now_s >= node.transfer_deadline_s:
        # The target may still win its election, so the lease must not be
        # resumed.
        return _step_down(node)
    if now_s < node.next_heartbeat_s:
        return []
    return send_heartbeats(node, now_s)


def send_heartbeats(node: Node, now_s: float) -> list[Effect]:
    """Send heartbeats, and entries to peers whose replies were lost.

    The reply to an empty message that does not match the peer's log has the
    index from which replication continues.
    """
    node.next_heartbeat_s = now_s + node.timing.heartbeat_s
    effects: list[Effect] = []
    for peer_id, peer in node.peers.items():
        if now_s - peer.last_reply_s > 3 * node.timing.heartbeat_s:
            peer.inflight = 0
        effects += _replicate_to(node, peer_id, now_s, heartbeat=True)
    return effects


def quorum_ack_time(node: Node, now_s: float) -> float:
    """Return the latest send time that a quorum has acknowledged."""
    times = [
        now_s if voter == node.node_id else node.peers[voter].acked_sent_s
        for voter in node.config.voters
    ]
    times.sort(reverse=True)
    if not times:
        return now_s
    return times[node.quorum() - 1]


def lease_valid(node: Node, now_s: float) -> bool:
    """Return whether no other leader can have been elected yet."""
    if node.role != LEADER or node.transfer_target:
        return False
    if node.commit_index < node.term_start_index:
        return False
    span_s = node.timing.election_s * LEASE_FRACTION
    return now_s < quorum_ack_time(node, now_s) + span_s


def confirm_reads(node: Node, now_s: float) -> list[Effect]:
    """Confirm reads for which a quorum has acknowledged a later message."""
    if not node.pending_reads or node.commit_index < node.term_start_index:
        return []
    confirmed_s = quorum_ack_time(node, now_s)
    ready = [
        r
        for r, requested_s in node.pending_reads
        if requested_s <= confirmed_s
    ]
    node.pending_reads = [r for r in node.pending_reads if r[1] > confirmed_s]
    return [ReadReady(read_id, True) for read_id in ready]


def best_transfer_target(node: Node, now_s: float) -> str:
    """Return the responsive voter with the most entries, or ''."""
    candidates = [
        (peer.match_index, peer_id)
        for peer_id, peer in node.peers.items()
        if peer_id in node.config.voters
        and now_s - peer.acked_sent_s < node.timing.election_s
    ]
    return max(candidates)[1] if candidates else ''


def check_caught_up(node: Node, peer_id: str, now_s: float) -> None:
    """Check that a learner may become a voter.

    :raises RefusedChange: with the reason for the operator.
    """
    peer = node.peers.get(peer_id)
    if peer is None:
        raise errors.RefusedChange(f'{peer_id} is not a learner; add it first')
    if now_s - peer.acked_sent_s > node.timing.election_s:
        raise errors.RefusedChange(f'{peer_id} has not replied recently')
    behind = node.log.last_index - peer.match_index
    if behind > MAX_LEARNER_LAG:
        raise errors.RefusedChange(f'{peer_id} is {behind} entries behind')


def continue_transfer(node: Node, now_s: float) -> list[Effect]:
    """Have the target start an election once it has all entries."""
    peer = node.peers.get(node.transfer_target)
    if peer is None:
        return []
    if peer.match_index == node.log.last_index:
        return [Send(node.transfer_target, TimeoutNow(node.term))]
    return _replicate_to(node, node.transfer_target, now_s, heartbeat=True)


# Commitment.


def on_synced(node: Node, event: Synced, now_s: float) -> list[Effect]:
    """Count the local copy of the log as durable."""
    if node.log.term_at(event.index) != event.term:
        return []
    node.synced_index = event.index
    return _commit_replicated(node, now_s) if node.role == LEADER else []


def _commit_replicated(node: Node, now_s: float) -> list[Effect]:
    """Commit up to the newest entry of this term on a durable quorum."""
    matches = [
        (
            node.synced_index
            if voter == node.node_id
            else node.peers[voter].match_index
        )
        for voter in node.config.voters
    ]
    matches.sort(reverse=True)
    index = min(matches[node.quorum() - 1], node.log.last_index)
    if index <= node.commit_index or node.log.term_at(index) != node.term:
        return []
    effects = _set_commit_index(node, index) + confirm_reads(node, now_s)
    if (
        node.commit_index >= node.config_index
        and node.node_id not in node.config.voters
    ):
        effects += send_heartbeats(node, now_s) + _step_down(node)
    return effects


def _set_commit_index(node: Node, index: int) -> list[Effect]:
    ready = node.log.between(node.commit_index + 1, index)
    node.commit_index = index
    return [Apply(ready)] if ready else []


def _record_reply(
    node: Node,
    sender: str,
    message: AppendEntriesReply | InstallSnapshotReply,
    now_s: float,
) -> Peer | None:
    """Return the peer that sent a reply, None unless it is for this term."""
    peer = node.peers.get(sender)
    if node.role != LEADER or message.term != node.term or peer is None:
        return None
    peer.acked_sent_s = max(peer.acked_sent_s, message.sent_s)
    peer.last_reply_s = now_s
    return peer


def on_append_entries_reply(
    node: Node, sender: str, message: AppendEntriesReply, now_s: float
) -> list[Effect]:
    """Update a follower's progress and send it more entries."""
    if message.term > node.term:
        return adopt_term(node, message.term, now_s)
    peer = _record_reply(node, sender, message, now_s)
    if peer is None:
        return []
    peer.inflight = max(0, peer.inflight - 1)
    if not message.ok:
        if message.match_index >= peer.match_index:
            peer.next_index = message.match_index + 1
            peer.inflight = 0
    elif message.match_index > peer.match_index:
        peer.match_index = message.match_index
        peer.next_index = max(peer.next_index, peer.match_index + 1)
    effects = _commit_replicated(node, now_s)
    if node.role != LEADER:
        return effects
    effects += confirm_reads(node, now_s)
    if node.transfer_target == sender:
        return effects + continue_transfer(node, now_s)
    return effects + _replicate_to(node, sender, now_s)


# Following.


def _follow_leader(
    node: Node, sender: str, term: int, now_s: float
) -> list[Effect]:
    """Record ``sender`` as the leader of ``term``."""
    effects: list[Effect] = []
    if term > node.term:
        effects = adopt_term(node, term, now_s)
    if node.role != FOLLOWER:
        effects += _step_down(node)
    node.leader_contact_s = now_s
    if node.leader_id != sender:
        node.leader_id = sender
        effects.append(RoleChanged(FOLLOWER, term, sender))
    _restart_leader_timeout(node, now_s)
    return effects


def _restart_leader_timeout(node: Node, now_s: float) -> None:
    """Set the election timeout after contact with a leader.

    All voters lose contact with a failed leader at about the same time, so
    their timeouts are staggered by id, not random: the first one starts an
    election after the election time, each next one only if those before it
    have failed too. Random timeouts take longer and collide more often.
    """
    node.pre_vote_attempts = 0
    order = [v for v in sorted(node.config.voters) if v != node.leader_id]
    position = (
        order.index(node.node_id) if node.node_id in order else len(order)
    )
    wait_s = ELECTION_STAGGER_S * (1 + position + node.rng.random() / 4)
    node.election_at_s = now_s + node.timing.election_s + wait_s


def on_append_entries(
    node: Node, sender: str, message: AppendEntries, now_s: float
) -> list[Effect]:
    """Append a leader's entries if they match the log."""
    if message.term < node.term:
        reply = AppendEntriesReply(node.term, False, 0, message.sent_s)
        return [Send(sender, reply)]
    effects = _follow_leader(node, sender, message.term, now_s)
    ok, match = _match_log(node, message)
    if ok:
        effects += _append_missing(node, message.entries)
        match = message.prev_index + len(message.entries)
        effects += _commit_up_to(node, min(message.leader_commit, match))
    reply = AppendEntriesReply(node.term, ok, match, message.sent_s)
    return effects + [Send(sender, reply)]


def _match_log(node: Node, message: AppendEntries) -> tuple[bool, int]:
    """Return whether the previous entry matches, and the index that does.

    Without a match the index is only a hint.
    """
    log = node.log
    prev = message.prev_index
    if prev < log.base_index:
        # In the snapshot; committed entries are known to match.
        return False, node.commit_index
    term = log.term_at(prev)
    if term == message.prev_term:
        return True, prev
    if term is None:
        return False, log.last_index
    hint = prev - 1
    while hint > node.commit_index and log.term_at(hint) == term:
        hint -= 1
    return False, hint


def _append_missing(
    node: Node, new_entries: list[entries.Entry]
) -> list[Effect]:
    """Append missing entries; truncate the log only at a conflict."""
    for number, entry in enumerate(new_entries):
        if node.log.term_at(entry.index) != entry.term:
            new = new_entries[number:]
            node.log.append(new)
            node.synced_index = min(node.synced_index, entry.index - 1)
            _update_config(node)
            return [SaveEntries(new)]
    return []


def _commit_up_to(node: Node, index: int) -> list[Effect]:
    return _set_commit_index(node, index) if index > node.commit_index else []


def on_install_snapshot(
    node: Node, sender: str, message: InstallSnapshot, now_s: float
) -> list[Effect]:
    """Collect the chunks of a snapshot and install it once complete."""
    if message.term < node.term:
        reply = InstallSnapshotReply(node.term, 0, 0, False, message.sent_s)
        return [Send(sender, reply)]
    effects = _follow_leader(node, sender, message.term, now_s)
    offset, done = _collect_chunk(node, message)
    if done and message.index > node.commit_index:
        effects += _install_snapshot(node, message)
    reply = InstallSnapshotReply(
        node.term, message.index, offset, done, message.sent_s
    )
    return effects + [Send(sender, reply)]


def _collect_chunk(node: Node, message: InstallSnapshot) -> tuple[int, bool]:
    if message.index <= node.commit_index:
        return message.size, True
    # Two leaders may write the same state in different bytes.
    key = (message.term, message.index, message.index_term)
    if node.incoming_snapshot is None or node.incoming_snapshot[:3] != key:
        node.incoming_snapshot = (*key, bytearray())
    data = node.incoming_snapshot[3]
    if message.offset == len(data):
        data += message.data
    return len(data), len(data) == message.size


def _install_snapshot(node: Node, message: InstallSnapshot) -> list[Effect]:
    snapshot = Snapshot(
        message.index,
        message.index_term,
        message.config,
        bytes(node.incoming_snapshot[3]),
    )
    node.incoming_snapshot = None
    node.snapshot = snapshot
    if node.log.term_at(snapshot.index) == snapshot.term:
        node.log.trim(snapshot.index)
    else:
        node.log = entries.Log(snapshot.index, snapshot.term, snapshot.config)
    node.commit_index = snapshot.index
    node.synced_index = node.log.last_index
    _update_config(node)
    return [SaveSnapshot(snapshot, from_leader=True)]


def on_install_snapshot_reply(
    node: Node, sender: str, message: InstallSnapshotReply, now_s: float
) -> list[Effect]:
    """Record the reply to a chunk and send the next one."""
    if message.term > node.term:
        return adopt_term(node, message.term, now_s)
    peer = _record_reply(node, sender, message, now_s)
    if peer is None:
        return []
    if message.done:
        peer.match_index = max(peer.match_index, message.index)
        peer.next_index = peer.match_index + 1
        peer.install_offset = -1
        return _commit_replicated(node, now_s) + _replicate_if_leader(
            node, sender, now_s
        )
    if not node.snapshot or message.index != node.snapshot.index:
        # A newer snapshot has replaced the one being sent.
        peer.install_offset = 0
    else:
        peer.install_offset = message.offset
    return _replicate_to(node, sender, now_s, heartbeat=True)


def _replicate_if_leader(
    node: Node, peer_id: str, now_s: float
) -> list[Effect]:
    if node.role != LEADER:
        return []
    return _replicate_to(node, peer_id, now_s)
