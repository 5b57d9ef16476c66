# SPDX-License-Identifier: Apache-2.0

"""Log of tickets at the agent: each attempt is accepted at most once.

A ticket older than `MAX_AGE_S` is refused. Its age is measured by the agent's
own clock, whose estimate the ticket carries. The outcome of an attempt is
kept for `RETENTION_S`, which is longer, so that a delayed duplicate is always
recognized.
"""

import collections

from mountridge import errors, messages

__all__ = ['MAX_AGE_S', 'RETENTION_S', 'TicketLog']

MAX_AGE_S = 30.0
RETENTION_S = 120.0


class TicketLog:
    """The attempts at one incarnation: accepted, begun, ended or barred."""

    def __init__(self, incarnation: str):
        self.incarnation = incarnation
        self._states: dict[str, str] = {}
        self._ended: collections.deque[tuple[float, str]] = collections.deque()

    def accept(self, ticket: messages.Ticket, now_s: float) -> None:
        """Accept a ticket.

        :raises StaleIncarnation: it is for another incarnation, too old,
            barred, or was accepted before.
        """
        self._discard_old(now_s)
        if ticket.incarnation != self.incarnation:
            raise errors.StaleIncarnation(
                'the ticket is for another incarnation'
            )
        if now_s - ticket.sent_s > MAX_AGE_S:
            raise errors.StaleIncarnation('the ticket is too old')
        if ticket.attempt_id in self._states:
            raise errors.StaleIncarnation(
                'the attempt was accepted or barred before'
            )
        self._states[ticket.attempt_id] = ''

    def begin(self, attempt_id: str) -> None:
        """Record that the attempt is about to be sent to the runner."""
        self._states[attempt_id] = errors.UNKNOWN

    def end(self, attempt_id: str, outcome: str, now_s: float) -> None:
        """Record the outcome of an accepted attempt."""
        self._states[attempt_id] = outcome
        self._ended.append((now_s, attempt_id))

    def bar(self, attempt_id: str, now_s: float) -> str:
        """Bar an attempt that has not begun; return its outcome.

        If the outcome is *not run*, the attempt will never run. An attempt
        that has begun continues; its outcome is unknown until it ends.
        """
        self._discard_old(now_s)
        state = self._states.get(attempt_id, '')
        if state == '':
            state = errors.NOT_RUN
            self.end(attempt_id, state, now_s)
        return state

    def _discard_old(self, now_s: float) -> None:
        while self._ended and self._ended[0][0] < now_s - RETENTION_S:
            self._states.pop(self._ended.popleft()[1], None)
