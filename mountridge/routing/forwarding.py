# SPDX-License-Identifier: Apache-2.0

"""A routed request's way: filters, a runner, its answer, the next try.

A try ends in one of three ways, and never in fewer: the request ran, it
certainly did not run, or that is not known. Only what did not run, or may
run more than once, is tried again; a refusal that says "not run" is given
only where no try could have run.
"""

import math
import random
import typing

import trio

from mountridge import application, errors, utils
from mountridge.documents import instances, routes
from mountridge.logs import logger
from mountridge.net import dialects, httpserver, lasthop
from mountridge.routing import backends, budgets, crashwatch, picking
from mountridge.routing import quarantine, routedanswers, routedexchanges
from mountridge.routing import routefilters, warmup

__all__ = ['Exchange', 'Forwarder']

Exchange = routedexchanges.Exchange
_told, _ms = routedexchanges.told, routedexchanges.ms

#: Past its time a request is ended this much later, so that an answer that
#: is just coming is still given; operators allow 500 ms.
LATE_S = 0.05
#: How long a request may wait in a process that has just started and knows
#: no routes yet. After a loss of all power an election and a first lease
#: took 0.4 to 0.9 s from the start, in played days. A caller that has come
#: back once will not do so again, so this serves it where a refusal would not.
ROUTES_WAIT_S = 1.5
#: Tries of one request that may meet another runner than the one meant and
#: so ran nowhere; more than that and the known runners are worth nothing.
MOST_MISDIRECTED = 3
#: Least time left in which another try makes sense.
LEAST_LEFT_S = 0.05
#: When refused callers come back, spread to 1.5 times. Many callers come
#: back once only, so the time is when the cause is likely over: a group
#: that has lost a rank forms anew within 1 to 3 s, a process that has just
#: started knows routes and runners within 2 s, a full runner has a slot
#: within the second or so that an answer takes. A process that is about to
#: end leaves all others, at once, and so does one where all runners that can
#: turn cold have other owners. When operators put a hall back can't be told;
#: by then all gateways obey what they have ordered until now.
COME_BACK_S: dict[type[errors.MountridgeError], float] = {
    errors.Draining: 0.1,
    errors.NoRoutes: 1.8,
    errors.NoRunner: 1.8,
    errors.RunnerRefused: 1.2,
    errors.RunnerReplaced: 1.8,
    errors.GroupClosed: 1.8,
    errors.RunnersCold: 0.1,
    errors.HallsOut: 5.0,
}
#: For causes that are not listed.
COME_BACK_ELSE_S = 1.0

#: A runner says by this status that it is not the one that was meant.
MISDIRECTED = 421
#: What does not count against a runner's health.
NOT_ITS_FAULT = (
    errors.DeadlinePassed,
    errors.RunnerRefused,
    errors.RunnerReplaced,
    errors.RunnerSlow,
    errors.RunnersResting,
)


