# SPDX-License-Identifier: Apache-2.0

"""Backoffs and announced departures of all runners, for one gateway.

The states are kept by incarnation of a runner and apart from its registration,
which may be removed and restored while they are valid. They apply to requests
of the gateway that received them, and to no other.
"""

from mountridge.documents import instances
from mountridge.net import backoffstates

__all__ = ['Backoffs', 'NO_BACKOFF']

NO_BACKOFF = backoffstates.NO_BACKOFF
#: Incarnations whose state is kept, the latest ones: several whole fleets.
MAX_STATES = 2000
#: Time after the end of a backoff for which a runner that has accepted no
#: request affects how others are selected; after that it likely gets no
#: requests for another reason.
UNCONFIRMED_S = 10.0

Incarnation = tuple[str, int, int]


class Backoffs:
    """The backoff states of all runners, by incarnation."""

    def __init__(self) -> None:
        self._states: dict[Incarnation, backoffstates.BackoffState] = {}

    def __len__(self) -> int:
        return len(self._states)

    def back_off(
        self, runner: instances.Instance, span_s: float, now_s: float
    ) -> float:
        """Apply a backoff that a runner requests; return when it ends."""
        return self._ensure(runner).back_off(span_s, now_s)

    def mark_leaving(self, runner: instances.Instance) -> bool:
        """Record that a runner is leaving; return whether that is new."""
        return self._ensure(runner).mark_leaving()

    def is_leaving(self, runner: instances.Instance) -> bool:
        """Return whether a runner has announced that it is leaving."""
        state = self._states.get(_incarnation(runner))
        return state is not None and state.is_leaving

    def until_s(self, runner: instances.Instance) -> float:
        """Return when a runner's backoff ends; `NO_BACKOFF` if it had none."""
        state = self._states.get(_incarnation(runner))
        return NO_BACKOFF if state is None else state.until_s

    def is_any_unconfirmed(self, now_s: float) -> bool:
        """Return whether runners back off, or did and are unconfirmed.

        A backoff that has ended counts until the runner accepts a request, or
        for `UNCONFIRMED_S`.
        """
        return any(
            now_s < state.until_s + UNCONFIRMED_S
            for state in self._states.values()
        )

    def is_unconfirmed(self, runner: instances.Instance) -> bool:
        """Return whether a backoff or departure of it is still recorded.

        That is so until it accepts a request.
        """
        return _incarnation(runner) in self._states

    def may_send(self, runner: instances.Instance, now_s: float) -> bool:
        """Return whether a request assigned to a runner may be sent now."""
        state = self._states.get(_incarnation(runner))
        return state is None or state.may_send(now_s)

    def may_select(self, runner: instances.Instance, now_s: float) -> bool:
        """Return whether a runner may be selected for a request now."""
        state = self._states.get(_incarnation(runner))
        return state is None or state.may_select(now_s)

    def begin_request(self, runner: instances.Instance) -> bool:
        """Record that a request is being sent to a runner.

        Returns whether it is the probe after a backoff, for which the caller
        must call `end_probe` in the end.
        """
        state = self._states.get(_incarnation(runner))
        return state is not None and state.begin_request()

    def end_probe(self, runner: instances.Instance) -> None:
        """Record that the outcome of a runner's probe request is known."""
        state = self._states.get(_incarnation(runner))
        if state is not None:
            state.end_probe()

    def record_accepted(
        self, runner: instances.Instance, now_s: float
    ) -> bool:
        """Record that a runner has accepted a request.

        Returns whether its state is dropped, so that it may get more requests
        from now on.
        """
        state = self._states.get(_incarnation(runner))
        if state is None or not state.record_accepted(now_s):
            return False
        del self._states[_incarnation(runner)]
        return True

    def _ensure(
        self, runner: instances.Instance
    ) -> backoffstates.BackoffState:
        """Return the state of a runner as the latest one, created if needed.

        Drops the oldest states above `MAX_STATES`.
        """
        state = (
            self._states.pop(_incarnation(runner), None)
            or backoffstates.BackoffState()
        )
        while len(self._states) >= MAX_STATES:
            del self._states[next(iter(self._states))]
        self._states[_incarnation(runner)] = state
        return state


def _incarnation(runner: instances.Instance) -> Incarnation:
    # `lives` also counts a registration that timed out and returned while the
    # runner lived on; a start time tells incarnations apart.
    lives = 0 if runner.born_ms else runner.lives
    return runner.instance_id, lives, runner.born_ms
