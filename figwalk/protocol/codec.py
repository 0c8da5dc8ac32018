"""Codec between the attrs messages and their Cap'n Proto form."""

from __future__ import annotations

import typing
from collections.abc import Callable
from enum import Enum
from pathlib import Path

import attrs
import capnp

from figwalk.errors import MalformedFrameError
from figwalk.protocol import messages
from figwalk.protocol.messages import Message
from figwalk.transport.http_types import Headers

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))

# Words of 8 bytes; a frame's 4 MiB limit is 524,288 words, and nested reads count twice.
TRAVERSAL_LIMIT_WORDS = 2 * 1024 * 1024


def _to_camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.title() for part in rest)


def _union_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


def _write_headers(builder: object, name: str, value: Headers) -> None:
    if not value:
        return
    target = builder.init(name, len(value))
    for index, (key, text) in enumerate(value):
        target[index].name = key
        target[index].value = text


def _write_struct(builder: object, name: str, value: object) -> None:
    if value is not None:
        _write_fields(builder.init(name), value)


def _write_plain(builder: object, name: str, value: object) -> None:
    setattr(builder, name, value)


def _write_enum(builder: object, name: str, value: Enum) -> None:
    setattr(builder, name, value.value)


def _read_headers(reader: object) -> Headers:
    return [(header.name, header.value) for header in reader]


def _read_plain(value: object) -> object:
    return value


@attrs.frozen
class _FieldPlan:
    """How one attribute is written to and read from its Cap'n Proto field."""

    attribute: str
    wire_name: str
    write: Callable[[object, str, object], None]
    read: Callable[[object], object]
    optional: bool = False


def _plan_field(name: str, annotation: object) -> _FieldPlan:
    wire = _to_camel(name)
    if annotation == Headers:
        return _FieldPlan(name, wire, _write_headers, _read_headers)
    arguments = typing.get_args(annotation)
    if type(None) in arguments:
        inner = next(a for a in arguments if a is not type(None))
        return _FieldPlan(name, wire, _write_struct, lambda r: _read_fields(inner, r), True)
    if isinstance(annotation, type) and attrs.has(annotation):
        return _FieldPlan(name, wire, _write_struct, lambda r: _read_fields(annotation, r))
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return _FieldPlan(name, wire, _write_enum, annotation)
    if typing.get_origin(annotation) is list:
        return _FieldPlan(name, wire, _write_plain, list)
    return _FieldPlan(name, wire, _write_plain, _read_plain)


def _plan_class(cls: type) -> list[_FieldPlan]:
    hints = typing.get_type_hints(cls)
    return [_plan_field(field.name, hints[field.name]) for field in attrs.fields(cls)]


_CLASSES: tuple[type, ...] = typing.get_args(Message)
_PLANS = {cls: _plan_class(cls) for cls in _CLASSES}
_UNION_NAMES = {cls: _union_name(cls) for cls in _CLASSES}
_BY_UNION_NAME = {name: cls for cls, name in _UNION_NAMES.items()}


def _write_fields(builder: object, value: object) -> None:
    for plan in _PLANS[type(value)]:
        plan.write(builder, plan.wire_name, getattr(value, plan.attribute))


def _read_fields(cls: type, reader: object) -> object:
    values = {}
    for plan in _PLANS[cls]:
        if plan.optional and not reader._has(plan.wire_name):
            values[plan.attribute] = None
        else:
            values[plan.attribute] = plan.read(getattr(reader, plan.wire_name))
    return cls(**values)


def encode_message(message: Message) -> bytes:
    """Return the wire form of a message."""
    builder = _SCHEMA.Message.new_message()
    _write_fields(builder.init(_UNION_NAMES[type(message)]), message)
    return builder.to_bytes()


def decode_message(data: bytes) -> Message:
    """Return the message of a wire form.

    Raises:
        MalformedFrameError: The bytes are not a message of this protocol.
    """
    try:
        with _SCHEMA.Message.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            name = reader.which()
            return _read_fields(_BY_UNION_NAME[str(name)], getattr(reader, str(name)))
    except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError) as error:
        raise MalformedFrameError(f"message can't be decoded: {error}") from error


if __name__ == "__main__":
    sample = messages.Cancel(call_id=7)
    print(decode_message(encode_message(sample)))
