# SPDX-License-Identifier: Apache-2.0

"""Which parts of prompts crash runners, by crashes and successes.

A harmful part crashes each runner that begins to answer a request with it, so
one success clears a part of all crashes before it. What remains is shared by
requests that no single request explains, in several crashes that no other
quarantined part explains. A part that served requests before is more likely to
have been a bystander, and needs more crashes in a row.

A quarantine concerns the teams that were part of each crash: a team that sends
a part of others with requests of its own that crash runners quarantines it for
itself only. Where the crashes have no team in common, it concerns all.
"""

import collections
import typing

from mountridge.documents import promptparts, quarantines

__all__ = ['PartEvidence', 'Verdict']

#: Crashes until a part is quarantined, and until one is that has served
#: requests in the last `PROVEN_S`.
CRASHES, CRASHES_IF_PROVEN = 2, 4
PROVEN_S = quarantines.CRASH_TTL_S
#: Runners that crash within this time of each other count as one crash: they
#: may have lost their power together.
SAME_CRASH_S = 0.1
#: Parts that are kept, the latest ones, of each kind; about 1 KB each with all
#: crashes below.
MAX_PARTS = 4000
#: Crashes of a part that are kept, and requests and teams of each.
MAX_CRASHES, MAX_NAMED = 16, 64

EXPIRE_INTERVAL_S = 5.0

Incarnation = tuple[str, int, int]
NEVER_S = float('-inf')


class Verdict(typing.NamedTuple):
    """A part to quarantine for a team, or for `promptparts.ALL_TEAMS`."""

    part: bytes
    team: bytes
    crashes: int

    @property
    def key(self) -> bytes:
        """The key of the quarantine."""
        return promptparts.part_key(self.part, self.team)


class _Crash:
    """The crash of one runner, for one part: who had requests there."""

    __slots__ = ('at_s', 'requests', 'teams')

    def __init__(self, at_s: float):
        self.at_s = at_s
        self.teams: set[bytes] = set()
        self.requests: set[bytes] = set()


_Crashes = dict[Incarnation, _Crash]


