# SPDX-License-Identifier: Apache-2.0

"""The entry process: callers' requests by routes, on each entry box.

It forwards requests, tells callers which gateways there are, and takes what
runners and operators say to the controllers. On a box with a disk a
controller runs in the same process.
"""

import socket
import typing

import trio

from mountridge import application, errors, messages, settingswatch, sidecar
from mountridge.documents import halls, instances, quarantines, routes
from mountridge.groups import engines
from mountridge.logs import logger
from mountridge.net import dialects, httpserver, listening
from mountridge.routing import backends, crashreports, entryapi, forwarding
from mountridge.routing import hallorders, warmup
from mountridge import signals
from mountridge.state import leases, members, views

__all__ = ['Entry', 'build', 'run']

#: A change of routes waits this long for its commit; the operator then
#: sends it again. Above an election, below the 4 s that operators allow.
PUT_S = 3.0
#: A heartbeat that is not taken within a second goes to another process.
HEARTBEAT_S = 0.9
#: Callers keep an answer for up to this many times its time to live.
KEPT_TTLS = 3
#: Most of a planned stop that new requests are taken in; the rest is for
#: answers. On a busy played day streams took 1.7 s on average, and 95 in 100
#: of them less than 4.0 s.
KEPT_PART = 0.4
DRAIN_POLL_S = 0.05
#: Bytes that a log line shows of the id of a malformed word.
LOGGED_BYTES = 64
#: Left of the time that a planned stop may take, for closing down.
GRACE_LEFT_S = 0.5


#: Reaches the engine at an address.
Connect = typing.Callable[[application.Application, str], sidecar.Engine]


