# SPDX-License-Identifier: Apache-2.0

"""Injects the faults of a plan from outside the processes.

Not covered, as it can't be done from outside: disks truncated to their last
sync (which sync that was is not visible), slow disks, and clock jumps (the
programs have no setting for them). A full disk is a scenario of
`features/processes.feature`. Links between two entries can't be proxied, as
a process binds the address that it advertises; pauses stand in for them.
"""

import collections
import contextlib
import math
import shutil
import signal
import typing

import trio

from tools.soak import checks, fleet, links, runners, schedule

__all__ = ['Faults']

#: Largest extra work of a slow rank, as a multiple of its usual work.
MAX_EXTRA_WORK = 5.0
#: Faults that only the emulated runners of one service can have.
ONLY_SERVICE = {'cut': 'llm', 'lost': 'plain'}
#: The shortest backoff that a runner asks for, and the range added to it.
MIN_BACKOFF_S, EXTRA_BACKOFF_S = 0.8, 3.0
#: The highest limit that a runner names.
MAX_LIMIT_PER_S = 2.0
#: Delay from the break of an answer to the end of all the process's others.
ENDING_S = 0.3
#: Delay until a runner that has left or ended starts again.
RESTART_S = 1.0
#: An entry counts as not ready this long after its signal to stop.
UNREADY_S = 4.0
#: Delay from the end of a process to the start of its other build.
REPLACE_S = 0.5
BOTH_DIRECTIONS = (links.TO_SERVER, links.TO_CLIENT)

Fault = schedule.Fault


def _pick(fault: Fault, candidates: typing.Sequence) -> typing.Any:
    return candidates[fault.pick % len(candidates)]


