# SPDX-License-Identifier: Apache-2.0

"""How the set of controllers forms itself and replaces lost boxes.

The founder, named by the settings of the very first start, begins as the
only voter. Every other controller asks the leader to let it join: it gets
the log as a learner, and becomes a voter while there are fewer than the
losses to be borne demand. An emptied disk has another identity, so it joins
as new; the voter of the same name is then gone for good and is removed.
"""

import trio

from mountridge import application, errors, messages
from mountridge.consensus import consensus, entries, replicas, replication
from mountridge.logs import logger
from mountridge.net import sockets
from mountridge.state import members

__all__ = ['Formation', 'next_config']

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


def next_config(node: consensus.Node, most_voters: int, now_s: float):
    """Return the next set of controllers, or None where it is right.

    One voter changes at a time: a silent one goes when a learner that
    answers can take its place, and learners fill the places.
    """
    config = node.config
    ready = [
        key
        for key in sorted(config.learners)
        if _is_caught_up(node, key, now_s)
    ]
    if not ready:
        return None
    if len(config.voters) >= most_voters:
        silent = [v for v in sorted(config.voters) if _silent(node, v, now_s)]
        if not silent:
            return None
        voters = {k: a for k, a in config.voters.items() if k != silent[0]}
        return entries.Config(voters, config.learners)
    chosen = ready[0]
    learners = {k: a for k, a in config.learners.items() if k != chosen}
    voters = {**config.voters, chosen: config.learners[chosen]}
    return entries.Config(voters, learners)


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
        losses = app.settings['bounds']['controller_losses']
        self._most_voters = 2 * max(1, losses) + 1

    async def on_join(self, peer, join: messages.Join) -> messages.Registered:
        """Let a controller take part, as a learner at first."""
        self.replica.check_leader()
        config = self.replica.node.config
        if config.addresses().get(join.node_id) == join.address:
            return messages.Registered()
        logger.info('controller joins', **join._asdict())
        for key in list(config.addresses()):
            if key.partition('.')[0] == join.name:
                await self._remove(key)
        config = self.replica.node.config
        learners = {**config.learners, join.node_id: join.address}
        await self.replica.change_config(
            entries.Config(config.voters, learners)
        )
        return messages.Registered()

    async def _remove(self, key: str) -> None:
        logger.info('controller replaced', node_id=key)
        config = self.replica.node.config
        voters = {k: a for k, a in config.voters.items() if k != key}
        learners = {k: a for k, a in config.learners.items() if k != key}
        await self.replica.change_config(entries.Config(voters, learners))

    async def ask_to_join(self) -> None:
        """Ask until this controller takes part, and look again later."""
        node = self.replica.node
        join = messages.Join(
            node.node_id, self.app.name, self.app.settings['bind']
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
        callers: dict[str, sockets.Caller] = {}
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
                continue
            now_s = self.app.now_s()
            wanted = next_config(self.replica.node, self._most_voters, now_s)
            if wanted is None:
                continue
            try:
                with trio.fail_after(CHANGE_S):
                    await self.replica.change_config(wanted)
                logger.info('controllers', voters=sorted(wanted.voters))
            except (errors.MountridgeError, trio.TooSlowError) as problem:
                logger.debug('controllers unchanged', reason=str(problem))
