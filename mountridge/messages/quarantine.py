# SPDX-License-Identifier: Apache-2.0

"""Messages on requests that crash runners, of entries to the leader."""

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
    """Crashes that a gateway has seen of late, and what ended well since.

    Sent again and again, so that a new leader knows them too.
    """

    crashes: list[quarantines.Crash]
    #: Digest and age in seconds of the last good end.
    successes: list[tuple[bytes, float]]


class CrashReportReply(typing.NamedTuple):
    """The leader has counted a report, and has held back what it proves.

    That has been sent before this answer.
    """


class ReadQuarantine(typing.NamedTuple):
    """Operator to leader: all that was held back, confirmed by a quorum."""


class QuarantineReply(typing.NamedTuple):
    """The requests that are or were held back, the latest ones last."""

    requests: list[quarantines.QuarantinedRequest]


class Release(typing.NamedTuple):
    """Operator to leader: hold a request back no more, and forget it."""

    digest: bytes
