# SPDX-License-Identifier: Apache-2.0

"""Ranks whose sidecar is silent: the leader reads and orders them itself.

A group waits for ever for a held pass whose rank nobody lets go, and for a
change that one rank does not take. So while the sidecar of a rank is dead,
frozen or cut off, the leader calls its engine over the network. What an
engine tells from afar is some hundred milliseconds old; nothing in a change
depends on it being newer.
"""

import typing

import trio

from mountridge import application, errors, messages, sidecar
from mountridge.experts import demand
from mountridge.groups import groups
from mountridge.logs import logger

__all__ = ['RemoteRanks']

#: A sidecar reports within 0.03 s of an order; one that is this late with
#: that, or with a report that is due, is dead, frozen or cut off.
SILENT_S = 0.4
#: Between two looks at the ranks.
LOOK_S = 0.1

Connect = typing.Callable[[str], sidecar.Engine | None]


class RemoteRanks:
    """The leader's own calls to engines, by the ids of their runners."""

    def __init__(
        self,
        app: application.Application,
        known: groups.Groups,
        connect: Connect,
    ):
        self.app = app
        self.known = known
        self._connect = connect

    async def run(self) -> None:
        """Stand in for silent sidecars while this process leads."""
        while True:
            await trio.sleep(LOOK_S)
            silent = self.known.unresponsive_ranks(SILENT_S, self.app.now_s())
            async with trio.open_nursery() as nursery:
                for report in silent:
                    nursery.start_soon(self._report, report)

    async def _report(self, last: messages.RankReport) -> None:
        engine = self._connect(last.instance_id)
        if engine is None:
            return
        try:
            await self._stand_in(engine, last)
        except errors.MountridgeError as problem:
            self.app.metrics.incr('rank.remote.failed')
            logger.debug(
                'rank not read from afar',
                instance_id=last.instance_id,
                reason=str(problem),
            )

    async def _stand_in(
        self, engine: sidecar.Engine, last: messages.RankReport
    ) -> None:
        state = await engine.state()
        experts = last.experts
        before = (last.state.map_version, last.state.born_ms)
        if (state.map_version, state.born_ms) != before:
            experts = await engine.experts()
        report = messages.RankReport(
            last.instance_id,
            state,
            experts,
            demand.NO_COUNTS,
            last.known_map,
        )
        order = self.known.on_remote_report(report)
        if order is not None:
            told = await sidecar.follow(engine, order)
            logger.info('remote order', runner=last.instance_id, **told)
