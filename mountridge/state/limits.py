# SPDX-License-Identifier: Apache-2.0

"""Limits across gateways: each row's limits are divided by demand.

The leader grants shares with each lease. A gateway holds its last granted
share, or more while requests that started under a larger share still run.
The leader counts the larger of the held and the granted share, so the sum
stays within the limit even if a grant is delayed or lost.
"""

import typing

from mountridge.documents import tables
from mountridge import errors, messages

__all__ = ['Apportioner', 'Limiter', 'Usage']

#: Largest burst, in seconds of the rate.
BURST_S = 1.0
#: A row without requests for this long needs no share.
IDLE_S = 10.0


class Usage:
    """Usage of one row by one gateway."""

    def __init__(self, now_s: float) -> None:
        self.running = 0
        self.refused = 0
        self.started = 0
        self.tokens = 1.0
        self.refilled_s = now_s
        self.used_s = now_s


class Limiter:
    """Gateway side: admits requests within the shares that it holds."""

    def __init__(self) -> None:
        self.usage: dict[str, Usage] = {}
        self._last_demand_s = 0.0

    def has_share(self, key: str, shares: dict[str, messages.Share]) -> bool:
        """Return whether requests of row ``key`` may start here."""
        return key in shares and shares[key].concurrency > 0

    def record_waiting(self, key: str, now_s: float) -> None:
        """Count a request that waits for a share of row ``key``."""
        usage = self.usage.setdefault(key, Usage(now_s))
        usage.used_s = now_s
        usage.refused = max(1, usage.refused)

    def _refill(
        self, usage: Usage, share: messages.Share, now_s: float
    ) -> None:
        elapsed_s = max(0.0, now_s - usage.refilled_s)
        usage.refilled_s = now_s
        capacity = max(1.0, share.rate_per_s * BURST_S)
        usage.tokens = min(
            capacity, usage.tokens + elapsed_s * share.rate_per_s
        )

    def admit(
        self, key: str, share: messages.Share | None, now_s: float
    ) -> None:
        """Count a request of row ``key`` as started.

        :raises LimitReached: the share of the row is used up.
        """
        usage = self.usage.setdefault(key, Usage(now_s))
        usage.used_s = now_s
        if share is None or usage.running >= share.concurrency:
            usage.refused += 1
            limit = share.concurrency if share else 0
            raise errors.LimitReached(
                f'row {key}: {usage.running} requests running here, '
                f'concurrency share {limit:g}'
            )
        self._refill(usage, share, now_s)
        if usage.tokens < 1:
            usage.refused += 1
            wait_s = (1 - usage.tokens) / max(share.rate_per_s, 0.001)
            raise errors.LimitReached(
                f'row {key}: rate share {share.rate_per_s:g}/s is used up',
                retry_after_s=wait_s,
            )
        usage.tokens -= 1
        usage.running += 1
        usage.started += 1

    def release(self, key: str) -> None:
        """Count a request of row ``key`` as ended."""
        self.usage[key].running -= 1

    def demand(self, now_s: float) -> list[messages.Share]:
        """Return the concurrency and rate requested since the last call."""
        elapsed_s = max(0.1, now_s - self._last_demand_s)
        self._last_demand_s = now_s
        demand = []
        for key, usage in list(self.usage.items()):
            count = usage.started + usage.refused
            idle = now_s - usage.used_s > IDLE_S
            if not usage.running and not count and idle:
                del self.usage[key]
                continue
            demand.append(
                messages.Share(
                    key, usage.running + usage.refused, count / elapsed_s
                )
            )
            usage.started = 0
            usage.refused = 0
        return demand

    def held(self, shares: dict[str, messages.Share]) -> list[messages.Share]:
        """Return the share of each row that is held until the next grant."""
        rows = shares.keys() | self.usage.keys()
        held = []
        for key in rows:
            share = shares.get(key, messages.Share(key, 0, 0.0))
            usage = self.usage.get(key)
            running = usage.running if usage else 0
            held.append(
                share._replace(concurrency=max(share.concurrency, running))
            )
        return held


