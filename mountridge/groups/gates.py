# SPDX-License-Identifier: Apache-2.0

"""The gate of a rank: which expert map it uses in which step.

A new map comes in two phases through the replicated log. *Opened*: the map
and the step from which it may hold are in the log; a rank that has it ready
arms, which is a promise not to enter that step, or a later one, without the
decision. *Closed*: the log holds the decision, for the new map only where
every rank had armed. A rank that does not know the decision waits at the
step; its group could not go on without it anyway.
"""

import typing

from mountridge import messages

__all__ = [
    'Gate', 'MapState', 'WAIT', 'close_map', 'initial_state', 'open_map',
]  # fmt: skip


class MapState(typing.NamedTuple):
    """The maps of one group as the log has them."""

    group: str
    #: (first step, version) of the maps that some rank may still need. A
    #: rank can lag behind by more than one decision, and must then use the
    #: map of its own step.
    history: tuple[tuple[int, int], ...]
    opened: int  # version that is open, 0 for none
    open_step: int
    last_opened: int  # the newest version ever opened


#: What `Gate.enter` returns while the decision is not known.
WAIT = -1
#: Decided maps that are kept for ranks that lag behind.
MAX_HISTORY = 16


def initial_state(group: str) -> MapState:
    """Return the state of a group that has only ever had its first map."""
    return MapState(group, ((0, 1),), 0, 0, 1)


def open_map(state: MapState, step: int, entered: int) -> MapState:
    """Open the next version for ``step``; unchanged where that can't be.

    ``entered`` is the least step that any rank is known to have entered;
    maps that no rank can need any more are forgotten.
    """
    history = state.history
    while len(history) > 1 and history[1][0] <= entered:
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
    """Decide about the open version; only the first decision counts."""
    if state.opened != version:
        return state
    closed = state._replace(opened=0, open_step=0)
    if not accepted:
        return closed
    return closed._replace(
        history=state.history + ((state.open_step, version),)
    )


class Gate:
    """One rank's knowledge, and the promises that it has given.

    A fresh gate knows nothing and waits until it has heard the log's state
    from a leader, so a rank that restarts can't enter a step too early.
    """

    def __init__(self) -> None:
        self.state: MapState | None = None
        self.fence = messages.Fence(0, 0)
        self.entered = 0  # newest step entered
        self.armed = 0  # version armed for, 0 for none

    def apply(self, fence: messages.Fence, state: MapState) -> bool:
        """Take the log's state; false for one older than what is known."""
        if fence < self.fence:
            return False
        self.fence = fence
        self.state = state
        if self.armed and state.opened != self.armed:
            # The log holds the decision: the promise is kept.
            self.armed = 0
        return True

    def arm(self, version: int) -> bool:
        """Promise to wait at the open map's step; false where too late.

        The promise is kept by `enter`: a gate never goes back to a state
        before the opening, and waits at the step until it is closed.
        """
        state = self.state
        if state is None or not version or state.opened != version:
            return False
        if self.entered >= state.open_step:
            return False
        self.armed = version
        return True

    def enter(self, step: int) -> int:
        """Return the version of the map for ``step``, or `WAIT`."""
        state = self.state
        if state is None:
            return WAIT
        if state.opened and step >= state.open_step:
            return WAIT
        self.entered = max(self.entered, step)
        fit = [v for first, v in state.history if first <= step]
        return fit[-1]
