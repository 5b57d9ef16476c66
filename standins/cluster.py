# SPDX-License-Identifier: Apache-2.0

"""Starts mountridge's real processes on loopback, for demo, tests, bench.

Each process has its own settings file below one folder. A process is only
ever signalled by the handle that started it.
"""

import json
import os
import pathlib
import re
import resource
import signal
import subprocess
import sys
import time

import httpx
import yaml

from mountridge.consensus import entries, storage
from mountridge.net import keys

from standins import ports

__all__ = ['Cluster']

START_S = 15.0


def wait_for(check, limit_s: float = START_S, pause_s: float = 0.05):
    """Return the first true result of ``check``, or raise TimeoutError."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        result = check()
        if result:
            return result
        time.sleep(pause_s)
    raise TimeoutError(f'{check} was not true within {limit_s} s')


class Cluster:
    """Processes, their settings and the addresses they use."""

    def __init__(self, folder: str, keys_off: bool = False):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.keys_off = keys_off
        self.processes: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, dict] = {}
        self.controllers: dict[str, str] = {}
        self.http: dict[str, str] = {}

    def __enter__(self) -> 'Cluster':
        return self

    def __exit__(self, *_) -> None:
        self.stop_all()

    # Settings.

    def plan(self, controllers: list[str]) -> None:
        """Choose the controllers' addresses."""
        for name in controllers:
            self.controllers[name] = f'tcp://127.0.0.1:{ports.free_port()}'

    def add_controllers(self, names: list[str]) -> None:
        """Plan, initialize and start the first controllers."""
        self.plan(names)
        voters = {f'{n}.0': self.controllers[n] for n in names}
        for name in names:
            self.add('controller', name)
            storage.initialize(
                str(self.folder / f'data-{name}'),
                f'{name}.0',
                entries.Config(voters, {}),
            )
        for name in names:
            self.start(name)

    def add(self, role: str, name: str, hall: str = 'north', **own) -> None:
        """Write the settings of a process; ``own`` is its role's part."""
        bind = self.controllers.get(
            name, f'tcp://127.0.0.1:{ports.free_port()}'
        )
        top = own.pop('top', {})
        if role == 'gateway':
            self.http[name] = f'127.0.0.1:{ports.free_port()}'
            own = {'http': self.http[name], 'address_ttl_s': 1.0, **own}
        if role == 'controller':
            own = {'data': str(self.folder / f'data-{name}'), **own}
        folder = str(self.folder / 'keys')
        if not self.keys_off and name not in self.settings:
            keys.create_key_pairs(folder, [name])
        self.settings[name] = {
            'role': role,
            'name': name,
            'hall': hall,
            'bind': bind,
            'controllers': self.controllers,
            'keys': {'off': self.keys_off, 'folder': folder},
            role: own,
            **top,
        }
        self.path(name).write_text(yaml.safe_dump(self.settings[name]))

    def path(self, name: str) -> pathlib.Path:
        """Return the settings file of a process."""
        return self.folder / f'{name}.yaml'

    # Processes.

    def start(
        self, name: str, file_bytes: int | None = None
    ) -> subprocess.Popen:
        """Start a process; no file of its may pass ``file_bytes``."""
        role = self.settings[name]['role']
        args = ['-m', 'mountridge', role, str(self.path(name))]
        return self._spawn(name, args, file_bytes)

    def start_runner(self, name: str) -> str:
        """Start a stand-in runner and return its address."""
        address = self.http.get(name, f'127.0.0.1:{ports.free_port()}')
        self.http[name] = address
        self._spawn(name, ['-m', 'standins.runner', address, name])
        return f'http://{address}'

    def _spawn(
        self, name: str, args: list[str], file_bytes: int | None = None
    ) -> subprocess.Popen:
        def limit() -> None:
            if file_bytes is not None:
                most = (file_bytes, file_bytes)
                resource.setrlimit(resource.RLIMIT_FSIZE, most)

        log = open(self.folder / f'{name}.log', 'ab')
        self.processes[name] = subprocess.Popen(
            [sys.executable, *args],
            stdout=log,
            stderr=log,
            preexec_fn=limit,
        )
        log.close()
        return self.processes[name]

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of this cluster."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, name: str, limit_s: float = START_S) -> int:
        """Stop a process as planned and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(limit_s)

    def stop_all(self) -> None:
        """End every process that still runs."""
        running = [p for p in self.processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait()

    # What operators and callers do.

    def cli(self, *args: str, check: bool = True) -> str:
        """Run a `mountridge` command as an operator, return its output."""
        name = next(n for n in self.settings)
        done = subprocess.run(
            [sys.executable, '-m', 'mountridge', *args],
            env={**os.environ, 'MOUNTRIDGE_SETTINGS': str(self.path(name))},
            capture_output=True,
            text=True,
            timeout=60,
        )
        if check and done.returncode:
            raise RuntimeError(f'{args}: {done.stdout}{done.stderr}')
        return done.stdout

    def put_table(self, sheet: str, base: int = 0) -> None:
        """Put a sheet and wait until it is in force."""
        path = self.folder / 'table.csv'
        path.write_text(sheet)
        self.cli('table', 'put', '--base', str(base), '--wait', str(path))

    def dump(self, name: str) -> dict:
        """Return the state of a process."""
        return json.loads(self.cli('dump', name, self.settings[name]['bind']))

    def leader(self) -> str:
        """Return the name of the controller that leads."""

        def find() -> str:
            shown = self.cli('controllers', 'status', check=False)
            match = re.search(r'leader (\w+)\.', shown)
            return match.group(1) if match else ''

        return wait_for(find)

    def wait_ready(self, gateway: str, agents: int) -> None:
        """Wait until a gateway serves and knows its agents."""
        url = f'http://{self.http[gateway]}/v1/address'

        def ready() -> bool:
            try:
                return bool(httpx.get(url).json()['addresses'])
            except (httpx.HTTPError, ValueError):
                return False

        wait_for(ready)
        wait_for(
            lambda: len(self.dump(gateway)['gateway']['runners']) >= agents
        )
