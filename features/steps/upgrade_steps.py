# SPDX-License-Identifier: Apache-2.0

"""Steps on builds side by side: formats, later builds, identification."""

import json
import pathlib
import tempfile
import types
import typing

from behave import given, then, when
import msgspec
import trio
import zmq

from features.worlds import core
from mountridge import builds, errors, messages, records
from mountridge.consensus import entries, replicas
from mountridge.documents import instances
from mountridge.state import commands, statemachine, views
from standins import cluster
from tools import formats

SAMPLES = pathlib.Path('samples/formats')
#: What a later build adds at the end of a record.
LATER = 'later'
#: A command that only a later build knows.
LATER_COMMAND = msgspec.msgpack.encode((len(commands._KINDS), [1.0]))
HALLS = {
    f'{hall}{number}': (hall, number < 3)
    for number in (1, 2, 3)
    for hall in ('north', 'south', 'west')
}
SEEDS = ['north1', 'south2', 'west3']


def recorded(level):
    path = SAMPLES / str(level) / 'records.json'
    return json.loads(path.read_text())


def levels():
    return sorted(int(path.name) for path in SAMPLES.iterdir())


# Samples.


@then('each record of this build is encoded as in the sample of its level')
def check_encoded(context):
    expected = recorded(records.FORMAT_LEVEL)['records']
    assert formats.encoded_records() == expected


@then('the fields of all record types are those of that sample')
def check_schema(context):
    assert formats.schema() == recorded(records.FORMAT_LEVEL)['schema']


@then('there is a sample of each level, and none of a later one')
def check_levels(context):
    assert levels() == list(range(1, records.FORMAT_LEVEL + 1)), levels()


@then('the records and the folder in each sample are read')
def check_read(context):
    for level in levels():
        found = recorded(level)['records']
        count = sum(len(family) for family in found.values())
        assert formats.read(SAMPLES / str(level)) == count + 1 > 70, count


@then("the kinds and fields of this build begin with those of each sample")
def check_added_at_end(context):
    schema = formats.schema()
    for level in levels():
        before = recorded(level)
        for name, samples in before['records'].items():
            kinds = [kind.__name__ for kind in formats.FAMILIES[name].kinds]
            names = [kind for kind, _ in samples]
            assert kinds[: len(names)] == names, name
        for name, fields in before['schema'].items():
            assert schema[name][: len(fields)] == fields, name


# Longer records.


def lengthened(kind, value):
    """Return the parts of a value, with one more field in each record."""
    if formats.is_record(kind):
        fields = zip(formats.field_types(kind), value)
        return [*(lengthened(t, each) for (_, t), each in fields), LATER]
    origin, args = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return lengthened(args[0], value)
    if isinstance(value, (list, tuple)):
        items = args if isinstance(value, tuple) else args * len(value)
        return [lengthened(*each) for each in zip(items, value)]
    if isinstance(value, dict) and args:
        return {k: lengthened(args[1], each) for k, each in value.items()}
    return value


def encode_longer(family, kind):
    """Return a sample whose records all have one more field."""
    record = formats.sample(kind)
    body = lengthened(kind, record)
    data = formats.FAMILIES[family].encode(record)
    if family in ('view', 'config'):
        return msgspec.msgpack.encode(body)
    # The record is the last item of the array around it.
    outer = msgspec.msgpack.decode(data)
    return msgspec.msgpack.encode([*outer[:-1], body])


@when('each record of the {family} has one more field, at any depth')
def lengthen(context, family):
    kinds = formats.FAMILIES[family].kinds
    context.family = formats.FAMILIES[family]
    context.longer = {kind: encode_longer(family, kind) for kind in kinds}


def without_later(kind, value):
    """Return a value with the fields of this build alone."""
    if formats.is_record(kind):
        fields = formats.field_types(kind)
        assert set(value[len(fields) :]) <= {LATER}, value
        pairs = zip(fields, value)
        return kind(*(without_later(t, each) for (_, t), each in pairs))
    return value


