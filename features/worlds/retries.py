# SPDX-License-Identifier: Apache-2.0

"""A fleet of gateways whose runners fail attempts, on scripted time.

Each gateway retries as often as its budget allows. Faults restart gateways,
cut them off from the leader, or change which gateways a view names.
"""

import bisect
import random
import typing

from mountridge import messages
from mountridge.routing import budgets, slackshares
from mountridge.state import leases

__all__ = ['FAULTS', 'Fleet']

STEP_S = 0.1
WINDOW_S = 10.0
RATIO = 0.2
LEASE_S = 3.0
RENEWAL_S = 0.75
#: Longest time from the decision to retry until a runner is available.
MAX_WAIT_S = 3.2
#: Retries that one request may want.
MAX_RETRIES = 2
SERVICE = 's'
HALL = 'h'
END_S = 45.0
DRAIN_S = 8.0


class Gateway:
    """One gateway and its current process."""

    def __init__(self, name: str, slack: float, rng: random.Random):
        self.name = name
        self._slack = slack
        self.cut_until_s = 0.0
        self.down_until_s = 0.0
        #: When it ends for good.
        self.down_from_s = END_S
        self.next_renewal_s = rng.uniform(0, RENEWAL_S)
        self.start(0.0)

    def start(self, now_s: float) -> None:
        """Begin a process that knows nothing of the previous one."""
        self.lease = leases.HeldLease()
        self.shares = slackshares.SlackShares(
            self.name, HALL, LEASE_S, self.lease.held_for_s
        )
        self.budget = budgets.RetryBudget(
            RATIO, self._slack, WINDOW_S, now_s, self.shares.share
        )
        #: Retries that have been allowed, by when they are sent.
        self.waiting: list[tuple[float, budgets.Retry]] = []

    def apply_view(self, names: set[str], now_s: float) -> None:
        """Apply a view granted with a lease: the registered gateways."""
        grant = messages.Grant(LEASE_S, messages.Fence(1, 1), 1, False, [], [])
        self.lease.apply_grant(grant, now_s)
        self.shares.update_gateways(dict.fromkeys(names, HALL), now_s)


