# SPDX-License-Identifier: Apache-2.0

"""The entry process, which runs on each entry box.

It forwards callers' requests by routes, lists the gateways for callers, and
relays reports of runners and orders of operators to the controllers. On a
box with a disk a controller runs in the same process.
"""

import socket
import typing

import trio

from mountridge import application, errors, messages, settingswatch, sidecar
from mountridge.documents import halls, instances, quarantines, routes
from mountridge.groups import engines
from mountridge.logs import logger
from mountridge.net import dialects, httpserver, listening
from mountridge.routing import backends, budgets, crashreports, entryapi
from mountridge.routing import forwarding, hallorders, runnerlimits
from mountridge.routing import slackshares, viewguards, warmup
from mountridge import signals
from mountridge.state import leases, members, views

__all__ = ['Entry', 'build', 'run']

#: Timeout of a change of routes, after which the operator repeats it. Above
#: an election, below the 4 s that operators wait.
PUT_TIMEOUT_S = 3.0
#: Below 1 s, after which a runner sends its heartbeat to another process.
HEARTBEAT_TIMEOUT_S = 0.9
#: Callers cache the list of gateways for up to this many times its TTL.
CACHED_TTLS = 3
#: Largest fraction of a planned stop in which new requests are accepted; the
#: remaining time is for their responses. Most streams end within 4 s.
ACCEPT_FRACTION = 0.4
DRAIN_POLL_S = 0.05
#: Bytes of the id in a malformed message that are logged.
LOGGED_BYTES = 64
#: Limits for operators, runners and the platform. Those of the routes are for
#: callers; a document could otherwise lock out the one that replaces it.
CONTROL_LIMITS = routes.Limits(body_bytes=16 << 20)
#: Time reserved for the shutdown within the time of a planned stop.
SHUTDOWN_RESERVE_S = 0.5


#: Returns a client of the engine at an address.
Connect = typing.Callable[[application.Application, str], sidecar.Engine]


