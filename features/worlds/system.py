# SPDX-License-Identifier: Apache-2.0

"""Gateways, agents and controllers in one process, on virtual time.

The code of the daemons runs unchanged over simulated channels, which can
lose, duplicate, delay or block messages, and with simulated runners and a
simulated log. Not simulated are sockets, the callers' HTTP connections and
the consensus of the controllers, which other scenarios test: here one
controller is_leader, and another is elected shortly after it is lost.
"""

import collections
import contextlib
import json
import random
import types

import trio
import trio.testing

from mountridge import agent, application, clocks, controller
from mountridge.dispatch import exchanges
from mountridge.documents import sheets, tables
from mountridge import entry, errors, gateway
from mountridge import messages, settings as settings_module
from mountridge.net import dialects
from mountridge.state import statemachine

#: Role of a process by the first letter of its name.
ROLES = {
    'g': 'gateway', 'a': 'agent', 'c': 'controller', 'e': 'entry',
}  # fmt: skip
LATENCY_S = 0.001
COMMIT_S = 0.002
ELECTION_S = 0.8
#: From the end of a pause until messages that have waited are read.
TURN_S = 0.002
LEADER_LEASE_S = 0.45
WALL_S = 1_800_000_000.0

#: Head of the answer of a runner that has nothing to announce.
REPLY_HEAD = dialects.ReplyHead(200, None, False, None, None, None)
SHEET = """team,service,concurrency,rate_per_s,queue_s,priority,repeatable
crews,drafts,64,1000,5,draft,yes
control-room,alarms,32,1000,1,alarm,yes
receipts,corrections,16,1000,5,interactive,no
"""


class FrameWithSender(bytes):
    """A part of a message that carries the name of its sender."""

    def get(self, _):
        return self.sender


class Channel:
    """The bound channel of a process, or its connection to a peer."""

    def __init__(self, world, owner, peer=None):
        self.world, self.owner, self.peer = world, owner, peer
        self.closed = False
        self._sender, self._receiver = trio.open_memory_channel(10**6)

    def send(self, parts):
        if self.peer is None:
            route = bytes(parts[0]).decode()
            self.world.post(self.owner, route, parts[1], reply=True)
        else:
            self.world.post(self.owner, self.peer, parts[0], channel=self)
        return True

    def put(self, parts):
        self._sender.send_nowait(parts)

    async def receive(self):
        return await self._receiver.receive()

    def close(self):
        self.closed = True


class Process(application.Application):
    """A daemon whose sockets, clock and identity are simulated."""

    def __init__(self, world, settings, generation):
        super().__init__(settings)
        self.world = world
        self.clock = clocks.Clock(
            self.report_suspension,
            self._time_s,
            self._time_s,
            self.report_pause,
        )
        self.generation = generation
        self.incarnation = f'{self.name}-{generation}'
        self.muted = False
        self.dealers = []
        self.scope = trio.CancelScope()

    def _time_s(self):
        """Return the time, which stands still while it is paused."""
        now_s = trio.current_time()
        return self.world.paused_since_s.get(self.name, now_s)

    def wall_s(self):
        return WALL_S + trio.current_time() + self.world.clock_step_s

    def open_router(self):
        return Channel(self.world, self)

    def open_dealer(self, address, peer):
        made = Channel(self.world, self, peer)
        self.dealers.append(made)
        return made

    def system_tasks(self):
        return [self._receive] + [self.watch_pauses] * bool(self.on_pause)

    def close(self):
        pass


class Replica:
    """Simulates the replicated log, which has its own scenarios."""

    def __init__(self, world, app, machine, on_role):
        self.world, self.app, self.machine = world, app, machine
        self.on_role = on_role
        self.applied = 0
        self.node = types.SimpleNamespace(
            term=0, node_id=app.name, role='', leader_id='', commit=0,
            config=types.SimpleNamespace(_asdict=dict, addresses=dict),
        )  # fmt: skip

    def catch_up(self):
        reply = None
        for index in range(self.applied, len(self.world.log)):
            self.applied = index + 1
            try:
                reply = self.machine.apply_payload(
                    index + 1, self.world.log[index]
                )
            except errors.MountridgeError as problem:
                reply = problem
        return reply

    def lease_valid(self):
        return self.world.is_leader(self.app)

    def check_leader(self):
        if not self.lease_valid():
            problem = errors.NotLeader()
            problem.leader = self.world.leader
            raise problem

    async def propose(self, payload, is_acknowledged=True):
        self.check_leader()
        await trio.sleep(COMMIT_S)
        self.check_leader()
        self.world.log.append(payload)
        reply = self.catch_up()
        if isinstance(reply, errors.MountridgeError):
            raise reply
        return reply

    async def confirm_leadership(self):
        await trio.sleep(COMMIT_S)
        self.check_leader()

    async def wait_for_step(self):
        await trio.sleep(COMMIT_S)

    def on_raft(self, peer, message):
        raise AssertionError('unexpected consensus message')

    async def run(self):
        self.catch_up()
        await trio.sleep_forever()

    async def transfer_leadership(self):
        self.world.elect(without=self.app.name)


