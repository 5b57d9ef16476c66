# SPDX-License-Identifier: Apache-2.0

"""Identity of the parts of prompts that are quarantined.

A part is identified by a keyed digest of its service and its id. A quarantine
concerns the requests of one team, or of all: its key is the digest of the part
followed by the tag of the team. Keys of parts are longer than digests of
requests, so both are kept in one table.
"""

import hashlib
import typing

from mountridge.documents import quarantines

__all__ = [
    'ALL_TEAMS', 'KEY_BYTES', 'PartCrash', 'is_part', 'part_digest',
    'part_key', 'part_of', 'team_tag',
]  # fmt: skip

TAG_BYTES = 8
#: Size of the key of a quarantined part.
KEY_BYTES = quarantines.DIGEST_BYTES + TAG_BYTES
#: In place of a team's tag: the quarantine concerns all teams.
ALL_TEAMS = bytes(TAG_BYTES)
#: Separate these digests from each other and from those of requests.
_PART_PERSON, _TEAM_PERSON = b'prompt part', b'team'


class PartCrash(typing.NamedTuple):
    """A crash of a runner beneath a request with a part in its prompt."""

    part: bytes
    team: bytes  # tag
    request: bytes  # digest
    instance_id: str  # with the next two: the incarnation of the runner
    lives: int
    born_ms: int
    age_s: float  # time since the crash

    @property
    def incarnation(self) -> tuple[str, int, int]:
        """The incarnation of the runner that crashed."""
        return self.instance_id, self.lives, self.born_ms


def part_digest(key: bytes, service: str, part_id: bytes) -> bytes:
    """Return the digest of a part of prompts for the runners of a service."""
    hasher = hashlib.blake2b(
        digest_size=quarantines.DIGEST_BYTES, key=key, person=_PART_PERSON
    )
    hasher.update(service.encode() + b'\0' + part_id)
    return hasher.digest()


def team_tag(key: bytes, team: str) -> bytes:
    """Return the tag of a team; an empty name stands for callers of none."""
    return hashlib.blake2b(
        team.encode(), digest_size=TAG_BYTES, key=key, person=_TEAM_PERSON
    ).digest()


def part_key(part: bytes, team: bytes) -> bytes:
    """Return the key of a quarantine of a part."""
    return part + team


def part_of(key: bytes) -> bytes:
    """Return the digest of the part in the key of a quarantine."""
    return key[: quarantines.DIGEST_BYTES]


def is_part(key: bytes) -> bool:
    """Return whether the key of a quarantine is that of a part."""
    return len(key) == KEY_BYTES
