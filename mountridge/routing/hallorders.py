# SPDX-License-Identifier: Apache-2.0

"""What an entry does with an operator's order for a hall.

Operators wait a second for an answer and then send the order again through
another box, so copies of one order are under way at once, and one may be
held up by a box that stands still, or by a link, until after a newer order.
Nothing in an order tells how old it is. So an entry reads the revision of
the hall while the operator is still waiting, and the order takes effect on
that revision alone: whatever the operator ordered next was committed later
than that was read, and has moved the revision on.
"""

import re
import typing

from mountridge import application, errors, messages
from mountridge.documents import halls
from mountridge.logs import logger

__all__ = ['FRESH_S', 'HallOrders', 'check_name']

#: Operators wait this long for an answer before they send again; an order
#: that is older is not sent to the leader.
FRESH_S = 1.0
#: How long the leader may take to commit. Longer than an election, so that
#: an order outlasts one.
SET_S = 3.0
#: Names of halls, as settings and registrations write them.
NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.-]{0,63}')

#: Calls the leader with a message and a time to answer in.
Call = typing.Callable[[typing.Any, float], typing.Awaitable[typing.Any]]


def check_name(name: str, known: list[str]) -> None:
    """Check the name of a hall; any is taken where ``known`` is empty.

    :raises BadRequest: it is malformed.
    :raises UnknownHall: no hall of the deployment has it.
    """
    if not NAME.fullmatch(name):
        raise errors.BadRequest(f'no name of a hall: {name[:80]!r}')
    if known and name not in known:
        raise errors.UnknownHall(f'{name!r} is none of {", ".join(known)}')


class HallOrders:
    """Takes operators' orders for halls to the leader."""

    def __init__(self, app: application.Application, call: Call):
        self.app = app
        self._call = call
        self._halls: list[str] = app.settings['halls']

    def follow_settings(self, settings: dict) -> None:
        """Take the halls of newer settings."""
        self._halls = settings['halls']

    async def read(self, timeout_s: float = FRESH_S) -> list[halls.HallState]:
        """Return the halls that were ever out, confirmed by a quorum.

        :raises NoController: it can't be told.
        """
        reply = await self._call(messages.ReadHalls(), timeout_s)
        return reply.halls

    async def set(self, name: str, is_out: bool) -> halls.HallState:
        """Take a hall out of service, or put it back, once that is held.

        :raises BadRequest: the name is malformed.
        :raises UnknownHall: no hall of the deployment has it.
        :raises NoController: it may have been carried out, or not.
        :raises HallChanged: other orders for this hall came first.
        """
        read_s = self.app.now_s()
        try:
            check_name(name, self._halls)
            held = await self._set(name, is_out, read_s)
        except errors.MountridgeError as problem:
            self.app.metrics.incr(f'halls.refused.{problem.code}')
            logger.info(
                'hall order refused',
                hall=name,
                is_out=is_out,
                code=problem.code,
                reason=str(problem),
                age_s=round(self.app.now_s() - read_s, 3),
            )
            raise
        self.app.metrics.incr('halls.acknowledged')
        logger.info(
            'hall order held',
            hall=name,
            is_out=is_out,
            revision=held.revision,
            age_s=round(self.app.now_s() - read_s, 3),
        )
        return held

    async def _set(
        self, name: str, is_out: bool, read_s: float
    ) -> halls.HallState:
        while True:
            left_s = read_s + FRESH_S - self.app.now_s()
            state = _named(await self.read(max(0.0, left_s)), name)
            if state.is_out == is_out:
                return state
            if self.app.now_s() - read_s >= FRESH_S:
                raise errors.NoController('the order has become too old')
            order = messages.SetHall(name, is_out, state.revision)
            try:
                reply = await self._call(order, SET_S)
            except errors.HallChanged:
                if self.app.now_s() - read_s >= FRESH_S:
                    raise
                continue
            return _named(reply.halls, name)


def _named(listed: list[halls.HallState], name: str) -> halls.HallState:
    """Return a hall of a list; one that was never out is not in it."""
    for state in listed:
        if state.name == name:
            return state
    return halls.default_state(name)
