# SPDX-License-Identifier: Apache-2.0

"""Client side of the controllers: calls to the leader, lease renewal."""

import typing

import trio

from mountridge import application, errors, messages, signals
from mountridge.logs import logger
from mountridge.net import sockets
from mountridge.state import leases

__all__ = [
    'LeaderClient',
    'LeaseRenewer',
    'addresses_by_name',
    'seed_addresses',
]

#: After this long without a reply a search for the leader starts, while the
#: call goes on waiting; longer than a commit usually takes.
SEARCH_AFTER_S = 0.2
#: Timeout of the first attempt of a call, since a connection does not report
#: lost messages; it doubles with each retry.
ATTEMPT_S = 0.4
#: A controller that did not reply is considered unresponsive for this long,
#: or until a message from it is received.
UNRESPONSIVE_S = 2.0
#: Pause before a controller is asked again who leads. Controllers that know
#: no leader delay their replies; this limits the rate of immediate errors.
ASK_INTERVAL_S = 0.05
#: Renewals that take longer than this are logged.
SLOW_RENEWAL_S = 0.25
#: Least time between two renewals, also if one is requested at once.
MIN_RENEWAL_S = 0.05


def seed_addresses(settings: dict) -> list[str]:
    """Return the addresses at which the seeds receive messages.

    Only their hosts are configured; the port is the same on all boxes.
    """
    port = settings['bind'].rpartition(':')[2]
    hosts = [seed.partition(':')[0] for seed in settings['entry']['seeds']]
    return [f'tcp://{host}:{port}' for host in hosts]


def addresses_by_name(addresses: dict[str, str]) -> dict[str, str]:
    """Return addresses by controller name, given those by identity."""
    return {
        node_id.partition('.')[0]: address
        for node_id, address in addresses.items()
    }


