# SPDX-License-Identifier: Apache-2.0

"""Types of the consensus core: messages, events, effects and state."""

import random
import typing

from mountridge.consensus import entries

FOLLOWER = 'follower'
PRE_CANDIDATE = 'pre-candidate'
CANDIDATE = 'candidate'
LEADER = 'leader'

#: The random id of a start fits a signed 64-bit integer; two starts have the
#: same one with a probability of 1 in 4e18.
START_ID_BITS = 62


#: Interval between the elections of voters that detect the loss of the
#: leader at the same time, in the order of their ids. Longer than a pre-vote,
#: a vote and a sync between halls, which take 15 to 25 ms.
ELECTION_STAGGER_S = 0.03


class Timing(typing.NamedTuple):
    """Timing of the protocol, in seconds."""

    heartbeat_s: float  # interval
    election_s: float  # time without a heartbeat before an election


# Messages between controllers.


class RequestVote(typing.NamedTuple):
    """Candidate to voters: request for a vote.

    A pre-vote only asks whether the candidate could win.
    """

    term: int
    pre_vote: bool
    last_index: int
    last_term: int
    leadership_transfer: bool  # the leader requested this election


class VoteReply(typing.NamedTuple):
    """Reply to `RequestVote`."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(typing.NamedTuple):
    """Leader to followers: entries after ``prev_index``, or a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: list[entries.Entry]
    leader_commit: int
    sent_s: float  # the leader's clock, echoed in the reply


class AppendEntriesReply(typing.NamedTuple):
    """Reply to `AppendEntries`.

    Unless ``ok``, ``match_index`` is where the logs may match.
    """

    term: int
    ok: bool
    match_index: int
    sent_s: float


class InstallSnapshot(typing.NamedTuple):
    """Leader to a follower far behind: one chunk of a snapshot."""

    term: int
    index: int
    index_term: int
    config: entries.Config
    offset: int
    size: int
    data: bytes
    sent_s: float


class InstallSnapshotReply(typing.NamedTuple):
    """Reply to `InstallSnapshot`.

    ``offset`` is the next byte wanted; ``done`` means that all was received.
    """

    term: int
    index: int
    offset: int
    done: bool
    sent_s: float


class TimeoutNow(typing.NamedTuple):
    """Leader to a voter: start an election now."""

    term: int


class LeaderQuery(typing.NamedTuple):
    """Restarted controller to another: asks whether it leads."""

    start_id: int  # of the sender; replies to earlier starts are ignored


class NotLeading(typing.NamedTuple):
    """Reply to `LeaderQuery`, never sent by a leader."""

    start_id: int


Message = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
    | LeaderQuery
    | NotLeading
)


# Events.


class Tick(typing.NamedTuple):
    """Check the timers."""


class Received(typing.NamedTuple):
    """A message from another controller was received."""

    sender: str
    message: Message


class Synced(typing.NamedTuple):
    """The local log is durable up to the entry (index, term)."""

    index: int
    term: int


class Propose(typing.NamedTuple):
    """Append commands to the log (leader only)."""

    payloads: list[bytes]


class Read(typing.NamedTuple):
    """Confirm with a quorum that this node is still the leader."""

    read_id: int


class ChangeConfig(typing.NamedTuple):
    """Change the configuration (leader only, one voter at a time)."""

    config: entries.Config


class TransferLeadership(typing.NamedTuple):
    """Transfer leadership to ``target``, or to the best voter if ''."""

    target: str


class Compact(typing.NamedTuple):
    """A snapshot of the state up to ``index`` was written."""

    index: int
    data: bytes
    keep: int  # entries up to the index that stay in memory for slow followers


class Snapshot(typing.NamedTuple):
    """State up to an index, with the configuration at that index."""

    index: int
    term: int
    config: entries.Config
    data: bytes


# Effects.


class SaveVote(typing.NamedTuple):
    """Persist the term and the vote in that term."""

    term: int
    voted_for: str


class SaveEntries(typing.NamedTuple):
    """Persist entries; they replace all from the first one's index on."""

    entries: list[entries.Entry]


class SaveSnapshot(typing.NamedTuple):
    """Persist a snapshot; entries up to its index may be removed."""

    snapshot: Snapshot
    #: Received from the leader; replaces the log and the state as well.
    from_leader: bool = False


class Send(typing.NamedTuple):
    """Send a message, if ``before_sync`` without waiting for the sync."""

    to: str
    message: Message
    before_sync: bool = False


class Apply(typing.NamedTuple):
    """Apply committed entries, in order."""

    entries: list[entries.Entry]


class ReadReady(typing.NamedTuple):
    """A read was confirmed, or failed because leadership was lost."""

    read_id: int
    ok: bool


class RoleChanged(typing.NamedTuple):
    """The role or the known leader has changed."""

    role: str
    term: int
    leader_id: str


Effect = (
    SaveVote
    | SaveEntries
    | SaveSnapshot
    | Send
    | Apply
    | ReadReady
    | RoleChanged
)


# State.


class Peer:
    """The leader's state of replication to one other controller."""

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        #: When the newest acknowledged message was sent.
        self.acked_sent_s = float('-inf')
        self.inflight = 0
        #: When the last reply was received; infinite before the first one.
        self.last_reply_s = float('inf')
        self.install_offset = -1  # -1: no snapshot transfer in progress


class Node:
    """State of one controller in the protocol."""

    def __init__(
        self,
        node_id: str,
        term: int,
        voted_for: str,
        log: entries.Log,
        timing: Timing,
        rng: random.Random,
    ):
        self.node_id = node_id
        self.term = term
        self.voted_for = voted_for
        self.log = log
        self.timing = timing
        self.rng = rng
        self.config_index, self.config = log.config()
        self.commit_index = log.base_index
        self.role = FOLLOWER
        self.leader_id = ''
        self.leader_contact_s = 0.0
        self.started_s = 0.0
        self.start_id = rng.getrandbits(START_ID_BITS)
        #: Controllers that may be the leader followed before the start, and
        #: whether that leader must be one of them.
        self.possible_leaders: set[str] = set()
        self.possible_leaders_known = False
        self.next_query_s = 0.0
        self.election_at_s = 0.0
        self.votes: set[str] = set()
        self.pre_vote_attempts = 0  # since the last contact with a leader
        self.pre_vote_sent_s = 0.0  # when a pre-vote was last requested
        self.peers: dict[str, Peer] = {}
        self.synced_index = log.last_index
        self.term_start_index = 0  # first entry of this node's term as leader
        self.leader_since_s = 0.0
        self.next_heartbeat_s = 0.0
        self.pending_reads: list[tuple[int, float]] = []
        self.transfer_target = ''
        self.transfer_deadline_s = 0.0
        self.snapshot: Snapshot | None = None
        #: Term of its sender, index and term of its last entry, its bytes.
        self.incoming_snapshot: tuple[int, int, int, bytearray] | None = None

    def quorum(self) -> int:
        """Return the number of voters that make a majority."""
        return len(self.config.voters) // 2 + 1
