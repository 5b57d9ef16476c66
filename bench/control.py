# SPDX-License-Identifier: Apache-2.0

"""Costs of control: commits, failover, spreading, and slopes by size.

Real controllers on loopback; subscribers are tasks of this process, each
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

FLIGHTS = (1, 16, 256)
SUBSCRIBERS = (25, 50, 100, 200)
LINKS = (50, 100, 200, 400)
SPAN_S = 3.0
PUTS = 12
KILLS = 7


def fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Return slope, start and largest residual of a straight line."""
    xs, ys = zip(*points)
    slope, start = statistics.linear_regression(xs, ys)
    worst = max(abs(y - slope * x - start) for x, y in points)
    return slope, start, worst


def _with_app(made: cluster.Cluster, work):
    """Run ``work(application)`` with connections of the key of g1."""

    async def main():
        app = application.Application(settings_module.load(made.path('g1')))
        async with trio.open_nursery() as nursery:
            app.nursery = nursery
            try:
                return await work(app)
            finally:
                nursery.cancel_scope.cancel()
                app.close()

    return trio.run(main)


def _system(controllers: int) -> cluster.Cluster:
    made = cluster.Cluster(tempfile.mkdtemp())
    names = [f'c{n + 1}' for n in range(controllers)]
    made.add_controllers(names)
    made.add('gateway', 'g1')
    made.leader()
    return made


# Commits.


async def _commit(
    leader: members.LeaderClient, number: int, took: list[float]
):
    key = f't/s/{time.time():.0f}-{time.perf_counter_ns()}'
    claim = messages.Claim(key, 'd', 'r', f'a{number}', 'agent', 'i')
    begun_s = time.perf_counter()
    await leader.call(claim, 10)
    took.append(time.perf_counter() - begun_s)


async def _flight(app, count: int) -> tuple[float, list[float]]:
    leader = members.LeaderClient(app)
    took: list[float] = []
    await _commit(leader, 0, [])
    begun_s = time.perf_counter()

    async def worker(number: int) -> None:
        while time.perf_counter() - begun_s < SPAN_S:
            await _commit(leader, number, took)

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(worker, number)
    return len(took) / (time.perf_counter() - begun_s), took


def commits() -> list[list]:
    """Return rows of (controllers, in flight, commits/s, p50, p99 ms)."""
    rows = []
    for controllers in (1, 3, 5):
        with _system(controllers) as made:
            for count in FLIGHTS:
                rate, took = _with_app(made, lambda a, c=count: _flight(a, c))
                rows.append(
                    [
                        controllers,
                        count,
                        rate,
                        1e3 * statistics.median(took),
                        1e3 * path.quantile(took, 0.99),
                    ]
                )
    return rows


def bare_append_ms() -> float:
    """Return the median of a synced append of 200 bytes."""
    took = []
    with tempfile.TemporaryFile(buffering=0) as out:
        for _ in range(300):
            begun_s = time.perf_counter()
            out.write(b'x' * 200)
            os.fdatasync(out.fileno())
            took.append(time.perf_counter() - begun_s)
    return 1e3 * statistics.median(took)


# Failover.


async def _until_commit(app) -> float:
    leader = members.LeaderClient(app)
    begun_s = time.perf_counter()
    while True:
        try:
            await _commit(leader, 0, [])
            return time.perf_counter() - begun_s
        except errors.MountridgeError:
            await trio.sleep(0.01)


def failovers() -> list[float]:
    """Return times from a leader's kill to the next commit, in s."""
    took = []
    with _system(3) as made:
        for _ in range(KILLS):
            name = made.leader()
            made.kill(name)
            took.append(_with_app(made, _until_commit))
            made.start(name)
            time.sleep(1.5)
    return took


# Spreading.


class Subscriber:
    """One lease holder, as an agent is."""

    def __init__(self, app, number: int, address: str):
        self.number = number
        self.index = 0
        self.received_bytes = 0
        self.nudged = trio.Event()
        self.caller = app.connect(address, 'c1', self.pushed)

    def pushed(self, message) -> None:
        """Take a push."""
        if isinstance(message, messages.Changes):
            self.index = max(self.index, message.index)
            self.received_bytes += len(messages.encode(message))
            self.nudged.set()

    async def run(self) -> None:
        """Renew for ever."""
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
            # As `members.LeaseRenewer` does.
            self.nudged = trio.Event()
            await trio.sleep(members.MIN_RENEWAL_S)
            with trio.move_on_after(0.75 - members.MIN_RENEWAL_S):
                await self.nudged.wait()