class LeaderClient:
    """Sends calls to the leading controller, over one connection to each.

    The known addresses are those of the settings (controllers, or seeds of
    which only the host is known) and those received in replies.
    """

    def __init__(self, app: application.Application, on_message=None):
        self._app = app
        self._on_message = on_message
        configured = app.settings['controllers']
        #: Name of the process at each address; '' for a seed.
        self._names = {configured[name]: name for name in sorted(configured)}
        self.seeds: list[str] = []
        self.update_seeds(app.settings)
        self._connections: dict[str, sockets.Connection] = {}
        self._current = next(iter(self._names))
        self._unresponsive_until_s: dict[str, float] = {}
        #: Calls that wait for a reply, with their addresses.
        self._pending: dict[trio.CancelScope, str] = {}
        #: Set when the current search for the leader ends.
        self._search_ended: trio.Event | None = None

    @property
    def current(self) -> tuple[str, str]:
        """Name and address of the controller that is called first."""
        return self._names.get(self._current, ''), self._current

    def update_seeds(self, settings: dict) -> None:
        """Use the seeds of reloaded settings as well."""
        self.seeds = seed_addresses(settings)
        for address in self.seeds:
            self._names.setdefault(address, '')

    def update_controllers(self, controllers: dict[str, str]) -> None:
        """Replace the known controllers by those that the leader reports."""
        if not controllers:
            return
        names = {address: name for name, address in controllers.items()}
        for address in self.seeds:
            names.setdefault(address, '')
        names.setdefault(self._current, '')
        self._names = names
        for address in list(self._connections):
            if address not in names:
                self._connections.pop(address).close()

    def _connection(self, address: str) -> sockets.Connection:
        if address not in self._connections:

            def on_receive() -> None:
                self._unresponsive_until_s.pop(address, None)

            self._connections[address] = self._app.connect(
                address,
                self._names.get(address, ''),
                self._on_message,
                on_receive,
            )
        return self._connections[address]

    def set_leader(self, address: str) -> None:
        """Use ``address`` as the leader; end attempts at other addresses."""
        self._current = address
        self._names.setdefault(address, '')
        self._unresponsive_until_s.pop(address, None)
        for scope, called in self._pending.items():
            if called != address:
                scope.cancel()

    def _address_from(self, problem: errors.MountridgeError) -> str:
        """Return the address of the leader named in an error, or ''."""
        leader = getattr(problem, 'leader', '')
        address = getattr(problem, 'leader_address', '')
        if address:
            self._names[address] = leader
            return address
        for named_address, name in self._names.items():
            if leader and name == leader:
                return named_address
        return ''

    async def call(self, message: typing.Any, timeout_s: float):
        """Return the leader's reply; search for the leader if necessary.

        :raises NoController: no leader replied in time. The message may
            nevertheless have been processed.
        """
        problem = errors.NoController()
        wait_s = min(ATTEMPT_S, timeout_s)
        attempted: set[str] = set()
        with trio.move_on_after(timeout_s):
            while True:
                called = self._current
                try:
                    return await self._attempt(called, message, wait_s)
                except errors.NoController as failure:
                    problem = failure
                wait_s *= 2
                attempted.add(called)
                await self._switch_leader(called, problem, attempted)
        raise errors.NoController(str(problem))

    async def _attempt(self, called: str, message: typing.Any, wait_s: float):
        """Return the reply of ``called``.

        :raises NoController: it failed, or another controller leads.
        """

        def on_delay() -> None:
            self._unresponsive_until_s[called] = (
                self._app.now_s() + UNRESPONSIVE_S
            )
            self._app.start_task(self._search, called)

        with trio.CancelScope() as scope:
            self._pending[scope] = called
            try:
                connection = self._connection(called)
                return await connection.call(
                    message, wait_s, (SEARCH_AFTER_S, on_delay)
                )
            finally:
                del self._pending[scope]
        raise errors.NoController('another controller leads')

    async def _switch_leader(
        self, called: str, problem: errors.NoController, attempted: set[str]
    ) -> None:
        """Switch to the leader named in an error, or search for it.

        Each call uses a named leader only once, as the name may be out of
        date. If another call has already switched from ``called``, its
        choice is kept.
        """
        if called != self._current:
            return
        named = self._address_from(problem)
        if (
            named
            and named not in attempted
            and not self._is_unresponsive(named)
        ):
            self._current = named
            return
        if not isinstance(problem, errors.NotLeader):
            self._unresponsive_until_s[called] = (
                self._app.now_s() + UNRESPONSIVE_S
            )
        await self._search(named or called)

    def _is_unresponsive(self, address: str) -> bool:
        return self._unresponsive_until_s.get(address, 0) > self._app.now_s()

    async def _search(self, excluded: str) -> None:
        """Ask all controllers concurrently until one reports that it leads.

        All calls share one search. ``excluded`` has failed to reply as the
        leader, so the controllers are asked not to name it.
        """
        if self._search_ended is not None:
            # It ends with the call that started it; a call that still has
            # no leader then starts another.
            await self._search_ended.wait()
            return
        self._search_ended = trio.Event()
        try:
            async with trio.open_nursery() as nursery:
                for address in list(self._names):
                    nursery.start_soon(
                        self._ask_who_leads, address, excluded, nursery
                    )
        finally:
            self._search_ended.set()
            self._search_ended = None
            self._close_unused()

    async def _ask_who_leads(
        self, address: str, excluded: str, nursery: trio.Nursery
    ) -> None:
        question = messages.FindLeader(excluded)
        while True:
            try:
                await self._connection(address).call(question, ATTEMPT_S)
                break
            except errors.MountridgeError as problem:
                logger.debug(
                    'controller does not lead',
                    address=address,
                    reason=str(problem),
                )
                known = set(self._names)
                named = self._address_from(problem)
                if named and named not in known:
                    nursery.start_soon(
                        self._ask_who_leads, named, excluded, nursery
                    )
            await trio.sleep(ASK_INTERVAL_S)
        if address != self._current:
            logger.info('leader found', address=address, before=self._current)
        self.set_leader(address)
        nursery.cancel_scope.cancel()

    def _close_unused(self) -> None:
        """Close connections that only a search used; each sends heartbeats."""
        used = {self._current, *self._pending.values()}
        for address in set(self._connections) - used:
            self._connections.pop(address).close()


