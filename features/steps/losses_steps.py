# SPDX-License-Identifier: Apache-2.0

"""Steps on the loss of controllers, boxes and halls."""

import random
import types

from behave import given, then, when
import trio
import trio.testing

from features.worlds import consensus as consensus_world
from features.worlds import core
from mountridge import errors, messages
from mountridge.consensus import consensus, entries, replication
from mountridge.control import formation, spread
from mountridge.experts import ranks
from mountridge.state import members

#: Six boxes with a disk and three without, in three halls.
HALLS = {
    f'{hall}{number}': (hall, number < 3)
    for number in (1, 2, 3)
    for hall in ('north', 'south', 'west')
}
SEEDS = ['north1', 'south2', 'west3']


def on_virtual_time(script):
    trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))


# The way to the leader.


class Controllers:
    """An application whose connections lead to scripted controllers."""

    metrics = None

    def __init__(self, count):
        self.addresses = [f'tcp://127.0.0.1:{n + 1}' for n in range(count)]
        self.settings = {
            'controllers': {a[-1]: a for a in self.addresses},
            'entry': {'seeds': []},
            'bind': self.addresses[0],
        }
        self.leads = self.addresses[-1]
        self.answer_s = 0.0
        self.leads_from_s = 0.0  # until then all know of no leader
        self.names = {}  # whom one that does not lead names
        self.open = set()
        self.sent = []  # addresses that the call was sent to

    def now_s(self):
        return trio.current_time()

    def start_task(self, task, *args):
        self.nursery.start_soon(task, *args)

    def connect(self, address, peer, on_message=None, on_heard=None):
        self.open.add(address)

        async def call(message, timeout_s, late=None):
            sender, receiver = trio.open_memory_channel(1)

            async def run():
                try:
                    sender.send_nowait(await answer(message))
                except errors.NotLeader as problem:
                    sender.send_nowait(problem)

            self.start_task(run)
            waits = [(late[0], late[1])] if late else []
            waits.append((timeout_s - sum(w[0] for w in waits), None))
            for wait_s, tell in waits:
                with trio.move_on_after(wait_s):
                    reply = await receiver.receive()
                    if isinstance(reply, errors.NotLeader):
                        raise reply
                    return reply
                if tell:
                    tell()
            raise errors.NoController('no reply in time')

        async def answer(message):
            asks = isinstance(message, messages.FindLeader)
            if not asks:
                self.sent.append(address)
            if trio.current_time() < self.leads_from_s:
                raise errors.NotLeader()
            if address == self.leads:
                await trio.sleep(0 if asks else self.answer_s)
                return messages.Registered()
            if address in self.names:
                problem = errors.NotLeader()
                problem.leader = problem.leader_address = self.names[address]
                raise problem
            await trio.sleep_forever()

        return types.SimpleNamespace(
            call=call, close=lambda: self.open.discard(address)
        )


@given('{count:d} controllers of which the last one leads and {what}')
def scripted(context, count, what):
    app = context.app = Controllers(count)
    if what.startswith('answers after'):
        app.answer_s = float(what.split()[2])
    elif what.endswith('name each other'):
        first, second, _ = app.addresses
        app.names = {first: second, second: first}
    elif ' until ' in what:
        app.leads_from_s = float(what.split()[-2])
    context.knows = False


@given('a process that knows that')
def knows(context):
    context.knows = True


def with_leader(context, script):
    async def main():
        async with trio.open_nursery() as nursery:
            context.app.nursery = nursery
            leader = members.LeaderClient(context.app)
            if context.knows:
                leader.set_leader(context.app.leads)
            began_s = trio.current_time()

            async def call(limit_s=5.0):
                await leader.call(messages.Leave('i'), limit_s)
                context.took_s.append(trio.current_time() - began_s)

            await script(call, nursery)
            nursery.cancel_scope.cancel()

    context.took_s = []
    on_virtual_time(main)


@when('a call is made')
def one_call(context):
    async def script(call, nursery):
        await call()
        await trio.sleep(0.1)

    with_leader(context, script)


@when('calls begin {gap_s:g} s apart for {for_s:g} s')
def many_calls(context, gap_s, for_s):
    async def script(call, nursery):
        context.count = round(for_s / gap_s)
        for _ in range(context.count):
            nursery.start_soon(call)
            await trio.sleep(gap_s)
        await trio.sleep(0.05)

    with_leader(context, script)


