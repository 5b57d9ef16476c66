# SPDX-License-Identifier: Apache-2.0

"""Holds back requests with a quarantined part, and sends one as its probe."""

import typing

from mountridge import application, errors
from mountridge.logs import logger
from mountridge.routing import partrecords

__all__ = ['PartGate']


Keys = tuple[bytes, ...]


async def _no_probe(keys: Keys) -> bool:
    """Take a probe from no leader."""
    return False


class PartGate:
    """Checks requests of one gateway before they are sent."""

    def __init__(
        self, app: application.Application, records: partrecords.PartRecords
    ):
        self._app = app
        self._records = records
        #: Asks the leader for a probe of quarantined parts.
        self.on_probe: typing.Callable[[Keys], typing.Awaitable[bool]] = (
            _no_probe
        )

    async def admit(self, parts: partrecords.Parts, request_id: str) -> Keys:
        """Check that no part of a request's prompt is quarantined.

        A request with such parts may be sent as their probe, one in the whole
        system at a time. Returns the keys of what it probes; its use ends with
        `end`.

        :raises RequestHeldBack: a part is quarantined.
        """
        held = tuple(self._records.held(parts, self._app.now_s()))
        if not held:
            return ()
        if not await self._take_probe(held):
            raise _held_back(held)
        logger.info(
            'probing quarantined parts',
            request=request_id,
            parts=[key.hex() for key in held],
        )
        return held

    async def _take_probe(self, keys: Keys) -> bool:
        now_s = self._app.now_s()
        if self._records.claim_probe(keys, now_s):
            return True
        if not self._records.may_ask(keys, now_s):
            return False
        if not await self.on_probe(keys):
            return False
        self._records.add_probe(keys, now_s)
        return self._records.claim_probe(keys, self._app.now_s())

    def check(self, parts: partrecords.Parts, probe: Keys) -> None:
        """Check again that no part but those in ``probe`` is quarantined.

        :raises RequestHeldBack: a part is quarantined.
        """
        held = self._records.held(parts, self._app.now_s())
        if not set(held) <= set(probe):
            raise _held_back(held)

    def end(self, probe: Keys) -> None:
        """Record that a request has ended that was sent as a probe, if any."""
        self._records.end_probe(probe)


def _held_back(held: typing.Iterable[bytes]) -> errors.RequestHeldBack:
    keys = ', '.join(key.hex() for key in held)
    return errors.RequestHeldBack(f'with parts that are quarantined as {keys}')
