# SPDX-License-Identifier: Apache-2.0

"""The agent: queues requests for the runner on its box and forwards them."""

import math
import typing

import trio

from mountridge import application, errors, messages, signals
from mountridge.dispatch import decisions, links, outboxes, queues, tickets
from mountridge.dispatch import upstreams
from mountridge.logs import logger
from mountridge.net import backoffstates, dialects
from mountridge.state import leases, members, views

__all__ = ['Agent', 'build', 'run']

#: Time for which a drained agent still refuses tickets that were sent before
#: their gateway was notified; several times the latency of a ticket.
LINGER_S = 0.25
#: Maximum number of ended attempts whose answers can be sent again.
MAX_ENDED_ATTEMPTS = 1000
OUTCOME_RETRY_S = 0.5
#: Time after which a runner that announced that it is leaving is probed.
#: Runners behind agents have no id, so only a request shows whether it was
#: replaced. Several times the grace period of a planned stop,
#: `bounds.grace_s`.
LEAVING_BACKOFF_S = 30.0
#: Attempts that a crash of the runner breaks off end within this time of each
#: other; a runner takes longer to start again.
CRASH_SPAN_S = 1.0
#: Errors of an attempt whose runner may have crashed.
CONNECTION_ERRORS = (errors.BadAnswer, errors.OutcomeUnknown)


class Attempt:
    """One attempt at this agent: its ticket, its readers and its answer."""

    def __init__(self, ticket: messages.Ticket, route: bytes):
        self.ticket = ticket
        #: Receivers of the frames: route -> the attempt id used there.
        self.readers: dict[bytes, str] = {route: ticket.attempt_id}
        self.scope = trio.CancelScope()
        self.position = 0
        self.status = 0
        self.stored: list[bytes] = []
        self.stored_bytes = 0
        self.last: messages.Frame | None = None

    def store(self, data: bytes, limit_bytes: int) -> None:
        """Store a piece of a claimed answer, so that it can be sent again."""
        if self.ticket.claim_key and self.stored_bytes < limit_bytes:
            self.stored.append(data)
            self.stored_bytes += len(data)


