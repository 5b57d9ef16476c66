# SPDX-License-Identifier: Apache-2.0

"""CPU cost of the request path through gateway and agent, per token.

Compares these two hops with a bare relay and with a one-hop relay on common
HTTP libraries; the measurements alternate within one run. ``make bench``.
"""

import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import tabulate
import trio

from bench import relays
from standins import cluster, ports

GAP_S = 0.027
TOKENS = 150
STREAMS = (1, 60, 300)
ROUNDS = 2
TABLE = (
    'team,service,concurrency,rate_per_s,queue_s\n'
    'dispatch,drafts,100000,100000,30\n'
)
BODY = b'{"model":"drafts","stream":true,"messages":[]}'
REQUEST = (
    b'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
    b'authorization: Bearer dispatch\r\ncontent-type: application/json\r\n'
    b'content-length: %d\r\n\r\n%s' % (len(BODY), BODY)
)


def cpu_s(pid: int) -> float:
    """Return user and system time of a process, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')')[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / 100


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(x for x in text.split('\n') if x.startswith('VmRSS'))
    return int(line.split()[1]) / 1024


class StreamStats:
    """Timing of one stream, as its caller observes it."""

    def __init__(self) -> None:
        self.first_s = 0.0
        self.gaps_s: list[float] = []
        self.tokens = 0


async def _stream(address: str, stats: StreamStats) -> None:
    stream = await trio.open_tcp_stream(*relays.split(address))
    started_s = last_s = time.perf_counter()
    await stream.send_all(REQUEST)
    tail = b''
    while b'\r\n0\r\n\r\n' not in tail:
        data = await stream.receive_some(65536)
        assert data, f'{address}: the answer was cut after {stats.tokens}'
        now_s = time.perf_counter()
        count = data.count(b'data: ')
        if count:
            if not stats.first_s:
                stats.first_s = now_s - started_s
            else:
                stats.gaps_s.append(now_s - last_s)
            last_s = now_s
        stats.tokens += count
        tail = (tail + data)[-16:]
    await stream.aclose()


async def _stream_all(address: str, count: int) -> list[StreamStats]:
    listed = [StreamStats() for _ in range(count)]
    async with trio.open_nursery() as nursery:
        for stats in listed:
            nursery.start_soon(_stream, address, stats)
            await trio.sleep(GAP_S / count)
    return listed


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of the values at ``share``, from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure(address: str, pids: list[int], count: int) -> dict:
    """Return the cost of ``count`` concurrent streams, per process."""
    before = [cpu_s(pid) for pid in pids]
    started_s = time.perf_counter()
    listed = trio.run(_stream_all, address, count)
    duration_s = time.perf_counter() - started_s
    used = [cpu_s(pid) - b for pid, b in zip(pids, before)]
    tokens = sum(stats.tokens for stats in listed)
    assert tokens == count * TOKENS, tokens
    gaps = [gap for stats in listed for gap in stats.gaps_s]
    return {
        'us': [each / tokens * 1e6 for each in used],
        'first_ms': 1e3 * statistics.median(s.first_s for s in listed),
        'gap_ms': 1e3 * quantile(gaps, 0.95),
        'cores': sum(used) / duration_s,
        'rss': [rss_mb(pid) for pid in pids],
    }


def _python(*args: str) -> subprocess.Popen:
    return subprocess.Popen([sys.executable, '-m', 'bench.relays', *args])


def _addresses(count: int) -> list[str]:
    return [f'127.0.0.1:{ports.free_port()}' for _ in range(count)]


def _start_path(system: cluster.Cluster, source: str) -> None:
    system.add_controllers(['c1'])
    system.add(
        'agent',
        'a1',
        runner=f'http://{source}',
        services=['drafts'],
        slots=1000,
    )
    system.start('a1')
    system.add('gateway', 'g1')
    system.start('g1')
    system.put_table(TABLE)
    system.wait_ready('g1', 1)


def _summarize(name: str, count: int, rounds: list[dict]) -> list:
    def median(pick) -> float:
        return statistics.median(pick(each) for each in rounds)

    hops = range(len(rounds[0]['us']))
    each = [median(lambda r, h=h: r['us'][h]) for h in hops]
    return [
        name,
        count,
        ' + '.join(f'{us:.0f}' for us in each),
        sum(each),
        median(lambda r: r['first_ms']),
        median(lambda r: r['gap_ms']),
        median(lambda r: r['cores']),
        ' + '.join(f'{mb:.0f}' for mb in rounds[-1]['rss']),
    ]


def main() -> None:
    """Run all measurements and print the table."""
    source, bare, quart = _addresses(3)
    helpers = [
        _python('source', source, str(GAP_S), str(TOKENS)),
        _python('bare', bare, source),
        _python('quart', quart, source),
    ]
    folder = tempfile.mkdtemp()
    try:
        with cluster.Cluster(folder) as system:
            _start_path(system, source)
            pids = [system.processes[name].pid for name in ('g1', 'a1')]
            subjects = {
                'bare relay': (bare, [helpers[1].pid]),
                'quart + httpx, 1 hop': (quart, [helpers[2].pid]),
                'gateway + agent': (system.http['g1'], pids),
            }
            table = []
            for count in STREAMS:
                rounds: dict[str, list] = {name: [] for name in subjects}
                for _ in range(ROUNDS):
                    for name, (address, each) in subjects.items():
                        rounds[name].append(measure(address, each, count))
                for name, found in rounds.items():
                    table.append(_summarize(name, count, found))
            print(tabulate.tabulate(table, headers=HEADERS, floatfmt='.1f'))
    finally:
        for helper in helpers:
            helper.kill()
            helper.wait()


HEADERS = [
    'path',
    'streams',
    'us CPU a token, each',
    'sum',
    'first ms',
    'p95 gap ms',
    'cores',
    'RSS MiB, each',
]


if __name__ == '__main__':
    main()
