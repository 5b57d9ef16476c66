# SPDX-License-Identifier: Apache-2.0

"""What callers get and runners give where no connection is played."""

__all__ = ['Responder', 'whole']


class Responder:
    """Takes a whole answer."""

    started = False
    status, headers, body = 0, {}, b''

    async def send_whole(self, status, headers, body):
        self.status, self.headers, self.body = status, dict(headers), body


async def whole():
    """Return the body of each runner's answer."""
    return b'whole'
