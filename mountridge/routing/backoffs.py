# SPDX-License-Identifier: Apache-2.0

"""What all runners ask of this gateway for the time to come.

The words are kept by the life of a runner and apart from its registration,
which may be lost and come back while they hold. They bind the gateway that
got them, and no other.
"""

from mountridge.documents import instances
from mountridge.net import backoffstates

__all__ = ['Backoffs', 'NO_BACKOFF']

NO_BACKOFF = backoffstates.NO_BACKOFF
#: Lives whose words are kept, the latest ones: a whole fleet, a few times.
MOST_KEPT = 2000
#: A runner that has taken nothing for so long after its rest is gone, or gets
#: nothing for another reason: it says nothing of the others any more.
DOUBT_S = 10.0

Life = tuple[str, int, int]


class Backoffs:
    """The words of all runners, by life."""

    def __init__(self) -> None:
        self._states: dict[Life, backoffstates.BackoffState] = {}

    def __len__(self) -> int:
        return len(self._states)

    def back_off(
        self, runner: instances.Instance, span_s: float, now_s: float
    ) -> float:
        """Take a rest that a runner asks for; return when it is over."""
        return self._keep(runner).back_off(span_s, now_s)

    def mark_leaving(self, runner: instances.Instance) -> bool:
        """Take a runner's word that it leaves; return whether that is new."""
        return self._keep(runner).mark_leaving()

    def is_leaving(self, runner: instances.Instance) -> bool:
        """Return whether a runner has said that it leaves."""
        state = self._states.get(_life(runner))
        return state is not None and state.is_leaving

    def until_s(self, runner: instances.Instance) -> float:
        """Return when a runner's rest is over, `NO_REST` where it had none."""
        state = self._states.get(_life(runner))
        return NO_BACKOFF if state is None else state.until_s

    def is_any_unconfirmed(self, now_s: float) -> bool:
        """Return whether runners rest, or did of late and took nothing yet."""
        return any(
            now_s < state.until_s + DOUBT_S for state in self._states.values()
        )

    def is_unconfirmed(self, runner: instances.Instance) -> bool:
        """Return whether it has taken nothing yet since it asked."""
        return _life(runner) in self._states

    def may_send(self, runner: instances.Instance, now_s: float) -> bool:
        """Return whether a request that was placed may be sent now."""
        state = self._states.get(_life(runner))
        return state is None or state.may_send(now_s)

    def may_select(self, runner: instances.Instance, now_s: float) -> bool:
        """Return whether a request may be placed at a runner now."""
        state = self._states.get(_life(runner))
        return state is None or state.may_select(now_s)

    def begin_request(self, runner: instances.Instance) -> bool:
        """Note that a request goes to a runner.

        Returns whether it is the one that tries a runner after its rest, for
        which `end_probe` must be called in the end.
        """
        state = self._states.get(_life(runner))
        return state is not None and state.begin_request()

    def end_probe(self, runner: instances.Instance) -> None:
        """Note that what came of the request that tried it is known."""
        state = self._states.get(_life(runner))
        if state is not None:
            state.end_probe()

    def record_accepted(
        self, runner: instances.Instance, now_s: float
    ) -> bool:
        """Note that a runner has taken a request; its rest may be forgotten.

        Returns whether it may get more from now on.
        """
        state = self._states.get(_life(runner))
        if state is None or not state.record_accepted(now_s):
            return False
        del self._states[_life(runner)]
        return True

    def _keep(self, runner: instances.Instance) -> backoffstates.BackoffState:
        """Return what a runner has asked for, as the latest of all."""
        state = (
            self._states.pop(_life(runner), None)
            or backoffstates.BackoffState()
        )
        while len(self._states) >= MOST_KEPT:
            del self._states[next(iter(self._states))]
        self._states[_life(runner)] = state
        return state


def _life(runner: instances.Instance) -> Life:
    return runner.instance_id, runner.lives, runner.born_ms
