# SPDX-License-Identifier: Apache-2.0

"""The controller in the entry process of a box with a disk."""

import pathlib
import typing

import trio

from mountridge import application, controller, remoteranks, utils
from mountridge.consensus import entries, storage
from mountridge.control import formation
from mountridge.experts import mapplans
from mountridge.state import members

if typing.TYPE_CHECKING:
    from mountridge.entry import Entry

__all__ = ['add']


def _initialize_storage(settings: dict) -> None:
    """Create the node identity and initial configuration if there are none.

    At the first start of a deployment the first seed is the only voter; all
    other controllers join it.
    """
    data = settings['controller']['data']
    if (pathlib.Path(data) / 'format').exists():
        return
    node_id = f'{settings["name"]}.{utils.fresh_id()}'
    is_first = (
        settings['entry']['founding']
        and members.seed_addresses(settings)[0] == settings['bind']
    )
    config = entries.Config({}, {})
    if is_first:
        voters = {node_id: settings['bind']}
        config = entries.Config(voters, {}, {node_id: settings['hall']})
    storage.initialize(data, node_id, config)


def add(app: application.Application, entry: 'Entry') -> None:
    """Add a controller to the process of an entry.

    Initializes its storage first if the data folder is empty.
    """
    _initialize_storage(app.settings)
    built = controller.build(app)
    built.groups.planner.offload = trio.to_thread.run_sync

    def engine_parameters(
        instance_id: str,
    ) -> mapplans.EngineParameters | None:
        """Return the parameters of a runner's engine by the routes.

        None if the runner is not known or its engine has no experts.
        """
        backend = entry.backends.by_id.get(instance_id)
        if backend is None or entry.index is None:
            return None
        service = entry.index.services.get(backend.instance.service)
        engine = service.engine if service else None
        if engine is None or not engine.experts:
            return None
        return mapplans.EngineParameters(
            engine.places, engine.spare, engine.experts, engine.copy_s
        )

    built.engine_parameters = engine_parameters

    def is_service_allowed(service: str) -> bool:
        """Return whether the routes name a service, or there are none yet."""
        return entry.index is None or service in entry.index.services

    built.registry.service_exists = is_service_allowed
    app.tasks.append(
        remoteranks.RemoteRanks(app, built.groups, entry.engine).run
    )
    formed = formation.Formation(app, built.replica, entry.leader)
    formation.add(app, formed)
