# SPDX-License-Identifier: Apache-2.0

"""Retry rules: which errors are retried, and the budget for retries."""

from mountridge import errors

__all__ = ['Budget', 'is_redirect', 'may_retry']

#: Retries that a team may spend before it has earned any.
INITIAL_BALANCE = 3.0
MAX_BALANCE = 50.0
#: Errors that another attempt would have too.
FINAL = (errors.BadRequest, errors.DeadlinePassed, errors.RequestHeldBack)
#: A request with less time left than this is not retried.
MIN_TIME_LEFT_S = 0.2


class Budget:
    """Limits retries to a share of the requests, per team and overall.

    The overall balance has the key ''.
    """

    def __init__(self, share: float):
        self._share = share
        self._balances: dict[str, float] = {}

    def add_request(self, team: str) -> None:
        """Credit the share for a new request to both balances."""
        for key in (team, ''):
            balance = self._balances.get(key, INITIAL_BALANCE) + self._share
            self._balances[key] = min(MAX_BALANCE, balance)

    def spend(self, team: str) -> bool:
        """Spend one retry; return false if either balance is too low."""
        keys = (team, '')
        if any(self._balances.get(key, INITIAL_BALANCE) < 1 for key in keys):
            return False
        for key in keys:
            self._balances[key] = self._balances.get(key, INITIAL_BALANCE) - 1
        return True


def is_redirect(problem: errors.MountridgeError) -> bool:
    """Return whether the error asks to send the request elsewhere.

    This is no sign of overload and is not charged to the budget; the number
    of attempts limits it.
    """
    redirects = (
        errors.Draining,
        errors.NoLease,
        errors.RunnersResting,
        errors.StaleIncarnation,
    )
    return isinstance(problem, redirects)


def may_retry(
    problem: errors.MountridgeError,
    repeatable: bool,
    attempts: int,
    max_attempts: int,
    left_s: float,
) -> bool:
    """Return whether another attempt is allowed, apart from the budget.

    A call that may not be repeated is retried only if it certainly did not
    run. A busy runner is a sign of overload, so a second `Busy` ends the
    request.
    """
    if attempts >= max_attempts or left_s < MIN_TIME_LEFT_S:
        return False
    if isinstance(problem, errors.Busy) and attempts >= 2:
        return False
    if isinstance(problem, FINAL):
        return False
    return repeatable or problem.outcome == errors.NOT_RUN
