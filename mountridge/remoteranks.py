# SPDX-License-Identifier: Apache-2.0

"""Calls of the leader to engines whose sidecars are unresponsive.

A group would wait indefinitely for a held step that no sidecar releases, or
for a rank that does not carry out its part of a map change. So the leader
reads the state of a rank and sends its orders over the network while its
sidecar is stopped, suspended or partitioned. State read this way may be some
100 ms old, which map changes tolerate.
"""

import typing

import trio

from mountridge import application, errors, messages, sidecar
from mountridge.experts import demand
from mountridge.groups import groups
from mountridge.logs import logger

__all__ = ['RemoteRanks']

#: A sidecar is unresponsive if its report, or its reaction to an order, is
#: overdue for this long. Sidecars report within 0.03 s of an order.
UNRESPONSIVE_S = 0.4
#: Interval of the checks for unresponsive sidecars.
CHECK_INTERVAL_S = 0.1

Connect = typing.Callable[[str], sidecar.Engine | None]


class RemoteRanks:
    """Calls engines in place of unresponsive sidecars."""

    def __init__(
        self,
        app: application.Application,
        groups: groups.Groups,
        connect: Connect,
    ):
        self.app = app
        self.groups = groups
        self._connect = connect

    async def run(self) -> None:
        """Replace unresponsive sidecars while this process leads."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            last_reports = self.groups.unresponsive_ranks(
                UNRESPONSIVE_S, self.app.now_s()
            )
            async with trio.open_nursery() as nursery:
                for last in last_reports:
                    nursery.start_soon(self._try_update, last)

    async def _try_update(self, last: messages.RankReport) -> None:
        engine = self._connect(last.instance_id)
        if engine is None:
            return
        try:
            await self._update(engine, last)
        except errors.MountridgeError as problem:
            self.app.metrics.incr('rank.remote.failed')
            logger.debug(
                'cannot read a rank remotely',
                instance_id=last.instance_id,
                reason=str(problem),
            )

    async def _update(
        self, engine: sidecar.Engine, last: messages.RankReport
    ) -> None:
        """Report a rank's state to this leader, and send its next order."""
        state = await engine.state()
        experts = last.experts
        before = (last.state.map_version, last.state.born_ms)
        if (state.map_version, state.born_ms) != before:
            experts = await sidecar.read_experts(engine, state)
        report = messages.RankReport(
            last.instance_id,
            state,
            experts,
            demand.NO_COUNTS,
            last.known_map,
        )
        order = self.groups.on_remote_report(report)
        if order is not None:
            fields = await sidecar.execute_order(engine, order)
            logger.info('remote order', runner=last.instance_id, **fields)
