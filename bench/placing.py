# SPDX-License-Identifier: Apache-2.0

"""Compares policies that select runners, on the same seeded workload.

Simulates ten gateways and sixteen runners, each with slots, a first-come
queue and a small prefix cache; reports reach gateways at an interval. Not
modelled: classes, limits, retries, and tokens (a request occupies a slot for
some time). Prints waiting times, cache hits and the longest queue.

Also measures the time in which an entry selects a runner for a routed
request, with and without a limit for cold runners. ``make bench-placing``.
"""

import collections
import heapq
import random
import statistics
import time

import tabulate

from bench import path
from mountridge.dispatch import placing
from mountridge.documents import instances
from mountridge.routing import backends
from mountridge.routing import sendgates

GATEWAYS, RUNNERS, SLOTS = 10, 16, 16
SPAN_S = 120.0
MEAN_S = 1.0
LOAD = 0.8
PREFIXES, CACHED, HIT_SAVES = 400, 60, 0.4


class Runner:
    """A runner with slots, a queue and a prefix cache."""

    def __init__(self, name: str):
        self.name = name
        self.slow = 1.0
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.cache: collections.OrderedDict = collections.OrderedDict()

    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return self.running + len(self.waiting)


class RunnerView:
    """The state of a runner as known to a gateway."""

    def __init__(self) -> None:
        self.reported, self.at_s = 0, 0.0
        self.own, self.own_since_report = 0, 0
        self.first_s = 0.0


def _candidates(views, now_s: float) -> list[placing.Candidate]:
    usual = statistics.median(k.first_s for k in views.values()) or 1e-9
    return [
        placing.Candidate(
            name, 'h', SLOTS, k.reported, now_s - k.at_s,
            k.own_since_report, k.own,
            max(1.0, k.first_s / usual) if k.first_s else 1.0,
            k.first_s > 4 * usual and k.first_s > 0.5, 1e9,
        )
        for name, k in views.items()
    ]  # fmt: skip


def with_affinity(views, prefix, last_runner, rng, now_s, turn):
    """Select a runner as the gateway does."""
    choice = placing.choose(
        _candidates(views, now_s), 'h', last_runner.get(prefix, ''), rng
    )
    return choice.name


def without_affinity(views, prefix, last_runner, rng, now_s, turn):
    """Select a runner as the gateway does, without prefix affinity."""
    return placing.choose(_candidates(views, now_s), 'h', '', rng).name


def random_runner(views, prefix, last_runner, rng, now_s, turn):
    """Select a random runner."""
    return rng.choice(list(views))


def round_robin(views, prefix, last_runner, rng, now_s, turn):
    """Select each runner in turn, separately at each gateway."""
    return list(views)[turn % len(views)]


def least_reported(views, prefix, last_runner, rng, now_s, turn):
    """Select the runner with the lowest reported load."""
    return min(views, key=lambda n: (views[n].reported, rng.random()))


def two_choices(views, prefix, last_runner, rng, now_s, turn):
    """Select the one with the lower reported load of two random runners."""
    return min(rng.sample(list(views), 2), key=lambda n: views[n].reported)


POLICIES = {
    'random': random_runner,
    'round robin': round_robin,
    'least reported': least_reported,
    'two choices': two_choices,
    'placing, no affinity': without_affinity,
    'placing': with_affinity,
}


