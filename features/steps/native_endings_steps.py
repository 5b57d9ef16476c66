# SPDX-License-Identifier: Apache-2.0

"""Steps on how answers end for callers of a gateway, with real processes."""

import contextlib
import json
import socket
import socketserver
import struct
import threading
import time

from behave import given, then, when
import h11
import h2.connection
import h2.events

from features.steps import processes
from features.worlds import system
from mountridge import errors
from standins import cluster

EVENTS = [b'data: e%d\n\n' % n for n in range(1, 4)] + [b'data: [DONE]\n\n']
#: Events that a runner sends, by where it ends; a half is within the next.
SENT = {
    'after its last event': 4,
    'within an event': 2.5,
    'between two events': 2,
    'before its first event': 0,
}
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
#: Time for an event to reach the caller before what follows it.
PAUSE_S = 0.3
TIMEOUT_S = 10.0
#: Deadline of requests of the row that is used, by the sample table.
ROW_DEADLINE_S = 60.0


class _Runner(socketserver.ThreadingTCPServer):
    """A runner that ends its answers as the body of a request names it."""

    daemon_threads = True

    def __init__(self):
        super().__init__(('127.0.0.1', 0), _Answering)
        #: Set once a request has got its first events.
        self.reached = threading.Event()
        threading.Thread(target=self.serve_forever, daemon=True).start()


class _Answering(socketserver.StreamRequestHandler):
    def handle(self):
        length = 0
        while line := self.rfile.readline().strip():
            name, _, value = line.partition(b':')
            if name.lower() == b'content-length':
                length = int(value)
        ends = json.loads(self.rfile.read(length) or b'{}').get('ends', '')
        if ends == 'before its head':
            return
        if ends.startswith('with status '):
            status = ends.rpartition(' ')[2].encode()
            self.wfile.write(HEAD.replace(b' 200 ', b' %s ' % status))
            self.wfile.write(b''.join(EVENTS))
            return
        count = SENT.get(ends, 2)
        self.wfile.write(HEAD + b''.join(EVENTS[: int(count)]))
        time.sleep(PAUSE_S)
        self.server.reached.set()
        if count != int(count):
            self.wfile.write(EVENTS[int(count)][:4])
        if ends.endswith('dies'):
            with contextlib.suppress(ConnectionResetError):
                self.rfile.read(1)
        if ends == 'by a reset':
            linger = struct.pack('ii', 1, 0)
            self.request.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            self.request.close()


@given('an agent whose runner ends its answers as requests name it')
def start_agent(context):
    context.runner = _Runner()
    daemons = context.cluster
    url = 'http://127.0.0.1:%d' % context.runner.server_address[1]
    daemons.add('agent', 'a1', runner=url, services=processes.SERVICES)
    daemons.start('a1')
    context.agents = 1
    processes.put_sample(context)


def _ask(context, ends, protocol):
    """Return a caller's response as (status, body, whether complete)."""
    daemons, reached = context.cluster, context.runner.reached
    reached.clear()
    body = {'model': 'drafts', 'stream': True, 'messages': [], 'ends': ends}
    data = json.dumps(body).encode()
    head = (
        f'POST /v1/chat/completions {protocol}\r\nHost: a.example\r\n'
        f'Authorization: Bearer dispatch\r\nContent-Length: {len(data)}\r\n'
        'Connection: close\r\n\r\n'
    )
    host, port = daemons.http['g1'].split(':')
    address = host, int(port)
    with socket.create_connection(address, timeout=TIMEOUT_S) as caller:
        if protocol == 'HTTP/2':
            caller.sendall(_http2_request(data))
        else:
            caller.sendall(head.encode() + data)
        if ends.endswith('dies'):
            assert reached.wait(TIMEOUT_S)
            daemons.kill('a1' if 'agent' in ends else 'g1')
        if protocol == 'HTTP/2':
            return _read_http2_response(caller)
        return _read_response(caller)


