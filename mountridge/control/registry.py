# SPDX-License-Identifier: Apache-2.0

"""The leader's registry of runners, maintained by their heartbeats.

Only a change of a registration goes through the log; a heartbeat that changes
nothing is answered from memory. A change is acknowledged once it is
committed, so it survives a loss of the leader. `state/incarnations.py` decides
which of two reports is newer.
"""

import typing

from mountridge import application, errors, messages
from mountridge.consensus import replicas
from mountridge.documents import instances
from mountridge.logs import logger
from mountridge.state import commands, incarnations, statemachine

__all__ = ['Registry']

#: A runner without a heartbeat for this many of its intervals is removed.
#: Gateways stop using a failing runner far sooner, so this only bounds how
#: long dead ones stay listed. Heartbeats may be delayed by seconds, and a
#: runner that can't reach the controllers continues to serve.
TIMEOUT_INTERVALS = 15
#: A start time further ahead of the leader's clock is refused: all later
#: starts would seem older. Larger than the clock skew between boxes.
MAX_CLOCK_SKEW_S = 60.0
#: Refusals of outdated reports: their sender has ended, or has sent a newer
#: one. They are acknowledged all the same, so that the sender does not retry
#: at another process.
ACKNOWLEDGED_REFUSALS = (
    incarnations.Refusal.OLDER_LIFE,
    incarnations.Refusal.OLDER_COUNT,
    incarnations.Refusal.LEFT,
)


