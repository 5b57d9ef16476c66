# SPDX-License-Identifier: Apache-2.0

"""Leases: who may act on the view, and when a change is in force.

A holder counts its lease from the time it *sent* the renewal, the leader
from the time it *received* it, each on its own monotonic clock; so a lease
always ends at its holder before the leader considers it expired.
"""

import math
import typing

from mountridge import messages
from mountridge.state import views

__all__ = ['HeldLease', 'LeaseTable', 'MAX_GAP_LEASES']

#: A holder that regains its lease within this many lease durations has had it
#: all the while, as by ``HeldLease.held_for_s``: longer than an election and
#: most partitions take.
MAX_GAP_LEASES = 2


class HeldLease:
    """The lease of a gateway, agent or entry, and the view it may act on."""

    def __init__(self) -> None:
        self.until_s = 0.0
        #: When the newest renewal that was granted was sent: the view holds
        #: all that was in force then.
        self.confirmed_s = -math.inf
        #: Number of pauses of this process, and when the last one ended.
        self.pauses = 0
        self._resumed_s = -math.inf
        self._since_s = 0.0
        self._max_gap_s = 0.0
        self.fence = messages.Fence(0, 0)
        self.view = views.View()
        self.shares: dict[str, messages.Share] = {}

    def is_valid(self, now_s: float) -> bool:
        """Return whether new work may be accepted at ``now_s``."""
        return now_s < self.until_s and self.is_current()

    def distrust(self, now_s: float) -> None:
        """Record that the holder was not run until now.

        The view may be outdated, even where the lease has not run out.
        """
        self.pauses += 1
        self._resumed_s = now_s

    def is_current(self) -> bool:
        """Return whether the view was confirmed since the last pause."""
        return self.confirmed_s >= self._resumed_s

    def held_for_s(self, now_s: float) -> float:
        """Return for how long it has been held, but for short gaps.

        0 where it ended longer than such a gap ago.
        """
        if now_s >= self.until_s + self._max_gap_s:
            return 0.0
        return now_s - self._since_s

    def apply_grant(self, grant: messages.Grant, sent_s: float) -> bool:
        """Apply a grant for the renewal sent at ``sent_s``.

        Returns False, and changes nothing, if the grant is of an earlier
        fence or its view is older.
        """
        if grant.fence < self.fence:
            return False
        if not self.view.apply(grant.index, grant.snapshot, grant.changes):
            return False
        self.fence = grant.fence
        self._max_gap_s = MAX_GAP_LEASES * grant.lease_s
        if sent_s >= self.until_s + self._max_gap_s:
            self._since_s = sent_s
        self.until_s = max(self.until_s, sent_s + grant.lease_s)
        self.confirmed_s = max(self.confirmed_s, sent_s)
        self.shares = {share.row: share for share in grant.shares}
        return True

    def apply_changes(self, pushed: messages.Changes) -> bool:
        """Apply changes pushed between renewals.

        Returns False if they are of another term or do not follow the view.
        """
        if pushed.fence.term != self.fence.term:
            return False
        if not pushed.since <= self.view.index <= pushed.index:
            return False
        return self.view.apply(pushed.index, False, pushed.changes)


class Granted(typing.NamedTuple):
    """A lease, granted with the view at ``index``."""

    index: int
    until_s: float


class Holder(typing.NamedTuple):
    """The leader's state of one lease holder."""

    renew: messages.Renew
    route: bytes
    until_s: float
    index: int  # newest index that it has acknowledged
    sent_index: int  # newest index sent to it
    granted: list[Granted]  # leases with views that it may still act on


class LeaseTable:
    """The leases that the leader has granted in its term.

    A lease and its view are applied together. So a holder that has not
    acknowledged a change acts on an older view no longer than until the end
    of the last lease granted *with* an older view, even if it keeps sending
    renewals and loses the replies.

    For ``lease_s`` after the election there may be holders known only to an
    earlier leader, so nothing counts as in force before ``quiet_until_s``.
    """

    def __init__(self, started_s: float, lease_s: float):
        self.quiet_until_s = started_s + lease_s
        self.lease_s = lease_s
        self.holders: dict[str, Holder] = {}
        #: (holder, lease) of earlier incarnations of holders.
        self._earlier_leases: list[tuple[str, Granted]] = []

    def age_s(self, now_s: float) -> float:
        """Return for how long this leader has granted leases."""
        return now_s - (self.quiet_until_s - self.lease_s)

    def renew(
        self, route: bytes, renew: messages.Renew, index: int, now_s: float
    ) -> Holder:
        """Grant a lease with the view at ``index``."""
        found = self.holders.get(renew.name)
        granted: list[Granted] = []
        if found and found.renew.incarnation == renew.incarnation:
            granted = [g for g in found.granted if g.index >= renew.index]
        elif found:
            self._earlier_leases += [(renew.name, g) for g in found.granted]
        until_s = now_s + self.lease_s
        granted = [g for g in granted if g.index != index]
        granted.append(Granted(index, until_s))
        holder = Holder(renew, route, until_s, renew.index, index, granted)
        self.holders[renew.name] = holder
        return holder

    def renewed_recently(
        self, name: str, within_s: float, now_s: float
    ) -> bool:
        """Return whether a holder has renewed in the last ``within_s``."""
        renewed_s = self.holders[name].until_s - self.lease_s
        return now_s - renewed_s <= within_s

    def record_sent(self, name: str, index: int) -> None:
        """Record that changes up to ``index`` have been sent."""
        holder = self.holders[name]
        self.holders[name] = holder._replace(sent_index=index)

    def count_unsent(self, index: int) -> int:
        """Return how many holders were not sent the changes up to there."""
        return sum(h.sent_index < index for h in self.holders.values())

    def waiting_for(self, index: int, now_s: float) -> list[str]:
        """Return the holders that may act on a view older than ``index``."""
        names = [
            name
            for name, granted in self._all_granted()
            if granted.index < index and granted.until_s > now_s
        ]
        if now_s < self.quiet_until_s:
            names.append('(holders of an earlier leader)')
        return sorted(set(names))

    def _all_granted(self) -> typing.Iterator[tuple[str, Granted]]:
        for name, holder in self.holders.items():
            for granted in holder.granted:
                yield name, granted
        yield from self._earlier_leases

    def in_force_index(self, index: int, now_s: float) -> int:
        """Return the newest index, up to ``index``, that all holders use."""
        if now_s < self.quiet_until_s:
            return 0
        unexpired = [
            granted.index
            for _, granted in self._all_granted()
            if granted.until_s > now_s
        ]
        return min(unexpired + [index])

    def remove_expired(self, now_s: float) -> list[str]:
        """Remove the holders whose lease has expired; return their names."""
        self._earlier_leases = [
            e for e in self._earlier_leases if e[1].until_s > now_s
        ]
        names = [
            name
            for name, holder in self.holders.items()
            if holder.until_s <= now_s
        ]
        for name in names:
            del self.holders[name]
        return names
