# SPDX-License-Identifier: Apache-2.0

"""Records samples of all formats that leave a process, and reads them.

    python tools/formats.py record FOLDER BUILD
    python tools/formats.py read FOLDER

The code is that of the interpreter's environment, so a sample of one build
can be read by another. ``records.json`` has the encoded records by family,
in the order of their numbers, and the fields of all record types; ``data``
is the folder of a controller.
"""

import json
import pathlib
import sys
import types
import typing
import zlib

from mountridge import messages
from mountridge.consensus import consensus, entries, replicas, storage
from mountridge.documents import halls, instances, quarantines, tables
from mountridge.state import commands, statemachine, views

#: Number of the call in samples of messages.
SEQ = 7
NODE_ID = 'c1.sample'
CONFIG = entries.Config({NODE_ID: 'tcp://10.0.0.1:7000'}, {})
#: Index of the snapshot in the sample of a folder.
SNAPSHOT_INDEX = 6


class Family(typing.NamedTuple):
    """Records that are encoded and decoded in the same way."""

    kinds: tuple[type, ...]  # in the order of their numbers
    encode: typing.Callable[[typing.Any], bytes]
    #: Returns the record of a type that is encoded in some bytes.
    decode: typing.Callable[[type, bytes], typing.Any]


_UNPACK = {
    tables.Row: views.unpack_row,
    views.Member: views.unpack_member,
    instances.Instance: views.unpack_instance,
    halls.HallState: views.unpack_hall,
    quarantines.QuarantinedRequest: views.unpack_quarantined,
}

FAMILIES = {
    'messages': Family(
        messages._KINDS,
        lambda record: messages.encode(record, SEQ),
        lambda _, data: messages.decode(data).message,
    ),
    'consensus': Family(
        replicas._KINDS,
        replicas.pack_message,
        lambda _, data: replicas.unpack_message(data),
    ),
    'commands': Family(
        commands._KINDS,
        commands.encode,
        lambda _, data: commands.decode(data),
    ),
    'view': Family(
        tuple(_UNPACK), views.pack, lambda kind, data: _UNPACK[kind](data)
    ),
    'config': Family(
        (entries.Config,),
        entries.Config.pack,
        lambda _, data: entries.unpack_config(data),
    ),
}
#: Records that are stored without being in a family.
STORED = (statemachine._Image, storage.Record, consensus.Snapshot)


# Records with a value in each field.


def sample(
    kind: typing.Any,
    name: str = '',
    schema: dict[str, list[str]] | None = None,
) -> typing.Any:
    """Return a value of a type, determined by the name of its field.

    With the schema of an earlier level, the fields of a record that it does
    not have keep their defaults.
    """
    if is_record(kind):
        known = (schema or {}).get(type_name(kind))
        fields = field_types(kind)[: None if known is None else len(known)]
        return kind(*(sample(each, n, schema) for n, each in fields))
    origin, args = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return sample(args[0], name, schema)
    if origin is tuple:
        return tuple(
            sample(each, f'{name}{n}', schema) for n, each in enumerate(args)
        )
    if origin is list:
        return [sample(args[0], name, schema)]
    if origin is dict:
        return {sample(args[0], name): sample(args[1], name, schema)}
    number = zlib.crc32(name.encode()) % 100 + 1
    plain = {
        int: number,
        float: number + 0.5,
        bool: True,
        str: name,
        bytes: name.encode(),
        dict: {name: number},
    }
    return plain[kind]


def is_record(kind: typing.Any) -> bool:
    """Return whether a type is a record, with fields by position."""
    return isinstance(kind, type) and hasattr(kind, '_fields')


def type_name(kind: type) -> str:
    """Return the name of a record type in a schema."""
    return f'{kind.__module__}.{kind.__qualname__}'


def field_types(kind: type) -> list[tuple[str, typing.Any]]:
    """Return the names and types of a record's fields."""
    hints = typing.get_type_hints(kind)
    return [(name, hints[name]) for name in kind._fields]


def nested_records(kind: typing.Any) -> typing.Iterator[type]:
    """Yield the record types in a type, and itself if it is one."""
    if is_record(kind):
        yield kind
        for _, each in field_types(kind):
            yield from nested_records(each)
    for each in typing.get_args(kind):
        yield from nested_records(each)


