# SPDX-License-Identifier: Apache-2.0

"""Steps for the consensus core on a simulated network."""

import tempfile
import types

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import Phase, settings, strategies
import trio

from features.worlds.consensus import holds_lease, World
from mountridge.consensus import consensus, entries, replicas, storage
from mountridge import errors, messages, metrics

MOMENTS = {
    'before the entry is sent': 'before',
    'after the entry is sent': 'sent',
    'after a follower has the entry': 'held',
    'after the entry is acknowledged': 'acknowledged',
}


@given('{count:d} controllers')
def make_world(context, count):
    names = [f'c{n + 1}' for n in range(count)]
    context.world = World(names, context.scenario.name)
    context.number = 0


def _propose(context, name=None):
    world = context.world
    name = name or world.leader()
    context.number += 1
    payload = b'%d' % context.number
    return name is not None and world.propose(name, payload)


@when('commands are committed')
def commit_some(context):
    world = context.world
    world.wait_leader()
    for _ in range(10):
        assert _propose(context)
        world.run(0.02)
    assert world.run_until(lambda: len(world.acked) == 10)


def _run_to_moment(context, leader, moment):
    """Propose a command and run until the moment of the fault."""
    world = context.world
    if moment == 'before':
        world.isolate(leader)
        _propose(context, leader)
        world.run(0.0005)
        world.cut.clear()
        return
    before = len(world.acked)
    _propose(context, leader)
    if moment == 'sent':
        return
    if moment == 'held':
        world.run(0.006)
        return
    assert world.run_until(lambda: len(world.acked) > before)


def _inject_fault(world, leader, fault):
    if fault == 'a crash':
        world.kill(leader)
    elif fault == 'a restart':
        world.kill(leader)
        world.start(leader)
    elif fault == 'a pause':
        world.paused.add(leader)
    elif fault == 'a partition':
        world.isolate(leader)
    elif fault == 'lost outgoing links':
        world.isolate(leader, both=False)
    elif fault == 'lost incoming links':
        others = [n for n in world.disks if n != leader]
        world.cut.update((other, leader) for other in others)
    elif fault == 'message loss':
        world.drop = 0.2
    elif fault == 'duplicated messages':
        world.duplicate = 0.5
    elif fault == 'reordered messages':
        world.reorder = 0.5
    elif fault == 'a slow disk':
        world.sync_s = 0.08
    else:
        raise AssertionError(f'unknown fault {fault}')


@when('the leader suffers {fault} {moment}')
def inject_fault(context, fault, moment):
    for text, key in MOMENTS.items():
        if f'{fault} {moment}'.endswith(text):
            fault = f'{fault} {moment}'[: -len(text) - 1]
            break
    else:
        raise AssertionError(f'unknown moment {moment}')
    world = context.world
    context.old_leader = world.wait_leader()
    _run_to_moment(context, context.old_leader, key)
    _inject_fault(world, context.old_leader, fault)


@when('commands are proposed for {seconds:d} s')
def propose_for(context, seconds):
    world = context.world
    before = len(world.acked)
    for _ in range(seconds * 20):
        _propose(context)
        if context.number % 10 == 0 and world.leader():
            world.compact(world.leader())
        world.run(0.05)
        world.check()
    assert (
        len(world.acked) > before + 10
    ), 'the other controllers commit nothing'


@when('the faults end')
def end_faults(context):
    world = context.world
    world.paused.clear()
    world.cut.clear()
    world.drop = world.duplicate = world.reorder = 0.0
    world.sync_s = 0.001
    for name in world.disks:
        if name not in world.nodes and name in world.config.voters:
            world.start(name)
    world.run(3)


@then('all acknowledged commands are applied once, on all controllers')
def check_all(context):
    world = context.world
    world.wait_leader()
    _propose(context)
    world.run(3)
    world.check(settled=True)
    lengths = {len(world.applied[name]) for name in world.nodes}
    assert len(lengths) == 1, lengths
    assert world.acked


