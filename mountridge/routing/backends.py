# SPDX-License-Identifier: Apache-2.0

"""What a gateway knows of the runners that registered, and which it takes."""

import collections
import random
import typing

import trio

from mountridge.documents import instances
from mountridge import messages
from mountridge.routing import backoffs, choosing, returns, runnerstates
from mountridge.routing import warmup

__all__ = ['Backend', 'Backends', 'LEAVE_PACE', 'Picked', 'SLOW_PACE']

Backend = runnerstates.Backend

#: Least time between two reports of one runner, and weight of the newest in
#: the usual one. The leader lets many runners report more seldom.
LEAST_REST_S = 0.12
SMOOTHING = 0.05
#: Where reports rest longer than this, a gateway fills its own part of the
#: runners of its hall first, whose requests it knows itself, up to this part
#: of their slots. With 103 gateways, 192 runners of 3 slots of which 60 in
#: 100 are taken, and reports each 0.5 s, 7 in 100 requests then wait for a
#: slot where 12 did, and with 37 gateways, 72 runners of 5 slots and reports
#: each 0.2 s 0.1 where 0.7 did (model in the scenarios of placing). Where
#: reports come each 0.12 s to 9 gateways, own parts made more wait.
SELDOM_S = 0.15
PART_FULL = 0.7
#: No two reports of a runner that is well are further apart.
MOST_REST_S = 2.0
#: Span over which this gateway counts its own requests, to tell how many
#: the others send: long enough for some, shorter than bursts last.
RATE_S = 1.0
#: A runner whose work takes this many times as long as usual gets requests
#: only where all are slow: in a group all ranks wait for the slowest, and a
#: rank with no requests has nearly nothing to do.
SLOW_PACE = 1.25
#: From this pace on, streams that can be resumed leave for another runner.
#: Reading a prompt anew takes two passes; at half the speed that pays for
#: all but the last few events.
LEAVE_PACE = 2.0
#: Occupancy that a hop to another hall is worth: bytes between halls are
#: paid for, and 1 to 2 ms are little beside a first token of 100 ms.
HALL_COST = 0.05
#: Occupancy that a runner counts as busier while it is cold, and slower: one
#: of five slots. In a group all ranks wait for the slowest.
COLD_COST = 0.2


class Picked(typing.NamedTuple):
    """A runner and why it was taken, for the log line."""

    backend: Backend
    load: int
    report_age_s: float
    among: int  # runners that could have been taken
    placed_s: float


