# SPDX-License-Identifier: Apache-2.0

"""Messages of expert-parallel groups: reports, orders and loads."""

import typing

from mountridge.experts import demand, mapdeltas, ranks

__all__ = [
    'Loads',
    'RankPush',
    'RankReply',
    'RankReport',
    'RemoteOrder',
    'RunnerLoad',
]


class RankReport(typing.NamedTuple):
    """Sidecar to leader: its engine's state, and choices of experts."""

    instance_id: str
    state: ranks.RankState
    #: Experts that the rank holds, per set of layers; [] if the leader knows
    #: them from an earlier report.
    experts: list[list[int]]
    #: Choices of each expert since the previous counts.
    counts: demand.PackedCounts
    #: Newest version of the map that the sidecar has in full, or NO_VERSION.
    known_map: int


class RankReply(typing.NamedTuple):
    """Leader to sidecar: the next order, and what to report and when."""

    term: int
    #: Without the map, which is in `packed` for PREPARE.
    order: ranks.RankOrder | None
    packed: mapdeltas.PackedMap
    report_interval_s: float  # at most; 0: as in the settings
    report_each_step: bool  # report after each forward pass
    wants_experts: bool  # the leader does not know the rank's experts
    wants_counts: bool


class RankPush(typing.NamedTuple):
    """Leader to sidecar: an order sent without waiting for a report."""

    term: int
    order: ranks.RankOrder
    packed: mapdeltas.PackedMap


class RunnerLoad(typing.NamedTuple):
    """The load of a runner, by its sidecar's newest report."""

    instance_id: str
    running: int
    waiting: int
    slowdown_percent: int  # of the usual step time; 100: not slowed down
    group: int  # the same number for all ranks of a group; 0: in none
    is_open: bool  # its group runs forward passes, or it is in none


class Loads(typing.NamedTuple):
    """Leader to gateways: loads reported since the previous message."""

    loads: list[RunnerLoad]


class RemoteOrder(typing.NamedTuple):
    """Leader to a gateway: deliver an order to a runner's engine."""

    instance_id: str
    order: ranks.RankOrder
