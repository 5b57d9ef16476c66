# SPDX-License-Identifier: Apache-2.0

"""Dispatch of requests to agents: placement, tickets, retries and claims."""

import collections
import random

import trio

from mountridge import application, errors, messages, utils
from mountridge.dispatch import attempts, crashes, decisions, exchanges
from mountridge.dispatch import placing, retries, runners
from mountridge.documents import tables
from mountridge.net import sockets
from mountridge.state import leases, members

import xxhash

__all__ = ['Dispatcher']

#: Number of prefixes for which the last runner is kept.
MAX_PREFIXES = 4096
MONITOR_INTERVAL_S = 0.25
WATCH_TIMEOUT_S = 0.5
CLAIM_TIMEOUT_S = 3.0
#: Timeout of `Attach` and `Revoke` calls to an agent.
REVOKE_TIMEOUT_S = 1.0
FIRST_DATA_SLACK_S = 1.0
RETRY_AFTER_S = 1.0


class Dispatcher:
    """The gateway's connections to agents, and its requests to them."""

    def __init__(
        self,
        app: application.Application,
        lease: leases.HeldLease,
        leader: members.LeaderClient,
        log: decisions.DecisionLog,
    ):
        self.app = app
        self.lease = lease
        self.leader = leader
        self.log = log
        self.settings = app.settings['gateway']
        self.runners = runners.Runners()
        self.attempts = attempts.Attempts(app.metrics.incr)
        self.crashes = crashes.RequestCrashes(app, leader.call)
        self.budget = retries.Budget(self.settings['retry_share'])
        self.rng = random.Random(app.incarnation)
        self._connections: dict[str, tuple[str, sockets.Connection]] = {}
        self._prefixes: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    # Messages from agents.

    def _on_message(self, message) -> None:
        if isinstance(message, messages.Frames):
            if self._record_load(message.load, True):
                self.attempts.receive(message.frames)
        elif isinstance(message, messages.Load):
            self._record_load(message, False)

    def _record_load(self, load: messages.Load, with_frames: bool) -> bool:
        """Record a load report and fail the attempts that it shows lost.

        Returns false if the report is outdated; so are its frames then.
        """
        loss = self.runners.record_load(load, with_frames, self.app.now_s())
        if loss.frames:
            self.app.metrics.incr('frames.lost')
            self.attempts.fail_agent(load.name, 'frames were lost')
        if loss.tickets:
            self.app.metrics.incr('tickets.lost', len(loss.tickets))
            self.attempts.fail_lost(loss.tickets, 'the ticket may be lost')
        return not loss.outdated

    def update_members(self, listed) -> None:
        """Apply the members of the view; disconnect from those removed."""
        for name in self.runners.update(listed, self.app.now_s()):
            self.attempts.fail_agent(name, 'restarted')
            self._disconnect(name)
        for name in list(self._connections):
            if name not in self.runners.states:
                self._disconnect(name)

    def _disconnect(self, name: str) -> None:
        """Close the connection to an agent, if there is one."""
        found = self._connections.pop(name, None)
        if found:
            found[1].close()

    async def monitor_agents(self) -> None:
        """Fail the attempts at agents that are unresponsive, in a loop."""
        while True:
            await trio.sleep(MONITOR_INTERVAL_S)
            now_s = self.app.now_s()
            for name in self.runners.unresponsive(now_s):
                self.app.metrics.incr('agent.silent')
                self.runners.record_failure(name, now_s)
                self.attempts.fail_agent(name, 'unresponsive')

    def _connection(self, name: str) -> sockets.Connection:
        """Return the connection to an agent, opening it if necessary.

        :raises NoRunner: the agent has left the view.
        """
        member = self.runners.state(name).member
        found = self._connections.get(name)
        if found is None or found[0] != member.address:
            if found:
                found[1].close()
            connection = self.app.connect(
                member.address, name, self._on_message
            )
            found = (member.address, connection)
            self._connections[name] = found
        return found[1]

    async def _ensure_load(self, name: str) -> None:
        """Request a load report before the first ticket to an agent.

        A ticket carries the agent's own clock, known from its reports, so
        that the agent can refuse a ticket that was delayed for too long.
        """
        state = self.runners.state(name)
        if state.load is not None:
            return
        load = await self._connection(name).call(
            messages.WatchLoad(), WATCH_TIMEOUT_S
        )
        self._record_load(load, False)

    # One attempt.

    def _select_runner(self, exchange: exchanges.Exchange) -> placing.Choice:
        """Select a runner, preferably one that was not attempted before.

        :raises NoRunner: no runner may serve the request.
        """
        now_s = self.app.now_s()
        candidates = self.runners.candidates(
            exchange.service, exchange.groups, now_s
        )
        others = [
            c for c in candidates if c.name not in exchange.attempted_agents
        ]
        choice = placing.choose(
            others or candidates,
            self.app.settings['hall'],
            self._prefixes.get(exchange.prefix, ''),
            self.rng,
        )
        if choice is None:
            raise errors.NoRunner(
                f'no live runner for service {exchange.service!r}',
                retry_after_s=RETRY_AFTER_S,
            )
        exchange.attempted_agents.add(choice.name)
        self._cache_prefix(exchange.prefix, choice.name)
        return choice

    def _cache_prefix(self, prefix: str, name: str) -> None:
        """Record the runner of a prefix, evicting the oldest prefix."""
        self._prefixes[prefix] = name
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def _make_ticket(
        self, exchange: exchanges.Exchange, name: str, reason: str, attempt
    ) -> messages.Ticket:
        now_s = self.app.now_s()
        state = self.runners.state(name)
        row = exchange.row
        return messages.Ticket(
            exchange.request_id,
            attempt.attempt_id,
            state.member.incarnation,
            exchange.team,
            exchange.service,
            exchange.path,
            exchange.body,
            tables.PRIORITIES.index(row.priority),
            row.weight,
            row.queue_s,
            exchange.time_left_s(now_s),
            exchange.key,
            state.agent_clock_s(now_s),
            reason,
            state.link.next_ticket_seq(attempt.attempt_id, now_s),
        )

    def _send_ticket(
        self, exchange: exchanges.Exchange, choice: placing.Choice, attempt
    ) -> None:
        member = self.runners.state(choice.name).member
        # It may have been quarantined since the request arrived.
        self.crashes.check(exchange)
        exchange.agent_incarnation = member.incarnation
        ticket = self._make_ticket(
            exchange, choice.name, choice.reason, attempt
        )
        self.attempts.add(attempt)
        if not self._connection(choice.name).send(ticket):
            self.attempts.remove(attempt)
            raise errors.NoRunner(
                f'the connection to {choice.name} accepts no messages'
            )
        self.runners.record_sent(choice.name, self.app.now_s())

    def record_decision(
        self,
        exchange: exchanges.Exchange,
        what: str,
        reason: str,
        code: int = 0,
    ) -> None:
        """Record a decision about a request."""
        row = exchange.row
        self.log.add(
            exchange.request_id,
            what,
            reason,
            team=exchange.team,
            service=exchange.service,
            row=tables.row_key(row) if row else '',
            table_version=exchange.table_version,
            code=code,
        )

    async def _run_attempt(
        self, exchange: exchanges.Exchange
    ) -> tuple[attempts.Attempt, bytes]:
        """Run one attempt up to its first data."""
        choice = self._select_runner(exchange)
        await self._ensure_load(choice.name)
        attempt = attempts.Attempt(utils.fresh_id(), choice.name)
        exchange.attempt = attempt
        if exchange.key:
            claimed = await self._claim(exchange, choice, attempt)
            if claimed is not None:
                return claimed, await self._read_first(exchange, claimed)
        self.record_decision(exchange, 'place', choice.reason)
        self._send_ticket(exchange, choice, attempt)
        return attempt, await self._read_first(exchange, attempt)

    def _first_data_timeout_s(self, exchange: exchanges.Exchange) -> float:
        """Return how long to wait for the first data of an attempt.

        An answer that is not streamed arrives all at once when it is
        complete, so only the deadline limits the wait.
        """
        left_s = max(0.0, exchange.time_left_s(self.app.now_s()))
        if exchange.streamed:
            stall_s = exchange.row.queue_s + self.settings['stall_s']
            left_s = min(left_s, stall_s)
        return left_s + FIRST_DATA_SLACK_S

    async def _read_first(
        self, exchange: exchanges.Exchange, attempt: attempts.Attempt
    ) -> bytes:
        """Return the first data of an attempt; close it on any failure."""
        sent_s = self.app.now_s()
        name = attempt.agent
        try:
            with trio.move_on_after(
                self._first_data_timeout_s(exchange)
            ) as scope:
                data = await attempt.read()
        except errors.MountridgeError as problem:
            self._close_attempt(
                attempt, cancel=problem.outcome == errors.UNKNOWN
            )
            if retries.is_redirect(problem):
                self.runners.avoid(name, self.app.now_s())
            elif not isinstance(problem, errors.Busy):
                self.runners.record_failure(name, self.app.now_s())
            raise
        except BaseException:
            self._close_attempt(attempt, cancel=True)
            raise
        if scope.cancelled_caught:
            self._close_attempt(attempt, cancel=True)
            self.runners.record_failure(name, self.app.now_s())
            raise errors.OutcomeUnknown(
                f'timed out waiting for the first data from {name}'
            )
        attempt.began_s = self.app.now_s()
        took_s = attempt.began_s - sent_s
        self.app.metrics.timing('first_data', took_s)
        self.runners.record_first_data(name, took_s)
        return data

    def _close_attempt(self, attempt: attempts.Attempt, cancel: bool) -> None:
        """Remove an attempt; if ``cancel``, also cancel it at its agent."""
        self.attempts.remove(attempt)
        self.runners.record_ended(attempt.agent)
        found = self._connections.get(attempt.agent)
        if cancel and found:
            found[1].send(messages.Cancel(attempt.attempt_id))

    def finish(self, attempt: attempts.Attempt) -> None:
        """Close an attempt, and cancel it unless its answer is complete."""
        complete = attempt.ended and not attempt.problem
        self._close_attempt(attempt, cancel=not complete)

    async def run(
        self, exchange: exchanges.Exchange, buffered: bool = False
    ) -> tuple[attempts.Attempt, bytes]:
        """Return the attempt whose answer has begun, and its first data.

        If ``buffered``, the data is the complete answer. A truncated answer
        can then be retried, since none of it has been sent to the
        caller.

        :raises MountridgeError: the error of the last attempt.
        :raises OutcomeUnknown: the last attempt did not run, but an earlier
            one may have.
        """
        exchange.streamed = not buffered
        self.budget.add_request(exchange.team)
        may_have_run = False
        while True:
            exchange.attempts += 1
            try:
                attempt, data = await self._run_attempt(exchange)
                if buffered:
                    data += await self._read_remaining(attempt)
                return attempt, data
            except errors.MountridgeError as problem:
                may_have_run |= problem.outcome != errors.NOT_RUN
                await self.crashes.check_attempt(exchange)
                if self._try_retry(exchange, problem):
                    continue
                if may_have_run and problem.outcome == errors.NOT_RUN:
                    raise errors.OutcomeUnknown(str(problem))
                raise

    async def read_more(self, attempt: attempts.Attempt) -> bytes:
        """Return the next data of a streamed answer, b'' at its end.

        :raises BadAnswer: no data arrived within the setting ``stall_s``.
        """
        with trio.move_on_after(self.settings['stall_s']):
            return await attempt.read()
        self.runners.record_failure(attempt.agent, self.app.now_s())
        raise errors.BadAnswer(
            f'timed out waiting for more data from {attempt.agent}'
        )

    async def _read_remaining(self, attempt: attempts.Attempt) -> bytes:
        """Return the remaining data of an answer; close it on any failure."""
        parts = []
        try:
            while data := await attempt.read():
                parts.append(data)
        except BaseException as problem:
            self.finish(attempt)
            if isinstance(problem, errors.MountridgeError):
                self.runners.record_failure(attempt.agent, self.app.now_s())
            raise
        return b''.join(parts)

    def _try_retry(
        self, exchange: exchanges.Exchange, problem: errors.MountridgeError
    ) -> bool:
        """Return whether to retry the request, and count the retry."""
        allowed = retries.may_retry(
            problem,
            exchange.row.repeatable,
            exchange.attempts,
            self.settings['attempts'],
            exchange.time_left_s(self.app.now_s()),
        )
        if not allowed:
            return False
        uncharged = retries.is_redirect(problem)
        if not uncharged and not self.budget.spend(exchange.team):
            return False
        self.app.metrics.incr('retry')
        self.record_decision(
            exchange, 'retry', f'after {problem}', problem.code
        )
        return True

    # Claims of calls that may not be repeated.

    async def _claim(
        self,
        exchange: exchanges.Exchange,
        choice: placing.Choice,
        attempt: attempts.Attempt,
    ) -> attempts.Attempt | None:
        """Claim the idempotency key for ``attempt``.

        Returns None if the claim is granted. Otherwise returns an attempt
        that yields the answer of the claim's holder: the stored answer, or
        the one that its agent is sending.
        """
        state = self.runners.state(choice.name)
        claim = messages.Claim(
            exchange.key,
            xxhash.xxh128_hexdigest(exchange.path.encode() + exchange.body),
            exchange.request_id,
            attempt.attempt_id,
            choice.name,
            state.member.incarnation,
        )
        reply = await self.leader.call(claim, CLAIM_TIMEOUT_S)
        if reply.granted:
            exchange.may_have_run = False
            return None
        exchange.may_have_run = True
        self.record_decision(
            exchange,
            'attach',
            f'key claimed by {reply.request_id} at {reply.agent}, '
            f'outcome {reply.outcome or "open"}',
        )
        if reply.outcome == errors.RAN and reply.status:
            return _stored_answer(reply)
        return await self._attach(exchange, reply)

    async def _attach(
        self, exchange: exchanges.Exchange, reply: messages.ClaimReply
    ) -> attempts.Attempt:
        """Have the agent of the claim's holder send the answer here too.

        :raises OutcomeUnknown: it can't; the call may have run.
        :raises NoRunner: the call has not run, and its claim is released.
        """
        self._check_holder(reply)
        attached = attempts.Attempt(utils.fresh_id(), reply.agent)
        self.attempts.add(attached)
        connection = self._connection(reply.agent)
        attach = messages.Attach(
            reply.attempt_id, reply.incarnation, attached.attempt_id
        )
        try:
            found = await connection.call(attach, REVOKE_TIMEOUT_S)
            # It may have left the view during the call.
            self._check_holder(reply)
            if found.outcome != errors.RAN:
                await self._release_claim(exchange, reply)
        except errors.MountridgeError:
            self.attempts.remove(attached)
            raise
        self.runners.record_sent(reply.agent, self.app.now_s())
        return attached

    def _check_holder(self, reply: messages.ClaimReply) -> None:
        """Check that the agent of a claim's holder is in the view.

        :raises OutcomeUnknown: it is not, or has restarted.
        """
        state = self.runners.states.get(reply.agent)
        if not state or state.member.incarnation != reply.incarnation:
            raise errors.OutcomeUnknown(
                f'{reply.agent} has restarted or is no longer a member;'
                ' the call may have run'
            )

    async def _release_claim(
        self, exchange: exchanges.Exchange, reply: messages.ClaimReply
    ) -> None:
        """Release a claim if its attempt can be barred; always raises.

        :raises OutcomeUnknown: the attempt may have run.
        :raises NoRunner: the attempt will never run; the call may be
            retried.
        """
        connection = self._connection(reply.agent)
        revoke = messages.Revoke(reply.attempt_id, reply.incarnation)
        barred = await connection.call(revoke, REVOKE_TIMEOUT_S)
        if barred.outcome != errors.NOT_RUN:
            raise errors.OutcomeUnknown(
                f'outcome of the call with this key at {reply.agent}:'
                f' {barred.outcome}'
            )
        outcome = messages.Outcome(
            exchange.key, reply.attempt_id, errors.NOT_RUN, 0, b''
        )
        await self.leader.call(outcome, CLAIM_TIMEOUT_S)
        exchange.may_have_run = False
        raise errors.NoRunner(
            'the earlier attempt with this key was revoked before it ran'
        )


def _stored_answer(reply: messages.ClaimReply) -> attempts.Attempt:
    """Return an ended attempt that yields the stored answer."""
    attempt = attempts.Attempt(reply.attempt_id, '')
    attempt.receive(
        messages.Frame(
            reply.attempt_id,
            0,
            reply.answer,
            True,
            reply.status,
            0,
            '',
            0.0,
        )
    )
    return attempt
