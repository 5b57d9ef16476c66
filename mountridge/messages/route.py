# SPDX-License-Identifier: Apache-2.0

"""Messages of entries to the leader: routes documents and runners."""

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
    """Operator to leader: hold these routes if no newer ones are held."""

    version: int
    source: bytes  # the document as it came, compressed


class ReadRoutes(typing.NamedTuple):
    """Operator to leader: the newest routes, confirmed by a quorum."""


class RoutesReply(typing.NamedTuple):
    """The version held after a put, or the document that was read."""

    version: int
    source: bytes


class Heartbeat(typing.NamedTuple):
    """A runner is alive; ``seq`` rises with each heartbeat of its life."""

    instance: instances.Instance
    seq: int


class Leave(typing.NamedTuple):
    """A life of a runner is over."""

    instance_id: str
    born_ms: int = 0  # of the life that is meant; 0: not told
    #: Number of the life that is held where it came in; 0: not known.
    lives: int = 0


class Registered(typing.NamedTuple):
    """What a heartbeat or leave said is in the replicated state."""


class ReadHalls(typing.NamedTuple):
    """Entry or operator to leader: all halls, confirmed by a quorum."""


class HallsReply(typing.NamedTuple):
    """The halls that were ever taken out of service, as they stand."""

    halls: list[halls.HallState]


class SetHall(typing.NamedTuple):
    """Entry to leader: take a hall out of service, or put it back.

    ``revision`` is the hall's revision that the entry has read for this
    order. Where another order came between, this one changes nothing.
    """

    hall: str
    is_out: bool
    revision: int
