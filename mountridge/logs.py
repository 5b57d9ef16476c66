# SPDX-License-Identifier: Apache-2.0

"""Structured log lines on standard output, bounded and never waited for.

One JSON object a line. Lines past the rate of the settings are left out and
counted; so are lines that the reader of the output does not take. A line
says how many were left out as soon as one gets through again.
"""

import datetime
import json
import logging
import os
import sys
import time
import typing

__all__ = ['LineSink', 'logger', 'open_log']

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


class FieldLogger(logging.LoggerAdapter):
    """Takes the fields of a line as keyword arguments.

    The standard library's logging under a call that names its fields: it
    takes 11 ms to import, where loguru takes 108, a quarter of what an entry
    imports.
    """

    def process(
        self, msg: str, kwargs: typing.MutableMapping[str, typing.Any]
    ) -> tuple[str, dict[str, typing.Any]]:
        """Return a line and its fields as ``logging`` takes them."""
        told = {'exc_info': kwargs.pop('exc_info', None)}
        return msg, {**told, 'extra': {'fields': kwargs}}


#: Of the whole process; writes nowhere below a warning until `open_log`.
logger = FieldLogger(logging.getLogger('mountridge'))


class _LineFormatter(logging.Formatter):
    """Makes one JSON object, or one readable line, of a record."""

    def __init__(self, process: str, as_json: bool):
        super().__init__()
        self._process = process
        self._as_json = as_json

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, with its end."""
        at = datetime.datetime.fromtimestamp(record.created).astimezone()
        level, message = record.levelname, record.getMessage()
        fields = {'process': self._process, **getattr(record, 'fields', {})}
        if record.exc_info:
            fields['exception'] = repr(record.exc_info[1])
        if not self._as_json:
            return f'{at:%H:%M:%S} {level} {fields} {message}\n'
        told = {
            'at': at.isoformat(timespec='milliseconds'),
            'level': level,
            'message': message,
            **fields,
        }
        return json.dumps(told, default=str) + '\n'


class _SinkHandler(logging.Handler):
    """Gives formatted lines to a sink."""

    def __init__(self, sink: LineSink):
        super().__init__()
        self._sink = sink

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line."""
        self._sink(self.format(record))


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
    log = settings['log']
    handler = _SinkHandler(_open_sink(settings))
    handler.setFormatter(_LineFormatter(settings['name'], log['json']))
    logger.logger.handlers = [handler]
    logger.logger.propagate = False
    logger.logger.setLevel(log['level'])
