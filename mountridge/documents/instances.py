# SPDX-License-Identifier: Apache-2.0

"""Registrations of runners and the validation of heartbeats.

A registration is one incarnation of a runner, identified by its id and its
start time. A later start under the same id is another incarnation, without
any state of the previous one. The `state` package decides which of two
reports is newer.
"""

import socket
import typing

import msgspec

from mountridge import errors

__all__ = [
    'DRAINING', 'Instance', 'LEFT', 'READY', 'check', 'check_id',
    'check_start', 'decode', 'id_error', 'parse_id',
]  # fmt: skip

#: States of a registration. LEFT means that it ended: the runner left, timed
#: out, or another runner registered at its address.
READY, DRAINING, LEFT = 'ready', 'draining', 'left'

#: Well above a usual heartbeat of about 400 bytes, to leave room for lists of
#: models.
MAX_BODY_BYTES = 64 << 10
#: Characters. The id is sent in a header of each request; names are not.
MAX_ID_LENGTH, MAX_NAME_LENGTH = 128, 256
#: The largest integer that all JSON implementations represent exactly.
MAX_INTEGER = (1 << 53) - 1
#: Requests that a runner may claim to process concurrently.
MAX_SLOTS = 1 << 20
#: One hour; a higher value is most likely given in another unit.
MAX_COLD_MS = 3_600_000.0
#: Characters of a malformed value quoted in log lines and responses.
MAX_QUOTED = 80


class Instance(typing.NamedTuple):
    """One incarnation of a runner, as registered."""

    instance_id: str
    service: str
    address: str  # IP:PORT
    hall: str
    software: str  # version of the runner's program
    slots: int  # requests that it processes concurrently
    state: str
    #: Unix time of its start; 0 if not reported. A later start under the
    #: same id is another incarnation.
    born_ms: int = 0
    #: Started so recently that it sustains only a low request rate.
    is_cold: bool = False
    #: `seq` of the heartbeat that last changed this; 0 if none is known.
    seq: int = 0
    #: Incarnations registered under this id, including this one.
    lives: int = 0
    #: Unix time, by the leader's clock, of its registration or its end.
    since_ms: int = 0
    #: It ended by a timeout or by another runner at its address rather than
    #: by leaving, so a newer heartbeat of it is accepted.
    may_return: bool = False


def decode(
    decoder: msgspec.json.Decoder, body: bytes, what: str = 'heartbeat'
) -> typing.Any:
    """Return a body decoded by ``decoder``; errors name it as ``what``.

    :raises BadHeartbeat: it is too long, not UTF-8 or JSON, or has fields of
        other types.
    """
    if len(body) > MAX_BODY_BYTES:
        raise errors.BadHeartbeat(f'{what} of {len(body)} bytes', 'size')
    try:
        # The decoder skips unknown fields without checking their encoding.
        body.decode()
        return decoder.decode(body)
    except msgspec.ValidationError as problem:
        raise errors.BadHeartbeat(str(problem)[:MAX_QUOTED], 'fields')
    except (UnicodeDecodeError, msgspec.DecodeError) as problem:
        raise errors.BadHeartbeat(str(problem)[:MAX_QUOTED], 'unreadable')
    except RecursionError:
        raise errors.BadHeartbeat(f'{what} is nested too deeply', 'unreadable')


def parse_id(raw: bytes) -> str:
    """Return the id of a runner from a segment of a path.

    :raises BadHeartbeat: it is not valid.
    """
    text = raw.decode('latin-1')
    check_id(text)
    return text


def check_id(text: str) -> None:
    """Validate the id of a runner.

    :raises BadHeartbeat: it is not valid.
    """
    problem = id_error(text)
    if problem:
        raise errors.BadHeartbeat(problem, 'id')


def id_error(text: str) -> str:
    """Return why a text is not a valid id of a runner; '' if it is valid."""
    if not 0 < len(text) <= MAX_ID_LENGTH:
        return f'id length {len(text)} is out of range'
    if not all('!' <= each <= '~' and each != '/' for each in text):
        return f'id with characters that are not allowed: {_quoted(text)}'
    return ''


def check(instance: Instance, seq: int, cold_ms: float) -> Instance:
    """Return a registration with ``seq`` and ``is_cold`` of its heartbeat.

    :raises BadHeartbeat: a field has an invalid value.
    """
    check_id(instance.instance_id)
    if instance.state not in (READY, DRAINING):
        raise errors.BadHeartbeat(f'state {_quoted(instance.state)}', 'state')
    names = (instance.service, instance.hall, instance.software)
    if not instance.service or max(map(len, names)) > MAX_NAME_LENGTH:
        raise errors.BadHeartbeat('a name is empty or too long', 'names')
    _check_address(instance.address)
    _check_number('slots', instance.slots, MAX_SLOTS)
    _check_number('seq', seq, MAX_INTEGER)
    check_start(instance.born_ms)
    _check_number('cold time', cold_ms, MAX_COLD_MS)
    return instance._replace(is_cold=cold_ms > 0, seq=seq)


def check_start(born_ms: int) -> int:
    """Return the reported start time; 0 if it was not reported.

    :raises BadHeartbeat: it is out of range.
    """
    _check_number('start', born_ms, MAX_INTEGER)
    return born_ms


def _check_number(name: str, value: float, limit: float) -> None:
    if not 0 <= value <= limit:
        raise errors.BadHeartbeat(f'{name} {_quoted(value)}', 'range')


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(':')
    if not (_is_ip(host) and _is_port(port)):
        raise errors.BadHeartbeat(f'address {_quoted(address)}', 'address')


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdigit() and len(text) <= 5
    return is_number and 0 < int(text) < 1 << 16


def _is_ip(text: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def _quoted(value: typing.Any) -> str:
    return ascii(value)[:MAX_QUOTED]
