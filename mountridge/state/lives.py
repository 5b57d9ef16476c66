# SPDX-License-Identifier: Apache-2.0

"""Which of two words about a runner is newer, and which changes nothing.

A word is a heartbeat or a leave. Words of one id are ordered by the start
that they tell, then by their count. A word that tells no start is ordered by
its count alone, so it can't begin a new life while the former one holds.

A life ends for good where the runner says that it leaves. Where silence or
another runner at its address ended it, the end may be a mistake, and a newer
word of it counts. Of two runners at one address the one with the later start
has it; where one tells none, the one that registered later.

The functions decide from replicated state alone, so that every controller
and every later leader decides the same.
"""

import enum
import typing

from mountridge.documents import instances

__all__ = [
    'LATE_S', 'Order', 'Refusal', 'check_leave', 'classify', 'has_ended',
    'is_unchanged', 'updated',
]  # fmt: skip

#: Longest that a word is under way: its sender gives a call up after a
#: second, but a box that stood still may pass it on when it wakes.
LATE_S = 10.0
#: Number of leading fields of a registration that its runner tells with each
#: heartbeat; from `seq` on the controllers keep them.
_TOLD_FIELDS = instances.Instance._fields.index('seq')


class Refusal(enum.StrEnum):
    """Why a word changes nothing; counted and logged by these names."""

    OLDER_LIFE = 'older_life'  # a later start is known under this id
    OLDER_COUNT = 'older_count'  # a newer word of this life has come
    LEFT = 'left'  # this life has said that it leaves
    NO_START = 'no_start'  # the life that holds tells its start
    MOVED = 'moved'  # another service or place within one life
    ADDRESS = 'address'  # a later runner has the address
    EARLY_LEAVE = 'early_leave'  # it may mean the life before


class Order(enum.Enum):
    """How a word of an id stands to what is held of that id."""

    SAME = enum.auto()  # a newer word of the life that holds
    NEWER = enum.auto()  # the first word of a life
    BACK = enum.auto()  # of a life that was taken as over


def has_ended(instance: instances.Instance) -> bool:
    """Return whether a registration is over."""
    return instance.state == instances.LEFT


def is_unchanged(given: instances.Instance, known: instances.Instance) -> bool:
    """Return whether a word tells nothing that is not held."""
    return given[:_TOLD_FIELDS] == known[:_TOLD_FIELDS]


def classify(
    given: instances.Instance,
    known: instances.Instance | None,
    others: typing.Iterable[instances.Instance],
) -> Order | Refusal:
    """Return what a heartbeat is, or why it changes nothing.

    ``known`` is what is held under its id. ``others`` are registrations of
    other ids; those at other addresses are passed over.
    """
    order = _order(given, known)
    if not isinstance(order, Order) or order is Order.SAME:
        return order
    for other in others:
        if other.address == given.address and not _yields(other, given, order):
            return Refusal.ADDRESS
    return order


def _order(
    given: instances.Instance, known: instances.Instance | None
) -> Order | Refusal:
    """Order a word after what is held under its id."""
    if known is None:
        return Order.NEWER
    if given.born_ms and known.born_ms:
        if given.born_ms != known.born_ms:
            is_newer = given.born_ms > known.born_ms
            return Order.NEWER if is_newer else Refusal.OLDER_LIFE
        return _order_within(given, known)
    if given.born_ms:
        return _order_first_start(given, known)
    if known.born_ms:
        return Order.BACK if known.may_return else Refusal.NO_START
    return _order_within(given, known)


def _order_first_start(
    given: instances.Instance, known: instances.Instance
) -> Order | Refusal:
    """Order a word that tells a start after a life that told none."""
    if not has_ended(known) or given.born_ms > known.since_ms:
        return Order.NEWER
    return _order_within(given, known)


def _order_within(
    given: instances.Instance, known: instances.Instance
) -> Order | Refusal:
    """Order two words of one life by their counts."""
    if has_ended(known) and not known.may_return:
        return Refusal.LEFT
    if given.seq < known.seq:
        return Refusal.OLDER_COUNT
    if has_ended(known):
        return Order.BACK
    place = (given.service, given.address, given.hall)
    if place != (known.service, known.address, known.hall):
        return Refusal.MOVED
    return Order.SAME


def _yields(
    other: instances.Instance, given: instances.Instance, order: Order
) -> bool:
    """Return whether a runner at the same address gives way to a word."""
    if other.born_ms and given.born_ms:
        # Also one that is over: a later start there has ended this one.
        return other.born_ms < given.born_ms
    if has_ended(other):
        return True
    return order is Order.NEWER and not other.born_ms


def check_leave(
    born_ms: int, lives: int, known: instances.Instance | None, now_ms: int
) -> Refusal | None:
    """Return why a leave ends nothing; None where it ends what is held.

    ``born_ms`` is the start that it tells, ``lives`` the life that was held
    where it came in; 0 where either is not told. A leave that tells no start
    and comes soon after a restart may be of the life before; a runner that
    has said that it drains is meant itself.
    """
    if known is None or (has_ended(known) and not known.may_return):
        return None
    if born_ms and known.born_ms:
        return Refusal.OLDER_LIFE if born_ms < known.born_ms else None
    if lives and lives < known.lives:
        return Refusal.OLDER_LIFE
    is_fresh = known.lives > 1 and now_ms - known.since_ms < LATE_S * 1000
    if is_fresh and known.state == instances.READY:
        return Refusal.EARLY_LEAVE
    return None


def updated(
    given: instances.Instance,
    known: instances.Instance | None,
    order: Order,
    now_ms: int,
) -> instances.Instance:
    """Return what is held once a word was taken."""
    if order is Order.SAME and known is not None:
        return given._replace(lives=known.lives, since_ms=known.since_ms)
    before = known.lives if known else 0
    return given._replace(lives=before + 1, since_ms=now_ms, may_return=False)
