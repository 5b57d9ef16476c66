# SPDX-License-Identifier: Apache-2.0

"""Steps for the rules of names and imports in the sources."""

import ast
import pathlib
import re

from behave import then

from tools import mutants

#: Deployments of users, their recorded days, and programs replaying them.
NAMES = re.compile(
    r'\b(ertis|mittelland|siam|swma|lnm|pavlodar|\w*bench|armor|relais'
    r'|rennes|brest|vannes|vatuwaqa|suva|nadi|lautoka)\b'
    r'|\b(quiet|trouble|scale)-[0-9]',
    re.IGNORECASE,
)


@then(
    'no line of the product names a deployment, one of its days or a benchmark'
)
def check_names(context):
    found = [
        f'{path}:{number}: {line}'
        for folder in ('mountridge', 'platform')
        for path in sorted(pathlib.Path(folder).rglob('*.py'))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert not found, found
    assert NAMES.search('on the bench') and NAMES.search('trouble-1')


#: Packages from the lowest layer up; each imports only those before it.
PACKAGES = (
    'documents', 'experts', 'messages', 'net', 'consensus', 'state',
    'routing', 'groups', 'control', 'dispatch',
)  # fmt: skip
#: Modules outside the packages that all packages may import.
BASE = {
    'clocks', 'errors', 'logs', 'metrics', 'records', 'settings', 'signals',
    'utils',
}  # fmt: skip
#: `application` uses the sockets; only packages above them may import it.
APPLICATION_ABOVE = PACKAGES.index('net')


def _imported(path):
    """Yield the product's packages and modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split('.')
            if parts == ['mountridge']:
                yield from (name.name for name in node.names)
            elif parts[0] == 'mountridge':
                yield parts[1]


def _package_imports():
    for layer, package in enumerate(PACKAGES):
        for path in sorted(pathlib.Path('mountridge', package).glob('*.py')):
            for name in _imported(path):
                yield layer, path, name


@then('no package of the product imports one of a higher layer')
def check_layers(context):
    folders = {
        p.parent.name for p in pathlib.Path('mountridge').glob('*/*.py')
    }
    assert folders == set(PACKAGES), folders
    found = [
        f'{path} imports {name}'
        for layer, path, name in _package_imports()
        if name in PACKAGES and PACKAGES.index(name) > layer
    ]
    assert not found, found


@then('no package imports a program')
def check_programs(context):
    found = [
        f'{path} imports {name}'
        for layer, path, name in _package_imports()
        if name not in PACKAGES
        and name not in BASE
        and not (name == 'application' and layer > APPLICATION_ABOVE)
    ]
    assert not found, found


@then('the snippet that each mutant replaces occurs once in its module')
def check_snippets(context):
    found = []
    for mutant in mutants.MUTANTS:
        text = mutants.path_in(pathlib.Path(), mutant).read_text()
        if text.count(mutant.old) != 1:
            found.append(mutant.name)
    assert not found, found
