# SPDX-License-Identifier: Apache-2.0

"""At how many crashes a request is held back: what each bound costs.

A model without a network. Requests come to runners that work on several at
once; a few requests crash what begins to run them, and runners crash by
themselves too. All that runs on a runner that crashes breaks, is tried a
second time elsewhere, and its caller comes again once. Printed for each
bound: crashes by each killer, and innocent requests held back.
Run it as ``python -m bench.quarantine``.
"""

import collections
import heapq
import random
import typing

RUNNERS, RUN_S, BACK_S = 16, 1.0, 3.0
PER_S, SPAN_S = 60.0, 1000.0
#: One in so many requests crashes what runs it, from 20 different ones.
ONE_IN, KILLERS = 1000, 20
TRIES, CALLS, AGAIN_S = 2, 2, 0.5
BOUNDS = (1, 2, 3, 4)


class Result(typing.NamedTuple):
    """What one play came to."""

    asked: int
    crashes: int
    by_killers: int
    most_of_one: int  # crashes by the worst of the killers
    held: int  # innocent requests that were held back


class _Fleet:
    def __init__(self, bound: int, own_crash_s: float, seed: int):
        self.bound, self.own_crash_s = bound, own_crash_s
        self.rng = random.Random(seed)
        self.running: list[dict[int, int]] = [{} for _ in range(RUNNERS)]
        self.down_until_s = [0.0] * RUNNERS
        self.seen: collections.Counter[int] = collections.Counter()
        self.killed: collections.Counter[int] = collections.Counter()
        self.held: set[int] = set()
        self.asked = self.crashes = self.count = 0
        self.events: list[tuple] = []

    def at(self, at_s: float, *event: typing.Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (at_s, self.count, *event))

    def play(self) -> Result:
        self.at(0.0, 'ask')
        self.at(self.own_crash_s, 'own')
        while self.events:
            now_s, _, kind, *rest = heapq.heappop(self.events)
            if now_s > SPAN_S:
                break
            getattr(self, f'on_{kind}')(now_s, *rest)
        innocent = sum(key >= KILLERS for key in self.held)
        by_killers = sum(self.killed.values())
        most = max(self.killed.values(), default=0)
        return Result(self.asked, self.crashes, by_killers, most, innocent)

    def on_ask(self, now_s: float) -> None:
        self.asked += 1
        key = KILLERS + self.asked
        if self.rng.random() < 1 / ONE_IN:
            key = self.rng.randrange(KILLERS)
        self.send(now_s, key, TRIES, CALLS)
        self.at(now_s + self.rng.expovariate(PER_S), 'ask')

    def on_own(self, now_s: float) -> None:
        up = [n for n in range(RUNNERS) if self.down_until_s[n] <= now_s]
        self.crash(now_s, self.rng.choice(up))
        self.at(now_s + self.own_crash_s, 'own')

    def send(self, now_s: float, key: int, tries: int, calls: int) -> None:
        """Give a request to the least busy runner, unless it is held."""
        up = [n for n in range(RUNNERS) if self.down_until_s[n] <= now_s]
        if key in self.held or not up:
            return
        place = min(
            up, key=lambda n: (len(self.running[n]), self.rng.random())
        )
        life = self.down_until_s[place]
        self.running[place][key] = (tries, calls)
        if key < KILLERS:
            self.killed[key] += 1
            self.crash(now_s, place)
        else:
            span_s = RUN_S * (0.5 + self.rng.random())
            self.at(now_s + span_s, 'end', place, life, key)

    def on_end(self, now_s: float, place: int, life: float, key: int) -> None:
        if self.down_until_s[place] == life:
            self.running[place].pop(key, None)
            self.seen.pop(key, None)

    def crash(self, now_s: float, place: int) -> None:
        self.crashes += 1
        self.down_until_s[place] = now_s + BACK_S
        broken, self.running[place] = self.running[place], {}
        for key, (tries, calls) in broken.items():
            self.seen[key] += 1
            if self.seen[key] >= self.bound:
                self.held.add(key)
            if tries > 1:
                self.at(now_s + 0.01, 'again', key, tries - 1, calls)
            elif calls > 1:
                self.at(now_s + AGAIN_S, 'again', key, TRIES, calls - 1)

    def on_again(self, now_s: float, key: int, tries: int, calls: int) -> None:
        self.send(now_s, key, tries, calls)


def main() -> None:
    """Print a row for each bound, without and with other crashes."""
    for own_crash_s in (SPAN_S, 5.0):
        print(f'a runner crashes by itself each {own_crash_s:g} s')
        for bound in BOUNDS:
            found = [_Fleet(bound, own_crash_s, n).play() for n in range(5)]
            total = Result(*(sum(each) for each in zip(*found)))
            worst = max(each.most_of_one for each in found)
            print(
                f'  held at {bound}: {total.asked} asked,'
                f' {total.crashes} crashes, {total.by_killers} by killers'
                f' (most of one {worst}), {total.held} innocent held back'
            )


if __name__ == '__main__':
    main()
