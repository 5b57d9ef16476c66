# SPDX-License-Identifier: Apache-2.0

"""What callers, runners and operators see, and the rules it must keep.

Rules are exact. Bounds in time are generous and come from the sizes. A check
that holds only without certain faults looks at when the last one was.
"""

import json
import math
import re
import typing

from tools.soak import report, words

__all__ = ['Answer', 'Asked', 'Watch']

#: Statuses that promise: it has not run, and never will.
PROMISES_NOT_RUN = (408, 421, 429, 503)
#: What an entry answers to a request that no routes allow; all allow these.
DENIALS = (400, 401, 403, 404, 405, 409, 410, 413)
#: Versions whose own route is in each routes document.
KEPT_VERSIONS = 3
#: How long a planned stop may take in the settings' defaults.
GRACE_S = 8.0
#: What is sent within this after the order to stop may be cut in the last
#: sixth of that time, if its runner is still at work.
LATE_SENT_S = 3.0
#: The last sixth of that time begins here.
CUT_FROM_PART = 5 / 6
#: What a runner that has said that it leaves may still get.
LEAVING_S = 2.0
#: Crashes by one request, and what may still come once the third is known.
CRASHES, CRASHES_MORE = 3, 3
#: Tokens of one event; the emulated engine's stride.
STRIDE = 5
_EVENT_ID = re.compile(rb'^id: (\d+)$', re.MULTILINE)


class Asked(typing.NamedTuple):
    """One request of a caller."""

    request_id: str
    kind: dict  # a row of `kinds` in the sizes
    entry: str  # name of the process that it was sent to
    at_s: float


