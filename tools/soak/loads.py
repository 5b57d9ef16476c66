# SPDX-License-Identifier: Apache-2.0

"""Emulated callers, which find entries in the directory and send requests."""

import json
import math
import random

import trio

from mountridge import errors
from mountridge.net import dialects, lasthop
from tools.soak import checks, fleet, harmfulparts, links

__all__ = ['Caller']

NAMES = dialects.NATIVE.headers
#: How long a caller waits beyond its deadline.
EXTRA_WAIT_S = 1.0
CONNECT_S = 1.0
#: A caller that abandons its request does so within this time.
MAX_ABANDON_S = 0.3


class Caller:
    """A caller with its own connections."""

    def __init__(
        self, system: fleet.Fleet, checker: checks.Checker, rng: random.Random
    ):
        self.system = system
        self.checker = checker
        self.rng = rng
        self.pool = lasthop.Pool(NAMES, trio.current_time, CONNECT_S)
        self.addresses: list[str] = []
        self.addresses_until_s = 0.0
        #: The entry in use, until it closes a connection or fails.
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
        """Return the entry in use, or choose another one."""
        now_s = trio.current_time()
        if now_s > self.addresses_until_s:
            address = self.system.address('directory')
            status, body = await self.system.ask(address, b'/')
            if status == 200:
                reply = json.loads(body)
                self.addresses = reply['addresses']
                self.addresses_until_s = now_s + reply['ttl_s']
        if not self.front and self.addresses:
            self.front = self.rng.choice(self.addresses)
        return self.front

    async def _call(self, kind: dict) -> None:
        front = await self._choose()
        if not front:
            return
        abandons = self.rng.random() < self.system.sizes['leave_part']
        abandon_after_s = (
            MAX_ABANDON_S * self.rng.random() if abandons else math.inf
        )
        answer = await self.ask(kind, front, abandon_after_s)
        is_last = answer.headers.get(b'connection') == b'close'
        if self.front == front and (is_last or answer.status in (0, 503)):
            self.front, self.addresses_until_s = '', 0.0
        self.asked += 1
        self.served += answer.is_whole and answer.status == 200

    async def ask(
        self, kind: dict, front: str, abandon_after_s: float = math.inf
    ) -> checks.Answer:
        """Send one request to an entry, check its answer and return it."""
        now_s = trio.current_time()
        request_id = f'{kind["name"]}-{self.rng.getrandbits(64):016x}'
        entry = self.system.names[self.system.fronts.index(front)]
        incarnation = self.system.incarnations[entry]
        request = checks.SentRequest(
            request_id, kind, entry, now_s, incarnation
        )
        self.checker.sent_requests[request_id] = request
        deadline_s = kind['deadline_ms'] / 1000 + EXTRA_WAIT_S
        until_s = now_s + min(deadline_s, abandon_after_s)
        answer = await self._send(request, front, until_s)
        self.checker.record_answer(request, answer, trio.current_time())
        return answer

    async def _send(
        self, request: checks.SentRequest, front: str, until_s: float
    ) -> checks.Answer:
        kind = request.kind
        method = b'POST' if kind['kind'] == 'unsafe' else b'GET'
        body = b'{"by": "a caller"}' if method == b'POST' else b''
        headers = [
            (b'Host', b'soak.example'),
            (NAMES.request_id, request.request_id.encode()),
            (NAMES.deadline_ms, b'%d' % kind['deadline_ms']),
            (NAMES.token_counts, b'%d,%d' % (kind['prompt'], kind['output'])),
            (b'Content-Length', b'%d' % len(body)),
        ]
        if 'key' in kind:
            bearer = b'Bearer ' + kind['key'].encode()
            headers.append((b'Authorization', bearer))
        if 'parts' in kind:
            parts = harmfulparts.header(kind, request.request_id)
            headers.append((NAMES.prefix_parts, parts))
        # Some kinds send an identical request each time, from any caller.
        name = kind.get('same') or request.request_id
        target = f'/{kind["name"]}/{name}'.encode()
        address = links.link_address(front)
        sent = (address, method, target, headers, body, None)
        status, named, pieces, is_whole = 0, {}, [], False
        with trio.move_on_at(until_s) as scope:
            try:
                async with self.pool.request(*sent) as reply:
                    status = reply.head.status
                    named = {k.lower(): v for k, v in reply.headers}
                    async for piece in reply.chunks():
                        pieces.append(piece)
                        if 'read_per_s' in kind:
                            await trio.sleep(len(piece) / kind['read_per_s'])
                    is_whole = True
            except errors.MountridgeError:
                pass  # what was received until the failure is checked
        abandoned = scope.cancelled_caught
        return checks.Answer(
            status, named, b''.join(pieces), is_whole, abandoned
        )
