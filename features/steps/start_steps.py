# SPDX-License-Identifier: Apache-2.0

"""Steps on the imports, early socket and settings of a starting process."""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import types

from behave import given, then, when
import trio
import trio.testing
import yaml

from mountridge.documents import routes
from mountridge import errors, settings, settingswatch, sidecar
from mountridge.net import httpserver, listening
from standins import ports

#: Modules that take 20 ms or more to import with their dependencies, and are
#: needed by no sidecar and no entry without a disk.
SLOW_IMPORTS = {
    'mountridge.controller', 'mountridge.experts.mapplans',
    'mountridge.consensus.storage', 'asyncio', 'click', 'crc32c', 'httpx',
    'hypercorn', 'loguru', 'quart', 'tabulate', 'yaml',
}  # fmt: skip

ENTRY = {
    'role': 'entry',
    'name': 'e1',
    'bind': 'tcp://127.0.0.1:7000',
    'keys': {'off': True},
    'entry': {'seeds': ['127.0.0.1:8002'], 'founding': True},
    'bounds': {'grace_s': 8},
}


@when('the modules of {role} are imported in a new interpreter')
def import_role(context, role):
    listing = 'import sys, json; print(json.dumps(sorted(sys.modules)))'
    script = f'import mountridge.{role}; {listing}'
    done = subprocess.run(
        [sys.executable, '-c', script], capture_output=True, check=True
    )
    context.loaded = set(json.loads(done.stdout))


@then('no library with a slow import is among them')
def check_imports(context):
    assert not context.loaded & SLOW_IMPORTS, context.loaded & SLOW_IMPORTS


def _free_address():
    return f'127.0.0.1:{ports.free_port()}'


def _write(context, text):
    folder = context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / 'settings'
    context.path.write_text(text)


@given("a settings file in JSON that names a callers' address")
def json_file(context):
    context.address = _free_address()
    _write(context, json.dumps({'entry': {'front': context.address}}))


@when('a socket listens there early and a caller sends a request')
def caller_sends(context):
    context.early = listening.listen_early(str(context.path))
    host, _, port = context.address.rpartition(':')
    context.caller = socket.create_connection((host, int(port)))
    context.add_cleanup(context.caller.close)
    context.caller.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')


@when('a server is run on that socket')
def run_server(context):
    async def respond(request, responder):
        await responder.send_response(200, [], b'whole')

    async def serve():
        server = httpserver.Server(respond, routes.Limits, lambda: True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run, context.address, context.early)
            context.response = await trio.to_thread.run_sync(
                _read_all, context
            )
            nursery.cancel_scope.cancel()

    trio.run(serve)


def _read_all(context):
    found = b''
    while data := context.caller.recv(4096):
        found += data
    return found


@then('the caller gets the complete response')
def check_response(context):
    assert context.response.startswith(b'HTTP/1.1 200'), context.response
    assert context.response.endswith(b'whole'), context.response


@given('a settings file that is {what}')
def other_file(context, what):
    context.address = _free_address()
    fields = {'entry': {'front': context.address}}
    _write(context, json.dumps(fields))
    if what == 'missing':
        context.path.unlink()
    elif what == 'written in YAML':
        context.path.write_text(yaml.safe_dump(fields))
    elif what == 'broken':
        context.path.write_text('{"role": [')
    elif what.startswith('without'):
        context.path.write_text('{"entry": {}}')
    elif what.startswith('with an address'):
        listener = listening.listen(context.address)
        context.add_cleanup(listener.close)


@then('no socket listens early')
def no_socket(context):
    assert listening.listen_early(str(context.path)) is None


@given('the settings of an entry in both formats')
def both_formats(context):
    _write(context, json.dumps(ENTRY, indent=2))
    context.as_json = settings.load(context.path)
    context.path.write_text(yaml.safe_dump(ENTRY))


@then('both are loaded as the same settings')
def same_settings(context):
    assert settings.load(context.path) == context.as_json


@then('it is rejected with the error code and its path')
def check_rejected(context):
    try:
        settings.load(context.path)
    except errors.BadSettings as problem:
        assert str(context.path) in str(problem), problem
        assert problem.code == errors.BadSettings.code
        return
    raise AssertionError('the file was accepted')


