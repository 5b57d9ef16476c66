# SPDX-License-Identifier: Apache-2.0

"""Holds requests back from runners that name a limit, by this gateway's share.

`runnerlimits` computes the shares; this gate applies them.
"""

import math
import typing

from mountridge import errors, metrics
from mountridge.documents import instances
from mountridge.net import dialects
from mountridge.routing import runnerlimits, runnerstates, sendgates

__all__ = ['LimitGate']

Backend = runnerstates.Backend


class LimitGate(sendgates.Gate):
    """Applies the limits that runners have named to this gateway."""

    def __init__(
        self,
        limits: runnerlimits.RunnerLimits,
        by_service: typing.Callable[[str], list[Backend]],
        counters: metrics.Metrics,
    ):
        self._limits = limits
        self._by_service = by_service
        self._counters = counters

    def is_limiting(self, service: str, now_s: float) -> bool:
        """Return whether the limits of all runners of a service apply."""
        if not self._limits:
            return False
        backends = self._by_service(service)
        return bool(backends) and all(
            self._limits.is_limited(b.instance, now_s) for b in backends
        )

    def earliest_send_s(
        self,
        backend: Backend,
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> float:
        """Return when this gateway may send a request to a runner."""
        return self._limits.next_send_s(backend.instance, now_s)

    def sendable(
        self,
        backends: list[Backend],
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> list[Backend]:
        """Return the runners that may get a request of this gateway now."""
        if not self._limits:
            return backends
        next_send_s = self._limits.next_send_s
        return [b for b in backends if next_send_s(b.instance, now_s) <= now_s]

    def record_sent(
        self,
        backend: Backend,
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> sendgates.SendRecord:
        """Count a request; the runner may name a limit before it is sent."""
        return _LimitRecord(
            self._limits, self._counters, backend.instance, now_s
        )

    def record_misdirected(
        self, backend: Backend, head: dialects.ReplyHead, now_s: float
    ) -> list[sendgates.Announcement]:
        """Record what a runner answered to a request for another one."""
        # As if sent before any answer: it can't raise a known limit.
        announced = _record_limit(
            self._limits,
            self._counters,
            backend.instance,
            head.limit_per_s,
            float('-inf'),
            now_s,
        )
        self._limits.record_arrival(backend.instance, now_s)
        return announced


class _LimitRecord(sendgates.SendRecord):
    """A request to a runner that may name a limit."""

    def __init__(
        self,
        limits: runnerlimits.RunnerLimits,
        counters: metrics.Metrics,
        runner: instances.Instance,
        now_s: float,
    ):
        self._limits = limits
        self._counters = counters
        self._runner = runner
        self._slot = limits.reserve(runner, now_s)
        self._sent_s = float('-inf')

    def check(self, now_s: float) -> None:
        """Check that the limit of the runner still lets it be sent.

        :raises RunnersLimited: the runner has named a limit, or a lower one,
            since it was selected; nothing is sent.
        """
        if self._slot is None:
            if self._limits.next_send_s(self._runner, now_s) <= now_s:
                self._slot = self._limits.reserve(self._runner, now_s)
                return
        elif self._limits.may_send(self._runner, self._slot, now_s):
            return
        self._counters.incr('limit.held_back')
        raise errors.RunnersLimited(
            'the runner names a limit since it was selected'
        )

    def mark_sent(self, now_s: float) -> None:
        """Record that its first bytes are written now."""
        self._sent_s = now_s

    def discard(self) -> None:
        """Stop counting it: the intended runner did not get the request."""
        if self._slot is not None:
            self._slot.release()

    def record_reply(
        self, head: dialects.ReplyHead, now_s: float
    ) -> list[sendgates.Announcement]:
        """Record the limit that the answer names, or that it names none."""
        return _record_limit(
            self._limits,
            self._counters,
            self._runner,
            head.limit_per_s,
            self._sent_s,
            now_s,
        )


def _record_limit(
    limits: runnerlimits.RunnerLimits,
    counters: metrics.Metrics,
    runner: instances.Instance,
    per_s: float | None,
    sent_s: float,
    now_s: float,
) -> list[sendgates.Announcement]:
    """Apply the limit of an answer; return the change to log, if any."""
    if per_s is not None and math.isnan(per_s):
        counters.incr('runner.malformed.limit')
        if not limits.mark_malformed(runner):
            return []
        return [sendgates.Announcement('runner named a malformed limit', {})]
    if runnerlimits.is_unlimited(per_s):
        if not limits.end_limit(runner, sent_s, now_s):
            return []
        counters.incr('limit.ended')
        counters.gauge('limit.runners', limits.count_named())
        return [sendgates.Announcement('runner names no limit any more', {})]
    if not limits.name_limit(runner, per_s, sent_s, now_s):
        return []
    counters.incr('limit.named')
    counters.gauge('limit.runners', limits.count_named())
    return [
        sendgates.Announcement('runner named a limit', {'limit_per_s': per_s})
    ]
