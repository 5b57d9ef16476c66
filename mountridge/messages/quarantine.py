# SPDX-License-Identifier: Apache-2.0

"""Messages from entries to the leader about requests that crash runners."""

import typing

from mountridge.documents import promptparts, quarantines

__all__ = [
    'CrashReport',
    'CrashReportReply',
    'PartReport',
    'ProbeReply',
    'QuarantineReply',
    'ReadQuarantine',
    'Release',
    'TakeProbe',
]


class CrashReport(typing.NamedTuple):
    """Recent crashes that a gateway observed, and successes since then.

    Sent repeatedly, so that a new leader receives them too.
    """

    crashes: list[quarantines.Crash]
    #: Digest, and seconds since its last success.
    successes: list[tuple[bytes, float]]


class CrashReportReply(typing.NamedTuple):
    """The leader has applied a report and the quarantines that result from it.

    The change of the quarantine is sent before this reply.
    """


class ReadQuarantine(typing.NamedTuple):
    """Operator to leader: read the quarantine, confirmed by a quorum."""


class QuarantineReply(typing.NamedTuple):
    """The requests that are or were quarantined, the latest ones last."""

    requests: list[quarantines.QuarantinedRequest]


class Release(typing.NamedTuple):
    """Operator to leader: release a request and discard its crashes."""

    digest: bytes


class PartReport(typing.NamedTuple):
    """Recent crashes that a gateway observed, by the parts of prompts.

    Sent repeatedly, so that a new leader receives them too. The reply is
    `CrashReportReply`.
    """

    crashes: list[promptparts.PartCrash]
    #: Digest of a part, and seconds since the last success of a request with
    #: it: of the parts above, and of those that are quarantined.
    successes: list[tuple[bytes, float]]


class TakeProbe(typing.NamedTuple):
    """Gateway to leader: may a request with quarantined parts be sent?"""

    keys: list[bytes]


class ProbeReply(typing.NamedTuple):
    """Whether it may; at most one gateway is granted a probe at a time."""

    is_granted: bool
