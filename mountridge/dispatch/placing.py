# SPDX-License-Identifier: Apache-2.0

"""Selects the runner for a request, as a pure function of its arguments.

The load of a runner is estimated from its last report and the requests that
this gateway has started and ended since. The less loaded of two runners
drawn at random is selected, so that gateways with equally old reports do not
all send to the same one.
"""

import random
import typing

__all__ = ['Candidate', 'Choice', 'choose', 'occupancy']

#: Occupancy that a cached prefix is worth.
PREFIX_BONUS = 0.25
#: Occupancy that a hop to another hall costs.
HALL_COST = 0.1
#: A report older than this is ignored, and only own requests count. Agents
#: report every 0.25 s; much older reports mislead more than they inform.
REPORT_STALE_S = 0.5
#: Time until a new runner gets its full share of requests.
SLOW_START_S = 10.0
SAMPLES = 2


class Candidate(typing.NamedTuple):
    """The state of one runner, as this gateway knows it now."""

    name: str
    hall: str
    slots: int
    reported_requests: int  # running and waiting at the last report
    report_age_s: float
    own_since_report: int  # started less ended since that report
    own_requests: int  # of this gateway, in flight there
    slowness: float  # mean time to first data over that of its peers
    ejected: bool
    age_s: float  # since this gateway first saw the runner


class Choice(typing.NamedTuple):
    """The selected runner and the reason, which `ask` prints."""

    name: str
    reason: str


def occupancy(candidate: Candidate) -> float:
    """Return the estimated requests per slot."""
    if candidate.report_age_s > REPORT_STALE_S:
        load = candidate.own_requests
    else:
        load = max(
            candidate.own_requests,
            candidate.reported_requests + candidate.own_since_report,
        )
    return load / candidate.slots


def _score(candidate: Candidate, hall: str, cached: str) -> float:
    score = occupancy(candidate) * max(1.0, candidate.slowness)
    if candidate.hall != hall:
        score += HALL_COST
    if candidate.name == cached:
        score -= PREFIX_BONUS
    if candidate.age_s < SLOW_START_S:
        score += 0.5 * (1 - candidate.age_s / SLOW_START_S)
    return score


def choose(
    candidates: list[Candidate],
    hall: str,
    cached: str,
    rng: random.Random,
) -> Choice | None:
    """Return the runner for a request, or None if there is none.

    ``cached`` is the name of the runner that likely has the request's prefix
    in its cache, or ''. It is compared with the ones drawn. Ejected runners
    are used only if all are ejected.
    """
    usable = [c for c in candidates if not c.ejected] or candidates
    if not usable:
        return None
    drawn = rng.sample(usable, min(SAMPLES, len(usable)))
    drawn += [c for c in usable if c.name == cached and c not in drawn]
    best = min(drawn, key=lambda c: _score(c, hall, cached))
    others = ', '.join(
        f'{c.name} {occupancy(c):.2f}' for c in drawn if c is not best
    )
    prefix = 'holds the prefix, ' if best.name == cached else ''
    return Choice(
        best.name,
        f'{best.name}: {prefix}occupancy {occupancy(best):.2f}'
        f' (report {min(best.report_age_s, 999):.1f} s old)'
        + (f'; over {others}' if others else '; the only one'),
    )
