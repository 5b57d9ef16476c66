# SPDX-License-Identifier: Apache-2.0

"""Tracks which groups of ranks accept requests, from reports and answers."""

from mountridge.routing import runnerregistry, runnerstates, sendgates

__all__ = ['GroupTracker']

Backend = runnerstates.Backend


class GroupTracker(sendgates.Gate):
    """Holds requests back from ranks of closed groups."""

    def __init__(self, registry: runnerregistry.RunnerRegistry):
        self._registry = registry
        #: Since when all runners of a service are closed.
        self._closed_since_s: dict[str, float] = {}

    # As a gate.

    def earliest_send_s(
        self,
        backend: Backend,
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> float:
        """Return ``now_s`` if the group is open; else `NEVER`."""
        if backend.group_state.is_closed(now_s, kind.was_refused):
            return sendgates.NEVER
        return now_s

    def sendable(
        self,
        backends: list[Backend],
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> list[Backend]:
        """Return the ranks of groups that are not closed."""
        was_refused = kind.was_refused
        return [
            backend
            for backend in backends
            if not backend.group_state.is_closed(now_s, was_refused)
        ]

    # What reports and answers show.

    def record_report(
        self, backend: Backend, is_open: bool, now_s: float
    ) -> None:
        """Record the group state in a report of a rank's sidecar."""
        if backend.group_state.record_report(is_open, now_s):
            self._group_opened(backend)

    def record_refusal(self, backend: Backend, now_s: float) -> None:
        """Record that a rank did not run a request.

        A rank with free slots refuses because its group is closed, or because
        another runner uses its address now, which closes the group until
        that one has joined. The refusal then counts for all known ranks of
        the group; ranks whose group is unknown count as one group.
        """
        is_full = backend.reported_requests >= backend.instance.slots
        if is_full and not backend.replaced:
            return
        if not self._registry.is_current(backend):
            return
        for other in self._ranks_in_group(backend):
            other.group_state.record_refusal(now_s)

    def record_acceptance(self, backend: Backend, now_s: float) -> None:
        """Record that a rank has accepted a request: its group is open."""
        state = backend.group_state
        if state.is_known and not state.is_closed(now_s, True):
            return
        for other in self._ranks_in_group(backend):
            other.group_state.record_report(True, now_s)
        self._group_opened(backend)

    def _group_opened(self, backend: Backend) -> None:
        self._closed_since_s.pop(backend.instance.service, None)
        self._registry.wake_waiters()

    def _ranks_in_group(self, backend: Backend) -> list[Backend]:
        """Return the known ranks of a rank's group, itself among them."""
        return [
            other
            for other in self._registry.of_service(backend.instance.service)
            if other.group == backend.group
        ]

    # State of a whole service.

    def is_probing(self, service: str) -> bool:
        """Return whether one request is probing the ranks of a service.

        The view of a process that has just started may be older than all
        runners, for example after a loss of all power. Until a report or an
        answer arrives, one request is sent and the others wait: if all were
        sent, their retries would use up the retry budget of all gateways.
        """
        listed = self._registry.of_service(service)
        if any(backend.group_state.is_known for backend in listed):
            return False
        return any(backend.own_requests for backend in listed)

    def closed_for_s(self, service: str, now_s: float) -> float | None:
        """Return for how long all groups of a service have been closed.

        None if one is open, or if the service has no runner.
        """
        listed = self._registry.of_service(service)
        if not listed or not all(
            backend.group_state.is_closed(now_s, was_refused=True)
            for backend in listed
        ):
            self._closed_since_s.pop(service, None)
            return None
        return now_s - self._closed_since_s.setdefault(service, now_s)
