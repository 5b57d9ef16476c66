# SPDX-License-Identifier: Apache-2.0

"""The leader's office for halls that are out of service.

What holds is in the replicated state and reaches gateways with the view.
An order names the revision of the hall that it was made on, and changes
nothing where another order came between.
"""

import typing

from mountridge import application, errors, messages
from mountridge.consensus import replicas
from mountridge.logs import logger
from mountridge.state import commands, statemachine

__all__ = ['HallManager']


class HallManager:
    """Answers `ReadHalls` and `SetHall` while this controller leads."""

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
        await self._replica.confirm()
        listed = self._machine.halls
        return messages.HallsReply([listed[name] for name in sorted(listed)])

    async def on_set(
        self, peer: application.Peer, order: messages.SetHall
    ) -> messages.HallsReply:
        """Take a hall out of service or put it back, once committed.

        :raises HallChanged: another order came between; nothing is changed.
        """
        self._replica.check_leader()
        before = self._machine.halls.get(order.hall)
        command = commands.SetHall(*order, self.app.wall_s())
        try:
            held = await self._replica.propose(commands.encode(command))
        except errors.HallChanged as problem:
            self.app.metrics.incr('halls.changed_between')
            logger.info(
                'hall order too late',
                **order._asdict(),
                by=_sender(peer),
                reason=str(problem),
            )
            raise
        self._push()
        self.app.metrics.incr('halls.orders')
        logger.info(
            'hall',
            hall=held.name,
            was_out=bool(before and before.is_out),
            is_out=held.is_out,
            read_revision=order.revision,
            revision=held.revision,
            by=_sender(peer),
        )
        return messages.HallsReply([held])


def _sender(peer: application.Peer | None) -> str:
    """Return the name of the process that passed an order on."""
    if peer is None:
        return ''
    return peer.name or peer.route.decode('latin-1').partition('.')[0]
