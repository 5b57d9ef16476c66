# SPDX-License-Identifier: Apache-2.0

"""Decides when to plan a new expert map for a group, and starts its change."""

import typing


from mountridge import application, errors
from mountridge.consensus import replicas
from mountridge.experts import mapchanges, mapplans, ranks
from mountridge.groups import rankgroups
from mountridge.logs import logger
from mountridge.state import commands

__all__ = ['PAUSE_S', 'Planner', 'log_fields']

#: Minimum time between the end of a change and the next search for a plan.
PAUSE_S = 0.05
#: Minimum time between a search that started no change and the next one. A
#: search takes CPU time on the leader, 0.1 s at 192 ranks; the demand estimate
#: improves slowly, with each window of 0.2 s.
FUTILE_S = 0.25
#: Expert selections counted since the last demand shift, below which no search
#: is made: an idle group gains nothing from a new map.
MIN_SELECTIONS = 10000
#: How long ranks may take to prepare a map, beyond the time of its copies:
#: engines may carry out an order many seconds late, and those of another model
#: than the routes refuse it each time. Also the pause before the next search.
#: Both double with each change in a row that is abandoned, up to
#: `MAX_DOUBLINGS` times.
PREPARE_TIMEOUT_S = 15.0
MAX_DOUBLINGS = 2
#: Number of newest maps kept, as bases for packing later ones.
KEPT_MAPS = 3


async def _run_inline(function: typing.Callable, *args: typing.Any):
    return function(*args)


def log_fields(change: mapchanges.Change) -> dict[str, typing.Any]:
    """Return the log fields that identify a change."""
    return {
        'group': change.group,
        'epoch': change.epoch,
        'version': change.version,
        'step': change.step,
    }


def _prepare_timeout_s(group: rankgroups.Group) -> float:
    return PREPARE_TIMEOUT_S * 2 ** min(group.abandoned, MAX_DOUBLINGS)


class Planner:
    """Searches for better maps, and starts the changes to them."""

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
        self._engine_parameters = engine_parameters
        #: Runs the search for a plan. A process that serves requests sets one
        #: that runs it in a thread.
        self.offload: typing.Callable = _run_inline
        #: Called when a change has begun, to send its first orders at once.
        self.on_change_begun: typing.Callable[[rankgroups.Group], None] = (
            lambda group: None
        )

    def consider_change(
        self, instance_id: str, group: rankgroups.Group, now_s: float
    ) -> None:
        """Resume a change begun by another leader, or search for a new one.

        The search runs as a task of its own, so that the report that triggered
        it is answered at once: a search may take longer than a sidecar waits
        for the answer before it determines the leader again.
        """
        may_plan = now_s >= group.next_plan_s and group.demand.is_settled
        if not (may_plan or group.has_held_pass) or not group.is_complete(
            now_s
        ):
            return
        states = group.complete_states(now_s)
        if states is None:
            return
        found = mapchanges.find_change(states)
        if found is not None and group.change is None:
            group.progress = mapchanges.Progress(found, states)
            logger.info('map change resumed', **log_fields(found))
            return
        engine_parameters = self._engine_parameters(instance_id)
        if not may_plan or not group.knows_all_experts():
            return
        if (
            engine_parameters is None
            or sum(group.demand.mean) < MIN_SELECTIONS
        ):
            return
        if not mapchanges.share_one_map(states):
            self.app.metrics.incr('maps.reports_differ')
            return
        group.planning = True
        # A shift detected during the search makes its plan outdated.
        group.outdated = False
        placement = group.current_map()
        self.app.start_task(
            self._search, group, states, placement, engine_parameters
        )

    async def _search(
        self,
        group: rankgroups.Group,
        states: list[ranks.RankState],
        placement: ranks.Placement,
        engine_parameters: mapplans.EngineParameters,
    ) -> None:
        """Search for a better map, and start the change to it if found.

        ``placement`` is the map that the ranks used in these ``states``.
        """
        counts = list(group.demand.mean)
        slowdowns = [state.slowdown for state in states]
        arguments = placement, counts, slowdowns, engine_parameters
        try:
            planned = await self._plan(group, arguments)
            if planned is not None:
                copy_s = engine_parameters.max_copy_s
                await self._begin(group, states[0], planned, copy_s)
        except errors.MountridgeError as problem:
            # Either another leader plans now, or this one retries later.
            logger.info('map change not started', reason=str(problem))
        finally:
            group.planning = False
            if group.change is None and not group.outdated:
                group.next_plan_s = self.app.now_s() + FUTILE_S

    async def _plan(
        self, group: rankgroups.Group, arguments: tuple
    ) -> mapplans.MapPlan | None:
        """Return what `mapplans.plan` does; None if it fails unexpectedly.

        It changes no state, and its arguments come from engines and operators:
        each next leader would fail on them as well.

        :raises InconsistentGroup: the arguments do not fit each other.
        """
        try:
            return await self.offload(mapplans.plan, *arguments)
        except errors.MountridgeError:
            raise
        except Exception as problem:
            self.app.metrics.incr('maps.failed')
            logger.error(
                'search for a map failed unexpectedly',
                exc_info=problem,
                epoch=group.epoch,
                ranks=group.size,
            )
            return None

    async def _begin(
        self,
        group: rankgroups.Group,
        state: ranks.RankState,
        planned: mapplans.MapPlan,
        copy_s: float,
    ) -> None:
        """Start the change to a planned map, under a new unique version.

        Its experts are copied within ``copy_s``.
        """
        command = commands.NextVersion(self.app.wall_s())
        version = await self.replica.propose(commands.encode(command))
        change = group.change
        has_step = change is not None and change.step != ranks.NO_VERSION
        if group.epoch != state.epoch or has_step or group.has_held_pass:
            return
        states = [report.state for report, _ in group.reports.values()]
        if not mapchanges.share_one_map([state, *states]):
            self.app.metrics.incr('maps.reports_differ')
            return
        while len(group.maps) >= KEPT_MAPS:
            del group.maps[next(iter(group.maps))]
        group.maps[version] = planned.placement
        group.progress = mapchanges.Progress(
            mapchanges.Change(
                state.group, state.epoch, version, planned.placement
            ),
            states,
        )
        timeout_s = _prepare_timeout_s(group) + copy_s
        group.prepare_until_s = self.app.now_s() + timeout_s
        group.answer_shift()
        gauge, name = self.app.metrics.gauge, f'maps.{state.group}'
        gauge(f'{name}.slowest_before', round(planned.slowest_before, 2))
        gauge(f'{name}.slowest_after', round(planned.slowest_after, 2))
        logger.info(
            'map planned',
            **log_fields(group.change),
            reason=planned.reason,
            shift_age_ms=group.shift_age_ms(self.app.now_s()),
        )
        self.on_change_begun(group)

    def abandon_overdue(self, group: rankgroups.Group, now_s: float) -> bool:
        """Abandon a change that some rank does not prepare in time.

        Until a pass is chosen for a change, nothing has to be undone: ranks
        that have prepared its map use it only by a later order.
        """
        progress = group.progress
        if now_s < group.prepare_until_s:
            return False
        if progress.phase != mapchanges.Phase.PREPARING:
            return False
        group.progress = None
        pause_s = _prepare_timeout_s(group)
        group.next_plan_s = now_s + pause_s
        group.abandoned += 1
        self.app.metrics.incr('maps.abandoned')
        logger.warning(
            'map change abandoned',
            **log_fields(progress.change),
            not_prepared=progress.waiting_for(),
            next_plan_ms=round(pause_s * 1000),
        )
        return True
