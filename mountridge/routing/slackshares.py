# SPDX-License-Identifier: Apache-2.0

"""This gateway's share of a quota that is divided among all gateways.

The shares of all gateways add up to at most one while gateways restart and
views are partial or old: a share is held only under a lease, so that the
leader's view names its holder, and gateways that have left the view count as
long as what they sent may still be within a window (docs/PROMISES.md).
"""

import typing

from mountridge.routing import gatewaysets, warmup
from mountridge.state import leases

__all__ = ['SlackShares']


class SlackShares:
    """The gateways that share a quota, as known to one of them.

    ``held_for_s`` returns for how long this gateway has held its lease.
    """

    def __init__(
        self,
        name: str,
        hall: str,
        lease_s: float,
        held_for_s: typing.Callable[[float], float],
    ):
        self._gateways = gatewaysets.GatewaySet(name, hall)
        self._held_for_s = held_for_s
        #: By then each gateway that keeps its share through a gap in its
        #: lease has a view that names this one, and this one's view names all
        #: that have started with it.
        self._settled_s = (
            leases.MAX_GAP_LEASES + 1
        ) * lease_s + warmup.VIEW_DELAY_S

    def update_gateways(self, halls: dict[str, str], now_s: float) -> None:
        """Apply the view: the halls of all gateways by name.

        Draining ones count, since they retry the requests accepted before.
        """
        self._gateways.update(halls, now_s)

    def share(self, now_s: float) -> float:
        """Return the share of this gateway, 0 if it may not use any."""
        if self._held_for_s(now_s) < self._settled_s:
            return 0.0
        self._gateways.expire(now_s)
        return 1 / len(self._gateways.halls)
