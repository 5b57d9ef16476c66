# SPDX-License-Identifier: Apache-2.0

"""Entries that are not run for a while, with controllers and runners.

The processes are real, on a simulated network and virtual time. While an entry
is paused its clock stands still and messages to it wait. Connections to
runners and from callers are simulated.
"""

import contextlib
import json

import msgspec
import trio

from features.worlds import answers, system
from mountridge.documents import instances, routes
from mountridge import messages
from mountridge.net import httpserver

__all__ = ['Play', 'play']

HOST = (b'Host', b'a.example')
LATENCY_S = 0.005
#: Runners by id, and their services.
RUNNERS = {'s-1': 's', 's-2': 's', 't-1': 't'}


def _route(name, service, public=True):
    return routes.Route(
        name, 'a.example', f'/{name}/', routes.SAFE, 3000.0, 100.0, 1,
        [routes.Share(service, 1.0)], 2, public, False, 0.0,
    )  # fmt: skip


def _document(version):
    """Return a routes document; version 2 changes all that can change."""
    is_new = version > 1
    listed = [
        _route('moved', 't' if is_new else 's'),
        _route('kept', 's'),
        _route('keyed', 's', public=False),
        _route('added' if is_new else 'dropped', 's'),
    ]
    services = [routes.Service(name, '/h', 8, None) for name in 'st']
    teams = [routes.Team('team', ['new' if is_new else 'old'], None)]
    table = routes.RouteTable(
        version, listed, services, routes.Limits(), teams
    )
    return msgspec.json.encode(table)


class _Pool:
    """Simulates the connections of one entry to runners."""

    def __init__(self, play, name):
        self.play, self.name = play, name

    @contextlib.asynccontextmanager
    async def request(self, address, _, __, ___, ____, _____, on_send):
        await self.play.connect(self.name)
        on_send()
        await trio.sleep(LATENCY_S)
        self.play.reached.append(address.partition(':')[0])
        yield answers.reply()

    async def evict(self, address):
        pass


class Play:
    """A system of two entries, its runners and the requests to them."""

    def __init__(self, world):
        self.world = world
        self.states = dict.fromkeys(RUNNERS, instances.READY)
        self.reached = []  # runners that requests reached
        #: Entry whose connections are made once its pause has ended.
        self.connecting = ''

    async def connect(self, name):
        while self.connecting == name and self.world.is_paused(name):
            await trio.sleep(0.01)

    async def begin(self):
        for name in self.world.controllers + self.world.entries:
            self.world.start(name)
            if name in self.world.entries:
                pool = _Pool(self, name)
                self.world.daemons[name].forwarder.pool = pool
        await trio.sleep(0.01)
        self.world.elect()
        await trio.sleep(4)
        await self.world.daemons['e2'].put_routes(_document(1))
        await self.send_heartbeats()
        await trio.sleep(2)

    async def send_heartbeats(self, only=None):
        """Send a heartbeat of each runner to the second entry."""
        for name, service in RUNNERS.items():
            if only in (None, name):
                reported = instances.Instance(
                    name, service, f'{name}:1', 'north', 'v', 4,
                    self.states[name],
                )  # fmt: skip
                seq = round(trio.current_time() * 1000)
                heartbeat = messages.Heartbeat(reported, seq)
                await self.world.daemons['e2'].heartbeat(heartbeat)

    async def change(self):
        """Change all routes, and drain a runner; return once acknowledged."""
        await self.world.daemons['e2'].put_routes(_document(2))
        self.states['s-1'] = 'draining'
        await self.send_heartbeats('s-1')

    async def ask(self, name, path, key=''):
        """Return the status, the code and the duration of a request."""
        begun_s = trio.current_time()
        headers = [HOST, (b'X-Deadline-Ms', b'3000')]
        if key:
            headers.append((b'authorization', b'Bearer ' + key.encode()))
        target = path.encode()
        request = httpserver.Request(b'GET', target, headers, b'')
        responder = answers.Responder()
        await self.world.daemons[name].forwarder.handle(request, responder)
        is_error = responder.status != 200
        error = json.loads(responder.body)['error'] if is_error else {}
        took_s = trio.current_time() - begun_s
        return responder.status, error.get('code', 0), took_s


def play(script, seed):
    """Run ``script(play)`` with two entries and three controllers."""

    async def run(world):
        played = Play(world)
        await played.begin()
        return await script(played)

    return system.play(run, seed, gateways=0, agents=0, entries=2)
