# SPDX-License-Identifier: Apache-2.0

"""A leader's registry on a log that commits at once, and its clock."""

import collections

import trio

from mountridge.control import registry
from mountridge.documents import instances
from mountridge import messages
from mountridge.state import statemachine

#: When the scenarios begin, Unix time; starts are told in seconds too.
BEGIN_S = 1000.0


class _Log:
    """A log of one controller that commits at once."""

    def __init__(self, world):
        self.world = world
        self.index = 0

    def check_leader(self):
        return None

    async def propose(self, payload):
        self.index += 1
        return self.world.machine.apply_payload(self.index, payload)


class World:
    """The registry of whoever leads, and the state that all hold."""

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
        """Let a controller lead that has read a snapshot."""
        restored = statemachine.StateMachine()
        restored.restore(self.machine.snapshot())
        self.machine = restored
        self.registry.machine = restored
        self.registry.begin_term()

    def say(self, instance, seq):
        """Take a heartbeat; return the error that answers it, or None."""
        return self._call(
            self.registry.on_heartbeat, messages.Heartbeat(instance, seq)
        )

    def leave(self, key, born_ms=0, lives=0):
        """Take a leave; return the error that answers it, or None."""
        return self._call(
            self.registry.on_leave, messages.Leave(key, born_ms, lives)
        )

    def wait(self, span_s):
        """Let time go by, in which nothing is heard."""
        self.at_s += span_s
        trio.run(self.registry.expire)

    def _call(self, call, message):
        try:
            trio.run(call, None, message)
        except Exception as problem:
            return problem
        return None

    def live(self):
        """Return the registrations that are not over."""
        return [
            held
            for held in self.machine.instances.values()
            if held.state != instances.LEFT
        ]
