# SPDX-License-Identifier: Apache-2.0

"""Placement of voters over halls, and the best change of one voter.

All functions are pure. ``hall_losses`` is the number of whole halls whose
simultaneous loss is tolerated; voters without a known hall count as one hall.
"""

import collections
import typing

from mountridge.consensus import entries

__all__ = [
    'best_addition', 'best_removal', 'best_replacement', 'excess', 'surplus',
    'voters_per_hall',
]  # fmt: skip


def voters_per_hall(config: entries.Config) -> dict[str, int]:
    """Return the number of voters in each hall."""
    counts = collections.Counter(
        config.halls.get(node_id, '') for node_id in config.voters
    )
    return dict(sorted(counts.items()))


def surplus(
    config: entries.Config,
    responsive: typing.Collection[str],
    hall_losses: int,
) -> int:
    """Return how many responsive voters exceed a quorum after the worst loss.

    If it is negative, the loss of ``hall_losses`` halls stops the log.
    """
    counts = collections.Counter(
        config.halls.get(node_id, '')
        for node_id in config.voters
        if node_id in responsive
    )
    lost = sum(count for _, count in counts.most_common(hall_losses))
    quorum = len(config.voters) // 2 + 1
    return counts.total() - lost - quorum


def excess(config: entries.Config, hall_losses: int) -> int:
    """Return the number of voters above the limit in the fullest halls.

    These are ``hall_losses`` halls. The result is 0 if the voters of all
    other halls are a majority; all voters are taken as responsive.
    """
    return max(0, -surplus(config, config.voters, hall_losses))


def _rank(
    config: entries.Config,
    changed: entries.Config,
    node_id: str,
    hall_losses: int,
) -> tuple:
    """Return a sort key for a change of ``node_id``; lower is better."""
    hall = config.halls.get(node_id, '')
    return (
        excess(changed, hall_losses),
        voters_per_hall(changed).get(hall, 0),
        node_id,
    )


def best_addition(
    config: entries.Config, learners: list[str], hall_losses: int
) -> str:
    """Return the learner whose promotion gives the best placement."""
    return min(
        learners,
        key=lambda node_id: _rank(
            config, config.promote(node_id), node_id, hall_losses
        ),
    )


def best_removal(
    config: entries.Config,
    unresponsive: list[str],
    leader: str,
    hall_losses: int,
) -> str:
    """Return the voter whose removal gives the best placement.

    Among equals an unresponsive one comes first, and the leader last.
    """

    def rank(node_id: str) -> tuple:
        changed = config.without(node_id)
        hall_size = voters_per_hall(config).get(
            config.halls.get(node_id, ''), 0
        )
        return (
            excess(changed, hall_losses),
            node_id == leader,
            node_id not in unresponsive,
            -hall_size,
            node_id,
        )

    return min(config.voters, key=rank)


def best_replacement(
    config: entries.Config,
    unresponsive: list[str],
    learners: list[str],
    leader: str,
    hall_losses: int,
) -> tuple[str, str] | None:
    """Return (learner, voter) for the best replacement, or None.

    An unresponsive voter is replaced unless the excess grows, a responsive
    one only if the excess shrinks. The leader is never replaced.
    """
    current_excess = excess(config, hall_losses)
    candidates = []
    for voter in config.voters:
        if voter == leader or (
            voter not in unresponsive and not current_excess
        ):
            continue
        for learner in learners:
            changed = config.promote(learner).without(voter)
            new_excess = excess(changed, hall_losses)
            if voter in unresponsive and new_excess > current_excess:
                continue
            if voter not in unresponsive and new_excess >= current_excess:
                continue
            rank = _rank(config, changed, learner, hall_losses)
            candidates.append(
                (rank[0], voter not in unresponsive, *rank[1:], voter)
            )
    if not candidates:
        return None
    best = min(candidates)
    return best[-2], best[-1]
