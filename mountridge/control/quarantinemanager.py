# SPDX-License-Identifier: Apache-2.0

"""The leader's office for requests that crash their runners.

It counts crashes over all gateways in memory, which they tell again to a new
leader. What is held back is in the replicated state and reaches gateways with
the view, so that neither a new leader nor a restart of all forgets it.
"""

import typing

from mountridge import application, errors, messages
from mountridge.consensus import replicas
from mountridge.documents import quarantines
from mountridge.logs import logger
from mountridge.state import commands, statemachine

__all__ = ['QuarantineManager', 'hold_s']

#: How long a request is held back before it may be tried once: far above the
#: seconds in which callers come again by themselves. Each time it has crashed
#: a runner anew, four times as long: 4 tries in the first 85 minutes.
HOLD_S, LONGER, MOST_HOLD_S = 60.0, 4.0, 14_400.0
#: What may be tried is forgotten after this long without a crash.
FORGET_S = 3600.0
#: Suspects that are counted; a gateway tells of 64 at most.
MOST_SUSPECTS = 5000
NEVER_S = float('-inf')


def hold_s(holds: int) -> float:
    """Return for how long a request is held back the n-th time."""
    return min(MOST_HOLD_S, HOLD_S * LONGER ** (holds - 1))


class QuarantineManager:
    """Counts crashes and holds requests back while this one leads."""

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
        #: When each life crashed, by digest.
        self._crashed_s: dict[bytes, dict[tuple, float]] = {}
        #: Crashes up to then are settled; reports of them may still come.
        self._settled_s: dict[bytes, float] = {}
        #: Since when this leader has seen each state of what was held.
        self._since: dict[bytes, tuple[bool, float]] = {}
        #: How many are held back, as it was last told; -1 for never.
        self._told_held = -1

    def begin_term(self) -> None:
        """Forget what another leader may know better."""
        self._crashed_s.clear()
        self._settled_s.clear()
        self._since.clear()
        self._told_held = -1

    async def on_report(
        self, peer: application.Peer, report: messages.CrashReport
    ) -> messages.CrashesTaken:
        """Count crashes; hold back what they prove, free what ended well."""
        self._replica.check_leader()
        now_s = self.app.now_s()
        for digest, age_s in report.good:
            await self._clear(digest, now_s - age_s)
        for crash in report.crashes:
            await self._count(crash, now_s)
        return messages.CrashesTaken()

    async def _clear(self, digest: bytes, good_s: float) -> None:
        """Drop crashes before a good end, and a hold that stood on them.

        One whose crashes this leader does not know stands, but for a trial.
        """
        seen = self._crashed_s.pop(digest, {})
        later = {life: at_s for life, at_s in seen.items() if at_s > good_s}
        self._settle(digest, good_s)
        known = self._machine.quarantine.get(digest)
        if later:
            self._crashed_s[digest] = later
        elif known is not None and (seen or not known.is_held):
            await self._release(digest, is_trial=False, why='ended well')

    def _settle(self, digest: bytes, until_s: float) -> None:
        until_s = max(until_s, self._settled_s.pop(digest, NEVER_S))
        self._settled_s[digest] = until_s
        while len(self._settled_s) > MOST_SUSPECTS:
            del self._settled_s[next(iter(self._settled_s))]

    async def _count(self, crash: quarantines.Crash, now_s: float) -> None:
        known = self._machine.quarantine.get(crash.digest)
        crashed_s = now_s - crash.age_s
        if crashed_s <= self._settled_s.get(crash.digest, NEVER_S):
            return
        is_trial = known is not None and not known.is_held
        seen = self._crashed_s.pop(crash.digest, {})
        is_new = crash.life not in seen
        seen.setdefault(crash.life, crashed_s)
        for life, at_s in list(seen.items()):
            if now_s - at_s >= quarantines.KEPT_S:
                del seen[life]
        self._crashed_s[crash.digest] = seen
        while len(self._crashed_s) > MOST_SUSPECTS:
            del self._crashed_s[next(iter(self._crashed_s))]
        if is_new:
            self.app.metrics.incr('quarantine.suspected')
        # One crash in its trial is enough: it had crashed several before.
        most = 1 if is_trial else quarantines.HOLD_AT
        is_held = known is not None and known.is_held
        if not is_held and len(seen) >= most:
            await self._hold(crash.digest, len(seen))

    async def _hold(self, digest: bytes, crashes: int) -> None:
        command = commands.HoldRequest(digest, crashes, self.app.wall_s())
        held = await self._replica.propose(commands.encode(command))
        self.app.metrics.incr('quarantine.held')
        logger.info(
            'request held back',
            digest=digest.hex(),
            crashes=held.crashes,
            holds=held.holds,
            runners=sorted(
                life[0] for life in self._crashed_s.get(digest, {})
            ),
            for_s=hold_s(held.holds),
        )
        self._push()

    async def _release(self, digest: bytes, is_trial: bool, why: str) -> None:
        command = commands.ReleaseRequest(digest, is_trial, self.app.wall_s())
        await self._replica.propose(commands.encode(command))
        self._crashed_s.pop(digest, None)
        self._settle(digest, self.app.now_s())
        self.app.metrics.incr('quarantine.released')
        logger.info(
            'request released',
            digest=digest.hex(),
            may_be_held_again_at_once=is_trial,
            why=why,
        )
        self._push()

    async def expire(self) -> None:
        """Let what was held back for long be tried, and forget old ones."""
        now_s = self.app.now_s()
        kept = self._machine.quarantine
        for digest in self._since.keys() - kept.keys():
            del self._since[digest]
        for digest, each in list(kept.items()):
            state, since_s = self._since.get(digest, (None, now_s))
            if state != each.is_held:
                state, since_s = each.is_held, now_s
                self._since[digest] = (state, since_s)
            span_s = hold_s(each.holds) if each.is_held else FORGET_S
            if now_s - since_s >= span_s:
                await self._release(digest, each.is_held, 'its time is over')
        held = sum(each.is_held for each in kept.values())
        if held != self._told_held:
            self._told_held = held
            self.app.metrics.gauge('quarantine.now', held)

    async def on_read(
        self, peer: application.Peer, _: messages.ReadQuarantine
    ) -> messages.QuarantineReply:
        """Return all that is or was held back, confirmed by a quorum."""
        await self._replica.confirm()
        return messages.QuarantineReply(
            list(self._machine.quarantine.values())
        )

    async def on_release(
        self, peer: application.Peer, order: messages.Release
    ) -> messages.QuarantineReply:
        """Release a request by an operator's order, once committed.

        :raises NotHeldBack: it is not known.
        """
        await self._replica.confirm()
        if order.digest not in self._machine.quarantine:
            raise errors.NotHeldBack(order.digest.hex())
        await self._release(order.digest, False, 'an operator ordered it')
        return messages.QuarantineReply(
            list(self._machine.quarantine.values())
        )
