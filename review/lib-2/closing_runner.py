"""A runner process whose answers have neither a length nor chunks.

``closing_runner.py IP PORT ID``; each answer ends with its connection, after
24 pieces in 1.5 s. Its heartbeats are sent by the case.
"""

import asyncio
import sys

HOST, PORT, ID = sys.argv[1], int(sys.argv[2]), sys.argv[3]
PIECE, PIECES, SPAN_S = b'0123456789' * 20, 24, 1.5


async def serve(reader, writer):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        headers = {}
        for line in head.decode('latin-1').split('\r\n')[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get('content-length', 0)))
        request = headers.get('x-mountridge-request-id', '')
        named = f'X-Mountridge-Request-Id: {request}\r\n'
        if headers.get('x-mountridge-expect-instance', ID) != ID:
            writer.write(f'HTTP/1.1 421 X\r\n{named}Content-Length: 0\r\n\r\n'.encode())
            return
        writer.write((
            f'HTTP/1.1 200 X\r\n{named}Content-Type: application/octet-stream\r\n'
            f'X-Mountridge-Server-Stamp: {ID}.{request}\r\n'
            'Connection: close\r\n\r\n').encode())
        for _ in range(PIECES):
            await asyncio.sleep(SPAN_S / PIECES)
            writer.write(PIECE)
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, HOST, PORT)
    await server.serve_forever()


asyncio.run(main())
