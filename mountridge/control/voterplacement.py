# SPDX-License-Identifier: Apache-2.0

"""How voters stand in halls, and which change of one voter is best.

All functions are pure. ``hall_losses`` is how many whole halls may be lost at
once; voters of which no hall is known count as one hall.
"""

import collections
import typing

from mountridge.consensus import entries

__all__ = [
    'best_addition', 'best_exchange', 'best_removal', 'by_hall', 'excess',
    'left_over',
]  # fmt: skip


def by_hall(config: entries.Config) -> dict[str, int]:
    """Return the number of voters in each hall."""
    counts = collections.Counter(
        config.halls.get(key, '') for key in config.voters
    )
    return dict(sorted(counts.items()))


def left_over(
    config: entries.Config, answering: typing.Collection[str], hall_losses: int
) -> int:
    """Return how many voters past a majority answer after the worst loss.

    Below 0 the loss of ``hall_losses`` halls stops the log.
    """
    counts = collections.Counter(
        config.halls.get(key, '') for key in config.voters if key in answering
    )
    lost = sum(count for _, count in counts.most_common(hall_losses))
    quorum = len(config.voters) // 2 + 1
    return counts.total() - lost - quorum


def excess(config: entries.Config, hall_losses: int) -> int:
    """Return how many voters too many stand in the fullest halls.

    Those are ``hall_losses`` halls. 0 where the rest is a majority, were all
    voters there.
    """
    return max(0, -left_over(config, config.voters, hall_losses))


def _rank(
    config: entries.Config, changed: entries.Config, key: str, hall_losses: int
) -> tuple:
    """Return a key that is lower for a better change that concerns ``key``."""
    hall = config.halls.get(key, '')
    return excess(changed, hall_losses), by_hall(changed).get(hall, 0), key


def best_addition(
    config: entries.Config, learners: list[str], hall_losses: int
) -> str:
    """Return the learner by whom the spread gets best."""
    return min(
        learners,
        key=lambda key: _rank(config, config.promote(key), key, hall_losses),
    )


def best_removal(
    config: entries.Config, silent: list[str], leader: str, hall_losses: int
) -> str:
    """Return the voter by whose removal the spread gets best.

    Of those alike a silent one goes first, and the leader last.
    """

    def rank(key: str) -> tuple:
        changed = config.without(key)
        crowd = by_hall(config).get(config.halls.get(key, ''), 0)
        return (
            excess(changed, hall_losses),
            key == leader,
            key not in silent,
            -crowd,
            key,
        )

    return min(config.voters, key=rank)


def best_exchange(
    config: entries.Config,
    silent: list[str],
    learners: list[str],
    leader: str,
    hall_losses: int,
) -> tuple[str, str] | None:
    """Return (learner, voter) for the best change of places, or None.

    A silent voter is replaced where the excess does not grow; one that
    answers, only where it shrinks. The leader is never replaced.
    """
    now = excess(config, hall_losses)
    found = []
    for voter in config.voters:
        if voter == leader or (voter not in silent and not now):
            continue
        for learner in learners:
            after = config.promote(learner).without(voter)
            excess_after = excess(after, hall_losses)
            if voter in silent and excess_after > now:
                continue
            if voter not in silent and excess_after >= now:
                continue
            rank = _rank(config, after, learner, hall_losses)
            found.append((rank[0], voter not in silent, *rank[1:], voter))
    if not found:
        return None
    best = min(found)
    return best[-2], best[-1]
