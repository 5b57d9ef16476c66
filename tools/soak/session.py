# SPDX-License-Identifier: Apache-2.0

"""One run: start, play the plan, look on, judge, end what was started."""

import json
import pathlib
import random
import signal
import typing

import trio

from tools.soak import checks, faults, fleet, loads, operators
from tools.soak import report, runners, schedule

__all__ = ['play']

START_S = 30.0
#: After the first routes are acknowledged, until callers begin.
SETTLE_S = 2.5
SWEEP_S = 1.0
PROBES = 3
PROGRESS_S = 10.0


class Session:
    """All parts of one run."""

    def __init__(self, made: fleet.Fleet, seed: int, plan: schedule.Plan):
        self.made = made
        self.plan = plan
        rng = random.Random(seed)
        self.report = report.Report(made.folder)
        self.watch = checks.Watch(made.sizes, self.report)
        self.built = runners.build(made, self.watch, rng)
        self.faults = faults.Faults(made, self.built, self.watch)
        # One more caller, the first, is the operators'.
        self.callers = [
            loads.Caller(made, self.watch, random.Random(rng.random()))
            for _ in range(made.sizes['callers'] + 1)
        ]
        note = self.report.note
        self.operator = operators.Operator(self.callers[0], note)

    async def run(self) -> dict:
        """Play the whole plan and return the verdict."""
        async with trio.open_nursery() as nursery:
            for link in self.faults.links.values():
                nursery.start_soon(link.run)
            nursery.start_soon(self.built.ranks.run_passes)
            for runner in self.built.runners:
                nursery.start_soon(runner.run, self.made, self.watch)
            with trio.fail_after(START_S):
                await self.operator.first()
            await trio.sleep(SETTLE_S)
            self.report.begun_s = trio.current_time()
            kinds = self.made.sizes['kinds']
            per_s = sum(k['per_s'] for k in kinds) / len(self.callers[1:])
            for caller in self.callers[1:]:
                nursery.start_soon(caller.run, kinds, per_s)
            nursery.start_soon(self._sweep)
            nursery.start_soon(self._probe)
            async with trio.open_nursery() as playing:
                self._play(playing)
            await self._judge()
            nursery.cancel_scope.cancel()
        counts = dict(zip(('asked', 'served'), self._counts()))
        return self.report.end({'passes': self.built.group.step, **counts})

    def _play(self, nursery: trio.Nursery) -> None:
        async def at(act: typing.Callable, what: typing.Any) -> None:
            await trio.sleep_until(self.report.begun_s + what.start_s)
            self.report.note('begin', **what._asdict())
            await act(what)

        for fault in self.plan.faults:
            nursery.start_soon(at, self.faults.carry_out, fault)
        for order in self.plan.orders:
            nursery.start_soon(at, self.operator.carry_out, order)

    async def _judge(self) -> None:
        """Wait until service is good again, measure it, and end."""
        sizes, begun_s = self.made.sizes, self.report.begun_s
        quiet_from_s = max(
            begun_s + self.plan.end_s - sizes['quiet_s'],
            trio.current_time() + sizes['recover_s'],
        )
        await trio.sleep_until(quiet_from_s)
        asked_before, served_before = self._counts()
        await trio.sleep(sizes['quiet_s'])
        asked, served = self._counts()
        await self.operator.read()
        for name in self.made.names:
            # Asked again where nothing came that tells.
            has = [await self.operator.probe(name) for _ in range(PROBES)]
            is_in = max(has) >= self.watch.acked
            self.watch.check('routes are in force', is_in, entry=name, has=has)
        self.watch.finish(served - served_before, asked - asked_before)

    def _counts(self) -> tuple[int, int]:
        asked = sum(caller.asked for caller in self.callers)
        return asked, sum(caller.served for caller in self.callers)

    async def _sweep(self) -> None:
        told_s = trio.current_time()
        while True:
            await trio.sleep(SWEEP_S)
            now_s, ended = trio.current_time(), self.made.ended()
            self.watch.sweep(now_s, self.built.group.mixed_passes, ended)
            for name in ended:
                self.made.again(name)
            if now_s - told_s >= PROGRESS_S:
                told_s = now_s
                self.report.say('%d asked, %d served' % self._counts())

    async def _probe(self) -> None:
        while True:
            for name in self.made.names:
                if name not in self.made.away:
                    await self.operator.probe(name)
                await trio.sleep(SWEEP_S / 2)


def play(seed: int, span_s: float, sizes: dict, folder: pathlib.Path) -> dict:
    """Play one run and return its verdict; all it left is in ``folder``."""
    plan = schedule.draw(seed, sizes, span_s)
    told = json.dumps({'sizes': sizes, **plan._asdict()}, indent=1)
    (folder / 'schedule.json').write_text(told)
    net, lock = fleet.take_net()

    async def run() -> dict:
        return await Session(made, seed, plan).run()

    made = fleet.Fleet(sizes, folder, net, seed)
    # What was started is ended also when this process is told to stop.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        made.start_entries(founding=True)
        made.start_sidecars()
        return {'seed': seed, 'span_s': span_s, **trio.run(run)}
    finally:
        made.stop_all()
        lock.close()
