# SPDX-License-Identifier: Apache-2.0

"""Decoding of records that a later build may have extended.

Records are MessagePack arrays of fields by position. A later build adds
fields at the end, with defaults. A decoder of this module ignores fields
that its record type does not have, at any depth; records of the types that
it is told to keep carry them along and are encoded with them again.
"""

import functools
import types
import typing

import msgspec

__all__ = ['FORMAT_LEVEL', 'decoder']

#: Level of all formats that leave a process. A build that adds a field or a
#: kind has a higher level.
FORMAT_LEVEL = 2

_convert = functools.partial(msgspec.convert, builtin_types=(bytes,))


def decoder(
    kind: typing.Any, *kept: type
) -> typing.Callable[[typing.Any], typing.Any]:
    """Return a function that decodes a record of type ``kind`` from bytes.

    Records of the types ``kept`` keep the fields that they do not have. The
    function raises `msgspec.MsgspecError` where known fields are malformed.
    """
    decode_exact = msgspec.msgpack.Decoder(kind).decode

    def decode(data: typing.Any) -> typing.Any:
        try:
            return decode_exact(data)
        except msgspec.ValidationError:
            raw = msgspec.msgpack.decode(data)
            value = _convert(_trimmed(kind, raw), kind)
            return _extended(kind, value, raw, kept) if kept else value

    return decode


@functools.cache
def _field_types(kind: typing.Any) -> tuple | None:
    """Return the types of a record's fields, None if it is no record."""
    if not (isinstance(kind, type) and hasattr(kind, '_fields')):
        return None
    hints = typing.get_type_hints(kind)
    return tuple(hints[field] for field in kind._fields)


def _map_nested(
    kind: typing.Any,
    change: typing.Callable[..., typing.Any],
    *values: typing.Any,
) -> typing.Any:
    """Return the first value with ``change`` applied to what it contains.

    ``change`` is called with the type of each item and the items of all
    values, which have the same structure.
    """
    origin, args = typing.get_origin(kind), typing.get_args(kind)
    first = values[0]
    if origin in (typing.Union, types.UnionType):
        options = [each for each in args if each is not type(None)]
        if first is None or len(options) > 1:
            return first
        return change(options[0], *values)
    if origin is list and isinstance(first, list):
        return [change(args[0], *each) for each in zip(*values)]
    if origin is tuple and isinstance(first, (list, tuple)):
        item_types = args[:1] * len(first) if args[-1] is ... else args
        if len(item_types) != len(first):
            return first
        items = zip(item_types, *values)
        return type(first)([change(*each) for each in items])
    if origin is dict and isinstance(first, dict):
        return {
            key: change(args[1], *(each[key] for each in values))
            for key in first
        }
    return first


def _trimmed(kind: typing.Any, raw: typing.Any) -> typing.Any:
    """Return decoded MessagePack without the fields unknown to ``kind``."""
    fields = _field_types(kind)
    if fields is None:
        return _map_nested(kind, _trimmed, raw)
    if not isinstance(raw, list):
        return raw
    return [_trimmed(field, each) for field, each in zip(fields, raw)]


def _extended(
    kind: typing.Any,
    value: typing.Any,
    raw: typing.Any,
    kept: tuple[type, ...],
) -> typing.Any:
    """Return ``value`` with the unknown fields of records to keep."""
    fields = _field_types(kind)
    if fields is None:
        return _map_nested(
            kind, lambda *each: _extended(*each, kept), value, raw
        )
    items = list(value)
    for number, (field, item) in enumerate(zip(fields, raw)):
        items[number] = _extended(field, value[number], item, kept)
    extra = raw[len(fields) :]
    if kind in kept and extra:
        return tuple.__new__(_longer_type(kind), [*items, *extra])
    return kind(*items)


@functools.cache
def _longer_type(kind: typing.Any) -> typing.Any:
    """Return a subtype of a record type that has items after its fields."""
    count = len(kind._fields)

    class Longer(kind):
        __slots__ = ()

        def _replace(self, **changed: typing.Any) -> typing.Any:
            known = kind(*self[:count])._replace(**changed)
            return tuple.__new__(Longer, [*known, *self[count:]])

        def __repr__(self) -> str:
            return f'{kind(*self[:count])!r} + {self[count:]!r}'

    Longer.__name__ = kind.__name__
    Longer.__qualname__ = kind.__qualname__
    return Longer
