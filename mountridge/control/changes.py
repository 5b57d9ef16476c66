# SPDX-License-Identifier: Apache-2.0

"""Handler of the operators' commands on the controller cluster.

Controllers are added, promoted and removed; leadership is transferred.
"""

from mountridge import application, errors, messages
from mountridge.consensus import consensus, replicas, replication

__all__ = ['AdminHandler']

WHOAMI_TIMEOUT_S = 2.0


class AdminHandler:
    """Handles `Admin` calls; each reply is a text for the operator."""

    def __init__(
        self, app: application.Application, replica: replicas.Replica
    ):
        self.app = app
        self.replica = replica

    async def on_admin(
        self, peer, message: messages.Admin
    ) -> messages.AdminReply:
        """Run the requested action.

        'whoami' and 'status' are answered by any controller, all other
        actions by the leader only.
        """
        if message.action == 'whoami':
            return messages.AdminReply(True, self.replica.node.node_id)
        if message.action == 'status':
            has_term = bool(self.replica.node.term)
            return messages.AdminReply(has_term, self._status_text())
        self.replica.check_leader()
        actions = {
            'show': self._show,
            'add': self._add,
            'promote': self._promote,
            'remove': self._remove,
            'transfer': self._transfer,
        }
        action = actions.get(message.action)
        if action is None:
            raise errors.RefusedChange(f'unknown action: {message.action!r}')
        return messages.AdminReply(True, await action(message))

    async def _show(self, message: messages.Admin) -> str:
        return self._status_text()

    def _status_text(self) -> str:
        node = self.replica.node
        now_s = self.app.now_s()
        lines = [
            f'term {node.term}, commit {node.commit_index}, '
            f'leader {node.leader_id or "unknown"}'
        ]
        for node_id, address in sorted(node.config.addresses().items()):
            role = 'voter' if node_id in node.config.voters else 'learner'
            progress = ''
            peer = node.peers.get(node_id)
            if peer:
                behind = node.log.last_index - peer.match_index
                age_s = min(999.0, now_s - peer.acked_sent_s)
                progress = (
                    f', {behind} entries behind,'
                    f' acknowledged {age_s:.1f} s ago'
                )
            lines.append(f'{node_id} {role} at {address}{progress}')
        return '\n'.join(lines)

    async def _add(self, message: messages.Admin) -> str:
        connection = self.app.connect(message.address, message.name)
        try:
            reply = await connection.call(
                messages.Admin('whoami', '', ''), WHOAMI_TIMEOUT_S
            )
        finally:
            connection.close()
        config = self.replica.node.config
        current_address = config.addresses().get(reply.text)
        if current_address not in (None, message.address):
            raise errors.RefusedChange(
                f'{reply.text} is already a member, at {current_address}'
            )
        if current_address is None:
            added = config.with_controller(reply.text, message.address, '')
            await self.replica.change_config(added)
        # Otherwise this is a retry of a call that has already succeeded.
        return f'{reply.text} is a learner'

    async def _promote(self, message: messages.Admin) -> str:
        config = self.replica.node.config
        if message.name not in config.learners:
            raise errors.RefusedChange(f'{message.name} is not a learner')
        await self.replica.change_config(config.promote(message.name))
        return f'{message.name} is a voter'

    async def _remove(self, message: messages.Admin) -> str:
        config = self.replica.node.config
        if message.name not in config.addresses():
            raise errors.RefusedChange(f'{message.name} is not a member')
        if message.name == self.replica.node.node_id:
            raise errors.RefusedChange(
                'it is the leader; transfer leadership first'
            )
        self._check_quorum_without(message.name)
        await self.replica.change_config(config.without(message.name))
        return f'{message.name} is removed'

    def _check_quorum_without(self, name: str) -> None:
        """Refuse a removal after which the responsive voters are no quorum."""
        node = self.replica.node
        now_s = self.app.now_s()
        remaining = [v for v in node.config.voters if v != name]
        responsive = [
            v
            for v in remaining
            if v == node.node_id
            or now_s - node.peers[v].acked_sent_s < node.timing.election_s
        ]
        if len(responsive) < len(remaining) // 2 + 1:
            raise errors.RefusedChange(
                f'of the {len(remaining)} remaining voters'
                f' only {len(responsive)} respond'
            )

    async def _transfer(self, message: messages.Admin) -> str:
        node = self.replica.node
        target = message.name or replication.best_transfer_target(
            node, self.app.now_s()
        )
        if target not in node.config.voters or target == node.node_id:
            raise errors.RefusedChange(
                f'cannot transfer leadership to {target or "any voter"}'
            )
        self.replica.submit_event(consensus.TransferLeadership(target))
        return f'transferring leadership to {target}'
