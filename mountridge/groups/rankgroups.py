# SPDX-License-Identifier: Apache-2.0

"""What the leader knows of one expert-parallel group, by its ranks' reports.

What a report costs does not grow with the ranks, but where a change begins
or a pass is chosen: at 192 ranks some 1,000 reports come a second while maps
change, of which each took 0.1 ms when it looked at all ranks.
"""

import collections
import math
import typing


from mountridge.experts import demand, mapchanges, ranks
from mountridge.logs import logger
from mountridge import messages

__all__ = ['Contact', 'Group']

#: A rank that has not reported for this long is unknown; nothing is begun.
REPORT_OLD_S = 2.0
#: Between two looks at all ranks of a group of which some are not known.
CHECK_INTERVAL_S = 0.02
#: Span of the passes by which the length of one is told. Longer than some
#: passes, shorter than a slow rank takes to be noticed.
PASSES_S = 0.5
#: Ranks of a group that tell which experts their requests choose. What is
#: asked for is a matter of all requests alike, and counts are most of a
#: report's bytes: 3.8 KB at 10 sets of 384 experts. On groups of 12 and 16
#: ranks, which all tell theirs, every shift of played days was told.
MOST_COUNTING = 16
#: Ranks whose reports tell the newest pass while a change is under way.
WATCHING = 2


class Contact(typing.NamedTuple):
    """How a rank's own sidecar was last heard."""

    route: bytes
    received_s: float


