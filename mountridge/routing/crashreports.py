# SPDX-License-Identifier: Apache-2.0

"""What a gateway tells the leader of crashes, and what operators order."""

import typing

import trio

from mountridge import application, errors, messages
from mountridge.documents import quarantines
from mountridge.logs import logger
from mountridge.routing import quarantine

__all__ = ['CrashReports']

#: The leader counts crashes over all gateways, so a request whose runner has
#: crashed waits for its word before it may meet another one: a call and a
#: commit, some ms. Without a leader it goes on by the own count.
TELL_S = 0.2
#: How long the leader may take otherwise: longer than an election.
CALL_S = 3.0

#: Calls the leader with a message and a time to answer in.
Call = typing.Callable[[typing.Any, float], typing.Awaitable[typing.Any]]


class CrashReports:
    """Tells the leader what one gateway has seen, again and again."""

    def __init__(
        self,
        app: application.Application,
        known: quarantine.Quarantine,
        call: Call,
    ):
        self._app = app
        self._known = known
        self._call = call
        #: Set when there may be crashes or good ends to report.
        self._seen = trio.Event()

    async def run(self) -> None:
        """Report for ever; rest while there is nothing to report."""
        while True:
            report = self._known.report(self._app.now_s())
            if report is None:
                self._seen = trio.Event()
                await self._seen.wait()
                continue
            await self._report(report)
            self._seen = trio.Event()
            with trio.move_on_after(quarantine.REPORT_S):
                await self._seen.wait()

    async def _report(self, report: messages.CrashReport) -> None:
        try:
            await self._call(report, CALL_S)
        except errors.MountridgeError as problem:
            self._app.metrics.incr('quarantine.unreported')
            logger.debug('crashes unreported', reason=str(problem))
            return
        self._known.reported(report)

    def nudge(self) -> None:
        """Report soon: a suspect has ended well."""
        self._seen.set()

    async def tell(self) -> None:
        """Tell the leader of a crash, and wait a little for its word."""
        self._seen.set()
        report = self._known.report(self._app.now_s())
        if report is not None:
            with trio.move_on_after(TELL_S):
                await self._report(report)

    def follow(self, listed: list[quarantines.QuarantinedRequest]) -> None:
        """Follow the view: what is or was held back."""
        self._known.follow(listed)
        if listed:
            self._seen.set()

    async def read(self) -> list[quarantines.QuarantinedRequest]:
        """Return the requests that are or were held back.

        :raises NoController: it can't be told.
        """
        reply = await self._call(messages.ReadQuarantine(), CALL_S)
        return reply.requests

    async def release(
        self, digest: bytes
    ) -> list[quarantines.QuarantinedRequest]:
        """Hold a request back no more; return what else is held.

        :raises NoController: it may have been carried out, or not.
        :raises NotHeldBack: it is not known.
        """
        reply = await self._call(messages.Release(digest), CALL_S)
        logger.info('request release ordered', digest=digest.hex())
        return reply.requests
