# SPDX-License-Identifier: Apache-2.0

"""Named signals: small hooks for what is beside the main path."""

import blinker

__all__ = [
    'decided',
    'leader_known',
    'lease_changed',
    'started',
    'stopped',
    'view_changed',
]

#: An application has started its tasks. Sender: the application.
started = blinker.signal('started')
#: An application has ended. Sender: the application.
stopped = blinker.signal('stopped')
#: A decision was recorded. Sender: the store; ``record``.
decided = blinker.signal('decided')
#: A controller leads or follows another one. Sender: the replica;
#: ``address`` of the leader.
leader_known = blinker.signal('leader-known')
#: A lease was gained or lost. Sender: the holder; ``held``.
lease_changed = blinker.signal('lease-changed')
#: Changes came into force. Sender: the holder; ``changes``.
view_changed = blinker.signal('view-changed')
