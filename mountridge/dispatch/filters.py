# SPDX-License-Identifier: Apache-2.0

"""The filter chain: each filter lets a request pass, or refuses it.

A filter is a function of (exchange, now_s). It raises a `MountridgeError`
to refuse, and adds to ``exchange.cleanups`` what must be given back.
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

#: What of a request's body stands for its cached prefix, in bytes.
PREFIX_BYTES = 1024


class Rows:
    """The rows of the view by team and service, made anew on a change."""

    def __init__(self, held: leases.HeldLease):
        self._held = held
        self._revision = -1
        self._rows: dict[str, dict[str, list[tables.Row]]] = {}
        self.version = 0

    def _refresh(self) -> None:
        view = self._held.view
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

        :raises UnknownTeam, UnknownModel: where there is none.
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
        """Return the services that a team has rows for."""
        self._refresh()
        return sorted(self._rows.get(team, {}))


def check_lease(
    held: leases.HeldLease, exchange: exchanges.Exchange, now_s: float
) -> None:
    """Refuse while this gateway may act on an old table only."""
    if not held.is_valid(now_s):
        raise errors.NoLease(retry_after_s=1.0)


def find_row(rows: Rows, exchange: exchanges.Exchange, now_s: float) -> None:
    """Find the rows that rule; the first one sets limits and deadline."""
    found = rows.find(exchange.team, exchange.service)
    exchange.row = found[0]
    exchange.groups = {row.expert_group for row in found}
    exchange.table_version = rows.version
    exchange.deadline_at_s = now_s + exchange.row.deadline_s


def check_key(exchange: exchanges.Exchange, now_s: float) -> None:
    """Refuse a call that may not be repeated and has no fit key."""
    if exchange.row.repeatable:
        exchange.key = ''
    else:
        claims.key_time(exchange.key)
        exchange.may_have_run = True
        exchange.key = f'{exchange.team}/{exchange.service}/{exchange.key}'


def mark_prefix(exchange: exchanges.Exchange, now_s: float) -> None:
    """Name the prefix by which a runner's cache may know the request."""
    head = exchange.body[:PREFIX_BYTES]
    exchange.prefix = xxhash.xxh64_hexdigest(head)


def chain(held: leases.HeldLease, rows: Rows) -> list[Filter]:
    """Return the filters in the order in which they are run."""
    return [
        functools.partial(check_lease, held),
        functools.partial(find_row, rows),
        check_key,
        mark_prefix,
    ]
