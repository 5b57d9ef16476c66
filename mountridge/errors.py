# SPDX-License-Identifier: Apache-2.0

"""The exception hierarchy, with numbered error codes.

Each class defines a ``code``, the HTTP ``status`` of its response, and the
``outcome`` of the request: `NOT_RUN` only if it certainly did not run. The
first sentence of its doc comment is the default message. The table of codes
is ``docs/ERRORS.md``.
"""

import typing

__all__ = [
    'BadAnswer',
    'BodiesHeld',
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
    'InconsistentGroup',
    'LimitReached',
    'MountridgeError',
    'NoController',
    'NoLease',
    'NoRunner',
    'NotLeader',
    'OutcomeUnknown',
    'Overloaded',
    'RefusedChange',
    'RunnerFailed',
    'StaleHeartbeat',
    'StaleIncarnation',
    'StorageFailed',
    'TooLarge',
    'UnknownCommand',
    'UnknownKind',
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
    'RunnersLimited',
    'RunnersResting',
    'TimedOut',
    'by_code',
    'NOT_RUN',
    'RAN',
    'UNKNOWN',
]

#: The possible outcomes of a request. `UNKNOWN`: it may have run.
RAN = 'ran'
NOT_RUN = 'not run'
UNKNOWN = 'unknown'


class MountridgeError(Exception):
    """Base class of all errors.

    ``retry_after_s`` is the delay after which the caller may retry.
    """

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
    """A call that must not be repeated requires an Idempotency-Key."""

    code = 1104
    status = 400


class ClaimConflict(BadRequest):
    """The Idempotency-Key was already used for a different request."""

    code = 1105
    status = 409


class LimitReached(MountridgeError):
    """The team's limit in the table is reached."""

    code = 1200
    status = 429


class Busy(MountridgeError):
    """The request can't be started within its maximum time in the queue."""

    code = 1201
    status = 429


class NoRunner(MountridgeError):
    """No live runner serves this model."""

    code = 1202
    status = 503


class NoLease(MountridgeError):
    """This process holds no lease, so its table may be outdated."""

    code = 1203
    status = 503


class Draining(MountridgeError):
    """The endpoint is draining and accepts no new requests."""

    code = 1204
    status = 503


class StaleIncarnation(MountridgeError):
    """The message is for another incarnation, or outdated."""

    code = 1205
    status = 503


class DeadlinePassed(MountridgeError):
    """The deadline passed before the request was started."""

    code = 1206
    status = 504


class NoRoutes(MountridgeError):
    """This process has not received any routes yet."""

    code = 1207
    status = 503


class TooSlow(BadRequest):
    """The request was not received in time."""

    code = 1106
    status = 408


class HeadTooLarge(BadRequest):
    """The request headers are larger than the limits allow."""

    code = 1107
    status = 431


class NoRoute(BadRequest):
    """No route matches this host and path."""

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
    """The runner's report about itself is malformed and was ignored.

    ``cause`` is the name under which it is counted.
    """

    code = 1111

    def __init__(self, message: str = '', cause: str = 'other'):
        super().__init__(message)
        self.cause = cause


class UnknownService(BadRequest):
    """No route uses the service of this runner; it is not registered."""

    code = 1112
    status = 404


class StaleHeartbeat(BadRequest):
    """Another incarnation of the runner, or another runner, is newer."""

    code = 1113
    status = 409


class NotHeldBack(BadRequest):
    """No request with this digest is or was quarantined."""

    code = 1114
    status = 404


class RunnerReplaced(MountridgeError):
    """Another runner now has the address of the selected one."""

    code = 1209
    status = 503


class RunnerRefused(MountridgeError):
    """The runner reported that it did not run the request."""

    code = 1208
    status = 503


class GroupClosed(MountridgeError):
    """No group of the service accepts requests at present."""

    code = 1210
    status = 503


class HallsOut(MountridgeError):
    """All runners of the service are in halls that are out of service."""

    code = 1211
    status = 503


class RunnersCold(MountridgeError):
    """All runners are cold and already at their request rate limit."""

    code = 1212
    status = 503


class RunnersResting(MountridgeError):
    """All runners, or the selected one, requested a backoff."""

    code = 1213
    status = 503


class RunnersLimited(RunnersResting):
    """All runners, or the selected one, name a limit that is used up."""

    code = 1215
    status = 503


class RequestHeldBack(MountridgeError):
    """The request, or a part of its prompt, is quarantined.

    It has crashed several runners.
    """

    code = 1214
    status = 502


class Overloaded(MountridgeError):
    """No group has room for a request of this priority at present."""

    code = 1216
    status = 503


class BodiesHeld(MountridgeError):
    """Too many bytes of request bodies are held at present."""

    code = 1217
    status = 503


class TimedOut(MountridgeError):
    """The request timed out and may still be running."""

    code = 1303
    status = 504
    outcome = UNKNOWN


class RunnerFailed(MountridgeError):
    """The runner failed while running the request."""

    code = 1300
    status = 502
    outcome = RAN


class BadAnswer(RunnerFailed):
    """The runner's answer is incomplete or invalid."""

    code = 1301


class RunnerSlow(RunnerFailed):
    """The runner has become slow; the stream continues at another one."""

    code = 1304


class OutcomeUnknown(MountridgeError):
    """It is unknown whether the request ran; ask again later."""

    code = 1302
    status = 502
    outcome = UNKNOWN


class NoController(MountridgeError):
    """No controller replied in time."""

    code = 1400
    status = 503


class NotLeader(NoController):
    """This controller is not the leader; the reply names the leader."""

    code = 1401


class RefusedChange(MountridgeError):
    """The controllers refused this change of membership."""

    code = 1402
    status = 409


class ConflictingPut(MountridgeError):
    """The table has been changed since the base version."""

    code = 1403
    status = 409


class HallChanged(MountridgeError):
    """Another change of this hall came first; nothing was changed."""

    code = 1404
    status = 503


class InconsistentGroup(MountridgeError):
    """The reports of a group's ranks do not fit each other or the routes."""

    code = 1405
    status = 503


class BadSheet(MountridgeError):
    """The sheet has errors and was not applied."""

    code = 1500
    status = 400


class BadRoutes(MountridgeError):
    """The routes document has errors and was not applied."""

    code = 1502
    status = 400


class BadSettings(MountridgeError):
    """The settings have errors; the process does not start."""

    code = 1501


class NoRealClock(MountridgeError):
    """No clock of this system includes the time of suspensions."""

    code = 1503


class BadMessage(MountridgeError):
    """A message between processes is malformed or of another version."""

    code = 1600


class UnknownKind(BadMessage):
    """This build does not know the kind of the message.

    ``seq`` is the number of the call, 0 if it was none.
    """

    code = 1601
    seq = 0


class UnknownCommand(BadMessage):
    """This build cannot read a command of the log; it is not applied."""

    code = 1602


class StorageFailed(MountridgeError):
    """A write to the data folder or its sync failed; the process exits."""

    code = 1700


class DiskFull(StorageFailed):
    """The disk is full; nothing was written, and the write is retried."""

    code = 1702


class DamagedStorage(StorageFailed):
    """The data folder is damaged before its last record."""

    code = 1701


def _subclasses(base: type) -> typing.Iterator[type]:
    """Yield a class and all its direct and indirect subclasses."""
    yield base
    for child in base.__subclasses__():
        yield from _subclasses(child)


def by_code(code: int) -> type[MountridgeError]:
    """Return the error class with this code, or the base class."""
    for kind in _subclasses(MountridgeError):
        if kind.code == code:
            return kind
    return MountridgeError
