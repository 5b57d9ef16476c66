# SPDX-License-Identifier: Apache-2.0

"""Formation of the controller cluster and replacement of lost boxes.

The founder, named by the settings of the very first start, begins as the
only voter. Every other controller sends a join request to the leader: it
gets the log as a learner and is promoted as long as there are fewer voters
than the configured losses require. A controller with a wiped disk has a new
identity and joins as a new one; the member of the same name is then removed,
as its identity is lost.
"""

import typing

import trio

from mountridge import application, errors, messages, signals
from mountridge.consensus import consensus, entries, replicas, replication
from mountridge.control import copies, voterplacement
from mountridge.logs import logger
from mountridge.net import sockets
from mountridge.state import members

__all__ = ['Formation', 'add', 'next_config']

#: Interval at which the leader checks the set of controllers, and at which a
#: controller that is no member requests to join. Short, since a controller
#: should be a voter well within 4 s after its disk has returned.
RECONCILE_INTERVAL_S = 0.2
#: Interval at which a member checks that it still is one; also the timeout of
#: a join request.
JOIN_INTERVAL_S = 2.0
#: A voter that has not responded for this long is replaced by a responsive
#: learner. Longer than a restart (about 1 s), shorter than the time between
#: two losses that the voters have to survive.
VOTER_TIMEOUT_S = 3.0
#: Timeout for the commit of a change, which is then left to the next check; a
#: leader that is cut off from the others would wait for ever.
CHANGE_TIMEOUT_S = 5.0
#: Interval at which the leader sends the list of controllers to the seeds.
#: After a power loss a process knows the seeds only, and these need not be
#: controllers.
ANNOUNCE_INTERVAL_S = 0.2


def next_config(
    node: consensus.Node, max_voters: int, hall_losses: int, now_s: float
) -> entries.Config | None:
    """Return the next set of controllers, or None if it need not change.

    One voter changes at a time: learners are promoted up to ``max_voters``,
    and one above that where it replaces an unresponsive voter, which is
    removed after it. So there are never fewer voters meanwhile.
    If the loss of whole halls is tolerated, `_next_placement` decides.
    """
    ready = [
        node_id
        for node_id in sorted(node.config.learners)
        if _is_caught_up(node, node_id, now_s)
    ]
    unresponsive = [
        node_id
        for node_id in sorted(node.config.voters)
        if _is_unresponsive(node, node_id, now_s)
    ]
    if hall_losses:
        catching_up = [
            node_id
            for node_id in sorted(node.config.learners)
            if node_id not in ready
            and not _is_unresponsive(node, node_id, now_s)
        ]
        state = _PlacementState(
            max_voters, hall_losses, ready, catching_up, unresponsive
        )
        return _next_placement(node.config, node.node_id, state)
    count = len(node.config.voters)
    if count > max_voters:
        others = sorted(set(node.config.voters) - {node.node_id})
        return node.config.without([*unresponsive, *others][0])
    if not ready or (count == max_voters and not unresponsive):
        return None
    return node.config.promote(ready[0])


class _PlacementState(typing.NamedTuple):
    """Limits of the voter placement, and the state of the controllers."""

    max_voters: int
    hall_losses: int  # whole halls that may be lost at once
    ready: list[str]  # learners that can be promoted
    catching_up: list[str]  # responsive learners that are not ready yet
    unresponsive: list[str]  # voters


def _next_placement(
    config: entries.Config, leader: str, state: _PlacementState
) -> entries.Config | None:
    """Return the next set on the way to one that survives hall losses.

    In a full set, the replacement is promoted before the old voter is
    removed. In a smaller one the old voter is removed first: there is one
    voter fewer until the next check has committed the promotion.
    """
    if len(config.voters) > state.max_voters:
        removed = voterplacement.best_removal(
            config, state.unresponsive, leader, state.hall_losses
        )
        return config.without(removed)
    if not state.ready:
        return None
    is_full = len(config.voters) == state.max_voters
    grown = None if is_full else _add_voter(config, state)
    if grown:
        return grown
    replacement = voterplacement.best_replacement(
        config, state.unresponsive, state.ready, leader, state.hall_losses
    )
    if not replacement:
        return None
    learner, voter = replacement
    return config.promote(learner) if is_full else config.without(voter)