@when('the platform starts the {role} with no settings file')
def start_without_settings(context, role):
    context.ended = subprocess.run(
        [sys.executable, 'platform/serve.py', role],
        env={**os.environ, 'MOUNTRIDGE_NODE_FILE': '/no/such/file'},
        capture_output=True,
        text=True,
    )


#: Runs a program that signals itself when it first imports a module.
SIGNALLED = """
import importlib.abc, os, runpy, signal, sys

module, program, role = sys.argv[1:4]
sys.argv = [program, role, *sys.argv[4:]]


class Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == module:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.SIGHUP)


sys.meta_path.insert(0, Finder())
if program == 'script':
    # As the installed command does it.
    sys.path.insert(0, '')
    import importlib, tomllib

    with open('pyproject.toml', 'rb') as file:
        target = tomllib.load(file)['project']['scripts']['mountridge']
    name, _, function = target.partition(':')
    getattr(importlib.import_module(name), function)()
elif program == 'mountridge':
    sys.path.insert(0, '')
    runpy.run_module('mountridge', run_name='__main__', alter_sys=True)
sys.path.insert(0, os.path.dirname(program))
runpy.run_path(program, run_name='__main__')
"""
PROGRAMS = {
    'platform': 'platform/serve.py', 'mountridge': 'mountridge',
    'script': 'script',
}  # fmt: skip


@when(
    '{program} {role} gets a SIGHUP as it imports {module}, with no settings'
    ' file'
)
def signal_start(context, program, role, module):
    path = '/no/such/file'
    args = [module, PROGRAMS[program], role]
    args += [] if program == 'platform' else [path]
    context.ended = subprocess.run(
        [sys.executable, '-c', SIGNALLED, *args],
        env={**os.environ, 'MOUNTRIDGE_NODE_FILE': path},
        capture_output=True,
        text=True,
    )


@when('its file changes after it was loaded, and its watch begins')
def change_early(context):
    loaded = settings.load(context.path)
    changed = {**ENTRY['entry'], 'seeds': ['127.0.0.9:8002']}
    context.path.write_text(json.dumps({**ENTRY, 'entry': changed}))
    context.applied = []
    app = types.SimpleNamespace(settings=loaded, reload=[])
    watch = settingswatch.task(app, str(context.path), context.applied.append)

    async def begin():
        with trio.move_on_after(0.1):
            await watch()

    trio.run(begin)


SIDECAR = {
    'role': 'sidecar',
    'name': 's1',
    'bind': 'tcp://127.0.0.1:7000',
    'keys': {'off': True},
    'entry': {'seeds': ['127.0.0.1:8002']},
    'sidecar': {'engine': '127.0.0.1:9000'},
}


@given('a sidecar with the settings of a file')
def make_sidecar(context):
    _write(context, json.dumps(SIDECAR))
    app = types.SimpleNamespace(
        settings=settings.load(context.path),
        tasks=[],
        reload=[],
        dumpers={},
        now_s=trio.current_time,
    )
    context.app = app
    context.sidecar = sidecar.build(app, str(context.path), None)


@when('the seeds in its file change while it runs')
def change_seeds(context):
    async def run():
        async with trio.open_nursery() as nursery:
            # Without the task that talks to its engine.
            for task in context.app.tasks:
                if task != context.sidecar.run:
                    nursery.start_soon(task)
            await trio.testing.wait_all_tasks_blocked(0.01)
            changed = {'seeds': ['127.0.0.9:8002']}
            context.path.write_text(json.dumps({**SIDECAR, 'entry': changed}))
            for request in context.app.reload:
                request()
            await trio.testing.wait_all_tasks_blocked(0.01)
            nursery.cancel_scope.cancel()

    trio.run(run)


@then('it asks the new seeds for the leader too')
def check_seeds(context):
    leader = context.sidecar.leader
    assert leader.seeds == ['tcp://127.0.0.9:7000'], leader.seeds
    assert 'tcp://127.0.0.9:7000' in leader._names, leader._names


@then('the changed seeds are applied')
def check_applied(context):
    (applied,) = context.applied
    assert applied['entry']['seeds'] == ['127.0.0.9:8002'], applied


@then('it ends with the error code of bad settings')
def check_bad_settings(context):
    output = context.ended.stderr
    assert output.startswith(f'error {errors.BadSettings.code}:'), output
