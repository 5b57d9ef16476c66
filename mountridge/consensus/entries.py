# SPDX-License-Identifier: Apache-2.0

"""Entries of the replicated log, and the part of it kept in memory."""

import typing

import msgspec

__all__ = ['COMMAND', 'CONFIG', 'Config', 'EMPTY', 'Entry', 'Log']

#: Kinds of entry: a leader's first one, which names the leader, a command,
#: a set of controllers.
EMPTY, COMMAND, CONFIG = range(3)


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
    #: Where those stand of whom it is told; not in older logs.
    halls: dict[str, str] = {}

    def addresses(self) -> dict[str, str]:
        """Return the addresses of voters and learners."""
        return {**self.learners, **self.voters}

    def with_controller(self, key: str, address: str, hall: str) -> 'Config':
        """Return this with ``key``, as a learner where it is new."""
        halls = {**self.halls, key: hall} if hall else self.halls
        if key in self.voters:
            voters = {**self.voters, key: address}
            return self._replace(voters=voters, halls=halls)
        learners = {**self.learners, key: address}
        return self._replace(learners=learners, halls=halls)

    def promote(self, key: str) -> 'Config':
        """Return this with the learner ``key`` as a voter."""
        learners = {k: a for k, a in self.learners.items() if k != key}
        voters = {**self.voters, key: self.learners[key]}
        return self._replace(voters=voters, learners=learners)

    def without(self, key: str) -> 'Config':
        """Return this without ``key``."""
        return Config(
            *({k: v for k, v in d.items() if k != key} for d in self)
        )

    def pack(self) -> bytes:
        """Return the payload of the entry that sets this configuration.

        Where no hall is known it is as older controllers read it.
        """
        return msgspec.msgpack.encode(self if self.halls else self[:2])


_CONFIG = msgspec.msgpack.Decoder(Config)


def unpack_config(payload: bytes) -> Config:
    """Return the configuration that an entry's payload sets."""
    return _CONFIG.decode(payload)


class Log:
    """Entries past ``base_index``, and the configuration up to it."""

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
        """Put entries at their indexes; those past them are cut off."""
        first = entries[0].index
        del self.entries[first - self.base_index - 1 :]
        self.entries.extend(entries)

    def config(self) -> tuple[int, Config]:
        """Return the index and value of the newest configuration."""
        for entry in reversed(self.entries):
            if entry.kind == CONFIG:
                return entry.index, unpack_config(entry.payload)
        return self.base_index, self.base_config

    def all_voters(self) -> set[str]:
        """Return whoever is a voter in a configuration that is held here."""
        found = set(self.base_config.voters)
        for entry in self.entries:
            if entry.kind == CONFIG:
                found.update(unpack_config(entry.payload).voters)
        return found

    def leader_of_last_term(self) -> str:
        """Return whose first entry began the last term, '' if unknown."""
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
        """Forget the entries up to ``index``."""
        if index <= self.base_index:
            return
        self.base_config = self.config_at(index)
        self.base_term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
