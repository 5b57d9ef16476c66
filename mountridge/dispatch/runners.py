# SPDX-License-Identifier: Apache-2.0

"""The runners known to a gateway: load reports, own requests and health."""

import typing

from mountridge.dispatch import links, placing
from mountridge import errors, messages
from mountridge.state import views

__all__ = ['Runners', 'RunnerState']

#: Weight of a new sample in the moving average of the time to first data.
SMOOTHING = 0.2
#: Consecutive failures after which a runner is ejected.
MAX_FAILURES = 3
#: Duration of the first ejection; it doubles with each further one.
EJECT_S = 2.0
MAX_EJECT_S = 30.0
AVOID_S = 1.0
#: A runner this many times slower than its peers is ejected.
MAX_SLOWNESS = 4.0
#: At most this fraction of the runners of a service is ejected at once.
MAX_EJECTED = 0.5
#: An agent with own requests that reports nothing for this long is
#: unresponsive.
UNRESPONSIVE_S = 1.5


class RunnerState:
    """The state of one runner behind its agent, as known to this gateway."""

    def __init__(self, member: views.Member, now_s: float):
        self.member = member
        self.first_seen_s = now_s
        self.load: messages.Load | None = None
        #: Time of the last report, or of the first own request since none
        #: were in flight, whichever is later.
        self.waiting_since_s = now_s
        self.load_received_s = -1e9
        self.own_requests = 0  # of this gateway, in flight
        self.own_since_report = 0  # started less ended since `load`
        self.failures = 0  # consecutive
        self.ejections = 0
        self.ejected_until_s = 0.0
        self.link = links.AgentLink()
        self.first_data_s = 0.0  # mean time to first data, 0 if unknown

    def agent_clock_s(self, now_s: float) -> float:
        """Return the agent's clock, extrapolated from its last report."""
        if self.load is None:
            return 0.0
        return self.load.at_s + now_s - self.load_received_s


class Runners:
    """All runners in the view by the name of their agent."""

    def __init__(self) -> None:
        self.states: dict[str, RunnerState] = {}

    def update(
        self, members: typing.Iterable[views.Member], now_s: float
    ) -> list[str]:
        """Apply the members of the view; return the restarted agents.

        An agent that is missing from the view may only be disconnected from
        the controllers: its requests in flight continue, but it gets no new
        ones.
        """
        live = {m.name: m for m in members if m.kind == 'agent'}
        restarted = []
        for name, state in list(self.states.items()):
            member = live.get(name)
            if member is None and state.own_requests > 0:
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

    def state(self, name: str) -> RunnerState:
        """Return the state of a runner in the view.

        A runner may leave the view while a request waits for any process.

        :raises NoRunner: it has left the view.
        """
        if name not in self.states:
            raise errors.NoRunner(f'{name} is no longer a member')
        return self.states[name]

    def record_load(
        self, load: messages.Load, with_frames: bool, now_s: float
    ) -> links.Loss:
        """Record a load report and return the losses that it shows."""
        state = self.states.get(load.name)
        if not state or state.member.incarnation != load.incarnation:
            return links.Loss(True, False, [])
        loss = state.link.apply_report(load, with_frames, now_s)
        if loss.outdated:
            return loss
        state.waiting_since_s = now_s
        state.load_received_s = now_s
        state.load = load
        state.own_since_report = 0
        return loss

    def record_sent(self, name: str, now_s: float) -> None:
        """Count an own request sent to a runner."""
        state = self.states[name]
        if state.own_requests == 0:
            state.waiting_since_s = now_s
        state.own_requests += 1
        state.own_since_report += 1

    def record_ended(self, name: str) -> None:
        """Count an own request as ended."""
        state = self.states.get(name)
        if state is None:
            return
        state.own_requests = max(0, state.own_requests - 1)
        state.own_since_report -= 1
        if state.own_requests == 0 and state.member.state == 'gone':
            del self.states[name]

    def record_first_data(self, name: str, took_s: float) -> None:
        """Record the time to first data of a request and reset failures."""
        state = self.states.get(name)
        if not state:
            return
        state.failures = 0
        state.ejections = 0
        if state.first_data_s == 0:
            state.first_data_s = took_s
        state.first_data_s += SMOOTHING * (took_s - state.first_data_s)

    def avoid(self, name: str, now_s: float) -> None:
        """Eject a runner for `AVOID_S` after its agent refused a request.

        A runner that refuses is idle, and its low occupancy would otherwise
        attract each request.
        """
        state = self.states.get(name)
        if state:
            until_s = max(state.ejected_until_s, now_s + AVOID_S)
            state.ejected_until_s = until_s

    def record_failure(self, name: str, now_s: float) -> None:
        """Count a failure; eject the runner after `MAX_FAILURES` in a row.

        Each ejection lasts longer, and after it the next requests probe the
        runner: a single failure ejects it again.
        """
        state = self.states.get(name)
        if not state:
            return
        state.failures += 1
        if state.failures < MAX_FAILURES:
            return
        state.failures = MAX_FAILURES - 1
        state.ejections += 1
        ejected_s = min(MAX_EJECT_S, EJECT_S * 2 ** (state.ejections - 1))
        state.ejected_until_s = now_s + ejected_s

    def unresponsive(self, now_s: float) -> list[str]:
        """Return agents with own requests but without recent reports."""
        return [
            name
            for name, state in self.states.items()
            if state.own_requests > 0
            and now_s - state.waiting_since_s > UNRESPONSIVE_S
        ]

    def candidates(
        self, service: str, groups: set[str], now_s: float
    ) -> list[placing.Candidate]:
        """Return the runners that may serve ``service`` now."""
        eligible = [
            state
            for state in self.states.values()
            if service in state.member.services
            and state.member.state == 'live'
            and ('*' in groups or state.member.expert_group in groups)
            and not (state.load and state.load.draining)
        ]
        timed = sorted(s.first_data_s for s in eligible if s.first_data_s > 0)
        median_s = timed[len(timed) // 2] if timed else 0.0
        listed = [_candidate(state, median_s, now_s) for state in eligible]
        return _cap_ejected(listed)


def _candidate(
    state: RunnerState, median_s: float, now_s: float
) -> placing.Candidate:
    load = state.load
    slowness = 1.0
    if median_s > 0 and state.first_data_s > 0:
        slowness = state.first_data_s / median_s
    return placing.Candidate(
        state.member.name,
        state.member.hall,
        max(1, state.member.slots),
        load.running + load.waiting if load else 0,
        now_s - state.load_received_s,
        state.own_since_report,
        state.own_requests,
        slowness,
        now_s < state.ejected_until_s or slowness > MAX_SLOWNESS,
        now_s - state.first_seen_s,
    )


def _cap_ejected(
    listed: list[placing.Candidate],
) -> list[placing.Candidate]:
    """Readmit the least slow ejected runners above `MAX_EJECTED`."""
    max_ejected = int(len(listed) * MAX_EJECTED)
    ejected = sorted(
        (c for c in listed if c.ejected), key=lambda c: -c.slowness
    )
    readmitted = {c.name for c in ejected[max_ejected:]}
    return [
        c._replace(ejected=False) if c.name in readmitted else c
        for c in listed
    ]
