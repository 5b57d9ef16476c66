# SPDX-License-Identifier: Apache-2.0

"""Requests that are quarantined because they crash runners.

A request is identified by a keyed digest of its method, target, caller and
body, none of which is stored or reported. Parts of prompts are quarantined too
(`promptparts`).
"""

import hashlib
import typing

from mountridge import errors

__all__ = [
    'CRASH_THRESHOLD', 'CRASH_TTL_S', 'Crash', 'DIGEST_BYTES',
    'QuarantinedRequest', 'digest', 'parse_digest',
]  # fmt: skip

#: 128 bits, so that collisions between requests are negligible.
DIGEST_BYTES = 16
#: Incarnations of runners that a request has to crash, without completing in
#: between, to be quarantined. At 1, a crash of another cause quarantines all
#: requests that were running; at 3 and above, a harmful request crashes more
#: runners, each with its whole group (docs/design/quarantine.md).
CRASH_THRESHOLD = 2
#: How long a crash counts; far above the delay of callers' retries and of the
#: reports of other gateways to the leader.
CRASH_TTL_S = 600.0


class QuarantinedRequest(typing.NamedTuple):
    """A request or part that was quarantined, and whether it still is."""

    digest: bytes  # of a request, or the key of a part
    is_held: bool  # of a part: unless one gateway probes it
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


def parse_digest(text: str, sizes_bytes: tuple[int, ...]) -> bytes:
    """Return a digest of one of the given sizes from its hexadecimal form.

    :raises BadRequest: it is not valid.
    """
    try:
        found = bytes.fromhex(text)
    except ValueError:
        found = b''
    if len(found) not in sizes_bytes:
        raise errors.BadRequest(f'not a digest of a request: {text[:40]!r}')
    return found
