# SPDX-License-Identifier: Apache-2.0

"""Gateways that admit requests to groups of ranks, on scripted time.

Admission and the selection of runners are real. Each group makes passes whose
length follows from its requests; callers return once after a refusal.
"""

import heapq
import itertools
import random
import typing

from mountridge.documents import instances, routes
from mountridge import errors, messages
from mountridge.routing import backends, sendgates

__all__ = ['Kind', 'SLOTS', 'Stream', 'World', 'table']

FIXED_S, REQUEST_S = 0.034, 0.0068
SLOTS, EVENTS = 5, 20
TARGET_S, GAP_S, DEADLINE_S = 0.4, 0.12, 8.0
#: Interval of load reports, and their delay.
REPORT_S, DELAY_S = 0.2, 0.05


class Kind(typing.NamedTuple):
    """A kind of request: its priority, rate, team and mean events."""

    priority: int
    per_s: float
    team: str = 't'
    from_s: float = 0.0
    to_s: float = 1e9
    retries: int = 1
    is_patient: bool = True  # heeds Retry-After


class Stream:
    """One request of a caller, over its attempts."""

    def __init__(self, kind: Kind, started_s: float, events: int):
        self.kind, self.started_s = kind, started_s
        self.left, self.attempts = events, 0
        self.sent_s = self.last_s = self.first_s = 0.0
        self.longest_gap_s = 0.0
        self.is_served = False
        self.gateway: backends.Backends | None = None
        self.backend: backends.Backend | None = None

    @property
    def is_in_time(self) -> bool:
        """Whether its last attempt met the target and the gap."""
        return (
            self.is_served
            and self.first_s - self.sent_s <= TARGET_S
            and self.longest_gap_s <= GAP_S
        )


