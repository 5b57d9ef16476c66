# SPDX-License-Identifier: Apache-2.0

"""Operators' changes of the controllers: add, promote, remove, transfer."""

from mountridge import application, errors, messages
from mountridge.consensus import consensus, replicas, replication

__all__ = ['Changes']

ASK_S = 2.0


class Changes:
    """Answers `Admin` calls, each with a text for the operator."""

    def __init__(
        self, app: application.Application, replica: replicas.Replica
    ):
        self.app = app
        self.replica = replica

    async def on_admin(
        self, peer, message: messages.Admin
    ) -> messages.AdminReply:
        """Act on one call; only some are for the leader alone."""
        if message.action == 'whoami':
            return messages.AdminReply(True, self.replica.node.node_id)
        if message.action == 'status':
            known = bool(self.replica.node.term)
            return messages.AdminReply(known, self._show())
        self.replica.check_leader()
        actions = {
            'show': self._on_show,
            'add': self._add,
            'promote': self._promote,
            'remove': self._remove,
            'transfer': self._transfer,
        }
        action = actions.get(message.action)
        if action is None:
            raise errors.RefusedChange(f'unknown: {message.action!r}')
        return messages.AdminReply(True, await action(message))

    async def _on_show(self, message: messages.Admin) -> str:
        return self._show()

    def _show(self) -> str:
        node = self.replica.node
        now_s = self.app.now_s()
        lines = [
            f'term {node.term}, commit {node.commit_index}, '
            f'leader {node.leader_id or "unknown"}'
        ]
        for node_id, address in sorted(node.config.addresses().items()):
            kind = 'voter' if node_id in node.config.voters else 'learner'
            state = ''
            peer = node.peers.get(node_id)
            if peer:
                behind = node.log.last_index - peer.match_index
                age_s = min(999.0, now_s - peer.acked_sent_s)
                state = f', {behind} behind, heard {age_s:.1f} s ago'
            lines.append(f'{node_id} {kind} at {address}{state}')
        return '\n'.join(lines)

    async def _add(self, message: messages.Admin) -> str:
        caller = self.app.connect(message.address, message.name)
        try:
            reply = await caller.call(messages.Admin('whoami', '', ''), ASK_S)
        finally:
            caller.close()
        config = self.replica.node.config
        known = config.addresses().get(reply.text)
        if known not in (None, message.address):
            raise errors.RefusedChange(f'{reply.text} is there, at {known}')
        if known is None:
            added = config.with_controller(reply.text, message.address, '')
            await self.replica.change_config(added)
        # Else the call was sent again, since its answer was late.
        return f'{reply.text} is a learner'

    async def _promote(self, message: messages.Admin) -> str:
        config = self.replica.node.config
        if message.name not in config.learners:
            raise errors.RefusedChange(f'{message.name} is no learner')
        await self.replica.change_config(config.promote(message.name))
        return f'{message.name} is a voter'

    async def _remove(self, message: messages.Admin) -> str:
        config = self.replica.node.config
        if message.name not in config.addresses():
            raise errors.RefusedChange(f'{message.name} is not there')
        if message.name == self.replica.node.node_id:
            raise errors.RefusedChange('this one leads; transfer first')
        self._check_quorum_without(message.name)
        await self.replica.change_config(config.without(message.name))
        return f'{message.name} is removed'

    def _check_quorum_without(self, name: str) -> None:
        """Refuse to remove one where the rest would be no quorum."""
        node = self.replica.node
        now_s = self.app.now_s()
        rest = [v for v in node.config.voters if v != name]
        heard = [
            v
            for v in rest
            if v == node.node_id
            or now_s - node.peers[v].acked_sent_s < node.timing.election_s
        ]
        if len(heard) < len(rest) // 2 + 1:
            raise errors.RefusedChange(
                f'of the {len(rest)} voters left only {len(heard)} answer'
            )

    async def _transfer(self, message: messages.Admin) -> str:
        node = self.replica.node
        target = message.name or replication.best_transfer_target(
            node, self.app.now_s()
        )
        if target not in node.config.voters or target == node.node_id:
            raise errors.RefusedChange(f'{target or "no one"} can take over')
        self.replica.submit_event(consensus.TransferLeadership(target))
        return f'leadership is handed to {target}'
