"""Keys and raw values of the store."""

import dataclasses
import enum
from typing import Final

from chivedoor import ids


class Feed(enum.Enum):
    """Part of the store that is read and confirmed on its own.

    A large configuration delays no change of an endpoint.
    """

    ENDPOINTS = "endpoints"
    # Also the failure domains that are taken out.
    CONFIGURATION = "configuration"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True, order=True)
class Revision:
    """Point in the history of the store; later ones are greater.

    A store that is restored from a copy gives numbers out again, so that
    numbers can be compared within an era only.

    Attributes:
        era: Number of times that the store was restored.
        number: Number of the last change, 0 before the first one.
    """

    era: ids.Era
    number: int


# Revision before the first read of the store.
NO_REVISION: Final = Revision(era=ids.Era(0), number=0)


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """A key that was written or removed.

    Attributes:
        key: The key.
        value: The value; None when the key was removed.
        revision: The store revision of this change.
    """

    key: str
    value: bytes | None
    revision: Revision


@dataclasses.dataclass(slots=True, kw_only=True)
class Page:
    """A page of all records, in the order of their keys.

    Attributes:
        records: The records of the page.
        revision: The store revision when the page was read.
        has_more: Whether more pages follow.
    """

    records: tuple[Record, ...]
    revision: Revision
    has_more: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class Batch:
    """Records that were read together.

    Attributes:
        records: The records, oldest first.
        revision: The store revision that the batch reaches.
        complete: Whether the batch holds all keys instead of changes only.
    """

    records: tuple[Record, ...]
    revision: Revision
    complete: bool
