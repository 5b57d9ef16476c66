# SPDX-License-Identifier: Apache-2.0

"""What a gateway knows of each runner: reports, own work, health."""

import typing

from mountridge.dispatch import links, placing
from mountridge import messages
from mountridge.state import views

__all__ = ['Runners', 'RunnerState']

SMOOTHING = 0.2
#: Failures in a row after which a runner is left out for a while.
FAILURES = 3
EJECT_S = 2.0
MAX_EJECT_S = 30.0
AVOID_S = 1.0
#: A runner this many times slower than its peers is left out.
SLOW = 4.0
#: At most this part of the runners of a service is left out at once.
MAX_EJECTED = 0.5
#: No message for this long from an agent with own work: it is silent.
SILENT_S = 1.5


class RunnerState:
    """One runner behind its agent, as this gateway sees it."""

    def __init__(self, member: views.Member, now_s: float):
        self.member = member
        self.first_s = now_s
        self.load: messages.Load | None = None
        self.heard_s = now_s
        self.reported_s = -1e9
        self.own = 0
        self.own_since = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = 0.0
        self.link = links.AgentLink()
        self.first_data_s = 0.0  # mean time to first data

    def agent_s(self, now_s: float) -> float:
        """Return the agent's clock now, as far as its reports tell."""
        if self.load is None:
            return 0.0
        return self.load.at_s + now_s - self.reported_s


class Runners:
    """All runners that the view names, by the name of their agent."""

    def __init__(self) -> None:
        self.states: dict[str, RunnerState] = {}

    def update(
        self, members: typing.Iterable[views.Member], now_s: float
    ) -> list[str]:
        """Follow the view; return the agents that have restarted.

        An agent that is gone from the view may only be cut off from the
        controllers: what it runs for us goes on, and it gets nothing new.
        """
        live = {m.name: m for m in members if m.kind == 'agent'}
        restarted = []
        for name, state in list(self.states.items()):
            member = live.get(name)
            if member is None and state.own > 0:
                state.member = state.member._replace(state='gone')
            elif member is None:
                del self.states[name]
            elif member.incarnation != state.member.incarnation:
                del self.states[name]
                restarted.append(name)
            else:
                state.member = member
        for name, member in live.items():
            if name not in self.states:
                self.states[name] = RunnerState(member, now_s)
        return restarted

    def heard(
        self, load: messages.Load, with_frames: bool, now_s: float
    ) -> links.Loss:
        """Take a load report and return what it shows to be lost."""
        state = self.states.get(load.name)
        if not state or state.member.incarnation != load.incarnation:
            return links.Loss(True, False, [])
        loss = state.link.apply_report(load, with_frames, now_s)
        if loss.old:
            return loss
        state.heard_s = now_s
        state.reported_s = now_s
        state.load = load
        state.own_since = 0
        return loss

    def sent(self, name: str, now_s: float) -> None:
        """Count an own request on its way to a runner."""
        state = self.states[name]
        if state.own == 0:
            state.heard_s = now_s
        state.own += 1
        state.own_since += 1

    def ended(self, name: str) -> None:
        """Count an own request as ended."""
        state = self.states.get(name)
        if state is None:
            return
        state.own = max(0, state.own - 1)
        state.own_since -= 1
        if state.own == 0 and state.member.state == 'gone':
            del self.states[name]

    def first_data(self, name: str, took_s: float) -> None:
        """Take the time to first data of a request; the runner is well."""
        state = self.states.get(name)
        if not state:
            return
        state.failures = 0
        state.ejections = 0
        if state.first_data_s == 0:
            state.first_data_s = took_s
        state.first_data_s += SMOOTHING * (took_s - state.first_data_s)

    def avoid(self, name: str, now_s: float) -> None:
        """Leave out for a moment a runner whose agent says "not here".

        It is idle, and would else draw every request.
        """
        state = self.states.get(name)
        if state:
            until_s = max(state.ejected_until_s, now_s + AVOID_S)
            state.ejected_until_s = until_s

    def failed(self, name: str, now_s: float) -> None:
        """Count a failure; leave the runner out after some in a row.

        Each time it is left out for longer; then requests probe it again.
        """
        state = self.states.get(name)
        if not state:
            return
        state.failures += 1
        if state.failures < FAILURES:
            return
        state.failures = FAILURES - 1
        state.ejections += 1
        span_s = min(MAX_EJECT_S, EJECT_S * 2 ** (state.ejections - 1))
        state.ejected_until_s = now_s + span_s

    def silent(self, now_s: float) -> list[str]:
        """Return agents that have own work but have not been heard."""
        return [
            name
            for name, state in self.states.items()
            if state.own > 0 and now_s - state.heard_s > SILENT_S
        ]

    def candidates(
        self, service: str, groups: set[str], now_s: float
    ) -> list[placing.Candidate]:
        """Return the runners that may serve ``service`` now."""
        fit = [
            state
            for state in self.states.values()
            if service in state.member.services
            and state.member.state == 'live'
            and ('*' in groups or state.member.expert_group in groups)
            and not (state.load and state.load.draining)
        ]
        timed = sorted(s.first_data_s for s in fit if s.first_data_s > 0)
        usual_s = timed[len(timed) // 2] if timed else 0.0
        listed = [_candidate(state, usual_s, now_s) for state in fit]
        return _cap_ejected(listed)


def _candidate(
    state: RunnerState, usual_s: float, now_s: float
) -> placing.Candidate:
    load = state.load
    slowness = 1.0
    if usual_s > 0 and state.first_data_s > 0:
        slowness = state.first_data_s / usual_s
    return placing.Candidate(
        state.member.name,
        state.member.hall,
        max(1, state.member.slots),
        load.running + load.waiting if load else 0,
        now_s - state.reported_s,
        state.own_since,
        state.own,
        slowness,
        now_s < state.ejected_until_s or slowness > SLOW,
        now_s - state.first_s,
    )


def _cap_ejected(
    listed: list[placing.Candidate],
) -> list[placing.Candidate]:
    """Keep the least slow of the ejected ones in, past the cap."""
    most = int(len(listed) * MAX_EJECTED)
    out = sorted((c for c in listed if c.ejected), key=lambda c: -c.slowness)
    back = {c.name for c in out[most:]}
    return [c._replace(ejected=False) if c.name in back else c for c in listed]
