# SPDX-License-Identifier: Apache-2.0

"""The HTTP API of an entry process, besides callers' requests.

Its clients are callers (addresses of gateways), health checks, runners
(heartbeats, deregistrations) and operators (routes documents, halls,
quarantine). A `WireNames` holds the paths and body formats of one variant of
the API.
"""

import contextlib
import typing

import msgspec

from mountridge.documents import halls, instances, promptparts, quarantines
from mountridge import errors, messages
from mountridge.net import httpserver

__all__ = ['Handlers', 'NATIVE', 'WireNames', 'handlers']


class Entry(typing.Protocol):
    """Operations of the entry process that the API calls."""

    settings: dict

    def addresses(self) -> list[str]:
        """Return the addresses of the gateways that callers may use."""

    def is_ready(self) -> bool:
        """Return whether this process can serve requests."""

    async def put_routes(self, source: bytes) -> int:
        """Submit a routes document; return the version stored afterwards."""

    async def read_routes(self) -> bytes | None:
        """Return the newest routes document."""

    async def heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Forward a runner's heartbeat to the leader."""

    async def leave(self, instance_id: str, born_ms: int) -> None:
        """Deregister a runner; ``born_ms`` is 0 if it was not decoded."""

    def record_malformed(
        self, raw_id: bytes, problem: errors.BadHeartbeat
    ) -> None:
        """Count and log a malformed message of a runner."""

    async def read_halls(self) -> list[halls.HallState]:
        """Return the halls that were ever out of service."""

    async def set_hall(self, name: str, is_out: bool) -> halls.HallState:
        """Take a hall out of service, or restore it."""

    async def read_quarantine(self) -> list[quarantines.QuarantinedRequest]:
        """Return the requests that are or were quarantined."""

    async def release(
        self, digest: bytes
    ) -> list[quarantines.QuarantinedRequest]:
        """Release a request; return the remaining quarantine entries."""


class WireNames(typing.NamedTuple):
    """Paths of the calls, and functions to decode and encode bodies."""

    put_routes: bytes
    get_routes: bytes
    instances: bytes  # prefix; followed by the id and one of the next two
    heartbeat: bytes
    leave: bytes
    read_heartbeat: typing.Callable[[str, bytes], messages.Heartbeat]
    read_leave: typing.Callable[[bytes], int]  # returns born_ms, or 0
    write_addresses: typing.Callable[[list[str], float], dict]
    halls: bytes  # lists halls; prefix of a name and one of the next two
    drain_hall: bytes
    restore_hall: bytes
    quarantine: bytes = b'/v1/quarantine/'  # lists entries; prefix of a digest
    release: bytes = b'/release'  # after a digest


class HeartbeatBody(msgspec.Struct):
    """Body of a heartbeat in the native format."""

    service: str
    address: str
    hall: str
    seq: int
    slots: int
    state: str
    software: str = ''
    born_ms: int = 0
    cold_ms: float = 0.0  # remaining time until it is warm


class LeaveBody(msgspec.Struct):
    """Body of a leave call in the native format."""

    born_ms: int = 0


_HEARTBEAT = msgspec.json.Decoder(HeartbeatBody)
_LEAVE = msgspec.json.Decoder(LeaveBody)


def read_heartbeat(instance_id: str, body: bytes) -> messages.Heartbeat:
    """Return the heartbeat in a body of the native format.

    :raises BadHeartbeat: the body is malformed.
    """
    decoded = instances.decode(_HEARTBEAT, body)
    instance = instances.Instance(
        instance_id,
        decoded.service,
        decoded.address,
        decoded.hall,
        decoded.software,
        decoded.slots,
        decoded.state,
        decoded.born_ms,
    )
    checked = instances.check(instance, decoded.seq, decoded.cold_ms)
    return messages.Heartbeat(checked, decoded.seq)


def read_leave(body: bytes) -> int:
    """Return the ``born_ms`` of a leave call, 0 if it has no body.

    :raises BadHeartbeat: the body is malformed.
    """
    decoded = instances.decode(_LEAVE, body) if body else LeaveBody()
    return instances.check_start(decoded.born_ms)


def write_addresses(addresses: list[str], ttl_s: float) -> dict:
    """Return the body with the addresses for callers' requests."""
    return {'addresses': addresses, 'ttl_s': ttl_s}


