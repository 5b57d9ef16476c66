# SPDX-License-Identifier: Apache-2.0

"""Requests that are held back since they crash the runners that run them.

A request is known by a digest of its method, target, caller and body alone;
none of these is kept or told.
"""

import hashlib
import typing

from mountridge import errors

__all__ = [
    'CRASH_TTL_S', 'Crash', 'DIGEST_BYTES', 'CRASH_THRESHOLD',
    'QuarantinedRequest', 'digest', 'parse_digest',
]  # fmt: skip

#: 128 bits: two of a billion requests share one by a chance of 1 in 10**20.
DIGEST_BYTES = 16
#: Crashes of different lives without a good end at which a request is held
#: back. In a model of 16 runners, with one request of 1,000 that crashes what
#: it meets and a crash of another cause each 5 s, of 300,000 requests 15
#: innocent ones are held back at 2 and 6 at 3, and killers crash 190 runners
#: and 291; at 1, 4,013 are held back (docs/design/quarantine.md). A crash
#: breaks all that its runner works on, and stops a whole group.
CRASH_THRESHOLD = 2
#: A crash counts for so long: callers come again within seconds, and by then
#: the leader has counted what they did at other gateways.
CRASH_TTL_S = 600.0


class QuarantinedRequest(typing.NamedTuple):
    """A request that was held back, and whether it still is."""

    digest: bytes
    is_held: bool
    crashes: int  # lives of runners that it has crashed, as far as is known
    holds: int  # how often it was held back
    since_s: float  # wall clock of the leader at the last change


class Crash(typing.NamedTuple):
    """A runner crashed while it ran a request."""

    digest: bytes
    instance_id: str  # with the next two: the life of the runner
    lives: int
    born_ms: int
    age_s: float  # since it crashed

    @property
    def incarnation(self) -> tuple[str, int, int]:
        """The life of the runner that crashed."""
        return self.instance_id, self.lives, self.born_ms


def digest(
    key: bytes, method: bytes, target: bytes, caller: bytes, body: bytes
) -> bytes:
    """Return what stands for a request; ``caller`` is its key or team."""
    made = hashlib.blake2b(digest_size=DIGEST_BYTES, key=key)
    for part in (method, target, caller):
        made.update(b'%d:%b' % (len(part), part))
    made.update(body)
    return made.digest()


def parse_digest(text: str) -> bytes:
    """Return the digest that is written in hexadecimal digits.

    :raises BadRequest: it is none.
    """
    try:
        found = bytes.fromhex(text)
    except ValueError:
        found = b''
    if len(found) != DIGEST_BYTES:
        raise errors.BadRequest(f'no digest of a request: {text[:40]!r}')
    return found
