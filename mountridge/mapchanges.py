# SPDX-License-Identifier: Apache-2.0

"""Changes of a group's expert map, one at a time, in steps that are safe.

Orders may be lost, and may be carried out seconds late. So:

- a version is used once, ever: it is the index of an entry of the log;
- a rank holds a pass before any rank is armed for it, and the pass is let
  begin only once all ranks have *reported* that they are armed;
- an order that a report does not confirm is given again; nothing is taken
  back once a pass is held, since a late order could still be carried out;
- what is under way stands in the ranks' reports alone, so a new leader
  that finds a held pass finishes the change that it finds.
"""

import math
import typing

from mountridge import ranks

__all__ = ['Change', 'USUAL_PASS_S', 'find_change', 'is_done', 'next_order']

#: A pass is held that begins this much later, as far as the passes of late
#: tell. From the hold to the last rank's report that it is armed takes three
#: reports, 0.025 s apart, and their ways: 0.12 s. A group that gets there
#: sooner stands still.
AHEAD_S = 0.22
#: What a pass takes while none has been timed: 40 to 90 ms in played days.
USUAL_PASS_S = 0.07
#: After this many passes without a confirmed hold another one is held.
PAST_PASSES = 1


class Change(typing.NamedTuple):
    """A change under way. ``step`` is NO_VERSION until a pass is chosen."""

    group: str
    epoch: int
    version: int
    placed: list[list[list[int]]]  # [] where another leader began it
    step: int = ranks.NO_VERSION


def find_change(states: list[ranks.RankState]) -> Change | None:
    """Return the change that some leader left with a pass held.

    It was prepared everywhere before the hold, so the prepared version is
    the one that is meant.
    """
    held = [s for s in states if s.held_step != ranks.NO_VERSION]
    if not held:
        return None
    first = held[0]
    versions = {s.armed for s in states if s.armed != ranks.NO_VERSION}
    versions = versions or {s.prepared for s in states}
    version = max(versions)
    return Change(first.group, first.epoch, version, [], first.held_step)


def is_done(change: Change, states: list[ranks.RankState]) -> bool:
    """Return whether all ranks use the map and none is held."""
    return all(
        s.map_version == change.version and s.held_step == ranks.NO_VERSION
        for s in states
    )


def next_order(
    change: Change,
    states: list[ranks.RankState],
    rank: int,
    pass_s: float,
) -> tuple[Change, ranks.RankOrder | None]:
    """Return the change, with its pass once chosen, and a rank's order.

    ``pass_s`` is how long a pass takes now.
    """
    state = next(s for s in states if s.rank == rank)
    if not _all_prepared(change, states):
        return change, _prepare(change, state)
    if not _is_held(change, states) and not _all_armed(change, states):
        change = _choose_step(change, states, pass_s)
        return change, _order(change, ranks.HOLD) if rank == 0 else None
    if not _is_armed(change, state):
        return change, _order(change, ranks.ARM)
    if state.held_step == change.step and _all_armed(change, states):
        return change, _order(change, ranks.GO)
    return change, None


def _order(change: Change, kind: str) -> ranks.RankOrder:
    placed = change.placed if kind == ranks.PREPARE else []
    return ranks.RankOrder(
        kind, change.epoch, change.version, change.step, placed
    )


def _all_prepared(change: Change, states: list[ranks.RankState]) -> bool:
    return change.step != ranks.NO_VERSION or all(
        s.prepared == change.version for s in states
    )


def _prepare(change: Change, state: ranks.RankState) -> ranks.RankOrder | None:
    if state.prepared == change.version:
        return None
    return _order(change, ranks.PREPARE)


def _is_held(change: Change, states: list[ranks.RankState]) -> bool:
    return any(s.held_step == change.step != ranks.NO_VERSION for s in states)


def _is_armed(change: Change, state: ranks.RankState) -> bool:
    """Return whether a rank takes the map at the held pass, or has it."""
    if state.map_version == change.version:
        return True
    return state.armed == change.version and state.armed_step == change.step


def _all_armed(change: Change, states: list[ranks.RankState]) -> bool:
    return all(_is_armed(change, state) for state in states)


def _choose_step(
    change: Change, states: list[ranks.RankState], pass_s: float
) -> Change:
    """Choose a pass to hold, or a later one where it has begun."""
    newest = max(s.step for s in states)
    if newest + PAST_PASSES <= change.step:
        return change
    return change._replace(step=newest + math.ceil(AHEAD_S / pass_s))
