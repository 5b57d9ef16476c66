# SPDX-License-Identifier: Apache-2.0

"""Steps for answers broken off at each place, by framing and manner."""

import socket
import struct

from behave import given, then
import trio

from features.steps import forwarding_steps as base

FRAMINGS = {
    'length': ['length'],
    'chunks': ['chunks'],
    'close': ['close'],
    'any': ['length', 'chunks', 'close'],
}
BODY = [b'who', b'le']
#: Pieces sent before the break, of a stream and of a body: with a half, within
#: the next one; all pieces at other places behind the head.
SENT_PIECES = {
    'after the head': (0, 0),
    'within the body': (2.5, 1),
    'within an event': (2.5, 1),
    'between two events': (2, 1),
}
#: Remaining time of a request, so that a runner's silence is short.
DEADLINE_MS = 700


class Runner(base.Runner):
    """A runner that breaks off each of its answers."""

    def __init__(self, framing, place, manner):
        super().__init__(manner)
        self.framing, self.place = framing, place

    async def serve(self, stream):
        """Answer one request."""
        request = await self._read(stream)
        if request is None:
            return
        self.runs += 1
        await stream.send_all(self._broken(request))
        await self._end(stream)

    async def _end(self, stream):
        """End a connection after its answer; it is closed then."""
        if self.fault == 'stalls':
            await base._read_to_end(stream)
        if self.fault == 'resets':
            linger = struct.pack('ii', 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _broken(self, request):
        pieces = base.EVENTS if request[b'streams'] else BODY
        head = self._head(request, sum(map(len, pieces)))
        if self.place in ('before the head', 'within the head'):
            is_within = self.place == 'within the head'
            return head[: len(head) // 2 * is_within]
        of_stream, of_body = SENT_PIECES.get(self.place, (len(pieces),) * 2)
        sent = of_stream if request[b'streams'] else of_body
        data = head + b''.join(map(self._framed, pieces[: int(sent)]))
        if sent != int(sent):
            # The chunk or the length goes on behind these bytes.
            framed = self._framed(pieces[int(sent)])
            data += framed[: len(framed) // 2]
        return data

    def _head(self, request, length):
        line = {
            'length': b'Content-Length: %d\r\n' % length,
            'chunks': b'Transfer-Encoding: chunked\r\n',
            'close': b'',
        }[self.framing]
        return base._head(200, request, line + b'\r\n')

    def _framed(self, piece):
        if self.framing != 'chunks':
            return piece
        return b'%x\r\n%s\r\n' % (len(piece), piece)


@given('a runner that {manner} {place} of an answer framed by {framing}')
def set_break(context, manner, place, framing):
    context.make_runner = Runner
    context.breaks = [(each, place, manner) for each in FRAMINGS[framing]]


async def _ask(world, path, received):
    async with trio.open_nursery() as nursery:
        await world.start(nursery)
        stream = await world.open()
        request = base._request(b'/%s/1' % path.encode())
        deadline = b'%d' % DEADLINE_MS
        await stream.send_all(request.replace(b'2500', deadline))
        received.append(await base._read_all(stream))
        nursery.cancel_scope.cancel()


def _check(context, path, outcome):
    """Ask a world for each framing at once, and check the outcomes."""
    if outcome == '-':
        return
    worlds, received = [], {}

    async def main():
        async with trio.open_nursery() as nursery:
            for place in context.breaks:
                world = base.World('answers correctly', 'answers correctly')
                world.runners[0] = context.make_runner(*place)
                worlds.append(world)
                nursery.start_soon(
                    _ask, world, path, received.setdefault(place, [])
                )

    trio.run(main)
    for place, (data,) in received.items():
        got = _outcome(data, path)
        assert got == outcome, (place, got, data)
    if path in ('unsafe', base.ONCE):
        runs = [sum(r.runs for r in world.runners) for world in worlds]
        assert runs == [1] * len(runs), runs


def _outcome(data, path):
    """Return what a caller takes the received bytes for."""
    head, _, body = data.partition(b'\r\n\r\n')
    status = head[9:12].decode()
    if status != '200':
        return status
    if not path.startswith('streaming'):
        is_whole = body == b'whole' and b'content-length: 5' in head.lower()
        return 'whole' if is_whole else f'body {body!r}'
    is_ended = body.endswith(b'0\r\n\r\n')
    events = _unchunked(body)
    if is_ended:
        is_whole = events == b''.join(base.EVENTS)
        return 'whole' if is_whole else f'ended: {events!r}'
    count = events.count(b'\n\n')
    is_correct = events == b''.join(base.EVENTS[:count])
    return f'{count} events' if is_correct else f'cut: {events!r}'


def _unchunked(body):
    """Return the contents of the chunks."""
    contents = b''
    while body:
        size, _, rest = body.partition(b'\r\n')
        contents += rest[: int(size, 16)]
        body = rest[int(size, 16) + 2 :]
    return contents


@then('a safe request gets {outcome}')
def check_safe(context, outcome):
    _check(context, 'safe', outcome)


@then('an unsafe request gets {outcome}')
def check_unsafe(context, outcome):
    _check(context, 'unsafe', outcome)


@then('a stream that may be resumed gets {outcome}')
def check_resumable(context, outcome):
    _check(context, 'streaming', outcome)


@then('a stream that may not be resumed gets {outcome}')
def check_once(context, outcome):
    _check(context, base.ONCE, outcome)
