# SPDX-License-Identifier: Apache-2.0

"""Messages of entries to the leader: routes documents and runners."""

import typing

from mountridge.documents import instances

__all__ = [
    'Heartbeat',
    'Leave',
    'PutRoutes',
    'ReadRoutes',
    'Registered',
    'RoutesReply',
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
    """A runner has left for good; its id never comes back."""

    instance_id: str


class Registered(typing.NamedTuple):
    """What a heartbeat or leave said is in the replicated state."""
