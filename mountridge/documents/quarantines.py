# SPDX-License-Identifier: Apache-2.0

"""Requests and parts of prompts that are quarantined as they crash runners.

A request is identified by a keyed digest of its method, target, caller and
body, a part of a prompt by one of its service and its id. None of them is
stored or reported.
"""

import hashlib
import typing

from mountridge import errors

__all__ = [
    'CRASH_THRESHOLD', 'CRASH_TTL_S', 'Crash', 'DIGEST_BYTES',
    'QuarantinedRequest', 'digest', 'parse_digest', 'part_digest',
]  # fmt: skip

#: 128 bits, so that collisions between requests are negligible.
DIGEST_BYTES = 16
#: Separates the digests of parts from those of requests.
PART_PERSON = b'prompt part'
#: Incarnations of runners that a request has to crash, without completing in
#: between, to be quarantined. At 1, a crash of another cause quarantines all
#: requests that were running; at 3 and above, a harmful request crashes more
#: runners, each with its whole group (docs/design/quarantine.md).
CRASH_THRESHOLD = 2
#: How long a crash counts; far above the delay of callers' retries and of the
#: reports of other gateways to the leader.
CRASH_TTL_S = 600.0


class QuarantinedRequest(typing.NamedTuple):
    """A request that was quarantined, and whether it still is."""

    digest: bytes
    is_held: bool
    crashes: int  # incarnations of runners known to have crashed on it
    holds: int  # how often it was quarantined
    since_s: float  # leader's wall clock at the last change


class Crash(typing.NamedTuple):
    """A crash of a runner while it was processing a request."""

    digest: bytes
    instance_id: str  # with the next two: the incarnation of the runner
    lives: int
    born_ms: int
    age_s: float  # time since the crash

    @property
    def incarnation(self) -> tuple[str, int, int]:
        """The incarnation of the runner that crashed."""
        return self.instance_id, self.lives, self.born_ms


def digest(
    key: bytes, method: bytes, target: bytes, caller: bytes, body: bytes
) -> bytes:
    """Return the digest of a request; ``caller`` is its API key or team."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES, key=key)
    for part in (method, target, caller):
        hasher.update(b'%d:%b' % (len(part), part))
    hasher.update(body)
    return hasher.digest()


def part_digest(key: bytes, service: str, part_id: bytes) -> bytes:
    """Return the digest of a part of prompts for the runners of a service."""
    hasher = hashlib.blake2b(
        digest_size=DIGEST_BYTES, key=key, person=PART_PERSON
    )
    hasher.update(service.encode() + b'\0' + part_id)
    return hasher.digest()


def parse_digest(text: str) -> bytes:
    """Return a digest from its hexadecimal form.

    :raises BadRequest: it is not valid.
    """
    try:
        found = bytes.fromhex(text)
    except ValueError:
        found = b''
    if len(found) != DIGEST_BYTES:
        raise errors.BadRequest(f'not a digest of a request: {text[:40]!r}')
    return found
