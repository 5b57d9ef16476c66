# SPDX-License-Identifier: Apache-2.0

"""A simple emulated runner with an OpenAI-compatible chat API.

It streams a fixed number of words as server-sent events at a fixed interval;
the body fields ``tokens`` and ``gap_s`` of a request override the defaults.
It emulates no batching, caches or models. Run it as
``python -m standins.runner IP:PORT NAME``.
"""

import collections
import json
import sys

import hypercorn.config
import hypercorn.trio
import quart
import quart_trio
import trio

__all__ = ['make_app', 'serve']

TOKENS = 12
GAP_S = 0.01


def _event(name: str, text: str, finish: str | None) -> bytes:
    chunk = {
        'id': 'chatcmpl-' + name,
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': name,
        'choices': [
            {
                'index': 0,
                'delta': {'content': text} if text else {},
                'finish_reason': finish,
            }
        ],
    }
    return b'data: ' + json.dumps(chunk).encode() + b'\n\n'


async def _stream(name: str, body: dict, counts: collections.Counter):
    gap_s = body.get('gap_s', GAP_S)
    counts['running'] += 1
    try:
        for number in range(body.get('tokens', TOKENS)):
            yield _event(name, f'w{number} ', None)
            if gap_s:
                await trio.sleep(gap_s)
        yield _event(name, '', 'stop')
        yield b'data: [DONE]\n\n'
        counts['whole'] += 1
    finally:
        counts['running'] -= 1


def make_app(name: str) -> quart_trio.QuartTrio:
    """Return the HTTP application of a runner."""
    app = quart_trio.QuartTrio('runner')
    counts: collections.Counter[str] = collections.Counter()
    marks: collections.Counter[str] = collections.Counter()

    @app.post('/v1/chat/completions')
    async def chat():
        body = await quart.request.get_json()
        counts['chat'] += 1
        if body.get('stream'):
            response = quart.Response(
                _stream(name, body, counts), content_type='text/event-stream'
            )
            response.timeout = None
            return response
        count = body.get('tokens', TOKENS)
        await trio.sleep(count * body.get('gap_s', GAP_S))
        text = ' '.join(f'w{n}' for n in range(count))
        return {
            'id': 'chatcmpl-' + name,
            'object': 'chat.completion',
            'created': 0,
            'model': body['model'],
            'choices': [
                {
                    'index': 0,
                    'message': {'role': 'assistant', 'content': text},
                    'finish_reason': 'stop',
                }
            ],
        }

    @app.post('/v1/services/<path:service>')
    async def plain(service: str):
        body = await quart.request.get_json(silent=True) or {}
        counts['plain'] += 1
        mark = str(body.get('mark', ''))
        marks[mark] += 1
        await trio.sleep(body.get('work_s', 0.005))
        return {'runner': name, 'service': service, 'run': marks[mark]}

    @app.get('/counts')
    async def show():
        return {'counts': dict(counts), 'marks': dict(marks)}

    return app


async def serve(address: str, name: str) -> None:
    """Serve a runner at ``address`` until cancelled."""
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    await hypercorn.trio.serve(
        make_app(name), config, shutdown_trigger=trio.sleep_forever
    )


if __name__ == '__main__':
    trio.run(serve, sys.argv[1], sys.argv[2])