class Apportioner:
    """Leader side: divides each row's limits among the lease holders."""

    def __init__(self, quiet_until_s: float):
        self._quiet_until_s = quiet_until_s
        #: gateway -> row -> the largest share that may be in use there.
        self._in_use: dict[str, dict[str, messages.Share]] = {}
        self._demand: dict[str, dict[str, messages.Share]] = {}
        #: row -> (until when, concurrency) that removed gateways reserve.
        self._reserved: dict[str, list[tuple[float, float]]] = {}

    def remove_gateway(
        self,
        gateway: str,
        rows: typing.Mapping[str, tables.Row],
        now_s: float,
    ) -> None:
        """Remove a gateway whose lease has expired.

        Its requests may run until their deadline, so its concurrency stays
        reserved for that long.
        """
        self._demand.pop(gateway, None)
        for key, share in self._in_use.pop(gateway, {}).items():
            if key in rows and share.concurrency:
                until_s = now_s + rows[key].deadline_s
                reserved = self._reserved.setdefault(key, [])
                reserved.append((until_s, share.concurrency))

    def _still_running(self, key: str, now_s: float) -> float:
        """Return the concurrency that removed gateways may still use."""
        reserved = [r for r in self._reserved.get(key, []) if r[0] > now_s]
        self._reserved[key] = reserved
        if not reserved:
            del self._reserved[key]
        return sum(concurrency for _, concurrency in reserved)

    def grant(
        self,
        gateway: str,
        demand: list[messages.Share],
        held: list[messages.Share],
        rows: typing.Mapping[str, tables.Row],
        now_s: float,
    ) -> list[messages.Share]:
        """Return the shares of a gateway that renews its lease.

        Only rows that it requests or holds are considered, so that the cost
        is proportional to the rows in use there. No share grows until the
        leases granted by earlier leaders have expired.
        """
        self._demand[gateway] = {share.row: share for share in demand}
        held_by_row = {share.row: share for share in held}
        shares = []
        in_use = {}
        for key in self._demand[gateway].keys() | held_by_row.keys():
            held_share = held_by_row.get(key, messages.Share(key, 0, 0.0))
            share = messages.Share(key, 0, 0.0)
            if key in rows and key in self._demand[gateway]:
                share = self._share(gateway, rows[key], now_s)
            if now_s < self._quiet_until_s:
                share = messages.Share(
                    key,
                    min(share.concurrency, held_share.concurrency),
                    min(share.rate_per_s, held_share.rate_per_s),
                )
            in_use[key] = _larger(held_share, share)
            if share.concurrency or share.rate_per_s:
                shares.append(share)
        self._in_use[gateway] = in_use
        return shares

    def _share(
        self, gateway: str, row: tables.Row, now_s: float
    ) -> messages.Share:
        key = tables.row_key(row)
        others = [name for name in self._demand if name != gateway]
        used = [
            self._in_use[name][key]
            for name in others
            if key in self._in_use.get(name, {})
        ]
        no_share = messages.Share(key, 0, 0.0)
        demand = [
            self._demand[name].get(key, no_share)
            for name in [gateway] + others
        ]
        free = row.concurrency - sum(share.concurrency for share in used)
        free -= self._still_running(key, now_s)
        free_per_s = row.rate_per_s - sum(s.rate_per_s for s in used)
        fair = _fair_share(row.concurrency, [d.concurrency for d in demand])
        fair_per_s = _fair_share(
            row.rate_per_s, [d.rate_per_s for d in demand]
        )
        # With more gateways than requests allowed, demand gets one each.
        target = int(fair) or min(1, demand[0].concurrency)
        return messages.Share(
            key,
            max(0, min(int(free), target)),
            max(0.0, min(free_per_s, fair_per_s)),
        )


def _larger(one: messages.Share, other: messages.Share) -> messages.Share:
    return messages.Share(
        one.row,
        max(one.concurrency, other.concurrency),
        max(one.rate_per_s, other.rate_per_s),
    )


def _fair_share(limit: float, demand: list[float]) -> float:
    """Return the max-min fair share of the first demand in ``demand``.

    Each gets its demand up to an equal level. A remainder is split evenly
    among all gateways; the shares of gateways without demand stay free, so
    that their first requests need not wait.
    """
    level = limit / len(demand)
    remaining = limit
    for count, requested in enumerate(sorted(demand)):
        level = remaining / (len(demand) - count)
        if requested > level:
            break
        remaining -= requested
    else:
        return demand[0] + remaining / len(demand)
    return min(demand[0], level)
