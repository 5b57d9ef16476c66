# SPDX-License-Identifier: Apache-2.0

"""Operators' orders to drain or restore halls, as an entry handles them.

Operators wait a second for an answer and then repeat the order through another
box, so several copies of one order may be in flight, and a suspended box or a
slow link may delay one until after a newer order. An order carries no age.
Therefore an entry reads the revision of the hall while the operator is still
waiting, and the order is applied to that revision only: a later order of the
operator is committed after that read, and increments the revision.
"""

import re
import typing

from mountridge import application, errors, messages
from mountridge.documents import halls
from mountridge.logs import logger

__all__ = ['HallOrders', 'MAX_ORDER_AGE_S', 'check_name']

#: Operators repeat an order that is not answered within this time; an older
#: order is not sent to the leader.
MAX_ORDER_AGE_S = 1.0
#: Timeout of a commit by the leader: longer than an election, so that an order
#: is not lost by one.
COMMIT_TIMEOUT_S = 3.0
#: Valid names of halls, in settings and registrations too.
NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9_.-]{0,63}')

#: Calls the leader with a message and a timeout in seconds.
Call = typing.Callable[[typing.Any, float], typing.Awaitable[typing.Any]]


def check_name(name: str, configured: list[str]) -> None:
    """Check the name of a hall; if none is configured, any valid one passes.

    :raises BadRequest: the name is malformed.
    :raises UnknownHall: no hall of the deployment has this name.
    """
    if not NAME_PATTERN.fullmatch(name):
        raise errors.BadRequest(f'malformed name of a hall: {name[:80]!r}')
    if configured and name not in configured:
        raise errors.UnknownHall(
            f'{name!r} is not one of {", ".join(configured)}'
        )


class HallOrders:
    """Sends operators' orders for halls to the leader."""

    def __init__(self, app: application.Application, call: Call):
        self.app = app
        self._call = call
        self._halls: list[str] = app.settings['halls']

    def update_settings(self, settings: dict) -> None:
        """Apply the list of halls of new settings."""
        self._halls = settings['halls']

    async def read(
        self, timeout_s: float = MAX_ORDER_AGE_S
    ) -> list[halls.HallState]:
        """Return the halls that were ever out of service.

        The answer is confirmed by a quorum.

        :raises NoController: no leader answered in time.
        """
        reply = await self._call(messages.ReadHalls(), timeout_s)
        return reply.halls

    async def set(self, name: str, is_out: bool) -> halls.HallState:
        """Take a hall out of service, or restore it; return once committed.

        :raises BadRequest: the name is malformed.
        :raises UnknownHall: no hall of the deployment has this name.
        :raises NoController: the order may have been applied, or not.
        :raises HallChanged: other orders for this hall were committed first.
        """
        received_s = self.app.now_s()
        try:
            check_name(name, self._halls)
            state = await self._set(name, is_out, received_s)
        except errors.MountridgeError as problem:
            self.app.metrics.incr(f'halls.refused.{problem.code}')
            logger.info(
                'hall order refused',
                hall=name,
                is_out=is_out,
                code=problem.code,
                reason=str(problem),
                age_s=round(self.app.now_s() - received_s, 3),
            )
            raise
        self.app.metrics.incr('halls.acknowledged')
        logger.info(
            'hall order acknowledged',
            hall=name,
            is_out=is_out,
            revision=state.revision,
            age_s=round(self.app.now_s() - received_s, 3),
        )
        return state

    async def _set(
        self, name: str, is_out: bool, received_s: float
    ) -> halls.HallState:
        while True:
            left_s = received_s + MAX_ORDER_AGE_S - self.app.now_s()
            state = _find_hall(await self.read(max(0.0, left_s)), name)
            if state.is_out == is_out:
                return state
            if self.app.now_s() - received_s >= MAX_ORDER_AGE_S:
                raise errors.NoController('the order is too old to be sent')
            order = messages.SetHall(name, is_out, state.revision)
            try:
                reply = await self._call(order, COMMIT_TIMEOUT_S)
            except errors.HallChanged:
                if self.app.now_s() - received_s >= MAX_ORDER_AGE_S:
                    raise
                continue
            return _find_hall(reply.halls, name)


def _find_hall(listed: list[halls.HallState], name: str) -> halls.HallState:
    """Return a hall of a list, which omits halls that were never out."""
    for state in listed:
        if state.name == name:
            return state
    return halls.default_state(name)
