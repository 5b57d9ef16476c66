# SPDX-License-Identifier: Apache-2.0

"""Steps on the evidence by which answers and streams count as complete."""

import contextlib
import io
import itertools
import json
import logging
import socket
import struct

from behave import then, when
from click import testing
import h11
import trio
import trio.testing

from mountridge import clihalls, cliroutes
from mountridge.dispatch import streamends, upstreams
from mountridge.documents import routes
from mountridge import errors, logs
from mountridge.experts import ranks
from mountridge.groups import engines
from mountridge.net import dialects, httpserver, lasthop
from mountridge import sidecar

EVENTS = [b'data: e%d\n\n' % n for n in range(1, 4)]
BODY = b''.join(EVENTS)
CHAT_EVENTS = EVENTS + [b'data: [DONE]\n\n']
#: The bytes of a stream, by where it ends.
STREAMS = {
    'after its last event': b''.join(CHAT_EVENTS),
    'within an event': BODY[:-1],
    'between two events': BODY,
    'before its first event': b'',
    'as its runner crashes': BODY,
    'as it leaves, slowly': BODY,
    'as it crashes, slowly': BODY,
}
#: For so long a process that ends slowly accepts connections.
SLOW_END_S = 0.02
#: Bodies of an entry's answers to operators.
DOCUMENT = b'{"version": 3, "halls": []}'
ERROR = b'{"error": {"code": 1404, "message": "changed"}}'
DEADLINE_S = 1.0
REQUEST = b'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n'
OLD_REQUEST = REQUEST.replace(b'1.1', b'1.0')
REQUESTS = {
    'HTTP/1.1': REQUEST,
    'HTTP/1.1, Connection: close': REQUEST[:-2] + b'Connection: close\r\n\r\n',
    'HTTP/1.0': OLD_REQUEST,
    'HTTP/1.0, keep-alive': OLD_REQUEST[:-2]
    + b'Connection: keep-alive\r\n\r\n',
    'pipelined HTTP/1.1': 2 * REQUEST,
}


class _SlowCaller:
    """A server's end of a connection to a caller that can stop reading."""

    def __init__(self, stream):
        self._stream = stream
        self.receive_some, self.aclose = stream.receive_some, stream.aclose
        #: Bytes that still arrive; any number while it reads.
        self.room_bytes = None

    async def send_all(self, data):
        await self._stream.send_all(data[: self.room_bytes])
        if self.room_bytes is not None:
            await trio.sleep_forever()


async def _serve(handler, requests):
    """Return what a caller receives that sends all ``requests`` at once.

    ``handler`` is called with the connection first.
    """
    caller, served = trio.testing.memory_stream_pair()
    stream = _SlowCaller(served)

    async def handle(_, responder):
        await handler(stream, responder)

    server = httpserver.Server(handle, routes.Limits, lambda: False)
    received = b''
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_connection, stream)
        await caller.send_all(requests)
        with trio.move_on_after(2 * DEADLINE_S):
            while data := await caller.receive_some(65536):
                received += data
        nursery.cancel_scope.cancel()
    return received


def _play(script, *args):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(script, *args, clock=clock)


def _parse(received):
    """Return the first response as a caller reads it, and what follows it.

    The response is (head, body, whether it is complete), None if there is
    none.
    """
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method='GET', target='/', headers=[('Host', 'a')]))
    http.send(h11.EndOfMessage())
    http.receive_data(received)
    http.receive_data(b'')
    head, body = None, b''
    try:
        while True:
            event = http.next_event()
            if isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                break
    except h11.RemoteProtocolError:
        return head and (head, body, False), b''
    if not isinstance(event, h11.EndOfMessage):
        return None, b''
    return (head, body, True), http.trailing_data[0]


@when('the deadline passes while a caller does not read {part}')
def cancel_send(context, part):
    async def handle(stream, responder):
        with trio.move_on_after(DEADLINE_S):
            if part == 'a complete response':
                stream.room_bytes = 90
                await responder.send_response(200, [], BODY)
            await responder.start(200, [])
            await responder.send(EVENTS[0])
            stream.room_bytes = 2
            if part == 'an event':
                await responder.send(EVENTS[1])
            await responder.finish()
        stream.room_bytes = None

    context.received = _play(_serve, handle, 2 * REQUEST)


@then('the caller finds its response incomplete, and no response behind it')
def check_incomplete(context):
    response, rest = _parse(context.received)
    assert context.received.count(b'HTTP/1.1') < 2, context.received
    assert not rest and (response is None or not response[2]), response


