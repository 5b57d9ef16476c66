# SPDX-License-Identifier: Apache-2.0

"""Quarantine of requests that crash their runners, on the leader.

The crashes at all gateways are counted in memory; the gateways report them
again to a new leader. The quarantined requests are replicated and reach
gateways with the view, so they survive a change of leader and a restart of
all processes.

At the end of its quarantine a request is probed: it may run again, and a
single crash puts it back into quarantine.
"""

import typing

from mountridge import application, errors, messages
from mountridge.consensus import replicas
from mountridge.control import partquarantine
from mountridge.documents import promptparts, quarantines
from mountridge.logs import logger
from mountridge.state import commands, statemachine

__all__ = ['QuarantineManager', 'quarantine_s']

#: The first quarantine of a request, the factor by which each further one is
#: longer, and the longest. Far longer than callers wait before they retry; a
#: request that crashes a runner each time is probed four times in the first 85
#: minutes.
QUARANTINE_S, GROWTH, MAX_QUARANTINE_S = 60.0, 4.0, 14_400.0
#: A request that is probed is released after this long without a crash.
PROBING_S = 3600.0
#: Most digests whose crashes are counted; likewise, most that are kept as
#: cleared. The least recently reported ones are removed first. One report of a
#: gateway has `routing.quarantine.MAX_REPORTED` of them at most.
MAX_SUSPECTS = 5000
NEVER_S = float('-inf')


def quarantine_s(count: int) -> float:
    """Return the duration of the n-th quarantine, from ``count`` 1 on."""
    return min(MAX_QUARANTINE_S, QUARANTINE_S * GROWTH ** (count - 1))


