# SPDX-License-Identifier: Apache-2.0

"""Steps for operator commands on the controllers."""

import types

from behave import given, then, when
import trio

from mountridge.consensus import entries
from mountridge.control import changes
from mountridge import errors, messages


class Replica:
    """A leader's replica that commits each configuration at once."""

    def __init__(self):
        self.node = types.SimpleNamespace(
            config=entries.Config({'c1': 'tcp://c1:1'}, {'c2': 'tcp://c2:1'})
        )
        self.changes = 0

    def check_leader(self):
        """Never raise: this replica always leads."""

    async def change_config(self, config):
        """Commit a configuration."""
        self.node.config = config
        self.changes += 1


class App:
    """Connections to controllers that reply with their identity."""

    def connect(self, address, name):
        """Return a caller to the controller ``name``."""

        async def call(message, timeout_s):
            node_id = name if name in ('c1', 'c2') else f'{name}.0'
            return messages.AdminReply(True, node_id)

        return types.SimpleNamespace(call=call, close=lambda: None)


def _send(context, action, name, address):
    message = messages.Admin(action, name, address)
    return trio.run(context.handler.on_admin, None, message)


@given('a leader whose configuration has the voter c1 and the learner c2')
def make_leader(context):
    context.replica = Replica()
    context.handler = changes.AdminHandler(App(), context.replica)


@when('the operator sends "{action} {name}" twice')
def send_twice(context, action, name):
    address = f'tcp://{name}:1'
    context.replies = [_send(context, action, name, address) for _ in range(2)]


@then('both replies are "{answer}" and the controllers changed once')
def check_replies(context, answer):
    expected = messages.AdminReply(True, answer)
    assert context.replies == [expected] * 2, context.replies
    assert context.replica.changes == 1, context.replica.changes


@when('the operator adds c2 at another address')
def add_at_other_address(context):
    try:
        context.reply = _send(context, 'add', 'c2', 'tcp://c2:9')
    except errors.MountridgeError as problem:
        context.problem = problem


@then('the command is refused with code {code:d}')
def check_refused(context, code):
    assert context.problem.code == code, context.problem
