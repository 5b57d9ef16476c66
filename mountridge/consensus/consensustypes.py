# SPDX-License-Identifier: Apache-2.0

"""Types of the consensus core: its messages, events, effects and state."""

import random
import typing

from mountridge.consensus import entries

FOLLOWER = 'follower'
PRE_CANDIDATE = 'pre-candidate'
CANDIDATE = 'candidate'
LEADER = 'leader'

#: Two starts share a number once in 4e18; it fits a signed 64-bit integer.
START_ID_BITS = 62


#: Voters that know at the same moment that nobody leads stand for election
#: this far apart, in the order of their ids: above a pre-vote, a vote and
#: a sync between halls, 15 to 25 ms.
ELECTION_STAGGER_S = 0.03


class Timing(typing.NamedTuple):
    """Times of the protocol, in seconds."""

    heartbeat_s: float
    election_s: float  # silence after which a leader may be replaced


# Messages between controllers.


class RequestVote(typing.NamedTuple):
    """Candidate to voters; ``pre_vote`` asks only whether it could win."""

    term: int
    pre_vote: bool
    last_index: int
    last_term: int
    leadership_transfer: bool  # the leader itself asked for this election


class VoteReply(typing.NamedTuple):
    """Answer to `RequestVote`."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(typing.NamedTuple):
    """Leader to followers: entries past ``prev_index``, or a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: list[entries.Entry]
    leader_commit: int
    sent_s: float  # the leader's clock, echoed by the answer


class AppendEntriesReply(typing.NamedTuple):
    """Answer to `AppendEntries`; unless ``ok``, ``match_index`` is a hint."""

    term: int
    ok: bool
    match_index: int
    sent_s: float


class InstallSnapshot(typing.NamedTuple):
    """Leader to a follower far behind: one part of a snapshot."""

    term: int
    index: int
    index_term: int
    config: entries.Config
    offset: int
    size: int
    data: bytes
    sent_s: float


class InstallSnapshotReply(typing.NamedTuple):
    """Answer to `InstallSnapshot`: the offset reached, ``done`` when whole."""

    term: int
    index: int
    offset: int
    done: bool
    sent_s: float


class TimeoutNow(typing.NamedTuple):
    """Leader to a voter: stand for election now."""

    term: int


class LeaderQuery(typing.NamedTuple):
    """A controller that has just started asks another whether it leads."""

    start_id: int  # of this start; an answer to an earlier one is void


class NotLeading(typing.NamedTuple):
    """Answer to `LeaderQuery`, which a leader never gives."""

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
    """Time has passed."""


class Received(typing.NamedTuple):
    """A message came from another controller."""

    sender: str
    message: Message


class Synced(typing.NamedTuple):
    """The log is durable here up to the entry (index, term)."""

    index: int
    term: int


class Propose(typing.NamedTuple):
    """Append commands to the log (leader only)."""

    payloads: list[bytes]


class Read(typing.NamedTuple):
    """Confirm by a quorum that this is still the leader."""

    read_id: int


class ChangeConfig(typing.NamedTuple):
    """Set the controllers (leader only, one voter at a time)."""

    config: entries.Config


class TransferLeadership(typing.NamedTuple):
    """Give leadership to ``target``, or to the best voter if ''."""

    target: str


class Compact(typing.NamedTuple):
    """A snapshot of the state up to ``index`` was made."""

    index: int
    data: bytes
    keep: int  # entries before it that are kept for slow followers


class Snapshot(typing.NamedTuple):
    """State up to an index, with the configuration then."""

    index: int
    term: int
    config: entries.Config
    data: bytes


# Effects.


class SaveVote(typing.NamedTuple):
    """Make the term and the vote in it durable."""

    term: int
    voted_for: str


class SaveEntries(typing.NamedTuple):
    """Make entries durable; what stood from the first one on is cut."""

    entries: list[entries.Entry]


class SaveSnapshot(typing.NamedTuple):
    """Make a snapshot durable; entries up to its index may go."""

    snapshot: Snapshot
    #: From the leader: entries in the log are replaced too.
    from_leader: bool = False


class Send(typing.NamedTuple):
    """Send a message; ``early`` needs no sync before it."""

    to: str
    message: Message
    before_sync: bool = False


class Apply(typing.NamedTuple):
    """Apply committed entries, in order."""

    entries: list[entries.Entry]


class ReadReady(typing.NamedTuple):
    """The read is confirmed; false where leadership was lost."""

    read_id: int
    ok: bool


class RoleChanged(typing.NamedTuple):
    """The role has changed."""

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
    """What a leader knows of one other controller."""

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        #: When the newest message that it has answered was sent.
        self.acked_sent_s = float('-inf')
        self.inflight = 0
        #: When it last answered; never, for a peer not heard from yet.
        self.last_reply_s = float('inf')
        self.install_offset = -1  # -1: no snapshot is under way


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
        #: When this process began, and a number that no earlier start had.
        self.started_s = 0.0
        self.start_id = rng.getrandbits(START_ID_BITS)
        #: Who may be the leader that was followed before the start, and
        #: whether it must be one of them.
        self.possible_leaders: set[str] = set()
        self.possible_leaders_known = False
        self.next_query_s = 0.0
        self.election_at_s = 0.0
        self.votes: set[str] = set()
        self.pre_vote_attempts = 0  # asked for since a leader was heard
        self.pre_vote_sent_s = 0.0  # when a pre-vote was last asked for
        self.peers: dict[str, Peer] = {}
        self.synced_index = log.last_index
        self.term_start_index = 0  # first own entry of a leader
        self.leader_since_s = 0.0  # when it began to lead
        self.next_heartbeat_s = 0.0
        self.pending_reads: list[tuple[int, float]] = []
        self.transfer_target = ''
        self.transfer_deadline_s = 0.0
        self.snapshot: Snapshot | None = None
        self.incoming_snapshot: tuple[int, int, bytearray] | None = None

    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.config.voters) // 2 + 1