class Faults:
    """Injects faults into the processes, links and runners of a run."""

    def __init__(
        self,
        system: fleet.Fleet,
        emulated: runners.EmulatedRunners,
        checker: checks.Checker,
    ):
        self.system = system
        self.emulated = emulated
        self.checker = checker
        of_runners = {f'link-{r.name}': r.link for r in emulated.runners}
        self.links = {**system.links, **of_runners}
        #: Number of active faults by process or link.
        self._active_faults: collections.Counter[typing.Any] = (
            collections.Counter()
        )

    async def carry_out(self, fault: Fault) -> None:
        """Inject one fault, from its start to its end."""
        group = fault.kind.partition('_')[0]
        await getattr(self, f'_{group}')(fault)

    @contextlib.contextmanager
    def _mark_faulted(self, *names: str) -> typing.Iterator[None]:
        """Record that these have a fault; an entry with a disk is `core` too.

        Only the first three entries have a disk.
        """
        has_disk = any(name in self.system.names[:3] for name in names)
        affected = [*names, 'core'] if has_disk else names
        self.checker.touch.begin(names, trio.current_time())
        for name in affected:
            self._active_faults[name] += 1
            self.checker.last_fault_s[name] = math.inf
        try:
            yield
        finally:
            self.checker.touch.end(names, trio.current_time())
            for name in affected:
                self._active_faults[name] -= 1
                if not self._active_faults[name]:
                    self.checker.last_fault_s[name] = trio.current_time()

    # Links.

    async def _link(self, fault: Fault) -> None:
        name = _pick(fault, sorted(self.links))
        link, kind = self.links[name], fault.kind
        directions = {
            'link_delay': (links.DELAYED,),
            'link_one_way': (_pick(fault, BOTH_DIRECTIONS),),
            'link_reset': (),
        }.get(kind, BOTH_DIRECTIONS)
        with self._mark_faulted(name):
            link.active_faults.update(directions)
            await trio.sleep(fault.span_s)
            link.active_faults.subtract(directions)
            if kind in ('link_reset', 'link_silence'):
                # Connections do not survive a path that was lost.
                link.reset()

    # Entries and sidecars.

    async def _core(self, fault: Fault) -> None:
        """Keep a controller from running, as a busy scheduler may."""
        await self._unschedule(
            _pick(fault, self.system.names[: fleet.DISKS]), fault.span_s
        )

    async def _unschedule(self, name: str, span_s: float) -> None:
        """Do not run a process for a while; no fault that counts."""
        self.system.signal(name, signal.SIGSTOP)
        await trio.sleep(span_s)
        self.system.signal(name, signal.SIGCONT)

    async def _entry(self, fault: Fault) -> None:
        if fault.kind == 'entry_unscheduled':
            name = _pick(fault, self.system.names[fleet.DISKS :])
            await self._unschedule(name, fault.span_s)
            return
        if fault.kind == 'entry_reload':
            name = _pick(fault, self.system.names)
            self.system.signal(name, signal.SIGHUP)
            return
        is_wiped = fault.kind == 'entry_wipe'
        name = _pick(fault, self.system.names[: 3 if is_wiped else None])
        await self._process(name, fault, is_wiped)

    async def _sidecar(self, fault: Fault) -> None:
        ranks = range(self.system.sizes['ranks'])
        await self._process(f'sidecar-{_pick(fault, ranks)}', fault)

    async def replace(self, name: str, is_killed: bool) -> None:
        """End a process, and start the build that is chosen for it."""
        if is_killed:
            await self._kill([name], REPLACE_S)
        else:
            await self._stop(name, REPLACE_S)

    async def _process(
        self, name: str, fault: Fault, is_wiped: bool = False
    ) -> None:
        if fault.kind.endswith('_stop'):
            await self._stop(name, fault.span_s)
        elif fault.kind.endswith('_pause'):
            await self._pause(name, fault.span_s)
        else:
            await self._kill([name], fault.span_s, is_wiped)

    async def wipe_founder(self) -> None:
        """Let the first seed lose its disk, as routes were acknowledged."""
        names = self.system.names[:1]
        await self._kill(names, REPLACE_S, is_wiped=True)

    async def _entries(self, fault: Fault) -> None:
        await self._kill(self.system.names, fault.span_s)

    async def _hall(self, fault: Fault) -> None:
        """Kill all processes and runners of a hall at once."""
        hall = _pick(fault, self.system.sizes['halls'])
        system = self.system
        names = [n for n in system.by_name if system.hall_of(n) == hall]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._kill, names, fault.span_s)
            for runner in self.emulated.runners:
                if runner.hall == hall:
                    nursery.start_soon(
                        self.restart_runner, runner, fault.span_s
                    )

    async def _stop(self, name: str, span_s: float) -> None:
        if name in self.system.stopped:
            return
        now_s, limit_s = trio.current_time(), self.system.sizes['stop_s']
        # A paused process can't handle the signal to stop.
        self.system.signal(name, signal.SIGCONT)
        self.checker.stop_requested_s[name] = now_s
        self.checker.touch.begin([name], now_s)
        had_no_faults = self.checker.entry_had_no_faults(
            name, now_s - self.system.sizes['calm_s']
        )
        took_s = await self._watch_stop(name, 2 * limit_s)
        in_time = took_s <= limit_s or not had_no_faults
        rule = 'planned stops end in time'
        self.checker.check(rule, in_time, entry=name, took_s=took_s)
        await trio.sleep(span_s)
        self.system.restart(name)
        self.checker.touch.end([name], trio.current_time())

    async def _watch_stop(self, name: str, limit_s: float) -> float:
        """Stop a process; check that it is not ready any more after a while.

        Returns the seconds that it took.
        """

        async def check_ready() -> None:
            await trio.sleep(UNREADY_S)
            address = self.system.readiness(name)
            status, _ = await self.system.ask(address, b'/')
            rule = 'stopping entries are not ready'
            self.checker.check(rule, status != 200, entry=name)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(check_ready)
            took_s = await self.system.stop(name, limit_s)
            nursery.cancel_scope.cancel()
        return took_s

    async def _pause(self, name: str, span_s: float) -> None:
        with self._mark_faulted(name):
            self.system.signal(name, signal.SIGSTOP)
            await trio.sleep(span_s)
            self.system.signal(name, signal.SIGCONT)

    async def _kill(
        self, names: list[str], span_s: float, is_wiped: bool = False
    ) -> None:
        affected = [name for name in names if name not in self.system.stopped]
        with self._mark_faulted(*affected):
            for name in affected:
                self.system.kill(name)
                if is_wiped:
                    shutil.rmtree(self.system.folder / f'data-{name[6:]}')
            await trio.sleep(span_s)
            for name in affected:
                self.system.restart(name)

    # Runners.

    async def _runner(self, fault: Fault) -> None:
        fault_name = fault.kind.partition('_')[2]
        service = ONLY_SERVICE.get(fault_name)
        all_runners = self.emulated.runners
        runner = _pick(
            fault, [r for r in all_runners if service in (None, r.service)]
        )
        if fault_name == 'restart':
            await self.restart_runner(runner, fault.span_s)
        elif fault_name == 'rest':
            runner.backoff_s = MIN_BACKOFF_S + EXTRA_BACKOFF_S * fault.strength
            await trio.sleep(fault.span_s)
            runner.backoff_s = 0.0
        elif fault_name == 'leave':
            runner.is_leaving = True
            await trio.sleep(fault.span_s)
            await self.restart_runner(runner, RESTART_S)
        elif fault_name == 'limit':
            await self._limit_runner(runner, fault)
        elif fault_name == 'broken':
            await self._break_answers(runner, fault)
        elif fault_name == 'drain':
            runner.state = 'draining'
            await trio.sleep(fault.span_s)
            runner.state = 'ready'
            self.checker.end_drain(runner)
        else:
            is_own = fault_name in ('garbled', 'endless', 'invalid')
            target = runner if is_own else runner.faults
            with self._mark_faulted(f'link-{runner.name}'):
                setattr(target, fault_name, fault.strength)
                await trio.sleep(fault.span_s)
                setattr(target, fault_name, 0.0)

    async def _limit_runner(
        self, runner: runners.Runner, fault: Fault
    ) -> None:
        """Let a runner name a limit, in one of five cases 0."""
        if runner.limit_per_s is not None:
            return
        per_s = max(0.0, MAX_LIMIT_PER_S * (1.25 * fault.strength - 0.25))
        self.checker.announcements.forget_limit(runner.name)
        runner.limit_per_s = per_s
        await trio.sleep(fault.span_s)
        if runner.limit_per_s == per_s:
            runner.limit_per_s = None
            self.checker.announcements.forget_limit(runner.name)

    async def _break_answers(
        self, runner: runners.Runner, fault: Fault
    ) -> None:
        """Let a runner break off answers until it ends or the fault does."""
        if runner.broken_off:
            return
        with self._mark_faulted(f'link-{runner.name}'):
            runner.broken_off, runner.is_ending = fault.strength, trio.Event()
            with trio.move_on_after(fault.span_s):
                await runner.is_ending.wait()
            runner.broken_off = 0.0
            if runner.is_ending.is_set():
                await trio.sleep(ENDING_S)
                await self.restart_runner(runner, RESTART_S)

    async def restart_runner(
        self, runner: runners.Runner, span_s: float
    ) -> None:
        """End a runner and start it again; its group forms again, if any."""
        group, is_rank = self.emulated.group, runner.service == 'llm'
        with self._mark_faulted(f'link-{runner.name}'):
            if is_rank:
                group.ranks[int(runner.name[2:])].alive = False
            runner.end(span_s)
            await trio.sleep(span_s)
            if is_rank:
                group.reform(trio.current_time())

    async def _rank(self, fault: Fault) -> None:
        """Slow down one rank."""
        group = self.emulated.group
        number = fault.pick % len(group.ranks)
        with self._mark_faulted(f'link-i-{number}'):
            group.ranks[number].slowdown = 1 + MAX_EXTRA_WORK * fault.strength
            await trio.sleep(fault.span_s)
            group.ranks[number].slowdown = 1.0

    async def _shift(self, fault: Fault) -> None:
        self.emulated.group.shift_demand()
