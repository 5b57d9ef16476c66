# SPDX-License-Identifier: Apache-2.0

"""The leader's view of expert-parallel groups, and its plans for them.

Sidecars report their ranks; the answer carries the next order. All of it is
memory of the leader: a new one knows the same after a round of reports.
"""

import typing

from loguru import logger

from mountridge import application, commands, mapchanges, maps, messages
from mountridge import ranks, replicas

__all__ = ['Group', 'Groups']

#: A rank that has not reported for this long is unknown; nothing is begun.
REPORT_OLD_S = 2.0
#: Time constant of the mean of expert counts. What is asked for shifts
#: within seconds; a second of passes holds thousands of choices.
COUNTS_S = 1.2
#: Least time between the end of a change and the next plan.
PAUSE_S = 0.6
#: Work seen within COUNTS_S, in choices of an expert, below which no plan
#: is made: an idle group gains nothing from one.
LEAST_CHOICES = 20000
#: Part by which the passes' slowest ranks must get faster, set by set, for
#: a change to pay for its copies and its orders.
LEAST_GAIN = 0.15
#: Gain per expert copied, in the norm of `maps`, below which it stays.
LEAST_MOVE_GAIN = 0.02
#: Passes that may go without the report of any rank of a change under way.
CHANGE_S = 8.0


class Sheet(typing.NamedTuple):
    """What an engine allows of expert maps."""

    places: int  # experts that a rank holds at most, by set
    spare: int  # experts new to a rank in one change, by set
    experts: int  # of one set


class Group:
    """One group: its ranks' newest reports, counts, and the change."""

    def __init__(self) -> None:
        self.reports: dict[int, tuple[messages.RankReport, float]] = {}
        self.epoch = ranks.NO_VERSION
        self.counts: list[float] = []
        self.counted_s = 0.0
        self.change: mapchanges.Change | None = None
        self.changed_s = 0.0
        self.planning = False

    def take(self, report: messages.RankReport, now_s: float) -> None:
        """Take one rank's report."""
        state = report.state
        if state.epoch < self.epoch:
            return
        if state.epoch > self.epoch:
            self.epoch = state.epoch
            self.reports.clear()
            self.counts = []
            self.change = None
        self.reports[state.rank] = (report, now_s)
        self._count(report.counts, now_s)

    def _count(self, counts: list[int], now_s: float) -> None:
        if not counts:
            return
        if len(self.counts) != len(counts):
            self.counts = [0.0] * len(counts)
            self.counted_s = now_s
        span_s = now_s - self.counted_s
        if span_s > 0.1 * COUNTS_S:
            kept = max(0.0, 1 - span_s / COUNTS_S)
            self.counts = [kept * count for count in self.counts]
            self.counted_s = now_s
        self.counts = [a + b for a, b in zip(self.counts, counts)]

    def whole(self, now_s: float) -> list[ranks.RankState] | None:
        """Return all ranks' states where each has reported of late."""
        fresh = [
            report.state
            for report, heard_s in self.reports.values()
            if now_s - heard_s < REPORT_OLD_S
        ]
        if not fresh or len(fresh) < fresh[0].size:
            return None
        if not all(state.is_open for state in fresh):
            return None
        return sorted(fresh, key=lambda state: state.rank)

    def placed(self) -> list[list[list[int]]]:
        """Return the map in use, by set and rank."""
        listed = [
            self.reports[rank][0].experts for rank in sorted(self.reports)
        ]
        return [list(by_set) for by_set in zip(*listed)]


