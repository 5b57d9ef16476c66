# SPDX-License-Identifier: Apache-2.0

"""Steps on entry processes over the loopback interface."""

import json
import pathlib
import shutil
import sys
import tempfile
import time
import types

from behave import given, then, when
import httpx
import trio

from mountridge import entry, errors, messages
from standins import lab

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / 'platform'))
from adapter import wire  # noqa: E402,H306

LOAD = {'seed': 1, 'kinds': [], 'entries': 4, 'ranks': 0}


def _wait_for(check, limit_s):
    until_s = time.monotonic() + limit_s
    while not check():
        assert time.monotonic() < until_s, f'not within {limit_s} s'
        time.sleep(0.1)


def _get(number, port):
    try:
        url = f'http://{lab.NETWORK}{number}:{port}/'
        return httpx.get(url, timeout=1).status_code
    except httpx.HTTPError:
        return 0


def _all_ready():
    return all(_get(number, 8001) == 200 for number in range(1, 5))


def _voters(context):
    """Return the newest set of voters in any log."""
    newest = ('', [])
    for path in context.lab.folder.glob('entry-*.log'):
        for line in path.read_text().splitlines():
            logged = json.loads(line) if line.startswith('{') else {}
            if logged.get('message') == 'controllers':
                newest = max(newest, (logged['at'], logged['voters']))
    return newest[1]


@given('4 entries of which 3 have a disk, with routes in force')
def start_entries(context):
    context.lab = lab.Lab(LOAD, tempfile.mkdtemp())
    context.add_cleanup(context.lab.stop_all)
    context.lab.start_entries(founding=True)
    _wait_for(lambda: len(_voters(context)) == 3, 15)
    url = f'http://{lab.NETWORK}1:8002/v1/routes/put'
    answer = httpx.post(url, content=context.lab.document(), timeout=5)
    assert answer.status_code == 200, answer.text
    _wait_for(_all_ready, 10)


@when('all are killed and restart with only the fourth as their seed')
def lose_power(context):
    context.lab.stop_all()
    context.lab.seeds = [4]
    context.lab.start_entries(founding=False)


@then('all 4 are ready again within {limit_s:d} s')
def check_ready(context, limit_s):
    _wait_for(_all_ready, limit_s)


@when('an entry is killed, its disk is emptied, and it restarts')
def empty_disk(context):
    lab_run = context.lab
    context.before = [v for v in _voters(context) if v.startswith('entry-1.')]
    process = lab_run.processes[1]
    process.kill()
    process.wait()
    shutil.rmtree(lab_run.folder / 'data-1')
    lab_run.start_entry(1, founding=False)


@then('it is a voter within {limit_s:d} s, with a new identity')
def check_voter(context, limit_s):
    def joined():
        now = [v for v in _voters(context) if v.startswith('entry-1.')]
        return now and now != context.before and len(_voters(context)) == 3

    _wait_for(joined, limit_s)
    _wait_for(_all_ready, limit_s)


def _post(number, path, content):
    url = f'http://{lab.NETWORK}{number}:8002{path}'
    return httpx.post(url, content=content, timeout=5).status_code


def _limited_routes(context, version):
    """Return routes that limit callers' heads and bodies to 64 bytes."""
    document = json.loads(context.lab.document())
    document[0], document[3] = version, [64, 64, 3000.0, 15000.0]
    return json.dumps(document)


@when('routes that limit callers to 64 bytes are in force')
def put_limits(context):
    content = _limited_routes(context, 2)
    assert _post(1, '/v1/routes/put', content) == 200

    def are_in_force():
        url = f'http://{lab.NETWORK}{{}}:8000/'
        return all(
            httpx.get(url.format(number), timeout=1).status_code == 431
            for number in range(1, 5)
        )

    _wait_for(are_in_force, 5)


@then('the same routes are accepted again at each entry')
def put_again(context):
    content = _limited_routes(context, 2)
    found = [_post(n, '/v1/routes/put', content) for n in range(1, 5)]
    assert found == 4 * [200], found


@then('so are newer ones, and the heartbeat of a runner')
def put_newer(context):
    content = _limited_routes(context, 3)
    heartbeat = {
        'service': 'plain', 'address': '127.0.0.1:9', 'hall': 'north',
        'seq': 1, 'slots': 4, 'state': 'ready', 'software': 64 * 'v',
    }  # fmt: skip
    for number in range(1, 5):
        assert _post(number, '/v1/routes/put', content) == 200
        path = f'/v1/instances/i-{number}/heartbeat'
        assert _post(number, path, json.dumps(heartbeat)) == 200


#: A configuration of the platform, by where a text stands in it.
CONFIGURATIONS = {
    'a value that it does not use': b'"services": [{"name": "s", "tls": "X"}]',
    'a name that it does not use': b'"services": [{"name": "s"}], "X": 1',
    'a value that it uses': b'"services": [{"name": "X"}]',
}


@given('an entry that takes configurations of the platform')
def platform_entry(context):
    context.calls = []

    async def call(message, _timeout_s):
        context.calls.append(message)
        return messages.RoutesReply(message.version, b'')

    context.entry = types.SimpleNamespace(
        dialect=wire.DIALECT, leader=types.SimpleNamespace(call=call)
    )


def _put(context, where, text):
    source = CONFIGURATIONS[where].replace(b'X', text)
    source = b'{"version": 7, "routes": [], %s}' % source
    return trio.run(entry.Entry.put_routes, context.entry, source)


@when('it gets a configuration with bytes that are not UTF-8 in {where}')
def put_damaged(context, where):
    assert _put(context, where, b'caf\xc3\xa9') == 7
    context.calls.clear()
    context.problem = None
    try:
        _put(context, where, b'caf\xc3')
    except errors.MountridgeError as problem:
        context.problem = problem


@then('it refuses it with code {code:d}, and sends nothing to the leader')
def check_damaged(context, code):
    assert context.problem is not None and context.problem.code == code
    assert not context.calls, context.calls
