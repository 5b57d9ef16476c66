# SPDX-License-Identifier: Apache-2.0

"""Memory and snapshot size of the state machine, and cost of idle processes.

Measures each size in a separate process. ``make slopes``.
"""

import os
import subprocess
import sys
import tempfile
import time

import tabulate

from bench import control, path
from mountridge.documents import tables
from mountridge import messages
from mountridge.state import commands, statemachine, views
from standins import demo

CLAIMS = (10000, 20000, 40000, 80000)
ROWS = (500, 1000, 2000, 4000)
MEMBERS = (128, 256, 512, 1024)
IDLE_S = 8


def _fill_claims(count: int) -> bytes:
    machine = statemachine.StateMachine()
    for number in range(count):
        key = f'receipts/corrections/{1_800_000_000 + number}-{number:08x}'
        claim = messages.Claim(
            key, f'{number:032x}', f'g1-{number:012x}', f'{number:012x}',
            'a17', 'abcdef012345',
        )  # fmt: skip
        machine.apply(2 * number + 1, commands.OpenClaim(claim, 1.8e9, 1.8e9))
        outcome = messages.Outcome(
            key, claim.attempt_id, 'ran', 200, b'x' * 200
        )
        machine.apply(2 * number + 2, commands.CloseClaim(outcome, 1.8e9))
    return machine.snapshot()


def _fill_rows(count: int) -> bytes:
    machine = statemachine.StateMachine()
    cells = [
        {'team': f'team-{n // 7}', 'service': f'model-{n % 7}'}
        for n in range(count)
    ]
    listed = [tables.to_cells(r) for r in tables.check_rows(cells)]
    machine.apply(1, commands.PutTable('op', 0, 'w', listed, 1.0))
    return machine.snapshot()


def _fill_members(count: int) -> bytes:
    machine = statemachine.StateMachine()
    for n in range(count):
        member = views.Member(
            f'agent-{n}', 'agent', 'abcdef012345', 'north',
            f'tcp://10.0.{n // 250}.{n % 250}:7200', '', ['drafts'], 'g1',
            16, 'live',
        )  # fmt: skip
        machine.apply(n + 1, commands.SetMember(member, 1.0))
    return machine.snapshot()


FILLS = {
    'claims': (_fill_claims, CLAIMS),
    'rows': (_fill_rows, ROWS),
    'members': (_fill_members, MEMBERS),
}


def _measure(kind: str, count: int) -> None:
    before = path.rss_mb(os.getpid())
    snapshot = FILLS[kind][0](count)
    after = path.rss_mb(os.getpid())
    print(after - before, len(snapshot) / 2**20)


def slopes() -> None:
    """Print memory and snapshot size by count, with the linear fit."""
    for kind, (_, counts) in FILLS.items():
        rows = []
        for count in counts:
            done = subprocess.run(
                [sys.executable, '-m', 'bench.state', kind, str(count)],
                capture_output=True,
                text=True,
                check=True,
            )
            rows.append([count, *map(float, done.stdout.split())])
        print(f'\n{kind}: memory with one snapshot, and its size')
        print(tabulate.tabulate(rows, headers=[kind, 'MiB', 'snapshot MiB']))
        control.print_fit('MiB', rows, 1)


def idle() -> None:
    """Print CPU and memory of each process without requests."""
    with demo.build(tempfile.mkdtemp()) as system:
        system.put_table(demo.TABLE.read_text())
        system.wait_ready('g1', 2)
        names = [n for n in system.processes if not n.startswith('r')]
        pids = {name: system.processes[name].pid for name in names}
        time.sleep(2)
        before = {name: path.cpu_s(pid) for name, pid in pids.items()}
        time.sleep(IDLE_S)
        rows = [
            [
                name,
                100 * (path.cpu_s(pid) - before[name]) / IDLE_S,
                path.rss_mb(pid),
            ]
            for name, pid in pids.items()
        ]
        print('\nidle processes')
        print(tabulate.tabulate(rows, headers=['', '% of a core', 'MiB']))


def main() -> None:
    """Measure one size, or all."""
    if len(sys.argv) == 3:
        _measure(sys.argv[1], int(sys.argv[2]))
        return
    slopes()
    idle()


if __name__ == '__main__':
    main()