class Group:
    """One group: its ranks' newest reports, counts, and the change."""

    def __init__(self) -> None:
        self.reports: dict[int, tuple[messages.RankReport, float]] = {}
        #: Of ranks that have reported in this epoch.
        self.contacts: dict[int, Contact] = {}
        #: Ranks whose own sidecars were late, and have not been heard since.
        self.unresponsive: set[int] = set()
        self.epoch = ranks.NO_VERSION
        self.size = 0
        self.demand = demand.Demand()
        self.progress: mapchanges.Progress | None = None
        #: No plan is looked for before that.
        self.next_plan_s = 0.0
        #: Whether demand has shifted since the change under way was planned.
        self.outdated = False
        self.planning = False
        #: The pass whose hold was last given by another box, and when.
        self.remote_hold = (ranks.NO_VERSION, 0.0)
        #: The step of a change that ranks were told of, and when it began.
        self.announced: tuple[mapchanges.Phase, int, int] | None = None
        self.phase_began_s = 0.0
        #: Maps by version that sidecars may hold, the newest last.
        self.maps: dict[int, ranks.Placed] = {}
        self._holding: set[int] = set()
        self._complete_until_s = 0.0
        self._checked_s = float('-inf')
        #: When each of the newest passes was first heard of.
        self._passes: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    @property
    def change(self) -> mapchanges.Change | None:
        """The change under way."""
        return self.progress.change if self.progress else None

    def record_report(self, report: messages.RankReport, now_s: float) -> None:
        """Take one rank's report."""
        state = report.state
        if state.epoch < self.epoch:
            return
        if state.epoch > self.epoch:
            self._begin_epoch(state)
        self.reports[state.rank] = (self._with_experts(report), now_s)
        if not state.is_open:
            self._complete_until_s = 0.0
        if state.held_step == ranks.NO_VERSION:
            self._holding.discard(state.rank)
        else:
            self._holding.add(state.rank)
        if self.progress is not None:
            self.progress.take(state)
        self._record_pass(state.step, now_s)
        choices = report.counts
        if choices.parts and self.demand.take(choices, now_s):
            self.outdated = True
            self.next_plan_s = now_s
            logger.info('demand shifted', group=state.group, step=state.step)

    def _begin_epoch(self, state: ranks.RankState) -> None:
        self.epoch = state.epoch
        self.size = state.size
        self.reports.clear()
        self.contacts.clear()
        self.unresponsive.clear()
        self._holding.clear()
        # What is asked for outlives the map, so that the first change
        # of the new epoch is planned as soon as the group is open.
        self.progress = None
        self._passes.clear()
        self._complete_until_s = 0.0

    def record_contact(self, rank: int, route: bytes, now_s: float) -> None:
        """Note that a rank's own sidecar was heard."""
        self.contacts[rank] = Contact(route, now_s)
        self.unresponsive.discard(rank)

    def _with_experts(
        self, report: messages.RankReport
    ) -> messages.RankReport:
        """Add to a report what the rank has told of its experts before."""
        known = self.reports.get(report.state.rank)
        if report.experts or known is None:
            return report
        before = known[0]
        if before.state.map_version != report.state.map_version:
            return report
        if before.state.born_ms != report.state.born_ms:
            # A new life holds nothing of what the former one held.
            return report
        return report._replace(experts=before.experts)

    def _record_pass(self, step: int, now_s: float) -> None:
        passes = self._passes
        if not passes or step > passes[-1][0]:
            passes.append((step, now_s))
        while len(passes) > 2 and passes[1][1] < now_s - PASSES_S:
            passes.popleft()

    @property
    def newest_step(self) -> int:
        """The newest pass of which a rank has told."""
        return self._passes[-1][0] if self._passes else 0

    def pass_s(self, now_s: float) -> float:
        """Return how long a pass takes, by the newest ones."""
        if len(self._passes) < 2:
            return mapchanges.USUAL_PASS_S
        (first, first_s), (last, last_s) = self._passes[0], self._passes[-1]
        lasted_s = (last_s - first_s) / (last - first)
        # The pass under way may be the first slow one.
        return max(lasted_s, now_s - last_s, mapchanges.USUAL_PASS_S / 4)

    def is_complete(self, now_s: float) -> bool:
        """Return whether all ranks are open and have reported of late."""
        if now_s < self._complete_until_s:
            return True
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return False
        self._checked_s = now_s
        return self.complete_states(now_s) is not None

    def complete_states(self, now_s: float) -> list[ranks.RankState] | None:
        """Return all ranks' states where each has reported of late."""
        if len(self.reports) < self.size:
            return None
        oldest_s = min(received_s for _, received_s in self.reports.values())
        if now_s - oldest_s >= REPORT_OLD_S:
            return None
        states = [self.reports[rank][0].state for rank in sorted(self.reports)]
        if not all(state.is_open for state in states):
            return None
        self._complete_until_s = oldest_s + REPORT_OLD_S
        return states

    @property
    def has_held_pass(self) -> bool:
        """Return whether some rank keeps a pass from beginning."""
        return bool(self._holding)

    @property
    def is_busy(self) -> bool:
        """Return whether a change is near or under way."""
        return (
            self.change is not None or self.planning or self.demand.is_shifting
        )

    @property
    def accepts_new_change(self) -> bool:
        """Return whether a new change may begin.

        A change whose copies are under way gives way to one that fits what
        is asked for since; once a pass is held for it, it goes on.
        """
        if self.planning:
            return False
        if self.change is None:
            return True
        has_step = self.change.step != ranks.NO_VERSION
        return self.outdated and not has_step and bool(self.change.placed)

    def reports_each_pass(self, rank: int) -> bool:
        """Return whether a rank is to report each pass of a change."""
        return self.is_busy and rank < WATCHING

    def reports_counts(self, rank: int) -> bool:
        """Return whether a rank is to tell its requests' choices."""
        return rank % math.ceil(max(1, self.size) / MOST_COUNTING) == 0

    def knows_experts(self, rank: int) -> bool:
        """Return whether it is known what a rank holds now."""
        known = self.reports.get(rank)
        return known is not None and bool(known[0].experts)

    def knows_all_experts(self) -> bool:
        """Return whether it is known what all ranks hold."""
        return all(self.knows_experts(rank) for rank in self.reports)

    def current_map(self) -> ranks.Placed:
        """Return the map in use, by set and rank."""
        listed = [
            self.reports[rank][0].experts for rank in sorted(self.reports)
        ]
        return [list(by_set) for by_set in zip(*listed)]
