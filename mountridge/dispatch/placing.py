# SPDX-License-Identifier: Apache-2.0

"""Placing: which runner gets a request, as a pure function of what is known.

The estimate of a runner's load is its last report plus what this gateway
has sent and seen end since. Of two runners drawn at random the less loaded
one is taken, so that gateways with equally old reports do not herd.
"""

import random
import typing

__all__ = ['Candidate', 'Choice', 'choose', 'occupancy']

#: Occupancy that a cached prefix is worth: a hint with a cost.
AFFINITY_WORTH = 0.25
#: Occupancy that a hop to another hall costs.
HALL_COST = 0.1
#: A report older than this says nothing; own requests count alone. Agents
#: report each 0.25 s; what is much older misleads more than it tells.
REPORT_OLD_S = 0.5
#: A fresh runner takes this long to be given its full part.
WARM_UP_S = 10.0
SAMPLES = 2


class Candidate(typing.NamedTuple):
    """One runner as this gateway sees it now."""

    name: str
    hall: str
    slots: int
    reported: int  # running and waiting at the last report
    report_age_s: float
    own_since: int  # own requests begun less ended since that report
    own: int  # own requests there in all
    slowness: float  # mean time to first data over that of its peers
    ejected: bool
    age_s: float  # since this gateway first saw the runner


class Choice(typing.NamedTuple):
    """The runner chosen and why, in words that `ask` prints."""

    name: str
    reason: str


def occupancy(candidate: Candidate) -> float:
    """Return the estimated requests per slot."""
    if candidate.report_age_s > REPORT_OLD_S:
        known = candidate.own
    else:
        known = max(candidate.own, candidate.reported + candidate.own_since)
    return known / candidate.slots


def _score(candidate: Candidate, hall: str, cached: str) -> float:
    score = occupancy(candidate) * max(1.0, candidate.slowness)
    if candidate.hall != hall:
        score += HALL_COST
    if candidate.name == cached:
        score -= AFFINITY_WORTH
    if candidate.age_s < WARM_UP_S:
        score += 0.5 * (1 - candidate.age_s / WARM_UP_S)
    return score


def choose(
    candidates: list[Candidate],
    hall: str,
    cached: str,
    rng: random.Random,
) -> Choice | None:
    """Return the runner for a request, or None where there is none.

    ``cached`` names the runner that likely holds the request's prefix, or
    is ''. Ejected runners are used only where all are ejected.
    """
    usable = [c for c in candidates if not c.ejected] or candidates
    if not usable:
        return None
    drawn = rng.sample(usable, min(SAMPLES, len(usable)))
    drawn += [c for c in usable if c.name == cached and c not in drawn]
    best = min(drawn, key=lambda c: _score(c, hall, cached))
    seen = ', '.join(
        f'{c.name} {occupancy(c):.2f}' for c in drawn if c is not best
    )
    why = 'holds the prefix, ' if best.name == cached else ''
    return Choice(
        best.name,
        f'{best.name}: {why}occupancy {occupancy(best):.2f}'
        f' (report {min(best.report_age_s, 999):.1f} s old)'
        + (f'; over {seen}' if seen else '; the only one'),
    )
