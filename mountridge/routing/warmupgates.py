# SPDX-License-Identifier: Apache-2.0

"""Holds requests back from runners that can be cold, by this gateway's quota.

`warmup` computes the quotas; this gate applies them to the known runners.
"""

import typing

from mountridge.routing import runnerstates, sendgates, warmup

__all__ = ['WarmupGate']

Backend = runnerstates.Backend


class WarmupGate(sendgates.Gate):
    """Applies a gateway's quotas for runners that can be cold."""

    def __init__(
        self,
        limiter: warmup.WarmupLimiter,
        by_service: typing.Callable[[str], list[Backend]],
    ):
        self._limiter = limiter
        self._by_service = by_service
        #: Ids of the runners owned by this gateway, by service, and the
        #: generation of their assignment.
        self._owned_ids: dict[str, frozenset[str]] = {}
        self._owned_generation = 0

    def runners_changed(self) -> None:
        """Find the owned runners again at the next request."""
        self._owned_ids.clear()

    def is_limiting(self, service: str, now_s: float) -> bool:
        """Return whether the runners of a service can be cold."""
        return self._limiter.is_limited(service)

    def assigned(
        self, backends: list[Backend], service: str, now_s: float
    ) -> list[Backend]:
        """Return the runners that this gateway owns."""
        if not self._limiter.is_limited(service):
            return backends
        owned = self._owned(service, now_s)
        return [b for b in backends if b.instance.instance_id in owned]

    def earliest_send_s(
        self,
        backend: Backend,
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> float:
        """Return when this gateway has quota left for a runner."""
        if not self._limiter.is_limited(kind.service):
            return now_s
        return self._limiter.earliest_send_s([backend.instance], 0, now_s)

    def sendable(
        self,
        backends: list[Backend],
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> list[Backend]:
        """Return the runners for which this gateway has quota left."""
        if not self._limiter.is_limited(kind.service):
            return backends
        has_quota_left = self._limiter.has_quota_left
        return [b for b in backends if has_quota_left(b.instance, now_s)]

    def record_sent(
        self,
        backend: Backend,
        kind: sendgates.RequestClass,
        now_s: float,
    ) -> sendgates.SendRecord:
        """Count a request in the current window."""
        return self._limiter.record_send(backend.instance, now_s)

    def _owned(self, service: str, now_s: float) -> frozenset[str]:
        """Return the ids of runners of which this gateway is an owner.

        Cached until gateways or runners change: a lookup per runner and
        request would take a large part of the time of a selection.
        """
        generation = self._limiter.generation(now_s)
        if self._owned_generation != generation:
            self._owned_generation = generation
            self._owned_ids.clear()
        if service not in self._owned_ids:
            self._owned_ids[service] = frozenset(
                backend.instance.instance_id
                for backend in self._by_service(service)
                if self._limiter.quota(backend.instance, now_s)
            )
        return self._owned_ids[service]
