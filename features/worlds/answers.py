# SPDX-License-Identifier: Apache-2.0

"""Stand-ins for a caller's responder and for the body of a runner's answer."""

__all__ = ['Responder', 'chunks']


class Responder:
    """Records a complete answer instead of sending it."""

    started = False
    status, headers, body = 0, {}, b''

    async def send_response(self, status, headers, body):
        self.status, self.headers, self.body = status, dict(headers), body


async def chunks():
    """Yield the body that each simulated runner answers with."""
    yield b'whole'
