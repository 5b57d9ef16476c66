# SPDX-License-Identifier: Apache-2.0

"""Log of decisions about requests with their reasons, for `mountridge ask`."""

import collections
import time
import typing

from mountridge import signals

__all__ = ['Decision', 'DecisionLog']


class Decision(typing.NamedTuple):
    """One decision about one request."""

    at_s: float  # wall clock
    by: str  # process that decided
    request_id: str
    what: str  # admit, place, refuse, retry, run, end, ...
    team: str
    service: str
    row: str  # key of the table row that applies, '' for none
    table_version: int
    code: int  # error code, 0 if nothing was refused
    reason: str


class DecisionLog:
    """The newest ``size`` decisions of this process, in memory."""

    def __init__(self, by: str, size: int):
        self._by = by
        self._ring: collections.deque[Decision] = collections.deque(
            maxlen=size
        )

    def add(
        self,
        request_id: str,
        what: str,
        reason: str,
        *,
        team: str = '',
        service: str = '',
        row: str = '',
        table_version: int = 0,
        code: int = 0,
    ) -> Decision:
        """Record a decision with the current time and return it."""
        record = Decision(
            time.time(),
            self._by,
            request_id,
            what,
            team,
            service,
            row,
            table_version,
            code,
            reason,
        )
        self._ring.append(record)
        signals.decided.send(self, record=record)
        return record

    def find(self, request_id: str, count: int) -> list[dict]:
        """Return the newest ``count`` records of a request, oldest first.

        All requests are included if ``request_id`` is '', all records of
        them if ``count`` is 0.
        """
        matching = [
            record._asdict()
            for record in self._ring
            if not request_id or record.request_id == request_id
        ]
        return matching[-count:] if count else matching
