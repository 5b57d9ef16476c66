# SPDX-License-Identifier: Apache-2.0

"""Durable storage of a controller: a journal and snapshots in one folder.

    format          the folder's format version and the controller's id
    lock            held while a process uses the folder
    journal-N       frames of records, each synced before the next is
                    written; a header with length and CRC-32 on each
    snapshot-INDEX  one frame: the state up to INDEX

Since a frame is synced before the next one is written, a bad frame at the
very end is a write that was cut and was never acknowledged; it is cut off.
A bad frame with a good one after it is damage, and is refused.
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
from mountridge import errors

__all__ = ['Contents', 'FORMAT', 'Storage', 'describe', 'initialize', 'read']

#: 2: frames carry the CRC-32 of the standard library, whose import takes
#: no time; that of the package crc32c took 30 ms of each start.
FORMAT = 2
#: What a write fails with where there is no room for it.
NO_ROOM = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
_MAGIC = b'MRf2'
_HEADER = struct.Struct('<4sII')


class Record(typing.NamedTuple):
    """One record of a frame: a vote, or entries, or both."""

    term: int  # 0: no vote in this record
    voted_for: str
    entries: list[entries.Entry]


class Contents(typing.NamedTuple):
    """What a folder holds."""

    node_id: str
    term: int
    voted_for: str
    snapshot: types.Snapshot | None
    entries: list[entries.Entry]
    journal: pathlib.Path
    good_bytes: int  # of the journal; what is past them was cut
    cut_bytes: int


_RECORDS = msgspec.msgpack.Decoder(list[Record])
_SNAPSHOT = msgspec.msgpack.Decoder(types.Snapshot)


def _frame(body: bytes) -> bytes:
    return _HEADER.pack(_MAGIC, len(body), zlib.crc32(body)) + body


def _frame_at(data: bytes, offset: int) -> bytes | None:
    """Return the body of the good frame at ``offset``, or None."""
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    body = data[offset + _HEADER.size : offset + _HEADER.size + length]
    if magic != _MAGIC or len(body) != length:
        return None
    return body if zlib.crc32(body) == checksum else None


def _frames(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Return the bodies of all frames, and where the good part ends.

    :raises DamagedStorage: a good frame stands after a bad one.
    """
    bodies = []
    offset = 0
    while offset < len(data):
        body = _frame_at(data, offset)
        if body is None:
            break
        bodies.append(body)
        offset += _HEADER.size + len(body)
    later = data.find(_MAGIC, offset + 1)
    while later >= 0:
        if _frame_at(data, later) is not None:
            raise errors.DamagedStorage(
                f'{name}: damaged at byte {offset}, good again at {later}; '
                'replace this controller (docs/OPERATORS.md)'
            )
        later = data.find(_MAGIC, later + 1)
    return bodies, offset


