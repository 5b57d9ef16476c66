# SPDX-License-Identifier: Apache-2.0

"""Commands of the replicated log, and their encoding as log entries.

``at_s`` is the wall-clock time of the leader that proposed the command; the
state machine keeps its own clock from going backwards.
"""

import typing

import msgspec

from mountridge.documents import instances
from mountridge import errors, messages
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
_DECODERS = [msgspec.msgpack.Decoder(kind) for kind in _KINDS]
_OUTER = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])


def encode(command: Command) -> bytes:
    """Return the payload of the log entry for ``command``."""
    return msgspec.msgpack.encode((_NUMBER[type(command)], command))


def decode(data: bytes) -> Command:
    """Return the command in the payload of a log entry.

    :raises BadMessage: it is malformed, or unknown to this version.
    """
    try:
        kind, body = _OUTER.decode(data)
        return _DECODERS[kind].decode(body)
    except (msgspec.MsgspecError, IndexError) as problem:
        raise errors.BadMessage(f'log entry: {problem}')
