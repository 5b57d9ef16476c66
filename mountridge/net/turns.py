# SPDX-License-Identifier: Apache-2.0

"""Lets other tasks run while bytes that have arrived are parsed.

A read yields to other tasks, but one read may bring thousands of chunks, whose
parser needs no further input meanwhile.
"""

import trio

__all__ = ['Turns']

#: Parsed parts between two yields: about 1 ms of parsing.
PARTS_PER_TURN = 32


class Turns:
    """Counts the parts that one connection parses without a yield."""

    def __init__(self) -> None:
        self._parts = 0

    async def count_part(self) -> None:
        """Count a part; yield to other tasks if it is time to."""
        self._parts += 1
        if self._parts >= PARTS_PER_TURN:
            self._parts = 0
            await trio.lowlevel.checkpoint()
