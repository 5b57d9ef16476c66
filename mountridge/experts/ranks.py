# SPDX-License-Identifier: Apache-2.0

"""A rank of an expert-parallel group: what is known of it and asked of it.

A group's ranks advance in lock-step, and every pass is to be made with one
expert map. An engine follows four orders: *prepare* copies the experts of a
map, *hold* keeps the group from beginning a pass, *arm* makes the rank take
a prepared map as that pass begins, *go* lets the held pass begin.
"""

import typing

from mountridge import errors

__all__ = [
    'ARM', 'GO', 'HOLD', 'NO_ORDER', 'NO_VERSION', 'PREPARE', 'Placement',
    'RankOrder', 'RankState', 'check_counts', 'check_experts', 'check_state',
]  # fmt: skip

#: The largest whole number that every writer of JSON keeps exact.
MOST_NUMBER = (1 << 53) - 1
#: Above the ranks of any group, the requests of any engine, and its pace.
MOST_RANKS = 1 << 16
MOST_REQUESTS = 1 << 20
MOST_PACE = 10000.0
#: Experts are packed into two bytes, of which the largest stands for none.
MOST_EXPERT = 0xFFFE
PREPARE, HOLD, ARM, GO = 'prepare', 'hold', 'arm', 'go'
#: Stands where a rank has prepared or armed nothing.
NO_VERSION = -1


#: A map: by set of layers and rank, the experts.
Placement = list[list[list[int]]]


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
    slowdown: float  # current step time / usual step time
    born_ms: int = 0  # Unix time of the engine's start; 0: not told


class RankOrder(typing.NamedTuple):
    """One order to a rank; carrying it out twice does no harm."""

    kind: str
    epoch: int
    version: int
    step: int
    #: For PREPARE only.
    placed: Placement


NO_ORDER = RankOrder('', NO_VERSION, NO_VERSION, NO_VERSION, [])


def check_state(state: RankState) -> RankState:
    """Return what an engine says of itself, where it can be so.

    :raises BadAnswer: a number lies where none of its kind does.
    """
    _check_span('rank', [state.rank], 0, MOST_RANKS)
    _check_span('size', [state.size], 1, MOST_RANKS)
    requests = [state.running, state.waiting]
    _check_span('requests', requests, 0, MOST_REQUESTS)
    _check_span('pace', [state.slowdown], 0, MOST_PACE)
    counted = [state.epoch, state.step, state.memory_tokens, state.born_ms]
    _check_span('number', counted, 0, MOST_NUMBER)
    versions = [state.map_version, state.prepared, state.armed]
    versions += [state.armed_step, state.held_step]
    _check_span('version', versions, NO_VERSION, MOST_NUMBER)
    if state.group and state.rank >= state.size:
        raise errors.BadAnswer(f'rank {state.rank} of {state.size}')
    return state


def check_counts(counts: list[int]) -> list[int]:
    """Return counts of choices where none is negative or too large.

    :raises BadAnswer: one is.
    """
    _check_span('count', counts, 0, MOST_NUMBER)
    return counts


def check_experts(by_set: list[list[int]]) -> list[list[int]]:
    """Return the experts held, by set, where all can be numbers of one.

    :raises BadAnswer: one can't.
    """
    for held in by_set:
        _check_span('expert', held, 0, MOST_EXPERT)
    return by_set


def _check_span(
    name: str, values: typing.Sequence[float], least: float, most: float
) -> None:
    """Refuse numbers out of a span.

    The least and the largest tell for all of thousands of counts.
    """
    if values and not (least <= min(values) and max(values) <= most):
        raise errors.BadAnswer(f'{name} not in {least} to {most}')
