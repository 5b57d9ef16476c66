# SPDX-License-Identifier: Apache-2.0

"""Steps for losses of controllers, boxes and halls."""

import random
import types

from behave import given, then, when
import trio
import trio.testing

from features.worlds import consensus as consensus_world
from features.worlds import core
from mountridge import errors, messages
from mountridge.consensus import consensus, entries, replication
from mountridge.control import formation, voterplacement
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


# Calls to the leader.


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
        self.leads_from_s = 0.0  # until then no controller knows the leader
        self.named = {}  # address -> leader that this controller names
        self.open = set()
        self.sent = []  # addresses to which calls were sent

    def now_s(self):
        return trio.current_time()

    def start_task(self, task, *args):
        self.nursery.start_soon(task, *args)

    def connect(self, address, peer, on_message=None, on_received=None):
        self.open.add(address)

        async def call(message, timeout_s, delay_callback=None):
            sender, receiver = trio.open_memory_channel(1)

            async def run():
                try:
                    sender.send_nowait(await answer(message))
                except errors.NotLeader as problem:
                    sender.send_nowait(problem)

            self.start_task(run)
            waits = (
                [(delay_callback[0], delay_callback[1])]
                if delay_callback
                else []
            )
            waits.append((timeout_s - sum(w[0] for w in waits), None))
            for wait_s, on_timeout in waits:
                with trio.move_on_after(wait_s):
                    reply = await receiver.receive()
                    if isinstance(reply, errors.NotLeader):
                        raise reply
                    return reply
                if on_timeout:
                    on_timeout()
            raise errors.NoController('no reply in time')

        async def answer(message):
            is_query = isinstance(message, messages.FindLeader)
            if not is_query:
                self.sent.append(address)
            if trio.current_time() < self.leads_from_s:
                raise errors.NotLeader()
            if address == self.leads:
                await trio.sleep(0 if is_query else self.answer_s)
                return messages.Registered()
            if address in self.named:
                problem = errors.NotLeader()
                problem.leader = problem.leader_address = self.named[address]
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
        app.named = {first: second, second: first}
    elif ' until ' in what:
        app.leads_from_s = float(what.split()[-2])
    context.knows_leader = False


@given('a process that knows the leader')
def knows_leader(context):
    context.knows_leader = True


def run_calls(context, script):
    async def main():
        async with trio.open_nursery() as nursery:
            context.app.nursery = nursery
            leader = members.LeaderClient(context.app)
            if context.knows_leader:
                leader.set_leader(context.app.leads)
            started_s = trio.current_time()

            async def call(limit_s=5.0):
                await leader.call(messages.Leave('i'), limit_s)
                context.took_s.append(trio.current_time() - started_s)

            await script(call, nursery)
            nursery.cancel_scope.cancel()

    context.took_s = []
    on_virtual_time(main)


@when('a call is made')
def one_call(context):
    async def script(call, nursery):
        await call()
        await trio.sleep(0.1)

    run_calls(context, script)


@when('calls start {gap_s:g} s apart for {for_s:g} s')
def many_calls(context, gap_s, for_s):
    async def script(call, nursery):
        context.count = round(for_s / gap_s)
        for _ in range(context.count):
            nursery.start_soon(call)
            await trio.sleep(gap_s)
        await trio.sleep(0.05)

    run_calls(context, script)


@when('a call times out after {limit_s:g} s, while another one waits')
def call_times_out(context, limit_s):
    async def script(call, nursery):
        async def first():
            try:
                await call(limit_s)
            except errors.NoController:
                pass

        nursery.start_soon(first)
        await trio.sleep(0.1)
        await call()

    run_calls(context, script)


@then('it is answered after {after_s:g} s and was sent once')
def sent_once(context, after_s):
    assert abs(context.took_s[0] - after_s) < 0.01, context.took_s
    assert context.app.sent.count(context.app.leads) == 1, context.app.sent


@then('all are answered {after_s:g} s after the first one started')
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


@then('the controllers that do not lead received it {count:d} times')
def sent_elsewhere(context, count):
    sent = [a for a in context.app.sent if a != context.app.leads]
    assert len(sent) == count, sent


# Elections.


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


