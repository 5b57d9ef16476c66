# SPDX-License-Identifier: Apache-2.0

"""The calls that an entry process answers besides callers' requests.

Who asks are callers (where to send requests), health checks, runners
(heartbeats, leaves) and operators (routes documents, halls out of service).
Another spelling of the same calls is another `Spelling`.
"""

import typing

import msgspec

from mountridge.documents import halls, instances
from mountridge import errors, messages
from mountridge.net import httpserver

__all__ = ['Handlers', 'NATIVE', 'Spelling', 'handlers']


class Entry(typing.Protocol):
    """What the calls need of the entry process."""

    settings: dict

    def addresses(self) -> list[str]:
        """Return where callers may send requests."""

    def is_ready(self) -> bool:
        """Return whether requests can be served here."""

    async def put_routes(self, source: bytes) -> int:
        """Offer a routes document; return the version then held."""

    async def read_routes(self) -> bytes | None:
        """Return the newest routes document."""

    async def heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Take a runner's heartbeat to the leader."""

    async def leave(self, instance_id: str) -> None:
        """Take out a runner."""

    async def read_halls(self) -> list[halls.HallState]:
        """Return the halls that were ever out of service."""

    async def set_hall(self, name: str, is_out: bool) -> halls.HallState:
        """Take a hall out of service, or put it back."""


class Spelling(typing.NamedTuple):
    """Paths of the calls, and how their bodies are read and written."""

    put_routes: bytes
    get_routes: bytes
    instances: bytes  # prefix; the id and one of the next two follow
    heartbeat: bytes
    leave: bytes
    read_heartbeat: typing.Callable[[str, bytes], messages.Heartbeat]
    write_addresses: typing.Callable[[list[str], float], dict]
    halls: bytes  # lists them; prefix of a name and one of the next two
    drain_hall: bytes
    restore_hall: bytes


class HeartbeatBody(msgspec.Struct):
    """A heartbeat in the project's own form."""

    service: str
    address: str
    hall: str
    seq: int
    software: str = ''
    slots: int = 1
    state: str = instances.READY
    born_ms: int = 0
    cold_ms: float = 0.0  # how much longer it is cold


_HEARTBEAT = msgspec.json.Decoder(HeartbeatBody)


def read_heartbeat(instance_id: str, body: bytes) -> messages.Heartbeat:
    """Return the heartbeat in a body of the project's own form.

    :raises BadRequest: it can't be read.
    """
    try:
        given = _HEARTBEAT.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
        raise errors.BadRequest(str(problem))
    if given.state not in (instances.READY, instances.DRAINING):
        raise errors.BadRequest(f'unknown state {given.state!r}')
    instance = instances.Instance(
        instance_id,
        given.service,
        given.address,
        given.hall,
        given.software,
        given.slots,
        given.state,
        given.born_ms,
        given.cold_ms > 0,
    )
    return messages.Heartbeat(instance, given.seq)


def write_addresses(addresses: list[str], ttl_s: float) -> dict:
    """Return the body that tells callers where to send requests."""
    return {'addresses': addresses, 'ttl_s': ttl_s}


NATIVE = Spelling(
    b'/v1/routes/put',
    b'/v1/routes/get',
    b'/v1/instances/',
    b'/heartbeat',
    b'/leave',
    read_heartbeat,
    write_addresses,
    b'/v1/halls/',
    b'/drain',
    b'/restore',
)


class Handlers(typing.NamedTuple):
    """Handlers for the addresses of the settings but the callers'."""

    readiness: httpserver.Handler
    control: httpserver.Handler
    directory: httpserver.Handler


def handlers(entry: Entry, spelling: Spelling) -> Handlers:
    """Return the handlers of all calls that ``entry`` answers."""

    async def readiness(request, responder) -> None:
        status = 200 if entry.is_ready() else 503
        await httpserver.json_reply(responder, status, {})

    async def directory(request, responder) -> None:
        addresses = entry.addresses()
        ttl_s = entry.settings['address_ttl_s']
        body = spelling.write_addresses(addresses, ttl_s)
        status = 200 if addresses else 503
        await httpserver.json_reply(responder, status, body)

    async def control(request, responder) -> None:
        try:
            body = await _control(entry, spelling, request)
        except errors.MountridgeError as problem:
            await httpserver.refuse(responder, problem)
            return
        await httpserver.json_reply(responder, 200, body)

    return Handlers(readiness, control, directory)


async def _control(
    entry: Entry, spelling: Spelling, request: httpserver.Request
) -> dict | bytes:
    """Carry out a control call and return the body of its answer."""
    path = request.path
    if path == spelling.put_routes:
        return {'version': await entry.put_routes(request.body)}
    if path == spelling.get_routes:
        source = await entry.read_routes()
        if source is None:
            raise errors.NoRoutes()
        return source
    prefix = spelling.instances
    if path.startswith(prefix) and path.endswith(spelling.heartbeat):
        instance_id = path[len(prefix) : -len(spelling.heartbeat)]
        heartbeat = spelling.read_heartbeat(
            instance_id.decode('latin-1'), request.body
        )
        await entry.heartbeat(heartbeat)
        return {}
    if path.startswith(prefix) and path.endswith(spelling.leave):
        instance_id = path[len(prefix) : -len(spelling.leave)]
        await entry.leave(instance_id.decode('latin-1'))
        return {}
    if path.startswith(spelling.halls):
        return await _hall_call(entry, spelling, path)
    raise errors.NoRoute(path.decode('latin-1'))


async def _hall_call(entry: Entry, spelling: Spelling, path: bytes) -> dict:
    """Carry out a call on halls and return the body of its answer."""
    rest = path[len(spelling.halls) :]
    if not rest:
        listed = await entry.read_halls()
        return {'halls': [state._asdict() for state in listed]}
    for suffix, is_out in (
        (spelling.drain_hall, True),
        (spelling.restore_hall, False),
    ):
        if rest.endswith(suffix):
            name = rest[: -len(suffix)].decode('latin-1')
            state = await entry.set_hall(name, is_out)
            return state._asdict()
    raise errors.NoRoute(path.decode('latin-1'))
