# SPDX-License-Identifier: Apache-2.0

"""Routes: how requests map to services, and the limits that apply to them.

A routes document has a version; the highest accepted version is in force.
Documents are validated as a whole: any error rejects the document.
"""

import bisect
import random
import typing
import zlib

import msgspec

from mountridge import errors

__all__ = [
    'Engine', 'Limits', 'Route', 'RouteTable', 'SAFE',
    'STREAMING', 'Service', 'Share', 'Team', 'UNSAFE', 'check',
    'check_encoding', 'choose_service', 'compress', 'decode', 'decompress',
    'index',
]  # fmt: skip

#: Kinds of route: whether requests may be repeated, and whether responses
#: are streams of events.
SAFE, UNSAFE, STREAMING = 'safe', 'unsafe', 'streaming'
KINDS = (SAFE, UNSAFE, STREAMING)

#: Initial size of the buffer for decompressing a document; not a limit.
BUFFER_BYTES = 8 << 20
#: Level of zlib; it takes a third of the time of level 9 for a tenth more
#: bytes.
COMPRESS_LEVEL = 3


class Share(typing.NamedTuple):
    """One service of a route and its weight among the others."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """A rule for the requests to a host whose path starts with a prefix."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float  # for the whole request
    target_ms: float  # target latency of the response or its first event
    priority: int  # 0 is the highest
    shares: list[Share]
    most_attempts: int  # runners that one request may be sent to
    public: bool  # no API key is required
    resumable: bool  # a stream may be resumed on another runner
    gap_ms: float  # target for the longest pause between events

    @property
    def repeatable(self) -> bool:
        """Whether a request may be processed more than once."""
        return self.kind == SAFE or (self.kind == STREAMING and self.resumable)


class Engine(typing.NamedTuple):
    """Parameters of the model engines behind a service."""

    slots: int  # requests in a batch
    memory_tokens: int
    experts: int = 0  # per set of layers; 0: not in a group
    places: int = 0  # most experts that a rank holds, per set of layers
    #: Most experts added to a rank, per set of layers, in one change of the
    #: expert map.
    spare: int = 0
    copy_s: float = 0.0  # to copy one expert to a rank; 0: unknown
    stride: float = 0.0  # steps in a pass, which sends one event; 0: unknown
    step_ms: float = 0.0  # of a step without requests
    request_ms: float = 0.0  # added to a step by each request that writes
    context_ms: float = 0.0  # added for each 1,000 tokens of its context
    read_per_s: float = 0.0  # prompt tokens; 0: unknown
    expert_share: float = 0.0  # of the time of a step, in groups
    usual_prompt: float = 0.0  # mean tokens of a request; 0: unknown
    usual_output: float = 0.0  # mean tokens of an answer; 0: unknown


class Service(typing.NamedTuple):
    """A service and the capacity of its runners."""

    name: str
    health_path: str
    most_connections: int  # to one runner, from all gateways together
    engine: Engine | None
    cold_s: float = 0.0  # how long a runner is cold after its start
    cold_per_s: float = 0.0  # request rate of a cold runner; 0: not limited


class Limits(typing.NamedTuple):
    """Limits on requests and connections of callers."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


class Team(typing.NamedTuple):
    """A team, its API keys, and a priority that overrides the routes'."""

    name: str
    keys: list[str]
    priority: int | None


class RouteTable(typing.NamedTuple):
    """A whole routes document."""

    version: int
    routes: list[Route]
    services: list[Service]
    limits: Limits
    teams: list[Team] | None  # None: API keys are not required


_DECODER = msgspec.json.Decoder(RouteTable)


def decode(source: bytes) -> RouteTable:
    """Return the table in a document of the native JSON format.

    :raises BadRoutes: it is malformed, or `check` rejects it.
    """
    try:
        table = _DECODER.decode(source)
    except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
        raise errors.BadRoutes(str(problem))
    except RecursionError:
        raise errors.BadRoutes('nested too deeply')
    check(table)
    return table


def check_encoding(source: bytes) -> None:
    """Check that a document that is put is UTF-8.

    Decoders skip unknown fields without checking their encoding. Documents
    that are in force already are not checked.

    :raises BadRoutes: it is not.
    """
    try:
        source.decode()
    except UnicodeDecodeError as problem:
        raise errors.BadRoutes(str(problem))


