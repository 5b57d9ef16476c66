# SPDX-License-Identifier: Apache-2.0

"""Steps that inject faults into real processes over loopback."""

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

SHEET = pathlib.Path('samples/table.csv').read_text()
NEW_SHEET = SHEET.replace('crews,drafts,*,2,64', 'crews,drafts,*,2,65')


@when('the leading controller is killed')
def kill_leader(context):
    context.cluster.kill(context.cluster.leader())


@when('the leading controller is frozen')
def freeze_leader(context):
    context.frozen = context.cluster.leader()
    context.cluster.signal(context.frozen, signal.SIGSTOP)


@then('a new table can be put and is in force')
def put_new(context):
    made = context.cluster

    def put():
        path = made.folder / 'new.csv'
        path.write_text(NEW_SHEET)
        made.cli(
            'table', 'put', '--base', '1', '--wait', '--operation', 'new',
            str(path), check=False,
        )  # fmt: skip
        log = json.loads(made.cli('table', 'log', '--json', check=False))
        return log[-1]['version'] == 2 and log[-1]['in_force']

    cluster.wait_for(put, 60)


@when('the frozen controller resumes')
def resume_controller(context):
    context.cluster.signal(context.frozen, signal.SIGCONT)


@then('each controller has the new table')
def check_table(context):
    made = context.cluster

    def all_new():
        shown = [made.dump(name)['controller'] for name in made.controllers]
        return {each['table_version'] for each in shown} == {2}

    cluster.wait_for(all_new)
    log = json.loads(made.cli('table', 'log', '--json'))
    assert [each['version'] for each in log] == [1, 2], log


def _followers(made):
    leader = made.leader()
    return [name for name in made.controllers if name != leader]


@when("a follower's disk is lost and the operator replaces it")
def lose_disk(context):
    made = context.cluster
    name, context.other = _followers(made)
    made.kill(name)
    shutil.rmtree(made.folder / f'data-{name}')
    made.start(name)
    shown = made.cli('controllers', 'add', name, made.controllers[name])
    fresh = re.search(rf'({name}\.\w+) is a learner', shown).group(1)
    made.cli('controllers', 'remove', f'{name}.0')
    cluster.wait_for(
        lambda: f'{fresh} is a voter'
        in made.cli('controllers', 'promote', fresh, check=False)
    )


@when('another follower is killed')
def kill_other(context):
    context.cluster.kill(context.other)


@when('a follower restarts on a disk with no space left')
def restart_on_full_disk(context):
    made = context.cluster
    context.full = _followers(made)[0]
    made.kill(context.full)
    journal = max((made.folder / f'data-{context.full}').glob('journal-*'))
    made.start(context.full, journal.stat().st_size + 100)


@then('that controller runs, has logged code {code:d} and stores no new entry')
def check_full(context, code):
    made = context.cluster
    log = made.folder / f'{context.full}.log'
    cluster.wait_for(lambda: f'"code": {code}' in log.read_text())
    assert made.processes[context.full].poll() is None
    stored = storage.read(str(made.folder / f'data-{context.full}'))
    context.last_stored = stored.entries[-1].index
    newest = made.dump(made.leader())['controller']['commit']
    assert context.last_stored < newest, (context.last_stored, newest)


@then('it stores new entries after a restart with free space')
def check_space(context):
    made = context.cluster
    made.kill(context.full)
    made.start(context.full)
    folder = str(made.folder / f'data-{context.full}')
    cluster.wait_for(
        lambda: storage.read(folder).entries[-1].index > context.last_stored
    )


def _busy_agent(made):
    for name in made.settings:
        if name.startswith('a') and made.dump(name)['agent']['running']:
            return name


@when('an agent is killed in the middle of a streamed answer')
def kill_agent(context):
    made = context.cluster
    body = {
        'model': 'drafts', 'stream': True, 'messages': [],
        'tokens': 600, 'gap_s': 0.05,
    }  # fmt: skip
    url = f'http://{made.http["g1"]}/v1/chat/completions'
    headers = {'authorization': 'Bearer dispatch'}
    context.seen, context.broken = '', False
    try:
        with httpx.stream(
            'POST', url, json=body, headers=headers, timeout=60
        ) as response:
            for piece in response.iter_text():
                if not context.seen:
                    made.kill(_busy_agent(made))
                context.seen += piece
    except httpx.RemoteProtocolError:
        context.broken = True


@then("the caller's connection breaks before the end of the answer")
def check_break(context):
    assert context.seen and '[DONE]' not in context.seen
    assert context.broken


@when('the openai client requests a chat, streamed and not streamed')
def request_openai(context):
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


@then('it raises its not-found error for an unknown model')
def check_not_found(context):
    try:
        context.client.chat.completions.create(model='no', messages=[])
    except openai.NotFoundError as problem:
        assert problem.body['code'] == 1103, problem.body
    else:
        raise AssertionError('no error was raised')


@when('a process with an unknown key requests the state of "{name}"')
def use_unknown_key(context, name):
    made = context.cluster
    keys.create_key_pairs(str(made.folder / 'foreign'), ['stranger'])
    for path in (made.folder / 'keys').glob('*.key'):
        shutil.copy(path, made.folder / 'foreign')
    made.add('gateway', 'stranger')
    text = made.path('stranger').read_text()
    foreign = made.path('stranger')
    foreign.write_text(
        text.replace(str(made.folder / 'keys'), str(made.folder / 'foreign'))
    )
    (made.folder / 'keys' / 'stranger.key').unlink()
    context.done = subprocess.run(
        [sys.executable, '-m', 'mountridge', 'dump', '--settings']
        + [str(foreign), name, made.settings[name]['bind']],
        capture_output=True,
        text=True,
    )


@then('it gets no answer and exits with status {code:d}')
def check_exit(context, code):
    assert context.done.returncode == code, context.done
    assert 'open_requests' not in context.done.stdout


@when('an operator runs storage init for one more box')
def init_more(context):
    made = context.cluster
    made.controllers['c9'] = f'tcp://127.0.0.1:{ports.free_port()}'
    made.add('controller', 'c9')
    for name in made.controllers:
        source = made.folder / 'keys' / f'{name}.key'
        assert source.exists()
    context.done = subprocess.run(
        [sys.executable, '-m', 'mountridge', 'storage', 'init']
        + [str(made.path('c9'))],
        capture_output=True,
        text=True,
    )


@then('it is refused with code {code:d}')
def check_refusal(context, code):
    assert context.done.returncode == 1, context.done
    assert f'error {code}' in context.done.stderr, context.done.stderr
