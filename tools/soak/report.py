# SPDX-License-Identifier: Apache-2.0

"""Event log of a run, as JSON lines, and its verdict."""

import collections
import json
import pathlib
import sys
import typing

import trio

__all__ = ['Report']

#: Violations of one rule that are logged; further ones are only counted.
MAX_LOGGED_VIOLATIONS = 20


class Report:
    """The event log and counts of one run; must be created within the run."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.started_s = trio.current_time()
        self.checked: collections.Counter[str] = collections.Counter()
        self.broken: collections.Counter[str] = collections.Counter()
        self.done: collections.Counter[str] = collections.Counter()
        self._events = open(folder / 'events.jsonl', 'w')

    def note(self, what: str, **fields: typing.Any) -> None:
        """Write one line on an action or an observation."""
        at_s = round(trio.current_time() - self.started_s, 3)
        line = {'at_s': at_s, 'what': what, **fields}
        self._events.write(json.dumps(line, default=str) + '\n')
        self.done[fields.get('kind', what)] += 1

    def check(self, rule: str, holds: bool, **fields: typing.Any) -> None:
        """Count a check of a rule, and log it if the rule is broken."""
        self.checked[rule] += 1
        if holds:
            return
        self.broken[rule] += 1
        if self.broken[rule] <= MAX_LOGGED_VIOLATIONS:
            self.note('broken', rule=rule, **fields)
            self.print_progress(f'BROKEN {rule}: {fields}')

    def print_progress(self, text: str) -> None:
        """Print progress on standard error."""
        at_s = trio.current_time() - self.started_s
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
