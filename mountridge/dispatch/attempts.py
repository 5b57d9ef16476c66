# SPDX-License-Identifier: Apache-2.0

"""Attempts of a gateway: the answers received for the tickets it sent."""

import collections
import typing

import trio

from mountridge import errors, messages

__all__ = ['Attempt', 'Attempts']

#: Bytes buffered for a slow caller before the attempt is failed.
MAX_BUFFER_BYTES = 4 << 20


class Attempt:
    """The answer to one attempt, buffered as it arrives."""

    def __init__(self, attempt_id: str, agent: str):
        self.attempt_id = attempt_id
        self.agent = agent
        self.status = 0
        self.position = 0
        self.ended = False
        self.problem: errors.MountridgeError | None = None
        #: Number of the runner's start that crashed with this attempt, or 0.
        self.crashed_life = 0
        #: Time of the first data.
        self.began_s: float | None = None
        self._data: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._changed = trio.Event()

    def receive(self, frame: messages.Frame) -> bool:
        """Append a frame; return false if it is not the next one expected."""
        if self.ended or frame.position != self.position:
            return False
        self.status = frame.status or self.status
        if frame.data:
            self.position += len(frame.data)
            self._buffered_bytes += len(frame.data)
            self._data.append(frame.data)
        if frame.code:
            self.crashed_life = frame.crashed_life
            self.fail(
                errors.by_code(frame.code)(
                    frame.message, frame.retry_after_s or None
                )
            )
        elif frame.end:
            self.ended = True
        elif self._buffered_bytes > MAX_BUFFER_BYTES:
            self.fail(errors.BadAnswer('the caller reads too slowly'))
        self._changed.set()
        return True

    def fail(self, problem: errors.MountridgeError) -> None:
        """End the attempt with an error, unless it has ended already."""
        if not self.ended:
            self.problem = problem
            self.ended = True
            self._changed.set()

    async def read(self) -> bytes:
        """Wait for data and return all that is buffered, b'' at the end.

        :raises MountridgeError: the answer was truncated.
        """
        while not self._data and not self.ended:
            self._changed = trio.Event()
            await self._changed.wait()
        if self._data:
            data = b''.join(self._data)
            self._data.clear()
            self._buffered_bytes = 0
            return data
        if self.problem:
            raise self.problem
        return b''


class Attempts:
    """The open attempts of a gateway by id.

    ``incr`` increments the counter of the given name.
    """

    def __init__(self, incr: typing.Callable[[str], None]):
        self._incr = incr
        self.open: dict[str, Attempt] = {}

    def add(self, attempt: Attempt) -> None:
        """Start delivering frames to ``attempt``."""
        self.open[attempt.attempt_id] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Stop delivering frames to ``attempt``."""
        self.open.pop(attempt.attempt_id, None)

    def receive(self, frames: list[messages.Frame]) -> None:
        """Deliver frames to their attempts and count those of none.

        A gap in the positions fails the attempt.
        """
        for frame in frames:
            attempt = self.open.get(frame.attempt_id)
            if attempt is None:
                self._incr('frame.stray')
            elif not attempt.receive(frame):
                self._incr('frame.out_of_place')
                if frame.position > attempt.position:
                    attempt.fail(errors.BadAnswer('a frame was lost'))

    def fail_lost(self, attempt_ids: list[str], reason: str) -> None:
        """Fail attempts whose tickets may be lost, unless data has arrived."""
        for attempt_id in attempt_ids:
            attempt = self.open.get(attempt_id)
            if attempt and not attempt.position:
                attempt.fail(errors.OutcomeUnknown(reason))

    def fail_agent(self, agent: str, reason: str) -> None:
        """Fail all attempts at an agent that restarted or is unresponsive."""
        for attempt in list(self.open.values()):
            if attempt.agent == agent:
                attempt.fail(errors.OutcomeUnknown(f'{agent}: {reason}'))
