# SPDX-License-Identifier: Apache-2.0

"""Numbered events of a streamed answer (text/event-stream)."""

import typing

__all__ = ['Event', 'Splitter']

_END = b'\n\n'


class Event(typing.NamedTuple):
    """One whole event with its number, None where it has none."""

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
    """Cuts a stream of bytes into whole events."""

    def __init__(self) -> None:
        #: Bytes of an event that is not whole yet.
        self.rest = b''

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        parts = (self.rest + data).split(_END)
        self.rest = parts.pop()
        return [Event(part + _END, _event_id(part)) for part in parts]
