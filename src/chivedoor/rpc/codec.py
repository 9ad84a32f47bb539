"""Strict CBOR encoding and decoding of typed messages."""

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
Validator = Callable[[Any], Any]

# Type of a field that holds a map with string keys and values of any JSON type
# or bytes.
UntypedMap = dict[str, Any]


def encode_value(value: Any, max_bytes: int) -> bytes:
    """Encodes a value of basic Python types as CBOR.

    Raises:
        MessageError: The value cannot be encoded, or its encoding is longer
            than `max_bytes`.
    """
    try:
        data = cbor2.dumps(value)
    except (cbor2.CBOREncodeError, ValueError, TypeError) as error:
        raise _create_error(Fault.WRONG_TYPE, str(error)) from error
    if len(data) > max_bytes:
        raise _create_error(
            Fault.OVERSIZE, f"{len(data)} bytes over {max_bytes}"
        )
    return data


def decode_value(data: bytes, max_bytes: int) -> Any:
    """Decodes one CBOR value without tags or indefinite lengths.

    Raises:
        MessageError: The data is longer than `max_bytes` or malformed.
    """
    if len(data) > max_bytes:
        raise _create_error(
            Fault.OVERSIZE, f"{len(data)} bytes over {max_bytes}"
        )
    stream = io.BytesIO(data)
    try:
        value = cbor2.load(
            stream,
            semantic_decoders=_REJECTING_TAG_DECODERS,
            max_depth=const.MAX_MESSAGE_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except (cbor2.CBORError, ValueError, MemoryError, RecursionError) as error:
        raise _create_error(Fault.MALFORMED, type(error).__name__) from error
    if stream.tell() != len(data):
        raise _create_error(Fault.MALFORMED, "trailing bytes after the value")
    return value


class _RejectingTagDecoders(dict[int, Callable[..., Any]]):
    """Maps every semantic tag to a decoder that raises an error.

    The decoders of cbor2 build regular expressions, dates and fractions from
    bytes that a peer controls. No message uses a semantic tag.
    """

    def __missing__(self, tag: int) -> Callable[..., Any]:
        return _reject_tag


def _reject_tag(*arguments: Any) -> Any:
    raise ValueError("semantic tags are not supported")


_REJECTING_TAG_DECODERS = _RejectingTagDecoders()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Registration:
    """A registered message type with the validators of its fields."""

    name: str
    message_type: type
    validators: Mapping[str, Validator]
    reply_type: type | None


class MessageRegistry:
    """The message types that one interface accepts."""

    def __init__(self) -> None:
        self._by_name: dict[str, _Registration] = {}
        self._by_type: dict[type, _Registration] = {}

    def register_request(self, request_type: type, reply_type: type) -> None:
        """Registers a request type and the type of its reply."""
        self._register(reply_type, None)
        self._register(request_type, reply_type)

    def reply_type(self, request_type: type) -> type:
        """Returns the reply type of a request type.

        Raises:
            MessageError: The type is not a registered request.
        """
        registration = self._find_registration(request_type)
        if registration.reply_type is None:
            raise _create_error(
                Fault.UNKNOWN_TYPE, f"{registration.name} is not a request type"
            )
        return registration.reply_type

    def names(self) -> tuple[str, ...]:
        """Returns the names of all registered messages in sorted order."""
        return tuple(sorted(self._by_name))

    def pack(self, message: Any) -> tuple[str, dict[str, Any]]:
        """Returns the name and the fields of a message.

        Raises:
            MessageError: The type is not registered, or a field has a value
                that its type does not allow.
        """
        registration = self._find_registration(type(message))
        fields = {
            name: _validate_field(registration, name, getattr(message, name))
            for name in registration.validators
        }
        return registration.name, fields

    def unpack(self, name: Any, fields: Any) -> Any:
        """Builds a message from its name and its fields.

        Raises:
            MessageError: The name is not registered, a field is missing or
                unexpected, or a value has the wrong type.
        """
        registration = (
            self._by_name.get(name) if isinstance(name, str) else None
        )
        if registration is None:
            raise _create_error(Fault.UNKNOWN_TYPE, f"{name!r:.80}")
        if not isinstance(fields, dict):
            raise _create_error(
                Fault.WRONG_TYPE, f"{registration.name}: no map of fields"
            )
        return _build_message(registration, fields)

    def _register(self, message_type: type, reply_type: type | None) -> None:
        registration = _Registration(
            name=message_type.__name__,
            message_type=message_type,
            validators=_build_field_validators(message_type),
            reply_type=reply_type,
        )
        if registration.name in self._by_name:
            raise _create_error(
                Fault.UNKNOWN_TYPE, f"{registration.name} is already registered"
            )
        self._by_name[registration.name] = registration
        self._by_type[message_type] = registration

    def _find_registration(self, message_type: type) -> _Registration:
        registration = self._by_type.get(message_type)
        if registration is None:
            raise _create_error(Fault.UNKNOWN_TYPE, message_type.__name__)
        return registration


def _create_error(fault: exceptions.MessageFault, detail: str) -> Exception:
    return exceptions.MessageError(fault=fault, detail=detail)


def _build_message(registration: _Registration, fields: dict[str, Any]) -> Any:
    missing = registration.validators.keys() - fields.keys()
    if missing:
        raise _create_error(
            Fault.MISSING_FIELD, f"{registration.name}: {sorted(missing)}"
        )
    unexpected = fields.keys() - registration.validators.keys()
    if unexpected:
        detail = f"{registration.name}: {len(unexpected)} surplus"
        raise _create_error(Fault.SURPLUS_FIELD, detail)
    values = {
        name: _validate_field(registration, name, fields[name])
        for name in registration.validators
    }
    return registration.message_type(**values)


def _validate_field(registration: _Registration, name: str, value: Any) -> Any:
    try:
        return registration.validators[name](value)
    except _MismatchError as error:
        detail = f"{registration.name}.{name}: {error}"
        raise _create_error(Fault.WRONG_TYPE, detail) from None


class _MismatchError(Exception):
    """A value does not match its declared type."""


def _build_field_validators(message_type: type) -> dict[str, Validator]:
    hints = typing.get_type_hints(message_type)
    names = [field.name for field in dataclasses.fields(message_type)]
    return {name: _build_validator(hints[name]) for name in names}


def _build_validator(hint: Any) -> Validator:
    """Returns a function that validates and converts values of a type."""
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _build_optional_validator(typing.get_args(hint))
    if origin is list:
        return _build_list_validator(typing.get_args(hint)[0])
    if origin is dict:
        return _validate_untyped_map
    if isinstance(hint, typing.NewType):
        return _build_validator(hint.__supertype__)
    if dataclasses.is_dataclass(hint):
        return _build_record_validator(hint)
    return _SCALAR_VALIDATORS[hint]


def _build_optional_validator(hints: tuple[Any, ...]) -> Validator:
    inner_validators = [
        _build_validator(hint) for hint in hints if hint is not type(None)
    ]
    if len(inner_validators) != 1 or len(hints) != 2:
        raise _create_error(
            Fault.WRONG_TYPE, "only `X | None` unions are supported"
        )

    def validate(value: Any) -> Any:
        return None if value is None else inner_validators[0](value)

    return validate


def _build_list_validator(hint: Any) -> Validator:
    item_validator = _build_validator(hint)

    def validate(value: Any) -> list[Any]:
        if type(value) is not list:
            raise _MismatchError("not a list")
        return [item_validator(item) for item in value]

    return validate


def _build_record_validator(record_type: type) -> Validator:
    """Returns a validator of a nested dataclass, encoded as a list of values.

    The validator accepts both forms: the dataclass instance when a message is
    encoded, and the list when it is decoded.
    """
    validators = _build_field_validators(record_type)

    def validate(value: Any) -> Any:
        if isinstance(value, record_type):
            return [
                item_validator(getattr(value, name))
                for name, item_validator in validators.items()
            ]
        if type(value) is not list or len(value) != len(validators):
            raise _MismatchError(f"not a {record_type.__name__}")
        items = zip(validators.items(), value, strict=True)
        return record_type(
            **{
                name: item_validator(item)
                for (name, item_validator), item in items
            }
        )

    return validate


def _validate_int(value: Any) -> int:
    if isinstance(value, enum.Enum) or type(value) is not int:
        raise _MismatchError("not an integer")
    if not const.MIN_INTEGER <= value <= const.MAX_INTEGER:
        raise _MismatchError("integer out of range")
    return value


def _validate_float(value: Any) -> float:
    if type(value) not in (int, float):
        raise _MismatchError("not a number")
    try:
        number = float(value)
    except OverflowError:
        raise _MismatchError("number out of range") from None
    # Infinity is valid: it is the age of a document that was never confirmed.
    # NaN is not, because every comparison with it is false.
    if math.isnan(number):
        raise _MismatchError("not a number")
    return number


def _validate_bool(value: Any) -> bool:
    if type(value) is not bool:
        raise _MismatchError("not a boolean")
    return value


def _validate_str(value: Any) -> str:
    if type(value) is not str:
        raise _MismatchError("not a string")
    return value


def _validate_bytes(value: Any) -> bytes:
    if type(value) is not bytes:
        raise _MismatchError("not a byte string")
    return value


def _validate_untyped_map(value: Any) -> dict[str, Any]:
    if type(value) is not dict:
        raise _MismatchError("not a map")
    return _validate_untyped_value(value)


def _validate_untyped_value(value: Any) -> Any:
    if type(value) is dict:
        if not all(type(key) is str for key in value):
            raise _MismatchError("a key is not a string")
        return {
            key: _validate_untyped_value(item) for key, item in value.items()
        }
    if type(value) in (list, tuple):
        return [_validate_untyped_value(item) for item in value]
    if value is None or type(value) in (bool, int, float, str, bytes):
        return value
    raise _MismatchError(f"{type(value).__name__} is not a plain value")


_SCALAR_VALIDATORS: dict[Any, Validator] = {
    int: _validate_int,
    float: _validate_float,
    bool: _validate_bool,
    str: _validate_str,
    bytes: _validate_bytes,
}
