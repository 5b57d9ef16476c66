# SPDX-License-Identifier: Apache-2.0

"""One run: starts the system, executes the plan, checks and cleans up."""

import functools
import json
import pathlib
import random
import signal
import time
import typing

import trio

from tools.soak import checks, faults, fleet, keepers, loads, operators
from tools.soak import report, rolls, runners, schedule

__all__ = ['execute']

START_S = 30.0
#: Delay from the first acknowledged routes to the first callers.
SETTLE_S = 2.5
#: How long a founder that is to be lost runs before the others are started.
ALONE_S = 1.0
CHECK_INTERVAL_S = 1.0
PROBES = 3
PROGRESS_INTERVAL_S = 10.0


class Session:
    """One run and all its parts."""

    def __init__(
        self,
        system: fleet.Fleet,
        seed: int,
        plan: schedule.Plan,
        planned_rolls: list[schedule.Roll],
    ):
        self.system = system
        self.plan = plan
        self.seed = seed
        self.planned_rolls = planned_rolls
        rng = random.Random(seed)
        self.report = report.Report(system.folder)
        self.checker = checks.Checker(
            system.sizes, self.report, system.names[: fleet.DISKS]
        )
        self.emulated = runners.build(system, self.checker, rng)
        self.faults = faults.Faults(system, self.emulated, self.checker)
        self.rolls = rolls.Rolls(system, self.faults, self.report)
        # The first one is used by the operator alone.
        self.callers = [
            loads.Caller(system, self.checker, random.Random(rng.random()))
            for _ in range(system.sizes['callers'] + 1)
        ]
        note = self.report.note
        self.operator = operators.Operator(self.callers[0], note)

    async def run(self) -> dict:
        """Execute the plan and return the verdict."""
        async with trio.open_nursery() as nursery:
            for link in self.faults.links.values():
                nursery.start_soon(link.run)
            nursery.start_soon(self.emulated.ranks.run_passes)
            for runner in self.emulated.runners:
                runner.crash = functools.partial(
                    nursery.start_soon,
                    self.faults.restart_runner,
                    runner,
                    runners.CRASH_DOWN_S,
                )
                nursery.start_soon(runner.run, self.system, self.checker)
            with trio.fail_after(START_S):
                await self.operator.put_first_routes()
            if self.system.sizes.get('wipes_founder'):
                nursery.start_soon(self.faults.wipe_founder)
            await trio.sleep(SETTLE_S)
            self.report.started_s = trio.current_time()
            kinds = self.system.sizes['kinds']
            per_s = sum(k['per_s'] for k in kinds) / len(self.callers[1:])
            for caller in self.callers[1:]:
                nursery.start_soon(caller.run, kinds, per_s)
            self._start_keepers(nursery)
            nursery.start_soon(self._check_periodically)
            nursery.start_soon(self._probe)
            if self.planned_rolls:
                nursery.start_soon(self.rolls.watch_messages)
            async with trio.open_nursery() as plan_nursery:
                self._start_plan(plan_nursery)
            await self._assess_recovery()
            nursery.cancel_scope.cancel()
        counts = dict(zip(('asked', 'served'), self._counts()))
        crashes = self.checker.harmful_parts.crashes_s
        counts |= {
            f'crashes by {part.decode()}': len(times_s)
            for part, times_s in crashes.items()
        }
        return self.report.end({'passes': self.emulated.group.step, **counts})

    def _start_keepers(self, nursery: trio.Nursery) -> None:
        # Another sequence than that of the other callers, whose ids it draws.
        sizes, rng = self.system.sizes, random.Random(f'keepers {self.seed}')
        for front in self.system.fronts * sizes['keepers']:
            keeper = loads.Caller(
                self.system, self.checker, random.Random(rng.random())
            )
            every_s = sizes['keeper_every_s']
            nursery.start_soon(keepers.keep, keeper, front, every_s)

    def _start_plan(self, nursery: trio.Nursery) -> None:
        async def at(act: typing.Callable, step: typing.Any) -> None:
            await trio.sleep_until(self.report.started_s + step.start_s)
            self.report.note('begin', **step._asdict())
            await act(step)

        for fault in self.plan.faults:
            nursery.start_soon(at, self.faults.carry_out, fault)
        for order in self.plan.orders:
            nursery.start_soon(at, self.operator.carry_out, order)
        nursery.start_soon(self.rolls.carry_out, self.planned_rolls)

    async def _assess_recovery(self) -> None:
        """Wait for the system to recover, and measure the service level."""
        sizes, started_s = self.system.sizes, self.report.started_s
        quiet_from_s = max(
            started_s + self.plan.end_s - sizes['quiet_s'],
            trio.current_time() + sizes['recover_s'],
        )
        await trio.sleep_until(quiet_from_s)
        asked_before, served_before = self._counts()
        await trio.sleep(sizes['quiet_s'])
        asked, served = self._counts()
        await self.operator.read()
        for name in self.system.names:
            # Probes may fail, so the best of several counts.
            probed = [await self.operator.probe(name) for _ in range(PROBES)]
            is_served = max(probed) >= self.checker.acked_version
            self.checker.check(
                'routes are in force', is_served, entry=name, has=probed
            )
        if self.planned_rolls:
            self.rolls.check_builds()
        self.checker.finish(
            served - served_before, asked - asked_before, quiet_from_s
        )

    def _counts(self) -> tuple[int, int]:
        asked = sum(caller.asked for caller in self.callers)
        return asked, sum(caller.served for caller in self.callers)

    async def _check_periodically(self) -> None:
        reported_s = trio.current_time()
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._check_memory()
            now_s, ended = trio.current_time(), self.system.ended()
            self.checker.sweep(now_s, self.emulated.group.mixed_passes, ended)
            for name in ended:
                self.system.restart(name)
            if now_s - reported_s >= PROGRESS_INTERVAL_S:
                reported_s = now_s
                self.report.print_progress(
                    '%d asked, %d served' % self._counts()
                )

    def _check_memory(self) -> None:
        most_mb = self.system.sizes.get('memory_mb')
        if most_mb is None:
            return
        for name in self.system.names:
            taken_mb = self.system.memory_mb(name)
            self.checker.record_memory(name, taken_mb, most_mb)

    async def _probe(self) -> None:
        while True:
            for name in self.system.names:
                if name not in self.system.stopped:
                    await self.operator.probe(name)
                await trio.sleep(CHECK_INTERVAL_S / 2)


