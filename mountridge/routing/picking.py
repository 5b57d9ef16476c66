# SPDX-License-Identifier: Apache-2.0

"""Selects the runner for a routed request, and waits for one if needed.

A request waits only where a runner may become available soon: where none is
known, where the groups of all are closed or all back off, where a probe
request checks whether the runners of an old view still exist, where several
runners have refused it by outdated loads, and where this gateway has used up
its quotas of runners that can be cold. What can't be served in time is refused
at once, as where all halls are out of service.
"""

import collections
import random
import typing

import trio

from mountridge import application, errors, utils
from mountridge.documents import routes
from mountridge.routing import admissionreturns, backends, groupstates
from mountridge.routing import routedexchanges
from mountridge.routing import sendgates, waitqueues, warmup

__all__ = ['Picker']

Exchange = routedexchanges.Exchange

#: How long a request waits for a runner where none is known: about as long as
#: new runners need to register after a loss of all power. A refused caller may
#: retry only once, and later than that.
RUNNER_WAIT_S = 1.2
#: Most of its remaining time that a request waits for any runner.
WAIT_FRACTION = 0.4
#: How long after its start a request still waits for a closed group or for its
#: quota. With up to 0.5 s to a first event, within the 2 s after which callers
#: abandon a stream without events.
GROUP_WAIT_S = 1.5
#: Between two checks whether a group is open: a refusal by one of its ranks
#: closes it for 0.3 s only.
GROUP_CHECK_INTERVAL_S = 0.1
#: A request that so many runners have refused waits for newer reports of
#: loads before its next attempt: many gateways have selected by the same
#: outdated ones, and its attempts would be used up before the next report.
QUICK_REFUSALS = 2
#: Longer than the interval of reports under load; before jitter of up to 1.5
#: times.
REPORT_WAIT_S = 0.2
#: Where all runners back off, the Retry-After of callers is at least this:
#: after a backoff each runner first gets a probe request, whose answer others
#: wait for. A first event takes 0.1 to 0.5 s.
MIN_RETRY_AFTER_S = 0.5


