# SPDX-License-Identifier: Apache-2.0

"""Exception tree with numbered result codes.

Each class fixes a ``code``, the HTTP ``status`` a caller sees, and
``not_run``: true only where the request certainly did not reach a runner.
The table of codes is ``docs/ERRORS.md``.
"""

import typing

__all__ = [
    'BadAnswer',
    'BadHeartbeat',
    'BadMessage',
    'BadRequest',
    'BadSettings',
    'BadSheet',
    'Busy',
    'ClaimConflict',
    'ConflictingPut',
    'DamagedStorage',
    'DiskFull',
    'DeadlinePassed',
    'Draining',
    'KeyRequired',
    'LimitReached',
    'MountridgeError',
    'NoController',
    'NoLease',
    'NoRunner',
    'NotLeader',
    'OutcomeUnknown',
    'RefusedChange',
    'RunnerFailed',
    'StaleHeartbeat',
    'StaleIncarnation',
    'StorageFailed',
    'TooLarge',
    'UnknownModel',
    'UnknownTeam',
    'BadRoutes',
    'NoRoutes',
    'TooSlow',
    'HallChanged',
    'HallsOut',
    'HeadTooLarge',
    'NoRealClock',
    'NotHeldBack',
    'NoRoute',
    'UnknownHall',
    'UnknownService',
    'UnknownKey',
    'RequestHeldBack',
    'RunnerRefused',
    'RunnerReplaced',
    'RunnersCold',
    'RunnersResting',
    'TimedOut',
    'by_code',
    'NOT_RUN',
    'RAN',
    'UNKNOWN',
]

#: The three outcomes of a request; never only two of them.
RAN = 'ran'
NOT_RUN = 'not run'
UNKNOWN = 'unknown'


class MountridgeError(Exception):
    """Root of the tree; ``retry_after_s`` tells when to come back."""

    code = 1000
    status = 500
    outcome = NOT_RUN

    def __init__(self, message: str = '', retry_after_s: float | None = None):
        super().__init__(message or (self.__doc__ or '').split('.')[0])
        self.retry_after_s = retry_after_s


class BadRequest(MountridgeError):
    """The request is malformed."""

    code = 1100
    status = 400


class TooLarge(BadRequest):
    """The request body is larger than the settings allow."""

    code = 1101
    status = 413


class UnknownTeam(BadRequest):
    """No row of the table names this team."""

    code = 1102
    status = 401


class UnknownModel(BadRequest):
    """The team has no row for this model or service."""

    code = 1103
    status = 404


class KeyRequired(BadRequest):
    """A call that may not be repeated needs an Idempotency-Key."""

    code = 1104
    status = 400


class ClaimConflict(BadRequest):
    """The Idempotency-Key was used before for a different request."""

    code = 1105
    status = 409


class LimitReached(MountridgeError):
    """The team's limit in the table is reached."""

    code = 1200
    status = 429


class Busy(MountridgeError):
    """The request can't be started before its time in queue ends."""

    code = 1201
    status = 429


class NoRunner(MountridgeError):
    """No live runner serves this model."""

    code = 1202
    status = 503


class NoLease(MountridgeError):
    """This process holds no lease, so its table may be old."""

    code = 1203
    status = 503


class Draining(MountridgeError):
    """The endpoint is leaving and takes no new work."""

    code = 1204
    status = 503


class StaleIncarnation(MountridgeError):
    """The order is for another incarnation or an older fence."""

    code = 1205
    status = 503


class DeadlinePassed(MountridgeError):
    """The deadline passed before the request was started."""

    code = 1206
    status = 504


class NoRoutes(MountridgeError):
    """This process holds no routes yet."""

    code = 1207
    status = 503


class TooSlow(BadRequest):
    """The request did not arrive in time."""

    code = 1106
    status = 408


class HeadTooLarge(BadRequest):
    """The head of the request is larger than the limits allow."""

    code = 1107
    status = 431


class NoRoute(BadRequest):
    """No route fits this host and path."""

    code = 1108
    status = 404


class UnknownKey(BadRequest):
    """No team holds this key."""

    code = 1109
    status = 401


