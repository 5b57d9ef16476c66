# SPDX-License-Identifier: Apache-2.0

"""Detection of runner crashes, and retries of requests that may cause them.

A broken connection alone does not show a crash. The address of a runner whose
process has ended refuses the next connection at once; a runner that reset one
connection accepts the next, and a box that is partitioned or suspended does
not answer.
"""

import typing

from mountridge import application, errors
from mountridge.documents import instances
from mountridge.logs import logger
from mountridge.net import lasthop
from mountridge.routing import backoffs, quarantine, routedexchanges
from mountridge.routing import routefilters

__all__ = ['CrashWatch']

Exchange = routedexchanges.Exchange

#: Errors of an attempt whose runner may have crashed.
CONNECTION_ERRORS = (errors.BadAnswer, errors.OutcomeUnknown)


async def _no_report() -> None:
    """Report crashes to no leader."""


class CrashWatch:
    """Detects crashes, and keeps suspects from crashing more runners."""

    def __init__(
        self,
        app: application.Application,
        records: quarantine.Quarantine,
        backoffs: backoffs.Backoffs,
        has_ranks: typing.Callable[[str], bool],
    ):
        self._app = app
        self._quarantine = records
        self._backoffs = backoffs
        self._has_ranks = has_ranks
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
        now_s = self._app.now_s()
        digest = routefilters.request_digest(self._quarantine, exchange)
        self._quarantine.record_crash(digest, runner, now_s)
        # A request that crashes its runner does so before its first event.
        parts = routefilters.part_digests(self._quarantine, exchange)
        began_s = exchange.attempt_data_s
        answer_s = None if began_s is None else now_s - began_s
        exchange.is_suspect = exchange.events_sent == exchange.events_before
        self._app.metrics.incr('quarantine.crashes')
        logger.info(
            'runner crashed',
            request=exchange.request_head.request_id,
            runner=runner.instance_id,
            digest=digest.hex(),
            is_held=self._quarantine.is_quarantined(digest, now_s),
            parts=[part.hex() for part in parts],
            answer_events=exchange.events_sent - exchange.events_before,
            answer_ms=routedexchanges.to_ms(answer_s),
        )
        await self.on_crash()

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
        if self._quarantine.record_success(digest, self._app.now_s()):
            self.on_success()

    def may_retry(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether a request may be sent to another runner.

        A crashed rank stops its whole group, so a suspect is not retried on
        one while any request is quarantined. While none is, crashes mostly
        have other causes. A stream that has returned events is no suspect,
        and is resumed on another runner.
        """
        if self._quarantine.is_quarantined(exchange.digest, now_s):
            return False
        if not exchange.is_suspect:
            return True
        is_rank = self._has_ranks(exchange.service)
        return not (is_rank and self._quarantine.is_any_quarantined())
