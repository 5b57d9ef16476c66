# SPDX-License-Identifier: Apache-2.0

"""Gates: conditions under which a request may be sent to a runner.

Each gate keeps one kind of state: backoffs, closed groups, quotas. Selection
asks the gates which runners may get a request now, and forwarding records
what is sent and what runners answer, without knowing any of them.
"""

import typing

from mountridge.net import dialects
from mountridge.routing import runnerstates

__all__ = [
    'Announcement', 'Gate', 'NEVER', 'RequestClass', 'SendRecord', 'Sends',
    'sendable',
]  # fmt: skip

Backend = runnerstates.Backend

#: A time that is never reached.
NEVER = float('inf')


class RequestClass(typing.NamedTuple):
    """The properties of a request by which gates tell requests apart."""

    service: str
    priority: int = 0  # 0 is the most urgent
    target_s: float = 0.0  # until the answer or its first event; 0: none
    gap_s: float = 0.0  # longest pause between events; 0: none
    team: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    #: Whether a rank has refused the request or failed before.
    was_refused: bool = False
    #: Whether the caller was refused before and has waited.
    is_returned: bool = False


class Announcement(typing.NamedTuple):
    """What an answer of a runner says of later requests, for the log."""

    text: str
    fields: dict[str, typing.Any]


class SendRecord:
    """One request to a runner, as counted by one gate."""

    __slots__ = ()

    def check(self, now_s: float) -> None:
        """Check right before the first byte that it may still be sent.

        :raises MountridgeError: it may not; nothing is sent.
        """

    def mark_sent(self, now_s: float) -> None:
        """Record that its first bytes are written now."""

    def discard(self) -> None:
        """Stop counting it: the intended runner did not get the request."""

    def record_reply(
        self, head: dialects.ReplyHead, now_s: float
    ) -> list['Announcement']:
        """Record what its answer says of later requests to the runner.

        Returns the changes to log.
        """
        return []

    def end(self, now_s: float) -> None:
        """Record that its outcome is known."""


class Gate:
    """Base of all gates; this one holds back nothing."""

    def is_limiting(self, service: str, now_s: float) -> bool:
        """Return whether requests may have to wait in turn for a runner."""
        return False

    def assigned(
        self, backends: list[Backend], service: str, now_s: float
    ) -> list[Backend]:
        """Return the runners that this gateway may ever send to."""
        return backends

    def earliest_send_s(
        self, backend: Backend, kind: RequestClass, now_s: float
    ) -> float:
        """Return from when a request may be sent; `NEVER` if unknown."""
        return now_s

    def sendable(
        self, backends: list[Backend], kind: RequestClass, now_s: float
    ) -> list[Backend]:
        """Return the runners to which a request may be sent now."""
        return [
            backend
            for backend in backends
            if self.earliest_send_s(backend, kind, now_s) <= now_s
        ]

    def record_sent(
        self, backend: Backend, kind: RequestClass, now_s: float
    ) -> SendRecord | None:
        """Count a request that is about to be sent; None if not counted."""
        return None


class Sends(SendRecord):
    """The records that all gates keep of one request to a runner."""

    __slots__ = ('_records', 'is_sent')

    def __init__(self, records: list[SendRecord]):
        self._records = records
        self.is_sent = False

    def check(self, now_s: float) -> None:
        """Check right before the first byte that it may still be sent.

        :raises MountridgeError: a gate holds it back; nothing is sent.
        """
        for record in self._records:
            record.check(now_s)

    def mark_sent(self, now_s: float) -> None:
        """Record that its first bytes are written now."""
        self.is_sent = True
        for record in self._records:
            record.mark_sent(now_s)

    def discard(self) -> None:
        """Stop counting it: the intended runner did not get the request."""
        for record in self._records:
            record.discard()

    def record_reply(
        self, head: dialects.ReplyHead, now_s: float
    ) -> list[Announcement]:
        """Record what its answer says; return the changes to log."""
        return [
            announcement
            for record in self._records
            for announcement in record.record_reply(head, now_s)
        ]

    def end(self, now_s: float) -> None:
        """Record that its outcome is known; one not sent is discarded."""
        if not self.is_sent:
            self.discard()
        for record in self._records:
            record.end(now_s)


def sendable(
    gates: typing.Iterable[Gate],
    backends: list[Backend],
    kind: RequestClass,
    now_s: float,
) -> list[Backend]:
    """Return the runners to which all ``gates`` let a request be sent now."""
    for gate in gates:
        if not backends:
            break
        backends = gate.sendable(backends, kind, now_s)
    return backends
