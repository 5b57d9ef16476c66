# SPDX-License-Identifier: Apache-2.0

"""One caller's request and its answer, as the gateway's filters see it."""

import typing

from mountridge.documents import tables

__all__ = ['Exchange']


class Exchange:
    """State of one request on its way through the filter chain."""

    def __init__(
        self,
        request_id: str,
        team: str,
        service: str,
        path: str,
        body: bytes,
        key: str,
        now_s: float,
    ):
        self.request_id = request_id
        self.team = team
        self.service = service
        self.path = path
        self.body = body
        self.key = key
        self.begun_s = now_s
        self.deadline_at_s = now_s
        self.row: tables.Row | None = None
        self.groups: set[str] = set()
        self.table_version = 0
        self.prefix = ''
        self.tries = 0
        #: An earlier sending with the same key may have run, for all that
        #: is known here; cleared by the answer to a claim.
        self.may_have_run = False
        #: Agents that failed this request; others go first.
        self.tried: set[str] = set()
        self.streamed = False
        #: Run once, in reverse order, when the exchange is over.
        self.cleanups: list[typing.Callable[[], None]] = []

    def left_s(self, now_s: float) -> float:
        """Return the time left before the deadline."""
        return self.deadline_at_s - now_s

    def close(self) -> None:
        """Give back what the filters took."""
        while self.cleanups:
            self.cleanups.pop()()
