# SPDX-License-Identifier: Apache-2.0

"""Limits across gateways: shares of each row's limits that follow demand.

The leader hands out shares with each lease. A gateway holds what it was
last granted, or more while requests begun under a larger share still run;
the leader counts the larger of what is held and what it grants, so the sum
stays within the limit while any grant is on its way, lost or late.
"""

import typing

from mountridge.documents import tables
from mountridge import errors, messages

__all__ = ['Apportioner', 'Limiter', 'Usage']

#: Seconds of a rate that may be used at once after a pause.
BURST_S = 1.0
#: A row with no requests for this long needs no share.
IDLE_S = 10.0


class Usage:
    """What one gateway uses and wants of one row."""

    def __init__(self, now_s: float) -> None:
        self.running = 0
        self.refused = 0
        self.begun = 0
        self.tokens = 1.0
        self.refilled_s = now_s
        self.used_s = now_s


class Limiter:
    """The gateway's side: admits requests within the shares it holds."""

    def __init__(self) -> None:
        self.usage: dict[str, Usage] = {}
        self._asked_s = 0.0

    def has_share(self, key: str, shares: dict[str, messages.Share]) -> bool:
        """Return whether requests of row ``key`` can be begun here."""
        return key in shares and shares[key].concurrency > 0

    def record_waiting(self, key: str, now_s: float) -> None:
        """Count a request that waits for a share of row ``key``."""
        usage = self.usage.setdefault(key, Usage(now_s))
        usage.used_s = now_s
        usage.refused = max(1, usage.refused)

    def _refill(
        self, usage: Usage, share: messages.Share, now_s: float
    ) -> None:
        passed_s = max(0.0, now_s - usage.refilled_s)
        usage.refilled_s = now_s
        most = max(1.0, share.rate_per_s * BURST_S)
        usage.tokens = min(most, usage.tokens + passed_s * share.rate_per_s)

    def admit(
        self, key: str, share: messages.Share | None, now_s: float
    ) -> None:
        """Count a request of row ``key`` as begun.

        :raises LimitReached: the share of the row is used up.
        """
        usage = self.usage.setdefault(key, Usage(now_s))
        usage.used_s = now_s
        if share is None or usage.running >= share.concurrency:
            usage.refused += 1
            held = share.concurrency if share else 0
            raise errors.LimitReached(
                f'row {key}: {usage.running} running here, '
                f'share {held:g} of its concurrency'
            )
        self._refill(usage, share, now_s)
        if usage.tokens < 1:
            usage.refused += 1
            pace_s = (1 - usage.tokens) / max(share.rate_per_s, 0.001)
            raise errors.LimitReached(
                f'row {key}: share {share.rate_per_s:g} requests/s is used',
                retry_after_s=pace_s,
            )
        usage.tokens -= 1
        usage.running += 1
        usage.begun += 1

    def release(self, key: str) -> None:
        """Count a request of row ``key`` as ended."""
        self.usage[key].running -= 1

    def demand(self, now_s: float) -> list[messages.Share]:
        """Return what was wanted of each row since the last call."""
        passed_s = max(0.1, now_s - self._asked_s)
        self._asked_s = now_s
        wanted = []
        for key, usage in list(self.usage.items()):
            count = usage.begun + usage.refused
            idle = now_s - usage.used_s > IDLE_S
            if not usage.running and not count and idle:
                del self.usage[key]
                continue
            wanted.append(
                messages.Share(
                    key, usage.running + usage.refused, count / passed_s
                )
            )
            usage.begun = 0
            usage.refused = 0
        return wanted

    def held(self, shares: dict[str, messages.Share]) -> list[messages.Share]:
        """Return what may be in use of each row until the next grant."""
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
    """The leader's side: divides each row's limits among lease holders."""

    def __init__(self, quiet_until_s: float):
        self._quiet_until_s = quiet_until_s
        #: gateway -> row -> the most that may be in use there.
        self._out: dict[str, dict[str, messages.Share]] = {}
        self._wanted: dict[str, dict[str, messages.Share]] = {}
        #: row -> (until when, concurrency) of holders that lapsed.
        self._lapsed: dict[str, list[tuple[float, float]]] = {}

    def remove_gateway(
        self,
        gateway: str,
        rows: typing.Mapping[str, tables.Row],
        now_s: float,
    ) -> None:
        """The lease of ``gateway`` has run out: it begins nothing more.

        What it had begun may run on until the deadline, so its part of the
        concurrency stays taken for that long.
        """
        self._wanted.pop(gateway, None)
        for key, share in self._out.pop(gateway, {}).items():
            if key in rows and share.concurrency:
                until_s = now_s + rows[key].deadline_s
                kept = self._lapsed.setdefault(key, [])
                kept.append((until_s, share.concurrency))

    def _still_running(self, key: str, now_s: float) -> float:
        """Return the concurrency that lapsed holders may still use."""
        kept = [x for x in self._lapsed.get(key, []) if x[0] > now_s]
        self._lapsed[key] = kept
        if not kept:
            del self._lapsed[key]
        return sum(concurrency for _, concurrency in kept)

    def grant(
        self,
        gateway: str,
        wanted: list[messages.Share],
        held: list[messages.Share],
        rows: typing.Mapping[str, tables.Row],
        now_s: float,
    ) -> list[messages.Share]:
        """Return the shares for a gateway that renews its lease.

        Only rows that it wants or holds are looked at, so that the work
        and the message grow with the rows in use there. Before the quiet
        time is over, holders that only an earlier leader knows may exist;
        no share grows until then.
        """
        self._wanted[gateway] = {share.row: share for share in wanted}
        held_by_row = {share.row: share for share in held}
        shares = []
        out = {}
        for key in self._wanted[gateway].keys() | held_by_row.keys():
            have = held_by_row.get(key, messages.Share(key, 0, 0.0))
            share = messages.Share(key, 0, 0.0)
            if key in rows and key in self._wanted[gateway]:
                share = self._share(gateway, rows[key], now_s)
            if now_s < self._quiet_until_s:
                share = messages.Share(
                    key,
                    min(share.concurrency, have.concurrency),
                    min(share.rate_per_s, have.rate_per_s),
                )
            out[key] = _larger(have, share)
            if share.concurrency or share.rate_per_s:
                shares.append(share)
        self._out[gateway] = out
        return shares

    def _share(
        self, gateway: str, row: tables.Row, now_s: float
    ) -> messages.Share:
        key = tables.row_key(row)
        others = [name for name in self._wanted if name != gateway]
        used = [
            self._out[name][key]
            for name in others
            if key in self._out.get(name, {})
        ]
        nothing = messages.Share(key, 0, 0.0)
        wanted = [
            self._wanted[name].get(key, nothing) for name in [gateway] + others
        ]
        free = row.concurrency - sum(share.concurrency for share in used)
        free -= self._still_running(key, now_s)
        free_per_s = row.rate_per_s - sum(s.rate_per_s for s in used)
        fair = _fair(row.concurrency, [w.concurrency for w in wanted])
        fair_per_s = _fair(row.rate_per_s, [w.rate_per_s for w in wanted])
        # A limit smaller than the number of gateways goes where it is used.
        whole = int(fair) or min(1, wanted[0].concurrency)
        return messages.Share(
            key,
            max(0, min(int(free), whole)),
            max(0.0, min(free_per_s, fair_per_s)),
        )


def _larger(one: messages.Share, other: messages.Share) -> messages.Share:
    return messages.Share(
        one.row,
        max(one.concurrency, other.concurrency),
        max(one.rate_per_s, other.rate_per_s),
    )


def _fair(limit: float, wanted: list[float]) -> float:
    """Return the first asker's part of ``limit``: max-min fair, spare too.

    Each gets what it wants up to an even level. What no one wants is split
    evenly among all gateways; parts of those that never ask stay free, so
    that the first request of another one is not held up.
    """
    level = limit / len(wanted)
    left = limit
    for count, want in enumerate(sorted(wanted)):
        level = left / (len(wanted) - count)
        if want > level:
            break
        left -= want
    else:
        return wanted[0] + left / len(wanted)
    return min(wanted[0], level)
