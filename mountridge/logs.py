# SPDX-License-Identifier: Apache-2.0

"""Structured logging to standard output, rate-limited and non-blocking.

Each line is a JSON object. Lines above the rate limit of the settings, or
that the reader of the output is too slow for, are dropped and counted. The
next line that is written is preceded by one with the count.
"""

import datetime
import json
import logging
import os
import sys
import time
import traceback
import typing

__all__ = ['LineSink', 'logger', 'open_log']

#: Size of a burst of lines, as a time at the permitted rate.
BURST_S = 2.0
#: Characters of a traceback that are kept, from its end.
MAX_TRACEBACK = 4000


class LineSink:
    """Writes lines to a descriptor, rate-limited and without blocking."""

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
        self.dropped = 0
        #: The remainder of lines of which only a part has been written.
        self._pending = b''

    def __call__(self, line: str) -> None:
        """Write one line, or count it as dropped."""
        if not self._may_write() or not self._flush():
            self.dropped += 1
            return
        data = str(line).encode()
        if self.dropped:
            notice = {'message': 'log lines dropped', 'count': self.dropped}
            data = json.dumps(notice).encode() + b'\n' + data
            self.dropped = 0
        self._pending = data
        self._flush()

    def _may_write(self) -> bool:
        now_s = self._now_s()
        earned = (now_s - self._filled_s) * self._per_s
        self._filled_s = now_s
        capacity = self._per_s * BURST_S
        self._allowance = min(capacity, self._allowance + earned)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _flush(self) -> bool:
        """Write the remainder; return whether nothing remains unwritten."""
        if self._pending:
            try:
                self._pending = self._pending[self._write(self._pending) :]
            except OSError:
                # The reader is slow or has closed the output.
                return False
        return not self._pending


class FieldLogger(logging.LoggerAdapter):
    """Accepts the fields of a line as keyword arguments.

    Based on the standard library's logging, which is imported much faster
    than third-party packages for structured logging.
    """

    def process(
        self, msg: str, kwargs: typing.MutableMapping[str, typing.Any]
    ) -> tuple[str, dict[str, typing.Any]]:
        """Return the message and the keyword arguments for ``logging``."""
        exception = {'exc_info': kwargs.pop('exc_info', None)}
        return msg, {**exception, 'extra': {'fields': kwargs}}


#: The logger of the process. Until `open_log` it logs warnings and errors
#: alone.
logger = FieldLogger(logging.getLogger('mountridge'))


class _LineFormatter(logging.Formatter):
    """Formats a record as a JSON object or as a line of plain text."""

    def __init__(self, process: str, as_json: bool):
        super().__init__()
        self._process = process
        self._as_json = as_json

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, with a line end."""
        at = datetime.datetime.fromtimestamp(record.created).astimezone()
        level, message = record.levelname, record.getMessage()
        fields = {'process': self._process, **getattr(record, 'fields', {})}
        if record.exc_info:
            fields['exception'] = repr(record.exc_info[1])
            lines = traceback.format_exception(record.exc_info[1])
            fields['traceback'] = ''.join(lines)[-MAX_TRACEBACK:]
        if not self._as_json:
            return f'{at:%H:%M:%S} {level} {fields} {message}\n'
        line = {
            'at': at.isoformat(timespec='milliseconds'),
            'level': level,
            'message': message,
            **fields,
        }
        return json.dumps(line, default=str) + '\n'


class _SinkHandler(logging.Handler):
    """Passes formatted lines to a sink."""

    def __init__(self, sink: LineSink):
        super().__init__()
        self._sink = sink

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record to the sink."""
        self._sink(self.format(record))


def _open_sink(settings: dict) -> LineSink:
    """Return a sink that writes to standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)

    def write(data: bytes) -> int:
        return os.write(descriptor, data)

    lines_per_s = settings['log']['lines_per_s']
    return LineSink(write, lines_per_s, time.monotonic)


def open_log(settings: dict) -> None:
    """Log to standard output, in the format and at the level of settings."""
    log = settings['log']
    handler = _SinkHandler(_open_sink(settings))
    handler.setFormatter(_LineFormatter(settings['name'], log['json']))
    logger.logger.handlers = [handler]
    logger.logger.propagate = False
    logger.logger.setLevel(log['level'])
