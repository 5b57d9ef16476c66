# SPDX-License-Identifier: Apache-2.0

"""The controller: the replicated state, leases, and what spreads from it.

Only the leader answers, and only while its own lease holds; what others
ask is refused with the leader's name.
"""

import pathlib
import typing

import trio

from mountridge import application, errors, messages, utils
from mountridge.consensus import consensus, entries, replicas, storage
from mountridge.control import changes, hallmanager, leadership
from mountridge.control import quarantinemanager, registry
from mountridge.groups import groups
from mountridge.logs import logger
from mountridge.state import claims, commands, leases, limits, members
from mountridge.state import statemachine, views

__all__ = ['Controller', 'build', 'loads_interval_s', 'run']

WATCH_S = 0.1
#: Interval at which gateways get loads. Played on busy days, 0.25 s (with
#: reports each 0.3 s) served 0.68 of the requests, 0.1 s (each 0.25 s) 0.78.
LOADS_S = 0.05
#: Messages of loads a second, whatever the number of gateways: 0.26 s apart
#: for 103 of them. Each 0.05 s they were 2,060 of 4.4 KB, 80 Mbit/s at 192
#: runners. In the model of placing, of 103 gateways 5 in 100 requests wait
#: for a slot at 0.25 s and 9 at 0.5 s.
LOADS_PER_S = 400
EXPIRE_S = 30.0
#: A gateway that has not renewed for so many of its intervals gives no
#: orders: below the lease, after which it is none, above a late renewal.
LATE_RENEWALS = 1.5


