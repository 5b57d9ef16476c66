# SPDX-License-Identifier: Apache-2.0

"""The sidecar: a small process on each runner's box.

It reads its engine's load and expert counts, which is free and fresh only
from the same box, reports them to the leading controller, and carries out
the orders that come back. It holds nothing that has to survive it.
"""

import typing

from loguru import logger
import trio

from mountridge import application, demand, errors, httpserver, members
from mountridge import messages, ranks

__all__ = ['Engine', 'Sidecar', 'build', 'follow', 'run']

#: Interval of reports while a change of the expert map is under way.
HURRY_S = 0.025
#: Counts go with the reports of the usual interval, not with those between
#: them: they are most of a report's bytes. The rest is for clocks and timers.
COUNTS_PART = 0.8
#: A leader that does not answer by then is looked for again.
REPORT_S = 0.8


class Engine(typing.Protocol):
    """The engine on this box, as an adapter speaks with it."""

    async def state(self) -> ranks.RankState:
        """Return its state now."""

    async def counts(self) -> list[int]:
        """Return how often each expert was chosen since the epoch began."""

    async def experts(self) -> list[list[int]]:
        """Return the experts that it holds, by set of layers."""

    async def instance_id(self) -> str:
        """Return the id under which its runner is registered."""

    async def follow(self, order: ranks.RankOrder) -> None:
        """Carry out an order.

        :raises RefusedChange: it does not fit the engine's state.
        :raises OutcomeUnknown: it may be carried out, now or later.
        """


async def follow(engine: Engine, order: ranks.RankOrder) -> dict:
    """Give an order to an engine; return what the log line tells of it."""
    try:
        await engine.follow(order)
        outcome = 'taken'
    except errors.RefusedChange as problem:
        outcome = f'refused: {problem}'
    except errors.OutcomeUnknown as problem:
        outcome = f'unknown: {problem}'
    except errors.MountridgeError as problem:
        outcome = f'not given: {problem}'
    return {
        'kind': order.kind,
        'epoch': order.epoch,
        'version': order.version,
        'step': order.step,
        'outcome': outcome,
    }


class Sidecar:
    """Reports one engine and follows the leader's orders."""

    def __init__(self, app: application.Application, engine: Engine):
        self.app = app
        self.engine = engine
        self.leader = members.Leader(app)
        self._report_s = app.settings['sidecar']['report_s']
        self._instance_id = ''
        self._epoch = ranks.NO_VERSION
        self._counts: list[int] = []
        self._counted_s = float('-inf')
        self._map_version = ranks.NO_VERSION
        self._experts: list[list[int]] = []
        #: Whether the leader may not know what the rank holds.
        self._tell_experts = True
        self._fence = 0

    async def run(self) -> None:
        """Report for ever, more often while a change is under way."""
        while True:
            began_s = self.app.now_s()
            hurry = False
            try:
                hurry = await self._report()
            except errors.MountridgeError as problem:
                self.app.metrics.incr(f'report.failed.{problem.code}')
                logger.debug('no report', reason=str(problem))
            took_s = self.app.now_s() - began_s
            interval_s = HURRY_S if hurry else self._report_s
            await trio.sleep(max(HURRY_S / 2, interval_s - took_s))

    async def _report(self) -> bool:
        state = await self.engine.state()
        await self._follow_epoch(state)
        fresh = await self._fresh_counts(state)
        told = self._experts if self._tell_experts else []
        report = messages.RankReport(self._instance_id, state, told, fresh)
        reply = await self.leader.call(report, REPORT_S)
        self._tell_experts = reply.wants_experts
        if reply.term < self._fence:
            # From a leader that does not know of its successor.
            return False
        self._fence = reply.term
        if reply.order is not None:
            logger.info('order', **await follow(self.engine, reply.order))
        return reply.hurry

    async def _follow_epoch(self, state: ranks.RankState) -> None:
        """Learn anew what only holds within an epoch of the group."""
        if state.epoch != self._epoch or not self._instance_id:
            self._instance_id = await self.engine.instance_id()
            self._epoch = state.epoch
            self._counts = []
            self._map_version = ranks.NO_VERSION
        if state.map_version != self._map_version:
            self._experts = await self.engine.experts()
            self._tell_experts = True
            self._map_version = state.map_version

    async def _fresh_counts(self, state: ranks.RankState) -> demand.Choices:
        """Return the choices since they were last told, in due time."""
        now_s = self.app.now_s()
        is_due = now_s - self._counted_s >= COUNTS_PART * self._report_s
        if not state.group or not state.is_open or not is_due:
            return demand.NO_CHOICES
        counts = await self.engine.counts()
        before = self._counts
        self._counts = counts
        self._counted_s = now_s
        if len(before) != len(counts):
            return demand.NO_CHOICES
        return demand.pack([now - then for now, then in zip(counts, before)])

    def dump(self) -> dict:
        """Return the state for `mountridge dump`."""
        return {
            'instance_id': self._instance_id,
            'epoch': self._epoch,
            'map_version': self._map_version,
            'counts': dict(self.app.metrics.counts),
        }


def build(app: application.Application, engine: Engine) -> Sidecar:
    """Return a sidecar whose tasks are in ``app``."""
    made = Sidecar(app, engine)
    app.tasks.append(made.run)
    app.dumpers['sidecar'] = made.dump
    return made


def run(
    settings: dict,
    connect: typing.Callable[[application.Application], Engine],
) -> None:
    """Run a sidecar until it is stopped."""
    app = application.Application(settings)
    build(app, connect(app))
    app.tasks.append(httpserver.metrics_task(app))
    trio.run(app.run)
