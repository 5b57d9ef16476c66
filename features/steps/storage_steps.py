# SPDX-License-Identifier: Apache-2.0

"""Steps for data folders, with real files and failing system calls."""

import errno
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import Phase, settings, strategies

from mountridge.consensus import consensus, entries, storage
from mountridge import errors
from mountridge.net import keys

CONFIG = entries.Config({'c1.0': 'a'}, {})


def _entry(index):
    return entries.Entry(1, index, entries.COMMAND, b'payload %d' % index)


@given('a data folder with {count:d} synced frames')
def make_folder(context, count):
    context.folder = pathlib.Path(tempfile.mkdtemp()) / 'data'
    storage.initialize(str(context.folder), 'c1.0', CONFIG)
    disk = storage.Storage(str(context.folder))
    context.ends = []
    for index in range(1, count + 1):
        vote = consensus.SaveVote(1, 'c1.0') if index == 1 else None
        disk.save(vote, [_entry(index)])
        context.ends.append(disk.contents.journal.stat().st_size)
    disk.close()
    context.journal = disk.contents.journal


def _indexes(folder):
    return [e.index for e in storage.read(str(folder)).entries]


def _cut(path, size):
    with open(path, 'r+b') as out:
        out.truncate(size)


@when('the journal is truncated {where}')
def cut_journal(context, where):
    size = {
        "inside the last frame's body": context.ends[-1] - 5,
        "inside the last frame's header": context.ends[-2] + 3,
        'one byte before its end': context.ends[-1] - 1,
    }[where]
    _cut(context.journal, size)


def _flip(path, offset, bit=1):
    data = bytearray(path.read_bytes())
    data[offset] ^= bit
    path.write_bytes(bytes(data))


@when('a bit is flipped in {where}')
def flip_bit(context, where):
    ends = context.ends
    offsets = {
        'the first frame': ends[0] - 2,
        'the third frame': ends[2] - 2,
        'the last frame': ends[4] - 2,
    }
    if where in offsets:
        _flip(context.journal, offsets[where])
    elif where == 'the snapshot':
        _flip(context.folder / 'snapshot-0', 14)
    else:
        _flip(context.folder / 'format', 1)


@then('it opens with {count:d} frames and reports truncated bytes')
def check_frames(context, count):
    found = storage.read(str(context.folder))
    assert [e.index for e in found.entries] == list(range(1, count + 1))
    assert found.truncated_bytes > 0
    disk = storage.Storage(str(context.folder))
    disk.save(None, [_entry(count + 1)])
    disk.close()
    assert _indexes(context.folder) == list(range(1, count + 2))


@then('opening it is refused with code {code:d} and reports the damage')
def opening_refused(context, code):
    try:
        storage.Storage(str(context.folder))
    except errors.MountridgeError as problem:
        assert problem.code == code, problem
        assert 'damaged' in str(problem), problem
    else:
        raise AssertionError('it was opened')


@then('"storage check" exits 1 with the code')
def check_command(context):
    done = subprocess.run(
        [sys.executable, '-m', 'mountridge', 'storage', 'check']
        + [str(context.folder)],
        capture_output=True,
        text=True,
    )
    assert done.returncode == 1, done
    assert 'error 1701' in done.stderr, done.stderr


@when('{call} fails with "{error}" at the next save')
def failing_call(context, call, error):
    context.disk = storage.Storage(str(context.folder))
    failure = OSError(errno.EIO, error)
    if call == 'sync':
        patch = mock.patch.object(os, 'fdatasync', side_effect=failure)
    else:
        broken = mock.Mock(wraps=context.disk._journal)
        broken.write.side_effect = failure
        patch = mock.patch.object(context.disk, '_journal', broken)
    context.codes = []
    with patch:
        context.codes.append(_save_code(context.disk))
    context.codes.append(_save_code(context.disk))


def _save_code(disk):
    try:
        disk.save(None, [_entry(6)])
    except errors.StorageFailed as problem:
        return problem.code
    return 0