class FaultRule:
    """Applies an action to the n-th message of a kind.

    ``test`` selects the messages that count.
    """

    def __init__(self, kind, action, nth=1, test=None):
        self.kind, self.action, self.nth = kind, action, nth
        self.test = test or (lambda message: True)
        self.seen = 0
        self.triggered = False

    def matches(self, message):
        if type(message).__name__ != self.kind or not self.test(message):
            return False
        self.seen += 1
        self.triggered = self.triggered or self.seen == self.nth
        return self.seen == self.nth


def rule_for(kind, action, nth=1):
    """Return the rule for a kind of message as named in the scenarios.

    ``LastFrames`` are `Frames` that contain the end of an answer.
    """
    if kind == 'LastFrames':
        return FaultRule(
            'Frames', action, nth, lambda m: any(f.end for f in m.frames)
        )
    return FaultRule(kind, action, nth)


async def _empty_body():
    for data in ():
        yield data


class Runner:
    """A simulated runner that counts its runs and answers in pieces.

    If ``truncates``, its answers break off after 3 pieces. If ``stalled``,
    they stop without an end.
    """

    def __init__(self, name):
        self.name = name
        self.runs = collections.Counter()
        self.running = 0
        self.pieces, self.gap_s = 5, 0.02
        self.stalled = self.truncates = False
        #: Part of the mark of requests that crash it, and until when it is
        #: down; `crashes` has (time, mark) of each.
        self.crashes_on, self.down_until_s = None, 0.0
        self.crashes = []
        self.ended = trio.Event()
        self.starts = []
        #: Head of its answers; a status other than 200 refuses all requests.
        self.head = REPLY_HEAD
        #: Times at which it refused a request, and announced that it leaves.
        self.refusals, self.announcements = [], []

    @contextlib.asynccontextmanager
    async def request(self, path, headers, body, request_id=None):
        mark = json.loads(body).get('mark', '')
        self.starts.append((trio.current_time(), mark))
        if self.head.status != 200:
            self.refusals.append(trio.current_time())
            yield types.SimpleNamespace(head=self.head, pieces=_empty_body)
            return
        if await self.has_crashed():
            raise errors.NoRunner('refused')
        if self.head.is_leaving:
            self.announcements.append(trio.current_time())
        self.runs[mark] += 1
        self.running += 1
        try:
            if self.crashes_on and self.crashes_on in mark:
                self.crash(mark)
                raise errors.OutcomeUnknown('no answer: reset')
            yield types.SimpleNamespace(
                head=self.head, pieces=lambda: self.answer(mark)
            )
        finally:
            self.running -= 1

    def crash(self, mark):
        """Crash, with all that runs here; it is back after 3 s."""
        self.crashes.append((trio.current_time(), mark))
        self.down_until_s = trio.current_time() + 3.0
        self.ended.set()
        self.ended = trio.Event()

    async def has_crashed(self):
        return trio.current_time() < self.down_until_s

    async def answer(self, mark):
        ended = self.ended
        for number in range(self.pieces):
            if ended.is_set():
                raise errors.BadAnswer('reset')
            if self.stalled:
                await trio.sleep_forever()
            if self.truncates and number == 3:
                raise errors.BadAnswer('cut')
            yield f'{mark}:{number};'.encode()
            await trio.sleep(self.gap_s)
        yield f'{mark}:end'.encode()


def complete_answer(mark, pieces=5):
    """Return the complete answer to a request with ``mark``."""
    return b''.join(b'%s:%d;' % (mark.encode(), n) for n in range(pieces)) + (
        mark.encode() + b':end'
    )


class Result:
    """The result for a caller: a complete answer, an error or neither."""

    def __init__(self, data=None, problem=None, by='', cut=False):
        self.data, self.problem, self.by = data, problem, by
        self.cut = cut  # the connection was closed before the end
        self.took_s = 0.0

    @property
    def outcome(self):
        if self.data is not None:
            return errors.RAN
        return self.problem.outcome if self.problem else errors.UNKNOWN


