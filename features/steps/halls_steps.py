# SPDX-License-Identifier: Apache-2.0

"""Steps for halls out of service: orders under faults, and their effect."""

import collections
import contextlib
import json
import types

from behave import given, then, when
from click import testing
import msgspec
import trio
import trio.testing

from features.worlds import answers, system as system_world
from mountridge import clihalls
from mountridge.control import hallmanager
from mountridge.documents import halls, instances, routes
from mountridge import errors, messages, metrics
from mountridge.net import httpserver
from mountridge.routing import entryapi, hallorders
from mountridge.state import commands, statemachine

HALLS = ('north', 'south', 'east')
#: How long operators wait for an answer before they repeat an order.
WAIT_S = 1.0
REQUEST_S = 0.25
KEY = (b'Host', b'a.example')


def _document():
    route = routes.Route(
        'r', 'a.example', '/', routes.SAFE, 3000.0, 100.0, 1,
        [routes.Share('s', 1.0)], 2, True, False, 0.0,
    )  # fmt: skip
    engine = routes.Engine(4, 1000, experts=8)
    services = [routes.Service('s', '/h', 8, engine)]
    table = routes.RouteTable(1, [route], services, routes.Limits(), None)
    return msgspec.json.encode(table)


class Pool:
    """Fake connection pool of an entry; runners answer after 10 ms."""

    def __init__(self, play, name):
        self.play, self.name = play, name

    @contextlib.asynccontextmanager
    async def request(self, address, *_):
        hall = address.partition(':')[0].partition('-')[0]
        now_s = trio.current_time()
        self.play.sent.append((now_s, self.name, hall))
        await trio.sleep(0.01)
        yield answers.reply()

    async def evict(self, address):
        pass


class Simulation:
    """A simulated system with callers and an operator, on virtual time."""

    def __init__(self, world):
        self.world = world
        self.sent = []  # (time, entry, hall of the runner)
        self.answers = []  # (time, entry, responder, code, duration)
        self.orders = []  # (start, acknowledgement)
        self.stale_until_s = {}  # entry -> when its view is current again

    def start(self, name):
        self.world.start(name)
        part = self.world.daemons[name]
        if name in self.world.entries:
            part.forwarder.pool = Pool(self, name)

    async def begin(self):
        world = self.world
        world.settings_overrides = {
            name: {'hall': hall} for name, hall in zip(world.entries, HALLS)
        }
        for name in world.controllers + world.entries:
            self.start(name)
        await trio.sleep(0.01)
        world.elect()
        await trio.sleep(4)
        part = world.daemons['e1']
        await part.put_routes(_document())
        for number, hall in enumerate(HALLS * 2):
            runner = instances.Instance(
                f'i-{number}', 's', f'{hall}-{number}:1', hall, 'v', 4,
                instances.READY,
            )  # fmt: skip
            await part.heartbeat(messages.Heartbeat(runner, 1))
        await trio.sleep(2)
        for name in world.entries:
            world.nursery.start_soon(self._call, name)
        await trio.sleep(2)

    async def _call(self, name):
        while True:
            await trio.sleep(REQUEST_S)
            app = self.world.processes.get(name)
            if app is not None and app.nursery is not None:
                app.start_task(self.ask, name)

    async def ask(self, name):
        begun_s = trio.current_time()
        responder = answers.Responder()
        request = httpserver.Request(b'GET', b'/1', [KEY], b'')
        await self.world.daemons[name].forwarder.handle(request, responder)
        now_s = trio.current_time()
        body = {} if responder.status == 200 else json.loads(responder.body)
        code = body['error']['code'] if body else 0
        self.answers.append((now_s, name, responder, code, now_s - begun_s))
        return responder, code

    async def order(self, hall, is_out, first=0):
        """Repeat an order, at one entry after another, until acknowledged."""
        begun_s = trio.current_time()
        with trio.fail_after(20):
            for number in range(first, first + 1000):
                name = self.world.entries[number % len(self.world.entries)]
                if await self.attempt_order(name, hall, is_out):
                    break
        self.orders.append((begun_s, trio.current_time()))

    async def attempt_order(self, name, hall, is_out, wait_s=WAIT_S):
        await trio.sleep(0.02)
        if self.world.processes.get(name) is None:
            return False
        done = trio.Event()
        is_done = False

        async def run():
            nonlocal is_done
            # The HTTP server cancels a request when its caller disconnects.
            with trio.move_on_after(wait_s):
                try:
                    part = self.world.daemons[name]
                    is_done = (await part.set_hall(hall, is_out)) is not None
                except errors.MountridgeError as problem:
                    assert problem.status == 503, problem
            done.set()

        self.world.processes[name].start_task(run)
        with trio.move_on_after(wait_s):
            await done.wait()
        return is_done

    def changes(self, hall):
        """Return the final state of a hall and the revisions it had."""
        machine = statemachine.StateMachine()
        revisions = set()
        for number, payload in enumerate(self.world.log):
            with contextlib.suppress(errors.MountridgeError):
                machine.apply_payload(number + 1, payload)
            if hall in machine.halls:
                revisions.add(machine.halls[hall].revision)
        return machine.halls.get(hall), revisions


