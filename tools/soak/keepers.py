# SPDX-License-Identifier: Apache-2.0

"""Callers that use one entry until its process is gone.

Each keeps its connection, and asks for what changes of the routes change.
"""

import typing

import trio

from tools.soak import changerules, checks, documents, loads

__all__ = ['keep']

PROBE = {'kind': 'safe', 'deadline_ms': 1000, 'prompt': 0, 'output': 0}
#: Share of the requests on the route that no runner answers in time.
PATIENCE_SHARE = 0.08
PATIENT = {**PROBE, 'name': 'patience', 'deadline_ms': 3000}
#: Routes that no valid document has.
VOID_ROUTES = ('invalid', 'altered')


def _probe(name: str, **fields: typing.Any) -> dict:
    return {**PROBE, 'name': name, 'is_probe': True, **fields}


def _draw(caller: loads.Caller, settled: int) -> dict:
    """Return the kind of the next request.

    ``settled`` is a version that is in force everywhere.
    """
    rng, newest = caller.rng, caller.checker.sent_version
    if rng.random() < PATIENCE_SHARE and caller.system.sizes['slows']:
        return PATIENT
    oldest = max(1, newest - checks.PROBED_VERSIONS)
    version = rng.randint(oldest, newest)
    return rng.choice(
        [
            _probe('moved'),
            _probe('moved'),
            _probe('keyed', key=documents.key(version)),
            _probe('keyed', key=documents.key(version)),
            _probe(f'at-{version}'),
            _probe(rng.choice(VOID_ROUTES)),
            _probe('read'),
            _probe(documents.added_route(settled)),
        ]
    )


async def keep(caller: loads.Caller, front: str, every_s: float) -> None:
    """Send requests to one entry until cancelled."""
    changes = caller.checker.changes
    while True:
        await trio.sleep(every_s * (0.5 + caller.rng.random()))
        sent_s = trio.current_time()
        settled = changes.settled_version(sent_s)
        kind = _draw(caller, max(settled, documents.KEPT_EACH))
        answer = await caller.ask(kind, front)
        entry = caller.system.names[caller.system.fronts.index(front)]
        seen = changerules.Seen(entry, 0, kind['name'], '', sent_s)
        took_s = trio.current_time() - sent_s
        if kind is PATIENT:
            changes.record_wait(seen, documents.PATIENCE_MS / 1000, took_s)
        elif kind['name'] == 'read' or (
            kind['name'] == documents.added_route(settled)
            and settled >= documents.KEPT_EACH
        ):
            is_served = answer.is_whole and answer.status == 200
            changes.record_outcome(seen, kind['name'] != 'read', is_served)