class Entry:
    """State of the entry process, and what it does for callers."""

    def __init__(
        self,
        app: application.Application,
        dialect: dialects.Dialect,
        connect: Connect,
    ):
        self.app = app
        self.dialect = dialect
        self._connect = connect
        self.settings = app.settings['entry']
        self.held = leases.HeldLease()
        self.leader = members.LeaderClient(app, self._pushed)
        self.keeper = members.LeaseRenewer(
            app, self.leader, self.held, self._renewal
        )
        bounds = app.settings['bounds']
        self.backends = backends.Backends(
            app.name,
            warmup.WarmupLimiter(
                app.name,
                app.settings['hall'],
                bounds['cold_over'],
                bounds['cold_slack'],
                listening.BEGAN_S,
                app.settings['lease']['lease_s'],
            ),
        )
        self.index: routes.Index | None = None
        self.forwarder = forwarding.Forwarder(
            app,
            dialect,
            lambda: self.index,
            self.backends,
            lambda: len(self.gateways()),
        )
        app.on_suspension.append(
            lambda gap_s: self.forwarder.cancel_overdue(app.now_s())
        )
        self.hall_orders = hallorders.HallOrders(app, self.leader.call)
        self.crash_reporter = crashreports.CrashReporter(
            app, self.forwarder.quarantine, self.leader.call
        )
        self.forwarder.crashes.on_crash = self.crash_reporter.report_now
        self.forwarder.crashes.on_success = self.crash_reporter.wake
        self.draining = False
        self._drain_began_s = 0.0
        self.front = self.make_server(self.forwarder.handle)
        self._view_revision = -1
        self._cold = 0

    def make_server(self, handler: httpserver.Handler) -> httpserver.Server:
        """Return a server under the limits and the drain of this process."""
        return httpserver.Server(handler, self.limits, lambda: self.draining)

    def limits(self) -> routes.Limits:
        """Return what callers may send, by the routes in force."""
        return self.index.table.limits if self.index else routes.Limits()

    # The view.

    def _renewal(self) -> messages.Renew:
        return messages.Renew(
            self.app.name,
            'gateway',
            self.app.incarnation,
            self.app.settings['hall'],
            self.app.settings['bind'],
            self.settings['front'],
            [],
            '',
            0,
            self.held.view.index,
            self.draining,
            [],
            [],
        )

    def _pushed(self, message: typing.Any) -> None:
        if isinstance(message, messages.Changes):
            if self.held.apply_changes(message):
                self.keeper.wake()
                self.follow_view()
        elif isinstance(message, messages.Loads):
            now_s = self.app.now_s()
            for load in message.loads:
                self.backends.record_report(load, now_s)
        elif isinstance(message, messages.RemoteOrder):
            self.app.start_task(self._give_order, message)

    async def _give_order(self, remote: messages.RemoteOrder) -> None:
        """Give an order in place of the box of the runner."""
        engine = self.engine(remote.instance_id)
        if engine is None:
            logger.warning('order for an unknown runner', **remote._asdict())
            return
        told = await sidecar.follow(engine, remote.order)
        logger.info('remote order', runner=remote.instance_id, **told)

    def engine(self, instance_id: str) -> sidecar.Engine | None:
        """Return a way to a runner's engine, None where it is not known."""
        backend = self.backends.by_id.get(instance_id)
        if backend is None:
            return None
        return self._connect(self.app, backend.instance.address)

    def follow_view(self, *_: typing.Any, **__: typing.Any) -> None:
        """Bring what is derived from the view up to date."""
        view = self.held.view
        if view.revision == self._view_revision:
            return
        self._view_revision = view.revision
        # First, so that no request is sent by routes that are known alone.
        self._follow_halls()
        self._follow_quarantine()
        self._follow_routes()
        packed = view.by_prefix(views.INSTANCE_PREFIX)
        registered = [views.unpack_instance(v) for v in packed.values()]
        gateways = self._all_gateways()
        self.backends.update_gateways(
            {m.name: m.hall for m in gateways if m.state == 'live'}
        )
        # Those that leave still send what they were given before.
        self.backends.warmup.update_gateways(
            {m.name: m.hall for m in gateways}, self.app.now_s()
        )
        for address in self.backends.update_runners(registered):
            self.app.start_task(self.forwarder.pool.evict, address)
        self._tell_cold(registered)

    def _tell_cold(self, registered: list[instances.Instance]) -> None:
        """Log and gauge how many runners are cold, where that has changed."""
        cold = sum(
            runner.is_cold and runner.state != instances.LEFT
            for runner in registered
        )
        if cold == self._cold:
            return
        self._cold = cold
        self.app.metrics.gauge('runners.cold', cold)
        logger.info(
            'cold runners',
            cold=cold,
            registered=len(registered),
            index=self.held.view.index,
        )

    def _follow_halls(self) -> None:
        packed = self.held.view.by_prefix(views.HALL_PREFIX)
        listed = [views.unpack_hall(value) for value in packed.values()]
        out = {state.name: state for state in listed if state.is_out}
        if not self.backends.update_halls(set(out), self.app.now_s()):
            return
        since_s = min((state.since_s for state in out.values()), default=0.0)
        self.app.metrics.gauge('halls.out', len(out))
        self.app.metrics.gauge('halls.out_since_s', since_s)
        logger.info(
            'halls out of service',
            halls=sorted(out),
            revisions=[out[name].revision for name in sorted(out)],
            index=self.held.view.index,
        )

    def _follow_quarantine(self) -> None:
        packed = self.held.view.by_prefix(views.QUARANTINE_PREFIX).values()
        listed = [views.unpack_quarantined(value) for value in packed]
        self.crash_reporter.update(listed)

    def _follow_routes(self) -> None:
        held = views.routes_in(self.held.view)
        known = self.index.table.version if self.index else 0
        if held.version <= known:
            return
        try:
            source = routes.decompress(held.source)
            table = self.dialect.decode_routes(source)
        except errors.BadRoutes as problem:
            logger.error('routes unreadable', reason=str(problem))
            return
        self.index = routes.index(table)
        self.backends.warmup.update_services(
            {service.name: service.cold_per_s for service in table.services}
        )
        self.forwarder.routes_known.set()
        logger.info(
            'routes in force',
            version=table.version,
            routes=len(table.routes),
            index=self.held.view.index,
        )

    def _all_gateways(self) -> list[views.Member]:
        packed = self.held.view.by_prefix('member/')
        listed = [views.unpack_member(value) for value in packed.values()]
        return [member for member in listed if member.kind == 'gateway']

    def gateways(self) -> list[views.Member]:
        """Return the gateways that take requests, by the view."""
        return [m for m in self._all_gateways() if m.state == 'live']

    # What runners, operators and callers ask.

    def addresses(self) -> list[str]:
        """Return where callers may send requests."""
        return [member.http for member in self.gateways()]

    def is_ready(self) -> bool:
        """Return whether requests can be served here."""
        return self.index is not None and not self.draining

    async def put_routes(self, source: bytes) -> int:
        """Offer a routes document; return the version then held.

        :raises BadRoutes: it has errors.
        :raises NoController: it may have been taken, or not.
        """
        table = self.dialect.decode_routes(source)
        put = messages.PutRoutes(table.version, routes.compress(source))
        reply = await self.leader.call(put, PUT_S)
        logger.info('routes put', version=table.version, held=reply.version)
        return reply.version

    async def read_routes(self) -> bytes | None:
        """Return the newest routes document, None where there is none.

        :raises NoController: it can't be told what is newest.
        """
        reply = await self.leader.call(messages.ReadRoutes(), PUT_S)
        if reply.version == 0:
            return None
        return routes.decompress(reply.source)

    async def heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Take a runner's heartbeat to the leader.

        :raises NoController: it may not have been taken.
        """
        await self.leader.call(heartbeat, HEARTBEAT_S)

    async def leave(self, instance_id: str, born_ms: int) -> None:
        """Take out a runner that says that it has left.

        The life that is held here goes with it: one that begins meanwhile is
        not meant.

        :raises NoController: it may not have been taken.
        :raises StaleHeartbeat: it may be of a life before.
        """
        held = self.backends.by_id.get(instance_id)
        lives = held.instance.lives if held else 0
        leave = messages.Leave(instance_id, born_ms, lives)
        await self.leader.call(leave, HEARTBEAT_S)

    def record_malformed(
        self, raw_id: bytes, problem: errors.BadHeartbeat
    ) -> None:
        """Count and log a word of a runner that can't be read."""
        self.app.metrics.incr(f'runner.malformed.{problem.cause}')
        logger.info(
            'runner word malformed',
            runner=ascii(raw_id[:LOGGED_BYTES]),
            cause=problem.cause,
            reason=str(problem),
        )

    async def read_halls(self) -> list[halls.HallState]:
        """Return the halls that were ever out of service.

        :raises NoController: it can't be told.
        """
        return await self.hall_orders.read()

    async def read_quarantine(self) -> list[quarantines.QuarantinedRequest]:
        """Return the requests that are or were held back.

        :raises NoController: it can't be told.
        """
        return await self.crash_reporter.read()

    async def release(
        self, digest: bytes
    ) -> list[quarantines.QuarantinedRequest]:
        """Hold a request back no more; return what else is held.

        :raises NoController: it may have been carried out, or not.
        :raises NotHeldBack: it is not known.
        """
        return await self.crash_reporter.release(digest)

    async def set_hall(self, name: str, is_out: bool) -> halls.HallState:
        """Take a hall out of service, or put it back.

        :raises BadRequest: the name is malformed.
        :raises UnknownHall: no hall of the deployment has it.
        :raises NoController: it may have been carried out, or not.
        :raises HallChanged: other orders for this hall came first.
        """
        return await self.hall_orders.set(name, is_out)

    def follow_settings(self, settings: dict) -> None:
        """Take what newer settings may change in a running process."""
        self.leader.update_seeds(settings)
        self.hall_orders.update_settings(settings)

    # Life.

    async def hold_lease(self) -> None:
        """Hold the lease while the process runs."""
        signals.view_changed.connect(self.follow_view, sender=self.held)
        await self.keeper.run()

    async def begin_drain(self) -> None:
        """Leave the list of gateways, and be ready no more."""
        self.draining = True
        self._drain_began_s = self.app.now_s()
        logger.info('draining', open=self.front.open_requests)
        self.app.start_task(self._say_leaving)

    async def drain(self) -> None:
        """Wait for callers that keep the address; end what runs."""
        grace_s = self.app.settings['bounds']['grace_s']
        until_s = self._drain_began_s + grace_s - GRACE_LEFT_S
        kept_s = KEPT_TTLS * self.settings['address_ttl_s']
        kept_s = min(kept_s, KEPT_PART * grace_s)
        kept_until_s = self._drain_began_s + kept_s
        await trio.sleep(max(0.0, kept_until_s - self.app.now_s()))
        # What would come now could not be answered whole before the end.
        self.forwarder.closed = True
        self.front.close_idle()
        while self.front.open_requests and self.app.now_s() < until_s:
            await trio.sleep(DRAIN_POLL_S)

    async def _say_leaving(self) -> None:
        try:
            await self.leader.call(self._renewal(), PUT_S)
        except errors.MountridgeError as problem:
            logger.warning('planned stop unheard', reason=str(problem))

    def dump(self) -> dict:
        """Return the state for `mountridge dump`."""
        now_s = self.app.now_s()
        backoffs = self.backends.backoffs
        return {
            'index': self.held.view.index,
            'lease_left_s': self.held.until_s - self.app.now_s(),
            'routes': self.index.table.version if self.index else 0,
            'open_requests': self.front.open_requests,
            'gateways': self.addresses(),
            'halls_out': sorted(self.backends.halls_out),
            'runners': {
                key: {
                    'state': backend.instance.state,
                    'own': backend.own,
                    'reported': backend.reported,
                    'failures': backend.failures,
                    'cold': backend.instance.is_cold,
                    'rests': backoffs.until_s(backend.instance) > now_s,
                    'says_leaving': backoffs.is_leaving(backend.instance),
                }
                for key, backend in self.backends.by_id.items()
            },
            'counts': dict(self.app.metrics.counts),
        }

    def learn(self, peer, message: messages.Controllers) -> None:
        """Take from the leader who the controllers are."""
        self.leader.update_controllers(message.addresses)

    def refer(self, peer, message: typing.Any) -> typing.NoReturn:
        """Answer what is for a controller: this is none, ask that one."""
        problem = errors.NotLeader()
        if self.held.is_valid(self.app.now_s()):
            name, address = self.leader.current
            problem.leader, problem.leader_address = name, address
        raise problem


