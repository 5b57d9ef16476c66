# SPDX-License-Identifier: Apache-2.0

"""Which kinds of request may use the room of a group: trunk reservation.

Answers a burst of one kind among several. Each priority may fill a group up
to a part of its bound, the most urgent the largest one. So a burst of the
least urgent leaves room for the others, without any message. A floor lets a
share of each kind and team pass in a long burst of more urgent ones.
"""

import math

__all__ = ['Demand', 'Floors', 'allowance']

#: Part of a group's bound up to which the most urgent requests are admitted:
#: above 1, since they are a part of all and others are refused before.
MOST_URGENT = 1.2
#: Room kept free for more urgent requests, as part of the bound, where all
#: others are more urgent: about what they send until refusals take effect,
#: one report later.
RESERVED = 0.35
#: How much further requests are admitted that were refused before.
RETURNED = 0.1
#: Time constant of the shares of demand: longer than the pauses between the
#: requests of one gateway, shorter than bursts last.
DEMAND_S = 4.0
#: Share of the requests of a kind or team that is always admitted: callers
#: are starved with less than a quarter of the average.
FLOOR = 0.3


def allowance(share_before: float, is_returned: bool) -> float:
    """Return up to which part of the bound a request is admitted.

    ``share_before`` is the share of requests that are more urgent. A request
    that ``is_returned`` was refused before and goes before newer ones.
    """
    part = MOST_URGENT - RESERVED * share_before
    return min(part + RETURNED, MOST_URGENT) if is_returned else part


class Demand:
    """The shares of the priorities in the requests of this gateway."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[int, float]] = {}
        self._updated_s: dict[str, float] = {}

    def record(self, service: str, priority: int, now_s: float) -> None:
        """Count a request."""
        counts = self._counts.setdefault(service, {})
        span_s = now_s - self._updated_s.get(service, now_s)
        kept = math.exp(-max(span_s, 0.0) / DEMAND_S)
        for each in counts:
            counts[each] *= kept
        counts[priority] = counts.get(priority, 0.0) + 1
        self._updated_s[service] = now_s

    def share_before(self, service: str, priority: int) -> float:
        """Return the share of requests that are more urgent."""
        counts = self._counts.get(service)
        if not counts:
            return 0.0
        before = sum(n for each, n in counts.items() if each < priority)
        return before / sum(counts.values())


class Floors:
    """Admits a share of the requests of each kind and team."""

    def __init__(self) -> None:
        self._credit: dict[tuple[str, str, int], float] = {}

    def record(self, key: tuple[str, str, int], is_admitted: bool) -> None:
        """Record the decision on a request of a kind or team."""
        credit = self._credit.get(key, 0.0) + FLOOR
        if is_admitted:
            credit -= 1
        self._credit[key] = min(max(credit, 0.0), 1.0)

    def is_due(self, key: tuple[str, str, int]) -> bool:
        """Return whether a kind or team has got less than its share."""
        return self._credit.get(key, 0.0) + FLOOR >= 1