class Run:
    """A simulation of one policy."""

    def __init__(self, policy, report_s: float, fault: str, seed: int):
        self.policy, self.report_s = policy, report_s
        self.workload = random.Random(seed)
        self.rng = random.Random(seed + 1)
        self.runners = {f'r{n}': Runner(f'r{n}') for n in range(RUNNERS)}
        self.fault = fault
        self.views = [
            {name: RunnerView() for name in self.runners}
            for _ in range(GATEWAYS)
        ]
        self.last_runner: list[dict] = [{} for _ in range(GATEWAYS)]
        self.events: list = []
        self.count = 0
        self.waits: list[float] = []
        self.hits = self.longest_queue = 0
        self.turn_counts = [n * 3 for n in range(GATEWAYS)]

    def at(self, time_s: float, kind, *args) -> None:
        """Schedule an event."""
        self.count += 1
        heapq.heappush(self.events, (time_s, self.count, kind, args))

    def simulate(self) -> list:
        """Run and return (p50, p99 wait in s, hit share, longest queue)."""
        rate = LOAD * RUNNERS * SLOTS / MEAN_S
        now_s = 0.0
        while now_s < SPAN_S:
            now_s += self.workload.expovariate(rate)
            size_s = self.workload.lognormvariate(-0.5, 1.0) * MEAN_S
            prefix = int(PREFIXES * self.workload.random() ** 2)
            gateway = self.workload.randrange(GATEWAYS)
            self.at(now_s, self.arrive, gateway, prefix, size_s)
        for name in self.runners:
            self.at(self.rng.uniform(0, self.report_s), self.report, name)
        if self.fault:
            self.at(SPAN_S / 4, self.inject_fault)
        while self.events:
            now_s, _, kind, args = heapq.heappop(self.events)
            if now_s > 3 * SPAN_S:
                break
            kind(now_s, *args)
        total = max(1, len(self.waits))
        return [
            statistics.median(self.waits),
            path.quantile(self.waits, 0.99),
            self.hits / total,
            self.longest_queue,
        ]

    def inject_fault(self, now_s: float) -> None:
        """Make one runner five times slower."""
        self.runners['r0'].slow = 5.0

    def report(self, now_s: float, name: str) -> None:
        """Report a runner's load to all gateways."""
        for views in self.views:
            views[name].reported = self.runners[name].load()
            views[name].at_s = now_s
            views[name].own_since_report = 0
        if now_s < SPAN_S:
            self.at(now_s + self.report_s, self.report, name)

    def arrive(self, now_s, gateway, prefix, size_s) -> None:
        """Assign a request to a runner."""
        views, last_runner = self.views[gateway], self.last_runner[gateway]
        self.turn_counts[gateway] += 1
        name = self.policy(
            views,
            prefix,
            last_runner,
            self.rng,
            now_s,
            self.turn_counts[gateway],
        )
        last_runner[prefix] = name
        views[name].own += 1
        views[name].own_since_report += 1
        runner = self.runners[name]
        runner.waiting.append((now_s, gateway, prefix, size_s))
        self.longest_queue = max(self.longest_queue, len(runner.waiting))
        self.begin(now_s, runner)

    def begin(self, now_s, runner) -> None:
        """Start waiting requests while there are free slots."""
        while runner.waiting and runner.running < SLOTS:
            arrived_s, gateway, prefix, size_s = runner.waiting.popleft()
            runner.running += 1
            hit = prefix in runner.cache
            self.hits += hit
            runner.cache[prefix] = True
            runner.cache.move_to_end(prefix)
            if len(runner.cache) > CACHED:
                runner.cache.popitem(last=False)
            run_s = size_s * (1 - HIT_SAVES * hit) * runner.slow
            first_s = now_s - arrived_s + 0.05 * runner.slow
            self.waits.append(first_s)
            view = self.views[gateway][runner.name]
            view.first_s += 0.2 * (first_s - view.first_s)
            self.at(now_s + run_s, self.end, runner, gateway)

    def end(self, now_s, runner, gateway) -> None:
        """End a request and free its slot."""
        runner.running -= 1
        self.views[gateway][runner.name].own -= 1
        self.views[gateway][runner.name].own_since_report -= 1
        self.begin(now_s, runner)


#: Requests per measurement, 0.1 s apart, and measurements, of which the
#: shortest counts as the machine may be shared.
REQUESTS, REPEATS = 400, 9


def _entry(gateways: int, runners: int, limit_per_s: float, hall_cost: float):
    """Return the state of an entry that knows runners in 3 halls.

    With a ``hall_cost`` they are ranks of two groups, and report so often
    that it counts.
    """
    known = backends.Backends('g-0', hall_cost=hall_cost)
    known.loads.report_interval_s = 0.12 if hall_cost else 0.2
    halls = {f'g-{n}': f'h{n % 3}' for n in range(gateways)}
    known.update_runners(
        instances.Instance(
            f'i-{n}', 's', f'10.0.0.{n}:1', f'h{n % 3}', 'v', 5, 'ready'
        )
        for n in range(runners)
    )
    if hall_cost:
        for number, backend in enumerate(known.by_id.values()):
            backend.group = 1 + number // 3 % 2
    known.update_gateways(halls)
    known.warmup.update_gateways(halls, 0.0)
    known.warmup.update_services({'s': limit_per_s})
    return known


def _placing_us(
    gateways: int, runners: int, limit_per_s: float, hall_cost: float = 0.0
) -> float:
    """Return the time to select a runner for one request, in us."""
    results = []
    for _ in range(REPEATS):
        known = _entry(gateways, runners, limit_per_s, hall_cost)
        now_s = 10.0
        kind = sendgates.RequestClass('s')
        rng = random.Random(3)
        started_s = time.perf_counter()
        for _ in range(REQUESTS):
            picked = known.pick(kind, 'h0', set(), gateways, rng, now_s)
            sends = known.request_started(picked.backend, kind, now_s)
            sends.mark_sent(now_s)
            picked.backend.request_ended()
            now_s += 0.1
        results.append((time.perf_counter() - started_s) / REQUESTS * 1e6)
    return min(results)


def _print_times() -> None:
    rows = []
    for gateways, runners in ((39, 72), (103, 192)):
        without = _placing_us(gateways, runners, 0.0)
        bound = _placing_us(gateways, runners, 38.0)
        more = 100 * (bound / without - 1)
        default, dear = (
            _placing_us(gateways, runners, 0.0, each) for each in (0.05, 0.4)
        )
        rows.append([gateways, runners, without, bound, more, default, dear])
    headers = ['gateways', 'runners', 'us a request', 'with bound', 'more %']
    headers += ['frequent reports', 'with hall cost']
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.1f'))


def main() -> None:
    """Print both tables."""
    rows = []
    for report_s, fault in ((0.1, ''), (1, ''), (5, ''), (1, '5 x slow')):
        for name, policy in POLICIES.items():
            results = [
                Run(policy, report_s, fault, s).simulate() for s in range(3)
            ]
            means = [statistics.mean(col) for col in zip(*results)]
            rows.append([report_s, fault, name, *means])
    headers = ['reports s', 'fault', 'policy', 'p50 first s', 'p99 first s']
    headers += ['hit share', 'longest queue']
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.2f'))
    _print_times()


if __name__ == '__main__':
    main()
