# SPDX-License-Identifier: Apache-2.0

"""Steps for runner selection: a seeded simulation of many gateways."""

import collections
import heapq
import random

from behave import given, then, when
import xxhash

from mountridge.documents import instances
from mountridge import messages
from mountridge.routing import backends
from mountridge.routing import sendgates

#: Interval of reports, and their age when they arrive.
REPORT_S, DELAY_S = 0.12, 0.05
WINDOW_S = 0.15
KIND = sendgates.RequestClass('s')
#: Digest of all sends of one simulation by code without limits.
UNLIMITED_DIGEST = '71fc5689ad74472a'


class _Site:
    """Simulates runners and the state that each gateway has of them."""

    def __init__(self, gateways, runners, slots, halls=1):
        self.rng = random.Random(7)
        self.report_s, self.delay_s = REPORT_S, DELAY_S
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
        """Deliver load reports, read some time ago, to all gateways."""
        for known in self.known:
            for key, load in loads.items():
                percent = round(100 * known.by_id[key].slowdown)
                report = messages.RunnerLoad(key, load, 0, percent, 1, True)
                known.record_report(report, now_s)

    def send(self, number, now_s):
        """Send a request from one gateway and return its runner's id."""
        known = self.known[number]
        hall = self.halls[f'g-{number}']
        picked = known.pick(
            KIND, hall, set(), len(self.known), self.rng, now_s
        )
        picked.backend.request_started(now_s)
        key = picked.backend.instance.instance_id
        self.sent += 1
        self.waited += self.loads[key] >= self.slots
        self.loads[key] += 1
        self.arrivals[key].append(now_s)
        return key

    def simulate(self, per_s, span_s, mean_s):
        """Send at random moments, with periodic reports."""
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
                end_s = now_s + self.rng.expovariate(1 / mean_s)
                end = (end_s, order, 'end', number, key)
                heapq.heappush(events, end)
            elif kind == 'end':
                self.loads[key] -= 1
                self.known[number].by_id[key].request_ended()
            elif kind == 'read':
                report = (
                    now_s + self.delay_s,
                    order,
                    'report',
                    0,
                    dict(self.loads),
                )
                heapq.heappush(events, report)
                following = (now_s + self.report_s, order, 'read', 0, '')
                heapq.heappush(events, following)
            else:
                self.report(key, now_s)


@given('{gateways:d} gateways and {runners:d} runners of {slots:d} slots')
def make_site(context, gateways, runners, slots):
    context.site = _Site(gateways, runners, slots)


@given(
    '{gateways:d} gateways in {halls:d} halls '
    'and {runners:d} runners of {slots:d} slots'
)
def make_site_in_halls(context, gateways, halls, runners, slots):
    context.site = _Site(gateways, runners, slots, halls)


@given(
    'runners report every {interval_s:g} s'
    ' and the leader forwards reports every {forward_s:g} s'
)
def set_report_interval(context, interval_s, forward_s):
    # On average a report waits for half of the forwarding interval.
    context.site.report_s, context.site.delay_s = interval_s, forward_s / 2


@given(
    'the routes limit a cold runner to 0 requests a second,'
    ' which means no limit'
)
def set_no_limit(context):
    for known in context.site.known:
        known.warmup.update_services({'s': 0.0})
        known.warmup.update_gateways(context.site.halls, 0.0)


@then('each request goes to the same runner as without limits')
def check_unlimited(context):
    sent = repr(sorted(context.site.arrivals.items())).encode()
    assert xxhash.xxh64_hexdigest(sent) == UNLIMITED_DIGEST, context.site.sent


@when(
    'all send {per_s:d} requests a second for {span_s:d} s, '
    'and each takes {took_s:g} s'
)
def simulate_total(context, per_s, span_s, took_s):
    site = context.site
    site.simulate(per_s / len(site.known), span_s, took_s)


@then('at most {most:g} in 100 requests wait for a slot')
def check_waited(context, most):
    site = context.site
    assert site.waited * 100 <= most * site.sent, site.waited / site.sent


def _check_subsets(site):
    subsets = [
        (known.name, key)
        for known in site.known
        for key in known.preferred_ids()
    ]
    assert sorted(key for _, key in subsets) == sorted(site.loads)
    for name, key in subsets:
        hall = site.known[0].by_id[key].instance.hall
        assert site.halls[name] == hall, (name, key)


@then('each runner is in the preferred subset of one gateway of its hall')
def check_subsets(context):
    _check_subsets(context.site)


@then('the same holds after {count:d} gateways have left')
def check_subsets_after(context, count):
    site = context.site
    for name in list(site.halls)[:count]:
        del site.halls[name]
    site.known = site.known[count:]
    for known in site.known:
        known.update_gateways(site.halls)
    _check_subsets(site)


@given(
    '{free:d} of the runners have {few:d} requests'
    ' and the others have {many:d}'
)
def set_loads(context, free, few, many):
    site = context.site
    for number, key in enumerate(site.loads):
        site.loads[key] = few if number < free else many
    site.report(site.loads, 0.0)


@when(
    'each gateway sends {per_s:d} requests a second for {span_s:d} s,'
    ' and each takes {took_s:g} s'
)
def simulate_each(context, per_s, span_s, took_s):
    context.site.simulate(per_s, span_s, took_s)


@then(
    'at most {most:d} in 100 requests are the third or later'
    ' of a runner in 0.15 s'
)
def check_concentration(context, most):
    clustered = total = 0
    for arrivals in context.site.arrivals.values():
        window = collections.deque()
        for at_s in arrivals:
            window.append(at_s)
            while window[0] <= at_s - WINDOW_S:
                window.popleft()
            total += 1
            clustered += len(window) >= 3
    assert clustered * 100 <= most * total, clustered / total


@when('each gateway sends one request')
def send_one(context):
    context.went = [
        context.site.send(n, 0.01) for n in range(len(context.site.known))
    ]


@then('it went to the runner with {few:d} requests')
def check_least(context, few):
    assert context.went == ['i-0'], context.went
