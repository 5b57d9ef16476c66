# SPDX-License-Identifier: Apache-2.0

"""Records of decisions, each with its reason, for `mountridge ask`."""

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
    row: str  # key of the row that ruled, '' for none
    table_version: int
    code: int  # 0 where nothing was refused
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
        """Record and return a decision made now."""
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
        """Return records of a request, or the newest where it is ''."""
        found = [
            record._asdict()
            for record in self._ring
            if not request_id or record.request_id == request_id
        ]
        return found[-count:] if count else found
