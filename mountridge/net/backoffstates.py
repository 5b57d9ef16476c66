# SPDX-License-Identifier: Apache-2.0

"""Backoff that one runner has requested from one sender in its responses.

A runner that refuses a request may ask for a backoff (Retry-After), and one
that is about to end announces it. Such a runner has no requests, so by its
load it seems the best choice; only its responses show that it is not.
"""

import math

__all__ = ['BackoffState', 'NO_BACKOFF']

#: Used where a runner asks for a backoff whose value can't be parsed: about
#: as long as a full runner needs to free a slot.
DEFAULT_BACKOFF_S = 1.0
#: A longer value is assumed to be in another unit, and reduced to this.
MAX_BACKOFF_S = 3600.0
#: End of the backoff of a runner that has requested none.
NO_BACKOFF = float('-inf')


class BackoffState:
    """What one incarnation of a runner has requested."""

    __slots__ = ('is_leaving', 'is_probing', 'is_unconfirmed', 'until_s')

    def __init__(self) -> None:
        self.until_s = NO_BACKOFF
        self.is_leaving = False
        #: Whether a probe request is under way after a backoff.
        self.is_probing = False
        #: Whether it has accepted no request since it asked for a backoff or
        #: announced that it leaves.
        self.is_unconfirmed = False

    def back_off(self, span_s: float, now_s: float) -> float:
        """Apply a requested backoff; return when it ends.

        NaN stands for a value that can't be parsed. A later request for a
        shorter backoff does not shorten a longer one.
        """
        span_s = (
            DEFAULT_BACKOFF_S
            if math.isnan(span_s)
            else min(span_s, MAX_BACKOFF_S)
        )
        self.until_s = max(self.until_s, now_s + span_s)
        self.is_unconfirmed = True
        return self.until_s

    def mark_leaving(self) -> bool:
        """Record that the runner leaves; return whether that is new."""
        is_new = not self.is_leaving
        self.is_leaving = self.is_unconfirmed = True
        return is_new

    def may_send(self, now_s: float) -> bool:
        """Return whether a request assigned to the runner may be sent now."""
        return not self.is_leaving and now_s >= self.until_s

    def may_select(self, now_s: float) -> bool:
        """Return whether the runner may be selected for a request now.

        After a backoff it gets one request at a time until it accepts one: it
        may request another backoff, which would refuse all requests under way.
        """
        return self.may_send(now_s) and not self.is_probing

    def begin_request(self) -> bool:
        """Record that a request is being sent.

        Returns whether it is the probe after a backoff, for which the caller
        must call `end_probe` in the end.
        """
        if not self.is_unconfirmed or self.is_probing:
            return False
        self.is_probing = True
        return True

    def end_probe(self) -> None:
        """Record that the outcome of the probe request is known."""
        self.is_probing = False

    def record_accepted(self, now_s: float) -> bool:
        """Record that the runner has accepted a request.

        Returns whether that confirms that it accepts requests again. A request
        that it accepted before it asked for a backoff confirms nothing.
        """
        if not self.is_unconfirmed or not self.may_send(now_s):
            return False
        self.is_unconfirmed = self.is_probing = False
        return True
