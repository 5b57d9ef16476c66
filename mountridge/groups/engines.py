# SPDX-License-Identifier: Apache-2.0

"""HTTP client of a model engine, used by sidecars.

`NativeEngine` implements the project's own API. An adapter for another
platform reuses `EngineCalls` and supplies its own paths and bodies.
"""

import typing

import msgspec
import trio

from mountridge import application, errors
from mountridge.documents import instances
from mountridge.experts import ranks
from mountridge.net import dialects, lasthop

__all__ = [
    'EngineCalls', 'NativeEngine', 'ORDER_TIMEOUT_S', 'connect', 'connect_to',
    'instance_id_from',
]  # fmt: skip

#: Timeout of a call; the engine is usually on the same box, and responds
#: within a few milliseconds.
CALL_TIMEOUT_S = 0.5
#: Timeout of an order, which is then sent again: orders are idempotent. Short,
#: since all ranks wait for the last one to be armed while a pass is held;
#: engines respond to orders in 3 to 10 ms.
ORDER_TIMEOUT_S = 0.06
STATE = b'/v1/state'
COUNTS = b'/v1/counts'
EXPERTS = b'/v1/experts'
ORDER = b'/v1/order'

_STATE = msgspec.json.Decoder(ranks.RankState)
_COUNTS = msgspec.json.Decoder(list[int])
_EXPERTS = msgspec.json.Decoder(list[list[int]])


class EngineCalls:
    """HTTP calls to the engine at one address; maps failures to errors."""

    def __init__(self, pool: lasthop.Pool, address: str):
        self._pool = pool
        self._address = address

    async def call(
        self,
        method: bytes,
        target: bytes,
        body: bytes = b'',
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[dialects.ReplyHead, bytes]:
        """Send one request and return the head and body of the response.

        :raises OutcomeUnknown: there was no response within ``timeout_s``.
        """
        headers = [(b'Host', self._address.encode())]
        if body:
            headers.append((b'Content-Type', b'application/json'))
            headers.append((b'Content-Length', b'%d' % len(body)))
        with trio.move_on_after(timeout_s):
            async with self._pool.request(
                self._address, method, target, headers, body, None
            ) as reply:
                return reply.head, await reply.read_body()
        raise errors.OutcomeUnknown('engine did not respond in time')

    async def read(
        self, target: bytes, decoder: msgspec.json.Decoder
    ) -> typing.Any:
        """Return the decoded body of the response to a GET.

        :raises RunnerFailed: the status is not 200.
        :raises BadAnswer: the body can't be decoded.
        """
        head, body = await self.call(b'GET', target)
        if head.status != 200:
            raise errors.RunnerFailed(f'engine returned status {head.status}')
        try:
            return decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            raise errors.BadAnswer(str(problem))
        except RecursionError:
            raise errors.BadAnswer('response is nested too deeply')

    async def send_order(self, target: bytes, body: bytes) -> None:
        """Send an order.

        :raises RefusedChange: the order does not fit the engine's state.
        :raises OutcomeUnknown: the order may be carried out, now or later.
        """
        try:
            head, answer = await self.call(
                b'POST', target, body, ORDER_TIMEOUT_S
            )
        except errors.BadAnswer as problem:
            raise errors.OutcomeUnknown(str(problem))
        if head.status >= 500 or 300 <= head.status < 400:
            raise errors.OutcomeUnknown(
                f'engine returned status {head.status}'
            )
        if head.status >= 400:
            reason = answer[:200].decode('latin-1')
            raise errors.RefusedChange(
                f'engine returned status {head.status}: {reason}'
            )


def instance_id_from(head: dialects.ReplyHead) -> str:
    """Return the runner's id from the head of a response.

    :raises BadAnswer: the id is missing or invalid.
    """
    problem = instances.id_error(head.instance_id or '')
    if problem:
        raise errors.BadAnswer(f'response has no valid runner id: {problem}')
    return head.instance_id


class NativeEngine:
    """An engine that implements the project's own API."""

    def __init__(self, calls: EngineCalls):
        self._calls = calls

    async def state(self) -> ranks.RankState:
        """Return the current state of the engine."""
        return ranks.check_state(await self._calls.read(STATE, _STATE))

    async def counts(self) -> list[int]:
        """Return how often each expert was selected since the start."""
        return ranks.check_counts(await self._calls.read(COUNTS, _COUNTS))

    async def experts(self) -> list[list[int]]:
        """Return the experts that the engine holds, by set of layers."""
        by_set = await self._calls.read(EXPERTS, _EXPERTS)
        return ranks.check_experts(by_set)

    async def instance_id(self) -> str:
        """Return the id under which the engine's runner is registered."""
        head, _ = await self._calls.call(b'GET', STATE)
        return instance_id_from(head)

    async def execute(self, order: ranks.RankOrder) -> None:
        """Carry out an order."""
        await self._calls.send_order(ORDER, msgspec.json.encode(order))


def connect(app: application.Application) -> NativeEngine:
    """Return the engine at the address in the settings of ``app``."""
    return connect_to(app, app.settings['sidecar']['engine'])


def connect_to(app: application.Application, address: str) -> NativeEngine:
    """Return the engine at ``address``."""
    pool = lasthop.Pool(dialects.NATIVE.headers, app.now_s)
    return NativeEngine(EngineCalls(pool, address))
