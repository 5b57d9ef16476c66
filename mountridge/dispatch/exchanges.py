# SPDX-License-Identifier: Apache-2.0

"""The state of one caller's request in the gateway."""

import typing

from mountridge.dispatch import attempts
from mountridge.documents import tables
from mountridge.routing import partrecords

__all__ = ['Exchange']


class Exchange:
    """One request, from the filter chain to the end of its answer."""

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
        self.started_s = now_s
        self.deadline_at_s = now_s
        self.row: tables.Row | None = None
        self.groups: set[str] = set()
        self.table_version = 0
        self.prefix = ''
        #: Ids of the parts of its prompt that others may share.
        self.shared_parts: tuple[bytes, ...] = ()
        #: The same as they are recorded, and the digest of the request.
        self.parts, self.digest = partrecords.Parts(), b''
        #: Keys of the quarantined parts that it probes.
        self.probe: tuple[bytes, ...] = ()
        #: The newest attempt, and the start of its agent's process.
        self.attempt: attempts.Attempt | None = None
        self.agent_incarnation = ''
        self.attempts = 0
        #: An earlier request with the same key may have run. Cleared when
        #: a reply to a claim rules it out.
        self.may_have_run = False
        #: Agents selected in earlier attempts; others are preferred.
        self.attempted_agents: set[str] = set()
        self.streamed = False
        #: Called once each, in reverse order, by `close`.
        self.cleanups: list[typing.Callable[[], None]] = []

    def time_left_s(self, now_s: float) -> float:
        """Return the time left before the deadline."""
        return self.deadline_at_s - now_s

    def close(self) -> None:
        """Release what the filters reserved for the request."""
        while self.cleanups:
            self.cleanups.pop()()
