# SPDX-License-Identifier: Apache-2.0

"""Parts of prompts that crash runners, and how often they may reach them.

The observations are those of the runners; the callers see what is refused.
"""

import collections
import typing

from mountridge.net import dialects

__all__ = ['CRASHING_KIND', 'HarmfulParts', 'QUARANTINED_CODE', 'header']

#: Kind whose requests, all alike, crash each runner that starts one.
CRASHING_KIND = 'killer'

#: Crashes until a part has to be known, and requests that may reach runners
#: once this is so everywhere.
CRASH_LIMIT, MAX_FURTHER = 5, 3
#: Code of requests that are refused for a quarantined part.
QUARANTINED_CODE = 1214

#: Entry and time, and whether it had no faults for some time.
Arrival = tuple[str, float, bool]


def header(kind: dict, request_id: str) -> bytes:
    """Return the parts of a request's prompt; the last is its own."""
    names = [*kind.get('parts', ()), request_id]
    return b','.join(name.encode() + b':100' for name in names)


class HarmfulParts:
    """Crashes and arrivals by harmful part, and refusals of sound requests."""

    def __init__(self, sizes: dict):
        self._harmful = {name.encode() for name in sizes.get('harmful', ())}
        self._known_after_s = sizes['calm_s']
        self.crashes_s: dict[bytes, list[float]] = collections.defaultdict(
            list
        )
        self.arrivals: dict[bytes, list[Arrival]] = collections.defaultdict(
            list
        )
        #: Times at which sound requests were refused for a part.
        self.refused_s: list[float] = []

    def of(self, value: bytes | None) -> bytes | None:
        """Return the harmful part in a header of parts, if there is one."""
        for part in dialects.shared_parts(value or b''):
            if part in self._harmful:
                return part
        return None

    def is_harmful(self, kind: dict) -> bool:
        """Return whether requests of a kind crash runners."""
        if kind['name'] == CRASHING_KIND:
            return True
        names = {name.encode() for name in kind.get('parts', ())}
        return not self._harmful.isdisjoint(names)

    def further(self, part: bytes) -> list[typing.Any]:
        """Return the arrivals once a part has to be known everywhere."""
        crashes_s = self.crashes_s[part]
        if len(crashes_s) < CRASH_LIMIT:
            return []
        known_s = crashes_s[CRASH_LIMIT - 1] + self._known_after_s
        return [
            (entry, at_s)
            for entry, at_s, in_touch in self.arrivals[part]
            if in_touch and at_s > known_s
        ]
