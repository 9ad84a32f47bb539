"""Faults found in a document or in a settings file."""

import dataclasses
import enum


class FaultReason(enum.Enum):
    """Kind of rule that a value violates."""

    SYNTAX = "syntax"
    TOO_LARGE = "too large"
    MISSING = "missing"
    UNKNOWN_FIELD = "unknown field"
    WRONG_TYPE = "wrong type"
    INVALID_VALUE = "invalid value"
    OUT_OF_RANGE = "out of range"
    DUPLICATE = "duplicate"
    UNKNOWN_REFERENCE = "unknown reference"
    CONFLICT = "conflict"
    RESERVED = "reserved address"
    NOT_RETIRED = "address not retired"
    STALE_VERSION = "version"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """Fault of one value of a document.

    Attributes:
        path: Path of the value, such as `services[2].endpoints[0].weight`.
        reason: Kind of rule that the value violates.
        detail: Explanation for operators.
    """

    path: str
    reason: FaultReason
    detail: str

    def __str__(self) -> str:
        """Returns the fault as one line."""
        return (
            f"{self.path or '(document)'}: {self.reason.value}: {self.detail}"
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingsFault:
    """Fault of a settings file.

    Attributes:
        section: Section of the file; empty for the file as a whole.
        key: Key in the section; empty for the section as a whole.
        reason: Kind of rule that the value violates.
        detail: Explanation for operators; never contains a secret value.
    """

    section: str
    key: str
    reason: FaultReason
    detail: str

    def __str__(self) -> str:
        """Returns the fault as one line."""
        location = f"[{self.section}]" if self.section else "(file)"
        if self.key:
            location = f"{location} {self.key}"
        return f"{location}: {self.reason.value}: {self.detail}"