@then('each of them is read as if it had not')
def check_ignored(context):
    for kind, data in context.longer.items():
        found = context.family.decode(kind, data)
        assert isinstance(found, kind)
        assert without_later(kind, found) == formats.sample(kind), found


@when('a message of a later build has a text in place of a number')
def send_malformed(context):
    fence = ['1', 2, LATER]
    number = messages._KINDS.index(messages.Changes)
    body = [messages.VERSION, number, 0, [fence, 1, 2, [], LATER]]
    context.data = msgspec.msgpack.encode(body)


@then('reading it fails with code {code:d}')
def check_refused(context, code):
    try:
        messages.decode(context.data)
    except errors.BadMessage as problem:
        assert problem.code == code, problem.code
        return
    raise AssertionError('it was read')


# What is kept.


def longer_command(command, field):
    """Return a payload whose field ``field`` has one more field itself."""
    number = commands._KINDS.index(type(command))
    body = [list(each) if each == field else each for each in command]
    body[0].append(LATER)
    return msgspec.msgpack.encode([number, body])


def instance(state):
    return instances.Instance(
        'i-1', 'llm', '10.0.0.9:9000', 'north', 'v1', 4, state, 1000
    )


@given('a state with a runner and a member that a later build registered')
def register_later(context):
    context.machine = statemachine.StateMachine()
    member = formats.sample(views.Member)._replace(state='live')
    for number, command in enumerate(
        (
            commands.SetInstance(instance('ready'), 101.0),
            commands.SetMember(member, 102.0),
        )
    ):
        payload = longer_command(command, command[0])
        context.machine.apply_payload(number + 1, payload)
    context.keys = ['instance/i-1', f'member/{member.name}']


@when('a runner of it changes its state')
def change_later(context):
    hall = commands.SetHall('north', True, 0, 103.0)
    context.machine.apply_payload(3, commands.encode(hall))
    back = commands.SetHall('north', False, 3, 104.0)
    context.machine.apply_payload(4, commands.encode(back))
    assert context.machine.instances['i-1'].is_cold


@then('the view and the snapshot still have the fields of the later build')
def check_kept(context):
    restored = statemachine.StateMachine()
    restored.restore(context.machine.snapshot())
    assert restored.instances['i-1'].is_cold
    for machine in (context.machine, restored):
        for key in context.keys:
            value = machine.view.entries[key].value
            assert msgspec.msgpack.decode(value)[-1] == LATER, value
    assert restored.snapshot() == context.machine.snapshot()


@then(
    'a snapshot of a later build is repeated with its fields after a restart'
)
def check_repeated(context):
    image = msgspec.msgpack.decode(context.machine.snapshot())
    version = [1, 1, 'who', 1.0, LATER]
    image[statemachine._Image._fields.index('versions')] = [version]
    longer = msgspec.msgpack.encode([*image, LATER])
    restored = statemachine.StateMachine()
    restored.restore(longer)
    assert restored.versions[0].who == 'who'
    assert restored.snapshot() == longer


@given('a set of controllers with a field of a later build')
def make_longer_config(context):
    body = [{'a.1': 'x'}, {'b.1': 'y'}, {}, LATER]
    context.controllers = entries.unpack_config(msgspec.msgpack.encode(body))


@when('a controller is added and another one is removed')
def change_config(context):
    added = context.controllers.with_controller('c.1', 'z', 'north')
    context.controllers = added.promote('b.1').without('a.1')


@then('the set still has that field')
def check_config_kept(context):
    expected = entries.Config({'b.1': 'y'}, {'c.1': 'z'}, {'c.1': 'north'})
    found = msgspec.msgpack.decode(context.controllers.pack())
    assert found == [*expected, LATER], found


# One process.


@given('a controller process')
def start_controller(context):
    context.cluster = cluster.Cluster(tempfile.mkdtemp(), keys_off=True)
    context.cluster.add_controllers(['c1'])
    assert context.cluster.leader() == 'c1'


