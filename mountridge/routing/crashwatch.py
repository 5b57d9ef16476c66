# SPDX-License-Identifier: Apache-2.0

"""Detection of runner crashes, and retries of requests that may cause them.

A broken connection alone does not show a crash. The address of a runner whose
process has ended refuses the next connection at once; a runner that reset one
connection accepts the next, and a box that is partitioned or suspended does
not answer.
"""

import typing

import trio

from mountridge import application, errors
from mountridge.documents import instances, routes
from mountridge.logs import logger
from mountridge.net import lasthop
from mountridge.routing import backoffs, partgates, partrecords, quarantine
from mountridge.routing import routedexchanges
from mountridge.routing import routefilters

__all__ = ['CrashWatch']

Exchange = routedexchanges.Exchange

#: Errors of an attempt whose runner may have crashed.
CONNECTION_ERRORS = (errors.BadAnswer, errors.OutcomeUnknown)


#: An answer that has gone on for so many events, and for so long, has begun
#: well: its request did not crash the runner.
BEGUN_EVENTS, BEGUN_S = 3, 0.5
#: After a caller has left, its runner is checked for a crash this much later.
ABANDONED_CHECK_S = 0.25


async def _no_report() -> None:
    """Report crashes to no leader."""


class CrashWatch:
    """Detects crashes, and keeps suspects from crashing more runners."""

    def __init__(
        self,
        app: application.Application,
        records: quarantine.Quarantine,
        parts: partrecords.PartRecords,
        backoffs: backoffs.Backoffs,
        has_ranks: typing.Callable[[str], bool],
        newest: typing.Callable[[instances.Instance], instances.Instance],
    ):
        self._app = app
        self._quarantine = records
        self.parts = parts
        self.part_gate = partgates.PartGate(app, parts)
        self._backoffs = backoffs
        self._has_ranks = has_ranks
        #: Returns the newest registration of a runner.
        self._newest = newest
        #: Called when a suspect or quarantined request has succeeded.
        self.on_success: typing.Callable[[], None] = lambda: None
        #: Called when a runner has crashed while it ran a request.
        self.on_crash: typing.Callable[[], typing.Awaitable[None]] = _no_report

    async def check_attempt(
        self,
        exchange: Exchange,
        runner: instances.Instance,
        problem: errors.MountridgeError,
        pool: lasthop.Pool,
    ) -> None:
        """Mark a request as suspect if its runner has crashed."""
        if not isinstance(problem, CONNECTION_ERRORS):
            return
        if not await self.has_crashed(runner, pool):
            return
        await self._record_crash(exchange, runner)

    def check_abandoned(self, exchange: Exchange, pool: lasthop.Pool) -> None:
        """Check later whether a request whose caller left crashes its runner.

        Not where all parts of its prompt have lately been answered.
        """
        if not exchange.is_in_flight:
            return
        now_s = self._app.now_s()
        parts = self._parts_of(exchange)
        if not parts.digests or self.parts.is_proven(parts, now_s):
            return
        if _may_have_crashed(exchange, now_s):
            runner = exchange.picked.backend.instance
            self._app.start_task(self._check_later, exchange, runner, pool)

    async def _check_later(
        self,
        exchange: Exchange,
        runner: instances.Instance,
        pool: lasthop.Pool,
    ) -> None:
        await trio.sleep(ABANDONED_CHECK_S)
        if await self.has_crashed(runner, pool):
            await self._record_crash(exchange, runner)

    async def _record_crash(
        self, exchange: Exchange, runner: instances.Instance
    ) -> None:
        now_s = self._app.now_s()
        # It may have started again, and registered, after it was selected.
        runner = self._newest(runner)
        digest = routefilters.request_digest(self._quarantine, exchange)
        self._quarantine.record_crash(digest, runner, now_s)
        parts = self._parts_of(exchange)
        exchange.is_suspect = _may_have_crashed(exchange, now_s)
        if exchange.is_suspect:
            incarnation = quarantine.incarnation(runner)
            self.parts.record_crash(parts, digest, incarnation, now_s)
            self.parts.drop_probe(exchange.probe)
        self._app.metrics.incr('quarantine.crashes')
        answer_ms = 0.0
        if exchange.attempt_data_s is not None:
            answer_ms = routedexchanges.to_ms(now_s - exchange.attempt_data_s)
        logger.info(
            'runner crashed',
            request=exchange.request_head.request_id,
            runner=runner.instance_id,
            digest=digest.hex(),
            is_held=self._quarantine.is_quarantined(digest, now_s),
            parts=[part.hex() for part in parts.digests],
            is_suspect=exchange.is_suspect,
            answer_events=exchange.events_sent - exchange.events_before,
            answer_ms=answer_ms,
        )
        await self.on_crash()

    def _parts_of(self, exchange: Exchange) -> partrecords.Parts:
        """Return the shared parts of a request's prompt, computed once."""
        if exchange.parts is None:
            head = exchange.request_head
            team = exchange.team.name if exchange.team else ''
            exchange.parts = partrecords.Parts()
            if head.shared_parts:
                exchange.parts = self.parts.parts(
                    exchange.service, head.shared_parts, team
                )
        return exchange.parts

    # Quarantined parts.

    async def admit(self, exchange: Exchange) -> None:
        """Check that no part of a request's prompt is quarantined.

        :raises RequestHeldBack: one is, and the request may not probe it.
        """
        exchange.probe = await self.part_gate.admit(
            self._parts_of(exchange), exchange.request_head.request_id
        )

    def check_parts(self, exchange: Exchange) -> None:
        """Check again that no part is quarantined, right before a send.

        :raises RequestHeldBack: one is.
        """
        self.part_gate.check(self._parts_of(exchange), exchange.probe)

    def end(self, exchange: Exchange) -> None:
        """Record that a request has ended, in whatever way."""
        self.part_gate.end(exchange.probe)

    async def has_crashed(
        self,
        runner: instances.Instance,
        pool: lasthop.Pool,
        timeout_s: float | None = None,
    ) -> bool:
        """Return whether the process of a runner has ended unexpectedly.

        False if that is not known within ``timeout_s``.
        """
        if self.is_stopping(runner):
            return False
        return await pool.refuses_connections(runner.address, timeout_s)

    def is_stopping(self, runner: instances.Instance) -> bool:
        """Return whether the end of a runner's process is expected."""
        is_ready = runner.state == instances.READY
        return not is_ready or self._backoffs.is_leaving(runner)

    def record_success(self, exchange: Exchange) -> None:
        """Record that a request has succeeded, which clears it everywhere."""
        digest = routefilters.request_digest(self._quarantine, exchange)
        now_s = self._app.now_s()
        is_wanted = self._quarantine.record_success(digest, now_s)
        parts = self._parts_of(exchange)
        if parts.digests and _has_run_well(exchange):
            is_wanted |= self.parts.record_success(parts, now_s)
        if is_wanted:
            self.on_success()

    def may_retry(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether a request may be sent to another runner.

        A crashed rank stops its whole group, so a suspect is not retried on
        one while any request is quarantined, unless all parts of its prompt
        have lately been answered. While none is, crashes mostly have other
        causes. A stream that has returned events for a while is no suspect,
        and is resumed on another runner.
        """
        if exchange.is_suspect and exchange.probe:
            return False
        if self._quarantine.is_quarantined(exchange.digest, now_s):
            return False
        if not exchange.is_suspect:
            return True
        if self.parts.is_proven(self._parts_of(exchange), now_s):
            return True
        is_rank = self._has_ranks(exchange.service)
        return not (is_rank and self._quarantine.is_any_quarantined())


def _has_run_well(exchange: Exchange) -> bool:
    """Return whether a complete answer shows that its parts are harmless.

    An error, and a stream without an event, may come before the prompt is
    used.
    """
    if not 200 <= exchange.status < 300:
        return False
    is_stream = exchange.route.kind == routes.STREAMING
    return not is_stream or exchange.events_sent > exchange.events_before


def _may_have_crashed(exchange: Exchange, now_s: float) -> bool:
    """Return whether a request may have crashed the runner that ran it.

    It does so as it begins to answer, so not with a long answer.
    """
    if exchange.events_sent - exchange.events_before < BEGUN_EVENTS:
        return True
    began_s = exchange.attempt_data_s
    return began_s is not None and now_s - began_s < BEGUN_S
