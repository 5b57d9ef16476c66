# SPDX-License-Identifier: Apache-2.0

"""Decides when a request is worth sending to a runner in another hall.

The ranks of a group run each forward pass together. While a rank in the
gateway's own hall has a free slot, an emptier rank of the same group
elsewhere starts the request in the same pass, and its answer is traffic
between halls. Answers load: halls whose demand peaks at different times.
"""

import collections
import math
import typing

from mountridge.routing import runnerstates
from mountridge import settings

__all__ = ['DEFAULT_HALL_COST', 'Hops', 'assess']

Backend = runnerstates.Backend

#: Occupancy that a hop to another hall is worth where an operator sets
#: nothing: its delay is small compared to a time to first token.
DEFAULT_HALL_COST: float = settings.DEFAULTS['routing']['hall_cost']
#: Standard deviations by which others may have sent more requests than on
#: average: a request that finds a near slot taken waits in a queue.
MARGIN = 3.0
#: Keeps a whole slot from being lost to the rounding of an occupancy.
ROUNDING = 1e-6


class Hops(typing.NamedTuple):
    """The runners that a request may go to, and what a hop costs there."""

    candidates: list[Backend]
    cost: float  # in occupancy


def assess(
    candidates: list[Backend],
    hall: str,
    hall_cost: float,
    occupancy: typing.Callable[[Backend], float],
    unreported: float,
) -> Hops:
    """Return the candidates without those to which a hop does not pay.

    These are the ranks in other halls of groups that have a free slot in
    ``hall``. Where that hall has no free slot, a hop costs no more than the
    default: a slot elsewhere is better than a queue. About ``unreported``
    requests of other gateways are on their way to the candidates; the hall
    is assumed to get as large a share of them as it has of the candidates.

    Up to the default cost all candidates remain.
    """
    if hall_cost <= DEFAULT_HALL_COST:
        return Hops(candidates, hall_cost)
    near = [b for b in candidates if b.instance.hall == hall]
    free_slots = _free_slots(near, occupancy)
    taken = unreported * len(near) / max(1, len(candidates))
    taken += MARGIN * math.sqrt(taken)
    if sum(free_slots.values()) <= taken:
        return Hops(candidates, DEFAULT_HALL_COST)
    # The requests of others are spread over the groups of the hall.
    taken /= len(free_slots)
    kept = [
        backend
        for backend in candidates
        if backend.instance.hall == hall
        or not backend.group
        or free_slots.get(backend.group, 0) <= taken
    ]
    return Hops(kept, hall_cost)


def _free_slots(
    backends: list[Backend], occupancy: typing.Callable[[Backend], float]
) -> dict[int, int]:
    """Return the number of free slots by the number of the group."""
    free_slots: dict[int, int] = collections.defaultdict(int)
    for backend in backends:
        share = max(0.0, 1 - occupancy(backend))
        slots = max(1, backend.instance.slots)
        free_slots[backend.group] += int(share * slots + ROUNDING)
    return free_slots
