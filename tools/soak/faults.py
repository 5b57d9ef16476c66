# SPDX-License-Identifier: Apache-2.0

"""Carries out the faults of a plan, from outside the processes.

Not done, since it can't be done honestly from outside: a disk cut back to
its last sync (nothing tells which sync was the last), slow disks, and clocks
that jump (the programs have no setting for it). A full disk is a scenario of
`features/processes.feature`. Links between two entries can't be proxied, as
a process binds the address that it tells; pauses stand in for them.
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

#: A slow rank takes up to so many times its usual work in a pass.
MOST_SLOW = 5.0
#: What only runners of one service do wrong in their stand-ins.
ONLY_AT = {'cut': 'llm', 'lost': 'plain'}
#: The shortest rest that a runner asks for, and how much longer others are.
LEAST_REST_S, MORE_REST_S = 0.8, 3.0
#: A runner that has left is back after this long.
LEFT_S = 1.0
BOTH = (links.TO, links.BACK)

Fault = schedule.Fault


def _pick(fault: Fault, among: typing.Sequence) -> typing.Any:
    return among[fault.pick % len(among)]


class Faults:
    """Whatever can be harmed in a run, and how."""

    def __init__(
        self, made: fleet.Fleet, built: runners.Built, watch: checks.Watch
    ):
        self.made = made
        self.built = built
        self.watch = watch
        of_runners = {f'link-{r.name}': r.link for r in built.runners}
        self.links = {**made.links, **of_runners}
        #: How many faults harm each thing, and hold each way of a link.
        self._harming: collections.Counter[typing.Any] = collections.Counter()

    async def carry_out(self, fault: Fault) -> None:
        """Carry out one fault from its begin to its end."""
        group = fault.kind.partition('_')[0]
        await getattr(self, f'_{group}')(fault)

    @contextlib.contextmanager
    def _harm(self, *names: str) -> typing.Iterator[None]:
        """Note that these are harmed; an entry with a disk is `core` too."""
        has_disk = any(name in self.made.names[:3] for name in names)
        listed = [*names, 'core'] if has_disk else names
        for name in listed:
            self._harming[name] += 1
            self.watch.harmed_s[name] = math.inf
        try:
            yield
        finally:
            for name in listed:
                self._harming[name] -= 1
                if not self._harming[name]:
                    self.watch.harmed_s[name] = trio.current_time()

    # Links.

    async def _link(self, fault: Fault) -> None:
        name = _pick(fault, sorted(self.links))
        link, kind = self.links[name], fault.kind
        ways = {
            'link_delay': (links.LATE,),
            'link_one_way': (_pick(fault, BOTH),),
            'link_reset': (),
        }.get(kind, BOTH)
        with self._harm(name):
            link.harmed.update(ways)
            await trio.sleep(fault.span_s)
            link.harmed.subtract(ways)
            if kind in ('link_reset', 'link_silence'):
                # A silence ends as a path does that was lost.
                link.reset()

    # Entries and sidecars.

    async def _entry(self, fault: Fault) -> None:
        is_wiped = fault.kind == 'entry_wipe'
        name = _pick(fault, self.made.names[: 3 if is_wiped else None])
        await self._process(name, fault, is_wiped)

    async def _sidecar(self, fault: Fault) -> None:
        ranks = range(self.made.sizes['ranks'])
        await self._process(f'sidecar-{_pick(fault, ranks)}', fault)

    async def _process(
        self, name: str, fault: Fault, is_wiped: bool = False
    ) -> None:
        if fault.kind.endswith('_stop'):
            await self._stop(name, fault.span_s)
        elif fault.kind.endswith('_pause'):
            await self._pause(name, fault.span_s)
        else:
            await self._kill([name], fault.span_s, is_wiped)

    async def _entries(self, fault: Fault) -> None:
        await self._kill(self.made.names, fault.span_s)

    async def _hall(self, fault: Fault) -> None:
        """Kill all in a hall at once."""
        hall = _pick(fault, self.made.sizes['halls'])
        made = self.made
        names = [n for n in made.by_name if made.hall_of(n) == hall]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._kill, names, fault.span_s)
            for runner in self.built.runners:
                if runner.hall == hall:
                    nursery.start_soon(self._end, runner, fault.span_s)

    async def _stop(self, name: str, span_s: float) -> None:
        if name in self.made.away:
            return
        now_s, limit_s = trio.current_time(), self.made.sizes['stop_s']
        # A paused process can't stop; its pause ends here.
        self.made.signal(name, signal.SIGCONT)
        self.watch.stopped_s[name] = now_s
        is_calm = self.watch.in_touch(name, now_s - self.made.sizes['calm_s'])
        took_s = await self.made.stop(name, 2 * limit_s)
        in_time = took_s <= limit_s or not is_calm
        rule = 'planned stops end in time'
        self.watch.check(rule, in_time, entry=name, took_s=took_s)
        await trio.sleep(span_s)
        self.made.again(name)

    async def _pause(self, name: str, span_s: float) -> None:
        with self._harm(name):
            self.made.signal(name, signal.SIGSTOP)
            await trio.sleep(span_s)
            self.made.signal(name, signal.SIGCONT)

    async def _kill(
        self, names: list[str], span_s: float, is_wiped: bool = False
    ) -> None:
        taken = [name for name in names if name not in self.made.away]
        with self._harm(*taken):
            for name in taken:
                self.made.kill(name)
                if is_wiped:
                    shutil.rmtree(self.made.folder / f'data-{name[6:]}')
            await trio.sleep(span_s)
            for name in taken:
                self.made.again(name)

    # Runners.

    async def _runner(self, fault: Fault) -> None:
        what = fault.kind.partition('_')[2]
        service = ONLY_AT.get(what)
        listed = self.built.runners
        runner = _pick(
            fault, [r for r in listed if service in (None, r.service)]
        )
        if what == 'restart':
            await self._end(runner, fault.span_s)
        elif what == 'rest':
            runner.rest_s = LEAST_REST_S + MORE_REST_S * fault.strength
            await trio.sleep(fault.span_s)
            runner.rest_s = 0.0
        elif what == 'leave':
            runner.is_leaving = True
            await trio.sleep(fault.span_s)
            await self._end(runner, LEFT_S)
        elif what == 'drain':
            runner.state = 'draining'
            await trio.sleep(fault.span_s)
            self.watch.out_s.pop(runner.name, None)
            runner.state = 'ready'
        else:
            holder = runner if what == 'garbled' else runner.faults
            with self._harm(f'link-{runner.name}'):
                setattr(holder, what, fault.strength)
                await trio.sleep(fault.span_s)
                setattr(holder, what, 0.0)

    async def _end(self, runner: runners.Runner, span_s: float) -> None:
        """End a runner's life; a group that loses a rank forms anew."""
        group, is_rank = self.built.group, runner.service == 'llm'
        with self._harm(f'link-{runner.name}'):
            if is_rank:
                group.ranks[int(runner.name[2:])].alive = False
            runner.end(span_s)
            await trio.sleep(span_s)
            if is_rank:
                group.reform(trio.current_time())

    async def _rank(self, fault: Fault) -> None:
        """Let one rank be slow."""
        group = self.built.group
        number = fault.pick % len(group.ranks)
        with self._harm(f'link-i-{number}'):
            group.ranks[number].slowdown = 1 + MOST_SLOW * fault.strength
            await trio.sleep(fault.span_s)
            group.ranks[number].slowdown = 1.0

    async def _shift(self, fault: Fault) -> None:
        self.built.group.shift_demand()
