# SPDX-License-Identifier: Apache-2.0

"""Steps for answers whose status HTTP does not have."""

import contextlib

from behave import given, then, when
import trio
import trio.testing

from features.steps import brokenoff_steps as broken
from features.steps import endings_steps as endings
from features.steps import forwarding_steps as base
from mountridge.dispatch import upstreams
from mountridge import errors
from mountridge.experts import ranks
from mountridge.groups import engines
from mountridge.net import dialects, lasthop
from mountridge import sidecar

#: Requests after which a failing runner gets no more for a while.
REQUESTS = 6


class Runner(broken.Runner):
    """A runner whose answers are whole, but for their status."""

    def __init__(self, framing, status, manner):
        super().__init__(framing, 'at the end', manner)
        self.status = status
        #: Requests that came behind such an answer on its connection.
        self.reused = 0

    async def _end(self, stream):
        """Wait for another request, where the framing lets one come."""
        if self.framing != 'close':
            self.reused += await self._read(stream) is not None

    def _broken(self, request):
        last_chunk = b'0\r\n\r\n' if self.framing == 'chunks' else b''
        return super()._broken(request) + last_chunk

    def _head(self, request, length):
        return _with_status(super()._head(request, length), self.status)


def _with_status(answer, status):
    status = b'' if status == 'none' else status.encode()
    return answer.replace(b' 200 ', b' %s ' % status, 1)


@given('a runner whose answers have status {status}, framed in any way')
def set_status(context, status):
    context.make_runner = Runner
    context.breaks = [
        (framing, status, 'closes') for framing in broken.FRAMINGS['any']
    ]


@when('safe requests are sent one after the other')
def send_several(context):
    context.lines, context.worlds = [], []

    async def script(world):
        for _ in range(REQUESTS):
            stream = await world.open()
            await stream.send_all(base._request(b'/safe/1'))
            received = await base._read_all(stream)
            assert received.startswith(b'HTTP/1.1 200'), received

    with _collected(context.lines):
        for place in context.breaks:
            context.world = base.World(*2 * ['answers correctly'])
            context.world.runners[0] = Runner(*place)
            context.worlds.append(context.world)
            base._run(context, script)


@contextlib.contextmanager
def _collected(lines):
    """Add the fields of the log lines of a block to ``lines``."""
    logger = base.forwarding.logger
    original = logger.info

    def info(text, **fields):
        lines.append({'text': text, **fields})
        original(text, **fields)

    logger.info = info
    try:
        yield
    finally:
        logger.info = original


@then('it is sent some of them, each on a new connection, and then none')
def check_ejected(context):
    for world in context.worlds:
        runner = world.runners[0]
        assert 0 < runner.runs < REQUESTS, runner.runs
        assert not runner.reused, runner.reused
        assert world.known.by_id['i-0'].ejected_until_s > 0


@then('its failed attempts are logged with code {code:d}')
def check_logged(context, code):
    failed = [x for x in context.lines if x['text'] == 'attempt failed']
    runs = sum(world.runners[0].runs for world in context.worlds)
    assert len(failed) == runs, failed
    assert {line['code'] for line in failed} == {code}, failed


def _whole(status):
    answer = b'HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}'
    return _with_status(answer, status)


def _fail(answer, work):
    """Return the error of ``work`` on the address of a server."""
    problems = []

    async def play():
        async with endings._answering(answer, False) as address:
            try:
                await work(address)
            except errors.MountridgeError as problem:
                problems.append(problem)

    trio.run(play)
    return problems[0] if problems else None


@when('an agent reads an answer with status {status}')
def read_as_agent(context, status):
    async def read(address):
        upstream = upstreams.Upstream(f'http://{address}')
        async with upstream.request('/v1/x', [], b'{}') as response:
            async for _ in response.pieces():
                pass

    context.problem = _fail(_whole(status), read)


@then('it fails with {name}')
def check_problem(context, name):
    assert type(context.problem).__name__ == name, repr(context.problem)


def _engine(address):
    pool = lasthop.Pool(dialects.NATIVE.headers, trio.current_time)
    return engines.NativeEngine(engines.EngineCalls(pool, address))


@when('an engine answers all calls with status {status}')
def call_engine(context, status):
    sent = ranks.RankOrder(ranks.HOLD, 1, 2, 3, [])

    async def order(address):
        fields = await sidecar.execute_order(_engine(address), sent)
        context.outcome = fields['outcome']

    async def report(address):
        await _engine(address).counts()

    async def check_health(address):
        await _engine(address).instance_id()

    assert _fail(_whole(status), order) is None
    context.problems = [
        _fail(_whole(status), work) for work in (report, check_health)
    ]


@then('the order has an unknown outcome, and the others have none')
def check_engine(context):
    assert context.outcome.startswith('unknown: '), context.outcome
    for problem in context.problems:
        assert isinstance(problem, errors.OutcomeUnknown), problem