def schema() -> dict[str, list[str]]:
    """Return the fields of all record types, as text."""
    found: dict[str, list[str]] = {}
    roots = [k for family in FAMILIES.values() for k in family.kinds]
    for root in (*roots, *STORED):
        for kind in nested_records(root):
            found[type_name(kind)] = [
                f'{field}: {_type_text(each)}'
                for field, each in field_types(kind)
            ]
    return dict(sorted(found.items()))


def _type_text(kind: typing.Any) -> str:
    is_plain = isinstance(kind, type) and not typing.get_args(kind)
    return kind.__name__ if is_plain else str(kind)


def encoded_records() -> dict[str, list[list[str]]]:
    """Return the names and hexadecimal samples of all records by family."""
    return {
        name: [
            [kind.__name__, family.encode(sample(kind)).hex()]
            for kind in family.kinds
        ]
        for name, family in FAMILIES.items()
    }


# A folder.


def sample_payloads() -> list[bytes]:
    """Return commands that change most parts of the state."""
    member = sample(views.Member)._replace(state='live')
    instance = instances.Instance(
        'i-1', 'llm', '10.0.0.9:9000', 'north', 'v1', 4, 'ready', 1000
    )
    claim = sample(messages.Claim)._replace(key='100-a')
    return [
        commands.encode(command)
        for command in (
            commands.SetMember(member, 101.0),
            commands.SetInstance(instance, 102.0),
            commands.OpenClaim(claim, 100.0, 103.0),
            commands.PutRoutes(3, b'routes', 104.0),
            commands.SetHall('north', True, 0, 105.0),
            commands.QuarantineRequest(b'digest', 2, 106.0),
            commands.SetHall('south', True, 0, 107.0),
            commands.NextVersion(108.0),
        )
    ]


def write_folder(folder: pathlib.Path) -> None:
    """Write the folder of a controller: a snapshot and entries after it."""
    log = [
        entries.Entry(2, number + 1, entries.COMMAND, payload)
        for number, payload in enumerate(sample_payloads())
    ]
    storage.initialize(str(folder), NODE_ID, CONFIG)
    disk = storage.Storage(str(folder))
    disk.save(consensus.SaveVote(2, NODE_ID), log)
    machine = statemachine.StateMachine()
    for entry in log[:SNAPSHOT_INDEX]:
        machine.apply_payload(entry.index, entry.payload)
    snapshot = consensus.Snapshot(
        SNAPSHOT_INDEX, 2, CONFIG, machine.snapshot()
    )
    disk.write_snapshot(snapshot)
    disk.rotate(snapshot, log[SNAPSHOT_INDEX:])
    disk.close()
    (folder / 'lock').unlink()


def read_folder(folder: pathlib.Path) -> statemachine.StateMachine:
    """Return the state in a folder, with all of its entries applied."""
    contents = storage.read(str(folder))
    assert (contents.node_id, contents.term) == (NODE_ID, 2), contents
    machine = statemachine.StateMachine()
    machine.restore(contents.snapshot.data)
    for entry in contents.entries:
        machine.apply_payload(entry.index, entry.payload)
    return machine


# Commands.


def record(folder: pathlib.Path, build: str) -> None:
    """Record all samples in a new folder."""
    folder.mkdir(parents=True)
    recorded = {
        'build': build,
        'schema': schema(),
        'records': encoded_records(),
    }
    text = json.dumps(recorded, indent=1)
    (folder / 'records.json').write_text(text + '\n')
    write_folder(folder / 'data')


def read(folder: pathlib.Path) -> int:
    """Read all samples in a folder; return their number.

    :raises AssertionError: a record differs from the sample of this build.
    """
    recorded = json.loads((folder / 'records.json').read_text())
    count = 0
    for name, samples in recorded['records'].items():
        family = FAMILIES[name]
        for kind, (kind_name, data) in zip(family.kinds, samples):
            found = family.decode(kind, bytes.fromhex(data))
            assert kind.__name__ == kind_name, (kind, kind_name)
            assert found == sample(kind, '', recorded['schema']), found
            count += 1
        assert len(samples) <= len(family.kinds), name
    machine = read_folder(folder / 'data')
    expected = statemachine.StateMachine()
    for number, payload in enumerate(sample_payloads()):
        expected.apply_payload(number + 1, payload)
    assert machine.snapshot() == expected.snapshot()
    return count + 1


if __name__ == '__main__':
    command, target = sys.argv[1], pathlib.Path(sys.argv[2])
    if command == 'record':
        record(target, sys.argv[3])
    else:
        print(f'{read(target)} samples read')
