# SPDX-License-Identifier: Apache-2.0

"""Typed messages between mountridge's processes and their codec.

An envelope is the MessagePack array ``[VERSION, kind, seq, fields]``. A
reply carries the ``seq`` of its request; a message that is not part of a
call has ``seq`` 0. Fields are checked against the `NamedTuple` of the kind
on decoding; anything else is a `BadMessage`.
"""

import typing

import msgspec

from mountridge import errors
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
    QuarantineReply,
    ReadQuarantine,
    Release,
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
    """Order of authority: a later (term, index) bars all earlier ones."""

    term: int
    index: int


class Share(typing.NamedTuple):
    """A part of one row's limits, held by one gateway for a lease."""

    row: str  # key of the row
    concurrency: float
    rate_per_s: float


class Renew(typing.NamedTuple):
    """Gateway or agent to leader: renew my lease, tell me what changed."""

    name: str
    kind: str
    incarnation: str
    hall: str
    address: str
    http: str
    services: list[str]
    expert_group: str
    slots: int
    index: int  # last change in force here
    leaving: bool
    demand: list[Share]  # gateways: what is wanted of each row
    held: list[Share]  # gateways: what may be in use of each row


class Change(typing.NamedTuple):
    """One entry of the shared view; ``value`` None where it is gone."""

    index: int
    key: str
    value: bytes | None


class Grant(typing.NamedTuple):
    """Leader to lease holder: the lease, and the changes past its index."""

    lease_s: float
    fence: Fence
    index: int
    snapshot: bool  # the changes replace all that the holder had
    changes: list[Change]
    shares: list[Share]
    #: The controllers by name, with their addresses.
    controllers: dict[str, str] | None = None


class Changes(typing.NamedTuple):
    """Leader to lease holder between renewals: what just changed."""

    fence: Fence
    since: int
    index: int
    changes: list[Change]


class Claim(typing.NamedTuple):
    """Gateway to leader: may this call, with this key, be run by me?"""

    key: str
    digest: str  # of the request, to tell another use of the key
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
    """Operator to leader: new rows over a base version."""

    operation_id: str
    base_version: int
    who: str
    rows: list[dict]


class PutTableReply(typing.NamedTuple):
    """The result of a put; the same for each resend."""

    accepted: bool
    version: int
    index: int
    diff: list[str]  # rows that differ, where it was refused


class ReadTable(typing.NamedTuple):
    """Operator to leader: read the newest table and its log."""


class TableReply(typing.NamedTuple):
    """Rows of a version; log entries are (version, index, who, at_s)."""

    version: int
    rows: list[dict]
    log: list[tuple[int, int, str, float]]
    in_force_index: int
    waiting_for: list[str]


class ReadDecisions(typing.NamedTuple):
    """Operator to any process: decisions about a request, or the latest."""

    request_id: str
    count: int


class DecisionsReply(typing.NamedTuple):
    """Decision records as mappings."""

    records: list[dict]


class Dump(typing.NamedTuple):
    """Operator to any process: show your state."""


class DumpReply(typing.NamedTuple):
    """State of a process as plain data."""

    state: dict


class Stop(typing.NamedTuple):
    """Operator to any process: begin a planned stop."""


class ReadMembers(typing.NamedTuple):
    """Operator to leader: which processes are there?"""


class MembersReply(typing.NamedTuple):
    """The members as mappings."""

    members: list[dict]


class Failure(typing.NamedTuple):
    """An error as an answer to a call."""

    code: int
    message: str
    leader: str
    leader_address: str = ''


class Raft(typing.NamedTuple):
    """Controller to controller: one message of the consensus core."""

    sender: str
    to: str  # an id; a later identity of the same box is not meant
    body: bytes
    address: str = ''  # where the sender takes answers


class Admin(typing.NamedTuple):
    """Operator to leader: change the controllers or hand over."""

    action: str  # add, promote, remove, transfer, status
    name: str
    address: str


class AdminReply(typing.NamedTuple):
    """Result of an `Admin` call."""

    done: bool
    text: str


class Join(typing.NamedTuple):
    """Controller to leader: my disk has this identity, let me take part."""

    node_id: str
    name: str
    address: str
    hall: str = ''


class Controllers(typing.NamedTuple):
    """Leader to the seeds: who the controllers are, by name."""

    addresses: dict[str, str]


class FindLeader(typing.NamedTuple):
    """Any process to a controller: `Registered` is said by the leader only.

    Others refuse and name it, as soon as they know one that is not
    ``besides``, the address of one that the process has found silent.
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
)
_NUMBER = {kind: number for number, kind in enumerate(_KINDS)}
_DECODERS = [msgspec.msgpack.Decoder(kind) for kind in _KINDS]
_ENCODER = msgspec.msgpack.Encoder()


class Envelope(typing.NamedTuple):
    """A decoded message with the number that ties a reply to its call."""

    seq: int
    message: typing.Any


_OUTER = msgspec.msgpack.Decoder(tuple[int, int, int, msgspec.Raw])


def encode(message: typing.Any, seq: int = 0) -> bytes:
    """Return the envelope of ``message`` as bytes."""
    return _ENCODER.encode((VERSION, _NUMBER[type(message)], seq, message))


def decode(data: bytes | memoryview) -> Envelope:
    """Return the envelope in ``data``.

    :raises BadMessage: where it is malformed or of another version.
    """
    try:
        version, kind, seq, body = _OUTER.decode(data)
        if version != VERSION:
            raise errors.BadMessage(f'version {version}, not {VERSION}')
        if not 0 <= kind < len(_KINDS):
            raise errors.BadMessage(f'unknown kind {kind}')
        return Envelope(seq, _DECODERS[kind].decode(body))
    except (msgspec.MsgspecError, RecursionError) as problem:
        raise errors.BadMessage(str(problem))
