# SPDX-License-Identifier: Apache-2.0

"""Which of several runners gets a request, as functions of what is known."""

import heapq
import random
import typing

from mountridge.routing import runnerstates

__all__ = ['take_place']

Backend = runnerstates.Backend


def take_place(
    backends: list[Backend],
    cost: typing.Callable[[Backend], float],
    place: int,
    rng: random.Random,
) -> Backend:
    """Return who gets the request after ``place`` others.

    Each goes where the cost is least, ties at random, and adds to it.
    """
    heap = [(cost(b), rng.random(), n) for n, b in enumerate(backends)]
    heapq.heapify(heap)
    for _ in range(place):
        least, tie, number = heap[0]
        step = 1 / max(1, backends[number].instance.slots)
        heapq.heapreplace(heap, (least + step, tie, number))
    return backends[heap[0][2]]