@then('a read confirmed by a quorum returns them')
def check_read(context):
    world = context.world
    leader = world.wait_leader()
    world.read(leader)
    assert world.run_until(lambda: world.read_results)
    world.check()


@when('the first leader is elected')
def first_leader(context):
    context.old_leader = context.world.wait_leader()


@then('it still leads in the same term 5 s later')
def leads_still(context):
    world = context.world
    term = world.nodes[context.old_leader].term
    world.run(5)
    assert world.leader() == context.old_leader
    assert world.nodes[context.old_leader].term == term


@when('the leader is partitioned while clients propose commands to it')
def partition_leader(context):
    world = context.world
    context.old_leader = world.wait_leader()
    world.isolate(context.old_leader)
    context.cut_s = world.now_s
    context.before = list(world.acked)
    context.own = []
    for _ in range(150):
        if _propose(context, context.old_leader):
            context.own.append(b'%d' % context.number)
        other = world.leader()
        if other and other != context.old_leader:
            _propose(context, other)
        world.run(0.02)
        holders = [
            name
            for name, node in world.nodes.items()
            if holds_lease(node, world.now_s)
        ]
        context.lease_holders = getattr(context, 'lease_holders', []) + [
            holders
        ]


@then("two controllers never hold the leader's lease at the same time")
def at_most_one_lease(context):
    assert all(len(holders) <= 1 for holders in context.lease_holders)
    seen = {name for holders in context.lease_holders for name in holders}
    assert len(seen) == 2, seen


@then('the partitioned leader acknowledges nothing')
def no_acks(context):
    world = context.world
    assert context.own, 'no command was proposed to it'
    assert not set(context.own) & set(world.acked)
    assert len(world.acked) > len(context.before)
    world.check()


@when('the leader is paused until another one leads, and resumes')
def pause_leader(context):
    world = context.world
    context.old_leader = world.wait_leader()
    world.paused.add(context.old_leader)
    assert world.run_until(
        lambda: world.leader() not in (None, context.old_leader)
    )


@then('it holds no lease before it receives a message')
def no_lease_on_resume(context):
    node = context.world.nodes[context.old_leader]
    assert node.role == consensus.LEADER
    assert not holds_lease(node, context.world.now_s)


def _request_vote(world, follower, term, index, last_term):
    """Return whether a follower votes for a candidate with such a log."""
    message = consensus.RequestVote(term, False, index, last_term, False)
    effects = consensus.step(
        world.nodes[follower],
        consensus.Received('cx', message),
        world.now_s,
    )
    return any(
        isinstance(e, consensus.Send) and e.message.granted for e in effects
    )


@then('a follower does not vote for {candidate}')
def no_vote(context, candidate):
    world = context.world
    leader = world.wait_leader()
    follower = next(n for n in world.nodes if n != leader)
    node = world.nodes[follower]
    last = (node.log.last_index, node.log.last_term)
    term = node.term + 1
    if candidate.startswith('a candidate just'):
        world.kill(leader)
        world.kill(follower)
        world.run(1)
        world.start(follower)
        assert not _request_vote(world, follower, term, *last)
        return
    if candidate.startswith('a candidate while'):
        assert not _request_vote(world, follower, term, *last)
        world.isolate(follower)
        world.run(0.6)
        assert _request_vote(
            world, follower, term, *last
        ), 'no vote without a leader either'
        return
    world.isolate(follower)
    world.run(0.6)
    if candidate.startswith('a candidate with'):
        assert not _request_vote(world, follower, term, last[0] - 1, last[1])
        return
    assert _request_vote(world, follower, term, *last)
    node.voted_for = 'cy'
    assert not _request_vote(world, follower, term, *last)


@when('the leader is partitioned and a read is requested from it')
def read_from_partitioned(context):
    world = context.world
    context.old_leader = world.wait_leader()
    world.isolate(context.old_leader)
    world.run(0.02)
    world.read(context.old_leader)


@then('the read is never confirmed')
def never_confirmed(context):
    context.world.run(2)
    assert not context.world.read_results


