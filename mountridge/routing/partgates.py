# SPDX-License-Identifier: Apache-2.0

"""Holds back requests with a quarantined part, and sends one as its probe."""

import typing

from mountridge import application, errors
from mountridge.logs import logger
from mountridge.routing import partrecords

__all__ = ['PartGate']


async def _no_probe(key: bytes) -> bool:
    """Take a probe from no leader."""
    return False


class PartGate:
    """Checks requests of one gateway before they are sent."""

    def __init__(
        self, app: application.Application, records: partrecords.PartRecords
    ):
        self._app = app
        self._records = records
        #: Asks the leader for a probe of a quarantined part.
        self.on_probe: typing.Callable[[bytes], typing.Awaitable[bool]] = (
            _no_probe
        )

    async def admit(self, parts: partrecords.Parts, request_id: str) -> bytes:
        """Check that no part of a request's prompt is quarantined.

        A request with one such part may be sent as its probe, one in the
        whole system at a time. Returns the key of what it probes, or b'';
        its use ends with `end`.

        :raises RequestHeldBack: a part is quarantined.
        """
        held = self._records.held(parts, self._app.now_s())
        if not held:
            return b''
        if len(held) > 1 or not await self._take_probe(held[0]):
            raise _held_back(held)
        logger.info(
            'probing a quarantined part',
            request=request_id,
            part=held[0].hex(),
        )
        return held[0]

    async def _take_probe(self, key: bytes) -> bool:
        now_s = self._app.now_s()
        if self._records.claim_probe(key, now_s):
            return True
        if not self._records.may_ask(key, now_s):
            return False
        if not await self.on_probe(key):
            return False
        self._records.add_probe(key, now_s)
        return self._records.claim_probe(key, self._app.now_s())

    def check(self, parts: partrecords.Parts, probe: bytes) -> None:
        """Check again that no part but ``probe`` is quarantined.

        :raises RequestHeldBack: a part is quarantined.
        """
        held = self._records.held(parts, self._app.now_s())
        if held and held != [probe]:
            raise _held_back(held)

    def end(self, probe: bytes) -> None:
        """Record that a request has ended that was sent as a probe, if any."""
        if probe:
            self._records.end_probe(probe)


def _held_back(held: list[bytes]) -> errors.RequestHeldBack:
    keys = ', '.join(key.hex() for key in held)
    return errors.RequestHeldBack(f'with parts that are quarantined as {keys}')
