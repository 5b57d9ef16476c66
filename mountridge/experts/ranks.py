# SPDX-License-Identifier: Apache-2.0

"""State of a rank of an expert-parallel group, and orders to its engine.

A group's ranks advance in lock-step, and every forward pass must use one
expert map on all ranks. An engine accepts four orders: *prepare* copies the
experts of a map, *hold* keeps the group from starting a pass, *arm* makes
the rank switch to a prepared map when that pass starts, *go* releases the
held pass.
"""

import typing

from mountridge import errors

__all__ = [
    'ARM', 'GO', 'HOLD', 'NO_ORDER', 'NO_VERSION', 'PREPARE', 'Placement',
    'RankOrder', 'RankState', 'check_counts', 'check_experts', 'check_state',
]  # fmt: skip

#: Largest integer that JSON implementations represent exactly.
MAX_NUMBER = (1 << 53) - 1
#: Upper bounds of plausible values: above the ranks of any group, and the
#: requests and the slowdown of any engine.
MAX_RANKS = 1 << 16
MAX_REQUESTS = 1 << 20
MAX_SLOWDOWN = 10000.0
#: Experts are packed into two bytes; the largest value marks an empty slot.
MAX_EXPERT = 0xFFFE
PREPARE, HOLD, ARM, GO = 'prepare', 'hold', 'arm', 'go'
#: No version or pass, e.g. where a rank has prepared or armed nothing.
NO_VERSION = -1


#: An expert map: the experts by set of layers and rank.
Placement = list[list[list[int]]]


class RankState(typing.NamedTuple):
    """Current state of an engine, as it reports it to its own box."""

    group: str  # '' for an engine in no group
    epoch: int  # increases when the group forms again
    rank: int
    size: int  # ranks of the group
    is_open: bool  # the group runs forward passes
    step: int  # the newest pass started
    map_version: int
    prepared: int  # newest version copied completely, or NO_VERSION
    armed: int  # version to switch to at `armed_step`, or NO_VERSION
    armed_step: int
    held_step: int  # pass that it keeps from starting, or NO_VERSION
    running: int
    waiting: int
    memory_tokens: int  # in use
    slowdown: float  # current step time / usual step time
    born_ms: int = 0  # Unix time of the engine's start; 0: not reported


class RankOrder(typing.NamedTuple):
    """An order to a rank; orders are idempotent."""

    kind: str
    epoch: int
    version: int
    step: int
    #: For PREPARE only.
    placed: Placement


NO_ORDER = RankOrder('', NO_VERSION, NO_VERSION, NO_VERSION, [])


def check_state(state: RankState) -> RankState:
    """Return the state if all of its numbers are in range.

    :raises BadAnswer: a number is out of range.
    """
    _check_range('rank', [state.rank], 0, MAX_RANKS)
    _check_range('size', [state.size], 1, MAX_RANKS)
    requests = [state.running, state.waiting]
    _check_range('requests', requests, 0, MAX_REQUESTS)
    _check_range('slowdown', [state.slowdown], 0, MAX_SLOWDOWN)
    numbers = [state.epoch, state.step, state.memory_tokens, state.born_ms]
    _check_range('number', numbers, 0, MAX_NUMBER)
    versions = [state.map_version, state.prepared, state.armed]
    versions += [state.armed_step, state.held_step]
    _check_range('version', versions, NO_VERSION, MAX_NUMBER)
    if state.group and state.rank >= state.size:
        raise errors.BadAnswer(
            f'rank {state.rank} is out of range for a group of {state.size}'
        )
    return state


def check_counts(counts: list[int]) -> list[int]:
    """Return the selection counts if all are in range.

    :raises BadAnswer: a count is negative or too large.
    """
    _check_range('count', counts, 0, MAX_NUMBER)
    return counts


def check_experts(by_set: list[list[int]]) -> list[list[int]]:
    """Return the experts that a rank holds, by set, if all are in range.

    :raises BadAnswer: an expert's number is out of range.
    """
    for experts in by_set:
        _check_range('expert', experts, 0, MAX_EXPERT)
    return by_set


def _check_range(
    name: str, values: typing.Sequence[float], low: float, high: float
) -> None:
    """Raise BadAnswer if a value is out of range.

    Compares only the smallest and the largest: there may be thousands.
    """
    if values and not (low <= min(values) and max(values) <= high):
        raise errors.BadAnswer(f'{name} is not in the range {low} to {high}')
