# SPDX-License-Identifier: Apache-2.0

"""Stand-ins for a caller's responder and for a runner's answer."""

import types

from mountridge.net import dialects, lasthop

__all__ = ['Responder', 'reply']

#: Head of an answer that has nothing to announce.
HEAD = dialects.ReplyHead(200, None, False, None, None, None)


class Responder:
    """Records a complete answer instead of sending it."""

    started = False
    status, headers, body = 0, {}, b''

    async def send_response(self, status, headers, body):
        self.status, self.headers, self.body = status, dict(headers), body


async def _chunks():
    yield b'whole'


def reply(head=HEAD, headers=()):
    """Return the whole answer of a simulated runner."""
    return types.SimpleNamespace(
        head=head,
        headers=list(headers),
        chunks=_chunks,
        framing=lasthop.LENGTH,
    )
