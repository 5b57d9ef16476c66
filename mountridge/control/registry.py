# SPDX-License-Identifier: Apache-2.0

"""The leader's registry of runners, kept up by their own heartbeats.

Only a change of a registration goes through the log; a heartbeat that says
what is held already is answered from memory. Nothing is answered before it
is committed, so what a runner was told survives the leader. Which of two
words is newer is decided by `state/lives.py`.
"""

import typing

from mountridge import application, errors, messages
from mountridge.consensus import replicas
from mountridge.documents import instances
from mountridge.logs import logger
from mountridge.state import commands, lives, statemachine

__all__ = ['Registry']

#: A runner not heard of for this many intervals of its heartbeat is taken
#: as gone. Gateways stop using a runner that fails them far sooner, so the
#: figure only bounds how long dead ones stay listed; heartbeats may come
#: seconds late, and a runner cut from control goes on serving.
SILENT_INTERVALS = 15
#: A start that lies further ahead of the leader's clock than this is no
#: start: all later ones would seem older. Clocks of boxes differ by less.
FUTURE_S = 60.0
#: Words that are history: their sender is over, or has said it better since.
#: They are answered as taken, so that no other process is bothered.
HISTORY = (
    lives.Refusal.OLDER_LIFE,
    lives.Refusal.OLDER_COUNT,
    lives.Refusal.LEFT,
)


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
        #: Whether routes name a service; set by the entry, which reads them.
        self.service_exists: typing.Callable[[str], bool] = lambda _: True
        interval_s = app.settings['bounds']['heartbeat_ms'] / 1000
        self._silent_s = SILENT_INTERVALS * interval_s
        self._heard_s: dict[str, float] = {}
        #: By id and start: a word of another life says nothing of this one.
        self._newest_seq: dict[tuple[str, int], int] = {}

    def begin_term(self) -> None:
        """Forget what an earlier term heard; all count as heard now."""
        self._heard_s.clear()
        self._newest_seq.clear()

    async def on_heartbeat(
        self, peer, heartbeat: messages.Heartbeat
    ) -> messages.Registered:
        """Take a heartbeat; answer once what it says is committed.

        :raises BadRequest: it changes nothing, and its sender may be alive.
        """
        self.replica.check_leader()
        if self._is_held(heartbeat):
            return messages.Registered()
        given = heartbeat.instance._replace(seq=heartbeat.seq)
        known = self._known(given)
        self._check_named(given, known)
        others = self.machine.other_instances(given)
        order = lives.judge(given, known, others)
        if isinstance(order, lives.Refusal):
            return self._refuse(given, known, order)
        key = given.instance_id
        if order is not lives.Order.SAME:
            self._tell_life(given, known, order)
        if known is not None and known.born_ms != given.born_ms:
            self._newest_seq.pop((key, known.born_ms), None)
        self._heard_s[key] = self.app.now_s()
        self._newest_seq[key, given.born_ms] = given.seq
        reply = await self._propose(given)
        held = self.machine.instances.get(key)
        if held is None or held.born_ms != given.born_ms:
            # A newer one was committed while this was under way.
            self._count_refusal(given, held, 'overtaken')
        return reply

    def _is_held(self, heartbeat: messages.Heartbeat) -> bool:
        """Take a word that changes nothing, as nearly all do."""
        given = heartbeat.instance
        known = self.machine.instances.get(given.instance_id)
        if known is None or not lives.says_same(given, known):
            return False
        life = (given.instance_id, given.born_ms)
        if heartbeat.seq < max(known.seq, self._newest_seq.get(life, 0)):
            return False
        self._heard_s[given.instance_id] = self.app.now_s()
        self._newest_seq[life] = heartbeat.seq
        return True

    def _known(self, given: instances.Instance) -> instances.Instance | None:
        """Return what is held of an id, with the newest count of its life.

        Counts that changed nothing are in memory only.
        """
        known = self.machine.instances.get(given.instance_id)
        if known is None:
            return None
        newest = self._newest_seq.get((known.instance_id, known.born_ms), 0)
        return known._replace(seq=max(known.seq, newest))

    def _check_named(
        self, given: instances.Instance, known: instances.Instance | None
    ) -> None:
        """Refuse a word that can't be of a runner of this deployment.

        Runners may come before the first routes, which then name any
        service. One that is held goes on saying that it drains or is there
        also while no route names its service.
        """
        halls = self.app.settings['halls']
        if halls and given.hall not in halls:
            self._count_refusal(given, known, 'hall')
            raise errors.UnknownHall(f'{given.hall!a}'[:80])
        if given.born_ms > (self.app.wall_s() + FUTURE_S) * 1000:
            self._count_refusal(given, known, 'future')
            raise errors.BadHeartbeat('a start in the future', 'future')
        is_held = known is not None and known.service == given.service
        if not is_held and not self.service_exists(given.service):
            self._count_refusal(given, known, 'service')
            raise errors.UnknownService(f'{given.service!a}'[:80])

    def _refuse(
        self,
        given: instances.Instance,
        known: instances.Instance | None,
        refusal: lives.Refusal,
    ) -> messages.Registered:
        """Answer a word that changes nothing.

        :raises StaleHeartbeat: its sender may be alive, and is not listed.
        """
        self._count_refusal(given, known, refusal)
        if refusal in HISTORY:
            return messages.Registered()
        raise errors.StaleHeartbeat(refusal)

    def _count_refusal(
        self,
        given: instances.Instance,
        known: instances.Instance | None,
        cause: str,
    ) -> None:
        self.app.metrics.incr(f'runner.refused.{cause}')
        logger.info(
            'runner word refused', cause=cause, **self._told(given, known)
        )

    def _tell_life(
        self,
        given: instances.Instance,
        known: instances.Instance | None,
        order: lives.Order,
    ) -> None:
        self.app.metrics.incr('runner.lives')
        logger.info(
            'runner life', order=order.name.lower(), **self._told(given, known)
        )

    def _told(
        self, given: instances.Instance, known: instances.Instance | None
    ) -> dict[str, typing.Any]:
        """Return the fields of a log line: both starts, counts, the age."""
        fields = {
            'runner': given.instance_id,
            'address': given.address,
            'born_ms': given.born_ms,
            'seq': given.seq,
        }
        if known is None:
            return fields
        heard_s = self._heard_s.get(given.instance_id)
        return fields | {
            'held_state': known.state,
            'held_address': known.address,
            'held_born_ms': known.born_ms,
            'held_seq': known.seq,
            'lives': known.lives,
            'heard_age_s': (
                None if heard_s is None else self.app.now_s() - heard_s
            ),
        }

    async def on_leave(
        self, peer, leave: messages.Leave
    ) -> messages.Registered:
        """End a life for good; answer once that is committed.

        :raises StaleHeartbeat: it may be of a life before.
        """
        self.replica.check_leader()
        known = self.machine.instances.get(leave.instance_id)
        now_ms = round(self.app.wall_s() * 1000)
        refusal = lives.judge_leave(leave.born_ms, leave.lives, known, now_ms)
        # It may have left before any heartbeat of it came.
        ended = known or instances.Instance(
            leave.instance_id, '', '', '', '', 0, instances.LEFT
        )
        ended = ended._replace(
            state=instances.LEFT,
            born_ms=max(ended.born_ms, leave.born_ms),
            may_return=False,
        )
        if refusal is not None:
            given = ended._replace(born_ms=leave.born_ms, seq=0)
            self._count_refusal(given, known, refusal)
            # Whoever is alive asks another process, whose view may be newer.
            raise errors.StaleHeartbeat(refusal)
        return await self._propose(ended)

    async def _propose(
        self, instance: instances.Instance
    ) -> messages.Registered:
        logger.info('runner', **instance._asdict())
        command = commands.SetInstance(instance, self.app.wall_s())
        return await self.replica.propose(commands.encode(command))

    async def expire(self) -> None:
        """Take out the runners that have not been heard for long.

        One that is heard again comes back, whatever its count: words of
        before can't be under way for so long.
        """
        now_s = self.app.now_s()
        for key, instance in list(self.machine.instances.items()):
            if lives.is_over(instance):
                self._heard_s.pop(key, None)
                if not instance.may_return:
                    self._newest_seq.pop((key, instance.born_ms), None)
                continue
            heard_s = self._heard_s.setdefault(key, now_s)
            if now_s - heard_s > self._silent_s:
                logger.info('runner silent', instance_id=key)
                silent = instance._replace(
                    state=instances.LEFT, seq=0, may_return=True
                )
                await self._propose(silent)
                self._newest_seq.pop((key, instance.born_ms), None)
