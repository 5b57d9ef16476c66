# SPDX-License-Identifier: Apache-2.0

"""What runners ask of this gateway for the time to come, in their answers.

A runner that turns a request away may ask for rest, and one that is about to
end says so. Nothing runs on either, so by its load each looks like the best
of all; only its own word tells otherwise. The words are kept by the life of
a runner and apart from its registration, which may be lost and come back
while they hold. They bind the gateway that got them, and no other.
"""

import math

from mountridge.documents import instances

__all__ = ['NO_REST', 'Rests']

#: Taken where a runner asks for rest and its span can't be read: about what
#: a full runner needs to have a slot again.
UNREAD_S = 1.0
#: A runner that asks for more than an hour has given another unit.
MOST_S = 3600.0
#: Lives whose words are kept, the latest ones: a whole fleet, a few times.
MOST_KEPT = 2000
#: When the rest of a runner that asked for none was over.
NO_REST = float('-inf')

Life = tuple[str, int, int]


class _Word:
    """What one life of a runner has asked for."""

    __slots__ = ('is_leaving', 'is_tried', 'until_s')

    def __init__(self) -> None:
        self.until_s = NO_REST
        self.is_leaving = False
        #: Whether a request is finding out if the rest was long enough.
        self.is_tried = False


class Rests:
    """The words of all runners, by life."""

    def __init__(self) -> None:
        self._words: dict[Life, _Word] = {}

    def __len__(self) -> int:
        return len(self._words)

    def ask(
        self, runner: instances.Instance, span_s: float, now_s: float
    ) -> float:
        """Take a rest that a runner asks for; return when it is over.

        NaN stands for a span that can't be read. A shorter rest that is asked
        for later does not end a longer one.
        """
        span_s = UNREAD_S if math.isnan(span_s) else min(span_s, MOST_S)
        word = self._keep(runner)
        word.until_s = max(word.until_s, now_s + span_s)
        return word.until_s

    def leave(self, runner: instances.Instance) -> bool:
        """Take a runner's word that it leaves; return whether that is new."""
        word = self._keep(runner)
        is_new = not word.is_leaving
        word.is_leaving = True
        return is_new

    def is_leaving(self, runner: instances.Instance) -> bool:
        """Return whether a runner has said that it leaves."""
        word = self._words.get(_life(runner))
        return word is not None and word.is_leaving

    def until_s(self, runner: instances.Instance) -> float:
        """Return when a runner's rest is over, `NO_REST` where it had none."""
        word = self._words.get(_life(runner))
        return NO_REST if word is None else word.until_s

    def allows(self, runner: instances.Instance, now_s: float) -> bool:
        """Return whether a request that was placed may be sent now."""
        word = self._words.get(_life(runner))
        if word is None:
            return True
        return not word.is_leaving and now_s >= word.until_s

    def may_place(self, runner: instances.Instance, now_s: float) -> bool:
        """Return whether a request may be placed at a runner now.

        After a rest it gets one at a time, until it has taken one: it may
        ask for another rest, and what is on its way then comes into that.
        """
        if not self.allows(runner, now_s):
            return False
        word = self._words.get(_life(runner))
        return word is None or not word.is_tried

    def is_doubtful(self, runner: instances.Instance) -> bool:
        """Return whether it has taken nothing yet since it asked for rest."""
        return _life(runner) in self._words

    def begin(self, runner: instances.Instance) -> bool:
        """Note that a request goes to a runner.

        Returns whether it is the one that tries a runner after its rest, for
        which `end_trial` must be called in the end.
        """
        word = self._words.get(_life(runner))
        if word is None or word.is_tried:
            return False
        word.is_tried = True
        return True

    def end_trial(self, runner: instances.Instance) -> None:
        """Note that what came of the request that tried it is known."""
        word = self._words.get(_life(runner))
        if word is not None:
            word.is_tried = False

    def takes(self, runner: instances.Instance, now_s: float) -> bool:
        """Note that a runner has taken a request; its rest may be forgotten.

        Returns whether it may get more from now on. A request that it took
        before it asked for rest says nothing.
        """
        word = self._words.get(_life(runner))
        if word is None or word.is_leaving or now_s < word.until_s:
            return False
        del self._words[_life(runner)]
        return True

    def _keep(self, runner: instances.Instance) -> _Word:
        """Return what a runner has asked for, as the latest of all."""
        word = self._words.pop(_life(runner), None) or _Word()
        while len(self._words) >= MOST_KEPT:
            del self._words[next(iter(self._words))]
        self._words[_life(runner)] = word
        return word


def _life(runner: instances.Instance) -> Life:
    return runner.instance_id, runner.lives, runner.born_ms
