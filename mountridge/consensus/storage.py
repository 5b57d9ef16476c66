# SPDX-License-Identifier: Apache-2.0

"""Durable storage of a controller: a journal and snapshots in one folder.

    format          the folder's format version and the controller's id
    lock            locked while a process uses the folder
    journal-N       frames of records, each synced before the next is
                    written; each has a header with length and CRC-32
    snapshot-INDEX  one frame: the state up to INDEX

As each frame is synced before the next one is written, an invalid frame at
the end is an incomplete write that was never acknowledged; it is truncated.
An invalid frame before a valid one is damage: opening the folder fails.
"""

import errno
import fcntl
import json
import os
import pathlib
import struct
import typing
import zlib

import msgspec

from mountridge.consensus import consensustypes as types, entries
from mountridge import errors, records

__all__ = ['Contents', 'FORMAT', 'Storage', 'describe', 'initialize', 'read']

#: Frames of format 2 have the CRC-32 of the standard library, whose import
#: takes no time; importing the package crc32c delays each start.
FORMAT = 2
#: Errors of a write for which the disk has no space.
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
_MAGIC = b'MRf2'
_HEADER = struct.Struct('<4sII')


class Record(typing.NamedTuple):
    """One record of a frame: a vote, entries or both."""

    term: int  # 0: no vote in this record
    voted_for: str
    entries: list[entries.Entry]


class Contents(typing.NamedTuple):
    """The contents of a data folder."""

    node_id: str
    term: int
    voted_for: str
    snapshot: types.Snapshot | None
    entries: list[entries.Entry]
    journal: pathlib.Path
    valid_bytes: int  # of the journal
    truncated_bytes: int  # after the valid ones


_decode_records = records.decoder(list[Record])
_decode_snapshot = records.decoder(types.Snapshot, entries.Config)


def _encode_frame(body: bytes) -> bytes:
    return _HEADER.pack(_MAGIC, len(body), zlib.crc32(body)) + body


def _decode_frame_at(data: bytes, offset: int) -> bytes | None:
    """Return the body of the frame at ``offset``, None if invalid."""
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    body = data[offset + _HEADER.size : offset + _HEADER.size + length]
    if magic != _MAGIC or len(body) != length:
        return None
    return body if zlib.crc32(body) == checksum else None


