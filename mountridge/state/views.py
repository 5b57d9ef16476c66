# SPDX-License-Identifier: Apache-2.0

"""The shared view: what controllers spread to gateways and agents.

Entries are keyed ``row/...``, ``member/...``, ``map/...``, ``routes``,
``instance/...``, ``hall/...`` and ``quarantine/...``; each carries the index
of the log entry that last changed it, so that a holder at any index can be
brought up to date by the entries past it.
"""

import typing

import msgspec

from mountridge.documents import halls, instances, quarantines, tables
from mountridge import messages

__all__ = [
    'HALL_PREFIX',
    'QUARANTINE_PREFIX',
    'INSTANCE_PREFIX',
    'Member',
    'ROUTES_KEY',
    'View',
    'pack',
    'routes_in',
    'unpack_hall',
    'unpack_quarantined',
    'unpack_instance',
    'unpack_member',
    'unpack_row',
]

#: Removed keys that are remembered; a holder older than that gets all.
MAX_REMOVED = 10000
#: Where a view holds the routes document, the runners by id, and the halls
#: that were ever taken out of service by name.
ROUTES_KEY = 'routes'
INSTANCE_PREFIX = 'instance/'
HALL_PREFIX = 'hall/'
#: Where it holds the requests that are held back, by digest in hexadecimal.
QUARANTINE_PREFIX = 'quarantine/'


class Member(typing.NamedTuple):
    """A gateway or agent as the controllers know it."""

    name: str
    kind: str
    incarnation: str
    hall: str
    address: str
    http: str
    services: list[str]
    expert_group: str
    slots: int
    state: str  # live, leaving or gone


_ROW = msgspec.msgpack.Decoder(tables.Row)
_MEMBER = msgspec.msgpack.Decoder(Member)
_INSTANCE = msgspec.msgpack.Decoder(instances.Instance)
_HELD = msgspec.msgpack.Decoder(quarantines.Held)
_HALL = msgspec.msgpack.Decoder(halls.HallState)
_ROUTES = msgspec.msgpack.Decoder(messages.RoutesReply)


def pack(value: typing.Any) -> bytes:
    """Return the bytes that stand for a row or member in the view."""
    return msgspec.msgpack.encode(value)


def unpack_row(data: bytes) -> tables.Row:
    """Return the row that ``data`` stands for."""
    return _ROW.decode(data)


def unpack_member(data: bytes) -> Member:
    """Return the member that ``data`` stands for."""
    return _MEMBER.decode(data)


def unpack_instance(data: bytes) -> instances.Instance:
    """Return the registration that ``data`` stands for."""
    return _INSTANCE.decode(data)


def unpack_hall(data: bytes) -> halls.HallState:
    """Return the state of a hall that ``data`` stands for."""
    return _HALL.decode(data)


def unpack_quarantined(data: bytes) -> quarantines.Held:
    """Return the request held back that ``data`` stands for."""
    return _HELD.decode(data)


def routes_in(view: 'View') -> messages.RoutesReply:
    """Return the routes document in ``view``; version 0 for none."""
    found = view.entries.get(ROUTES_KEY)
    if found is None or found.value is None:
        return messages.RoutesReply(0, b'')
    return _ROUTES.decode(found.value)


class View:
    """Entries by key, and the index up to which they are whole."""

    def __init__(self) -> None:
        self.index = 0
        #: Counts changes of entries; what is derived from them is made anew
        #: when it differs. The index moves on with every log entry.
        self.revision = 0
        #: A holder below this index can't be told what was removed.
        self.horizon = 0
        self.entries: dict[str, messages.Change] = {}
        self.removed: dict[str, messages.Change] = {}

    def set(self, index: int, key: str, value: bytes | None) -> None:
        """Set one entry, or remove it where ``value`` is None."""
        change = messages.Change(index, key, value)
        self.revision += 1
        self.entries.pop(key, None)
        self.removed.pop(key, None)
        if value is None:
            self.removed[key] = change
            self._forget()
        else:
            self.entries[key] = change

    def _forget(self) -> None:
        while len(self.removed) > MAX_REMOVED:
            oldest = next(iter(self.removed))
            self.horizon = self.removed.pop(oldest).index

    def changes_since(self, index: int) -> tuple[bool, list[messages.Change]]:
        """Return (is it a snapshot, changes) for a holder at ``index``.

        Entries stand in the order of their change, so that the walk from
        the newest ends at the first one that the holder has.
        """
        if index < self.horizon or index > self.index:
            return True, list(self.entries.values())
        return False, _newer(self.entries, index) + _newer(self.removed, index)

    def apply(
        self, index: int, snapshot: bool, changes: list[messages.Change]
    ) -> bool:
        """Take changes up to ``index``; false where they are older."""
        if index < self.index:
            return False
        if snapshot:
            self.revision += 1
            self.entries.clear()
            self.removed.clear()
        for change in changes:
            self.set(change.index, change.key, change.value)
        self.index = index
        return True

    def by_prefix(self, prefix: str) -> dict[str, bytes]:
        """Return values by key for the keys that begin with ``prefix``."""
        return {
            key: change.value
            for key, change in self.entries.items()
            if key.startswith(prefix)
        }


def _newer(
    entries: dict[str, messages.Change], index: int
) -> list[messages.Change]:
    newer = []
    for change in reversed(entries.values()):
        if change.index <= index:
            break
        newer.append(change)
    newer.reverse()
    return newer
