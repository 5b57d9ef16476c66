# SPDX-License-Identifier: Apache-2.0

"""Forwarding of routed requests: filters, runner selection, retries.

An attempt has one of three outcomes: the request ran, it certainly did not
run, or the outcome is unknown. Only requests that did not run, or that are
repeatable, are retried. A "not run" error is returned only where no attempt
can have run.
"""

import random
import typing

import trio

from mountridge import application, errors, utils
from mountridge.documents import routes
from mountridge.logs import logger
from mountridge.net import dialects, httpserver, lasthop
from mountridge.routing import backends, budgets, crashwatch, partrecords
from mountridge.routing import picking, quarantine, routedanswers
from mountridge.routing import routedexchanges, routefilters, sendgates
from mountridge.routing import viewguards

__all__ = ['Exchange', 'Forwarder']

Exchange = routedexchanges.Exchange
_runner_fields, _to_ms = routedexchanges.runner_fields, routedexchanges.to_ms

#: A request is cancelled this long after its deadline, so that an answer that
#: is arriving already is still returned. Operators allow 500 ms.
DEADLINE_GRACE_S = 0.05
#: How long an answer waits for the check that its runner has not crashed:
#: some round trips to a runner in another hall.
CONFIRM_S = 0.1
#: How long a request may wait in a process that has just started and has no
#: routes yet: longer than an election and a first lease, which take up to
#: 0.9 s after a loss of all power, since many callers retry only once.
ROUTES_WAIT_S = 1.5
#: Misdirected attempts of one request that do not count as attempts; with
#: more, the registrations are assumed to be outdated.
MAX_UNCOUNTED_MISDIRECTED = 3
#: No retry is made with less time than this until the deadline.
MIN_RETRY_TIME_S = 0.05
#: Retry-After of refused requests, before jitter of up to 1.5 times. Many
#: callers retry only once, so each is the time by which the cause is likely
#: over: a group that has lost a rank forms again in 1 to 3 s, a process that
#: has just started has routes and runners within 2 s, a full runner has a free
#: slot within about 1 s. Where another gateway can serve the request at once
#: (this one is draining or was not run, or others own the runners that may
#: become cold) it is short. The return of a drained hall can't be predicted;
#: after 5 s all gateways have applied the orders that were given until now.
RETRY_AFTER_S: dict[type[errors.MountridgeError], float] = {
    errors.Draining: 0.1,
    errors.NoLease: 0.1,
    errors.NoRoutes: 1.8,
    errors.NoRunner: 1.8,
    errors.RunnerRefused: 1.2,
    errors.RunnerReplaced: 1.8,
    errors.GroupClosed: 1.8,
    errors.RunnersCold: 0.1,
    errors.HallsOut: 5.0,
}
#: For errors that are not listed.
DEFAULT_RETRY_AFTER_S = 1.0

#: Least urgent value of the priority header of runners.
MAX_PRIORITY = 9
#: Status of a runner that is not the expected instance.
MISDIRECTED = 421
#: Errors that do not count as failures of the runner.
NOT_RUNNER_FAILURES = (
    errors.DeadlinePassed,
    errors.NoLease,
    errors.RequestHeldBack,
    errors.RunnerRefused,
    errors.RunnerReplaced,
    errors.RunnerSlow,
    errors.RunnersResting,
)


#: Errors that are raised before anything is sent to the selected runner.
NOT_SENT = (errors.NoLease, errors.RunnersResting)