@when('a caller requests a {what} over {protocol}')
def request_over(context, what, protocol):
    async def handle(_, responder):
        if what == 'response that is aborted':
            return
        await responder.start(200, [])
        if what == 'stream that is aborted at its head':
            return
        for event in EVENTS:
            await responder.send(event)
        if what == 'stream':
            await responder.finish()

    context.received = _play(_serve, handle, REQUESTS[protocol])


@then('it finds its response {seen}')
def check_seen(context, seen):
    response, rest = _parse(context.received)
    assert not rest, rest
    if seen == 'missing':
        assert response is None, response
        return
    head, body, is_complete = response
    assert is_complete == (seen == 'complete'), response
    assert not is_complete or body == BODY, response
    framings = {b'content-length', b'transfer-encoding'}
    assert framings & {name for name, _ in head.headers}, head


def _framed(where, framing):
    """Return the bytes of a runner's answer, and whether a reset ends it."""
    data = STREAMS.get(where.removesuffix(' in CRLF'), BODY)
    if where.endswith(' in CRLF'):
        data = data.replace(b'\n', b'\r\n')
    is_reset = where == 'by a reset'
    head = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    if where.startswith('as it leaves'):
        head += b'X-Leaving: 1\r\n'
    if framing == 'its length':
        length = len(data) + is_reset
        return head + b'Content-Length: %d\r\n\r\n' % length + data, is_reset
    if framing == 'chunks':
        end = b'' if is_reset else b'0\r\n\r\n'
        chunk = b'%x\r\n%s\r\n' % (len(data), data)
        head += b'Transfer-Encoding: chunked\r\n\r\n'
        return head + chunk + end, is_reset
    return head + b'\r\n' + data, is_reset