@then('an entry of an earlier term on a quorum is not yet committed')
def earlier_term(context):
    world = context.world
    leader = world.wait_leader()
    world.run(0.2)
    node = world.nodes[leader]
    commit = node.commit_index
    old = entries.Entry(
        node.term, node.log.last_index + 1, entries.COMMAND, b'old'
    )
    node.log.append([old])
    # The leader of a later term has that entry in its log.
    node.term += 1
    node.synced_index = old.index
    for peer in node.peers.values():
        peer.match_index = old.index
    effects = consensus.step(
        node, consensus.Synced(old.index, old.term), world.now_s
    )
    assert node.commit_index == commit and not effects, effects


@when('all disks become slow and a command is proposed')
def slow_disks(context):
    world = context.world
    world.run(0.5)
    context.before = len(world.acked)
    world.sync_s = 0.2
    _propose(context)


@then('it is not acknowledged before a quorum has synced it')
def synced_first(context):
    world = context.world
    payload = b'%d' % context.number

    def synced():
        return sum(
            any(e.payload == payload for e in disk.entries)
            for disk in world.disks.values()
        )

    while payload not in world.acked:
        assert world.now_s < 60
        committed = {
            name
            for name, node in world.nodes.items()
            if node.commit_index >= node.log.last_index
            and node.log.entries[-1].payload == payload
        }
        assert not committed or synced() >= 2, (committed, synced())
        world.run(0.005)
    assert synced() >= 2


@when("a follower is lost and the leader's disk becomes slow")
def slow_leader(context):
    world = context.world
    context.old_leader = world.wait_leader()
    world.kill(next(n for n in world.nodes if n != context.old_leader))
    world.slow_disks[context.old_leader] = 0.3


@then('a command is not acknowledged before the leader has synced it')
def leader_synced(context):
    world = context.world
    _propose(context)
    payload = b'%d' % context.number
    start_s = world.now_s
    node = world.nodes[context.old_leader]
    world.run(0.25)
    assert node.commit_index < node.log.last_index, 'committed before its sync'
    assert world.run_until(lambda: payload in world.acked)
    assert world.now_s - start_s >= 0.3, world.now_s - start_s
    assert node.commit_index == node.log.last_index


@when('a follower is down for {count:d} changes and snapshots')
def follower_down(context, count):
    world = context.world
    leader = world.wait_leader()
    lost = next(n for n in world.nodes if n != leader)
    world.kill(lost)
    for number in range(count):
        _propose(context)
        world.run(0.01)
        if number % 50 == 49:
            world.compact(world.wait_leader())
    world.start(lost)
    world.run(3)
    assert world.nodes[lost].snapshot.index > 100, 'no snapshot was sent'


@when('a follower loses its disk and is replaced by "{new_name}"')
def replace_follower(context, new_name):
    world = context.world
    leader = world.wait_leader()
    lost = next(n for n in world.nodes if n != leader)
    world.replace_box(lost, new_name)
    voters = list(world.config.voters)
    world.change_config(voters, [new_name])
    world.run(2)
    voters.remove(lost)
    world.change_config(voters, [new_name])
    voters.append(new_name)
    world.change_config(voters)
    world.config = entries.Config({v: 'a' for v in voters}, {})
    del world.disks[lost]
    context.new_name = new_name


@when('another follower loses its disk immediately')
def lose_another(context):
    world = context.world
    leader = world.wait_leader()
    lost = next(n for n in world.nodes if n not in (leader, context.new_name))
    world.kill(lost)
    del world.disks[lost]


@when('a follower restarts with an empty disk and the leader is lost')
def restart_with_empty_disk(context):
    world = context.world
    leader = world.wait_leader()
    restarted, other = [n for n in world.nodes if n != leader]
    world.replace_box(restarted, restarted + '.new')
    world.kill(leader)
    assert other in world.nodes


@then('no leader is elected in 5 s')
def no_leader(context):
    world = context.world
    term = max(world.leaders)
    world.run(5)
    assert max(world.leaders) == term, world.leaders