class Fleet:
    """The gateways, their leader, and what the runners receive."""

    def __init__(self, count: int, per_s: float, slack: float, seed: str):
        self.slack = slack
        self.rng = random.Random(seed)
        self.gateways = [self._gateway(n) for n in range(count)]
        self.per_s = per_s
        self.now_s = 0.0
        self.factor = 1.0
        self.is_failing = True
        self.leaderless_until_s = 0.0
        #: When each registered gateway last renewed its lease.
        self.registered_s: dict[str, float] = {}
        self.first_s: list[float] = []
        self.retries_s: list[float] = []
        #: Largest sum of the shares of the slack at any time.
        self.largest_share = 0.0
        self.script: list[tuple[float, typing.Callable[[], None]]] = []

    def _gateway(self, number: int) -> Gateway:
        return Gateway(f'gateway-{number}', self.slack, self.rng)

    def at(self, now_s: float, action: typing.Callable[[], None]) -> None:
        """Let an action happen at a time."""
        self.script.append((now_s, action))

    def some(self, share: float) -> list[Gateway]:
        """Return that share of the gateways, drawn at random."""
        count = max(1, round(share * len(self.gateways)))
        return self.rng.sample(self.gateways, count)

    # Faults.

    def restart(self, share: float) -> None:
        """Kill gateways; they start again after up to 0.5 s."""
        for gateway in self.some(share):
            gateway.down_until_s = self.now_s + self.rng.uniform(0.1, 0.5)
            gateway.start(gateway.down_until_s)

    def lose_power(self) -> None:
        """Restart all gateways; the leader forgets who was registered."""
        self.restart(1.0)
        self.registered_s.clear()
        for gateway in self.gateways:
            gateway.next_renewal_s = self.now_s + self.rng.uniform(0.3, 2.0)

    def cut(self, share: float, for_s: float) -> None:
        """Cut gateways off from the leader; callers still reach them."""
        for gateway in self.some(share):
            gateway.cut_until_s = self.now_s + for_s

    def lose_leader(self, for_s: float) -> None:
        """Leave the fleet without a leader."""
        self.leaderless_until_s = self.now_s + for_s

    def drain(self, share: float) -> None:
        """Let gateways drain, which serve on for a while and then end."""
        for gateway in self.some(share):
            gateway.down_from_s = self.now_s + DRAIN_S

    def join(self, count: int) -> None:
        """Add gateways."""
        first = len(self.gateways)
        added = [self._gateway(first + n) for n in range(count)]
        for gateway in added:
            gateway.start(self.now_s)
            gateway.next_renewal_s = self.now_s
        self.gateways += added

    def scale_traffic(self, factor: float) -> None:
        """Multiply the usual traffic."""
        self.factor = factor

    def set_failing(self, is_failing: bool) -> None:
        """Let all attempts fail from now on, or none."""
        self.is_failing = is_failing

    # The run.

    def run(self) -> None:
        """Play the script to the end."""
        self.script.sort(key=lambda each: each[0])
        while self.now_s < END_S:
            while self.script and self.script[0][0] <= self.now_s:
                self.script.pop(0)[1]()
            for gateway in self.gateways:
                if gateway.down_until_s <= self.now_s < gateway.down_from_s:
                    self._renew(gateway)
                    self._serve(gateway)
            self._record_shares()
            self.now_s += STEP_S
        self.retries_s.sort()

    def _record_shares(self) -> None:
        total = sum(
            gateway.shares.share(self.now_s)
            for gateway in self.gateways
            if gateway.down_until_s <= self.now_s < gateway.down_from_s
        )
        self.largest_share = max(self.largest_share, total)

    def _renew(self, gateway: Gateway) -> None:
        if self.now_s < gateway.next_renewal_s:
            return
        gateway.next_renewal_s = self.now_s + RENEWAL_S
        if self.now_s < max(gateway.cut_until_s, self.leaderless_until_s):
            return
        self.registered_s[gateway.name] = self.now_s
        names = {
            name
            for name, renewed_s in self.registered_s.items()
            if self.now_s - renewed_s <= LEASE_S
        }
        gateway.apply_view(names, self.now_s)

    def _serve(self, gateway: Gateway) -> None:
        due = [each for each in gateway.waiting if each[0] <= self.now_s]
        gateway.waiting = [w for w in gateway.waiting if w[0] > self.now_s]
        for _, retry in due:
            self._send(retry)
        mean = self.per_s * self.factor * STEP_S / len(self.gateways)
        for _ in range(_poisson(mean, self.rng)):
            self.first_s.append(self.now_s)
            gateway.budget.record_first(SERVICE, self.now_s)
            if self.is_failing:
                self._retry(gateway)

    def _retry(self, gateway: Gateway) -> None:
        for _ in range(MAX_RETRIES):
            retry = gateway.budget.try_acquire(SERVICE, self.now_s)
            if retry is None:
                return
            gateway.waiting.append((self.now_s + self.wait_s(), retry))

    def wait_s(self) -> float:
        """Return how long a retry waits for a runner."""
        return self.rng.choice((0.0, self.rng.uniform(0, MAX_WAIT_S)))

    def _send(self, retry: budgets.Retry) -> None:
        retry.mark_sent(self.now_s)
        self.retries_s.append(self.now_s)

    # What the runners have received.

    def excess(self) -> float:
        """Return by how much the worst window exceeds the budget.

        The requests are counted in the window, in the one before it, or in
        the one half a window before, whichever has most.
        """
        return max(
            (self._excess_until(end_s) for end_s in set(self.retries_s)),
            default=0.0,
        )

    def _excess_until(self, end_s: float) -> float:
        first = max(
            _count(self.first_s, end_s - shift * WINDOW_S)
            for shift in (0, 0.5, 1)
        )
        return _count(self.retries_s, end_s) - RATIO * first - self.slack


def _count(times_s: list[float], end_s: float) -> int:
    """Return how many times are in the window that ends at ``end_s``."""
    begin = bisect.bisect_right(times_s, end_s - WINDOW_S)
    return bisect.bisect_right(times_s, end_s) - begin


def _poisson(mean: float, rng: random.Random) -> int:
    count, elapsed = 0, rng.expovariate(1.0)
    while elapsed < mean:
        count += 1
        elapsed += rng.expovariate(1.0)
    return count


