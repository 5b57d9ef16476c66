# SPDX-License-Identifier: Apache-2.0

"""Claims: at most one execution of a non-idempotent call per key.

A key has the form ``SECONDS-ANYTHING``, with the time at which the caller
made it (seconds since 1970). Its claim is stored for ``keep_s`` from then
on, and the key is refused afterwards, so that no call runs again once its
claim has been removed.
"""

import typing

from mountridge import errors, messages

__all__ = ['CLOCK_LEEWAY_S', 'Claims', 'ClaimRecord', 'key_time']

#: How far a caller's clock may be ahead of the controllers' clocks.
CLOCK_LEEWAY_S = 60.0
MAX_KEY = 128


class ClaimRecord(typing.NamedTuple):
    """A claim and, once its attempt has ended, the outcome and answer."""

    claim: messages.Claim
    key_s: float
    outcome: str  # '' while the attempt may still run
    status: int
    answer: bytes


def key_time(key: str) -> float:
    """Return the time in a key, in seconds since 1970.

    :raises KeyRequired: the key is missing, malformed or too long.
    """
    seconds, dash, suffix = key.partition('-')
    if not (dash and suffix and len(key) <= MAX_KEY):
        raise errors.KeyRequired('expected a key SECONDS-ANYTHING')
    try:
        value = float(seconds)
    except ValueError:
        raise errors.KeyRequired('expected a key SECONDS-ANYTHING')
    if not 0 < value < 1e11:
        raise errors.KeyRequired('the time in the key is out of range')
    return value


class Claims:
    """All claims by key; ``clock_s`` never goes backwards."""

    def __init__(self) -> None:
        self.records: dict[str, ClaimRecord] = {}
        self.clock_s = 0.0
        #: Keys with an earlier time are refused; never decreases.
        self.floor_s = 0.0

    def open(self, claim: messages.Claim, key_s: float) -> messages.ClaimReply:
        """Grant an unused key to one attempt; others get its state.

        :raises ClaimConflict: the time of the key is out of range, or the
            key was used for another request.
        """
        found = self.records.get(claim.key)
        if found is None:
            if key_s < self.floor_s:
                raise errors.ClaimConflict(
                    'the key is too old; the request was not run'
                )
            if key_s > self.clock_s + CLOCK_LEEWAY_S:
                raise errors.ClaimConflict(
                    'the time in the key is in the future'
                )
            record = ClaimRecord(claim, key_s, '', 0, b'')
            self.records[claim.key] = record
            return _reply(record, True)
        if found.claim.digest != claim.digest:
            raise errors.ClaimConflict()
        # The same attempt may ask again, after its first reply was lost.
        granted = found.claim.attempt_id == claim.attempt_id
        return _reply(found, granted and not found.outcome)

    def close(self, outcome: messages.Outcome) -> None:
        """Record the outcome of an attempt; a final one is never replaced."""
        found = self.records.get(outcome.key)
        if found is None or found.claim.attempt_id != outcome.attempt_id:
            return
        if found.outcome in (errors.RAN, errors.NOT_RUN):
            return
        if outcome.outcome == errors.NOT_RUN:
            # The attempt has not run and never will: the key is free again.
            del self.records[outcome.key]
            return
        self.records[outcome.key] = found._replace(
            outcome=outcome.outcome,
            status=outcome.status,
            answer=outcome.answer,
        )

    def mark_unknown(self, agent: str, incarnation: str) -> None:
        """Mark unfinished claims of the agent's other incarnations unknown."""
        for key, record in self.records.items():
            claim = record.claim
            if claim.agent != agent or claim.incarnation == incarnation:
                continue
            if not record.outcome:
                self.records[key] = record._replace(outcome=errors.UNKNOWN)

    def expire(self, keep_s: float) -> int:
        """Remove claims with keys older than ``keep_s``; return the count."""
        self.floor_s = max(self.floor_s, self.clock_s - keep_s)
        old = [
            key
            for key, record in self.records.items()
            if record.key_s < self.floor_s
        ]
        for key in old:
            del self.records[key]
        return len(old)


def _reply(record: ClaimRecord, granted: bool) -> messages.ClaimReply:
    claim = record.claim
    return messages.ClaimReply(
        granted,
        claim.agent,
        claim.incarnation,
        claim.attempt_id,
        claim.request_id,
        record.outcome,
        record.status,
        record.answer,
    )
