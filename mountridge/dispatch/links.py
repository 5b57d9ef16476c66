# SPDX-License-Identifier: Apache-2.0

"""Detection of messages lost between a gateway and an agent.

A broken connection drops the messages in transit without an error on either
side. Both ends count messages, and each load report carries the agent's
counts, so that the gateway detects a loss at the next report: lost frames by
a gap in their sequence, lost tickets by a received count that is below the
newest sequence number, or by a number that is not reached within
`TICKET_TIMEOUT_S`.
"""

import typing

from mountridge import messages

__all__ = ['AgentLink', 'GatewayLink', 'Loss']

#: A ticket that no report confirms within this time counts as lost.
TICKET_TIMEOUT_S = 1.0


class GatewayLink:
    """The agent's side: counts of the messages of one gateway."""

    def __init__(self, now_s: float):
        self.last_used_s = now_s
        self.frames_seq = 0
        self.ticket_seq = 0
        self.ticket_count = 0
        #: Since when sending to it has failed; None if it does not fail.
        self.blocked_since_s: float | None = None

    def count_ticket(self, seq: int, now_s: float) -> None:
        """Count a received ticket."""
        self.last_used_s = now_s
        self.ticket_seq = max(self.ticket_seq, seq)
        self.ticket_count += 1


class Loss(typing.NamedTuple):
    """The losses that a report shows."""

    outdated: bool  # the report is older than one applied before
    frames: bool
    tickets: list[str]  # attempts whose tickets may be lost


class AgentLink:
    """The gateway's side: counts of one incarnation of an agent."""

    def __init__(self) -> None:
        self.ticket_seq = 0
        self.frames_seq = 0
        self._lost = 0
        self._unconfirmed: dict[int, tuple[str, float]] = {}

    def next_ticket_seq(self, attempt_id: str, now_s: float) -> int:
        """Record a ticket as sent and return its sequence number."""
        self.ticket_seq += 1
        self._unconfirmed[self.ticket_seq] = (attempt_id, now_s)
        return self.ticket_seq

    def apply_report(
        self, load: messages.Load, with_frames: bool, now_s: float
    ) -> Loss:
        """Apply the counts of a report and return the losses they show."""
        expected = self.frames_seq + (1 if with_frames else 0)
        if load.frames_seq < expected:
            return Loss(True, False, [])
        frames = load.frames_seq > expected
        self.frames_seq = load.frames_seq
        return Loss(False, frames, self._lost_tickets(load, now_s))

    def _lost_tickets(self, load: messages.Load, now_s: float) -> list[str]:
        passed = [seq for seq in self._unconfirmed if seq <= load.ticket_seq]
        suspects = [self._unconfirmed.pop(seq)[0] for seq in passed]
        lost = load.ticket_seq - load.ticket_count
        if lost <= self._lost:
            suspects = []
        self._lost = max(lost, self._lost)
        overdue = [
            seq
            for seq, (_, sent_s) in self._unconfirmed.items()
            if now_s - sent_s > TICKET_TIMEOUT_S
        ]
        return suspects + [self._unconfirmed.pop(seq)[0] for seq in overdue]
