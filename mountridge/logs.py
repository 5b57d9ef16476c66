# SPDX-License-Identifier: Apache-2.0

"""Structured log lines on standard output, bounded and never waited for.

One JSON object a line. Lines past the rate of the settings are left out and
counted; so are lines that the reader of the output does not take. A line
says how many were left out as soon as one gets through again.
"""

import json
import os
import sys
import time
import typing

from loguru import logger

__all__ = ['LineSink', 'open_log']

#: Lines that may come at once, as a multiple of the lines in a second.
BURST_S = 2.0


class LineSink:
    """Writes lines to a descriptor, within a rate, without waiting."""

    def __init__(
        self,
        write: typing.Callable[[bytes], int],
        lines_per_s: float,
        now_s: typing.Callable[[], float],
    ):
        self._write = write
        self._per_s = lines_per_s
        self._now_s = now_s
        self._allowance = lines_per_s * BURST_S
        self._filled_s = now_s()
        self.left_out = 0
        #: The rest of a line of which the reader took only a part.
        self._rest = b''

    def __call__(self, line: str) -> None:
        """Write one line, or count it as left out."""
        if not self._may_write() or not self._flush():
            self.left_out += 1
            return
        data = str(line).encode()
        if self.left_out:
            told = {'message': 'lines left out', 'count': self.left_out}
            data = json.dumps(told).encode() + b'\n' + data
            self.left_out = 0
        self._rest = data
        self._flush()

    def _may_write(self) -> bool:
        now_s = self._now_s()
        earned = (now_s - self._filled_s) * self._per_s
        self._filled_s = now_s
        most = self._per_s * BURST_S
        self._allowance = min(most, self._allowance + earned)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _flush(self) -> bool:
        """Write what is left of earlier lines; false where it stays."""
        if self._rest:
            try:
                self._rest = self._rest[self._write(self._rest) :]
            except OSError:
                # The reader is slow or gone; `left_out` counts the line.
                return False
        return not self._rest


def _json_line(record: dict) -> str:
    """Put the line into the record's extra, and return its format."""
    fields = {
        'at': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'message': record['message'],
        **{k: v for k, v in record['extra'].items() if k != 'line'},
    }
    if record['exception']:
        fields['exception'] = repr(record['exception'].value)
    record['extra']['line'] = json.dumps(fields, default=str)
    return '{extra[line]}\n'


def _open_sink(settings: dict) -> LineSink:
    """Return the sink of this process's standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)

    def write(data: bytes) -> int:
        return os.write(descriptor, data)

    lines_per_s = settings['log']['lines_per_s']
    return LineSink(write, lines_per_s, time.monotonic)


def open_log(settings: dict) -> None:
    """Send log lines to standard output, as JSON where the settings say."""
    logger.remove()
    log = settings['log']
    logger.configure(extra={'process': settings['name']})
    form: typing.Any = '{time:HH:mm:ss.SSS} {level} {extra} {message}'
    if log['json']:
        form = _json_line
    logger.add(_open_sink(settings), level=log['level'], format=form)
