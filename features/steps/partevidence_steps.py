# SPDX-License-Identifier: Apache-2.0

"""Steps for the evidence on parts of prompts, and for their quarantine."""

import random
import types

from behave import given, then, when
import trio
import trio.testing

from mountridge.control import partquarantine
from mountridge.documents import promptparts
from mountridge import errors, messages, metrics
from mountridge.routing import partrecords
from mountridge.state import partevidence, statemachine

ALL = promptparts.ALL_TEAMS
#: Time for the commit of a change, in which others begin.
COMMIT_S = 0.005


def part(name):
    return name.encode().ljust(16, b'.')


def team(name):
    return name.encode().ljust(8, b'.')


def run(function, *args):
    """Run a function on virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)


async def _overlap(first, second):
    """Call a function with its arguments, and another during its commit."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(*first)
        await trio.sleep(COMMIT_S / 2)
        nursery.start_soon(*second)


class Leader:
    """A leader's quarantine of parts, on scripted time."""

    def __init__(self):
        self.now_s, self.index = 0.0, 0
        self.machine = statemachine.StateMachine()
        self.app = types.SimpleNamespace(
            now_s=lambda: self.now_s,
            wall_s=lambda: 1e9 + self.now_s,
            metrics=metrics.Metrics(None),
        )
        replica = types.SimpleNamespace(
            check_leader=lambda: None, propose=self._propose
        )
        self.parts = partquarantine.PartQuarantine(
            self.app, self.machine, replica, lambda: None
        )
        self.crashes, self.grants_s = [], []
        #: Commands that are not committed, and the replies to others.
        self.pending, self.replies = {}, {}
        #: Whether all of them are committed with the first one.
        self.is_batching = False

    async def _propose(self, payload):
        self.index += 1
        index = self.index
        self.pending[index] = payload
        await trio.sleep(COMMIT_S)
        while index in self.pending or (self.is_batching and self.pending):
            first = min(self.pending)
            command = self.pending.pop(first)
            self.replies[first] = self.machine.apply_payload(first, command)
        return self.replies.pop(index)

    def report(self, crashes=(), successes=()):
        """Report the (time, crash) pairs, and the parts that succeed now."""
        aged = [
            crash._replace(age_s=self.now_s - at_s) for at_s, crash in crashes
        ]
        good = [(part(name), 0.0) for name in successes]
        report = messages.PartReport(aged, good)
        run(self.parts.on_report, None, report)

    def crash(self, number, *beneath):
        """Report that a runner crashed, and beneath which requests.

        Each is TEAM/REQUEST/PARTS.
        """
        new = []
        for each in beneath:
            by, request, names = each.split('/')
            new += [
                (self.now_s, promptparts.PartCrash(
                    part(name), team(by), request.encode(), f'i-{number}', 1,
                    0, 0.0,
                ))
                for name in names.split(',')
            ]  # fmt: skip
        self.crashes += new
        self.report(new)

    def take_probe(self, *keys):
        peer = types.SimpleNamespace(name='e1')
        order = messages.TakeProbe(list(keys))
        reply = run(self.parts.on_take_probe, peer, order)
        if reply.is_granted:
            self.grants_s.append(self.now_s)
        return reply.is_granted

    def lose(self):
        """Begin the term of another leader."""
        self.parts.begin_term()
        run(self.parts.expire)

    def held(self):
        """Return the names of the parts that are held, and for whom."""
        found = []
        for key in self.machine.quarantine:
            name = promptparts.part_of(key).rstrip(b'.').decode()
            by = key[16:].rstrip(b'.').decode() if key[16:] != ALL else 'all'
            found.append(f'{name}:{by}')
        return ' '.join(sorted(found)) or '-'

    def hold(self):
        """Hold the part "bad" of the team "red"; return its key."""
        for number in (1, 2):
            self.now_s += 1
            self.crash(number, f'red/r{number}/bad')
        assert self.held() == 'bad:red', self.held()
        return part('bad') + team('red')


@given('a leader of gateways that report crashes of runners')
def leader(context):
    context.leader = Leader()


@when('gateways report {script}')
def reports(context, script):
    for step in script.split():
        at_s, what = step.split(':')
        context.leader.now_s = float(at_s)
        if what == 'lost':
            context.leader.lose()
            context.leader.report(context.leader.crashes)
        elif what.startswith('ok/'):
            context.leader.report([], what[3:].split(','))
        else:
            context.leader.crash(at_s, *what.split('+'))


