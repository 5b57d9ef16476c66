# SPDX-License-Identifier: Apache-2.0

"""Import and export of the table as a CSV sheet."""

import csv
import io

from mountridge.documents import tables
from mountridge import errors

__all__ = ['read_sheet', 'write_sheet']


def read_sheet(text: str) -> list[tables.Row]:
    """Return the rows of a CSV sheet.

    :raises BadSheet: with the row and column of each error.
    """
    reader = csv.DictReader(io.StringIO(text, newline=''), strict=True)
    try:
        records = list(reader)
    except csv.Error as problem:
        raise errors.BadSheet(f'row {reader.line_num}: {problem}')
    names = reader.fieldnames or []
    missing = [
        name
        for name, column in tables.COLUMNS.items()
        if column.default is None and name not in names
    ]
    if missing:
        raise errors.BadSheet('row 1: missing ' + ', '.join(missing))
    if len(set(names)) != len(names):
        raise errors.BadSheet('row 1: duplicate column')
    for number, cells in enumerate(records, start=2):
        if None in cells or None in cells.values():
            raise errors.BadSheet(f'row {number}: expected {len(names)} cells')
    return tables.check_rows(records)


def write_sheet(rows: list[tables.Row]) -> str:
    """Return ``rows`` as a CSV sheet."""
    out = io.StringIO()
    writer = csv.DictWriter(out, list(tables.COLUMNS), lineterminator='\n')
    writer.writeheader()
    for row in rows:
        writer.writerow(tables.to_cells(row))
    return out.getvalue()
