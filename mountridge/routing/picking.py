# SPDX-License-Identifier: Apache-2.0

"""Which runner a routed request goes to, and how long it waits for one.

A request waits only where a runner may come or open soon: where none is
known, where the groups of all are closed, and where another request is
finding out whether the runners of a view are still there. What can't be
served in time is refused at once, as where all halls are out of service.
"""

import random
import typing

import trio

from mountridge import application, errors
from mountridge.documents import routes
from mountridge.routing import backends, closures, routedexchanges

__all__ = ['Picker']

Exchange = routedexchanges.Exchange

#: How long a request waits for a runner where none is known, and the part
#: of its time. After a loss of all power new runners register within 1.2 s;
#: a caller that is refused may come back only once, and later than that.
RUNNER_WAIT_S = 1.2
RUNNER_WAIT_PART = 0.4
#: How long a request waits in all for a group that is closed and may open
#: soon, and the part of its time. Callers give a stream up that has shown
#: nothing for 2 s, and a first event takes up to 0.5 s where many wait.
GROUP_WAIT_S = 1.5
#: Between two looks whether a group may take requests: a refusal by one of
#: its ranks stands for 0.3 s only.
GROUP_LOOK_S = 0.1


class Picker:
    """Picks runners for the requests of one gateway."""

    def __init__(
        self,
        app: application.Application,
        index: typing.Callable[[], routes.Index | None],
        known: backends.Backends,
        gateways: typing.Callable[[], int],
        rng: random.Random,
    ):
        self.known = known
        self._app = app
        self._index = index
        self._gateways = gateways
        self._rng = rng

    async def pick(self, exchange: Exchange) -> backends.Picked:
        """Return a runner, once there is one.

        :raises NoRunner: there is none, or none registers in time.
        """
        now_s = self._app.now_s()
        wait_s = self._longest_wait_s(exchange, now_s)
        picked = self._choose(exchange, now_s)
        with trio.move_on_after(max(0.0, wait_s)):
            while picked is None and self._may_come(exchange):
                with trio.move_on_after(GROUP_LOOK_S):
                    await self.known.changed.wait()
                picked = self._choose(exchange, self._app.now_s())
        if picked is None and self._is_proving(exchange):
            # Nothing has told in time; the try may still come off.
            picked = self._pick_any(exchange, self._app.now_s())
        if picked is None:
            raise self._none_left(exchange)
        exchange.picked = picked
        return picked

    def _longest_wait_s(self, exchange: Exchange, now_s: float) -> float:
        """Return how long a request may wait for a runner from now on."""
        wait_s = RUNNER_WAIT_S
        if self._known(exchange):
            wait_s = exchange.begun_s + GROUP_WAIT_S - now_s
        return min(wait_s, RUNNER_WAIT_PART * (exchange.until_s - now_s))

    def _may_come(self, exchange: Exchange) -> bool:
        """Return whether a runner may come soon, or a group open."""
        if self.known.is_all_out(exchange.service):
            return False
        if not self._known(exchange) or self._is_proving(exchange):
            return True
        closed_for_s = self._closed_for_s(exchange)
        return closed_for_s is not None and closed_for_s < closures.HOPE_S

    def _closed_for_s(self, exchange: Exchange) -> float | None:
        """Return for how long all groups are closed, None where they aren't.

        Runners of plain services are in no group.
        """
        if not self.has_ranks(exchange.service):
            return None
        now_s = self._app.now_s()
        return self.known.closed_for_s(exchange.service, now_s)

    def _none_left(self, exchange: Exchange) -> errors.MountridgeError:
        if self.known.is_all_out(exchange.service):
            out = ', '.join(sorted(self.known.halls_out))
            return errors.HallsOut(f'out of service: {out}')
        closed_for_s = self._closed_for_s(exchange)
        if closed_for_s is not None:
            return errors.GroupClosed(f'closed for {closed_for_s:.1f} s')
        return errors.NoRunner(f'no runner of {exchange.service} is left')

    def _known(self, exchange: Exchange) -> list[backends.Backend]:
        return self.known.of_service(exchange.service)

    def _is_proving(self, exchange: Exchange) -> bool:
        """Return whether another request finds out about the ranks."""
        service = exchange.service
        return self.has_ranks(service) and self.known.is_proving(service)

    def _choose(
        self, exchange: Exchange, now_s: float
    ) -> backends.Picked | None:
        if self._is_proving(exchange):
            return None
        return self._pick_any(exchange, now_s)

    def _pick_any(
        self, exchange: Exchange, now_s: float
    ) -> backends.Picked | None:
        return self.known.pick(
            exchange.service,
            self._app.settings['hall'],
            exchange.tried,
            self._gateways(),
            self._rng,
            now_s,
            bool(exchange.tried) and self.has_ranks(exchange.service),
        )

    def has_ranks(self, service_name: str) -> bool:
        """Return whether a service's runners form expert-parallel groups."""
        service = self._index().services.get(service_name)
        return bool(service and service.engine and service.engine.experts)
