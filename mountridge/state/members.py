# SPDX-License-Identifier: Apache-2.0

"""The client side of the controllers: calls to the leader, and the lease."""

import typing

import trio

from mountridge import application, errors, messages, signals
from mountridge.logs import logger
from mountridge.net import sockets
from mountridge.state import leases

__all__ = ['Leader', 'LeaseKeeper', 'by_name', 'seed_addresses']

#: A leader answers well within this; past it others are asked who leads,
#: while the call goes on waiting. Twice the slowest usual commit.
LATE_S = 0.2
#: A call that has no answer by then is sent again, to whoever leads; what a
#: connection loses is not told. It waits twice as long each time.
CALL_S = 0.4
#: A controller that gave no answer is passed over for this long, or until
#: anything is heard of it.
SILENT_S = 2.0
#: Between two questions to one controller that knows no leader. It holds its
#: answer while it can't tell, so this bounds only what it can't.
PAUSE_S = 0.05
#: Least time between two renewals, also where someone hurries.
HURRY_S = 0.05


def seed_addresses(settings: dict) -> list[str]:
    """Return where the seeds take messages of other processes.

    Only their hosts are known; the port is the same on all boxes.
    """
    port = settings['bind'].rpartition(':')[2]
    hosts = [seed.partition(':')[0] for seed in settings['entry']['seeds']]
    return [f'tcp://{host}:{port}' for host in hosts]


def by_name(addresses: dict[str, str]) -> dict[str, str]:
    """Return controllers' addresses by name, of those by identity."""
    return {
        node_id.partition('.')[0]: address
        for node_id, address in addresses.items()
    }


class Leader:
    """Calls to whichever controller leads, over one connection to each.

    The addresses to ask are those of the settings (controllers, or seeds
    of which only the host is known), and those learnt from answers.
    """

    def __init__(self, app: application.Application, on_message=None):
        self._app = app
        self._on_message = on_message
        configured = app.settings['controllers']
        #: Name of the process behind each address; '' for a seed.
        self._names = {configured[name]: name for name in sorted(configured)}
        self.seeds: list[str] = []
        self.follow_seeds(app.settings)
        self._callers: dict[str, sockets.Connection] = {}
        self._current = next(iter(self._names))
        self._silent_until_s: dict[str, float] = {}
        #: Calls that wait for an answer, with the address that is asked.
        self._asking: dict[trio.CancelScope, str] = {}
        #: Set at the end of the search for the leader that goes on.
        self._searching: trio.Event | None = None

    @property
    def current(self) -> tuple[str, str]:
        """Name and address of the controller that is asked first."""
        return self._names.get(self._current, ''), self._current

    def follow_seeds(self, settings: dict) -> None:
        """Ask the seeds of newer settings too."""
        self.seeds = seed_addresses(settings)
        for address in self.seeds:
            self._names.setdefault(address, '')

    def learn(self, controllers: dict[str, str]) -> None:
        """Take the controllers that the leader names, and forget others."""
        if not controllers:
            return
        names = {address: name for name, address in controllers.items()}
        for address in self.seeds:
            names.setdefault(address, '')
        names.setdefault(self._current, '')
        self._names = names
        for address in list(self._callers):
            if address not in names:
                self._callers.pop(address).close()

    def _caller(self, address: str) -> sockets.Connection:
        if address not in self._callers:

            def heard() -> None:
                self._silent_until_s.pop(address, None)

            self._callers[address] = self._app.connect(
                address, self._names.get(address, ''), self._on_message, heard
            )
        return self._callers[address]

    def follow(self, address: str) -> None:
        """Ask ``address``, which leads, also what now waits elsewhere."""
        self._current = address
        self._names.setdefault(address, '')
        self._silent_until_s.pop(address, None)
        for scope, asked in self._asking.items():
            if asked != address:
                scope.cancel()

    def _named(self, problem: errors.MountridgeError) -> str:
        """Return the address of the leader that a refusal names, or ''."""
        leader = getattr(problem, 'leader', '')
        address = getattr(problem, 'leader_address', '')
        if address:
            self._names[address] = leader
            return address
        for known, name in self._names.items():
            if leader and name == leader:
                return known
        return ''

    async def call(self, message: typing.Any, timeout_s: float):
        """Return the leader's reply, looking for the leader where needed.

        :raises NoController: none answered as the leader in time. The
            message may have been acted on all the same.
        """
        problem = errors.NoController()
        wait_s = min(CALL_S, timeout_s)
        tried: set[str] = set()
        with trio.move_on_after(timeout_s):
            while True:
                asked = self._current
                try:
                    return await self._ask(asked, message, wait_s)
                except errors.NoController as failed:
                    problem = failed
                wait_s *= 2
                tried.add(asked)
                await self._go_on(asked, problem, tried)
        raise errors.NoController(str(problem))

    async def _ask(self, asked: str, message: typing.Any, wait_s: float):
        """Return the reply of ``asked``, unless another is found to lead."""

        def late() -> None:
            self._silent_until_s[asked] = self._app.now_s() + SILENT_S
            self._app.start_task(self._search, asked)

        with trio.CancelScope() as scope:
            self._asking[scope] = asked
            try:
                caller = self._caller(asked)
                return await caller.call(message, wait_s, (LATE_S, late))
            finally:
                del self._asking[scope]
        raise errors.NoController('another one leads')

    async def _go_on(
        self, asked: str, problem: errors.NoController, tried: set[str]
    ) -> None:
        """Go on to the leader that was named, or look for it.

        A name is followed once in a call: it may be out of date. Where
        another call has gone on from ``asked`` meanwhile, its choice stays.
        """
        if asked != self._current:
            return
        named = self._named(problem)
        if named and named not in tried and not self._is_silent(named):
            self._current = named
            return
        if not isinstance(problem, errors.NotLeader):
            self._silent_until_s[asked] = self._app.now_s() + SILENT_S
        await self._search(named or asked)

    def _is_silent(self, address: str) -> bool:
        return self._silent_until_s.get(address, 0) > self._app.now_s()

    async def _search(self, besides: str) -> None:
        """Ask all controllers at once until one says that it leads.

        One search serves all calls. ``besides`` was asked and does not lead
        as far as can be told here, so others name it no more.
        """
        if self._searching is not None:
            # It ends with the call that began it; a call that still has no
            # leader then begins another.
            await self._searching.wait()
            return
        self._searching = trio.Event()
        try:
            async with trio.open_nursery() as nursery:
                for address in list(self._names):
                    nursery.start_soon(
                        self._ask_who_leads, address, besides, nursery
                    )
        finally:
            self._searching.set()
            self._searching = None
            self._close_unused()

    async def _ask_who_leads(
        self, address: str, besides: str, nursery: trio.Nursery
    ) -> None:
        question = messages.FindLeader(besides)
        while True:
            try:
                await self._caller(address).call(question, CALL_S)
                break
            except errors.MountridgeError as problem:
                logger.debug(
                    'no leader there', address=address, reason=str(problem)
                )
                known = set(self._names)
                named = self._named(problem)
                if named and named not in known:
                    nursery.start_soon(
                        self._ask_who_leads, named, besides, nursery
                    )
            await trio.sleep(PAUSE_S)
        if address != self._current:
            logger.info('leader found', address=address, before=self._current)
        self.follow(address)
        nursery.cancel_scope.cancel()

    def _close_unused(self) -> None:
        """Close what only a search has opened: each costs heartbeats."""
        used = {self._current, *self._asking.values()}
        for address in set(self._callers) - used:
            self._callers.pop(address).close()