@when('a box asks a follower for the leader, and the leader is killed')
def query_follower(context):
    async def script(world):
        lost = world.leader()
        follower = next(n for n in world.voters() if n != lost)
        app = world.processes['west3']
        caller = app.connect(world.address_of(follower), follower)
        query = messages.FindLeader(world.address_of(lost))
        world.kill(lost)
        context.named = ''
        context.queries = 0
        while not context.named:
            context.queries += 1
            try:
                await caller.call(query, 1.0)
                context.named = world.address_of(follower)
            except errors.NotLeader as problem:
                context.named = problem.leader_address
        leader = await next_leader(world, lost)
        context.expected = world.address_of(leader)

    play(context, script)


@then('the reply names the next leader')
def check_named(context):
    assert context.named == context.expected, context.named


@then('the box asked at most {most:d} times')
def check_queries(context, most):
    assert context.queries <= most, context.queries


@when('the leader is killed')
def kill_leader(context):
    async def script(world):
        lost = world.leader()
        world.kill(lost)
        leader = await next_leader(world, lost)
        # Time for two messages between halls, but not for a call's timeout.
        await trio.sleep(0.01)
        context.expected = world.address_of(leader)
        context.current = {
            name: world.entries[name].leader.current[1]
            for name in world.controllers
        }

    play(context, script)


@then('boxes with a controller call the next leader before any call fails')
def check_current(context):
    assert len(context.current) == 5, context.current
    assert set(context.current.values()) == {context.expected}


@given('{count:d} controllers with a leader')
def controllers(context, count):
    context.names = [f'c{n + 1}' for n in range(count)]


def run_election(context, seed, fail):
    """Return (seconds until the next leader, its name, the others)."""
    world = consensus_world.World(context.names, seed)
    lost = world.wait_leader()
    world.run(1 + world.rng.random())
    if world.leader() != lost:
        lost = world.leader()
    followers = [n for n in context.names if n != lost]
    followers = fail(world, lost, followers)
    started_s = world.now_s
    is_elected = world.run_until(lambda: world.leader() in followers, 5.0)
    world.check()
    assert is_elected, 'no leader'
    return world.now_s - started_s, world.leader(), followers


@when('the leader and the first {more:d} followers are lost')
def lose_leader(context, more):
    def fail(world, lost, followers):
        for name in [lost, *followers[:more]]:
            world.kill(name)
        return followers[more:]

    context.elections = [
        run_election(context, seed, fail) for seed in range(30)
    ]


@when(
    'the first follower receives nothing from {ahead_s:g} s'
    ' before the leader is lost'
)
def cut_off_first(context, ahead_s):
    def fail(world, lost, followers):
        world.cut.add((lost, followers[0]))
        world.run(ahead_s)
        world.kill(lost)
        return followers

    context.elections = [
        run_election(context, seed, fail) for seed in range(30)
    ]


@when(
    'only the first follower has an entry,'
    ' and loses the leader {ahead_s:g} s earlier'
)
def only_first(context, ahead_s):
    def fail(world, lost, followers):
        send = world.send

        def lossy(name, effect):
            is_behind = effect.to == followers[1]
            if not (is_behind and getattr(effect.message, 'entries', None)):
                send(name, effect)

        world.send = lossy
        assert world.propose(lost, b'last')
        world.run(0.05)
        world.cut.add((lost, followers[0]))
        world.run(ahead_s)
        world.kill(lost)
        world.send = send
        return followers

    context.elections = [
        run_election(context, seed, fail) for seed in range(30)
    ]


@when('two followers start an election at the same moment after it is lost')
def start_elections(context):
    def fail(world, lost, followers):
        world.kill(lost)
        world.run(0.5)
        for name in followers:
            world.nodes[name].election_at_s = world.now_s + 0.3
        for name in followers[:2]:
            world.nodes[name].election_at_s = 0.0
            world.step(name, consensus.Tick())
        return followers

    context.elections = [
        run_election(context, seed, fail) for seed in range(30)
    ]


@then('a leader is elected within {limit_s:g} s, in 30 of 30 runs')
def check_elected(context, limit_s):
    assert max(took_s for took_s, _, _ in context.elections) < limit_s, max(
        context.elections
    )


# Voter placement.


def leader_node(config, responsive, behind=()):
    """Return a leader's state in which only ``responsive`` have replied."""
    log = entries.Log(1, 1, config)
    timing = consensus.Timing(0.1, 0.5)
    rng = random.Random(1)
    leader = next(iter(config.voters))
    node = consensus.make_node(leader, 1, '', log, timing, rng, 0.0)
    replication.become_leader(node, 0.0)
    for key, peer in node.peers.items():
        if key in responsive:
            peer.acked_sent_s = 100.0
            peer.match_index = -1000 if key in behind else node.log.last_index
    return node


