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


def _draw(caller: loads.Caller) -> dict:
    """Return the kind of the next request."""
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
        ]
    )


async def keep(caller: loads.Caller, front: str, every_s: float) -> None:
    """Send requests to one entry until cancelled."""
    changes = caller.checker.changes
    while True:
        await trio.sleep(every_s * (0.5 + caller.rng.random()))
        kind, sent_s = _draw(caller), trio.current_time()
        settled = changes.settled_version(sent_s)
        answer = await caller.ask(kind, front)
        entry = caller.system.names[caller.system.fronts.index(front)]
        seen = changerules.Seen(entry, 0, kind['name'], '', sent_s)
        took_s = trio.current_time() - sent_s
        if kind is PATIENT:
            changes.record_wait(seen, documents.PATIENCE_MS / 1000, took_s)
        elif kind['name'] in ('read', f'at-{settled}'):
            is_served = answer.is_whole and answer.status == 200
            changes.record_outcome(seen, kind['name'] != 'read', is_served)
