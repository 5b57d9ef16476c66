# SPDX-License-Identifier: Apache-2.0

"""Policies for placing on the same seeded work: wait, hits, worst queue.

Ten gateways, sixteen runners with slots, a first-come queue and a small
prefix cache each; reports reach gateways at an interval. Leaves out: classes,
limits, retries, and tokens (a request just keeps a slot for a time).

Then the time that an entry takes to place a routed request, with the bound on
runners that can turn cold and without. ``make bench-placing``.
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

GATEWAYS, RUNNERS, SLOTS = 10, 16, 16
SPAN_S = 120.0
MEAN_S = 1.0
LOAD = 0.8
PREFIXES, CACHED, HIT_SAVES = 400, 60, 0.4


class Runner:
    """Slots, a queue, and a cache of prefixes."""

    def __init__(self, name: str):
        self.name = name
        self.slow = 1.0
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.cache: collections.OrderedDict = collections.OrderedDict()

    def load(self) -> int:
        """Return requests running and waiting."""
        return self.running + len(self.waiting)


class Known:
    """What a gateway knows of a runner."""

    def __init__(self) -> None:
        self.reported, self.at_s = 0, 0.0
        self.own, self.own_since = 0, 0
        self.first_s = 0.0


def _candidates(known, now_s: float) -> list[placing.Candidate]:
    usual = statistics.median(k.first_s for k in known.values()) or 1e-9
    return [
        placing.Candidate(
            name, 'h', SLOTS, k.reported, now_s - k.at_s, k.own_since, k.own,
            max(1.0, k.first_s / usual) if k.first_s else 1.0,
            k.first_s > 4 * usual and k.first_s > 0.5, 1e9,
        )
        for name, k in known.items()
    ]  # fmt: skip


def ours(known, prefix, memory, rng, now_s, turn):
    """The daemon's own placing."""
    choice = placing.choose(
        _candidates(known, now_s), 'h', memory.get(prefix, ''), rng
    )
    return choice.name


def ours_no_affinity(known, prefix, memory, rng, now_s, turn):
    """The daemon's own placing with no memory of prefixes."""
    return placing.choose(_candidates(known, now_s), 'h', '', rng).name


def anywhere(known, prefix, memory, rng, now_s, turn):
    """A random runner."""
    return rng.choice(list(known))


def round_robin(known, prefix, memory, rng, now_s, turn):
    """Each runner in turn, by gateway."""
    return list(known)[turn % len(known)]


def least_reported(known, prefix, memory, rng, now_s, turn):
    """The runner whose last report is the least."""
    return min(known, key=lambda n: (known[n].reported, rng.random()))


def two_choices(known, prefix, memory, rng, now_s, turn):
    """Of two drawn at random the one with the lesser report."""
    return min(rng.sample(list(known), 2), key=lambda n: known[n].reported)


POLICIES = {
    'random': anywhere,
    'round robin': round_robin,
    'least reported': least_reported,
    'two choices': two_choices,
    'ours, no affinity': ours_no_affinity,
    'ours': ours,
}