def next_set(config, responsive, max_voters, halls, behind=()):
    node = leader_node(config, responsive, behind)
    return formation.next_config(node, max_voters, halls, 100.0)


def parse_halls(text):
    """Return {name: hall} for a text such as 'north 3, south 1'."""
    parts = [part.split() for part in text.split(', ')]
    return {
        f'{hall}{n + 1}': hall
        for hall, count in parts
        for n in range(int(count))
    }


def make_config(voters, learners=''):
    voters = parse_halls(voters)
    others = parse_halls(learners) if learners else {}
    others = {f'{name}-new': hall for name, hall in others.items()}
    return entries.Config(
        dict.fromkeys(voters, 'a'), dict.fromkeys(others, 'a'),
        {**voters, **others},
    )  # fmt: skip


def settle(config, responsive, max_voters, halls):
    """Return the sets of controllers up to the stable one."""
    sets = [config]
    while len(sets) < 50:
        after = next_set(sets[-1], responsive, max_voters, halls)
        if after is None:
            return sets
        sets.append(after)
    raise AssertionError('no stable set of controllers')


@given('voters in {voters}, and learners in {learners}')
def make_set(context, voters, learners):
    learners = '' if learners == 'no hall' else learners
    context.controllers = make_config(voters, learners)


@when('{unresponsive} are unresponsive and {halls:d} halls may be lost')
def lose_voters(context, unresponsive, halls, max_voters=None):
    config = context.controllers
    responsive = set(config.voters) | set(config.learners)
    if unresponsive != 'none':
        responsive -= set(unresponsive.split(' and '))
    max_voters = max_voters or max(3, len(config.voters) | 1)
    context.sets = settle(config, responsive, max_voters, halls)
    context.responsive = responsive


@when(
    '{unresponsive} are unresponsive and {halls:d} halls may be lost,'
    ' with {max_voters:d} voters wanted'
)
def lose_voters_of(context, unresponsive, halls, max_voters):
    lose_voters(context, unresponsive, halls, max_voters)


@then('the unresponsive ones are no voters')
def check_unresponsive(context):
    assert context.responsive.issuperset(context.sets[-1].voters)


@then('the voters are placed in {expected} by {changes:d} changes')
def check_placement(context, expected, changes):
    assert len(context.sets) == changes + 1, context.sets
    counts = {}
    for hall in parse_halls(expected).values():
        counts[hall] = counts.get(hall, 0) + 1
    assert (
        voterplacement.voters_per_hall(context.sets[-1]) == counts
    ), context.sets


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
            responsive = {
                key for key in config.addresses() if rng.random() < 0.7
            } | {leader}
            before = voterplacement.excess(config, 1)
            config = settle(config, responsive, 5, 1)[-1]
            if len(config.voters) == 5:
                context.ends.append((before, voterplacement.excess(config, 1)))
            # Removed boxes join again; a box with a lost disk has a new id.
            for hall in ('north', 'south', 'west'):
                key = f'{hall}{rng.random()}'
                held = [k for k, h in config.halls.items() if h == hall]
                if len(held) < 3:
                    config = config.with_controller(key, 'a', hall)


@then('no change gives one hall a majority that it did not have')
def check_majorities(context):
    assert len(context.ends) > 100
    assert all(after <= before for before, after in context.ends)


@given('a learner in {hall} that responds, but has not caught up yet')
def catching_up(context, hall):
    key = f'{hall}-behind'
    context.behind = key
    context.controllers = context.controllers.with_controller(key, 'a', hall)


@then('no voter is added until it has caught up, and then one from {hall}')
def check_waits(context, hall):
    config = context.controllers
    responsive = set(config.addresses())
    assert next_set(config, responsive, 5, 1, (context.behind,)) is None
    after = next_set(config, responsive, 5, 1)
    added = set(after.voters) - set(config.voters)
    assert {after.halls[key] for key in added} == {hall}, added


@when('boxes are replaced without tolerated hall losses')
def replace_anywhere(context):
    config = make_config('north 3', 'south 1, north 2')
    responsive = set(config.addresses()) - {'north2'}
    context.sets = settle(config, responsive, 3, 0)


@then('the first learner is promoted and then the unresponsive voter removed')
def check_replaced_anywhere(context):
    counts = [len(one.voters) for one in context.sets]
    assert counts == [3, 4, 3], counts
    before, after = context.sets[0].voters, context.sets[-1].voters
    assert set(after) - set(before) == {'north1-new'}, after


# Losses while writes continue.

