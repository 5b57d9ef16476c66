# SPDX-License-Identifier: Apache-2.0

"""What a gateway and an agent count of each other's messages.

A connection that breaks loses what was on its way, without a word to either
side. Both ends count, and each report carries the agent's counts, so that a
loss is seen at the next report: frames by a gap in their count, tickets by
a count that falls behind, or that stays behind for `LATE_S`.
"""

import typing

from mountridge import messages

__all__ = ['AgentLink', 'GatewayLink', 'Loss']

#: A ticket that a report does not know after this time was lost.
LATE_S = 1.0


class GatewayLink:
    """The agent's side: counts for one gateway."""

    def __init__(self, now_s: float):
        self.used_s = now_s
        self.frames_seq = 0
        self.ticket_seq = 0
        self.ticket_count = 0
        #: Since when messages to it can't be sent; None while they can.
        self.stuck_s: float | None = None

    def ticket(self, seq: int, now_s: float) -> None:
        """Count a ticket that came."""
        self.used_s = now_s
        self.ticket_seq = max(self.ticket_seq, seq)
        self.ticket_count += 1


class Loss(typing.NamedTuple):
    """What a report shows to be lost."""

    old: bool  # the report itself is older than one taken before
    frames: bool
    tickets: list[str]  # attempts whose ticket may not have come


class AgentLink:
    """The gateway's side: counts for one incarnation of an agent."""

    def __init__(self) -> None:
        self.ticket_seq = 0
        self.frames_seq = 0
        self._lost = 0
        self._open: dict[int, tuple[str, float]] = {}

    def ticket(self, attempt_id: str, now_s: float) -> int:
        """Return the number of the next ticket."""
        self.ticket_seq += 1
        self._open[self.ticket_seq] = (attempt_id, now_s)
        return self.ticket_seq

    def report(
        self, load: messages.Load, with_frames: bool, now_s: float
    ) -> Loss:
        """Take the counts of a report and return what was lost."""
        expected = self.frames_seq + (1 if with_frames else 0)
        if load.frames_seq < expected:
            return Loss(True, False, [])
        frames = load.frames_seq > expected
        self.frames_seq = load.frames_seq
        return Loss(False, frames, self._lost_tickets(load, now_s))

    def _lost_tickets(self, load: messages.Load, now_s: float) -> list[str]:
        known = [seq for seq in self._open if seq <= load.ticket_seq]
        passed = [self._open.pop(seq)[0] for seq in known]
        lost = load.ticket_seq - load.ticket_count
        if lost <= self._lost:
            passed = []
        self._lost = max(lost, self._lost)
        late = [
            seq
            for seq, (_, sent_s) in self._open.items()
            if now_s - sent_s > LATE_S
        ]
        return passed + [self._open.pop(seq)[0] for seq in late]
