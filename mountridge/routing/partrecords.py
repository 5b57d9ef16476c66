# SPDX-License-Identifier: Apache-2.0

"""One gateway's record of parts of prompts that crash their runners.

It reports crashes and successes by part to the leader, whose quarantines are
part of the view. Where the leader does not answer, the gateway's own evidence
applies. A quarantined part is probed by one request in the whole system, which
the leader grants to one gateway.
"""

import collections
import typing

from mountridge.documents import promptparts, quarantines
from mountridge import messages
from mountridge.state import partevidence

__all__ = [
    'PROBE_S', 'Parts', 'PartRecords', 'may_tell_apart', 'probe_wait_s',
    'together',
]  # fmt: skip

#: Wait before the first probe of a quarantined part; of one that was
#: quarantined together with others, of which some are likely innocent; the
#: factor by which each further wait is longer, and the longest. An innocent
#: part is served again soon, while a harmful one crashes three runners in half
#: a day.
PROBE_WAIT_S, SHARED_PROBE_WAIT_S = 30.0, 5.0
GROWTH, MAX_PROBE_WAIT_S = 16.0, 43_200.0
#: How long a granted probe may be used: until one of the requests with the
#: part has succeeded or crashed its runner. Without either it is used up.
PROBE_S = 30.0
#: Interval between two requests for a probe of the same part.
ASK_INTERVAL_S = 2.0
#: How long a crash is reported, see `routing.quarantine.REPORT_FOR_S`.
REPORT_FOR_S = 30.0
#: Most crashes and most successes in one report, the latest ones; about 80 and
#: 30 bytes each.
MAX_REPORTED = 128
#: Crashes that are kept to report them again, with the requests of each.
MAX_KEPT = 512
#: Requests of one team that are reported for a part and the crash of a runner:
#: with a second one it is known that not one request alone crashes runners.
REQUESTS_REPORTED = 2
#: The gateway's own evidence applies where its report of a crash has not been
#: acknowledged for this long, each time for `OWN_HOLD_S`.
UNACKNOWLEDGED_S, OWN_HOLD_S = 1.0, 30.0


class Parts(typing.NamedTuple):
    """The parts of one request's prompt that others may share."""

    digests: tuple[bytes, ...] = ()
    team: bytes = promptparts.ALL_TEAMS  # tag


class _Probe:
    """A probe that the leader has granted to this gateway."""

    def __init__(self, until_s: float):
        self.until_s = until_s
        self.is_in_use = False


Listed = typing.Mapping[bytes, quarantines.QuarantinedRequest]


def together(key: bytes, listed: Listed) -> set[bytes]:
    """Return the keys of the parts that one decision has quarantined."""
    since_s = listed[key].since_s
    return {other for other, each in listed.items() if each.since_s == since_s}


def probe_wait_s(key: bytes, listed: Listed) -> float:
    """Return how long a part in a list is quarantined before its probe."""
    parts = {promptparts.part_of(each) for each in together(key, listed)}
    first_s = SHARED_PROBE_WAIT_S if len(parts) > 1 else PROBE_WAIT_S
    holds = max(1, listed[key].holds)
    return min(MAX_PROBE_WAIT_S, first_s * GROWTH ** (holds - 1))


def may_tell_apart(keys: typing.Collection[bytes], listed: Listed) -> bool:
    """Return whether a request with these quarantined parts may probe them.

    Not with all of those that were quarantined together: the harmful one is
    among them, and others are likely innocent.
    """
    for key in keys:
        group = {promptparts.part_of(each) for each in together(key, listed)}
        if len(group) > 1 and group <= {promptparts.part_of(k) for k in keys}:
            return False
    return True


