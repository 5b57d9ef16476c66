# SPDX-License-Identifier: Apache-2.0

"""Load generator for a system of real processes on loopback.

``python -m standins.lab [samples/lab.yaml] [--plot FILE]`` starts entries
and sidecars as processes, emulates runners, callers and an operator, and
prints the outcomes of requests by kind. It ends only what it started.
"""

import functools
import json
import math
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import typing

import click
from hdrh.histogram import HdrHistogram
import tabulate
import trio
import yaml

from mountridge import errors
from mountridge.net import dialects, httpserver, lasthop
from standins import engine, engineserver, ports

__all__ = ['Lab', 'main']

SAMPLE = pathlib.Path(__file__).parent.parent / 'samples' / 'lab.yaml'
#: Prefix of the loopback addresses of the lab's processes.
NETWORK = ports.network()
#: Halls of the plain runners; the engines are in the first one.
HALLS = ('north', 'south')
#: Timeout until the first routes are accepted and served.
START_TIMEOUT_S = 20.0
#: Timeout of a control call; a change of routes takes up to 3 s.
CALL_TIMEOUT_S = 4.0
CONTROL_HEADERS = [(b'Host', b'control')]
NAMES = dialects.NATIVE.headers


class Kind(typing.NamedTuple):
    """One kind of request, with the fields of the load's YAML file."""

    name: str
    service: str
    per_s: float
    aim_ms: float  # target of the time to the first data
    deadline_ms: float
    prompt: int  # tokens
    output: int  # most tokens; 0 for a plain service


class Outcomes:
    """Counts of the requests of one kind by outcome, and their latencies."""

    def __init__(self) -> None:
        self.sent = self.on_time = self.late = 0
        self.refused = self.failed = 0
        self.first_ms = HdrHistogram(1, 60_000, 2)  # time to the first data


def _start_time(group: engine.Group, rank: int) -> dict:
    """Return the heartbeat field with the start time of a rank."""
    return {'born_ms': group.born_ms[rank]}


