# SPDX-License-Identifier: Apache-2.0

"""The real processes of a run, and the links in front of them."""

import pathlib
import re
import signal
import socket
import subprocess

import trio

from standins import lab
from tools.soak import links

__all__ = ['DISKS', 'Fleet', 'take_net']

#: Number of entries with a disk, the first ones.
DISKS = 3

#: Loopback networks 127.0.N, one for each concurrent run.
NETS = range(40, 80)
#: Bound on the last address of a network by the run that uses it.
LOCK_PORT = 6900
METRICS_PORT = 8004
PORTS = {'front': 8000, 'control': 8002, 'directory': 8003}


def take_net() -> tuple[str, socket.socket]:
    """Return the prefix of a free loopback network, and its lock."""
    for net in NETS:
        lock = socket.socket()
        try:
            lock.bind((f'127.0.{net}.254', LOCK_PORT))
            return f'127.0.{net}.', lock
        except OSError:
            lock.close()
    raise RuntimeError('all loopback networks of the soak test are in use')


class Fleet(lab.Lab):
    """Entries and sidecars, by name, with a link in front of each address."""

    def __init__(
        self,
        sizes: dict,
        folder: pathlib.Path,
        net: str,
        seed: int,
        old_build: str = '',
    ):
        load = {**sizes, 'seed': seed, 'kinds': []}
        super().__init__(load, str(folder), net)
        self.sizes = sizes
        self.names = [f'entry-{n}' for n in range(sizes['entries'])]
        self.by_name: dict[str, subprocess.Popen] = {}
        #: Checkout of the old build, with its environment; '' if none runs.
        self.old_build = old_build
        #: Addresses of the metrics, by process, in a run of two builds.
        self.metrics: dict[str, str] = {}
        #: Processes that run the old build from their next start on.
        self.on_old_build: set[str] = set()
        #: Processes that the soak test has ended and not started again.
        self.stopped: set[str] = set()
        #: Incarnation number of each process, from 1.
        self.incarnations: dict[str, int] = {}
        self.links = {
            f'{kind}-{n}': links.Link(f'{net}{n + 1}:{port}')
            for n in range(sizes['entries'])
            for kind, port in PORTS.items()
        }

    def start(self, name: str, host: str, settings: dict) -> None:
        """Start a process with the bounds and halls of the run."""
        bounds = {k: float(v) for k, v in self.sizes['bounds'].items()}
        hall, halls = self.hall_of(name), self.sizes['halls']
        overrides = {'hall': hall, 'halls': halls, 'bounds': bounds}
        if self.old_build:
            self.metrics[name] = f'{host}:{METRICS_PORT}'
            overrides['metrics'] = self.metrics[name]
        super().start(name, host, {**settings, **overrides})
        self.by_name[name] = self.processes[-1]
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.stopped.discard(name)

    def restart(self, name: str) -> None:
        """Start a process again that has ended."""
        kind, _, number = name.partition('-')
        if kind == 'entry':
            self.start_entry(int(number), founding=False)
        else:
            self.start_sidecar(int(number))

    def use_build(self, name: str, is_old: bool) -> None:
        """Have a process run the old or the new build from its next start."""
        if is_old:
            self.on_old_build.add(name)
        else:
            self.on_old_build.discard(name)

    def interpreter(self, name: str) -> tuple[str, str | None]:
        """Return the interpreter of the build that a process is to run."""
        if name not in self.on_old_build:
            return super().interpreter(name)
        # The interpreter imports from its working directory first.
        return f'{self.old_build}/.venv/bin/python', self.old_build

    def hall_of(self, name: str) -> str:
        """Return the hall of a process or runner, from its number."""
        halls = self.sizes['halls']
        return halls[int(name.rpartition('-')[2]) % len(halls)]

    def address(self, kind: str) -> str:
        """Return the address of the link to ``kind`` of a random entry."""
        link = self.links[f'{kind}-{self.rng.randrange(len(self.names))}']
        return links.link_address(link.target)

    def readiness(self, name: str) -> str:
        """Return the address at which an entry tells whether it is ready."""
        return f'{self.network}{self.names.index(name) + 1}:8001'

    def entry_at(self, address: str) -> str:
        """Return the entry whose link has an address."""
        host = address.rpartition(':')[0].removeprefix(self.network)
        return self.names[int(host) - 1]

    # Signals, sent only to processes started here.

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process unless the soak test has ended it."""
        if name not in self.stopped:
            self.by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.stopped.add(name)
        self.by_name[name].kill()
        self.by_name[name].wait()

    async def stop(self, name: str, limit_s: float) -> float:
        """Stop a process gracefully; return the seconds that it took.

        It is killed after ``limit_s``.
        """
        process, started_s = self.by_name[name], trio.current_time()
        process.send_signal(signal.SIGTERM)
        self.stopped.add(name)
        while process.poll() is None:
            if trio.current_time() - started_s > limit_s:
                self.kill(name)
            await trio.sleep(0.05)
        return trio.current_time() - started_s

    def memory_mb(self, name: str) -> float:
        """Return the memory that a process has taken, 0 if it has ended."""
        try:
            pid = self.by_name[name].pid
            status = pathlib.Path(f'/proc/{pid}/status').read_text()
        except OSError:
            return 0.0
        found = re.search(r'VmRSS:\s*(\d+) kB', status)
        return int(found[1]) / 1024 if found else 0.0

    def ended(self) -> list[str]:
        """Return the processes that have ended by themselves."""
        expected = [name for name in self.by_name if name not in self.stopped]
        return [n for n in expected if self.by_name[n].poll() is not None]
