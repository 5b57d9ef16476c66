# SPDX-License-Identifier: Apache-2.0

"""Named signals, to which other modules can subscribe."""

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
#: A decision was recorded. Sender: the decision log; ``record``.
decided = blinker.signal('decided')
#: The leader is known or has changed. Sender: the replica; ``address`` of the
#: leader.
leader_known = blinker.signal('leader-known')
#: A lease was gained or lost. Sender: the holder; ``held``.
lease_changed = blinker.signal('lease-changed')
#: Changes of the view were applied. Sender: the holder; ``changes``.
view_changed = blinker.signal('view-changed')
