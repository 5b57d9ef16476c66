# SPDX-License-Identifier: Apache-2.0

"""Holds requests back from runners that back off or are leaving."""

import math

from mountridge import errors, metrics
from mountridge.net import dialects
from mountridge.routing import backoffs, runnerstates, sendgates

__all__ = ['BackoffGate']

Backend = runnerstates.Backend


class BackoffGate(sendgates.Gate):
    """Applies the backoffs and departures that runners have announced.

    Neither is part of a runner's registration or its load: without this gate,
    a runner that refuses all requests would seem the least loaded one.
    """

    def __init__(self, states: backoffs.Backoffs, counters: metrics.Metrics):
        self._states = states
        self._counters = counters

    def earliest_send_s(
        self,
        backend: Backend,
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> float:
        """Return when the backoff of a runner ends.

        `NEVER` where it leaves, or where the outcome of a probe request
        decides whether it gets more.
        """
        if self._states.may_select(backend.instance, now_s):
            return now_s
        until_s = self._states.until_s(backend.instance)
        return until_s if until_s > now_s else sendgates.NEVER

    def sendable(
        self,
        backends: list[Backend],
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> list[Backend]:
        """Return the runners that neither back off nor wait for a probe."""
        if not self._states:
            return backends
        may_select = self._states.may_select
        return [b for b in backends if may_select(b.instance, now_s)]

    def first_end_s(
        self, backends: list[Backend], now_s: float
    ) -> float | None:
        """Return when the first backoff of a runner ends; None if none."""
        if not self._states:
            return None
        return min(
            (
                max(now_s, self._states.until_s(backend.instance))
                for backend in backends
                if not self._states.may_select(backend.instance, now_s)
            ),
            default=None,
        )

    def record_sent(
        self,
        backend: Backend,
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> sendgates.SendRecord:
        """Count a request, which may be the probe after a backoff."""
        return _BackoffRecord(self._states, self._counters, backend)


class _BackoffRecord(sendgates.SendRecord):
    """A request to a runner that may back off, and may be its probe."""

    def __init__(
        self,
        states: backoffs.Backoffs,
        counters: metrics.Metrics,
        backend: Backend,
    ):
        self._states = states
        self._counters = counters
        self._backend = backend
        self._is_probe = states.begin_request(backend.instance)

    def check(self, now_s: float) -> None:
        """Check that the runner does not back off since its selection.

        :raises RunnersResting: the runner is backing off or leaving; nothing
            is sent.
        """
        if not self._states.may_send(self._backend.instance, now_s):
            self._counters.incr('rest.held_back')
            raise errors.RunnersResting(
                'the runner is backing off or leaving since it was selected'
            )

    def record_reply(
        self, head: dialects.ReplyHead, now_s: float
    ) -> list[sendgates.Announcement]:
        """Record a backoff or departure that an answer announces."""
        announced = []
        runner = self._backend.instance
        if head.backoff_s is not None:
            until_s = self._states.back_off(runner, head.backoff_s, now_s)
            self._counters.incr('rest.asked')
            if math.isnan(head.backoff_s):
                self._counters.incr('runner.malformed.rest')
            announced.append(
                sendgates.Announcement(
                    'runner requested a backoff',
                    {'rest_ms': round((until_s - now_s) * 1000, 1)},
                )
            )
        if head.is_leaving and self._states.mark_leaving(runner):
            self._counters.incr('runner.says_leaving')
            announced.append(
                sendgates.Announcement(
                    'runner announced that it is leaving',
                    {'held_state': runner.state},
                )
            )
        return announced

    def end(self, now_s: float) -> None:
        """Record that the outcome of the request is known."""
        if self._is_probe:
            self._states.end_probe(self._backend.instance)