class Forwarder:
    """Takes requests through the filters and to runners."""

    def __init__(
        self,
        app: application.Application,
        dialect: dialects.Dialect,
        index: typing.Callable[[], routes.Index | None],
        known: backends.Backends,
        gateways: typing.Callable[[], int],
    ):
        self.app = app
        self.dialect = dialect
        self.known = known
        #: Whether this process is about to end and takes no more requests.
        self.closed = False
        #: Set once there are routes at all.
        self.routes_known = trio.Event()
        self.rng = random.Random(app.incarnation)
        self.pool = lasthop.Pool(dialect.headers, app.now_s)
        self._index = index
        self._gateways = gateways
        bounds = app.settings['bounds']
        self.budget = budgets.RetryBudget(
            bounds['retry_ratio'],
            bounds['retry_slack'],
            bounds['retry_window_s'],
        )
        self.picker = picking.Picker(app, index, known, gateways, self.rng)
        #: Until when each open request may take.
        self._open_until_s: dict[trio.CancelScope, float] = {}
        self.quarantine = quarantine.Quarantine(app.settings['digest_key'])
        self.crashes = crashwatch.CrashWatch(
            app, self.quarantine, known.backoffs, self.picker.has_ranks
        )
        self.filters = routefilters.chain(index, dialect.headers, self.rng)
        self.filters.append(routefilters.hold_back(self.quarantine))

    async def handle(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Answer one request, or cut the connection off."""
        exchange = Exchange(request, responder, self.app.now_s())
        try:
            await self._run(exchange)
            self._log(exchange, 'answered')
        except errors.MountridgeError as problem:
            await self._give_up(exchange, problem)
        except trio.Cancelled:
            self._log(exchange, 'caller left')
            raise

    async def _give_up(
        self, exchange: Exchange, problem: errors.MountridgeError
    ) -> None:
        if exchange.may_have_run and problem.outcome == errors.NOT_RUN:
            # True of the last try, not of all.
            problem = errors.OutcomeUnknown(str(problem))
        self.app.metrics.incr(f'refused.{problem.code}')
        self._log(exchange, 'failed', problem)
        if exchange.responder.started:
            # The caller sees a cut: no end of the answer is sent.
            return
        if problem.status in (429, 503) and problem.retry_after_s is None:
            base_s = COME_BACK_S.get(type(problem), COME_BACK_ELSE_S)
            problem.retry_after_s = utils.spread(base_s, self.rng)
        await httpserver.refuse(exchange.responder, problem)

    def _log(
        self,
        exchange: Exchange,
        outcome: str,
        problem: errors.MountridgeError | None = None,
    ) -> None:
        now_s = self.app.now_s()
        call, route = exchange.call, exchange.route
        first_s = exchange.first_data_s
        self.app.metrics.timing('request', now_s - exchange.begun_s)
        if first_s is not None:
            self.app.metrics.timing('first_data', first_s - exchange.begun_s)
        logger.info(
            'request',
            request=call.request_id if call else '',
            path=call.path if call else '',
            route=route.name if route else '',
            table=exchange.table_version,
            service=exchange.service,
            team=exchange.team.name if exchange.team else '',
            outcome=outcome,
            code=problem.code if problem else 0,
            reason=str(problem) if problem else '',
            status=exchange.status or (problem.status if problem else 0),
            **_told(exchange.picked, now_s),
            prompt_tokens=call.prompt_tokens if call else 0,
            output_tokens=call.output_tokens if call else 0,
            tries=exchange.tries,
            events=exchange.events_sent,
            longest_gap_ms=_ms(exchange.longest_gap_s),
            first_ms=_ms(first_s and first_s - exchange.begun_s),
            took_ms=_ms(now_s - exchange.begun_s),
        )

    # Tries.

    async def _run(self, exchange: Exchange) -> None:
        if self.closed:
            raise errors.Draining()
        if self._index() is None:
            with trio.move_on_after(ROUTES_WAIT_S):
                await self.routes_known.wait()
        for each in self.filters:
            each(exchange, self.app.now_s())
        self.budget.record_first(exchange.service, self.app.now_s())
        # trio's own clock has another origin than the application's.
        until_s = exchange.until_s + LATE_S
        with trio.move_on_after(until_s - self.app.now_s()) as scope:
            self._open_until_s[scope] = until_s
            try:
                await self._try_runners(exchange)
            finally:
                del self._open_until_s[scope]
        if scope.cancelled_caught:
            raise self._out_of_time(exchange)

    def end_late(self, now_s: float) -> None:
        """End requests whose time is over; timers stop in a suspension."""
        for scope, until_s in self._open_until_s.items():
            if until_s <= now_s:
                scope.cancel()

    def _out_of_time(self, exchange: Exchange) -> errors.MountridgeError:
        if exchange.may_have_run or exchange.is_under_way:
            return errors.TimedOut()
        return errors.DeadlinePassed()

    async def _try_runners(self, exchange: Exchange) -> None:
        while True:
            picked = await self.picker.pick(exchange)
            if not self.crashes.may_try_again(exchange, self.app.now_s()):
                # It was proved to crash runners while it waited for one.
                raise errors.OutcomeUnknown('its runner crashed')
            try:
                await self._try(exchange, picked)
                return
            except errors.MountridgeError as problem:
                self._note_failure(exchange, picked, problem)
                await self.crashes.look(
                    exchange, picked.backend.instance, problem, self.pool
                )
                if self._may_go_on(exchange, problem):
                    continue
                if exchange.failure is None or exchange.responder.started:
                    raise
                await routedanswers.send_whole(
                    exchange, exchange.failure, self.app.now_s()
                )
                return

    def _note_failure(
        self,
        exchange: Exchange,
        picked: backends.Picked,
        problem: errors.MountridgeError,
    ) -> None:
        now_s = self.app.now_s()
        exchange.is_under_way = False
        if problem.outcome != errors.NOT_RUN:
            exchange.may_have_run = True
        if not isinstance(problem, NOT_ITS_FAULT):
            picked.backend.record_failure(now_s)
        logger.info(
            'try failed',
            request=exchange.call.request_id,
            code=problem.code,
            outcome=problem.outcome,
            reason=str(problem),
            **_told(picked, now_s),
            took_ms=_ms(now_s - exchange.begun_s),
        )

    def _may_go_on(
        self, exchange: Exchange, problem: errors.MountridgeError
    ) -> bool:
        """Return whether another runner may be tried, and count it."""
        if exchange.next_allowed:
            exchange.next_allowed = False
            return True
        route = exchange.route
        if isinstance(problem, errors.RunnerReplaced):
            exchange.misdirected += 1
        is_unsent = isinstance(problem, errors.RunnersResting)
        exchange.unsent += is_unsent
        spared = min(exchange.misdirected, MOST_MISDIRECTED) + exchange.unsent
        if exchange.tries - spared >= route.most_attempts:
            return False
        now_s = self.app.now_s()
        if exchange.until_s - now_s < LEAST_LEFT_S:
            return False
        if is_unsent:
            return True
        if not self.crashes.may_try_again(exchange, now_s):
            return False
        if problem.outcome != errors.NOT_RUN and not route.repeatable:
            return False
        if exchange.events_sent and not route.resumable:
            return False
        return self.budget.try_acquire(
            exchange.service, self._gateways(), now_s
        )

    async def _try(self, exchange: Exchange, picked: backends.Picked) -> None:
        """Send the request to one runner and give its answer.

        :raises MountridgeError: the try failed; what was given to the
            caller stays given.
        """
        backend = picked.backend
        request = exchange.request
        exchange.tries += 1
        exchange.events_at_try = exchange.events_sent
        exchange.is_under_way = True
        exchange.tried.add(backend.instance.instance_id)
        send = self.known.request_started(backend, self.app.now_s())
        is_trial = self.known.backoffs.begin_request(backend.instance)
        try:
            async with self.pool.request(
                backend.instance.address,
                request.method,
                request.target,
                self._runner_headers(exchange, backend),
                request.body,
                exchange.call.request_id,
                lambda: self._leaves(backend, send, exchange.until_s),
            ) as reply:
                if reply.head.status == MISDIRECTED:
                    send.discard()
                await self._give_reply(exchange, backend, reply)
        finally:
            if not send.is_sent:
                send.discard()
            if is_trial:
                self.known.backoffs.end_probe(backend.instance)
            backend.request_ended()

    def _leaves(
        self,
        backend: backends.Backend,
        send: warmup.SendRecord,
        until_s: float,
    ) -> None:
        """Note that a request leaves now, if its runner still wants it.

        It was placed before it waited for a connection. What the runner has
        told since holds for it too.

        :raises RunnersResting: it wants none now; nothing is sent.
        :raises DeadlinePassed: its time is over; nothing is sent.
        """
        now_s = self.app.now_s()
        if now_s >= until_s:
            raise errors.DeadlinePassed()
        if not self.known.backoffs.may_send(backend.instance, now_s):
            self.app.metrics.incr('rest.held_back')
            raise errors.RunnersResting('the runner wants none, since placed')
        send.mark_sent(now_s)

    def _runner_headers(
        self, exchange: Exchange, backend: backends.Backend
    ) -> list[tuple[bytes, bytes]]:
        names = self.dialect.headers
        left_ms = max(1, int(_ms(exchange.until_s - self.app.now_s())))
        instance_id = backend.instance.instance_id.encode('latin-1')
        added = [
            (names.deadline_ms, b'%d' % left_ms),
            (names.expect_instance, instance_id),
        ]
        if exchange.team is not None:
            added.append((names.team, exchange.team.name.encode('latin-1')))
        if exchange.last_event_id is not None:
            last = b'%d' % exchange.last_event_id
            added.append((names.last_event_id, last))
        return dialects.runner_headers(exchange.request, names, added)

    # Answers.

    async def _give_reply(
        self,
        exchange: Exchange,
        backend: backends.Backend,
        reply: lasthop.Reply,
    ) -> None:
        head = reply.head
        now_s = self.app.now_s()
        if head.running is not None:
            backend.record_load(head.running, head.waiting, now_s)
        if head.status == MISDIRECTED:
            backend.replaced = True
            if self.picker.has_ranks(exchange.service):
                self.known.record_refusal(backend, now_s)
            raise errors.RunnerReplaced(f'it answered {head.status}')
        self._hear(exchange, backend.instance, head)
        if head.not_run:
            # One that asks for rest speaks for itself, not for its group.
            is_own_word = head.rest_s is not None
            if self.picker.has_ranks(exchange.service) and not is_own_word:
                self.known.record_refusal(backend, now_s)
            raise errors.RunnerRefused(f'the runner answered {head.status}')
        exchange.may_have_run = True
        self.known.record_acceptance(backend, now_s)
        await routedanswers.give(
            exchange,
            reply,
            self.app.now_s,
            lambda: self._leave_slow(exchange, backend),
        )
        backend.record_success()
        self.crashes.ended_well(exchange)

    def _hear(
        self,
        exchange: Exchange,
        runner: instances.Instance,
        head: dialects.ReplyHead,
    ) -> None:
        """Take what a runner asks for the time to come, beside its answer.

        Its registration and its load tell nothing of it: without this a
        runner that turns all away is the least loaded of all.
        """
        now_s = self.app.now_s()
        told = {
            'request': exchange.call.request_id,
            'runner': runner.instance_id,
        }
        if head.rest_s is not None:
            over_s = self.known.backoffs.back_off(runner, head.rest_s, now_s)
            self.app.metrics.incr('rest.asked')
            if math.isnan(head.rest_s):
                self.app.metrics.incr('runner.malformed.rest')
            rest_ms = _ms(over_s - now_s)
            logger.info('runner asks for rest', **told, rest_ms=rest_ms)
        if head.is_leaving and self.known.backoffs.mark_leaving(runner):
            self.app.metrics.incr('runner.says_leaving')
            state = runner.state
            logger.info('runner says that it leaves', **told, held_state=state)

    def _leave_slow(
        self, exchange: Exchange, backend: backends.Backend
    ) -> None:
        """Let a stream go on elsewhere where its runner has become slow.

        In a group all ranks wait for the slowest, which is fast again as
        soon as it has nothing to do.

        :raises RunnerSlow: another runner may go on with it.
        """
        if backend.slowdown < backends.MIGRATE_SLOWDOWN:
            return
        others = self.known.of_service(exchange.service)
        if all(other.slowdown >= backends.AVOID_SLOWDOWN for other in others):
            return
        problem = errors.RunnerSlow(
            f'at {backend.slowdown:.1f} times its time'
        )
        if self._may_go_on(exchange, problem):
            exchange.next_allowed = True
            raise problem
