# SPDX-License-Identifier: Apache-2.0

"""When refused callers come back, and how their return is recognised.

Answers requests that return together: each gateway gives refused callers
turns one after the other, at the rate at which it expects room.
"""

import random

__all__ = ['Returns', 'Turns']

#: Least Retry-After: about half of the time that a stream runs, in which some
#: of those that run now have ended.
MIN_RETRY_AFTER_S = 0.5
#: Callers heed a Retry-After up to a third of the time that they have left.
MAX_PART_OF_LEFT = 0.3
#: Part of the places that become free which is meant for returning callers;
#: new requests take the others.
RETURN_SHARE = 0.5
#: Gateways give their turns at the same times, so each is varied by this.
JITTER_S = 0.2
#: Callers for whom no turn is left return within this last part of the time in
#: which they can.
LEAST_SPREAD = 0.4
#: A caller has waited for a Retry-After if at least this part of the least one
#: has passed since its first request.
RETURNED_PART = 0.8
#: Weight of one request in the usual time that callers of a route wait.
FORGET = 0.002


class Turns:
    """Times at which the refused callers of one service may come back."""

    def __init__(self) -> None:
        self._next_s = 0.0

    def retry_after_s(
        self,
        share_before: float,
        free_per_s: float,
        left_s: float,
        rng: random.Random,
        now_s: float,
    ) -> float:
        """Return the Retry-After of a refused request, and book its turn.

        ``free_per_s`` is the rate at which places of this gateway's share
        become free, ``share_before`` the share of more urgent requests.
        """
        most_s = MAX_PART_OF_LEFT * left_s
        first_s = now_s + MIN_RETRY_AFTER_S * (1 + share_before)
        turn_s = max(first_s, self._next_s)
        if turn_s >= now_s + most_s:
            # All turns in reach are taken.
            return most_s * (LEAST_SPREAD + (1 - LEAST_SPREAD) * rng.random())
        self._next_s = turn_s
        if free_per_s > 0:
            self._next_s += 1 / (RETURN_SHARE * free_per_s)
        return min(turn_s - now_s + JITTER_S * rng.random(), most_s)


class Returns:
    """Recognises requests that were refused before, by their deadline.

    A caller that comes back, to any gateway, states the time that it has left
    of its deadline. Without a deadline no return is recognised; callers who
    always state a shorter one than others of their route count as returned.
    """

    def __init__(self) -> None:
        self._usual_ms: dict[str, float] = {}

    def is_returned(self, route: str, deadline_ms: float | None) -> bool:
        """Return whether a request was refused before, and record it."""
        if deadline_ms is None:
            return False
        usual_ms = self._usual_ms.get(route, 0.0)
        usual_ms = max(deadline_ms, usual_ms - FORGET * usual_ms)
        self._usual_ms[route] = usual_ms
        waited_s = (usual_ms - deadline_ms) / 1000
        return waited_s >= RETURNED_PART * MIN_RETRY_AFTER_S
