"""A small deployment on loopback, started with the commands of the deploy file.

Standard library only. Entries and sidecars are the project's own programs;
operator, callers and runners are stand-ins that follow the users' pages.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FRONT, READY, CONTROL, DIRECTORY, INTERNAL, APP = 8227, 8220, 8229, 8224, 7340, 8228
#: Bounds of the sheets for the small deployments (SYSTEM.md).
BOUNDS = {
    'contact_s': 3.0, 'ack_s': 4.0, 'apply_s': 2.0, 'drain_s': 2.0,
    'recover_s': 12.0, 'catch_up_s': 4.0,
}


# The template language of DEPLOY.md, as far as deploy/*.yaml uses it.

def _lookup(stack, name):
    if name == '.':
        return stack[-1]
    for scope in reversed(stack):
        value = scope
        for part in name.split('.'):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def _text(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ''
    if isinstance(value, list):
        return ','.join(map(str, value))
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(text, fields):
    tokens = re.split(r'(\{\{.*?\}\})', text)

    def walk(at, stack, key, is_last, until):
        out = []
        while at < len(tokens):
            token = tokens[at]
            if not token.startswith('{{'):
                out.append(token)
                at += 1
                continue
            word = token[2:-2].strip()
            if word == '/' + until and until:
                return ''.join(out), at + 1
            if word[0] in '#^':
                name = word[1:]
                value = _lookup(stack, name)
                given = value not in (None, False, [], {}, '')
                if word[0] == '^':
                    body, end = walk(at + 1, stack, key, is_last, name)
                    out.append('' if given else body)
                elif given and isinstance(value, (dict, list)):
                    items = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
                    for number, (k, v) in enumerate(items):
                        body, end = walk(at + 1, stack + [v], k, number == len(items) - 1, name)
                        out.append(body)
                else:
                    body, end = walk(at + 1, stack, key, is_last, name)
                    out.append(body if given else '')
                at = end
                continue
            if word == '@':
                out.append(str(key))
            elif word == ',':
                out.append('' if is_last else ',')
            else:
                name, _, form = word.partition('|')
                out.append(_text(_lookup(stack, name), form == 'json'))
            at += 1
        return ''.join(out), at

    return walk(0, [fields], '', True, '')[0]


# HTTP as callers, runners and operators speak it.

class Connection:
    """A kept connection; one request at a time."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self, timeout=1.0):
        host, _, port = self.address.rpartition(':')
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port)), timeout)

    @property
    def is_open(self):
        return self.writer is not None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, headers=(), body=b''):
        lines = [f'{method} {path} HTTP/1.1'] + [f'{k}: {v}' for k, v in headers]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join(lines).encode('utf-8') + b'\r\n\r\n' + body)
        await self.writer.drain()

    async def receive(self):
        """Return (status, headers, body, whether it is whole)."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        first, *rest = head.decode('latin-1').split('\r\n')
        status = int(first.split()[1])
        headers = {}
        for line in rest:
            if ':' in line:
                k, _, v = line.partition(':')
                headers[k.strip().lower()] = v.strip()
        body, whole = b'', True
        if headers.get('transfer-encoding') == 'chunked':
            try:
                while True:
                    size = int((await self.reader.readline()).split(b';')[0], 16)
                    if not size:
                        await self.reader.readline()
                        break
                    body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
            except (ValueError, asyncio.IncompleteReadError, OSError):
                whole = False
        elif 'content-length' in headers:
            try:
                body = await self.reader.readexactly(int(headers['content-length']))
            except (asyncio.IncompleteReadError, OSError):
                whole = False
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return status, headers, body, whole


async def call(address, method, path, headers=(), body=b'', timeout=1.0):
    """One request on a connection of its own; None without an answer."""
    connection = Connection(address)

    async def run():
        await connection.open(timeout)
        await connection.send(method, path, [('Host', 'control'), *headers], body)
        return await connection.receive()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            asyncio.LimitOverrunError):
        return None
    finally:
        connection.close()


class Rig:
    """The processes of one case, its record and its temporary folder."""

    def __init__(self, case, disks=3, diskless=1, sidecars=0, heartbeat_ms=1200):
        self.case = pathlib.Path(case).resolve()
        self.record_file = open(self.case / 'record.txt', 'w')
        self.started = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='mountridge-review-'))
        self.net = self._free_net()
        self.disks, self.entries = disks, disks + diskless
        self.sidecars = sidecars
        self.heartbeat_ms = heartbeat_ms
        self.zones = ['hall-north', 'hall-centre', 'hall-east']
        self.seeds = [0, 1, 2][:disks]
        self.processes = {}
        #: Processes that this script has ended or is ending.
        self.expected_ends = set()
        self.own_ends = []
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.roles = deploy['roles']
        self.record('start', trouble=TROUBLE)

    def _free_net(self):
        for _ in range(200):
            net = f'127.{random.randrange(60, 250)}.{random.randrange(1, 250)}.'
            try:
                for port in (FRONT, CONTROL, INTERNAL):
                    with socket.socket() as probe:
                        probe.bind((net + '1', port))
                return net
            except OSError:
                continue
        raise SystemExit(2)

    def record(self, text, **fields):
        at = time.monotonic() - self.started
        shown = ' '.join(f'{k}={v}' for k, v in fields.items())
        self.record_file.write(f'{at:8.3f} {text} {shown}\n')
        self.record_file.flush()

    # Addresses.

    def host(self, entry):
        return f'{self.net}{entry + 1}'

    def side_host(self, number):
        return f'{self.net}{100 + number}'

    def front(self, entry):
        return f'{self.host(entry)}:{FRONT}'

    def control(self, entry):
        return f'{self.host(entry)}:{CONTROL}'

    # Processes.

    def fields(self, role, name, host, zone, bootstrap):
        return {
            'node-name': name, 'role': role, 'ip': host, 'zone': zone,
            'region': 'pavlodar', 'zones': {z: 'pavlodar' for z in self.zones},
            'listen': {
                'front': f'{host}:{FRONT}', 'readiness': f'{host}:{READY}',
                'control': f'{host}:{CONTROL}', 'directory': f'{host}:{DIRECTORY}',
            },
            'internal-ports': [INTERNAL, INTERNAL + 15],
            'seeds': [self.control(n) for n in self.seeds],
            'bootstrap': bootstrap, 'heartbeat-ms': self.heartbeat_ms,
            'fault-tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': {
                'seed-lag-s': 3, 'reuse-after-s': 2, 'contact-ms': 3000,
                'ack-ms': 4000, 'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8,
                'loss-slack-ms': 200, 'config-apply-ms': 2000,
                'rollback-slack-ms': 250, 'outer-ms': 5000,
                'retry-budget-ratio': 0.2, 'budget-window-s': 10,
                'budget-slack': 96, 'recover-s': 12, 'stall_ms': 1500,
            },
        }

    def _spawn(self, name, role, fields):
        path = self.folder / f'{name}.settings'
        template = ROOT / self.roles[role]['template']
        path.write_text(render(template.read_text(), fields))
        command = self.roles[role]['run'].split()
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['MOUNTRIDGE_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
        self.expected_ends.discard(name)
        self.record('process started', name=name, bootstrap=fields['bootstrap'])

    def start_entry(self, number, bootstrap=False):
        name = f'entry-{number}'
        zone = self.zones[number % 3]
        fields = self.fields('entry', name, self.host(number), zone, bootstrap)
        if number < self.disks:
            fields['data-dir'] = str(self.folder / f'data-{number}')
        self._spawn(name, 'entry', fields)

    def start_sidecar(self, number, bootstrap=False):
        name = f'sidecar-{number}'
        fields = self.fields(
            'sidecar', name, self.side_host(number), self.zones[number % 3], bootstrap)
        fields['app'] = f'{self.side_host(number)}:{APP}'
        self._spawn(name, 'sidecar', fields)

    def start_all(self):
        for number in range(self.entries):
            self.start_entry(number, bootstrap=True)
        for number in range(self.sidecars):
            self.start_sidecar(number, bootstrap=True)

    def kill(self, name):
        self.expected_ends.add(name)
        self.processes[name].kill()
        self.processes[name].wait()
        self.record('SIGKILL', name=name)

    async def restart_ended(self, delay_s=1.0):
        """As the platform does: start again what has ended, after a delay."""
        while True:
            await asyncio.sleep(0.05)
            for name, process in list(self.processes.items()):
                if process.poll() is None or name in self.expected_ends:
                    continue
                self.own_ends.append((time.monotonic() - self.started, name))
                self.expected_ends.add(name)
                self.record('process ended by itself', name=name, code=process.returncode)
                asyncio.get_running_loop().create_task(self._later(name, delay_s))

    async def _later(self, name, delay_s):
        await asyncio.sleep(delay_s)
        kind, _, number = name.partition('-')
        (self.start_entry if kind == 'entry' else self.start_sidecar)(int(number))

    def log_tail(self, name, count=6):
        lines = (self.folder / f'{name}.log').read_text(errors='replace').splitlines()
        return lines[-count:]

    def close(self):
        for name, process in self.processes.items():
            self.expected_ends.add(name)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get('KEEP'):
            self.record('kept', folder='in the temporary folder')
            shutil.copytree(self.folder, os.environ['KEEP'], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()

    # The operator.

    async def operate(self, method, path, body=b'', entries=None, limit_s=20.0,
                      timeout=1.0, lose=lambda number, answer: False):
        """One order as PROTOCOL.md tells; return the final (status, body).

        Another daemon after a failure, a 5xx, a 408 or 429 or a second without
        an answer, with growing backoff; 400, 409, 412, 413 and 422 end it at
        once, any other 4xx at the third attempt. ``lose`` drops an answer on
        its way to the operator.
        """
        entries = entries or list(range(self.entries))
        until = time.monotonic() + limit_s
        backoff, others, attempt = 0.1, 0, 0
        while time.monotonic() < until:
            number = entries[attempt % len(entries)]
            answer = await call(self.control(number), method, path, body=body, timeout=timeout)
            lost = lose(attempt, answer)
            self.record(
                'operator', path=path, to=f'entry-{number}', bytes=len(body),
                status=answer and answer[0], lost_on_its_way=bool(lost),
                answer=answer[2][:160] if answer and answer[0] >= 300 else '')
            attempt += 1
            if answer and not lost:
                status = answer[0]
                if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                    return status, answer[2]
                if 400 <= status < 500 and status not in (408, 429):
                    others += 1
                    if others == 3:
                        return status, answer[2]
            await asyncio.sleep(backoff)
            backoff = min(1.0, backoff * 1.5)
        return None, b''

    async def put(self, config, **options):
        body = config if isinstance(config, bytes) else json.dumps(config).encode()
        return await self.operate('POST', '/mountridge/config/put', body, **options)

    async def read(self, **options):
        return await self.operate('GET', '/mountridge/config/get', **options)

    async def wait_served(self, config_status, probe, limit_s=20.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await probe():
                return True
            await asyncio.sleep(0.2)
        return False


class PlainRunner:
    """A runner of a plain service, as PROTOCOL.md tells."""

    def __init__(self, rig, number, service, work_s=0.05, slots=6):
        self.rig, self.service, self.work_s, self.slots = rig, service, work_s, slots
        self.id = f'i-{service}-{number}'
        self.address = f'{rig.net}{200 + number}:9000'
        self.zone = rig.zones[number % 3]
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = {}
        self.running = 0

    async def start(self):
        host, _, port = self.address.rpartition(':')
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def beat(self):
        number = 0
        while True:
            self.seq += 1
            body = json.dumps({
                'service': self.service, 'address': self.address, 'zone': self.zone,
                'version': 'v1', 'slots': self.slots, 'state': 'ready',
                'cold-remaining-ms': 0, 'seq': self.seq, 'born': self.born,
            }).encode()
            for _ in range(self.rig.entries):
                answer = await call(
                    self.rig.control(number), 'POST',
                    f'/mountridge/instances/{self.id}/heartbeat', body=body)
                if answer and answer[0] < 300:
                    break
                number = (number + 1) % self.rig.entries
            await asyncio.sleep(self.rig.heartbeat_ms / 1000)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, path, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    if ':' in line:
                        k, _, v = line.partition(':')
                        headers[k.strip().lower()] = v.strip()
                body = await reader.readexactly(int(headers.get('content-length', 0)))
                await self.answer(method, path, headers, body, writer)
        except (asyncio.IncompleteReadError, OSError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def write(self, writer, status, headers, body):
        lines = [f'HTTP/1.1 {status} X'] + [f'{k}: {v}' for k, v in headers]
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body)

    async def answer(self, method, path, headers, body, writer):
        if path == '/health':
            self.write(writer, 200, [('X-Mountridge-Instance-Id', self.id)], b'')
            return
        request = headers.get('x-mountridge-request-id', '')
        out = [('X-Mountridge-Request-Id', request)]
        if headers.get('x-mountridge-expect-instance', self.id) != self.id:
            self.write(writer, 421, out, b'')
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        self.running += 1
        self.rig.record('run', runner=self.id, request=request, path=path)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        out.append(('X-Mountridge-Server-Stamp', f'{self.id}.{request}'))
        out.append(('X-Mountridge-Server-Load', f'{self.running},0,{self.slots}'))
        self.write(writer, 200, out, b'done ' + request.encode())


def route(name, host, prefix, service, kind='safe', timeout_ms=3000, **more):
    return {
        'name': name, 'host': host, 'path-prefix': prefix, 'kind': kind,
        'timeout-ms': timeout_ms, 'target-latency-ms': 400, 'priority': 1,
        'service': service, 'max-attempts': 2 if kind == 'safe' else 1,
        'public': False, 'sticky': False, 'resumable': False, **more,
    }


def service(name, **more):
    return {'name': name, 'health-path': '/health', 'max-connections': 188,
            'protocol': 'h1', 'tls': False, **more}


LIMITS = {'max-header-bytes': 16384, 'max-body-bytes': 4194304,
          'header-timeout-ms': 3000, 'idle-timeout-ms': 15000}


def config(version, routes, services, tenants, limits=None):
    return {'version': version, 'routes': routes, 'services': services,
            'limits': {**LIMITS, **(limits or {})}, 'tenants': tenants}


def request_id():
    return f'{random.getrandbits(64):016x}'


async def serve_in_background(*coroutines):
    return [asyncio.ensure_future(each) for each in coroutines]


def main(run):
    """Run a case: ``run`` returns True where the rule held."""
    case = pathlib.Path(sys.argv[1])
    try:
        code = asyncio.run(asyncio.wait_for(run(case), 110))
    except Exception as problem:  # the case could not run
        print(f'could not run: {type(problem).__name__}: {problem}')
        raise SystemExit(2)
    raise SystemExit(code)