class Entry:
    """State of the entry process, and the operations of its HTTP API."""

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
        self.lease = leases.HeldLease()
        self.leader = members.LeaderClient(app, self._on_push)
        self.lease_renewer = members.LeaseRenewer(
            app, self.leader, self.lease, self.renewal
        )
        bounds = app.settings['bounds']
        self.backends = backends.Backends(
            app.name,
            warmup.WarmupLimiter(
                app.name,
                app.settings['hall'],
                bounds['cold_over'],
                bounds['cold_slack'],
                listening.PROCESS_START_S,
                app.settings['lease']['lease_s'],
            ),
            app.metrics,
            runnerlimits.RunnerLimits(
                app.name,
                app.settings['hall'],
                listening.PROCESS_START_S,
                app.settings['lease']['lease_s'],
            ),
            app.settings['routing']['hall_cost'],
        )
        #: The share of this gateway in the slack of the retry budget.
        self.slack_shares = slackshares.SlackShares(
            app.name,
            app.settings['hall'],
            app.settings['lease']['lease_s'],
            self.lease.held_for_s,
        )
        self.index: routes.Index | None = None
        self.forwarder = forwarding.Forwarder(
            app,
            dialect,
            lambda: self.index,
            self.backends,
            lambda: len(self.gateways()),
            budgets.RetryBudget(
                bounds['retry_ratio'],
                bounds['retry_slack'],
                bounds['retry_window_s'],
                listening.PROCESS_START_S,
                self.slack_shares.share,
            ),
            viewguards.ViewGuard(
                self.lease, self.lease_renewer.confirm_view, app.now_s
            ),
        )
        app.on_suspension.append(
            lambda gap_s: self.forwarder.cancel_overdue(app.now_s())
        )
        self.hall_orders = hallorders.HallOrders(app, self.leader.call)
        self.crash_reporter = crashreports.CrashReporter(
            app,
            self.forwarder.quarantine,
            self.forwarder.crashes.parts,
            self.leader.call,
        )
        crashes = self.forwarder.crashes
        crashes.on_crash = self.crash_reporter.report_now
        crashes.on_success = self.crash_reporter.wake
        crashes.part_gate.on_probe = self.crash_reporter.take_probe
        self.draining = False
        self._drain_began_s = 0.0
        self.front = self.make_server(self.forwarder.handle, self.limits)
        self._view_revision = -1
        self._cold_count = 0

    def make_server(
        self,
        handler: httpserver.Handler,
        limits: typing.Callable[[], routes.Limits],
    ) -> httpserver.Server:
        """Return a server with the drain state of this process."""
        return httpserver.Server(handler, limits, lambda: self.draining)

    def limits(self) -> routes.Limits:
        """Return the limits for callers, by the routes in force."""
        return self.index.table.limits if self.index else routes.Limits()

    # Lease, and state derived from the view.

    def renewal(self) -> messages.Renew:
        """Return the request that renews the lease."""
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
            self.lease.view.index,
            self.draining,
            [],
            [],
        )

    def _on_push(self, message: typing.Any) -> None:
        if isinstance(message, messages.Changes):
            if self.lease.apply_changes(message):
                self.lease_renewer.wake()
                self.apply_view()
        elif isinstance(message, messages.Loads):
            now_s = self.app.now_s()
            for load in message.loads:
                self.backends.record_report(load, now_s)
        elif isinstance(message, messages.RemoteOrder):
            self.app.start_task(self._send_order, message)

    async def _send_order(self, remote: messages.RemoteOrder) -> None:
        """Send an order to an engine in place of its sidecar."""
        engine = self.engine(remote.instance_id)
        if engine is None:
            logger.warning('order for an unknown runner', **remote._asdict())
            return
        fields = await sidecar.execute_order(engine, remote.order)
        logger.info('remote order', runner=remote.instance_id, **fields)

    def engine(self, instance_id: str) -> sidecar.Engine | None:
        """Return a client of a runner's engine, None if it is unknown."""
        backend = self.backends.by_id.get(instance_id)
        if backend is None:
            return None
        return self._connect(self.app, backend.instance.address)

    def apply_view(self, *_: typing.Any, **__: typing.Any) -> None:
        """Update the state that is derived from the view."""
        view = self.lease.view
        if view.revision == self._view_revision:
            return
        self._view_revision = view.revision
        # Halls and quarantine come first: routes make forwarding possible.
        self._update_halls()
        self._update_quarantine()
        self._update_routes()
        packed = view.by_prefix(views.INSTANCE_PREFIX)
        registered = [views.unpack_instance(v) for v in packed.values()]
        gateways = self._all_gateways()
        self.backends.update_gateways(
            {m.name: m.hall for m in gateways if m.state == 'live'}
        )
        # Draining gateways still send the requests accepted before.
        halls = {m.name: m.hall for m in gateways}
        self.backends.warmup.update_gateways(halls, self.app.now_s())
        self.backends.limits.update_gateways(halls, self.app.now_s())
        self.slack_shares.update_gateways(halls, self.app.now_s())
        for address in self.backends.update_runners(registered):
            self.app.start_task(self.forwarder.pool.evict, address)
        self._report_cold(registered)

    def _report_cold(self, registered: list[instances.Instance]) -> None:
        """Log and export the number of cold runners if it has changed."""
        cold = sum(
            runner.is_cold and runner.state != instances.LEFT
            for runner in registered
        )
        if cold == self._cold_count:
            return
        self._cold_count = cold
        self.app.metrics.gauge('runners.cold', cold)
        logger.info(
            'cold runners',
            cold=cold,
            registered=len(registered),
            index=self.lease.view.index,
        )

    def _update_halls(self) -> None:
        packed = self.lease.view.by_prefix(views.HALL_PREFIX)
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
            index=self.lease.view.index,
        )

    def _update_quarantine(self) -> None:
        packed = self.lease.view.by_prefix(views.QUARANTINE_PREFIX).values()
        listed = [views.unpack_quarantined(value) for value in packed]
        self.crash_reporter.update(listed)

    def _update_routes(self) -> None:
        newest = views.routes_in(self.lease.view)
        current = self.index.table.version if self.index else 0
        if newest.version <= current:
            return
        try:
            source = routes.decompress(newest.source)
            table = self.dialect.decode_routes(source)
        except errors.BadRoutes as problem:
            logger.error('cannot read the routes', reason=str(problem))
            return
        self.index = routes.index(table)
        self.backends.warmup.update_services(
            {service.name: service.cold_per_s for service in table.services}
        )
        self.backends.admission.update_routes(
            self.index, self.app.settings['admission']['when']
        )
        self.forwarder.routes_known.set()
        logger.info(
            'routes in force',
            version=table.version,
            routes=len(table.routes),
            index=self.lease.view.index,
        )

    def _all_gateways(self) -> list[views.Member]:
        packed = self.lease.view.by_prefix('member/')
        listed = [views.unpack_member(value) for value in packed.values()]
        return [member for member in listed if member.kind == 'gateway']

    def gateways(self) -> list[views.Member]:
        """Return the gateways that accept requests, by the view."""
        return [m for m in self._all_gateways() if m.state == 'live']

    # Operations for runners, operators and callers.

    def addresses(self) -> list[str]:
        """Return the addresses to which callers may send requests."""
        if not self.forwarder.view.is_current():
            return []
        return [member.http for member in self.gateways()]

    def is_ready(self) -> bool:
        """Return whether this process can serve requests."""
        if self.index is None or self.draining:
            return False
        return self.forwarder.view.is_current()

    async def put_routes(self, source: bytes) -> int:
        """Submit a routes document; return the version stored afterwards.

        :raises BadRoutes: the document has errors.
        :raises NoController: it may have been stored, or not.
        """
        routes.check_encoding(source)
        table = self.dialect.decode_routes(source)
        put = messages.PutRoutes(table.version, routes.compress(source))
        reply = await self.leader.call(put, PUT_TIMEOUT_S)
        logger.info('routes put', version=table.version, held=reply.version)
        return reply.version

    async def read_routes(self) -> bytes | None:
        """Return the newest routes document, None if there is none.

        :raises NoController: the newest one can't be determined.
        """
        reply = await self.leader.call(messages.ReadRoutes(), PUT_TIMEOUT_S)
        if reply.version == 0:
            return None
        return routes.decompress(reply.source)

    async def heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Send a runner's heartbeat to the leader.

        :raises NoController: the heartbeat may not have been recorded.
        """
        await self.leader.call(heartbeat, HEARTBEAT_TIMEOUT_S)

    async def leave(self, instance_id: str, born_ms: int) -> None:
        """Deregister a runner that reports that it has left.

        The message names the incarnation known to this entry, so that it does
        not remove one that begins meanwhile.

        :raises NoController: it may not have been recorded.
        :raises StaleHeartbeat: it may be of an earlier incarnation.
        """
        backend = self.backends.by_id.get(instance_id)
        lives = backend.instance.lives if backend else 0
        leave = messages.Leave(instance_id, born_ms, lives)
        await self.leader.call(leave, HEARTBEAT_TIMEOUT_S)

    def record_malformed(
        self, raw_id: bytes, problem: errors.BadHeartbeat
    ) -> None:
        """Count and log a malformed message of a runner."""
        self.app.metrics.incr(f'runner.malformed.{problem.cause}')
        logger.info(
            'malformed runner message',
            runner=ascii(raw_id[:LOGGED_BYTES]),
            cause=problem.cause,
            reason=str(problem),
        )

    async def read_halls(self) -> list[halls.HallState]:
        """Return the halls that were ever out of service.

        :raises NoController: they can't be determined.
        """
        return await self.hall_orders.read()

    async def read_quarantine(self) -> list[quarantines.QuarantinedRequest]:
        """Return the requests that are or were quarantined.

        :raises NoController: they can't be determined.
        """
        return await self.crash_reporter.read()

    async def release(
        self, digest: bytes
    ) -> list[quarantines.QuarantinedRequest]:
        """Release a request; return the remaining quarantine entries.

        :raises NoController: the release may have been applied, or not.
        :raises NotHeldBack: there is no such entry.
        """
        return await self.crash_reporter.release(digest)

    async def set_hall(self, name: str, is_out: bool) -> halls.HallState:
        """Take a hall out of service, or restore it.

        :raises BadRequest: the name is malformed.
        :raises UnknownHall: no hall of the deployment has this name.
        :raises NoController: the order may have been applied, or not.
        :raises HallChanged: other orders for this hall were committed first.
        """
        return await self.hall_orders.set(name, is_out)

    def update_settings(self, settings: dict) -> None:
        """Apply changed settings that a running process can adopt."""
        self.leader.update_seeds(settings)
        self.hall_orders.update_settings(settings)

    # Lease and shutdown.

    async def hold_lease(self) -> None:
        """Renew the lease until the process stops."""
        signals.view_changed.connect(self.apply_view, sender=self.lease)
        await self.lease_renewer.run()

    async def begin_drain(self) -> None:
        """Report not ready, and announce the drain to the leader."""
        self.draining = True
        self._drain_began_s = self.app.now_s()
        logger.info('draining', open=self.front.open_requests)
        self.app.start_task(self._announce_drain)

    async def drain(self) -> None:
        """Serve callers with a cached address; wait for open requests."""
        grace_s = self.app.settings['bounds']['grace_s']
        until_s = self._drain_began_s + grace_s - SHUTDOWN_RESERVE_S
        accept_s = CACHED_TTLS * self.settings['address_ttl_s']
        accept_s = min(accept_s, ACCEPT_FRACTION * grace_s)
        accept_until_s = self._drain_began_s + accept_s
        await trio.sleep(max(0.0, accept_until_s - self.app.now_s()))
        # New requests could not be completed before the end.
        self.forwarder.closed = True
        self.front.close_idle()
        while self.front.open_requests and self.app.now_s() < until_s:
            await trio.sleep(DRAIN_POLL_S)

    async def _announce_drain(self) -> None:
        try:
            await self.leader.call(self.renewal(), PUT_TIMEOUT_S)
        except errors.MountridgeError as problem:
            logger.warning('cannot announce the drain', reason=str(problem))

    def dump(self) -> dict:
        """Return the state for `mountridge dump`."""
        now_s = self.app.now_s()
        backoffs = self.backends.backoffs
        return {
            'index': self.lease.view.index,
            'lease_left_s': self.lease.until_s - self.app.now_s(),
            'routes': self.index.table.version if self.index else 0,
            'open_requests': self.front.open_requests,
            'gateways': self.addresses(),
            'halls_out': sorted(self.backends.halls_out),
            'runners': {
                key: {
                    'state': backend.instance.state,
                    'own': backend.own_requests,
                    'reported': backend.reported_requests,
                    'failures': backend.failures,
                    'cold': backend.instance.is_cold,
                    'rests': backoffs.until_s(backend.instance) > now_s,
                    'says_leaving': backoffs.is_leaving(backend.instance),
                }
                for key, backend in self.backends.by_id.items()
            },
            'counts': dict(self.app.metrics.counts),
        }

    def on_controllers(self, peer, message: messages.Controllers) -> None:
        """Handle the leader's list of controllers."""
        self.leader.update_controllers(message.addresses)

    def redirect_to_leader(self, peer, message: typing.Any) -> typing.NoReturn:
        """Reject a message for the leader, and name it if it is known.

        :raises NotLeader: always.
        """
        problem = errors.NotLeader()
        if self.lease.is_valid(self.app.now_s()):
            name, address = self.leader.current
            problem.leader, problem.leader_address = name, address
        raise problem