class Groups:
    """All groups that have reported in this leader's term."""

    def __init__(
        self,
        app: application.Application,
        replica: replicas.Replica,
        sheet: typing.Callable[[str], Sheet | None],
    ):
        self.app = app
        self.replica = replica
        self._sheet = sheet
        self.by_name: dict[str, Group] = {}
        self._loads: dict[str, messages.RunnerLoad] = {}

    def begin_term(self) -> None:
        """Forget what an earlier term was told."""
        self.by_name.clear()
        self._loads.clear()

    def take_loads(self) -> list[messages.RunnerLoad]:
        """Return the loads that were reported since the last call."""
        told = list(self._loads.values())
        self._loads.clear()
        return told

    async def on_report(
        self, peer, report: messages.RankReport
    ) -> messages.RankReply:
        """Take a report and answer with the rank's next order."""
        self.replica.check_leader()
        now_s = self.app.now_s()
        state = report.state
        self._loads[report.instance_id] = messages.RunnerLoad(
            report.instance_id, state.running, state.waiting, state.pace
        )
        term = self.replica.node.term
        if not state.group:
            return messages.RankReply(term, None, False)
        group = self.by_name.setdefault(state.group, Group())
        group.take(report, now_s)
        if group.change is None and not group.planning:
            await self._plan(report.instance_id, group, now_s)
        order = self._next_order(group, state, now_s)
        return messages.RankReply(term, order, group.change is not None)

    def _next_order(
        self, group: Group, state: ranks.RankState, now_s: float
    ) -> ranks.RankOrder | None:
        change = group.change
        states = group.whole(now_s)
        if change is None or states is None or state.epoch != change.epoch:
            return None
        if mapchanges.is_done(change, states):
            logger.info('map in use', **_told(change))
            group.change = None
            group.changed_s = now_s
            return None
        group.change, order = mapchanges.next_order(change, states, state.rank)
        return order

    async def _plan(
        self, instance_id: str, group: Group, now_s: float
    ) -> None:
        """Begin a change where one was left under way, or where one pays."""
        states = group.whole(now_s)
        if states is None:
            return
        group.change = mapchanges.find_change(states)
        if group.change is not None:
            logger.info('map change found', **_told(group.change))
            return
        if now_s - group.changed_s < PAUSE_S:
            return
        sheet = self._sheet(instance_id)
        if sheet is None or sum(group.counts) < LEAST_CHOICES:
            return
        group.changed_s = now_s
        placed = group.placed()
        planned = _plan_sets(placed, group.counts, sheet)
        if planned is None:
            return
        group.planning = True
        try:
            await self._begin(group, states[0], planned)
        finally:
            group.planning = False

    async def _begin(
        self,
        group: Group,
        state: ranks.RankState,
        planned: tuple[list[list[list[int]]], str],
    ) -> None:
        """Give a plan its version, which no other plan ever has."""
        placed, reason = planned
        command = commands.NextVersion(self.app.wall_s())
        version = await self.replica.propose(commands.encode(command))
        if group.epoch != state.epoch:
            return
        group.change = mapchanges.Change(
            state.group, state.epoch, version, placed
        )
        logger.info('map planned', **_told(group.change), reason=reason)


def _told(change: mapchanges.Change) -> dict[str, typing.Any]:
    return {
        'group': change.group,
        'epoch': change.epoch,
        'version': change.version,
        'step': change.step,
    }


def _plan_sets(
    placed: list[list[list[int]]], counts: list[float], sheet: Sheet
) -> tuple[list[list[list[int]]], str] | None:
    """Return a map by set and rank with its reason, None if none pays.

    A pass waits for the most loaded rank of each set in turn, so the sum
    over the sets of those ranks' loads is what a change makes smaller.
    """
    experts = sheet.experts
    before = after = 0.0
    moved = 0
    new = []
    for number, by_rank in enumerate(placed):
        load = counts[number * experts : (number + 1) * experts]
        planned = maps.spread(
            by_rank, load, sheet.places, sheet.spare, LEAST_MOVE_GAIN
        )
        before += max(maps.rank_loads(by_rank, load))
        after += max(maps.rank_loads(planned, load))
        moved += maps.moved_experts(by_rank, planned)
        new.append([list(held) for held in planned])
    if before <= 0 or (before - after) / before < LEAST_GAIN:
        return None
    mean = sum(counts) / max(1, len(placed[0]))
    return new, (
        f'slowest ranks at {before / mean:.2f} times the mean, then '
        f'{after / mean:.2f}, for {moved} experts copied'
    )
