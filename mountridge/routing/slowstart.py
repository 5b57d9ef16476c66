# SPDX-License-Identifier: Apache-2.0

"""How fast the runners of a hall that was put back take up work again.

They are empty while the others are busy, so that all gateways would send
there at once whatever comes next: prompts are read together on the runners
that have just come back, while those elsewhere have slots to spare. So they
count as occupied at first, and less from moment to moment: what finds no
room elsewhere goes to them at once, and the rest follows.
"""

__all__ = ['RAMP_S', 'added_occupancy']

#: From a hall's return until its runners count as they are. With 39 gateways,
#: 72 runners of 5 slots in 3 halls, and 60 in 100 slots taken, the runners of
#: the hall get 14 requests in the first 0.25 s where they got 54, and 23 in
#: each later one (model in the scenarios of halls).
RAMP_S = 2.0


def added_occupancy(back_s: float) -> float:
    """Return what a runner's occupancy counts for above what it is.

    ``back_s`` is the time since its hall was put back. At first it is as if
    all its slots were taken by others.
    """
    return max(0.0, 1.0 - back_s / RAMP_S)
