# SPDX-License-Identifier: Apache-2.0

"""Entries of the replicated log, and the log kept in memory."""

import typing

import msgspec

from mountridge import records

__all__ = [
    'COMMAND', 'CONFIG', 'Config', 'EMPTY', 'Entry', 'KINDS', 'Log',
]  # fmt: skip

#: Kinds of entry: the first one of a leader, with its id; a command; a
#: configuration.
EMPTY, COMMAND, CONFIG = KINDS = range(3)


class Entry(typing.NamedTuple):
    """One entry of the log."""

    term: int
    index: int
    kind: int
    payload: bytes


class Config(typing.NamedTuple):
    """The controllers by id, with their addresses."""

    voters: dict[str, str]
    learners: dict[str, str]
    #: Halls by controller id, as far as known; missing in older logs.
    halls: dict[str, str] = {}

    def addresses(self) -> dict[str, str]:
        """Return the addresses of voters and learners."""
        return {**self.learners, **self.voters}

    def with_controller(
        self, node_id: str, address: str, hall: str
    ) -> 'Config':
        """Return a copy with ``node_id``, a learner unless it is a voter."""
        halls = {**self.halls, node_id: hall} if hall else self.halls
        if node_id in self.voters:
            voters = {**self.voters, node_id: address}
            return self._replace(voters=voters, halls=halls)
        learners = {**self.learners, node_id: address}
        return self._replace(learners=learners, halls=halls)

    def promote(self, node_id: str) -> 'Config':
        """Return a copy with the learner ``node_id`` as a voter."""
        learners = {k: a for k, a in self.learners.items() if k != node_id}
        voters = {**self.voters, node_id: self.learners[node_id]}
        return self._replace(voters=voters, learners=learners)

    def without(self, node_id: str) -> 'Config':
        """Return a copy without ``node_id``."""
        return self._replace(
            **{
                field: {k: v for k, v in known.items() if k != node_id}
                for field, known in self._asdict().items()
            }
        )

    def pack(self) -> bytes:
        """Return the payload of the entry that sets this configuration.

        Without halls it is in the format of older controllers.
        """
        return msgspec.msgpack.encode(self if any(self[2:]) else self[:2])


_decode_config = records.decoder(Config, Config)


def unpack_config(payload: bytes) -> Config:
    """Return the configuration that an entry's payload sets."""
    return _decode_config(payload)


class Log:
    """Entries after ``base_index``, and the configuration at that index."""

    def __init__(
        self, base_index: int, base_term: int, base_config: Config
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.base_config = base_config
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, None if unknown."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> list[Entry]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self.base_index - 1
        return self.entries[start : last - self.base_index]

    def append(self, entries: list[Entry]) -> None:
        """Append entries, replacing all from the first one's index on."""
        first = entries[0].index
        del self.entries[first - self.base_index - 1 :]
        self.entries.extend(entries)

    def config(self) -> tuple[int, Config]:
        """Return the index and the value of the newest configuration."""
        for entry in reversed(self.entries):
            if entry.kind == CONFIG:
                return entry.index, unpack_config(entry.payload)
        return self.base_index, self.base_config

    def all_voters(self) -> set[str]:
        """Return the voters of all configurations in the log."""
        found = set(self.base_config.voters)
        for entry in self.entries:
            if entry.kind == CONFIG:
                found.update(unpack_config(entry.payload).voters)
        return found

    def leader_of_last_term(self) -> str:
        """Return the id of the leader of the last term, '' if unknown."""
        first = None
        for entry in reversed(self.entries):
            if entry.term != self.last_term:
                break
            first = entry
        if first is None or first.kind != EMPTY:
            return ''
        return first.payload.decode()

    def config_at(self, index: int) -> Config:
        """Return the configuration in use up to ``index``."""
        for entry in reversed(self.between(self.base_index + 1, index)):
            if entry.kind == CONFIG:
                return unpack_config(entry.payload)
        return self.base_config

    def trim(self, index: int) -> None:
        """Drop the entries up to ``index``."""
        if index <= self.base_index:
            return
        self.base_config = self.config_at(index)
        self.base_term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
