# SPDX-License-Identifier: Apache-2.0

"""Steps on processes that are not run for a while."""

from behave import given, then, when
import trio

from features.worlds import pauses
from mountridge import messages
from mountridge.state import leases

#: Path and key of the requests of the scenarios.
REQUESTS = {
    'a request whose route has moved': ('/moved/1', ''),
    'a request whose route was dropped': ('/dropped/1', ''),
    'a request whose route was added': ('/added/1', ''),
    'a request with a dropped key': ('/keyed/1', 'old'),
    'a request with a new key': ('/keyed/1', 'new'),
    'requests to a draining runner': ('/kept/1', ''),
}
#: Requests that are sent at once, so that each runner gets some.
COUNT = 8
ENTRY = 'e1'


@given(
    'an entry that is not run for {gap_s:g} s, while all routes change and a'
    ' runner drains'
)
def pause_and_change(context, gap_s):
    context.gap_s, context.is_changed = gap_s, True
    context.is_cut = False


@given('an entry that is not run for {gap_s:g} s, while nothing changes')
def pause_only(context, gap_s):
    context.gap_s, context.is_changed = gap_s, False
    context.is_cut = False


@given('an entry that is not run for {gap_s:g} s, and cut off afterwards')
def pause_and_cut(context, gap_s):
    context.gap_s, context.is_changed = gap_s, True
    context.is_cut = True


@given('an entry that is cut off for {gap_s:g} s')
def cut_only(context, gap_s):
    context.gap_s, context.is_changed = 0.0, False
    context.is_cut, context.cut_s = True, gap_s


async def _ask_all(context, play, request):
    """Send the requests of a scenario, and record their outcomes."""
    path, key = REQUESTS[request]
    context.outcomes, play.reached = [], []

    async def ask(key):
        context.outcomes.append(await play.ask(ENTRY, path, key))

    async with trio.open_nursery() as nursery:
        for _ in range(COUNT):
            nursery.start_soon(ask, key)
    context.runners = set(play.reached)


def _record_state(context, play):
    entry = play.world.daemons[ENTRY]
    context.is_ready, context.listed = entry.is_ready(), entry.addresses()


async def _pause(context, play, nursery):
    """Pause the entry while the changes are made; return at its end."""
    world = play.world
    if context.is_cut:
        world.isolate(ENTRY)
    if context.is_changed:
        nursery.start_soon(play.change)
    if context.gap_s:
        await world.pause(ENTRY, context.gap_s)
    else:
        await trio.sleep(context.cut_s)


@when('"{request}" is read as the entry runs again')
def read_after(context, request):
    async def script(play):
        async with trio.open_nursery() as nursery:
            await _pause(context, play, nursery)
            await _ask_all(context, play, request)
            _record_state(context, play)
            play.world.heal()
            healed_s = trio.current_time()
            entry = play.world.daemons[ENTRY]
            with trio.move_on_after(5):
                while not entry.is_ready():
                    await trio.sleep(0.01)
            context.ready_after_s = trio.current_time() - healed_s
            context.last = await play.ask(ENTRY, '/added/1')

    pauses.play(script, context.scenario.name)


@when('"{request}" waits for a connection meanwhile')
def wait_meanwhile(context, request):
    async def script(play):
        play.connecting = ENTRY
        async with trio.open_nursery() as nursery:
            nursery.start_soon(play.world.pause, ENTRY, context.gap_s)
            await trio.sleep(0.001)
            nursery.start_soon(_ask_all, context, play, request)
            await trio.sleep(0.001)
            await play.change()

    pauses.play(script, context.scenario.name)


@then('it gets runner {listed} within {within_s:g} s')
def check_runner(context, listed, within_s):
    statuses = {status for status, _, _ in context.outcomes}
    assert statuses == {200}, context.outcomes
    assert context.runners <= set(listed.split(' or ')), context.runners
    _check_time(context, within_s)


@then('it gets {status:d} within {within_s:g} s')
def check_status(context, status, within_s):
    statuses = {status for status, _, _ in context.outcomes}
    assert statuses == {status}, context.outcomes
    assert not context.runners, context.runners
    _check_time(context, within_s)


@then(
    'it gets {status:d} within {within_s:g} s, and nothing has reached a'
    ' runner'
)
def check_refused(context, status, within_s):
    check_status(context, status, within_s)


def _check_time(context, within_s):
    longest_s = max(took_s for _, _, took_s in context.outcomes)
    assert longest_s <= within_s, context.outcomes


@then('the entry is ready, and lists the gateways')
def check_ready(context):
    assert context.is_ready and context.listed


@then('the entry is not ready, and lists no gateways')
def check_not_ready(context):
    assert not context.is_ready and not context.listed


@when('the entry is no longer cut off')
def heal(context):
    pass  # part of the script


@then('within {within_s:g} s it is ready, and serves by the routes in force')
def check_ready_again(context, within_s):
    assert context.ready_after_s <= within_s, context.ready_after_s
    assert context.last[0] == 200, context.last


@given('a lease that was granted for {span_s:g} s')
def grant_lease(context, span_s):
    context.held = leases.HeldLease()
    context.grant = messages.Grant(
        span_s, messages.Fence(1, 1), 1, False, [], [], {}
    )
    assert context.held.apply_grant(context.grant, 10.0)
    assert context.held.is_valid(10.0)


@when('its holder is not run for {gap_s:g} s')
def distrust(context, gap_s):
    context.now_s = 10.5 + gap_s
    context.held.distrust(context.now_s)


@then('it is not valid, also after a grant for a renewal sent before')
def check_invalid(context):
    assert not context.held.is_valid(context.now_s)
    assert context.held.apply_grant(context.grant, 10.4)
    assert not context.held.is_valid(context.now_s)


@then('it is valid after a grant for a renewal sent later')
def check_valid(context):
    assert context.held.apply_grant(context.grant, context.now_s)
    assert context.held.is_valid(context.now_s)
