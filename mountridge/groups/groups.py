# SPDX-License-Identifier: Apache-2.0

"""The leader's part in expert-parallel groups: plans, orders, loads.

Sidecars report their ranks when something of a change has changed there, and
else now and then. When the last rank that a step waits for has reported, the
next orders go out at once to all ranks; the answer to a report carries the
rank's order too, so that a lost one comes again. All of it is memory of the
leader: a new one knows the same after a round of reports.
"""

import typing


from mountridge import application, messages
from mountridge.consensus import replicas
from mountridge.experts import mapchanges, mapdeltas, mapplans, ranks
from mountridge.groups import mapplanning, rankgroups
from mountridge.logs import logger

__all__ = ['Groups']

#: A hold that another box gives shows in the rank's report within two or
#: three of the 0.025 s between reports; past this the rank's own box gives it.
REMOTE_HOLD_S = 0.15
#: Ranks that may all report at the interval of the settings.
FEW_RANKS = 32
#: Interval of reports of more ranks: of those that tell counts, so that a
#: shift is told within two spans of `demand`, and of the others, whose loads
#: gateways know from their own answers too. 192 ranks make 430 reports a
#: second then instead of 1,600.
COUNTS_INTERVAL_S = 0.2
NO_COUNTS_INTERVAL_S = 0.5
#: Packed forms of maps that are kept: of the newest, for the few versions
#: that sidecars hold.
KEPT_PACKED = 6


