# SPDX-License-Identifier: Apache-2.0

"""Callers: ask the directory, keep connections, send, stream, leave early."""

import json
import math
import random

import trio

from mountridge import errors
from mountridge.net import dialects, lasthop
from tools.soak import checks, fleet, links

__all__ = ['Caller']

NAMES = dialects.NATIVE.headers
#: A caller waits this much longer than its deadline, then gives up.
PATIENCE_S = 1.0
CONNECT_S = 1.0
#: One that leaves early does so within this.
LEAVES_S = 0.3


class Caller:
    """One caller, with connections of its own."""

    def __init__(
        self, made: fleet.Fleet, watch: checks.Watch, rng: random.Random
    ):
        self.made = made
        self.watch = watch
        self.rng = rng
        self.pool = lasthop.Pool(NAMES, trio.current_time, CONNECT_S)
        self.known: list[str] = []
        self.known_until_s = 0.0
        #: The entry in use, until a connection to it ends.
        self.front = ''
        self.asked = self.served = 0

    async def run(self, kinds: list[dict], per_s: float) -> None:
        """Send requests until cancelled."""
        weights = [kind['per_s'] for kind in kinds]
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.rng.expovariate(per_s))
                kind = self.rng.choices(kinds, weights)[0]
                nursery.start_soon(self._call, kind)

    async def _choose(self) -> str:
        """Return the entry to send to: the one in use, or another."""
        now_s = trio.current_time()
        if now_s > self.known_until_s:
            address = self.made.address('directory')
            status, body = await self.made.ask(address, b'/')
            if status == 200:
                told = json.loads(body)
                self.known = told['addresses']
                self.known_until_s = now_s + told['ttl_s']
        if not self.front and self.known:
            self.front = self.rng.choice(self.known)
        return self.front

    async def _call(self, kind: dict) -> None:
        front = await self._choose()
        if not front:
            return
        leaves = self.rng.random() < self.made.sizes['leave_part']
        patience_s = LEAVES_S * self.rng.random() if leaves else math.inf
        answer = await self.ask(kind, front, patience_s)
        is_last = answer.headers.get(b'connection') == b'close'
        if self.front == front and (is_last or answer.status in (0, 503)):
            self.front, self.known_until_s = '', 0.0
        self.asked += 1
        self.served += answer.is_whole and answer.status == 200

    async def ask(
        self, kind: dict, front: str, patience_s: float = math.inf
    ) -> checks.Answer:
        """Send one request to an entry, and let its answer be checked."""
        now_s = trio.current_time()
        request_id = f'{kind["name"]}-{self.rng.getrandbits(64):016x}'
        entry = self.made.names[self.made.fronts.index(front)]
        asked = checks.Asked(request_id, kind, entry, now_s)
        self.watch.asked[request_id] = asked
        deadline_s = kind['deadline_ms'] / 1000 + PATIENCE_S
        until_s = now_s + min(deadline_s, patience_s)
        answer = await self._send(asked, front, until_s)
        self.watch.answered(asked, answer, trio.current_time())
        return answer

    async def _send(
        self, asked: checks.Asked, front: str, until_s: float
    ) -> checks.Answer:
        kind = asked.kind
        method = b'POST' if kind['kind'] == 'unsafe' else b'GET'
        body = b'{"by": "a caller"}' if method == b'POST' else b''
        headers = [
            (b'Host', b'soak.example'),
            (NAMES.request_id, asked.request_id.encode()),
            (NAMES.deadline_ms, b'%d' % kind['deadline_ms']),
            (NAMES.token_counts, b'%d,%d' % (kind['prompt'], kind['output'])),
            (b'Content-Length', b'%d' % len(body)),
        ]
        # Some requests come again and again, by any caller, just as they were.
        name = kind.get('same') or asked.request_id
        target = f'/{kind["name"]}/{name}'.encode()
        address = links.listen_of(front)
        sent = (address, method, target, headers, body, None)
        status, named, pieces, is_whole = 0, {}, [], False
        with trio.move_on_at(until_s) as scope:
            try:
                async with self.pool.request(*sent) as reply:
                    status = reply.head.status
                    named = {k.lower(): v for k, v in reply.headers}
                    async for piece in reply.chunks():
                        pieces.append(piece)
                    is_whole = True
            except errors.MountridgeError:
                pass  # what came until the cut is judged
        left = scope.cancelled_caught
        return checks.Answer(status, named, b''.join(pieces), is_whole, left)
