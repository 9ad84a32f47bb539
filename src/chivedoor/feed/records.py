"""Keys and values as the store holds them, not decoded."""

import dataclasses

from chivedoor import ids


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """A key that was written or removed.

    Attributes:
        key: The key.
        value: The value; None when the key was removed.
        revision: The revision of this change.
    """

    key: str
    value: bytes | None
    revision: ids.Revision


@dataclasses.dataclass(slots=True, kw_only=True)
class Page:
    """A part of all keys, in their order.

    Attributes:
        records: The records of the page.
        revision: The store's revision when it was read.
        has_more: Whether further pages follow.
    """

    records: tuple[Record, ...]
    revision: ids.Revision
    has_more: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class Batch:
    """Records read together.

    Attributes:
        records: The records, oldest first.
        revision: The store's revision that the batch reaches.
        complete: Whether the batch holds all keys, not only changes.
    """

    records: tuple[Record, ...]
    revision: ids.Revision
    complete: bool
