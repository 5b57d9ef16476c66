# SPDX-License-Identifier: Apache-2.0

"""The sidecar: a small process on each runner's box.

It reads its engine's load and expert counts, which is free and fresh only
from the same box, reports them to the leading controller, and carries out
the orders that come back. It holds nothing that has to survive it.
"""

import typing

import trio

from mountridge import application, errors, messages
from mountridge.experts import demand, mapdeltas, ranks
from mountridge.logs import logger
from mountridge.net import httpserver
from mountridge.state import members

__all__ = ['Engine', 'Sidecar', 'build', 'follow', 'run']

#: Between two looks at the engine while a step of a change is under way
#: there. Only what has changed is reported, so this costs the leader nothing.
HURRY_S = 0.025
#: How long an order is looked after in a hurry; then as a resting rank.
HURRY_FOR_S = 1.0
#: Between two looks while the rank waits for the pass of a new map. Reports
#: then, and while an order is carried out, come at the interval of the
#: settings: a leader that has just been elected finds a held pass only by
#: them, and stands in for a rank that is silent for 0.4 s.
ARMED_S = 0.05
#: Counts go with reports that are this part of the usual interval apart, not
#: with those between them: they are most of a report's bytes. The rest is
#: for clocks and timers.
COUNTS_PART = 0.8
#: An order that comes again within this time, pushed and with the answer to
#: a report, is carried out once.
AGAIN_S = 0.05
#: A leader that does not answer by then is looked for again.
REPORT_S = 0.8
#: Maps that are kept to build the next one on: the leader may not know yet
#: that the newest has come.
KEPT_MAPS = 2
#: What the log line says of an order that the engine has taken.
TAKEN = 'taken'


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
        outcome = TAKEN
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


class _News(typing.NamedTuple):
    """What of an engine's state the leader is told of at once."""

    epoch: int
    is_open: bool
    map_version: int
    prepared: int
    armed: int
    armed_step: int
    held_step: int
    pace: int  # in whole multiples of the usual


def _news(state: ranks.RankState) -> _News:
    return _News(
        state.epoch,
        state.is_open,
        state.map_version,
        state.prepared,
        state.armed,
        state.armed_step,
        state.held_step,
        round(state.slowdown),
    )


