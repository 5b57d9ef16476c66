# SPDX-License-Identifier: Apache-2.0

"""Commands of the replicated log: typed, and encoded as entries.

``at_s`` is the wall clock of the leader that proposed the command; the
state machine never lets it run backwards.
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
    """Replace the table by ``rows`` where the base version still holds."""

    operation_id: str
    base_version: int
    who: str
    rows: list[dict]
    at_s: float


class SetMember(typing.NamedTuple):
    """A gateway or agent is live, leaving or gone."""

    member: views.Member
    at_s: float


class OpenClaim(typing.NamedTuple):
    """One attempt asks to be the only one for its key."""

    claim: messages.Claim
    key_s: float  # the time that the key carries
    at_s: float


class CloseClaim(typing.NamedTuple):
    """A claimed attempt has ended."""

    outcome: messages.Outcome
    at_s: float


class ExpireClaims(typing.NamedTuple):
    """Forget claims whose keys are refused by their age from now on."""

    keep_s: float
    at_s: float


class PutRoutes(typing.NamedTuple):
    """Hold a routes document where its version is above the one held."""

    version: int
    source: bytes
    at_s: float


class SetInstance(typing.NamedTuple):
    """A runner's registration is new, changed, or over."""

    instance: instances.Instance
    at_s: float


class NextVersion(typing.NamedTuple):
    """Give out a number that was never given out before."""

    at_s: float


class SetHall(typing.NamedTuple):
    """A hall is out of service, or back, where its revision still holds."""

    hall: str
    is_out: bool
    revision: int
    at_s: float


class QuarantineRequest(typing.NamedTuple):
    """Hold back a request that has crashed ``crashes`` runners."""

    digest: bytes
    crashes: int
    at_s: float


class ReleaseRequest(typing.NamedTuple):
    """Hold a request back no more; unless for a trial, forget it."""

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
    """Return the entry payload of ``command``."""
    return msgspec.msgpack.encode((_NUMBER[type(command)], command))


def decode(data: bytes) -> Command:
    """Return the command of an entry payload.

    :raises BadMessage: where this version does not know it.
    """
    try:
        kind, body = _OUTER.decode(data)
        return _DECODERS[kind].decode(body)
    except (msgspec.MsgspecError, IndexError) as problem:
        raise errors.BadMessage(f'log entry: {problem}')