class Lab:
    """The processes, runners and callers of one load.

    ``network`` is the prefix of their loopback addresses.
    """

    def __init__(self, load: dict, folder: str, network: str = NETWORK):
        self.load = load
        self.network = network
        self.folder = pathlib.Path(folder).absolute()
        self.rng = random.Random(load['seed'])
        self.kinds = [Kind(**each) for each in load['kinds']]
        self.outcomes = {kind.name: Outcomes() for kind in self.kinds}
        self.processes: list[subprocess.Popen] = []
        #: Host numbers of the entries that the settings list as seeds.
        self.seeds = [1, 2, 3]
        self.pool = lasthop.Pool(NAMES, trio.current_time)
        self.control = f'{network}1:8002'
        self.fronts = [
            f'{network}{n + 1}:8000' for n in range(load['entries'])
        ]

    # Processes.

    def start(self, name: str, host: str, settings: dict) -> None:
        """Start an entry or a sidecar."""
        common = {
            'name': name,
            'hall': 'north',
            'bind': f'tcp://{host}:7000',
            'keys': {'off': True},
        }
        merged = {**common, **settings}
        seeds = {'seeds': [f'{self.network}{n}' for n in self.seeds]}
        merged['entry'] = {**settings.get('entry', {}), **seeds}
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(merged))
        with open(self.folder / f'{name}.log', 'ab') as log:
            interpreter, folder = self.interpreter(name)
            args = [interpreter, '-m', 'mountridge', merged['role'], path]
            process = subprocess.Popen(
                args, stdout=log, stderr=log, cwd=folder
            )
        self.processes.append(process)

    def interpreter(self, name: str) -> tuple[str, str | None]:
        """Return the interpreter of a process and its working directory."""
        return sys.executable, None

    def start_entries(self, founding: bool) -> None:
        """Start all entries; the first three have a disk."""
        for number in range(self.load['entries']):
            self.start_entry(number, founding)

    def start_entry(self, number: int, founding: bool) -> None:
        """Start one entry; numbers start at 0."""
        host = f'{self.network}{number + 1}'
        entry = {
            'front': f'{host}:8000',
            'readiness': f'{host}:8001',
            'control': f'{host}:8002',
            'directory': f'{host}:8003',
            'founding': founding,
        }
        settings: dict = {'role': 'entry', 'entry': entry}
        if number < 3:
            data = str(self.folder / f'data-{number}')
            settings['controller'] = {'data': data}
        self.start(f'entry-{number}', host, settings)

    def start_sidecars(self) -> None:
        """Start a sidecar for each emulated engine."""
        for number in range(self.load['ranks']):
            self.start_sidecar(number)

    def start_sidecar(self, number: int) -> None:
        """Start the sidecar of one rank."""
        host = f'{self.network}{100 + number}'
        own = {'engine': f'{host}:9000', 'report_s': 0.1}
        settings = {'role': 'sidecar', 'sidecar': own}
        self.start(f'sidecar-{number}', host, settings)

    def stop_all(self) -> None:
        """Kill all processes that were started here."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.processes.clear()

    # Runners and operators.

    async def post(self, path: bytes, body: bytes) -> int:
        """Send a control call; return its status, 503 if unanswered."""
        return (await self.ask(self.control, path, body))[0]

    async def ask(
        self,
        address: str,
        path: bytes,
        body: bytes = b'',
        headers: list[tuple[bytes, bytes]] = CONTROL_HEADERS,
    ) -> tuple[int, bytes]:
        """Send a POST request; return the status and body of the response.

        The status is 503 if there is no response before the timeout.
        """
        all_headers = [*headers, (b'Content-Length', b'%d' % len(body))]
        try:
            with trio.move_on_after(CALL_TIMEOUT_S):
                async with self.pool.request(
                    address, b'POST', path, all_headers, body, None
                ) as reply:
                    return reply.head.status, await reply.read_body()
        except errors.MountridgeError:
            return 503, b''
        return 503, b''

    def document(self) -> bytes:
        """Return the routes document for the kinds of the load."""
        routes = []
        for kind in self.kinds:
            streaming = kind.output > 0
            routes.append(
                [
                    kind.name,
                    'lab.example',
                    f'/{kind.name}/',
                    'streaming' if streaming else 'safe',
                    kind.deadline_ms,
                    kind.aim_ms,
                    1,
                    [[kind.service, 1.0]],
                    2,
                    True,
                    streaming,
                    0.0,
                ]
            )
        params = engine.EngineParameters(ranks=self.load['ranks'])
        llm = [params.slots, params.memory_tokens, params.experts]
        llm += [params.places, params.spare]
        services = [['llm', '/h', 64, llm], ['plain', '/h', 64, None]]
        limits = [16384, 1 << 20, 3000.0, 15000.0]
        return json.dumps([1, routes, services, limits, None]).encode()

    async def run_runners(self, nursery: trio.Nursery) -> engine.Group:
        """Start the emulated runners and their heartbeats."""
        params = engine.EngineParameters(ranks=self.load['ranks'])
        group = engine.Group(params, self.rng)
        engines = engineserver.EngineRunners(group, self.rng)
        nursery.start_soon(engines.run_passes)
        nursery.start_soon(self.restart_ranks, group)
        runners = [
            (
                f'{self.network}{100 + n}:9000', f'i-{n}', 'llm',
                engines.handler(n), functools.partial(_start_time, group, n),
            )
            for n in range(params.ranks)
        ]  # fmt: skip
        for number in range(2):
            plain = engineserver.PlainRunner(number, 0.02, self.rng)
            address = f'{self.network}{200 + number}:9000'
            fields = functools.partial(dict, hall=HALLS[number])
            runners.append(
                (address, f'p-{number}', 'plain', plain.handle, fields)
            )
        for address, instance_id, service, handler, fields in runners:
            server = httpserver.Server(
                handler, engineserver.limits, lambda: False
            )
            nursery.start_soon(server.run, address)
            nursery.start_soon(
                engineserver.register,
                self.post,
                instance_id,
                service,
                address,
                params.slots,
                fields,
            )
        return group

    async def restart_ranks(self, group: engine.Group) -> None:
        """Restart a random rank under its id every ``restart_s`` of the load.

        The group runs no passes until it has formed again.
        """
        interval_s = self.load.get('restart_s', math.inf)
        while True:
            await trio.sleep(interval_s)
            number = self.rng.randrange(len(group.ranks))
            born_ms = round(time.time() * 1000)
            group.restart(number, born_ms, trio.current_time())

    async def drain(self, hall: str, at_s: float, for_s: float) -> None:
        """Drain a hall as operators do, and restore it after ``for_s``."""
        await trio.sleep(at_s)
        for suffix, pause_s in ((b'/drain', for_s), (b'/restore', 0.0)):
            path = b'/v1/halls/' + hall.encode() + suffix
            start_s = trio.current_time()
            while await self.post(path, b'') != 200:
                await trio.sleep(0.1)
            duration_s = trio.current_time() - start_s
            print(f'{path.decode()}: acknowledged after {duration_s:.3f} s')
            await trio.sleep(pause_s)

    # Callers.

    async def send_request(self, kind: Kind) -> None:
        """Send one request and count its outcome."""
        outcomes = self.outcomes[kind.name]
        outcomes.sent += 1
        start_s = trio.current_time()
        request_id = f'{self.rng.getrandbits(64):016x}'
        headers = [
            (b'Host', b'lab.example'),
            (NAMES.request_id, request_id.encode()),
            (NAMES.deadline_ms, b'%d' % kind.deadline_ms),
            (NAMES.token_counts, b'%d,%d' % (kind.prompt, kind.output)),
        ]
        target = f'/{kind.name}/1'.encode()
        front = self.rng.choice(self.fronts)
        try:
            with trio.fail_after(kind.deadline_ms / 1000):
                async with self.pool.request(
                    front, b'GET', target, headers, b'', request_id
                ) as reply:
                    await self._read(kind, reply, start_s)
        except (errors.MountridgeError, trio.TooSlowError):
            outcomes.failed += 1

    async def _read(
        self, kind: Kind, reply: lasthop.Reply, start_s: float
    ) -> None:
        outcomes = self.outcomes[kind.name]
        first_ms = 0.0
        async for _ in reply.chunks():
            if not first_ms:
                first_ms = (trio.current_time() - start_s) * 1000
        if reply.head.status != 200:
            outcomes.refused += reply.head.status == 503
            outcomes.failed += reply.head.status != 503
            return
        outcomes.first_ms.record_value(max(1, round(first_ms)))
        on_time = first_ms <= kind.aim_ms
        outcomes.on_time += on_time
        outcomes.late += not on_time

    async def send_requests(
        self, nursery: trio.Nursery, until_s: float
    ) -> None:
        """Send requests of all kinds at their mean rates."""
        rate = sum(kind.per_s for kind in self.kinds)
        weights = [kind.per_s for kind in self.kinds]
        while trio.current_time() < until_s:
            await trio.sleep(self.rng.expovariate(rate))
            kind = self.rng.choices(self.kinds, weights)[0]
            nursery.start_soon(self.send_request, kind)

    async def play(self) -> engine.Group:
        """Play the load and return the group of engines."""
        async with trio.open_nursery() as nursery:
            group = await self.run_runners(nursery)
            group.shift_demand()
            await self._put_routes()
            span_s = self.load['span_s']
            until_s = trio.current_time() + span_s
            for drain in self.load.get('drains', []):
                nursery.start_soon(lambda each=drain: self.drain(**each))
            async with trio.open_nursery() as requests:
                await self.send_requests(requests, until_s)
            nursery.cancel_scope.cancel()
        return group

    async def _put_routes(self) -> None:
        """Put the routes and wait until all entries serve them."""
        with trio.fail_after(START_TIMEOUT_S):
            document = self.document()
            while await self.post(b'/v1/routes/put', document) != 200:
                await trio.sleep(0.2)
            await trio.sleep(2.5)

    def table(self) -> str:
        """Return a table of the outcomes by kind."""
        rows = []
        for name, outcomes in self.outcomes.items():
            rows.append(
                [
                    name,
                    outcomes.sent,
                    outcomes.on_time,
                    outcomes.late,
                    outcomes.refused,
                    outcomes.failed,
                    outcomes.first_ms.get_value_at_percentile(50),
                    outcomes.first_ms.get_value_at_percentile(99),
                ]
            )
        heads = ['kind', 'asked', 'in aim', 'late', 'refused', 'failed']
        return tabulate.tabulate(rows, heads + ['p50 ms', 'p99 ms'])

    def plot(self, path: str) -> None:
        """Write a plot of the times to the first data, by kind."""
        import matplotlib

        matplotlib.use('Agg')
        from matplotlib import pyplot

        percents = list(range(1, 100))
        for name, outcomes in self.outcomes.items():
            values = [
                outcomes.first_ms.get_value_at_percentile(p) for p in percents
            ]
            pyplot.plot(percents, values, label=name)
        pyplot.xlabel('percentile of requests')
        pyplot.ylabel('time to first data, ms')
        pyplot.legend()
        pyplot.savefig(path)


@click.command()
@click.argument('load', default=str(SAMPLE), type=click.Path(exists=True))
@click.option('--plot', 'plot', default='', help='Write a plot to this file.')
def main(load: str, plot: str) -> None:
    """Play a load and print the outcomes of its requests by kind."""
    parsed = yaml.safe_load(pathlib.Path(load).read_text())
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(parsed, folder)
        start_s = time.monotonic()
        try:
            lab.start_entries(founding=True)
            lab.start_sidecars()
            group = trio.run(lab.play)
        finally:
            lab.stop_all()
        click.echo(lab.table())
        click.echo(
            f'{group.step} passes, {group.mixed_passes} with two maps, map '
            f'version {group.ranks[0].map_version}; '
            f'{time.monotonic() - start_s:.0f} s'
        )
        if plot:
            lab.plot(plot)
    failed = sum(outcomes.failed for outcomes in lab.outcomes.values())
    sys.exit(1 if failed or group.mixed_passes else 0)


if __name__ == '__main__':
    main()