def _add_voter(
    config: entries.Config, state: _PlacementState
) -> entries.Config | None:
    """Return ``config`` with one more voter, or None if that doesn't help.

    Four voters tolerate no more losses than three, and the loss of the hall
    with two of them stops the log; a fourth one is therefore promoted only
    if a fifth is ready. A learner that is still catching up is waited for if
    its promotion would give a lower excess.
    """
    if len(config.voters) % 2 and len(config.voters) > 1:
        if len(state.ready) < 2:
            return None
    learner = voterplacement.best_addition(
        config, state.ready, state.hall_losses
    )
    best = voterplacement.best_addition(
        config, state.ready + state.catching_up, state.hall_losses
    )
    if best in state.catching_up:
        grown, better = config.promote(learner), config.promote(best)
        excess = voterplacement.excess(grown, state.hall_losses)
        if excess > voterplacement.excess(better, state.hall_losses):
            return None
    return config.promote(learner)


def _is_caught_up(node: consensus.Node, node_id: str, now_s: float) -> bool:
    try:
        replication.check_caught_up(node, node_id, now_s)
    except errors.RefusedChange:
        return False
    return True


def _is_unresponsive(node: consensus.Node, node_id: str, now_s: float) -> bool:
    if node_id == node.node_id:
        return False
    peer = node.peers.get(node_id)
    responded_s = (
        max(node.leader_since_s, peer.acked_sent_s)
        if peer
        else node.leader_since_s
    )
    return now_s - responded_s > VOTER_TIMEOUT_S


