# SPDX-License-Identifier: Apache-2.0

"""The operators' table: its columns, the checks of a row, and diffs."""

import math
import typing

from mountridge import errors

__all__ = [
    'COLUMNS',
    'Column',
    'PRIORITIES',
    'Row',
    'check_rows',
    'diff_rows',
    'row_key',
    'to_row',
]

#: Classes of work; an earlier one goes first at each runner.
PRIORITIES = ('alarm', 'interactive', 'draft')
MAX_ROWS = 20000


class Row(typing.NamedTuple):
    """One row: weights and limits of a team for a service and group."""

    team: str
    service: str
    expert_group: str
    weight: float
    concurrency: int
    rate_per_s: float
    queue_s: float
    priority: str
    deadline_s: float
    repeatable: bool
    skew_weight: float
    move_weight: float


class Column(typing.NamedTuple):
    """One column: how its text is read, its default, unit and meaning."""

    read: typing.Callable[[str], typing.Any]
    default: typing.Any  # None: a value is required
    unit: str
    doc: str


def _name(text: str) -> str:
    if not text or len(text) > 64:
        raise ValueError('expected 1 to 64 characters')
    if any(not (c.isalnum() or c in '-_.') for c in text):
        raise ValueError('expected letters, digits, "-", "_" and "."')
    return text


def _group(text: str) -> str:
    return text if text == '*' else _name(text)


def _number(low: float, high: float) -> typing.Callable[[str], float]:
    def read(text: str) -> float:
        value = float(text)
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(f'expected {low:g} to {high:g}')
        return value

    return read


def _whole(low: int, high: int) -> typing.Callable[[str], int]:
    def read(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f'expected {low} to {high}')
        return value

    return read


def _priority(text: str) -> str:
    if text not in PRIORITIES:
        raise ValueError('expected ' + ', '.join(PRIORITIES))
    return text


def _yes_no(text: str) -> bool:
    if text not in ('yes', 'no'):
        raise ValueError('expected yes or no')
    return text == 'yes'


#: The columns of the sheet, in their order.
COLUMNS: dict[str, Column] = {
    'team': Column(_name, None, '', 'who sends the requests'),
    'service': Column(_name, None, '', 'the model or plain service'),
    'expert_group': Column(_group, '*', '', 'group of ranks; * is any'),
    'weight': Column(
        _number(0.01, 1000), 1.0, '', 'share of a runner among teams'
    ),
    'concurrency': Column(
        _whole(1, 1000000), 64, 'requests', 'most at once, all gateways'
    ),
    'rate_per_s': Column(
        _number(0.01, 1e6), 100.0, 'requests/s', 'most begun in a second'
    ),
    'queue_s': Column(_number(0, 600), 5.0, 's', 'longest wait for a runner'),
    'priority': Column(
        _priority, 'interactive', '', 'alarm, interactive or draft'
    ),
    'deadline_s': Column(
        _number(0.1, 3600), 120.0, 's', 'longest time for the answer'
    ),
    'repeatable': Column(
        _yes_no, True, 'yes/no', 'may a request be run again'
    ),
    'skew_weight': Column(
        _number(0, 1000), 1.0, '', 'cost of 1 s of step-time skew'
    ),
    'move_weight': Column(
        _number(0, 1000), 1.0, '', 'cost of moving 1 GiB of experts'
    ),
}


def row_key(row: Row) -> str:
    """Return the key that no two rows share."""
    return f'{row.team}/{row.service}/{row.expert_group}'


def _write(value: typing.Any) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:g}'
    return str(value)


def to_cells(row: Row) -> dict[str, str]:
    """Return the cells of a row as the sheet shows them."""
    return {name: _write(value) for name, value in row._asdict().items()}


def _read_cell(name: str, text: str, where: str, wrong: list[str]):
    column = COLUMNS[name]
    if text == '' and column.default is not None:
        return column.default
    try:
        return column.read(text)
    except (ValueError, OverflowError) as problem:
        wrong.append(f'{where}, column {name}: {text!r}: {problem}')
        return column.default


def to_row(cells: dict, where: str, wrong: list[str]) -> Row:
    """Return the row for ``cells``; what is wrong is added to ``wrong``."""
    for name in cells:
        if name not in COLUMNS:
            wrong.append(f'{where}: unknown column {name!r}')
    values = [
        _read_cell(name, str(cells.get(name) or '').strip(), where, wrong)
        for name in COLUMNS
    ]
    return Row(*values)


def check_rows(listed: list[dict]) -> list[Row]:
    """Return the rows for cells by name; the first row is row 2.

    :raises BadSheet: with one line per error; no row is taken then.
    """
    wrong: list[str] = []
    if len(listed) > MAX_ROWS:
        raise errors.BadSheet(f'{len(listed)} rows; at most {MAX_ROWS}')
    rows = []
    seen: dict[str, int] = {}
    for number, cells in enumerate(listed, start=2):
        row = to_row(cells, f'row {number}', wrong)
        first = seen.setdefault(row_key(row), number)
        if first != number:
            wrong.append(f'row {number}: the same key as row {first}')
        rows.append(row)
    if wrong:
        raise errors.BadSheet('\n'.join(wrong))
    return rows


def diff_rows(old: list[Row], new: list[Row]) -> list[str]:
    """Return one line for each row that differs, in the order of keys."""
    before = {row_key(row): row for row in old}
    after = {row_key(row): row for row in new}
    lines = []
    for key in sorted(before.keys() | after.keys()):
        if key not in after:
            lines.append(f'- {key}')
        elif key not in before:
            lines.append(f'+ {key}')
        elif before[key] != after[key]:
            lines.append(f'~ {key}: {_changed(before[key], after[key])}')
    return lines


def _changed(old: Row, new: Row) -> str:
    left, right = to_cells(old), to_cells(new)
    return ', '.join(
        f'{name} {left[name]} -> {right[name]}'
        for name in COLUMNS
        if left[name] != right[name]
    )
