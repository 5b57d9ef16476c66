# SPDX-License-Identifier: Apache-2.0

"""Steps on calls to the leader, on connections, and on planned stops."""

import socket
import types

from behave import given, then, when
import trio
import trio.testing
import zmq
from zmq.utils import monitor

from mountridge import entry, errors, messages, settings, sidecar
from mountridge.experts import ranks
from mountridge.net import sockets
from mountridge.state import members

#: Ends a scenario that would wait for ever; it decides no verdict.
GUARD_S = 60
ADDRESSES = {name: f'tcp://127.0.0.1:{n}' for n, name in enumerate('abc', 1)}


class _Silent:
    """Controllers of which the leader, ``a``, is silent until a time."""

    settings = {
        'controllers': ADDRESSES,
        'entry': {'seeds': []},
        'bind': 'tcp://127.0.0.1:1',
    }
    metrics = None

    def __init__(self, until_s):
        self.until_s = until_s
        self.heard = {}

    def now_s(self):
        return trio.current_time()

    def connect(self, address, peer, on_message=None, on_received=None):
        self.heard[peer] = on_received
        return types.SimpleNamespace(
            call=lambda message, timeout_s, late=None: self._answer(
                peer, timeout_s
            ),
            close=lambda: None,
        )

    async def _answer(self, peer, timeout_s):
        if peer != 'a':
            problem = errors.NotLeader()
            problem.leader = 'a'
            problem.leader_address = ADDRESSES['a']
            raise problem
        if self.now_s() < self.until_s:
            await trio.sleep(timeout_s)
            raise errors.NoController('no reply in time')
        return messages.Registered()


@given('a leader that is unresponsive for 1 s, and two other controllers')
def silent_leader(context):
    context.silent_s = 1.0


@when('calls continue meanwhile, and it sends a delayed reply after 1 s')
def call_meanwhile(context):
    async def main():
        app = _Silent(trio.current_time() + context.silent_s)
        leader = members.Leader(app)
        with trio.move_on_after(context.silent_s):
            while True:
                try:
                    await leader.call(messages.Leave('i'), 2.0)
                except errors.NoController:
                    pass
        app.heard['a']()
        began_s = trio.current_time()
        await leader.call(messages.Leave('i'), 5.0)
        context.took_s = trio.current_time() - began_s

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@then('the next call is answered within {limit_s:g} s')
def check_next(context, limit_s):
    assert context.took_s < limit_s, context.took_s


@given('an address with a full accept queue')
def full_queue(context):
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    context.add_cleanup(listener.close)
    context.port = listener.getsockname()[1]
    for _ in range(3):
        waiting = socket.socket()
        waiting.setblocking(False)
        waiting.connect_ex(('127.0.0.1', context.port))
        context.add_cleanup(waiting.close)


@when('a process connects to it')
def connect_there(context):
    made = zmq.Context()
    context.add_cleanup(made.destroy, linger=0)
    given = {
        'role': 'gateway',
        'name': 'g',
        'bind': 'tcp://127.0.0.1:1',
        'keys': {'off': True},
        'controllers': {'a': 'tcp://127.0.0.1:2'},
    }
    address = f'tcp://127.0.0.1:{context.port}'
    context.channel = sockets.dealer(
        made, settings.check(given), address, 'a', 'g.1'
    )
    context.monitor = context.channel.socket.get_monitor_socket()


@then('it retries without waiting for the kernel')
def check_anew(context):
    begun = 0
    while begun < 3:
        assert context.monitor.poll(GUARD_S * 1000), 'it waits for ever'
        told = monitor.recv_monitor_message(context.monitor)
        begun += told['event'] == zmq.EVENT_CONNECT_DELAYED


@given(
    'an entry with a grace period of {grace_s:g} s and an address TTL'
    ' of {ttl_s:g} s'
)
def make_entry(context, grace_s, ttl_s):
    context.entry = types.SimpleNamespace(
        app=types.SimpleNamespace(
            settings={'bounds': {'grace_s': grace_s}},
            now_s=trio.current_time,
        ),
        settings={'address_ttl_s': ttl_s},
        forwarder=types.SimpleNamespace(closed=False),
        front=types.SimpleNamespace(open_requests=1),
    )


@when('it is stopped while a request never ends')
def stop_entry(context):
    async def main():
        made = context.entry
        began_s = made._drain_began_s = trio.current_time()

        def close_idle():
            assert made.forwarder.closed
            context.accept_s = trio.current_time() - began_s

        made.front.close_idle = close_idle
        await entry.Entry.drain(made)
        context.end_s = trio.current_time() - began_s

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@then('it accepts new requests for {accept_s:g} s and ends after {end_s:g} s')
def check_stop(context, accept_s, end_s):
    assert abs(context.accept_s - accept_s) < 0.01, context.accept_s
    assert abs(context.end_s - end_s) < 0.1, context.end_s


FAULTS = {
    'is unreachable': errors.NoRunner,
    'does not respond': errors.OutcomeUnknown,
    'rejects the order': errors.RefusedChange,
}


@given('an engine that {fault}')
def faulty_engine(context, fault):
    async def execute(order):
        raise FAULTS[fault]('as the scenario says')

    context.engine = types.SimpleNamespace(execute=execute)


@when('an order is sent to it')
def give_order(context):
    order = ranks.RankOrder(ranks.HOLD, 1, 2, 3, [])
    context.told = trio.run(sidecar.execute_order, context.engine, order)


@then("the order's outcome is {outcome}")
def check_outcome(context, outcome):
    assert context.told['outcome'].startswith(outcome), context.told
