# SPDX-License-Identifier: Apache-2.0

"""Compares crash thresholds for the quarantine of requests.

A simulation without a network. Runners process several requests at once; a
few requests crash the runner that starts them, and runners also crash by
themselves. All requests on a crashed runner fail, are retried once elsewhere,
and are sent once more by their callers. Prints, for each threshold, the
crashes caused by requests, and the harmless requests that are quarantined.
Run it as ``python -m bench.quarantine``.
"""

import collections
import heapq
import random
import typing

RUNNERS, RUN_S, DOWN_S = 16, 1.0, 3.0
REQUESTS_PER_S, SPAN_S = 60.0, 1000.0
#: One in so many requests is one of a few that crash their runner.
CRASHING_ONE_IN, CRASHING_REQUESTS = 1000, 20
MAX_ATTEMPTS, MAX_CALLS, CALL_AGAIN_S = 2, 2, 0.5
THRESHOLDS = (1, 2, 3, 4)


class Result(typing.NamedTuple):
    """Counts of one simulation."""

    asked: int
    crashes: int
    by_requests: int
    most_by_one: int  # crashes by the request that caused most
    quarantined: int  # harmless requests that were quarantined


class _Simulation:
    def __init__(self, threshold: int, crash_interval_s: float, seed: int):
        self.threshold, self.crash_interval_s = threshold, crash_interval_s
        self.rng = random.Random(seed)
        self.running: list[dict[int, int]] = [{} for _ in range(RUNNERS)]
        self.down_until_s = [0.0] * RUNNERS
        self.crash_counts: collections.Counter[int] = collections.Counter()
        self.crashes_caused: collections.Counter[int] = collections.Counter()
        self.quarantined: set[int] = set()
        self.asked = self.crashes = self.count = 0
        self.events: list[tuple] = []

    def at(self, at_s: float, *event: typing.Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (at_s, self.count, *event))

    def run(self) -> Result:
        self.at(0.0, 'arrival')
        self.at(self.crash_interval_s, 'crash')
        while self.events:
            now_s, _, kind, *rest = heapq.heappop(self.events)
            if now_s > SPAN_S:
                break
            getattr(self, f'on_{kind}')(now_s, *rest)
        harmless = sum(key >= CRASHING_REQUESTS for key in self.quarantined)
        by_requests = sum(self.crashes_caused.values())
        most = max(self.crashes_caused.values(), default=0)
        return Result(self.asked, self.crashes, by_requests, most, harmless)

    def on_arrival(self, now_s: float) -> None:
        self.asked += 1
        key = CRASHING_REQUESTS + self.asked
        if self.rng.random() < 1 / CRASHING_ONE_IN:
            key = self.rng.randrange(CRASHING_REQUESTS)
        self.send(now_s, key, MAX_ATTEMPTS, MAX_CALLS)
        self.at(now_s + self.rng.expovariate(REQUESTS_PER_S), 'arrival')

    def on_crash(self, now_s: float) -> None:
        up = [n for n in range(RUNNERS) if self.down_until_s[n] <= now_s]
        self.crash(now_s, self.rng.choice(up))
        self.at(now_s + self.crash_interval_s, 'crash')

    def send(
        self, now_s: float, key: int, attempts_left: int, calls_left: int
    ) -> None:
        """Send a request to the least busy runner unless quarantined."""
        up = [n for n in range(RUNNERS) if self.down_until_s[n] <= now_s]
        if key in self.quarantined or not up:
            return
        runner = min(
            up, key=lambda n: (len(self.running[n]), self.rng.random())
        )
        down_until_s = self.down_until_s[runner]
        self.running[runner][key] = (attempts_left, calls_left)
        if key < CRASHING_REQUESTS:
            self.crashes_caused[key] += 1
            self.crash(now_s, runner)
        else:
            span_s = RUN_S * (0.5 + self.rng.random())
            self.at(now_s + span_s, 'end', runner, down_until_s, key)

    def on_end(
        self, now_s: float, runner: int, down_until_s: float, key: int
    ) -> None:
        if self.down_until_s[runner] == down_until_s:
            self.running[runner].pop(key, None)
            self.crash_counts.pop(key, None)

    def crash(self, now_s: float, runner: int) -> None:
        self.crashes += 1
        self.down_until_s[runner] = now_s + DOWN_S
        lost, self.running[runner] = self.running[runner], {}
        for key, (attempts_left, calls_left) in lost.items():
            self.crash_counts[key] += 1
            if self.crash_counts[key] >= self.threshold:
                self.quarantined.add(key)
            if attempts_left > 1:
                self.at(
                    now_s + 0.01, 'retry', key, attempts_left - 1, calls_left
                )
            elif calls_left > 1:
                self.at(
                    now_s + CALL_AGAIN_S,
                    'retry',
                    key,
                    MAX_ATTEMPTS,
                    calls_left - 1,
                )

    def on_retry(
        self, now_s: float, key: int, attempts_left: int, calls_left: int
    ) -> None:
        self.send(now_s, key, attempts_left, calls_left)


def main() -> None:
    """Print a row for each threshold, without and with other crashes."""
    for crash_interval_s in (SPAN_S, 5.0):
        print(f'a runner crashes by itself every {crash_interval_s:g} s')
        for threshold in THRESHOLDS:
            results = [
                _Simulation(threshold, crash_interval_s, n).run()
                for n in range(5)
            ]
            total = Result(*(sum(each) for each in zip(*results)))
            most = max(each.most_by_one for each in results)
            print(
                f'  quarantined at {threshold}: {total.asked} asked,'
                f' {total.crashes} crashes, {total.by_requests} by requests'
                f' (most by one {most}),'
                f' {total.quarantined} harmless quarantined'
            )


if __name__ == '__main__':
    main()