@when('a call is given up after {limit_s:g} s, while another one waits')
def given_up(context, limit_s):
    async def script(call, nursery):
        async def first():
            try:
                await call(limit_s)
            except errors.NoController:
                pass

        nursery.start_soon(first)
        await trio.sleep(0.1)
        await call()

    with_leader(context, script)


@then('it is answered after {after_s:g} s and was sent once')
def sent_once(context, after_s):
    assert abs(context.took_s[0] - after_s) < 0.01, context.took_s
    assert context.app.sent.count(context.app.leads) == 1, context.app.sent


@then('all are answered {after_s:g} s after the first one began')
def all_answered(context, after_s):
    assert len(context.took_s) == context.count, context.took_s
    assert max(context.took_s) < after_s + 0.01, context.took_s


@then('{count:d} connection is open')
def count_open(context, count):
    assert len(context.app.open) == count, context.app.open


@then('it is answered within {limit_s:g} s')
@then('the other one is answered within {limit_s:g} s')
def within(context, limit_s):
    assert context.took_s and context.took_s[-1] < limit_s, context.took_s


@then('those that do not lead were sent it {count:d} times')
def sent_elsewhere(context, count):
    sent = [a for a in context.app.sent if a != context.app.leads]
    assert len(sent) == count, sent


# Who leads.


@given('5 voters in 3 halls')
def voters(context):
    context.bounds = {'controller_losses': 2, 'hall_losses': 1}


def play(context, script, halls=HALLS, names=None):
    async def main(world):
        await world.begin(names)
        return await script(world)

    name = context.scenario.name
    return core.play(main, name, halls, SEEDS, **context.bounds)


async def next_leader(world, before, limit_s=3.0):
    with trio.fail_after(limit_s):
        while world.leader() in (None, before):
            await trio.sleep(0.005)
    return world.leader()


@when('a box asks a follower who leads, and the leader is killed')
def ask_follower(context):
    async def script(world):
        lost = world.leader()
        asked = next(n for n in world.voters() if n != lost)
        app = world.processes['west3']
        caller = app.connect(world.address_of(asked), asked)
        question = messages.FindLeader(world.address_of(lost))
        world.kill(lost)
        context.named = ''
        context.asked = 0
        while not context.named:
            context.asked += 1
            try:
                await caller.call(question, 1.0)
                context.named = world.address_of(asked)
            except errors.NotLeader as problem:
                context.named = problem.leader_address
        leader = await next_leader(world, lost)
        context.expected = world.address_of(leader)

    play(context, script)


@then('it is answered by the name of the next leader')
def check_named(context):
    assert context.named == context.expected, context.named


@then('it has asked at most {most:d} times')
def check_asked(context, most):
    assert context.asked <= most, context.asked


@when('the leader is killed')
def kill_leader(context):
    async def script(world):
        lost = world.leader()
        world.kill(lost)
        leader = await next_leader(world, lost)
        # Two ways between halls, and no time-out of a call.
        await trio.sleep(0.01)
        context.expected = world.address_of(leader)
        context.current = {
            name: world.entries[name].leader.current[1]
            for name in world.controllers
        }

    play(context, script)


@then('boxes with a controller ask the next leader before any call fails')
def check_current(context):
    assert len(context.current) == 5, context.current
    assert set(context.current.values()) == {context.expected}


@given('{count:d} controllers that follow a leader')
def controllers(context, count):
    context.names = [f'c{n + 1}' for n in range(count)]


def play_core(context, seed, strike):
    """Return (seconds until another one leads, its name, the rest)."""
    world = consensus_world.World(context.names, seed)
    lost = world.wait_leader()
    world.run(1 + world.rng.random())
    if world.leader() != lost:
        lost = world.leader()
    rest = [n for n in context.names if n != lost]
    rest = strike(world, lost, rest)
    began_s = world.now_s
    found = world.run_until(lambda: world.leader() in rest, 5.0)
    world.check()
    assert found, 'no leader'
    return world.now_s - began_s, world.leader(), rest


