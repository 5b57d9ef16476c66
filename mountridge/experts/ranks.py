# SPDX-License-Identifier: Apache-2.0

"""A rank of an expert-parallel group: what is known of it and asked of it.

A group's ranks advance in lock-step, and every pass is to be made with one
expert map. An engine follows four orders: *prepare* copies the experts of a
map, *hold* keeps the group from beginning a pass, *arm* makes the rank take
a prepared map as that pass begins, *go* lets the held pass begin.
"""

import typing

__all__ = [
    'ARM', 'GO', 'HOLD', 'NO_ORDER', 'NO_VERSION', 'PREPARE', 'Placed',
    'RankOrder', 'RankState',
]  # fmt: skip

PREPARE, HOLD, ARM, GO = 'prepare', 'hold', 'arm', 'go'
#: Stands where a rank has prepared or armed nothing.
NO_VERSION = -1


#: A map: by set of layers and rank, the experts.
Placed = list[list[list[int]]]


class RankState(typing.NamedTuple):
    """What an engine says of itself, fresh, to a process on its own box."""

    group: str  # '' for an engine in no group
    epoch: int  # begins anew when the group has formed again
    rank: int
    size: int  # ranks of the group
    is_open: bool  # the group makes passes
    step: int  # the newest pass begun
    map_version: int
    prepared: int  # newest version copied whole, or NO_VERSION
    armed: int  # version that it takes at `armed_step`, or NO_VERSION
    armed_step: int
    held_step: int  # pass that it keeps from beginning, or NO_VERSION
    running: int
    waiting: int
    memory_tokens: int  # in use
    pace: float  # over 1: it is slow


class RankOrder(typing.NamedTuple):
    """One order to a rank; carrying it out twice does no harm."""

    kind: str
    epoch: int
    version: int
    step: int
    #: For PREPARE only.
    placed: Placed


NO_ORDER = RankOrder('', NO_VERSION, NO_VERSION, NO_VERSION, [])
