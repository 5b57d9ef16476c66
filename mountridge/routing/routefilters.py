# SPDX-License-Identifier: Apache-2.0

"""The filters of a routed request, applied before a runner is selected.

Each gets the exchange and the current time, and either completes the exchange
or refuses the request by raising an error.
"""

import random
import typing

from mountridge.documents import routes
from mountridge import errors
from mountridge.net import dialects
from mountridge.routing import quarantine, routedexchanges

__all__ = ['Filter', 'chain', 'refuse_quarantined', 'request_digest']

Exchange = routedexchanges.Exchange
Filter = typing.Callable[[Exchange, float], None]


def chain(
    index: typing.Callable[[], routes.Index | None],
    names: dialects.HeaderNames,
    rng: random.Random,
) -> list[Filter]:
    """Return the filters in their order; ``index`` gives the current routes.

    :raises NoRoutes: (a filter) no routes have been loaded yet.
    :raises NoRoute: (a filter) no route matches the request.
    :raises UnknownKey: (a filter) no team has the caller's key.
    """

    def parse_request(exchange: Exchange, now_s: float) -> None:
        head = dialects.read_request_head(exchange.request, names)
        exchange.request_head = head
        if head.last_event_id is not None:
            try:
                exchange.last_event_id = int(head.last_event_id)
            except ValueError:
                exchange.last_event_id = None

    def find_route(exchange: Exchange, now_s: float) -> None:
        current = index()
        if current is None:
            raise errors.NoRoutes()
        exchange.table_version = current.table.version
        head = exchange.request_head
        exchange.route = current.match(head.host, head.path)
        if exchange.route is None:
            raise errors.NoRoute(f'{head.host}{head.path}')
        exchange.service = routes.choose_service(exchange.route, rng)

    def find_team(exchange: Exchange, now_s: float) -> None:
        current = index()
        if current.table.teams is None or exchange.route.public:
            return
        exchange.team = current.team(exchange.request_head.key)
        if exchange.team is None:
            raise errors.UnknownKey()

    return [parse_request, find_route, find_team, _set_deadline]


def request_digest(
    records: quarantine.Quarantine, exchange: Exchange
) -> bytes:
    """Return the quarantine digest of a request, computed once."""
    if not exchange.digest:
        exchange.digest = records.digest(
            exchange.request, exchange.team, exchange.request_head.key
        )
    return exchange.digest


def refuse_quarantined(records: quarantine.Quarantine) -> Filter:
    """Return the filter that refuses quarantined requests.

    :raises RequestHeldBack: (the filter) the request is quarantined, since it
        has crashed several runners.
    """

    def check(exchange: Exchange, now_s: float) -> None:
        if not records.has_entries():
            return
        digest = request_digest(records, exchange)
        if records.is_quarantined(digest, now_s):
            raise errors.RequestHeldBack(f'quarantined as {digest.hex()}')

    return check


def _set_deadline(exchange: Exchange, now_s: float) -> None:
    timeout_ms = exchange.route.timeout_ms
    if exchange.request_head.deadline_ms is not None:
        timeout_ms = min(timeout_ms, exchange.request_head.deadline_ms)
    exchange.deadline_s = exchange.started_s + timeout_ms / 1000
