# SPDX-License-Identifier: Apache-2.0

"""Limits the requests that a runner that can be cold gets from all gateways.

A cold runner sustains few requests a second and fails above that. It may turn
cold at any moment, and gateways learn of it seconds later, or never while they
are partitioned. So the limit always applies to each runner of such a service,
and needs no messages: each runner has owners among the gateways, chosen by
rendezvous hashing of names, and each owner may send a quota of requests in a
window. The quotas of all owners add up to at most half of the limit. While
gateways hold two different views of the gateways, two sets of owners may send;
docs/design/warmup.md bounds how much further they may differ.
"""

import collections
import typing

from mountridge.documents import instances
from mountridge.net import lasthop
from mountridge.routing import gatewaysets, sendgates

__all__ = [
    'NEVER', 'Quotas', 'SendRecord', 'WINDOW_S', 'WarmupLimiter',
    'compute_quotas',
]  # fmt: skip

#: Sends are limited in each second. A little longer, since the bytes of two
#: sends may leave a busy box closer together than they were written.
WINDOW_S = 1.05
#: A send is counted from when it is decided, at the latest time at which it
#: may be sent: a connection that is not made by then is abandoned.
MAX_SEND_DELAY_S = lasthop.CONNECT_S
#: How long views may lag behind leases. For a lease and this time after its
#: start a gateway sends at most one request to a runner in a window: its first
#: view may lack gateways that start with it, after the loss of a hall all but
#: itself. It has them at most 2 s after their leases are known.
VIEW_DELAY_S = 2.0
#: The primary owner gets at least one in this many of the requests that all
#: owners may send. It fills the runner first, and knows its own requests there
#: without a report.
PRIMARY_DIVISOR = 4
#: How often runners without recent sends are dropped.
PURGE_S = 30.0
NEVER = sendgates.NEVER


class Quotas(typing.NamedTuple):
    """Requests in one window to one runner, by role of the gateway."""

    primary: int  # of its primary owner, which is in its hall
    secondary: int  # of each other owner
    local_owners: int  # other owners in its hall
    remote_owners: int  # owners in other halls