def _http2_request(data):
    """Return the bytes of a chat request on a new HTTP/2 connection."""
    http = h2.connection.H2Connection()
    http.initiate_connection()
    fields = [
        (':method', 'POST'), (':path', '/v1/chat/completions'),
        (':scheme', 'http'), (':authority', 'a.example'),
        ('authorization', 'Bearer dispatch'),
    ]  # fmt: skip
    http.send_headers(1, fields)
    http.send_data(1, data, end_stream=True)
    return http.data_to_send()


def _read_http2_response(caller):
    """Return a response as (status, body, whether it is complete)."""
    http = h2.connection.H2Connection()
    http.initiate_connection()
    fields = [
        (':method', 'GET'), (':path', '/'), (':scheme', 'http'),
        (':authority', 'a'),
    ]  # fmt: skip
    http.send_headers(1, fields)
    status, body = 0, b''
    with contextlib.suppress(ConnectionResetError, TimeoutError):
        while data := caller.recv(65536):
            for event in http.receive_data(data):
                if isinstance(event, h2.events.ResponseReceived):
                    status = int(dict(event.headers)[b':status'])
                elif isinstance(event, h2.events.DataReceived):
                    body += event.data
                elif isinstance(event, h2.events.StreamEnded):
                    return status, body, True
                elif isinstance(event, h2.events.StreamReset):
                    return status, body, False
    return status, body, False


def _read_response(caller):
    """Return a response as (status, body, whether it is complete)."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method='GET', target='/', headers=[('Host', 'a')]))
    http.send(h11.EndOfMessage())
    status, body = 0, b''
    try:
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                http.receive_data(caller.recv(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                return status, body, False
    except (h11.RemoteProtocolError, ConnectionResetError, TimeoutError):
        return status, body, False
    return status, body, True


def _name(status, body, is_complete):
    if not status:
        return 'missing'
    if not is_complete:
        return 'incomplete'
    last = body.rpartition(b'event: error\n')
    if status == 200 and last[1]:
        whole = b''.join(EVENTS[: last[0].count(b'\n\n')])
        is_right = last[0] == whole and b'"code"' in last[2]
        return 'ended by an error' if is_right else f'cut: {body}'
    if status == 200:
        return 'complete' if body == b''.join(EVENTS) else f'cut: {body}'
    return f'refused as {json.loads(body)["error"]["outcome"]}'


@then('callers get these chat streams')
def check_streams(context):
    wrong = []
    for ends, protocol, seen in context.table:
        found = _name(*_ask(context, ends, protocol))
        if found != seen:
            wrong.append(f'{ends}, {protocol}: {found}, not {seen}')
        _restart(context, ends)
    assert not wrong, '\n'.join(wrong)


def _restart(context, ends):
    """Start what has died again, and wait until it serves."""
    if not ends.endswith('dies'):
        return
    context.cluster.start('a1' if 'agent' in ends else 'g1')

    def serves():
        with contextlib.suppress(OSError):
            answer = _ask(context, 'after its last event', 'HTTP/1.1')
            return _name(*answer) == 'complete'

    # One that was away for longer than its lease gets a share of the limits
    # again once the requests that it may have started are over.
    cluster.wait_for(serves, ROW_DEADLINE_S + cluster.TIMEOUT_S)


@when('one runner breaks off its answers, and the other refuses all requests')
def break_off_and_refuse(context):
    async def script(world):
        await world.begin()
        breaking, refusing = world.runners.values()
        breaking.truncates = True
        refusing.head = system.REPLY_HEAD._replace(status=503, not_run=True)
        for number in range(20):
            mark = f'k{number}'
            await world.request('g1', 'crews', 'drafts', mark, whole=True)
        return [(r, world.runs(mark)) for mark, r in world.results]

    context.results = system.play_for(context, script)


@then('no request that ran is reported as not run')
def check_reported(context):
    ran = [result for result, runs in context.results if runs]
    assert ran and all(result.problem for result in ran), ran
    wrong = [r.problem for r in ran if r.outcome == errors.NOT_RUN]
    assert not wrong, wrong
    # A status of 429 or 503 is a promise as well.
    assert all(r.problem.status not in (429, 503) for r in ran), ran
