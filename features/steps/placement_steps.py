# SPDX-License-Identifier: Apache-2.0

"""Steps on placing: many gateways, one set of runners, seeded time."""

import collections
import heapq
import random

from behave import given, then, when
import xxhash

from mountridge.documents import instances
from mountridge import messages
from mountridge.routing import backends

#: As on the bench: a report each 0.12 s, 0.05 s old when it comes.
REPORT_S, WAY_S = 0.12, 0.05
WINDOW_S = 0.15
#: Of all sends of one play, made on the code that knew no bound.
UNBOUND = '71fc5689ad74472a'


class _Site:
    """Runners, and what each gateway knows of them."""

    def __init__(self, gateways, runners, slots, halls=1):
        self.rng = random.Random(7)
        self.report_s, self.way_s = REPORT_S, WAY_S
        self.slots, self.waited, self.sent = slots, 0, 0
        listed = [
            instances.Instance(
                f'i-{n}', 's', f'10.0.0.{n}:80', f'h{n % halls}', 'v', slots,
                instances.READY,
            )
            for n in range(runners)
        ]  # fmt: skip
        self.halls = {f'g-{n}': f'h{n % halls}' for n in range(gateways)}
        self.known = []
        for name in self.halls:
            known = backends.Backends(name)
            known.update_runners(listed)
            known.update_gateways(self.halls)
            self.known.append(known)
        self.loads = {each.instance_id: 0 for each in listed}
        self.arrivals = collections.defaultdict(list)

    def report(self, loads, now_s):
        """Give all gateways a report that is already old."""
        for known in self.known:
            for key, load in loads.items():
                percent = round(100 * known.by_id[key].slowdown)
                told = messages.RunnerLoad(key, load, 0, percent, 1, True)
                known.record_report(told, now_s)

    def send(self, number, now_s):
        """Send a request of one gateway and return its runner's id."""
        known = self.known[number]
        hall = self.halls[f'g-{number}']
        picked = known.pick('s', hall, set(), len(self.known), self.rng, now_s)
        picked.backend.request_started(now_s)
        key = picked.backend.instance.instance_id
        self.sent += 1
        self.waited += self.loads[key] >= self.slots
        self.loads[key] += 1
        self.arrivals[key].append(now_s)
        return key

    def play(self, per_s, span_s, took_s):
        """Send at random moments, with reports as on the bench."""
        events = [
            (self.rng.expovariate(per_s), n, 'send', n, '')
            for n in range(len(self.known))
        ]
        events += [(0.0, -1, 'read', 0, '')]
        heapq.heapify(events)
        order = len(events)
        while events[0][0] < span_s:
            now_s, _, kind, number, key = heapq.heappop(events)
            order += 1
            if kind == 'send':
                key = self.send(number, now_s)
                next_s = now_s + self.rng.expovariate(per_s)
                heapq.heappush(events, (next_s, order, 'send', number, ''))
                end_s = now_s + self.rng.expovariate(1 / took_s)
                end = (end_s, order, 'end', number, key)
                heapq.heappush(events, end)
            elif kind == 'end':
                self.loads[key] -= 1
                self.known[number].by_id[key].request_ended()
            elif kind == 'read':
                told = (now_s + self.way_s, order, 'told', 0, dict(self.loads))
                heapq.heappush(events, told)
                again = (now_s + self.report_s, order, 'read', 0, '')
                heapq.heappush(events, again)
            else:
                self.report(key, now_s)


@given('{gateways:d} gateways and {runners:d} runners of {slots:d} slots')
def make_site(context, gateways, runners, slots):
    context.site = _Site(gateways, runners, slots)


@given(
    '{gateways:d} gateways in {halls:d} halls '
    'and {runners:d} runners of {slots:d} slots'
)
def make_halls(context, gateways, halls, runners, slots):
    context.site = _Site(gateways, runners, slots, halls)


@given('reports come each {rest_s:g} s and are told each {told_s:g} s')
def rest_between_reports(context, rest_s, told_s):
    # On average a report waits for half of the time between two messages.
    context.site.report_s, context.site.way_s = rest_s, told_s / 2


@given(
    'a cold runner of theirs bears 0 requests a second, which is any number'
)
def bear_any(context):
    for known in context.site.known:
        known.warmup.follow_services({'s': 0.0})
        known.warmup.follow_gateways(context.site.halls, 0.0)


@then('each request goes where it went before there was a bound')
def went_as_before(context):
    sent = repr(sorted(context.site.arrivals.items())).encode()
    assert xxhash.xxh64_hexdigest(sent) == UNBOUND, context.site.sent


@when(
    'all send {per_s:d} requests a second for {span_s:d} s, '
    'and each takes {took_s:g} s'
)
def play_together(context, per_s, span_s, took_s):
    site = context.site
    site.play(per_s / len(site.known), span_s, took_s)


@then('at most {most:g} in 100 requests wait for a slot')
def check_waited(context, most):
    site = context.site
    assert site.waited * 100 <= most * site.sent, site.waited / site.sent


def _check_parts(site):
    parts = [
        (known.name, key)
        for known in site.known
        for key in known.preferred_ids()
    ]
    assert sorted(key for _, key in parts) == sorted(site.loads)
    for name, key in parts:
        hall = site.known[0].by_id[key].instance.hall
        assert site.halls[name] == hall, (name, key)


@then('each runner is in the part of one gateway of its hall')
def check_parts(context):
    _check_parts(context.site)


@then('after {count:d} gateways have gone that holds again')
def check_parts_again(context, count):
    site = context.site
    for name in list(site.halls)[:count]:
        del site.halls[name]
    site.known = site.known[count:]
    for known in site.known:
        known.update_gateways(site.halls)
    _check_parts(site)


@given(
    '{free:d} of the runners have {few:d} requests'
    ' and the others have {many:d}'
)
def give_loads(context, free, few, many):
    site = context.site
    for number, key in enumerate(site.loads):
        site.loads[key] = few if number < free else many
    site.report(site.loads, 0.0)


@when(
    'each gateway sends {per_s:d} requests a second for {span_s:d} s,'
    ' and each takes {took_s:g} s'
)
def play(context, per_s, span_s, took_s):
    context.site.play(per_s, span_s, took_s)


@then(
    'at most {most:d} in 100 requests are the third or later'
    ' of a runner in 0.15 s'
)
def check_crowd(context, most):
    crowded = total = 0
    for arrivals in context.site.arrivals.values():
        window = collections.deque()
        for at_s in arrivals:
            window.append(at_s)
            while window[0] <= at_s - WINDOW_S:
                window.popleft()
            total += 1
            crowded += len(window) >= 3
    assert crowded * 100 <= most * total, crowded / total


@when('each gateway sends one request')
def send_one(context):
    context.went = [
        context.site.send(n, 0.01) for n in range(len(context.site.known))
    ]


@then('it went to the runner with {few:d} requests')
def check_least(context, few):
    assert context.went == ['i-0'], context.went
