# SPDX-License-Identifier: Apache-2.0

"""Steps for calls to the leader, connections and planned stops."""

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

#: Timeout of a scenario that hangs; no result depends on it.
GUARD_S = 60
ADDRESSES = {name: f'tcp://127.0.0.1:{n}' for n, name in enumerate('abc', 1)}


class _UnresponsiveLeader:
    """An application whose leader, ``a``, does not reply until a time."""

    settings = {
        'controllers': ADDRESSES,
        'entry': {'seeds': []},
        'bind': 'tcp://127.0.0.1:1',
    }
    metrics = None

    def __init__(self, until_s):
        self.until_s = until_s
        self.on_received = {}

    def now_s(self):
        return trio.current_time()

    def connect(self, address, peer, on_message=None, on_received=None):
        self.on_received[peer] = on_received
        return types.SimpleNamespace(
            call=lambda message, timeout_s, delay_callback=None: self._answer(
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
def unresponsive_leader(context):
    context.unresponsive_s = 1.0


@when('calls continue meanwhile, and it sends a delayed reply after 1 s')
def call_meanwhile(context):
    async def main():
        app = _UnresponsiveLeader(trio.current_time() + context.unresponsive_s)
        leader = members.LeaderClient(app)
        with trio.move_on_after(context.unresponsive_s):
            while True:
                try:
                    await leader.call(messages.Leave('i'), 2.0)
                except errors.NoController:
                    pass
        app.on_received['a']()
        started_s = trio.current_time()
        await leader.call(messages.Leave('i'), 5.0)
        context.took_s = trio.current_time() - started_s

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
def connect_to_full_queue(context):
    zmq_context = zmq.Context()
    context.add_cleanup(zmq_context.destroy, linger=0)
    configured = {
        'role': 'gateway',
        'name': 'g',
        'bind': 'tcp://127.0.0.1:1',
        'keys': {'off': True},
        'controllers': {'a': 'tcp://127.0.0.1:2'},
    }
    address = f'tcp://127.0.0.1:{context.port}'
    context.channel = sockets.dealer(
        zmq_context, settings.check(configured), address, 'a', 'g.1'
    )
    context.monitor = context.channel.socket.get_monitor_socket()


@then("it retries without waiting for the kernel's retransmission")
def check_reconnects(context):
    attempts = 0
    while attempts < 3:
        assert context.monitor.poll(
            GUARD_S * 1000
        ), 'no further connection attempt'
        event = monitor.recv_monitor_message(context.monitor)
        attempts += event['event'] == zmq.EVENT_CONNECT_DELAYED


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


@when('it begins a planned stop while a request never ends')
def stop_entry(context):
    async def main():
        drained = context.entry
        started_s = drained._drain_began_s = trio.current_time()

        def close_idle():
            assert drained.forwarder.closed
            context.accept_s = trio.current_time() - started_s

        drained.front.close_idle = close_idle
        await entry.Entry.drain(drained)
        context.end_s = trio.current_time() - started_s

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
        raise FAULTS[fault]('fault of the scenario')

    context.engine = types.SimpleNamespace(execute=execute)


@when('an order is sent to it')
def send_order(context):
    order = ranks.RankOrder(ranks.HOLD, 1, 2, 3, [])
    context.reply = trio.run(sidecar.execute_order, context.engine, order)


@then("the order's outcome is {outcome}")
def check_outcome(context, outcome):
    assert context.reply['outcome'].startswith(outcome), context.reply
