# SPDX-License-Identifier: Apache-2.0

"""Numbered server-sent events of a streamed answer (text/event-stream)."""

import typing

__all__ = ['Event', 'Splitter']

_SEPARATOR = b'\n\n'


class Event(typing.NamedTuple):
    """A complete event, with its number or None."""

    data: bytes
    event_id: int | None


def _event_id(data: bytes) -> int | None:
    for line in data.split(b'\n'):
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

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        parts = (self.remainder + data).split(_SEPARATOR)
        self.remainder = parts.pop()
        return [Event(part + _SEPARATOR, _event_id(part)) for part in parts]
