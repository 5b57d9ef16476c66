# SPDX-License-Identifier: Apache-2.0

"""The sidecar: a small process beside each runner.

It reads its engine's load and expert counts, which is cheap and current only
on the same box, reports them to the leading controller, and carries out the
orders that the leader returns. It has no persistent state.
"""

import typing

import trio

from mountridge import application, errors, messages, settingswatch
from mountridge.experts import demand, mapdeltas, ranks
from mountridge.logs import logger
from mountridge.net import httpserver
from mountridge.state import members

__all__ = [
    'Engine', 'Sidecar', 'build', 'execute_order', 'read_experts', 'run',
]  # fmt: skip

#: Interval of the engine checks while it carries out an order. Only changes
#: are reported, so the leader has no extra load.
FAST_CHECK_INTERVAL_S = 0.025
#: How long after an order the engine is checked at that interval.
FAST_CHECK_FOR_S = 1.0
#: Interval of the engine checks while the rank is armed. While it is armed or
#: carries out an order, reports are at most the interval of the settings
#: apart: a newly elected leader learns of a held step only from them, and
#: replaces a sidecar that is unresponsive for 0.4 s.
ARMED_CHECK_INTERVAL_S = 0.05
#: Counts, which are most of a report's bytes, are sent at most once per
#: report interval. The fraction allows for early timers.
COUNTS_FRACTION = 0.8
#: An order that is received again within this time, pushed and in the reply
#: to a report, is carried out once.
DUPLICATE_S = 0.05
#: An order to prepare a map that the engine has refused is sent to it again
#: after this time: a map beyond its limits is refused each time, and one that
#: came while it was armed is not urgent.
REFUSED_RETRY_S = 1.0
#: Timeout of a report, after which the leader is determined again.
REPORT_TIMEOUT_S = 0.8
#: Number of newest maps kept as the base of the next one: the leader may not
#: know yet that the newest was received.
KEPT_MAPS = 2
#: Outcomes, in the log, of an order that the engine has accepted, and the
#: start of that of one that it has refused.
ACCEPTED, REFUSED = 'taken', 'refused'


class Engine(typing.Protocol):
    """Client of an engine, implemented by an adapter."""

    async def state(self) -> ranks.RankState:
        """Return the engine's current state."""

    async def counts(self) -> list[int]:
        """Return how often each expert was selected since the epoch began."""

    async def experts(self) -> list[list[int]]:
        """Return the experts that the engine holds, by set of layers."""

    async def instance_id(self) -> str:
        """Return the id under which the engine's runner is registered."""

    async def execute(self, order: ranks.RankOrder) -> None:
        """Carry out an order.

        :raises RefusedChange: it does not fit the engine's state.
        :raises OutcomeUnknown: it may be carried out, now or later.
        """


async def execute_order(engine: Engine, order: ranks.RankOrder) -> dict:
    """Send an order to an engine; return the fields for the log."""
    try:
        await engine.execute(order)
        outcome = ACCEPTED
    except errors.RefusedChange as problem:
        outcome = f'{REFUSED}: {problem}'
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


async def read_experts(
    engine: Engine, state: ranks.RankState
) -> list[list[int]]:
    """Return the experts that an engine holds by the map in ``state``.

    The experts are read by a call of their own, so the engine may have used
    another map or have restarted by then.

    :raises BadAnswer: it has.
    """
    experts = await engine.experts()
    if _map_of(await engine.state()) != _map_of(state):
        raise errors.BadAnswer('the map has changed while it was read')
    return experts


def _map_of(state: ranks.RankState) -> tuple[int, int, int]:
    return state.epoch, state.born_ms, state.map_version


def _is_refused_map(order: ranks.RankOrder, outcome: str) -> bool:
    return order.kind == ranks.PREPARE and outcome.startswith(REFUSED)


class _UrgentState(typing.NamedTuple):
    """Parts of an engine's state of which each change is reported at once."""

    epoch: int
    is_open: bool
    map_version: int
    prepared: int
    armed: int
    armed_step: int
    held_step: int
    slowdown: int  # step time as a whole multiple of the usual one


