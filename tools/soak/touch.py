# SPDX-License-Identifier: Apache-2.0

"""Which entries are in touch with the controllers.

Only for these do rules with a bound in time hold. An entry is in touch if
for a while neither its process nor its links had a fault, and the controllers
were stable. What the run does to a process without marking it as a fault, as
a scheduler may, counts for nothing.
"""

import collections
import math
import typing

__all__ = ['Touch']

LINKS = ('front', 'control', 'directory')


class Touch:
    """Times of the faults of processes and links, by name."""

    def __init__(self, sizes: dict, controllers: typing.Collection[str]):
        self._contact_s = sizes['contact_s']
        self._apply_s = sizes['apply_s']
        self._outer_s = sizes['outer_s']
        self._controllers = frozenset(controllers)
        self._active: collections.Counter[str] = collections.Counter()
        self._last_s: dict[str, float] = {}
        #: When most controllers were last in a fault at once.
        self._most_lost_s = -math.inf

    def begin(self, names: typing.Iterable[str], now_s: float) -> None:
        """Record that faults of these begin."""
        self._active.update(names)
        self._record_loss(now_s)

    def end(self, names: typing.Iterable[str], now_s: float) -> None:
        """Record that faults of these end."""
        self._record_loss(now_s)
        for name in names:
            self._active[name] -= 1
            self._last_s[name] = now_s

    def _record_loss(self, now_s: float) -> None:
        lost = sum(self._active[name] > 0 for name in self._controllers)
        if 2 * lost > len(self._controllers):
            self._most_lost_s = now_s

    def is_calm(self, names: typing.Iterable[str], since_s: float) -> bool:
        """Return whether none of these had a fault since then."""
        return all(
            not self._active[name]
            and self._last_s.get(name, -math.inf) < since_s
            for name in names
        )

    def _entry_is_calm(self, entry: str, at_s: float) -> bool:
        links = [f'{kind}-{entry.partition("-")[2]}' for kind in LINKS]
        return self.is_calm([entry, *links], at_s - self._contact_s)

    def _core_is_stable(self, at_s: float) -> bool:
        contact_s = self._contact_s
        if self._most_lost_s >= at_s - 2 * contact_s:
            contact_s *= 2
        return self.is_calm(self._controllers, at_s - contact_s)

    def is_in_touch(self, entry: str, at_s: float) -> bool:
        """Return whether an entry has been in touch from before ``at_s``."""
        return self._entry_is_calm(entry, at_s) and self._core_is_stable(at_s)

    def apply_bound_s(self, entry: str, at_s: float) -> float:
        """Return how long after its acknowledgement a change is in force.

        Infinity where no bound holds for the entry.
        """
        if not self._entry_is_calm(entry, at_s):
            return math.inf
        if self._core_is_stable(at_s):
            return self._apply_s
        bound_s = self._apply_s + self._outer_s
        since_s = at_s - bound_s - self._contact_s
        faulted = sum(
            not self.is_calm([name], since_s) for name in self._controllers
        )
        if 2 * faulted >= len(self._controllers):
            return math.inf
        return bound_s
