# SPDX-License-Identifier: Apache-2.0

"""How many requests a group may run at once so that passes are short enough.

Answers the load of more requests than a group can serve in time: its passes
then take longer than the pauses that callers accept, and all streams are late.
The bound follows from the model of a pass and from the imbalance of the
group, learnt from the gaps between the events of this gateway's own streams.
"""

import math

from mountridge.routing import admissionmodel

__all__ = ['GroupBound', 'longest_pass_s']

#: Part of the longest pause that callers accept which a mean pass may take. A
#: stream is late if one of its passes is too long, and single passes are
#: longer than the mean when prompts are read.
PASS_MARGIN = 0.85
#: Passes from the arrival of a request to its first event: the one under way,
#: those in which its prompt is read, and the one that makes the event.
FIRST_EVENT_PASSES = 3.5
#: Imbalance until gaps have been measured, and its range.
START_IMBALANCE = 1.7
MIN_IMBALANCE, MAX_IMBALANCE = 1.0, 6.0
#: Time constants of a rising and of a falling imbalance. It rises at once with
#: each shift of the demand for experts, and falls with the next expert map.
#: Streams that run then are late, so the room of the next shift is kept free.
RISE_S, FALL_S = 0.1, 0.3
#: The learnt imbalance approaches the start value again once no gap has been
#: measured for the first time, with the second one as time constant.
VALID_S, FORGET_S = 1.0, 2.0
#: With fewer requests, as part of the slots, the time of a pass shows little
#: of the imbalance, and gaps count less.
FULL_WEIGHT_SHARE = 0.5
#: A gap counts as at most this many passes as expected: longer ones are holds
#: of the whole group, such as for a change of its map, not load.
LONGEST_GAP_PASSES = 1.5
#: With fewer requests a rank, gaps show nothing of the imbalance.
MIN_REQUESTS = 0.1
#: Share of the places that is never refused: callers can't be expected to
#: come back while half of the places are free.
MIN_SHARE = 0.5
#: Most share of the places that is used: gateways know loads as of the newest
#: report, so above this many ranks are full, and requests sent to those have
#: their first event too late.
MAX_SHARE = 0.72


def longest_pass_s(target_s: float, gap_s: float) -> float:
    """Return the longest mean pass with which streams are in time.

    ``target_s`` is the target of the first event, ``gap_s`` the longest
    pause; 0 stands for none. Infinite if both are 0.
    """
    limits = []
    if gap_s > 0:
        limits.append(PASS_MARGIN * gap_s)
    if target_s > 0:
        limits.append(target_s / FIRST_EVENT_PASSES)
    return min(limits, default=math.inf)


class GroupBound:
    """The learnt imbalance of one group."""

    def __init__(self) -> None:
        self._imbalance = START_IMBALANCE
        self._measured_s = -math.inf

    def record_gap(
        self,
        model: admissionmodel.PassModel,
        gap_s: float,
        requests: float,
        slots: float,
        now_s: float,
    ) -> None:
        """Record the gap between two events, sent by two passes.

        ``requests`` and ``slots`` are those of a rank, in the mean.
        """
        if requests < MIN_REQUESTS:
            return
        before = self.imbalance(now_s)
        expected_s = admissionmodel.pass_s(model, requests, before)
        gap_s = min(gap_s, LONGEST_GAP_PASSES * expected_s)
        found = admissionmodel.imbalance(model, gap_s, requests)
        found = min(max(found, MIN_IMBALANCE), MAX_IMBALANCE)
        known = min(1.0, requests / (FULL_WEIGHT_SHARE * slots))
        found = START_IMBALANCE + known * (found - START_IMBALANCE)
        age_s = min(now_s - self._measured_s, VALID_S)
        span_s = RISE_S if found > before else FALL_S
        weight = 1 - math.exp(-age_s / span_s)
        self._imbalance = before + weight * (found - before)
        self._measured_s = now_s

    def imbalance(self, now_s: float) -> float:
        """Return the imbalance, learnt or the start value."""
        unknown_s = now_s - self._measured_s - VALID_S
        if unknown_s <= 0:
            return self._imbalance
        kept = math.exp(-unknown_s / FORGET_S)
        return START_IMBALANCE + kept * (self._imbalance - START_IMBALANCE)

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest gap; infinite if there is none."""
        return now_s - self._measured_s

    def most_requests(
        self,
        model: admissionmodel.PassModel,
        longest_s: float,
        slots: float,
        now_s: float,
    ) -> float:
        """Return how many requests a rank of ``slots`` slots may run."""
        found = admissionmodel.most_requests(
            model, longest_s, self.imbalance(now_s)
        )
        return min(max(found, MIN_SHARE * slots), MAX_SHARE * slots)
