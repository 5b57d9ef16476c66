# SPDX-License-Identifier: Apache-2.0

"""Steps for the quarantine of parts of prompts that crash their runners."""

from functools import partial
import math
import types

from behave import given, then, when
import trio

from features.worlds import crashes
from mountridge.documents import instances, promptparts, routes
from mountridge import errors, metrics
from mountridge.net import dialects, httpserver
from mountridge.routing import backoffs, crashwatch, partrecords
from mountridge.routing import quarantine, routedexchanges

QUARANTINED = errors.RequestHeldBack.code
HARMFUL_FROM_S, HARMFUL_PER_S, SOUND_PER_S = 5.0, 4, 30
#: Callers that leave do so before their requests crash a runner.
LEAVE_S = 0.05
TEAMS = ('red', 'green', 'blue')
HARMFUL, SECOND, RARE = b'bad', b'worse', b'rare'
#: Sound requests that have the part which comes with the harmful one: none
#: before the first crashes, and then one in so many.
RARE_FROM, RARE_EACH = 240, 59


class _Load:
    """Sound requests, and others that share a harmful part."""

    def __init__(self, play, place, case, span_s):
        self.play, self.place, self.case = play, place, case
        self.span_s = span_s
        self.refused_s = {}  # times of refusals of sound requests, by part
        self.sound = []  # (time sent, whether it was served at once)
        self.cut_off = set()  # gateways that are partitioned

    def parts(self, number, harmful):
        """Return the parts of a prompt; only the last is its own."""
        listed = [b'first', b'middle%d' % (number % 7), b'own%d' % number]
        if harmful and self.place == 'first':
            listed[0] = harmful
        elif harmful:
            listed.insert(1, harmful)
        is_rare = harmful or (number > RARE_FROM and number % RARE_EACH == 0)
        if is_rare and self.case == 'others use a part that comes with it':
            listed.insert(1, RARE)
        return tuple(listed)

    def entry(self, number):
        return self.play.world.entries[number % 3]

    async def send_sound(self):
        async with trio.open_nursery() as nursery:
            for number in range(round(self.span_s * SOUND_PER_S)):
                nursery.start_soon(self._ask_sound, number)
                await trio.sleep(1 / SOUND_PER_S)

    async def _ask_sound(self, number):
        sent_s, parts = trio.current_time(), self.parts(number, None)
        name = self.entry(number)
        if self.play.world.processes.get(name) is None:
            return
        team = TEAMS[number % 3]
        body = b'sound %d' % number
        code = await self.play.ask(name, body, parts=parts, team=team)
        if name not in self.cut_off:
            self.sound.append((sent_s, code == 0))
        if code == QUARANTINED:
            for part in parts:
                self.refused_s.setdefault(part, []).append(sent_s)

    async def send_harmful(self):
        await trio.sleep(HARMFUL_FROM_S)
        spans = round((self.span_s - HARMFUL_FROM_S) * HARMFUL_PER_S)
        async with trio.open_nursery() as nursery:
            for number in range(spans):
                nursery.start_soon(self._ask_harmful, number)
                await trio.sleep(1 / HARMFUL_PER_S)

    async def _ask_harmful(self, number):
        is_second = self.case == 'a second part is harmful too' and number % 2
        parts = self.parts(number, SECOND if is_second else HARMFUL)
        several = self.case == 'several teams send them'
        team = TEAMS[number % 3 if several else 0]
        is_repeated = self.case == 'each is sent once more by its caller'
        for repeat in range(1 + is_repeated):
            name = self.entry(number + repeat)
            if self.play.world.processes.get(name) is None:
                return
            body = b'harmful %d' % number
            leaves = self.case == 'each caller leaves at once'
            with trio.move_on_after(LEAVE_S if leaves else math.inf):
                await self.play.ask(name, body, parts=parts, team=team)
            await trio.sleep(0.5)

    async def disturb(self):
        world = self.play.world
        if self.case == 'the leader is killed after one crash':
            await self._kill_leader(1)
        elif self.case == 'the leader is killed after two crashes':
            await self._kill_leader(2)
        elif self.case == 'a gateway is partitioned after one crash':
            await self._after_crashes(1)
            self.cut_off.add('e3')
            world.isolate('e3')
            await trio.sleep(8)
            world.heal('e3')
            await trio.sleep(4)
            self.cut_off.clear()
        elif self.case == 'all power is lost after two crashes':
            await self._after_crashes(2)
            await self.play.lose_power()
        elif self.case == 'other runners crash every 4 s':
            for number in range(round(self.span_s / 4) - 3):
                await trio.sleep(4)
                runners = list(self.play.runners.values())
                self.play.crash(runners[number * 5 % len(runners)])
        elif self.case == 'half of the runners crash at once':
            await self._after_crashes(1)
            for runner in list(self.play.runners.values())[::2]:
                self.play.crash(runner)

    async def _after_crashes(self, count):
        while len(self.play.crashes_s) < count:
            await trio.sleep(0.01)

    async def _kill_leader(self, count):
        await self._after_crashes(count)
        leader = self.play.world.leader
        self.play.world.kill(leader)
        await trio.sleep(1.5)
        self.play.start(leader)


# Guards against an identity that no two requests of callers share: parts of
# prompts were not identified, so each request with one crashed runners.
@when(
    'requests share a harmful {place} part from 5 s on, beside sound ones,'
    ' for {span_s:g} s, while {case}'
)
def share_part(context, place, span_s, case):
    async def script(play):
        play.harmful = {HARMFUL, SECOND}
        context.load = _Load(play, place, case, span_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.load.disturb)
            nursery.start_soon(context.load.send_harmful)
            await context.load.send_sound()

    crashes.play(context, script, teams=TEAMS, **context.sizes)