@when('it receives a call of a kind that it does not know')
def call_unknown_kind(context):
    socket = zmq.Context.instance().socket(zmq.DEALER)
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.RCVTIMEO, 5000)
    socket.connect(context.cluster.controllers['c1'])
    number = len(messages._KINDS)
    call = [messages.VERSION, number, 1, [LATER]]
    socket.send(msgspec.msgpack.encode(call))
    context.answer = messages.decode(socket.recv())
    socket.send(messages.encode(messages.Dump(), 2))
    context.next_answer = messages.decode(socket.recv())
    socket.close()


@then('the answer has code {code:d}')
def check_answer(context, code):
    assert context.answer.seq == 1, context.answer
    assert isinstance(context.answer.message, messages.Failure)
    assert context.answer.message.code == code, context.answer


@then('the next call on that connection is answered')
def check_next_answer(context):
    assert context.next_answer.seq == 2, context.next_answer
    assert isinstance(context.next_answer.message, messages.DumpReply)


@then('its log line at the start has the build and the format level')
def check_log_line(context):
    text = (context.cluster.folder / 'c1.log').read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    started = next(line for line in lines if line['message'] == 'started')
    assert started['format_level'] == records.FORMAT_LEVEL, started
    context.build = started['build']


@then('"mountridge version" and "mountridge dump" print the same')
def check_version(context):
    shown = context.cluster.cli('version')
    level = records.FORMAT_LEVEL
    assert shown == f'build {context.build}, format level {level}\n', shown
    dumped = context.cluster.dump('c1')
    assert dumped['build'] == context.build, dumped
    assert dumped['format_level'] == level, dumped


@given('a name that the installation has stored')
def store_name(context):
    context.stamp = pathlib.Path(tempfile.mkdtemp(), 'build')
    context.stamp.write_text('stored-name\n')


@then('it is the name of the build, and no source file is read')
def check_stored_name(context):
    builds.load_stamp(str(context.stamp.with_name('missing')))
    assert builds.build_name() == builds.source_digest()
    builds.source_digest.cache_clear()
    try:
        builds.load_stamp(str(context.stamp))
        assert builds.build_name() == 'stored-name'
        assert not builds.source_digest.cache_info().misses
    finally:
        builds._stamped.clear()


# Voters of two builds.


def make_later(control):
    """Have a controller's state machine know one more command."""
    machine = control.machine
    apply = machine.apply_payload
    machine.later_applied = []

    def apply_payload(index, payload):
        if payload != LATER_COMMAND:
            return apply(index, payload)
        machine.later_applied.append(index)
        return index

    machine.apply_payload = apply_payload
    machine.knows_payload = lambda payload: True


class Voters:
    """Five voters and a learner, of which some are of a later build."""

    def __init__(self, world, later_count):
        self.world = world
        leader = world.leader()
        others = [name for name in world.voters() if name != leader]
        self.later = [leader, *others][:later_count]
        self.others = [n for n in world.controllers if n not in self.later]
        self.ended = []
        self.version = 0
        for name in self.later:
            make_later(self.control(name))

    def control(self, name):
        return self.world.controllers[name]

    def applied(self, name):
        return getattr(self.control(name).machine, 'later_applied', [])

    async def propose(self):
        """Propose the command at the leader; return whether it committed."""
        replica = self.control(self.world.leader()).replica
        with trio.move_on_after(3.0):
            try:
                await replica.propose(LATER_COMMAND)
                return True
            except errors.NotLeader:
                pass
        return False

    async def check_serves(self):
        """Check that changes are acknowledged soon at a box without a disk."""
        self.version += 1
        boxes = ['north3', 'south3', 'west3'] * 4
        took_s = await self.world.write_until_acked(boxes, self.version)
        assert took_s < 5.0, took_s

    def replace(self, name, is_later):
        self.world.kill(name)
        self.world.start(name)
        if is_later:
            make_later(self.control(name))

    async def check_same_state(self):
        """Wait until all voters have applied the same entries."""
        names = [*self.later, *self.others]

        def indexes():
            return {self.control(name).machine.view.index for name in names}

        await self.world.until(lambda: len(indexes()) == 1, 10.0)
        states = {self.control(name).machine.snapshot() for name in names}
        assert len(states) == 1

    async def run(self, app):
        try:
            with app.scope:
                await app.run()
        except* errors.UnknownCommand as group:
            codes = [each.code for each in _leaves(group)]
            self.ended.append((app.name, codes))
            self.world.kill(app.name)