class LeaseRenewer:
    """Renews a lease continuously and updates its view."""

    def __init__(
        self,
        app: application.Application,
        leader: LeaderClient,
        lease: leases.HeldLease,
        renewal: typing.Callable[[], messages.Renew],
    ):
        self._app = app
        self._leader = leader
        self._lease = lease
        self._renewal = renewal
        self._settings = app.settings['lease']
        self._wake_event = trio.Event()
        self._renewed = trio.Event()
        #: Numbers of the newest renewal and of the newest one with a grant.
        self._begun = 0
        self._granted = 0
        #: Until then the leader may be new, and let no share of limits grow.
        self.quiet_until_s = 0.0
        self._was_valid = False
        # After a suspension the view may be outdated; renew at once.
        app.on_suspension.append(lambda gap_s: self.wake())
        app.on_pause.append(self._distrust_view)

    async def run(self) -> None:
        """Renew at each interval, or earlier on request."""
        while True:
            self._wake_event = trio.Event()
            await self._renew()
            self._renewed.set()
            self._renewed = trio.Event()
            await trio.sleep(MIN_RENEWAL_S)
            remaining_s = self._settings['renew_s'] - MIN_RENEWAL_S
            with trio.move_on_after(remaining_s):
                await self._wake_event.wait()

    def wake(self) -> None:
        """Request a renewal soon, which acknowledges pushed changes."""
        self._wake_event.set()

    def _distrust_view(self, gap_s: float) -> None:
        self._lease.distrust(self._app.now_s())
        self.wake()

    async def confirm_view(self) -> None:
        """Return once the view is not from before a pause."""
        while not self._lease.is_current():
            await self.renew_now()

    async def renew_now(self) -> bool:
        """Renew as soon as possible; return after the next renewal ends.

        Returns whether it began after this call and was granted.
        """
        begun = self._begun
        self._wake_event.set()
        await self._renewed.wait()
        return self._granted > begun

    async def _renew(self) -> None:
        sent_s = self._app.now_s()
        term = self._lease.fence.term
        self._begun += 1
        try:
            grant = await self._leader.call(
                self._renewal(), self._settings['lease_s']
            )
            self._leader.update_controllers(grant.controllers)
            if self._lease.apply_grant(grant, sent_s):
                self._granted = self._begun
                if grant.fence.term != term:
                    self.quiet_until_s = self._app.now_s() + grant.lease_s
                if grant.changes or grant.snapshot:
                    signals.view_changed.send(
                        self._lease, changes=grant.changes
                    )
            else:
                self._app.metrics.incr('lease.older_grant')
        except errors.MountridgeError as problem:
            self._app.metrics.incr('lease.failed')
            logger.debug('lease renewal failed', reason=str(problem))
        self._report_slow(self._app.now_s() - sent_s)
        self._report_validity()

    def _report_slow(self, took_s: float) -> None:
        """Log a renewal whose grant may come too late for what waits."""
        if took_s <= SLOW_RENEWAL_S:
            return
        self._app.metrics.incr('lease.slow')
        logger.info(
            'lease renewal slow',
            took_ms=round(took_s * 1000),
            granted=self._granted == self._begun,
            leader=self._leader.current[0],
        )

    def _report_validity(self) -> None:
        """Log and signal that the lease was gained or lost."""
        valid = self._lease.is_valid(self._app.now_s())
        if valid == self._was_valid:
            return
        self._was_valid = valid
        logger.info('lease changed', held=valid, index=self._lease.view.index)
        signals.lease_changed.send(self._lease, held=valid)
