# SPDX-License-Identifier: Apache-2.0

"""Steps on what a process loads and opens before it serves."""

import json
import pathlib
import subprocess
import sys
import tempfile

from behave import given, then, when
import yaml

from mountridge import errors, settings

#: Each takes 20 ms or more to import, and no entry or sidecar needs it.
COSTLY = {
    'asyncio', 'click', 'crc32c', 'httpx', 'hypercorn', 'loguru', 'quart',
    'tabulate', 'yaml',
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
    told = 'import sys, json; print(json.dumps(sorted(sys.modules)))'
    script = f'import mountridge.{role}; {told}'
    done = subprocess.run(
        [sys.executable, '-c', script], capture_output=True, check=True
    )
    context.loaded = set(json.loads(done.stdout))


@then('none of the costly libraries is among them')
def none_costly(context):
    assert not context.loaded & COSTLY, context.loaded & COSTLY


def _write(context, text):
    folder = context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / 'settings'
    context.path.write_text(text)


@given('a settings file that is broken')
def broken_file(context):
    _write(context, '{"role": [')


@given('the settings of an entry in both forms')
def both_forms(context):
    _write(context, json.dumps(ENTRY, indent=2))
    context.as_json = settings.load(context.path)
    context.path.write_text(yaml.safe_dump(ENTRY))


@then('both are checked to the same settings')
def same_settings(context):
    assert settings.load(context.path) == context.as_json


@then('it is refused with its code and path')
def refused(context):
    try:
        settings.load(context.path)
    except errors.BadSettings as problem:
        assert str(context.path) in str(problem), problem
        assert problem.code == errors.BadSettings.code
        return
    raise AssertionError('it was taken')
