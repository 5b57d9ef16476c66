# SPDX-License-Identifier: Apache-2.0

"""Registrations of runners: one record for each start of a runner."""

import typing

__all__ = ['DRAINING', 'Instance', 'LEFT', 'READY']

#: States of a registration. A runner that left never comes back under its
#: id; its next start has another one.
READY, DRAINING, LEFT = 'ready', 'draining', 'left'


class Instance(typing.NamedTuple):
    """One life of a runner, as it registered itself."""

    instance_id: str
    service: str
    address: str  # IP:PORT
    hall: str
    software: str  # version of the runner's program
    slots: int  # requests that it works on at once
    state: str
    #: Unix time of its start; 0 where it does not tell. A later start under
    #: the same id is another life, which knows nothing of this one.
    born_ms: int = 0
    #: Its start is so recent that it bears few requests a second.
    is_cold: bool = False
