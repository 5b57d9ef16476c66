# SPDX-License-Identifier: Apache-2.0

"""Selects one of the registered runners for each request."""

import random
import typing

from mountridge import messages, metrics
from mountridge.documents import instances
from mountridge.net import dialects
from mountridge.routing import admission, backoffgates, backoffs, choosing
from mountridge.routing import grouptracker, hallcosts, limitgates
from mountridge.routing import loadestimates, runnerlimits, runnerregistry
from mountridge.routing import runnerstates, sendgates, subsets, warmup
from mountridge.routing import warmupgates

__all__ = [
    'AVOID_SLOWDOWN',
    'Backend',
    'Backends',
    'MIGRATE_SLOWDOWN',
    'Picked',
]

Backend = runnerstates.Backend

#: Where the report interval is longer than this, a gateway first fills its
#: preferred subset of the runners in its hall, up to an occupancy of
#: `SUBSET_FULL`: it knows its own requests there without a report. With more
#: frequent reports to few gateways, subsets make more requests wait.
FREQUENT_REPORT_S = 0.15
SUBSET_FULL = 0.7
#: A runner with at least this slowdown gets requests only if all are slow: in
#: a group all ranks wait for the slowest, and a rank without requests has
#: little to do.
AVOID_SLOWDOWN = 1.25
#: From this slowdown on, streams that can be resumed move to another runner.
#: Processing the prompt again takes about two forward passes; at half the
#: speed, that is worth it for all but the last few events of a stream.
MIGRATE_SLOWDOWN = 2.0
#: Occupancy added for a cold runner, as if one of five slots were in use. It
#: is slower, and in a group all ranks wait for the slowest.
COLD_COST = 0.2


class Picked(typing.NamedTuple):
    """The selected runner and the grounds for it, for the log line."""

    backend: Backend
    load: int
    report_age_s: float
    candidates: int  # runners that were considered
    picked_s: float


