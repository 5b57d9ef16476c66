# SPDX-License-Identifier: Apache-2.0

"""What one runner asks of one sender for the time to come, in its answers.

A runner that turns a request away may ask for rest, and one that is about to
end says so. Nothing runs on either, so by its load each looks like the best
of all; only its own word tells otherwise.
"""

import math

__all__ = ['BackoffState', 'NO_BACKOFF']

#: Taken where a runner asks for rest and its span can't be read: about what
#: a full runner needs to have a slot again.
UNREAD_S = 1.0
#: A runner that asks for more than an hour has given another unit.
MOST_S = 3600.0
#: When the rest of a runner that asked for none was over.
NO_BACKOFF = float('-inf')


class BackoffState:
    """What one life of a runner has asked for."""

    __slots__ = ('is_unconfirmed', 'is_leaving', 'is_probing', 'until_s')

    def __init__(self) -> None:
        self.until_s = NO_BACKOFF
        self.is_leaving = False
        #: Whether a request is finding out if the rest was long enough.
        self.is_probing = False
        #: Whether it has taken nothing yet since it asked for something.
        self.is_unconfirmed = False

    def back_off(self, span_s: float, now_s: float) -> float:
        """Take a rest that is asked for; return when it is over.

        NaN stands for a span that can't be read. A shorter rest that is asked
        for later does not end a longer one.
        """
        span_s = UNREAD_S if math.isnan(span_s) else min(span_s, MOST_S)
        self.until_s = max(self.until_s, now_s + span_s)
        self.is_unconfirmed = True
        return self.until_s

    def mark_leaving(self) -> bool:
        """Take the word that it leaves; return whether that is new."""
        is_new = not self.is_leaving
        self.is_leaving = self.is_unconfirmed = True
        return is_new

    def may_send(self, now_s: float) -> bool:
        """Return whether a request that was placed may be sent now."""
        return not self.is_leaving and now_s >= self.until_s

    def may_select(self, now_s: float) -> bool:
        """Return whether a request may be placed now.

        After a rest there is one at a time, until one is taken: the runner
        may ask for another rest, and what is on its way then comes into that.
        """
        return self.may_send(now_s) and not self.is_probing

    def begin_request(self) -> bool:
        """Note that a request is sent.

        Returns whether it is the one that tries the runner after a rest, for
        which `end_probe` must be called in the end.
        """
        if not self.is_unconfirmed or self.is_probing:
            return False
        self.is_probing = True
        return True

    def end_probe(self) -> None:
        """Note that what came of the request that tried it is known."""
        self.is_probing = False

    def record_accepted(self, now_s: float) -> bool:
        """Note that it has taken a request; its rest may be forgotten.

        Returns whether that ends a doubt. A request that it took before it
        asked for rest says nothing.
        """
        if not self.is_unconfirmed or not self.may_send(now_s):
            return False
        self.is_unconfirmed = self.is_probing = False
        return True
