# SPDX-License-Identifier: Apache-2.0

"""Whether enough disks hold what the leader acknowledges.

A commit takes a majority of the voters, however few they are. While there are
fewer voters than the losses to be tolerated require, as when a deployment
forms, a loss that is tolerated could take the only copy, or the quorum.
"""

from mountridge.consensus import consensus

__all__ = ['FORMING_S', 'full_size', 'has_enough']

#: How long a leader with fewer voters waits for others after the set of voters
#: has changed. They join within a second of their start; one that is down may
#: not come for hours.
FORMING_S = 3.0


def full_size(losses: int) -> int:
    """Return the number of voters that tolerate so many losses."""
    return 2 * max(1, losses) + 1


def has_enough(node: consensus.Node, losses: int, steady_s: float) -> bool:
    """Return whether the leader may acknowledge what the voters commit.

    With all voters a quorum remains after the losses. With fewer, at least
    one copy must remain; this is taken for enough once the set of voters has
    not changed for ``steady_s``.
    """
    if node.commit_index < node.config_index:
        return False
    count = len(node.config.voters)
    if not losses or count >= full_size(losses):
        return True
    return node.quorum() > losses and steady_s >= FORMING_S