class World:
    """Some gateways, and groups of ranks of one service."""

    def __init__(
        self, gateways: int, groups: int, ranks: int, when='priorities'
    ):
        self.rng = random.Random(11)
        self.now_s = 0.0
        self.imbalance = 1.6
        self.groups, self.ranks = groups, ranks
        self._count, self._when = gateways, when
        self.closed: set[int] = set()
        self.listed = [
            instances.Instance(
                f'i-{n}', 's', f'10.0.0.{n}:80', f'h{n % groups}', 'v', SLOTS,
                instances.READY,
            )
            for n in range(groups * ranks)
        ]  # fmt: skip
        self.gateways = [self.make_gateway(n) for n in range(gateways)]
        #: Requests of each rank, in the order in which they run.
        self.loads: dict[str, list[Stream]] = {
            each.instance_id: [] for each in self.listed
        }
        self.gone: set[str] = set()
        self.reports_lost = False
        #: Gateways that each view names; 0 if it names all.
        self.gateways_in_view = 0
        self.streams: list[Stream] = []
        #: Share of the places taken at each refusal.
        self.refused_at: list[float] = []
        self.most_taken = 0.0
        self._order = itertools.count()
        self._events: list[tuple] = []
        for group in range(groups):
            self.at(group * 0.01, self._pass, group)
        self.at(0.0, self._report)

    def make_gateway(self, number: int) -> backends.Backends:
        """Return a gateway that has just started."""
        known = backends.Backends(f'g-{number}')
        known.update_runners(self.listed)
        known.update_gateways(
            {f'g-{n}': f'h{n % self.groups}' for n in range(self._count)}
        )
        known.admission.update_routes(routes.index(table()), self._when)
        return known

    def at(self, at_s: float, action: typing.Callable, *args) -> None:
        """Run ``action`` at a time."""
        heapq.heappush(self._events, (at_s, next(self._order), action, args))

    def play(self, until_s: float) -> None:
        """Run all actions up to a time."""
        while self._events[0][0] < until_s:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)

    # Callers.

    def demand(self, kind: Kind, gateways=None) -> None:
        """Send requests of a kind at random moments."""
        at_s = kind.from_s + self.rng.expovariate(kind.per_s)
        if at_s < kind.to_s:
            self.at(at_s, self._arrive, kind, gateways)

    def _arrive(self, kind: Kind, gateways) -> None:
        events = max(4, round(self.rng.gauss(EVENTS, 5)))
        stream = Stream(kind, self.now_s, events)
        self.streams.append(stream)
        self._ask(stream, gateways)
        self.demand(kind._replace(from_s=self.now_s), gateways)

    def _ask(self, stream: Stream, gateways) -> None:
        known = self.rng.choice(gateways or self.gateways)
        waited_s = self.now_s - stream.started_s
        request = sendgates.RequestClass(
            's', stream.kind.priority, TARGET_S, GAP_S, stream.kind.team,
            is_returned=waited_s > 0.4,
        )  # fmt: skip
        stream.attempts += 1
        stream.sent_s = self.now_s
        count = self.gateways_in_view or len(self.gateways)
        try:
            known.admission.admit(
                request, DEADLINE_S - waited_s, count, self.rng, self.now_s
            )
        except errors.Overloaded as problem:
            self.refused_at.append(self.taken())
            if stream.attempts <= stream.kind.retries:
                wait_s = 0.05
                if stream.kind.is_patient:
                    wait_s = problem.retry_after_s
                self.at(self.now_s + wait_s, self._ask, stream, gateways)
            return
        hall = f'h{self.gateways.index(known) % self.groups}'
        picked = known.pick(request, hall, set(), count, self.rng, self.now_s)
        stream.gateway, stream.backend = known, picked.backend
        known.request_started(picked.backend, request, self.now_s)
        # Runners let the most urgent of those that wait in first.
        load = self.loads[picked.backend.instance.instance_id]
        position = len(load)
        while position > SLOTS and load[position - 1].kind.priority > (
            stream.kind.priority
        ):
            position -= 1
        load.insert(position, stream)
        self.most_taken = max(self.most_taken, self.taken())

    # Runners.

    def members(self, group: int) -> list[str]:
        """Return the ids of the ranks of a group that are there."""
        ids = [each.instance_id for each in self.listed]
        return [key for key in ids[group :: self.groups]
                if key not in self.gone]  # fmt: skip

    def taken(self) -> float:
        """Return the share of the places that is taken."""
        present = [key for key in self.loads if key not in self.gone]
        return sum(len(self.loads[key]) for key in present) / (
            SLOTS * len(present)
        )

    def remove(self, count: int) -> None:
        """Take runners away; their streams end."""
        for each in self.listed[:count]:
            self.gone.add(each.instance_id)
            self.loads[each.instance_id].clear()
        left = [x for x in self.listed if x.instance_id not in self.gone]
        for known in self.gateways:
            known.update_runners(left)

    def set_open(self, group: int, is_open: bool) -> None:
        """Close a group, whose requests stand still, or open it again."""
        if is_open:
            self.closed.discard(group)
        else:
            self.closed.add(group)
        self._deliver({key: len(found) for key, found in self.loads.items()})

    def _pass(self, group: int) -> None:
        if group in self.closed:
            self.at(self.now_s + FIXED_S, self._pass, group)
            return
        members = self.members(group)
        for key in members:
            for stream in self.loads[key][:SLOTS]:
                self._send_event(stream, key)
        running = [len(self.loads[key][:SLOTS]) for key in members]
        mean = sum(running) / max(1, len(running))
        length_s = FIXED_S + REQUEST_S * self.imbalance * mean
        self.at(self.now_s + length_s, self._pass, group)

    def _send_event(self, stream: Stream, key: str) -> None:
        if not stream.first_s:
            if self.now_s - stream.sent_s < 2 * FIXED_S:
                return
            stream.first_s = self.now_s
        else:
            gap_s = self.now_s - stream.last_s
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
            stream.gateway.admission.record_gap(
                stream.backend, gap_s, self.now_s
            )
        stream.last_s = self.now_s
        stream.left -= 1
        if not stream.left:
            stream.is_served = True
            self.loads[key].remove(stream)
            stream.backend.request_ended()

    def _report(self) -> None:
        if not self.reports_lost:
            loads = {key: len(self.loads[key]) for key in self.loads}
            self.at(self.now_s + DELAY_S, self._deliver, loads)
        self.at(self.now_s + REPORT_S, self._report)

    def _deliver(self, loads: dict[str, int]) -> None:
        for number, each in enumerate(self.listed):
            key, group = each.instance_id, number % self.groups
            if key in self.gone:
                continue
            load = messages.RunnerLoad(
                key, loads[key], 0, 100, 1 + group, group not in self.closed
            )
            for known in self.gateways:
                known.record_report(load, self.now_s)

    # Results.

    def in_time(self, from_s=0.0, to_s=1e9, **wanted) -> float:
        """Return the share in time of the requests of some kinds."""
        chosen = [
            stream
            for stream in self.streams
            if from_s <= stream.started_s < to_s
            and wanted.items() <= stream.kind._asdict().items()
        ]
        return sum(each.is_in_time for each in chosen) / len(chosen)

    def served(self, from_s=0.0, to_s=1e9, **wanted) -> float:
        """Return the share served, in time or late."""
        chosen = [
            stream
            for stream in self.streams
            if from_s <= stream.started_s < to_s
            and wanted.items() <= stream.kind._asdict().items()
        ]
        return sum(each.is_served for each in chosen) / len(chosen)


def table(priorities=(0, 1, 2)) -> routes.RouteTable:
    """Return routes of these priorities to one service."""
    made = [
        routes.Route(
            f'r{priority}', 'a.example', f'/{priority}/', routes.STREAMING,
            8000.0, 400.0, priority, [routes.Share('s', 1.0)], 2, False, True,
            120.0,
        )
        for priority in priorities
    ]  # fmt: skip
    stride = 7.0
    engine = routes.Engine(
        SLOTS, 200000, 96, stride=stride, step_ms=1000 * FIXED_S / stride,
        request_ms=1000 * REQUEST_S / stride, expert_share=0.85,
        usual_output=stride * EVENTS,
    )  # fmt: skip
    services = [routes.Service('s', '/h', 100, engine)]
    return routes.RouteTable(1, made, services, routes.Limits(), None)
