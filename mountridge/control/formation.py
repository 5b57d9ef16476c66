# SPDX-License-Identifier: Apache-2.0

"""How the set of controllers forms itself and replaces lost boxes.

The founder, named by the settings of the very first start, begins as the
only voter. Every other controller asks the leader to let it join: it gets
the log as a learner, and becomes a voter while there are fewer than the
losses to be borne demand. An emptied disk has another identity, so it joins
as new; the voter of the same name is then gone for good and is removed.
"""

import typing

import trio

from mountridge import application, errors, messages, signals
from mountridge.consensus import consensus, entries, replicas, replication
from mountridge.control import spread
from mountridge.logs import logger
from mountridge.net import sockets
from mountridge.state import members

__all__ = ['Formation', 'add', 'next_config']

#: Between two looks at the set of controllers. A joiner should be a voter
#: well within the 4 s that sites give a returned disk to catch up.
STEP_S = 0.2
#: How often a controller that takes part asks whether it still does.
REJOIN_S = 2.0
#: A voter that has been silent for this long gives its place to a learner
#: that answers. Above a restart (about 1 s), below the losses' spacing.
SILENT_VOTER_S = 3.0
#: A change that is not committed by then waits for the next look; a leader
#: cut off from the others would wait for ever.
CHANGE_S = 5.0
#: How often the leader tells the seeds who the controllers are. After a loss
#: of power a process knows the seeds alone, and those may be no controllers.
TELL_S = 0.2


def next_config(
    node: consensus.Node, most_voters: int, hall_losses: int, now_s: float
) -> entries.Config | None:
    """Return the next set of controllers, or None where it is right.

    One voter changes at a time: a silent one goes when a learner that
    answers can take its place, and learners fill the places. Where whole
    halls may be lost, see `_next_spread`.
    """
    ready = [
        key
        for key in sorted(node.config.learners)
        if _is_caught_up(node, key, now_s)
    ]
    silent = [k for k in sorted(node.config.voters) if _silent(node, k, now_s)]
    if hall_losses:
        coming = [
            key
            for key in sorted(node.config.learners)
            if key not in ready and not _silent(node, key, now_s)
        ]
        places = _Places(most_voters, hall_losses, ready, coming, silent)
        return _next_spread(node.config, node.node_id, places)
    if not ready:
        return None
    if len(node.config.voters) >= most_voters:
        return node.config.without(silent[0]) if silent else None
    return node.config.promote(ready[0])


class _Places(typing.NamedTuple):
    """What decides who should be a voter."""

    most: int  # voters
    halls: int  # that may be lost at once
    ready: list[str]  # learners that could be voters now
    coming: list[str]  # learners that answer and soon could
    silent: list[str]  # voters


def _next_spread(
    config: entries.Config, leader: str, places: _Places
) -> entries.Config | None:
    """Return the next set where any halls may go and a majority stays.

    Where there are as many voters as the losses of boxes demand, who is to
    replace another is added first. Before that, of an odd number one goes
    first: for a look and a commit there is one fewer.
    """
    if len(config.voters) > places.most:
        gone = spread.best_removal(config, places.silent, leader, places.halls)
        return config.without(gone)
    if not places.ready:
        return None
    is_full = len(config.voters) == places.most
    grown = None if is_full else _grow(config, places)
    if grown:
        return grown
    found = spread.best_exchange(
        config, places.silent, places.ready, leader, places.halls
    )
    if not found:
        return None
    learner, voter = found
    return config.promote(learner) if is_full else config.without(voter)


def _grow(config: entries.Config, places: _Places) -> entries.Config | None:
    """Return ``config`` with one more voter, where that helps.

    Four voters bear no more than three, and the hall with two of them may
    not be lost; so the fourth comes only when a fifth is at hand.
    """
    if len(config.voters) % 2 and len(config.voters) > 1:
        if len(places.ready) < 2:
            return None
    key = spread.best_addition(config, places.ready, places.halls)
    soon = spread.best_addition(
        config, places.ready + places.coming, places.halls
    )
    if soon in places.coming:
        grown, better = config.promote(key), config.promote(soon)
        bad = spread.excess(grown, places.halls)
        if bad > spread.excess(better, places.halls):
            return None
    return config.promote(key)


def _is_caught_up(node: consensus.Node, key: str, now_s: float) -> bool:
    try:
        replication.check_caught_up(node, key, now_s)
    except errors.RefusedChange:
        return False
    return True


def _silent(node: consensus.Node, key: str, now_s: float) -> bool:
    if key == node.node_id:
        return False
    peer = node.peers.get(key)
    heard_s = max(node.led_s, peer.acked_sent_s) if peer else node.led_s
    return now_s - heard_s > SILENT_VOTER_S


