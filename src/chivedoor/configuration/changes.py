"""Lists the changes between two documents for operators."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import json
from typing import Any

from chivedoor.configuration import document as documents
from chivedoor.configuration import encoding
from chivedoor.configuration import fields


class ChangeKind(enum.Enum):
    """Kind of a change."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Change of one value.

    Attributes:
        path: Path of the value, with names instead of list positions, such as
            `services.listening.endpoints.3.weight`.
        kind: Kind of the change.
        old: JSON value in the older document; None when it was added.
        new: JSON value in the newer document; None when it was removed.
    """

    path: str
    kind: ChangeKind
    old: Any
    new: Any

    def __str__(self) -> str:
        """Returns the change as one line."""
        if self.kind is ChangeKind.CHANGED:
            detail = f"{json.dumps(self.old)} -> {json.dumps(self.new)}"
        else:
            value = self.new if self.kind is ChangeKind.ADDED else self.old
            detail = f"{self.kind.value} {json.dumps(value)}"
        return f"{self.path}: {detail}"


def list_changes(
    old: documents.Document, new: documents.Document
) -> list[Change]:
    """Returns all changes from one document to another, by section."""
    return list(
        _compare_values(
            "", _build_keyed_document(old), _build_keyed_document(new)
        )
    )


def _build_keyed_document(document: documents.Document) -> dict[str, Any]:
    """Returns a document as nested objects, with lists keyed by name."""
    return {
        "version": document.version,
        "reuse_delay_s": document.reuse_delay_s,
        "regions": encoding.format_regions(document.domains.values()),
        "policies": {
            policy.id: encoding.format_policy(policy)
            for policy in document.policies.values()
        },
        "services": {
            service.id: _build_keyed_service(service)
            for service in document.services.values()
        },
        "retired": {
            f"{fields.unpack_address(entry.address)} {entry.service}": (
                entry.until_s
            )
            for entry in document.retired
        },
    }


def _build_keyed_service(service: documents.Service) -> dict[str, Any]:
    value = encoding.format_service(service)
    return {
        "addresses": value["addresses"],
        "policy": value["policy"],
        "ports": {
            f"{row[0]}/{row[1]}": dict(
                zip(documents.PORT_COLUMNS, row, strict=True)
            )
            for row in value["ports"]
        },
        "endpoints": {
            str(row[0]): dict(zip(documents.ENDPOINT_COLUMNS, row, strict=True))
            for row in value["endpoints"]
        },
    }


def _compare_values(path: str, old: Any, new: Any) -> Iterator[Change]:
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for key in dict.fromkeys([*old, *new]):
            yield from _compare_key(path, key, old, new)
    elif old != new:
        yield Change(path=path, kind=ChangeKind.CHANGED, old=old, new=new)


def _compare_key(
    path: str, key: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Change]:
    entry_path = f"{path}.{key}" if path else key
    if key not in old:
        yield Change(
            path=entry_path, kind=ChangeKind.ADDED, old=None, new=new[key]
        )
    elif key not in new:
        yield Change(
            path=entry_path, kind=ChangeKind.REMOVED, old=old[key], new=None
        )
    else:
        yield from _compare_values(entry_path, old[key], new[key])
