# SPDX-License-Identifier: Apache-2.0

"""State of one expert-parallel group on the leader, from its ranks' reports.

The cost of handling a report does not depend on the number of ranks, except
when a change begins or the step for a new map is chosen: large groups send
many reports per second, most of them while a map changes.
"""

import collections
import math
import typing


from mountridge.experts import demand, mapchanges, ranks
from mountridge.logs import logger
from mountridge import messages

__all__ = ['Contact', 'Group']

#: A rank whose last report is older than this is unknown; while one is, no
#: change begins or proceeds.
REPORT_STALE_S = 2.0
#: Minimum time between two checks of all ranks of an incomplete group.
CHECK_INTERVAL_S = 0.02
#: Window of recent forward passes over which their duration is averaged;
#: longer than one pass, short enough to notice a slow rank soon.
PASSES_S = 0.5
#: Maximum number of ranks of a group that report counts. Requests to all ranks
#: select experts alike, and counts are most of a report's bytes: 3.8 KB at 10
#: sets of 384 experts.
MAX_COUNTING_RANKS = 16
#: Number of ranks that report each pass while a change is in progress.
PASS_REPORTING_RANKS = 2


class Contact(typing.NamedTuple):
    """The route to a rank's sidecar, and the time of its last report."""

    route: bytes
    received_s: float