@when('the disk has space for only half of the next frame')
def disk_full_at_half(context):
    context.disk = storage.Storage(str(context.folder))
    journal = context.disk._journal
    short = mock.Mock(wraps=journal)
    short.write.side_effect = lambda data: journal.write(
        data[: len(data) // 2]
    )
    with mock.patch.object(context.disk, '_journal', short):
        context.codes = [_save_code(context.disk)]
    context.codes.append(_save_code(context.disk))


@then(
    'the save raises code {first:d}, and code {second:d} once there is space'
)
def check_save_retry(context, first, second):
    assert context.codes == [first, second], context.codes
    context.disk.close()


@then(
    'the folder opens again with exactly {count:d} frames and nothing'
    ' truncated'
)
def check_exact_frames(context, count):
    found = storage.read(str(context.folder))
    assert found.truncated_bytes == 0, found.truncated_bytes
    assert _indexes(context.folder) == list(range(1, count + 1))


@then('the save raises code {code:d} and so does every later one')
def check_save_fails(context, code):
    assert context.codes == [code, code], context.codes
    context.disk.close()


@then('the folder opens again with at least {count:d} frames')
def check_min_frames(context, count):
    storage.Storage(str(context.folder)).close()
    assert _indexes(context.folder)[:count] == list(range(1, count + 1))


@then('opening it twice is refused with code {code:d}')
def opened_twice(context, code):
    first = storage.Storage(str(context.folder))
    try:
        storage.Storage(str(context.folder))
    except errors.StorageFailed as problem:
        assert problem.code == code
    else:
        raise AssertionError('it was opened twice')
    finally:
        first.close()


class Crash(BaseException):
    """Simulates the end of the process."""


def _crash_at(step):
    """Return a wrapper whose call number ``step`` raises `Crash`."""
    calls = {'count': 0}

    def hook(real):
        def call(*args, **kwargs):
            calls['count'] += 1
            if calls['count'] == step:
                raise Crash()
            return real(*args, **kwargs)

        return call

    return hook


@then(
    'a crash at each step of a snapshot at entry {at:d} leaves entries'
    ' {first:d} to {last:d}'
)
def crash_at_each_step(context, at, first, last):
    copy = context.folder.with_name('copy')
    shutil.copytree(context.folder, copy)
    crashes = 0
    for step in range(1, 40):
        shutil.rmtree(context.folder)
        shutil.copytree(copy, context.folder)
        crashed = _snapshot_with_crash(context.folder, at, step)
        found = storage.read(str(context.folder))
        assert found.term == 1 and found.voted_for == 'c1.0', found
        storage.Storage(str(context.folder)).close()
        held = list(range(first, found.snapshot.index + 1))
        held += _indexes(context.folder)
        assert held == list(range(first, last + 1)), (step, held)
        crashes += crashed
        if not crashed:
            break
    assert crashes >= 8, crashes


def _snapshot_with_crash(folder, at, step):
    disk = storage.Storage(str(folder))
    hook = _crash_at(step)
    names = ['fsync', 'replace', 'open', 'close']
    patches = [mock.patch.object(os, n, hook(getattr(os, n))) for n in names]
    patches.append(
        mock.patch.object(pathlib.Path, 'unlink', hook(pathlib.Path.unlink))
    )
    made = consensus.Snapshot(at, 1, CONFIG, b'state')
    after = [_entry(index) for index in range(at + 1, 6)]
    try:
        for patch in patches:
            patch.start()
        disk.write_snapshot(made)
        disk.rotate(made, after)
        return 0
    except Crash:
        return 1
    finally:
        for patch in patches:
            patch.stop()
        disk.close()


@when(
    'its journal is rotated at entry {at:d} while a snapshot is being written'
)
def rotate_beside(context, at):
    part = context.folder / 'snapshot-9.part'
    part.write_bytes(b'begun')
    disk = storage.Storage(str(context.folder))
    # Opening removes what a crash has left.
    part.write_bytes(b'begun')
    config = entries.Config({'c1.0': 'a'}, {})
    snapshot = consensus.Snapshot(at, 1, config, b'data')
    disk.write_snapshot(snapshot)
    kept = [e for e in disk.contents.entries if e.index > at]
    disk.rotate(snapshot, kept)
    context.was_kept = part.exists()
    disk.close()


@then(
    'the folder opens again at entry {at:d}, and the part was kept meanwhile'
)
def check_rotated(context, at):
    assert context.was_kept
    found = storage.read(str(context.folder))
    assert found.snapshot.index == at, found
    storage.Storage(str(context.folder)).close()


@then('each file of a snapshot is synced before it is renamed')
def synced_before_renamed(context):
    disk = storage.Storage(str(context.folder))
    calls = []
    real_sync, real_replace = os.fsync, os.replace

    def sync(handle):
        calls.append(os.readlink(f'/proc/self/fd/{handle}'))
        real_sync(handle)

    def replace(old, new):
        assert str(old) in calls, (old, calls)
        calls.append(str(new))
        real_replace(old, new)

    made = consensus.Snapshot(3, 1, CONFIG, b'state')
    with mock.patch.object(os, 'fsync', sync):
        with mock.patch.object(os, 'replace', replace):
            disk.write_snapshot(made)
            disk.rotate(made, [_entry(4), _entry(5)])
    disk.close()
    names = [n for n in calls if n.rpartition('-')[2].isdigit()]
    assert len(names) == 2, calls
    assert calls[-1] == str(context.folder), 'the folder is synced last'


@then('initializing it again is refused with code {code:d}')
def initialized_again(context, code):
    try:
        storage.initialize(str(context.folder), 'c1.0', CONFIG)
    except errors.StorageFailed as problem:
        assert problem.code == code
    else:
        raise AssertionError('it was initialized twice')


@then('{count:d} random truncations and flips yield a prefix or a refusal')
def random_damage(context, count):
    whole = context.journal.read_bytes()
    seen = {'refused': 0, 'fewer': 0}

    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[Phase.explicit, Phase.generate],
    )
    @for_all(
        strategies.integers(0, len(whole) - 1),
        strategies.integers(0, 8),
    )
    def damage(offset, bit):
        context.journal.write_bytes(whole)
        if bit == 8:
            _cut(context.journal, offset)
        else:
            _flip(context.journal, offset, 1 << bit)
        try:
            found = storage.read(str(context.folder)).entries
        except errors.DamagedStorage:
            seen['refused'] += 1
            return
        assert found == [_entry(n) for n in range(1, len(found) + 1)]
        seen['fewer'] += len(found) < 5

    damage()
    assert seen['refused'] and seen['fewer'], seen


# Key folders.

SUFFIXES = {'public key': '.key', 'secret key': '.key_secret'}


def _contents(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir()}


@given('a key folder that has only the {kept} of "{name}"')
def key_folder(context, kept, name):
    context.folder = pathlib.Path(tempfile.mkdtemp())
    keys.create_key_pairs(str(context.folder), [name])
    for path in list(context.folder.iterdir()):
        if path.suffix != SUFFIXES[kept]:
            path.unlink()
    context.before = _contents(context.folder)


@then('making keys for "{first}" and "{second}" is refused with code {code:d}')
def making_refused(context, first, second, code):
    try:
        keys.create_key_pairs(str(context.folder), [first, second])
    except errors.BadSettings as problem:
        assert problem.code == code
    else:
        raise AssertionError('keys were made')


@then('all files are as before')
def files_as_before(context):
    assert len(context.before) == 1
    assert _contents(context.folder) == context.before
