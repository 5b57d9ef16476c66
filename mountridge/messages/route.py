# SPDX-License-Identifier: Apache-2.0

"""Messages from entries to the leader: routes, runners and halls."""

import typing

from mountridge.documents import halls, instances

__all__ = [
    'HallsReply',
    'Heartbeat',
    'Leave',
    'PutRoutes',
    'ReadHalls',
    'ReadRoutes',
    'Registered',
    'RoutesReply',
    'SetHall',
]


class PutRoutes(typing.NamedTuple):
    """Operator to leader: store routes unless newer ones are stored."""

    version: int
    source: bytes  # the original document, compressed


class ReadRoutes(typing.NamedTuple):
    """Operator to leader: the newest routes, confirmed by a quorum."""


class RoutesReply(typing.NamedTuple):
    """The version stored after a put, or the document that was read."""

    version: int
    source: bytes


class Heartbeat(typing.NamedTuple):
    """A runner is alive; ``seq`` increases with each of its heartbeats."""

    instance: instances.Instance
    seq: int


class Leave(typing.NamedTuple):
    """An incarnation of a runner leaves."""

    instance_id: str
    born_ms: int = 0  # start of the incarnation; 0: not reported
    #: `lives` of the registration that the entry knows; 0: unknown. Later
    #: incarnations stay registered.
    lives: int = 0


class Registered(typing.NamedTuple):
    """Acknowledges a message after it is applied to the replicated state."""


class ReadHalls(typing.NamedTuple):
    """Entry or operator to leader: read all halls, confirmed by a quorum."""


class HallsReply(typing.NamedTuple):
    """States of all halls that were ever taken out of service."""

    halls: list[halls.HallState]


class SetHall(typing.NamedTuple):
    """Entry to leader: take a hall out of service, or put it back.

    ``revision`` is the hall's revision that the entry has read. If the hall
    has changed since, this order changes nothing.
    """

    hall: str
    is_out: bool
    revision: int