@when('it and the first {more:d} that follow it are lost')
def lose_first(context, more):
    def strike(world, lost, rest):
        for name in [lost, *rest[:more]]:
            world.kill(name)
        return rest[more:]

    context.plays = [play_core(context, seed, strike) for seed in range(30)]


@when(
    'the first follower hears nothing from {ahead_s:g} s'
    ' before the leader is lost'
)
def deaf_first(context, ahead_s):
    def strike(world, lost, rest):
        world.cut.add((lost, rest[0]))
        world.run(ahead_s)
        world.kill(lost)
        return rest

    context.plays = [play_core(context, seed, strike) for seed in range(30)]


@when(
    'the first follower alone has an entry,'
    ' and misses the leader {ahead_s:g} s earlier'
)
def only_first(context, ahead_s):
    def strike(world, lost, rest):
        send = world.send

        def lossy(name, effect):
            is_behind = effect.to == rest[1]
            if not (is_behind and getattr(effect.message, 'entries', None)):
                send(name, effect)

        world.send = lossy
        assert world.propose(lost, b'last')
        world.run(0.05)
        world.cut.add((lost, rest[0]))
        world.run(ahead_s)
        world.kill(lost)
        world.send = send
        return rest

    context.plays = [play_core(context, seed, strike) for seed in range(30)]


@when('two of the rest stand at the same moment after it is lost')
def stand_together(context):
    def strike(world, lost, rest):
        world.kill(lost)
        world.run(0.5)
        for name in rest:
            world.nodes[name].election_at_s = world.now_s + 0.3
        for name in rest[:2]:
            world.nodes[name].election_at_s = 0.0
            world.step(name, consensus.Tick())
        return rest

    context.plays = [play_core(context, seed, strike) for seed in range(30)]


@then('there is a leader within {limit_s:g} s, in 30 of 30 plays')
def soon(context, limit_s):
    assert max(took_s for took_s, _, _ in context.plays) < limit_s, max(
        context.plays
    )


# How voters stand in halls.


def leader_node(config, answering, behind=()):
    """Return a leader's state in which only ``answering`` were heard."""
    log = entries.Log(1, 1, config)
    timing = consensus.Timing(0.1, 0.5)
    rng = random.Random(1)
    leader = next(iter(config.voters))
    node = consensus.make_node(leader, 1, '', log, timing, rng, 0.0)
    replication.become_leader(node, 0.0)
    for key, peer in node.peers.items():
        if key in answering:
            peer.acked_sent_s = 100.0
            peer.match_index = -1000 if key in behind else node.log.last_index
    return node


def next_set(config, answering, most, halls, behind=()):
    node = leader_node(config, answering, behind)
    return formation.next_config(node, most, halls, 100.0)


def in_halls(text):
    """Return {name: hall} of a text as 'north 3, south 1'."""
    parts = [part.split() for part in text.split(', ')]
    return {
        f'{hall}{n + 1}': hall
        for hall, count in parts
        for n in range(int(count))
    }


def make_config(voters, learners=''):
    voters = in_halls(voters)
    others = in_halls(learners) if learners else {}
    others = {f'{name}-new': hall for name, hall in others.items()}
    return entries.Config(
        dict.fromkeys(voters, 'a'), dict.fromkeys(others, 'a'),
        {**voters, **others},
    )  # fmt: skip


def settle(config, answering, most, halls):
    """Return all sets up to the one that stays."""
    sets = [config]
    while len(sets) < 50:
        after = next_set(sets[-1], answering, most, halls)
        if after is None:
            return sets
        sets.append(after)
    raise AssertionError('it never ends')


@given('voters in {voters}, and learners in {learners}')
def make_set(context, voters, learners):
    learners = '' if learners == 'no hall' else learners
    context.controllers = make_config(voters, learners)


@when('{silent} are silent and {halls:d} halls may be lost')
def silent_ones(context, silent, halls, most=None):
    config = context.controllers
    answering = set(config.voters) | set(config.learners)
    if silent != 'none':
        answering -= set(silent.split(' and '))
    most = most or max(3, len(config.voters) | 1)
    context.sets = settle(config, answering, most, halls)
    context.answering = answering


@when(
    '{silent} are silent and {halls:d} halls may be lost,'
    ' with {most:d} voters wanted'
)
def silent_of(context, silent, halls, most):
    silent_ones(context, silent, halls, most)


