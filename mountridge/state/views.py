# SPDX-License-Identifier: Apache-2.0

"""The shared view: the state that controllers send to lease holders.

Entries are keyed ``row/...``, ``member/...``, ``map/...``, ``routes``,
``instance/...``, ``hall/...`` and ``quarantine/...``; each carries the index
of the log entry that last changed it, so a holder at any index is brought up
to date with the entries after that index.

Values keep the fields that a later build has added at their ends.
"""

import typing

import msgspec

from mountridge.documents import halls, instances, quarantines, tables
from mountridge import messages, records

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

#: Most removed keys to keep; a holder behind them gets a snapshot.
MAX_REMOVED = 10000
#: Keys of the routes document, of runners by id, and of halls by name that
#: were ever taken out of service.
ROUTES_KEY = 'routes'
INSTANCE_PREFIX = 'instance/'
HALL_PREFIX = 'hall/'
#: Keys of quarantined requests, by digest in hexadecimal.
QUARANTINE_PREFIX = 'quarantine/'


class Member(typing.NamedTuple):
    """A gateway or agent as registered with the controllers."""

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


_ROW = records.decoder(tables.Row, tables.Row)
_MEMBER = records.decoder(Member, Member)
_INSTANCE = records.decoder(instances.Instance, instances.Instance)
_QUARANTINED = records.decoder(
    quarantines.QuarantinedRequest, quarantines.QuarantinedRequest
)
_HALL = records.decoder(halls.HallState, halls.HallState)
_ROUTES = records.decoder(messages.RoutesReply, messages.RoutesReply)


def pack(value: typing.Any) -> bytes:
    """Encode the value of an entry."""
    return msgspec.msgpack.encode(value)


def unpack_row(data: bytes) -> tables.Row:
    """Decode a row of the table."""
    return _ROW(data)


def unpack_member(data: bytes) -> Member:
    """Decode a gateway or agent."""
    return _MEMBER(data)


def unpack_instance(data: bytes) -> instances.Instance:
    """Decode the registration of a runner."""
    return _INSTANCE(data)


def unpack_hall(data: bytes) -> halls.HallState:
    """Decode the state of a hall."""
    return _HALL(data)


def unpack_quarantined(data: bytes) -> quarantines.QuarantinedRequest:
    """Decode a quarantined request."""
    return _QUARANTINED(data)


def routes_in(view: 'View') -> messages.RoutesReply:
    """Return the routes document in ``view``; version 0 if there is none."""
    found = view.entries.get(ROUTES_KEY)
    if found is None or found.value is None:
        return messages.RoutesReply(0, b'')
    return _ROUTES(found.value)


class View:
    """Entries by key, and the log index up to which they are complete."""

    def __init__(self) -> None:
        self.index = 0
        #: Incremented by each change of an entry, so that derived data is
        #: rebuilt only then; the index increases with every log entry.
        self.revision = 0
        #: Removals up to this index may be missing from ``removed``.
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
            self._trim_removed()
        else:
            self.entries[key] = change

    def _trim_removed(self) -> None:
        while len(self.removed) > MAX_REMOVED:
            oldest = next(iter(self.removed))
            self.horizon = self.removed.pop(oldest).index

    def changes_since(self, index: int) -> tuple[bool, list[messages.Change]]:
        """Return (is a snapshot, changes) for a holder at ``index``."""
        if index < self.horizon or index > self.index:
            return True, list(self.entries.values())
        return False, _newer(self.entries, index) + _newer(self.removed, index)

    def apply(
        self, index: int, snapshot: bool, changes: list[messages.Change]
    ) -> bool:
        """Apply changes up to ``index``; return False if they are older."""
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
        """Return the values by key of the keys that start with ``prefix``."""
        return {
            key: change.value
            for key, change in self.entries.items()
            if key.startswith(prefix)
        }


def _newer(
    entries: dict[str, messages.Change], index: int
) -> list[messages.Change]:
    newer = []
    # Entries are in the order of their last change.
    for change in reversed(entries.values()):
        if change.index <= index:
            break
        newer.append(change)
    newer.reverse()
    return newer