class Groups:
    """All groups that have reported in this leader's term."""

    def __init__(
        self,
        app: application.Application,
        replica: replicas.Replica,
        engine_parameters: typing.Callable[[str], mapplans.Sheet | None],
    ):
        self.app = app
        self.replica = replica
        self.planner = mapplanning.Planner(app, replica, engine_parameters)
        self.planner.on_change_begun = lambda group: self._advance(
            group, ranks.NO_VERSION, app.now_s()
        )
        #: Lets another box give an order; tells whether one was found.
        self.send_remote_order: typing.Callable[
            [messages.RemoteOrder], bool
        ] = lambda _: False
        #: Start of the life that is registered of a runner; 0: not told.
        self.registered_start_ms: typing.Callable[[str], int] = (
            lambda instance_id: 0
        )
        self.by_name: dict[str, rankgroups.Group] = {}
        self._loads: dict[str, messages.RunnerLoad] = {}
        #: Packed maps by version and base.
        self._packed: dict[tuple[int, int], mapdeltas.PackedMap] = {}

    def begin_term(self) -> None:
        """Forget what an earlier term was told."""
        self.by_name.clear()
        self._loads.clear()
        self._packed.clear()

    def pop_loads(self) -> list[messages.RunnerLoad]:
        """Return the loads that were reported since the last call."""
        told = list(self._loads.values())
        self._loads.clear()
        return told

    # Reports.

    def on_report(
        self, peer, report: messages.RankReport
    ) -> messages.RankReply:
        """Take a report and answer with the rank's next order."""
        self.replica.check_leader()
        self.app.metrics.incr('rank.reports')
        now_s = self.app.now_s()
        state = report.state
        group = self._take(report, now_s)
        term = self.replica.node.term
        if group is None:
            return messages.RankReply(
                term, None, mapdeltas.NO_MAP, 0.0, False, False, False
            )
        if state.epoch == group.epoch:
            # A late report of an epoch that is over tells nothing of a rank.
            group.record_contact(state.rank, peer.route, now_s)
        order = self._order_for(group, report, now_s)
        return messages.RankReply(
            term,
            order and order._replace(placed=[]),
            self._map_for(group, order, report.known_map),
            self._report_interval_s(group, state.rank),
            group.reports_each_pass(state.rank),
            not group.knows_experts(state.rank),
            group.reports_counts(state.rank),
        )

    def on_remote_report(
        self, report: messages.RankReport
    ) -> ranks.RankOrder | None:
        """Take what this process has read of a rank itself."""
        self.replica.check_leader()
        now_s = self.app.now_s()
        group = self._take(report, now_s)
        return group and self._order_for(group, report, now_s)

    def _take(
        self, report: messages.RankReport, now_s: float
    ) -> rankgroups.Group | None:
        state = report.state
        if 0 < state.born_ms < self.registered_start_ms(report.instance_id):
            # It was under way when the runner started again.
            self.app.metrics.incr('rank.reports.former')
            return None
        group = None
        if state.group:
            group = self.by_name.setdefault(state.group, rankgroups.Group())
        self._loads[report.instance_id] = messages.RunnerLoad(
            report.instance_id,
            state.running,
            state.waiting,
            round(100 * state.pace),
            list(self.by_name).index(state.group) + 1 if group else 0,
            state.is_open or group is None,
        )
        if group is None:
            return None
        group.record_report(report, now_s)
        if group.accepts_new_change:
            self.planner.consider_change(report.instance_id, group, now_s)
        self._advance(group, state.rank, now_s)
        return group

    def _report_interval_s(self, group: rankgroups.Group, rank: int) -> float:
        """Return how long a rank may rest between reports; 0 for usual."""
        known = sum(len(each.reports) for each in self.by_name.values())
        if known <= FEW_RANKS:
            return 0.0
        return (
            COUNTS_INTERVAL_S
            if group.reports_counts(rank)
            else NO_COUNTS_INTERVAL_S
        )

    def unresponsive_ranks(
        self, after_s: float, now_s: float
    ) -> list[messages.RankReport]:
        """Return the last reports of ranks whose sidecars are silent.

        Each had one in this term. One that rests between its reports is
        silent where it is later than that, or has left an order without a
        report. Where no change is under way, no newer word of the rank has
        come from elsewhere either.
        """
        return [
            report
            for group in self.by_name.values()
            for report in self._unresponsive_in(group, after_s, now_s)
        ]

    def _unresponsive_in(
        self, group: rankgroups.Group, after_s: float, now_s: float
    ) -> typing.Iterator[messages.RankReport]:
        asked: set[int] = set()
        if (
            group.progress is not None
            and now_s - group.phase_began_s > after_s
        ):
            asked.update(group.progress.waiting_for())
        for rank, contact in group.contacts.items():
            if now_s - contact.received_s <= after_s:
                continue
            report, received_s = group.reports[rank]
            late_s = after_s + self._report_interval_s(group, rank)
            if rank in asked or now_s - received_s > late_s:
                # Until it is heard again, not only for this step.
                group.unresponsive.add(rank)
            if rank in group.unresponsive:
                yield report

    # Orders.

    def _advance(
        self, group: rankgroups.Group, reporter: int, now_s: float
    ) -> None:
        """Tell ranks what to do where a change goes on to its next step.

        The rank that reports gets its order with the answer.
        """
        progress = group.progress
        if progress is None or not group.is_complete(now_s):
            return
        progress.choose_step(group.newest_step, group.pass_s(now_s))
        change, phase = progress.change, progress.phase
        if phase == mapchanges.Phase.DONE:
            logger.info('map in use', **mapplanning.log_fields(change))
            group.progress = None
            group.next_plan_s = now_s + mapplanning.PAUSE_S
            return
        if group.announced != (phase, change.version, change.step):
            group.announced = (phase, change.version, change.step)
            group.phase_began_s = now_s
            self._push_orders(group, reporter, now_s)

    def _push_orders(
        self, group: rankgroups.Group, except_rank: int, now_s: float
    ) -> None:
        """Send its order to each rank that a change waits for."""
        for rank in group.progress.waiting_for():
            contact = group.contacts.get(rank)
            if rank == except_rank or contact is None:
                continue
            report = group.reports[rank][0]
            order = self._order_for(group, report, now_s)
            if order is None:
                continue
            pushed = messages.RankPush(
                self.replica.node.term,
                order._replace(placed=[]),
                self._map_for(group, order, report.known_map),
            )
            self.app.send(contact.route, pushed)
            self.app.metrics.incr('rank.pushed')

    def _order_for(
        self,
        group: rankgroups.Group,
        report: messages.RankReport,
        now_s: float,
    ) -> ranks.RankOrder | None:
        """Return the order for a rank, None where it is to follow none."""
        progress = group.progress
        if progress is None or not group.is_complete(now_s):
            return None
        order = progress.order_for(report.state.rank)
        if order is not None and order.kind == ranks.HOLD:
            return self._hold_remotely(group, report, order, now_s)
        return order

    def _hold_remotely(
        self,
        group: rankgroups.Group,
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
        if not self.send_remote_order(remote):
            return order
        group.remote_hold = (order.step, now_s)
        return None

    def _map_for(
        self,
        group: rankgroups.Group,
        order: ranks.RankOrder | None,
        known: int,
    ) -> mapdeltas.PackedMap:
        """Return the map of an order, as it differs from a known one."""
        if order is None or order.kind != ranks.PREPARE:
            return mapdeltas.NO_MAP
        base = known if known in group.maps else ranks.NO_VERSION
        key = (order.version, base)
        if key not in self._packed:
            while len(self._packed) >= KEPT_PACKED:
                del self._packed[next(iter(self._packed))]
            self._packed[key] = mapdeltas.pack(
                order.placed, base, group.maps.get(base, [])
            )
        return self._packed[key]
