# SPDX-License-Identifier: Apache-2.0

"""Steps on puts of the table and on when a version is in force."""

from behave import then, when
import trio

from features.worlds import system as system_world
from mountridge.state import statemachine

NEW = system_world.SHEET.replace('crews,drafts,64', 'crews,drafts,33')
OTHER = system_world.SHEET.replace('crews,drafts,64', 'crews,drafts,44')


class Watch:
    """Records the index and version that each process applies."""

    def __init__(self, world):
        self.world = world
        self.reverted = []
        self.in_force_s = None
        #: Valid leases on an older table than was in force, with the time.
        self.stale = []
        self._seen = {}

    async def run(self):
        while True:
            await trio.sleep(0.02)
            self.check()

    def holders(self):
        for name, app in self.world.processes.items():
            if name[0] in 'ga':
                yield name, app, self.world.daemons[name].lease

    def check(self):
        now_s = trio.current_time()
        for name, app, held in self.holders():
            key = (name, app.generation)
            if held.view.index < self._seen.get(key, 0):
                self.reverted.append(key)
            self._seen[key] = held.view.index
            is_old = _version(held) != self.version
            if self.in_force_s is not None and is_old and held.is_valid(now_s):
                self.stale.append((name, now_s))
        if self.in_force_s is None and self._all_new(now_s):
            self.in_force_s = now_s

    version = 2

    def _all_new(self, now_s):
        """Return whether the leader says that the version is in force."""
        part = self.world.daemons.get(self.world.leader)
        if part is None or not part.replica.lease_valid():
            return False
        versions = part.machine.versions
        if not versions or versions[-1].version < self.version:
            return False
        index = versions[-1].index
        return part.leases.in_force_index(index, now_s) >= index


def _version(held):
    change = held.view.entries.get('table/version')
    return change.value[0] if change else 0


def _put_with_fault(context, prepare):
    async def script(world):
        await world.begin()
        watch = Watch(world)
        world.nursery.start_soon(watch.run)
        await prepare(world)
        reply = await world.put(NEW, 1, 'second')
        accepted_s = trio.current_time()
        with trio.move_on_after(30):
            while watch.in_force_s is None:
                await trio.sleep(0.01)
        await trio.sleep(20)
        context.watch, context.reply = watch, reply
        context.delay_s = (watch.in_force_s or 1e9) - accepted_s
        context.machine = world.machine()
        context.versions = [_version(h) for _, _, h in watch.holders()]

    system_world.play_for(context, script)


@when(
    'a new table is put while its {message} {fault}, and retried until'
    ' answered'
)
def put_with_fault(context, message, fault):
    async def prepare(world):
        world.rules.append(
            system_world.FaultRule(message, system_world.ACTIONS[fault])
        )
        if message != 'Changes':
            await trio.sleep(0.5)

    _put_with_fault(context, prepare)


@when('a new table is accepted and the leader is {fault}')
def fail_leader(context, fault):
    async def prepare(world):
        leader = world.leader

        async def inject_fault():
            while world.machine().version < 2:
                await trio.sleep(0.0005)
            if fault == 'killed':
                world.kill(leader)
            elif fault == 'isolated':
                world.isolate(leader)
            elif fault == 'frozen':
                world.frozen_until_s[leader] = trio.current_time() + 6
                world.isolate(leader)
            else:
                world.stop(leader)

        world.nursery.start_soon(inject_fault)

    _put_with_fault(context, prepare)


@then(
    'one new version is created and in force everywhere within {limit_s:d} s'
    ' of its acceptance'
)
def check_in_force(context, limit_s):
    assert context.reply.accepted and context.reply.version == 2
    assert context.machine.version == 2, context.machine.version
    assert context.machine.rows_by_key['crews/drafts/*'].concurrency == 33
    assert context.delay_s <= limit_s, context.delay_s
    assert set(context.versions) == {2}, context.versions
    assert len(context.versions) == 4


@then('no gateway or agent ever reverts to an older index')
def check_not_reverted(context):
    assert not context.watch.reverted, context.watch.reverted


@then(
    'no gateway or agent accepts requests under the old table once the new one'
    ' is in force'
)
def check_not_stale(context):
    assert not context.watch.stale, context.watch.stale[:3]