@then('"{change}" is refused because "{reason}"')
def refused(context, change, reason):
    world = context.world
    leader = world.wait_leader()
    voters = list(world.config.voters)
    if change == 'two voters at once':
        wanted = voters + ['c8', 'c9']
    elif change.startswith('a voter'):
        wanted = voters + ['c9']
    elif change.startswith('a learner far'):
        world.add('c9')
        for _ in range(150):
            _propose(context)
            world.run(0.005)
        world.change_config(voters, ['c9'])
        peer = world.nodes[leader].peers['c9']
        # It has replied recently, but its log is far behind.
        peer.acked_sent_s, peer.match_index = world.now_s, 3
        wanted = voters + ['c9']
    elif change.startswith('a learner'):
        world.change_config(voters, ['c9'])
        wanted = voters + ['c9']
    else:
        config = entries.Config({v: 'a' for v in voters}, {'c9': 'a'})
        world.step(leader, consensus.ChangeConfig(config))
        wanted = voters[:-1]
    config = entries.Config({v: 'a' for v in wanted}, {})
    try:
        world.step(leader, consensus.ChangeConfig(config))
    except errors.RefusedChange as problem:
        assert reason in str(problem), problem
    else:
        raise AssertionError('it was not refused')


@when('the leader transfers its leadership')
def transfer_leadership(context):
    world = context.world
    context.old_leader = world.wait_leader()
    context.start_s = world.now_s
    world.step(context.old_leader, consensus.TransferLeadership(''))
    assert not holds_lease(world.nodes[context.old_leader], world.now_s)


@then('another one leads within {seconds:f} s')
def other_leads(context, seconds):
    world = context.world
    assert world.run_until(
        lambda: world.leader() not in (None, context.old_leader), seconds
    )


@then('the former leader holds no lease from the start of the transfer')
def no_lease(context):
    world = context.world
    world.run(1)
    assert not holds_lease(world.nodes[context.old_leader], world.now_s)


ACTIONS = (
    'propose', 'propose', 'propose', 'read', 'kill', 'start', 'pause',
    'resume', 'isolate', 'isolate one way', 'heal', 'drop', 'reorder',
    'end message faults', 'compact', 'transfer leadership', 'wait',
)  # fmt: skip


def _run_action(world, action, pick, number):
    names = sorted(world.disks)
    name = names[pick % len(names)]
    leader = world.leader()
    if action == 'propose' and leader:
        world.propose(leader, b'%d' % number)
    elif action == 'read' and leader:
        world.read(leader)
    elif action == 'kill':
        world.kill(name)
    elif action == 'start' and name not in world.nodes:
        world.start(name)
    elif action == 'pause' and name in world.nodes:
        world.paused.add(name)
    elif action == 'resume':
        world.paused.clear()
    elif action == 'isolate':
        world.isolate(name)
    elif action == 'isolate one way':
        world.isolate(name, both=False)
    elif action == 'heal':
        world.cut.clear()
    elif action == 'drop':
        world.drop, world.duplicate = 0.2, 0.2
    elif action == 'reorder':
        world.reorder = 0.5
    elif action == 'end message faults':
        world.drop = world.duplicate = world.reorder = 0.0
    elif action == 'compact' and leader:
        world.compact(leader, keep=pick)
    elif action == 'transfer leadership' and leader:
        try:
            world.step(leader, consensus.TransferLeadership(''))
        except errors.MountridgeError:
            pass


def run_schedule(count, seed, schedule):
    """Run a schedule, end all faults, and check that commands commit."""
    world = World([f'c{n + 1}' for n in range(count)], seed)
    for number, (action, pick, wait_s) in enumerate(schedule):
        _run_action(world, action, pick, number)
        world.run(wait_s)
        world.check()
    _run_action(world, 'end message faults', 0, 0)
    world.cut.clear()
    world.paused.clear()
    for name in world.disks:
        if name not in world.nodes:
            world.start(name)
    before = len(world.acked)
    for number in range(100):
        world.propose(world.wait_leader(20), b'last %d' % number)
        world.run(0.1)
        if len(world.acked) > before:
            break
    assert len(world.acked) > before, 'stuck'
    world.run(2)
    world.check(settled=True)


