# SPDX-License-Identifier: Apache-2.0

"""Numbered server-sent events of a streamed answer (text/event-stream)."""

import re
import typing

from mountridge import errors

__all__ = ['Event', 'MEDIA_TYPE', 'Splitter']

MEDIA_TYPE = b'text/event-stream'

#: A blank line ends an event; a line ends with LF, CRLF or CR.
_BLANK_LINE = re.compile(rb'\n(?:\n|\r\n?)|\r\r\n?')


class Event(typing.NamedTuple):
    """A complete event, with its number or None."""

    data: bytes
    event_id: int | None


def _event_id(data: bytes) -> int | None:
    for line in data.splitlines():
        if line.startswith(b'id:'):
            try:
                return int(line[3:])
            except ValueError:
                return None
    return None


class Splitter:
    """Splits a stream of bytes into complete events."""

    def __init__(self) -> None:
        #: Bytes of the last, incomplete event.
        self.remainder = b''
        self.event_count = 0

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        received = self.remainder + data
        found, start = [], 0
        for blank_line in _BLANK_LINE.finditer(received):
            data = received[start : blank_line.end()]
            found.append(Event(data, _event_id(data)))
            start = blank_line.end()
        self.remainder = received[start:]
        self.event_count += len(found)
        return found

    def end(self) -> bytes:
        """Return the bytes after the last event: blank lines and comments.

        :raises BadAnswer: the stream ended within an event.
        """
        for line in self.remainder.splitlines():
            if line and not line.startswith(b':'):
                raise errors.BadAnswer('the stream ended within an event')
        return self.remainder
