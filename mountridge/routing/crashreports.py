# SPDX-License-Identifier: Apache-2.0

"""Crash reports to the leader, and operators' calls on the quarantine."""

import typing

import trio

from mountridge import application, errors, messages
from mountridge.documents import quarantines
from mountridge.logs import logger
from mountridge.routing import quarantine

__all__ = ['CrashReporter']

#: The leader counts the crashes of all gateways, so a request whose runner has
#: crashed waits for the leader's answer before a retry: a call and a commit.
#: Past this time, only the gateway's own count is used.
CRASH_REPORT_TIMEOUT_S = 0.2
#: Timeout of all other calls to the leader: longer than an election.
CALL_TIMEOUT_S = 3.0

#: Calls the leader with a message and a timeout in seconds.
Call = typing.Callable[[typing.Any, float], typing.Awaitable[typing.Any]]


class CrashReporter:
    """Reports crashes and successes to the leader, at intervals."""

    def __init__(
        self,
        app: application.Application,
        records: quarantine.Quarantine,
        call: Call,
    ):
        self._app = app
        self._quarantine = records
        self._call = call
        #: Set when there may be crashes or successes to report.
        self._wake = trio.Event()

    async def run(self) -> None:
        """Report in a loop; wait while there is nothing to report."""
        while True:
            report = self._quarantine.make_report(self._app.now_s())
            if report is None:
                self._wake = trio.Event()
                await self._wake.wait()
                continue
            await self._report(report)
            self._wake = trio.Event()
            with trio.move_on_after(quarantine.REPORT_INTERVAL_S):
                await self._wake.wait()

    async def _report(self, report: messages.CrashReport) -> None:
        try:
            await self._call(report, CALL_TIMEOUT_S)
        except errors.MountridgeError as problem:
            self._app.metrics.incr('quarantine.unreported')
            logger.debug('could not report crashes', reason=str(problem))
            return
        self._quarantine.acknowledge(report)

    def wake(self) -> None:
        """Wake the reporting loop."""
        self._wake.set()

    async def report_now(self) -> None:
        """Report a crash, and wait a short time for the leader's answer."""
        self._wake.set()
        report = self._quarantine.make_report(self._app.now_s())
        if report is not None:
            with trio.move_on_after(CRASH_REPORT_TIMEOUT_S):
                await self._report(report)

    def update(self, listed: list[quarantines.QuarantinedRequest]) -> None:
        """Apply the list of requests that are or were quarantined."""
        self._quarantine.update(listed)
        if listed:
            self._wake.set()

    async def read(self) -> list[quarantines.QuarantinedRequest]:
        """Return the requests that are or were quarantined.

        :raises NoController: no leader answered in time.
        """
        reply = await self._call(messages.ReadQuarantine(), CALL_TIMEOUT_S)
        return reply.requests

    async def release(
        self, digest: bytes
    ) -> list[quarantines.QuarantinedRequest]:
        """Release a request; return the remaining quarantine entries.

        :raises NoController: the release may have been applied, or not.
        :raises NotHeldBack: there is no such entry.
        """
        reply = await self._call(messages.Release(digest), CALL_TIMEOUT_S)
        logger.info('request released from quarantine', digest=digest.hex())
        return reply.requests
