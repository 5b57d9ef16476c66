# SPDX-License-Identifier: Apache-2.0

"""A controller's answer to processes that look for the leader.

It is held until there is one to name, so that those that look learn of an
election at its end and need not ask again and again meanwhile.
"""

import trio

from mountridge import application, errors, messages
from mountridge.consensus import replicas

__all__ = ['Leadership']

#: How long an answer is held; below `members.ATTEMPT_S`, for which those that
#: ask wait.
HOLD_S = 0.3


class Leadership:
    """Tells who leads."""

    def __init__(
        self, app: application.Application, replica: replicas.Replica
    ):
        self.app = app
        self.replica = replica

    async def on_find_leader(
        self, peer, question: messages.FindLeader
    ) -> messages.Registered:
        """Answer as the leader, or refuse and name it once it is known.

        :raises NotLeader: naming the leader, or nobody where none is known.
        """
        with trio.move_on_after(HOLD_S):
            while True:
                try:
                    self.replica.check_leader()
                    return messages.Registered()
                except errors.NotLeader as refusal:
                    named = getattr(refusal, 'leader_address', '')
                    if named and named != question.excluded:
                        raise
                await self.replica.wait_for_step()
        raise errors.NotLeader()
