# SPDX-License-Identifier: Apache-2.0

"""The controller that runs in the entry process of a box with a disk."""

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


def _begin_storage(settings: dict) -> None:
    """Give an empty data folder an identity.

    At the first start of a whole system the first of the seeds founds it,
    as the only controller; all others join.
    """
    data = settings['controller']['data']
    if (pathlib.Path(data) / 'format').exists():
        return
    node_id = f'{settings["name"]}.{utils.fresh_id()}'
    founds = (
        settings['entry']['founding']
        and members.seed_addresses(settings)[0] == settings['bind']
    )
    config = entries.Config({}, {})
    if founds:
        voters = {node_id: settings['bind']}
        config = entries.Config(voters, {}, {node_id: settings['hall']})
    storage.initialize(data, node_id, config)


def add(app: application.Application, entry: 'Entry') -> None:
    """Let a controller run in the process of an entry.

    Its storage is made first where the data folder is empty.
    """
    _begin_storage(app.settings)
    made = controller.build(app)
    made.groups.planner.offload = trio.to_thread.run_sync

    def sheet(instance_id: str) -> mapplans.EngineParameters | None:
        """Return what a runner's engine allows, by the routes in force."""
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

    made.engine_parameters = sheet

    def names_service(service: str) -> bool:
        """Return whether routes name a service, or there are none yet."""
        return entry.index is None or service in entry.index.services

    made.registry.names_service = names_service
    app.tasks.append(
        remoteranks.RemoteRanks(app, made.groups, entry.engine).run
    )
    formed = formation.Formation(app, made.replica, entry.leader)
    formation.add(app, formed)
