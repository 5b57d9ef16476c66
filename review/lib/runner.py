"""A runner of a plain service (PROTOCOL.md), as a process of its own.

SIGUSR1: it drains, as before a planned end. SIGKILL ends it. Each request that
begins to run is recorded with one line in the file ``--runs``.
"""

import argparse
import asyncio
import hashlib
import json
import os
import random
import signal
import time

HEADER = 'x-mountridge-'
#: Bytes behind a whole answer. They are no runner's answer: those carry the id
#: of their request and the stamp of their runner.
STRAY = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
    b'Content-Length: 3\r\n\r\nok\n'
)


def body_of(request_id, size):
    """Return the whole body that answers a request."""
    seed = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (seed * (size // len(seed) + 1))[:size]


def event_of(request_id, number):
    """Return one event of the stream that answers a request."""
    return f'id: {number}\ndata: {request_id} {number}\n\n'.encode()


class Runner:
    def __init__(self, args):
        self.args = args
        self.runs = open(args.runs, 'a', buffering=1)
        self.state = 'ready'
        self.running = 0
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.beat_now = asyncio.Event()
        self.garbles_until = 0.0
        self.rng = random.Random(args.id)

    def note(self, event, **fields):
        self.runs.write(json.dumps({'time': time.time(), 'event': event, **fields}) + '\n')

    async def beat(self):
        import stand

        args, turn = self.args, 0
        controls = args.controls.split(',')
        while True:
            self.seq += 1
            body = {
                'service': args.service, 'address': args.announce or args.address,
                'zone': args.zone, 'version': 'v1', 'slots': args.slots,
                'state': self.state, 'cold-remaining-ms': 0, 'stage': 'both',
                'models': [], 'seq': self.seq, 'born': self.born,
            }  # fmt: skip
            state = self.state
            for _ in controls:
                path = f'/mountridge/instances/{args.id}/heartbeat'
                answer = await stand.call_once(
                    controls[turn % len(controls)], 'POST', path, (),
                    json.dumps(body).encode(), 1.0,
                )  # fmt: skip
                if 200 <= answer.status < 300:
                    if state != 'ready':
                        self.note('draining acknowledged')
                    break
                turn += 1
            try:
                async with asyncio.timeout(args.heartbeat_ms / 1000):
                    await self.beat_now.wait()
                self.beat_now.clear()
            except TimeoutError:
                pass

    def garble(self):
        """Give some answers another form, for a time."""
        self.garbles_until = time.time() + self.args.garble_s
        self.note('garbles')

    def drain(self):
        self.state = 'draining'
        self.note('draining')
        self.beat_now.set()

    async def serve(self, reader, writer):
        try:
            late = b''
            while await self.serve_one(reader, writer, late):
                late = b''
                is_garbling = time.time() < self.garbles_until
                if is_garbling and self.rng.random() < self.args.garble_share:
                    # Comes late, in the slot where the next answer is due.
                    late = STRAY
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer, late=b''):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        method, target, _ = lines[0].split(' ', 2)
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(':')
            if colon:
                headers[name.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get('content-length', 0)))
        request_id = headers.get(HEADER + 'request-id', '')
        common = [
            f'X-Mountridge-Request-Id: {request_id}',
            f'X-Mountridge-Instance-Id: {self.args.id}',
            f'X-Mountridge-Server-Load: {self.running},0,{self.args.slots}',
        ]
        if self.state != 'ready' and self.args.says_leaving:
            common.append('Server-Leaving: 1')

        def send(status, fields, data=b''):
            text = '\r\n'.join([f'HTTP/1.1 {status} X', *common, *fields, '', ''])
            writer.write(text.encode('latin-1') + data)

        if target.startswith('/health'):
            status = 200 if self.state == 'ready' else 503
            send(status, ['Content-Length: 0'])
            await writer.drain()
            return True
        expected = headers.get(HEADER + 'expect-instance')
        if expected not in (None, self.args.id):
            send(421, ['X-Mountridge-Not-Run: 1', 'Content-Length: 0'])
            await writer.drain()
            return True
        if self.running >= self.args.slots:
            send(503, ['X-Mountridge-Not-Run: 1', 'Content-Length: 0'])
            await writer.drain()
            return True
        self.running += 1
        if late:
            self.note('stray bytes', before=request_id)
            writer.write(late)
            await writer.drain()
        self.note('run', id=request_id, path=target, last=headers.get('last-event-id'))
        try:
            return await self.answer(request_id, target, headers, send, writer)
        finally:
            self.running -= 1

    async def crash(self, request_id):
        """End as a process that crashes: nothing is said or flushed."""
        await asyncio.sleep(self.args.crash_ms / 1000)
        self.note('crashed', id=request_id)
        os.kill(os.getpid(), signal.SIGKILL)

    async def stream(self, request_id, last_id, send, writer):
        """Send the events after ``last_id``; the end of the connection is
        the end of the answer."""
        args = self.args
        stamp = f'X-Mountridge-Server-Stamp: {args.id}.{request_id}'
        send(200, [stamp, 'Content-Type: text/event-stream', 'Connection: close'])
        await writer.drain()
        await asyncio.sleep(args.work_ms / 1000)
        for number in range(last_id + 1, args.events + 1):
            if number > last_id + 1:
                await asyncio.sleep(args.gap_ms / 1000)
            writer.write(event_of(request_id, number))
            await writer.drain()
        self.note('answered', id=request_id)
        return False

    async def answer(self, request_id, target, headers, send, writer):
        args = self.args
        if args.crash_path and target.startswith(args.crash_path):
            await self.crash(request_id)
        if args.events:
            last_id = int(headers.get('last-event-id', 0))
            return await self.stream(request_id, last_id, send, writer)
        data = body_of(request_id, args.size)
        stamp = f'X-Mountridge-Server-Stamp: {args.id}.{request_id}'
        await asyncio.sleep(args.work_ms / 1000)
        fields = [stamp, 'Content-Type: application/octet-stream']
        is_garbling = time.time() < self.garbles_until
        unframed = is_garbling and self.rng.random() < args.unframed_share
        if unframed:
            # Neither a length nor chunks: it ends with its connection.
            self.note('unframed', id=request_id)
            send(200, [*fields, 'Connection: close'])
        else:
            send(200, [*fields, f'Content-Length: {len(data)}'])
        step = max(1, len(data) // args.pieces)
        for start in range(0, len(data), step):
            if start:
                await asyncio.sleep(args.answer_s / args.pieces)
            writer.write(data[start : start + step])
            await writer.drain()
        self.note('answered', id=request_id)
        return not unframed


async def main():
    parser = argparse.ArgumentParser()
    for name in ('id', 'service', 'address', 'zone', 'runs', 'controls'):
        parser.add_argument('--' + name, required=True)
    parser.add_argument('--announce', default='')
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--heartbeat-ms', type=float, default=1200)
    parser.add_argument('--work-ms', type=float, default=20)
    parser.add_argument('--answer-s', type=float, default=0)
    parser.add_argument('--pieces', type=int, default=1)
    parser.add_argument('--size', type=int, default=800)
    parser.add_argument('--events', type=int, default=0)
    parser.add_argument('--gap-ms', type=float, default=100)
    parser.add_argument('--crash-path', default='')
    parser.add_argument('--crash-ms', type=float, default=60)
    parser.add_argument('--unframed-share', type=float, default=0)
    parser.add_argument('--says-leaving', action='store_true')
    parser.add_argument('--garble-share', type=float, default=0)
    parser.add_argument('--garble-s', type=float, default=5)
    runner = Runner(parser.parse_args())
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR2, runner.garble)
    loop.add_signal_handler(signal.SIGUSR1, runner.drain)
    host, _, port = runner.args.address.rpartition(':')
    server = await asyncio.start_server(runner.serve, host, int(port))
    beat = asyncio.create_task(runner.beat())
    async with server:
        await beat


if __name__ == '__main__':
    asyncio.run(main())
