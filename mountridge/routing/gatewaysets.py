# SPDX-License-Identifier: Apache-2.0

"""The gateways among which owners of a runner are chosen, by rendezvous.

Each gateway ranks all of them by a hash of names, so that those with the same
names agree without a message, and a change moves few owners.
"""

__all__ = ['GatewaySet', 'RETENTION_S', 'weigh']

#: A gateway that has left the view still counts as an owner for this time.
#: Most return under the same name within it, and gateways that count the
#: same names choose the same owners.
RETENTION_S = 30.0

_NEVER = float('inf')


class GatewaySet:
    """The names and halls of all gateways that may be owners."""

    def __init__(self, name: str, hall: str):
        self.name, self.hall = name, hall
        #: Halls of all gateways that may be owners, by name.
        self.halls = {name: hall}
        #: When those of them that have left the view expire.
        self._expires_s: dict[str, float] = {}
        self._next_expiry_s = _NEVER

    def update(self, halls: dict[str, str], now_s: float) -> bool:
        """Apply the view: halls by name; return whether anything changed."""
        before = dict(self.halls)
        self.halls.update(halls)
        for name in self.halls.keys() - halls.keys() - {self.name}:
            self._expires_s.setdefault(name, now_s + RETENTION_S)
        for name in self._expires_s.keys() & halls.keys():
            del self._expires_s[name]
        self._next_expiry_s = min(self._expires_s.values(), default=_NEVER)
        return before != self.halls

    def expire(self, now_s: float) -> bool:
        """Drop gateways that left the view `RETENTION_S` ago.

        Returns whether there were any.
        """
        if now_s < self._next_expiry_s:
            return False
        for name, until_s in list(self._expires_s.items()):
            if until_s <= now_s:
                del self._expires_s[name]
                del self.halls[name]
        self._next_expiry_s = min(self._expires_s.values(), default=_NEVER)
        return True


def weigh(name: str, runner_id: str) -> int:
    """Return the weight of a gateway for a runner; the highest is first."""
    # Loaded only by processes that need it.
    import xxhash

    return xxhash.xxh3_64_intdigest(f'{name}\0{runner_id}'.encode())
