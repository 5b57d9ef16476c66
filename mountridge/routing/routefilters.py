# SPDX-License-Identifier: Apache-2.0

"""The filters of a routed request: what is known of it before it is sent.

Each takes the exchange and the present time, and either adds to the
exchange or refuses the request by raising.
"""

import random
import typing

from mountridge.documents import routes
from mountridge import errors
from mountridge.net import dialects
from mountridge.routing import quarantine, routedexchanges

__all__ = ['Filter', 'chain', 'find_digest', 'hold_back']

Exchange = routedexchanges.Exchange
Filter = typing.Callable[[Exchange, float], None]


def chain(
    index: typing.Callable[[], routes.Index | None],
    names: dialects.HeaderNames,
    rng: random.Random,
) -> list[Filter]:
    """Return the filters in order, over the routes in force.

    :raises NoRoutes: (a filter) no routes are known yet.
    :raises NoRoute: (a filter) none fits the request.
    :raises UnknownKey: (a filter) no team holds the caller's key.
    """

    def read(exchange: Exchange, now_s: float) -> None:
        call = dialects.read_call(exchange.request, names)
        exchange.call = call
        if call.last_event_id is not None:
            try:
                exchange.last_event_id = int(call.last_event_id)
            except ValueError:
                exchange.last_event_id = None

    def find_route(exchange: Exchange, now_s: float) -> None:
        known = index()
        if known is None:
            raise errors.NoRoutes()
        exchange.table_version = known.table.version
        call = exchange.call
        exchange.route = known.match(call.host, call.path)
        if exchange.route is None:
            raise errors.NoRoute(f'{call.host}{call.path}')
        exchange.service = routes.choose_service(exchange.route, rng)

    def find_team(exchange: Exchange, now_s: float) -> None:
        known = index()
        if known.table.teams is None or exchange.route.public:
            return
        exchange.team = known.team(exchange.call.key)
        if exchange.team is None:
            raise errors.UnknownKey()

    return [read, find_route, find_team, _bound_time]


def find_digest(known: quarantine.Quarantine, exchange: Exchange) -> bytes:
    """Return what stands for a request, reckoned once."""
    if not exchange.digest:
        exchange.digest = known.digest(
            exchange.request, exchange.team, exchange.call.key
        )
    return exchange.digest


def hold_back(known: quarantine.Quarantine) -> Filter:
    """Return the filter that refuses what crashes its runners.

    :raises RequestHeldBack: (the filter) it has crashed several.
    """

    def check(exchange: Exchange, now_s: float) -> None:
        if not known.is_any_known():
            return
        digest = find_digest(known, exchange)
        if known.is_held(digest, now_s):
            raise errors.RequestHeldBack(f'held back as {digest.hex()}')

    return check


def _bound_time(exchange: Exchange, now_s: float) -> None:
    limit_ms = exchange.route.timeout_ms
    if exchange.call.deadline_ms is not None:
        limit_ms = min(limit_ms, exchange.call.deadline_ms)
    exchange.until_s = exchange.begun_s + limit_ms / 1000