class Answer(typing.NamedTuple):
    """What a caller got; ``status`` 0 where no head came."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    is_whole: bool  # up to its explicit end
    is_left: bool  # the caller itself broke it off


class Watch:
    """Everything seen so far, and the rules."""

    def __init__(self, sizes: dict, told: report.Report):
        self.sizes = sizes
        self.check = told.check
        self.asked: dict[str, Asked] = {}
        #: How often each request was begun, one table a runner or group.
        self.runs: list[dict[bytes, int]] = []
        #: Requests whose answers promise that they have not run.
        self.promised: set[str] = set()
        self.arrived: set[str] = set()
        #: What is out of service, a hall or a runner, since when.
        self.out_s: dict[str, float] = {}
        #: When each process or link was last harmed; `inf` while it is.
        self.harmed_s: dict[str, float] = {}
        #: When an entry was last told to stop.
        self.stopped_s: dict[str, float] = {}
        self.spoken = words.Spoken()
        #: When runners were ended by the request that crashes them.
        self.crashed_s: list[float] = []
        self.acked = self.sent = 0  # newest routes
        self._contents: dict[int, bytes] = {}
        self._newest: dict[tuple[str, int], int] = {}  # by life of an entry
        self._cold: dict[str, list[float]] = {}
        #: Moments of first and of repeated sends, by service.
        self._first: dict[str, list[float]] = {}
        self._repeated: dict[str, list[float]] = {}

    def ran(self, request_id: str) -> int:
        """Return how often runners have begun a request."""
        key = request_id.encode()
        return sum(table.get(key, 0) for table in self.runs)

    def is_calm(self, names: typing.Iterable[str], since_s: float) -> bool:
        """Return whether none of these was harmed since then."""
        return all(self.harmed_s.get(n, -math.inf) < since_s for n in names)

    def in_touch(self, entry: str, since_s: float) -> bool:
        """Return whether an entry, and all that control it, were calm."""
        links = [f'{each}-{entry[6:]}' for each in ('front', 'control')]
        return self.is_calm([entry, 'core', *links], since_s)

    # Callers.

    def answered(self, asked: Asked, answer: Answer, now_s: float) -> None:
        """Take what a caller got for a request."""
        if 200 <= answer.status < 300:
            self._check_right(asked, answer)
        elif answer.is_whole:
            self._check_refusal(asked, answer)
        if not answer.is_left:
            self._check_stop(asked, answer, now_s)

    def _check_right(self, asked: Asked, answer: Answer) -> None:
        names_it = answer.headers.get(b'x-request-id', b'').decode()
        is_right = names_it == asked.request_id
        if asked.kind['kind'] == 'streaming':
            ids = [int(n) for n in _EVENT_ID.findall(answer.body)]
            most = math.ceil(asked.kind['output'] / STRIDE)
            is_right &= ids == list(range(1, len(ids) + 1))
            is_right &= len(ids) == most or not answer.is_whole
        elif answer.is_whole:
            path = f'/{asked.kind["name"]}/{asked.request_id}'
            is_right &= _field(answer.body, 'path') == path
        got = (answer.is_whole, names_it, answer.body[-200:])
        self.check('whole and right answers', is_right, asked=asked, got=got)

    def _check_refusal(self, asked: Asked, answer: Answer) -> None:
        error = _field(answer.body, 'error') or {}
        status = answer.status
        if error.get('outcome') == 'not run' or status in PROMISES_NOT_RUN:
            self.promised.add(asked.request_id)
            self._check_not_run(asked.request_id)
        is_denied = status in DENIALS and asked.kind['kind'] != 'probe'
        self.check('no denials', not is_denied, asked=asked, error=error)

    def _check_not_run(self, request_id: str) -> None:
        ran = self.ran(request_id)
        self.check('not run is true', ran == 0, request=request_id, ran=ran)

    def _check_stop(self, asked: Asked, answer: Answer, now_s: float) -> None:
        """A planned stop breaks off nothing that has reached a runner."""
        if self.stopped_s.get(asked.entry, -math.inf) < asked.at_s - GRACE_S:
            return
        if not self.is_calm(self.harmed_s, asked.at_s - self.sizes['calm_s']):
            return
        took_s = now_s - asked.at_s
        after_s = asked.at_s - self.stopped_s[asked.entry]
        is_late = after_s + took_s > GRACE_S * CUT_FROM_PART
        if after_s < LATE_SENT_S and is_late:
            return  # its runner took nearly all the time that a stop has
        if took_s * 1000 >= asked.kind['deadline_ms']:
            return  # its own time was over
        is_cut = not answer.is_whole and asked.request_id in self.arrived
        self.check('planned stops cut nothing', not is_cut, asked=asked)

    # Runners.

    def arrive(self, request_id: bytes, runner, now_s: float) -> None:
        """Take the arrival of a request at a runner."""
        key = request_id.decode('latin-1')
        asked = self.asked.get(key)
        self.check('only what was asked', asked is not None, request=key)
        sends = self._repeated if key in self.arrived else self._first
        sends.setdefault(runner.service, []).append(now_s)
        self.arrived.add(key)
        if asked is not None:
            self._check_words(asked, runner, now_s)
            self._check_out(asked, runner, now_s)
            self._check_cold(asked, runner, now_s)

    def speaks(self, request_id: bytes, runner, now_s: float) -> None:
        """Take that a runner's answer tells of the time to come."""
        asked = self.asked.get(request_id.decode('latin-1'))
        if asked is None:
            return
        if runner.rest_s:
            told = (runner.name, asked.entry, runner.rest_s, now_s)
            self.spoken.asks_rest(*told)
        else:
            self.spoken.leaves(runner.name, asked.entry, now_s)

    def _check_words(self, asked: Asked, runner, now_s: float) -> None:
        """A runner's word holds for the entry that got it, in touch or not.

        A harm to the entry or its way to the runner since then excuses it.
        """
        places = (asked.entry, f'link-{runner.name}')
        count, told_s = self.spoken.in_rest(runner.name, asked.entry, now_s)
        if told_s < math.inf and self.is_calm(places, told_s):
            is_kept = count <= words.MOST_IN_REST
            self.check('rests are kept', is_kept, to=runner.name, count=count)
        told_s = self.spoken.leaving_s(runner.name, asked.entry)
        if told_s < math.inf and self.is_calm(places, told_s):
            is_kept = now_s < told_s + LEAVING_S
            self.check('who leaves gets nothing', is_kept, to=runner.name)

    def _check_out(self, asked: Asked, runner, now_s: float) -> None:
        calm_since_s = now_s - self.sizes['out_s']
        places = (runner.hall, runner.name)
        since_s = min(self.out_s.get(place, math.inf) for place in places)
        if since_s == math.inf:
            return
        if not self.in_touch(asked.entry, calm_since_s):
            return
        if not self.is_calm([f'link-{runner.name}'], calm_since_s):
            return
        over_s = calm_since_s - since_s
        rule = 'out of service gets nothing'
        self.check(rule, over_s < 0, places=places, over_s=over_s, asked=asked)

    def _check_cold(self, asked: Asked, runner, now_s: float) -> None:
        per_s = self.sizes['cold_per_s']
        if not per_s or now_s > runner.cold_until_s or asked.at_s < now_s - 1:
            return  # only what was sent within the second counts
        recent = self._cold.setdefault(runner.name, [])
        recent.append(now_s)
        sent = _between(recent, now_s - 1, now_s)
        most = per_s + self.sizes['bounds']['cold_slack']
        name = runner.name
        self.check('cold runners are spared', sent <= most, to=name, sent=sent)

    def heartbeat(self, runner, body: dict, now_s: float) -> None:
        """Take a heartbeat of a runner that was acknowledged."""
        # One that is acknowledged late may be from before the drain ended.
        if body['state'] == 'draining' and runner.state == 'draining':
            self.out_s.setdefault(runner.name, now_s)

    # Operators.

    def read(self, acked: int, version: int, body: bytes) -> None:
        """Take routes read back; ``acked`` were those when it was sent."""
        rule = 'acknowledged routes are kept'
        self.check(rule, version >= acked, read=version, acked=acked)
        is_same = self._contents.setdefault(version, body) == body
        self.check('one content a version', is_same, version=version)

    def probe(self, entry: str, life: int, version: int, served: bool) -> None:
        """Take whether an entry has the route that came with a version."""
        had = self._newest.get((entry, life), 0)
        may_lack = version > had or version <= self.sent - KEPT_VERSIONS
        rule = 'entries never go back'
        holds = served or may_lack
        self.check(rule, holds, entry=entry, version=version, had=had)
        if served:
            self._newest[entry, life] = max(had, version)

    # All along, and at the end.

    def sweep(self, now_s: float, mixed_passes: int, ended: list[str]) -> None:
        """Check what no single event shows."""
        self.check('one map a pass', mixed_passes == 0, mixed=mixed_passes)
        self.check('no process ends by itself', not ended, names=ended)
        twice = [key for key in self._unsafe() if self.ran(key) > 1]
        self.check('at most one run', not twice, requests=twice[:5])
        for service in self._repeated:
            self._check_budget(service, now_s)
        self._check_crashes()

    def _check_crashes(self) -> None:
        """A request that has crashed three runners reaches few more."""
        if len(self.crashed_s) < CRASHES:
            return
        known_s = self.crashed_s[CRASHES - 1] + self.sizes['calm_s']
        late = [at_s for at_s in self.crashed_s if at_s > known_s]
        rule = 'requests that crash runners are held back'
        self.check(rule, len(late) <= CRASHES_MORE, at_s=late)

    def _unsafe(self) -> list[str]:
        rows = self.asked.items()
        return [key for key, asked in rows if asked.kind['kind'] == 'unsafe']

    def _check_budget(self, service: str, now_s: float) -> None:
        sizes = self.sizes['bounds']
        window_s = sizes['retry_window_s']
        first = self._first.get(service, [])
        sent = _between(self._repeated[service], now_s - window_s, now_s)
        ends_s = [now_s - part * window_s for part in (0, 0.5, 1)]
        asked = max(_between(first, end - window_s, end) for end in ends_s)
        most = sizes['retry_ratio'] * asked + sizes['retry_slack']
        rule = 'repeated sends in budget'
        self.check(rule, sent <= most, to=service, sent=sent, most=most)

    def finish(self, served: int, asked: int) -> None:
        """Check the last while, and once more what must hold for ever."""
        is_good = served >= self.sizes['served_part'] * max(1, asked)
        self.check('good service is back', is_good, served=served, of=asked)
        for request_id in self.promised:
            self._check_not_run(request_id)
        for key in self._unsafe():
            ran = self.ran(key)
            self.check('at most one run', ran <= 1, request=key, ran=ran)


def _between(moments_s: list[float], from_s: float, to_s: float) -> int:
    return sum(from_s < at_s <= to_s for at_s in moments_s)


def _field(body: bytes, name: str) -> typing.Any:
    """Return a field of a JSON body, None where there is none."""
    try:
        found = json.loads(body)
    except ValueError:
        return None
    return found.get(name) if isinstance(found, dict) else None
