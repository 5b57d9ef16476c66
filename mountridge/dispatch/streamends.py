# SPDX-License-Identifier: Apache-2.0

"""The end of a stream of events (text/event-stream) that an agent passes on.

A complete framing does not show that the stream is complete: a runner may
break off within an event and still end its answer. An agent does not parse
events, so only the last bytes are checked.

The close of a connection is no evidence either. Where it is the only framing,
the last event must be the one that ends streams of the chat API; streams of
other services have no such event, so they need at least one of any kind.
"""

from mountridge import errors
from mountridge.net import lasthop

__all__ = ['CHAT_PATH', 'StreamEnd']

#: Path of the chat completions of the OpenAI API.
CHAT_PATH = '/v1/chat/completions'
#: The last line of a stream of that API, as runners write it.
DONE_LINES = (b'data: [DONE]', b'data:[DONE]')
#: Last bytes of a stream that are kept, enough for that line, the end of the
#: one before it, and the two line ends of an event.
KEPT_BYTES = 20


class StreamEnd:
    """The last bytes of a stream, and whether it may end after them."""

    def __init__(self) -> None:
        self._tail = b''

    def feed(self, data: bytes) -> None:
        """Record the next bytes of the stream."""
        self._tail = (self._tail + data)[-KEPT_BYTES:]

    def check(self, path: str, framing: str) -> None:
        """Check that a stream in answer to ``path`` may end here.

        :raises BadAnswer: it ends within an event, or with its connection
            before its last event.
        """
        tail = self._tail.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
        if tail and not tail.endswith(b'\n\n'):
            raise errors.BadAnswer('the stream ended within an event')
        if framing != lasthop.CLOSE:
            return
        last_line = tail.rstrip(b'\n').rpartition(b'\n')[2]
        if not tail or (path == CHAT_PATH and last_line not in DONE_LINES):
            raise errors.BadAnswer(
                'the connection was closed before the last event'
            )