#: What only the leader answers.
FOR_LEADER = (
    messages.Renew,
    messages.PutRoutes,
    messages.ReadRoutes,
    messages.Heartbeat,
    messages.Leave,
    messages.ReadHalls,
    messages.SetHall,
    messages.CrashReport,
    messages.ReadQuarantine,
    messages.Release,
    messages.Join,
    messages.RankReport,
    messages.FindLeader,
)


def build(
    app: application.Application,
    dialect: dialects.Dialect,
    connect: Connect,
) -> Entry:
    """Return an entry whose handlers and tasks are in ``app``."""
    entry = Entry(app, dialect, connect)
    for kind in FOR_LEADER:
        app.handlers[kind] = entry.refer
    app.handlers[messages.Controllers] = entry.learn
    app.tasks += [entry.hold_lease, entry.crash_reporter.run]
    app.dumpers['entry'] = entry.dump
    app.drain.append(entry.begin_drain)
    if app.settings['controller']['data']:
        # Most boxes have no disk, and start sooner by 22 modules without it.
        from mountridge import entrycontroller

        # Leadership is handed over before the long wait for callers.
        entrycontroller.add(app, entry)
    app.drain.append(entry.drain)
    return entry


def serve(
    entry: Entry,
    handlers: entryapi.Handlers,
    early: socket.socket | None = None,
) -> list[typing.Callable]:
    """Return the tasks that listen on all addresses of the settings.

    ``early`` is a socket that listens on the callers' address already.
    """

    def listener(
        place: str,
        server: httpserver.Server,
        made: socket.socket | None = None,
    ) -> typing.Callable[[], typing.Awaitable[None]]:
        async def listen() -> None:
            await server.run(entry.settings[place], made)

        return listen

    return [
        listener('front', entry.front, early),
        listener('readiness', entry.make_server(handlers.readiness)),
        listener('control', entry.make_server(handlers.control)),
        listener('directory', entry.make_server(handlers.directory)),
    ]


def run(
    settings: dict,
    path: str,
    dialect: dialects.Dialect = dialects.NATIVE,
    spelling: entryapi.WireNames = entryapi.NATIVE,
    connect: Connect = engines.connect_to,
    early: socket.socket | None = None,
) -> None:
    """Run an entry until it is stopped; ``path`` is its settings file.

    ``early`` is a socket that listens on the callers' address already.
    """
    app = application.Application(settings)
    entry = build(app, dialect, connect)
    app.tasks += serve(entry, entryapi.handlers(entry, spelling), early)
    app.tasks.append(httpserver.metrics_task(app))
    app.tasks.append(settingswatch.task(app, path, entry.follow_settings))
    trio.run(app.run)