class Backends:
    """The runners of all services, and the gates before them."""

    def __init__(
        self,
        name: str = '',
        limits: warmup.WarmupLimiter | None = None,
        counters: metrics.Metrics | None = None,
        runner_limits: runnerlimits.RunnerLimits | None = None,
        hall_cost: float = hallcosts.DEFAULT_HALL_COST,
    ) -> None:
        #: The name of this gateway, which decides its preferred subset.
        self.name = name
        #: Occupancy that a hop to another hall is worth.
        self.hall_cost = hall_cost
        counters = counters or metrics.Metrics(None)
        #: This gateway's share of the requests to runners that can turn cold.
        self.warmup = limits or warmup.WarmupLimiter(name)
        #: Limits that runners have named to this gateway.
        self.limits = runner_limits or runnerlimits.RunnerLimits(name)
        #: Backoff and drain states that runners have sent to this gateway.
        self.backoffs = backoffs.Backoffs()
        self.registry = runnerregistry.RunnerRegistry(self.backoffs)
        self.loads = loadestimates.LoadEstimates()
        self._subset = subsets.Subset(name)
        self._groups = grouptracker.GroupTracker(self.registry)
        self._backoff_gate = backoffgates.BackoffGate(self.backoffs, counters)
        self._warmup_gate = warmupgates.WarmupGate(
            self.warmup, self.registry.registered
        )
        self._limit_gate = limitgates.LimitGate(
            self.limits, self.registry.of_service, counters
        )
        #: Whether there is room for requests, by service.
        self.admission = admission.Admission(
            self.registry, lambda: self.loads.report_interval_s, counters
        )
        #: Decide which runners can be selected.
        self.gates: list[sendgates.Gate] = [
            self._groups,
            self._backoff_gate,
            self._limit_gate,
            self.admission,
        ]
        #: Apply to the runners that would be preferred: where their quotas
        #: are used up, a request waits rather than go to a failing runner.
        self.quotas: list[sendgates.Gate] = [self._warmup_gate]

    # State of the runners.

    @property
    def by_id(self) -> dict[str, Backend]:
        """All known runners, by their ids."""
        return self.registry.by_id

    @property
    def halls_out(self) -> set[str]:
        """The halls that are out of service."""
        return self.registry.halls_out

    @property
    def changed(self):
        """Event that is set when the runners that can be selected change."""
        return self.registry.changed

    @property
    def report_interval_s(self) -> float:
        """Usual time between two reports of one runner."""
        return self.loads.report_interval_s

    def update_runners(
        self, registered: typing.Iterable[instances.Instance]
    ) -> list[str]:
        """Apply the view; return the addresses whose incarnation has ended."""
        ended = self.registry.update_runners(registered)
        self.limits.update_runners(b.instance for b in self.by_id.values())
        self._assign_subset()
        return ended

    def update_gateways(self, halls: dict[str, str]) -> None:
        """Apply the view: the hall of each gateway by its name."""
        if self._subset.update_gateways(halls):
            self._assign_subset()

    def _assign_subset(self) -> None:
        self._subset.assign(self.registry.by_service)
        self._warmup_gate.runners_changed()

    def update_halls(self, out: set[str], now_s: float) -> bool:
        """Apply the view: the halls out of service; return if they changed."""
        return self.registry.update_halls(out, now_s)

    def preferred_ids(self) -> set[str]:
        """Return the ids of the runners that this gateway fills first."""
        return self._subset.ids

    def of_service(self, service: str) -> list[Backend]:
        """Return the runners of a service that may get requests."""
        return self.registry.of_service(service)

    def newest(self, runner: instances.Instance) -> instances.Instance:
        """Return the newest registration under a runner's id."""
        backend = self.by_id.get(runner.instance_id)
        return backend.instance if backend else runner

    def all_halls_out(self, service: str) -> bool:
        """Return whether all runners of a service are in halls that are out.

        If so, requests fail at once instead of waiting for a runner.
        """
        return self.registry.all_halls_out(service)

    # Reports and answers.

    def record_report(self, load: messages.RunnerLoad, now_s: float) -> None:
        """Record a report from the sidecar of a runner."""
        backend = self.by_id.get(load.instance_id)
        if backend is None:
            return
        self.loads.record_report(backend, now_s)
        backend.record_load(load.running, load.waiting, now_s)
        backend.slowdown = load.slowdown_percent / 100
        backend.group = load.group
        self._groups.record_report(backend, load.is_open, now_s)

    def request_started(
        self, backend: Backend, kind: sendgates.RequestClass, now_s: float
    ) -> sendgates.Sends:
        """Count a request of this gateway as sent to a runner."""
        backend.request_started(now_s)
        records = [
            gate.record_sent(backend, kind, now_s)
            for gate in (*self.gates, *self.quotas)
        ]
        return sendgates.Sends([r for r in records if r is not None])

    def record_misdirected(
        self, head: dialects.ReplyHead, now_s: float
    ) -> list[sendgates.Announcement]:
        """Record what another runner at the address says of itself.

        Returns the changes to log.
        """
        backend = self.by_id.get(head.instance_id or '')
        if backend is None:
            return []
        return self._limit_gate.record_misdirected(backend, head, now_s)

    def record_refusal(self, backend: Backend, now_s: float) -> None:
        """Record that a rank did not run a request."""
        self._groups.record_refusal(backend, now_s)

    def record_acceptance(self, backend: Backend, now_s: float) -> None:
        """Record that a runner has accepted a request: its group is open."""
        if not self.registry.is_current(backend):
            return
        if self.backoffs.record_accepted(backend.instance, now_s):
            self.registry.wake_waiters()
        self._groups.record_acceptance(backend, now_s)

    def is_probing(self, service: str) -> bool:
        """Return whether one request is probing the ranks of a service."""
        return self._groups.is_probing(service)

    def closed_for_s(self, service: str, now_s: float) -> float | None:
        """Return for how long all groups of a service have been closed.

        None if one is open, or if the service has no runner.
        """
        return self._groups.closed_for_s(service, now_s)

    def is_limiting(self, service: str, now_s: float) -> bool:
        """Return whether requests may have to wait in turn for a runner."""
        return any(
            gate.is_limiting(service, now_s)
            for gate in (*self.gates, *self.quotas)
        )

    # Selection.

    def pick(
        self,
        kind: sendgates.RequestClass,
        hall: str,
        attempted: set[str],
        gateways: int,
        rng: random.Random,
        now_s: float,
    ) -> Picked | None:
        """Return the runner for a request; None if there is none.

        Runners in ``attempted`` were sent the request before and are excluded,
        as are those that a gate holds it back from. Ejected runners are
        selected only if all are ejected.

        All ``gateways`` see the same reports and would all select the least
        loaded runner until the next ones arrive. So each selects as if a
        random number of the others' unreported requests had been sent before.
        """
        healthy = self._healthy(kind, attempted, now_s)
        healthy = sendgates.sendable(self.quotas, healthy, kind, now_s)
        if not healthy:
            return None
        return self._best(kind.service, hall, healthy, gateways, rng, now_s)

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
        slow_start = self.registry.slow_start(now_s)
        interval_s = self.report_interval_s
        hop_cost = self.hall_cost

        def occupancy(backend: Backend) -> float:
            added = slow_start.get(backend.instance.hall, 0.0)
            if is_limited and backend.instance.is_cold:
                added += COLD_COST
            return backend.occupancy(interval_s, now_s) + added

        def cost(backend: Backend) -> float:
            hop = hop_cost if backend.instance.hall != hall else 0.0
            return occupancy(backend) + hop

        unreported = self.loads.others_unreported(service, gateways, now_s)
        best = self._pick_preferred(candidates, occupancy, rng)
        if best is None and is_limited:
            local = [b for b in candidates if b.instance.hall == hall]
            candidates = [
                b for b in local if cost(b) < SUBSET_FULL
            ] or candidates
            # Requests of others go to all runners, not only to those that
            # this gateway owns.
            known = len(self.registry.registered(service))
            unreported *= len(candidates) / known
        if best is None:
            hops = hallcosts.assess(
                candidates, hall, self.hall_cost, occupancy, unreported
            )
            unreported *= len(hops.candidates) / len(candidates)
            candidates, hop_cost = hops
            preceding = int(rng.random() * (unreported + 1))
            best = choosing.select_after(candidates, cost, preceding, rng)
        age_s = now_s - best.reported_s
        load = best.load(interval_s, now_s)
        return Picked(best, load, age_s, len(candidates), now_s)

    def _healthy(
        self, kind: sendgates.RequestClass, attempted: set[str], now_s: float
    ) -> list[Backend]:
        """Return the healthy runners that would accept a request.

        Ejected and slow ones are included only if there are no others.
        """
        usable = self._not_attempted(kind.service, attempted, now_s)
        usable = sendgates.sendable(self.gates, usable, kind, now_s)
        if attempted and self.backoffs:
            if self.backoffs.is_any_unconfirmed(now_s):
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

    def _not_attempted(
        self, service: str, attempted: set[str], now_s: float
    ) -> list[Backend]:
        """Return this gateway's runners that were not sent a request."""
        return [
            backend
            for backend in self._assigned(service, now_s)
            if backend.instance.instance_id not in attempted
        ]

    def _assigned(self, service: str, now_s: float) -> list[Backend]:
        """Return the runners that may get requests from this gateway."""
        listed = self.of_service(service)
        for gate in self.quotas:
            listed = gate.assigned(listed, service, now_s)
        return listed

    def owns_any(self, service: str, now_s: float) -> bool:
        """Return whether any runner may get requests from this gateway."""
        return bool(self._assigned(service, now_s))

    def _is_preferred(self, instance: instances.Instance) -> bool:
        """Return whether this gateway fills a runner first."""
        if self.warmup.is_limited(instance.service):
            return self.warmup.is_primary(instance)
        return instance.instance_id in self._subset.ids

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

    # Times at which requests can be sent.

    def earliest_backoff_end_s(
        self, kind: sendgates.RequestClass, attempted: set[str], now_s: float
    ) -> float | None:
        """Return when the first backoff of a runner for a request ends.

        None if none of the runners that would accept it backs off.
        """
        if not self.backoffs:
            return None
        accepting = self._groups.sendable(
            self._not_attempted(kind.service, attempted, now_s), kind, now_s
        )
        return self._backoff_gate.first_end_s(accepting, now_s)

    def limited_until_s(
        self,
        kind: sendgates.RequestClass,
        attempted: set[str],
        ahead: int,
        now_s: float,
    ) -> float | None:
        """Return when a request can be sent by the limits of runners.

        ``ahead`` other requests are sent before it. None if a runner that
        would accept it has no limit, or if there is no runner;
        `sendgates.NEVER` if this gateway has no share of any.
        """
        runners = self._limited(kind, attempted, now_s)
        return self.limits.slot_s(runners, ahead, now_s) if runners else None

    def limited_retry_in_s(
        self,
        kind: sendgates.RequestClass,
        attempted: set[str],
        ahead: int,
        now_s: float,
    ) -> float:
        """Return in how many seconds a caller should return."""
        runners = self._limited(kind, attempted, now_s)
        return self.limits.retry_s(runners, ahead, now_s) - now_s

    def _limited(
        self, kind: sendgates.RequestClass, attempted: set[str], now_s: float
    ) -> list[instances.Instance]:
        """Return the runners for a request if limits of all of them apply."""
        if not self.limits:
            return []
        usable = self._not_attempted(kind.service, attempted, now_s)
        usable = sendgates.sendable(
            (self._groups, self._backoff_gate), usable, kind, now_s
        )
        runners = [backend.instance for backend in usable]
        if not all(self.limits.is_limited(each, now_s) for each in runners):
            return []
        return runners

    def next_free_s(
        self, kind: sendgates.RequestClass, attempted: set[str], now_s: float
    ) -> float:
        """Return when `pick` can select a runner, by the quotas.

        `sendgates.NEVER` if this gateway knows of none that it may send to.
        """
        healthy = self._healthy(kind, attempted, now_s)
        return min(
            (
                max(
                    gate.earliest_send_s(backend, kind, now_s)
                    for gate in self.quotas
                )
                for backend in healthy
            ),
            default=sendgates.NEVER,
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
            for backend in self.registry.registered(service)
            if backend.instance.state == instances.READY
            and backend.instance.hall not in self.halls_out
            and backend.instance.instance_id not in attempted
        ]
        if not self.warmup.is_limited(service):
            return now_s if runners else sendgates.NEVER
        return self.warmup.earliest_send_s(runners, ahead, now_s)