class World:
    """All processes by name, the network with its faults, and the log.

    ``cut_links`` has the (sender, receiver) pairs whose messages are dropped,
    ``settings_overrides`` the settings of a process over the defaults.
    """

    def __init__(
        self, nursery, seed, gateways=2, agents=2, controllers=3, entries=0
    ):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.processes = {}
        self.daemons = {}  # name -> its gateway, agent, entry or controller
        self.generations = collections.Counter()
        self.runners = {
            f'a{n + 1}': Runner(f'a{n + 1}') for n in range(agents)
        }
        self.gateways = [f'g{n + 1}' for n in range(gateways)]
        self.controllers = [f'c{n + 1}' for n in range(controllers)]
        self.entries = [f'e{n + 1}' for n in range(entries)]
        self.rules = []
        self.cut_links = set()
        self.frozen_until_s = {}
        self.paused_since_s = {}
        self.isolated_since_s = {}
        self.log = []
        self.leader, self.term = '', 0
        self.last_due_s = {}
        self.reorder_probability = 0.0
        self.clock_step_s = 0.0
        self.results = []
        self.settings_overrides = {}  # by the name of the process

    # Processes.

    def settings(self, role, name):
        return settings_module.check(
            settings_module.merge(
                {
                    'role': role,
                    'name': name,
                    'hall': 'north',
                    'bind': 'tcp://127.0.0.1:2',
                    'controllers': {
                        c: f'tcp://127.0.0.1:{number + 2}'
                        for number, c in enumerate(self.controllers)
                    },
                    'keys': {'off': True},
                    'gateway': {'address_ttl_s': 2.0},
                    'agent': {'services': ['drafts', 'alarms', 'corrections']},
                    'controller': {'data': '-' if role != 'entry' else ''},
                    # The host of the first controller.
                    'entry': {'seeds': ['127.0.0.1']},
                },
                self.settings_overrides.get(name, {}),
            )
        )

    def start(self, name):
        role = ROLES[name[0]]
        self.generations[name] += 1
        app = Process(self, self.settings(role, name), self.generations[name])
        if role == 'gateway':
            self.daemons[name] = gateway.build(app)
        elif role == 'agent':
            self.daemons[name] = agent.build(app, self.runners[name])
        elif role == 'entry':
            self.daemons[name] = entry.build(app, dialects.NATIVE, None)
        else:
            self.daemons[name] = controller.build(
                app, lambda *args: Replica(self, *args)
            )
        self.processes[name] = app
        self.nursery.start_soon(self._run_process, app)

    async def _run_process(self, app):
        with app.scope:
            await app.run()
        if self.processes.get(app.name) is app:
            del self.processes[app.name]

    def kill(self, name):
        app = self.processes.pop(name, None)
        if app:
            app.muted = True
            app.scope.cancel()
        if name == self.leader:
            self.nursery.start_soon(self._elect_later, name)

    async def restart(self, name, after_s=1.0):
        self.kill(name)
        await trio.sleep(after_s)
        self.start(name)

    def is_paused(self, name):
        return name in self.paused_since_s

    async def pause(self, name, span_s):
        """Do not run a process for a while.

        Its clock stands still, and messages from and to it wait, those to it
        until a turn after it runs again.
        """
        now_s = trio.current_time()
        self.frozen_until_s[name] = now_s + span_s + TURN_S
        self.paused_since_s[name] = now_s
        await trio.sleep(span_s)
        del self.paused_since_s[name]

    def stop(self, name):
        """Request a planned stop."""
        self.processes[name].stopping.set()

    async def begin(self, sheet=SHEET):
        """Start all processes and put the table; wait until in force."""
        for name in self.controllers + list(self.runners) + self.gateways:
            self.start(name)
        await trio.sleep(0.01)
        self.elect()
        await trio.sleep(4)
        reply = await self.put(sheet, 0, 'first')
        assert reply.accepted
        await trio.sleep(1)

    # Leadership.

    def is_leader(self, app):
        if app.name != self.leader or self.processes.get(app.name) is not app:
            return False
        since_s = self.isolated_since_s.get(app.name)
        if since_s is None:
            return True
        return trio.current_time() < since_s + LEADER_LEASE_S

    def elect(self, without=''):
        for name in self.controllers:
            usable = name in self.processes and name != without
            if usable and name not in self.isolated_since_s:
                break
        else:
            return
        self.leader = name
        self.term += 1
        daemon = self.daemons[name]
        daemon.replica.catch_up()
        daemon.replica.node.term = self.term
        daemon.on_role(None)

    async def _elect_later(self, lost):
        await trio.sleep(ELECTION_S)
        if self.leader == lost:
            self.elect(without=lost)

    def isolate(self, name):
        """Drop all messages from and to a process, without an error."""
        self.isolated_since_s[name] = trio.current_time()
        if name == self.leader:
            self.nursery.start_soon(self._elect_later, name)

    def heal(self, name=None):
        self.cut_links.clear()
        for each in [name] if name else list(self.isolated_since_s):
            self.isolated_since_s.pop(each, None)

    # Messages.

    def post(self, app, to, data, reply=False, channel=None):
        if app.muted:
            return
        if reply:
            to = to.partition('.')[0]
        message = messages.decode(data).message
        copies = [0.0]
        for rule in self.rules:
            if rule.matches(message):
                copies = rule.action(self, app, to) or []
        for extra_s in copies:
            # Computed here, since the order of tasks is not defined.
            due_s = self._due_s(app.name, to, extra_s)
            self.nursery.start_soon(self._deliver, app, to, data, reply, due_s)

    def _is_cut(self, one, other):
        if one in self.isolated_since_s or other in self.isolated_since_s:
            return True
        return (one, other) in self.cut_links

    def _due_s(self, sender, to, extra_s):
        now_s = trio.current_time()
        due_s = now_s + LATENCY_S * (1 + self.rng.random()) + extra_s
        if not extra_s and self.rng.random() >= self.reorder_probability:
            # Messages of one connection stay in order.
            last_s = self.last_due_s.get((sender, to), 0)
            due_s = max(due_s, last_s + 1e-6)
            self.last_due_s[sender, to] = due_s
        elif not extra_s:
            due_s += self.rng.uniform(0, 0.5)
        return due_s

    async def _deliver(self, app, to, data, reply, due_s):
        await trio.sleep_until(due_s)
        for name in (app.name, to):
            await trio.sleep_until(
                max(trio.current_time(), self.frozen_until_s.get(name, 0))
            )
        target = self.processes.get(to)
        if target is None or self._is_cut(app.name, to):
            return
        if not reply:
            if target.channel is None:
                return
            frame = FrameWithSender(data)
            frame.sender = app.name
            route = f'{app.name}.{app.incarnation}.1'.encode()
            target.channel.put([route, frame])
            return
        for dealer in target.dealers:
            if dealer.peer == app.name and not dealer.closed:
                dealer.put([data])
                return

    # Actions of callers and operators.

    async def put(self, sheet, base, operation, limit_s=20):
        """Put a sheet through the leader; resend until it is answered."""
        rows = [tables.to_cells(r) for r in sheets.read_sheet(sheet)]
        message = messages.PutTable(operation, base, 'op', rows)
        with trio.fail_after(limit_s):
            while True:
                daemon = self.daemons.get(self.leader)
                try:
                    return await daemon.put(None, message)
                except errors.NoController:
                    await trio.sleep(0.1)

    async def request(
        self,
        name,
        team,
        service,
        mark,
        key='',
        limit_s=60.0,
        vanish_s=None,
        whole=False,
        parts=(),
    ):
        """Send a request through a gateway and return the result.

        The caller closes its connection after ``vanish_s``, if given, and
        the request counts as cut off after ``limit_s``.
        """
        app = self.processes.get(name)
        if app is None or app.nursery is None:
            result = Result(by=name, cut=True)
            self.results.append((mark, result))
            return result
        body = json.dumps({'mark': mark}).encode()
        exchange = exchanges.Exchange(
            f'{name}-{mark}', team, service, '/v1/x', body, key,
            trio.current_time(),
        )  # fmt: skip
        exchange.shared_parts = parts
        result = Result(by=name)
        started_s = trio.current_time()
        done = trio.Event()

        async def run():
            nonlocal result
            # The HTTP server cancels like this if the caller disconnects.
            with trio.move_on_after(vanish_s or float('inf')):
                result = await self._run(name, exchange, whole)
            done.set()

        app.start_task(run)
        with trio.move_on_after(limit_s):
            while not done.is_set() and self.processes.get(name) is app:
                with trio.move_on_after(0.05):
                    await done.wait()
        if not done.is_set():
            result = Result(by=name, cut=True)
        result.took_s = trio.current_time() - started_s
        self.results.append((mark, result))
        return result

    async def _run(self, name, exchange, whole):
        daemon = self.daemons[name]
        attempt = None
        daemon.open_requests += 1
        try:
            attempt, data = await daemon.begin(exchange, whole)
            parts = [data]
            while not whole and parts[-1]:
                parts.append(await daemon.dispatcher.read_more(attempt))
            return Result(b''.join(parts), by=name)
        except errors.MountridgeError as problem:
            daemon.refuse(exchange, problem)
            return Result(problem=problem, by=name, cut=attempt is not None)
        finally:
            gateway.end_request(daemon, exchange, attempt)

    def runs(self, mark):
        """Return how often all runners together ran the request ``mark``."""
        return sum(runner.runs[mark] for runner in self.runners.values())

    def machine(self):
        """Return a state machine that has applied the complete log."""
        made = statemachine.StateMachine()
        for number, payload in enumerate(self.log):
            try:
                made.apply_payload(number + 1, payload)
            except errors.MountridgeError:
                continue
        return made


