# SPDX-License-Identifier: Apache-2.0

"""Whether a runner has crashed under a request, and what then becomes of it.

A connection that breaks shows no crash: the address of a runner that is gone
refuses the next one at once, one that was reset takes it, and a box that is
cut off or stands still is silent.
"""

import typing

from mountridge import application, errors
from mountridge.documents import instances
from mountridge.logs import logger
from mountridge.net import lasthop
from mountridge.routing import quarantine, rests, routedexchanges
from mountridge.routing import routefilters

__all__ = ['CrashWatch']

Exchange = routedexchanges.Exchange

#: How a try ends whose runner may have crashed.
BROKEN = (errors.BadAnswer, errors.OutcomeUnknown)


async def _nothing() -> None:
    """Wait for nobody: no leader is told of crashes."""


class CrashWatch:
    """Finds crashes out, and keeps suspects from crashing more runners."""

    def __init__(
        self,
        app: application.Application,
        known: quarantine.Quarantine,
        words: rests.Rests,
        has_ranks: typing.Callable[[str], bool],
    ):
        self._app = app
        self._quarantine = known
        self._rests = words
        self._has_ranks = has_ranks
        #: Called when a suspect has ended well.
        self.on_good: typing.Callable[[], None] = lambda: None
        #: Called when a runner has crashed under a request.
        self.on_crash: typing.Callable[[], typing.Awaitable[None]] = _nothing

    async def look(
        self,
        exchange: Exchange,
        runner: instances.Instance,
        problem: errors.MountridgeError,
        pool: lasthop.Pool,
    ) -> None:
        """Make a request suspect if its runner has crashed under it."""
        if not isinstance(problem, BROKEN):
            return
        if runner.state != instances.READY:
            return  # a planned end
        if self._rests.is_leaving(runner):
            return
        if not await pool.is_refused(runner.address):
            return
        now_s = self._app.now_s()
        digest = routefilters.request_digest(self._quarantine, exchange)
        self._quarantine.record_crash(digest, runner, now_s)
        # What crashes its runners does so as they begin to run it.
        exchange.is_suspect = exchange.events_sent == exchange.events_before
        self._app.metrics.incr('quarantine.crashes')
        logger.info(
            'runner crashed',
            request=exchange.call.request_id,
            runner=runner.instance_id,
            digest=digest.hex(),
            is_held=self._quarantine.is_quarantined(digest, now_s),
        )
        await self.on_crash()

    def ended_well(self, exchange: Exchange) -> None:
        """Note that a request has ended well; that clears it everywhere."""
        digest = routefilters.request_digest(self._quarantine, exchange)
        if self._quarantine.record_success(digest, self._app.now_s()):
            self.on_good()

    def may_try_again(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether a request whose runner crashed may meet another.

        A rank that crashes stops its whole group: where requests that crash
        runners are about, a suspect is then not worth a second try. Where
        none is known, most crashes have another cause. A stream that has
        shown events is no suspect, and goes on elsewhere.
        """
        if self._quarantine.is_quarantined(exchange.digest, now_s):
            return False
        if not exchange.is_suspect:
            return True
        is_rank = self._has_ranks(exchange.service)
        return not (is_rank and self._quarantine.is_any_quarantined())
