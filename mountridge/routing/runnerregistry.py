# SPDX-License-Identifier: Apache-2.0

"""The registered runners, by id and service, and the halls in service."""

import typing

import trio

from mountridge.documents import instances
from mountridge.routing import backoffs, runnerstates, slowstart

__all__ = ['RunnerRegistry']

Backend = runnerstates.Backend


class RunnerRegistry:
    """All runners of all services, updated from the view.

    ``announced`` has the departures that runners have announced.
    """

    def __init__(self, announced: backoffs.Backoffs):
        self._announced = announced
        self.by_id: dict[str, Backend] = {}
        self.by_service: dict[str, list[Backend]] = {}
        #: Halls that are out of service.
        self.halls_out: set[str] = set()
        #: When each hall in its slow start was restored.
        self._restored_s: dict[str, float] = {}
        #: Set, and replaced by a new one, when the runners that can be
        #: selected change.
        self.changed = trio.Event()

    def update_runners(
        self, registered: typing.Iterable[instances.Instance]
    ) -> list[str]:
        """Apply the view; return the addresses whose incarnation has ended.

        A new incarnation of a runner starts without the load, failures and
        group state of the one before.
        """
        before = {b.instance.address for b in self.by_id.values()}
        previous = self.by_id
        ended: set[str] = set()
        self.by_id = {}
        self.by_service = {}
        for instance in registered:
            if instance.state == instances.LEFT:
                continue
            backend = previous.get(instance.instance_id)
            if backend is None or not backend.is_same_incarnation(instance):
                ended.add(instance.address)
                backend = Backend(instance)
            backend.instance = instance
            self.by_id[instance.instance_id] = backend
            listed = self.by_service.setdefault(instance.service, [])
            listed.append(backend)
        self.wake_waiters()
        after = {b.instance.address for b in self.by_id.values()}
        return sorted((before - after) | (before & ended))

    def is_current(self, backend: Backend) -> bool:
        """Return whether this is the known incarnation of a runner.

        A delayed answer of an earlier one does not show the current state.
        """
        return self.by_id.get(backend.instance.instance_id) is backend

    def wake_waiters(self) -> None:
        """Wake the requests that wait for a runner."""
        self.changed.set()
        self.changed = trio.Event()

    def update_halls(self, out: set[str], now_s: float) -> bool:
        """Apply the view: the halls out of service; return if they changed."""
        if out == self.halls_out:
            return False
        for hall in self.halls_out - out:
            self._restored_s[hall] = now_s
        self.halls_out = out
        self.wake_waiters()
        return True

    def registered(self, service: str) -> list[Backend]:
        """Return all known runners of a service."""
        return self.by_service.get(service, [])

    def of_service(self, service: str) -> list[Backend]:
        """Return the runners of a service that may get requests.

        Draining runners and those in halls out of service get none.
        """
        listed = self._not_draining(service)
        if not self.halls_out:
            return listed
        return [
            backend
            for backend in listed
            if backend.instance.hall not in self.halls_out
        ]

    def all_halls_out(self, service: str) -> bool:
        """Return whether all runners of a service are in halls that are out.

        If so, requests fail at once instead of waiting for a runner.
        """
        if not self.halls_out or self.of_service(service):
            return False
        return bool(self._not_draining(service))

    def _not_draining(self, service: str) -> list[Backend]:
        listed = [
            backend
            for backend in self.registered(service)
            if backend.instance.state == instances.READY
            and not backend.replaced
        ]
        if not self._announced:
            return listed
        is_leaving = self._announced.is_leaving
        return [b for b in listed if not is_leaving(b.instance)]

    def slow_start(self, now_s: float) -> dict[str, float]:
        """Return what to add to the occupancy of runners, by hall.

        Has the halls that were restored recently, and no others.
        """
        if not self._restored_s:
            return self._restored_s
        added = {
            hall: slowstart.added_occupancy(now_s - restored_s)
            for hall, restored_s in self._restored_s.items()
        }
        for hall, occupancy in added.items():
            if not occupancy:
                del self._restored_s[hall]
        return added