@then('the parts held are {expected}')
def check_held(context, expected):
    found = context.leader.held()
    assert found == ' '.join(sorted(expected.split())), found


@when(
    'a part is quarantined, and each of {count:d} gateways asks for a probe'
    ' every {each_s:d} s for {span_h:d} h, with a new leader each {lead_h:d} h'
)
def ask_for_hours(context, count, each_s, span_h, lead_h):
    leader = context.leader
    key = leader.hold()
    gateways = [partrecords.PartRecords() for _ in range(count)]
    for second in range(3, span_h * 3600, each_s):
        leader.now_s = float(second)
        if second % (lead_h * 3600) < each_s:
            leader.lose()
        run(leader.parts.expire)
        for number, gateway in enumerate(gateways):
            gateway.update(leader.machine.quarantine.values(), leader.now_s)
            if gateway.may_ask((key,), leader.now_s) and leader.take_probe(
                key
            ):
                assert not leader.take_probe(key)
                leader.now_s += 0.5
                leader.crash(second, f'red/r{second}/bad')


@then('{count:d} probes were granted, one after the other')
def check_probes(context, count):
    assert len(context.leader.grants_s) == count, context.leader.grants_s


@when('a part is quarantined, and its probe {end}')
def probe(context, end):
    leader = context.leader
    context.key = key = leader.hold()
    leader.now_s += partrecords.PROBE_WAIT_S + 1
    assert leader.take_probe(key)
    leader.now_s += 1
    if end == 'succeeds':
        leader.report([], ['bad'])
    elif end == 'succeeds, and a runner crashes later, in one report':
        leader.now_s += 1
        crash = promptparts.PartCrash(
            part('bad'), team('red'), b'r3', 'i-3', 1, 0, 0.0
        )
        aged = [crash], [(part('bad'), 1.0)]
        run(leader.parts.on_report, None, messages.PartReport(*aged))
    elif end == 'crashes its runner':
        leader.crash(3, 'red/r3/bad')
    elif end == 'is granted as the leader ends':
        leader.lose()


@then('it is held no longer')
def check_released(context):
    assert context.leader.held() == '-'


@then('it is held, and not probed for 8 minutes')
def check_not_probed(context):
    leader = context.leader
    assert leader.machine.quarantine[context.key].is_held
    leader.now_s += 479
    assert not leader.take_probe(context.key)
    leader.now_s += 2
    assert leader.take_probe(context.key)


@then('it is held again after 45 s, and not probed')
def check_held_again(context):
    leader = context.leader
    leader.now_s += 42
    run(leader.parts.expire)
    assert not leader.machine.quarantine[context.key].is_held
    leader.now_s += 3
    run(leader.parts.expire)
    assert leader.machine.quarantine[context.key].is_held
    assert not leader.take_probe(context.key)


@then('the next leader grants none before its result')
def check_no_grant(context):
    leader = context.leader
    for _ in range(44):
        leader.now_s += 1
        assert not leader.take_probe(context.key)


@when(
    'a leader and a gateway see {count:d} parts in crashes, and as many'
    ' succeed'
)
def see_many(context, count):
    context.evidence = partevidence.PartEvidence()
    context.records = partrecords.PartRecords()
    for number in range(count):
        names = (f'{number}'.encode(), f'good{number}'.encode())
        listed = partrecords.Parts(names[:1], team('red'))
        runner = (f'i-{number}', 1, 0)
        context.records.record_crash(listed, names[0], runner, 1.0)
        good = partrecords.Parts(names[1:], team('red'))
        context.records.record_success(good, 1.0)
    report = context.records.make_report(1.0)
    assert len(report.crashes) == partrecords.MAX_REPORTED, report


@then('each keeps {kept:d} of both, and reports {most:d} at a time')
def check_bounds(context, kept, most):
    evidence = context.records._evidence
    assert len(evidence._crashes) == kept
    assert len(evidence._success_s) == kept
    report = context.records.make_report(1.0)
    assert len(report.crashes) == most
    kept = context.records
    assert len(kept._crashes) == len(kept._reported) == 4 * most


@then(
    'a request of either team has one key to probe, and its success releases'
    ' both'
)
def check_one_key(context):
    leader, gateway = context.leader, partrecords.PartRecords()
    gateway.update(leader.machine.quarantine.values(), leader.now_s)
    every = part('bad') + ALL
    for name in ('red', 'blue'):
        listed = partrecords.Parts((part('bad'),), team(name))
        assert gateway.held(listed, leader.now_s) == [every], name
    leader.now_s += partrecords.PROBE_WAIT_S
    assert leader.take_probe(every)
    leader.now_s += 1
    leader.report([], ['bad'])
    assert leader.held() == '-', leader.held()


