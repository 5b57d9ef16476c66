# SPDX-License-Identifier: Apache-2.0

"""Numbered server-sent events of a streamed answer (text/event-stream)."""

import re
import typing

from mountridge import errors

__all__ = ['Event', 'MEDIA_TYPE', 'Splitter']

MEDIA_TYPE = b'text/event-stream'

#: A blank line ends an event; a line ends with LF, CRLF or CR.
_BLANK_LINE = re.compile(rb'\n(?:\n|\r\n?)|\r\r\n?')
_DATA_FIELD = re.compile(rb'(?:^|[\r\n])data')
#: Most bytes of a blank line.
BLANK_LINE_BYTES = 3


class Event(typing.NamedTuple):
    """A complete event, with its number or None.

    A block with neither data nor a number, as comments that keep a connection
    open, is empty: no event to its reader, though it is passed on like one.
    """

    data: bytes
    event_id: int | None
    is_empty: bool = False


def _event_id(data: bytes) -> int | None:
    for line in data.splitlines():
        if line.startswith(b'id:'):
            try:
                return int(line[3:])
            except ValueError:
                return None
    return None


def _has_only_comments(data: bytes) -> bool:
    lines = data.splitlines()
    return all(not line or line.startswith(b':') for line in lines)


def _event(data: bytes) -> Event:
    event_id = _event_id(data)
    is_empty = event_id is None and not _DATA_FIELD.search(data)
    return Event(data, event_id, is_empty)


class Splitter:
    """Splits a stream of bytes into complete events."""

    def __init__(self) -> None:
        #: Bytes of the last, incomplete event.
        self.remainder = bytearray()
        self.event_count = 0

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        # A blank line may have begun in the bytes that were searched before.
        search_from = max(0, len(self.remainder) - BLANK_LINE_BYTES)
        self.remainder += data
        blank_lines = _BLANK_LINE.finditer(self.remainder, search_from)
        found, start = [], 0
        for end in [blank_line.end() for blank_line in blank_lines]:
            found.append(_event(bytes(self.remainder[start:end])))
            start = end
        # The iterator blocks changes of the size until it is gone.
        del blank_lines, self.remainder[:start]
        self.event_count += sum(not event.is_empty for event in found)
        return found

    def end(self) -> bytes:
        """Return the bytes after the last event: blank lines and comments.

        :raises BadAnswer: the stream ended within an event.
        """
        if not _has_only_comments(self.remainder):
            raise errors.BadAnswer('the stream ended within an event')
        return bytes(self.remainder)