def compress(source: bytes) -> bytes:
    """Return a document in the form that is stored and replicated."""
    return zlib.compress(source, COMPRESS_LEVEL)


def decompress(packed: bytes) -> bytes:
    """Return the document from its compressed form."""
    return zlib.decompress(packed, bufsize=BUFFER_BYTES)


def check(table: RouteTable) -> None:
    """Validate a table.

    :raises BadRoutes: with all errors that were found.
    """
    problems = _route_errors(table) + _team_errors(table.teams or [])
    if table.version < 0:
        problems.append(f'version {table.version}: expected 0 or more')
    if problems:
        raise errors.BadRoutes('; '.join(problems))


def _route_errors(table: RouteTable) -> list[str]:
    services = {service.name for service in table.services}
    prefixes: set[tuple[str, str]] = set()
    problems = []
    for route in table.routes:
        unknown = {s.service for s in route.shares} - services
        if unknown:
            problems.append(f'{route.name}: unknown service {sorted(unknown)}')
        if not sum(share.weight for share in route.shares) > 0:
            problems.append(
                f'{route.name}: the sum of the weights must be above 0'
            )
        if any(share.weight < 0 for share in route.shares):
            problems.append(f'{route.name}: negative weight')
        if not route.timeout_ms > 0:
            problems.append(f'{route.name}: the timeout must be above 0')
        if route.kind not in KINDS:
            problems.append(f'{route.name}: unknown kind {route.kind!r}')
        if not route.prefix.startswith('/') or not route.prefix.endswith('/'):
            problems.append(
                f'{route.name}: the prefix must start and end with /'
            )
        prefix = (route.host.lower(), route.prefix)
        if prefix in prefixes:
            problems.append(f'{route.name}: duplicate host and prefix')
        prefixes.add(prefix)
    return problems


def _team_errors(teams: list[Team]) -> list[str]:
    owners: dict[str, str] = {}
    problems = []
    for team in teams:
        for key in team.keys:
            if owners.setdefault(key, team.name) != team.name:
                problems.append(
                    f'{team.name}: API key is also held by another team'
                )
    return problems


class Index(typing.NamedTuple):
    """A routes table indexed for lookups."""

    table: RouteTable
    by_prefix: dict[tuple[str, str], Route]
    team_by_key: dict[str, Team]
    services: dict[str, Service]
    #: Priorities of teams and routes, the most urgent first, of the services
    #: whose streaming routes differ in priority.
    ranked: dict[str, list[tuple[int, int]]] = {}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        host = host.lower()
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            found = self.by_prefix.get((host, path[:end]))
            if found is not None:
                return found
            end -= 1
        return None

    def priority(self, service: str, route: Route, team: Team | None) -> int:
        """Return the priority of a request, 0 first.

        A team's own comes before its route's. Where routes to the service
        differ in priority, they also order the requests of one team.
        """
        first = route.priority
        if team is not None and team.priority is not None:
            first = team.priority
        levels = self.ranked.get(service)
        if levels is None:
            return first
        return bisect.bisect_left(levels, (first, route.priority))

    def team(self, key: str | None) -> Team | None:
        """Return the team that an API key belongs to."""
        return self.team_by_key.get(key) if key is not None else None


def index(table: RouteTable) -> Index:
    """Return the index of a table."""
    return Index(
        table,
        {(r.host.lower(), r.prefix): r for r in table.routes},
        {key: team for team in table.teams or [] for key in team.keys},
        {service.name: service for service in table.services},
        _ranked_services(table),
    )


def _ranked_services(table: RouteTable) -> dict[str, list[tuple[int, int]]]:
    streaming: dict[str, set[int]] = {}
    listed: dict[str, set[int]] = {}
    for route in table.routes:
        for share in route.shares:
            listed.setdefault(share.service, set()).add(route.priority)
            if route.kind == STREAMING:
                found = streaming.setdefault(share.service, set())
                found.add(route.priority)
    of_teams = {team.priority for team in table.teams or []} - {None}
    return {
        name: sorted(
            {(each, each) for each in listed[name]}
            | {(team, each) for team in of_teams for each in listed[name]}
        )
        for name, found in streaming.items()
        if len(found) > 1
    }


def choose_service(route: Route, rng: random.Random) -> str:
    """Return one of a route's services at random, by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    names = [share.service for share in route.shares]
    weights = [share.weight for share in route.shares]
    return rng.choices(names, weights)[0]
