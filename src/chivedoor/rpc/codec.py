"""Strict CBOR codec of typed messages."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum
import io
import math
import types
import typing
from typing import Any

import cbor2

from chivedoor.rpc import const
from chivedoor.rpc import exceptions

Fault = exceptions.MessageFault
Checker = Callable[[Any], Any]

# Types whose values may hold anything that JSON can hold.
Plain = dict[str, Any]


def encode_value(value: Any, max_bytes: int) -> bytes:
    """Encodes plain values as CBOR.

    Raises:
        MessageError: The value has no CBOR form, or more than `max_bytes`.
    """
    try:
        data = cbor2.dumps(value)
    except (cbor2.CBOREncodeError, ValueError, TypeError) as error:
        raise _fault(Fault.WRONG_TYPE, str(error)) from error
    if len(data) > max_bytes:
        raise _fault(Fault.OVERSIZE, f"{len(data)} bytes over {max_bytes}")
    return data


def decode_value(data: bytes, max_bytes: int) -> Any:
    """Decodes one CBOR value without tags or indefinite lengths.

    Raises:
        MessageError: The data is longer than `max_bytes` or malformed.
    """
    if len(data) > max_bytes:
        raise _fault(Fault.OVERSIZE, f"{len(data)} bytes over {max_bytes}")
    stream = io.BytesIO(data)
    try:
        value = cbor2.load(
            stream,
            semantic_decoders=_TAGS,
            max_depth=const.MESSAGE_DEPTH_MAX,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except (cbor2.CBORError, ValueError, MemoryError, RecursionError) as error:
        raise _fault(Fault.MALFORMED, type(error).__name__) from error
    if stream.tell() != len(data):
        raise _fault(Fault.MALFORMED, "bytes after the value")
    return value


class _RejectedTags(dict[int, Callable[..., Any]]):
    """Maps every semantic tag to a decoder that fails.

    The library's own decoders run regular expressions, dates and fractions
    on bytes that a peer chose; no message needs one.
    """

    def __missing__(self, tag: int) -> Callable[..., Any]:
        return _reject_tag


def _reject_tag(*arguments: Any) -> Any:
    raise ValueError("semantic tag")


_TAGS = _RejectedTags()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Entry:
    """One registered message type."""

    name: str
    message_type: type
    checkers: Mapping[str, Checker]
    reply_type: type | None


class MessageRegistry:
    """Names and types of the messages that one interface accepts."""

    def __init__(self) -> None:
        self._by_name: dict[str, _Entry] = {}
        self._by_type: dict[type, _Entry] = {}

    def add_pair(self, request_type: type, reply_type: type) -> None:
        """Registers a request and the only type that answers it."""
        self._add(reply_type, None)
        self._add(request_type, reply_type)

    def reply_type(self, request_type: type) -> type:
        """Returns the type that answers a request.

        Raises:
            MessageError: The type is not a registered request.
        """
        entry = self._find_type(request_type)
        if entry.reply_type is None:
            raise _fault(Fault.UNKNOWN_TYPE, f"{entry.name} is no request")
        return entry.reply_type

    def names(self) -> tuple[str, ...]:
        """Returns the names of all messages in sorted order."""
        return tuple(sorted(self._by_name))

    def pack(self, message: Any) -> tuple[str, dict[str, Any]]:
        """Returns the name and the fields of a message.

        Raises:
            MessageError: The type is not registered, or a field has a value
                that its type does not allow.
        """
        entry = self._find_type(type(message))
        fields = {
            name: _check_field(entry, name, getattr(message, name))
            for name in entry.checkers
        }
        return entry.name, fields

    def unpack(self, name: Any, fields: Any) -> Any:
        """Returns the message of a name and its fields.

        Raises:
            MessageError: The name is not registered, a field is missing or
                surplus, or a value has the wrong type.
        """
        entry = self._by_name.get(name) if isinstance(name, str) else None
        if entry is None:
            raise _fault(Fault.UNKNOWN_TYPE, f"{name!r:.80}")
        if not isinstance(fields, dict):
            raise _fault(Fault.WRONG_TYPE, f"{entry.name}: no map of fields")
        return _build(entry, fields)

    def _add(self, message_type: type, reply_type: type | None) -> None:
        entry = _Entry(
            name=message_type.__name__,
            message_type=message_type,
            checkers=_compile_fields(message_type),
            reply_type=reply_type,
        )
        if entry.name in self._by_name:
            raise _fault(Fault.UNKNOWN_TYPE, f"{entry.name} is registered")
        self._by_name[entry.name] = entry
        self._by_type[message_type] = entry

    def _find_type(self, message_type: type) -> _Entry:
        entry = self._by_type.get(message_type)
        if entry is None:
            raise _fault(Fault.UNKNOWN_TYPE, message_type.__name__)
        return entry


def _fault(fault: exceptions.MessageFault, detail: str) -> Exception:
    return exceptions.MessageError(fault=fault, detail=detail)


def _build(entry: _Entry, fields: dict[str, Any]) -> Any:
    missing = entry.checkers.keys() - fields.keys()
    if missing:
        raise _fault(Fault.MISSING_FIELD, f"{entry.name}: {sorted(missing)}")
    surplus = fields.keys() - entry.checkers.keys()
    if surplus:
        detail = f"{entry.name}: {len(surplus)} surplus"
        raise _fault(Fault.SURPLUS_FIELD, detail)
    values = {
        name: _check_field(entry, name, fields[name]) for name in entry.checkers
    }
    return entry.message_type(**values)


def _check_field(entry: _Entry, name: str, value: Any) -> Any:
    try:
        return entry.checkers[name](value)
    except _MismatchError as error:
        detail = f"{entry.name}.{name}: {error}"
        raise _fault(Fault.WRONG_TYPE, detail) from None


class _MismatchError(Exception):
    """A value that its declared type does not allow."""


def _compile_fields(message_type: type) -> dict[str, Checker]:
    hints = typing.get_type_hints(message_type)
    names = [field.name for field in dataclasses.fields(message_type)]
    return {name: _compile(hints[name]) for name in names}


def _compile(hint: Any) -> Checker:
    """Returns a function that checks and converts values of a type."""
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _compile_optional(typing.get_args(hint))
    if origin is list:
        return _compile_list(typing.get_args(hint)[0])
    if origin is dict:
        return _check_plain
    if isinstance(hint, typing.NewType):
        return _compile(hint.__supertype__)
    if dataclasses.is_dataclass(hint):
        return _compile_record(hint)
    return _SCALARS[hint]


def _compile_optional(hints: tuple[Any, ...]) -> Checker:
    inner = [_compile(hint) for hint in hints if hint is not type(None)]
    if len(inner) != 1 or len(hints) != 2:
        raise _fault(Fault.WRONG_TYPE, "only `X | None` unions are supported")

    def check(value: Any) -> Any:
        return None if value is None else inner[0](value)

    return check


def _compile_list(hint: Any) -> Checker:
    inner = _compile(hint)

    def check(value: Any) -> list[Any]:
        if type(value) is not list:
            raise _MismatchError("not a list")
        return [inner(item) for item in value]

    return check


def _compile_record(record_type: type) -> Checker:
    """Returns a checker of a nested dataclass, sent as a list of values.

    The checker takes both forms: the record itself when a message is
    encoded and the list when it is decoded.
    """
    checkers = _compile_fields(record_type)

    def check(value: Any) -> Any:
        if isinstance(value, record_type):
            return [
                inner(getattr(value, name)) for name, inner in checkers.items()
            ]
        if type(value) is not list or len(value) != len(checkers):
            raise _MismatchError(f"not a {record_type.__name__}")
        items = zip(checkers.items(), value, strict=True)
        return record_type(
            **{name: inner(item) for (name, inner), item in items}
        )

    return check


def _check_int(value: Any) -> int:
    if isinstance(value, enum.Enum) or type(value) is not int:
        raise _MismatchError("not an integer")
    if not const.INTEGER_MIN <= value <= const.INTEGER_MAX:
        raise _MismatchError("integer out of range")
    return value


def _check_float(value: Any) -> float:
    if type(value) not in (int, float):
        raise _MismatchError("not a number")
    try:
        number = float(value)
    except OverflowError:
        raise _MismatchError("number out of range") from None
    # Infinity is a valid age ("never confirmed"); NaN compares with nothing.
    if math.isnan(number):
        raise _MismatchError("not a number")
    return number


def _check_bool(value: Any) -> bool:
    if type(value) is not bool:
        raise _MismatchError("not a boolean")
    return value


def _check_str(value: Any) -> str:
    if type(value) is not str:
        raise _MismatchError("not a string")
    return value


def _check_bytes(value: Any) -> bytes:
    if type(value) is not bytes:
        raise _MismatchError("not a byte string")
    return value


def _check_plain(value: Any) -> dict[str, Any]:
    if type(value) is not dict:
        raise _MismatchError("not a map")
    return _check_plain_value(value)


def _check_plain_value(value: Any) -> Any:
    if type(value) is dict:
        if not all(type(key) is str for key in value):
            raise _MismatchError("a key is not a string")
        return {key: _check_plain_value(item) for key, item in value.items()}
    if type(value) in (list, tuple):
        return [_check_plain_value(item) for item in value]
    if value is None or type(value) in (bool, int, float, str, bytes):
        return value
    raise _MismatchError(f"{type(value).__name__} is not a plain value")


_SCALARS: dict[Any, Checker] = {
    int: _check_int,
    float: _check_float,
    bool: _check_bool,
    str: _check_str,
    bytes: _check_bytes,
}
