# SPDX-License-Identifier: Apache-2.0

"""Crash reports to the leader, and operators' calls on the quarantine."""

import typing

import trio

from mountridge import application, errors, messages
from mountridge.documents import promptparts, quarantines
from mountridge.logs import logger
from mountridge.routing import partrecords, quarantine

__all__ = ['CrashReporter']

#: The leader counts the crashes of all gateways, so a request whose runner has
#: crashed waits for the leader's answer before a retry: a call and a commit.
#: Past this time, only the gateway's own count is used.
CRASH_REPORT_TIMEOUT_S = 0.2
#: A request with a quarantined part waits this long for the grant of a probe.
PROBE_TIMEOUT_S = 0.3
#: Interval after which a report that failed is repeated.
REPEAT_S = 0.3
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
        parts: partrecords.PartRecords,
        call: Call,
    ):
        self._app = app
        self._quarantine = records
        self._parts = parts
        self._call = call
        #: Set when there may be crashes or successes to report.
        self._wake = trio.Event()
        self._reporting = trio.Lock()
        #: Crashes up to this time have been reported.
        self._reported_s = float('-inf')

    async def run(self) -> None:
        """Report in a loop; wait while there is nothing to report."""
        while True:
            self._wake = trio.Event()
            is_done = await self._report_all()
            if is_done is None:
                await self._wake.wait()
                continue
            interval_s = quarantine.REPORT_INTERVAL_S if is_done else REPEAT_S
            with trio.move_on_after(interval_s):
                await self._wake.wait()

    async def _report_all(self) -> bool | None:
        """Report what there is; None if there is nothing.

        Returns whether the leader has acknowledged all of it.
        """
        now_s = self._app.now_s()
        crashes = self._quarantine.make_report(now_s)
        parts = self._parts.make_report(now_s)
        reports = [report for report in (crashes, parts) if report]
        if not reports:
            return None
        acknowledged: list[typing.Any] = []

        async def send(report: typing.Any) -> None:
            if await self._report(report):
                acknowledged.append(report)

        async with trio.open_nursery() as nursery:
            for report in reports:
                nursery.start_soon(send, report)
        if crashes in acknowledged:
            self._quarantine.acknowledge(crashes)
        if parts in acknowledged:
            self._parts.acknowledge(parts, now_s)
        if len(acknowledged) < len(reports):
            return False
        self._reported_s = max(self._reported_s, now_s)
        return True

    async def _report(self, report: typing.Any) -> bool:
        try:
            await self._call(report, CALL_TIMEOUT_S)
        except errors.MountridgeError as problem:
            self._app.metrics.incr('quarantine.unreported')
            logger.debug('could not report crashes', reason=str(problem))
            return False
        return True

    def wake(self) -> None:
        """Wake the reporting loop."""
        self._wake.set()

    async def report_now(self) -> None:
        """Report a crash, and wait a short time for the leader's answer.

        Requests that crash together share a report.
        """
        self._wake.set()
        crashed_s = self._app.now_s()
        with trio.move_on_after(CRASH_REPORT_TIMEOUT_S):
            async with self._reporting:
                if self._reported_s < crashed_s:
                    await self._report_all()

    async def take_probe(self, keys: tuple[bytes, ...]) -> bool:
        """Return whether the leader lets a request probe parts."""
        order = messages.TakeProbe(list(keys))
        try:
            reply = await self._call(order, PROBE_TIMEOUT_S)
        except errors.MountridgeError as problem:
            logger.debug('no answer about a probe', reason=str(problem))
            return False
        return reply.is_granted

    def update(self, listed: list[quarantines.QuarantinedRequest]) -> None:
        """Apply the list of requests and parts that are quarantined."""
        parts = [each for each in listed if promptparts.is_part(each.digest)]
        self._quarantine.update(
            [each for each in listed if not promptparts.is_part(each.digest)]
        )
        self._parts.update(parts, self._app.now_s())
        if self._quarantine.has_unreported() or self._parts.has_unreported():
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
