# SPDX-License-Identifier: Apache-2.0

"""Expert-parallel groups on the leading controller: plans, orders, loads.

Sidecars report their ranks at an interval, and at once when a rank's state in
a map change differs. When the last rank that a phase waits for has reported,
the orders of the next phase are pushed to all ranks at once. The answer to
each report carries the rank's order too, so that a lost order is sent again.
All state is in memory: a new leader rebuilds it from one round of reports.
"""

import typing


from mountridge import application, messages
from mountridge.consensus import replicas
from mountridge.experts import mapchanges, mapdeltas, mapplans, ranks
from mountridge.groups import mapplanning, rankgroups
from mountridge.logs import logger

__all__ = ['Groups']

#: Time for a hold sent by another box to appear in the rank's report, which
#: takes two or three of the sidecar's checks, 0.025 s apart; after that the
#: order goes to the rank's own sidecar.
REMOTE_HOLD_S = 0.15
#: Up to this number of ranks, all report at the interval of the settings.
FEW_RANKS = 32
#: Report intervals with more ranks: of ranks that report counts, short enough
#: to detect a shift of demand within two windows of `demand`, and of the
#: others, whose loads gateways also learn from the ranks' responses. A leader
#: of 192 ranks gets 430 reports a second instead of 1,600.
COUNTS_INTERVAL_S = 0.2
NO_COUNTS_INTERVAL_S = 0.5
#: Number of packed maps cached, by version and base.
KEPT_PACKED = 6


