# SPDX-License-Identifier: Apache-2.0

"""Attempts of a gateway: tickets sent, frames that come back for them."""

import collections
import typing

import trio

from mountridge import errors, messages

__all__ = ['Attempt', 'Attempts']

#: Bytes that may wait for a slow caller before its answer is given up.
MAX_BUFFER = 4 << 20


class Attempt:
    """The answer to one attempt, as it arrives."""

    def __init__(self, attempt_id: str, agent: str):
        self.attempt_id = attempt_id
        self.agent = agent
        self.status = 0
        self.position = 0
        self.ended = False
        self.problem: errors.MountridgeError | None = None
        self._data: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._wake = trio.Event()

    def take(self, frame: messages.Frame) -> bool:
        """Take a frame; false where it does not follow on the last one."""
        if self.ended or frame.position != self.position:
            return False
        self.status = frame.status or self.status
        if frame.data:
            self.position += len(frame.data)
            self._waiting_bytes += len(frame.data)
            self._data.append(frame.data)
        if frame.code:
            self.fail(
                errors.by_code(frame.code)(
                    frame.message, frame.retry_after_s or None
                )
            )
        elif frame.end:
            self.ended = True
        elif self._waiting_bytes > MAX_BUFFER:
            self.fail(errors.BadAnswer('the caller reads too slowly'))
        self._wake.set()
        return True

    def fail(self, problem: errors.MountridgeError) -> None:
        """End the attempt with a problem."""
        if not self.ended:
            self.problem = problem
            self.ended = True
            self._wake.set()

    async def read(self) -> bytes:
        """Return all bytes that have come, b'' at the explicit end.

        Pieces that came while the caller was slow are merged.

        :raises MountridgeError: the answer ends here without its end.
        """
        while not self._data and not self.ended:
            self._wake = trio.Event()
            await self._wake.wait()
        if self._data:
            data = b''.join(self._data)
            self._data.clear()
            self._waiting_bytes = 0
            return data
        if self.problem:
            raise self.problem
        return b''


class Attempts:
    """The open attempts of a gateway by their id."""

    def __init__(self, count: typing.Callable[[str], None]):
        self._count = count
        self.open: dict[str, Attempt] = {}

    def add(self, attempt: Attempt) -> None:
        """Take frames for ``attempt`` from now on."""
        self.open[attempt.attempt_id] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Take no more frames for ``attempt``."""
        self.open.pop(attempt.attempt_id, None)

    def take(self, frames: list[messages.Frame]) -> None:
        """Hand frames to their attempts; those of no one are counted."""
        for frame in frames:
            attempt = self.open.get(frame.attempt_id)
            if attempt is None:
                self._count('frame.stray')
            elif not attempt.take(frame):
                self._count('frame.out_of_place')
                if frame.position > attempt.position:
                    attempt.fail(errors.BadAnswer('a frame was lost'))

    def fail_some(self, attempt_ids: list[str], reason: str) -> None:
        """End attempts whose tickets may not have come."""
        for attempt_id in attempt_ids:
            attempt = self.open.get(attempt_id)
            if attempt and not attempt.position:
                attempt.fail(errors.OutcomeUnknown(reason))

    def fail_agent(self, agent: str, reason: str) -> None:
        """End the attempts at an agent that is gone, restarted or silent."""
        for attempt in list(self.open.values()):
            if attempt.agent == agent:
                attempt.fail(errors.OutcomeUnknown(f'{agent}: {reason}'))
