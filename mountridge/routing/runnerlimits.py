# SPDX-License-Identifier: Apache-2.0

"""Limits on requests that runners name in their answers, for one gateway.

A runner in need names how many requests a second it takes from all gateways
together. Each gateway that got such an answer limits itself, without a
message: rendezvous chooses owners of the runner among the gateways, and each
owner sends at its share of the rate, evenly spaced. Owners and shares are
such that two sets of owners, by two different views of the gateways, still
send less than one and a half times the limit and 5 requests in 4 s
(docs/design/runnerlimits.md).
"""

import functools
import heapq
import random
import typing

from mountridge.documents import instances
from mountridge.net import lasthop
from mountridge.routing import gatewaysets, sendgates, warmup

__all__ = ['RunnerLimits', 'Share', 'Slot', 'compute_share', 'is_unlimited']

#: The sum over gateways holds in any window of this length.
WINDOW_S = 4.0
#: A request is sent at most this long after it was selected, else it is held
#: back: as long as a connection may take, and a little for a busy box.
MAX_SEND_DELAY_S = lasthop.CONNECT_S + 0.1
#: Requests that all owners may send in a window: half of what one and a half
#: times the limit and 5 requests allow.
BASE_SENDS = 2
SENDS_PER_LIMIT = 3
#: Each owner of a runner with a lower limit still sends it a request once in
#: this time: the limit lasts for as long as answers name it.
MAX_INTERVAL_S = 20.0
#: Gateways that own no share, all together, send a runner with a limit of 0 a
#: request in this time on average, to learn whether it still names one.
TRIAL_S = 20.0
#: From the end of a limit to the full rate.
RAMP_S = 2.0
#: A limit above this is none.
MAX_PER_S = 1000.0
#: Incarnations whose limits are kept, the latest ones: several whole fleets.
MAX_LIMITS = 2000
NEVER = sendgates.NEVER

Incarnation = tuple[str, int]


class Share(typing.NamedTuple):
    """What the owners of a runner may send."""

    owners: int  # the first ones of all gateways
    sends: int  # of each owner in a window


