# SPDX-License-Identifier: Apache-2.0

"""When a group's map is planned anew, and how a plan becomes a change."""

import typing


from mountridge import application, errors
from mountridge.consensus import replicas
from mountridge.experts import mapchanges, mapplans, ranks
from mountridge.groups import rankgroups
from mountridge.logs import logger
from mountridge.state import commands

__all__ = ['PAUSE_S', 'Planner', 'log_fields']

#: Least time between the end of a change and the next plan.
PAUSE_S = 0.05
#: And after a search that found none that pays. A search keeps the leader's
#: core for 0.02 s at 12 ranks and 0.1 s at 192; demand is known a little
#: better with each span of 0.2 s.
FUTILE_S = 0.25
#: Work seen since demand shifted, in choices of an expert, below which no
#: plan is made: an idle group gains nothing from one.
LEAST_CHOICES = 10000
#: Newest maps that are kept, since sidecars build the next one on them.
KEPT_MAPS = 3


async def _run_inline(function: typing.Callable, *args: typing.Any):
    return function(*args)


def log_fields(change: mapchanges.Change) -> dict[str, typing.Any]:
    """Return the fields of a log line on a change."""
    return {
        'group': change.group,
        'epoch': change.epoch,
        'version': change.version,
        'step': change.step,
    }


class Planner:
    """Looks for maps that pay, and begins their changes."""

    def __init__(
        self,
        app: application.Application,
        replica: replicas.Replica,
        engine_parameters: typing.Callable[[str], mapplans.Sheet | None],
    ):
        self.app = app
        self.replica = replica
        self._engine_parameters = engine_parameters
        #: Runs the search for a plan; a process that serves requests gives
        #: one that runs it in a thread.
        self.offload: typing.Callable = _run_inline
        #: Called when a change has begun, so that its orders go out at once.
        self.on_change_begun: typing.Callable[[rankgroups.Group], None] = (
            lambda group: None
        )

    def consider_change(
        self, instance_id: str, group: rankgroups.Group, now_s: float
    ) -> None:
        """Begin a change where one was left under way, or look for one.

        The search runs beside: the report that gave rise to it is answered
        at once. A search may take longer than a sidecar waits for an answer,
        0.4 s, and would then look like a leader that is gone.
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
            logger.info('map change found', **log_fields(found))
            return
        engine_parameters = self._engine_parameters(instance_id)
        if not may_plan or not group.knows_all_experts():
            return
        if engine_parameters is None or sum(group.demand.mean) < LEAST_CHOICES:
            return
        group.planning = True
        # A shift that is told during the search makes its plan outdated.
        group.outdated = False
        self.app.start_task(self._search, group, states, engine_parameters)

    async def _search(
        self,
        group: rankgroups.Group,
        states: list[ranks.RankState],
        engine_parameters: mapplans.Sheet,
    ) -> None:
        """Look for a map that pays, and begin its change."""
        paces = [state.pace for state in states]
        try:
            planned = await self.offload(
                mapplans.plan,
                group.current_map(),
                list(group.demand.mean),
                paces,
                engine_parameters,
            )
            if planned is not None:
                await self._begin(group, states[0], planned)
        except errors.MountridgeError as problem:
            # Another leader plans from now on, or this one plans again.
            logger.info('no change begun', reason=str(problem))
        finally:
            group.planning = False
            if group.change is None and not group.outdated:
                group.next_plan_s = self.app.now_s() + FUTILE_S

    async def _begin(
        self,
        group: rankgroups.Group,
        state: ranks.RankState,
        planned: mapplans.Planned,
    ) -> None:
        """Give a plan its version, which no other plan ever has."""
        command = commands.NextVersion(self.app.wall_s())
        version = await self.replica.propose(commands.encode(command))
        change = group.change
        has_step = change is not None and change.step != ranks.NO_VERSION
        if group.epoch != state.epoch or has_step or group.has_held_pass:
            return
        while len(group.maps) >= KEPT_MAPS:
            del group.maps[next(iter(group.maps))]
        group.maps[version] = planned.placed
        states = [report.state for report, _ in group.reports.values()]
        group.progress = mapchanges.Progress(
            mapchanges.Change(
                state.group, state.epoch, version, planned.placed
            ),
            states,
        )
        logger.info(
            'map planned', **log_fields(group.change), reason=planned.reason
        )
        self.on_change_begun(group)
