# SPDX-License-Identifier: Apache-2.0

"""Steps on how many disks hold what is acknowledged."""

import contextlib

from behave import given, then, when
import trio

from features.worlds import core
from mountridge.documents import instances
from mountridge import errors, messages

RUNNER = instances.Instance(
    'i-1', 's', '10.1.0.1:1', 'north', 'v', 4, instances.READY
)


@given(
    '{disks:d} boxes with a disk and {others:d} without, started {gap_s:g} s'
    ' apart'
)
def start_boxes(context, disks, others, gap_s):
    _set_boxes(context, disks, others)
    context.gap_s, context.missing = gap_s, []


@given(
    '{disks:d} boxes with a disk and {others:d} without, of which the third'
    ' never starts'
)
def start_without_third(context, disks, others):
    _set_boxes(context, disks, others)
    context.gap_s, context.missing = 0.1, ['box3']


@given(
    '{disks:d} boxes with a disk and {others:d} without, of which two never'
    ' start'
)
def start_without_two(context, disks, others):
    _set_boxes(context, disks, others)
    context.gap_s, context.missing = 0.1, ['box2', 'box3']


def _set_boxes(context, disks, others):
    count = disks + others
    context.boxes = {f'box{n + 1}': ('north', n < disks) for n in range(count)}
    context.script = []


def _play(context):
    """Start the boxes, and run the steps that were given so far."""

    async def script(world):
        context.world = world
        for name in context.boxes:
            if name not in context.missing:
                world.start(name)
                await trio.sleep(context.gap_s)
        for step in context.script:
            await step(world)

    seeds = ['box1', 'box2', 'box3']
    name = context.scenario.name
    core.play(script, name, context.boxes, seeds, controller_losses=1)


def _running(world):
    return [name for name, app in world.processes.items() if app.nursery]


async def _until_acked(context, world, send):
    """Send to one box after the other until one acknowledges."""
    begun_s = trio.current_time()
    with trio.fail_after(30):
        while True:
            for name in _running(world):
                if await send(name):
                    context.took_s = trio.current_time() - begun_s
                    context.voters = len(world.config().voters)
                    return
                await trio.sleep(0.05)


async def _put(context, world):
    async def send(name):
        return await world.write(name, context.version, 1.0)

    await _until_acked(context, world, send)


@when('routes are sent until they are acknowledged')
def put_routes(context):
    context.version = 1

    async def put(world):
        await _put(context, world)

    context.script.append(put)


@when('a heartbeat is sent until it is acknowledged')
def send_heartbeat(context):
    async def send(name, world):
        with contextlib.suppress(errors.MountridgeError):
            await world.entries[name].heartbeat(messages.Heartbeat(RUNNER, 1))
            return True

    async def put(world):
        await _until_acked(context, world, lambda name: send(name, world))

    context.script.append(put)


@when('the {which} loses its disk {after_s:g} s later, {others}')
def lose_disk(context, which, after_s, others):
    number = ['founder', 'second', 'third'].index(which) + 1
    lost = f'box{number}'

    async def lose(world):
        await trio.sleep(after_s)
        names = list(world.processes)
        world.kill(lost, wipe=True)
        if 'power' in others:
            for name in names:
                world.kill(name)
        await trio.sleep(1)
        for name in names:
            if name not in world.processes:
                world.start(name)

    context.script.append(lose)


async def _read(world):
    """Return the version that any box reads, None if none does."""
    for name in _running(world):
        with contextlib.suppress(errors.MountridgeError):
            entry = world.entries[name]
            reply = await entry.leader.call(messages.ReadRoutes(), 2.0)
            return reply.version
    return None


@then(
    'within {limit_s:g} s the routes are read back, and newer ones are taken'
)
def check_read(context, limit_s):
    async def check(world):
        with trio.fail_after(limit_s):
            while (found := await _read(world)) is None:
                await trio.sleep(0.1)
            assert found == context.version, found
            context.version += 1
            await _put(context, world)

    context.script.append(check)
    _play(context)


@then('that took at most {limit_s:g} s, and there are {count:d} voters')
def check_time(context, limit_s, count):
    _play(context)
    assert context.took_s <= limit_s, context.took_s
    assert context.voters == count, context.voters


@then('no routes are acknowledged within {span_s:g} s')
def check_none(context, span_s):
    async def check(world):
        with trio.move_on_after(span_s):
            context.version = 1
            await _put(context, world)
            raise AssertionError('acknowledged by a single disk')

    context.script.append(check)


@when('they start')
def start_missing(context):
    async def start(world):
        for name in context.missing:
            world.start(name)

    context.script.append(start)


@then('routes are acknowledged within {limit_s:g} s, by {count:d} voters')
def check_later(context, limit_s, count):
    context.version = 2

    async def put(world):
        await _put(context, world)

    context.script.append(put)
    check_time(context, limit_s, count)


@when('a voter is killed that does not lead')
def kill_voter(context):
    async def kill(world):
        await world.until(lambda: len(world.config().voters) == 3)
        await trio.sleep(1)
        names = sorted(set(world.voters()) - {world.leader()})
        context.killed = names[0]
        world.kill(names[0])

    context.script.append(kill)


@then(
    'the fourth box replaces it, and there are never fewer than {count:d}'
    ' voters'
)
def check_replaced(context, count):
    context.fewest = count + 9

    async def watch(world):
        def is_replaced():
            voters = world.voters()
            context.fewest = min(context.fewest, len(voters))
            return context.killed not in voters and len(voters) == count

        await world.until(is_replaced, 15)

    context.script.append(watch)
    _play(context)
    assert context.fewest == count, context.fewest