#: Messages that only the leader handles.
LEADER_MESSAGES = (
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
    """Return an entry with its handlers and tasks added to ``app``."""
    entry = Entry(app, dialect, connect)
    for kind in LEADER_MESSAGES:
        app.handlers[kind] = entry.redirect_to_leader
    app.handlers[messages.Controllers] = entry.on_controllers
    app.tasks += [entry.hold_lease, entry.crash_reporter.run]
    app.dumpers['entry'] = entry.dump
    app.drain.append(entry.begin_drain)
    if app.settings['controller']['data']:
        # Imported here for a faster start of boxes without a disk.
        from mountridge import entrycontroller

        # Before entry.drain, so that leadership is transferred early.
        entrycontroller.add(app, entry)
    app.drain.append(entry.drain)
    return entry


def serve(
    entry: Entry,
    handlers: entryapi.Handlers,
    listening_socket: socket.socket | None = None,
) -> list[typing.Callable]:
    """Return the tasks that serve on the addresses of the settings.

    ``listening_socket`` is already bound to the callers' address.
    """

    def listener(
        setting: str,
        server: httpserver.Server,
        bound: socket.socket | None = None,
    ) -> typing.Callable[[], typing.Awaitable[None]]:
        async def listen() -> None:
            await server.run(entry.settings[setting], bound)

        return listen

    return [
        listener('front', entry.front, listening_socket),
        listener(
            'readiness',
            entry.make_server(handlers.readiness, lambda: CONTROL_LIMITS),
        ),
        listener(
            'control',
            entry.make_server(handlers.control, lambda: CONTROL_LIMITS),
        ),
        listener(
            'directory', entry.make_server(handlers.directory, entry.limits)
        ),
    ]


def run(
    settings: dict,
    path: str,
    dialect: dialects.Dialect = dialects.NATIVE,
    wire_names: entryapi.WireNames = entryapi.NATIVE,
    connect: Connect = engines.connect_to,
    listening_socket: socket.socket | None = None,
) -> None:
    """Run an entry until it is stopped; ``path`` is its settings file.

    ``listening_socket`` is already bound to the callers' address.
    """
    app = application.Application(settings)
    entry = build(app, dialect, connect)
    app.tasks += serve(
        entry, entryapi.handlers(entry, wire_names), listening_socket
    )
    app.tasks.append(httpserver.metrics_task(app))
    app.tasks.append(settingswatch.task(app, path, entry.update_settings))
    trio.run(app.run)