class PartEvidence:
    """Crashes and successes of parts, of one gateway or of all."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[bytes, _Crashes] = (
            collections.OrderedDict()
        )
        self._expired_s = NEVER_S
        self._success_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def clear(self) -> None:
        """Discard all crashes and successes."""
        self._crashes.clear()
        self._success_s.clear()

    def record_crash(
        self, crash: promptparts.PartCrash, crashed_s: float
    ) -> bool:
        """Count a crash, unless a later success has cleared the part.

        Returns whether this part of this crash was not known.
        """
        if crashed_s <= self._success_s.get(crash.part, NEVER_S):
            return False
        seen = self._crashes.pop(crash.part, {})
        self._crashes[crash.part] = seen
        is_new = crash.incarnation not in seen
        found = seen.setdefault(crash.incarnation, _Crash(crashed_s))
        if len(found.requests) < MAX_NAMED:
            found.teams.add(crash.team)
            found.requests.add(crash.request)
        while len(seen) > MAX_CRASHES:
            del seen[next(iter(seen))]
        while len(self._crashes) > MAX_PARTS:
            self._crashes.popitem(last=False)
        return is_new

    def record_success(self, part: bytes, succeeded_s: float) -> None:
        """Clear a part of all crashes up to a success of a request."""
        latest_s = max(succeeded_s, self._success_s.pop(part, NEVER_S))
        self._success_s[part] = latest_s
        while len(self._success_s) > MAX_PARTS:
            self._success_s.popitem(last=False)
        seen = self._crashes.get(part, {})
        for incarnation, crash in list(seen.items()):
            if crash.at_s <= latest_s:
                del seen[incarnation]
        if not seen:
            self._crashes.pop(part, None)

    def success_s(self, part: bytes) -> float:
        """Return the time of the last success of a part, or -inf."""
        return self._success_s.get(part, NEVER_S)

    def is_proven(self, part: bytes, now_s: float) -> bool:
        """Return whether a part has lately served requests."""
        return now_s - self.success_s(part) < PROVEN_S

    def has_crashes(self, part: bytes) -> bool:
        """Return whether there are crashes that count against a part."""
        return part in self._crashes

    def _expire(self, now_s: float) -> None:
        """Forget crashes that no longer count, at intervals."""
        if now_s - self._expired_s < EXPIRE_INTERVAL_S:
            return
        self._expired_s = now_s
        for part, seen in list(self._crashes.items()):
            for incarnation, crash in list(seen.items()):
                if now_s - crash.at_s >= quarantines.CRASH_TTL_S:
                    del seen[incarnation]
            if not seen:
                del self._crashes[part]

    def verdicts(
        self, held: typing.Collection[bytes], now_s: float
    ) -> list[Verdict]:
        """Return the parts to quarantine, beside the keys ``held``.

        The part that most crashes name explains them, and what else those
        crashes name needs others. Of parts that the same crashes name, the one
        in the fewest requests does; where it would be any of several, all of
        them are quarantined together.
        """
        self._expire(now_s)
        parts = {promptparts.part_of(key) for key in held}
        found = self._wider(held, now_s)
        while True:
            left_by_part = self._unexplained(parts, now_s)
            if not left_by_part:
                return found
            # Without a proof first, then by the number of crashes.
            best = max(
                left_by_part,
                key=lambda part: (
                    not self.is_proven(part, now_s),
                    len(left_by_part[part]),
                ),
            )
            alike = {
                part: _count_requests(left)
                for part, left in left_by_part.items()
                if left.keys() == left_by_part[best].keys()
                and self.is_proven(part, now_s) == self.is_proven(best, now_s)
            }
            fewest = min(alike.values())
            for part, count in alike.items():
                if count == fewest:
                    found += _verdicts(part, left_by_part[part])
                    parts.add(part)

    def is_explained(self, part: bytes, by: set[bytes], now_s: float) -> bool:
        """Return whether the crashes that ``by`` explain leave too few."""
        others = self._incarnations(by - {part})
        left = {
            incarnation: crash
            for incarnation, crash in self._crashes.get(part, {}).items()
            if incarnation not in others
        }
        return not self._is_enough(part, left, now_s)

    def is_suspect(self, part: bytes, now_s: float) -> bool:
        """Return whether a part alone would be quarantined."""
        seen = self._crashes.get(part, {})
        return self._is_enough(part, seen, now_s)

    def _wider(
        self, held: typing.Collection[bytes], now_s: float
    ) -> list[Verdict]:
        """Return the parts that are held for a team, but crash others too.

        Only crashes count that no held team was part of, and that no other
        held part explains.
        """
        parts = {promptparts.part_of(key) for key in held}
        found = []
        for part in parts:
            if promptparts.part_key(part, promptparts.ALL_TEAMS) in held:
                continue
            others = self._incarnations(parts - {part})
            left = {
                incarnation: crash
                for incarnation, crash in self._crashes.get(part, {}).items()
                if incarnation not in others
                and not any(
                    promptparts.part_key(part, team) in held
                    for team in crash.teams
                )
            }
            if self._is_enough(part, left, now_s):
                verdict = Verdict(part, promptparts.ALL_TEAMS, len(left))
                found.append(verdict)
        return found

    def _incarnations(self, parts: set[bytes]) -> set[Incarnation]:
        """Return the runners that crashed beneath requests with these."""
        return {
            incarnation
            for part in parts
            for incarnation in self._crashes.get(part, ())
        }

    def _unexplained(
        self, held: set[bytes], now_s: float
    ) -> dict[bytes, _Crashes]:
        """Return the crashes by part that no part in ``held`` explains.

        Only of those parts for which they are enough.
        """
        explained = self._incarnations(held)
        found = {}
        for part, seen in self._crashes.items():
            if part in held or len(seen) < CRASHES:
                continue
            left = {
                incarnation: crash
                for incarnation, crash in seen.items()
                if incarnation not in explained
            }
            if self._is_enough(part, left, now_s):
                found[part] = left
        return found

    def _is_enough(self, part: bytes, seen: _Crashes, now_s: float) -> bool:
        needed = CRASHES
        if self.is_proven(part, now_s):
            needed = CRASHES_IF_PROVEN
        if len(seen) < needed or _count_distinct(seen) < needed:
            return False
        # A request that was part of each crash explains them by itself.
        return not set.intersection(*(each.requests for each in seen.values()))


def _count_distinct(seen: _Crashes) -> int:
    """Return the number of crashes, those at about the same time as one."""
    count, last_s = 0, NEVER_S
    for at_s in sorted(crash.at_s for crash in seen.values()):
        if at_s - last_s > SAME_CRASH_S:
            count += 1
            last_s = at_s
    return count


def _count_requests(seen: _Crashes) -> int:
    return len(set.union(*(crash.requests for crash in seen.values())))


def _common_teams(seen: _Crashes) -> set[bytes]:
    return set.intersection(*(crash.teams for crash in seen.values()))


def _verdicts(part: bytes, seen: _Crashes) -> list[Verdict]:
    teams = _common_teams(seen) or {promptparts.ALL_TEAMS}
    return [Verdict(part, team, len(seen)) for team in sorted(teams)]
