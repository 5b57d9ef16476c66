"""Stand-ins for the platform, the operator and the clients.

Starts the project's programs as the deploy file states it, on a loopback
network of its own, with settings rendered from the project's templates by the
template language of DEPLOY.md. Uses the standard library only.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUNNER = pathlib.Path(__file__).with_name('runner.py')
HEADER = 'X-Mountridge-'
HALLS = ('hall-a', 'hall-b', 'hall-c')
#: Bounds of a small deployment (those of both sites under `sites/`).
BOUNDS = {
    'seed-lag-s': 3, 'reuse-after-s': 2, 'contact-ms': 3000, 'ack-ms': 4000,
    'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200,
    'config-apply-ms': 2000, 'rollback-slack-ms': 250, 'outer-ms': 5000,
    'fail-closed': False, 'revoke-ms': 5000, 'retry-budget-ratio': 0.2,
    'budget-window-s': 10, 'budget-slack': 96, 'recover-s': 12,
    'pass-ms': 120, 'retry-after-s': 0, 'stall_ms': 1500,
    'enforce-fencing': False, 'ttl_max_s': 5,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be set up; the script ends with 2."""


class Record:
    """The record of a run, one JSON object a line."""

    def __init__(self, path):
        self._file = open(path, 'w', buffering=1)
        self._start_s = time.time()

    def add(self, event, **fields):
        line = {'at_s': round(time.time() - self._start_s, 3), 'event': event}
        self._file.write(json.dumps({**line, **fields}) + '\n')

    def add_runs(self, paths):
        """Append what the runners have recorded."""
        for path in paths:
            if path.exists():
                for line in path.read_text().splitlines():
                    entry = json.loads(line)
                    at_s = round(entry.pop('time') - self._start_s, 3)
                    row = {'at_s': at_s, 'runner': path.stem, **entry}
                    self._file.write(json.dumps(row) + '\n')

    def close(self):
        self._file.close()


# Settings.


def _lookup(name, scopes):
    if name == '.':
        return scopes[-1]
    for scope in reversed(scopes):
        found = scope
        for part in name.split('.'):
            if isinstance(found, list) and part.isdigit():
                number = int(part)
                found = found[number] if number < len(found) else None
            elif isinstance(found, dict) and part in found:
                found = found[part]
            else:
                found = None
                break
        if found is not None:
            return found
    return None


def render(text, scopes, key='', is_last=True):
    """Fill a template of DEPLOY.md."""
    out, at = [], 0
    gap = re.compile(r'\{\{(.*?)\}\}')
    while True:
        found = gap.search(text, at)
        if found is None:
            out.append(text[at:])
            return ''.join(out)
        out.append(text[at : found.start()])
        word, at = found.group(1).strip(), found.end()
        if word[:1] in ('#', '^'):
            name = word[1:]
            end = text.index('{{/' + name + '}}', at)
            inner, at = text[at:end], end + len(name) + 5
            value = _lookup(name, scopes)
            if word[0] == '^':
                out.append('' if value else render(inner, scopes))
            elif isinstance(value, (list, dict)):
                pairs = (
                    list(value.items())
                    if isinstance(value, dict)
                    else list(enumerate(value))
                )
                for number, (each, item) in enumerate(pairs):
                    last = number == len(pairs) - 1
                    inside = [*scopes, item]
                    out.append(render(inner, inside, str(each), last))
            elif value:
                out.append(render(inner, scopes))
        elif word == '@':
            out.append(key)
        elif word == ',':
            out.append('' if is_last else ',')
        else:
            name, _, form = word.partition('|')
            value = _lookup(name, scopes)
            if form == 'json':
                out.append(json.dumps(value))
            elif value is None:
                pass
            elif isinstance(value, list):
                out.append(','.join(map(str, value)))
            else:
                is_text = isinstance(value, str)
                out.append(value if is_text else json.dumps(value))


class Network:
    """A prefix of loopback addresses that no other run uses."""

    def __init__(self):
        for number in range(100, 250):
            lock = socket.socket()
            try:
                lock.bind((f'127.{number}.9.254', 6999))
            except OSError:
                lock.close()
                continue
            self._lock, self.prefix = lock, f'127.{number}.9.'
            return
        raise CannotRun('no free loopback network')