#: When the lost boxes return, and the duration of the run after that.
RETURN_S, AFTER_S = 6.0, 6.0


class Observations:
    """Writes and the state of the boxes in a run with a loss."""

    def __init__(self, world):
        self.world = world
        self.version = self.acked = 0
        self.ack_s = []  # duration of each write
        self.unleased = set()  # reachable boxes that held no lease
        #: Of each lost box, when it was last listed, counted from the loss.
        self.listed_s = {}
        self.lost = []
        self.read = {}

    async def write_for(self, seconds):
        """Write at the reachable boxes, one after the other."""
        until_s = trio.current_time() + seconds
        world = self.world
        while trio.current_time() < until_s:
            self.version += 1
            boxes = [n for n in world.processes if world.is_reachable(n)]
            world.rng.shuffle(boxes)
            took_s = await world.write_until_acked(3 * boxes, self.version)
            self.ack_s.append(took_s)
            self.acked = self.version
            await trio.sleep(0.2)

    async def watch(self, lost_s):
        """Record lapsed leases, and when lost boxes are still listed."""
        world = self.world
        while True:
            now_s = trio.current_time()
            for name in world.processes:
                if name in self.lost or not world.is_reachable(name):
                    continue
                made = world.entries[name]
                if not made.lease.is_valid(now_s):
                    self.unleased.add(name)
                listed = {a.partition(':')[0] for a in made.addresses()}
                for other in listed.difference(world.processes):
                    self.listed_s[other] = now_s - lost_s
            await trio.sleep(0.02)

    async def read_all(self):
        for name, made in self.world.entries.items():
            reply = await made.leader.call(messages.ReadRoutes(), 3.0)
            self.read[name] = reply.version


def lost_boxes(world, which):
    """Return the boxes that are lost."""
    leader = world.leader()
    others = [name for name in world.voters() if name != leader]
    halls = sorted({hall for hall, _ in world.halls.values()})
    leader_hall = world.halls[leader][0]
    if which == 'the hall with the leader':
        return world.in_hall(leader_hall)
    if which == 'a hall without the leader':
        return world.in_hall(
            next(hall for hall in halls if hall != leader_hall)
        )
    if which == 'the leader and another':
        return [
            leader,
            next(n for n in others if world.halls[n][0] != leader_hall),
        ]
    assert which == 'two followers', which
    return others[:2]


@when('{which} is {fault}, while writes continue')
@when('{which} are {fault}, while writes continue')
def lose_some(context, which, fault):
    async def script(world):
        observed = Observations(world)
        await observed.write_for(1)
        lost = observed.lost = lost_boxes(world, which)
        hall = world.halls[lost[0]][0]
        if fault == 'cut off':
            world.cut_halls.add(hall)
        else:
            for name in lost:
                world.kill(name, wipe='wiped' in fault)
        world.nursery.start_soon(observed.watch, trio.current_time())
        await observed.write_for(1 if 'wiped' in fault else RETURN_S)
        world.cut_halls.clear()
        for name in lost:
            if name not in world.processes:
                world.start(name)
        await observed.write_for(AFTER_S)
        await world.until(world.is_complete)
        await observed.read_all()
        observed.config = world.config()
        return observed

    context.observed = play(context, script)


@then('each write is acknowledged within {limit_s:g} s')
def check_writes(context, limit_s):
    took = context.observed.ack_s
    assert len(took) > 20 and max(took) < limit_s, max(took)


@then('no reachable box loses its lease')
def check_leases(context):
    assert not context.observed.unleased, context.observed.unleased


@then('each box reads what was acknowledged')
def check_read(context):
    assert len(context.observed.read) == len(HALLS)
    assert min(context.observed.read.values()) >= context.observed.acked


@then('{count:d} voters are placed so that any hall can be lost')
def check_voters(context, count):
    config = context.observed.config
    assert len(config.voters) == count, config
    assert not voterplacement.excess(
        config, 1
    ), voterplacement.voters_per_hall(config)


@then('no reachable box lists a lost one {limit_s:g} s after the loss')
def check_listed(context, limit_s):
    found = context.observed.listed_s
    assert all(listed_s < limit_s for listed_s in found.values()), found


@when('the hall with the first seed is lost, and a box elsewhere restarts')
def restart_elsewhere(context):
    async def script(world):
        for name in world.in_hall('north'):
            world.kill(name)
        world.kill('south3')
        world.start('south3')
        lease = world.entries['south3'].lease
        context.took_s = [
            await world.until(lambda: lease.is_valid(trio.current_time()))
        ]

    play(context, script)