class Group:
    """The newest reports of a group's ranks, its demand and its map change."""

    def __init__(self) -> None:
        #: By rank, with the time at which each was received.
        self.reports: dict[int, tuple[messages.RankReport, float]] = {}
        #: By rank, of sidecars that have reported in this epoch.
        self.contacts: dict[int, Contact] = {}
        #: Ranks whose sidecars were overdue and have not reported since.
        self.unresponsive: set[int] = set()
        self.epoch = ranks.NO_VERSION
        self.size = 0
        self.demand = demand.Demand()
        self.progress: mapchanges.Progress | None = None
        #: Earliest time of the next search for a plan.
        self.next_plan_s = 0.0
        #: Whether demand has shifted since the current change was planned.
        self.outdated = False
        self.planning = False
        #: When a change that some rank has not prepared yet is abandoned.
        self.prepare_until_s = math.inf
        #: Changes abandoned in a row.
        self.abandoned = 0
        #: When the last shift was detected, if no change was planned since.
        self._shifted_s: float | None = None
        #: When the shift was detected that the last change answers, if any.
        self._answered_s: float | None = None
        #: Step of the last hold sent by another box, and its time.
        self.remote_hold = (ranks.NO_VERSION, 0.0)
        #: Phase, version and step last announced to the ranks, and when.
        self.announced: tuple[mapchanges.Phase, int, int] | None = None
        self.phase_began_s = 0.0
        #: Maps by version that sidecars may hold, the newest last.
        self.maps: dict[int, ranks.Placement] = {}
        self._holding: set[int] = set()
        self._complete_until_s = 0.0
        self._checked_s = float('-inf')
        #: Recent passes, with the time at which each was first reported.
        self._passes: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    @property
    def change(self) -> mapchanges.Change | None:
        """The change in progress, if any."""
        return self.progress.change if self.progress else None

    def record_report(self, report: messages.RankReport, now_s: float) -> None:
        """Apply one rank's report; ignore it if it is of an older epoch."""
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
            self.progress.record(state)
        self._record_pass(state.step, now_s)
        counts = report.counts
        if counts.levels and self.demand.record(counts, now_s):
            self.outdated = True
            self._shifted_s = self.next_plan_s = now_s
            logger.info('demand shifted', group=state.group, step=state.step)

    def _begin_epoch(self, state: ranks.RankState) -> None:
        self.epoch = state.epoch
        self.size = state.size
        self.reports.clear()
        self.contacts.clear()
        self.unresponsive.clear()
        self._holding.clear()
        # Demand is kept, so that the first change of the new epoch can be
        # planned as soon as the group is open.
        self.progress = None
        self._passes.clear()
        self.abandoned = 0
        self._complete_until_s = 0.0

    def answer_shift(self) -> None:
        """Record that a change has been planned."""
        self._answered_s = None
        if not self.outdated:
            self._answered_s, self._shifted_s = self._shifted_s, None

    def shift_age_ms(self, now_s: float) -> int:
        """Return the time since the shift that the last change answers.

        It is -1 if no shift was detected between that change and the previous.
        """
        if self._answered_s is None:
            return -1
        return round(1000 * (now_s - self._answered_s))

    def record_contact(self, rank: int, route: bytes, now_s: float) -> None:
        """Record that a rank's own sidecar has reported."""
        self.contacts[rank] = Contact(route, now_s)
        self.unresponsive.discard(rank)

    def _with_experts(
        self, report: messages.RankReport
    ) -> messages.RankReport:
        """Return a report completed with the experts reported earlier."""
        entry = self.reports.get(report.state.rank)
        if report.experts or entry is None:
            return report
        previous = entry[0]
        if previous.state.map_version != report.state.map_version:
            return report
        if previous.state.born_ms != report.state.born_ms:
            # A restarted engine no longer holds what it held before.
            return report
        return report._replace(experts=previous.experts)

    def _record_pass(self, step: int, now_s: float) -> None:
        passes = self._passes
        if not passes or step > passes[-1][0]:
            passes.append((step, now_s))
        while len(passes) > 2 and passes[1][1] < now_s - PASSES_S:
            passes.popleft()

    @property
    def newest_step(self) -> int:
        """The newest pass that a rank has reported."""
        return self._passes[-1][0] if self._passes else 0

    def pass_s(self, now_s: float) -> float:
        """Return the duration of a forward pass, from recent ones."""
        if len(self._passes) < 2:
            return mapchanges.DEFAULT_PASS_S
        (first, first_s), (last, last_s) = self._passes[0], self._passes[-1]
        mean_s = (last_s - first_s) / (last - first)
        # The current pass may be the first slow one.
        return max(mean_s, now_s - last_s, mapchanges.DEFAULT_PASS_S / 4)

    def is_complete(self, now_s: float) -> bool:
        """Return whether all ranks are open and have reported recently.

        While the group is incomplete the ranks are checked at intervals only,
        so it may be noticed late that it is complete again.
        """
        if now_s < self._complete_until_s:
            return True
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return False
        self._checked_s = now_s
        return self.complete_states(now_s) is not None

    def complete_states(self, now_s: float) -> list[ranks.RankState] | None:
        """Return all ranks' states in rank order; None if incomplete."""
        if len(self.reports) < self.size:
            return None
        oldest_s = min(received_s for _, received_s in self.reports.values())
        if now_s - oldest_s >= REPORT_STALE_S:
            return None
        states = [self.reports[rank][0].state for rank in sorted(self.reports)]
        if not all(state.is_open for state in states):
            return None
        self._complete_until_s = oldest_s + REPORT_STALE_S
        return states

    @property
    def has_held_pass(self) -> bool:
        """Whether some rank prevents a pass from beginning."""
        return bool(self._holding)

    @property
    def is_busy(self) -> bool:
        """Whether a change is in progress, being planned or expected soon."""
        return (
            self.change is not None or self.planning or self.demand.is_shifting
        )

    @property
    def accepts_new_change(self) -> bool:
        """Whether a new change may begin.

        If demand has shifted, a change that is still copying experts may be
        replaced by a new one. Once a pass has been chosen for it, it may not.
        """
        if self.planning:
            return False
        if self.change is None:
            return True
        has_step = self.change.step != ranks.NO_VERSION
        return self.outdated and not has_step and bool(self.change.placement)

    def reports_each_pass(self, rank: int) -> bool:
        """Return whether a rank has to report each pass now."""
        return self.is_busy and rank < PASS_REPORTING_RANKS

    def reports_counts(self, rank: int) -> bool:
        """Return whether a rank has to report which experts are selected."""
        return rank % math.ceil(max(1, self.size) / MAX_COUNTING_RANKS) == 0

    def knows_experts(self, rank: int) -> bool:
        """Return whether the experts that a rank holds now are known."""
        entry = self.reports.get(rank)
        return entry is not None and bool(entry[0].experts)

    def knows_all_experts(self) -> bool:
        """Return whether the experts of all reporting ranks are known."""
        return all(self.knows_experts(rank) for rank in self.reports)

    def current_map(self) -> ranks.Placement:
        """Return the map in use, by set of layers and rank."""
        by_rank = [
            self.reports[rank][0].experts for rank in sorted(self.reports)
        ]
        return [list(ranks_of_set) for ranks_of_set in zip(*by_rank)]
