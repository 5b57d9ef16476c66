# SPDX-License-Identifier: Apache-2.0

"""Retries: only what may be repeated, only by budget, off at overload."""

from mountridge import errors

__all__ = ['Budget', 'is_redirect', 'may_retry']

#: Retries that are always in hand, so that a quiet team has some.
FLOOR = 3.0
CEILING = 50.0
#: Least time left in which another try makes sense, in seconds.
LEAST_LEFT_S = 0.2


class Budget:
    """Retries as a share of first tries, per team and in all."""

    def __init__(self, share: float):
        self._share = share
        self._left: dict[str, float] = {}

    def first_try(self, team: str) -> None:
        """Earn a part of a retry for the team, and for all together."""
        for key in (team, ''):
            left = self._left.get(key, FLOOR) + self._share
            self._left[key] = min(CEILING, left)

    def take(self, team: str) -> bool:
        """Spend one retry; false where the team or all have none left."""
        keys = (team, '')
        if any(self._left.get(key, FLOOR) < 1 for key in keys):
            return False
        for key in keys:
            self._left[key] = self._left.get(key, FLOOR) - 1
        return True


def is_redirect(problem: errors.MountridgeError) -> bool:
    """Return whether an agent only says that it is not the one to ask.

    That is no sign of load, and costs no retry of the budget; the number of
    tries bounds it.
    """
    elsewhere = (
        errors.Draining,
        errors.NoLease,
        errors.RunnersResting,
        errors.StaleIncarnation,
    )
    return isinstance(problem, elsewhere)


def may_retry(
    problem: errors.MountridgeError,
    repeatable: bool,
    tries: int,
    most_tries: int,
    left_s: float,
) -> bool:
    """Return whether another try is allowed, the budget aside.

    What certainly did not run may be tried again even where the call may
    not be repeated. A busy runner is the sign of overload, and a second
    busy answer ends the request.
    """
    if tries >= most_tries or left_s < LEAST_LEFT_S:
        return False
    if isinstance(problem, errors.Busy) and tries >= 2:
        return False
    if isinstance(problem, (errors.BadRequest, errors.DeadlinePassed)):
        return False
    return repeatable or problem.outcome == errors.NOT_RUN
