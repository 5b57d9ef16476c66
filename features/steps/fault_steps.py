# SPDX-License-Identifier: Apache-2.0

"""Steps on faults of real processes on loopback."""

import json
import pathlib
import re
import shutil
import signal
import subprocess
import sys

from behave import then, when
import httpx
import openai

from mountridge.consensus import storage
from mountridge.net import keys
from standins import cluster, ports

TABLE = pathlib.Path('samples/table.csv').read_text()
NEW_TABLE = TABLE.replace('crews,drafts,*,2,64', 'crews,drafts,*,2,65')


@when('the leading controller is killed')
def kill_leader(context):
    context.cluster.kill(context.cluster.leader())


@when('the leading controller is frozen')
def freeze_leader(context):
    context.frozen = context.cluster.leader()
    context.cluster.signal(context.frozen, signal.SIGSTOP)


@then('a new table can be put and is in force')
def put_new(context):
    system = context.cluster

    def put():
        path = system.folder / 'new.csv'
        path.write_text(NEW_TABLE)
        system.cli(
            'table', 'put', '--base', '1', '--wait', '--operation', 'new',
            str(path), check=False,
        )  # fmt: skip
        log = json.loads(system.cli('table', 'log', '--json', check=False))
        return log[-1]['version'] == 2 and log[-1]['in_force']

    cluster.wait_for(put, 60)


@when('the frozen controller resumes')
def resume(context):
    context.cluster.signal(context.frozen, signal.SIGCONT)


@then('the table is still the new one, at each controller')
def check_table(context):
    system = context.cluster

    def all_new():
        shown = [
            system.dump(name)['controller'] for name in system.controllers
        ]
        return {each['table_version'] for each in shown} == {2}

    cluster.wait_for(all_new)
    log = json.loads(system.cli('table', 'log', '--json'))
    assert [each['version'] for each in log] == [1, 2], log


def _followers(system):
    leader = system.leader()
    return [name for name in system.controllers if name != leader]


@when("a follower's disk is lost and the operator replaces it")
def lose_disk(context):
    system = context.cluster
    name, context.other = _followers(system)
    system.kill(name)
    shutil.rmtree(system.folder / f'data-{name}')
    system.start(name)
    shown = system.cli('controllers', 'add', name, system.controllers[name])
    learner = re.search(rf'({name}\.\w+) is a learner', shown).group(1)
    system.cli('controllers', 'remove', f'{name}.0')
    cluster.wait_for(
        lambda: f'{learner} is a voter'
        in system.cli('controllers', 'promote', learner, check=False)
    )


@when('another follower is killed')
def kill_other(context):
    context.cluster.kill(context.other)


@when('a follower restarts on a full disk')
def full_disk(context):
    system = context.cluster
    context.full = _followers(system)[0]
    system.kill(context.full)
    journal = max((system.folder / f'data-{context.full}').glob('journal-*'))
    system.start(context.full, journal.stat().st_size + 100)


@then(
    'that controller is running, has logged code {code:d} '
    'and stored no new entry'
)
def check_full(context, code):
    system = context.cluster
    log = system.folder / f'{context.full}.log'
    cluster.wait_for(lambda: f'"code": {code}' in log.read_text())
    assert system.processes[context.full].poll() is None
    held = storage.read(str(system.folder / f'data-{context.full}'))
    context.held = held.entries[-1].index
    newest = system.dump(system.leader())['controller']['commit']
    assert context.held < newest, (context.held, newest)


@then('it stores new entries after a restart with free disk space')
def check_room(context):
    system = context.cluster
    system.kill(context.full)
    system.start(context.full)
    folder = str(system.folder / f'data-{context.full}')
    cluster.wait_for(
        lambda: storage.read(folder).entries[-1].index > context.held
    )


def _busy_agent(system):
    for name in system.settings:
        if name.startswith('a') and system.dump(name)['agent']['running']:
            return name


@when('an agent is killed in the middle of a streamed response')
def kill_agent(context):
    system = context.cluster
    body = {
        'model': 'drafts', 'stream': True, 'messages': [],
        'tokens': 600, 'gap_s': 0.05,
    }  # fmt: skip
    url = f'http://{system.http["g1"]}/v1/chat/completions'
    headers = {'authorization': 'Bearer dispatch'}
    context.seen, context.broken = '', False
    try:
        with httpx.stream(
            'POST', url, json=body, headers=headers, timeout=60
        ) as response:
            for text in response.iter_text():
                if not context.seen:
                    system.kill(_busy_agent(system))
                context.seen += text
    except httpx.RemoteProtocolError:
        context.broken = True


@then("the caller's connection breaks before the end of the stream")
def check_break(context):
    assert context.seen and '[DONE]' not in context.seen
    assert context.broken


@when('the openai client requests a chat completion, streamed and not')
def ask_openai(context):
    address = context.cluster.http['g1']
    context.client = openai.OpenAI(
        base_url=f'http://{address}/v1', api_key='dispatch', max_retries=0
    )
    arguments = {
        'model': 'drafts',
        'messages': [{'role': 'user', 'content': 'hello'}],
    }
    streamed = context.client.chat.completions.create(stream=True, **arguments)
    context.pieces = [
        chunk.choices[0].delta.content or '' for chunk in streamed
    ]
    answer = context.client.chat.completions.create(**arguments)
    context.answer = answer.choices[0].message.content


@then('both answers are complete')
def check_openai(context):
    expected = [f'w{n}' for n in range(12)]
    assert ''.join(context.pieces).split() == expected
    assert context.answer.split() == expected


@then("an unknown model raises the client's not-found error")
def check_not_found(context):
    try:
        context.client.chat.completions.create(model='no', messages=[])
    except openai.NotFoundError as problem:
        assert problem.body['code'] == 1103, problem.body
    else:
        raise AssertionError('no error')


@when('a process with an unknown key requests the state of "{name}"')
def foreign_key(context, name):
    system = context.cluster
    keys.create_key_pairs(str(system.folder / 'foreign'), ['stranger'])
    for path in (system.folder / 'keys').glob('*.key'):
        shutil.copy(path, system.folder / 'foreign')
    system.add('gateway', 'stranger')
    text = system.path('stranger').read_text()
    foreign = system.path('stranger')
    foreign.write_text(
        text.replace(
            str(system.folder / 'keys'), str(system.folder / 'foreign')
        )
    )
    (system.folder / 'keys' / 'stranger.key').unlink()
    context.done = subprocess.run(
        [sys.executable, '-m', 'mountridge', 'dump', '--settings']
        + [str(foreign), name, system.settings[name]['bind']],
        capture_output=True,
        text=True,
    )


@then('it gets no answer and exits with code {code:d}')
def check_exit(context, code):
    assert context.done.returncode == code, context.done
    assert 'open_requests' not in context.done.stdout


@when('an operator runs storage init for one more box')
def init_more(context):
    system = context.cluster
    system.controllers['c9'] = f'tcp://127.0.0.1:{ports.free_port()}'
    system.add('controller', 'c9')
    for name in system.controllers:
        source = system.folder / 'keys' / f'{name}.key'
        assert source.exists()
    context.done = subprocess.run(
        [sys.executable, '-m', 'mountridge', 'storage', 'init']
        + [str(system.path('c9'))],
        capture_output=True,
        text=True,
    )


@then('it is refused with code {code:d}')
def check_refusal(context, code):
    assert context.done.returncode == 1, context.done
    assert f'error {code}' in context.done.stderr, context.done.stderr
