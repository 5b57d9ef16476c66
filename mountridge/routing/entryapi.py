# SPDX-License-Identifier: Apache-2.0

"""The calls that an entry process answers besides callers' requests.

Who asks are callers (where to send requests), health checks, runners
(heartbeats, leaves) and operators (routes documents, halls out of service).
Another spelling of the same calls is another `Spelling`.
"""

import contextlib
import typing

import msgspec

from mountridge.documents import halls, instances, quarantines
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

    async def leave(self, instance_id: str, born_ms: int) -> None:
        """Take out a runner; ``born_ms`` is 0 where it was not told."""

    def malformed(self, raw_id: bytes, problem: errors.BadHeartbeat) -> None:
        """Count and log a word of a runner that can't be read."""

    async def read_halls(self) -> list[halls.HallState]:
        """Return the halls that were ever out of service."""

    async def set_hall(self, name: str, is_out: bool) -> halls.HallState:
        """Take a hall out of service, or put it back."""

    async def read_quarantine(self) -> list[quarantines.QuarantinedRequest]:
        """Return the requests that are or were held back."""

    async def release(
        self, digest: bytes
    ) -> list[quarantines.QuarantinedRequest]:
        """Hold a request back no more."""


class Spelling(typing.NamedTuple):
    """Paths of the calls, and how their bodies are read and written."""

    put_routes: bytes
    get_routes: bytes
    instances: bytes  # prefix; the id and one of the next two follow
    heartbeat: bytes
    leave: bytes
    read_heartbeat: typing.Callable[[str, bytes], messages.Heartbeat]
    read_leave: typing.Callable[[bytes], int]  # gives the start, or 0
    write_addresses: typing.Callable[[list[str], float], dict]
    halls: bytes  # lists them; prefix of a name and one of the next two
    drain_hall: bytes
    restore_hall: bytes
    quarantine: bytes = b'/v1/quarantine/'  # lists it; prefix of a digest
    release: bytes = b'/release'  # and behind that


class HeartbeatBody(msgspec.Struct):
    """A heartbeat in the project's own form."""

    service: str
    address: str
    hall: str
    seq: int
    slots: int
    state: str
    software: str = ''
    born_ms: int = 0
    cold_ms: float = 0.0  # how much longer it is cold


class LeaveBody(msgspec.Struct):
    """What a runner may say when it leaves."""

    born_ms: int = 0


_HEARTBEAT = msgspec.json.Decoder(HeartbeatBody)
_LEAVE = msgspec.json.Decoder(LeaveBody)


def read_heartbeat(instance_id: str, body: bytes) -> messages.Heartbeat:
    """Return the heartbeat in a body of the project's own form.

    :raises BadHeartbeat: it can't be read.
    """
    given = instances.decode(_HEARTBEAT, body)
    instance = instances.Instance(
        instance_id,
        given.service,
        given.address,
        given.hall,
        given.software,
        given.slots,
        given.state,
        given.born_ms,
    )
    checked = instances.check(instance, given.seq, given.cold_ms)
    return messages.Heartbeat(checked, given.seq)


def read_leave(body: bytes) -> int:
    """Return the start that a leave tells, 0 where it has no body.

    :raises BadHeartbeat: it can't be read.
    """
    given = instances.decode(_LEAVE, body) if body else LeaveBody()
    return instances.check_start(given.born_ms)


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
    read_leave,
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
    for ending, take in (
        (spelling.heartbeat, _take_heartbeat),
        (spelling.leave, _take_leave),
    ):
        if path.startswith(prefix) and path.endswith(ending):
            raw_id = path[len(prefix) : -len(ending)]
            await take(entry, spelling, raw_id, request.body)
            return {}
    if path.startswith(spelling.halls):
        return await _hall_call(entry, spelling, path)
    if path.startswith(spelling.quarantine):
        return await _quarantine_call(entry, spelling, path)
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


async def _quarantine_call(
    entry: Entry, spelling: Spelling, path: bytes
) -> dict:
    """Carry out a call on requests that are held back."""
    rest = path[len(spelling.quarantine) :]
    if not rest:
        listed = await entry.read_quarantine()
    elif rest.endswith(spelling.release):
        text = rest[: -len(spelling.release)].decode('latin-1')
        listed = await entry.release(quarantines.parse_digest(text))
    else:
        raise errors.NoRoute(path.decode('latin-1'))
    told = [each._asdict() | {'digest': each.digest.hex()} for each in listed]
    return {'quarantine': told}


async def _take_heartbeat(
    entry: Entry, spelling: Spelling, raw_id: bytes, body: bytes
) -> None:
    with _malformed_told(entry, raw_id):
        instance_id = instances.parse_id(raw_id)
        heartbeat = spelling.read_heartbeat(instance_id, body)
    await entry.heartbeat(heartbeat)


async def _take_leave(
    entry: Entry, spelling: Spelling, raw_id: bytes, body: bytes
) -> None:
    with _malformed_told(entry, raw_id):
        instance_id = instances.parse_id(raw_id)
        born_ms = spelling.read_leave(body)
    await entry.leave(instance_id, born_ms)


@contextlib.contextmanager
def _malformed_told(entry: Entry, raw_id: bytes) -> typing.Iterator[None]:
    """Let the entry count what can't be read."""
    try:
        yield
    except errors.BadHeartbeat as problem:
        entry.malformed(raw_id, problem)
        raise
