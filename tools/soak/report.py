# SPDX-License-Identifier: Apache-2.0

"""What a run did, as JSON lines; and its verdict, kept with all logs."""

import collections
import json
import pathlib
import sys
import typing

import trio

__all__ = ['Report']

#: Breaks of one rule that are told whole; the rest is only counted.
MOST_TOLD = 20


class Report:
    """The record of one run in its folder; made inside the run."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.begun_s = trio.current_time()
        self.checked: collections.Counter[str] = collections.Counter()
        self.broken: collections.Counter[str] = collections.Counter()
        self.done: collections.Counter[str] = collections.Counter()
        self._events = open(folder / 'events.jsonl', 'w')

    def note(self, what: str, **fields: typing.Any) -> None:
        """Write one line on what the soak did or saw."""
        at_s = round(trio.current_time() - self.begun_s, 3)
        line = {'at_s': at_s, 'what': what, **fields}
        self._events.write(json.dumps(line, default=str) + '\n')
        self.done[fields.get('kind', what)] += 1

    def check(self, rule: str, holds: bool, **fields: typing.Any) -> None:
        """Count a check of a rule, and note where it does not hold."""
        self.checked[rule] += 1
        if holds:
            return
        self.broken[rule] += 1
        if self.broken[rule] <= MOST_TOLD:
            self.note('broken', rule=rule, **fields)
            self.say(f'BROKEN {rule}: {fields}')

    def say(self, text: str) -> None:
        """Tell the progress on standard error."""
        at_s = trio.current_time() - self.begun_s
        print(f'{at_s:6.1f} s: {text}', file=sys.stderr, flush=True)

    def end(self, head: dict) -> dict:
        """Write and return the verdict."""
        verdict = {**head, 'passed': not self.broken}
        for name in ('broken', 'checked', 'done'):
            verdict[name] = dict(sorted(getattr(self, name).items()))
        self._events.close()
        path = self.folder / 'verdict.json'
        path.write_text(json.dumps(verdict, indent=1))
        return verdict
