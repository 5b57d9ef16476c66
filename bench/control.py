# SPDX-License-Identifier: Apache-2.0

"""Control plane benchmarks: commits, failover, propagation, connections.

Runs real controllers on loopback; subscribers are tasks of this process, each
with its own connection. ``make slopes``.
"""

import os
import statistics
import subprocess
import sys
import tempfile
import time

import tabulate
import trio
import zmq

from bench import path
from mountridge import application, errors, messages
from mountridge.documents import tables
from mountridge import settings as settings_module
from mountridge.state import members
from standins import cluster

IN_FLIGHT = (1, 16, 256)
SUBSCRIBERS = (25, 50, 100, 200)
CONNECTIONS = (50, 100, 200, 400)
SPAN_S = 3.0
PUTS = 12
KILLS = 7


def fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Return slope, intercept and largest residual of a linear fit."""
    xs, ys = zip(*points)
    slope, intercept = statistics.linear_regression(xs, ys)
    largest = max(abs(y - slope * x - intercept) for x, y in points)
    return slope, intercept, largest


def _with_app(system: cluster.Cluster, measure):
    """Run ``measure(application)`` on connections with the key of g1."""

    async def main():
        app = application.Application(settings_module.load(system.path('g1')))
        async with trio.open_nursery() as nursery:
            app.nursery = nursery
            try:
                return await measure(app)
            finally:
                nursery.cancel_scope.cancel()
                app.close()

    return trio.run(main)


def _system(controllers: int) -> cluster.Cluster:
    system = cluster.Cluster(tempfile.mkdtemp())
    names = [f'c{n + 1}' for n in range(controllers)]
    system.add_controllers(names)
    system.add('gateway', 'g1')
    system.leader()
    return system


# Commits.


async def _commit(
    leader: members.LeaderClient, number: int, times_s: list[float]
):
    key = f't/s/{time.time():.0f}-{time.perf_counter_ns()}'
    claim = messages.Claim(key, 'd', 'r', f'a{number}', 'agent', 'i')
    started_s = time.perf_counter()
    await leader.call(claim, 10)
    times_s.append(time.perf_counter() - started_s)


async def _commit_rate(app, count: int) -> tuple[float, list[float]]:
    leader = members.LeaderClient(app)
    times_s: list[float] = []
    await _commit(leader, 0, [])
    started_s = time.perf_counter()

    async def worker(number: int) -> None:
        while time.perf_counter() - started_s < SPAN_S:
            await _commit(leader, number, times_s)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(worker, number)
    return len(times_s) / (time.perf_counter() - started_s), times_s


def commits() -> list[list]:
    """Return rows of (controllers, in flight, commits/s, p50, p99 ms)."""
    rows = []
    for controllers in (1, 3, 5):
        with _system(controllers) as system:
            for count in IN_FLIGHT:
                rate, times_s = _with_app(
                    system, lambda a, c=count: _commit_rate(a, c)
                )
                rows.append(
                    [
                        controllers,
                        count,
                        rate,
                        1e3 * statistics.median(times_s),
                        1e3 * path.quantile(times_s, 0.99),
                    ]
                )
    return rows


def bare_append_ms() -> float:
    """Return the median duration of a synced append of 200 bytes."""
    times_s = []
    with tempfile.TemporaryFile(buffering=0) as out:
        for _ in range(300):
            started_s = time.perf_counter()
            out.write(b'x' * 200)
            os.fdatasync(out.fileno())
            times_s.append(time.perf_counter() - started_s)
    return 1e3 * statistics.median(times_s)


# Failover.


async def _until_commit(app) -> float:
    leader = members.LeaderClient(app)
    started_s = time.perf_counter()
    while True:
        try:
            await _commit(leader, 0, [])
            return time.perf_counter() - started_s
        except errors.MountridgeError:
            await trio.sleep(0.01)


def failovers() -> list[float]:
    """Return the times in s from killing a leader to the next commit."""
    times_s = []
    with _system(3) as system:
        for _ in range(KILLS):
            name = system.leader()
            system.kill(name)
            times_s.append(_with_app(system, _until_commit))
            system.start(name)
            time.sleep(1.5)
    return times_s


# Propagation of table changes.


class Subscriber:
    """A lease holder, such as an agent."""

    def __init__(self, app, number: int, address: str):
        self.number = number
        self.index = 0
        self.received_bytes = 0
        self.woken = trio.Event()
        self.caller = app.connect(address, 'c1', self.on_push)

    def on_push(self, message) -> None:
        """Apply changes pushed by the controller."""
        if isinstance(message, messages.Changes):
            self.index = max(self.index, message.index)
            self.received_bytes += len(messages.encode(message))
            self.woken.set()

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        await trio.sleep(self.number % 75 / 100)
        while True:
            renew = messages.Renew(
                f's{self.number}', 'agent', 'i', 'north', 'tcp://x', '',
                ['drafts'], '', 16, self.index, False, [], [],
            )  # fmt: skip
            try:
                grant = await self.caller.call(renew, 3)
                self.index = max(self.index, grant.index)
                self.received_bytes += len(messages.encode(grant))
            except errors.MountridgeError:
                pass
            # The same timing as `members.LeaseRenewer`.
            self.woken = trio.Event()
            await trio.sleep(members.MIN_RENEWAL_S)
            with trio.move_on_after(0.75 - members.MIN_RENEWAL_S):
                await self.woken.wait()


def _rows(number: int) -> list[dict]:
    cells = {'team': 't', 'service': 's', 'queue_s': str(number % 60)}
    return [tables.to_cells(r) for r in tables.check_rows([cells])]


async def _measure_propagation(app, system, count: int) -> dict:
    address = system.controllers['c1']
    listed = [Subscriber(app, n, address) for n in range(count)]
    for each in listed:
        app.start_task(each.run)
    leader = members.LeaderClient(app)
    reply = await leader.call(messages.ReadTable(), 5)
    await trio.sleep(6)
    pid = system.processes['c1'].pid
    cpu_s, started_s = path.cpu_s(pid), time.perf_counter()
    before = sum(each.received_bytes for each in listed)
    await trio.sleep(SPAN_S)
    span_s = time.perf_counter() - started_s
    idle = (path.cpu_s(pid) - cpu_s) / span_s
    received_bytes = sum(each.received_bytes for each in listed) - before
    times_s = []
    version = reply.version
    for number in range(PUTS):
        put_at_s = time.perf_counter()
        put = messages.PutTable(
            f'{count}-{number}', version, 'b', _rows(number)
        )
        done = await leader.call(put, 5)
        version = done.version
        while True:
            shown = await leader.call(messages.ReadTable(), 5)
            if shown.in_force_index >= done.index:
                break
            await trio.sleep(0.01)
        times_s.append(time.perf_counter() - put_at_s)
    return {
        'idle': idle,
        'bytes_s': received_bytes / span_s / count,
        'rss': path.rss_mb(pid),
        'p50': statistics.median(times_s),
        'p99': max(times_s),
    }


def propagation() -> list[list]:
    """Return rows of (subscribers, idle CPU, bytes/s each, RSS, p50, worst).

    The last two are times in s until a table change is in force.
    """
    rows = []
    for count in SUBSCRIBERS:
        rows.append([count, *_propagation_to(count).values()])
    return rows


def _propagation_to(count: int) -> dict:
    # Without keys, tasks may renew leases under arbitrary names.
    system = cluster.Cluster(tempfile.mkdtemp(), keys_off=True)
    with system:
        system.add_controllers(['c1'])
        system.add('gateway', 'g1')
        system.leader()
        time.sleep(3)
        return _with_app(
            system, lambda app: _measure_propagation(app, system, count)
        )


# Connections.


def connections() -> list[list]:
    """Return rows of (connections, MiB of memory for both ends)."""
    rows = []
    for count in CONNECTIONS:
        done = subprocess.run(
            [sys.executable, '-m', 'bench.control', 'links', str(count)],
            capture_output=True,
            text=True,
            check=True,
        )
        rows.append([count, *map(float, done.stdout.split())])
    return rows


def _hold_connections(count: int) -> None:
    """Open ``count`` CURVE connections and print the memory used, in MiB."""
    context = zmq.Context()
    public, secret = zmq.curve_keypair()
    server = context.socket(zmq.ROUTER)
    server.curve_server, server.curve_secretkey = True, secret
    port = server.bind_to_random_port('tcp://127.0.0.1')
    before = path.rss_mb(os.getpid())
    clients = []
    for _ in range(count):
        client = context.socket(zmq.DEALER)
        own_public, own_secret = zmq.curve_keypair()
        client.curve_publickey, client.curve_secretkey = own_public, own_secret
        client.curve_serverkey = public
        client.connect(f'tcp://127.0.0.1:{port}')
        client.send(b'x')
        clients.append(client)
    for _ in clients:
        server.recv_multipart()
    print(path.rss_mb(os.getpid()) - before)
    context.destroy(linger=0)


def _print(title: str, headers: list[str], rows: list[list]) -> None:
    print(f'\n{title}')
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.3f'))


def print_fit(what: str, rows: list[list], column: int) -> None:
    """Print the linear fit of a column over the first one."""
    slope, intercept, largest = fit([(r[0], r[column]) for r in rows])
    print(
        f'{what}: {slope:.6f} each + {intercept:.3f}, residual {largest:.3f}'
    )


def main() -> None:
    """Run all benchmarks and print tables and slopes."""
    if sys.argv[1:2] == ['links']:
        _hold_connections(int(sys.argv[2]))
        return
    print(f'bare synced append: {bare_append_ms():.3f} ms')
    _print(
        'commits of claims',
        ['controllers', 'in flight', 'commits/s', 'p50 ms', 'p99 ms'],
        commits(),
    )
    times_s = sorted(failovers())
    print(
        f'\nkill of the leader to next commit, {len(times_s)} times: median '
        f'{statistics.median(times_s):.2f} s, worst {times_s[-1]:.2f} s'
    )
    rows = propagation()
    _print(
        'lease holders at one controller',
        ['holders', 'cores idle', 'bytes/s each', 'RSS MiB']
        + ['in force p50 s', 'worst s'],
        rows,
    )
    print_fit('cores', rows, 1)
    print_fit('RSS MiB', rows, 3)
    rows = connections()
    _print('connections in one process, both ends', ['links', 'MiB'], rows)
    print_fit('MiB', rows, 1)


if __name__ == '__main__':
    main()