class QuarantineManager:
    """Counts crashes and quarantines requests while this controller leads."""

    def __init__(
        self,
        app: application.Application,
        machine: statemachine.StateMachine,
        replica: replicas.Replica,
        push: typing.Callable[[], None],
    ):
        self.app = app
        self._machine = machine
        self._replica = replica
        self._push = push
        self.parts = partquarantine.PartQuarantine(app, machine, replica, push)
        #: Time of the crash of each incarnation of a runner, by digest.
        self._crashed_s: dict[bytes, dict[tuple, float]] = {}
        #: Crashes up to this time don't count, by digest. They may still be
        #: reported, as gateways repeat their reports.
        self._cleared_s: dict[bytes, float] = {}
        #: By digest: whether it is quarantined, and since when this leader has
        #: seen that state.
        self._since: dict[bytes, tuple[bool, float]] = {}
        #: Number of quarantined requests as last set in the metric, or -1.
        self._reported_count = -1

    def begin_term(self) -> None:
        """Discard the counts of earlier terms; gateways report them again."""
        self._crashed_s.clear()
        self._cleared_s.clear()
        self._since.clear()
        self._reported_count = -1
        self.parts.begin_term()

    async def on_report(
        self, peer: application.Peer, report: messages.CrashReport
    ) -> messages.CrashReportReply:
        """Apply a gateway's report of crashes and of successful requests.

        Replies once the changes of the quarantine are committed.
        """
        self._replica.check_leader()
        now_s = self.app.now_s()
        for digest, age_s in report.successes:
            await self._clear(digest, now_s - age_s)
        for crash in report.crashes:
            await self._count_crash(crash, now_s)
        return messages.CrashReportReply()

    async def _clear(self, digest: bytes, succeeded_s: float) -> None:
        """Discard crashes before a success, and a quarantine based on them.

        A quarantine whose crashes this leader doesn't know stays in force,
        unless the request is being probed.
        """
        seen = self._crashed_s.pop(digest, {})
        later = {
            incarnation: at_s
            for incarnation, at_s in seen.items()
            if at_s > succeeded_s
        }
        self._mark_cleared(digest, succeeded_s)
        current = self._machine.quarantine.get(digest)
        if later:
            self._crashed_s[digest] = later
        elif current is not None and (seen or not current.is_held):
            await self._release(digest, is_probe=False, why='succeeded')

    def _mark_cleared(self, digest: bytes, until_s: float) -> None:
        until_s = max(until_s, self._cleared_s.pop(digest, NEVER_S))
        self._cleared_s[digest] = until_s
        while len(self._cleared_s) > MAX_SUSPECTS:
            del self._cleared_s[next(iter(self._cleared_s))]

    async def _count_crash(
        self, crash: quarantines.Crash, now_s: float
    ) -> None:
        current = self._machine.quarantine.get(crash.digest)
        crashed_s = now_s - crash.age_s
        if crashed_s <= self._cleared_s.get(crash.digest, NEVER_S):
            return
        is_probing = current is not None and not current.is_held
        seen = self._crashed_s.pop(crash.digest, {})
        is_new = crash.incarnation not in seen
        seen.setdefault(crash.incarnation, crashed_s)
        for incarnation, at_s in list(seen.items()):
            if now_s - at_s >= quarantines.CRASH_TTL_S:
                del seen[incarnation]
        self._crashed_s[crash.digest] = seen
        while len(self._crashed_s) > MAX_SUSPECTS:
            del self._crashed_s[next(iter(self._crashed_s))]
        if is_new:
            self.app.metrics.incr('quarantine.suspected')
            logger.debug(
                'crash counted',
                digest=crash.digest.hex(),
                runner=crash.instance_id,
                crashes=len(seen),
            )
        # A probed request has crashed several runners before.
        threshold = 1 if is_probing else quarantines.CRASH_THRESHOLD
        is_quarantined = current is not None and current.is_held
        if not is_quarantined and len(seen) >= threshold:
            await self._quarantine(crash.digest, len(seen))

    async def _quarantine(self, digest: bytes, crashes: int) -> None:
        command = commands.QuarantineRequest(
            digest, crashes, self.app.wall_s()
        )
        entry = await self._replica.propose(commands.encode(command))
        self.app.metrics.incr('quarantine.held')
        logger.info(
            'request quarantined',
            digest=digest.hex(),
            crashes=entry.crashes,
            holds=entry.holds,
            runners=sorted(
                incarnation[0]
                for incarnation in self._crashed_s.get(digest, {})
            ),
            for_s=quarantine_s(entry.holds),
        )
        self._push()

    async def _release(self, digest: bytes, is_probe: bool, why: str) -> None:
        command = commands.ReleaseRequest(digest, is_probe, self.app.wall_s())
        await self._replica.propose(commands.encode(command))
        self._crashed_s.pop(digest, None)
        self._mark_cleared(digest, self.app.now_s())
        self.app.metrics.incr('quarantine.released')
        logger.info(
            'request released from quarantine',
            digest=digest.hex(),
            may_be_held_again_at_once=is_probe,
            why=why,
        )
        self._push()

    async def expire(self) -> None:
        """Probe requests whose quarantine has expired; release probed ones."""
        await self.parts.expire()
        now_s = self.app.now_s()
        listed = {
            digest: entry
            for digest, entry in self._machine.quarantine.items()
            if not promptparts.is_part(digest)
        }
        for digest in self._since.keys() - listed.keys():
            del self._since[digest]
        for digest, each in list(listed.items()):
            was_held, since_s = self._since.get(digest, (None, now_s))
            if was_held != each.is_held:
                was_held, since_s = each.is_held, now_s
                self._since[digest] = (was_held, since_s)
            duration_s = (
                quarantine_s(each.holds) if each.is_held else PROBING_S
            )
            if now_s - since_s >= duration_s:
                await self._release(digest, each.is_held, 'expired')
        every = self._machine.quarantine.values()
        count = sum(each.is_held for each in every)
        if count != self._reported_count:
            self._reported_count = count
            self.app.metrics.gauge('quarantine.now', count)

    async def on_read(
        self, peer: application.Peer, _: messages.ReadQuarantine
    ) -> messages.QuarantineReply:
        """Return quarantined and probed requests, confirmed by a quorum."""
        await self._replica.confirm_leadership()
        return messages.QuarantineReply(
            list(self._machine.quarantine.values())
        )

    async def on_release(
        self, peer: application.Peer, order: messages.Release
    ) -> messages.QuarantineReply:
        """Release a request on an operator's order; reply once committed.

        :raises NotHeldBack: it is neither quarantined nor being probed.
        """
        await self._replica.confirm_leadership()
        if order.digest not in self._machine.quarantine:
            raise errors.NotHeldBack(order.digest.hex())
        if promptparts.is_part(order.digest):
            await self.parts.release(order.digest)
        else:
            await self._release(order.digest, False, 'ordered by an operator')
        return messages.QuarantineReply(
            list(self._machine.quarantine.values())
        )