class Sidecar:
    """Reports one engine and follows the leader's orders."""

    def __init__(self, app: application.Application, engine: Engine):
        self.app = app
        self.engine = engine
        self.leader = members.LeaderClient(app, self.take_push)
        self._usual_s = app.settings['sidecar']['report_s']
        self._report_s = self._usual_s
        self._instance_id = ''
        self._epoch = ranks.NO_VERSION
        #: Start of the engine; a later one has forgotten what it was told.
        self._born_ms = 0
        self._counts: list[int] = []
        self._counted_s = float('-inf')
        self._map_version = ranks.NO_VERSION
        self._experts: list[list[int]] = []
        #: Whether the leader may not know what the rank holds.
        self._tell_experts = True
        self._tell_counts = True
        self._fence = 0
        #: Whether the leader wants to know each pass.
        self._watched = False
        self._told: _News | None = None
        self._reported_s = float('-inf')
        #: The order carried out last, and when.
        self._order = (ranks.NO_ORDER, float('-inf'))
        #: The newest maps that came, by version, the newest last.
        self._maps: dict[int, ranks.Placement] = {}
        self._wake = trio.Event()

    async def run(self) -> None:
        """Look at the engine for ever, and report what is due."""
        while True:
            began_s = self.app.now_s()
            rest_s = self._usual_s
            try:
                rest_s = await self._look()
            except errors.MountridgeError as problem:
                self.app.metrics.incr(f'report.failed.{problem.code}')
                logger.debug('no report', reason=str(problem))
            took_s = self.app.now_s() - began_s
            with trio.move_on_after(max(HURRY_S / 2, rest_s - took_s)):
                await self._wake.wait()
            self._wake = trio.Event()

    async def _look(self) -> float:
        """Read the engine, report what is due, return how long to rest."""
        state = await self.engine.state()
        await self._follow_epoch(state)
        if self._is_due(state, self.app.now_s()):
            await self._report(state)
        return self._rest_s(state, self.app.now_s())

    def _is_due(self, state: ranks.RankState, now_s: float) -> bool:
        if self._watched or _news(state) != self._told:
            return True
        longest_s = self._report_s
        if state.armed != ranks.NO_VERSION or self._is_asked(state, now_s):
            longest_s = min(longest_s, self._usual_s)
        # A timer fires late, never early; a tick early is no loss.
        return now_s - self._reported_s >= longest_s - HURRY_S / 2

    def _rest_s(self, state: ranks.RankState, now_s: float) -> float:
        """Return how long to rest before the next look."""
        if self._watched:
            return HURRY_S
        if state.armed != ranks.NO_VERSION:
            return ARMED_S
        if self._is_asked(state, now_s):
            return HURRY_S
        return max(0.0, self._reported_s + self._report_s - now_s)

    def _is_asked(self, state: ranks.RankState, now_s: float) -> bool:
        """Return whether an order of late is not carried out yet."""
        _, given_s = self._order
        return now_s - given_s < HURRY_FOR_S and not self._is_followed(state)

    def _is_followed(self, state: ranks.RankState) -> bool:
        """Return whether the engine shows what the last order asked for."""
        order, _ = self._order
        if state.epoch != order.epoch or state.map_version == order.version:
            return True
        if order.kind == ranks.PREPARE:
            return state.prepared == order.version
        if order.kind == ranks.HOLD:
            return state.held_step == order.step
        return order.kind == ranks.ARM and state.armed == order.version

    async def _report(self, state: ranks.RankState) -> None:
        fresh = await self._fresh_counts(state)
        told = self._experts if self._tell_experts else []
        known = next(reversed(self._maps), ranks.NO_VERSION)
        report = messages.RankReport(
            self._instance_id, state, told, fresh, known
        )
        # From before the call, so that a lost report is made again.
        self._reported_s = self.app.now_s()
        reply = await self.leader.call(report, REPORT_S)
        self._told = _news(state)
        self._tell_experts = reply.wants_experts
        if reply.term < self._fence:
            # From a leader that does not know of its successor.
            return
        self._fence = reply.term
        self._report_s = reply.report_interval_s or self._usual_s
        self._watched = reply.report_each_step
        self._tell_counts = reply.wants_counts
        if reply.order is not None:
            await self._follow(reply.term, reply.order, reply.packed)

    def take_push(self, message: typing.Any) -> None:
        """Take what the leader sends unasked: an order."""
        if isinstance(message, messages.RankPush):
            self.app.start_task(self._take_order, message)

    async def _take_order(self, pushed: messages.RankPush) -> None:
        try:
            await self._follow(pushed.term, pushed.order, pushed.packed)
        except errors.BadMessage as problem:
            # The leader learns by a report what it may build on.
            logger.warning('order not taken', reason=str(problem))
            self._told = None
            self._wake.set()

    async def _follow(
        self, term: int, order: ranks.RankOrder, packed: mapdeltas.PackedMap
    ) -> None:
        """Carry out an order, and look at the engine soon.

        :raises BadMessage: it comes with a map that can't be read.
        """
        if term < self._fence:
            return
        self._fence = term
        now_s = self.app.now_s()
        last, given_s = self._order
        if order == last and now_s - given_s < AGAIN_S:
            return
        if order.kind == ranks.PREPARE:
            order = order._replace(placed=self._unpack(order, packed))
        self._order = (order._replace(placed=[]), now_s)
        told = await follow(self.engine, order)
        logger.info('order', **told)
        if told['outcome'] != TAKEN:
            # Whether it is still wanted is for the leader to say.
            self._order = (ranks.NO_ORDER, float('-inf'))
            self._told = None
        self._wake.set()

    def _unpack(
        self, order: ranks.RankOrder, packed: mapdeltas.PackedMap
    ) -> ranks.Placement:
        """Return the map that came with an order, and keep it.

        :raises BadMessage: it can't be read, or differs from another map
            than those known here.
        """
        if order.version in self._maps:
            return self._maps[order.version]
        known = self._maps.get(packed.base, [])
        if not known and packed.base != ranks.NO_VERSION:
            raise errors.BadMessage(f'a map based on {packed.base}')
        placed = mapdeltas.unpack(packed, known)
        while len(self._maps) >= KEPT_MAPS:
            del self._maps[next(iter(self._maps))]
        self._maps[order.version] = placed
        return placed

    async def _follow_epoch(self, state: ranks.RankState) -> None:
        """Learn anew what holds within one life, and one epoch, only."""
        life = (state.epoch, state.born_ms)
        if life != (self._epoch, self._born_ms) or not self._instance_id:
            self._instance_id = await self.engine.instance_id()
            self._epoch, self._born_ms = life
            self._counts = []
            self._map_version = ranks.NO_VERSION
            self._order = (ranks.NO_ORDER, float('-inf'))
        if state.map_version != self._map_version:
            self._experts = await self.engine.experts()
            self._tell_experts = True
            self._map_version = state.map_version

    async def _fresh_counts(
        self, state: ranks.RankState
    ) -> demand.PackedCounts:
        """Return the choices since they were last told, in due time."""
        now_s = self.app.now_s()
        is_due = now_s - self._counted_s >= COUNTS_PART * self._report_s
        is_asked = self._tell_counts and state.group and state.is_open
        if not is_asked or not is_due:
            return demand.NO_COUNTS
        counts = await self.engine.counts()
        before = self._counts
        self._counts = counts
        self._counted_s = now_s
        if len(before) != len(counts):
            return demand.NO_COUNTS
        fresh = [now - then for now, then in zip(counts, before)]
        if min(fresh, default=0) < 0:
            # The engine counts anew: it has started again.
            return demand.NO_COUNTS
        return demand.pack(fresh)

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
