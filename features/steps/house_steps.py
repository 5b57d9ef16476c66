# SPDX-License-Identifier: Apache-2.0

"""Steps on what the sources of the product may not name."""

import pathlib
import re

from behave import then

#: Deployments of the users, their days, and the programs that play them.
NAMES = re.compile(
    r'\b(ertis|mittelland|siam|swma|lnm|pavlodar|\w*bench)\b'
    r'|\b(quiet|trouble|scale)-[0-9]',
    re.IGNORECASE,
)


@then('no line of the product names a deployment, a day or a bench')
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