class Forwarder:
    """Applies the filters to requests and forwards them to runners."""

    def __init__(
        self,
        app: application.Application,
        dialect: dialects.Dialect,
        index: typing.Callable[[], routes.Index | None],
        backends: backends.Backends,
        gateway_count: typing.Callable[[], int],
        budget: budgets.RetryBudget,
        view: viewguards.ViewGuard | None = None,
    ):
        self.app = app
        self.dialect = dialect
        self.backends = backends
        #: Whether this process is shutting down and refuses new requests.
        self.closed = False
        #: Set when the first routes have been loaded.
        self.routes_known = trio.Event()
        self.rng = random.Random(app.incarnation)
        self.pool = lasthop.Pool(
            dialect.headers, app.now_s, are_answers_named=True
        )
        self.held_answers = routedanswers.HeldAnswers()
        self._index = index
        self.budget = budget
        self.view = view or viewguards.unguarded(app.now_s)
        self.picker = picking.Picker(
            app, index, backends, gateway_count, self.rng
        )
        #: Times at which open requests are cancelled.
        self._cancel_at_s: dict[trio.CancelScope, float] = {}
        digest_key = app.settings['digest_key']
        self.quarantine = quarantine.Quarantine(digest_key)
        self.crashes = crashwatch.CrashWatch(
            app,
            self.quarantine,
            partrecords.PartRecords(digest_key),
            backends.backoffs,
            self.picker.has_ranks,
            backends.newest,
        )
        self.filters = routefilters.chain(index, dialect.headers, self.rng)
        self.filters.append(routefilters.refuse_quarantined(self.quarantine))

    async def handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Answer one request, or close the connection before its end."""
        exchange = Exchange(request, responder, self.app.now_s())
        try:
            await self._run(exchange)
            self._log_request(exchange, 'answered')
        except errors.MountridgeError as problem:
            await self._answer_error(exchange, problem)
        except trio.Cancelled:
            self._log_request(exchange, 'caller left')
            self.crashes.check_abandoned(exchange, self.pool)
            raise
        finally:
            if exchange.retry is not None:
                exchange.retry.release()
            self.crashes.end(exchange)

    async def _answer_error(
        self, exchange: Exchange, problem: errors.MountridgeError
    ) -> None:
        if exchange.may_have_run and problem.outcome == errors.NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            problem = errors.OutcomeUnknown(str(problem))
        self.app.metrics.incr(f'refused.{problem.code}')
        self._log_request(exchange, 'failed', problem)
        if exchange.responder.started:
            # No end of the answer is sent, so the caller sees it truncated.
            return
        if problem.status in (429, 503) and problem.retry_after_s is None:
            base_s = RETRY_AFTER_S.get(type(problem), DEFAULT_RETRY_AFTER_S)
            problem.retry_after_s = utils.with_jitter(base_s, self.rng)
        await httpserver.send_error(exchange.responder, problem)

    def _log_request(
        self,
        exchange: Exchange,
        outcome: str,
        problem: errors.MountridgeError | None = None,
    ) -> None:
        now_s = self.app.now_s()
        head, route = exchange.request_head, exchange.route
        first_s = exchange.first_data_s
        self.app.metrics.timing('request', now_s - exchange.started_s)
        if first_s is not None:
            self.app.metrics.timing('first_data', first_s - exchange.started_s)
        logger.info(
            'request',
            request=head.request_id if head else '',
            path=head.path if head else '',
            route=route.name if route else '',
            table=exchange.table_version,
            service=exchange.service,
            team=exchange.team.name if exchange.team else '',
            outcome=outcome,
            code=problem.code if problem else 0,
            reason=str(problem) if problem else '',
            status=exchange.status or (problem.status if problem else 0),
            **_runner_fields(exchange.picked, now_s),
            **routedexchanges.view_fields(exchange),
            prompt_tokens=head.prompt_tokens if head else 0,
            output_tokens=head.output_tokens if head else 0,
            tries=exchange.attempts,
            events=exchange.events_sent,
            framing=exchange.framing,
            partial_event_bytes=exchange.partial_event_bytes,
            longest_gap_ms=_to_ms(exchange.longest_gap_s),
            first_ms=_to_ms(first_s and first_s - exchange.started_s),
            took_ms=_to_ms(now_s - exchange.started_s),
        )

    # Attempts.

    async def _run(self, exchange: Exchange) -> None:
        if self.closed:
            raise errors.Draining()
        if self._index() is None:
            with trio.move_on_after(ROUTES_WAIT_S):
                await self.routes_known.wait()
        await self._apply_filters(exchange)
        await self.crashes.admit(exchange)
        self.budget.record_first(exchange.service, self.app.now_s())
        # trio's clock and the application's have different origins.
        until_s = exchange.deadline_s + DEADLINE_GRACE_S
        with trio.move_on_after(until_s - self.app.now_s()) as scope:
            self._cancel_at_s[scope] = until_s
            try:
                await self._run_attempts(exchange)
            finally:
                del self._cancel_at_s[scope]
        if scope.cancelled_caught:
            raise self._timeout_error(exchange)

    async def _apply_filters(self, exchange: Exchange) -> None:
        """Route a request by a view that is not from before a pause.

        :raises NoLease: there is none.
        """
        exchange.pauses = await self.view.wait()
        for apply_filter in self.filters:
            apply_filter(exchange, self.app.now_s())
        exchange.routed_view_age_s = self.view.age_s()

    async def _follow_view(self, exchange: Exchange) -> None:
        """Route a request again that was routed before a pause.

        One that has been sent keeps its route; its next runner is selected
        by the view after the pause.

        :raises NoLease: there is no such view.
        """
        if exchange.pauses == self.view.pauses():
            return
        if exchange.is_sent:
            exchange.pauses = await self.view.wait()
        else:
            await self._apply_filters(exchange)

    def cancel_overdue(self, now_s: float) -> None:
        """Cancel overdue requests; timers stop while a box is suspended."""
        for scope, until_s in self._cancel_at_s.items():
            if until_s <= now_s:
                scope.cancel()

    def _timeout_error(self, exchange: Exchange) -> errors.MountridgeError:
        if exchange.may_have_run or exchange.is_in_flight:
            return errors.TimedOut()
        return errors.DeadlinePassed()

    async def _run_attempts(self, exchange: Exchange) -> None:
        self.picker.admit(exchange)
        while True:
            await self._follow_view(exchange)
            picked = await self.picker.pick(exchange)
            if not self.crashes.may_retry(exchange, self.app.now_s()):
                # It was quarantined while it waited for a runner.
                raise errors.OutcomeUnknown('its runner crashed')
            try:
                await self._attempt(exchange, picked)
                return
            except errors.MountridgeError as problem:
                self._record_failure(exchange, picked, problem)
                await self.crashes.check_attempt(
                    exchange, picked.backend.instance, problem, self.pool
                )
                if self._may_retry(exchange, problem):
                    continue
                if exchange.error_answer is None or exchange.responder.started:
                    raise
                await routedanswers.send_answer(
                    exchange, exchange.error_answer, self.app.now_s()
                )
                return

    def _record_failure(
        self,
        exchange: Exchange,
        picked: backends.Picked,
        problem: errors.MountridgeError,
    ) -> None:
        now_s = self.app.now_s()
        exchange.is_in_flight = False
        is_limited = isinstance(problem, errors.RunnersLimited)
        if is_limited and not exchange.unsent_attempts:
            # It was not sent, and can go to the same runner later, once.
            exchange.attempted.discard(picked.backend.instance.instance_id)
        if isinstance(problem, errors.NoLease):
            exchange.attempted.discard(picked.backend.instance.instance_id)
        if problem.outcome != errors.NOT_RUN:
            exchange.may_have_run = True
        if isinstance(problem, errors.RunnerRefused):
            exchange.refusals += 1
        if not isinstance(problem, NOT_RUNNER_FAILURES):
            picked.backend.record_failure(now_s)
        logger.info(
            'attempt failed',
            request=exchange.request_head.request_id,
            code=problem.code,
            outcome=problem.outcome,
            reason=str(problem),
            **_runner_fields(picked, now_s),
            framing=exchange.framing,
            partial_event_bytes=exchange.partial_event_bytes,
            took_ms=_to_ms(now_s - exchange.started_s),
        )

    def _may_retry(
        self, exchange: Exchange, problem: errors.MountridgeError
    ) -> bool:
        """Return whether to retry on another runner, and count the retry."""
        if exchange.retry_granted:
            exchange.retry_granted = False
            return True
        route = exchange.route
        if isinstance(problem, errors.RunnerReplaced):
            exchange.misdirected_attempts += 1
        is_unsent = isinstance(problem, NOT_SENT)
        exchange.unsent_attempts += is_unsent
        uncounted = (
            min(exchange.misdirected_attempts, MAX_UNCOUNTED_MISDIRECTED)
            + exchange.unsent_attempts
        )
        if exchange.attempts - uncounted >= route.most_attempts:
            return False
        now_s = self.app.now_s()
        if exchange.deadline_s - now_s < MIN_RETRY_TIME_S:
            return False
        if isinstance(problem, errors.RequestHeldBack):
            return False
        if is_unsent:
            return True
        if not self.crashes.may_retry(exchange, now_s):
            return False
        if problem.outcome != errors.NOT_RUN and not route.repeatable:
            return False
        if not self._may_go_on(exchange):
            return False
        return self._acquire_retry(exchange, now_s)

    def _may_go_on(self, exchange: Exchange) -> bool:
        """Return whether another run may follow what was sent so far."""
        if exchange.is_body_begun:
            return False
        if not exchange.events_sent:
            return True
        return exchange.route.resumable and exchange.is_numbered

    def _acquire_retry(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether the budget allows a retry, and count it.

        The budget counts sends after a request's first one, so it is not
        asked where nothing has been sent since it last allowed one.
        """
        if not exchange.is_sent or exchange.retry is not None:
            return True
        exchange.retry = self.budget.try_acquire(exchange.service, now_s)
        is_allowed = exchange.retry is not None
        self.app.metrics.incr(
            'retry.allowed' if is_allowed else 'retry.refused'
        )
        return is_allowed

    async def _attempt(
        self, exchange: Exchange, picked: backends.Picked
    ) -> None:
        """Send the request to one runner and forward its answer.

        :raises MountridgeError: the attempt failed; a part of the answer
            may have been sent to the caller.
        """
        backend = picked.backend
        request = exchange.request
        exchange.attempts += 1
        exchange.events_before = exchange.events_sent
        exchange.attempt_data_s = None
        exchange.framing, exchange.partial_event_bytes = '', 0
        exchange.is_in_flight = True
        exchange.attempted.add(backend.instance.instance_id)
        sends = self.backends.request_started(
            backend, self.picker.request_class(exchange), self.app.now_s()
        )
        try:
            async with self.pool.request(
                backend.instance.address,
                request.method,
                request.target,
                self._runner_headers(exchange, backend),
                request.body,
                exchange.request_head.request_id,
                lambda: self._before_send(exchange, sends),
            ) as reply:
                if reply.head.status == MISDIRECTED:
                    sends.discard()
                await self._forward_reply(exchange, backend, reply, sends)
        finally:
            sends.end(self.app.now_s())
            backend.request_ended()

    def _before_send(self, exchange: Exchange, sends: sendgates.Sends) -> None:
        """Check that a request may still be sent, and record that it is.

        The runner was selected before the connection was made, and may have
        requested a backoff or reported that it is leaving since then.

        :raises NoLease: the process was not run since the selection;
            nothing is sent.
        :raises RunnersResting: a gate holds it back now; nothing is sent.
        :raises DeadlinePassed: the deadline has passed; nothing is sent.
        :raises RequestHeldBack: a part of its prompt has been quarantined
            meanwhile; nothing is sent.
        """
        now_s = self.app.now_s()
        if now_s >= exchange.deadline_s:
            raise errors.DeadlinePassed()
        if exchange.pauses != self.view.pauses():
            raise errors.NoLease('not run since its runner was selected')
        self.crashes.check_parts(exchange)
        sends.check(now_s)
        exchange.sent_view_age_s = self.view.age_s()
        sends.mark_sent(now_s)
        exchange.is_sent = True
        if exchange.retry is not None:
            exchange.retry.mark_sent(now_s)
            self._log_retry(exchange, exchange.retry, now_s)
            exchange.retry = None

    def _log_retry(
        self, exchange: Exchange, retry: budgets.Retry, now_s: float
    ) -> None:
        """Log a retry that is sent, with the state of its budget."""
        usage = self.budget.usage(exchange.service, now_s)
        logger.info(
            'retry sent',
            request=exchange.request_head.request_id,
            service=exchange.service,
            retries=usage.retries,
            tokens=round(usage.tokens, 2),
            slack_share=round(usage.slack_share, 4),
            process_age_s=round(now_s - self.budget.started_s, 1),
            waited_ms=_to_ms(now_s - retry.allowed_s),
        )

    def _runner_headers(
        self, exchange: Exchange, backend: backends.Backend
    ) -> list[tuple[bytes, bytes]]:
        names = self.dialect.headers
        left_ms = max(1, int(_to_ms(exchange.deadline_s - self.app.now_s())))
        instance_id = backend.instance.instance_id.encode('latin-1')
        added = [
            (names.deadline_ms, b'%d' % left_ms),
            (names.expect_instance, instance_id),
        ]
        if exchange.team is not None:
            added.append((names.team, exchange.team.name.encode('latin-1')))
        if exchange.service in self._index().ranked:
            # One digit; the runner lets the lowest in first.
            level = min(self.picker.priority(exchange), MAX_PRIORITY)
            added.append((names.priority, b'%d' % level))
        if exchange.last_event_id is not None:
            last = b'%d' % exchange.last_event_id
            added.append((names.last_event_id, last))
        return dialects.runner_headers(exchange.request, names, added)

    # Answers.

    async def _forward_reply(
        self,
        exchange: Exchange,
        backend: backends.Backend,
        reply: lasthop.Reply,
        sends: sendgates.Sends,
    ) -> None:
        head = reply.head
        now_s = self.app.now_s()
        if head.running is not None:
            backend.record_load(head.running, head.waiting, now_s)
        if head.status == MISDIRECTED:
            backend.replaced = True
            announced = self.backends.record_misdirected(head, now_s)
            self._log_announced(exchange, head.instance_id, announced)
            if self.picker.has_ranks(exchange.service):
                self.backends.record_refusal(backend, now_s)
            raise errors.RunnerReplaced(f'the runner answered {head.status}')
        announced = sends.record_reply(head, now_s)
        self._log_announced(exchange, backend.instance.instance_id, announced)
        if head.not_run:
            # A backoff concerns this runner alone, not its group.
            is_backoff = head.backoff_s is not None
            if self.picker.has_ranks(exchange.service) and not is_backoff:
                self.backends.record_refusal(backend, now_s)
            raise errors.RunnerRefused(f'the runner answered {head.status}')
        exchange.may_have_run = True
        self.backends.record_acceptance(backend, now_s)
        await routedanswers.forward(
            exchange,
            reply,
            self.app.now_s,
            lambda: self._after_events(exchange, backend),
            lambda: self._confirm_end(exchange, reply, backend),
            self.held_answers,
        )
        backend.record_success()
        self.crashes.record_success(exchange)

    async def _confirm_end(
        self,
        exchange: Exchange,
        reply: lasthop.Reply,
        backend: backends.Backend,
    ) -> None:
        """Check that an answer did not end because its runner crashed.

        An answer that ends with its connection looks the same in both cases.
        Where the check takes too long, the answer is delivered.

        :raises BadAnswer: the process of the runner has ended.
        """
        if reply.framing != lasthop.CLOSE:
            return
        left_s = exchange.deadline_s - self.app.now_s()
        timeout_s = max(0.0, min(CONFIRM_S, left_s))
        if await self.pool.refuses_connections(
            backend.instance.address, timeout_s, lasthop.END_OF_ANSWER
        ):
            raise errors.BadAnswer(
                "the runner's process ended with its answer"
            )

    def _log_announced(
        self,
        exchange: Exchange,
        runner_id: str | None,
        announced: list[sendgates.Announcement],
    ) -> None:
        """Log what an answer announces: a backoff, a limit, a departure."""
        for each in announced:
            logger.info(
                each.text,
                request=exchange.request_head.request_id,
                runner=runner_id,
                **each.fields,
            )

    def _after_events(
        self, exchange: Exchange, backend: backends.Backend
    ) -> None:
        """Record the pass that has made an event, and check its runner.

        :raises RunnerSlow: another runner may resume the stream.
        """
        gap_s = exchange.newest_gap_s
        if gap_s is not None:
            now_s = self.app.now_s()
            self.backends.admission.record_gap(backend, gap_s, now_s)
        self._migrate_if_slow(exchange, backend)

    def _migrate_if_slow(
        self, exchange: Exchange, backend: backends.Backend
    ) -> None:
        """Move a stream to another runner where its runner has become slow.

        In a group all ranks wait for the slowest one, which recovers as soon
        as it has no requests.

        :raises RunnerSlow: another runner may resume the stream.
        """
        if backend.slowdown < backends.MIGRATE_SLOWDOWN:
            return
        others = self.backends.of_service(exchange.service)
        if all(other.slowdown >= backends.AVOID_SLOWDOWN for other in others):
            return
        problem = errors.RunnerSlow(
            f'at {backend.slowdown:.1f} times its usual step time'
        )
        if self._may_retry(exchange, problem):
            exchange.retry_granted = True
            raise problem
