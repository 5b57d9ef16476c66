# SPDX-License-Identifier: Apache-2.0

"""Routes: which service a request is for, and what rules its handling.

A routes document has a version; the highest one that was accepted holds.
It is checked whole before anyone takes it: one error refuses all of it.
"""

import random
import typing
import zlib

import msgspec

from mountridge import errors

__all__ = [
    'Engine', 'Limits', 'Route', 'RouteTable', 'SAFE',
    'STREAMING', 'Service', 'Share', 'Team', 'UNSAFE', 'check', 'compress',
    'decompress', 'decode', 'choose_service', 'index',
]  # fmt: skip

#: Kinds of route: what may be repeated, and how the answer comes.
SAFE, UNSAFE, STREAMING = 'safe', 'unsafe', 'streaming'
KINDS = (SAFE, UNSAFE, STREAMING)

#: A document past this size, unpacked, is refused; 4 MiB is what the HTTP
#: side takes as a body.
DOCUMENT_BYTES = 8 << 20
#: zlib's level: 3 costs a third of 9's time at a tenth more bytes.
COMPRESS_LEVEL = 3


class Share(typing.NamedTuple):
    """One service of a route and its weight among the others."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Requests to one host whose path begins with one prefix."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float  # longest time that a request is held
    target_ms: float  # an answer (its first event) by then is in time
    priority: int  # 0 is the most urgent
    shares: list[Share]
    most_attempts: int  # runners that one request may be sent to
    public: bool  # no key is needed
    resumable: bool  # a stream may be resumed at another runner
    gap_ms: float  # longest pause between events that is in time

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAMING and self.resumable)


class Engine(typing.NamedTuple):
    """What is known of the model engines behind a service."""

    slots: int  # requests in a batch
    memory_tokens: int
    experts: int = 0  # of one set of layers; 0: not in a group
    places: int = 0  # experts that a rank holds at most, by set
    spare: int = 0  # experts new to a rank, by set, in one change of the map
    copy_s: float = 0.0  # to copy one expert to a rank; 0: not known


class Service(typing.NamedTuple):
    """A service and what its runners bear."""

    name: str
    health_path: str
    most_connections: int  # to one runner, from all gateways together
    engine: Engine | None
    cold_s: float = 0.0  # a runner is cold for so long after its start
    cold_per_s: float = 0.0  # requests that a cold one bears; 0: any number


class Limits(typing.NamedTuple):
    """What a caller may send, and how long it may take or rest."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


class Team(typing.NamedTuple):
    """A team, its keys, and its priority, which outranks the routes'."""

    name: str
    keys: list[str]
    priority: int | None


class RouteTable(typing.NamedTuple):
    """A whole routes document."""

    version: int
    routes: list[Route]
    services: list[Service]
    limits: Limits
    teams: list[Team] | None  # None: no keys are asked for


_TABLE = msgspec.json.Decoder(RouteTable)


def decode(source: bytes) -> RouteTable:
    """Return the table in a document of the project's own form (JSON).

    :raises BadRoutes: it can't be read, or `check` refuses it.
    """
    try:
        table = _TABLE.decode(source)
    except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
        raise errors.BadRoutes(str(problem))
    except RecursionError:
        raise errors.BadRoutes('nested too deep')
    check(table)
    return table


def compress(source: bytes) -> bytes:
    """Return a document as it is kept and spread."""
    return zlib.compress(source, COMPRESS_LEVEL)


def decompress(packed: bytes) -> bytes:
    """Return the document that was kept."""
    return zlib.decompress(packed, bufsize=DOCUMENT_BYTES)


def check(table: RouteTable) -> None:
    """Refuse a table that contradicts itself.

    :raises BadRoutes: with every error found.
    """
    wrong = _wrong_routes(table) + _wrong_teams(table.teams or [])
    if table.version < 0:
        wrong.append(f'version {table.version}: expected 0 or more')
    if wrong:
        raise errors.BadRoutes('; '.join(wrong))


def _wrong_routes(table: RouteTable) -> list[str]:
    services = {service.name for service in table.services}
    places: set[tuple[str, str]] = set()
    wrong = []
    for route in table.routes:
        unknown = {s.service for s in route.shares} - services
        if unknown:
            wrong.append(f'{route.name}: unknown service {sorted(unknown)}')
        if not sum(share.weight for share in route.shares) > 0:
            wrong.append(f'{route.name}: the weights add up to nothing')
        if any(share.weight < 0 for share in route.shares):
            wrong.append(f'{route.name}: a weight below 0')
        if not route.timeout_ms > 0:
            wrong.append(f'{route.name}: no time-out')
        if route.kind not in KINDS:
            wrong.append(f'{route.name}: unknown kind {route.kind!r}')
        if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
            wrong.append(f'{route.name}: a prefix begins and ends with /')
        place = (route.host.lower(), route.prefix)
        if place in places:
            wrong.append(f'{route.name}: another route has its place')
        places.add(place)
    return wrong


def _wrong_teams(teams: list[Team]) -> list[str]:
    holders: dict[str, str] = {}
    wrong = []
    for team in teams:
        for key in team.keys:
            if holders.setdefault(key, team.name) != team.name:
                wrong.append(f'{team.name}: shares a key with another team')
    return wrong


class Index(typing.NamedTuple):
    """A table laid out for look-up."""

    table: RouteTable
    by_place: dict[tuple[str, str], Route]
    team_by_key: dict[str, Team]
    services: dict[str, Service]

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins ``path``."""
        host = host.lower()
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            found = self.by_place.get((host, path[:end]))
            if found is not None:
                return found
            end -= 1
        return None

    def team(self, key: str | None) -> Team | None:
        """Return the team that holds a key."""
        return self.team_by_key.get(key) if key is not None else None


def index(table: RouteTable) -> Index:
    """Return ``table`` laid out for look-up."""
    return Index(
        table,
        {(r.host.lower(), r.prefix): r for r in table.routes},
        {key: team for team in table.teams or [] for key in team.keys},
        {service.name: service for service in table.services},
    )


def choose_service(route: Route, rng: random.Random) -> str:
    """Return one of a route's services, by their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return rng.choices(names, weights)[0]
