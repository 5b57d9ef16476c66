# SPDX-License-Identifier: Apache-2.0

"""Registrations of runners, and what a heartbeat must look like.

A registration is one life of a runner: its id and its start. A later start
under the same id is another life, which knows nothing of the one before
(`state/lives.py` says which of two words is newer).
"""

import socket
import typing

import msgspec

from mountridge import errors

__all__ = [
    'DRAINING', 'Instance', 'LEFT', 'READY', 'check', 'check_id',
    'check_start', 'decode', 'parse_id', 'id_error',
]  # fmt: skip

#: States of a registration. LEFT is one that is over, by its own word, by
#: silence, or since another runner has its address.
READY, DRAINING, LEFT = 'ready', 'draining', 'left'

#: A heartbeat takes about 400 bytes; lists of models may make it longer.
MOST_BYTES = 64 << 10
#: Characters of an id, which goes into a header of each request, and of
#: names, which only stand in tables.
MOST_ID, MOST_NAME = 128, 256
#: The largest whole number that every writer of JSON keeps exact.
MOST_NUMBER = (1 << 53) - 1
#: More requests at once than any runner works on.
MOST_SLOTS = 1 << 20
#: A runner that is cold for longer than an hour has given another unit.
MOST_COLD_MS = 3_600_000.0
#: Characters of a malformed text that a log line or an answer shows.
MOST_SHOWN = 80


class Instance(typing.NamedTuple):
    """One life of a runner, as it registered itself."""

    instance_id: str
    service: str
    address: str  # IP:PORT
    hall: str
    software: str  # version of the runner's program
    slots: int  # requests that it works on at once
    state: str
    #: Unix time of its start; 0 where it does not tell. A later start under
    #: the same id is another life, which knows nothing of this one.
    born_ms: int = 0
    #: Its start is so recent that it bears few requests a second.
    is_cold: bool = False
    #: Count of the heartbeat that last changed this; 0 where none is known.
    seq: int = 0
    #: Lives that were registered under this id, with this one.
    lives: int = 0
    #: Unix time, by the leader, at which this life was registered or ended.
    since_ms: int = 0
    #: Silence or another runner at its address ended it, not its own word,
    #: so that a newer word of it counts.
    may_return: bool = False


def decode(
    decoder: msgspec.json.Decoder, body: bytes, what: str = 'heartbeat'
) -> typing.Any:
    """Return what a body says, in the form that ``decoder`` takes.

    :raises BadHeartbeat: too long, no UTF-8 or JSON, or of another form.
    """
    if len(body) > MOST_BYTES:
        raise errors.BadHeartbeat(f'{len(body)} bytes of a {what}', 'size')
    try:
        # The decoder passes over fields that it does not know unread.
        body.decode()
        return decoder.decode(body)
    except msgspec.ValidationError as problem:
        raise errors.BadHeartbeat(str(problem)[:MOST_SHOWN], 'fields')
    except (UnicodeDecodeError, msgspec.DecodeError) as problem:
        raise errors.BadHeartbeat(str(problem)[:MOST_SHOWN], 'unreadable')
    except RecursionError:
        raise errors.BadHeartbeat(f'a {what} nested too deep', 'unreadable')


def parse_id(raw: bytes) -> str:
    """Return the id of a runner that stands in a path.

    :raises BadHeartbeat: it is none.
    """
    text = raw.decode('latin-1')
    check_id(text)
    return text


def check_id(text: str) -> None:
    """Refuse what can't be the id of a runner.

    :raises BadHeartbeat: with the reason.
    """
    wrong = id_error(text)
    if wrong:
        raise errors.BadHeartbeat(wrong, 'id')


def id_error(text: str) -> str:
    """Return why a text is no id of a runner; '' where it is one."""
    if not 0 < len(text) <= MOST_ID:
        return f'an id of {len(text)} characters'
    if not all('!' <= each <= '~' and each != '/' for each in text):
        return f'an id with other characters: {_shown(text)}'
    return ''


def check(instance: Instance, seq: int, cold_ms: float) -> Instance:
    """Return a registration as its heartbeat tells it, with its count.

    :raises BadHeartbeat: a field holds what no runner can mean.
    """
    check_id(instance.instance_id)
    if instance.state not in (READY, DRAINING):
        raise errors.BadHeartbeat(f'state {_shown(instance.state)}', 'state')
    names = (instance.service, instance.hall, instance.software)
    if not instance.service or max(map(len, names)) > MOST_NAME:
        raise errors.BadHeartbeat('a name is empty or too long', 'names')
    _check_address(instance.address)
    _check_number('slots', instance.slots, MOST_SLOTS)
    _check_number('count', seq, MOST_NUMBER)
    check_start(instance.born_ms)
    _check_number('cold', cold_ms, MOST_COLD_MS)
    return instance._replace(is_cold=cold_ms > 0, seq=seq)


def check_start(born_ms: int) -> int:
    """Return a start that a runner tells; 0 where it tells none.

    :raises BadHeartbeat: it can be none.
    """
    _check_number('start', born_ms, MOST_NUMBER)
    return born_ms


def _check_number(name: str, value: float, most: float) -> None:
    if not 0 <= value <= most:
        raise errors.BadHeartbeat(f'{name} {_shown(value)}', 'range')


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(':')
    if not (_is_ip(host) and _is_port(port)):
        raise errors.BadHeartbeat(f'address {_shown(address)}', 'address')


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdigit() and len(text) <= 5
    return is_number and 0 < int(text) < 1 << 16


def _is_ip(text: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def _shown(value: typing.Any) -> str:
    return ascii(value)[:MOST_SHOWN]
