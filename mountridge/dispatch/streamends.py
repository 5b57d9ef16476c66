# SPDX-License-Identifier: Apache-2.0

"""The end of a stream of events (text/event-stream) that an agent passes on.

A complete framing does not show that the stream is complete: a runner may
break off within an event and still end its answer. An agent does not parse
events, so only the last bytes are checked.
"""

from mountridge import errors

__all__ = ['StreamEnd']

#: Last bytes of a stream that are kept, enough for two line ends.
KEPT_BYTES = 4


class StreamEnd:
    """The last bytes of a stream, and whether it may end after them."""

    def __init__(self) -> None:
        self._tail = b''

    def feed(self, data: bytes) -> None:
        """Record the next bytes of the stream."""
        self._tail = (self._tail + data)[-KEPT_BYTES:]

    def check(self) -> None:
        """Check that the stream may end here.

        :raises BadAnswer: it ends within an event.
        """
        tail = self._tail.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
        if tail and not tail.endswith(b'\n\n'):
            raise errors.BadAnswer('the stream ended within an event')
