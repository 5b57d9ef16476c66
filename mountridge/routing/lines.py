# SPDX-License-Identifier: Apache-2.0

"""Requests of one gateway that wait for their turn at a service.

The more urgent goes first, else the one that came first.
"""

import bisect
import itertools

import trio

__all__ = ['Line', 'Place']


class Place:
    """One request's place in a line."""

    def __init__(self, key: tuple[int, int]):
        self.key = key
        #: Set when the place may have changed; whoever waits puts in a new.
        self.moved = trio.Event()


class Line:
    """The places of a line, in order."""

    def __init__(self) -> None:
        self._places: list[Place] = []
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        return len(self._places)

    def join(self, priority: int) -> Place:
        """Return a new place, behind all that are as urgent.

        Where it goes before others, only the last of them is woken: its turn
        is the latest, so it is refused first where it comes too late.
        """
        place = Place((priority, next(self._arrivals)))
        bisect.insort(self._places, place, key=_key)
        self._places[-1].moved.set()
        return place

    def leave(self, place: Place) -> None:
        """Give up a place; the request that is first now is told."""
        self._places.remove(place)
        if self._places:
            self._places[0].moved.set()

    def ahead(self, place: Place) -> int:
        """Return how many requests are before ``place``."""
        return bisect.bisect_left(self._places, place.key, key=_key)


def _key(place: Place) -> tuple[int, int]:
    return place.key