class Registry:
    """Handles heartbeats and leaves, and removes runners that time out."""

    def __init__(
        self,
        app: application.Application,
        machine: statemachine.StateMachine,
        replica: replicas.Replica,
    ):
        self.app = app
        self.machine = machine
        self.replica = replica
        #: Whether a service is in the routes; set by the entry, which reads
        #: them.
        self.service_exists: typing.Callable[[str], bool] = lambda _: True
        interval_s = app.settings['bounds']['heartbeat_ms'] / 1000
        self._timeout_s = TIMEOUT_INTERVALS * interval_s
        #: Time of the last heartbeat of each runner.
        self._heartbeat_s: dict[str, float] = {}
        #: Newest sequence number by id and start time: each incarnation counts
        #: its own messages.
        self._newest_seq: dict[tuple[str, int], int] = {}

    def begin_term(self) -> None:
        """Discard the heartbeats of earlier terms; timeouts start again."""
        self._heartbeat_s.clear()
        self._newest_seq.clear()

    async def on_heartbeat(
        self, peer, heartbeat: messages.Heartbeat
    ) -> messages.Registered:
        """Apply a heartbeat; reply once its changes are committed.

        :raises BadRequest: it is refused, and its sender may be alive.
        """
        self.replica.check_leader()
        if self._refresh(heartbeat):
            return messages.Registered()
        reported = heartbeat.instance._replace(seq=heartbeat.seq)
        registered = self._registered_instance(reported)
        self._check_deployment(reported, registered)
        others = self.machine.other_instances(reported)
        order = incarnations.classify(reported, registered, others)
        if isinstance(order, incarnations.Refusal):
            return self._refuse(reported, registered, order)
        key = reported.instance_id
        if order is not incarnations.Order.SAME:
            self._report_incarnation(reported, registered, order)
        if registered is not None and registered.born_ms != reported.born_ms:
            self._newest_seq.pop((key, registered.born_ms), None)
        self._heartbeat_s[key] = self.app.now_s()
        self._newest_seq[key, reported.born_ms] = reported.seq
        reply = await self._propose(reported)
        committed = self.machine.instances.get(key)
        if committed is None or committed.born_ms != reported.born_ms:
            # A newer incarnation was committed in the meantime.
            self._count_refusal(reported, committed, 'overtaken')
        return reply

    def _refresh(self, heartbeat: messages.Heartbeat) -> bool:
        """Record a heartbeat that changes nothing; return false for others."""
        reported = heartbeat.instance
        registered = self.machine.instances.get(reported.instance_id)
        if registered is None or not incarnations.is_unchanged(
            reported, registered
        ):
            return False
        incarnation = (reported.instance_id, reported.born_ms)
        if heartbeat.seq < max(
            registered.seq, self._newest_seq.get(incarnation, 0)
        ):
            return False
        self._heartbeat_s[reported.instance_id] = self.app.now_s()
        self._newest_seq[incarnation] = heartbeat.seq
        return True

    def _registered_instance(
        self, reported: instances.Instance
    ) -> instances.Instance | None:
        """Return the registration of an id, with its newest sequence number.

        That of a heartbeat that changed nothing is in memory only.
        """
        registered = self.machine.instances.get(reported.instance_id)
        if registered is None:
            return None
        newest = self._newest_seq.get(
            (registered.instance_id, registered.born_ms), 0
        )
        return registered._replace(seq=max(registered.seq, newest))

    def _check_deployment(
        self,
        reported: instances.Instance,
        registered: instances.Instance | None,
    ) -> None:
        """Check that a heartbeat can be from a runner of this deployment.

        Before the first routes all services exist. A registered runner may
        also send heartbeats, and drain, after its service was removed.

        :raises UnknownHall: its hall is not configured.
        :raises BadHeartbeat: its start time is in the future.
        :raises UnknownService: no route names its service.
        """
        halls = self.app.settings['halls']
        if halls and reported.hall not in halls:
            self._count_refusal(reported, registered, 'hall')
            raise errors.UnknownHall(f'{reported.hall!a}'[:80])
        if reported.born_ms > (self.app.wall_s() + MAX_CLOCK_SKEW_S) * 1000:
            self._count_refusal(reported, registered, 'future')
            raise errors.BadHeartbeat(
                'the start time is in the future', 'future'
            )
        is_registered = (
            registered is not None and registered.service == reported.service
        )
        if not is_registered and not self.service_exists(reported.service):
            self._count_refusal(reported, registered, 'service')
            raise errors.UnknownService(f'{reported.service!a}'[:80])

    def _refuse(
        self,
        reported: instances.Instance,
        registered: instances.Instance | None,
        refusal: incarnations.Refusal,
    ) -> messages.Registered:
        """Acknowledge an outdated heartbeat, or refuse one.

        :raises StaleHeartbeat: its sender may be alive and is not registered.
        """
        self._count_refusal(reported, registered, refusal)
        if refusal in ACKNOWLEDGED_REFUSALS:
            return messages.Registered()
        raise errors.StaleHeartbeat(refusal)

    def _count_refusal(
        self,
        reported: instances.Instance,
        registered: instances.Instance | None,
        cause: str,
    ) -> None:
        self.app.metrics.incr(f'runner.refused.{cause}')
        logger.info(
            'runner report refused',
            cause=cause,
            **self._log_fields(reported, registered),
        )

    def _report_incarnation(
        self,
        reported: instances.Instance,
        registered: instances.Instance | None,
        order: incarnations.Order,
    ) -> None:
        self.app.metrics.incr('runner.lives')
        logger.info(
            'runner incarnation',
            order=order.name.lower(),
            **self._log_fields(reported, registered),
        )

    def _log_fields(
        self,
        reported: instances.Instance,
        registered: instances.Instance | None,
    ) -> dict[str, typing.Any]:
        """Return log fields that compare a report to the registration."""
        fields = {
            'runner': reported.instance_id,
            'address': reported.address,
            'born_ms': reported.born_ms,
            'seq': reported.seq,
        }
        if registered is None:
            return fields
        heartbeat_s = self._heartbeat_s.get(reported.instance_id)
        return fields | {
            'held_state': registered.state,
            'held_address': registered.address,
            'held_born_ms': registered.born_ms,
            'held_seq': registered.seq,
            'lives': registered.lives,
            'heard_age_s': (
                None if heartbeat_s is None else self.app.now_s() - heartbeat_s
            ),
        }

    async def on_leave(
        self, peer, leave: messages.Leave
    ) -> messages.Registered:
        """End an incarnation for good; reply once that is committed.

        :raises StaleHeartbeat: it may be of an earlier incarnation.
        """
        self.replica.check_leader()
        registered = self.machine.instances.get(leave.instance_id)
        now_ms = round(self.app.wall_s() * 1000)
        refusal = incarnations.check_leave(
            leave.born_ms, leave.lives, registered, now_ms
        )
        # The leave may arrive before any heartbeat.
        ended = registered or instances.Instance(
            leave.instance_id, '', '', '', '', 0, instances.LEFT
        )
        ended = ended._replace(
            state=instances.LEFT,
            born_ms=max(ended.born_ms, leave.born_ms),
            may_return=False,
        )
        if refusal is not None:
            reported = ended._replace(born_ms=leave.born_ms, seq=0)
            self._count_refusal(reported, registered, refusal)
            # A live runner retries at another process with a newer view.
            raise errors.StaleHeartbeat(refusal)
        return await self._propose(ended)

    async def _propose(
        self, instance: instances.Instance
    ) -> messages.Registered:
        logger.info('updating runner registration', **instance._asdict())
        command = commands.SetInstance(instance, self.app.wall_s())
        return await self.replica.propose(commands.encode(command))

    async def expire(self) -> None:
        """Remove the runners that have timed out.

        The next heartbeat of such a runner registers it again, whatever its
        sequence number: no earlier report can still be in transit.
        """
        now_s = self.app.now_s()
        for key, instance in list(self.machine.instances.items()):
            if incarnations.has_ended(instance):
                self._heartbeat_s.pop(key, None)
                if not instance.may_return:
                    self._newest_seq.pop((key, instance.born_ms), None)
                continue
            heartbeat_s = self._heartbeat_s.setdefault(key, now_s)
            if now_s - heartbeat_s > self._timeout_s:
                logger.info('runner timed out', instance_id=key)
                removed = instance._replace(
                    state=instances.LEFT, seq=0, may_return=True
                )
                await self._propose(removed)
                self._newest_seq.pop((key, instance.born_ms), None)