@functools.lru_cache(maxsize=1024)
def compute_share(per_s: float, gateways: int) -> Share:
    """Return how many of the gateways own a runner, and their shares.

    Few gateways all own it with several sends each; of many, each owner has
    one send in a window, so that their sum in any window is their number.
    """
    total = BASE_SENDS + int(SENDS_PER_LIMIT * per_s)
    sends = max(1, total // max(1, gateways))
    choices = (
        Share(min(max(1, gateways), total // each), each)
        for each in (sends, sends + 1)
    )
    return max(choices, key=lambda c: (c.owners * c.sends, c.owners))


def is_unlimited(per_s: float | None) -> bool:
    """Return whether an answer names no limit, or a huge one."""
    return per_s is None or per_s > MAX_PER_S


class _Limit:
    """The limit of one incarnation of a runner."""

    __slots__ = ('ended_s', 'last_s', 'named_s', 'per_s', 'trial_s')

    def __init__(self, per_s: float, now_s: float):
        self.per_s = per_s
        #: When an answer last named it.
        self.named_s = now_s
        #: When an answer no longer named it; None while it holds.
        self.ended_s: float | None = None
        #: When the last counted request was selected. Those under way when
        #: the limit was named count as if they were selected then.
        self.last_s = now_s
        #: When this gateway may send a trial request as no owner.
        self.trial_s = NEVER


class Slot:
    """One request that counts in a limit."""

    __slots__ = ('is_trial', 'limit', 'previous_s', 'selected_s')

    def __init__(self, limit: _Limit, is_trial: bool, now_s: float):
        self.limit = limit
        self.is_trial = is_trial
        self.previous_s = limit.last_s
        self.selected_s = now_s
        limit.last_s = now_s

    def release(self) -> None:
        """Stop counting it: the runner did not get the request."""
        if self.limit.last_s == self.selected_s:
            self.limit.last_s = self.previous_s


class RunnerLimits:
    """The limits that runners named to one gateway, and its shares.

    ``started_s`` is when its process started, and ``lease_s`` how long its
    first view may lack gateways that started with it.
    """

    def __init__(
        self,
        name: str = '',
        hall: str = '',
        started_s: float = float('-inf'),
        lease_s: float = 3.0,
    ):
        self._gateways = gatewaysets.GatewaySet(name, hall)
        self._rng = random.Random(name)
        #: Until then its view may lack gateways, so it sends nothing to
        #: runners that have named a limit to it.
        self._settled_s = started_s + lease_s + warmup.VIEW_DELAY_S
        self._limits: dict[Incarnation, _Limit] = {}
        #: Runners whose malformed limit was reported.
        self._malformed: dict[Incarnation, None] = {}
        #: Rank of this gateway for a runner, 0 for the first owner.
        self._ranks: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def count_named(self) -> int:
        """Return how many runners name a limit to this gateway."""
        return sum(each.ended_s is None for each in self._limits.values())

    def update_gateways(self, halls: dict[str, str], now_s: float) -> None:
        """Apply the view: the halls of all gateways by name."""
        if self._gateways.update(halls, now_s):
            self._ranks.clear()

    def update_runners(
        self, registered: typing.Iterable[instances.Instance]
    ) -> None:
        """Apply the view: drop the limits of ended incarnations.

        A runner that is not registered may return.
        """
        if not self._limits:
            return
        born_ms = {each.instance_id: each.born_ms for each in registered}
        for key in list(self._limits):
            if born_ms.get(key[0], key[1]) != key[1]:
                del self._limits[key]

    # Answers.

    def name_limit(
        self,
        runner: instances.Instance,
        per_s: float,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Record the limit in an answer to a request sent at ``sent_s``.

        An answer that may be older than another one can only lower the
        limit. Returns whether the limit has changed.
        """
        limit = self._limits.get(_incarnation(runner))
        if limit is None:
            limit = self._add(runner, _Limit(per_s, now_s))
        else:
            is_lower = per_s < limit.per_s or limit.ended_s is not None
            if not is_lower and sent_s <= limit.named_s:
                return False
            limit.named_s = now_s
            if per_s == limit.per_s and limit.ended_s is None:
                return False
            limit.per_s, limit.ended_s = per_s, None
        limit.trial_s = self._next_trial_s(limit, now_s)
        return True

    def end_limit(
        self, runner: instances.Instance, sent_s: float, now_s: float
    ) -> bool:
        """Record an answer without a limit to a request sent at ``sent_s``.

        It counts only if the request was sent after the last answer that
        named a limit. Returns whether that has ended the limit.
        """
        limit = self._limits.get(_incarnation(runner))
        if limit is None or limit.ended_s is not None:
            return False
        if sent_s <= limit.named_s:
            return False
        limit.ended_s = now_s
        return True

    def mark_malformed(self, runner: instances.Instance) -> bool:
        """Record a malformed limit; return whether it is the first one."""
        is_first = _incarnation(runner) not in self._malformed
        while is_first and len(self._malformed) >= MAX_LIMITS:
            del self._malformed[next(iter(self._malformed))]
        self._malformed[_incarnation(runner)] = None
        return is_first

    def record_arrival(self, runner: instances.Instance, now_s: float) -> None:
        """Count a request for another runner that this one has received."""
        limit = self._limits.get(_incarnation(runner))
        if limit is not None:
            limit.last_s = max(limit.last_s, now_s)

    # Sends.

    def is_limited(self, runner: instances.Instance, now_s: float) -> bool:
        """Return whether a runner names a limit, or has ended one lately."""
        return self._current(runner, now_s) is not None

    def next_send_s(self, runner: instances.Instance, now_s: float) -> float:
        """Return from when a request may be sent to a runner."""
        limit = self._current(runner, now_s)
        if limit is None:
            return now_s
        if limit.ended_s is not None:
            return limit.last_s + self._ramp_interval_s(limit, now_s)
        if self._is_owner(runner, limit, now_s):
            next_s = limit.last_s + self._interval_s(limit)
        else:
            next_s = limit.trial_s
        return max(next_s, self._settled_s)

    def slot_s(
        self, runners: list[instances.Instance], ahead: int, now_s: float
    ) -> float:
        """Return when a request with ``ahead`` others before it can be sent.

        `NEVER` if this gateway has no share of any of the ``runners``.
        """
        slots: list[tuple[float, float]] = []
        for runner in runners:
            limit = self._current(runner, now_s)
            if limit is None:
                return now_s
            at_s = max(now_s, self.next_send_s(runner, now_s))
            if limit.ended_s is not None:
                interval_s = self._ramp_interval_s(limit, now_s)
            elif self._is_owner(runner, limit, now_s):
                interval_s = self._interval_s(limit)
            else:
                interval_s = NEVER
            slots.append((at_s, interval_s))
        heapq.heapify(slots)
        for _ in range(ahead):
            if not slots or slots[0][0] == NEVER:
                return NEVER
            at_s, interval_s = slots[0]
            heapq.heapreplace(slots, (at_s + interval_s, interval_s))
        return slots[0][0] if slots else NEVER

    def retry_s(
        self, runners: list[instances.Instance], ahead: int, now_s: float
    ) -> float:
        """Return when a caller whose request can't wait should return.

        If this gateway has no share, that is by when each owner of one of the
        ``runners`` may send to it.
        """
        known = [(each, self._current(each, now_s)) for each in runners]
        limited = [(runner, limit) for runner, limit in known if limit]
        if not limited:
            return now_s
        owned = [
            runner
            for runner, limit in limited
            if limit.ended_s is not None
            or self._is_owner(runner, limit, now_s)
        ]
        if owned:
            return self.slot_s(owned, ahead, now_s)
        return now_s + min(self._interval_s(limit) for _, limit in limited)

    def reserve(self, runner: instances.Instance, now_s: float) -> Slot | None:
        """Count a request that is about to be sent; None if not limited."""
        limit = self._current(runner, now_s)
        if limit is None:
            return None
        is_trial = limit.ended_s is None and not self._is_owner(
            runner, limit, now_s
        )
        if is_trial:
            limit.trial_s = self._next_trial_s(limit, now_s)
        return Slot(limit, is_trial, now_s)

    def may_send(
        self, runner: instances.Instance, slot: Slot, now_s: float
    ) -> bool:
        """Return whether a request may be sent right now, in its slot.

        The limit, the share of this gateway and the time may have changed
        since it was reserved.
        """
        if now_s - slot.selected_s > MAX_SEND_DELAY_S:
            return False
        limit = self._current(runner, now_s)
        if limit is not slot.limit or slot.is_trial:
            return True
        if limit.ended_s is not None:
            return True
        if not self._is_owner(runner, limit, now_s):
            return False
        return slot.selected_s >= slot.previous_s + self._interval_s(limit)

    # Shares.

    def _current(
        self, runner: instances.Instance, now_s: float
    ) -> _Limit | None:
        """Return the limit of a runner; drops one that ended a while ago."""
        limit = self._limits.get(_incarnation(runner))
        if limit is None or limit.ended_s is None:
            return limit
        if now_s < limit.ended_s + RAMP_S:
            return limit
        del self._limits[_incarnation(runner)]
        return None

    def _is_owner(
        self, runner: instances.Instance, limit: _Limit, now_s: float
    ) -> bool:
        if self._gateways.expire(now_s):
            self._ranks.clear()
        rank = self._ranks.get(runner.instance_id)
        if rank is None:
            runner_id = runner.instance_id
            own = gatewaysets.weigh(self._gateways.name, runner_id)
            rank = self._ranks[runner_id] = sum(
                gatewaysets.weigh(name, runner_id) > own
                for name in self._gateways.halls
            )
        return rank < self._share(limit).owners

    def _share(self, limit: _Limit) -> Share:
        return compute_share(limit.per_s, len(self._gateways.halls))

    def _interval_s(self, limit: _Limit) -> float:
        """Return the time between two requests of one owner."""
        share = self._share(limit)
        if limit.per_s * MAX_INTERVAL_S <= share.owners:
            return MAX_INTERVAL_S
        return max(
            (WINDOW_S + MAX_SEND_DELAY_S) / share.sends,
            share.owners / limit.per_s,
        )

    def _ramp_interval_s(self, limit: _Limit, now_s: float) -> float:
        left = 1 - (now_s - limit.ended_s) / RAMP_S
        return min(self._interval_s(limit), RAMP_S) * left

    def _next_trial_s(self, limit: _Limit, now_s: float) -> float:
        """Return when this gateway may next send a trial as no owner.

        With higher limits trials are more frequent, as the share of each
        window that owners leave unused is larger.
        """
        mean_s = TRIAL_S * len(self._gateways.halls) / (1 + limit.per_s)
        return now_s + mean_s * self._rng.uniform(0.5, 1.5)

    def _add(self, runner: instances.Instance, limit: _Limit) -> _Limit:
        while len(self._limits) >= MAX_LIMITS:
            del self._limits[next(iter(self._limits))]
        self._limits[_incarnation(runner)] = limit
        return limit


def _incarnation(runner: instances.Instance) -> Incarnation:
    # Not `lives`: that also counts a registration that timed out and returned
    # while the runner lived on.
    return runner.instance_id, runner.born_ms