class Run:
    """One run of a policy."""

    def __init__(self, policy, report_s: float, fault: str, seed: int):
        self.policy, self.report_s = policy, report_s
        self.work = random.Random(seed)
        self.rng = random.Random(seed + 1)
        self.runners = {f'r{n}': Runner(f'r{n}') for n in range(RUNNERS)}
        self.fault = fault
        self.known = [
            {name: Known() for name in self.runners} for _ in range(GATEWAYS)
        ]
        self.memory: list[dict] = [{} for _ in range(GATEWAYS)]
        self.events: list = []
        self.count = 0
        self.waits: list[float] = []
        self.hits = self.worst = 0
        self.turns = [n * 3 for n in range(GATEWAYS)]

    def at(self, time_s: float, kind, *args) -> None:
        """Do something later."""
        self.count += 1
        heapq.heappush(self.events, (time_s, self.count, kind, args))

    def go(self) -> list:
        """Run and return (p50, p99 wait in s, hit share, worst queue)."""
        rate = LOAD * RUNNERS * SLOTS / MEAN_S
        now_s = 0.0
        while now_s < SPAN_S:
            now_s += self.work.expovariate(rate)
            size_s = self.work.lognormvariate(-0.5, 1.0) * MEAN_S
            prefix = int(PREFIXES * self.work.random() ** 2)
            gateway = self.work.randrange(GATEWAYS)
            self.at(now_s, self.arrive, gateway, prefix, size_s)
        for name in self.runners:
            self.at(self.rng.uniform(0, self.report_s), self.report, name)
        if self.fault:
            self.at(SPAN_S / 4, self.strike)
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
            self.worst,
        ]

    def strike(self, now_s: float) -> None:
        """A runner becomes five times slower."""
        self.runners['r0'].slow = 5.0

    def report(self, now_s: float, name: str) -> None:
        """A runner's load reaches all gateways."""
        for known in self.known:
            known[name].reported = self.runners[name].load()
            known[name].at_s = now_s
            known[name].own_since = 0
        if now_s < SPAN_S:
            self.at(now_s + self.report_s, self.report, name)

    def arrive(self, now_s, gateway, prefix, size_s) -> None:
        """A request is placed."""
        known, memory = self.known[gateway], self.memory[gateway]
        self.turns[gateway] += 1
        name = self.policy(
            known, prefix, memory, self.rng, now_s, self.turns[gateway]
        )
        memory[prefix] = name
        known[name].own += 1
        known[name].own_since += 1
        runner = self.runners[name]
        runner.waiting.append((now_s, gateway, prefix, size_s))
        self.worst = max(self.worst, len(runner.waiting))
        self.begin(now_s, runner)

    def begin(self, now_s, runner) -> None:
        """Waiting requests take free slots."""
        while runner.waiting and runner.running < SLOTS:
            came_s, gateway, prefix, size_s = runner.waiting.popleft()
            runner.running += 1
            hit = prefix in runner.cache
            self.hits += hit
            runner.cache[prefix] = True
            runner.cache.move_to_end(prefix)
            if len(runner.cache) > CACHED:
                runner.cache.popitem(last=False)
            took_s = size_s * (1 - HIT_SAVES * hit) * runner.slow
            first_s = now_s - came_s + 0.05 * runner.slow
            self.waits.append(first_s)
            known = self.known[gateway][runner.name]
            known.first_s += 0.2 * (first_s - known.first_s)
            self.at(now_s + took_s, self.end, runner, gateway)

    def end(self, now_s, runner, gateway) -> None:
        """A request frees its slot."""
        runner.running -= 1
        self.known[gateway][runner.name].own -= 1
        self.known[gateway][runner.name].own_since -= 1
        self.begin(now_s, runner)


#: Requests that are placed one after the other for one figure, 0.1 s apart,
#: and how often; the least of all counts, since the machine does other work.
PLACED, REPEATS = 400, 9


def _entry(gateways: int, runners: int, cold_per_s: float):
    """Return what one of the gateways knows of runners in 3 halls."""
    known = backends.Backends('g-0')
    known.report_interval_s = 0.2
    halls = {f'g-{n}': f'h{n % 3}' for n in range(gateways)}
    known.update_runners(
        instances.Instance(
            f'i-{n}', 's', f'10.0.0.{n}:1', f'h{n % 3}', 'v', 5, 'ready'
        )
        for n in range(runners)
    )
    known.update_gateways(halls)
    known.warmup.update_gateways(halls, 0.0)
    known.warmup.update_services({'s': cold_per_s})
    return known


def _placing_us(gateways: int, runners: int, cold_per_s: float) -> float:
    """Return the microseconds that placing one request takes."""
    found = []
    for _ in range(REPEATS):
        known, now_s = _entry(gateways, runners, cold_per_s), 10.0
        rng = random.Random(3)
        begun_s = time.perf_counter()
        for _ in range(PLACED):
            picked = known.pick('s', 'h0', set(), gateways, rng, now_s)
            known.request_started(picked.backend, now_s).mark_sent(now_s)
            picked.backend.request_ended()
            now_s += 0.1
        found.append((time.perf_counter() - begun_s) / PLACED * 1e6)
    return min(found)


def _print_times() -> None:
    rows = []
    for gateways, runners in ((39, 72), (103, 192)):
        without = _placing_us(gateways, runners, 0.0)
        bound = _placing_us(gateways, runners, 38.0)
        more = 100 * (bound / without - 1)
        rows.append([gateways, runners, without, bound, more])
    headers = ['gateways', 'runners', 'us a request', 'with bound', 'more %']
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.1f'))


def main() -> None:
    """Print both tables."""
    rows = []
    for report_s, fault in ((0.1, ''), (1, ''), (5, ''), (1, '5 x slow')):
        for name, policy in POLICIES.items():
            found = [Run(policy, report_s, fault, s).go() for s in range(3)]
            means = [statistics.mean(col) for col in zip(*found)]
            rows.append([report_s, fault, name, *means])
    headers = ['reports s', 'fault', 'policy', 'p50 first s', 'p99 first s']
    headers += ['hit share', 'worst queue']
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.2f'))
    _print_times()


if __name__ == '__main__':
    main()