def _restarts(fleet: Fleet) -> None:
    for at_s in (20.0, 23.5, 27.0):
        fleet.at(at_s, lambda: fleet.restart(0.85))


def _restarts_in_burst(fleet: Fleet) -> None:
    fleet.at(18.0, lambda: fleet.scale_traffic(1.6))
    fleet.at(19.0, lambda: fleet.lose_leader(6.0))
    _restarts(fleet)


def _failures_then_restart(fleet: Fleet) -> None:
    fleet.is_failing = False
    fleet.wait_s = lambda: 0.0
    fleet.at(20.0, lambda: fleet.set_failing(True))
    fleet.at(22.0, lambda: fleet.restart(1.0))


def _constant_restarts(fleet: Fleet) -> None:
    fleet.wait_s = lambda: 0.0
    for second in range(20, 32):
        fleet.at(second, lambda: fleet.restart(1.0))


def _one_gateway_returns(fleet: Fleet) -> None:
    fleet.at(15.0, fleet.lose_power)
    for gateway in fleet.gateways[1:]:
        gateway.cut_until_s = 30.0


def _first_gateway_is_cut(fleet: Fleet) -> None:
    _one_gateway_returns(fleet)

    def cut_first() -> None:
        fleet.gateways[0].cut_until_s = END_S

    # Right after it has renewed its lease with a view of itself alone.
    fleet.at(30.0, cut_first)


def _power_losses(fleet: Fleet) -> None:
    for at_s in (20.0, 24.0):
        fleet.at(at_s, fleet.lose_power)


def _partition(fleet: Fleet) -> None:
    fleet.at(15.0, lambda: fleet.cut(0.5, 15.0))


def _drains(fleet: Fleet) -> None:
    fleet.at(20.0, lambda: fleet.drain(0.9))


def _joins(fleet: Fleet) -> None:
    fleet.at(20.0, lambda: fleet.join(max(1, len(fleet.gateways) // 3)))


def _traffic_ends(fleet: Fleet) -> None:
    fleet.at(15.0, lambda: fleet.scale_traffic(2.0))
    fleet.at(20.0, lambda: fleet.scale_traffic(0.05))


def _queued_retries(fleet: Fleet) -> None:
    release_s = 24.0

    def wait_s() -> float:
        left_s = release_s - fleet.now_s
        return left_s if 0 < left_s <= MAX_WAIT_S else 0.0

    fleet.wait_s = wait_s


def _several(fleet: Fleet) -> None:
    """Draw up to eight faults within 20 s."""
    for _ in range(fleet.rng.randint(3, 8)):
        share = fleet.rng.uniform(0.1, 1.0)
        for_s = fleet.rng.uniform(1.0, 12.0)
        action = fleet.rng.choice(
            (
                lambda share=share: fleet.restart(share),
                lambda share=share: fleet.restart(share),
                fleet.lose_power,
                lambda share=share, for_s=for_s: fleet.cut(share, for_s),
                lambda for_s=for_s: fleet.lose_leader(for_s),
                lambda share=share: fleet.drain(share / 2),
                lambda: fleet.join(max(1, len(fleet.gateways) // 4)),
                lambda share=share: fleet.scale_traffic(2 * share),
                lambda: fleet.set_failing(not fleet.is_failing),
            )
        )
        fleet.at(fleet.rng.uniform(12.0, 32.0), action)


#: What happens to a fleet, by the words of the scenarios.
FAULTS: dict[str, typing.Callable[[Fleet], None]] = {
    'nothing else happens': lambda fleet: None,
    'gateways restart three times': _restarts,
    'gateways restart with no leader in a burst': _restarts_in_burst,
    'all gateways restart after a burst of failures': _failures_then_restart,
    'all gateways restart each second': _constant_restarts,
    'one gateway has a lease long before the others': _one_gateway_returns,
    'the only one in view is cut off as others join': _first_gateway_is_cut,
    'all power is lost twice': _power_losses,
    'half of the gateways are cut off': _partition,
    'most gateways drain': _drains,
    'gateways join': _joins,
    'traffic ends': _traffic_ends,
    'queued retries are sent at once': _queued_retries,
    'several faults overlap': _several,
}
