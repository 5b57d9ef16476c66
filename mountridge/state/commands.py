# SPDX-License-Identifier: Apache-2.0

"""Commands of the replicated log, and their encoding as log entries.

``at_s`` is the wall-clock time of the leader that proposed the command; the
state machine keeps its own clock from going backwards.
"""

import typing

import msgspec

from mountridge.documents import instances
from mountridge import errors, messages, records
from mountridge.state import views

__all__ = [
    'Command',
    'ExpireClaims',
    'QuarantineRequest',
    'OpenClaim',
    'CloseClaim',
    'NextVersion',
    'PutRoutes',
    'PutTable',
    'ReleaseRequest',
    'SetHall',
    'SetInstance',
    'SetMember',
    'decode',
    'encode',
    'is_known',
]


class PutTable(typing.NamedTuple):
    """Replace the table by ``rows`` if it is still at the base version."""

    operation_id: str
    base_version: int
    who: str
    rows: list[dict]
    at_s: float


class SetMember(typing.NamedTuple):
    """Set the state of a gateway or agent: live, leaving or gone."""

    member: views.Member
    at_s: float


class OpenClaim(typing.NamedTuple):
    """Claim a key for one attempt."""

    claim: messages.Claim
    key_s: float  # time in the key, seconds since 1970
    at_s: float


class CloseClaim(typing.NamedTuple):
    """Record the outcome of a claimed attempt."""

    outcome: messages.Outcome
    at_s: float


class ExpireClaims(typing.NamedTuple):
    """Remove the claims on keys older than ``keep_s``; they are refused."""

    keep_s: float
    at_s: float


class PutRoutes(typing.NamedTuple):
    """Store a routes document if its version is above the stored one."""

    version: int
    source: bytes
    at_s: float


class SetInstance(typing.NamedTuple):
    """Create, change or end the registration of a runner."""

    instance: instances.Instance
    at_s: float


class NextVersion(typing.NamedTuple):
    """Allocate a number that was never allocated before."""

    at_s: float


class SetHall(typing.NamedTuple):
    """Take a hall out of service or back, if it is at ``revision``."""

    hall: str
    is_out: bool
    revision: int
    at_s: float


class QuarantineRequest(typing.NamedTuple):
    """Quarantine a request that has crashed ``crashes`` runners."""

    digest: bytes
    crashes: int
    at_s: float


class ReleaseRequest(typing.NamedTuple):
    """Release a request from quarantine; unless for a probe, remove it."""

    digest: bytes
    is_probe: bool
    at_s: float


Command = (
    PutTable
    | SetMember
    | OpenClaim
    | CloseClaim
    | ExpireClaims
    | PutRoutes
    | SetInstance
    | NextVersion
    | SetHall
    | QuarantineRequest
    | ReleaseRequest
)

_KINDS = (
    PutTable,
    SetMember,
    OpenClaim,
    CloseClaim,
    ExpireClaims,
    PutRoutes,
    SetInstance,
    NextVersion,
    SetHall,
    QuarantineRequest,
    ReleaseRequest,
)
_NUMBER = {kind: number for number, kind in enumerate(_KINDS)}
#: Records that are stored as they were proposed.
_STORED = (views.Member, instances.Instance, messages.Claim)
_DECODERS = [records.decoder(kind, *_STORED) for kind in _KINDS]
_OUTER = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])


def encode(command: Command) -> bytes:
    """Return the payload of the log entry for ``command``."""
    return msgspec.msgpack.encode((_NUMBER[type(command)], command))


def is_known(data: bytes) -> bool:
    """Return whether a payload is a command of a kind of this build."""
    try:
        return 0 <= _OUTER.decode(data)[0] < len(_KINDS)
    except msgspec.MsgspecError:
        return False


def decode(data: bytes) -> Command:
    """Return the command in the payload of a log entry.

    :raises UnknownCommand: it is malformed, or of a kind of a later build.
    """
    try:
        kind, body = _OUTER.decode(data)
        if not 0 <= kind < len(_KINDS):
            raise errors.UnknownCommand(f'kind {kind} of command')
        return _DECODERS[kind](body)
    except (msgspec.MsgspecError, RecursionError) as problem:
        raise errors.UnknownCommand(str(problem))
