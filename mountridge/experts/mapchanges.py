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

What one report costs does not grow with the ranks: each set of ranks that a
step waits for is kept up to date rank by rank.
"""

import enum
import math
import typing

from mountridge.experts import ranks

__all__ = [
    'Change', 'HOLDER', 'Phase', 'Progress', 'DEFAULT_PASS_S', 'find_change',
]  # fmt: skip

#: A pass is held that begins this much later, as far as the passes of late
#: tell. From the hold to the last rank's report that it is armed takes three
#: messages and their ways: 0.12 s. A group that gets there sooner stands
#: still.
AHEAD_S = 0.22
#: What a pass takes while none has been timed: 40 to 90 ms in played days.
DEFAULT_PASS_S = 0.07
#: After this many passes without a confirmed hold another one is held.
PAST_PASSES = 1
#: The rank at which passes are held.
HOLDER = 0


class Change(typing.NamedTuple):
    """A change under way. ``step`` is NO_VERSION until a pass is chosen."""

    group: str
    epoch: int
    version: int
    placement: ranks.Placement  # [] where another leader began it
    step: int = ranks.NO_VERSION


class Phase(enum.Enum):
    """What a change waits for."""

    PREPARING = enum.auto()  # until all ranks have copied their experts
    HOLDING = enum.auto()  # until a pass is held
    ARMING = enum.auto()  # until all ranks take the map at that pass
    STARTING = enum.auto()  # until the pass has begun everywhere
    DONE = enum.auto()


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


class Progress:
    """How far each rank of a group is in one change."""

    def __init__(
        self, change: Change, states: typing.Iterable[ranks.RankState]
    ):
        self.change = change
        self._states: dict[int, ranks.RankState] = {}
        self._unprepared: set[int] = set()
        self._unarmed: set[int] = set()
        #: Ranks that do not use the map yet, or hold a pass.
        self._unfinished: set[int] = set()
        self._holding: set[int] = set()
        for state in states:
            self.record(state)

    def record(self, state: ranks.RankState) -> None:
        """Take what a rank reports."""
        change, rank = self.change, state.rank
        self._states[rank] = state
        uses = state.map_version == change.version
        holds = state.held_step != ranks.NO_VERSION
        armed = (
            state.armed == change.version and state.armed_step == change.step
        )
        chosen = change.step != ranks.NO_VERSION
        _mark(self._unprepared, rank, state.prepared != change.version)
        _mark(self._unarmed, rank, not uses and not armed)
        _mark(self._unfinished, rank, not uses or holds)
        _mark(self._holding, rank, chosen and state.held_step == change.step)

    @property
    def phase(self) -> Phase:
        """Return what the change waits for now."""
        if not self._unfinished:
            return Phase.DONE
        if self.change.step == ranks.NO_VERSION and self._unprepared:
            return Phase.PREPARING
        if not self._holding and self._unarmed:
            return Phase.HOLDING
        return Phase.ARMING if self._unarmed else Phase.STARTING

    def choose_step(self, newest: int, pass_s: float) -> None:
        """Choose the pass to hold, or a later one where it has begun.

        ``newest`` is the newest pass begun, ``pass_s`` how long one takes.
        """
        if self.phase != Phase.HOLDING:
            return
        if newest + PAST_PASSES <= self.change.step:
            return
        step = newest + math.ceil(AHEAD_S / pass_s)
        self.change = self.change._replace(step=step)
        for state in list(self._states.values()):
            self.record(state)

    def waiting_for(self) -> list[int]:
        """Return the ranks that are to follow an order now."""
        phase = self.phase
        if phase == Phase.PREPARING:
            return sorted(self._unprepared)
        if phase == Phase.HOLDING:
            return [HOLDER]
        if phase == Phase.ARMING:
            return sorted(self._unarmed)
        return sorted(self._holding) if phase == Phase.STARTING else []

    def order_for(self, rank: int) -> ranks.RankOrder | None:
        """Return the order that a rank is to follow now."""
        phase = self.phase
        if phase == Phase.PREPARING and rank in self._unprepared:
            return self._order(ranks.PREPARE)
        if phase == Phase.HOLDING and rank == HOLDER:
            return self._order(ranks.HOLD)
        if phase == Phase.ARMING and rank in self._unarmed:
            return self._order(ranks.ARM)
        if phase == Phase.STARTING and rank in self._holding:
            return self._order(ranks.GO)
        return None

    def _order(self, kind: str) -> ranks.RankOrder:
        change = self.change
        placed = change.placement if kind == ranks.PREPARE else []
        return ranks.RankOrder(
            kind, change.epoch, change.version, change.step, placed
        )


def _mark(members: set[int], rank: int, is_member: bool) -> None:
    if is_member:
        members.add(rank)
    else:
        members.discard(rank)
