# SPDX-License-Identifier: Apache-2.0

"""Rolls through all processes of a run: replaces each by another build."""

import json
import re

import trio

from mountridge import builds
from tools.soak import faults, fleet, report, schedule

__all__ = ['Rolls']


WATCH_INTERVAL_S = 1.0
_MALFORMED = re.compile(rb'"message\.malformed"} (\d+)')


class Rolls:
    """Carries out the rolls of a plan."""

    def __init__(
        self,
        system: fleet.Fleet,
        injected: faults.Faults,
        run_report: report.Report,
    ):
        self.system = system
        self.faults = injected
        self.report = run_report

    async def carry_out(self, rolls: list[schedule.Roll]) -> None:
        """Carry out rolls, which do not overlap."""
        for roll in rolls:
            await self._carry_out(roll)

    async def watch_messages(self) -> None:
        """Check that no process gets a message that it cannot decode.

        Faults of links do not alter messages between processes.
        """
        while True:
            await trio.sleep(WATCH_INTERVAL_S)
            for name, address in list(self.system.metrics.items()):
                if name not in self.system.stopped:
                    await self.check_messages(name, address)

    async def check_messages(self, name: str, address: str) -> None:
        """Check the count of a process, if it answers."""
        status, text = await self.system.ask(address, b'/metrics')
        if status != 200:
            return
        found = _MALFORMED.search(text)
        count = int(found[1]) if found else 0
        rule = 'processes read all messages'
        self.report.check(rule, count == 0, name=name, count=count)

    async def _carry_out(self, roll: schedule.Roll) -> None:
        leader = self._leader()
        order = [name for name in roll.names if name != leader]
        order.insert(len(order) if roll.leader_last else 0, leader)
        kind = 'roll_forward' if roll.to_new else 'roll_back'
        self.report.note('begin', kind=kind, order=order)
        for number, name in enumerate(order):
            at_s = roll.start_s + number * roll.step_s
            await trio.sleep_until(self.report.started_s + at_s)
            self.system.use_build(name, is_old=not roll.to_new)
            await self.faults.replace(name, roll.is_killed[number])

    def _leader(self) -> str:
        """Return the entry that became leader in the highest term."""
        elected = [
            (line['term'], name)
            for name in self.system.names[: fleet.DISKS]
            for line in self._log_lines(name, 'role changed')
            if line['role'] == 'leader'
        ]
        return max(elected)[1]

    def _log_lines(self, name: str, message: str) -> list[dict]:
        """Return the lines of a process with this message."""
        found = []
        with open(self.system.folder / f'{name}.log') as log:
            for text in log:
                if f'"{message}"' in text:
                    found.append(json.loads(text))
        return [line for line in found if line['message'] == message]

    def check_builds(self) -> None:
        """Check that each process runs the build that it should."""
        for name in self.system.by_name:
            newest = self._log_lines(name, 'started')[-1]
            is_new = newest.get('build') == builds.build_name()
            is_right = is_new != (name in self.system.on_old_build)
            rule = 'processes run their build'
            self.report.check(rule, is_right, name=name, line=newest)
