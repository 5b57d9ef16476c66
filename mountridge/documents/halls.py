# SPDX-License-Identifier: Apache-2.0

"""Halls that operators take out of service and put back."""

import typing

__all__ = ['HallState', 'never_out']


class HallState(typing.NamedTuple):
    """Whether a hall is out of service, and since when."""

    name: str
    is_out: bool  # no request is sent to the runners of this hall
    #: Index of the log entry that last changed it; 0 where none has. An
    #: order that was made on an older revision changes nothing.
    revision: int
    since_s: float  # wall clock of the leader at that change


def never_out(name: str) -> HallState:
    """Return the state of a hall that was never taken out of service."""
    return HallState(name, False, 0, 0.0)
