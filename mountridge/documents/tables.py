# SPDX-License-Identifier: Apache-2.0

"""The operators' table: columns, validation of rows, and diffs."""

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

#: Classes of requests; runners serve an earlier class first.
PRIORITIES = ('alarm', 'interactive', 'draft')
MAX_ROWS = 20000


class Row(typing.NamedTuple):
    """Weights and limits of a team for a service and group of ranks."""

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
    """A column of the table."""

    parse: typing.Callable[[str], typing.Any]
    default: typing.Any  # None: a value is required
    unit: str
    doc: str


def _parse_name(text: str) -> str:
    if not text or len(text) > 64:
        raise ValueError('expected 1 to 64 characters')
    if any(not (c.isalnum() or c in '-_.') for c in text):
        raise ValueError('expected letters, digits, "-", "_" and "."')
    return text


def _parse_group(text: str) -> str:
    return text if text == '*' else _parse_name(text)


def _float_parser(low: float, high: float) -> typing.Callable[[str], float]:
    def parse(text: str) -> float:
        value = float(text)
        if not math.isfinite(value) or not low <= value <= high:
            raise ValueError(f'expected {low:g} to {high:g}')
        return value

    return parse


def _integer_parser(low: int, high: int) -> typing.Callable[[str], int]:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f'expected {low} to {high}')
        return value

    return parse


def _parse_priority(text: str) -> str:
    if text not in PRIORITIES:
        raise ValueError('expected ' + ', '.join(PRIORITIES))
    return text


def _parse_bool(text: str) -> bool:
    if text not in ('yes', 'no'):
        raise ValueError('expected yes or no')
    return text == 'yes'


#: In the order of the columns of the sheet.
COLUMNS: dict[str, Column] = {
    'team': Column(_parse_name, None, '', 'team that sends the requests'),
    'service': Column(_parse_name, None, '', 'model or other service'),
    'expert_group': Column(_parse_group, '*', '', 'group of ranks; * for any'),
    'weight': Column(
        _float_parser(0.01, 1000), 1.0, '', 'relative share of a runner'
    ),
    'concurrency': Column(
        _integer_parser(1, 1000000),
        64,
        'requests',
        'concurrent, over all gateways',
    ),
    'rate_per_s': Column(
        _float_parser(0.01, 1e6), 100.0, 'requests/s', 'started per second'
    ),
    'queue_s': Column(
        _float_parser(0, 600), 5.0, 's', 'longest wait for a runner'
    ),
    'priority': Column(
        _parse_priority, 'interactive', '', 'alarm, interactive or draft'
    ),
    'deadline_s': Column(
        _float_parser(0.1, 3600), 120.0, 's', 'longest time for the response'
    ),
    'repeatable': Column(
        _parse_bool, True, 'yes/no', 'whether requests may be retried'
    ),
    'skew_weight': Column(
        _float_parser(0, 1000), 1.0, '', 'cost of 1 s of step-time skew'
    ),
    'move_weight': Column(
        _float_parser(0, 1000), 1.0, '', 'cost of moving 1 GiB of experts'
    ),
}


def row_key(row: Row) -> str:
    """Return the unique key of a row."""
    return f'{row.team}/{row.service}/{row.expert_group}'


def _format(value: typing.Any) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, float):
        return f'{value:g}'
    return str(value)


def to_cells(row: Row) -> dict[str, str]:
    """Return the cells of a row, formatted as in the sheet."""
    return {name: _format(value) for name, value in row._asdict().items()}


def _parse_cell(name: str, text: str, where: str, problems: list[str]):
    column = COLUMNS[name]
    if text == '' and column.default is not None:
        return column.default
    try:
        return column.parse(text)
    except (ValueError, OverflowError) as problem:
        problems.append(f'{where}, column {name}: {text!r}: {problem}')
        return column.default


def to_row(cells: dict, where: str, problems: list[str]) -> Row:
    """Return the row for ``cells``; append errors to ``problems``."""
    for name in cells:
        if name not in COLUMNS:
            problems.append(f'{where}: unknown column {name!r}')
    values = [
        _parse_cell(name, str(cells.get(name) or '').strip(), where, problems)
        for name in COLUMNS
    ]
    return Row(*values)


def check_rows(records: list[dict]) -> list[Row]:
    """Return the rows for records of cells by column name.

    Errors count rows from 2, as the sheet's first row is its header.

    :raises BadSheet: with one line per error.
    """
    problems: list[str] = []
    if len(records) > MAX_ROWS:
        raise errors.BadSheet(f'{len(records)} rows; at most {MAX_ROWS}')
    rows = []
    seen: dict[str, int] = {}
    for number, cells in enumerate(records, start=2):
        row = to_row(cells, f'row {number}', problems)
        first = seen.setdefault(row_key(row), number)
        if first != number:
            problems.append(f'row {number}: same key as row {first}')
        rows.append(row)
    if problems:
        raise errors.BadSheet('\n'.join(problems))
    return rows


def diff_rows(old: list[Row], new: list[Row]) -> list[str]:
    """Return one line for each row that differs, sorted by key."""
    before = {row_key(row): row for row in old}
    after = {row_key(row): row for row in new}
    lines = []
    for key in sorted(before.keys() | after.keys()):
        if key not in after:
            lines.append(f'- {key}')
        elif key not in before:
            lines.append(f'+ {key}')
        elif before[key] != after[key]:
            lines.append(f'~ {key}: {_cell_changes(before[key], after[key])}')
    return lines


def _cell_changes(old: Row, new: Row) -> str:
    before, after = to_cells(old), to_cells(new)
    return ', '.join(
        f'{name} {before[name]} -> {after[name]}'
        for name in COLUMNS
        if before[name] != after[name]
    )
