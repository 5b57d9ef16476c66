"""The model behind a service is exchanged for one with more experts.

The operator sends the configuration for the new model, and its runners follow
some seconds later.
"""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'lib-2'))
import engines  # noqa: E402
import rig as rigs  # noqa: E402

KEY = [('Authorization', 'Bearer key-1')]


def document(version, group, experts, timeout_ms):
    stream = rigs.route('r-llm', 'a.example', '/llm/', 'llm', 'streaming', 8000,
                        resumable=True)
    stream['max-attempts'], stream['target-gap-ms'] = 2, 120
    plain = rigs.route('r-app', 'a.example', '/app/', 'app', 'unsafe', timeout_ms)
    return rigs.config(
        version, [stream, plain],
        [rigs.service('llm', engine=engines.engine(group, experts)), rigs.service('app')],
        [{'name': 'team', 'api-keys': ['key-1']}])


class Load:
    """Callers on kept connections, as many for each entry."""

    def __init__(self, rig):
        self.rig = rig
        #: Requests that a runner ran and whose kept connection was closed
        #: without an answer, by entry.
        self.cut = collections.Counter()
        self.answered = collections.Counter()
        self.runners = []

    def ran(self, request):
        return any(request in runner.runs for runner in self.runners)

    async def caller(self, entry, path, deadline_ms):
        connection = rigs.Connection(self.rig.front(entry))
        sent = 0
        while True:
            request = rigs.request_id()
            try:
                if not connection.is_open:
                    await connection.open()
                    sent = 0
                headers = [
                    ('Host', 'a.example'), ('X-Mountridge-Request-Id', request),
                    ('X-Mountridge-Deadline-Ms', deadline_ms),
                    ('X-Mountridge-Token-Count', '700,140'), *KEY]
                await connection.send('POST', path, headers, b'x')
                status, got, body, whole = await asyncio.wait_for(
                    connection.receive(), deadline_ms / 1000 + 1)
                sent += 1
                self.answered[status if whole else 'cut off'] += 1
                if status == 503:
                    await asyncio.sleep(float(got.get('retry-after', 1)))
                elif not whole:
                    connection.close()
            except (OSError, ValueError, asyncio.IncompleteReadError,
                    asyncio.TimeoutError) as problem:
                was_kept = connection.is_open and sent > 0
                connection.close()
                await asyncio.sleep(0.1)
                if (was_kept and path.startswith('/app/') and self.ran(request)
                        and not isinstance(problem, asyncio.TimeoutError)):
                    self.cut[f'entry-{entry}'] += 1
                    self.rig.record('closed without an answer', entry=entry, request=request,
                                    ran=True)


async def run(case):
    rig = rigs.Rig(case, disks=3, diskless=1, sidecars=4)
    tasks = []
    try:
        rig.start_all()
        group = engines.Group(rig)
        plain = [rigs.PlainRunner(rig, n, 'app', work_s=0.3, slots=30) for n in range(3)]
        for runner in [*group.runners, *plain]:
            await runner.start()
        tasks = await rigs.serve_in_background(
            group.passes(), rig.restart_ended(),
            *[r.beat() for r in [*group.runners, *plain]])
        status, _ = await rig.put(document(1, group, None, 3000))
        if status != 200:
            return 2
        await asyncio.sleep(3)
        load = Load(rig)
        load.runners = [*group.runners, *plain]
        for entry in range(rig.entries):
            for _ in range(3):
                tasks.append(asyncio.ensure_future(load.caller(entry, '/llm/1', 8000)))
            for _ in range(6):
                tasks.append(asyncio.ensure_future(load.caller(entry, '/app/1', 3000)))
        await asyncio.sleep(10)
        rig.record('before the change', answered=dict(load.answered), cut=dict(load.cut),
                   map_version=group.runners[0].map, own_ends=len(rig.own_ends))
        if rig.own_ends or load.cut:
            return 2
        # Both runs send a change and then replace the runners. With the trouble
        # the new model has 32 experts in a set, without it 16 as before.
        experts = 2 * group.experts if rigs.TROUBLE else group.experts
        status, _ = await rig.put(document(6, group, experts, 2500))
        rig.record('the change', experts=experts, status=status)
        acknowledged = time.monotonic()
        await asyncio.sleep(12)
        group.replace(experts)
        await asyncio.sleep(20)
        core = {f'entry-{n}' for n in range(rig.disks)}
        ends = collections.Counter(name for _, name in rig.own_ends)
        rig.record('after the change', answered=dict(load.answered), cut=dict(load.cut),
                   own_ends=dict(ends), mixed_passes=group.mixed,
                   seconds=round(time.monotonic() - acknowledged, 1))
        for name in ends:
            for line in rig.log_tail(name, 1000000):
                if 'IndexError' in line:
                    rig.record('log', name=name, line=line.strip()[:200])
                    break
        # LOST: a machine in touch passes a request from a kept connection on to
        # a sound runner and closes that connection without an answer, more
        # than three times. (A process that ends by itself counts as running.)
        broken = sum(load.cut.values()) > 3
        halves = sum(ends[name] >= 3 for name in core)
        rig.record('verdict', broken=broken, lost=sum(load.cut.values()),
                   core_processes_with_three_own_ends=halves)
        return 1 if broken else 0
    finally:
        for task in tasks:
            task.cancel()
        rig.close()


rigs.main(run)
