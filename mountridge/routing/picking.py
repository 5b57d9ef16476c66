# SPDX-License-Identifier: Apache-2.0

"""Which runner a routed request goes to, and how long it waits for one.

A request waits only where a runner may come or open soon: where none is
known, where the groups of all are closed, where another request is finding
out whether the runners of a view are still there, and where those that can
turn cold have had their part of this gateway's requests. What can't be served
in time is refused at once, as where all halls are out of service.
"""

import collections
import random
import typing

import trio

from mountridge import application, errors, utils
from mountridge.documents import routes
from mountridge.routing import backends, closures, lines, routedexchanges
from mountridge.routing import warmup

__all__ = ['Picker']

Exchange = routedexchanges.Exchange

#: How long a request waits for a runner where none is known, and the part
#: of its remaining time that it may wait for any. After a loss of all power
#: new runners register within 1.2 s; a caller that is refused may come back
#: only once, and later than that.
RUNNER_WAIT_S = 1.2
WAIT_PART = 0.4
#: How long a request waits in all for a group that is closed and may open
#: soon, and the part of its time. Callers give a stream up that has shown
#: nothing for 2 s, and a first event takes up to 0.5 s where many wait.
GROUP_WAIT_S = 1.5
#: Between two looks whether a group may take requests: a refusal by one of
#: its ranks stands for 0.3 s only.
GROUP_LOOK_S = 0.1
#: Where the rest of a runner is over and one request finds out if it was long
#: enough, others come back after that one's answer: a first event takes 0.1
#: to 0.5 s.
LEAST_BACK_S = 0.5


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
        #: Requests that wait for a runner that can turn cold, by service.
        self._lines: dict[str, lines.Line] = collections.defaultdict(
            lines.Line
        )
        #: Since when all known runners of a service have other owners.
        self._unowned_s: dict[str, float] = {}

    async def pick(self, exchange: Exchange) -> backends.Picked:
        """Return a runner, once there is one.

        :raises NoRunner: there is none, or none registers in time.
        :raises RunnersCold: those there are get no more by then.
        """
        if self.known.warmup.is_bound(exchange.service):
            picked = await self._pick_in_turn(exchange)
        else:
            picked = await self._pick_now(exchange)
        if picked is None and self._is_proving(exchange):
            # Nothing has told in time; the try may still come off.
            picked = self._pick_any(exchange, self._app.now_s())
        if picked is None:
            raise self._none_left(exchange)
        exchange.picked = picked
        return picked

    async def _pick_now(self, exchange: Exchange) -> backends.Picked | None:
        now_s = self._app.now_s()
        wait_s = max(0.0, self._longest_wait_s(exchange, now_s))
        until_s = now_s + wait_s
        picked = self._choose(exchange, now_s)
        with trio.move_on_after(wait_s):
            while picked is None and self._may_come(exchange, until_s):
                with trio.move_on_after(GROUP_LOOK_S):
                    await self.known.changed.wait()
                picked = self._choose(exchange, self._app.now_s())
        return picked

    # Runners that can turn cold.

    async def _pick_in_turn(
        self, exchange: Exchange
    ) -> backends.Picked | None:
        """Return a runner that may get one more; None as `_pick_now`.

        A second try has waited before, and some runners are closed to it, so
        it joins no line and takes the first runner that is free.

        :raises RunnersCold: the turn would come too late.
        """
        now_s = self._app.now_s()
        line = self._lines[exchange.service]
        picked = None
        if exchange.attempted or not len(line):
            picked = self._choose(exchange, now_s)
        if picked is not None:
            self._unowned_s.pop(exchange.service, None)
            return picked
        self._app.metrics.incr('cold.waited')
        if exchange.attempted:
            # `GROUP_WAIT_S` bounds the wait for a first event; a stream that
            # is resumed has shown some, and may wait a whole window.
            left_s = exchange.deadline_s - now_s
            until_s = now_s + min(warmup.WINDOW_S, WAIT_PART * left_s)
            return await self._wait_for_turn(exchange, None, until_s)
        place = line.join(_priority(exchange))
        until_s = now_s + max(0.0, self._longest_wait_s(exchange, now_s))
        try:
            return await self._wait_for_turn(exchange, place, until_s)
        finally:
            line.leave(place)

    async def _wait_for_turn(
        self, exchange: Exchange, place: lines.Place | None, until_s: float
    ) -> backends.Picked | None:
        line = self._lines[exchange.service]
        while True:
            now_s = self._app.now_s()
            ahead = line.ahead(place) if place else 0
            turn_s = self.known.turn_s(
                exchange.service, exchange.attempted, ahead, now_s
            )
            if turn_s != warmup.NEVER and turn_s > until_s:
                raise self._too_cold(exchange, ahead, turn_s - now_s)
            if now_s >= until_s:
                return None
            if ahead:
                # The first of the line tells when it has gone.
                place.moved = trio.Event()
                with trio.move_on_after(until_s - now_s):
                    await place.moved.wait()
                continue
            picked = self._choose(exchange, now_s)
            if picked is not None:
                return picked
            free_s = self._free_s(exchange, now_s)
            if free_s == warmup.NEVER:
                if not self._may_own(exchange, now_s, until_s):
                    return None
            next_s = min(until_s, free_s) if free_s > now_s else until_s
            rest_s = min(GROUP_LOOK_S, next_s - now_s)
            with trio.move_on_after(rest_s):
                await self.known.changed.wait()

    def _may_own(
        self, exchange: Exchange, now_s: float, until_s: float
    ) -> bool:
        """Return whether a runner may come that gets requests from here.

        Where few are known after a start, all may have other owners; where
        that lasts, so it will be for all requests.
        """
        service = exchange.service
        if not self._known(exchange) or self.known.owns_any(service, now_s):
            self._unowned_s.pop(service, None)
            return self._may_come(exchange, until_s)
        since_s = self._unowned_s.setdefault(service, now_s)
        return now_s - since_s < closures.HOPE_S

    def _free_s(self, exchange: Exchange, now_s: float) -> float:
        return self.known.free_s(
            exchange.service,
            exchange.attempted,
            self._was_refused(exchange),
            now_s,
        )

    def _too_cold(
        self, exchange: Exchange, ahead: int, turn_in_s: float
    ) -> errors.RunnersCold:
        return errors.RunnersCold(
            f'{ahead} wait, the next turn is in {turn_in_s:.1f} s',
            retry_after_s=utils.spread(turn_in_s, self._rng),
        )

    # What is known.

    def _longest_wait_s(self, exchange: Exchange, now_s: float) -> float:
        """Return how long a request may wait for a runner from now on."""
        wait_s = RUNNER_WAIT_S
        if self._known(exchange):
            wait_s = exchange.begun_s + GROUP_WAIT_S - now_s
        return min(wait_s, WAIT_PART * (exchange.deadline_s - now_s))

    def _may_come(self, exchange: Exchange, until_s: float) -> bool:
        """Return whether a runner may come soon, or a group open.

        Of those that rest it is known when they may get requests again.
        """
        if self.known.is_all_out(exchange.service):
            return False
        if not self._known(exchange) or self._is_proving(exchange):
            return True
        over_s = self._rest_over_s(exchange)
        if over_s is not None and over_s <= until_s:
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
        over_s = self._rest_over_s(exchange)
        if over_s is not None:
            return self._all_rest(over_s - self._app.now_s())
        service = exchange.service
        is_bound = self.known.warmup.is_bound(service)
        if is_bound and not self.known.owns_any(service, self._app.now_s()):
            if self._known(exchange):
                return errors.RunnersCold('all have other owners')
        return errors.NoRunner(f'no runner of {exchange.service} is left')

    def _rest_over_s(self, exchange: Exchange) -> float | None:
        """Return when the first runner that rests may get the request."""
        return self.known.rest_over_s(
            exchange.service,
            exchange.attempted,
            self._was_refused(exchange),
            self._app.now_s(),
        )

    def _all_rest(self, left_s: float) -> errors.RunnersResting:
        return errors.RunnersResting(
            f'all have asked for rest, the first for {left_s:.1f} s more',
            retry_after_s=utils.spread(max(LEAST_BACK_S, left_s), self._rng),
        )

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
            exchange.attempted,
            self._gateways(),
            self._rng,
            now_s,
            self._was_refused(exchange),
        )

    def _was_refused(self, exchange: Exchange) -> bool:
        """Return whether a rank has refused, or failed, this request."""
        return bool(exchange.attempted) and self.has_ranks(exchange.service)

    def has_ranks(self, service_name: str) -> bool:
        """Return whether a service's runners form expert-parallel groups."""
        service = self._index().services.get(service_name)
        return bool(service and service.engine and service.engine.experts)


def _priority(exchange: Exchange) -> int:
    """Return how urgent a request is, 0 first; a team's own goes before."""
    team = exchange.team
    if team is not None and team.priority is not None:
        return team.priority
    return exchange.route.priority