def _start(system: fleet.Fleet) -> None:
    """Start all processes; the founder alone first if it is to be lost."""
    numbers = range(system.sizes['entries'])
    if system.sizes.get('wipes_founder'):
        system.start_entry(0, founding=True)
        time.sleep(ALONE_S)
        numbers = numbers[1:]
    for number in numbers:
        system.start_entry(number, founding=True)
    system.start_sidecars()


def execute(
    seed: int,
    span_s: float,
    sizes: dict,
    folder: pathlib.Path,
    old_build: str = '',
) -> dict:
    """Execute one run and return its verdict; its files are in ``folder``.

    With the checkout of an old build all processes start on that build, and
    the run rolls through them.
    """
    plan = schedule.draw(seed, sizes, span_s)
    net, lock = fleet.take_net()
    system = fleet.Fleet(sizes, folder, net, seed, old_build)
    planned_rolls = []
    if old_build:
        names = [*system.names]
        names += [f'sidecar-{n}' for n in range(sizes['ranks'])]
        system.on_old_build.update(names)
        planned_rolls = schedule.draw_rolls(seed, names, sizes, span_s)
    plan_json = json.dumps(
        {
            'sizes': sizes,
            **plan._asdict(),
            'old_build': old_build,
            'rolls': planned_rolls,
        },
        indent=1,
    )
    (folder / 'schedule.json').write_text(plan_json)

    async def run() -> dict:
        return await Session(system, seed, plan, planned_rolls).run()

    # Stop all processes also when this one receives SIGTERM.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        _start(system)
        return {'seed': seed, 'span_s': span_s, **trio.run(run)}
    finally:
        system.stop_all()
        lock.close()
