# SPDX-License-Identifier: Apache-2.0

"""Rules that the observations of callers, runners and operators must meet.

Rules are exact. Time limits are generous and come from the sizes. A rule that
holds only in the absence of certain faults is not checked soon after one.
"""

import json
import math
import typing

from tools.soak import announcements, changerules, harmfulparts
from tools.soak import report, touch

__all__ = ['Answer', 'Checker', 'SentRequest']

#: Statuses that HTTP has for answers.
FINAL_STATUSES = range(200, 600)
#: Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Statuses of requests that no route allows; the routes allow all that is
#: sent here.
DENIAL_STATUSES = (400, 401, 403, 404, 405, 409, 410, 413)
#: Statuses that say that no route or key of the request is known.
ROUTE_DENIALS = (401, 403, 404)
#: Number of newest versions that have a route of their own in each routes
#: document.
PROBED_VERSIONS = 3
#: Duration of a planned stop with default settings, at most.
STOP_GRACE_S = 8.0
#: A request sent within this time of the stop signal may be cut from
#: `CUT_FROM_SHARE` of the grace period on, if its runner has not finished.
MAY_BE_CUT_WITHIN_S = 3.0
CUT_FROM_SHARE = 5 / 6
#: A runner may receive requests that were sent within this time after an
#: answer has announced that it leaves.
LEAVING_GRACE_S = 2.0
#: Crashes until a request is quarantined, and further ones that are allowed
#: once the last of these is known.
CRASH_LIMIT, MAX_FURTHER_CRASHES = 3, 3
#: Tokens per event of the emulated engine.
TOKENS_PER_EVENT = 5
EVENT = b'id: %d\ndata: tokens\n\n'


class SentRequest(typing.NamedTuple):
    """One request of a caller."""

    request_id: str
    kind: dict  # a row of `kinds` in the sizes
    entry: str  # name of the process that it was sent to
    at_s: float
    incarnation: int = 0  # of the entry

    @property
    def is_probe(self) -> bool:
        """Whether not all routes documents allow it."""
        return self.kind.get('is_probe', False)

    @property
    def seen(self) -> changerules.Seen:
        """What the rules on changes of the routes are about."""
        key = self.kind.get('key', '')
        where = (self.entry, self.incarnation, self.kind['name'])
        return changerules.Seen(*where, key, self.at_s)