class Formation:
    """Joins this controller to the cluster; as leader, changes its members."""

    def __init__(
        self,
        app: application.Application,
        replica: replicas.Replica,
        leader: members.LeaderClient,
    ):
        self.app = app
        self.replica = replica
        self.leader = leader
        bounds = app.settings['bounds']
        self._losses = bounds['controller_losses']
        self._max_voters = copies.full_size(self._losses)
        self._hall_losses = bounds['hall_losses']
        #: Index of the newest set of controllers, and when it was first seen.
        self._config_index, self._changed_s = -1, 0.0
        #: Join requests in progress; meanwhile nothing else changes the set.
        self._joining = 0
        #: Voters per hall, unresponsive voters and warning last logged.
        self._reported: tuple | None = None
        signals.leader_known.connect(self._update_leader, sender=replica)
        replica.has_enough_voters = self._has_enough_voters

    def _has_enough_voters(self) -> bool:
        """Return whether what is committed now survives the losses."""
        now_s = self.app.now_s()
        self._observe_config(now_s)
        steady_s = now_s - self._changed_s
        return copies.has_enough(self.replica.node, self._losses, steady_s)

    def _observe_config(self, now_s: float) -> None:
        """Record when the set of controllers was first seen as it is."""
        index = self.replica.node.config_index
        if index != self._config_index:
            self._config_index, self._changed_s = index, now_s

    def _update_leader(self, sender: typing.Any, address: str) -> None:
        """Send the calls of this process to a new leader without a search."""
        self.leader.set_leader(address)

    async def on_join(self, peer, join: messages.Join) -> messages.Registered:
        """Add a controller as a learner.

        :raises RefusedChange: it was not committed in time.
        """
        self.replica.check_leader()
        if self._is_member(join):
            return messages.Registered()
        logger.info('controller joining', **join._asdict())
        self._joining += 1
        try:
            with trio.move_on_after(CHANGE_TIMEOUT_S) as scope:
                await self._add_member(join)
        finally:
            self._joining -= 1
        if scope.cancelled_caught:
            raise errors.RefusedChange('the change was not committed in time')
        return messages.Registered()

    def _is_member(self, join: messages.Join) -> bool:
        config = self.replica.node.config
        if config.addresses().get(join.node_id) != join.address:
            return False
        return not join.hall or config.halls.get(join.node_id) == join.hall

    async def _add_member(self, join: messages.Join) -> None:
        """Add a controller after removing earlier ones of the same name."""
        new_member = (join.node_id, join.address)
        for member in list(self.replica.node.config.addresses().items()):
            if (
                member != new_member
                and member[0].partition('.')[0] == join.name
            ):
                logger.info('removing replaced controller', node_id=member[0])
                config = self.replica.node.config
                await self.replica.change_config(config.without(member[0]))
        config = self.replica.node.config
        joined = config.with_controller(join.node_id, join.address, join.hall)
        await self.replica.change_config(joined)

    async def maintain_membership(self) -> None:
        """Join this controller to the cluster, and again after a removal."""
        node = self.replica.node
        join = messages.Join(
            node.node_id,
            self.app.name,
            self.app.settings['bind'],
            self.app.settings['hall'],
        )
        while True:
            self.leader.update_controllers(self.controllers())
            if node.role != consensus.LEADER:
                try:
                    await self.leader.call(join, JOIN_INTERVAL_S)
                except errors.MountridgeError as problem:
                    logger.debug('join failed', reason=str(problem))
            is_member = node.node_id in node.config.addresses()
            await trio.sleep(
                JOIN_INTERVAL_S if is_member else RECONCILE_INTERVAL_S
            )

    def controllers(self) -> dict[str, str]:
        """Return the addresses of the known controllers by name."""
        return members.addresses_by_name(self.replica.node.config.addresses())

    async def announce_to_seeds(self) -> None:
        """While leading, send the list of controllers to the seeds."""
        connections: dict[str, sockets.Connection] = {}
        while True:
            await trio.sleep(ANNOUNCE_INTERVAL_S)
            if not self.replica.lease_valid():
                continue
            announcement = messages.Controllers(self.controllers())
            for address in self.leader.seeds:
                if address not in connections:
                    connections[address] = self.app.connect(address, '')
                if not connections[address].send(announcement):
                    self.app.metrics.incr('seed.unsent')

    async def reconcile(self) -> None:
        """While leading, change the set of controllers step by step."""
        while True:
            await trio.sleep(RECONCILE_INTERVAL_S)
            if not self.replica.lease_valid():
                self._reported = None
                continue
            self._observe_config(self.app.now_s())
            self._report_placement()
            config = self._desired_config()
            if config is None or self._joining:
                continue
            try:
                with trio.fail_after(CHANGE_TIMEOUT_S):
                    await self.replica.change_config(config)
                logger.info(
                    'controllers',
                    voters=sorted(config.voters),
                    halls=voterplacement.voters_per_hall(config),
                )
            except (errors.MountridgeError, trio.TooSlowError) as problem:
                logger.debug('controller set not changed', reason=str(problem))

    def _desired_config(self) -> entries.Config | None:
        node = self.replica.node
        hall = self.app.settings['hall']
        if node.config.halls.get(node.node_id, '') != hall:
            # A leader sends no join request, and older logs hold no halls.
            address = self.app.settings['bind']
            return node.config.with_controller(node.node_id, address, hall)
        now_s = self.app.now_s()
        return next_config(node, self._max_voters, self._hall_losses, now_s)

    def _report_placement(self) -> None:
        """Update the metrics of the voter placement, and log changes."""
        node = self.replica.node
        now_s = self.app.now_s()
        unresponsive = [
            node_id
            for node_id in node.config.voters
            if _is_unresponsive(node, node_id, now_s)
        ]
        responsive = set(node.config.voters).difference(unresponsive)
        halls = voterplacement.voters_per_hall(node.config)
        hall_losses = max(1, self._hall_losses)
        surplus = voterplacement.surplus(node.config, responsive, hall_losses)
        placement = (halls, sorted(unresponsive), surplus < 0)
        if placement == self._reported:
            return
        before = self._reported[0] if self._reported else {}
        self._reported = placement
        for hall, count in {**dict.fromkeys(before, 0), **halls}.items():
            self.app.metrics.gauge(f'controllers.voters.{hall}', count)
        self.app.metrics.gauge('controllers.silent', len(unresponsive))
        self.app.metrics.gauge('controllers.hall_loss_stops', int(surplus < 0))
        if not self._hall_losses:
            return
        log = logger.warning if surplus < 0 else logger.info
        log(
            'voters by hall',
            halls=halls,
            silent=sorted(unresponsive),
            halls_to_bear=hall_losses,
            left_over=surplus,
            hall_loss_stops=surplus < 0,
        )


def add(app: application.Application, formation: Formation) -> None:
    """Add the handlers and tasks of a formation to ``app``."""
    app.handlers[messages.Join] = formation.on_join
    app.tasks += [
        formation.maintain_membership,
        formation.reconcile,
        formation.announce_to_seeds,
    ]