def _decode_frames(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Return the bodies of all valid frames, and the offset of their end.

    :raises DamagedStorage: a valid frame follows an invalid one.
    """
    bodies = []
    offset = 0
    while offset < len(data):
        body = _decode_frame_at(data, offset)
        if body is None:
            break
        bodies.append(body)
        offset += _HEADER.size + len(body)
    next_magic = data.find(_MAGIC, offset + 1)
    while next_magic >= 0:
        if _decode_frame_at(data, next_magic) is not None:
            raise errors.DamagedStorage(
                f'{name}: damaged at byte {offset}, valid again at '
                f'{next_magic}; replace this controller (docs/OPERATORS.md)'
            )
        next_magic = data.find(_MAGIC, next_magic + 1)
    return bodies, offset


def _sync_folder(folder: pathlib.Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _write_atomically(path: pathlib.Path, data: bytes) -> None:
    """Write and sync a file under a temporary name, then rename it."""
    partial = path.with_name(path.name + '.part')
    try:
        with open(partial, 'wb') as out:
            out.write(data)
            out.flush()
            os.fsync(out.fileno())
    except OSError:
        # Frees the space on a full disk.
        partial.unlink(missing_ok=True)
        raise
    os.replace(partial, path)
    _sync_folder(path.parent)


def _file_number(path: pathlib.Path) -> int:
    return int(path.name.rpartition('-')[2])


def _newest_file(folder: pathlib.Path, kind: str) -> pathlib.Path | None:
    candidates = [
        path
        for path in folder.glob(f'{kind}-*')
        if path.name.rpartition('-')[2].isdigit()
    ]
    return max(candidates, key=_file_number) if candidates else None


def initialize(folder: str, node_id: str, config: entries.Config) -> None:
    """Create a data folder; the configuration may be empty.

    :raises StorageFailed: the folder holds data already, or can't be created.
    """
    root = pathlib.Path(folder)
    try:
        root.mkdir(parents=True, exist_ok=True)
        if (root / 'format').exists():
            raise errors.StorageFailed(f'{folder} holds data already')
        first = types.Snapshot(0, 0, config, b'')
        body = msgspec.msgpack.encode(first)
        _write_atomically(root / 'snapshot-0', _encode_frame(body))
        _write_atomically(root / 'journal-1', b'')
        metadata = {'format': FORMAT, 'id': node_id}
        _write_atomically(root / 'format', json.dumps(metadata).encode())
    except OSError as problem:
        raise errors.StorageFailed(f'{folder}: {problem}')


def _read_format(folder: pathlib.Path) -> str:
    try:
        metadata = json.loads((folder / 'format').read_bytes())
        if metadata['format'] != FORMAT:
            raise errors.DamagedStorage(
                f'{folder}: format {metadata["format"]}, expected {FORMAT}'
            )
        return metadata['id']
    except (ValueError, KeyError, TypeError):
        raise errors.DamagedStorage(f'{folder}/format: damaged')


def _read_snapshot(folder: pathlib.Path) -> types.Snapshot:
    path = _newest_file(folder, 'snapshot')
    if path is None:
        raise errors.DamagedStorage(f'{folder}: no snapshot')
    body = _decode_frame_at(path.read_bytes(), 0)
    if body is None:
        raise errors.DamagedStorage(f'{path.name}: damaged')
    return _decode_snapshot(body)


def _replay(
    bodies: list[bytes], snapshot: types.Snapshot, name: str
) -> Record:
    """Return the last vote and the entries after the snapshot."""
    term, voted_for = 0, ''
    log_entries: list[entries.Entry] = []
    for body in bodies:
        for record in _decode_records(body):
            if record.term:
                term, voted_for = record.term, record.voted_for
            for entry in record.entries:
                if entry.index <= snapshot.index:
                    continue
                position = entry.index - snapshot.index - 1
                if position > len(log_entries):
                    raise errors.DamagedStorage(
                        f'{name}: entry {entry.index} follows entry '
                        f'{snapshot.index + len(log_entries)}'
                    )
                del log_entries[position:]
                log_entries.append(entry)
    newest = log_entries[-1].term if log_entries else snapshot.term
    if newest > term:
        term, voted_for = newest, ''
    return Record(term, voted_for, log_entries)


def read(folder: str) -> Contents:
    """Read and verify all of a data folder without changing it.

    :raises DamagedStorage: with what is damaged, and where.
    """
    root = pathlib.Path(folder)
    node_id = _read_format(root)
    snapshot = _read_snapshot(root)
    path = _newest_file(root, 'journal')
    if path is None:
        raise errors.DamagedStorage(f'{folder}: no journal')
    data = path.read_bytes()
    try:
        bodies, valid_end = _decode_frames(data, path.name)
        record = _replay(bodies, snapshot, path.name)
    except msgspec.MsgspecError as problem:
        raise errors.DamagedStorage(f'{path.name}: {problem}')
    return Contents(
        node_id,
        record.term,
        record.voted_for,
        snapshot,
        record.entries,
        path,
        valid_end,
        len(data) - valid_end,
    )


def describe(folder: str) -> str:
    """Return a description of a data folder for the operator."""
    contents = read(folder)
    last = (
        contents.entries[-1].index
        if contents.entries
        else contents.snapshot.index
    )
    return (
        f'id {contents.node_id}, term {contents.term}, snapshot at '
        f'{contents.snapshot.index}, last entry {last}, journal '
        f'{contents.valid_bytes} bytes, truncated at the end '
        f'{contents.truncated_bytes} bytes'
    )


class Storage:
    """An open data folder.

    After a failed sync all writes fail; after a full disk they may be
    retried.
    """

    def __init__(self, folder: str):
        self._folder = pathlib.Path(folder)
        self._lock = self._acquire_lock()
        self.contents = read(folder)
        self._remove_leftovers()
        self._term = self.contents.term
        self._voted_for = self.contents.voted_for
        self._journal = open(self.contents.journal, 'r+b', buffering=0)
        self._journal.truncate(self.contents.valid_bytes)
        self._journal.seek(self.contents.valid_bytes)
        self._valid_bytes = self.contents.valid_bytes
        os.fsync(self._journal.fileno())
        self._failed = False

    def _acquire_lock(self) -> typing.IO:
        try:
            lock = open(self._folder / 'lock', 'wb')
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return lock
        except BlockingIOError:
            raise errors.StorageFailed(f'{self._folder} is in use')
        except OSError as problem:
            raise errors.StorageFailed(f'{self._folder}: {problem}')

    def _remove_leftovers(self) -> None:
        """Remove files that a crash may have left."""
        for path in self._folder.glob('*.part'):
            path.unlink()
        self._remove_older('journal', _file_number(self.contents.journal))
        self._remove_older('snapshot', self.contents.snapshot.index)

    def _remove_older(self, kind: str, number: int) -> None:
        for path in self._folder.glob(f'{kind}-*'):
            # A part may be of a snapshot that is being written now.
            if path.suffix != '.part' and _file_number(path) < number:
                path.unlink()

    def save(
        self,
        vote: types.SaveVote | None,
        new_entries: list[entries.Entry],
    ) -> None:
        """Write and sync one frame.

        :raises DiskFull: nothing was written; may be retried.
        :raises StorageFailed: nothing may be acknowledged after that.
        """
        self._check_not_failed()
        if vote:
            self._term, self._voted_for = vote
        record = Record(
            vote.term if vote else 0,
            vote.voted_for if vote else '',
            new_entries,
        )
        frame = _encode_frame(msgspec.msgpack.encode([record]))
        try:
            written = self._journal.write(frame)
            if written != len(frame):
                raise OSError(errno.ENOSPC, 'no space for the whole frame')
        except OSError as problem:
            self._undo_write(problem)
        try:
            os.fdatasync(self._journal.fileno())
        except OSError as problem:
            raise self._fail_permanently('journal', problem)
        self._valid_bytes += len(frame)

    def _check_not_failed(self) -> None:
        if self._failed:
            raise errors.StorageFailed('an earlier write failed')

    def _undo_write(self, problem: OSError) -> typing.NoReturn:
        """Remove what a failed write left after the last valid frame."""
        try:
            self._journal.truncate(self._valid_bytes)
            self._journal.seek(self._valid_bytes)
        except OSError as undo_problem:
            raise self._fail_permanently('journal', undo_problem)
        raise self._write_error('journal', problem)

    def _write_error(
        self, what: str, problem: OSError
    ) -> errors.StorageFailed:
        """Return the error of a failed write, permanent unless disk full.

        Earlier frames stay as they were synced.
        """
        if problem.errno in DISK_FULL_ERRNOS:
            return errors.DiskFull(f'{what}: {problem}')
        return self._fail_permanently(what, problem)

    def _fail_permanently(
        self, what: str, problem: OSError
    ) -> errors.StorageFailed:
        self._failed = True
        return errors.StorageFailed(f'{what}: {problem}')

    def write_snapshot(self, snapshot: types.Snapshot) -> None:
        """Write and sync a snapshot file beside the journal.

        :raises DiskFull: it was not written; the journal stays in use.
        :raises StorageFailed: nothing may be acknowledged after that.
        """
        self._check_not_failed()
        body = msgspec.msgpack.encode(snapshot)
        path = self._folder / f'snapshot-{snapshot.index}'
        try:
            _write_atomically(path, _encode_frame(body))
        except OSError as problem:
            raise self._write_error('snapshot', problem)

    def rotate(
        self, snapshot: types.Snapshot, after: list[entries.Entry]
    ) -> None:
        """Start a journal with only the entries after a snapshot.

        :raises DiskFull: the old journal stays in use; may be retried.
        :raises StorageFailed: nothing may be acknowledged after that.
        """
        self._check_not_failed()
        record = Record(self._term, self._voted_for, after)
        frame = _encode_frame(msgspec.msgpack.encode([record]))
        number = _file_number(self.contents.journal) + 1
        path = self._folder / f'journal-{number}'
        try:
            _write_atomically(path, frame)
        except OSError as problem:
            raise self._write_error('journal', problem)
        try:
            self._journal.close()
            self._journal = open(path, 'r+b', buffering=0)
            self._valid_bytes = self._journal.seek(0, os.SEEK_END)
            self.contents = self.contents._replace(journal=path)
            self._remove_older('journal', number)
            self._remove_older('snapshot', snapshot.index)
        except OSError as problem:
            raise self._fail_permanently('journal', problem)

    def close(self) -> None:
        """Close the folder and release its lock."""
        self._journal.close()
        self._lock.close()