class Controller:
    """State of a controller: the state machine and the leases granted."""

    def __init__(
        self,
        app: application.Application,
        make_replica: typing.Callable = replicas.Replica,
    ):
        self.app = app
        self.settings = app.settings['controller']
        self.machine = statemachine.StateMachine()
        self.replica = make_replica(app, self.machine, self.on_role)
        self.leases = leases.LeaseTable(0.0, 0.0)
        self.apportioner = limits.Apportioner(0.0)
        self.registry = registry.Registry(app, self.machine, self.replica)
        self.halls = hallmanager.HallManager(
            app, self.machine, self.replica, self.push
        )
        self.quarantine = quarantinemanager.QuarantineManager(
            app, self.machine, self.replica, self.push
        )
        #: What engines allow of expert maps, by runner; set by the entry.
        self.sheet: typing.Callable = lambda instance_id: None
        self.groups = groups.Groups(
            app, self.replica, lambda instance_id: self.sheet(instance_id)
        )
        self.groups.send_remote_order = self.give_elsewhere
        self.groups.registered_start_ms = self._born_ms
        #: Incarnations that a later one of the same name has replaced.
        self._replaced: set[tuple[str, str]] = set()

    def _born_ms(self, instance_id: str) -> int:
        """Return the start of the life that is registered; 0: not told."""
        held = self.machine.instances.get(instance_id)
        return held.born_ms if held else 0

    def on_role(self, role: consensus.RoleChanged) -> None:
        """Begin a term with no knowledge of earlier leaders' leases."""
        self.leases = leases.LeaseTable(
            self.app.now_s(), self.app.settings['lease']['lease_s']
        )
        self.apportioner = limits.Apportioner(self.leases.quiet_until_s)
        self._replaced.clear()
        self.registry.begin_term()
        self.quarantine.begin_term()
        self.groups.begin_term()

    async def propose(self, command: commands.Command) -> typing.Any:
        """Return the state machine's reply once a command is committed."""
        return await self.replica.propose(commands.encode(command))

    # Leases.

    async def renew(self, peer, renew: messages.Renew) -> messages.Grant:
        """Grant a lease with the changes and shares for its holder."""
        self.replica.check_leader()
        now_s = self.app.now_s()
        self._check_name(peer, renew.name)
        await self._follow_member(renew)
        self.replica.check_leader()
        view = self.machine.view
        self.leases.renew(peer.route, renew, view.index, now_s)
        snapshot, changes = view.changes_since(renew.index)
        shares = []
        if renew.kind == 'gateway':
            shares = self.apportioner.grant(
                renew.name,
                renew.demand,
                renew.held,
                self.machine.rows_by_key,
                now_s,
            )
        return messages.Grant(
            self.leases.lease_s,
            messages.Fence(self.replica.node.term, view.index),
            view.index,
            snapshot,
            changes,
            shares,
            members.addresses_by_name(self.replica.node.config.addresses()),
        )

    def _check_name(self, peer, name: str) -> None:
        if peer.name and peer.name != name:
            raise errors.RefusedChange(f'{peer.name} renews for {name}')

    async def _follow_member(self, renew: messages.Renew) -> None:
        member = views.Member(
            renew.name,
            renew.kind,
            renew.incarnation,
            renew.hall,
            renew.address,
            renew.http,
            renew.services,
            renew.expert_group,
            renew.slots,
            'leaving' if renew.leaving else 'live',
        )
        if (renew.name, renew.incarnation) in self._replaced:
            raise errors.StaleIncarnation('a later incarnation is known')
        known = self.machine.members_by_name.get(renew.name)
        if known and known.incarnation != renew.incarnation:
            self._replaced.add((renew.name, known.incarnation))
        if known != member:
            logger.info('member', member=renew.name, state=member.state)
            await self.propose(commands.SetMember(member, self.app.wall_s()))

    async def watch(self) -> None:
        """Note members whose lease has run out, and push changes."""
        while True:
            await trio.sleep(WATCH_S)
            if not self.replica.lease_valid():
                continue
            try:
                await self._lose_lapsed()
                await self.registry.expire()
                await self.quarantine.expire()
            except errors.MountridgeError as problem:
                logger.debug('members not expired', reason=str(problem))
                continue
            self.push()

    async def _lose_lapsed(self) -> None:
        """Note who holds no lease: lapsed, or never renewed here."""
        now_s = self.app.now_s()
        for name in self.leases.remove_expired(now_s):
            rows = self.machine.rows_by_key
            self.apportioner.remove_gateway(name, rows, now_s)
        if now_s < self.leases.quiet_until_s:
            return
        # At once: one by one, those of a whole hall would take a sync each.
        async with trio.open_nursery() as nursery:
            for name in list(self.machine.members_by_name):
                if name not in self.leases.holders:
                    nursery.start_soon(self._lose, name)

    async def _lose(self, name: str) -> None:
        member = self.machine.members_by_name[name]
        logger.info('member', member=name, state='gone')
        gone = member._replace(state='gone')
        try:
            await self.propose(commands.SetMember(gone, self.app.wall_s()))
        except errors.MountridgeError as problem:
            logger.debug('member not lost', member=name, reason=str(problem))

    async def expire(self) -> None:
        """Forget old claims now and then."""
        while True:
            await trio.sleep(EXPIRE_S)
            keep_s = self.settings['claim_keep_s']
            command = commands.ExpireClaims(keep_s, self.app.wall_s())
            try:
                await self.propose(command)
            except errors.MountridgeError:
                continue

    def push(self) -> None:
        """Send each holder the changes that it has not been sent."""
        view = self.machine.view
        for name, holder in self.leases.holders.items():
            if holder.sent_index >= view.index:
                continue
            snapshot, changes = view.changes_since(holder.sent_index)
            if snapshot:
                continue
            pushed = messages.Changes(
                messages.Fence(self.replica.node.term, view.index),
                holder.sent_index,
                view.index,
                changes,
            )
            if self.app.send(holder.route, pushed):
                self.leases.record_sent(name, view.index)

    async def tell_loads(self) -> None:
        """Tell gateways what sidecars have reported, while leading."""
        while True:
            routes = self._gateway_routes()
            await trio.sleep(loads_interval_s(len(routes)))
            if not self.replica.lease_valid():
                continue
            told = self.groups.pop_loads()
            if told:
                self.app.send_all(self._gateway_routes(), messages.Loads(told))

    def _gateway_routes(self) -> list[bytes]:
        return [
            holder.route
            for holder in self.leases.holders.values()
            if holder.renew.kind == 'gateway'
        ]

    def give_elsewhere(self, order: messages.RemoteOrder) -> bool:
        """Let a gateway give an order; false where none can be told.

        Gateways that renewed of late come first: of a hall that is lost or
        cut off none does. Of these those that are no controllers, in turn,
        so that the loss of the one that gives it costs no election.
        """
        controllers = members.addresses_by_name(
            self.replica.node.config.addresses()
        )
        now_s = self.app.now_s()
        late_s = LATE_RENEWALS * self.app.settings['lease']['renew_s']
        ranked: dict[tuple[bool, bool], list[str]] = {}
        for name, holder in sorted(self.leases.holders.items()):
            if holder.renew.kind == 'gateway' and not holder.renew.leaving:
                is_late = not self.leases.renewed_recently(name, late_s, now_s)
                rank = (is_late, name in controllers)
                ranked.setdefault(rank, []).append(name)
        if not ranked:
            return False
        names = ranked[min(ranked)]
        name = names[order.order.version % len(names)]
        logger.info('order by another box', box=name, **_told(order))
        return self.app.send(self.leases.holders[name].route, order)

    # Operators and claims.

    async def put(
        self, peer, put: messages.PutTable
    ) -> messages.PutTableReply:
        """Take a new table."""
        self.replica.check_leader()
        return await self.propose(
            commands.PutTable(
                put.operation_id,
                put.base_version,
                put.who,
                put.rows,
                self.app.wall_s(),
            )
        )

    async def table(self, peer, _: messages.ReadTable) -> messages.TableReply:
        """Return the newest table, its log, and what is in force."""
        await self.replica.confirm_leadership()
        now_s = self.app.now_s()
        machine = self.machine
        index = machine.versions[-1].index if machine.versions else 0
        return messages.TableReply(
            machine.version,
            [
                machine.rows_by_key[key]._asdict()
                for key in sorted(machine.rows_by_key)
            ],
            [tuple(record) for record in machine.versions[-50:]],
            self.leases.in_force_index(machine.view.index, now_s),
            self.leases.waiting_for(index, now_s),
        )

    async def put_routes(
        self, peer, put: messages.PutRoutes
    ) -> messages.RoutesReply:
        """Hold a routes document where its version is the highest."""
        self.replica.check_leader()
        if put.version <= self.machine.routes_version:
            # Held already, or overtaken: confirmed, but not written again.
            await self.replica.confirm_leadership()
            return messages.RoutesReply(self.machine.routes_version, b'')
        logger.info('routes offered', version=put.version)
        reply = await self.propose(
            commands.PutRoutes(put.version, put.source, self.app.wall_s())
        )
        self.push()
        return reply

    async def read_routes(
        self, peer, _: messages.ReadRoutes
    ) -> messages.RoutesReply:
        """Return the newest routes document, confirmed by a quorum."""
        await self.replica.confirm_leadership()
        return self.machine.routes()

    async def claim(self, peer, claim: messages.Claim) -> messages.ClaimReply:
        """Grant or show the claim for a key."""
        self.replica.check_leader()
        key_s = claims.key_time(claim.key.rpartition('/')[2])
        return await self.propose(
            commands.OpenClaim(claim, key_s, self.app.wall_s())
        )

    async def outcome(self, peer, outcome: messages.Outcome):
        """Keep the end of a claimed attempt."""
        self.replica.check_leader()
        return await self.propose(
            commands.CloseClaim(outcome, self.app.wall_s())
        )

    async def list_members(self, peer, _: messages.ReadMembers):
        """Return the members that are live or leaving."""
        self.replica.check_leader()
        listed = [m._asdict() for m in self.machine.members_by_name.values()]
        return messages.MembersReply(listed)

    def dump(self) -> dict:
        """Return the state for `mountridge dump`."""
        now_s = self.app.now_s()
        return {
            'id': self.replica.node.node_id,
            'role': self.replica.node.role,
            'term': self.replica.node.term,
            'leader': self.replica.node.leader_id,
            'commit': self.replica.node.commit_index,
            'config': self.replica.node.config._asdict(),
            'index': self.machine.view.index,
            'table_version': self.machine.version,
            'claims': len(self.machine.claims.records),
            'holders': {
                name: {
                    'index': holder.index,
                    'left_s': holder.until_s - now_s,
                }
                for name, holder in self.leases.holders.items()
            },
            'counts': dict(self.app.metrics.counts),
        }


