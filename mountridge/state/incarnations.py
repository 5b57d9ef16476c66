# SPDX-License-Identifier: Apache-2.0

"""Ordering of messages from runners, and detection of outdated ones.

A message is a heartbeat or a leave. Messages of one id are ordered by the
start time that they carry, then by their sequence number. A message without
a start time is ordered by its sequence number alone, so it can't begin a new
incarnation while the current one is registered.

An incarnation that has announced its leave has ended for good. One that was
ended by a timeout, or by another runner at its address, may still be running,
and a newer message of it registers it again. Of two runners at one address
the one with the later start time gets it; if either has no start time, the
one that registered later.

The functions depend on replicated state alone, so that every controller and
every later leader makes the same decision.
"""

import enum
import typing

from mountridge.documents import instances

__all__ = [
    'MAX_DELAY_S', 'Order', 'Refusal', 'check_leave', 'classify', 'has_ended',
    'is_unchanged', 'updated',
]  # fmt: skip

#: Longest delay of a message: its sender gives up after a second, but a box
#: that was suspended may forward it when it resumes.
MAX_DELAY_S = 10.0
#: Number of leading fields of a registration that each heartbeat carries;
#: the controllers maintain those from `seq` on.
_REPORTED_FIELDS = instances.Instance._fields.index('seq')


class Refusal(enum.StrEnum):
    """Why a message is ignored; the values are in metrics and log lines."""

    OLDER_LIFE = 'older_life'  # a later start time is registered for the id
    OLDER_COUNT = 'older_count'  # a newer message was received
    LEFT = 'left'  # this incarnation has announced its leave
    NO_START = 'no_start'  # the registered incarnation has a start time
    MOVED = 'moved'  # service, address or hall changed without a restart
    ADDRESS = 'address'  # a later runner is registered at the address
    EARLY_LEAVE = 'early_leave'  # it may be of the earlier incarnation


class Order(enum.Enum):
    """How a message relates to the registration; the names are logged."""

    SAME = enum.auto()  # a newer message of the registered incarnation
    NEWER = enum.auto()  # the first message of an incarnation
    BACK = enum.auto()  # of an incarnation that was considered ended


def has_ended(instance: instances.Instance) -> bool:
    """Return whether a registration has ended."""
    return instance.state == instances.LEFT


def is_unchanged(
    received: instances.Instance, registered: instances.Instance
) -> bool:
    """Return whether a heartbeat leaves a registration as it is."""
    return received[:_REPORTED_FIELDS] == registered[:_REPORTED_FIELDS]


def classify(
    received: instances.Instance,
    registered: instances.Instance | None,
    others: typing.Iterable[instances.Instance],
) -> Order | Refusal:
    """Return how a heartbeat relates to its registration, or a refusal.

    ``registered`` is the registration of its id. ``others`` are
    registrations of other ids; those at other addresses are ignored.
    """
    order = _order(received, registered)
    if not isinstance(order, Order) or order is Order.SAME:
        return order
    for other in others:
        if other.address == received.address and not _loses_address(
            other, received, order
        ):
            return Refusal.ADDRESS
    return order


def _order(
    received: instances.Instance, registered: instances.Instance | None
) -> Order | Refusal:
    """Order a message relative to the registration of its id."""
    if registered is None:
        return Order.NEWER
    if received.born_ms and registered.born_ms:
        if received.born_ms != registered.born_ms:
            is_newer = received.born_ms > registered.born_ms
            return Order.NEWER if is_newer else Refusal.OLDER_LIFE
        return _order_within(received, registered)
    if received.born_ms:
        return _order_first_start(received, registered)
    if registered.born_ms:
        return Order.BACK if registered.may_return else Refusal.NO_START
    return _order_within(received, registered)


def _order_first_start(
    received: instances.Instance, registered: instances.Instance
) -> Order | Refusal:
    """Order a message with a start time after an incarnation without."""
    if not has_ended(registered) or received.born_ms > registered.since_ms:
        return Order.NEWER
    return _order_within(received, registered)


def _order_within(
    received: instances.Instance, registered: instances.Instance
) -> Order | Refusal:
    """Order two messages of one incarnation by sequence number."""
    if has_ended(registered) and not registered.may_return:
        return Refusal.LEFT
    if received.seq < registered.seq:
        return Refusal.OLDER_COUNT
    if has_ended(registered):
        return Order.BACK
    location = (received.service, received.address, received.hall)
    if location != (registered.service, registered.address, registered.hall):
        return Refusal.MOVED
    return Order.SAME


def _loses_address(
    other: instances.Instance, received: instances.Instance, order: Order
) -> bool:
    """Return whether a runner loses its address to a message's sender."""
    if other.born_ms and received.born_ms:
        # Also if it has ended: an earlier runner has ended before it.
        return other.born_ms < received.born_ms
    if has_ended(other):
        return True
    return order is Order.NEWER and not other.born_ms


def check_leave(
    born_ms: int,
    lives: int,
    registered: instances.Instance | None,
    now_ms: int,
) -> Refusal | None:
    """Return why a leave is ignored; None if it ends the registration.

    ``born_ms`` is the start time that it carries, ``lives`` the incarnation
    registered in the view of the process that received it; 0 if unknown. A
    leave without a start time soon after a restart may be of the earlier
    incarnation, unless the registered one is draining.
    """
    if registered is None or (
        has_ended(registered) and not registered.may_return
    ):
        return None
    if born_ms and registered.born_ms:
        return Refusal.OLDER_LIFE if born_ms < registered.born_ms else None
    if lives and lives < registered.lives:
        return Refusal.OLDER_LIFE
    is_fresh = (
        registered.lives > 1
        and now_ms - registered.since_ms < MAX_DELAY_S * 1000
    )
    if is_fresh and registered.state == instances.READY:
        return Refusal.EARLY_LEAVE
    return None


def updated(
    received: instances.Instance,
    registered: instances.Instance | None,
    order: Order,
    now_ms: int,
) -> instances.Instance:
    """Return the registration after an accepted heartbeat."""
    if order is Order.SAME and registered is not None:
        return received._replace(
            lives=registered.lives, since_ms=registered.since_ms
        )
    before = registered.lives if registered else 0
    return received._replace(
        lives=before + 1, since_ms=now_ms, may_return=False
    )