class Formation:
    """One controller's part in it: asking to join, and letting others."""

    def __init__(
        self,
        app: application.Application,
        replica: replicas.Replica,
        leader: members.Leader,
    ):
        self.app = app
        self.replica = replica
        self.leader = leader
        bounds = app.settings['bounds']
        self._most_voters = 2 * max(1, bounds['controller_losses']) + 1
        self._hall_losses = bounds['hall_losses']
        #: Boxes that change their former place for another one now.
        self._joining = 0
        #: What the last line on the spread said.
        self._told: tuple | None = None
        signals.leader_known.connect(self._follow_leader, sender=replica)

    def _follow_leader(self, sender: typing.Any, address: str) -> None:
        """Let the calls of this process go to the leader at once."""
        self.leader.follow(address)

    async def on_join(self, peer, join: messages.Join) -> messages.Registered:
        """Let a controller take part, as a learner at first."""
        self.replica.check_leader()
        if self._is_known(join):
            return messages.Registered()
        logger.info('controller joins', **join._asdict())
        self._joining += 1
        try:
            with trio.move_on_after(CHANGE_S) as scope:
                await self._take(join)
        finally:
            self._joining -= 1
        if scope.cancelled_caught:
            raise errors.RefusedChange('it was not committed in time')
        return messages.Registered()

    def _is_known(self, join: messages.Join) -> bool:
        config = self.replica.node.config
        if config.addresses().get(join.node_id) != join.address:
            return False
        return not join.hall or config.halls.get(join.node_id) == join.hall

    async def _take(self, join: messages.Join) -> None:
        """Add a controller in place of former ones of the same name."""
        own = (join.node_id, join.address)
        for known in list(self.replica.node.config.addresses().items()):
            if known != own and known[0].partition('.')[0] == join.name:
                logger.info('controller replaced', node_id=known[0])
                config = self.replica.node.config
                await self.replica.change_config(config.without(known[0]))
        config = self.replica.node.config
        joined = config.join(join.node_id, join.address, join.hall)
        await self.replica.change_config(joined)

    async def ask_to_join(self) -> None:
        """Ask until this controller takes part, and look again later."""
        node = self.replica.node
        join = messages.Join(
            node.node_id,
            self.app.name,
            self.app.settings['bind'],
            self.app.settings['hall'],
        )
        while True:
            self.leader.learn(self.controllers())
            if node.role != consensus.LEADER:
                try:
                    await self.leader.call(join, REJOIN_S)
                except errors.MountridgeError as problem:
                    logger.debug('not joined', reason=str(problem))
            takes_part = node.node_id in node.config.addresses()
            await trio.sleep(REJOIN_S if takes_part else STEP_S)

    def controllers(self) -> dict[str, str]:
        """Return the controllers that this one knows, by name."""
        return members.by_name(self.replica.node.config.addresses())

    async def tell_seeds(self) -> None:
        """While leading, tell the seeds who the controllers are."""
        callers: dict[str, sockets.Connection] = {}
        while True:
            await trio.sleep(TELL_S)
            if not self.replica.lease_valid():
                continue
            told = messages.Controllers(self.controllers())
            for address in self.leader.seeds:
                if address not in callers:
                    callers[address] = self.app.connect(address, '')
                if not callers[address].send(told):
                    self.app.metrics.incr('seed.unsent')

    async def steward(self) -> None:
        """While leading, bring the set of controllers closer to right."""
        while True:
            await trio.sleep(STEP_S)
            if not self.replica.lease_valid():
                self._told = None
                continue
            self._tell_spread()
            wanted = self._wanted()
            if wanted is None or self._joining:
                continue
            try:
                with trio.fail_after(CHANGE_S):
                    await self.replica.change_config(wanted)
                logger.info(
                    'controllers',
                    voters=sorted(wanted.voters),
                    halls=spread.by_hall(wanted),
                )
            except (errors.MountridgeError, trio.TooSlowError) as problem:
                logger.debug('controllers unchanged', reason=str(problem))

    def _wanted(self) -> entries.Config | None:
        node = self.replica.node
        hall = self.app.settings['hall']
        if node.config.halls.get(node.node_id, '') != hall:
            # A leader does not ask to join, and an older log tells no halls.
            address = self.app.settings['bind']
            return node.config.join(node.node_id, address, hall)
        now_s = self.app.now_s()
        return next_config(node, self._most_voters, self._hall_losses, now_s)

    def _tell_spread(self) -> None:
        """Show how the voters stand; a line where that has changed."""
        node = self.replica.node
        now_s = self.app.now_s()
        silent = [k for k in node.config.voters if _silent(node, k, now_s)]
        answering = set(node.config.voters).difference(silent)
        halls = spread.by_hall(node.config)
        at_once = max(1, self._hall_losses)
        left = spread.left_over(node.config, answering, at_once)
        told = (halls, sorted(silent), left < 0)
        if told == self._told:
            return
        before = self._told[0] if self._told else {}
        self._told = told
        for hall, count in {**dict.fromkeys(before, 0), **halls}.items():
            self.app.metrics.gauge(f'controllers.voters.{hall}', count)
        self.app.metrics.gauge('controllers.silent', len(silent))
        self.app.metrics.gauge('controllers.hall_loss_stops', int(left < 0))
        if not self._hall_losses:
            return
        tell = logger.warning if left < 0 else logger.info
        tell(
            'voters by hall',
            halls=halls,
            silent=sorted(silent),
            halls_to_bear=at_once,
            left_over=left,
            hall_loss_stops=left < 0,
        )


def add(app: application.Application, formed: Formation) -> None:
    """Put the handlers and tasks of ``formed`` into ``app``."""
    app.handlers[messages.Join] = formed.on_join
    app.tasks += [formed.ask_to_join, formed.steward, formed.tell_seeds]
