# SPDX-License-Identifier: Apache-2.0

"""How many requests a runner that can turn cold gets from all gateways.

A cold runner bears few requests a second and falls over above that. It may
turn cold at any moment, and gateways hear of it seconds later, or never where
they are cut off. So the bound holds at all times for each runner of such a
service, and without a message: each runner has owners among the gateways,
chosen by rendezvous hashing of names, and each sends few requests in a
window. The owners together send at most half of the bound. Where gateways
have two different views of the gateways, two sets of owners send; how much
more they may differ is reckoned in docs/design/warmup.md.
"""

import collections
import typing

from mountridge.documents import instances
from mountridge.net import lasthop

__all__ = [
    'NEVER',
    'Parts',
    'SendRecord',
    'WINDOW_S',
    'WarmupLimiter',
    'parts',
]

#: Sends are bounded in each second. A little longer, since the bytes of two
#: sends may leave a busy box that much closer together than they were written.
WINDOW_S = 1.05
#: A send is counted when it is decided, as if it left at the last moment: a
#: connection that is not made by then is given up.
LEAVES_S = lasthop.CONNECT_S
#: A gateway that has left the view is still counted for so long. Most come
#: back under their name within it; while all gateways count the same names
#: they choose the same owners.
KEPT_S = 30.0
#: For a lease and so long after its start a gateway sends one request at most
#: to a runner in a window. The view that it begins with may lack gateways that
#: start with it, after the loss of a hall all but itself; by then it has
#: theirs, up to 2 s after their leases are known.
VIEW_LATE_S = 2.0
#: The owner that fills a runner first has one in this many of the half of the
#: bound. It knows its own requests there without a report.
FIRST_PART = 4
#: A time that is never reached: no runner is owned, nothing to be forgotten.
NEVER = float('inf')


class Parts(typing.NamedTuple):
    """Requests in one window to one runner, by what the gateway is to it."""

    first: int  # of its first owner, which is in its hall
    others: int  # of each other owner
    near: int  # other owners in its hall
    away: int  # owners in other halls


