# SPDX-License-Identifier: Apache-2.0

"""A model engine over HTTP, as a sidecar speaks with it.

The project's own form of the calls; an adapter for another platform takes
`EngineCalls` for the way and brings its own paths and bodies.
"""

import typing

import msgspec
import trio

from mountridge import application, errors
from mountridge.documents import instances
from mountridge.experts import ranks
from mountridge.net import dialects, lasthop

__all__ = [
    'EngineCalls', 'NativeEngine', 'ORDER_S', 'checked_id', 'connect',
    'connect_to',
]  # fmt: skip

#: The engine is on the same box and answers within a few milliseconds.
CALL_S = 0.5
#: An order that is not answered by then is given again; twice does no harm.
#: Answers took 3 to 10 ms in played days. While a pass is held all ranks wait
#: for the last one that is armed, so this is short.
ORDER_S = 0.06
STATE = b'/v1/state'
COUNTS = b'/v1/counts'
EXPERTS = b'/v1/experts'
ORDER = b'/v1/order'

_STATE = msgspec.json.Decoder(ranks.RankState)
_COUNTS = msgspec.json.Decoder(list[int])
_EXPERTS = msgspec.json.Decoder(list[list[int]])


class EngineCalls:
    """Calls to the engine at one address, with their errors."""

    def __init__(self, pool: lasthop.Pool, address: str):
        self._pool = pool
        self._address = address

    async def call(
        self,
        method: bytes,
        target: bytes,
        body: bytes = b'',
        timeout_s: float = CALL_S,
    ) -> tuple[dialects.ReplyHead, bytes]:
        """Return the head and body of the answer to one call.

        :raises OutcomeUnknown: none came in time.
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
        raise errors.OutcomeUnknown('no answer in time')

    async def read(
        self, target: bytes, decoder: msgspec.json.Decoder
    ) -> typing.Any:
        """Return what a GET tells.

        :raises RunnerFailed: it was refused.
        :raises BadAnswer: it can't be read.
        """
        head, body = await self.call(b'GET', target)
        if head.status != 200:
            raise errors.RunnerFailed(f'answered {head.status}')
        try:
            return decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            raise errors.BadAnswer(str(problem))
        except RecursionError:
            raise errors.BadAnswer('an answer nested too deep')

    async def order(self, target: bytes, body: bytes) -> None:
        """Give an order.

        :raises RefusedChange: it does not fit the engine's state.
        :raises OutcomeUnknown: it may be carried out, now or later.
        """
        head, answer = await self.call(b'POST', target, body, ORDER_S)
        if head.status >= 500:
            raise errors.OutcomeUnknown(f'answered {head.status}')
        if head.status >= 400:
            reason = answer[:200].decode('latin-1')
            raise errors.RefusedChange(f'answered {head.status}: {reason}')


def checked_id(head: dialects.ReplyHead) -> str:
    """Return the id of the runner that an answer names.

    :raises BadAnswer: it names none, or what can be none.
    """
    wrong = instances.wrong_id(head.instance_id or '')
    if wrong:
        raise errors.BadAnswer(f'the answer names no runner: {wrong}')
    return head.instance_id


class NativeEngine:
    """An engine that speaks the project's own form."""

    def __init__(self, calls: EngineCalls):
        self._calls = calls

    async def state(self) -> ranks.RankState:
        """Return its state now."""
        return ranks.check_state(await self._calls.read(STATE, _STATE))

    async def counts(self) -> list[int]:
        """Return how often each expert was chosen since its start."""
        return ranks.check_counts(await self._calls.read(COUNTS, _COUNTS))

    async def experts(self) -> list[list[int]]:
        """Return the experts that it holds, by set of layers."""
        held = await self._calls.read(EXPERTS, _EXPERTS)
        return ranks.check_experts(held)

    async def instance_id(self) -> str:
        """Return the id under which its runner is registered."""
        head, _ = await self._calls.call(b'GET', STATE)
        return checked_id(head)

    async def follow(self, order: ranks.RankOrder) -> None:
        """Carry out an order."""
        await self._calls.order(ORDER, msgspec.json.encode(order))


def connect(app: application.Application) -> NativeEngine:
    """Return the engine that the settings of ``app`` name."""
    return connect_to(app, app.settings['sidecar']['engine'])


def connect_to(app: application.Application, address: str) -> NativeEngine:
    """Return the engine at ``address``."""
    pool = lasthop.Pool(dialects.NATIVE.headers, app.now_s)
    return NativeEngine(EngineCalls(pool, address))
