# SPDX-License-Identifier: Apache-2.0

"""Steps on admission: which requests are sent where there is little room."""

import contextlib

from behave import given, then, when
import trio

from features.worlds import answers, rests
from mountridge.documents import routes
from mountridge.net import httpserver

LIMITS = routes.Limits()


class _RecordingPool:
    """Records the headers that are sent to runners."""

    def __init__(self, pool):
        self._pool = pool
        self.sent = []

    @contextlib.asynccontextmanager
    async def request(self, address, method, target, headers, *others):
        self.sent.append(dict(headers))
        sending = self._pool.request(address, method, target, headers, *others)
        async with sending as reply:
            yield reply


def _route(name, kind, priority):
    return routes.Route(
        name, 'a.example', f'/{name}/', kind, 3000.0, 100.0, priority,
        [routes.Share('s', 1.0)], 2, False, False, 0.0,
    )  # fmt: skip


@given('streaming routes to one service of priority {first:d} and {second:d}')
def streaming_routes(context, first, second):
    context.routes = [
        _route('a', routes.STREAMING, first),
        _route('b', routes.STREAMING, second),
    ]


@when(
    'a request on a route of priority {own:d} is sent by a team of priority'
    ' {team}'
)
def send_request(context, own, team):
    world = rests.World(1, 1)
    table = routes.RouteTable(
        1,
        [*context.routes, _route('own', routes.SAFE, own)],
        [routes.Service('s', '/h', 8, None)],
        LIMITS,
        [routes.Team('t', ['key'], None if team == 'none' else int(team))],
    )
    world.index = routes.index(table)
    gateway = world.gateways['g0']
    context.pool = gateway.pool = _RecordingPool(gateway.pool)
    headers = [
        (b'Host', b'a.example'),
        (b'Authorization', b'Bearer key'),
        (rests.NAMES.priority, b'7'),
    ]
    request = httpserver.Request(b'GET', b'/own/1', headers, b'')

    async def script():
        await trio.sleep(0.1)
        await gateway.handle(request, answers.Responder())

    world.play(script)


@then('its runner is told priority {told}')
def check_priority(context, told):
    (sent,) = context.pool.sent
    expected = None if told == 'nothing' else told.encode()
    assert sent.get(rests.NAMES.priority) == expected, sent