# Actions of rules. Each returns the extra delays of the copies of the message
# that are delivered, in seconds.


def lose(world, app, to):
    """The message is lost."""
    return []


def duplicate(world, app, to):
    """The message is delivered twice, the second time delayed."""
    return [0.0, 0.7]


def delay(world, app, to):
    """The message is delayed, and later messages overtake it."""
    return [2.5]


def kill_sender_before(world, app, to):
    """The sender is killed before the message is sent."""
    world.nursery.start_soon(world.restart, app.name)
    app.muted = True
    return []


def kill_sender_after(world, app, to):
    """The sender is killed just after the message is sent."""
    world.nursery.start_soon(world.restart, app.name)
    return [0.0]


def kill_receiver_before(world, app, to):
    """The receiver is killed before the message is delivered."""
    world.nursery.start_soon(world.restart, to)
    return []


def kill_receiver_after(world, app, to):
    """The receiver is killed after it handled the message, unanswered."""
    target = world.processes.get(to)

    async def restart():
        await trio.sleep(2 * LATENCY_S)
        await world.restart(to)

    if target:
        target.muted = True
        world.nursery.start_soon(restart)
    return [0.0]


def disconnect(world, app, to):
    """The two are disconnected for 4 s, and the message is lost."""
    pair = {(app.name, to), (to, app.name)}
    world.cut_links |= pair

    async def end():
        await trio.sleep(4)
        world.cut_links.difference_update(pair)

    world.nursery.start_soon(end)
    return []


