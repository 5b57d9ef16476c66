# SPDX-License-Identifier: Apache-2.0

"""Routes documents of a run, valid and invalid, and what they allow."""

import json
import typing

from standins import engine
from tools.soak import changerules, checks

__all__ = ['KEPT_EACH', 'Routes', 'added_route', 'invalid', 'key', 'make']

#: Timeout of the route whose runners answer too late.
PATIENCE_MS = 700.0
#: Each such version adds a route that all later ones keep.
KEPT_EACH = 5
#: Number of newest versions whose keys are valid.
KEPT_KEYS = 2


class Routes(typing.NamedTuple):
    """A routes document and its meaning."""

    source: bytes
    meaning: changerules.Document


def added_route(version: int) -> str:
    """Return the newest route that a version has, and all later ones keep."""
    return f'added-{version // KEPT_EACH}'


def key(version: int) -> str:
    """Return the key that comes with a version."""
    return f'key-of-{version}'


def _route(
    name: str,
    kind: str = 'safe',
    service: str = 'plain',
    ms: float = 2500.0,
    resumable: bool = True,
    public: bool = True,
) -> list:
    is_resumable = kind == 'streaming' and resumable
    place = ['soak.example', f'/{name}/', kind, ms, 500.0, 1]
    return [name, *place, [[service, 1.0]], 2, public, is_resumable, 0.0]


def _moving(version: int, variant: str) -> list[list]:
    """Return routes that change with each version, or by a variant."""
    is_other = bool(version % 2) != bool(variant)
    added = [
        _route(added_route(n))
        for n in range(KEPT_EACH, version + 1, KEPT_EACH)
    ]
    return added + [
        _route('moved', service='other' if is_other else 'plain'),
        _route('keyed', public=False),
        _route('patience', service='slow', ms=PATIENCE_MS),
    ]


def _rows(sizes: dict, version: int, variant: str) -> list[list]:
    listed = [
        _route(
            kind['name'],
            kind['kind'],
            kind['service'],
            kind['deadline_ms'],
            kind.get('resumable', True),
        )
        for kind in sizes['kinds']
    ]
    oldest = max(1, version - checks.PROBED_VERSIONS + 1)
    listed += [_route(f'at-{n}') for n in range(oldest, version + 1)]
    if variant:
        listed.append(_route(variant))
    return listed + (_moving(version, variant) if sizes['others'] else [])


def _services(sizes: dict) -> list[list]:
    sheet = engine.EngineParameters()
    llm = [sheet.slots, sheet.memory_tokens, sheet.experts]
    llm += [sheet.places, sheet.spare]
    cold = [sizes['cold_s'], sizes['cold_per_s']]
    cold = cold if sizes['cold_per_s'] else [0.0, 0.0]
    listed = [['llm', '/h', 64, llm], ['plain', '/h', 64, None, *cold]]
    more = ['other'] * bool(sizes['others']) + ['slow'] * bool(sizes['slows'])
    return listed + [[name, '/h', 64, None] for name in more]


def _document(sizes: dict, version: int, variant: str) -> list:
    oldest = max(1, version - KEPT_KEYS + 1)
    keys = [key(n) for n in range(oldest, version + 1)]
    teams = [['team', keys, None]] if sizes['others'] else None
    limits = [16384, 1 << 20, 3000.0, 15000.0]
    rows = _rows(sizes, version, variant)
    return [version, rows, _services(sizes), limits, teams]


def _meaning(document: list) -> changerules.Document:
    version, rows, _, _, teams = document
    services = {row[0]: tuple(s[0] for s in row[7]) for row in rows}
    public = frozenset(row[0] for row in rows if row[9] or teams is None)
    keys = frozenset(each for team in teams or [] for each in team[1])
    return changerules.Document(version, services, public, keys)


def make(sizes: dict, version: int, variant: str = '') -> Routes:
    """Return a routes document, with a route for each newest version."""
    document = _document(sizes, version, variant)
    return Routes(json.dumps(document).encode(), _meaning(document))


def invalid(sizes: dict, version: int, pick: int) -> Routes:
    """Return an invalid document; ``pick`` selects what is wrong with it."""
    document = _document(sizes, version, 'invalid')
    meaning = _meaning(document)
    rows, teams = document[1], document[4]
    kind = pick % 6
    if kind == 0:
        rows.append(['again', *rows[0][1:]])
    elif kind == 1:
        rows[0][7] = [['plain', 0.0]]
    elif kind == 2:
        rows[0][4] = 0
    elif kind == 3:
        rows[0][7] = [['nowhere', 1.0]]
    elif kind == 4 and teams:
        teams.append(['twin', teams[0][1], None])
    source = json.dumps(document).encode()
    is_cut = kind == 5 or (kind == 4 and not teams)
    return Routes(source[: len(source) // 2] if is_cut else source, meaning)