def _play(context, script):
    async def run(world):
        context.play = Simulation(world)
        await context.play.begin()
        await script(context.play)
        return context.play

    name = context.scenario.name
    system_world.play(
        run, name, gateways=0, agents=0, controllers=3, entries=3
    )


@given('3 entries, 3 controllers, and 2 runners in each of 3 halls')
def three_entries(context):
    pass


@when(
    '"{hall}" is taken out while the {message} {fault},'
    ' and put back {later:d} s later'
)
def take_out_under_fault(context, hall, message, fault, later):
    async def script(play):
        action = system_world.ACTIONS[fault]
        rule = system_world.FaultRule(message, _restarting(play, action))
        play.world.rules.append(rule)
        await play.order(hall, True)
        assert rule.triggered or message == 'Changes'
        await trio.sleep(later)
        await play.order(hall, False, first=1)
        await trio.sleep(10)

    _play(context, script)


def _restarting(play, action):
    """Replace the pools of entries that an action restarts by fakes."""

    def act(world, app, to):
        made = action(world, app, to)
        world.nursery.start_soon(replace_pools)
        return made

    async def replace_pools():
        for _ in range(300):
            await trio.sleep(0.01)
            for name in play.world.entries:
                part = play.world.daemons[name]
                if not isinstance(part.forwarder.pool, Pool):
                    part.forwarder.pool = Pool(play, name)

    return act


async def _nothing(play):
    pass


async def _lose_power(play):
    names = list(play.world.processes)
    for name in names:
        play.world.kill(name)
    play.world.leader = ''
    await trio.sleep(1)
    for name in names:
        play.start(name)
    await trio.sleep(0.5)
    play.world.elect()


async def _lose_disk(play):
    await play.world.restart(play.world.leader, 2)


async def _cut_off_entry(play):
    play.world.isolate('e2')
    await trio.sleep(3.5)
    play.world.heal('e2')
    play.stale_until_s['e2'] = trio.current_time() + 2


async def _lose_hall(play):
    for name in ('e1', 'c1'):
        play.world.kill(name)


AFTER = {
    'nothing happens': _nothing,
    'all processes lose power': _lose_power,
    'the leader loses its disk': _lose_disk,
    'an entry is isolated for longer than a lease': _cut_off_entry,
    'its entry and its controllers are lost': _lose_hall,
}


@when('"{hall}" is taken out, then {what}, and it is put back 12 s later')
def take_out_then(context, hall, what):
    async def script(play):
        context.led = play.world.leader
        await play.order(hall, True)
        play.world.nursery.start_soon(AFTER[what], play)
        await trio.sleep(12)
        await play.order(hall, False, first=1)
        await trio.sleep(10)
        context.leads = play.world.leader

    _play(context, script)


@then(
    'each order is acknowledged within {limit_s:d} s,'
    ' and the hall has changed twice'
)
def check_orders(context, limit_s):
    took_s = [acked - begun for begun, acked in context.play.orders]
    assert len(took_s) == 2 and max(took_s) <= limit_s, took_s
    state, revisions = context.play.changes('south')
    assert not state.is_out and len(revisions) == 2, (state, revisions)


@then(
    'no request is sent to "{hall}" from {after_s:d} s after the first order'
    ' until the second'
)
def check_none_sent(context, hall, after_s):
    play = context.play
    from_s, until_s = play.orders[0][1] + after_s, play.orders[1][0]
    unwanted = [
        (at_s, name)
        for at_s, name, to in play.sent
        if to == hall
        and max(from_s, play.stale_until_s.get(name, 0)) < at_s < until_s
    ]
    assert not unwanted, unwanted[:5]
    before = [to for at_s, _, to in play.sent if at_s < play.orders[0][0]]
    assert hall in before, before