@then('the silent ones are no voters')
def check_gone(context):
    assert context.answering.issuperset(context.sets[-1].voters)


@then('the voters come to stand in {expected} by {changes:d} changes')
def check_stand(context, expected, changes):
    assert len(context.sets) == changes + 1, context.sets
    counts = {}
    for hall in in_halls(expected).values():
        counts[hall] = counts.get(hall, 0) + 1
    assert spread.by_hall(context.sets[-1]) == counts, context.sets


@then('there were never fewer than {least:d} voters')
def check_least(context, least):
    counts = [len(one.voters) for one in context.sets]
    assert min(counts) >= least, counts


@then('one voter changed at a time')
def check_one(context):
    for before, after in zip(context.sets, context.sets[1:]):
        assert len(set(before.voters) ^ set(after.voters)) <= 1


@when('boxes are lost, return and lose their disks in {count:d} random orders')
def random_orders(context, count):
    context.ends = []
    for seed in range(count):
        rng = random.Random(seed)
        config = make_config(
            'north 2, south 2, west 1', 'north 1, south 1, west 2'
        )
        for _ in range(20):
            leader = next(iter(config.voters))
            answering = {
                key for key in config.addresses() if rng.random() < 0.7
            } | {leader}
            before = spread.excess(config, 1)
            config = settle(config, answering, 5, 1)[-1]
            if len(config.voters) == 5:
                context.ends.append((before, spread.excess(config, 1)))
            # A box that was taken out asks again; a lost disk is another id.
            for hall in ('north', 'south', 'west'):
                key = f'{hall}{rng.random()}'
                held = [k for k, h in config.halls.items() if h == hall]
                if len(held) < 3:
                    config = config.with_controller(key, 'a', hall)


@then('no change lets one hall hold a majority that it did not hold')
def check_ends(context):
    assert len(context.ends) > 100
    assert all(after <= before for before, after in context.ends)


@given('a learner in {hall} that answers, but has not caught up yet')
def coming(context, hall):
    key = f'{hall}-coming'
    context.behind = key
    context.controllers = context.controllers.with_controller(key, 'a', hall)


@then('the next voter is awaited, and then taken from {hall}')
def check_awaited(context, hall):
    config = context.controllers
    answering = set(config.addresses())
    assert next_set(config, answering, 5, 1, (context.behind,)) is None
    after = next_set(config, answering, 5, 1)
    fresh = set(after.voters) - set(config.voters)
    assert {after.halls[key] for key in fresh} == {hall}, fresh


@when('boxes are replaced where no halls are to be borne')
def as_before(context):
    config = make_config('north 3', 'south 1, north 2')
    answering = set(config.addresses()) - {'north2'}
    context.sets = settle(config, answering, 3, 0)


@then('the first learner takes the place that was made for it')
def check_as_before(context):
    counts = [len(one.voters) for one in context.sets]
    assert counts == [3, 2, 3], counts
    assert 'north1-new' in context.sets[-1].voters


# Losses while orders go on.

#: When what is lost comes back, and how long the play goes on after that.
BACK_S, AFTER_S = 6.0, 6.0


class Play:
    """What a play with a loss has shown."""

    def __init__(self, world):
        self.world = world
        self.version = self.acked = 0
        self.ack_s = []  # how long each order took
        self.unleased = set()  # boxes in touch that held no lease
        self.named_s = {}  # lost box -> when it was last named, after the loss
        self.lost = []
        self.read = {}

    async def order_for(self, seconds):
        """Order at boxes that are reached, one after the other."""
        until_s = trio.current_time() + seconds
        world = self.world
        while trio.current_time() < until_s:
            self.version += 1
            boxes = [n for n in world.processes if world.reached(n)]
            world.rng.shuffle(boxes)
            took_s = await world.order_until_acked(3 * boxes, self.version)
            self.ack_s.append(took_s)
            self.acked = self.version
            await trio.sleep(0.2)

    async def watch(self, lost_s):
        """Note leases that lapse, and who names boxes that are lost."""
        world = self.world
        while True:
            now_s = trio.current_time()
            for name in world.processes:
                if name in self.lost or not world.reached(name):
                    continue
                made = world.entries[name]
                if not made.held.is_valid(now_s):
                    self.unleased.add(name)
                named = {a.partition(':')[0] for a in made.addresses()}
                for other in named.difference(world.processes):
                    self.named_s[other] = now_s - lost_s
            await trio.sleep(0.02)

    async def read_all(self):
        for name, made in self.world.entries.items():
            reply = await made.leader.call(messages.ReadRoutes(), 3.0)
            self.read[name] = reply.version