def _urgent_state(state: ranks.RankState) -> _UrgentState:
    return _UrgentState(
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
    """Reports one engine's state and carries out the leader's orders."""

    def __init__(self, app: application.Application, engine: Engine):
        self.app = app
        self.engine = engine
        self.leader = members.LeaderClient(app, self.on_push)
        self._default_interval_s = app.settings['sidecar']['report_s']
        self._interval_s = self._default_interval_s
        self._instance_id = ''
        self._epoch = ranks.NO_VERSION
        #: Start time of the engine: a restart resets its counts and orders.
        self._born_ms = 0
        self._counts: list[int] = []
        self._counted_s = float('-inf')
        self._map_version = ranks.NO_VERSION
        self._experts: list[list[int]] = []
        #: Whether the leader may not know the rank's experts.
        self._send_experts = True
        self._send_counts = True
        self._fence = 0
        #: Whether to report after each forward pass.
        self._report_each_step = False
        self._reported: _UrgentState | None = None
        self._reported_s = float('-inf')
        #: The order carried out last, and when.
        self._order = (ranks.NO_ORDER, float('-inf'))
        #: The order to prepare a map that was refused last, and when.
        self._refused = (ranks.NO_ORDER, float('-inf'))
        #: Maps by version, in the order in which they were received.
        self._maps: dict[int, ranks.Placement] = {}
        self._wake = trio.Event()

    async def run(self) -> None:
        """Check the engine and report its state until the process stops."""
        while True:
            began_s = self.app.now_s()
            pause_s = self._default_interval_s
            try:
                pause_s = await self._check()
            except errors.MountridgeError as problem:
                self.app.metrics.incr(f'report.failed.{problem.code}')
                logger.debug('report failed', reason=str(problem))
            took_s = self.app.now_s() - began_s
            with trio.move_on_after(
                max(FAST_CHECK_INTERVAL_S / 2, pause_s - took_s)
            ):
                await self._wake.wait()
            self._wake = trio.Event()

    async def _check(self) -> float:
        """Report the engine's state if due; return when to check again."""
        state = await self.engine.state()
        await self._update_epoch(state)
        if self._is_due(state, self.app.now_s()):
            await self._report(state)
        return self._pause_s(state, self.app.now_s())

    def _is_due(self, state: ranks.RankState, now_s: float) -> bool:
        if self._report_each_step or _urgent_state(state) != self._reported:
            return True
        longest_s = self._interval_s
        if state.armed != ranks.NO_VERSION or self._is_pending(state, now_s):
            longest_s = min(longest_s, self._default_interval_s)
        # Slightly early rather than one check late: timers never fire early.
        return (
            now_s - self._reported_s >= longest_s - FAST_CHECK_INTERVAL_S / 2
        )

    def _pause_s(self, state: ranks.RankState, now_s: float) -> float:
        """Return the time until the next check."""
        if self._report_each_step:
            return FAST_CHECK_INTERVAL_S
        if state.armed != ranks.NO_VERSION:
            return ARMED_CHECK_INTERVAL_S
        if self._is_pending(state, now_s):
            return FAST_CHECK_INTERVAL_S
        return max(0.0, self._reported_s + self._interval_s - now_s)

    def _is_pending(self, state: ranks.RankState, now_s: float) -> bool:
        """Return whether a recent order is not carried out yet."""
        _, sent_s = self._order
        return now_s - sent_s < FAST_CHECK_FOR_S and not self._is_done(state)

    def _is_done(self, state: ranks.RankState) -> bool:
        """Return whether the engine has carried out the last order."""
        order, _ = self._order
        if state.epoch != order.epoch or state.map_version == order.version:
            return True
        if order.kind == ranks.PREPARE:
            return state.prepared == order.version
        if order.kind == ranks.HOLD:
            return state.held_step == order.step
        return order.kind == ranks.ARM and state.armed == order.version

    async def _report(self, state: ranks.RankState) -> None:
        new_counts = await self._new_counts(state)
        experts = self._experts if self._send_experts else []
        newest_map = next(reversed(self._maps), ranks.NO_VERSION)
        report = messages.RankReport(
            self._instance_id, state, experts, new_counts, newest_map
        )
        # Before the call, so that a lost report is repeated in time.
        self._reported_s = self.app.now_s()
        reply = await self.leader.call(report, REPORT_TIMEOUT_S)
        self._reported = _urgent_state(state)
        self._send_experts = reply.wants_experts
        if reply.term < self._fence:
            # From a leader that has been superseded.
            return
        self._fence = reply.term
        self._interval_s = reply.report_interval_s or self._default_interval_s
        self._report_each_step = reply.report_each_step
        self._send_counts = reply.wants_counts
        if reply.order is not None:
            await self._execute(reply.term, reply.order, reply.packed)

    def on_push(self, message: typing.Any) -> None:
        """Handle an order that the leader sends without a report."""
        if isinstance(message, messages.RankPush):
            self.app.start_task(self._on_order, message)

    async def _on_order(self, pushed: messages.RankPush) -> None:
        try:
            await self._execute(pushed.term, pushed.order, pushed.packed)
        except errors.BadMessage as problem:
            # The next report names the newest map that this sidecar has.
            logger.warning('order rejected', reason=str(problem))
            self._reported = None
            self._wake.set()

    async def _execute(
        self, term: int, order: ranks.RankOrder, packed: mapdeltas.PackedMap
    ) -> None:
        """Carry out an order, and check the engine soon.

        :raises BadMessage: the order's map can't be unpacked.
        """
        if term < self._fence:
            return
        self._fence = term
        now_s = self.app.now_s()
        last, sent_s = self._order
        if order == last and now_s - sent_s < DUPLICATE_S:
            return
        refused, refused_s = self._refused
        if order == refused and now_s - refused_s < REFUSED_RETRY_S:
            return
        if order.kind == ranks.PREPARE:
            order = order._replace(placed=self._unpack(order, packed))
        self._order = (order._replace(placed=[]), now_s)
        fields = await execute_order(self.engine, order)
        logger.info('order', **fields)
        if fields['outcome'] != ACCEPTED:
            # Reports at once: the leader decides whether to repeat the order.
            if _is_refused_map(order, fields['outcome']):
                self._refused = (order._replace(placed=[]), now_s)
            self._order = (ranks.NO_ORDER, float('-inf'))
            self._reported = None
        self._wake.set()

    def _unpack(
        self, order: ranks.RankOrder, packed: mapdeltas.PackedMap
    ) -> ranks.Placement:
        """Return the map that was sent with an order, and keep it.

        :raises BadMessage: it is malformed, or its base is not known here.
        """
        if order.version in self._maps:
            return self._maps[order.version]
        base_map = self._maps.get(packed.base, [])
        if not base_map and packed.base != ranks.NO_VERSION:
            raise errors.BadMessage(f'unknown base map {packed.base}')
        placement = mapdeltas.unpack(packed, base_map)
        while len(self._maps) >= KEPT_MAPS:
            del self._maps[next(iter(self._maps))]
        self._maps[order.version] = placement
        return placement

    async def _update_epoch(self, state: ranks.RankState) -> None:
        """Reset what is valid for one epoch and incarnation only."""
        incarnation = (state.epoch, state.born_ms)
        if (
            incarnation != (self._epoch, self._born_ms)
            or not self._instance_id
        ):
            self._instance_id = await self.engine.instance_id()
            self._epoch, self._born_ms = incarnation
            self._counts = []
            self._map_version = ranks.NO_VERSION
            self._order = (ranks.NO_ORDER, float('-inf'))
        if state.map_version != self._map_version:
            self._experts = await read_experts(self.engine, state)
            self._send_experts = True
            self._map_version = state.map_version

    async def _new_counts(self, state: ranks.RankState) -> demand.PackedCounts:
        """Return the selections since the previous counts, none if not due."""
        now_s = self.app.now_s()
        is_due = now_s - self._counted_s >= COUNTS_FRACTION * self._interval_s
        is_wanted = self._send_counts and state.group and state.is_open
        if not is_wanted or not is_due:
            return demand.NO_COUNTS
        counts = await self.engine.counts()
        before = self._counts
        self._counts = counts
        self._counted_s = now_s
        if len(before) != len(counts):
            return demand.NO_COUNTS
        new = [now - then for now, then in zip(counts, before)]
        if min(new, default=0) < 0:
            # The engine has restarted, which reset its counts.
            return demand.NO_COUNTS
        return demand.pack(new)

    def dump(self) -> dict:
        """Return the state for `mountridge dump`."""
        return {
            'instance_id': self._instance_id,
            'epoch': self._epoch,
            'map_version': self._map_version,
            'counts': dict(self.app.metrics.counts),
        }


def build(app: application.Application, path: str, engine: Engine) -> Sidecar:
    """Return a sidecar with its tasks added to ``app``.

    ``path`` is the settings file, of which changed seeds are applied.
    """
    built = Sidecar(app, engine)
    app.tasks.append(built.run)
    update = built.leader.update_seeds
    app.tasks.append(settingswatch.task(app, path, update))
    app.dumpers['sidecar'] = built.dump
    return built


def run(
    settings: dict,
    path: str,
    connect: typing.Callable[[application.Application], Engine],
) -> None:
    """Run a sidecar until it is stopped; ``path`` is its settings file."""
    app = application.Application(settings)
    build(app, path, connect(app))
    app.tasks.append(httpserver.metrics_task(app))
    trio.run(app.run)