class PartRecords:
    """Crashes and successes by part, and the quarantined parts."""

    def __init__(self, key: str = ''):
        self._key = key.encode()
        self._listed: dict[bytes, quarantines.QuarantinedRequest] = {}
        #: Since when a quarantined part has been in its present state.
        self._since_s: dict[bytes, float] = {}
        self._evidence = partevidence.PartEvidence()
        #: Crashes to report, with their times.
        self._crashes: collections.deque[
            tuple[float, promptparts.PartCrash]
        ] = collections.deque()
        #: Requests among them by part, team and runner.
        self._reported: collections.Counter[tuple] = collections.Counter()
        #: Parts whose last success the leader may not know.
        self._unreported: dict[bytes, float] = {}
        #: Crashes up to this time have been acknowledged by the leader.
        self._acknowledged_s = float('-inf')
        self._last_crash_s = float('-inf')
        #: What this gateway would quarantine, until when.
        self._own_verdicts: dict[bytes, float] = {}
        self._is_judged = True
        self._probes: dict[bytes, _Probe] = {}
        self._asked_s: dict[bytes, float] = {}

    def parts(
        self, service: str, part_ids: typing.Iterable[bytes], team: str
    ) -> Parts:
        """Return the parts of a request's prompt as they are recorded."""
        digests = tuple(
            promptparts.part_digest(self._key, service, part_id)
            for part_id in part_ids
        )
        return Parts(digests, promptparts.team_tag(self._key, team))

    # Evidence.

    def record_crash(
        self,
        parts: Parts,
        request: bytes,
        incarnation: partevidence.Incarnation,
        now_s: float,
    ) -> None:
        """Record that a runner crashed as it began to answer a request."""
        for part in parts.digests:
            crash = promptparts.PartCrash(
                part, parts.team, request, *incarnation, 0.0
            )
            self._evidence.record_crash(crash, now_s)
            alike = (part, parts.team, incarnation)
            self._reported[alike] += 1
            if self._reported[alike] <= REQUESTS_REPORTED:
                self._crashes.append((now_s, crash))
                if len(self._crashes) > MAX_KEPT:
                    self._drop_oldest()
            self._last_crash_s, self._is_judged = now_s, False

    def record_success(self, parts: Parts, now_s: float) -> bool:
        """Record that a runner has answered a request completely.

        Returns whether to report it: a part was suspect or quarantined.
        """
        is_wanted = False
        for part in parts.digests:
            is_suspect = self._evidence.has_crashes(part)
            self._evidence.record_success(part, now_s)
            if is_suspect or self._is_listed(part):
                self._unreported[part] = now_s
                is_wanted = True
        if is_wanted:
            cleared = set(parts.digests)
            self._own_verdicts = {
                key: until_s
                for key, until_s in self._own_verdicts.items()
                if promptparts.part_of(key) not in cleared
            }
        return is_wanted

    def is_proven(self, parts: Parts, now_s: float) -> bool:
        """Return whether all parts have lately been answered, at least one."""
        return bool(parts.digests) and all(
            self._evidence.is_proven(part, now_s) for part in parts.digests
        )

    # Quarantine.

    def update(
        self,
        listed: typing.Iterable[quarantines.QuarantinedRequest],
        now_s: float,
    ) -> None:
        """Apply the quarantined parts of the view."""
        before = self._listed
        self._listed = {each.digest: each for each in listed}
        for key, each in self._listed.items():
            if before.get(key) == each:
                continue
            self._since_s[key] = now_s
            part = promptparts.part_of(key)
            if key not in before and self._evidence.is_proven(part, now_s):
                self._unreported[part] = self._evidence.success_s(part)
        for key in before.keys() - self._listed.keys():
            # Released: what led to it no longer counts.
            self._own_verdicts.pop(key, None)
            for kept in (self._since_s, self._probes, self._asked_s):
                kept.pop(key, None)

    def _is_listed(self, part: bytes) -> bool:
        return any(promptparts.part_of(key) == part for key in self._listed)

    def held(self, parts: Parts, now_s: float) -> list[bytes]:
        """Return the keys of the quarantines that concern a request.

        One for each part: where it is quarantined for all teams and for the
        request's too, the key of the former.
        """
        own = self._own(now_s) if self._is_alone(now_s) else {}
        if not self._listed and not own:
            return []
        found = []
        for part in parts.digests:
            for team in (promptparts.ALL_TEAMS, parts.team):
                key = promptparts.part_key(part, team)
                if key in self._listed or now_s < own.get(key, now_s):
                    found.append(key)
                    break
        return found

    def _own(self, now_s: float) -> dict[bytes, float]:
        """Return what this gateway would quarantine, until when."""
        if not self._is_judged:
            self._is_judged = True
            self._own_verdicts = {
                key: until_s
                for key, until_s in self._own_verdicts.items()
                if now_s < until_s
            }
            for verdict in self._evidence.verdicts(self._own_verdicts, now_s):
                self._own_verdicts[verdict.key] = now_s + OWN_HOLD_S
        return self._own_verdicts

    def _is_alone(self, now_s: float) -> bool:
        """Return whether the leader does not answer reports of crashes."""
        crashed_s = self._last_crash_s
        return self._acknowledged_s < crashed_s < now_s - UNACKNOWLEDGED_S

    # Probes.

    def claim_probe(self, keys: tuple[bytes, ...], now_s: float) -> bool:
        """Return whether a request may be sent as a granted probe.

        The caller ends the use of the probe with `end_probe`.
        """
        probes = [self._probes.get(key) for key in keys]
        for probe in probes:
            if not probe or probe.is_in_use or now_s >= probe.until_s:
                return False
        for probe in probes:
            probe.is_in_use = True
        return True

    def end_probe(self, keys: tuple[bytes, ...]) -> None:
        """Record that the request sent as a probe has ended."""
        for key in keys:
            if key in self._probes:
                self._probes[key].is_in_use = False

    def drop_probe(self, keys: tuple[bytes, ...]) -> None:
        """Discard a probe: its request has crashed a runner."""
        for key in keys:
            self._probes.pop(key, None)

    def add_probe(self, keys: tuple[bytes, ...], asked_s: float) -> None:
        """Record a probe that the leader granted when asked at a time."""
        for key in keys:
            self._probes[key] = _Probe(asked_s + PROBE_S)

    def may_ask(self, keys: tuple[bytes, ...], now_s: float) -> bool:
        """Return whether to ask the leader for a probe now, and count it."""
        if not all(self._is_due(key, now_s) for key in keys):
            return False
        if not may_tell_apart(keys, self._listed):
            return False
        for key in keys:
            self._asked_s[key] = now_s
        return True

    def _is_due(self, key: bytes, now_s: float) -> bool:
        entry = self._listed.get(key)
        if entry is None or not entry.is_held:
            return False
        asked_s = self._asked_s.get(key, float('-inf'))
        waited_s = now_s - self._since_s[key]
        is_over = waited_s >= probe_wait_s(key, self._listed)
        return is_over and now_s - asked_s >= ASK_INTERVAL_S

    # Reports.

    def make_report(self, now_s: float) -> messages.PartReport | None:
        """Return the next report to the leader, None if it would be empty."""
        while self._crashes and now_s - self._crashes[0][0] >= REPORT_FOR_S:
            self._drop_oldest()
        crashes = [
            crash._replace(age_s=now_s - at_s) for at_s, crash in self._crashes
        ][-MAX_REPORTED:]
        if not crashes and not self._unreported:
            return None
        successes = dict(self._unreported)
        for crash in crashes:
            if self._evidence.is_proven(crash.part, now_s):
                succeeded_s = self._evidence.success_s(crash.part)
                successes[crash.part] = succeeded_s
        ages = [(part, now_s - at_s) for part, at_s in successes.items()]
        return messages.PartReport(crashes, ages[:MAX_REPORTED])

    def has_unreported(self) -> bool:
        """Return whether the leader may not know a success that it needs."""
        return bool(self._unreported)

    def _drop_oldest(self) -> None:
        _, crash = self._crashes.popleft()
        self._reported.pop((crash.part, crash.team, crash.incarnation), None)

    def acknowledge(
        self, report: messages.PartReport, reported_s: float
    ) -> None:
        """Record that the leader has received a report made at a time."""
        self._acknowledged_s = max(self._acknowledged_s, reported_s)
        for part, age_s in report.successes:
            succeeded_s = self._unreported.get(part)
            if (
                succeeded_s is not None
                and succeeded_s <= reported_s - age_s + 1e-6
            ):
                del self._unreported[part]