class LeaseKeeper:
    """Renews a lease for ever and brings its view up to date."""

    def __init__(
        self,
        app: application.Application,
        leader: Leader,
        held: leases.HeldLease,
        renewal: typing.Callable[[], messages.Renew],
    ):
        self._app = app
        self._leader = leader
        self._held = held
        self._renewal = renewal
        self._settings = app.settings['lease']
        self._hurry = trio.Event()
        self._renewed = trio.Event()
        self._was_valid = False
        # What is held may be out of date; a timer would renew it late.
        app.on_gap.append(lambda gap_s: self.nudge())

    async def run(self) -> None:
        """Renew at each interval, or sooner where someone hurries."""
        while True:
            self._hurry = trio.Event()
            await self._renew()
            self._renewed.set()
            self._renewed = trio.Event()
            await trio.sleep(HURRY_S)
            rest_s = self._settings['renew_s'] - HURRY_S
            with trio.move_on_after(rest_s):
                await self._hurry.wait()

    def nudge(self) -> None:
        """Acknowledge pushed changes with a renewal of their own, soon."""
        self._hurry.set()

    async def hurry(self) -> None:
        """Renew as soon as may be, and return when that is done."""
        self._hurry.set()
        await self._renewed.wait()

    async def _renew(self) -> None:
        sent_s = self._app.now_s()
        try:
            grant = await self._leader.call(
                self._renewal(), self._settings['lease_s']
            )
            self._leader.learn(grant.controllers)
            if self._held.take(grant, sent_s):
                if grant.changes or grant.snapshot:
                    signals.view_changed.send(
                        self._held, changes=grant.changes
                    )
            else:
                self._app.metrics.incr('lease.older_grant')
        except errors.MountridgeError as problem:
            self._app.metrics.incr('lease.failed')
            logger.debug('renewal failed', reason=str(problem))
        self._tell()

    def _tell(self) -> None:
        """Log and signal where the lease was gained or lost."""
        valid = self._held.valid(self._app.now_s())
        if valid == self._was_valid:
            return
        self._was_valid = valid
        logger.info('lease', held=valid, index=self._held.view.index)
        signals.lease_changed.send(self._held, held=valid)