@then(
    'requests are sent to "{hall}" again within {limit_s:d} s of the second'
    ' order'
)
def check_requests_resumed(context, hall, limit_s):
    acked_s = context.play.orders[1][1]
    after = [at for at, _, to in context.play.sent if to == hall]
    after = [at_s for at_s in after if at_s >= acked_s]
    assert after and min(after) <= acked_s + limit_s, (acked_s, after[:3])


@then('the same controller leads')
def check_leader(context):
    assert context.leads == context.led


@when(
    '"{hall}" is taken out on the leader\'s side of a partition,'
    ' and out and put back on the other'
)
def order_on_both_sides(context, hall):
    async def script(play):
        world = play.world
        world.isolate(world.leader)
        for name in ('c2', 'c3'):
            world.cut_links |= {('e1', name), (name, 'e1')}

        async def cut_off_order():
            # Its caller is cut off too, so the entry can't notice that it
            # has disconnected.
            context.was_acknowledged = await play.attempt_order(
                'e1', hall, True, 60
            )

        world.nursery.start_soon(cut_off_order)
        await play.order(hall, True, first=1)
        await play.order(hall, False, first=2)
        world.heal()
        await trio.sleep(10)

    _play(context, script)


@then('it is in service at all entries 10 s after the partition has healed')
def check_in_service(context):
    assert not context.was_acknowledged
    check_orders(context, 5)
    for name in context.play.world.entries:
        assert not context.play.world.daemons[name].backends.halls_out


@when('{names} are taken out')
def take_out_several(context, names):
    async def script(play):
        for name in names.split(' and '):
            await play.order(name.strip('"'), True)
        await trio.sleep(10)

    _play(context, script)


@then('from {after_s:d} s on all requests are sent to "{hall}"')
def check_all_to(context, hall, after_s):
    from_s = context.play.orders[-1][1] + after_s
    to = {to for at_s, _, to in context.play.sent if at_s > from_s}
    assert to == {hall}, to


@then(
    'requests are refused within {limit_s:g} s with code {code:d}'
    ' and a Retry-After header'
)
def check_all_refused(context, limit_s, code):
    from_s = context.play.orders[-1][1] + 5
    found = [each for each in context.play.answers if each[0] > from_s]
    assert len(found) > 30, len(found)
    for _, _, responder, given_code, took_s in found:
        assert (given_code, responder.status) == (code, 503), responder.body
        assert took_s <= limit_s, took_s
        assert b'Retry-After' in dict(responder.headers)


@when('only "{hall}" opens its groups, {after_s:g} s after it was taken out')
def open_groups(context, hall, after_s):
    async def script(play):
        for name in HALLS:
            if name != hall:
                await play.order(name, True)
        await trio.sleep(2)
        known = play.world.daemons['e1'].backends

        def report(is_open):
            for key in known.by_id:
                load = messages.RunnerLoad(key, 0, 0, 100, 1, is_open)
                known.record_report(load, trio.current_time())

        report(False)

        async def wait():
            context.waited = await play.ask('e1')

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await play.order(hall, True, first=1)
            await trio.sleep(after_s)
            report(True)

    _play(context, script)


@then('the request that waited is refused with code {code:d}')
def check_waited(context, code):
    assert context.waited[1] == code, context.waited


@when('"{hall}" is taken out and an entry starts cut off from the controllers')
def start_cut_off(context, hall):
    async def script(play):
        await play.order(hall, True)
        play.world.kill('e2')
        await trio.sleep(1)
        play.world.isolate('e2')
        context.from_s = trio.current_time()
        play.start('e2')
        await trio.sleep(6)
        context.until_s = trio.current_time()
        play.world.heal('e2')
        await trio.sleep(6)

    _play(context, script)


@then(
    'its requests are refused with code {code:d} until it has a view,'
    ' and none is sent to "{hall}"'
)
def check_started(context, code, hall):
    span = (context.from_s, context.until_s)
    codes = {
        given_code
        for at_s, name, _, given_code, _ in context.play.answers
        if name == 'e2' and span[0] < at_s < span[1]
    }
    assert codes == {code}, codes
    sent = [
        to
        for at_s, name, to in context.play.sent
        if name == 'e2' and at_s > context.from_s
    ]
    assert sent and hall not in sent, sent


