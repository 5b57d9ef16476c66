# SPDX-License-Identifier: Apache-2.0

"""The leader's registry of runners, kept up by their own heartbeats.

Only a change of a registration goes through the log; a heartbeat that says
what is held already is answered from memory. Nothing is answered before it
is committed, so what a runner was told survives the leader.
"""

from mountridge import application, messages
from mountridge.consensus import replicas
from mountridge.documents import instances
from mountridge.logs import logger
from mountridge.state import commands, statemachine

__all__ = ['Registry']

#: A runner not heard of for this many intervals of its heartbeat is taken
#: as gone. Gateways stop using a runner that fails them far sooner, so the
#: figure only bounds how long dead ones stay listed; heartbeats may come
#: seconds late, and a runner cut from control goes on serving.
SILENT_INTERVALS = 15


class Registry:
    """When each runner was last heard, and the changes that it asked for."""

    def __init__(
        self,
        app: application.Application,
        machine: statemachine.StateMachine,
        replica: replicas.Replica,
    ):
        self.app = app
        self.machine = machine
        self.replica = replica
        interval_s = app.settings['bounds']['heartbeat_ms'] / 1000
        self._silent_s = SILENT_INTERVALS * interval_s
        self._heard_s: dict[str, float] = {}
        self._newest_seq: dict[str, int] = {}

    def begin_term(self) -> None:
        """Forget what an earlier term heard; all count as heard now."""
        self._heard_s.clear()
        self._newest_seq.clear()

    async def on_heartbeat(
        self, peer, heartbeat: messages.Heartbeat
    ) -> messages.Registered:
        """Take a heartbeat; answer once what it says is committed."""
        self.replica.check_leader()
        given = heartbeat.instance
        key = given.instance_id
        self._heard_s[key] = self.app.now_s()
        if heartbeat.seq < self._newest_seq.get(key, 0):
            # An older one that came late: what a newer one said holds.
            return messages.Registered()
        self._newest_seq[key] = heartbeat.seq
        known = self.machine.instances.get(key)
        if known == given:
            return messages.Registered()
        if known is not None and known.state == instances.LEFT:
            return messages.Registered()
        return await self._propose(given)

    async def on_leave(
        self, peer, leave: messages.Leave
    ) -> messages.Registered:
        """Take a runner out for good; answer once that is committed."""
        self.replica.check_leader()
        known = self.machine.instances.get(leave.instance_id)
        if known is None:
            # It may have left before any heartbeat of it came.
            known = instances.Instance(
                leave.instance_id, '', '', '', '', 0, instances.LEFT
            )
        return await self._propose(known._replace(state=instances.LEFT))

    async def _propose(
        self, instance: instances.Instance
    ) -> messages.Registered:
        logger.info('runner', **instance._asdict())
        command = commands.SetInstance(instance, self.app.wall_s())
        return await self.replica.propose(commands.encode(command))

    async def expire(self) -> None:
        """Take out the runners that have not been heard for long."""
        now_s = self.app.now_s()
        for key, instance in list(self.machine.instances.items()):
            if instance.state == instances.LEFT:
                self._heard_s.pop(key, None)
                continue
            heard_s = self._heard_s.setdefault(key, now_s)
            if now_s - heard_s > self._silent_s:
                logger.info('runner silent', instance_id=key)
                await self.on_leave(None, messages.Leave(key))
