# SPDX-License-Identifier: Apache-2.0

"""Slow start for the runners of a hall that was restored to service.

These runners are empty while the others are busy, so all gateways would send
them every new request at once: their prompts would be processed together,
while runners elsewhere have free slots. So their occupancy is raised by an
amount that falls to 0 over time. Requests that find no free slot elsewhere
are still sent to them at once.
"""

__all__ = ['RAMP_S', 'added_occupancy']

#: Time from the restoration of a hall until nothing is added to occupancies.
RAMP_S = 2.0


def added_occupancy(restored_for_s: float) -> float:
    """Return what to add to the occupancy of a runner.

    ``restored_for_s`` is the time since its hall was restored. At first the
    result is 1, as if all of the runner's slots were in use.
    """
    return max(0.0, 1.0 - restored_for_s / RAMP_S)
