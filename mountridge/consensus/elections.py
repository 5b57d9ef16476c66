# SPDX-License-Identifier: Apache-2.0

"""Elections of the consensus core: pre-votes, votes and election timeouts.

A voter grants a vote only if no leader's lease can depend on its replies.
That holds once it has had no contact with a leader for the election time.
After a restart it can be known sooner, without a clock: a lease that depends
on replies from before the restart belongs to a leader that still leads. So a
restarted voter asks every possible leader whether it leads. Once all have
denied it, the voter may vote and start an election at once.

Possible leaders: a voter replies to a leader only after it has saved the
leader's term. If its log ends in that term, it has the leader's first entry,
which names the leader. If that entry was compacted into a snapshot, the
leader is a voter of the snapshot's configuration or of a later one, or its
removal is committed and it has stepped down. If the log ends in an earlier
term than the saved one, the leader is unknown and only the timeout counts.
Leaders of earlier terms hold no lease, or no successor had been elected.

A box that has lost its disk has a new identity and replies for its former
one: the former process has ended, or its address would still be in use.

One denial per possible leader suffices: it did not lead when it replied,
after this restart, and can become leader only by votes and replies that are
sent later still.
"""

from mountridge.consensus.consensustypes import (
    CANDIDATE, Effect, ELECTION_STAGGER_S, FOLLOWER, LEADER, LeaderQuery, Node,
    NotLeading, PRE_CANDIDATE, RequestVote, SaveVote, Send, TimeoutNow,
    VoteReply,
)  # fmt: skip
from mountridge.consensus import entries, replication

__all__ = [
    'on_leader_query', 'on_not_leading', 'on_request_vote', 'on_timeout_now',
    'on_vote_reply', 'query_leaders', 'reset_after_start',
    'reset_election_timer', 'start_pre_vote',
]  # fmt: skip

#: A voter that granted a pre-vote requests none for this long, in which the
#: other's election should end. Shorter than the interval between pre-votes,
#: so that a candidate that cannot win does not block the others.
ELECTION_DEFER_S = 2 * ELECTION_STAGGER_S
#: The interval doubles with each failed pre-vote, up to the election time;
#: this only bounds the exponent.
MAX_DOUBLINGS = 8


def reset_election_timer(node: Node, now_s: float) -> None:
    """Set a random election timeout, so that elections seldom collide."""
    span_s = node.timing.election_s * (1 + node.rng.random())
    node.election_at_s = now_s + span_s


def reset_after_start(node: Node, now_s: float) -> None:
    """Initialize the timers and the possible leaders after a start."""
    node.started_s = node.leader_contact_s = node.next_query_s = now_s
    node.possible_leaders_known = node.term == node.log.last_term
    node.possible_leaders = _possible_leaders(node.log) - {node.node_id}
    reset_election_timer(node, now_s)
    if node.possible_leaders_known and not node.possible_leaders:
        _schedule_election(node, now_s)


def _possible_leaders(log: entries.Log) -> set[str]:
    """Return the possible leaders of the term in which the log ends."""
    leader_id = log.leader_of_last_term()
    return {leader_id} if leader_id else log.all_voters()


def _schedule_election(node: Node, now_s: float) -> None:
    order = sorted(node.config.voters)
    if node.node_id in order:
        wait_s = ELECTION_STAGGER_S * order.index(node.node_id)
        node.election_at_s = min(node.election_at_s, now_s + wait_s)


def _no_contact_since_start(node: Node) -> bool:
    return node.leader_contact_s == node.started_s


def _no_active_lease(node: Node, now_s: float) -> bool:
    """Return whether no leader's lease can depend on this voter."""
    if node.leader_id == node.node_id:
        return False
    if (
        _no_contact_since_start(node)
        and node.possible_leaders_known
        and not node.possible_leaders
    ):
        return True
    return now_s - node.leader_contact_s >= node.timing.election_s


def query_leaders(node: Node, now_s: float) -> list[Effect]:
    """Ask the possible leaders, until they reply or the timeout ends."""
    if not _no_contact_since_start(node) or _no_active_lease(node, now_s):
        return []
    if now_s < node.next_query_s:
        return []
    node.next_query_s = now_s + node.timing.heartbeat_s
    query = LeaderQuery(node.start_id)
    return [Send(voter, query) for voter in sorted(node.possible_leaders)]


def on_leader_query(
    node: Node, sender: str, message: LeaderQuery, now_s: float
) -> list[Effect]:
    """Reply to a restarted controller, unless this one leads."""
    if node.role == LEADER:
        return []
    effects: list[Effect] = [Send(sender, NotLeading(message.start_id))]
    if _no_contact_since_start(node) and sender in node.possible_leaders:
        # The sender has just started and may have missed the first query.
        effects.append(Send(sender, LeaderQuery(node.start_id)))
    return effects


def on_not_leading(
    node: Node, sender: str, message: NotLeading, now_s: float
) -> list[Effect]:
    """Schedule an election once no possible leader is left."""
    if (
        message.start_id != node.start_id
        or sender not in node.possible_leaders
    ):
        return []
    node.possible_leaders.discard(sender)
    if (
        not node.possible_leaders
        and node.possible_leaders_known
        and _no_contact_since_start(node)
    ):
        _schedule_election(node, now_s)
    return []