# The orders of one entry, with a fake leader.


class Leader:
    """Answers calls as the replicated state does, on a simulated clock."""

    def __init__(self):
        self.now_s = 0.0
        self.state = halls.HallState('south', False, 7, 0.0)
        self.sent = []
        self.on_call = lambda message: None

    async def call(self, message, timeout_s):
        # A round trip: tasks that can run now run before the answer.
        await trio.testing.wait_all_tasks_blocked()
        self.sent.append(message)
        read = self.state
        self.on_call(message)
        if isinstance(message, messages.ReadHalls):
            return messages.HallsReply([self.state])
        if message.hall != self.state.name:
            self.state = halls.HallState(message.hall, False, 0, 0.0)
        if message.revision != self.state.revision:
            raise errors.HallChanged()
        self.state = halls.HallState(
            message.hall, message.is_out, read.revision + 1, 0.0
        )
        return messages.HallsReply([self.state])


@given("an entry's orders for halls")
def one_entry(context):
    leader = context.leader = Leader()
    app = types.SimpleNamespace(
        settings={'halls': []},
        now_s=lambda: leader.now_s,
        metrics=metrics.Metrics(None),
    )
    context.orders = hallorders.HallOrders(app, leader.call)


def _set(context, name='south'):
    async def main():
        try:
            context.state = await context.orders.set(name, True)
            context.problem = None
        except errors.MountridgeError as problem:
            context.problem = problem

    trio.run(main)


def _apply_newer_orders(leader):
    """Take the hall out and put it back, while an order is in flight."""
    leader.state = halls.HallState(
        'south', False, leader.state.revision + 2, 0.0
    )


@when('the box is suspended for {suspended_s:d} s while an order {at}')
def suspend_box(context, suspended_s, at):
    leader = context.leader
    kind = messages.ReadHalls if 'waits' in at else messages.SetHall

    def suspend(message):
        if isinstance(message, kind):
            leader.now_s += suspended_s
            _apply_newer_orders(leader)

    leader.on_call = suspend
    _set(context)


@then('in the end the order was {end}')
def check_end(context, end):
    sent = [type(message) for message in context.leader.sent]
    assert (messages.SetHall in sent) == (end != 'not sent'), sent
    assert context.problem.status == 503, context.problem
    assert not context.leader.state.is_out


@when('another order is applied between its two calls')
def conflict(context):
    def once(message):
        if isinstance(message, messages.SetHall):
            context.leader.on_call = lambda message: None
            _apply_newer_orders(context.leader)

    context.leader.on_call = once
    _set(context)


@then('it is applied on the newer revision')
def check_newer(context):
    assert context.problem is None
    assert context.state.is_out and context.state.revision == 10


@when('the hall {name} is to be taken out and the settings name {known}')
def take_out(context, name, known):
    if known != 'none':
        context.orders.update_settings({'halls': known.split(', ')})
    _set(context, name)


@then('the answer is {status:d} with code {code:d}')
def check_answer(context, status, code):
    problem = context.problem
    got = (problem.status, problem.code) if problem else (200, 0)
    assert got == (status, code), problem
    assert bool(context.leader.sent) == (code == 0)


@when('the settings name {known}, and after a reload {more} too')
def reload_settings(context, known, more):
    context.orders.update_settings({'halls': [known]})
    _set(context, more)
    assert context.problem.code == errors.UnknownHall.code
    context.orders.update_settings({'halls': [known, more]})
    context.name = more


@then('an order for {name} is accepted')
def check_accepted(context, name):
    _set(context, name)
    assert context.problem is None, context.problem


@when('it reads an order whose caller has disconnected')
def read_without_caller(context):
    async def main():
        near, far = trio.testing.memory_stream_pair()
        await near.send_all(
            b'POST /v1/halls/south/drain HTTP/1.1\r\nHost: a\r\n'
            b'Content-Length: 0\r\n\r\n'
        )
        await near.aclose()
        # The order and the end of the stream are both there when it reads.
        await _control(context).serve_connection(far)

    trio.run(main)


@then('nothing is sent to the leader')
def check_not_sent(context):
    sent = [type(message) for message in context.leader.sent]
    assert messages.SetHall not in sent, sent