class Picker:
    """Selects runners for the requests of one gateway."""

    def __init__(
        self,
        app: application.Application,
        index: typing.Callable[[], routes.Index | None],
        backends: backends.Backends,
        gateways: typing.Callable[[], int],
        rng: random.Random,
    ):
        self.backends = backends
        self._app = app
        self._index = index
        self._gateways = gateways
        self._rng = rng
        #: Requests that wait for a runner that can be cold, by service.
        self._queues: dict[str, waitqueues.WaitQueue] = (
            collections.defaultdict(waitqueues.WaitQueue)
        )
        self._returns = admissionreturns.Returns()
        #: Since when all known runners of a service are owned by others.
        self._unowned_since_s: dict[str, float] = {}

    async def pick(self, exchange: Exchange) -> backends.Picked:
        """Return a runner, once one is available.

        :raises NoRunner: there is none, or none registers in time.
        :raises RunnersCold: no quota for a runner becomes free in time.
        :raises RunnersLimited: the limits that runners name are used up.
        :raises RunnersResting: all runners back off for too long.
        :raises GroupClosed: the groups of all runners stay closed.
        :raises HallsOut: the halls of all runners are out of service.
        """
        if self.backends.is_limiting(exchange.service, self._app.now_s()):
            picked = await self._pick_limited(exchange)
        else:
            picked = await self._pick_unlimited(exchange)
        if picked is None and self._is_probing(exchange):
            # The probe had no outcome in time; an attempt may still succeed.
            picked = self._pick_any(exchange, self._app.now_s())
        if picked is None:
            raise self._no_runner_error(exchange)
        exchange.picked = picked
        return picked

    def admit(self, exchange: Exchange) -> None:
        """Check that there is room for a request that has not been sent.

        :raises Overloaded: there is none.
        """
        admission = self.backends.admission
        if not admission.is_on(exchange.service):
            return
        head = exchange.request_head
        exchange.is_returned = self._returns.is_returned(
            exchange.route.name, head.deadline_ms
        )
        if exchange.last_event_id is not None:
            # It has run in part; a refusal would lose that part.
            return
        now_s = self._app.now_s()
        admission.admit(
            self.request_class(exchange),
            exchange.deadline_s - now_s,
            self._gateways(),
            self._rng,
            now_s,
        )

    async def _pick_unlimited(
        self, exchange: Exchange
    ) -> backends.Picked | None:
        now_s = self._app.now_s()
        wait_s = max(0.0, self._max_wait_s(exchange, now_s))
        until_s = now_s + wait_s
        if exchange.refusals >= QUICK_REFUSALS:
            report_s = utils.with_jitter(REPORT_WAIT_S, self._rng)
            await trio.sleep(min(wait_s, report_s))
        picked = self._pick_unless_probing(exchange, self._app.now_s())
        with trio.move_on_after(wait_s):
            while picked is None and self._is_worth_waiting(exchange, until_s):
                with trio.move_on_after(GROUP_CHECK_INTERVAL_S):
                    await self.backends.changed.wait()
                picked = self._pick_unless_probing(exchange, self._app.now_s())
        return picked

    # Runners that can be cold.

    async def _pick_limited(
        self, exchange: Exchange
    ) -> backends.Picked | None:
        """Return a runner with quota left; None if there is none in time.

        A retry has waited before and can't use all runners, so it joins no
        queue and gets the first runner with quota left.

        :raises RunnersCold: it could be sent only too late.
        :raises RunnersLimited: the same, by the limits that runners name.
        """
        now_s = self._app.now_s()
        queue = self._queues[exchange.service]
        picked = None
        if exchange.attempted or not len(queue):
            picked = self._pick_unless_probing(exchange, now_s)
        if picked is not None:
            self._unowned_since_s.pop(exchange.service, None)
            return picked
        is_cold = self.backends.warmup.is_limited(exchange.service)
        self._app.metrics.incr('cold.waited' if is_cold else 'limit.waited')
        if exchange.attempted:
            # `GROUP_WAIT_S` limits the time to a first event; a stream that
            # is resumed has sent some, and may wait a whole window.
            left_s = exchange.deadline_s - now_s
            until_s = now_s + min(warmup.WINDOW_S, WAIT_FRACTION * left_s)
            return await self._wait_for_quota(exchange, None, until_s)
        waiter = queue.join(self.priority(exchange))
        until_s = now_s + max(0.0, self._max_wait_s(exchange, now_s))
        try:
            return await self._wait_for_quota(exchange, waiter, until_s)
        finally:
            queue.leave(waiter)

    async def _wait_for_quota(
        self,
        exchange: Exchange,
        waiter: waitqueues.Waiter | None,
        until_s: float,
    ) -> backends.Picked | None:
        queue = self._queues[exchange.service]
        while True:
            now_s = self._app.now_s()
            ahead = queue.count_ahead(waiter) if waiter else 0
            send_s = self.backends.earliest_send_s(
                exchange.service, exchange.attempted, ahead, now_s
            )
            if send_s != sendgates.NEVER and send_s > until_s:
                raise self._cold_error(exchange, ahead, send_s - now_s)
            limited_s = self._limited_until_s(exchange, ahead)
            if limited_s is not None and limited_s > until_s:
                raise self._limited_error(exchange, ahead)
            if now_s >= until_s:
                return None
            if ahead:
                # Woken where its position may have changed.
                waiter.moved = trio.Event()
                with trio.move_on_after(until_s - now_s):
                    await waiter.moved.wait()
                continue
            picked = self._pick_unless_probing(exchange, now_s)
            if picked is not None:
                return picked
            next_free_s = self._next_free_s(exchange, now_s)
            if next_free_s == sendgates.NEVER:
                if not self._may_own(exchange, now_s, until_s):
                    return None
            next_s = (
                min(until_s, next_free_s) if next_free_s > now_s else until_s
            )
            wait_s = min(GROUP_CHECK_INTERVAL_S, next_s - now_s)
            with trio.move_on_after(wait_s):
                await self.backends.changed.wait()

    def _may_own(
        self, exchange: Exchange, now_s: float, until_s: float
    ) -> bool:
        """Return whether this gateway may soon own a runner with quota left.

        After a start few runners are known, and others may own them all; if
        that lasts, no request needs to wait.
        """
        service = exchange.service
        if not self._runners(exchange) or self.backends.owns_any(
            service, now_s
        ):
            self._unowned_since_s.pop(service, None)
            return self._is_worth_waiting(exchange, until_s)
        since_s = self._unowned_since_s.setdefault(service, now_s)
        return now_s - since_s < groupstates.MAX_CLOSED_WAIT_S

    def _next_free_s(self, exchange: Exchange, now_s: float) -> float:
        return self.backends.next_free_s(
            self.request_class(exchange), exchange.attempted, now_s
        )

    def _cold_error(
        self, exchange: Exchange, ahead: int, send_in_s: float
    ) -> errors.RunnersCold:
        return errors.RunnersCold(
            f'{ahead} requests ahead, could be sent in {send_in_s:.1f} s',
            retry_after_s=utils.with_jitter(send_in_s, self._rng),
        )

    # Runners that name a limit.

    def _limited_until_s(
        self, exchange: Exchange, ahead: int = 0
    ) -> float | None:
        """Return when it can be sent, if all runners for it name limits."""
        return self.backends.limited_until_s(
            self.request_class(exchange),
            exchange.attempted,
            ahead,
            self._app.now_s(),
        )

    def _limited_error(
        self, exchange: Exchange, ahead: int = 0
    ) -> errors.RunnersLimited:
        retry_in_s = self.backends.limited_retry_in_s(
            self.request_class(exchange),
            exchange.attempted,
            ahead,
            self._app.now_s(),
        )
        return errors.RunnersLimited(
            f'all runners name limits, {ahead} requests ahead, could be sent'
            f' in {retry_in_s:.1f} s',
            retry_after_s=utils.with_jitter(
                max(MIN_RETRY_AFTER_S, retry_in_s), self._rng
            ),
        )

    # State of the runners.

    def _max_wait_s(self, exchange: Exchange, now_s: float) -> float:
        """Return how long a request may wait for a runner from now on."""
        wait_s = RUNNER_WAIT_S
        if self._runners(exchange):
            wait_s = exchange.started_s + GROUP_WAIT_S - now_s
        return min(wait_s, WAIT_FRACTION * (exchange.deadline_s - now_s))

    def _is_worth_waiting(self, exchange: Exchange, until_s: float) -> bool:
        """Return whether a runner may register or a group open soon.

        Runners that back off are waited for where the first of them may get
        requests again by ``until_s``.
        """
        if self.backends.all_halls_out(exchange.service):
            return False
        if not self._runners(exchange) or self._is_probing(exchange):
            return True
        end_s = self._backoff_end_s(exchange)
        if end_s is not None and end_s <= until_s:
            return True
        limited_s = self._limited_until_s(exchange)
        if limited_s is not None and limited_s <= until_s:
            return True
        closed_for_s = self._closed_for_s(exchange)
        return (
            closed_for_s is not None
            and closed_for_s < groupstates.MAX_CLOSED_WAIT_S
        )

    def _closed_for_s(self, exchange: Exchange) -> float | None:
        """Return for how long all groups are closed, None if one is open.

        None also for plain services, whose runners are in no group.
        """
        if not self.has_ranks(exchange.service):
            return None
        now_s = self._app.now_s()
        return self.backends.closed_for_s(exchange.service, now_s)

    def _no_runner_error(self, exchange: Exchange) -> errors.MountridgeError:
        if self.backends.all_halls_out(exchange.service):
            out = ', '.join(sorted(self.backends.halls_out))
            return errors.HallsOut(f'halls out of service: {out}')
        closed_for_s = self._closed_for_s(exchange)
        if closed_for_s is not None:
            return errors.GroupClosed(
                f'all groups closed for {closed_for_s:.1f} s'
            )
        end_s = self._backoff_end_s(exchange)
        limited_s = self._limited_until_s(exchange)
        if limited_s is not None and (end_s is None or limited_s < end_s):
            return self._limited_error(exchange)
        if end_s is not None:
            return self._backoff_error(end_s - self._app.now_s())
        service = exchange.service
        is_limiting = self.backends.is_limiting(service, self._app.now_s())
        if is_limiting and not self.backends.owns_any(
            service, self._app.now_s()
        ):
            if self._runners(exchange):
                return errors.RunnersCold(
                    'all runners are owned by other gateways'
                )
        return errors.NoRunner(f'no runner of {exchange.service} is available')

    def _backoff_end_s(self, exchange: Exchange) -> float | None:
        """Return when the first runner that backs off may get the request."""
        return self.backends.earliest_backoff_end_s(
            self.request_class(exchange),
            exchange.attempted,
            self._app.now_s(),
        )

    def _backoff_error(self, left_s: float) -> errors.RunnersResting:
        return errors.RunnersResting(
            f'all runners back off, the first for {left_s:.1f} s more',
            retry_after_s=utils.with_jitter(
                max(MIN_RETRY_AFTER_S, left_s), self._rng
            ),
        )

    def _runners(self, exchange: Exchange) -> list[backends.Backend]:
        return self.backends.of_service(exchange.service)

    def _is_probing(self, exchange: Exchange) -> bool:
        """Return whether another request is probing the ranks."""
        service = exchange.service
        return self.has_ranks(service) and self.backends.is_probing(service)

    def _pick_unless_probing(
        self, exchange: Exchange, now_s: float
    ) -> backends.Picked | None:
        if self._is_probing(exchange):
            return None
        return self._pick_any(exchange, now_s)

    def _pick_any(
        self, exchange: Exchange, now_s: float
    ) -> backends.Picked | None:
        return self.backends.pick(
            self.request_class(exchange),
            self._app.settings['hall'],
            exchange.attempted,
            self._gateways(),
            self._rng,
            now_s,
        )

    def request_class(self, exchange: Exchange) -> sendgates.RequestClass:
        """Return the properties of a request by which gates decide."""
        route, head = exchange.route, exchange.request_head
        return sendgates.RequestClass(
            exchange.service,
            self.priority(exchange),
            route.target_ms / 1000,
            route.gap_ms / 1000,
            exchange.team.name if exchange.team else '',
            head.prompt_tokens if head else 0,
            head.output_tokens if head else 0,
            self._was_refused(exchange),
            exchange.is_returned,
        )

    def priority(self, exchange: Exchange) -> int:
        """Return the priority of a request, 0 first."""
        return self._index().priority(
            exchange.service, exchange.route, exchange.team
        )

    def _was_refused(self, exchange: Exchange) -> bool:
        """Return whether a rank has refused this request or failed."""
        return bool(exchange.attempted) and self.has_ranks(exchange.service)

    def has_ranks(self, service_name: str) -> bool:
        """Return whether a service's runners form expert-parallel groups."""
        service = self._index().services.get(service_name)
        return bool(service and service.engine and service.engine.experts)