class Fleet:
    """The entries of a small deployment, and the platform that runs them."""

    def __init__(self, record, count=3, disks=3, bounds=None, restarts=True, memory_mb=None):
        self.record, self.count, self.disks = record, count, disks
        if not (ROOT / 'target/deps').is_dir():
            raise CannotRun('the build of the deploy file has not run')
        self.net = Network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='mountridge-'))
        self.bounds = {**BOUNDS, **(bounds or {})}
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.role = deploy['roles']['entry']
        self.restarts = restarts
        self.processes = {}
        self.starts = {}
        #: Above this a process is killed (`limits.memory-mb`); None: never.
        self.memory_mb = memory_mb
        self.peak_mb = {}
        #: Ends that the platform has not caused: (name, exit status, time).
        self.own_ends = []
        self._expected_end = set()
        self.runners = []
        self._is_closing = False

    def host(self, number):
        return f'{self.net.prefix}{number + 1}'

    def front(self, number):
        return f'{self.host(number)}:8227'

    def control(self, number):
        return f'{self.host(number)}:8229'

    def readiness(self, number):
        return f'{self.host(number)}:8220'

    def directory(self, number):
        return f'{self.host(number)}:8224'

    def controls(self):
        return [self.control(n) for n in range(self.count)]

    def _fields(self, number, bootstrap):
        host = self.host(number)
        hall = HALLS[number % len(HALLS)]
        fields = {
            'node-name': f'front-{number + 1}',
            'role': 'entry',
            'machine-class': 'front',
            'serves': ['front', 'control', 'directory'],
            'ip': host,
            'zone': hall,
            'region': 'small',
            'zones': {each: 'small' for each in HALLS},
            'listen': {
                'front': self.front(number),
                'readiness': self.readiness(number),
                'control': self.control(number),
                'directory': self.directory(number),
            },
            'internal-ports': [7340, 7355],
            'seeds': [self.control(n) for n in range(min(3, self.disks))],
            'bootstrap': bootstrap,
            'in-tolerance': number < self.disks,
            'heartbeat-ms': 1200,
            'fault-tolerance': {'machines': 1, 'zones': 0, 'regions': 0},
            'bounds': self.bounds,
            'config-mode': 'highest',
        }
        if number < self.disks:
            data = self.folder / f'data-{number}'
            data.mkdir(exist_ok=True)
            fields['data-dir'] = str(data)
        return fields

    def settings_path(self, number):
        return self.folder / f'settings-{number}'

    def write_settings(self, number, bootstrap=False):
        template = (ROOT / self.role['template']).read_text()
        text = render(template, [self._fields(number, bootstrap)])
        json.loads(text)
        path = self.settings_path(number)
        partial = path.with_suffix('.new')
        partial.write_text(text)
        partial.replace(path)

    def log_path(self, number):
        return self.folder / f'front-{number + 1}.log'

    def start(self, number, bootstrap=False):
        self.write_settings(number, bootstrap)
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['MOUNTRIDGE_NODE_FILE'] = str(self.settings_path(number))
        log = open(self.log_path(number), 'ab')
        process = subprocess.Popen(
            self.role['run'].split(), cwd=ROOT, env=env,
            stdout=log, stderr=log, stdin=subprocess.DEVNULL,
        )  # fmt: skip
        log.close()
        self.processes[number] = process
        self.starts[number] = time.time()
        self._expected_end.discard(number)
        self.record.add('start', machine=f'front-{number + 1}')

    def start_all(self):
        for number in range(self.count):
            self.start(number, bootstrap=True)

    def signal(self, number, which):
        self.record.add('signal', machine=f'front-{number + 1}', signal=signal.Signals(which).name)
        if which in (signal.SIGKILL, signal.SIGTERM):
            self._expected_end.add(number)
        self.processes[number].send_signal(which)

    async def watch(self, delay_s=0.3):
        """Start each process that has ended again, as the platform does."""
        while not self._is_closing:
            await asyncio.sleep(0.02)
            for number, process in list(self.processes.items()):
                machine = f'front-{number + 1}'
                status = process.poll()
                if status is None and self.memory_mb:
                    self._limit_memory(machine, process)
                    status = process.poll()
                if status is None:
                    continue
                if number not in self._expected_end:
                    self.own_ends.append((machine, status, time.time()))
                    self.record.add('own end', machine=machine, status=status)
                del self.processes[number]
                if self.restarts:
                    asyncio.get_running_loop().call_later(
                        delay_s, self._restart, number
                    )

    def _limit_memory(self, machine, process):
        """Kill a process above its memory, as the platform does."""
        try:
            status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        except OSError:
            return
        found = re.search(r'VmRSS:\s+(\d+) kB', status)
        used_mb = int(found.group(1)) / 1024 if found else 0
        self.peak_mb[machine] = max(self.peak_mb.get(machine, 0), used_mb)
        if used_mb > self.memory_mb:
            self.record.add('over memory', machine=machine, mb=round(used_mb))
            process.kill()
            process.wait()

    def _restart(self, number):
        if not self._is_closing and number not in self.processes:
            self.start(number)

    # Runners.

    def start_runner(self, name, service, host, *options):
        """Start a runner; returns its process and its file of runs."""
        address = f'{self.net.prefix}{host}:9000'
        runs = self.folder / f'{name}.runs'
        args = [
            sys.executable, str(RUNNER), '--id', name, '--service', service,
            '--address', address, '--zone', HALLS[0], '--runs', str(runs),
            '--controls', ','.join(self.controls()), *map(str, options),
        ]  # fmt: skip
        log = open(self.folder / f'{name}.log', 'ab')
        process = subprocess.Popen(args, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.runners.append((process, runs))
        return process

    def stop_all(self):
        self._is_closing = True
        running = [p for p, _ in self.runners] + list(self.processes.values())
        for process in running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in running:
            process.wait()
        self.record.add_runs(dict.fromkeys(runs for _, runs in self.runners))
        keep = os.environ.get('KEEP_FOLDER')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


# HTTP.


class Answer:
    """What a client has received; ``is_whole``: up to its explicit end."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b''
        self.is_whole, self.error = False, ''
        self.reader = self.writer = None

    def header(self, name):
        return self.headers.get(name.lower())


async def _read_answer(reader, answer, method):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    answer.status = int(lines[0].split()[1])
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if size:
                answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                answer.is_whole = True
                return
    length = answer.headers.get('content-length')
    if length is None:
        answer.body += await reader.read()
        return
    while len(answer.body) < int(length):
        data = await reader.read(int(length) - len(answer.body))
        if not data:
            return
        answer.body += data
    answer.is_whole = True


async def call(address, method, path, headers=(), body=b'', timeout_s=5.0, connection=None):
    """Send one request; ``connection`` is a kept one."""
    answer = Answer()
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            if connection is None:
                connection = await asyncio.open_connection(host, int(port))
            reader, writer = connection
            lines = [f'{method} {path} HTTP/1.1']
            names = {name.lower() for name, _ in headers}
            if 'host' not in names:
                lines.append(f'Host: {address}')
            lines += [f'{name}: {value}' for name, value in headers]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join([*lines, '', '']).encode('latin-1') + body)
            await writer.drain()
            await _read_answer(reader, answer, method)
            answer.reader, answer.writer = connection
    except (OSError, asyncio.IncompleteReadError, EOFError, ValueError, IndexError) as problem:
        answer.error = f'{type(problem).__name__}: {problem}'
    except TimeoutError:
        answer.error = 'timed out'
    if connection is not None and not answer.is_whole:
        connection[1].close()
    return answer


async def call_once(address, method, path, headers=(), body=b'', timeout_s=5.0):
    """Send one request on a connection of its own."""
    answer = await call(address, method, path, headers, body, timeout_s)
    if answer.writer is not None:
        answer.writer.close()
    return answer


#: Pauses of the operator between two attempts, which grow.
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.02, 0.05


class Operator:
    """Sends configurations, each until it is acknowledged or refused."""

    def __init__(self, fleet, record):
        self._fleet, self._record = fleet, record
        self._next = 0

    async def put(self, config, timeout_s=20.0):
        """Return the final status, 0 if there was no clear answer in time."""
        body = json.dumps(config).encode()
        until_s, pause_s = time.time() + timeout_s, FIRST_PAUSE_S
        self._record.add('config sent', version=config['version'], size=len(body))
        while time.time() < until_s:
            number = self._next % self._fleet.count
            self._next += 1
            answer = await call_once(
                self._fleet.control(number), 'POST',
                '/mountridge/config/put', (), body, 1.0 + len(body) / 1e6,
            )  # fmt: skip
            self._record.add(
                'config answered', version=config['version'],
                machine=f'front-{number + 1}', status=answer.status,
                error=answer.error,
            )  # fmt: skip
            if answer.status in (200, 400, 409, 412, 413, 422):
                return answer.status
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, pause_s * 1.5)
        return 0


def route(name, prefix, service, kind='unsafe', **fields):
    return {
        'name': name, 'host': 'small.example', 'path-prefix': prefix,
        'kind': kind, 'timeout-ms': 8000, 'target-latency-ms': 400,
        'priority': 1, 'service': service, 'max-attempts': 2, 'public': False,
        'sticky': False, 'resumable': False, 'target-gap-ms': 120, **fields,
    }  # fmt: skip


KEY = 'n2ctnfzs989anu6wsjnb'


def config(version, routes, services):
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': each, 'health-path': '/health', 'max-connections': 188,
             'protocol': 'h1', 'tls': False}
            for each in services
        ],
        'limits': {
            'max-header-bytes': 16384, 'max-body-bytes': 4194304,
            'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': 'hule930', 'api-keys': [KEY], 'priority': 1}],
    }  # fmt: skip


def request_headers(request_id, deadline_ms):
    return (
        ('Host', 'small.example'),
        (HEADER + 'Request-Id', request_id),
        (HEADER + 'Deadline-Ms', str(deadline_ms)),
        ('Authorization', f'Bearer {KEY}'),
    )


async def wait_ready(fleet, timeout_s=25.0):
    """Wait until all entries are ready."""
    until_s = time.time() + timeout_s
    for number in range(fleet.count):
        while True:
            answer = await call_once(fleet.readiness(number), 'GET', '/mountridge/ready', timeout_s=1.0)
            if answer.status == 200:
                break
            if time.time() > until_s:
                raise CannotRun(f'entry {number + 1} is not ready')
            await asyncio.sleep(0.1)


async def wait_ready_for_config(fleet, record, first):
    """Send the first configuration until it is taken; wait until ready."""
    if await Operator(fleet, record).put(first, 30.0) != 200:
        raise CannotRun('the first configuration was not acknowledged')
    await wait_ready(fleet)


async def wait_served(fleet, path, timeout_s=20.0, method='GET'):
    """Wait until each entry serves a path with 200."""
    until_s = time.time() + timeout_s
    for number in range(fleet.count):
        attempt = 0
        while True:
            attempt += 1
            headers = request_headers(f'warm-{number}-{attempt}', 7500)
            answer = await call_once(fleet.front(number), method, path, headers, timeout_s=8.5)
            if answer.status == 200:
                break
            if time.time() > until_s:
                raise CannotRun(f'entry {number + 1} does not serve: {answer.status}')
            await asyncio.sleep(0.2)


def main(folder, play, trouble):
    """Run ``play(record, trouble)``; exit with its result, 2 if it can't run."""
    record = Record(pathlib.Path(folder) / 'record.txt')

    async def run():
        # So that all processes are ended where this one is told to stop.
        task = asyncio.current_task()
        for each in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(each, task.cancel)
        return await play(record, trouble)

    try:
        broken = asyncio.run(run())
    except asyncio.CancelledError:
        record.add('stopped')
        sys.exit(2)
    except CannotRun as problem:
        record.add('cannot run', reason=str(problem))
        print(f'cannot run: {problem}')
        sys.exit(2)
    finally:
        record.close()
    print('rule broken' if broken else 'rule held')
    sys.exit(1 if broken else 0)