class Agent:
    """State of an agent: its queue, its attempts and its outbox."""

    def __init__(
        self,
        app: application.Application,
        upstream: upstreams.Upstream | None = None,
    ):
        self.app = app
        self.settings = app.settings['agent']
        self.lease = leases.HeldLease()
        self.leader = members.LeaderClient(app, self._on_push)
        self.lease_renewer = members.LeaseRenewer(
            app, self.leader, self.lease, self.renewal
        )
        self.tickets = tickets.TicketLog(app.incarnation)
        self.queue = queues.Queue(
            self.settings['slots'], self.settings['reserved_slots']
        )
        self.log = decisions.DecisionLog(app.name, self.settings['decisions'])
        self.attempts: dict[str, Attempt] = {}
        self.ended: dict[str, Attempt] = {}
        self.outbox = outboxes.Outbox(app, self.load, self._drop_gateway)
        self.draining = False
        #: Number of the runner's last start that ended in a crash, and when.
        self._crashed_life, self._crashed_s = 0, float('-inf')
        self.backoff_state = backoffstates.BackoffState()
        self.upstream = upstream or upstreams.Upstream(self.settings['runner'])

    # Messages.

    def _on_push(self, message: typing.Any) -> None:
        if isinstance(message, messages.Changes):
            if self.lease.apply_changes(message):
                self.lease_renewer.wake()
                self._apply_view()

    def on_watch_load(
        self, peer, message: messages.WatchLoad
    ) -> messages.Load:
        """Return the load, and start sending load reports to the gateway."""
        return self.load(self.outbox.link(peer.route))

    def on_ticket(self, peer, ticket: messages.Ticket) -> None:
        """Accept or refuse a ticket; the answer comes as frames."""
        now_s = self.app.now_s()
        self.outbox.link(peer.route).count_ticket(ticket.seq, now_s)
        attempt = Attempt(ticket, peer.route)
        try:
            self._admit(ticket, now_s)
        except errors.MountridgeError as problem:
            self.app.metrics.incr(f'refused.{problem.code}')
            self._record_decision(ticket, 'refuse', str(problem), problem.code)
            self._fail(attempt, problem)
            return
        self.attempts[ticket.attempt_id] = attempt
        self._record_decision(ticket, 'accept', ticket.reason, 0)
        self._start_next()

    def _admit(self, ticket: messages.Ticket, now_s: float) -> None:
        if self.draining:
            raise errors.Draining()
        if not self.lease.is_valid(now_s):
            raise errors.NoLease()
        if not self.backoff_state.may_send(now_s):
            raise self._backoff_error(now_s)
        self.tickets.accept(ticket, now_s)
        wait_s = min(ticket.queue_s, ticket.deadline_s)
        try:
            self.queue.push(
                queues.QueuedRequest(
                    ticket.attempt_id,
                    ticket.team,
                    ticket.priority,
                    ticket.weight,
                    now_s + wait_s,
                ),
                now_s,
            )
        except errors.Busy:
            self.tickets.end(ticket.attempt_id, errors.NOT_RUN, now_s)
            raise

    def _backoff_error(self, now_s: float) -> errors.RunnersResting:
        left_s = self.backoff_state.until_s - now_s
        return errors.RunnersResting(
            f'the runner is backing off for another {left_s:.1f} s',
            retry_after_s=left_s,
        )

    def on_cancel(self, peer, message: messages.Cancel) -> None:
        """Stop an attempt whose caller disconnected, unless it is claimed."""
        attempt = self.attempts.get(message.attempt_id)
        if attempt is not None:
            self._remove_reader(attempt, peer.route)

    def _remove_reader(self, attempt: Attempt, route: bytes) -> None:
        """Remove a reader; stop an unclaimed attempt that has none left."""
        attempt.readers.pop(route, None)
        if attempt.readers or attempt.ticket.claim_key:
            return
        self.app.metrics.incr('cancelled')
        if self.queue.remove(attempt.ticket.attempt_id):
            self._finish(attempt, errors.NOT_RUN)
        else:
            attempt.scope.cancel()

    def on_revoke(
        self, peer, message: messages.Revoke
    ) -> messages.AttemptReply:
        """Permanently bar an attempt that has not begun."""
        outcome = errors.UNKNOWN
        if message.incarnation == self.app.incarnation:
            now_s = self.app.now_s()
            outcome = self.tickets.bar(message.attempt_id, now_s)
        if outcome == errors.NOT_RUN:
            self.queue.remove(message.attempt_id)
            self.attempts.pop(message.attempt_id, None)
        return messages.AttemptReply(message.attempt_id, outcome)

    def on_attach(
        self, peer, message: messages.Attach
    ) -> messages.AttemptReply:
        """Send the answer of an attempt, from its start, to the sender.

        The answer is `UNKNOWN` if the attempt is of another incarnation, is
        not stored any more, or has a longer answer than is stored.
        """
        attempt = self.attempts.get(message.attempt_id)
        attempt = attempt or self.ended.get(message.attempt_id)
        if message.incarnation != self.app.incarnation or not attempt:
            return messages.AttemptReply(message.attempt_id, errors.UNKNOWN)
        if attempt.position > attempt.stored_bytes:
            return messages.AttemptReply(message.attempt_id, errors.UNKNOWN)
        name = message.as_attempt_id
        data = b''.join(attempt.stored)
        frame = messages.Frame(
            name, 0, data, False, attempt.status, 0, '', 0.0
        )
        self.outbox.put(peer.route, frame)
        if attempt.last:
            last = attempt.last._replace(attempt_id=name)
            self.outbox.put(peer.route, last)
        else:
            attempt.readers[peer.route] = name
        return messages.AttemptReply(message.attempt_id, errors.RAN)

    def on_read_decisions(
        self, peer, message: messages.ReadDecisions
    ) -> messages.DecisionsReply:
        """Return the decisions on a request, or the latest ones."""
        return messages.DecisionsReply(
            self.log.find(message.request_id, message.count)
        )

    # Running.

    def _record_decision(
        self, ticket, what: str, reason: str, code: int
    ) -> None:
        self.log.add(
            ticket.request_id,
            what,
            reason,
            team=ticket.team,
            service=ticket.service,
            code=code,
        )

    def _start_next(self) -> None:
        while self.backoff_state.may_select(self.app.now_s()):
            item = self.queue.pop(self.app.now_s())
            if item is None:
                return
            self.tickets.begin(item.attempt_id)
            is_probe = self.backoff_state.begin_request()
            attempt = self.attempts[item.attempt_id]
            self.app.start_task(self._run, attempt, is_probe)

    async def _run(self, attempt: Attempt, is_probe: bool) -> None:
        ticket = attempt.ticket
        problem: errors.MountridgeError | None = None
        with attempt.scope:
            try:
                with trio.fail_after(ticket.deadline_s):
                    await self._relay(attempt)
            except trio.TooSlowError:
                problem = errors.RunnerFailed('the deadline passed')
            except errors.MountridgeError as failed:
                problem = failed
        crashed_life = 0
        if isinstance(problem, CONNECTION_ERRORS):
            crashed_life = await self._detect_crash()
        self.queue.release_slot(ticket.attempt_id, self.app.now_s())
        if is_probe:
            self.backoff_state.end_probe()
        if attempt.scope.cancelled_caught:
            problem = errors.RunnerFailed('cancelled by the caller')
        if problem is None:
            self._send_frame(attempt, b'', end=True)
            outcome = errors.RAN
        else:
            self._fail(attempt, problem, crashed_life)
            outcome = problem.outcome
        self._record_decision(ticket, 'end', str(problem or outcome), 0)
        self._finish(attempt, outcome)

    async def _relay(self, attempt: Attempt) -> None:
        ticket = attempt.ticket
        headers = [
            ('content-type', 'application/json'),
            ('x-request-id', ticket.request_id),
        ]
        async with self.upstream.request(
            ticket.path, headers, ticket.body, ticket.request_id
        ) as response:
            self._apply_head(response.head)
            attempt.status = response.head.status
            async for data in response.pieces():
                attempt.store(data, self.settings['answer_bytes'])
                self._send_frame(attempt, data)

    def _apply_head(self, head: dialects.ReplyHead) -> None:
        """Apply a backoff or departure that the runner's answer announces.

        :raises RunnerRefused: the runner reports that it did not run the
            request.
        """
        now_s = self.app.now_s()
        if head.backoff_s is not None:
            self._back_off(head.backoff_s, now_s)
        elif head.is_leaving:
            self._back_off(LEAVING_BACKOFF_S, now_s)
        elif not head.not_run and self.backoff_state.record_accepted(now_s):
            self._start_next()
        if head.not_run:
            raise errors.RunnerRefused(f'the runner answered {head.status}')

    def _back_off(self, span_s: float, now_s: float) -> None:
        """Back off, and refuse what is queued so that other agents run it."""
        self.backoff_state.back_off(span_s, now_s)
        self.app.metrics.incr('rest.asked')
        backoff_ms = round((self.backoff_state.until_s - now_s) * 1000)
        logger.info('runner requested a backoff', rest_ms=backoff_ms)
        for item in self.queue.pop_expired(math.inf):
            self._refuse(item.attempt_id, self._backoff_error(now_s))
        self.outbox.report_to_all()

    def _finish(self, attempt: Attempt, outcome: str) -> None:
        ticket = attempt.ticket
        self.attempts.pop(ticket.attempt_id, None)
        self.tickets.end(ticket.attempt_id, outcome, self.app.now_s())
        if ticket.claim_key:
            self.ended[ticket.attempt_id] = attempt
            while len(self.ended) > MAX_ENDED_ATTEMPTS:
                del self.ended[next(iter(self.ended))]
            self.app.start_task(self._report_outcome, attempt, outcome)
        self._start_next()

    async def _report_outcome(self, attempt: Attempt, outcome: str) -> None:
        """Report the outcome of a claimed attempt until it is acknowledged."""
        succeeded = attempt.last is not None and not attempt.last.code
        is_complete = succeeded and attempt.position == attempt.stored_bytes
        message = messages.Outcome(
            attempt.ticket.claim_key,
            attempt.ticket.attempt_id,
            outcome,
            attempt.status if is_complete else 0,
            b''.join(attempt.stored) if is_complete else b'',
        )
        while True:
            try:
                await self.leader.call(message, 5.0)
                return
            except errors.MountridgeError:
                self.app.metrics.incr('outcome.retried')
                await trio.sleep(OUTCOME_RETRY_S)

    # Frames.

    def _send_frame(
        self, attempt: Attempt, data: bytes, end: bool = False
    ) -> None:
        frame = messages.Frame(
            attempt.ticket.attempt_id,
            attempt.position,
            data,
            end,
            attempt.status,
            0,
            '',
            0.0,
        )
        attempt.position += len(data)
        self._send_to_readers(attempt, frame)

    async def _detect_crash(self) -> int:
        """Return the number of the runner's start that has crashed, or 0."""
        is_expected = not self.backoff_state.may_send(self.app.now_s())
        if is_expected or not await self.upstream.has_crashed():
            return 0
        now_s = self.app.now_s()
        if now_s - self._crashed_s > CRASH_SPAN_S:
            self._crashed_life += 1
            self.app.metrics.incr('runner.crashed')
            logger.info('runner crashed', start=self._crashed_life)
        self._crashed_s = now_s
        return self._crashed_life

    def _fail(
        self,
        attempt: Attempt,
        problem: errors.MountridgeError,
        crashed_life: int = 0,
    ) -> None:
        frame = messages.Frame(
            attempt.ticket.attempt_id,
            attempt.position,
            b'',
            True,
            0,
            problem.code,
            str(problem),
            problem.retry_after_s or 0.0,
            crashed_life,
        )
        self._send_to_readers(attempt, frame)

    def _send_to_readers(
        self, attempt: Attempt, frame: messages.Frame
    ) -> None:
        if frame.end:
            attempt.last = frame
        for route, name in attempt.readers.items():
            self.outbox.put(route, frame._replace(attempt_id=name))

    def load(self, link: links.GatewayLink) -> messages.Load:
        """Return the current load, with the message counts for a gateway."""
        return messages.Load(
            self.app.name,
            self.app.incarnation,
            len(self.queue.running),
            len(self.queue),
            self.queue.slots,
            self._is_unavailable(),
            self.app.now_s(),
            link.frames_seq,
            link.ticket_seq,
            link.ticket_count,
        )

    def _is_unavailable(self) -> bool:
        now_s = self.app.now_s()
        may_accept = self.lease.is_valid(now_s) and (
            self.backoff_state.may_send(now_s)
        )
        return self.draining or not may_accept

    async def report(self) -> None:
        """Refuse requests that waited too long, and send load reports."""
        while True:
            await trio.sleep(self.settings['report_s'])
            for item in self.queue.pop_expired(self.app.now_s()):
                self._expire(item.attempt_id)
            self.outbox.report()

    def _drop_gateway(self, route: bytes) -> None:
        """Stop the attempts whose only reader was a removed gateway."""
        for attempt in list(self.attempts.values()):
            if route in attempt.readers:
                self._remove_reader(attempt, route)

    def _apply_view(self, *_: typing.Any, **__: typing.Any) -> None:
        """Remove the earlier incarnations of gateways that restarted."""
        for value in self.lease.view.by_prefix('member/').values():
            member = views.unpack_member(value)
            if member.kind == 'gateway':
                self.outbox.remove_earlier(member.name, member.incarnation)

    def _expire(self, attempt_id: str) -> None:
        priority = self.attempts[attempt_id].ticket.priority
        wait_s = self.queue.expected_wait_s(priority)
        self._refuse(
            attempt_id, errors.Busy('the time in the queue expired', wait_s)
        )

    def _refuse(
        self, attempt_id: str, problem: errors.MountridgeError
    ) -> None:
        """Refuse an attempt that was accepted but has not begun."""
        attempt = self.attempts[attempt_id]
        self._record_decision(
            attempt.ticket, 'refuse', str(problem), problem.code
        )
        self._fail(attempt, problem)
        self._finish(attempt, errors.NOT_RUN)

    # Lease and shutdown.

    def renewal(self) -> messages.Renew:
        """Return the request that renews the lease."""
        return messages.Renew(
            self.app.name,
            'agent',
            self.app.incarnation,
            self.app.settings['hall'],
            self.app.settings['bind'],
            '',
            self.settings['services'],
            self.settings['expert_group'],
            self.settings['slots'],
            self.lease.view.index,
            self.draining,
            [],
            [],
        )

    async def drain(self) -> None:
        """Refuse new tickets, and wait for accepted attempts to end."""
        self.draining = True
        # Notifies gateways even if no controller can be reached.
        self.outbox.report_to_all()
        logger.info('draining', attempts=len(self.attempts))
        with trio.move_on_after(self.settings['drain_s']):
            while self.attempts or self.outbox.has_pending:
                await trio.sleep(0.05)
            await trio.sleep(2 * self.settings['merge_s'])
            try:
                await self.leader.call(self.renewal(), 1.0)
            except errors.MountridgeError as problem:
                logger.warning(
                    'cannot announce the drain',
                    reason=str(problem),
                )
            # Tickets under way are still refused; after the end of the
            # process they would be lost.
            await trio.sleep(LINGER_S)

    async def hold_lease(self) -> None:
        """Renew the lease until the process stops."""
        signals.view_changed.connect(self._apply_view, sender=self.lease)
        await self.lease_renewer.run()

    def dump(self) -> dict:
        """Return the state for `mountridge dump`."""
        return {
            'incarnation': self.app.incarnation,
            'running': len(self.queue.running),
            'waiting': len(self.queue),
            'draining': self.draining,
            'lease_left_s': self.lease.until_s - self.app.now_s(),
            'index': self.lease.view.index,
            'attempts': list(self.attempts),
            'mean_s': self.queue.mean_s,
            'counts': dict(self.app.metrics.counts),
        }


def build(
    app: application.Application,
    upstream: upstreams.Upstream | None = None,
) -> Agent:
    """Create an agent and register its handlers and tasks in ``app``."""
    agent = Agent(app, upstream)
    app.handlers[messages.WatchLoad] = agent.on_watch_load
    app.handlers[messages.Ticket] = agent.on_ticket
    app.handlers[messages.Cancel] = agent.on_cancel
    app.handlers[messages.Revoke] = agent.on_revoke
    app.handlers[messages.Attach] = agent.on_attach
    app.handlers[messages.ReadDecisions] = agent.on_read_decisions
    app.tasks += [agent.outbox.flush, agent.report, agent.hold_lease]
    app.drain.append(agent.drain)
    app.dumpers['agent'] = agent.dump
    return agent


def run(settings: dict) -> None:
    """Run an agent until it is stopped."""
    app = application.Application(settings)
    build(app)
    trio.run(app.run)
