# SPDX-License-Identifier: Apache-2.0

"""Rolls gateways, agents and controllers from an old build to this one.

    python -m tools.rollcluster OLD_CHECKOUT

Starts all on the old build, replaces one after the other, the leader first,
then back with the leader last, and forward again with a kill in place of each
planned stop. After each step it puts a table, calls with a key twice and
streams an answer from each gateway. The soak (``--old``) does the same for
entries and sidecars.
"""

import pathlib
import sys
import tempfile
import time
import typing

import httpx

from standins import cluster, demo

CONTROLLERS, OTHERS = ['c1', 'c2', 'c3'], ['g1', 'g2', 'a1', 'a2']
#: A step may take a lease, an election and a start, on a busy machine.
STEP_LIMIT_S = 30.0
PATH = '/v1/services/receipt-corrections'


class Run:
    """The processes of a run, and what was checked."""

    def __init__(self, system: cluster.Cluster, old: str):
        self.system = system
        self.old = old
        self.version = 0
        self.steps = 0

    def start(self) -> None:
        """Start all processes on the old build."""
        for name in (*CONTROLLERS, *OTHERS):
            self.system.builds[name] = self.old
        demo.start(self.system, len(CONTROLLERS))
        self.check('start')

    def roll(self, is_new: bool, leader_last: bool, is_killed: bool) -> None:
        """Replace all processes, one after the other."""
        leader = self.system.leader()
        followers = [name for name in CONTROLLERS if name != leader]
        order = [leader, *followers, *OTHERS]
        if leader_last:
            order = [*OTHERS, *followers, leader]
        for name in order:
            (self.system.kill if is_killed else self.system.stop)(name)
            if is_new:
                del self.system.builds[name]
            else:
                self.system.builds[name] = self.old
            self.system.start(name)
            self.check(f'{name} {"new" if is_new else "old"}')

    def check(self, step: str) -> None:
        """Check that changes, calls with keys and streams are served."""
        started_s = time.monotonic()
        table = demo.TABLE.read_text()
        self.system.put_table(table, self.version)
        self.version += 1
        for gateway in ('g1', 'g2'):
            self.system.wait_ready(gateway, 2)
            cluster.wait_for(lambda: self._streams(gateway), STEP_LIMIT_S)
        self._check_key()
        self.steps += 1
        took_s = time.monotonic() - started_s
        print(f'{step}: served, {took_s:.1f} s', flush=True)

    def _post(
        self, gateway: str, path: str, body: typing.Any, **headers: str
    ) -> httpx.Response:
        url = f'http://{self.system.http[gateway]}{path}'
        team = headers.pop('team', 'dispatch')
        headers['authorization'] = f'Bearer {team}'
        return httpx.post(url, json=body, headers=headers, timeout=30)

    def _streams(self, gateway: str) -> bool:
        body = {'model': 'drafts', 'stream': True, 'messages': []}
        reply = self._post(gateway, '/v1/chat/completions', body)
        is_whole = reply.text.rstrip().endswith('data: [DONE]')
        assert reply.status_code != 200 or is_whole, reply.text
        return reply.status_code == 200

    def _check_key(self) -> None:
        """Check that a key gets the answer of its one run at both gateways."""
        key = f'{time.time():.0f}-{self.steps}'
        answers = []

        def call(gateway: str) -> bool:
            headers = {'team': 'receipts', 'idempotency-key': key}
            reply = self._post(gateway, PATH, {'mark': key}, **headers)
            if reply.status_code == 200:
                answers.append(reply.text)
            return reply.status_code == 200

        for gateway in ('g1', 'g2'):
            cluster.wait_for(lambda: call(gateway), STEP_LIMIT_S)
        assert answers[0] == answers[1], answers


def main(old: str) -> None:
    """Run all rolls and print each step."""
    with tempfile.TemporaryDirectory() as folder:
        with cluster.Cluster(folder) as system:
            run = Run(system, str(pathlib.Path(old).resolve()))
            run.start()
            run.roll(is_new=True, leader_last=False, is_killed=False)
            run.roll(is_new=False, leader_last=True, is_killed=False)
            run.roll(is_new=True, leader_last=False, is_killed=True)
            print(f'{run.steps} steps served')


if __name__ == '__main__':
    main(sys.argv[1])