def victims(world, which):
    """Return the boxes that a loss hits."""
    leader = world.leader()
    others = [name for name in world.voters() if name != leader]
    halls = sorted({hall for hall, _ in world.halls.values()})
    own = world.halls[leader][0]
    if which == 'the hall with the leader':
        return world.in_hall(own)
    if which == 'a hall without the leader':
        return world.in_hall(next(hall for hall in halls if hall != own))
    if which == 'the leader and another':
        return [leader, next(n for n in others if world.halls[n][0] != own)]
    assert which == 'two that follow', which
    return others[:2]


@when('{which} is {fault}, while orders go on')
@when('{which} are {fault}, while orders go on')
def lose_some(context, which, fault):
    async def script(world):
        shown = Play(world)
        await shown.order_for(1)
        lost = shown.lost = victims(world, which)
        hall = world.halls[lost[0]][0]
        if fault == 'cut off':
            world.cut_halls.add(hall)
        else:
            for name in lost:
                world.kill(name, wipe='empty' in fault)
        world.nursery.start_soon(shown.watch, trio.current_time())
        await shown.order_for(1 if 'empty' in fault else BACK_S)
        world.cut_halls.clear()
        for name in lost:
            if name not in world.processes:
                world.start(name)
        await shown.order_for(AFTER_S)
        await world.until(world.is_whole)
        await shown.read_all()
        shown.config = world.config()
        return shown

    context.play = play(context, script)


@then('each order is acknowledged within {limit_s:g} s')
def check_orders(context, limit_s):
    took = context.play.ack_s
    assert len(took) > 20 and max(took) < limit_s, max(took)


@then('no box that is reached loses its lease')
def check_leases(context):
    assert not context.play.unleased, context.play.unleased


@then('what was acknowledged is read at each box')
def check_read(context):
    assert len(context.play.read) == len(HALLS)
    assert min(context.play.read.values()) >= context.play.acked


@then('{count:d} voters stand so that any hall can go')
def check_spread(context, count):
    config = context.play.config
    assert len(config.voters) == count, config
    assert not spread.excess(config, 1), spread.by_hall(config)


@then('no box that is reached names a lost one {limit_s:g} s after the loss')
def check_names(context, limit_s):
    late = context.play.named_s
    assert all(named_s < limit_s for named_s in late.values()), late


@when('the hall with the first seed is lost, and a box elsewhere starts again')
def start_elsewhere(context):
    async def script(world):
        for name in world.in_hall('north'):
            world.kill(name)
        world.kill('south3')
        world.start('south3')
        held = world.entries['south3'].held
        context.took_s = [
            await world.until(lambda: held.is_valid(trio.current_time()))
        ]

    play(context, script)


@then('it holds a lease within {limit_s:g} s')
def check_lease(context, limit_s):
    assert context.took_s[0] < limit_s, context.took_s


@when('the hall with the leader, of {count:d} boxes, is lost')
def lose_large(context, count):
    more = {f'north{n}': ('north', False) for n in range(4, count + 1)}

    async def script(world):
        world.sync_s = 0.03
        shown = Play(world)
        assert world.halls[world.leader()][0] == 'north'
        shown.lost = world.in_hall('north')
        assert len(shown.lost) == count
        for name in shown.lost:
            world.kill(name)
        world.nursery.start_soon(shown.watch, trio.current_time())
        await trio.sleep(6)
        return shown

    context.play = play(context, script, {**HALLS, **more})


@when('a hall is cut off, and {count:d} orders to ranks are given elsewhere')
def give_orders(context, count):
    async def script(world):
        leader = world.leader()
        hall = next(h for h, _ in HALLS.values() if h != HALLS[leader][0])
        world.cut_halls.add(hall)
        await trio.sleep(1.5)
        office = world.controllers[leader]
        context.given = []
        office.app.send = lambda route, order: context.given.append(
            route.decode().partition('.')[0]
        )
        for number in range(count):
            order = ranks.RankOrder(ranks.HOLD, 1, 2, 3, [])
            order = order._replace(version=number)
            office.send_remote_order(messages.RemoteOrder('r', order))
        context.cut = world.in_hall(hall)
        # The leases of those still run.
        assert set(context.cut) <= set(office.leases.holders)

    play(context, script)