@when('two operators put different tables over the same version')
def two_puts(context):
    async def script(world):
        await world.begin()
        replies = {}

        async def put(sheet, operation):
            replies[operation] = await world.put(sheet, 1, operation)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(put, NEW, 'one')
            nursery.start_soon(put, OTHER, 'two')
        context.replies = dict(replies)
        world.kill(world.leader)
        await trio.sleep(6)
        again = {}
        for operation, sheet in (('one', NEW), ('two', OTHER)):
            again[operation] = await world.put(sheet, 1, operation)
        context.again = again
        context.machine = world.machine()

    system_world.play_for(context, script)


@then('one is accepted and the other is rejected with the rows that differ')
def check_race(context):
    accepted = [r for r in context.replies.values() if r.accepted]
    refused = [r for r in context.replies.values() if not r.accepted]
    assert len(accepted) == len(refused) == 1, context.replies
    assert refused[0].version == 2
    assert any('concurrency' in line for line in refused[0].diff)


@then('each gets the same reply again after failover, snapshot and restart')
def check_again(context):
    assert context.again == context.replies
    image = context.machine.snapshot()
    restored = statemachine.StateMachine()
    restored.restore(image)
    assert restored.snapshot() == image
    assert restored.operations['one'] == context.replies['one']
    assert restored.operations['two'] == context.replies['two']


@when(
    '{count:d} changes are made while "{name}" is down and it restarts'
    ' isolated'
)
def restart_isolated(context, count, name):
    async def script(world):
        await world.begin()
        world.kill(name)
        for number in range(count):
            sheet = system_world.SHEET.replace('64', str(100 + number))
            reply = await world.put(sheet, number + 1, f'op {number}')
            assert reply.accepted
        world.start(name)
        world.isolate(name)
        await trio.sleep(0.1)
        context.codes = []
        for _ in range(10):
            result = await world.request(name, 'crews', 'drafts', 'old')
            context.codes.append(result.problem.code)
            await trio.sleep(0.5)
        world.heal(name)
        await trio.sleep(3)
        result = await world.request(name, 'crews', 'drafts', 'new')
        assert result.data == system_world.complete_answer(
            'new'
        ), result.problem
        context.rows = world.daemons[name].rows.find('crews', 'drafts')
        context.expected = 100 + count - 1

    system_world.play_for(context, script)


@then(
    '"{name}" rejects all requests with code {code:d} until it has the newest'
    ' table'
)
def check_rejects(context, name, code):
    assert set(context.codes) == {code}, context.codes
    assert context.rows[0].concurrency == context.expected


@when(
    '"{name}" is isolated from the controllers for {span_s:d} s while the'
    ' table changes'
)
def isolate_gateway(context, name, span_s):
    async def script(world):
        await world.begin()
        await world.request(name, 'crews', 'drafts', 'before')
        world.cut_links |= {(name, c) for c in world.controllers}
        world.cut_links |= {(c, name) for c in world.controllers}
        cut_s = trio.current_time()
        await world.put(NEW, 1, 'second')
        context.seen = []
        while trio.current_time() < cut_s + span_s:
            result = await world.request(name, 'crews', 'drafts', 'cut')
            code = result.problem.code if result.problem else 0
            context.seen.append((trio.current_time() - cut_s, code))
            await trio.sleep(0.5)
        world.heal()
        await trio.sleep(2)
        result = await world.request(name, 'crews', 'drafts', 'after')
        context.after = result
        held = world.daemons[name].lease
        context.version = _version(held)

    system_world.play_for(context, script)


@then(
    '"{name}" rejects requests with code {code:d} from {limit_s:d} s after'
    ' the cut until it ends'
)
def check_cut(context, name, code, limit_s):
    after = {seen for at_s, seen in context.seen if at_s > limit_s + 0.2}
    before = {seen for at_s, seen in context.seen if at_s < 1}
    assert after == {code}, context.seen
    assert before == {0}, context.seen


@then(
    '"{name}" serves under the new table within {limit_s:d} s of the end of'
    ' the cut'
)
def check_healed(context, name, limit_s):
    assert context.after.data == system_world.complete_answer('after')
    assert context.version == 2
