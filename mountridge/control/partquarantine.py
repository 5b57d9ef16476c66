# SPDX-License-Identifier: Apache-2.0

"""Quarantine of parts of prompts that crash their runners, on the leader.

The evidence of all gateways is kept in memory; the gateways report it again to
a new leader. The quarantined parts are replicated with the quarantined
requests. A part is probed by one request at a time: the grant is committed
before it is given, so no leader after this one grants the same probe again.
"""

import typing

import trio

from mountridge import application, errors, messages
from mountridge.consensus import replicas
from mountridge.documents import promptparts, quarantines
from mountridge.logs import logger
from mountridge.routing import partrecords
from mountridge.state import commands, partevidence, statemachine

__all__ = ['PartQuarantine']

#: After a granted probe without a result the part is quarantined again. Longer
#: than a gateway may use it, plus its last request.
PROBE_RESULT_S = partrecords.PROBE_S + 15.0
#: Time for the reports of other gateways on the same crash, which show who
#: else had requests there. Suspects wait for it before they are retried.
GATHER_S = 0.05


class PartQuarantine:
    """Quarantines and releases parts while this controller leads."""

    def __init__(
        self,
        app: application.Application,
        machine: statemachine.StateMachine,
        replica: replicas.Replica,
        push: typing.Callable[[], None],
    ):
        self._app = app
        self._machine = machine
        self._replica = replica
        self._push = push
        self._evidence = partevidence.PartEvidence()
        #: By key: whether it is held, and since when this leader has seen it
        #: in that state.
        self._since: dict[bytes, tuple[bool, float]] = {}
        #: Keys with a change that is being committed.
        self._changing: set[bytes] = set()

    def begin_term(self) -> None:
        """Discard the evidence of earlier terms; gateways report it again."""
        self._evidence.clear()
        self._since.clear()
        self._changing.clear()

    def _entries(self) -> dict[bytes, quarantines.QuarantinedRequest]:
        return {
            key: entry
            for key, entry in self._machine.quarantine.items()
            if promptparts.is_part(key)
        }

    async def on_report(
        self, peer: application.Peer, report: messages.PartReport
    ) -> messages.CrashReportReply:
        """Apply a gateway's report; reply once its results are committed."""
        self._replica.check_leader()
        now_s = self._app.now_s()
        entries = self._entries()
        self._refresh(entries, now_s)
        for part, age_s in report.successes:
            self._evidence.record_success(part, now_s - age_s)
        released = [
            key
            for key in entries
            if self._is_cleared(key, dict(report.successes), now_s)
        ]
        for key in released:
            await self._release(key, 'succeeded')
        # Others may have been released or quarantined meanwhile.
        entries = self._entries()
        self._refresh(entries, now_s)
        again, is_new = set(), False
        for crash in report.crashes:
            crashed_s = now_s - crash.age_s
            if self._evidence.record_crash(crash, crashed_s):
                is_new = True
                self._app.metrics.incr('quarantine.parts_suspected')
                again |= self._failed_probes(crash, crashed_s, entries)
        for key in again - set(released):
            await self._release_explained(key, entries, now_s)
            await self._quarantine(key, 1, self._app.wall_s())
        if is_new or released:
            await trio.sleep(GATHER_S)
            await self._apply_verdicts(self._app.now_s())
        return messages.CrashReportReply()

    async def _release_explained(
        self,
        failed: bytes,
        entries: dict[bytes, quarantines.QuarantinedRequest],
        now_s: float,
    ) -> None:
        """Release parts whose crashes a failed probe of another explains."""
        by = {promptparts.part_of(failed)}
        for key, entry in entries.items():
            part = promptparts.part_of(key)
            is_known = part not in by and self._evidence.has_crashes(part)
            if not entry.is_held or not is_known:
                continue
            if self._evidence.is_explained(part, by, now_s):
                await self._release(key, 'explained by another part')

    def _is_cleared(
        self, key: bytes, ages_s: dict[bytes, float], now_s: float
    ) -> bool:
        """Return whether a success in a report releases a part.

        One after the part was quarantined does, and one that leaves too few
        crashes of those that are known. A quarantine whose crashes this leader
        does not know stays in force otherwise.
        """
        part = promptparts.part_of(key)
        if part not in ages_s:
            return False
        _, since_s = self._since[key]
        if now_s - ages_s[part] > since_s:
            return True
        is_known = self._evidence.has_crashes(part)
        return is_known and not self._evidence.is_suspect(part, now_s)

    def _failed_probes(
        self,
        crash: promptparts.PartCrash,
        crashed_s: float,
        entries: dict[bytes, quarantines.QuarantinedRequest],
    ) -> set[bytes]:
        """Return the keys of probes that ended with a crash."""
        found = set()
        for team in (crash.team, promptparts.ALL_TEAMS):
            key = promptparts.part_key(crash.part, team)
            entry = entries.get(key)
            if entry is None or entry.is_held:
                continue
            if crashed_s > self._since[key][1]:
                found.add(key)
        return found

    async def _apply_verdicts(self, now_s: float) -> None:
        held = set(self._entries()) | self._changing
        wall_s = self._app.wall_s()
        for verdict in self._evidence.verdicts(held, now_s):
            await self._quarantine(verdict.key, verdict.crashes, wall_s)

    async def on_take_probe(
        self, peer: application.Peer, order: messages.TakeProbe
    ) -> messages.ProbeReply:
        """Grant a probe of a part whose wait is over, one at a time."""
        self._replica.check_leader()
        now_s = self._app.now_s()
        entries = self._entries()
        self._refresh(entries, now_s)
        is_free = not self._changing and all(
            each.is_held for each in entries.values()
        )
        if not is_free or not self._may_probe(order.keys, entries, now_s):
            return messages.ProbeReply(False)
        self._changing.update(order.keys)
        try:
            for key in order.keys:
                wall_s = self._app.wall_s()
                command = commands.ReleaseRequest(key, True, wall_s)
                await self._commit(key, command)
        finally:
            self._changing.difference_update(order.keys)
        logger.info(
            'probe of parts granted',
            parts=[key.hex() for key in order.keys],
            to=peer.name,
        )
        return messages.ProbeReply(True)

    def _may_probe(
        self,
        keys: list[bytes],
        entries: dict[bytes, quarantines.QuarantinedRequest],
        now_s: float,
    ) -> bool:
        """Return whether the wait of all these parts is over."""
        if not keys or not entries.keys() >= set(keys):
            return False
        if not partrecords.may_tell_apart(keys, entries):
            return False
        return all(
            now_s - self._since[key][1]
            >= partrecords.probe_wait_s(key, entries)
            for key in keys
        )

    async def _commit(
        self, key: bytes, command: commands.Command
    ) -> typing.Any:
        self._changing.add(key)
        try:
            reply = await self._replica.propose(commands.encode(command))
        finally:
            self._changing.discard(key)
        self._refresh(self._entries(), self._app.now_s())
        self._push()
        return reply

    async def _quarantine(
        self, key: bytes, crashes: int, wall_s: float
    ) -> None:
        """Quarantine a part; those of one decision have the same time."""
        command = commands.QuarantineRequest(key, crashes, wall_s)
        entry = await self._commit(key, command)
        # The part may have been released again since its commit.
        listed = {**self._entries(), key: entry}
        self._app.metrics.incr('quarantine.parts_held')
        logger.info(
            'part quarantined',
            part=key.hex(),
            is_for_all_teams=key.endswith(promptparts.ALL_TEAMS),
            crashes=entry.crashes,
            holds=entry.holds,
            probe_after_s=partrecords.probe_wait_s(key, listed),
        )

    async def _release(self, key: bytes, why: str) -> None:
        command = commands.ReleaseRequest(key, False, self._app.wall_s())
        await self._commit(key, command)
        self._app.metrics.incr('quarantine.parts_released')
        logger.info('part released from quarantine', part=key.hex(), why=why)

    async def release(self, key: bytes) -> None:
        """Release a part on an operator's order."""
        now_s = self._app.now_s()
        self._evidence.record_success(promptparts.part_of(key), now_s)
        await self._release(key, 'ordered by an operator')

    def _refresh(
        self,
        entries: dict[bytes, quarantines.QuarantinedRequest],
        now_s: float,
    ) -> None:
        """Record since when each part has been in its state."""
        for key in self._since.keys() - entries.keys():
            del self._since[key]
        for key, entry in entries.items():
            was_held, _ = self._since.get(key, (None, 0.0))
            if was_held != entry.is_held:
                self._since[key] = (entry.is_held, now_s)

    async def expire(self) -> None:
        """Quarantine parts again whose probe has had no result."""
        now_s = self._app.now_s()
        self._refresh(self._entries(), now_s)
        for key in list(self._since):
            if key in self._changing or not self._is_overdue(key, now_s):
                continue
            try:
                await self._quarantine(key, 0, self._app.wall_s())
            except errors.MountridgeError as problem:
                logger.debug('part not held', reason=str(problem))

    def _is_overdue(self, key: bytes, now_s: float) -> bool:
        """Return whether a part's probe is still without a result."""
        is_held, since_s = self._since.get(key, (True, now_s))
        return not is_held and now_s - since_s >= PROBE_RESULT_S
