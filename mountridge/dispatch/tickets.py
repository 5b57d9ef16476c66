# SPDX-License-Identifier: Apache-2.0

"""Tickets at the agent: each attempt is accepted once, or barred for good.

A ticket that was on its way for longer than `STALE_S` is refused, by the
agent's own clock which the ticket carries back; so what is remembered of an
attempt for `REMEMBER_S` is remembered long enough.
"""

import collections

from mountridge import errors, messages

__all__ = ['REMEMBER_S', 'STALE_S', 'TicketLog']

STALE_S = 30.0
REMEMBER_S = 120.0


class TicketLog:
    """The attempts of one incarnation: accepted, ended or barred."""

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self._states: dict[str, str] = {}
        self._ended: collections.deque[tuple[float, str]] = collections.deque()

    def accept(self, ticket: messages.Ticket, now_s: float) -> None:
        """Accept a ticket, once.

        :raises StaleIncarnation: it is for another incarnation, too old,
            barred, or was accepted before.
        """
        self._forget(now_s)
        if ticket.incarnation != self.incarnation:
            raise errors.StaleIncarnation('for an earlier incarnation')
        if now_s - ticket.sent_s > STALE_S:
            raise errors.StaleIncarnation('the ticket came too late')
        if ticket.attempt_id in self._states:
            raise errors.StaleIncarnation('the ticket was seen before')
        self._states[ticket.attempt_id] = ''

    def begin(self, attempt_id: str) -> None:
        """Note that the attempt is about to reach the runner."""
        self._states[attempt_id] = errors.UNKNOWN

    def end(self, attempt_id: str, outcome: str, now_s: float) -> None:
        """Note how an accepted attempt ended."""
        self._states[attempt_id] = outcome
        self._ended.append((now_s, attempt_id))

    def bar(self, attempt_id: str, now_s: float) -> str:
        """Bar an attempt that has not begun; return its outcome.

        After *not run* the attempt can't run any more. An attempt that has
        begun is left alone, and is unknown until it ends.
        """
        self._forget(now_s)
        state = self._states.get(attempt_id, '')
        if state == '':
            state = errors.NOT_RUN
            self.end(attempt_id, state, now_s)
        return state

    def _forget(self, now_s: float) -> None:
        while self._ended and self._ended[0][0] < now_s - REMEMBER_S:
            self._states.pop(self._ended.popleft()[1], None)