def _rows(number: int) -> list[dict]:
    sheet = {'team': 't', 'service': 's', 'queue_s': str(number % 60)}
    return [tables.to_cells(r) for r in tables.check_rows([sheet])]


async def _spread(app, made, count: int) -> dict:
    address = made.controllers['c1']
    listed = [Subscriber(app, n, address) for n in range(count)]
    for each in listed:
        app.start_task(each.run)
    leader = members.LeaderClient(app)
    reply = await leader.call(messages.ReadTable(), 5)
    await trio.sleep(6)
    pid = made.processes['c1'].pid
    cpu_s, begun_s = path.cpu_s(pid), time.perf_counter()
    before = sum(each.received_bytes for each in listed)
    await trio.sleep(SPAN_S)
    span_s = time.perf_counter() - begun_s
    idle = (path.cpu_s(pid) - cpu_s) / span_s
    quiet_bytes = sum(each.received_bytes for each in listed) - before
    took = []
    version = reply.version
    for number in range(PUTS):
        put_s = time.perf_counter()
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
        took.append(time.perf_counter() - put_s)
    return {
        'idle': idle,
        'bytes_s': quiet_bytes / span_s / count,
        'rss': path.rss_mb(pid),
        'p50': statistics.median(took),
        'p99': max(took),
    }


def spreading() -> list[list]:
    """Return rows by subscribers: idle CPU, bytes/s each, RSS, in force."""
    rows = []
    for count in SUBSCRIBERS:
        rows.append([count, *_spread_to(count).values()])
    return rows


def _spread_to(count: int) -> dict:
    # Keys are off here, so that tasks may renew under names of their own.
    made = cluster.Cluster(tempfile.mkdtemp(), keys_off=True)
    with made:
        made.add_controllers(['c1'])
        made.add('gateway', 'g1')
        made.leader()
        time.sleep(3)
        return _with_app(made, lambda app: _spread(app, made, count))


# Connections.


def links() -> list[list]:
    """Return rows by connections: RSS of the side that connects, MiB."""
    rows = []
    for count in LINKS:
        done = subprocess.run(
            [sys.executable, '-m', 'bench.control', 'links', str(count)],
            capture_output=True,
            text=True,
            check=True,
        )
        rows.append([count, *map(float, done.stdout.split())])
    return rows


def _hold_links(count: int) -> None:
    """Connect ``count`` times with CURVE and print the memory used."""
    context = zmq.Context()
    public, secret = zmq.curve_keypair()
    server = context.socket(zmq.ROUTER)
    server.curve_server, server.curve_secretkey = True, secret
    port = server.bind_to_random_port('tcp://127.0.0.1')
    before = path.rss_mb(os.getpid())
    kept = []
    for _ in range(count):
        client = context.socket(zmq.DEALER)
        own_public, own_secret = zmq.curve_keypair()
        client.curve_publickey, client.curve_secretkey = own_public, own_secret
        client.curve_serverkey = public
        client.connect(f'tcp://127.0.0.1:{port}')
        client.send(b'x')
        kept.append(client)
    for _ in kept:
        server.recv_multipart()
    print(path.rss_mb(os.getpid()) - before)
    context.destroy(linger=0)


def _print(title: str, headers: list[str], rows: list[list]) -> None:
    print(f'\n{title}')
    print(tabulate.tabulate(rows, headers=headers, floatfmt='.3f'))


def print_fit(what: str, rows: list[list], column: int) -> None:
    """Print the straight line through a column, by the first one."""
    slope, start, worst = fit([(r[0], r[column]) for r in rows])
    print(f'{what}: {slope:.6f} each + {start:.3f}, residual {worst:.3f}')


def main() -> None:
    """Run all and print tables and slopes."""
    if sys.argv[1:2] == ['links']:
        _hold_links(int(sys.argv[2]))
        return
    print(f'bare synced append: {bare_append_ms():.3f} ms')
    _print(
        'commits of claims',
        ['controllers', 'in flight', 'commits/s', 'p50 ms', 'p99 ms'],
        commits(),
    )
    took = sorted(failovers())
    print(
        f'\nkill of the leader to next commit, {len(took)} times: median '
        f'{statistics.median(took):.2f} s, worst {took[-1]:.2f} s'
    )
    rows = spreading()
    _print(
        'lease holders at one controller',
        ['holders', 'cores idle', 'bytes/s each', 'RSS MiB']
        + ['in force p50 s', 'worst s'],
        rows,
    )
    print_fit('cores', rows, 1)
    print_fit('RSS MiB', rows, 3)
    rows = links()
    _print('connections in one process, both ends', ['links', 'MiB'], rows)
    print_fit('MiB', rows, 1)


if __name__ == '__main__':
    main()
