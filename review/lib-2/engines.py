"""A group of model runners that make every pass together (PROTOCOL.md).

Each is a runner at its side machine's `app` address and takes the platform's
calls: report, picked, order, health, and requests, which it answers by streams
of events, one a pass.
"""

import asyncio
import json
import time

import rig as rigs


class Group:
    def __init__(self, rig, ranks=4, sets=2, experts=16, places=5, spare=2,
                 service='llm', pass_s=0.05):
        self.rig, self.ranks, self.sets, self.experts = rig, ranks, sets, experts
        self.places, self.spare, self.service, self.pass_s = places, spare, service, pass_s
        self.step, self.epoch = 0, 1
        self.mixed = 0
        self.open_at = 0.0
        self.runners = [ModelRunner(self, number) for number in range(ranks)]

    @property
    def is_open(self):
        return time.monotonic() >= self.open_at

    def replace(self, experts):
        """All ranks start again, with a model that has ``experts``."""
        self.experts = experts
        self.epoch += 1
        self.open_at = time.monotonic() + 0.6
        for runner in self.runners:
            for queue in list(runner.streams):
                queue.put_nowait(0)
            runner.born, runner.seq = int(time.time() * 1000), 0
            runner.reset()
        self.rig.record('runners replaced', experts=experts, epoch=self.epoch)

    async def passes(self):
        while True:
            if not self.is_open or any(
                    r.held == self.step + 1 for r in self.runners) or not any(
                    r.streams for r in self.runners):
                await asyncio.sleep(0.005)
                continue
            self.step += 1
            for r in self.runners:
                r.begin(self.step)
            versions = {r.map for r in self.runners}
            if len(versions) > 1:
                self.mixed += 1
                self.rig.record('a pass with two maps', step=self.step, versions=versions)
            await asyncio.sleep(self.pass_s)
            for r in self.runners:
                for queue in list(r.streams):
                    queue.put_nowait(1)


class ModelRunner(rigs.PlainRunner):
    def __init__(self, group, number):
        super().__init__(group.rig, number, group.service)
        self.group, self.rank = group, number
        self.address = f'{group.rig.side_host(number)}:{rigs.APP}'
        self.zone = group.rig.zones[number % 3]
        self.streams = []
        self.reset()

    def reset(self):
        group = self.group
        self.own = [
            [e for e in range(group.experts) if e % group.ranks == self.rank]
            for _ in range(group.sets)]
        self.map, self.prepared, self.ready_at, self.newest = 0, None, 0.0, 0
        self.prepared_own = None
        self.armed = self.held = None
        self.counts = [0] * (group.sets * group.experts)

    def begin(self, step):
        if self.armed and self.armed[1] == step:
            self.map, self.own = self.armed[0], self.prepared_own
            self.armed = None
        if self.streams:
            # Most requests choose the first experts.
            for number in range(len(self.counts)):
                expert = number % self.group.experts
                self.counts[number] += 40 * len(self.streams) * (8 if expert % 4 == 0 else 1)

    async def answer(self, method, path, headers, body, writer):
        group, now = self.group, time.monotonic()
        if path == '/mountridge/report':
            prepared = self.prepared if now >= self.ready_at else None
            state = {
                'stage': 'both', 'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False, 'seq': 0, 'queued': 0, 'running': len(self.streams),
                'kv-used': 0, 'kv-total': 90000, 'handles': 0, 'pace': 1.0,
                'size': group.ranks, 'step': group.step, 'map': self.map,
                'prepared': prepared,
                'armed': {'version': self.armed[0], 'step': self.armed[1]} if self.armed else None,
                'held': self.held, 'born': self.born,
                'group': {'name': 'g', 'epoch': group.epoch, 'rank': self.rank, 'state': 'open' if group.is_open else 'broken'},
            }
            self.json(writer, 200, state)
        elif path.startswith('/mountridge/picked'):
            if 'lists' in path:
                self.json(writer, 200, {'map': {'version': self.map, 'experts': self.own},
                                        'prepared': None})
            else:
                self.json(writer, 200, {'step': group.step, 'epoch': group.epoch,
                                        'counts': self.counts})
        elif path == '/mountridge/order':
            self.json(writer, self.order(json.loads(body), now), {})
        elif path == '/health':
            self.write(writer, 200, [('X-Mountridge-Instance-Id', self.id)], b'')
        else:
            await self.stream(headers, writer)

    def json(self, writer, status, value):
        self.write(writer, status, [('Content-Type', 'application/json')],
                   json.dumps(value).encode())

    def order(self, order, now):
        group, kind = self.group, order.get('operation')
        if order.get('epoch', group.epoch) != group.epoch:
            return 409
        if kind == 'prepare':
            if order['version'] == self.prepared:
                return 200
            own = [by_rank[self.rank] for by_rank in order['map']]
            new = [set(a) - set(b) for a, b in zip(own, self.own)]
            if self.armed or order['version'] <= self.newest or any(
                    len(each) > group.spare for each in new):
                return 409
            self.newest = self.prepared = order['version']
            self.prepared_own = own
            self.ready_at = now + 0.04 * sum(map(len, new))
            return 202
        if kind == 'arm':
            if order['step'] <= group.step or self.prepared != order['version'] or now < self.ready_at:
                return 409
            self.armed = (order['version'], order['step'])
            return 200
        if kind == 'hold':
            if order['step'] <= group.step or (self.held is not None and self.held != order['step']):
                return 409
            self.held = order['step']
            return 200
        if kind == 'go':
            if self.held == order['step']:
                self.held = None
            return 200
        return 400

    async def stream(self, headers, writer):
        request = headers.get('x-mountridge-request-id', '')
        if headers.get('x-mountridge-expect-instance', self.id) != self.id:
            self.write(writer, 421, [('X-Mountridge-Request-Id', request)], b'')
            return
        if not self.group.is_open:
            self.write(writer, 503, [('X-Mountridge-Request-Id', request),
                                     ('X-Mountridge-Not-Run', '1')], b'')
            return
        self.runs[request] = self.runs.get(request, 0) + 1
        self.rig.record('run', runner=self.id, request=request)
        queue = asyncio.Queue()
        self.streams.append(queue)
        try:
            first = int(headers.get('last-event-id') or 0)
            writer.write((
                'HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n'
                f'X-Mountridge-Request-Id: {request}\r\n'
                f'X-Mountridge-Server-Stamp: {self.id}.{request}\r\n'
                'Transfer-Encoding: chunked\r\n\r\n').encode())
            for number in range(first + 1, 29):
                if not await queue.get():
                    raise OSError('the group broke')
                event = f'id: {number}\ndata: {request}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
            writer.write(b'0\r\n\r\n')
        finally:
            self.streams.remove(queue)


def engine(group, experts=None):
    """The `engine` of the service in a configuration."""
    return {
        'slots': 6, 'kv-capacity-tokens': 186000, 'kv-token-bytes': 192512,
        'link-mbps': 180000.0, 'stride': 5, 'models': [{'name': 'm'}], 'step_ms': 5.85,
        'per_seq_ms': 0.71, 'context_per_k': 0.072, 'read_per_s': 61200.0,
        'pairs_per_m': 0.325, 'chunk': 512, 'report_lag_ms': 200.0, 'loads-per-s': 0.0,
        'loads_at_once': 8, 'delays': [], 'usual': {'prompt': 835, 'answer': 139},
        'sets': group.sets, 'experts': experts or group.experts, 'places': group.places,
        'spare': group.spare, 'expert-mb': 880.0, 'expert-share': 0.85, 'form_ms': 600.0,
    }