@contextlib.asynccontextmanager
async def _answering(data, is_reset, crashes=False, ends_slowly=False):
    """Run a server that answers one request with ``data``; yield its address.

    It closes the connection then, or resets it once ``data`` has arrived. If
    ``data`` is None, it never answers. If it crashes, it stops listening, or
    soon after it has closed the connection if it ends slowly.
    """
    listening, connections = trio.CancelScope(), itertools.count()

    async def serve(stream):
        if next(connections) and ends_slowly:
            await trio.sleep(SLOW_END_S)
            listening.cancel()
            return
        await stream.receive_some(65536)
        if data is None:
            await trio.sleep_forever()
        await stream.send_all(data)
        if crashes:
            listening.cancel()
            await trio.testing.wait_all_tasks_blocked()
        if is_reset:
            await trio.testing.wait_all_tasks_blocked(0.05)
            linger = struct.pack('ii', 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def listen(listener, nursery):
        with listening:
            await trio.serve_listeners(
                serve, [listener], handler_nursery=nursery
            )

    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(listen, listener, nursery)
        yield '127.0.0.1:%d' % listener.socket.getsockname()[1]
        nursery.cancel_scope.cancel()


@when('an agent reads a chat stream that ends {where}, framed by {framing}')
def read_chat_stream(context, where, framing):
    read_stream(context, streamends.CHAT_PATH, where, framing)


@when(
    'an agent reads a stream of {path} that ends {where}, framed by {framing}'
)
def read_stream(context, path, where, framing):
    context.received, context.problem = b'', None

    async def read():
        crashes = where == 'as its runner crashes'
        answer = _framed(where, framing)
        ends_slowly = where.endswith(', slowly')
        async with _answering(*answer, crashes, ends_slowly) as address:
            upstream = upstreams.Upstream(f'http://{address}')
            async with upstream.request(path, [], b'{}') as response:
                try:
                    async for data in response.pieces():
                        context.received += data
                except errors.BadAnswer as problem:
                    context.problem = problem

    trio.run(read)


def _named(name, framing=b''):
    """Return the bytes of an answer that names a request, if any."""
    head = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    if name:
        head += b'X-Request-Id: ' + name + b'\r\n'
    if framing:
        chunk = b'1\r\n' + name + b'\r\n0\r\n\r\n'
        return head + b'Transfer-Encoding: chunked\r\n\r\n' + chunk
    body = name or b'none'
    return head + b'Content-Length: %d\r\n\r\n' % len(body) + body


@when('an agent sends request "b" and its runner answers {first} before it')
def answer_before(context, first):
    before = {
        'request "a" again': _named(b'a'),
        'request "a" in chunks': _named(b'a', b'chunked'),
        'nothing': b'',
        'without naming requests': _named(b''),
    }[first]

    async def read():
        async with _answering(before + _named(b'b'), False) as address:
            upstream = upstreams.Upstream(f'http://{address}')
            async with upstream.request('/v1/x', [], b'{}', 'b') as response:
                pieces = [data async for data in response.pieces()]
        context.received = b''.join(pieces)

    trio.run(read)


@then('the agent takes the answer of {taken}')
def check_answer_of(context, taken):
    assert context.received == taken.encode(), context.received


@then('the agent takes it for {seen}')
def check_taken_for(context, seen):
    is_broken = context.problem is not None
    assert is_broken == (seen == 'broken off'), context.problem


def _order_answer(answer):
    """Return the bytes of an engine's answer, and whether a reset ends it."""
    head = b'HTTP/1.1 ' + answer[len('is ') :][:3].encode() + b' X\r\n'
    if answer == 'never comes':
        return None, False
    if answer == 'ends within its head':
        return b'HTTP/1.1 202 X\r\nContent-', False
    if answer == 'is 202 and closes without length':
        return head + b'\r\n{}', False
    is_cut = 'breaks' in answer or 'reset' in answer
    length = b'Content-Length: %d\r\n\r\n' % (2 + is_cut)
    return head + length + b'{}', 'reset' in answer


@when("an engine's answer to an order {answer}")
def order(context, answer):
    sent = ranks.RankOrder(ranks.HOLD, 1, 2, 3, [])

    async def execute(address):
        pool = lasthop.Pool(dialects.NATIVE.headers, trio.current_time)
        engine = engines.NativeEngine(engines.EngineCalls(pool, address))
        context.fields = await sidecar.execute_order(engine, sent)

    async def play():
        if answer == 'finds no engine':
            await execute('127.0.0.1:1')
            return
        async with _answering(*_order_answer(answer)) as address:
            await execute(address)

    trio.run(play)


@then('the log has the order as {outcome}')
def check_order(context, outcome):
    assert context.fields['outcome'].startswith(outcome), context.fields


def _control_answer(answer):
    """Return the bytes of an entry's answer, and whether a reset ends it."""
    ok, failed = b'HTTP/1.1 200 OK\r\n', b'HTTP/1.1 503 X\r\n'
    length = b'Content-Length: %d\r\n\r\n' % len(DOCUMENT)
    return {
        'is whole': (ok + length + DOCUMENT, False),
        'closes as it should': (ok + b'\r\n' + DOCUMENT, False),
        'closes too early': (ok + b'\r\n' + DOCUMENT[:-3], False),
        'is shorter than its length': (ok + length + DOCUMENT[:-3], False),
        'is reset': (ok + length + DOCUMENT[:-3], True),
        'is an error that is cut': (failed + b'\r\n' + ERROR[:-3], False),
        'is an error of another server': (failed + b'\r\nno', False),
        'has status 000': (
            ok.replace(b'200', b'000') + length + DOCUMENT,
            False,
        ),
        'has status 999': (
            ok.replace(b'200', b'999') + length + DOCUMENT,
            False,
        ),
    }[answer]


@when('an operator runs {command} and the answer {answer}')
def run_command(context, command, answer):
    group, *args = command.split()
    groups = {'routes': cliroutes.group, 'halls': clihalls.group}

    async def play():
        async with _answering(*_control_answer(answer)) as address:
            context.shown = await trio.to_thread.run_sync(
                testing.CliRunner().invoke,
                groups[group],
                [*args, '--entry', address],
            )

    trio.run(play)


@then('the command exits with code {code:d}')
def check_code(context, code):
    shown = context.shown
    assert shown.exit_code == code, (shown.output, shown.exception)


@when('the handler of a request fails with a KeyError')
def fail_unexpectedly(context):
    async def handle(_, responder):
        return {}['missing']

    shown = io.StringIO()
    handler = logging.StreamHandler(shown)
    handler.setFormatter(logs._LineFormatter('entry', as_json=True))
    logs.logger.logger.addHandler(handler)
    try:
        assert not _play(_serve, handle, REQUEST)
    finally:
        logs.logger.logger.removeHandler(handler)
    context.log = shown.getvalue()


@then('the log has a line on it, with the line of code that failed')
def check_failure_line(context):
    fields = json.loads(context.log)
    assert 'KeyError' in fields['exception'], fields
    assert "return {}['missing']" in fields['traceback'], fields