@then(
    'at most {most:d} of them reach runners later than {late_s:g} s after the'
    ' fifth crash'
)
def check_arrivals(context, most, late_s):
    play = context.play
    for part in (HARMFUL, SECOND):
        crashed_s = [at_s for at_s, found in play.crashes_s if found == part]
        if len(crashed_s) < 5:
            continue
        late = [
            at_s
            for at_s, name, parts in play.harmful_arrivals
            if part in parts
            and at_s > crashed_s[4] + late_s
            and name not in context.load.cut_off
        ]
        assert len(late) <= most, (part, len(late), crashed_s)


@then(
    '9 of 10 sound requests are served from {from_s:g} s after the last crash'
    ' on'
)
def check_served(context, from_s):
    last_s = max(at_s for at_s, _ in context.play.crashes_s)
    later = [
        is_served
        for at_s, is_served in context.load.sound
        if at_s > last_s + from_s
    ]
    assert len(later) >= 20, (last_s, len(later), context.play.crashes_s)
    assert sum(later) >= 0.9 * len(later), (sum(later), len(later))


@then(
    'no sound request is refused for its parts for longer than {longest_s:g} s'
)
def check_innocent(context, longest_s):
    for part, refused_s in context.load.refused_s.items():
        longest = refused_s[-1] - refused_s[0]
        assert longest <= longest_s, (part, refused_s[0], refused_s[-1])


@given(
    'a gateway whose runner crashes beneath a request with a part in its'
    ' prompt'
)
def gateway_with_crash(context):
    context.records = partrecords.PartRecords()
    app = types.SimpleNamespace(
        now_s=lambda: 10.0, metrics=metrics.Metrics(None)
    )
    context.watch = crashwatch.CrashWatch(
        app,
        quarantine.Quarantine(),
        context.records,
        backoffs.Backoffs(),
        lambda _: True,
        lambda runner: runner._replace(lives=runner.lives + 1),
    )


@when('its answer has not begun')
def no_answer(context):
    _crash_beneath(context, 0, None)


@when('its answer has {count:d} events in {span_s:g} s')
def answer_with_events(context, count, span_s):
    _crash_beneath(context, count, 10.0 - span_s)


def _exchange():
    headers = [(b'x-prefix-parts', b'shared:10,own:20')]
    request = httpserver.Request(b'POST', b'/1', headers, b'body')
    exchange = routedexchanges.Exchange(request, None, 0.0)
    names = dialects.NATIVE.headers
    exchange.request_head = dialects.read_request_head(request, names)
    return exchange


def _crash_beneath(context, events, began_s):
    exchange = _exchange()
    exchange.events_sent, exchange.attempt_data_s = events, began_s
    runner = instances.Instance('i', 's', '', '', '', 1, instances.READY)

    async def refuses_connections(address, timeout_s=None):
        return True

    pool = types.SimpleNamespace(refuses_connections=refuses_connections)
    problem = errors.BadAnswer('cut')
    trio.run(context.watch.check_attempt, exchange, runner, problem, pool)


@when('another request with that part gets a {answer}')
def answer_another(context, answer):
    exchange = _exchange()
    words = answer.split()
    kind = routes.STREAMING if words[0] == 'stream' else routes.SAFE
    exchange.route = types.SimpleNamespace(kind=kind)
    exchange.status = int(words[-1])
    exchange.events_sent = int(words[2]) if words[0] == 'stream' else 0
    context.watch.record_success(exchange)


@then('that {clears} the part')
def check_cleared(context, clears):
    report = context.records.make_report(10.0)
    assert bool(report.successes) == (clears == 'clears'), report


@then('the part is {suspect}')
def check_suspect(context, suspect):
    report = context.records.make_report(10.0)
    assert (report is not None) == (suspect == 'suspected'), report
    # Guards against a crash counted for an earlier start of its runner, which
    # has registered again since it was selected.
    assert report is None or report.crashes[0].lives == 1, report


@when(
    'requests of which each names a harmful last part of its own are sent, and'
    ' sound ones with the same first part'
)
def last_parts(context):
    async def script(play):
        async with trio.open_nursery() as nursery:
            for number in range(80):
                last = b'own%d' % (number % 4)
                is_harmful = number % 8 == 0
                body = b'kill %d' if is_harmful else b'sound %d'
                if is_harmful:
                    last = b'their own'
                nursery.start_soon(
                    partial(play.ask, parts=(b'first', last)),
                    play.world.entries[number % 3],
                    body % number,
                )
                await trio.sleep(0.25)
        context.listed = await play.world.daemons['e1'].read_quarantine()

    crashes.play(context, script, **context.sizes)


@then('no part is quarantined')
def check_no_part(context):
    parts = [x for x in context.listed if promptparts.is_part(x.digest)]
    assert not parts, parts


@when(
    'a request with a part takes 1 s to connect, and the part is quarantined'
    ' meanwhile'
)
def quarantined_while_connecting(context):
    async def script(play):
        play.connect_s = 1.0
        daemon = play.world.daemons['e1']
        records = daemon.forwarder.crashes.parts
        parts = records.parts('s', [HARMFUL], '')

        async def ask():
            own = (HARMFUL, b'own')
            context.code = await play.ask('e2', b'waits', parts=own)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            for number in range(2):
                await trio.sleep(0.2)
                runner = (f'i-{number}', 1, 0)
                now_s = trio.current_time()
                records.record_crash(parts, b'%d' % number, runner, now_s)
                await daemon.crash_reporter.report_now()

    crashes.play(context, script, **context.sizes)


@then('it has reached no runner, and is refused with that code')
def check_not_sent(context):
    assert context.code == QUARANTINED, context.code
    sent = [each for each in context.play.arrivals if each[3] == b'waits']
    assert not sent, sent
