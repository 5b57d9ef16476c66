# SPDX-License-Identifier: Apache-2.0

"""Runs real mountridge processes on loopback, for demo, tests and benches.

Each process has its own settings file in one folder. Signals go only to
processes that were started here, through their `subprocess.Popen` objects.
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

#: Timeout for processes to start, to stop, or to reach an awaited state.
TIMEOUT_S = 15.0


def wait_for(check, limit_s: float = TIMEOUT_S, pause_s: float = 0.05):
    """Return the first true result of ``check``.

    :raises TimeoutError: there was none within ``limit_s``.
    """
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        result = check()
        if result:
            return result
        time.sleep(pause_s)
    raise TimeoutError(f'{check} was not true within {limit_s} s')


class Cluster:
    """A set of processes, with their settings and addresses, by name."""

    def __init__(self, folder: str, keys_off: bool = False):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.keys_off = keys_off
        self.processes: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, dict] = {}
        self.controllers: dict[str, str] = {}
        #: HTTP addresses (IP:PORT) of gateways and runners.
        self.http: dict[str, str] = {}
        #: Checkouts of other builds, with their environments, by process.
        self.builds: dict[str, str] = {}

    def __enter__(self) -> 'Cluster':
        return self

    def __exit__(self, *_) -> None:
        self.stop_all()

    # Settings.

    def assign_addresses(self, controllers: list[str]) -> None:
        """Assign an address to each of the first controllers."""
        for name in controllers:
            self.controllers[name] = f'tcp://127.0.0.1:{ports.free_port()}'

    def add_controllers(self, names: list[str]) -> None:
        """Initialize and start the first controllers."""
        self.assign_addresses(names)
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
        """Write the settings file of a process.

        ``own`` are the settings of its role; ``top`` among them is a dict of
        top-level settings.
        """
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
        """Start a process; its files can't grow beyond ``file_bytes``."""
        role = self.settings[name]['role']
        args = ['-m', 'mountridge', role, str(self.path(name))]
        return self._spawn(name, args, file_bytes)

    def start_runner(self, name: str) -> str:
        """Start an emulated runner and return its URL."""
        address = self.http.get(name, f'127.0.0.1:{ports.free_port()}')
        self.http[name] = address
        self._spawn(name, ['-m', 'standins.runner', address, name])
        return f'http://{address}'

    def _spawn(
        self, name: str, args: list[str], file_bytes: int | None = None
    ) -> subprocess.Popen:
        def limit_files() -> None:
            if file_bytes is not None:
                limits = (file_bytes, file_bytes)
                resource.setrlimit(resource.RLIMIT_FSIZE, limits)

        build = self.builds.get(name)
        interpreter = f'{build}/.venv/bin/python' if build else sys.executable
        log = open(self.folder / f'{name}.log', 'ab')
        self.processes[name] = subprocess.Popen(
            [interpreter, *args],
            stdout=log,
            stderr=log,
            preexec_fn=limit_files,
            # The interpreter imports from its working directory first.
            cwd=build,
        )
        log.close()
        return self.processes[name]

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of this cluster."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self, name: str, limit_s: float = TIMEOUT_S) -> int:
        """Stop a process gracefully and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait(limit_s)

    def stop_all(self) -> None:
        """Kill every process that is still running."""
        running = [p for p in self.processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running:
            process.wait()

    # Operators and callers.

    def cli(self, *args: str, check: bool = True) -> str:
        """Run a `mountridge` command as an operator and return its output.

        :raises RuntimeError: it failed, if ``check`` is set.
        """
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

    def put_table(self, source: str, base: int = 0) -> None:
        """Put a table (CSV) and wait until it is in force."""
        path = self.folder / 'table.csv'
        path.write_text(source)
        self.cli('table', 'put', '--base', str(base), '--wait', str(path))

    def dump(self, name: str) -> dict:
        """Return the state of a process."""
        return json.loads(self.cli('dump', name, self.settings[name]['bind']))

    def leader(self) -> str:
        """Return the name of the leading controller."""

        def find() -> str:
            shown = self.cli('controllers', 'status', check=False)
            match = re.search(r'leader (\w+)\.', shown)
            return match.group(1) if match else ''

        return wait_for(find)

    def wait_ready(self, gateway: str, agents: int) -> None:
        """Wait until a gateway is ready and knows this many runners."""
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
