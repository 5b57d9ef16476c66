# SPDX-License-Identifier: Apache-2.0

"""Tracks the registered runners and selects one for each request."""

import collections
import random
import typing

import trio

from mountridge.documents import instances
from mountridge import messages
from mountridge.routing import choosing, backoffs, runnerstates
from mountridge.routing import slowstart, warmup

__all__ = [
    'AVOID_SLOWDOWN',
    'Backend',
    'Backends',
    'MIGRATE_SLOWDOWN',
    'Picked',
]

Backend = runnerstates.Backend

#: Least usual time between two reports of one runner, and the weight of the
#: newest interval in it. With many runners the leader sets longer intervals.
MIN_REPORT_INTERVAL_S = 0.12
SMOOTHING = 0.05
#: Where the report interval is longer than this, a gateway first fills its
#: preferred subset of the runners in its hall, up to an occupancy of
#: `SUBSET_FULL`: it knows its own requests there without a report. With more
#: frequent reports to few gateways, subsets make more requests wait.
FREQUENT_REPORT_S = 0.15
SUBSET_FULL = 0.7
#: Longer gaps between reports are outages, not intervals.
MAX_REPORT_INTERVAL_S = 2.0
#: Window in which this gateway counts its own requests, to estimate how many
#: the others send: long enough for a few, shorter than bursts last.
RATE_WINDOW_S = 1.0
#: A runner with at least this slowdown gets requests only if all are slow: in
#: a group all ranks wait for the slowest, and a rank without requests has
#: little to do.
AVOID_SLOWDOWN = 1.25
#: From this slowdown on, streams that can be resumed move to another runner.
#: Processing the prompt again takes about two forward passes.
MIGRATE_SLOWDOWN = 2.0
#: Occupancy that a hop to another hall is worth: traffic between halls is
#: charged for, while its delay is small compared to a time to first token.
HALL_COST = 0.05
#: Occupancy added for a cold runner, which is slower: in a group all ranks
#: wait for the slowest.
COLD_COST = 0.2


class Picked(typing.NamedTuple):
    """The selected runner and the grounds for it, for the log line."""

    backend: Backend
    load: int
    report_age_s: float
    candidates: int  # runners that were considered
    picked_s: float


