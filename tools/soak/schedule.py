# SPDX-License-Identifier: Apache-2.0

"""Faults and orders of a run, drawn from its seed."""

import random
import typing

__all__ = ['Fault', 'Order', 'Plan', 'Roll', 'draw', 'draw_rolls']

#: Drawn once per run: the system is not configured to sustain the loss of a
#: second disk before the first has been replaced.
ONCE = ('entry_wipe',)
#: Times of the planned stops in the phase at the start without faults.
STOPS_S = (5.0, 5.5)


class Fault(typing.NamedTuple):
    """One fault; ``pick`` selects its target."""

    kind: str
    start_s: float
    span_s: float
    pick: int
    strength: float  # 0 to 1: delays and shares


class Order(typing.NamedTuple):
    """One action of an operator."""

    kind: str  # hall, or one of `order_kinds` in the sizes
    start_s: float
    pick: int


class Roll(typing.NamedTuple):
    """Replacement of all processes by another build, one after the other."""

    to_new: bool
    leader_last: bool  # else it is the first one
    start_s: float
    step_s: float
    names: list[str]  # in the order of their replacement, except the leader
    is_killed: list[bool]  # by position; the others stop gracefully


class Plan(typing.NamedTuple):
    """The faults and orders of a run."""

    faults: list[Fault]
    orders: list[Order]
    end_s: float


def draw(seed: int, sizes: dict, span_s: float) -> Plan:
    """Return the plan of a run of ``span_s`` seconds."""
    rng = random.Random(seed)
    last_s = span_s - sizes['recover_s'] - sizes['quiet_s']
    first_s = min(sizes['planned_s'], span_s / 4)
    faults = [
        Fault('entry_stop', start_s, 0.5, rng.randrange(1 << 30), 0.0)
        for start_s in STOPS_S
        if first_s >= sizes['planned_s']
    ]
    faults += _draw_faults(rng, sizes, first_s, last_s)
    orders = _draw_orders(rng, sizes, last_s)
    return Plan(faults, orders, span_s)


def draw_rolls(
    seed: int, names: list[str], sizes: dict, span_s: float
) -> list[Roll]:
    """Return rolls to the new build, back, and to the new one again."""
    rng = random.Random(seed)
    first_s = min(sizes['planned_s'], span_s / 4)
    last_s = span_s - sizes['recover_s'] - sizes['quiet_s']
    ways = [(True, False), (False, True), (True, True)]
    roll_s = (last_s - first_s) / len(ways)
    return [
        Roll(
            to_new,
            leader_last,
            first_s + number * roll_s,
            roll_s / len(names),
            rng.sample(names, len(names)),
            [rng.random() < 0.5 for _ in names],
        )
        for number, (to_new, leader_last) in enumerate(ways)
    ]


def _draw_faults(
    rng: random.Random, sizes: dict, first_s: float, last_s: float
) -> list[Fault]:
    kinds = sizes['faults']
    names, weights = list(kinds), [each[0] for each in kinds.values()]
    found: list[Fault] = []
    at_s = first_s
    while at_s < last_s:
        kind = rng.choices(names, weights)[0]
        span_s = rng.uniform(*kinds[kind][1:])
        pick, strength = rng.randrange(1 << 30), rng.random()
        # Drawn even if dropped, so that all other faults stay the same.
        if kind not in ONCE or kind not in {f.kind for f in found}:
            span_s = min(span_s, last_s - at_s)
            found.append(Fault(kind, at_s, span_s, pick, strength))
        at_s += rng.expovariate(1 / sizes['fault_every_s'])
    return found


def _draw_orders(
    rng: random.Random, sizes: dict, last_s: float
) -> list[Order]:
    found = []
    for kinds, every_s in (
        (sizes['order_kinds'], sizes['operator_every_s']),
        (('hall',), sizes['hall_every_s']),
    ):
        at_s = rng.expovariate(1 / every_s)
        while at_s < last_s:
            kind = rng.choice(kinds)
            found.append(Order(kind, at_s, rng.randrange(1 << 30)))
            at_s += rng.expovariate(1 / every_s)
    return sorted(found, key=lambda order: order.start_s)