@when('6 s later a request with the parts {names} asks for a probe')
def ask_for_probe(context, names):
    leader, context.names = context.leader, names.split(',')
    leader.now_s += 6
    keys = [part(name) + team('red') for name in context.names]
    context.is_granted = leader.take_probe(*keys)


@when(
    '{after_s:d} s later the probes expire while a success of {name} is'
    ' reported'
)
def expire_beside_report(context, after_s, name):
    leader = context.leader
    assert context.is_granted
    leader.now_s += after_s
    report = messages.PartReport([], [(part(name), 0.0)])
    run(
        _overlap,
        (leader.parts.on_report, None, report),
        (leader.parts.expire,),
    )


@when(
    '{after_s:d} s later the probe of {name} expires and an operator releases'
    ' it, in one commit'
)
def expire_beside_release(context, after_s, name):
    leader = context.leader
    assert context.is_granted
    leader.now_s += after_s
    leader.is_batching = True
    release = leader.parts.release, part(name) + team('red')
    run(_overlap, (leader.parts.expire,), release)


@then('it is {granted}, and if it {end} the parts held are {held}')
def check_grant(context, granted, end, held):
    leader = context.leader
    assert context.is_granted == (granted == 'granted')
    leader.now_s += 1
    if end == 'succeeds':
        leader.report([], context.names)
    elif end == 'crashes':
        leader.crash(3, f'red/r3/{",".join(context.names)}')
    assert leader.held() == held, leader.held()


@when('a gateway that had answered a request with it hears of the quarantine')
def hear_of_quarantine(context):
    context.gateway = partrecords.PartRecords()
    listed = partrecords.Parts((part('bad'),), team('blue'))
    context.gateway.record_success(listed, 0.5)
    assert context.gateway.make_report(2.0) is None
    entries = context.leader.machine.quarantine.values()
    context.gateway.update(entries, 2.1)


@then('it reports that success, and the part is released')
def check_success_reported(context):
    leader, report = context.leader, context.gateway.make_report(2.1)
    leader.now_s = 2.1
    run(leader.parts.on_report, None, report)
    assert leader.held() == '-', leader.held()
    context.gateway.acknowledge(report, 2.1)
    assert context.gateway.make_report(2.2) is None


NAMES = ('bad', 'worse', 'first')


class _Schedule:
    """Random operations on a leader, which overlap."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.leader = Leader()
        self.leader.is_batching = self.rng.random() < 0.5
        self.refused = 0

    def _report(self):
        rng = self.rng
        runner = f'i-{rng.randrange(6)}'
        by, request = team(rng.choice(['red', 'blue'])), rng.randbytes(2)
        crashes = [
            promptparts.PartCrash(
                part(name), by, request, runner, rng.randrange(3), 0, 0.0
            )
            for name in rng.sample(NAMES, rng.randrange(3))
        ]
        good = rng.sample(NAMES, rng.randrange(2))
        successes = [(part(name), 0.0) for name in good]
        report = messages.PartReport(crashes, successes)
        return self.leader.parts.on_report, None, report

    def _draw(self):
        """Return an operation and its arguments."""
        rng, parts = self.rng, self.leader.parts
        keys = list(self.leader.machine.quarantine)
        choices = [self._report(), (parts.expire,)]
        if keys:
            peer = types.SimpleNamespace(name='e1')
            order = messages.TakeProbe(rng.sample(keys, 1))
            choices.append((parts.on_take_probe, peer, order))
            choices.append((parts.release, rng.choice(keys)))
        return rng.choices(choices, [6, 3, 3, 1][: len(choices)])[0]

    async def _run(self, operation, *args):
        try:
            await operation(*args)
        except errors.MountridgeError:
            self.refused += 1

    async def play(self):
        async with trio.open_nursery() as nursery:
            for _ in range(60):
                self.leader.now_s += self.rng.choice([0, 0.1, 3, 46, 130])
                nursery.start_soon(self._run, *self._draw())
                await trio.sleep(self.rng.choice([0, COMMIT_S, COMMIT_S / 2]))


@then(
    'a leader goes on in {count:d} random schedules of reports, probes and'
    ' releases'
)
def play_schedules(context, count):
    held = 0
    for seed in range(count):
        schedule = _Schedule(seed)
        run(schedule.play)
        assert not schedule.refused, seed
        held += len(schedule.leader.machine.quarantine)
    assert held, 'nothing was quarantined'
