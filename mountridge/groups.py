# SPDX-License-Identifier: Apache-2.0

"""The leader's view of expert-parallel groups, and its plans for them.

Sidecars report their ranks; the answer carries the next order. All of it is
memory of the leader: a new one knows the same after a round of reports.
"""

import collections
import typing

from loguru import logger

from mountridge import application, commands, demand, mapchanges
from mountridge import mapplans, messages, ranks, replicas

__all__ = ['Group', 'Groups']

#: A rank that has not reported for this long is unknown; nothing is begun.
REPORT_OLD_S = 2.0
#: A hold that another box gives shows in the rank's report within two or
#: three of the 0.025 s between reports; past this the rank's own box gives it.
REMOTE_HOLD_S = 0.15
#: Span of the passes by which the length of one is told. Longer than some
#: passes, shorter than a slow rank takes to be noticed.
PASSES_S = 0.5
#: Least time between the end of a change and the next plan.
PAUSE_S = 0.05
#: Work seen since demand shifted, in choices of an expert, below which no
#: plan is made: an idle group gains nothing from one.
LEAST_CHOICES = 10000


class Group:
    """One group: its ranks' newest reports, counts, and the change."""

    def __init__(self) -> None:
        self.reports: dict[int, tuple[messages.RankReport, float]] = {}
        #: When each rank's own sidecar was last heard.
        self.sidecar_s: dict[int, float] = {}
        self.epoch = ranks.NO_VERSION
        self.demand = demand.Demand()
        self.change: mapchanges.Change | None = None
        self.changed_s = 0.0
        #: Whether demand has shifted since the change under way was planned.
        self.outdated = False
        self.planning = False
        #: The pass whose hold was last given by another box, and when.
        self.remote_hold = (ranks.NO_VERSION, 0.0)
        #: When each of the newest passes was first heard of.
        self._passes: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    def take(self, report: messages.RankReport, now_s: float) -> None:
        """Take one rank's report."""
        state = report.state
        if state.epoch < self.epoch:
            return
        if state.epoch > self.epoch:
            self.epoch = state.epoch
            self.reports.clear()
            self.sidecar_s.clear()
            # What is asked for outlives the map, so that the first change
            # of the new epoch is planned as soon as the group is open.
            self.change = None
            self._passes.clear()
        self.reports[state.rank] = (self._with_experts(report), now_s)
        self._time_passes(state.step, now_s)
        counts = demand.unpack(report.counts)
        if counts and self.demand.take(counts, now_s):
            self.outdated = True
            logger.info('demand shifted', group=state.group, step=state.step)

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
        return report._replace(experts=before.experts)

    def _time_passes(self, step: int, now_s: float) -> None:
        passes = self._passes
        if not passes or step > passes[-1][0]:
            passes.append((step, now_s))
        while len(passes) > 2 and passes[1][1] < now_s - PASSES_S:
            passes.popleft()

    def pass_s(self, now_s: float) -> float:
        """Return how long a pass takes, by the newest ones."""
        if len(self._passes) < 2:
            return mapchanges.USUAL_PASS_S
        (first, first_s), (last, last_s) = self._passes[0], self._passes[-1]
        lasted_s = (last_s - first_s) / (last - first)
        # The pass under way may be the first slow one.
        return max(lasted_s, now_s - last_s, mapchanges.USUAL_PASS_S / 4)

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

    @property
    def is_busy(self) -> bool:
        """Return whether ranks should report sooner: a change is near."""
        return (
            self.change is not None or self.planning or self.demand.is_shifting
        )

    @property
    def is_open_to_plans(self) -> bool:
        """Return whether a new change may begin.

        A change whose copies are under way gives way to one that fits what
        is asked for since; once a pass is held for it, it goes on.
        """
        if self.change is None:
            return True
        is_held = self.change.step != ranks.NO_VERSION
        return self.outdated and not is_held and bool(self.change.placed)

    def knows_experts(self, rank: int) -> bool:
        """Return whether it is known what a rank holds now."""
        known = self.reports.get(rank)
        return known is not None and bool(known[0].experts)

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
        sheet: typing.Callable[[str], mapplans.Sheet | None],
    ):
        self.app = app
        self.replica = replica
        self._sheet = sheet
        #: Runs the search for a plan; a process that serves requests gives
        #: one that runs it in a thread.
        self.offload: typing.Callable = _at_once
        #: Lets another box give an order; tells whether one was found.
        self.give_elsewhere: typing.Callable[[messages.RemoteOrder], bool] = (
            lambda _: False
        )
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
        reply = await self._take(report)
        group = self.by_name.get(report.state.group)
        if group is not None:
            group.sidecar_s[report.state.rank] = self.app.now_s()
        return reply

    async def on_remote_report(
        self, report: messages.RankReport
    ) -> messages.RankReply:
        """Take what this process has read of a rank itself."""
        self.replica.check_leader()
        return await self._take(report)

    def silent(
        self, after_s: float, now_s: float
    ) -> list[messages.RankReport]:
        """Return the last reports of ranks whose sidecars are silent.

        Each had one in this term, and where no change is under way, no
        newer word of it has come from elsewhere either.
        """
        return [
            report
            for group in self.by_name.values()
            for rank, (report, heard_s) in group.reports.items()
            if now_s - group.sidecar_s.get(rank, now_s) > after_s
            and (group.change is not None or now_s - heard_s > after_s)
        ]

    async def _take(self, report: messages.RankReport) -> messages.RankReply:
        now_s = self.app.now_s()
        state = report.state
        self._loads[report.instance_id] = messages.RunnerLoad(
            report.instance_id, state.running, state.waiting, state.pace
        )
        term = self.replica.node.term
        if not state.group:
            return messages.RankReply(term, None, False, False)
        group = self.by_name.setdefault(state.group, Group())
        group.take(report, now_s)
        if group.is_open_to_plans and not group.planning:
            await self._plan(report.instance_id, group, now_s)
        order = self._next_order(group, state, now_s)
        if order is not None and order.kind == ranks.HOLD:
            order = self._hold_elsewhere(group, report, order, now_s)
        return messages.RankReply(
            term, order, group.is_busy, not group.knows_experts(state.rank)
        )

    def _hold_elsewhere(
        self,
        group: Group,
        report: messages.RankReport,
        order: ranks.RankOrder,
        now_s: float,
    ) -> ranks.RankOrder | None:
        """Let another box hold the pass; return the order where none does.

        Whoever holds a pass may be lost right after. If that is the box of
        the rank itself, nobody can reach the rank to let the pass go.
        """
        step, given_s = group.remote_hold
        if order.step == step:
            return order if now_s - given_s > REMOTE_HOLD_S else None
        remote = messages.RemoteOrder(report.instance_id, order)
        if not self.give_elsewhere(remote):
            return order
        group.remote_hold = (order.step, now_s)
        return None

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
        group.change, order = mapchanges.next_order(
            change, states, state.rank, group.pass_s(now_s)
        )
        return order

    async def _plan(
        self, instance_id: str, group: Group, now_s: float
    ) -> None:
        """Begin a change where one was left under way, or where one pays."""
        states = group.whole(now_s)
        if states is None:
            return
        found = mapchanges.find_change(states)
        if found is not None and group.change is None:
            group.change = found
            logger.info('map change found', **_told(found))
            return
        if now_s - group.changed_s < PAUSE_S or not group.demand.is_settled:
            return
        sheet = self._sheet(instance_id)
        if not all(group.knows_experts(state.rank) for state in states):
            return
        if sheet is None or sum(group.demand.mean) < LEAST_CHOICES:
            return
        group.changed_s = now_s
        paces = [state.pace for state in states]
        group.planning = True
        try:
            planned = await self.offload(
                mapplans.plan,
                group.placed(),
                list(group.demand.mean),
                paces,
                sheet,
            )
            if planned is not None:
                await self._begin(group, states[0], planned)
        finally:
            group.planning = False

    async def _begin(
        self,
        group: Group,
        state: ranks.RankState,
        planned: mapplans.Planned,
    ) -> None:
        """Give a plan its version, which no other plan ever has."""
        command = commands.NextVersion(self.app.wall_s())
        version = await self.replica.propose(commands.encode(command))
        if group.epoch != state.epoch or not group.is_open_to_plans:
            return
        group.outdated = False
        group.change = mapchanges.Change(
            state.group, state.epoch, version, planned.placed
        )
        logger.info(
            'map planned', **_told(group.change), reason=planned.reason
        )


async def _at_once(function: typing.Callable, *args: typing.Any):
    return function(*args)


def _told(change: mapchanges.Change) -> dict[str, typing.Any]:
    return {
        'group': change.group,
        'epoch': change.epoch,
        'version': change.version,
        'step': change.step,
    }
