# SPDX-License-Identifier: Apache-2.0

"""Typed messages between mountridge's processes and their codec.

An envelope is the MessagePack array ``[VERSION, kind, seq, fields]``. A
reply carries the ``seq`` of its request; a message that is not part of a
call has ``seq`` 0. Decoding checks the fields against the `NamedTuple` of
the kind and raises `BadMessage` where they differ; fields after the known
ones are ignored.
"""

import typing

import msgspec

from mountridge import errors, records
from mountridge.messages.attempt import (
    Attach,
    AttemptReply,
    Cancel,
    Frame,
    Frames,
    WatchLoad,
    Load,
    Revoke,
    Ticket,
)
from mountridge.messages.quarantine import (
    CrashReport,
    CrashReportReply,
    PartReport,
    ProbeReply,
    QuarantineReply,
    ReadQuarantine,
    Release,
    TakeProbe,
)
from mountridge.messages.rank import (
    Loads,
    RankPush,
    RankReply,
    RankReport,
    RemoteOrder,
    RunnerLoad,
)
from mountridge.messages.route import (
    HallsReply,
    Heartbeat,
    Leave,
    PutRoutes,
    ReadHalls,
    ReadRoutes,
    Registered,
    RoutesReply,
    SetHall,
)

__all__ = [
    'ReadDecisions',
    'DecisionsReply',
    'Attach',
    'AttemptReply',
    'Cancel',
    'Change',
    'Changes',
    'Claim',
    'CrashReport',
    'CrashReportReply',
    'QuarantineReply',
    'ReadQuarantine',
    'Release',
    'PartReport',
    'TakeProbe',
    'ProbeReply',
    'ClaimReply',
    'Dump',
    'DumpReply',
    'Envelope',
    'Failure',
    'Fence',
    'Frame',
    'Frames',
    'Grant',
    'Load',
    'ReadMembers',
    'MembersReply',
    'Outcome',
    'PutTable',
    'PutTableReply',
    'Renew',
    'Revoke',
    'Share',
    'Stop',
    'ReadTable',
    'TableReply',
    'Ticket',
    'VERSION',
    'Raft',
    'Admin',
    'AdminReply',
    'Controllers',
    'HallsReply',
    'Heartbeat',
    'Loads',
    'RemoteOrder',
    'RankPush',
    'RankReply',
    'RankReport',
    'RunnerLoad',
    'Join',
    'Leave',
    'PutRoutes',
    'ReadHalls',
    'ReadRoutes',
    'Registered',
    'RoutesReply',
    'SetHall',
    'FindLeader',
    'decode',
    'encode',
]

#: Version of the envelope and of all messages in it.
VERSION = 1


class Fence(typing.NamedTuple):
    """Fencing token: a higher (term, index) invalidates all lower ones."""

    term: int
    index: int


class Share(typing.NamedTuple):
    """A gateway's share of the limits of a row, valid with its lease."""

    row: str  # key of the row
    concurrency: float
    rate_per_s: float


class Renew(typing.NamedTuple):
    """Gateway or agent to leader: renew the lease and request changes."""

    name: str
    kind: str
    incarnation: str
    hall: str
    address: str
    http: str
    services: list[str]
    expert_group: str
    slots: int
    index: int  # newest change that the sender has applied
    leaving: bool
    demand: list[Share]  # gateways: demand on each row
    held: list[Share]  # gateways: what may be in use of each row


class Change(typing.NamedTuple):
    """A change of an entry of the shared view; ``value`` None: removed."""

    index: int
    key: str
    value: bytes | None


class Grant(typing.NamedTuple):
    """Leader to lease holder: the lease, and the changes after its index."""

    lease_s: float
    fence: Fence
    index: int
    snapshot: bool  # the changes replace the whole view of the holder
    changes: list[Change]
    shares: list[Share]
    #: Addresses of the controllers, by name.
    controllers: dict[str, str] | None = None


class Changes(typing.NamedTuple):
    """Leader to lease holder between renewals: the newest changes."""

    fence: Fence
    since: int
    index: int
    changes: list[Change]


class Claim(typing.NamedTuple):
    """Gateway to leader: claim the key of a call for one attempt."""

    key: str
    digest: str  # of the request, to detect reuse of the key for another
    request_id: str
    attempt_id: str
    agent: str
    incarnation: str


class ClaimReply(typing.NamedTuple):
    """State of a claim. ``granted`` is true for one attempt only."""

    granted: bool
    agent: str
    incarnation: str
    attempt_id: str
    request_id: str
    outcome: str  # '' while open
    status: int
    answer: bytes


class Outcome(typing.NamedTuple):
    """Agent to leader: how a claimed attempt ended, with its answer."""

    key: str
    attempt_id: str
    outcome: str
    status: int
    answer: bytes


class PutTable(typing.NamedTuple):
    """Operator to leader: replace the rows of a base version."""

    operation_id: str
    base_version: int
    who: str
    rows: list[dict]