def _sync_folder(folder: pathlib.Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _write_whole(path: pathlib.Path, data: bytes) -> None:
    """Write a file so that it is there whole and synced, or not at all."""
    part = path.with_name(path.name + '.part')
    try:
        with open(part, 'wb') as out:
            out.write(data)
            out.flush()
            os.fsync(out.fileno())
    except OSError:
        # On a full disk half a file only takes room.
        part.unlink(missing_ok=True)
        raise
    os.replace(part, path)
    _sync_folder(path.parent)


def _number(path: pathlib.Path) -> int:
    return int(path.name.rpartition('-')[2])


def _newest(folder: pathlib.Path, kind: str) -> pathlib.Path | None:
    found = [
        path
        for path in folder.glob(f'{kind}-*')
        if path.name.rpartition('-')[2].isdigit()
    ]
    return max(found, key=_number) if found else None


def initialize(folder: str, node_id: str, config: entries.Config) -> None:
    """Make a new data folder; the configuration may be empty.

    :raises StorageFailed: the folder holds data already, or can't be made.
    """
    place = pathlib.Path(folder)
    try:
        place.mkdir(parents=True, exist_ok=True)
        if (place / 'format').exists():
            raise errors.StorageFailed(f'{folder} holds data already')
        first = types.Snapshot(0, 0, config, b'')
        body = msgspec.msgpack.encode(first)
        _write_whole(place / 'snapshot-0', _frame(body))
        _write_whole(place / 'journal-1', b'')
        form = {'format': FORMAT, 'id': node_id}
        _write_whole(place / 'format', json.dumps(form).encode())
    except OSError as problem:
        raise errors.StorageFailed(f'{folder}: {problem}')


def _read_format(folder: pathlib.Path) -> str:
    try:
        form = json.loads((folder / 'format').read_bytes())
        if form['format'] != FORMAT:
            raise errors.DamagedStorage(
                f'{folder}: format {form["format"]}, not {FORMAT}'
            )
        return form['id']
    except (ValueError, KeyError, TypeError):
        raise errors.DamagedStorage(f'{folder}/format: damaged')


def _read_snapshot(folder: pathlib.Path) -> types.Snapshot:
    path = _newest(folder, 'snapshot')
    if path is None:
        raise errors.DamagedStorage(f'{folder}: no snapshot')
    body = _frame_at(path.read_bytes(), 0)
    if body is None:
        raise errors.DamagedStorage(f'{path.name}: damaged')
    return _SNAPSHOT.decode(body)


def _replay(
    bodies: list[bytes], snapshot: types.Snapshot, name: str
) -> Record:
    """Return the last vote and the entries past the snapshot."""
    term, voted_for = 0, ''
    kept: list[entries.Entry] = []
    for body in bodies:
        for record in _RECORDS.decode(body):
            if record.term:
                term, voted_for = record.term, record.voted_for
            for entry in record.entries:
                if entry.index <= snapshot.index:
                    continue
                place = entry.index - snapshot.index - 1
                if place > len(kept):
                    raise errors.DamagedStorage(
                        f'{name}: entry {entry.index} follows on '
                        f'{snapshot.index + len(kept)}'
                    )
                del kept[place:]
                kept.append(entry)
    newest = kept[-1].term if kept else snapshot.term
    if newest > term:
        term, voted_for = newest, ''
    return Record(term, voted_for, kept)


def read(folder: str) -> Contents:
    """Return what a folder holds, checking all of it; changes nothing.

    :raises DamagedStorage: with what is damaged, and where.
    """
    place = pathlib.Path(folder)
    node_id = _read_format(place)
    snapshot = _read_snapshot(place)
    path = _newest(place, 'journal')
    if path is None:
        raise errors.DamagedStorage(f'{folder}: no journal')
    data = path.read_bytes()
    try:
        bodies, good = _frames(data, path.name)
        found = _replay(bodies, snapshot, path.name)
    except msgspec.MsgspecError as problem:
        raise errors.DamagedStorage(f'{path.name}: {problem}')
    return Contents(
        node_id,
        found.term,
        found.voted_for,
        snapshot,
        found.entries,
        path,
        good,
        len(data) - good,
    )


def describe(folder: str) -> str:
    """Return a description of a folder for the operator."""
    found = read(folder)
    last = found.entries[-1].index if found.entries else found.snapshot.index
    return (
        f'id {found.node_id}, term {found.term}, snapshot at '
        f'{found.snapshot.index}, last entry {last}, journal '
        f'{found.good_bytes} bytes, cut at the end {found.cut_bytes} bytes'
    )


class Storage:
    """An open data folder. A failed sync is final, a full disk is not."""

    def __init__(self, folder: str):
        self._folder = pathlib.Path(folder)
        self._lock = self._take_lock()
        self.contents = read(folder)
        self._clean()
        self._term = self.contents.term
        self._voted_for = self.contents.voted_for
        self._journal = open(self.contents.journal, 'r+b', buffering=0)
        self._journal.truncate(self.contents.good_bytes)
        self._journal.seek(self.contents.good_bytes)
        self._good_bytes = self.contents.good_bytes
        os.fsync(self._journal.fileno())
        self._failed = False

    def _take_lock(self) -> typing.IO:
        try:
            lock = open(self._folder / 'lock', 'wb')
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return lock
        except BlockingIOError:
            raise errors.StorageFailed(f'{self._folder} is in use')
        except OSError as problem:
            raise errors.StorageFailed(f'{self._folder}: {problem}')

    def _clean(self) -> None:
        """Remove what a crash may have left behind."""
        for path in self._folder.glob('*.part'):
            path.unlink()
        self._remove_older('journal', _number(self.contents.journal))
        self._remove_older('snapshot', self.contents.snapshot.index)

    def _remove_older(self, kind: str, number: int) -> None:
        for path in self._folder.glob(f'{kind}-*'):
            if _number(path) < number:
                path.unlink()

    def save(
        self,
        vote: types.SaveVote | None,
        fresh: list[entries.Entry],
    ) -> None:
        """Write one frame and sync it.

        :raises DiskFull: nothing was written; the same may be tried again.
        :raises StorageFailed: nothing may be acknowledged after that.
        """
        self._check()
        if vote:
            self._term, self._voted_for = vote
        record = Record(
            vote.term if vote else 0, vote.voted_for if vote else '', fresh
        )
        frame = _frame(msgspec.msgpack.encode([record]))
        try:
            written = self._journal.write(frame)
            if written != len(frame):
                raise OSError(errno.ENOSPC, 'no room for the whole frame')
        except OSError as problem:
            self._take_back(problem)
        try:
            os.fdatasync(self._journal.fileno())
        except OSError as problem:
            raise self._final('journal', problem)
        self._good_bytes += len(frame)

    def _check(self) -> None:
        if self._failed:
            raise errors.StorageFailed('an earlier write failed')

    def _take_back(self, problem: OSError) -> typing.NoReturn:
        """Remove what a failed write has left behind the last good frame."""
        try:
            self._journal.truncate(self._good_bytes)
            self._journal.seek(self._good_bytes)
        except OSError as second:
            raise self._final('journal', second)
        raise self._failure('journal', problem)

    def _failure(self, what: str, problem: OSError) -> errors.StorageFailed:
        """Return the error for a failed write; final unless there is no room.

        What was written before stays as it was synced.
        """
        if problem.errno in NO_ROOM:
            return errors.DiskFull(f'{what}: {problem}')
        return self._final(what, problem)

    def _final(self, what: str, problem: OSError) -> errors.StorageFailed:
        self._failed = True
        return errors.StorageFailed(f'{what}: {problem}')

    def write_snapshot(self, snapshot: types.Snapshot) -> None:
        """Write and sync a snapshot file, beside the journal.

        :raises DiskFull: it is not there; the journal goes on without.
        :raises StorageFailed: nothing may be acknowledged after that.
        """
        self._check()
        body = msgspec.msgpack.encode(snapshot)
        path = self._folder / f'snapshot-{snapshot.index}'
        try:
            _write_whole(path, _frame(body))
        except OSError as problem:
            raise self._failure('snapshot', problem)

    def rotate(
        self, snapshot: types.Snapshot, after: list[entries.Entry]
    ) -> None:
        """Begin a journal that holds only what is past a snapshot.

        :raises DiskFull: the journal before goes on; it may be tried again.
        :raises StorageFailed: nothing may be acknowledged after that.
        """
        self._check()
        record = Record(self._term, self._voted_for, after)
        frame = _frame(msgspec.msgpack.encode([record]))
        number = _number(self.contents.journal) + 1
        path = self._folder / f'journal-{number}'
        try:
            _write_whole(path, frame)
        except OSError as problem:
            raise self._failure('journal', problem)
        try:
            self._journal.close()
            self._journal = open(path, 'r+b', buffering=0)
            self._good_bytes = self._journal.seek(0, os.SEEK_END)
            self.contents = self.contents._replace(journal=path)
            self._remove_older('journal', number)
            self._remove_older('snapshot', snapshot.index)
        except OSError as problem:
            raise self._final('journal', problem)

    def close(self) -> None:
        """Give the folder back."""
        self._journal.close()
        self._lock.close()