class Backends:
    """All runners of all services, updated from the view."""

    def __init__(
        self, name: str = '', limits: warmup.WarmupLimiter | None = None
    ) -> None:
        #: The name of this gateway, which decides its preferred subset.
        self.name = name
        #: This gateway's share of the requests to runners that can turn cold.
        self.warmup = limits or warmup.WarmupLimiter(name)
        #: Backoff and drain states that runners have sent to this gateway.
        self.backoffs = backoffs.Backoffs()
        self._gateways: dict[str, str] = {}
        self._preferred: set[str] = set()
        #: Halls that are out of service.
        self.halls_out: set[str] = set()
        #: When each hall in its slow start was restored.
        self._restored_s: dict[str, float] = {}
        self.by_id: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}
        #: Since when all runners of a service are closed.
        self._closed_since_s: dict[str, float] = {}
        #: Set, and replaced by a new one, when the runners that can be
        #: selected change.
        self.changed = trio.Event()
        #: Usual time between two reports of one runner, as they arrive.
        self.report_interval_s = MIN_REPORT_INTERVAL_S
        #: Times of recent selections, by service.
        self._picked_s: dict[str, collections.deque[float]] = {}
        #: Ids of the runners owned by this gateway, by service, and the
        #: generation of their assignment.
        self._owned_ids: dict[str, frozenset[str]] = {}
        self._owned_generation = 0

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
        self._by_service = {}
        for instance in registered:
            if instance.state == instances.LEFT:
                continue
            backend = previous.get(instance.instance_id)
            if backend is None or not backend.is_same_incarnation(instance):
                ended.add(instance.address)
                backend = Backend(instance)
            backend.instance = instance
            self.by_id[instance.instance_id] = backend
            listed = self._by_service.setdefault(instance.service, [])
            listed.append(backend)
        self._assign_subset()
        self._wake_waiters()
        after = {b.instance.address for b in self.by_id.values()}
        return sorted((before - after) | (before & ended))

    def record_report(self, load: messages.RunnerLoad, now_s: float) -> None:
        """Record a report from the sidecar of a runner."""
        backend = self.by_id.get(load.instance_id)
        if backend is None:
            return
        newest_s = now_s - backend.sidecar_report_s
        if newest_s < MAX_REPORT_INTERVAL_S:
            interval_s = self.report_interval_s + SMOOTHING * (
                newest_s - self.report_interval_s
            )
            self.report_interval_s = max(MIN_REPORT_INTERVAL_S, interval_s)
        backend.sidecar_report_s = now_s
        backend.record_load(load.running, load.waiting, now_s)
        backend.slowdown = load.slowdown_percent / 100
        backend.group = load.group
        if backend.group_state.record_report(load.is_open, now_s):
            self._group_opened(backend)

    def request_started(
        self, backend: Backend, now_s: float
    ) -> warmup.SendRecord:
        """Count a request of this gateway as sent to a runner."""
        backend.request_started(now_s)
        return self.warmup.record_send(backend.instance, now_s)

    def record_refusal(self, backend: Backend, now_s: float) -> None:
        """Record that a rank did not run a request.

        A rank with free slots refuses because its group is closed, or because
        another runner uses its address now, which closes the group until
        that one has joined. The refusal then counts for all known ranks of
        the group; ranks whose group is unknown count as one group.
        """
        is_full = backend.reported_requests >= backend.instance.slots
        if is_full and not backend.replaced:
            return
        if not self._is_current(backend):
            return
        for other in self._ranks_in_group(backend):
            other.group_state.record_refusal(now_s)

    def record_acceptance(self, backend: Backend, now_s: float) -> None:
        """Record that a rank has accepted a request: its group is open."""
        if not self._is_current(backend):
            return
        if self.backoffs.record_accepted(backend.instance, now_s):
            self._wake_waiters()
        state = backend.group_state
        if state.is_known and not state.is_closed(now_s, True):
            return
        for other in self._ranks_in_group(backend):
            other.group_state.record_report(True, now_s)
        self._group_opened(backend)

    def _is_current(self, backend: Backend) -> bool:
        """Return whether this is the known incarnation of a runner.

        A delayed answer of an earlier one does not show the current state.
        """
        return self.by_id.get(backend.instance.instance_id) is backend

    def _group_opened(self, backend: Backend) -> None:
        self._closed_since_s.pop(backend.instance.service, None)
        self._wake_waiters()

    def is_probing(self, service: str) -> bool:
        """Return whether one request is probing the ranks of a service.

        The view of a process that has just started may be older than all
        runners, for example after a loss of all power. Until a report or an
        answer arrives, one request is sent and the others wait: if all were
        sent, their retries would use up the retry budget of all gateways.
        """
        listed = self.of_service(service)
        if any(backend.group_state.is_known for backend in listed):
            return False
        return any(backend.own_requests for backend in listed)

    def _ranks_in_group(self, backend: Backend) -> list[Backend]:
        """Return the known ranks of a rank's group, itself among them."""
        return [
            other
            for other in self.of_service(backend.instance.service)
            if other.group == backend.group
        ]

    def _wake_waiters(self) -> None:
        """Wake the requests that wait for a runner."""
        self.changed.set()
        self.changed = trio.Event()

    def update_gateways(self, halls: dict[str, str]) -> None:
        """Apply the view: the hall of each gateway by its name."""
        if halls != self._gateways:
            self._gateways = dict(halls)
            self._assign_subset()

    def update_halls(self, out: set[str], now_s: float) -> bool:
        """Apply the view: the halls out of service; return if they changed."""
        if out == self.halls_out:
            return False
        for hall in self.halls_out - out:
            self._restored_s[hall] = now_s
        self.halls_out = out
        self._wake_waiters()
        return True

    def preferred_ids(self) -> set[str]:
        """Return the ids of the runners that this gateway fills first."""
        return self._preferred

    def _assign_subset(self) -> None:
        """Divide the runners of this gateway's hall among its gateways."""
        self._preferred = set()
        self._owned_ids.clear()
        hall = self._gateways.get(self.name)
        if hall is None:
            return
        local = sorted(n for n, h in self._gateways.items() if h == hall)
        position = local.index(self.name)
        for listed in self._by_service.values():
            ids = sorted(
                backend.instance.instance_id
                for backend in listed
                if backend.instance.hall == hall
            )
            self._preferred.update(ids[position :: len(local)])

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

    def _slow_start(self, now_s: float) -> dict[str, float]:
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
            for backend in self._by_service.get(service, [])
            if backend.instance.state == instances.READY
            and not backend.replaced
        ]
        if not self.backoffs:
            return listed
        is_leaving = self.backoffs.is_leaving
        return [b for b in listed if not is_leaving(b.instance)]

    def closed_for_s(self, service: str, now_s: float) -> float | None:
        """Return for how long all groups of a service have been closed.

        None if one is open, or if the service has no runner.
        """
        listed = self.of_service(service)
        if not listed or not all(
            backend.group_state.is_closed(now_s, was_refused=True)
            for backend in listed
        ):
            self._closed_since_s.pop(service, None)
            return None
        return now_s - self._closed_since_s.setdefault(service, now_s)

    def pick(
        self,
        service: str,
        hall: str,
        attempted: set[str],
        gateways: int,
        rng: random.Random,
        now_s: float,
        was_refused: bool = False,
    ) -> Picked | None:
        """Return the runner for a request; None if there is none.

        Runners in ``attempted`` were sent the request before and are excluded,
        as are those whose group is closed. After a rank has refused the
        request (``was_refused``), only groups that are known to be open are
        selected. Ejected runners are selected only if all are ejected.

        All ``gateways`` see the same reports and would all select the least
        loaded runner until the next ones arrive. So each selects as if a
        random number of the others' unreported requests had been sent before.
        """
        healthy = self._healthy(service, attempted, was_refused, now_s)
        if self.warmup.is_limited(service):
            has_quota_left = self.warmup.has_quota_left
            healthy = [b for b in healthy if has_quota_left(b.instance, now_s)]
        if not healthy:
            return None
        return self._best(service, hall, healthy, gateways, rng, now_s)

    def _best(
        self,
        service: str,
        hall: str,
        candidates: list[Backend],
        gateways: int,
        rng: random.Random,
        now_s: float,
    ) -> Picked:
        """Return which of the candidates gets a request."""
        is_limited = self.warmup.is_limited(service)
        slow_start = self._slow_start(now_s)

        def occupancy(backend: Backend) -> float:
            added = slow_start.get(backend.instance.hall, 0.0)
            if is_limited and backend.instance.is_cold:
                added += COLD_COST
            return backend.occupancy(self.report_interval_s, now_s) + added

        def cost(backend: Backend) -> float:
            hop = HALL_COST if backend.instance.hall != hall else 0.0
            return occupancy(backend) + hop

        unreported = self._others_unreported(service, gateways, now_s)
        best = self._pick_preferred(candidates, occupancy, rng)
        if best is None and is_limited:
            local = [b for b in candidates if b.instance.hall == hall]
            candidates = [
                b for b in local if cost(b) < SUBSET_FULL
            ] or candidates
            # Requests of others go to all runners, not only to those that
            # this gateway owns.
            unreported *= len(candidates) / len(self._by_service[service])
        if best is None:
            preceding = int(rng.random() * (unreported + 1))
            best = choosing.select_after(candidates, cost, preceding, rng)
        age_s = now_s - best.reported_s
        load = best.load(self.report_interval_s, now_s)
        return Picked(best, load, age_s, len(candidates), now_s)

    def _healthy(
        self,
        service: str,
        attempted: set[str],
        was_refused: bool,
        now_s: float,
    ) -> list[Backend]:
        """Return the healthy runners that would accept a request.

        Ejected and slow ones are included only if there are no others.
        """
        usable = self._accepting(service, attempted, was_refused, now_s)
        if self.backoffs:
            may_select = self.backoffs.may_select
            usable = [b for b in usable if may_select(b.instance, now_s)]
            if attempted and self.backoffs.is_any_unconfirmed(now_s):
                usable = [b for b in usable if self._is_working(b)] or usable
        healthy = [b for b in usable if b.ejected_until_s <= now_s] or usable
        return [b for b in healthy if b.slowdown < AVOID_SLOWDOWN] or healthy

    def _is_working(self, backend: Backend) -> bool:
        """Return whether a runner has requests, thus accepts them.

        While some runners refuse all requests, an idle one may be another of
        them, and a request that was refused has few attempts left.
        """
        is_busy = backend.own_requests > 0 or backend.reported_requests > 0
        return is_busy and not self.backoffs.is_unconfirmed(backend.instance)

    def _accepting(
        self,
        service: str,
        attempted: set[str],
        was_refused: bool,
        now_s: float,
    ) -> list[Backend]:
        """Return the runners that would accept a request, backoff aside."""
        return [
            backend
            for backend in self._assigned(service, now_s)
            if backend.instance.instance_id not in attempted
            and not backend.group_state.is_closed(now_s, was_refused)
        ]

    def earliest_backoff_end_s(
        self,
        service: str,
        attempted: set[str],
        was_refused: bool,
        now_s: float,
    ) -> float | None:
        """Return when the first backoff of a runner for a request ends.

        None if none of the runners that would accept it backs off.
        """
        if not self.backoffs:
            return None
        accepting = self._accepting(service, attempted, was_refused, now_s)
        return min(
            (
                max(now_s, self.backoffs.until_s(backend.instance))
                for backend in accepting
                if not self.backoffs.may_select(backend.instance, now_s)
            ),
            default=None,
        )

    def _assigned(self, service: str, now_s: float) -> list[Backend]:
        """Return the runners that may get requests from this gateway."""
        listed = self.of_service(service)
        if not self.warmup.is_limited(service):
            return listed
        owned = self._owned(service, now_s)
        return [b for b in listed if b.instance.instance_id in owned]

    def _owned(self, service: str, now_s: float) -> frozenset[str]:
        """Return the ids of runners of which this gateway is an owner.

        Cached until gateways or runners change: a lookup per runner and
        request would take a large part of the time of a selection.
        """
        generation = self.warmup.generation(now_s)
        if self._owned_generation != generation:
            self._owned_generation = generation
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
        return bool(self._assigned(service, now_s))

    def next_free_s(
        self,
        service: str,
        attempted: set[str],
        was_refused: bool,
        now_s: float,
    ) -> float:
        """Return when `pick` can select a runner that can turn cold.

        `warmup.NEVER` if this gateway knows of none that it may send to.
        """
        healthy = self._healthy(service, attempted, was_refused, now_s)
        return self.warmup.earliest_send_s(
            [b.instance for b in healthy], 0, now_s
        )

    def earliest_send_s(
        self, service: str, attempted: set[str], ahead: int, now_s: float
    ) -> float:
        """Return when a request can go to a runner that can turn cold.

        ``ahead`` other requests are sent before it. This is a lower bound: it
        includes runners that refuse or fail at present and those whose
        address another runner uses now, which will register again.
        """
        runners = [
            backend.instance
            for backend in self._by_service.get(service, [])
            if backend.instance.state == instances.READY
            and backend.instance.hall not in self.halls_out
            and backend.instance.instance_id not in attempted
        ]
        return self.warmup.earliest_send_s(runners, ahead, now_s)

    def _is_preferred(self, instance: instances.Instance) -> bool:
        """Return whether this gateway fills a runner first."""
        if self.warmup.is_limited(instance.service):
            return self.warmup.is_primary(instance)
        return instance.instance_id in self._preferred

    def _pick_preferred(
        self,
        candidates: list[Backend],
        occupancy: typing.Callable[[Backend], float],
        rng: random.Random,
    ) -> Backend | None:
        """Return the least occupied preferred runner that is not full.

        None if there is none, or if reports are frequent.
        """
        if self.report_interval_s <= FREQUENT_REPORT_S:
            return None
        found = [
            (occupancy(backend), rng.random(), number)
            for number, backend in enumerate(candidates)
            if self._is_preferred(backend.instance)
        ]
        found = [each for each in found if each[0] < SUBSET_FULL]
        return candidates[min(found)[2]] if found else None

    def _others_unreported(
        self, service: str, gateways: int, now_s: float
    ) -> float:
        """Count a request; return the estimate of others' unreported ones."""
        picked_s = self._picked_s.setdefault(service, collections.deque())
        while picked_s and picked_s[0] < now_s - RATE_WINDOW_S:
            picked_s.popleft()
        own_per_s = len(picked_s) / RATE_WINDOW_S
        picked_s.append(now_s)
        unreported_s = (
            runnerstates.UNREPORTED_INTERVALS * self.report_interval_s
        )
        return own_per_s * unreported_s * max(0, gateways - 1)