class PutTableReply(typing.NamedTuple):
    """Result of a `PutTable`; the same for each retry of it."""

    accepted: bool
    version: int
    index: int
    diff: list[str]  # rows that differ, if it was rejected


class ReadTable(typing.NamedTuple):
    """Operator to leader: read the newest table and its history."""


class TableReply(typing.NamedTuple):
    """Rows of a version; log entries are (version, index, who, at_s)."""

    version: int
    rows: list[dict]
    log: list[tuple[int, int, str, float]]
    in_force_index: int
    waiting_for: list[str]


class ReadDecisions(typing.NamedTuple):
    """Operator to any process: read decisions on a request, or the latest."""

    request_id: str
    count: int


class DecisionsReply(typing.NamedTuple):
    """Decision records as mappings."""

    records: list[dict]


class Dump(typing.NamedTuple):
    """Operator to any process: read its state."""


class DumpReply(typing.NamedTuple):
    """State of a process as plain data."""

    state: dict


class Stop(typing.NamedTuple):
    """Operator to any process: shut down gracefully."""


class ReadMembers(typing.NamedTuple):
    """Operator to leader: list the processes."""


class MembersReply(typing.NamedTuple):
    """The members as mappings."""

    members: list[dict]


class Failure(typing.NamedTuple):
    """An error reply to a call."""

    code: int
    message: str
    leader: str
    leader_address: str = ''


class Raft(typing.NamedTuple):
    """Controller to controller: a message of the consensus protocol."""

    sender: str
    to: str  # node id; later identities of the box ignore the message
    body: bytes
    address: str = ''  # of the sender, for replies


class Admin(typing.NamedTuple):
    """Operator to a controller: show or change the controllers or leader."""

    action: str  # whoami, status, show, add, promote, remove or transfer
    name: str
    address: str


class AdminReply(typing.NamedTuple):
    """Result of an `Admin` call."""

    done: bool
    text: str


class Join(typing.NamedTuple):
    """Controller to leader: join the cluster with the identity on its disk."""

    node_id: str
    name: str
    address: str
    hall: str = ''


class Controllers(typing.NamedTuple):
    """Leader to the seeds: the addresses of the controllers, by name."""

    addresses: dict[str, str]


class FindLeader(typing.NamedTuple):
    """Any process to a controller: find the leader.

    Only the leader replies, with `Registered`. Other controllers reject the
    call with the leader's address once they know a leader other than
    ``excluded``, the address of one found unresponsive or not leading.
    """

    excluded: str


_KINDS: tuple[type, ...] = (
    Ticket,
    Frames,
    Cancel,
    Revoke,
    AttemptReply,
    Attach,
    Load,
    Renew,
    Grant,
    Changes,
    Claim,
    ClaimReply,
    Outcome,
    PutTable,
    PutTableReply,
    ReadTable,
    TableReply,
    ReadDecisions,
    DecisionsReply,
    Dump,
    DumpReply,
    Stop,
    Failure,
    Raft,
    Admin,
    AdminReply,
    ReadMembers,
    MembersReply,
    WatchLoad,
    Join,
    PutRoutes,
    ReadRoutes,
    RoutesReply,
    Heartbeat,
    Leave,
    Registered,
    RankReport,
    RankReply,
    Loads,
    RemoteOrder,
    Controllers,
    RankPush,
    ReadHalls,
    HallsReply,
    SetHall,
    FindLeader,
    CrashReport,
    CrashReportReply,
    ReadQuarantine,
    QuarantineReply,
    Release,
    PartReport,
    TakeProbe,
    ProbeReply,
)
_NUMBER = {kind: number for number, kind in enumerate(_KINDS)}
_DECODERS = [records.decoder(kind) for kind in _KINDS]
_ENCODER = msgspec.msgpack.Encoder()


class Envelope(typing.NamedTuple):
    """A decoded message, and the number that matches replies to calls."""

    seq: int
    message: typing.Any


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[int, int, int, msgspec.Raw])


def encode(message: typing.Any, seq: int = 0) -> bytes:
    """Return the encoded envelope of ``message``."""
    return _ENCODER.encode((VERSION, _NUMBER[type(message)], seq, message))


def decode(data: bytes | memoryview) -> Envelope:
    """Return the envelope in ``data``.

    :raises UnknownKind: its kind is not known, with its ``seq``.
    :raises BadMessage: it is malformed or of another version.
    """
    try:
        version, kind, seq, body = _ENVELOPE_DECODER.decode(data)
        if version != VERSION:
            raise errors.BadMessage(f'version {version}, expected {VERSION}')
        if not 0 <= kind < len(_KINDS):
            problem = errors.UnknownKind(f'unknown kind {kind}')
            problem.seq = seq
            raise problem
        return Envelope(seq, _DECODERS[kind](body))
    except (msgspec.MsgspecError, RecursionError) as problem:
        raise errors.BadMessage(str(problem))
