# SPDX-License-Identifier: Apache-2.0

"""Management of halls that are out of service, on the leader.

The state of each hall is replicated and reaches gateways with the view. An
order names the revision of the hall on which it is based, and is rejected if
another order has changed the hall since.
"""

import typing

from mountridge import application, errors, messages
from mountridge.consensus import replicas
from mountridge.logs import logger
from mountridge.state import commands, statemachine

__all__ = ['HallManager']


class HallManager:
    """Handles `ReadHalls` and `SetHall` while this controller leads."""

    def __init__(
        self,
        app: application.Application,
        machine: statemachine.StateMachine,
        replica: replicas.Replica,
        push: typing.Callable[[], None],
    ):
        self.app = app
        self._machine = machine
        self._replica = replica
        self._push = push

    async def on_read(
        self, peer: application.Peer, _: messages.ReadHalls
    ) -> messages.HallsReply:
        """Return all halls, confirmed by a quorum."""
        await self._replica.confirm_leadership()
        halls = self._machine.halls
        return messages.HallsReply([halls[name] for name in sorted(halls)])

    async def on_set(
        self, peer: application.Peer, order: messages.SetHall
    ) -> messages.HallsReply:
        """Take a hall out of service or back in; reply once committed.

        :raises HallChanged: another order was committed first; no change.
        """
        self._replica.check_leader()
        before = self._machine.halls.get(order.hall)
        command = commands.SetHall(*order, self.app.wall_s())
        try:
            hall = await self._replica.propose(commands.encode(command))
        except errors.HallChanged as problem:
            self.app.metrics.incr('halls.changed_between')
            logger.info(
                'hall order rejected',
                **order._asdict(),
                by=_sender(peer),
                reason=str(problem),
            )
            raise
        self._push()
        self.app.metrics.incr('halls.orders')
        logger.info(
            'hall order committed',
            hall=hall.name,
            was_out=bool(before and before.is_out),
            is_out=hall.is_out,
            read_revision=order.revision,
            revision=hall.revision,
            by=_sender(peer),
        )
        return messages.HallsReply([hall])


def _sender(peer: application.Peer | None) -> str:
    """Return the name of the process that forwarded an order."""
    if peer is None:
        return ''
    return peer.name or peer.route.decode('latin-1').partition('.')[0]
