# SPDX-License-Identifier: Apache-2.0

"""Messages from entries to the leader about requests that crash runners."""

import typing

from mountridge.documents import quarantines

__all__ = [
    'CrashReport',
    'CrashReportReply',
    'QuarantineReply',
    'ReadQuarantine',
    'Release',
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