@then('it holds a lease within {limit_s:g} s')
def check_lease(context, limit_s):
    assert context.took_s[0] < limit_s, context.took_s


@when('the hall with the leader, of {count:d} boxes, is lost')
def lose_large(context, count):
    added = {f'north{n}': ('north', False) for n in range(4, count + 1)}

    async def script(world):
        world.sync_s = 0.03
        observed = Observations(world)
        assert world.halls[world.leader()][0] == 'north'
        observed.lost = world.in_hall('north')
        assert len(observed.lost) == count
        for name in observed.lost:
            world.kill(name)
        world.nursery.start_soon(observed.watch, trio.current_time())
        await trio.sleep(6)
        return observed

    context.observed = play(context, script, {**HALLS, **added})


@when('a hall is cut off, and {count:d} orders to ranks are sent by others')
def send_rank_orders(context, count):
    async def script(world):
        leader = world.leader()
        hall = next(h for h, _ in HALLS.values() if h != HALLS[leader][0])
        world.cut_halls.add(hall)
        await trio.sleep(1.5)
        controller = world.controllers[leader]
        context.senders = []
        controller.app.send = lambda route, order: context.senders.append(
            route.decode().partition('.')[0]
        )
        for number in range(count):
            order = ranks.RankOrder(ranks.HOLD, 1, 2, 3, [])
            order = order._replace(version=number)
            controller.send_remote_order(messages.RemoteOrder('r', order))
        context.cut = world.in_hall(hall)
        # The leases of these boxes are still valid.
        assert set(context.cut) <= set(controller.leases.holders)

    play(context, script)


@then('no box in it sends one, and each other box without a disk sends some')
def check_senders(context):
    diskless = {name for name, (_, has_disk) in HALLS.items() if not has_disk}
    assert set(context.senders) == diskless.difference(
        context.cut
    ), context.senders


@given('{count:d} boxes with a disk in north, one in south and one in west')
def uneven_halls(context, count):
    context.halls = {f'north{n + 1}': ('north', True) for n in range(count)}
    context.halls |= {'south2': ('south', True), 'west3': ('west', True)}
    context.bounds = {'controller_losses': 2, 'hall_losses': 1}


@when('they form a cluster, and another one in south starts later')
def form_uneven(context):
    lines = []
    halls = {**context.halls, 'south4': ('south', True)}

    def log(text, **fields):
        if text == 'voters by hall':
            lines.append(fields)

    def gauges(world):
        app = world.processes[world.leader()]
        names = ['voters.north', 'voters.south', 'hall_loss_stops']
        return [app.metrics.counts[f'controllers.{name}'] for name in names]

    async def script(world):
        await trio.sleep(3)
        context.before = gauges(world)
        context.lines_before = list(lines)
        world.start('south4')
        await world.until(lambda: len(world.config().halls) == 6)
        await world.until(world.is_complete)
        await trio.sleep(3)
        context.after = gauges(world)

    real = formation.logger
    formation.logger = types.SimpleNamespace(
        info=log, warning=log, debug=lambda *_, **__: None
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


@then('a gauge and one log line report that the loss of north stops the log')
def check_reported(context):
    assert context.before == [3, 1, 1], context.before
    last = context.lines_before[-1]
    assert last['hall_loss_stops'] and last['halls']['north'] == 3, last
    assert context.lines_before.count(last) == 1, context.lines_before


@then('later that it does not, with 2 voters in north and 2 in south')
def check_reported_later(context):
    assert context.after == [2, 2, 0], context.after
    assert not context.lines[-1]['hall_loss_stops'], context.lines[-1]


# Records written without halls.


@then('a set of controllers without halls is read, and written unchanged')
def check_stored(context):
    import msgspec

    stored = msgspec.msgpack.encode(({'a': 'x'}, {'b': 'y'}))
    config = entries.unpack_config(stored)
    assert config == entries.Config({'a': 'x'}, {'b': 'y'}, {})
    assert config.pack() == stored
    joined = config.with_controller('a', 'x', 'north')
    assert entries.unpack_config(joined.pack()).halls == {'a': 'north'}


@when('a leader has read a log without halls')
def read_old_log(context):
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
        return voterplacement.voters_per_hall(world.config())

    context.halls = play(context, script)


@then('it soon knows the halls of all, and voters are placed in 3 of them')
def check_known(context):
    assert sorted(context.halls) == ['north', 'south', 'west'], context.halls
