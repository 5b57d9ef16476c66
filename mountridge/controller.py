# SPDX-License-Identifier: Apache-2.0

"""The controller: the replicated state, leases and pushes to their holders.

Only the leader serves calls, and only while its own lease is valid; the other
controllers refuse them with the name of the leader.
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

WATCH_INTERVAL_S = 0.1
#: Shortest interval between load messages to a gateway. Longer intervals
#: noticeably reduce the number of requests that are served under load.
MIN_LOADS_INTERVAL_S = 0.05
#: Maximum rate of load messages to all gateways together; bounds the
#: leader's network traffic in deployments with many gateways. At the shortest
#: interval it would be 80 Mbit/s with 103 gateways and 192 runners.
MAX_LOADS_PER_S = 400
CLAIM_EXPIRY_INTERVAL_S = 30.0
#: Gateways that have not renewed for this many renewal intervals are avoided
#: for remote orders. Tolerates a delayed renewal, and is shorter than a lease.
RECENT_RENEWAL_INTERVALS = 1.5


class Controller:
    """State of a controller: the state machine and the granted leases."""

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
        #: Returns the engine parameters of a runner; set by the entry.
        self.engine_parameters: typing.Callable = lambda instance_id: None
        self.groups = groups.Groups(
            app,
            self.replica,
            lambda instance_id: self.engine_parameters(instance_id),
        )
        self.groups.send_remote_order = self.send_remote_order
        self.groups.registered_start_ms = self._registered_start_ms
        #: Incarnations that a later one of the same name has replaced.
        self._replaced: set[tuple[str, str]] = set()

    def _registered_start_ms(self, instance_id: str) -> int:
        """Return when the registered incarnation started; 0 if unknown."""
        instance = self.machine.instances.get(instance_id)
        return instance.born_ms if instance else 0

    def on_role(self, role: consensus.RoleChanged) -> None:
        """Begin a term without the leases granted by earlier leaders."""
        self.leases = leases.LeaseTable(
            self.app.now_s(), self.app.settings['lease']['lease_s']
        )
        self.apportioner = limits.Apportioner(self.leases.quiet_until_s)
        self._replaced.clear()
        self.registry.begin_term()
        self.quarantine.begin_term()
        self.groups.begin_term()

    async def propose(
        self, command: commands.Command, is_acknowledged: bool = True
    ) -> typing.Any:
        """Commit a command and return the reply of the state machine."""
        payload = commands.encode(command)
        return await self.replica.propose(payload, is_acknowledged)

    # Leases.

    async def renew(self, peer, renew: messages.Renew) -> messages.Grant:
        """Grant a lease, with the view's changes and the holder's shares."""
        self.replica.check_leader()
        now_s = self.app.now_s()
        self._check_name(peer, renew.name)
        await self._update_member(renew)
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
            raise errors.RefusedChange(
                f'{peer.name} may not renew the lease of {name}'
            )

    async def _update_member(self, renew: messages.Renew) -> None:
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
            raise errors.StaleIncarnation('a later incarnation has renewed')
        current = self.machine.members_by_name.get(renew.name)
        if current and current.incarnation != renew.incarnation:
            self._replaced.add((renew.name, current.incarnation))
        if current != member:
            logger.info(
                'member changed', member=renew.name, state=member.state
            )
            # Members are known again from their next renewals.
            command = commands.SetMember(member, self.app.wall_s())
            await self.propose(command, is_acknowledged=False)

    async def watch(self) -> None:
        """Remove members whose lease has expired, and push changes."""
        while True:
            await trio.sleep(WATCH_INTERVAL_S)
            if not self.replica.lease_valid():
                continue
            try:
                await self._remove_expired_members()
                await self.registry.expire()
                await self.quarantine.expire()
            except errors.MountridgeError as problem:
                logger.debug('members not expired', reason=str(problem))
                continue
            self.push()

    async def _remove_expired_members(self) -> None:
        """Remove members without a lease, even if none was granted here."""
        now_s = self.app.now_s()
        for name in self.leases.remove_expired(now_s):
            rows = self.machine.rows_by_key
            self.apportioner.remove_gateway(name, rows, now_s)
        if now_s < self.leases.quiet_until_s:
            return
        # Concurrently, so that the members of a hall share disk syncs.
        async with trio.open_nursery() as nursery:
            for name in list(self.machine.members_by_name):
                if name not in self.leases.holders:
                    nursery.start_soon(self._remove_member, name)

    async def _remove_member(self, name: str) -> None:
        member = self.machine.members_by_name.get(name)
        if member is None:
            return
        logger.info('member changed', member=name, state='gone')
        removed = member._replace(state='gone')
        try:
            command = commands.SetMember(removed, self.app.wall_s())
            await self.propose(command, is_acknowledged=False)
        except errors.MountridgeError as problem:
            logger.debug(
                'member not removed', member=name, reason=str(problem)
            )

    async def expire_claims(self) -> None:
        """Periodically remove old claims."""
        while True:
            await trio.sleep(CLAIM_EXPIRY_INTERVAL_S)
            keep_s = self.settings['claim_keep_s']
            command = commands.ExpireClaims(keep_s, self.app.wall_s())
            try:
                await self.propose(command)
            except errors.MountridgeError:
                continue

    def push(self) -> None:
        """Send each lease holder the changes that it has not been sent."""
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

    async def push_loads(self) -> None:
        """Send gateways the loads that sidecars reported, while leading."""
        while True:
            routes = self._gateway_routes()
            await trio.sleep(loads_interval_s(len(routes)))
            if not self.replica.lease_valid():
                continue
            loads = self.groups.pop_loads()
            if loads:
                self.app.send_all(
                    self._gateway_routes(), messages.Loads(loads)
                )

    def _gateway_routes(self) -> list[bytes]:
        return [
            holder.route
            for holder in self.leases.holders.values()
            if holder.renew.kind == 'gateway'
        ]

    def send_remote_order(self, order: messages.RemoteOrder) -> bool:
        """Have a gateway send an order to a runner's engine.

        Returns False if there is no gateway to send it. Gateways that
        renewed recently are preferred, because those of a failed or
        unreachable hall have not. Among these, gateways on boxes without a
        controller are preferred, so that the loss of the box that sends the
        order causes no election. They are used in rotation.
        """
        controllers = members.addresses_by_name(
            self.replica.node.config.addresses()
        )
        now_s = self.app.now_s()
        recent_s = (
            RECENT_RENEWAL_INTERVALS * self.app.settings['lease']['renew_s']
        )
        ranked: dict[tuple[bool, bool], list[str]] = {}
        for name, holder in sorted(self.leases.holders.items()):
            if holder.renew.kind == 'gateway' and not holder.renew.leaving:
                is_overdue = not self.leases.renewed_recently(
                    name, recent_s, now_s
                )
                rank = (is_overdue, name in controllers)
                ranked.setdefault(rank, []).append(name)
        if not ranked:
            return False
        names = ranked[min(ranked)]
        name = names[order.order.version % len(names)]
        logger.info(
            'order sent through a gateway', box=name, **_order_fields(order)
        )
        return self.app.send(self.leases.holders[name].route, order)

    # Operators and claims.

    async def put(
        self, peer, put: messages.PutTable
    ) -> messages.PutTableReply:
        """Commit a new version of the table."""
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
        """Return the newest table, its versions, and what is in force."""
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
            [record[:4] for record in machine.versions[-50:]],
            self.leases.in_force_index(machine.view.index, now_s),
            self.leases.waiting_for(index, now_s),
        )

    async def put_routes(
        self, peer, put: messages.PutRoutes
    ) -> messages.RoutesReply:
        """Commit a routes document if its version is the highest."""
        self.replica.check_leader()
        if put.version <= self.machine.routes_version:
            # A repetition, or an outdated document: only confirm the
            # leadership, so that the reply names a committed version.
            await self.replica.confirm_leadership()
            return messages.RoutesReply(self.machine.routes_version, b'')
        logger.info('routes document received', version=put.version)
        reply = await self.propose(
            commands.PutRoutes(put.version, put.source, self.app.wall_s())
        )
        self.push()
        now_s = self.app.now_s()
        index = self.machine.view.index
        logger.info(
            'routes document committed',
            version=put.version,
            index=index,
            holders=len(self.leases.holders),
            unsent=self.leases.count_unsent(index),
            term_age_ms=round(self.leases.age_s(now_s) * 1000),
        )
        return reply

    async def read_routes(
        self, peer, _: messages.ReadRoutes
    ) -> messages.RoutesReply:
        """Return the newest routes document, after a quorum confirmed it."""
        await self.replica.confirm_leadership()
        return self.machine.routes()

    async def claim(self, peer, claim: messages.Claim) -> messages.ClaimReply:
        """Grant the claim for a key, or return the existing one."""
        self.replica.check_leader()
        key_s = claims.key_time(claim.key.rpartition('/')[2])
        return await self.propose(
            commands.OpenClaim(claim, key_s, self.app.wall_s())
        )

    async def outcome(self, peer, outcome: messages.Outcome):
        """Record the outcome of a claimed attempt."""
        self.replica.check_leader()
        return await self.propose(
            commands.CloseClaim(outcome, self.app.wall_s())
        )

    async def list_members(self, peer, _: messages.ReadMembers):
        """Return the members that are live or leaving."""
        self.replica.check_leader()
        found = [m._asdict() for m in self.machine.members_by_name.values()]
        return messages.MembersReply(found)

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
    """Return the interval between load messages to each gateway."""
    return max(MIN_LOADS_INTERVAL_S, gateways / MAX_LOADS_PER_S)


def _order_fields(remote: messages.RemoteOrder) -> dict:
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
    """Create a controller and register its handlers and tasks in ``app``."""
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
    parts = controller.quarantine.parts
    app.handlers[messages.PartReport] = parts.on_report
    app.handlers[messages.TakeProbe] = parts.on_take_probe
    app.handlers[messages.Outcome] = controller.outcome
    app.handlers[messages.ReadMembers] = controller.list_members
    app.handlers[messages.Raft] = controller.replica.on_raft
    app.handlers[messages.Admin] = admin.on_admin
    app.handlers[messages.FindLeader] = leadership.LeaderLookup(
        app, controller.replica
    ).on_find_leader
    app.tasks += [controller.replica.run, controller.watch]
    app.handlers[messages.RankReport] = controller.groups.on_report
    app.tasks += [controller.expire_claims, controller.push_loads]
    app.drain.append(controller.replica.transfer_leadership)
    app.dumpers['controller'] = controller.dump
    return controller


def run(settings: dict) -> None:
    """Run a controller until it is stopped.

    An empty data folder is initialized with a new node id. As no voter has
    this id, an operator must add the controller as a learner.
    """
    data = settings['controller']['data']
    if not (pathlib.Path(data) / 'format').exists():
        node_id = f'{settings["name"]}.{utils.fresh_id()}'
        storage.initialize(data, node_id, entries.Config({}, {}))
    app = application.Application(settings)
    build(app)
    trio.run(app.run)
