# SPDX-License-Identifier: Apache-2.0

"""Steps on requests through real processes on loopback."""

import json
import pathlib
import tempfile
import time

from behave import given, then, when
import httpx

from standins import cluster

TABLE = pathlib.Path('samples/table.csv').read_text()
SERVICES = ['drafts', 'assistant', 'alarm-relay', 'receipt-corrections']


@given(
    'a system with {controllers:d} controller(s), {gateways:d} gateway(s)'
    ' and {agents:d} agent(s)'
)
def start_system(context, controllers, gateways, agents):
    folder = tempfile.mkdtemp()
    system = context.cluster = cluster.Cluster(folder)
    names = [f'c{n + 1}' for n in range(controllers)]
    system.add_controllers(names)
    for n in range(agents):
        runner = system.start_runner(f'r{n + 1}')
        system.add('agent', f'a{n + 1}', runner=runner, services=SERVICES)
        system.start(f'a{n + 1}')
    for n in range(gateways):
        system.add('gateway', f'g{n + 1}')
        system.start(f'g{n + 1}')
    context.agents = agents


@given('the sample table is in force')
def put_sample(context):
    context.cluster.put_table(TABLE)
    for name in context.cluster.settings:
        if name.startswith('g'):
            context.cluster.wait_ready(name, context.agents)


@when('a caller requests the gateway addresses')
def request_addresses(context):
    url = f'http://{context.cluster.http["g1"]}/v1/address'
    context.addresses = httpx.get(url).json()


@then('the response has {count:d} addresses and a time to live')
def check_addresses(context, count):
    assert len(context.addresses['addresses']) == count, context.addresses
    assert context.addresses['ttl_s'] > 0


def _post(context, team, path, body, gateway='g1', **headers):
    url = f'http://{context.cluster.http[gateway]}{path}'
    headers = {'authorization': f'Bearer {team}', **headers}
    return httpx.post(url, content=body, headers=headers, timeout=30)


@when('team "{team}" streams a chat completion of "{model}"')
def stream_chat(context, team, model):
    body = {'model': model, 'stream': True, 'messages': []}
    response = _post(context, team, '/v1/chat/completions', json.dumps(body))
    context.response = response


@then('the stream is complete with {count:d} tokens')
def check_complete(context, count):
    lines = [x for x in context.response.text.split('\n\n') if x]
    assert lines[-1] == 'data: [DONE]', lines
    words = [
        json.loads(line[6:])['choices'][0]['delta'].get('content')
        for line in lines[:-1]
    ]
    assert words == [f'w{n} ' for n in range(count)] + [None], words


@when('team "{team}" calls "{service}"')
def call_plain(context, team, service):
    path = f'/v1/services/{service}'
    context.response = _post(context, team, path, '{}')


@then('the response has status {status:d}')
def check_status(context, status):
    assert context.response.status_code == status, context.response.text


@then('the last request has recorded reasons from "{name}" and an agent')
def check_reasons(context, name):
    request_id = context.response.headers['x-request-id']
    records = json.loads(context.cluster.cli('ask', '--json', request_id))
    assert any(r['by'] == name and r['reason'] for r in records), records
    assert any(r['by'].startswith('a') for r in records), records
    assert {r['request_id'] for r in records} == {request_id}


@when(
    'a call with key "{key}" is sent by team "{team}" to "{service}"'
    ' through "{gateway}"'
)
def call_with_key(context, key, team, service, gateway):
    if not hasattr(context, 'responses'):
        context.responses = []
        context.key_s = int(time.time())
    body = json.dumps({'mark': key})
    unique_key = f'{context.key_s}-{key}'
    response = _post(
        context,
        team,
        f'/v1/services/{service}',
        body,
        gateway,
        **{'idempotency-key': unique_key},
    )
    context.responses.append(response)


@then('both responses are equal and the call ran once')
def check_once(context):
    first, second = context.responses
    assert first.status_code == second.status_code == 200, second.text
    assert first.json() == second.json()
    assert first.json()['run'] == 1
    runs = 0
    for name, address in context.cluster.http.items():
        if name.startswith('r'):
            counts = httpx.get(f'http://{address}/counts').json()
            runs += sum(counts['marks'].values())
    assert runs == 1, runs


@then('these requests are refused')
def check_refused(context):
    for row in context.table:
        response = _post(context, row['team'], row['path'], row['body'])
        assert response.status_code == int(row['status']), response.text
        error = response.json()['error']
        assert error['code'] == int(row['code']), error
        assert error['outcome'] == 'not run', error


@then('a body of {size:d} bytes is refused with code {code:d}')
def check_large(context, size, code):
    body = b'{' + b' ' * size
    response = _post(context, 'dispatch', '/v1/chat/completions', body)
    assert response.json()['error']['code'] == code, response.text


@then('the system still serves requests')
def check_serving(context):
    stream_chat(context, 'dispatch', 'drafts')
    check_complete(context, 12)