NATIVE = WireNames(
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
    """Handlers of the listening addresses other than the callers'."""

    readiness: httpserver.Handler
    control: httpserver.Handler
    directory: httpserver.Handler


def handlers(entry: Entry, names: WireNames) -> Handlers:
    """Return the handlers of all API calls of ``entry``."""

    async def readiness(request, responder) -> None:
        status = 200 if entry.is_ready() else 503
        await httpserver.send_json(responder, status, {})

    async def directory(request, responder) -> None:
        addresses = entry.addresses()
        ttl_s = entry.settings['address_ttl_s']
        body = names.write_addresses(addresses, ttl_s)
        status = 200 if addresses else 503
        await httpserver.send_json(responder, status, body)

    async def control(request, responder) -> None:
        try:
            body = await _control(entry, names, request)
        except errors.MountridgeError as problem:
            await httpserver.send_error(responder, problem)
            return
        await httpserver.send_json(responder, 200, body)

    return Handlers(readiness, control, directory)


async def _control(
    entry: Entry, names: WireNames, request: httpserver.Request
) -> dict | bytes:
    """Execute a control call and return the body of its answer."""
    path = request.path
    if path == names.put_routes:
        return {'version': await entry.put_routes(request.body)}
    if path == names.get_routes:
        source = await entry.read_routes()
        if source is None:
            raise errors.NoRoutes()
        return source
    prefix = names.instances
    for ending, receive in (
        (names.heartbeat, _receive_heartbeat),
        (names.leave, _receive_leave),
    ):
        if path.startswith(prefix) and path.endswith(ending):
            raw_id = path[len(prefix) : -len(ending)]
            await receive(entry, names, raw_id, request.body)
            return {}
    if path.startswith(names.halls):
        return await _hall_call(entry, names, path)
    if path.startswith(names.quarantine):
        return await _quarantine_call(entry, names, path)
    raise errors.NoRoute(path.decode('latin-1'))


async def _hall_call(entry: Entry, names: WireNames, path: bytes) -> dict:
    """Execute a call on halls and return the body of its answer."""
    remainder = path[len(names.halls) :]
    if not remainder:
        listed = await entry.read_halls()
        return {'halls': [state._asdict() for state in listed]}
    for suffix, is_out in (
        (names.drain_hall, True),
        (names.restore_hall, False),
    ):
        if remainder.endswith(suffix):
            name = remainder[: -len(suffix)].decode('latin-1')
            state = await entry.set_hall(name, is_out)
            return state._asdict()
    raise errors.NoRoute(path.decode('latin-1'))


async def _quarantine_call(
    entry: Entry, names: WireNames, path: bytes
) -> dict:
    """Execute a call on the quarantine and return the body of its answer."""
    remainder = path[len(names.quarantine) :]
    if not remainder:
        listed = await entry.read_quarantine()
    elif remainder.endswith(names.release):
        digest = remainder[: -len(names.release)].decode('latin-1')
        sizes = (quarantines.DIGEST_BYTES, promptparts.KEY_BYTES)
        listed = await entry.release(quarantines.parse_digest(digest, sizes))
    else:
        raise errors.NoRoute(path.decode('latin-1'))
    entries = [
        each._asdict()
        | {
            'digest': each.digest.hex(),
            'is_part': promptparts.is_part(each.digest),
        }
        for each in listed
    ]
    return {'quarantine': entries}


async def _receive_heartbeat(
    entry: Entry, names: WireNames, raw_id: bytes, body: bytes
) -> None:
    with _counting_malformed(entry, raw_id):
        instance_id = instances.parse_id(raw_id)
        heartbeat = names.read_heartbeat(instance_id, body)
    await entry.heartbeat(heartbeat)


async def _receive_leave(
    entry: Entry, names: WireNames, raw_id: bytes, body: bytes
) -> None:
    with _counting_malformed(entry, raw_id):
        instance_id = instances.parse_id(raw_id)
        born_ms = names.read_leave(body)
    await entry.leave(instance_id, born_ms)


@contextlib.contextmanager
def _counting_malformed(entry: Entry, raw_id: bytes) -> typing.Iterator[None]:
    """Report malformed messages to the entry, and raise the error again."""
    try:
        yield
    except errors.BadHeartbeat as problem:
        entry.record_malformed(raw_id, problem)
        raise
