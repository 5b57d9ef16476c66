# SPDX-License-Identifier: Apache-2.0

"""Steps on the evidence by which a received snapshot counts as complete."""

import random

from behave import then, when

from mountridge.consensus import consensustypes as types
from mountridge.consensus import entries, replication

CONFIG = entries.Config({name: name for name in 'abc'}, {})
#: The same state, as two builds may write it.
FIRST, SECOND = b'first--first--', b'second--second--'
CHUNK_BYTES = 7


def _send(node, leader, term, data, last_bytes):
    """Send a snapshot up to ``last_bytes`` of it, in the order requested."""
    offset = 0
    while offset < last_bytes:
        chunk = data[offset : offset + CHUNK_BYTES]
        message = types.InstallSnapshot(
            term, 9, 1, CONFIG, offset, len(data), chunk, 0.0
        )
        *_, sent = replication.on_install_snapshot(node, leader, message, 0.0)
        if sent.message.done:
            return
        assert sent.message.offset > offset, sent
        offset = sent.message.offset


@when(
    'a leader fails after half of a snapshot, and the next one sends its own'
)
def change_leader(context):
    log = entries.Log(0, 0, CONFIG)
    timing = types.Timing(0.1, 1.0)
    node = types.Node('c', 1, '', log, timing, random.Random(1))
    _send(node, 'a', 1, FIRST, CHUNK_BYTES)
    _send(node, 'b', 2, SECOND, len(SECOND))
    context.node = node


@then('the controller has installed the snapshot of the second leader')
def check_installed(context):
    installed = context.node.snapshot
    assert installed and installed.data == SECOND, installed