class Groups:
    """The groups whose ranks have reported in this leader's term."""

    def __init__(
        self,
        app: application.Application,
        replica: replicas.Replica,
        engine_parameters: typing.Callable[
            [str], mapplans.EngineParameters | None
        ],
    ):
        self.app = app
        self.replica = replica
        self.planner = mapplanning.Planner(app, replica, engine_parameters)
        self.planner.on_change_begun = lambda group: self._advance(
            group, ranks.NO_VERSION, app.now_s()
        )
        #: Has another box send an order; returns whether one was found.
        self.send_remote_order: typing.Callable[
            [messages.RemoteOrder], bool
        ] = lambda _: False
        #: Start time of a runner as registered, by its id; 0 if unknown.
        self.registered_start_ms: typing.Callable[[str], int] = (
            lambda instance_id: 0
        )
        self.by_name: dict[str, rankgroups.Group] = {}
        self._loads: dict[str, messages.RunnerLoad] = {}
        #: Packed maps by version and base.
        self._packed: dict[tuple[int, int], mapdeltas.PackedMap] = {}

    def begin_term(self) -> None:
        """Discard the state of an earlier term."""
        self.by_name.clear()
        self._loads.clear()
        self._packed.clear()

    def pop_loads(self) -> list[messages.RunnerLoad]:
        """Return and clear the loads reported since the last call."""
        loads = list(self._loads.values())
        self._loads.clear()
        return loads

    # Reports.

    def on_report(
        self, peer, report: messages.RankReport
    ) -> messages.RankReply:
        """Handle a sidecar's report; return the reply with the next order.

        :raises NotLeader: this controller does not lead.
        """
        self.replica.check_leader()
        self.app.metrics.incr('rank.reports')
        now_s = self.app.now_s()
        state = report.state
        group = self._handle_report(report, now_s)
        term = self.replica.node.term
        if group is None:
            return messages.RankReply(
                term, None, mapdeltas.NO_MAP, 0.0, False, False, False
            )
        if state.epoch == group.epoch:
            # A delayed report of an earlier epoch does not count as a contact.
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
        """Handle a report that this process read from an engine itself.

        Returns the order for the rank, if any.

        :raises NotLeader: this controller does not lead.
        """
        self.replica.check_leader()
        now_s = self.app.now_s()
        group = self._handle_report(report, now_s)
        return group and self._order_for(group, report, now_s)

    def _handle_report(
        self, report: messages.RankReport, now_s: float
    ) -> rankgroups.Group | None:
        """Record a report and advance the change of the rank's group.

        Returns None if the rank is in no group or the report is outdated.
        """
        state = report.state
        if 0 < state.born_ms < self.registered_start_ms(report.instance_id):
            # It was sent before the runner's last restart.
            self.app.metrics.incr('rank.reports.former')
            return None
        group = None
        if state.group:
            group = self.by_name.setdefault(state.group, rankgroups.Group())
        self._loads[report.instance_id] = messages.RunnerLoad(
            report.instance_id,
            state.running,
            state.waiting,
            round(100 * state.slowdown),
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
        """Return a rank's report interval; 0 for that of the settings."""
        reporting = sum(len(each.reports) for each in self.by_name.values())
        if reporting <= FEW_RANKS:
            return 0.0
        return (
            COUNTS_INTERVAL_S
            if group.reports_counts(rank)
            else NO_COUNTS_INTERVAL_S
        )

    def unresponsive_ranks(
        self, after_s: float, now_s: float
    ) -> list[messages.RankReport]:
        """Return the last reports of ranks with unresponsive sidecars.

        Only sidecars that have reported in this term are considered. A sidecar
        is unresponsive if it has not reported for ``after_s`` and either the
        rank's newest report, which this process may have read itself, is older
        than the report interval plus ``after_s``, or the current phase of a
        change has waited for the rank for ``after_s``. It remains so until it
        reports again.
        """
        return [
            report
            for group in self.by_name.values()
            for report in self._unresponsive_in(group, after_s, now_s)
        ]

    def _unresponsive_in(
        self, group: rankgroups.Group, after_s: float, now_s: float
    ) -> typing.Iterator[messages.RankReport]:
        awaited: set[int] = set()
        if (
            group.progress is not None
            and now_s - group.phase_began_s > after_s
        ):
            awaited.update(group.progress.waiting_for())
        for rank, contact in group.contacts.items():
            if now_s - contact.received_s <= after_s:
                continue
            report, received_s = group.reports[rank]
            overdue_s = after_s + self._report_interval_s(group, rank)
            if rank in awaited or now_s - received_s > overdue_s:
                # Until its sidecar reports again, not only for this phase.
                group.unresponsive.add(rank)
            if rank in group.unresponsive:
                yield report

    # Orders.

    def _advance(
        self, group: rankgroups.Group, reporter: int, now_s: float
    ) -> None:
        """Advance a group's change; push the orders of a new phase or step.

        The rank ``reporter`` gets its order with the answer to its report.
        """
        progress = group.progress
        if progress is None or not group.is_complete(now_s):
            return
        if self.planner.abandon_overdue(group, now_s):
            return
        progress.choose_step(group.newest_step, group.pass_s(now_s))
        change, phase = progress.change, progress.phase
        if phase == mapchanges.Phase.DONE:
            age_ms = group.shift_age_ms(now_s)
            logger.info(
                'map in use',
                **mapplanning.log_fields(change),
                shift_age_ms=age_ms,
            )
            if age_ms >= 0:
                self.app.metrics.gauge(
                    f'maps.{change.group}.shift_to_use_ms', age_ms
                )
            group.progress = None
            group.abandoned = 0
            group.next_plan_s = now_s + mapplanning.PAUSE_S
            return
        if group.announced != (phase, change.version, change.step):
            group.announced = (phase, change.version, change.step)
            group.phase_began_s = now_s
            self._push_orders(group, reporter, now_s)

    def _push_orders(
        self, group: rankgroups.Group, except_rank: int, now_s: float
    ) -> None:
        """Push orders to the ranks that a change waits for, except one."""
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
        """Return the order that a rank's sidecar is to carry out, if any."""
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
        """Have another box send a hold; return the order if none can.

        The box that sends a hold may fail right after. If it were the rank's
        own box, nothing could reach the rank to release the held pass. The
        order is also returned if the hold has not appeared in time.
        """
        step, sent_s = group.remote_hold
        if order.step == step:
            return order if now_s - sent_s > REMOTE_HOLD_S else None
        remote = messages.RemoteOrder(report.instance_id, order)
        if not self.send_remote_order(remote):
            return order
        group.remote_hold = (order.step, now_s)
        return None

    def _map_for(
        self,
        group: rankgroups.Group,
        order: ranks.RankOrder | None,
        known_map: int,
    ) -> mapdeltas.PackedMap:
        """Return the map of an order, packed against ``known_map``.

        The complete map is packed if this leader does not have that version,
        or if the group has formed with other dimensions since.
        """
        if order is None or order.kind != ranks.PREPARE:
            return mapdeltas.NO_MAP
        base, base_map = known_map, group.maps.get(known_map, [])
        if not mapdeltas.have_same_dimensions(base_map, order.placed):
            base, base_map = ranks.NO_VERSION, []
        key = (order.version, base)
        if key not in self._packed:
            while len(self._packed) >= KEPT_PACKED:
                del self._packed[next(iter(self._packed))]
            self._packed[key] = mapdeltas.pack(order.placed, base, base_map)
        return self._packed[key]
