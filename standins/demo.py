# SPDX-License-Identifier: Apache-2.0

"""Demo: runs a system on loopback and sends one request of each kind."""

import json
import pathlib
import sys
import tempfile

import httpx

from standins import cluster

__all__ = ['main']

TABLE = pathlib.Path(__file__).parent.parent / 'samples' / 'table.csv'


def build(folder: str, controllers: int = 3) -> cluster.Cluster:
    """Start controllers, two gateways, two agents and their runners."""
    system = cluster.Cluster(folder)
    start(system, controllers)
    return system


def start(system: cluster.Cluster, controllers: int) -> None:
    """Start the processes of the demo in a cluster without any."""
    names = [f'c{n + 1}' for n in range(controllers)]
    system.add_controllers(names)
    services = ['drafts', 'assistant', 'alarm-relay', 'receipt-corrections']
    for number in (1, 2):
        runner = system.start_runner(f'r{number}')
        system.add('agent', f'a{number}', runner=runner, services=services)
        system.start(f'a{number}')
        system.add('gateway', f'g{number}')
        system.start(f'g{number}')


def chat(address: str) -> str:
    """Stream a chat completion, print it, and return its request id."""
    body = {
        'model': 'drafts',
        'stream': True,
        'messages': [{'role': 'user', 'content': 'Summarize the shift.'}],
    }
    headers = {'authorization': 'Bearer dispatch'}
    url = f'http://{address}/v1/chat/completions'
    text = ''
    with httpx.stream('POST', url, json=body, headers=headers) as response:
        response.raise_for_status()
        for line in response.iter_lines():
            if line.startswith('data: {'):
                chunk = json.loads(line[len('data: ') :])
                text += chunk['choices'][0]['delta'].get('content', '')
        print(f'chat answer: {text}')
        return response.headers['x-request-id']


def call(address: str, service: str, team: str, key: str = '') -> None:
    """Call a plain service and print the response."""
    headers = {'authorization': f'Bearer {team}'}
    if key:
        headers['idempotency-key'] = key
    url = f'http://{address}/v1/services/{service}'
    response = httpx.post(url, json={'mark': key}, headers=headers)
    print(f'{service}: {response.status_code} {response.text}')
    response.raise_for_status()


def main() -> int:
    """Run the demo and return the exit code, 0 on success."""
    with tempfile.TemporaryDirectory() as folder, build(folder) as system:
        system.put_table(TABLE.read_text())
        system.wait_ready('g1', 2)
        system.wait_ready('g2', 2)
        answer = httpx.get(f'http://{system.http["g1"]}/v1/address').json()
        print(f'addresses to use: {answer}')
        address = answer['addresses'][0]
        request_id = chat(address)
        call(address, 'alarm-relay', 'control-room')
        key = f'{cluster.time.time():.0f}-ticket-17'
        for each in answer['addresses']:
            call(each, 'receipt-corrections', 'receipts', key)
        print('decisions on the chat request:')
        print(system.cli('ask', request_id))
        codes = {
            name: system.stop(name)
            for name in reversed(list(system.processes))
            if not name.startswith('r')
        }
        print(f'exit codes after graceful stops: {codes}')
        return max(abs(code) for code in codes.values())


if __name__ == '__main__':
    sys.exit(main())