def cut_replies(world, app, to):
    """The message is delivered, but replies are lost for 4 s."""
    pair = {(to, app.name)}
    world.cut_links |= pair

    async def end():
        await trio.sleep(4)
        world.cut_links.difference_update(pair)

    world.nursery.start_soon(end)
    return [0.0]


def freeze_sender(world, app, to):
    """The sender is frozen for 5 s; the message is delivered after that."""
    world.frozen_until_s[app.name] = trio.current_time() + 5
    return [0.0]


def freeze_receiver(world, app, to):
    """The receiver is frozen for 5 s."""
    world.frozen_until_s[to] = trio.current_time() + 5
    return [0.0]


def isolate_receiver(world, app, to):
    """All messages from and to the receiver are lost for 8 s."""
    world.isolate(to)

    async def end():
        await trio.sleep(8)
        world.heal(to)

    world.nursery.start_soon(end)
    return []


ACTIONS = {
    'is lost': lose,
    'is duplicated': duplicate,
    'is delayed': delay,
    'kills its sender before it is sent': kill_sender_before,
    'kills its sender after it is sent': kill_sender_after,
    'kills its receiver before it arrives': kill_receiver_before,
    'kills its receiver after it is handled': kill_receiver_after,
    'cuts its link in both directions': disconnect,
    'cuts its link for replies': cut_replies,
    'freezes its sender': freeze_sender,
    'freezes its receiver': freeze_receiver,
    'isolates its receiver': isolate_receiver,
}


def play(script, seed, **sizes):
    """Run ``script(world)`` on virtual time and return its result."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(str(seed))
    found = {}

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery, seed, **sizes)
            found['result'] = await script(world)
            nursery.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
    return found['result']


def play_for(context, script):
    """Run a script with the seed and the sizes of a scenario."""
    return play(script, context.scenario.name, **context.sizes)