class Answer(typing.NamedTuple):
    """The response to a caller; ``status`` is 0 if no head was received."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_whole: bool  # received up to its explicit end
    is_abandoned: bool  # the caller disconnected before its end


class Checker:
    """Records the observations of a run and checks them against the rules."""

    def __init__(
        self,
        sizes: dict,
        run_report: report.Report,
        controllers: typing.Collection[str] = (),
    ):
        self.sizes = sizes
        self.check, self.note = run_report.check, run_report.note
        self.sent_requests: dict[str, SentRequest] = {}
        #: Run count by request id, one table per runner or group.
        self.run_counts: list[dict[bytes, int]] = []
        #: Ids of requests whose answers say that they have not run.
        self.reported_not_run: set[str] = set()
        self.arrived_ids: set[str] = set()
        #: Runner by id of the requests whose newest answer it sent whole.
        self.sent_whole: dict[str, str] = {}
        #: Start time by hall or runner that is out of service.
        self.out_of_service_s: dict[str, float] = {}
        #: End of the last fault of each process or link; `inf` during one.
        self.last_fault_s: dict[str, float] = {}
        #: When each entry was last signaled to stop.
        self.stop_requested_s: dict[str, float] = {}
        self.announcements = announcements.Announcements()
        #: Runners by request whose answer announces that they leave; it counts
        #: once an entry has passed it on.
        self._departures: dict[str, typing.Any] = {}
        self.touch = touch.Touch(sizes, controllers)
        self.changes = changerules.ChangeRules(sizes, self.touch, self.check)
        #: When runners that drain were acknowledged by entries in touch.
        self.draining_s: dict[str, float] = {}
        #: Times of crashes caused by the request that crashes runners.
        self.crashes_s: list[float] = []
        self.harmful_parts = harmfulparts.HarmfulParts(sizes)
        self.acked_version = self.sent_version = 0  # newest routes
        self._body_by_version: dict[int, bytes] = {}
        #: Newest version served, by entry and incarnation.
        self._newest_served: dict[tuple[str, int], int] = {}
        self._cold_arrivals_s: dict[str, list[float]] = {}
        #: Times of the first and of repeated sends of requests, by service.
        self._first_sends_s: dict[str, list[float]] = {}
        self._repeated_sends_s: dict[str, list[float]] = {}

    def run_count(self, request_id: str) -> int:
        """Return how often runners have started a request."""
        key = request_id.encode()
        return sum(table.get(key, 0) for table in self.run_counts)

    def had_no_faults(
        self, names: typing.Iterable[str], since_s: float
    ) -> bool:
        """Return whether none of these had a fault since then."""
        return all(
            self.last_fault_s.get(n, -math.inf) < since_s for n in names
        )

    def entry_had_no_faults(self, entry: str, since_s: float) -> bool:
        """Return whether neither an entry nor what controls it had a fault.

        That is the entry, its links, and the entries with a disk.
        """
        links = [f'{each}-{entry[6:]}' for each in ('front', 'control')]
        return self.had_no_faults([entry, 'core', *links], since_s)

    # Callers.

    def record_answer(
        self, request: SentRequest, answer: Answer, now_s: float
    ) -> None:
        """Check the answer to a request."""
        runner = self._departures.pop(request.request_id, None)
        if runner is not None and runner.is_leaving and answer.status:
            names = (runner.name, request.entry)
            self.announcements.record_leaving(*names, now_s)
        if answer.status:
            is_valid = answer.status in FINAL_STATUSES
            self.check(
                'statuses of HTTP',
                is_valid,
                asked=request,
                status=answer.status,
            )
        if 200 <= answer.status < 300:
            self._check_answer(request, answer)
        elif answer.is_whole:
            self._check_refusal(request, answer)
            if request.is_probe and answer.status in ROUTE_DENIALS:
                self.changes.record_denied(request.seen, answer.status)
        if not answer.is_abandoned:
            self._check_stop(request, answer, now_s)
            self._check_delivery(request, answer, now_s)

    def _check_answer(self, request: SentRequest, answer: Answer) -> None:
        answered_id = answer.headers.get(b'x-request-id', b'').decode()
        is_correct = answered_id == request.request_id
        if request.kind['kind'] == 'streaming':
            count = math.ceil(request.kind['output'] / TOKENS_PER_EVENT)
            whole = b''.join(EVENT % n for n in range(1, count + 1))
            is_correct &= whole.startswith(answer.body)
            is_correct &= answer.body == whole or not answer.is_whole
        elif answer.is_whole:
            path = f'/{request.kind["name"]}/{request.request_id}'
            is_correct &= _field(answer.body, 'path') == path
        got = (answer.is_whole, answered_id, answer.body[-200:])
        self.check(
            'whole and right answers', is_correct, asked=request, got=got
        )

    def _check_refusal(self, request: SentRequest, answer: Answer) -> None:
        error = _field(answer.body, 'error') or {}
        status = answer.status
        if error.get('outcome') == 'not run' or status in NOT_RUN_STATUSES:
            self.reported_not_run.add(request.request_id)
            self._check_not_run(request.request_id)
        is_denied = status in DENIAL_STATUSES and not request.is_probe
        self.check('no denials', not is_denied, asked=request, error=error)
        is_held = error.get('code') == harmfulparts.QUARANTINED_CODE
        if is_held and not self.harmful_parts.is_harmful(request.kind):
            self.harmful_parts.refused_s.append(request.at_s)

    def _check_not_run(self, request_id: str) -> None:
        run_count = self.run_count(request_id)
        self.check(
            'not run is true',
            run_count == 0,
            request=request_id,
            ran=run_count,
        )

    def _check_stop(
        self, request: SentRequest, answer: Answer, now_s: float
    ) -> None:
        """Check that a planned stop cuts no request that reached a runner."""
        if (
            self.stop_requested_s.get(request.entry, -math.inf)
            < request.at_s - STOP_GRACE_S
        ):
            return
        if not self.had_no_faults(
            self.last_fault_s, request.at_s - self.sizes['calm_s']
        ):
            return
        took_s = now_s - request.at_s
        after_s = request.at_s - self.stop_requested_s[request.entry]
        is_late = after_s + took_s > STOP_GRACE_S * CUT_FROM_SHARE
        if after_s < MAY_BE_CUT_WITHIN_S and is_late:
            return  # its runner used up most of the grace period
        if took_s * 1000 >= request.kind['deadline_ms']:
            return  # its deadline had passed
        is_cut = not answer.is_whole and request.request_id in self.arrived_ids
        self.check('planned stops cut nothing', not is_cut, asked=request)

    def _check_delivery(
        self, request: SentRequest, answer: Answer, now_s: float
    ) -> None:
        """Check that an answer that a runner sent whole is delivered.

        Not checked after faults on its way, a stop or its deadline.
        """
        runner = self.sent_whole.get(request.request_id)
        stopped_s = self.stop_requested_s.get(request.entry, -math.inf)
        took_ms = (now_s - request.at_s) * 1000
        if runner is None or stopped_s > request.at_s - STOP_GRACE_S:
            return
        names = [request.entry, f'front-{request.entry[6:]}', f'link-{runner}']
        is_calm = self.had_no_faults(names, request.at_s)
        if is_calm and took_ms < request.kind['deadline_ms']:
            is_delivered = answer.is_whole and answer.status == 200
            rule = 'whole answers are delivered'
            self.check(rule, is_delivered, asked=request, sent_by=runner)

    # Runners.

    def record_whole(self, request_id: bytes, runner) -> None:
        """Record that a runner has sent a whole answer with status 200."""
        self.sent_whole[request_id.decode('latin-1')] = runner.name

    def record_arrival(self, request_id: bytes, runner, now_s: float) -> None:
        """Record and check the arrival of a request at a runner."""
        key = request_id.decode('latin-1')
        request = self.sent_requests.get(key)
        self.check('only what was asked', request is not None, request=key)
        sends = (
            self._repeated_sends_s
            if key in self.arrived_ids
            else self._first_sends_s
        )
        sends.setdefault(runner.service, []).append(now_s)
        self.arrived_ids.add(key)
        self.sent_whole.pop(key, None)
        if request is not None:
            self._check_announcements(request, runner, now_s)
            self._check_limit(request, runner, now_s)
            self._check_out_of_service(request, runner, now_s)
            self._check_draining(request, runner, now_s)
            self.changes.record_run(request.seen, runner.service, now_s)
            self._check_cold(request, runner, now_s)

    def record_announcement(
        self, request_id: bytes, runner, now_s: float
    ) -> None:
        """Record that a runner asks for a backoff, or that it leaves."""
        request = self.sent_requests.get(request_id.decode('latin-1'))
        if request is None:
            return
        if runner.backoff_s:
            backoff = (runner.name, request.entry, runner.backoff_s, now_s)
            self.announcements.record_backoff(*backoff)
        else:
            self._departures[request.request_id] = runner

    def _check_announcements(
        self, request: SentRequest, runner, now_s: float
    ) -> None:
        """Check that an entry obeys the announcements it received.

        Not checked after a fault of the entry or of its link to the runner;
        faults of its control links make no difference.
        """
        places = (request.entry, f'link-{runner.name}')
        count, announced_s = self.announcements.count_in_backoff(
            runner.name, request.entry, now_s
        )
        if announced_s < math.inf and self.had_no_faults(places, announced_s):
            is_kept = count <= announcements.MAX_SENDS_IN_BACKOFF
            self.check('rests are kept', is_kept, to=runner.name, count=count)
        announced_s = self.announcements.leaving_since_s(
            runner.name, request.entry
        )
        is_told = announced_s < math.inf
        if is_told and self.touch.is_calm([request.entry], announced_s):
            is_kept = request.at_s < announced_s + LEAVING_GRACE_S
            fields = {'asked': request, 'to': runner.name}
            self.check('who leaves gets nothing', is_kept, **fields)

    def record_limit(
        self, request_id: bytes, runner, per_s: float, now_s: float
    ) -> None:
        """Record that an answer of a runner names its limit."""
        request = self.sent_requests.get(request_id.decode('latin-1'))
        if request is None or runner.limit_per_s != per_s:
            return  # it names another limit by now, or none
        self._forget_limit_after_fault(request, runner)
        self.announcements.record_limit(
            runner.name, request.entry, per_s, now_s
        )

    def _forget_limit_after_fault(self, request: SentRequest, runner) -> None:
        """Discard a limit that an entry may have lost by a fault."""
        named_s = self.announcements.limited_since_s(
            runner.name, request.entry
        )
        places = (request.entry, f'link-{runner.name}')
        if named_s < math.inf and not self.had_no_faults(places, named_s):
            self.announcements.forget_limit(runner.name, request.entry)

    def _check_limit(self, request: SentRequest, runner, now_s: float) -> None:
        """Check the limit of a runner over all entries that know it.

        Entries that had a fault since they were told are not counted.
        """
        if runner.limit_per_s is None:
            return
        self._forget_limit_after_fault(request, runner)
        named_s = self.announcements.limited_since_s(
            runner.name, request.entry
        )
        if now_s < named_s + announcements.IN_FLIGHT_S:
            return
        count, most = self.announcements.count_limited(runner.name, now_s)
        rule = 'named limits are kept'
        self.check(rule, count <= most, to=runner.name, count=count, most=most)

    def _check_out_of_service(
        self, request: SentRequest, runner, now_s: float
    ) -> None:
        obeyed_from_s = now_s - self.sizes['out_s']
        places = (runner.hall, runner.name)
        since_s = min(
            self.out_of_service_s.get(place, math.inf) for place in places
        )
        if since_s == math.inf:
            return
        if not self.entry_had_no_faults(request.entry, obeyed_from_s):
            return
        if not self.had_no_faults([f'link-{runner.name}'], obeyed_from_s):
            return
        over_s = obeyed_from_s - since_s
        rule = 'out of service gets nothing'
        self.check(
            rule, over_s < 0, places=places, over_s=over_s, asked=request
        )

    def _check_draining(
        self, request: SentRequest, runner, now_s: float
    ) -> None:
        """Check that a runner that drains gets nothing after a while."""
        since_s = self.draining_s.get(runner.name, math.inf)
        over_s = now_s - since_s - self.sizes['drain_s']
        link = [f'link-{runner.name}']
        calm_from_s = now_s - self.sizes['contact_s']
        if since_s == math.inf or not self.touch.is_calm(link, calm_from_s):
            return
        if self.touch.is_in_touch(request.entry, now_s):
            rule = 'who drains gets nothing'
            fields = {'to': runner.name, 'over_s': over_s}
            self.check(rule, over_s <= 0, asked=request, **fields)

    def _check_cold(self, request: SentRequest, runner, now_s: float) -> None:
        per_s = self.sizes['cold_per_s']
        if (
            not per_s
            or now_s > runner.cold_until_s
            or request.at_s < now_s - 1
        ):
            return  # only requests sent within the last second count
        recent = self._cold_arrivals_s.setdefault(runner.name, [])
        recent.append(now_s)
        sent = _count_between(recent, now_s - 1, now_s)
        limit = per_s + self.sizes['bounds']['cold_slack']
        name = runner.name
        self.check(
            'cold runners are spared', sent <= limit, to=name, sent=sent
        )

    def record_heartbeat(
        self, runner, body: dict, entry: str, now_s: float
    ) -> None:
        """Record a heartbeat of a runner that ``entry`` acknowledged."""
        # A delayed acknowledgement may arrive after the drain has ended.
        if body['state'] == 'draining' and runner.state == 'draining':
            self.out_of_service_s.setdefault(runner.name, now_s)
            if self.touch.is_in_touch(entry, now_s):
                self.draining_s.setdefault(runner.name, now_s)

    def end_drain(self, runner) -> None:
        """Record that a runner takes requests again."""
        self.out_of_service_s.pop(runner.name, None)
        self.draining_s.pop(runner.name, None)

    # Operators.

    def record_read(self, acked: int, version: int, body: bytes) -> None:
        """Check routes that were read back.

        ``acked`` is the version acknowledged when the read was sent.
        """
        rule = 'acknowledged routes are kept'
        self.check(rule, version >= acked, read=version, acked=acked)
        is_same = self._body_by_version.setdefault(version, body) == body
        self.check('one content a version', is_same, version=version)

    def record_probe(
        self, entry: str, incarnation: int, version: int, served: bool
    ) -> None:
        """Check whether an entry serves the route of a version."""
        had = self._newest_served.get((entry, incarnation), 0)
        may_lack = (
            version > had or version <= self.sent_version - PROBED_VERSIONS
        )
        rule = 'entries never go back'
        holds = served or may_lack
        self.check(rule, holds, entry=entry, version=version, had=had)
        if served:
            self._newest_served[entry, incarnation] = max(had, version)

    # Periodically, and at the end.

    def record_memory(self, name: str, taken_mb: float, most_mb: float):
        """Check the memory that a process takes."""
        rule = 'processes stay within their memory'
        self.check(rule, taken_mb <= most_mb, name=name, taken_mb=taken_mb)

    def sweep(self, now_s: float, mixed_passes: int, ended: list[str]) -> None:
        """Check the rules that span several events."""
        self.check('one map a pass', mixed_passes == 0, mixed=mixed_passes)
        self.check('no process ends by itself', not ended, names=ended)
        twice = [key for key in self._unsafe() if self.run_count(key) > 1]
        self.check('at most one run', not twice, requests=twice[:5])
        for service in self._repeated_sends_s:
            self._check_budget(service, now_s)
        self._check_crashes()
        self._check_harmful_parts()

    def record_harmful(
        self, part: bytes, request_id: bytes, now_s: float
    ) -> None:
        """Record the arrival of a request that will crash its runner."""
        request = self.sent_requests.get(request_id.decode('latin-1'))
        if request is not None:
            calm_from_s = now_s - self.sizes['calm_s']
            in_touch = self.entry_had_no_faults(request.entry, calm_from_s)
            arrival = (request.entry, now_s, in_touch)
            self.harmful_parts.arrivals[part].append(arrival)

    def _check_harmful_parts(self) -> None:
        """Check that a part that crashed runners reaches few others."""
        for part in list(self.harmful_parts.crashes_s):
            further = self.harmful_parts.further(part)
            self.check(
                'parts that crash runners are held back',
                len(further) <= harmfulparts.MAX_FURTHER,
                part=part,
                further=further,
            )

    def _check_sound(self, quiet_from_s: float) -> None:
        """Check that no sound request is held back in the end."""
        late_s = [
            at_s
            for at_s in self.harmful_parts.refused_s
            if at_s > quiet_from_s
        ]
        rule = 'sound requests are not held back'
        self.check(rule, not late_s, at_s=late_s)

    def _check_crashes(self) -> None:
        """Check that a request that crashed runners reaches few others."""
        if len(self.crashes_s) < CRASH_LIMIT:
            return
        known_s = self.crashes_s[CRASH_LIMIT - 1] + self.sizes['calm_s']
        further_s = [at_s for at_s in self.crashes_s if at_s > known_s]
        rule = 'requests that crash runners are held back'
        self.check(rule, len(further_s) <= MAX_FURTHER_CRASHES, at_s=further_s)

    def _unsafe(self) -> list[str]:
        rows = self.sent_requests.items()
        return [key for key, sent in rows if _is_unsafe(sent.kind)]

    def _check_budget(self, service: str, now_s: float) -> None:
        sizes = self.sizes['bounds']
        window_s = sizes['retry_window_s']
        first = self._first_sends_s.get(service, [])
        sent = _count_between(
            self._repeated_sends_s[service], now_s - window_s, now_s
        )
        ends_s = [now_s - share * window_s for share in (0, 0.5, 1)]
        asked = max(
            _count_between(first, end - window_s, end) for end in ends_s
        )
        limit = sizes['retry_ratio'] * asked + sizes['retry_slack']
        rule = 'repeated sends in budget'
        self.check(rule, sent <= limit, to=service, sent=sent, most=limit)

    def finish(
        self, served: int, asked: int, quiet_from_s: float = math.inf
    ) -> None:
        """Check the final service level, and the permanent rules again."""
        self._check_sound(quiet_from_s)
        self.changes.finish()
        is_good = served >= self.sizes['served_part'] * max(1, asked)
        self.check('good service is back', is_good, served=served, of=asked)
        for request_id in self.reported_not_run:
            self._check_not_run(request_id)
        for key in self._unsafe():
            run_count = self.run_count(key)
            self.check(
                'at most one run', run_count <= 1, request=key, ran=run_count
            )


def _is_unsafe(kind: dict) -> bool:
    return kind['kind'] == 'unsafe' or not kind.get('resumable', True)


def _count_between(times_s: list[float], from_s: float, to_s: float) -> int:
    return sum(from_s < at_s <= to_s for at_s in times_s)


def _field(body: bytes, name: str) -> typing.Any:
    """Return a field of a JSON body, or None if it has none."""
    try:
        found = json.loads(body)
    except ValueError:
        return None
    return found.get(name) if isinstance(found, dict) else None