SCHEDULES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(ACTIONS),
        strategies.integers(0, 9),
        strategies.sampled_from([0.0, 0.003, 0.02, 0.1, 0.6]),
    ),
    min_size=30,
    max_size=80,
)


@given('{count:d} random schedules of faults over 3 and 5 controllers')
def random_schedules(context, count):
    context.runs = count


@then('no acknowledged command is lost, duplicated or reordered')
def check_schedules(context):
    @settings(
        max_examples=context.runs,
        derandomize=True,
        print_blob=False,
        phases=[Phase.explicit, Phase.generate],
        deadline=None,
        database=None,
    )
    @for_all(
        strategies.sampled_from([3, 5]),
        strategies.integers(0, 10**6),
        SCHEDULES,
    )
    def check(count, seed, schedule):
        run_schedule(count, seed, schedule)

    check()


@when('all controllers are killed and restart over {span_s:f} s')
def restart_all(context, span_s):
    world = context.world
    names = list(world.nodes)
    for name in names:
        world.kill(name)
    world.run(0.5)
    for name in names:
        world.start(name)
        world.run(span_s / len(names))


@then('one leads within {limit_s:f} s of the last start')
def leads_soon(context, limit_s):
    world = context.world
    assert world.run_until(world.leader, limit_s), 'no leader'
    world.wait_leader()


@when('the leader is partitioned, and one of its followers restarts')
def partition_and_restart(context):
    world = context.world
    context.old_leader = world.wait_leader()
    voter = next(n for n in world.nodes if n != context.old_leader)
    world.isolate(context.old_leader)
    world.kill(voter)
    world.start(voter)
    context.lease_holders = []
    for _ in range(300):
        world.run(0.005)
        holders = [
            name
            for name, node in world.nodes.items()
            if holds_lease(node, world.now_s)
        ]
        context.lease_holders.append(holders)


@when('all controllers are killed and one restarts')
def restart_one(context):
    world = context.world
    context.old_leader = world.wait_leader()
    context.voter, context.other = sorted(
        name for name in world.nodes if name != context.old_leader
    )
    for name in list(world.nodes):
        world.kill(name)
    world.start(context.voter)


def _deny_leadership(world, voter, sender, start_id):
    event = consensus.Received(sender, consensus.NotLeading(start_id))
    consensus.step(world.nodes[voter], event, world.now_s)


def _grants_vote(world, voter):
    node = world.nodes[voter]
    last = (node.log.last_index, node.log.last_term)
    return _request_vote(world, voter, node.term + 1, *last)


def _start_again(context, term=0):
    """Restart the voter with ``term`` added on its disk; its start id."""
    world = context.world
    world.kill(context.voter)
    world.disks[context.voter].term += term
    world.start(context.voter)
    return world.nodes[context.voter].start_id


@then('it grants no vote before the last leader has denied that it leads')
def no_vote_before_leader(context):
    world, voter = context.world, context.voter
    start_id = world.nodes[voter].start_id
    assert not _grants_vote(world, voter)
    _deny_leadership(world, voter, context.other, start_id)
    assert not _grants_vote(world, voter)
    _deny_leadership(world, voter, context.old_leader, start_id)
    assert _grants_vote(world, voter)


@then(
    'it grants no vote before the last leader has denied it to this start,'
    ' not to an earlier one'
)
def no_vote_for_earlier(context):
    world, voter = context.world, context.voter
    earlier_id = world.nodes[voter].start_id
    assert _start_again(context) != earlier_id
    _deny_leadership(world, voter, context.old_leader, earlier_id)
    assert not _grants_vote(world, voter)


