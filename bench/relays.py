# SPDX-License-Identifier: Apache-2.0

"""A source of streams, and relays to compare the gateway and agent with.

``source``: a minimal server that streams chat chunks at a fixed interval.
``bare``: one receive and one send per chunk on trio sockets without parsing,
as a lower bound. ``quart``: one hop with quart on hypercorn and httpx.
"""

import sys

import httpx
import hypercorn.config
import hypercorn.trio
import quart
import quart_trio
import trio

CHUNK = (
    b'data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":0,'
    b'"model":"drafts","choices":[{"index":0,"delta":{"content":"token "},'
    b'"finish_reason":null}]}\n\n'
)
HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)
PIECE = b'%x\r\n%s\r\n' % (len(CHUNK), CHUNK)


def split(address: str) -> tuple[str, int]:
    """Return host and port of an address IP:PORT."""
    host, _, port = address.rpartition(':')
    return host, int(port)


async def _read_request(stream: trio.SocketStream) -> bytes:
    data = b''
    while b'\r\n\r\n' not in data:
        got = await stream.receive_some(65536)
        if not got:
            return b''
        data += got
    head, _, body = data.partition(b'\r\n\r\n')
    size = 0
    for line in head.split(b'\r\n'):
        if line.lower().startswith(b'content-length:'):
            size = int(line.split(b':')[1])
    while len(body) < size:
        body += await stream.receive_some(65536)
    return head + b'\r\n\r\n' + body


async def source(address: str, gap_s: float, tokens: int) -> None:
    """Stream ``tokens`` chunks to each request, ``gap_s`` apart."""

    async def serve(stream: trio.SocketStream) -> None:
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        while await _read_request(stream):
            await stream.send_all(HEAD)
            due_s = trio.current_time()
            for _ in range(tokens):
                await stream.send_all(PIECE)
                due_s += gap_s
                await trio.sleep_until(due_s)
            await stream.send_all(b'0\r\n\r\n')

    async def guarded(stream: trio.SocketStream) -> None:
        try:
            await serve(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    host, port = split(address)
    await trio.serve_tcp(guarded, port, host=host, backlog=1024)


async def bare(address: str, upstream: str) -> None:
    """Relay bytes both ways between each caller and the upstream."""

    async def pump(source_end, sink_end) -> None:
        while True:
            data = await source_end.receive_some(65536)
            if not data:
                return
            await sink_end.send_all(data)

    async def serve(stream: trio.SocketStream) -> None:
        up = await trio.open_tcp_stream(*split(upstream))
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pump, up, stream)
                await pump(stream, up)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await up.aclose()

    host, port = split(address)
    await trio.serve_tcp(serve, port, host=host, backlog=1024)


async def one_hop(address: str, upstream: str) -> None:
    """Relay streams over one hop with common HTTP libraries."""
    app = quart_trio.QuartTrio('relay')
    limits = httpx.Limits(max_connections=None)
    client = httpx.AsyncClient(timeout=None, limits=limits)

    @app.post('/v1/chat/completions')
    async def chat():
        body = await quart.request.get_data()

        async def stream():
            url = f'http://{upstream}/v1/chat/completions'
            async with client.stream('POST', url, content=body) as response:
                async for data in response.aiter_raw():
                    yield data

        response = quart.Response(stream(), content_type='text/event-stream')
        response.timeout = None
        return response

    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = config.errorlog = None
    await hypercorn.trio.serve(
        app, config, shutdown_trigger=trio.sleep_forever
    )


def main() -> None:
    """Run one of the servers until killed."""
    kind, address, *rest = sys.argv[1:]
    if kind == 'source':
        trio.run(source, address, float(rest[0]), int(rest[1]))
    elif kind == 'bare':
        trio.run(bare, address, rest[0])
    else:
        trio.run(one_hop, address, rest[0])


if __name__ == '__main__':
    main()
