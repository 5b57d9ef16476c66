# SPDX-License-Identifier: Apache-2.0

"""The real processes of a run, and the links before each of them."""

import pathlib
import signal
import socket
import subprocess

import trio

from standins import lab
from tools.soak import links

__all__ = ['Fleet', 'take_net']

#: Loopback nets 127.0.N that runs of the soak use, one each.
NETS = range(40, 80)
#: Held on the last address of its net by the run that uses it.
LOCK_PORT = 6900
PORTS = {'front': 8000, 'control': 8002, 'directory': 8003}


def take_net() -> tuple[str, socket.socket]:
    """Return the prefix of a free loopback net, and what keeps it taken."""
    for net in NETS:
        lock = socket.socket()
        try:
            lock.bind((f'127.0.{net}.254', LOCK_PORT))
            return f'127.0.{net}.', lock
        except OSError:
            lock.close()
    raise RuntimeError('all loopback nets of the soak are taken')


class Fleet(lab.Lab):
    """Entries and sidecars, by name, with a link before each address."""

    def __init__(self, sizes: dict, folder: pathlib.Path, net: str, seed: int):
        load = {**sizes, 'seed': seed, 'kinds': []}
        super().__init__(load, str(folder), net)
        self.sizes = sizes
        self.names = [f'entry-{n}' for n in range(sizes['entries'])]
        self.by_name: dict[str, subprocess.Popen] = {}
        #: Processes that the soak itself has ended and not started again.
        self.away: set[str] = set()
        #: Number of the life of each process, from 1 on.
        self.lives: dict[str, int] = {}
        self.links = {
            f'{kind}-{n}': links.Link(f'{net}{n + 1}:{port}')
            for n in range(sizes['entries'])
            for kind, port in PORTS.items()
        }

    def start(self, name: str, host: str, settings: dict) -> None:
        """Start a process under the bounds of the run."""
        bounds = {k: float(v) for k, v in self.sizes['bounds'].items()}
        hall, halls = self.hall_of(name), self.sizes['halls']
        mine = {'hall': hall, 'halls': halls, 'bounds': bounds}
        super().start(name, host, {**settings, **mine})
        self.by_name[name] = self.processes[-1]
        self.lives[name] = self.lives.get(name, 0) + 1
        self.away.discard(name)

    def again(self, name: str) -> None:
        """Start a process again that was ended."""
        kind, _, number = name.partition('-')
        if kind == 'entry':
            self.start_entry(int(number), founding=False)
        else:
            self.start_sidecar(int(number))

    def hall_of(self, name: str) -> str:
        """Return the hall of a process or runner, by its number."""
        halls = self.sizes['halls']
        return halls[int(name.rpartition('-')[2]) % len(halls)]

    def address(self, kind: str) -> str:
        """Return the link to ``kind`` of an entry, drawn anew each time."""
        link = self.links[f'{kind}-{self.rng.randrange(len(self.names))}']
        return links.listen_of(link.target)

    async def post(self, path: bytes, body: bytes) -> int:
        """Send a control call to some entry and return its status."""
        return (await self.ask(self.address('control'), path, body))[0]

    # Signals, only ever by the handle of what was started here.

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process unless the soak has ended it."""
        if name not in self.away:
            self.by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.away.add(name)
        self.by_name[name].kill()
        self.by_name[name].wait()

    async def stop(self, name: str, limit_s: float) -> float:
        """Stop a process as planned; return the seconds that it took.

        It is killed once ``limit_s`` is over.
        """
        process, began_s = self.by_name[name], trio.current_time()
        process.send_signal(signal.SIGTERM)
        self.away.add(name)
        while process.poll() is None:
            if trio.current_time() - began_s > limit_s:
                self.kill(name)
            await trio.sleep(0.05)
        return trio.current_time() - began_s

    def ended(self) -> list[str]:
        """Return the processes that have ended by themselves."""
        here = [name for name in self.by_name if name not in self.away]
        return [n for n in here if self.by_name[n].poll() is not None]