class UnknownHall(BadRequest):
    """No hall of the deployment has this name."""

    code = 1110
    status = 404


class BadHeartbeat(BadRequest):
    """What a runner says of itself is malformed; it changes nothing.

    ``cause`` is the name under which it is counted.
    """

    code = 1111

    def __init__(self, message: str = '', cause: str = 'other'):
        super().__init__(message)
        self.cause = cause


class UnknownService(BadRequest):
    """No route names the service of this runner; it is not registered."""

    code = 1112
    status = 404


class StaleHeartbeat(BadRequest):
    """Another life of the runner, or another runner, goes before it."""

    code = 1113
    status = 409


class NotHeldBack(BadRequest):
    """No request of this digest is or was held back."""

    code = 1114
    status = 404


class RunnerReplaced(MountridgeError):
    """Another runner has the address of the one that was meant."""

    code = 1209
    status = 503


class RunnerRefused(MountridgeError):
    """The runner says that it has not run the request."""

    code = 1208
    status = 503


class GroupClosed(MountridgeError):
    """No group of the service takes requests now."""

    code = 1210
    status = 503


class HallsOut(MountridgeError):
    """All runners of the service are in halls that are out of service."""

    code = 1211
    status = 503


class RunnersCold(MountridgeError):
    """All runners are cold, and get as many requests as they bear."""

    code = 1212
    status = 503


class RunnersResting(MountridgeError):
    """All runners have asked for rest, or this one has meanwhile."""

    code = 1213
    status = 503


class RequestHeldBack(MountridgeError):
    """The request has crashed several runners, and is sent to none."""

    code = 1214
    status = 502


class TimedOut(MountridgeError):
    """The time for the request ran out while it may have been running."""

    code = 1303
    status = 504
    outcome = UNKNOWN


class RunnerFailed(MountridgeError):
    """The runner failed while it ran the request."""

    code = 1300
    status = 502
    outcome = RAN


class BadAnswer(RunnerFailed):
    """The runner's answer was cut before its end."""

    code = 1301


class RunnerSlow(RunnerFailed):
    """The runner has become slow, and the stream goes on at another."""

    code = 1304


class OutcomeUnknown(MountridgeError):
    """It is not known whether the request was run; ask again later."""

    code = 1302
    status = 502
    outcome = UNKNOWN


class NoController(MountridgeError):
    """No controller answered in time."""

    code = 1400
    status = 503


class NotLeader(NoController):
    """This controller does not lead; the message names who may."""

    code = 1401


class RefusedChange(MountridgeError):
    """The controllers refuse this change of membership."""

    code = 1402
    status = 409


class ConflictingPut(MountridgeError):
    """Another put took the table past the base version."""

    code = 1403
    status = 409


class HallChanged(MountridgeError):
    """Another order for this hall came first; nothing was changed."""

    code = 1404
    status = 503


class BadSheet(MountridgeError):
    """The sheet has errors; nothing of it was taken."""

    code = 1500
    status = 400


class BadRoutes(MountridgeError):
    """The routes document has errors; nothing of it was taken."""

    code = 1502
    status = 400


class BadSettings(MountridgeError):
    """The settings have errors; the process does not start."""

    code = 1501


class NoRealClock(MountridgeError):
    """No clock of this system counts the time of a suspension."""

    code = 1503


class BadMessage(MountridgeError):
    """A message between processes is malformed or of another version."""

    code = 1600


class StorageFailed(MountridgeError):
    """A write or sync of the data folder failed; the process ends."""

    code = 1700


class DiskFull(StorageFailed):
    """The disk has no room: nothing was written, and it is tried again."""

    code = 1702


class DamagedStorage(StorageFailed):
    """The data folder is damaged before its tail."""

    code = 1701


def _walk(kind: type) -> typing.Iterator[type]:
    yield kind
    for child in kind.__subclasses__():
        yield from _walk(child)


def by_code(code: int) -> type[MountridgeError]:
    """Return the error class with this code, or the root class."""
    for kind in _walk(MountridgeError):
        if kind.code == code:
            return kind
    return MountridgeError
