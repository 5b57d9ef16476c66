# SPDX-License-Identifier: Apache-2.0

"""The filter chain that each request passes before it is dispatched.

A filter is a function of (exchange, now_s). It raises a `MountridgeError`
to refuse the request, and adds to ``exchange.cleanups`` a function for each
resource that must be released.
"""

import functools
import typing

import msgspec
import xxhash

from mountridge.dispatch import exchanges
from mountridge.documents import tables
from mountridge import errors
from mountridge.state import claims, leases, views

__all__ = ['Filter', 'Rows', 'chain']

Filter = typing.Callable[[exchanges.Exchange, float], None]

#: Length of the part of the body that identifies its prompt prefix.
PREFIX_BYTES = 1024


class Rows:
    """Index of the view's table rows by team and service.

    It is rebuilt when the revision of the view has changed.
    """

    def __init__(self, lease: leases.HeldLease):
        self._lease = lease
        self._revision = -1
        self._rows: dict[str, dict[str, list[tables.Row]]] = {}
        self.version = 0

    def _refresh(self) -> None:
        view = self._lease.view
        if view.revision == self._revision:
            return
        self._revision = view.revision
        self._rows = {}
        for packed in view.by_prefix('row/').values():
            row = views.unpack_row(packed)
            team = self._rows.setdefault(row.team, {})
            team.setdefault(row.service, []).append(row)
        version = view.entries.get('table/version')
        self.version = msgspec.msgpack.decode(version.value) if version else 0

    def find(self, team: str, service: str) -> list[tables.Row]:
        """Return the rows of a team for a service.

        :raises UnknownTeam: the team has no rows.
        :raises UnknownModel: the team has no row for the service.
        """
        self._refresh()
        services = self._rows.get(team)
        if services is None:
            raise errors.UnknownTeam(f'team {team!r} has no row')
        found = services.get(service)
        if found is None:
            raise errors.UnknownModel(
                f'team {team!r} has no row for {service!r}'
            )
        return found

    def services(self, team: str) -> list[str]:
        """Return the names of the services that a team has rows for."""
        self._refresh()
        return sorted(self._rows.get(team, {}))


def check_lease(
    lease: leases.HeldLease, exchange: exchanges.Exchange, now_s: float
) -> None:
    """Refuse requests without a valid lease: the table may be outdated."""
    if not lease.is_valid(now_s):
        raise errors.NoLease(retry_after_s=1.0)


def find_row(rows: Rows, exchange: exchanges.Exchange, now_s: float) -> None:
    """Look up the rows that apply; the first sets limits and deadline."""
    found = rows.find(exchange.team, exchange.service)
    exchange.row = found[0]
    exchange.groups = {row.expert_group for row in found}
    exchange.table_version = rows.version
    exchange.deadline_at_s = now_s + exchange.row.deadline_s


def check_key(exchange: exchanges.Exchange, now_s: float) -> None:
    """Require an idempotency key for calls that may not be repeated.

    :raises KeyRequired: the key is missing or carries no time.
    """
    if exchange.row.repeatable:
        exchange.key = ''
    else:
        claims.key_time(exchange.key)
        exchange.may_have_run = True
        exchange.key = f'{exchange.team}/{exchange.service}/{exchange.key}'


def hash_prefix(exchange: exchanges.Exchange, now_s: float) -> None:
    """Set the digest of the prefix that a runner may have in its cache."""
    head = exchange.body[:PREFIX_BYTES]
    exchange.prefix = xxhash.xxh64_hexdigest(head)


def chain(lease: leases.HeldLease, rows: Rows) -> list[Filter]:
    """Return the filters in the order in which they are applied."""
    return [
        functools.partial(check_lease, lease),
        functools.partial(find_row, rows),
        check_key,
        hash_prefix,
    ]
