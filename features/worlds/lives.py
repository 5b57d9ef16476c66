# SPDX-License-Identifier: Apache-2.0

"""The leader's registry of runners, on a log that commits immediately."""

import collections

import trio

from mountridge.control import registry
from mountridge.documents import instances
from mountridge import messages
from mountridge.state import statemachine

#: Unix time at the beginning of a scenario.
BEGIN_S = 1000.0


class _Log:
    """The log of a single controller; commits immediately."""

    def __init__(self, world):
        self.world = world
        self.index = 0

    def check_leader(self):
        return None

    async def propose(self, payload):
        self.index += 1
        return self.world.machine.apply_payload(self.index, payload)


class World:
    """The leader's registry, the replicated state, and a clock."""

    def __init__(self):
        self.at_s = BEGIN_S
        self.settings = {'bounds': {'heartbeat_ms': 1000.0}, 'halls': []}
        self.counts = collections.Counter()
        self.metrics = self
        self.machine = statemachine.StateMachine()
        self.log = _Log(self)
        self.registry = registry.Registry(self, self.machine, self.log)

    def incr(self, name):
        self.counts[name] += 1

    def now_s(self):
        return self.at_s

    def wall_s(self):
        return self.at_s

    def change_leader(self):
        """Make a controller the leader that has restored a snapshot."""
        restored = statemachine.StateMachine()
        restored.restore(self.machine.snapshot())
        self.machine = restored
        self.registry.machine = restored
        self.registry.begin_term()

    def heartbeat(self, instance, seq):
        """Receive a heartbeat; return the error in reply, or None."""
        return self._call(
            self.registry.on_heartbeat, messages.Heartbeat(instance, seq)
        )

    def leave(self, key, born_ms=0, lives=0):
        """Receive a leave; return the error in reply, or None."""
        return self._call(
            self.registry.on_leave, messages.Leave(key, born_ms, lives)
        )

    def wait(self, span_s):
        """Advance the clock without messages, then expire runners."""
        self.at_s += span_s
        trio.run(self.registry.expire)

    def _call(self, handler, message):
        try:
            trio.run(handler, None, message)
        except Exception as problem:
            return problem
        return None

    def active(self):
        """Return the registrations that have not ended."""
        return [
            instance
            for instance in self.machine.instances.values()
            if instance.state != instances.LEFT
        ]