def parts(bound: float, near: int, away: int) -> Parts:
    """Return the parts of half of ``bound`` requests a second.

    ``near`` gateways are in the hall of the runner and ``away`` elsewhere.
    Few gateways all own each runner. Of many, half of the owners are in
    other halls, so that no loss of a hall takes all of them; for a bound
    below 4 there is one owner alone.
    """
    half = max(1, int(bound) // 2)
    if not near:
        return Parts(0, max(1, half // max(1, away)), 0, min(half, away))
    others = max(1, near + away - 1)
    first = max(1, half // FIRST_PART, half // (others + 1))
    left = half - first
    if others <= left:
        return Parts(first, left // others, near, away)
    if not away:
        return Parts(first, 1, left, 0)
    return Parts(first, 1, left // 2, left - left // 2)


class SendRecord:
    """One request to a runner, and when it has left or will have."""

    __slots__ = ('at_s', 'is_sent')

    def __init__(self, at_s: float):
        self.at_s = at_s
        self.is_sent = False

    def mark_sent(self, now_s: float) -> None:
        """Note that its first bytes are written now."""
        self.at_s = now_s
        self.is_sent = True

    def discard(self) -> None:
        """Count it no more: the runner that was meant did not get it."""
        self.at_s = float('-inf')


class WarmupLimiter:
    """The part that one gateway has of the runners that can turn cold."""

    def __init__(
        self,
        name: str = '',
        hall: str = '',
        over: float = 1.0,
        slack: float = 0.0,
        started_s: float = float('-inf'),
        lease_s: float = 3.0,
    ):
        self._name, self._hall = name, hall
        self._over, self._slack = over, slack
        #: What a former life of this process sent in its last second counts
        #: too, and is not known.
        self._quiet_until_s = started_s + WINDOW_S
        self._settled_s = started_s + lease_s + VIEW_LATE_S
        #: Halls of all gateways that may be owners, by name.
        self._halls = {name: hall}
        #: When those of them that the view no longer has are forgotten.
        self._forget_s: dict[str, float] = {}
        self._next_forget_s = NEVER
        self._bounds: dict[str, float] = {}
        #: Sends in a window, by id, service and hall of a runner; 0 for those
        #: of other owners.
        self._parts: dict[tuple[str, str, str], int] = {}
        self._first: set[tuple[str, str, str]] = set()
        self._deal = 1
        self._sends: dict[str, collections.deque[SendRecord]] = {}
        self._cleared_s = float('-inf')

    # What is followed.

    def update_services(self, cold_per_s: dict[str, float]) -> None:
        """Follow the routes: what a cold runner bears, by service.

        0 stands for any number: nothing is bounded then.
        """
        self._bounds = {
            service: per_s * self._over + self._slack
            for service, per_s in cold_per_s.items()
            if per_s > 0
        }
        self._deal_anew()

    def update_gateways(self, halls: dict[str, str], now_s: float) -> None:
        """Follow the view: the halls of all gateways that may send."""
        before = dict(self._halls)
        self._halls.update(halls)
        for name in self._halls.keys() - halls.keys() - {self._name}:
            self._forget_s.setdefault(name, now_s + KEPT_S)
        for name in self._forget_s.keys() & halls.keys():
            del self._forget_s[name]
        self._next_forget_s = min(self._forget_s.values(), default=NEVER)
        if before != self._halls:
            self._deal_anew()

    def _forget(self, now_s: float) -> None:
        """Forget gateways that left the view long ago."""
        for name, until_s in list(self._forget_s.items()):
            if until_s <= now_s:
                del self._forget_s[name]
                del self._halls[name]
        self._next_forget_s = min(self._forget_s.values(), default=NEVER)
        self._deal_anew()

    def _deal_anew(self) -> None:
        self._deal += 1
        self._parts.clear()
        self._first.clear()

    # Who owns what.

    def is_limited(self, service: str) -> bool:
        """Return whether the runners of a service can turn cold."""
        return service in self._bounds

    def generation(self, now_s: float) -> int:
        """Return a number that is another one once parts are others."""
        if now_s >= self._next_forget_s:
            self._forget(now_s)
        return self._deal

    def quota(self, runner: instances.Instance, now_s: float) -> int:
        """Return how many requests it may get from here in a window.

        0 where it has other owners, by the last `deal`.
        """
        found = self._parts.get(_place(runner))
        if found is None:
            found = self._find_part(runner)
            self._parts[_place(runner)] = found
        return found if now_s >= self._settled_s else min(1, found)

    def is_primary(self, runner: instances.Instance) -> bool:
        """Return whether this gateway is its first owner.

        Known once its `part` is.
        """
        return _place(runner) in self._first

    def _find_part(self, runner: instances.Instance) -> int:
        # Loaded only by processes that need it.
        import xxhash

        def draw(name: str) -> int:
            names = f'{name}\0{runner.instance_id}'
            return xxhash.xxh3_64_intdigest(names.encode())

        is_near = self._hall == runner.hall
        near = [n for n, hall in self._halls.items() if hall == runner.hall]
        away = [n for n, hall in self._halls.items() if hall != runner.hall]
        found = parts(self._bounds[runner.service], len(near), len(away))
        mine = draw(self._name)
        ahead = sum(draw(name) > mine for name in (near if is_near else away))
        if not is_near:
            return found.others if ahead < found.away else 0
        if ahead == 0:
            self._first.add(_place(runner))
            return found.first
        return found.others if ahead <= found.near else 0

    # What was sent.

    def has_quota_left(self, runner: instances.Instance, now_s: float) -> bool:
        """Return whether an owned runner may get one more request now."""
        if now_s < self._quiet_until_s:
            return False
        if runner.instance_id not in self._sends:
            return True
        most = self.quota(runner, now_s)
        last_s = self._last_s(runner, most)
        return len(last_s) < most or last_s[0] + WINDOW_S <= now_s

    def _last_s(self, runner: instances.Instance, most: int) -> list[float]:
        """Return the times of the last ``most`` sends to it, in order."""
        sends = self._sends.get(runner.instance_id)
        if not sends:
            return []
        return sorted(send.at_s for send in sends)[-most:]

    def earliest_send_s(
        self, runners: list[instances.Instance], ahead: int, now_s: float
    ) -> float:
        """Return when a request can be sent that has ``ahead`` before it.

        `NEVER` where none of the ``runners`` is owned here.
        """
        places: list[float] = []
        for runner in runners:
            most = self.quota(runner, now_s)
            if most:
                last_s = self._last_s(runner, most)
                places += [at_s + WINDOW_S for at_s in last_s]
                places += [now_s] * (most - len(last_s))
        if not places:
            return NEVER
        rounds, place = divmod(ahead, len(places))
        first_s = max(self._quiet_until_s, now_s, sorted(places)[place])
        return first_s + rounds * WINDOW_S

    def record_send(
        self, runner: instances.Instance, now_s: float
    ) -> SendRecord:
        """Count a request that is about to be sent, and return the count."""
        made = SendRecord(now_s + LEAVES_S)
        if runner.service not in self._bounds:
            return made
        if now_s - self._cleared_s > KEPT_S:
            self._clear(now_s)
        found = self._sends.setdefault(runner.instance_id, collections.deque())
        while found and found[0].at_s <= now_s - WINDOW_S:
            found.popleft()
        found.append(made)
        return made

    def _clear(self, now_s: float) -> None:
        """Drop the sends that are in no window any more."""
        self._cleared_s = now_s
        self._sends = {
            key: sends
            for key, sends in self._sends.items()
            if any(send.at_s > now_s - WINDOW_S for send in sends)
        }


def _place(runner: instances.Instance) -> tuple[str, str, str]:
    """Return what decides who owns a runner, beside the gateways."""
    return runner.instance_id, runner.service, runner.hall
