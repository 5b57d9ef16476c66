# SPDX-License-Identifier: Apache-2.0

"""Service states of halls, as set by operators."""

import typing

__all__ = ['HallState', 'default_state']


class HallState(typing.NamedTuple):
    """Whether a hall is out of service, and since when."""

    name: str
    is_out: bool  # no requests are sent to runners in this hall
    #: Log index of the last change; 0 if there was none. An order based
    #: on an older revision changes nothing.
    revision: int
    since_s: float  # leader's wall clock at the last change


def default_state(name: str) -> HallState:
    """Return the state of a hall that was never taken out of service."""
    return HallState(name, False, 0, 0.0)