def _control(context):
    """Return an HTTP server for the control API with the orders' methods."""
    entry = types.SimpleNamespace(
        set_hall=context.orders.set, read_halls=context.orders.read
    )
    made = entryapi.handlers(entry, entryapi.NATIVE)
    return httpserver.Server(made.control, routes.Limits, lambda: False)


@when('an operator runs mountridge halls {command}')
def run_command(context, command):
    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        address = '%s:%d' % listener.socket.getsockname()
        args = [*command.split(), '--entry', address]
        serve = _control(context).serve_connection
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            context.shown = await trio.to_thread.run_sync(
                testing.CliRunner().invoke, clihalls.group, args
            )
            nursery.cancel_scope.cancel()

    trio.run(main)


@then('the command exits with {code:d} and prints {text}')
def check_command(context, code, text):
    shown = context.shown
    assert shown.exit_code == code, shown.output
    assert text in ' '.join(shown.output.split()), shown.output


# The replicated state.


@when('runners are registered, and one hall is taken out and put back')
def restore_hall(context):
    machine = context.machine
    context.old = machine.snapshot()
    for number, hall in enumerate(HALLS):
        runner = instances.Instance(
            f'i-{number}', 's', f'a:{number}', hall, 'v', 4, instances.READY
        )
        machine.apply(number + 1, commands.SetInstance(runner, 1.0))
    machine.apply(4, commands.SetHall('south', True, 0, 2.0))
    back = machine.apply(5, commands.SetHall('south', False, 4, 3.0))
    # A copy of the same order, and a copy of an older one.
    copy = commands.SetHall('south', False, 4, 9.0)
    assert machine.apply(6, copy) == back
    with contextlib.suppress(errors.HallChanged):
        machine.apply(7, commands.SetHall('south', True, 0, 9.0))
        raise AssertionError('an order on an older revision was accepted')


@then(
    'its runners are cold until they report otherwise, also after a snapshot'
)
def check_cold(context):
    restored = statemachine.StateMachine()
    restored.restore(context.machine.snapshot())
    for machine in (context.machine, restored):
        cold = {i.hall for i in machine.instances.values() if i.is_cold}
        assert cold == {'south'}, cold
        assert machine.halls['south'] == halls.HallState(
            'south', False, 5, 3.0
        )
    warm = restored.instances['i-1']._replace(is_cold=False)
    restored.apply(8, commands.SetInstance(warm, 4.0))
    assert not restored.instances['i-1'].is_cold


@then('a snapshot without halls is restored with none out of service')
def check_old(context):
    restored = statemachine.StateMachine()
    restored.restore(context.old)
    assert restored.halls == {}


class _NoQuorum:
    """A replica that takes itself for the leader without a quorum."""

    def check_leader(self):
        pass

    async def confirm_leadership(self):
        raise errors.NotLeader()


@when('a replica that no quorum confirms as the leader is asked for its halls')
def ask_deposed(context):
    async def main():
        manager = hallmanager.HallManager(
            None, context.machine, _NoQuorum(), lambda: None
        )
        context.reply = None
        with contextlib.suppress(errors.NotLeader):
            context.reply = await manager.on_read(None, messages.ReadHalls())

    trio.run(main)


@then('it returns no halls')
def check_no_reply(context):
    assert context.reply is None, context.reply


# The slow start of a hall that was put back.


@when(
    'hall "{hall}" is out of service until {restored_s:g} s,'
    ' with {per_s:d} requests a second that take {took_s:g} s'
)
def simulate_slow_start(context, hall, restored_s, per_s, took_s):
    site = context.site
    for known in site.known:
        known.update_halls({hall}, 0.0)
    send = site.send

    def send_by_state(number, now_s):
        if now_s >= restored_s:
            for known in site.known:
                known.update_halls(set(), now_s)
        return send(number, now_s)

    site.send = send_by_state
    site.simulate(per_s / len(site.known), restored_s + 3, took_s)
    context.quarters = collections.Counter(
        int((at_s - restored_s) // 0.25)
        for key, came_s in site.arrivals.items()
        for at_s in came_s
        if site.known[0].by_id[key].instance.hall == hall
    )


@then(
    'its runners get at most {first:d} requests in the first 0.25 s,'
    ' and {most:d} in each 0.25 s'
)
def check_ramp(context, first, most):
    counts = context.quarters
    assert min(counts) >= 0, 'sent while it was out'
    assert counts[0] <= first and max(counts.values()) <= most, counts
