"""Strict reading of JSON values that collects all faults."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import json
import math
import socket
from typing import Any
from typing import Final
from typing import TypeVar

from chivedoor.configuration import const
from chivedoor.configuration import faults

Choice = TypeVar("Choice", bound=enum.Enum)
Value = TypeVar("Value")

FaultReason = faults.FaultReason

# Object keys and list indices that lead to a value. Paths are formatted only
# for faults, because formatting takes as long as reading the value.
Path = tuple[str | int, ...]

ROOT: Final[Path] = ()

# Longer keys of malformed documents are cut off in faults; they do not help
# operators.
MAX_SHOWN_KEY_CHARACTERS: Final = 80


class JsonObject(dict[str, Any]):
    """JSON object that records the keys which occur more than once."""

    __slots__ = ("repeated_keys",)

    def __init__(self, pairs: Sequence[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        self.repeated_keys: tuple[str, ...] = ()
        if len(self) != len(pairs):
            self.repeated_keys = tuple(
                _find_repeated_keys(key for key, _ in pairs)
            )


class Record:
    """Named values of an object or list, with its path.

    An absent value is read as None. `FieldReader` adds a fault for it when it
    opens the object or list, and no second one when the value is read.
    """

    __slots__ = ("_content", "path")

    def __init__(self, *, content: Mapping[str, Any], path: Path) -> None:
        self._content = content
        self.path = path

    def read(
        self, name: str, read: Callable[..., Value], *arguments: Any
    ) -> Value | None:
        """Returns a value, read by a method of `FieldReader`."""
        if name not in self._content:
            return None
        return read(self._content[name], (*self.path, name), *arguments)

    def list_entries(self) -> Iterator[tuple[str, Path, Any]]:
        """Yields name, path and value of each entry."""
        for name, value in self._content.items():
            yield name, (*self.path, name), value


class ConstantError(ValueError):
    """JSON text contains NaN or an infinity, which JSON does not define."""


def load_json(data: bytes | str) -> Any:
    """Parses JSON text, rejecting the extensions that Python accepts.

    Args:
        data: UTF-8 text.

    Returns:
        The value; every object in it is a `JsonObject`.

    Raises:
        ValueError: The text is not UTF-8 or not JSON.
        RecursionError: The value is nested too deeply.
    """
    text = data if isinstance(data, str) else bytes(data).decode("utf-8")
    return json.loads(
        text,
        object_pairs_hook=JsonObject,
        parse_constant=_reject_constant,
    )


def format_path(path: Path) -> str:
    """Returns a path as text, such as `services[2].ports`."""
    parts: list[str] = []
    for key in path:
        if isinstance(key, int):
            parts.append(f"[{key}]")
            continue
        is_plain = const.ID_PATTERN.fullmatch(key) is not None
        text = key if is_plain else json.dumps(key)[:MAX_SHOWN_KEY_CHARACTERS]
        parts.append(f".{text}" if parts else text)
    return "".join(parts)


class FieldReader:
    """Reads typed values and collects a fault for each invalid one.

    A method that reads a single value returns None after it added a fault, so
    that callers can continue and find the remaining faults.
    """

    def __init__(self) -> None:
        self.faults: list[faults.Fault] = []

    def add_fault(self, path: Path, reason: FaultReason, detail: str) -> None:
        """Adds a fault of the value at `path`."""
        fault = faults.Fault(
            path=format_path(path), reason=reason, detail=detail
        )
        self.faults.append(fault)

    def open_object(
        self,
        value: object,
        path: Path,
        names: Sequence[str] | None = None,
    ) -> Record:
        """Returns the record of an object; empty if the value is not one.

        Args:
            value: JSON value.
            path: Path of the value.
            names: Required keys, the only ones allowed; None allows any.
        """
        if not isinstance(value, JsonObject):
            self._add_type_fault(value, path, "an object")
            return Record(content={}, path=path)
        for key in value.repeated_keys:
            detail = "the key appears more than once"
            self.add_fault((*path, key), FaultReason.DUPLICATE, detail)
        if names is not None:
            self._check_keys(value, path, names)
        return Record(content=value, path=path)

    def open_row(
        self, value: object, path: Path, names: Sequence[str]
    ) -> Record:
        """Returns the record of a list that has one item for each name."""
        if not isinstance(value, list):
            self._add_type_fault(value, path, "a list")
            return Record(content={}, path=path)
        if len(value) != len(names):
            detail = f"expected {len(names)} items ({', '.join(names)})"
            self.add_fault(path, FaultReason.INVALID_VALUE, detail)
            return Record(content={}, path=path)
        return Record(content=dict(zip(names, value, strict=True)), path=path)

    def read_list(self, value: object, path: Path) -> list[Any]:
        """Returns a list; empty when the value is not a list."""
        if not isinstance(value, list):
            self._add_type_fault(value, path, "a list")
            return []
        return value

    def read_integer(
        self, value: object, path: Path, low: int, high: int
    ) -> int | None:
        """Returns an integer from `low` to `high`, inclusive."""
        if type(value) is not int:
            self._add_type_fault(value, path, "an integer")
            return None
        return self._check_range(value, path, low, high)

    def read_number(
        self, value: object, path: Path, low: float, high: float
    ) -> float | None:
        """Returns a number from `low` to `high`, inclusive."""
        if type(value) is not int and type(value) is not float:
            self._add_type_fault(value, path, "a number")
            return None
        if isinstance(value, float) and not math.isfinite(value):
            detail = "expected a finite number"
            self.add_fault(path, FaultReason.OUT_OF_RANGE, detail)
            return None
        return self._check_range(value, path, low, high)

    def read_boolean(self, value: object, path: Path) -> bool | None:
        """Returns a boolean."""
        if type(value) is not bool:
            self._add_type_fault(value, path, "true or false")
            return None
        return value

    def read_id(self, value: object, path: Path) -> str | None:
        """Returns an id of letters, digits, dots, dashes and underscores."""
        if not isinstance(value, str):
            self._add_type_fault(value, path, "a string")
            return None
        if not const.ID_PATTERN.fullmatch(value):
            detail = (
                "an id has 1 to 63 letters, digits, dots, dashes and"
                " underscores, and starts with a letter or digit"
            )
            self.add_fault(path, FaultReason.INVALID_VALUE, detail)
            return None
        return value

    def read_address(self, value: object, path: Path) -> bytes | None:
        """Returns an IPv4 or IPv6 address, packed."""
        if not isinstance(value, str):
            self._add_type_fault(value, path, "a string")
            return None
        packed = pack_address(value)
        if packed is None:
            detail = f"{value[:80]!r} is not an IPv4 or IPv6 address"
            self.add_fault(path, FaultReason.INVALID_VALUE, detail)
        return packed

    def read_choice(
        self, value: object, path: Path, choices: Mapping[str, Choice]
    ) -> Choice | None:
        """Returns the enum member for a string."""
        if not isinstance(value, str):
            self._add_type_fault(value, path, "a string")
            return None
        if value not in choices:
            detail = f"expected one of {', '.join(choices)}"
            self.add_fault(path, FaultReason.INVALID_VALUE, detail)
            return None
        return choices[value]

    def read_items(
        self,
        value: object,
        path: Path,
        read_item: Callable[[object, Path], Value | None],
        get_key: Callable[[Value], Hashable],
    ) -> tuple[Value, ...]:
        """Returns the valid items of a list.

        Args:
            value: JSON value.
            path: Path of the value.
            read_item: Reads the item at a path; returns None after a fault.
            get_key: Returns the key by which items must be unique.
        """
        items: dict[Hashable, Value] = {}
        for index, content in enumerate(self.read_list(value, path)):
            item_path = (*path, index)
            item = read_item(content, item_path)
            if item is None:
                continue
            key = get_key(item)
            if key in items:
                detail = "the list already has an entry with this key"
                self.add_fault(item_path, FaultReason.DUPLICATE, detail)
            items[key] = item
        return tuple(items.values())

    def _check_keys(
        self, value: Mapping[str, Any], path: Path, names: Sequence[str]
    ) -> None:
        for key in value:
            if key not in names:
                detail = f"allowed fields: {', '.join(names)}"
                self.add_fault((*path, key), FaultReason.UNKNOWN_FIELD, detail)
        for key in names:
            if key not in value:
                detail = "the field is required"
                self.add_fault((*path, key), FaultReason.MISSING, detail)

    def _check_range(
        self, value: Value, path: Path, low: float, high: float
    ) -> Value | None:
        if low <= value <= high:
            return value
        detail = f"expected {low} to {high}"
        self.add_fault(path, FaultReason.OUT_OF_RANGE, detail)
        return None

    def _add_type_fault(self, value: object, path: Path, expected: str) -> None:
        detail = f"expected {expected}, found {_describe_type(value)}"
        self.add_fault(path, FaultReason.WRONG_TYPE, detail)


def pack_address(text: str) -> bytes | None:
    """Returns an address as 4 or 16 bytes, or None when it is not valid."""
    family = socket.AF_INET6 if ":" in text else socket.AF_INET
    try:
        return socket.inet_pton(family, text)
    except (OSError, ValueError):
        return None


def unpack_address(address: bytes) -> str:
    """Returns the text form of a packed address of 4 or 16 bytes."""
    family = socket.AF_INET if len(address) == 4 else socket.AF_INET6
    return socket.inet_ntop(family, address)


def _find_repeated_keys(keys: Iterator[str]) -> Iterator[str]:
    seen: set[str] = set()
    for key in keys:
        if key in seen:
            yield key
        seen.add(key)


def _reject_constant(name: str) -> None:
    raise ConstantError(f"{name} is not a JSON value")


def _describe_type(value: object) -> str:
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "a boolean"
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    if isinstance(value, str):
        return "a string"
    return "a number"