def _other_voters(node: Node) -> list[str]:
    return [v for v in node.config.voters if v != node.node_id]


def _request_votes(
    node: Node, term: int, pre_vote: bool, transfer: bool
) -> list[Effect]:
    message = RequestVote(
        term, pre_vote, node.log.last_index, node.log.last_term, transfer
    )
    return [Send(voter, message) for voter in _other_voters(node)]


def start_pre_vote(node: Node, now_s: float) -> list[Effect]:
    """Ask whether an election could be won, without starting a new term.

    Retried soon, as it disturbs no leader and some voters may have had
    contact with the leader a little later; the interval then doubles.
    """
    span_s = node.timing.heartbeat_s * 2**node.pre_vote_attempts
    span_s = min(span_s, node.timing.election_s) * (1 + node.rng.random())
    node.election_at_s = now_s + span_s
    node.pre_vote_attempts = min(node.pre_vote_attempts + 1, MAX_DOUBLINGS)
    if node.node_id not in node.config.voters:
        return []
    node.role = PRE_CANDIDATE
    node.pre_vote_sent_s = now_s
    node.leader_id = ''
    node.votes = {node.node_id}
    if len(node.votes) >= node.quorum():
        return _start_election(node, False, now_s)
    return _request_votes(node, node.term + 1, True, False)


def _start_election(node: Node, transfer: bool, now_s: float) -> list[Effect]:
    reset_election_timer(node, now_s)
    node.role = CANDIDATE
    node.leader_id = ''
    node.term += 1
    node.voted_for = node.node_id
    node.votes = {node.node_id}
    effects: list[Effect] = [SaveVote(node.term, node.voted_for)]
    if len(node.votes) >= node.quorum():
        return effects + replication.become_leader(node, now_s)
    return effects + _request_votes(node, node.term, False, transfer)


def on_timeout_now(
    node: Node, sender: str, message: TimeoutNow, now_s: float
) -> list[Effect]:
    """Start an election, as the leader transfers its leadership."""
    if message.term != node.term or node.role != FOLLOWER:
        return []
    if node.node_id not in node.config.voters:
        return []
    return _start_election(node, True, now_s)


def _is_up_to_date(node: Node, message: RequestVote) -> bool:
    candidate_log = (message.last_term, message.last_index)
    return candidate_log >= (node.log.last_term, node.log.last_index)


def _has_priority(
    node: Node, sender: str, message: RequestVote, now_s: float
) -> bool:
    """Return whether this voter requests pre-votes too, with priority.

    If two candidates were both granted pre-votes, both elections would fail,
    and the next ones follow an election time later.
    """
    if (
        node.role != PRE_CANDIDATE
        or now_s > node.pre_vote_sent_s + ELECTION_DEFER_S
    ):
        return False
    candidate_log = (message.last_term, message.last_index)
    if candidate_log != (node.log.last_term, node.log.last_index):
        return False
    return node.node_id < sender


def _defer_election(node: Node, now_s: float) -> None:
    """Wait for the election of a voter that was granted a pre-vote."""
    if node.role == PRE_CANDIDATE:
        node.role = FOLLOWER
    node.election_at_s = max(node.election_at_s, now_s + ELECTION_DEFER_S)


def on_request_vote(
    node: Node, sender: str, message: RequestVote, now_s: float
) -> list[Effect]:
    """Grant or refuse a vote.

    The request and its term are ignored while there was recent contact with
    a leader: the leader's lease depends on that.
    """
    if not message.leadership_transfer and not _no_active_lease(node, now_s):
        return []
    if message.pre_vote:
        granted = message.term > node.term and _is_up_to_date(node, message)
        granted = granted and not _has_priority(node, sender, message, now_s)
        if granted:
            _defer_election(node, now_s)
        return [Send(sender, VoteReply(message.term, True, granted))]
    effects: list[Effect] = []
    if message.term > node.term:
        effects += replication.adopt_term(node, message.term, now_s)
    granted = (
        message.term == node.term
        and node.voted_for in ('', sender)
        and _is_up_to_date(node, message)
    )
    if granted:
        node.voted_for = sender
        reset_election_timer(node, now_s)
        effects.append(SaveVote(node.term, sender))
    return effects + [Send(sender, VoteReply(node.term, False, granted))]


def on_vote_reply(
    node: Node, sender: str, message: VoteReply, now_s: float
) -> list[Effect]:
    """Count a vote."""
    if not message.pre_vote and message.term > node.term:
        return replication.adopt_term(node, message.term, now_s)
    expected = node.term + 1 if message.pre_vote else node.term
    role = PRE_CANDIDATE if message.pre_vote else CANDIDATE
    if node.role != role or message.term != expected:
        return []
    if not message.granted or sender not in node.config.voters:
        return []
    node.votes.add(sender)
    if len(node.votes) < node.quorum():
        return []
    if message.pre_vote:
        return _start_election(node, False, now_s)
    return replication.become_leader(node, now_s)