@then(
    'it grants no vote before the election timeout, if its log ends in an'
    ' earlier term'
)
def no_vote_in_later_term(context):
    world, voter = context.world, context.voter
    start_id = _start_again(context, term=1)
    for name in (context.old_leader, context.other):
        _deny_leadership(world, voter, name, start_id)
    assert not _grants_vote(world, voter)
    world.run(0.6)
    assert _grants_vote(world, voter)


@then(
    "it grants no vote before all voters have denied it, if the leader's"
    ' entry is compacted'
)
def no_vote_after_snapshot(context):
    world, voter = context.world, context.voter
    disk = world.disks[voter]
    last = disk.entries[-1]
    disk.snapshot = consensus.Snapshot(
        last.index, last.term, world.config, disk.snapshot.data
    )
    disk.entries = []
    start_id = _start_again(context)
    _deny_leadership(world, voter, context.old_leader, start_id)
    assert not _grants_vote(world, voter)
    _deny_leadership(world, voter, context.other, start_id)
    assert _grants_vote(world, voter)


@then('the leader does not reply to a restarted controller')
def leader_does_not_reply(context):
    world = context.world
    event = consensus.Received('c9', consensus.LeaderQuery(7))
    leader = world.wait_leader()
    assert not consensus.step(world.nodes[leader], event, world.now_s)
    follower = next(n for n in world.nodes if n != leader)
    replies = consensus.step(world.nodes[follower], event, world.now_s)
    assert [effect.message for effect in replies] == [consensus.NotLeading(7)]


@given('a replica on box "{name}" with a new identity')
def fresh_replica(context, name):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    storage.initialize(folder.name, f'{name}.new', entries.Config({}, {}))
    context.sent = []

    def connect(address, peer):
        def send(message):
            context.sent.append(message)
            return True

        return types.SimpleNamespace(send=send)

    app = types.SimpleNamespace(
        name=name,
        incarnation='1',
        settings={
            'controllers': {},
            'bind': 'tcp://10.0.0.1:1',
            'controller': {
                'data': folder.name,
                'heartbeat_s': 0.1,
                'election_s': 0.5,
            },
        },
        metrics=metrics.Metrics(None),
        now_s=lambda: 0.0,
        connect=connect,
    )
    context.replica = replicas.Replica(app, None, lambda role: None)


@when('a restarted controller queries "{target}" at its address')
def query_former(context, target):
    body = replicas.pack_message(consensus.LeaderQuery(7))
    message = messages.Raft('c3.x', target, body, 'tcp://10.0.0.3:1')
    peer = types.SimpleNamespace(name='')
    context.replica.on_raft(peer, message)


@given('it waits for the entries 5, 9 and 12 that it proposed')
def wait_for_entries(context):
    context.answers = {}
    for index in (5, 9, 12):
        sender, context.answers[index] = trio.open_memory_channel(1)
        context.replica._pending_commands[index] = (1, sender)


@when('it gets a snapshot up to entry {index:d} from the leader')
def get_snapshot(context, index):
    replica = context.replica
    replica.machine = types.SimpleNamespace(restore=lambda data: None)
    config = entries.Config({}, {})
    snapshot = consensus.Snapshot(index, 2, config, b'state')
    replica._restore_snapshot(consensus.SaveSnapshot(snapshot, True))


@then('those who proposed 5 and 9 are told that it does not lead')
def check_overtaken(context):
    for index in (5, 9):
        answer = context.answers[index].receive_nowait()
        assert isinstance(answer, errors.NotLeader), answer


@then('the one who proposed 12 still waits')
def check_waiting(context):
    statistics = context.answers[12].statistics()
    assert not statistics.current_buffer_used
    assert statistics.open_send_channels == 1
    assert list(context.replica._pending_commands) == [12]


@then('the reply is that it is not the leader')
def former_identity_replied(context):
    (message,) = context.sent
    assert (message.sender, message.to) == ('c1.old', 'c3.x'), message
    reply = replicas.unpack_message(message.body)
    assert reply == consensus.NotLeading(7), reply


@then('the reply is none')
def no_reply(context):
    assert not context.sent
