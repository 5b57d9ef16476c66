# SPDX-License-Identifier: Apache-2.0

"""Helpers shared by other modules."""

import random
import secrets

__all__ = ['fresh_id', 'with_jitter']


def fresh_id() -> str:
    """Return a random id of 12 hex digits."""
    return secrets.token_hex(6)


def with_jitter(delay_s: float, rng: random.Random) -> float:
    """Return ``delay_s`` with a random addition of up to half of it.

    The jitter keeps clients that were refused together from retrying at the
    same time.
    """
    return delay_s * (1 + rng.random() / 2)
