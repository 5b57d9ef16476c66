# SPDX-License-Identifier: Apache-2.0

"""Dispatch: place a request, send its ticket, retry, claim, attach."""

import collections
import random

import trio

from mountridge import application, errors, messages, utils
from mountridge.dispatch import attempts, decisions, exchanges, placing
from mountridge.dispatch import retries, runners
from mountridge.documents import tables
from mountridge.net import sockets
from mountridge.state import leases, members

import xxhash

__all__ = ['Dispatcher']

#: Prefixes whose runner is remembered.
PREFIXES = 4096
WATCH_S = 0.25
GREET_S = 0.5
CLAIM_S = 3.0
REVOKE_S = 1.0
FIRST_DATA_SLACK_S = 1.0
RETRY_AFTER_S = 1.0


class Dispatcher:
    """The gateway's way to the agents, and what it remembers of them."""

    def __init__(
        self,
        app: application.Application,
        held: leases.HeldLease,
        leader: members.LeaderClient,
        log: decisions.DecisionLog,
    ):
        self.app = app
        self.held = held
        self.leader = leader
        self.log = log
        self.settings = app.settings['gateway']
        self.runners = runners.Runners()
        self.attempts = attempts.Attempts(app.metrics.incr)
        self.budget = retries.Budget(self.settings['retry_share'])
        self.rng = random.Random(app.incarnation)
        self._callers: dict[str, tuple[str, sockets.Caller]] = {}
        self._prefixes: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    # What comes from agents.

    def _on_message(self, message) -> None:
        if isinstance(message, messages.Frames):
            if self._heard(message.load, True):
                self.attempts.take(message.frames)
        elif isinstance(message, messages.Load):
            self._heard(message, False)

    def _heard(self, load: messages.Load, with_frames: bool) -> bool:
        """Take a report; false where it is old, so its frames are too."""
        loss = self.runners.heard(load, with_frames, self.app.now_s())
        if loss.frames:
            self.app.metrics.incr('frames.lost')
            self.attempts.fail_agent(load.name, 'frames were lost')
        if loss.tickets:
            self.app.metrics.incr('tickets.lost', len(loss.tickets))
            self.attempts.fail_some(loss.tickets, 'the ticket was lost')
        return not loss.old

    def follow_view(self, listed) -> None:
        """Follow the members in the view."""
        for name in self.runners.update(listed, self.app.now_s()):
            self.attempts.fail_agent(name, 'restarted')
            self._hang_up(name)
        for name in list(self._callers):
            if name not in self.runners.states:
                self._hang_up(name)

    def _hang_up(self, name: str) -> None:
        """Close the connection to an agent, where there is one."""
        found = self._callers.pop(name, None)
        if found:
            found[1].close()

    async def watch(self) -> None:
        """Give up on agents that have work of ours and say nothing."""
        while True:
            await trio.sleep(WATCH_S)
            now_s = self.app.now_s()
            for name in self.runners.silent(now_s):
                self.app.metrics.incr('agent.silent')
                self.runners.failed(name, now_s)
                self.attempts.fail_agent(name, 'silent')

    def _caller(self, name: str) -> sockets.Caller:
        member = self.runners.states[name].member
        found = self._callers.get(name)
        if found is None or found[0] != member.address:
            if found:
                found[1].close()
            caller = self.app.connect(member.address, name, self._on_message)
            found = (member.address, caller)
            self._callers[name] = found
        return found[1]

    async def _known(self, name: str) -> None:
        """Hear from an agent once before the first ticket to it.

        The ticket carries the agent's own clock, so that the agent can
        refuse one that was on its way for too long.
        """
        state = self.runners.states[name]
        if state.load is not None:
            return
        load = await self._caller(name).call(messages.Greet(), GREET_S)
        self._heard(load, False)

    # One attempt.

    def _place(self, exchange: exchanges.Exchange) -> placing.Choice:
        now_s = self.app.now_s()
        candidates = self.runners.candidates(
            exchange.service, exchange.groups, now_s
        )
        others = [c for c in candidates if c.name not in exchange.tried]
        choice = placing.choose(
            others or candidates,
            self.app.settings['hall'],
            self._prefixes.get(exchange.prefix, ''),
            self.rng,
        )
        if choice is None:
            raise errors.NoRunner(
                f'no live runner for {exchange.service!r}',
                retry_after_s=RETRY_AFTER_S,
            )
        exchange.tried.add(choice.name)
        self._remember(exchange.prefix, choice.name)
        return choice

    def _remember(self, prefix: str, name: str) -> None:
        self._prefixes[prefix] = name
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > PREFIXES:
            self._prefixes.popitem(last=False)

    def _ticket(
        self, exchange: exchanges.Exchange, name: str, reason: str, attempt
    ) -> messages.Ticket:
        now_s = self.app.now_s()
        state = self.runners.states[name]
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
            exchange.left_s(now_s),
            exchange.key,
            state.agent_s(now_s),
            reason,
            state.link.ticket(attempt.attempt_id, now_s),
        )

    def _send(
        self, exchange: exchanges.Exchange, choice: placing.Choice, attempt
    ) -> None:
        if choice.name not in self.runners.states:
            # It left the view while its claim was awaited.
            raise errors.NoRunner(f'{choice.name} is gone')
        ticket = self._ticket(exchange, choice.name, choice.reason, attempt)
        self.attempts.add(attempt)
        if not self._caller(choice.name).send(ticket):
            self.attempts.remove(attempt)
            raise errors.NoRunner(f'{choice.name} takes no messages')
        self.runners.sent(choice.name, self.app.now_s())

    def note(
        self,
        exchange: exchanges.Exchange,
        what: str,
        reason: str,
        code: int = 0,
    ) -> None:
        """Record a decision about this request."""
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

    async def _try(
        self, exchange: exchanges.Exchange
    ) -> tuple[attempts.Attempt, bytes]:
        """Run one attempt up to its first data."""
        choice = self._place(exchange)
        await self._known(choice.name)
        attempt = attempts.Attempt(utils.fresh_id(), choice.name)
        if exchange.key:
            claimed = await self._claim(exchange, choice, attempt)
            if claimed is not None:
                return claimed, await self._first(exchange, claimed)
        self.note(exchange, 'place', choice.reason)
        self._send(exchange, choice, attempt)
        return attempt, await self._first(exchange, attempt)

    def _patience_s(self, exchange: exchanges.Exchange) -> float:
        """Return how long the first data of an attempt may take.

        An answer that is not streamed comes all at its end, so only its
        deadline bounds it.
        """
        left_s = max(0.0, exchange.left_s(self.app.now_s()))
        if exchange.streamed:
            stall_s = exchange.row.queue_s + self.settings['stall_s']
            left_s = min(left_s, stall_s)
        return left_s + FIRST_DATA_SLACK_S

    async def _first(
        self, exchange: exchanges.Exchange, attempt: attempts.Attempt
    ) -> bytes:
        sent_s = self.app.now_s()
        name = attempt.agent
        try:
            with trio.move_on_after(self._patience_s(exchange)) as scope:
                data = await attempt.read()
        except errors.MountridgeError as problem:
            self._close(attempt, cancel=problem.outcome == errors.UNKNOWN)
            if retries.is_redirect(problem):
                self.runners.avoid(name, self.app.now_s())
            elif not isinstance(problem, errors.Busy):
                self.runners.failed(name, self.app.now_s())
            raise
        except BaseException:
            self._close(attempt, cancel=True)
            raise
        if scope.cancelled_caught:
            self._close(attempt, cancel=True)
            self.runners.failed(name, self.app.now_s())
            raise errors.OutcomeUnknown(f'no data from {name} in time')
        took_s = self.app.now_s() - sent_s
        self.app.metrics.timing('first_data', took_s)
        self.runners.first_data(name, took_s)
        return data

    def _close(self, attempt: attempts.Attempt, cancel: bool) -> None:
        self.attempts.remove(attempt)
        self.runners.ended(attempt.agent)
        found = self._callers.get(attempt.agent)
        if cancel and found:
            found[1].send(messages.Cancel(attempt.attempt_id))

    def finish(self, attempt: attempts.Attempt) -> None:
        """End an attempt, stopping the runner's work where it goes on."""
        whole = attempt.ended and not attempt.problem
        self._close(attempt, cancel=not whole)

    async def run(
        self, exchange: exchanges.Exchange, whole: bool = False
    ) -> tuple[attempts.Attempt, bytes]:
        """Return the attempt whose answer has begun, and its first data.

        Where ``whole``, all of the answer is awaited: as long as nothing
        has gone to the caller, an answer that is cut can be tried again.

        :raises MountridgeError: the final answer of a request given up.
        """
        exchange.streamed = not whole
        self.budget.first_try(exchange.team)
        while True:
            exchange.tries += 1
            try:
                attempt, data = await self._try(exchange)
                if whole:
                    data += await self._rest(attempt)
                return attempt, data
            except errors.MountridgeError as problem:
                self._judge(exchange, problem)

    async def more(self, attempt: attempts.Attempt) -> bytes:
        """Return more of a streamed answer, b'' at its end.

        :raises BadAnswer: nothing came for too long.
        """
        with trio.move_on_after(self.settings['stall_s']):
            return await attempt.read()
        self.runners.failed(attempt.agent, self.app.now_s())
        raise errors.BadAnswer(f'no data from {attempt.agent} in time')

    async def _rest(self, attempt: attempts.Attempt) -> bytes:
        parts = []
        try:
            while data := await attempt.read():
                parts.append(data)
        except BaseException as problem:
            self.finish(attempt)
            if isinstance(problem, errors.MountridgeError):
                self.runners.failed(attempt.agent, self.app.now_s())
            raise
        return b''.join(parts)

    def _judge(
        self, exchange: exchanges.Exchange, problem: errors.MountridgeError
    ) -> None:
        """Return where another try is due; else raise the problem."""
        again = retries.may_retry(
            problem,
            exchange.row.repeatable,
            exchange.tries,
            self.settings['attempts'],
            exchange.left_s(self.app.now_s()),
        )
        if not again:
            raise problem
        free = retries.is_redirect(problem)
        if not free and not self.budget.take(exchange.team):
            raise problem
        self.app.metrics.incr('retry')
        self.note(exchange, 'retry', f'after {problem}', problem.code)

    # Calls that may not be repeated.

    async def _claim(
        self,
        exchange: exchanges.Exchange,
        choice: placing.Choice,
        attempt: attempts.Attempt,
    ) -> attempts.Attempt | None:
        """Claim the key for ``attempt``.

        None where it was granted. Else the attempt that holds the claim,
        with its kept answer or joined to the one that is being given.
        """
        state = self.runners.states[choice.name]
        claim = messages.Claim(
            exchange.key,
            xxhash.xxh128_hexdigest(exchange.path.encode() + exchange.body),
            exchange.request_id,
            attempt.attempt_id,
            choice.name,
            state.member.incarnation,
        )
        reply = await self.leader.call(claim, CLAIM_S)
        if reply.granted:
            exchange.may_have_run = False
            return None
        exchange.may_have_run = True
        self.note(
            exchange,
            'attach',
            f'key claimed by {reply.request_id} at {reply.agent}, '
            f'outcome {reply.outcome or "open"}',
        )
        if reply.outcome == errors.RAN and reply.status:
            return _kept(reply)
        return await self._attach(exchange, reply)

    async def _attach(
        self, exchange: exchanges.Exchange, reply: messages.ClaimReply
    ) -> attempts.Attempt:
        state = self.runners.states.get(reply.agent)
        if not state or state.member.incarnation != reply.incarnation:
            raise errors.OutcomeUnknown(
                f'{reply.agent} is gone; the call may have run'
            )
        joined = attempts.Attempt(utils.fresh_id(), reply.agent)
        self.attempts.add(joined)
        caller = self._caller(reply.agent)
        attach = messages.Attach(
            reply.attempt_id, reply.incarnation, joined.attempt_id
        )
        try:
            found = await caller.call(attach, REVOKE_S)
            if found.outcome != errors.RAN:
                await self._release(exchange, reply)
        except errors.MountridgeError:
            self.attempts.remove(joined)
            raise
        self.runners.sent(reply.agent, self.app.now_s())
        return joined

    async def _release(
        self, exchange: exchanges.Exchange, reply: messages.ClaimReply
    ) -> None:
        """Free a claim whose ticket never reached its agent.

        :raises OutcomeUnknown: it may have run.
        :raises NoRunner: it has not run and never will; try again.
        """
        caller = self._caller(reply.agent)
        revoke = messages.Revoke(reply.attempt_id, reply.incarnation)
        barred = await caller.call(revoke, REVOKE_S)
        if barred.outcome != errors.NOT_RUN:
            raise errors.OutcomeUnknown(
                f'the call with this key at {reply.agent}: {barred.outcome}'
            )
        outcome = messages.Outcome(
            exchange.key, reply.attempt_id, errors.NOT_RUN, 0, b''
        )
        await self.leader.call(outcome, CLAIM_S)
        exchange.may_have_run = False
        raise errors.NoRunner('an earlier ticket was lost before its run')


def _kept(reply: messages.ClaimReply) -> attempts.Attempt:
    """Return an ended attempt that gives the kept answer."""
    attempt = attempts.Attempt(reply.attempt_id, '')
    attempt.take(
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
