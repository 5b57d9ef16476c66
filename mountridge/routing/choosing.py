# SPDX-License-Identifier: Apache-2.0

"""Selects the runner for a request by estimated cost."""

import heapq
import random
import typing

from mountridge.routing import runnerstates

__all__ = ['select_after']

Backend = runnerstates.Backend


def select_after(
    backends: list[Backend],
    cost: typing.Callable[[Backend], float],
    preceding: int,
    rng: random.Random,
) -> Backend:
    """Return the runner for a request that follows ``preceding`` others.

    Assumes that each of them is sent to the runner of least cost, ties broken
    at random, and raises that cost by one slot's share.
    """
    heap = [(cost(b), rng.random(), n) for n, b in enumerate(backends)]
    heapq.heapify(heap)
    for _ in range(preceding):
        least, tie, number = heap[0]
        step = 1 / max(1, backends[number].instance.slots)
        heapq.heapreplace(heap, (least + step, tie, number))
    return backends[heap[0][2]]