def _leaves(group):
    for each in group.exceptions:
        if isinstance(each, BaseExceptionGroup):
            yield from _leaves(each)
        else:
            yield each


def play(context, act):
    """Run ``act(voters)`` in a world of 5 voters and 4 more boxes."""
    lines = context.lines = []
    logger = replicas.logger
    real = logger.error

    async def script(world):
        await world.begin()
        voters = Voters(world, context.later_count)
        world._run = voters.run
        await act(voters)

    def error(text, **fields):
        lines.append({'message': text, **fields})
        real(text, **fields)

    logger.error = error
    try:
        bounds = {'controller_losses': 2, 'hall_losses': 1}
        core.play(script, context.scenario.name, HALLS, SEEDS, **bounds)
    finally:
        logger.error = real


@given('5 voters, of which the leader and {count:d} more are of a later build')
def plan_voters(context, count):
    context.later_count = count + 1
    context.acts = []


@when('the leader commits a command that only the later build knows')
def plan_commit(context):
    async def act(voters):
        assert await voters.propose()

    context.acts.append(act)


@when('the leader proposes a command that only the later build knows')
def plan_proposal(context):
    async def act(voters):
        assert not await voters.propose()

    context.acts.append(act)


@then('the voters of this build have not applied it, and log code 1602')
def plan_not_applied(context):
    async def act(voters):
        await trio.sleep(1.0)
        for name in voters.later:
            assert len(voters.applied(name)) == 1, name
            index = voters.applied(name)[0]
        for name in voters.others:
            assert voters.control(name).machine.view.index < index, name
        logged = [line for line in context.lines if line['code'] == 1602]
        # Once in a term, not with each heartbeat.
        assert len(logged) == len(voters.others), context.lines

    context.acts.append(act)


@then('changes are still acknowledged')
def plan_serves(context):
    async def act(voters):
        await voters.check_serves()

    context.acts.append(act)


@when('the voters of this build are replaced by the later one')
def plan_replaced(context):
    async def act(voters):
        for name in voters.others:
            voters.replace(name, is_later=True)

    context.acts.append(act)


@then('all voters have the same state, with that command')
def check_with_command(context):
    async def act(voters):
        await voters.check_same_state()
        for name in (*voters.later, *voters.others):
            assert voters.applied(name), name

    context.acts.append(act)
    play_acts(context)


@then('a voter of this build leads soon, and changes are acknowledged')
def plan_other_leader(context):
    async def act(voters):
        await voters.world.until(
            lambda: voters.world.leader() in voters.others, 5.0
        )
        await voters.check_serves()

    context.acts.append(act)


@then('all voters have the same state, without that command')
def check_without_command(context):
    async def act(voters):
        await voters.check_same_state()
        assert not any(voters.applied(name) for name in voters.later)

    context.acts.append(act)
    play_acts(context)


@when('a voter is replaced by one of this build')
def plan_returned(context):
    async def act(voters):
        leader = voters.world.leader()
        context.returned = next(n for n in voters.later if n != leader)
        voters.replace(context.returned, is_later=False)
        await trio.sleep(2.0)

    context.acts.append(act)


@then('its process ends with code 1602, and changes are still acknowledged')
def check_ended(context):
    async def act(voters):
        assert voters.ended == [(context.returned, [1602])], voters.ended
        await voters.check_serves()

    context.acts.append(act)
    play_acts(context)


def play_acts(context):
    async def act(voters):
        for each in context.acts:
            await each(voters)

    play(context, act)
