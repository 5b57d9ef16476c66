# SPDX-License-Identifier: Apache-2.0

"""Handler of the queries of processes that search for the leader.

A reply is delayed until a leader is known. Processes thus learn the result of
an election at its end and do not have to poll meanwhile.
"""

import trio

from mountridge import application, errors, messages
from mountridge.consensus import replicas

__all__ = ['LeaderLookup']

#: Longest delay of a reply; below `members.ATTEMPT_S`, the callers' timeout.
MAX_DELAY_S = 0.3


class LeaderLookup:
    """Answers `FindLeader` queries."""

    def __init__(
        self, app: application.Application, replica: replicas.Replica
    ):
        self.app = app
        self.replica = replica

    async def on_find_leader(
        self, peer, question: messages.FindLeader
    ) -> messages.Registered:
        """Reply if this controller leads; else name the leader once known.

        A leader at the address ``question.excluded`` is not named: the caller
        has found it unresponsive.

        :raises NotLeader: with the leader's address; without one if no other
            leader is known within `MAX_DELAY_S`.
        """
        with trio.move_on_after(MAX_DELAY_S):
            while True:
                try:
                    self.replica.check_leader()
                    return messages.Registered()
                except errors.NotLeader as refusal:
                    address = getattr(refusal, 'leader_address', '')
                    if address and address != question.excluded:
                        raise
                await self.replica.wait_for_step()
        raise errors.NotLeader()