def compute_quotas(limit_per_s: float, local: int, remote: int) -> Quotas:
    """Return the quotas that divide half of ``limit_per_s``.

    ``local`` gateways are in the hall of the runner and ``remote`` elsewhere.
    Few gateways all own each runner. Of many, half of the owners are in
    other halls, so that no loss of a hall takes all of them; for a limit
    below 4 there is a single owner.
    """
    half = max(1, int(limit_per_s) // 2)
    if not local:
        return Quotas(0, max(1, half // max(1, remote)), 0, min(half, remote))
    others = max(1, local + remote - 1)
    primary = max(1, half // PRIMARY_DIVISOR, half // (others + 1))
    remaining = half - primary
    if others <= remaining:
        return Quotas(primary, remaining // others, local, remote)
    if not remote:
        return Quotas(primary, 1, remaining, 0)
    return Quotas(primary, 1, remaining // 2, remaining - remaining // 2)


class SendRecord(sendgates.SendRecord):
    """One request to a runner, and when it is sent at the latest."""

    __slots__ = ('at_s',)

    def __init__(self, at_s: float):
        self.at_s = at_s

    def mark_sent(self, now_s: float) -> None:
        """Record that its first bytes are written now."""
        self.at_s = now_s

    def discard(self) -> None:
        """Stop counting it: the intended runner did not get the request."""
        self.at_s = float('-inf')


class WarmupLimiter:
    """Quotas of one gateway for runners that can be cold, and their use."""

    def __init__(
        self,
        name: str = '',
        hall: str = '',
        over: float = 1.0,
        slack: float = 0.0,
        started_s: float = float('-inf'),
        lease_s: float = 3.0,
    ):
        self._gateways = gatewaysets.GatewaySet(name, hall)
        self._over, self._slack = over, slack
        #: Sends of a previous incarnation of this process in its last second
        #: count too, and are not known.
        self._quiet_until_s = started_s + WINDOW_S
        self._settled_s = started_s + lease_s + VIEW_DELAY_S
        self._limits_per_s: dict[str, float] = {}
        #: Sends in a window, by id, service and hall of a runner; 0 for those
        #: of other owners.
        self._quotas: dict[tuple[str, str, str], int] = {}
        self._primary: set[tuple[str, str, str]] = set()
        self._generation = 1
        self._sends: dict[str, collections.deque[SendRecord]] = {}
        self._purged_s = float('-inf')

    # Updates of routes and of the view.

    def update_services(self, cold_per_s: dict[str, float]) -> None:
        """Update what a cold runner sustains, in requests/s by service.

        0 stands for any number: such a service is not limited.
        """
        self._limits_per_s = {
            service: per_s * self._over + self._slack
            for service, per_s in cold_per_s.items()
            if per_s > 0
        }
        self._reassign()

    def update_gateways(self, halls: dict[str, str], now_s: float) -> None:
        """Update the halls of all gateways that may send, by name."""
        if self._gateways.update(halls, now_s):
            self._reassign()

    def _reassign(self) -> None:
        """Begin a new assignment of owners; quotas are computed on demand."""
        self._generation += 1
        self._quotas.clear()
        self._primary.clear()

    # Ownership.

    def is_limited(self, service: str) -> bool:
        """Return whether the runners of a service can be cold."""
        return service in self._limits_per_s

    def generation(self, now_s: float) -> int:
        """Return the assignment generation; it differs once quotas change."""
        if self._gateways.expire(now_s):
            self._reassign()
        return self._generation

    def quota(self, runner: instances.Instance, now_s: float) -> int:
        """Return how many requests this gateway may send it in a window.

        0 where it has other owners, as of the last call of `generation`.
        """
        found = self._quotas.get(_ownership_key(runner))
        if found is None:
            found = self._find_quota(runner)
            self._quotas[_ownership_key(runner)] = found
        return found if now_s >= self._settled_s else min(1, found)

    def is_primary(self, runner: instances.Instance) -> bool:
        """Return whether this gateway is its primary owner.

        Valid only after a call of `quota` for the runner.
        """
        return _ownership_key(runner) in self._primary

    def _find_quota(self, runner: instances.Instance) -> int:
        gateways, runner_id = self._gateways, runner.instance_id
        is_local = gateways.hall == runner.hall
        halls = gateways.halls.items()
        local = [name for name, hall in halls if hall == runner.hall]
        remote = [name for name, hall in halls if hall != runner.hall]
        quotas = compute_quotas(
            self._limits_per_s[runner.service], len(local), len(remote)
        )
        own = gatewaysets.weigh(gateways.name, runner_id)
        rank = sum(
            gatewaysets.weigh(name, runner_id) > own
            for name in (local if is_local else remote)
        )
        if not is_local:
            return quotas.secondary if rank < quotas.remote_owners else 0
        if rank == 0:
            self._primary.add(_ownership_key(runner))
            return quotas.primary
        return quotas.secondary if rank <= quotas.local_owners else 0

    # Sends.

    def has_quota_left(self, runner: instances.Instance, now_s: float) -> bool:
        """Return whether an owned runner may get one more request now."""
        if now_s < self._quiet_until_s:
            return False
        if runner.instance_id not in self._sends:
            return True
        quota = self.quota(runner, now_s)
        sent_s = self._last_sends_s(runner, quota)
        return len(sent_s) < quota or sent_s[0] + WINDOW_S <= now_s

    def _last_sends_s(
        self, runner: instances.Instance, count: int
    ) -> list[float]:
        """Return the times of the last ``count`` sends to it, in order."""
        sends = self._sends.get(runner.instance_id)
        if not sends:
            return []
        return sorted(send.at_s for send in sends)[-count:]

    def earliest_send_s(
        self, runners: list[instances.Instance], ahead: int, now_s: float
    ) -> float:
        """Return when a request with ``ahead`` requests before it can be sent.

        `NEVER` where this gateway owns none of the ``runners``.
        """
        slots_s: list[float] = []
        for runner in runners:
            quota = self.quota(runner, now_s)
            if quota:
                sent_s = self._last_sends_s(runner, quota)
                slots_s += [at_s + WINDOW_S for at_s in sent_s]
                slots_s += [now_s] * (quota - len(sent_s))
        if not slots_s:
            return NEVER
        windows, slot = divmod(ahead, len(slots_s))
        first_s = max(self._quiet_until_s, now_s, sorted(slots_s)[slot])
        return first_s + windows * WINDOW_S

    def record_send(
        self, runner: instances.Instance, now_s: float
    ) -> SendRecord:
        """Count a request that is about to be sent, and return its record."""
        record = SendRecord(now_s + MAX_SEND_DELAY_S)
        if runner.service not in self._limits_per_s:
            return record
        if now_s - self._purged_s > PURGE_S:
            self._purge(now_s)
        sends = self._sends.setdefault(runner.instance_id, collections.deque())
        while sends and sends[0].at_s <= now_s - WINDOW_S:
            sends.popleft()
        sends.append(record)
        return record

    def _purge(self, now_s: float) -> None:
        """Drop runners whose sends all lie before the current window."""
        self._purged_s = now_s
        self._sends = {
            key: sends
            for key, sends in self._sends.items()
            if any(send.at_s > now_s - WINDOW_S for send in sends)
        }


def _ownership_key(runner: instances.Instance) -> tuple[str, str, str]:
    """Return what determines the owners of a runner, besides the gateways."""
    return runner.instance_id, runner.service, runner.hall
