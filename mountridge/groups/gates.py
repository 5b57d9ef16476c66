# SPDX-License-Identifier: Apache-2.0

"""The gate of a rank: decides which expert map it uses in which step.

A new map is adopted in two phases through the replicated log. *Opened*: the
log holds the map's version and the first step that may use it. A rank that has
prepared the map arms: it promises not to enter that step or a later one before
it knows the decision. *Closed*: the log holds the decision, which is for the
new map only if every rank had armed. A rank that does not know the decision
waits at the step; its group could not proceed without it anyway.
"""

import typing

from mountridge import messages

__all__ = [
    'Gate', 'MapState', 'WAIT', 'close_map', 'initial_state', 'open_map',
]  # fmt: skip


class MapState(typing.NamedTuple):
    """The expert maps of one group, as recorded in the log."""

    group: str
    #: (first step, version) of the maps that some rank may still need. A
    #: rank can lag behind by more than one decision, and must then use the
    #: map of its own step.
    history: tuple[tuple[int, int], ...]
    opened: int  # version that is open, 0 for none
    open_step: int  # first step that may use the open version
    last_opened: int  # the newest version ever opened


#: Returned by `Gate.enter` while the map of the step is undecided.
WAIT = -1
#: Maximum number of decided maps kept for ranks that lag behind.
MAX_HISTORY = 16


def initial_state(group: str) -> MapState:
    """Return the state of a group that uses its first map."""
    return MapState(group, ((0, 1),), 0, 0, 1)


def open_map(state: MapState, step: int, min_entered: int) -> MapState:
    """Open the next version for ``step``.

    Returns the state unchanged if a version is open already, if ``step`` is
    not after the first step of the current map, or if the history is full.
    ``min_entered`` is the step that the slowest rank is known to have entered;
    maps that no rank needs any more are dropped from the history.
    """
    history = state.history
    while len(history) > 1 and history[1][0] <= min_entered:
        history = history[1:]
    if state.opened or step <= history[-1][0]:
        return state
    if len(history) >= MAX_HISTORY:
        return state
    version = state.last_opened + 1
    return state._replace(
        history=history,
        opened=version,
        open_step=step,
        last_opened=version,
    )


def close_map(state: MapState, version: int, accepted: bool) -> MapState:
    """Record the decision on the open version; only the first one counts."""
    if state.opened != version:
        return state
    closed = state._replace(opened=0, open_step=0)
    if not accepted:
        return closed
    return closed._replace(
        history=state.history + ((state.open_step, version),)
    )


class Gate:
    """One rank's copy of the map state, and the version it has armed for.

    A new gate has no state and waits until it receives the log's state from a
    leader, so a rank that restarts can't enter a step too early.
    """

    def __init__(self) -> None:
        self.state: MapState | None = None
        self.fence = messages.Fence(0, 0)
        self.entered = 0  # newest step entered
        self.armed = 0  # version armed for, 0 for none

    def apply(self, fence: messages.Fence, state: MapState) -> bool:
        """Apply the log's state; return false if it is outdated."""
        if fence < self.fence:
            return False
        self.fence = fence
        self.state = state
        if self.armed and state.opened != self.armed:
            # The log holds the decision, so the promise is fulfilled.
            self.armed = 0
        return True

    def arm(self, version: int) -> bool:
        """Promise to wait at the open map's step; return false if too late.

        `enter` enforces the promise: a gate never returns to a state from
        before the opening, and waits at the step until the map is closed.
        """
        state = self.state
        if state is None or not version or state.opened != version:
            return False
        if self.entered >= state.open_step:
            return False
        self.armed = version
        return True

    def enter(self, step: int) -> int:
        """Enter ``step`` and return the version of its map, or `WAIT`."""
        state = self.state
        if state is None:
            return WAIT
        if state.opened and step >= state.open_step:
            return WAIT
        self.entered = max(self.entered, step)
        versions = [v for first, v in state.history if first <= step]
        return versions[-1]
