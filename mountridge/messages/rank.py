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
    """Sidecar to leader: its engine's state, and what was chosen since."""

    instance_id: str
    state: ranks.RankState
    #: Held now, by set of layers; [] where the leader has been told.
    experts: list[list[int]]
    #: Choices of each expert since they were last told.
    counts: demand.PackedCounts
    #: Version of the newest map that the sidecar has whole, or NO_VERSION.
    known_map: int


class RankReply(typing.NamedTuple):
    """Leader to sidecar: the next order, and when to report again."""

    term: int
    #: Without the map; `packed` has it, for PREPARE.
    order: ranks.RankOrder | None
    packed: mapdeltas.PackedMap
    report_interval_s: (
        float  # longest rest between reports; 0: as the settings say
    )
    report_each_step: bool  # the leader wants to know each pass
    wants_experts: bool  # the leader does not know what the rank holds
    wants_counts: bool


class RankPush(typing.NamedTuple):
    """Leader to sidecar: an order that does not wait for a report."""

    term: int
    order: ranks.RankOrder
    packed: mapdeltas.PackedMap


class RunnerLoad(typing.NamedTuple):
    """What one runner has to do, by its sidecar's newest report."""

    instance_id: str
    running: int
    waiting: int
    slowdown_percent: int  # over 100: it is slow; a byte where it is not
    group: int  # a number that all ranks of a group share; 0: in none
    is_open: bool  # its group makes passes, or it is in none


class Loads(typing.NamedTuple):
    """Leader to gateways: loads that were reported since the last ones."""

    loads: list[RunnerLoad]


class RemoteOrder(typing.NamedTuple):
    """Leader to a gateway: give an order to a runner's engine."""

    instance_id: str
    order: ranks.RankOrder
