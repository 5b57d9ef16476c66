# SPDX-License-Identifier: Apache-2.0

"""Admits requests to groups of ranks while their passes are short enough.

Each gateway decides by itself, from the load reports of all ranks and the
gaps between the events of its own streams. No message is sent for it.
"""

import math
import random
import typing

from mountridge.documents import routes
from mountridge import errors, metrics
from mountridge.logs import logger
from mountridge.routing import admissionbounds, admissionmodel
from mountridge.routing import admissionpriorities, admissionreturns
from mountridge.routing import recentmax, runnerregistry, runnerstates
from mountridge.routing import sendgates

__all__ = ['Admission', 'NEVER', 'PRIORITIES', 'ALWAYS']

Backend = runnerstates.Backend

#: Values of the setting `admission.when`.
NEVER, PRIORITIES, ALWAYS = 'never', 'priorities', 'always'
#: Loads of groups are added up again after this time: that takes longer than a
#: decision, and reports come less often. Own requests count at once.
SUM_VALID_S = 0.05
#: Without newer ones, reports count for this long: about as long as streams
#: run. After that the own requests, times the gateways, are a better estimate.
REPORT_KEPT_S = 2.0
#: A gateway that has left the view is assumed to send for this long: it may be
#: partitioned from the controllers only, or missing from a partial view.
GATEWAYS_KEPT_S = 30.0
#: A change of a bound by this part is logged.
LOGGED_CHANGE = 0.2


class _Service(typing.NamedTuple):
    """What the routes document states of a service with admission."""

    model: admissionmodel.PassModel
    longest_s: float  # longest pass with which its streams are in time


class GroupRoom(typing.NamedTuple):
    """The load and the bound of an open group."""

    group: int
    ranks: int
    requests: float
    bound: float
    places: int

    def has_room(self, part: float) -> bool:
        """Return whether it has room up to a ``part`` of its bound."""
        least = admissionbounds.MIN_SHARE * self.places
        most = max(part * self.bound, least)
        return self.requests < min(most, self.places)