class Backends:
    """All runners of all services, following the view."""

    def __init__(
        self, name: str = '', bound: warmup.WarmupLimiter | None = None
    ) -> None:
        #: The gateway that this is, by whose name it has its own part.
        self.name = name
        #: Its part of the requests to runners that can turn cold.
        self.warmup = bound or warmup.WarmupLimiter(name)
        #: What runners have asked of this gateway.
        self.backoffs = backoffs.Backoffs()
        self._gateways: dict[str, str] = {}
        self._own_part: set[str] = set()
        #: Halls that are out of service.
        self.halls_out: set[str] = set()
        #: When halls were put back, of those that came back of late.
        self._back_s: dict[str, float] = {}
        self.by_id: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        #: Since when all runners of a service are closed.
        self._closed_s: dict[str, float] = {}
        #: Replaced by a new one, and set, when runners come, go or open.
        self.changed = trio.Event()
        #: Usual time between two reports of one runner, as they come.
        self.rest_s = LEAST_REST_S
        #: When requests of late were placed, by service.
        self._placed_s: dict[str, collections.deque[float]] = {}
        #: Ids of the runners owned here, by service, and by which deal.
        self._owned_ids: dict[str, frozenset[str]] = {}
        self._owned_deal = 0

    def follow(
        self, registered: typing.Iterable[instances.Instance]
    ) -> list[str]:
        """Follow the view; return the addresses whose runner is no more.

        A new life of a runner knows nothing of the one before, and nothing
        that was counted or closed for that one says anything of it.
        """
        before = {b.instance.address for b in self.by_id.values()}
        known = self.by_id
        ended: set[str] = set()
        self.by_id = {}
        self._by_service = {}
        for instance in registered:
            if instance.state == instances.LEFT:
                continue
            backend = known.get(instance.instance_id)
            if backend is None or not backend.is_life_of(instance):
                ended.add(instance.address)
                backend = Backend(instance)
            backend.instance = instance
            self.by_id[instance.instance_id] = backend
            listed = self._by_service.setdefault(instance.service, [])
            listed.append(backend)
        self._share_out()
        self._announce()
        after = {b.instance.address for b in self.by_id.values()}
        return sorted((before - after) | (before & ended))

    def report(self, load: messages.RunnerLoad, now_s: float) -> None:
        """Take what the sidecar of a runner has reported."""
        backend = self.by_id.get(load.instance_id)
        if backend is None:
            return
        rested_s = now_s - backend.told_s
        if rested_s < MOST_REST_S:
            rest_s = self.rest_s + SMOOTHING * (rested_s - self.rest_s)
            self.rest_s = max(LEAST_REST_S, rest_s)
        backend.told_s = now_s
        backend.heard(load.running, load.waiting, now_s)
        backend.pace = load.slowdown_percent / 100
        backend.group = load.group
        if backend.closure.tell(load.is_open, now_s):
            self._opened(backend)

    def began(self, backend: Backend, now_s: float) -> warmup.SendRecord:
        """Count an own request as sent to a runner."""
        backend.began(now_s)
        return self.warmup.record_send(backend.instance, now_s)

    def refused(self, backend: Backend, now_s: float) -> None:
        """Note that a rank did not run a request.

        With room it refused since its group is closed, or since another
        runner has its address, which closes the group until that one has
        joined. So it is with all other ranks of that group, or all of whose
        groups nothing is known.
        """
        is_full = backend.reported >= backend.instance.slots
        if is_full and not backend.replaced:
            return
        if not self._holds(backend):
            return
        for other in self._ranks_with(backend):
            other.closure.refused(now_s)

    def accepted(self, backend: Backend, now_s: float) -> None:
        """Note that a rank has taken a request: its group is open."""
        if not self._holds(backend):
            return
        if self.backoffs.record_accepted(backend.instance, now_s):
            self._announce()
        closure = backend.closure
        if closure.is_proved and not closure.is_closed(now_s, True):
            return
        for other in self._ranks_with(backend):
            other.closure.tell(True, now_s)
        self._opened(backend)

    def _holds(self, backend: Backend) -> bool:
        """Return whether a runner is held, and no later life of it.

        What a former life answers late says nothing of the group now.
        """
        return self.by_id.get(backend.instance.instance_id) is backend

    def _opened(self, backend: Backend) -> None:
        self._closed_s.pop(backend.instance.service, None)
        self._announce()

    def is_proving(self, service: str) -> bool:
        """Return whether one request is finding out about a service's ranks.

        A process that has just started holds a view that may be older than
        all runners: after a loss of all power each of those in the view has
        ended. So one request is sent, and others wait for what becomes of
        it, or for a report: sent together, their second tries alone would
        take up the budget of repeated sends for all gateways.
        """
        listed = self.of_service(service)
        if any(backend.closure.is_proved for backend in listed):
            return False
        return any(backend.own for backend in listed)

    def _ranks_with(self, backend: Backend) -> list[Backend]:
        """Return the ranks of a rank's group, as far as is known."""
        return [
            other
            for other in self.of_service(backend.instance.service)
            if other.group == backend.group
        ]

    def _announce(self) -> None:
        """Wake those that wait for a runner."""
        self.changed.set()
        self.changed = trio.Event()

    def follow_gateways(self, halls: dict[str, str]) -> None:
        """Follow the view: the hall of each gateway by its name."""
        if halls != self._gateways:
            self._gateways = dict(halls)
            self._share_out()

    def follow_halls(self, out: set[str], now_s: float) -> bool:
        """Follow the view: the halls out of service; whether that is new."""
        if out == self.halls_out:
            return False
        for hall in self.halls_out - out:
            self._back_s[hall] = now_s
        self.halls_out = out
        self._announce()
        return True

    def own_part(self) -> set[str]:
        """Return the ids of the runners that this gateway fills first."""
        return self._own_part

    def _share_out(self) -> None:
        """Deal the runners of this gateway's hall to its gateways in turn."""
        self._own_part = set()
        self._owned_ids.clear()
        hall = self._gateways.get(self.name)
        if hall is None:
            return
        near = sorted(n for n, h in self._gateways.items() if h == hall)
        place = near.index(self.name)
        for listed in self._by_service.values():
            ids = sorted(
                backend.instance.instance_id
                for backend in listed
                if backend.instance.hall == hall
            )
            self._own_part.update(ids[place :: len(near)])

    def of_service(self, service: str) -> list[Backend]:
        """Return the runners of a service that may get requests.

        Those that leave and those in halls out of service get none.
        """
        listed = self._staying(service)
        if not self.halls_out:
            return listed
        return [
            backend
            for backend in listed
            if backend.instance.hall not in self.halls_out
        ]

    def _returning(self, now_s: float) -> dict[str, float]:
        """Return what the runners of a hall count for above what they are.

        Only halls that were put back of late are in it.
        """
        if not self._back_s:
            return self._back_s
        added = {
            hall: returns.added_occupancy(now_s - back_s)
            for hall, back_s in self._back_s.items()
        }
        for hall, occupancy in added.items():
            if not occupancy:
                del self._back_s[hall]
        return added

    def is_all_out(self, service: str) -> bool:
        """Return whether all runners of a service are in halls that are out.

        That no request can be served is then known, and none need wait.
        """
        if not self.halls_out or self.of_service(service):
            return False
        return bool(self._staying(service))

    def _staying(self, service: str) -> list[Backend]:
        listed = [
            backend
            for backend in self._by_service.get(service, [])
            if backend.instance.state == instances.READY
            and not backend.replaced
        ]
        if not self.backoffs:
            return listed
        is_leaving = self.backoffs.is_leaving
        return [b for b in listed if not is_leaving(b.instance)]

    def closed_for_s(self, service: str, now_s: float) -> float | None:
        """Return for how long no rank of a service has taken requests.

        None where one does, or where there is none.
        """
        listed = self.of_service(service)
        if not listed or not all(
            backend.closure.is_closed(now_s, was_refused=True)
            for backend in listed
        ):
            self._closed_s.pop(service, None)
            return None
        return now_s - self._closed_s.setdefault(service, now_s)

    def pick(
        self,
        service: str,
        hall: str,
        tried: set[str],
        gateways: int,
        rng: random.Random,
        now_s: float,
        was_refused: bool = False,
    ) -> Picked | None:
        """Return the runner for a request; None where there is none.

        Those in ``tried`` have had the request and are not taken again, and
        those whose group is closed would refuse it. Where a rank has done so
        with this request, ``was_refused``, only groups that are known to be
        open get it.
        Runners left out for failures are taken only where all are.

        The ``gateways`` all see the same reports, and would all take the
        least loaded runner until the next ones come. So each takes a place
        drawn from those that all their unseen requests will fill.
        """
        sound = self._sound(service, tried, was_refused, now_s)
        if self.warmup.is_limited(service):
            has_quota_left = self.warmup.has_quota_left
            sound = [b for b in sound if has_quota_left(b.instance, now_s)]
        if not sound:
            return None
        return self._best(service, hall, sound, gateways, rng, now_s)

    def _best(
        self,
        service: str,
        hall: str,
        sound: list[Backend],
        gateways: int,
        rng: random.Random,
        now_s: float,
    ) -> Picked:
        """Return which of the runners that may be taken gets a request."""
        is_limited = self.warmup.is_limited(service)
        returning = self._returning(now_s)

        def occupancy(backend: Backend) -> float:
            more = returning.get(backend.instance.hall, 0.0)
            if is_limited and backend.instance.is_cold:
                more += COLD_COST
            return backend.occupancy(self.rest_s, now_s) + more

        def cost(backend: Backend) -> float:
            away = HALL_COST if backend.instance.hall != hall else 0.0
            return occupancy(backend) + away

        unseen = self._others_unseen(service, gateways, now_s)
        best = self._of_own_part(sound, occupancy, rng)
        if best is None and is_limited:
            near = [b for b in sound if b.instance.hall == hall]
            sound = [b for b in near if cost(b) < PART_FULL] or sound
            # The others' go to all runners, not only to those owned here.
            unseen *= len(sound) / len(self._by_service[service])
        if best is None:
            place = int(rng.random() * (unseen + 1))
            best = choosing.take_place(sound, cost, place, rng)
        age_s = now_s - best.reported_s
        load = best.load(self.rest_s, now_s)
        return Picked(best, load, age_s, len(sound), now_s)

    def _sound(
        self, service: str, tried: set[str], was_refused: bool, now_s: float
    ) -> list[Backend]:
        """Return the runners that would take a request and are well.

        Those that are not well are among them only where all are so.
        """
        fit = self._willing(service, tried, was_refused, now_s)
        if self.backoffs:
            may_select = self.backoffs.may_select
            fit = [b for b in fit if may_select(b.instance, now_s)]
            if tried and self.backoffs.is_any_unconfirmed(now_s):
                fit = [b for b in fit if self._is_at_work(b)] or fit
        sound = [b for b in fit if b.ejected_until_s <= now_s] or fit
        return [b for b in sound if b.pace < SLOW_PACE] or sound

    def _is_at_work(self, backend: Backend) -> bool:
        """Return whether a runner surely takes requests.

        While some turn all away, an idle one may be another of them, and a
        request that was turned away has few tries left. With 5 of 16 that
        do so, 2 tries and 0.8 requests at once on each other one, 0 of 560
        requests are refused where 9 were (scenarios of rests).
        """
        is_busy = backend.own > 0 or backend.reported > 0
        return is_busy and not self.backoffs.is_unconfirmed(backend.instance)

    def _willing(
        self, service: str, tried: set[str], was_refused: bool, now_s: float
    ) -> list[Backend]:
        """Return the runners that would take a request, but for rests."""
        return [
            backend
            for backend in self._open_to_us(service, now_s)
            if backend.instance.instance_id not in tried
            and not backend.closure.is_closed(now_s, was_refused)
        ]

    def rest_over_s(
        self, service: str, tried: set[str], was_refused: bool, now_s: float
    ) -> float | None:
        """Return when the first of the runners that rest may get a request.

        None where none rests of those that would take it.
        """
        if not self.backoffs:
            return None
        willing = self._willing(service, tried, was_refused, now_s)
        return min(
            (
                max(now_s, self.backoffs.until_s(backend.instance))
                for backend in willing
                if not self.backoffs.may_select(backend.instance, now_s)
            ),
            default=None,
        )

    def _open_to_us(self, service: str, now_s: float) -> list[Backend]:
        """Return the runners that may get requests from this gateway."""
        listed = self.of_service(service)
        if not self.warmup.is_limited(service):
            return listed
        owned = self._owned(service, now_s)
        return [b for b in listed if b.instance.instance_id in owned]

    def _owned(self, service: str, now_s: float) -> frozenset[str]:
        """Return the ids of runners of which this gateway is an owner.

        Kept until gateways or runners change: looked up for each of 72
        runners, they would take half of the time of placing.
        """
        deal = self.warmup.generation(now_s)
        if self._owned_deal != deal:
            self._owned_deal = deal
            self._owned_ids.clear()
        if service not in self._owned_ids:
            self._owned_ids[service] = frozenset(
                backend.instance.instance_id
                for backend in self._by_service.get(service, [])
                if self.warmup.quota(backend.instance, now_s)
            )
        return self._owned_ids[service]

    def owns_any(self, service: str, now_s: float) -> bool:
        """Return whether any runner may get requests from this gateway."""
        return bool(self._open_to_us(service, now_s))

    def free_s(
        self, service: str, tried: set[str], was_refused: bool, now_s: float
    ) -> float:
        """Return when `pick` finds a runner that can turn cold.

        `warmup.NEVER` where there is none, as far as is known, that this
        gateway may send any to.
        """
        sound = self._sound(service, tried, was_refused, now_s)
        return self.warmup.earliest_send_s(
            [b.instance for b in sound], 0, now_s
        )

    def turn_s(
        self, service: str, tried: set[str], ahead: int, now_s: float
    ) -> float:
        """Return when a request can go to a runner that can turn cold.

        Requests ``ahead`` are sent before. That is at the earliest: it counts
        on those that refuse or fail at present, and on those that will
        register where another one has stood.
        """
        runners = [
            backend.instance
            for backend in self._by_service.get(service, [])
            if backend.instance.state == instances.READY
            and backend.instance.hall not in self.halls_out
            and backend.instance.instance_id not in tried
        ]
        return self.warmup.earliest_send_s(runners, ahead, now_s)

    def _is_own(self, instance: instances.Instance) -> bool:
        """Return whether this gateway fills a runner first."""
        if self.warmup.is_limited(instance.service):
            return self.warmup.is_primary(instance)
        return instance.instance_id in self._own_part

    def _of_own_part(
        self,
        fit: list[Backend],
        occupancy: typing.Callable[[Backend], float],
        rng: random.Random,
    ) -> Backend | None:
        """Return the least occupied runner of the own part that has room.

        None where reports come often enough to know all runners.
        """
        if self.rest_s <= SELDOM_S:
            return None
        room = [
            (occupancy(backend), rng.random(), number)
            for number, backend in enumerate(fit)
            if self._is_own(backend.instance)
        ]
        room = [each for each in room if each[0] < PART_FULL]
        return fit[min(room)[2]] if room else None

    def _others_unseen(
        self, service: str, gateways: int, now_s: float
    ) -> float:
        """Count a request; return those of others that no report has yet."""
        placed_s = self._placed_s.setdefault(service, collections.deque())
        while placed_s and placed_s[0] < now_s - RATE_S:
            placed_s.popleft()
        own_per_s = len(placed_s) / RATE_S
        placed_s.append(now_s)
        unseen_s = runnerstates.UNSEEN_RESTS * self.rest_s
        return own_per_s * unseen_s * max(0, gateways - 1)
