# SPDX-License-Identifier: Apache-2.0

"""Protocol that changes a group's expert map, one change at a time.

Orders may be lost or carried out seconds late. Therefore:

- a version is never reused: it is the index of a log entry;
- a rank holds a pass before any rank is armed for it, and the pass is
  released only after all ranks have *reported* that they are armed;
- an order is repeated until a report confirms it; nothing is rolled back
  once a pass is held, since a delayed order could still be carried out;
- the state of a change is kept in the ranks' reports alone, so a new leader
  that finds a held pass completes that change.

The cost of handling one report does not grow with the number of ranks: the
set of ranks that each phase waits for is updated incrementally.
"""

import enum
import math
import typing

from mountridge.experts import ranks

__all__ = [
    'Change', 'DEFAULT_PASS_S', 'HOLD_RANK', 'Phase', 'Progress',
    'find_change', 'share_one_map',
]  # fmt: skip

#: How far ahead the pass to be held is chosen, by recent pass times. Longer
#: than the three messages from the hold order to the last rank's report that
#: it is armed usually take (0.12 s); if they take longer the group stalls
#: until then.
HOLD_AHEAD_S = 0.22
#: Assumed duration of a pass until one has been timed: passes take 40 to 90
#: ms.
DEFAULT_PASS_S = 0.07
#: A later pass is chosen if no hold is confirmed and the chosen pass is less
#: than this many passes ahead of the newest one.
MIN_PASSES_AHEAD = 1
#: The rank that holds the pass.
HOLD_RANK = 0


class Change(typing.NamedTuple):
    """A change in progress; ``step`` is NO_VERSION until a pass is chosen."""

    group: str
    epoch: int
    version: int
    placement: ranks.Placement  # [] if another leader started the change
    step: int = ranks.NO_VERSION


class Phase(enum.Enum):
    """What a change is waiting for."""

    PREPARING = enum.auto()  # all ranks to copy their experts
    HOLDING = enum.auto()  # a pass to be held
    ARMING = enum.auto()  # all ranks to be armed for that pass
    STARTING = enum.auto()  # the pass to start on all ranks
    DONE = enum.auto()


def find_change(states: list[ranks.RankState]) -> Change | None:
    """Return the change that an earlier leader began and whose pass is held.

    A pass is held only after all ranks have prepared the map, so the
    prepared version is the version of the change.
    """
    held = [s for s in states if s.held_step != ranks.NO_VERSION]
    if not held:
        return None
    first = held[0]
    versions = {s.armed for s in states if s.armed != ranks.NO_VERSION}
    versions = versions or {s.prepared for s in states}
    version = max(versions)
    return Change(first.group, first.epoch, version, [], first.held_step)


def share_one_map(states: typing.Iterable[ranks.RankState]) -> bool:
    """Return whether the reports of all ranks are of one and the same map.

    Ranks report one after the other, so during a change some reports may be
    from before it and others from after it.
    """
    maps = {(state.size, state.map_version, state.armed) for state in states}
    return len(maps) == 1 and maps.pop()[-1] == ranks.NO_VERSION


class Progress:
    """Progress of each rank of a group in one change."""

    def __init__(
        self, change: Change, states: typing.Iterable[ranks.RankState]
    ):
        self.change = change
        self._states: dict[int, ranks.RankState] = {}
        self._unprepared: set[int] = set()
        self._unarmed: set[int] = set()
        #: Ranks that do not use the new map yet, or hold a pass.
        self._unfinished: set[int] = set()
        self._holding: set[int] = set()
        for state in states:
            self.record(state)

    def record(self, state: ranks.RankState) -> None:
        """Record a rank's reported state."""
        change, rank = self.change, state.rank
        self._states[rank] = state
        uses_map = state.map_version == change.version
        holds = state.held_step != ranks.NO_VERSION
        is_armed = (
            state.armed == change.version and state.armed_step == change.step
        )
        is_chosen = change.step != ranks.NO_VERSION
        _set_member(self._unprepared, rank, state.prepared != change.version)
        _set_member(self._unarmed, rank, not uses_map and not is_armed)
        _set_member(self._unfinished, rank, not uses_map or holds)
        _set_member(
            self._holding, rank, is_chosen and state.held_step == change.step
        )

    @property
    def phase(self) -> Phase:
        """Return the current phase."""
        if not self._unfinished:
            return Phase.DONE
        if self.change.step == ranks.NO_VERSION and self._unprepared:
            return Phase.PREPARING
        if not self._holding and self._unarmed:
            return Phase.HOLDING
        return Phase.ARMING if self._unarmed else Phase.STARTING

    def choose_step(self, newest: int, pass_s: float) -> None:
        """Choose the pass to hold, or a later one if the chosen has started.

        ``newest`` is the newest pass started, ``pass_s`` the duration of one.
        """
        if self.phase != Phase.HOLDING:
            return
        if newest + MIN_PASSES_AHEAD <= self.change.step:
            return
        step = newest + math.ceil(HOLD_AHEAD_S / pass_s)
        self.change = self.change._replace(step=step)
        for state in list(self._states.values()):
            self.record(state)

    def waiting_for(self) -> list[int]:
        """Return the ranks that must carry out an order now."""
        phase = self.phase
        if phase == Phase.PREPARING:
            return sorted(self._unprepared)
        if phase == Phase.HOLDING:
            return [HOLD_RANK]
        if phase == Phase.ARMING:
            return sorted(self._unarmed)
        return sorted(self._holding) if phase == Phase.STARTING else []

    def order_for(self, rank: int) -> ranks.RankOrder | None:
        """Return the order that a rank must carry out now, if any."""
        phase = self.phase
        if phase == Phase.PREPARING and rank in self._unprepared:
            return self._order(ranks.PREPARE)
        if phase == Phase.HOLDING and rank == HOLD_RANK:
            return self._order(ranks.HOLD)
        if phase == Phase.ARMING and rank in self._unarmed:
            return self._order(ranks.ARM)
        if phase == Phase.STARTING and rank in self._holding:
            return self._order(ranks.GO)
        return None

    def _order(self, kind: str) -> ranks.RankOrder:
        change = self.change
        placement = change.placement if kind == ranks.PREPARE else []
        return ranks.RankOrder(
            kind, change.epoch, change.version, change.step, placement
        )


def _set_member(members: set[int], rank: int, is_member: bool) -> None:
    if is_member:
        members.add(rank)
    else:
        members.discard(rank)