class Admission(sendgates.Gate):
    """Decides which requests are sent, and steers them to groups with room."""

    def __init__(
        self,
        registry: runnerregistry.RunnerRegistry,
        interval_s: typing.Callable[[], float],
        counters: metrics.Metrics,
    ):
        self._registry = registry
        self._interval_s = interval_s
        self._metrics = counters
        self._services: dict[str, _Service] = {}
        self._bounds: dict[tuple[str, int], admissionbounds.GroupBound] = {}
        self._logged: dict[tuple[str, int], float] = {}
        self._rooms: dict[str, tuple[float, list[GroupRoom]]] = {}
        self._demand = admissionpriorities.Demand()
        self._floors = admissionpriorities.Floors()
        self._turns: dict[str, admissionreturns.Turns] = {}
        self._gateways = 1
        self._in_view = recentmax.RecentMax(GATEWAYS_KEPT_S)

    def update_routes(self, index: routes.Index, when: str) -> None:
        """Apply a routes document; ``when`` is `admission.when`."""
        self._services = {
            name: found
            for name in index.services
            if (found := _service(index, name, when)) is not None
        }
        self._rooms.clear()

    def is_on(self, service: str) -> bool:
        """Return whether requests to a service are admitted by room."""
        return service in self._services

    # Decisions.

    def admit(
        self,
        kind: sendgates.RequestClass,
        left_s: float,
        gateways: int,
        rng: random.Random,
        now_s: float,
    ) -> None:
        """Check that a request may be sent to any group.

        ``left_s`` is the time until its deadline.

        :raises Overloaded: no group has room for it.
        """
        service = self._services.get(kind.service)
        if service is None:
            return
        self._gateways = max(1, self._in_view.record(gateways, now_s))
        rooms = self._open_rooms(kind.service, now_s)
        if not rooms:
            return
        self._demand.record(kind.service, kind.priority, now_s)
        part = self._part(kind)
        keys = [
            (kind.service, '', kind.priority),
            (kind.service, kind.team, 0),
        ]
        is_due = any(self._floors.is_due(key) for key in keys)
        if is_due:
            # Up to what the most urgent may use, so not instead of those.
            part = admissionpriorities.MOST_URGENT
        is_admitted = any(room.has_room(part) for room in rooms)
        for key in keys:
            self._floors.record(key, is_admitted)
        if is_admitted:
            self._metrics.incr(f'admission.admitted.{kind.priority}')
            return
        self._metrics.incr(f'admission.refused.{kind.priority}')
        raise self._overloaded(kind, service, rooms, left_s, rng, now_s)

    def sendable(
        self,
        backends: list[Backend],
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> list[Backend]:
        """Return the ranks of groups with room; else of that with most."""
        service = self._services.get(kind.service)
        if service is None:
            return backends
        rooms = self._open_rooms(kind.service, now_s)
        part = self._part(kind)
        found = {room.group for room in rooms if room.has_room(part)}
        if not found and rooms:
            least = min(rooms, key=lambda room: room.requests / room.bound)
            found = {least.group}
        return [b for b in backends if b.group in found] or backends

    def record_sent(
        self, backend: Backend, kind: sendgates.RequestClass, now_s: float
    ) -> None:
        """Add an own request to the load of its group."""
        if kind.service not in self._rooms:
            return
        added_s, rooms = self._rooms[kind.service]
        self._rooms[kind.service] = added_s, [
            (
                room._replace(requests=room.requests + 1)
                if room.group == backend.group
                else room
            )
            for room in rooms
        ]

    def _part(self, kind: sendgates.RequestClass) -> float:
        before = self._demand.share_before(kind.service, kind.priority)
        return admissionpriorities.allowance(before, kind.is_returned)

    def _overloaded(
        self,
        kind: sendgates.RequestClass,
        service: _Service,
        rooms: list[GroupRoom],
        left_s: float,
        rng: random.Random,
        now_s: float,
    ) -> errors.Overloaded:
        bound = sum(room.bound for room in rooms)
        stream_s = service.model.passes * service.longest_s
        turns = self._turns.setdefault(kind.service, admissionreturns.Turns())
        retry_after_s = turns.retry_after_s(
            self._demand.share_before(kind.service, kind.priority),
            bound / stream_s / self._gateways,
            left_s,
            rng,
            now_s,
        )
        requests = sum(room.requests for room in rooms)
        return errors.Overloaded(
            f'{requests:.0f} requests in {len(rooms)} groups with bounds of'
            f' {bound:.0f}, priority {kind.priority} up to'
            f' {self._part(kind):.2f}',
            retry_after_s=retry_after_s,
        )

    # Load and bounds of groups.

    def record_gap(self, backend: Backend, gap_s: float, now_s: float) -> None:
        """Record the gap between two events of a stream of this gateway."""
        name = backend.instance.service
        service = self._services.get(name)
        if service is None:
            return
        for room in self._open_rooms(name, now_s):
            if room.group == backend.group:
                self._bound(name, room.group).record_gap(
                    service.model,
                    gap_s,
                    room.requests / room.ranks,
                    room.places / room.ranks,
                    now_s,
                )

    def _bound(self, service: str, group: int) -> admissionbounds.GroupBound:
        return self._bounds.setdefault(
            (service, group), admissionbounds.GroupBound()
        )

    def _open_rooms(self, name: str, now_s: float) -> list[GroupRoom]:
        """Return the load and bound of each open group of a service."""
        added_s, rooms = self._rooms.get(name, (-math.inf, []))
        if now_s - added_s >= SUM_VALID_S:
            rooms = self._add_up(name, now_s)
            self._rooms[name] = now_s, rooms
        return rooms

    def _add_up(self, name: str, now_s: float) -> list[GroupRoom]:
        service = self._services[name]
        interval_s = self._interval_s()
        stale_s = now_s - REPORT_KEPT_S
        sums: dict[int, list[float]] = {}
        for backend in self._registry.of_service(name):
            if backend.group_state.is_closed(now_s) or not backend.group:
                continue
            each = sums.setdefault(backend.group, [0, 0.0, 0])
            load = max(
                backend.load(interval_s, now_s), backend.reported_requests
            )
            if backend.reported_s < stale_s:
                # Without reports others are assumed to send as much.
                load = backend.own_requests * self._gateways
            each[0] += 1
            each[1] += load
            each[2] += max(1, backend.instance.slots)
        rooms = []
        for group, (ranks, requests, places) in sums.items():
            each = self._bound(name, group).most_requests(
                service.model, service.longest_s, places / ranks, now_s
            )
            room = GroupRoom(group, ranks, requests, each * ranks, places)
            self._log_bound(name, room, now_s)
            rooms.append(room)
        return rooms

    def _log_bound(self, name: str, room: GroupRoom, now_s: float) -> None:
        key = name, room.group
        before = self._logged.get(key, 0.0)
        if abs(room.bound - before) < LOGGED_CHANGE * max(before, 1.0):
            return
        self._logged[key] = room.bound
        self._metrics.gauge(f'admission.bound.{name}.{room.group}', room.bound)
        known = self._bounds[key]
        logger.info(
            'admission bound',
            service=name,
            group=room.group,
            bound=round(room.bound, 1),
            before=round(before, 1),
            requests=room.requests,
            places=room.places,
            imbalance=round(known.imbalance(now_s), 2),
            gap_age_s=round(min(known.age_s(now_s), 999), 2),
        )


def _service(index: routes.Index, name: str, when: str) -> _Service | None:
    """Return the state of a service; None if it has no admission."""
    if when == NEVER or (when != ALWAYS and name not in index.ranked):
        return None
    model = admissionmodel.pass_model(index.services[name].engine)
    listed = [
        route
        for route in index.table.routes
        if route.kind == routes.STREAMING
        and any(share.service == name for share in route.shares)
    ]
    longest_s = min(
        (
            admissionbounds.longest_pass_s(
                route.target_ms / 1000, route.gap_ms / 1000
            )
            for route in listed
        ),
        default=math.inf,
    )
    if model is None or longest_s == math.inf:
        return None
    return _Service(model, longest_s)
