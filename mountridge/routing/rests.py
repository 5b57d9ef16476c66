# SPDX-License-Identifier: Apache-2.0

"""Rests that runners ask this gateway for when they turn a request away.

They are kept apart from all else that is known of a runner: its registration
may be lost and come back while a rest lasts.
"""

import math
import typing

from mountridge.documents import instances

__all__ = ['Rest', 'Rests']

#: Taken where a runner asks for rest and its span can't be read: about what
#: a full runner needs to have a slot again.
UNREAD_S = 1.0
#: A runner that asks for more than an hour has given another unit.
MOST_S = 3600.0


class Rest(typing.NamedTuple):
    """A rest that a runner asked for."""

    asked_s: float  # when that was heard
    until_s: float


class Rests:
    """The rests of runners, by life."""

    def __init__(self) -> None:
        self._by_life: dict[tuple, Rest] = {}

    def ask(
        self, runner: instances.Instance, span_s: float, now_s: float
    ) -> Rest:
        """Take what a runner asks for; not a number stands for unreadable."""
        span_s = UNREAD_S if math.isnan(span_s) else min(span_s, MOST_S)
        until_s = now_s + span_s
        held = self.at(runner, now_s)
        if held is not None:
            until_s = max(until_s, held.until_s)
        rest = Rest(now_s, until_s)
        self._by_life[_life(runner)] = rest
        return rest

    def at(self, runner: instances.Instance, now_s: float) -> Rest | None:
        """Return the rest that a runner has now, None for none."""
        rest = self._by_life.get(_life(runner))
        if rest is None or rest.until_s <= now_s:
            return None
        return rest


def _life(runner: instances.Instance) -> tuple:
    return runner.instance_id, runner.lives, runner.born_ms