def loads_interval_s(gateways: int) -> float:
    """Return the time between two messages of loads to each gateway."""
    return max(LOADS_S, gateways / LOADS_PER_S)


def _told(remote: messages.RemoteOrder) -> dict:
    """Return the fields of a log line on an order."""
    order = remote.order
    return {
        'runner': remote.instance_id,
        'kind': order.kind,
        'version': order.version,
        'step': order.step,
    }


def build(
    app: application.Application,
    make_replica: typing.Callable = replicas.Replica,
) -> Controller:
    """Return a controller whose handlers and tasks are in ``app``."""
    controller = Controller(app, make_replica)
    admin = changes.AdminHandler(app, controller.replica)
    app.handlers[messages.Renew] = controller.renew
    app.handlers[messages.PutTable] = controller.put
    app.handlers[messages.ReadTable] = controller.table
    app.handlers[messages.Claim] = controller.claim
    app.handlers[messages.PutRoutes] = controller.put_routes
    app.handlers[messages.ReadRoutes] = controller.read_routes
    app.handlers[messages.Heartbeat] = controller.registry.on_heartbeat
    app.handlers[messages.Leave] = controller.registry.on_leave
    app.handlers[messages.ReadHalls] = controller.halls.on_read
    app.handlers[messages.SetHall] = controller.halls.on_set
    app.handlers[messages.CrashReport] = controller.quarantine.on_report
    app.handlers[messages.ReadQuarantine] = controller.quarantine.on_read
    app.handlers[messages.Release] = controller.quarantine.on_release
    app.handlers[messages.Outcome] = controller.outcome
    app.handlers[messages.ReadMembers] = controller.list_members
    app.handlers[messages.Raft] = controller.replica.on_raft
    app.handlers[messages.Admin] = admin.on_admin
    app.handlers[messages.FindLeader] = leadership.LeaderLookup(
        app, controller.replica
    ).on_find_leader
    app.tasks += [controller.replica.run, controller.watch]
    app.handlers[messages.RankReport] = controller.groups.on_report
    app.tasks += [controller.expire, controller.tell_loads]
    app.drain.append(controller.replica.transfer_leadership)
    app.dumpers['controller'] = controller.dump
    return controller


def run(settings: dict) -> None:
    """Run a controller until it is stopped.

    An empty data folder gets a fresh identity, which is no voter's: the
    operators add it as a learner.
    """
    data = settings['controller']['data']
    if not (pathlib.Path(data) / 'format').exists():
        fresh = f'{settings["name"]}.{utils.fresh_id()}'
        storage.initialize(data, fresh, entries.Config({}, {}))
    app = application.Application(settings)
    build(app)
    trio.run(app.run)