@then('none goes to a box in it, and each other box without a disk gets some')
def check_given(context):
    plain = {name for name, (_, has_disk) in HALLS.items() if not has_disk}
    assert set(context.given) == plain.difference(context.cut), context.given


@given('{count:d} boxes with a disk in north, one in south and one in west')
def uneven(context, count):
    context.halls = {f'north{n + 1}': ('north', True) for n in range(count)}
    context.halls |= {'south2': ('south', True), 'west3': ('west', True)}
    context.bounds = {'controller_losses': 2, 'hall_losses': 1}


@when('they form, and another one in south starts later')
def form_uneven(context):
    lines = []
    halls = {**context.halls, 'south4': ('south', True)}

    def tell(text, **fields):
        if text == 'voters by hall':
            lines.append(fields)

    def counts(world):
        app = world.processes[world.leader()]
        names = ['voters.north', 'voters.south', 'hall_loss_stops']
        return [app.metrics.counts[f'controllers.{name}'] for name in names]

    async def script(world):
        await trio.sleep(3)
        context.before = counts(world)
        context.lines_before = list(lines)
        world.start('south4')
        await world.until(lambda: len(world.config().halls) == 6)
        await world.until(world.is_whole)
        await trio.sleep(3)
        context.after = counts(world)

    real = formation.logger
    formation.logger = types.SimpleNamespace(
        info=tell, warning=tell, debug=lambda *_, **__: None
    )
    try:
        bounds = context.bounds
        context.bounds = {**bounds, 'hall_losses': 1}
        play_uneven(context, script, halls)
    finally:
        formation.logger = real
    context.lines = lines


def play_uneven(context, script, halls):
    async def main(world):
        for name in context.halls:
            world.start(name)
        await world.until(lambda: world.leader() and len(world.voters()) == 5)
        await script(world)

    core.play(main, context.scenario.name, halls, SEEDS, **context.bounds)


@then('a gauge and one line say that the loss of north stops the log')
def check_told(context):
    assert context.before == [3, 1, 1], context.before
    last = context.lines_before[-1]
    assert last['hall_loss_stops'] and last['halls']['north'] == 3, last
    assert context.lines_before.count(last) == 1, context.lines_before


@then('later that it does not, with voters in north 2 and in south 2')
def check_told_later(context):
    assert context.after == [2, 2, 0], context.after
    assert not context.lines[-1]['hall_loss_stops'], context.lines[-1]


# Old records.


@then(
    'a set of controllers that tells no halls is read, and written as it was'
)
def check_old(context):
    import msgspec

    old = msgspec.msgpack.encode(({'a': 'x'}, {'b': 'y'}))
    config = entries.unpack_config(old)
    assert config == entries.Config({'a': 'x'}, {'b': 'y'}, {})
    assert config.pack() == old
    told = config.with_controller('a', 'x', 'north')
    assert entries.unpack_config(told.pack()).halls == {'a': 'north'}


@when('a leader has read a log that tells no halls')
def old_log(context):
    async def script(world):
        for name, disk in world.disks.items():
            world.kill(name)
            disk.snapshot = disk.snapshot._replace(
                config=disk.snapshot.config._replace(halls={})
            )
            disk.entries = [
                (
                    entry._replace(
                        payload=entries.unpack_config(entry.payload)
                        ._replace(halls={})
                        .pack()
                    )
                    if entry.kind == entries.CONFIG
                    else entry
                )
                for entry in disk.entries
            ]
        for name in world.disks:
            world.start(name)
        await world.until(
            lambda: world.leader()
            and len(world.config().halls) == len(world.config().addresses())
        )
        return spread.by_hall(world.config())

    context.halls = play(context, script)


@then('it knows the halls of all soon, and voters stand in 3 of them')
def check_known(context):
    assert sorted(context.halls) == ['north', 'south', 'west'], context.halls
