"""The newest record of each key."""

from collections.abc import Iterable
import itertools

from chivedoor import ids
from chivedoor.feed import records


class RecordTable:
    """Merges batches that may be old, repeated or out of order.

    Attributes:
        revision: The store's revision that the table has reached, 0 before
            the first batch.
    """

    def __init__(self) -> None:
        self.revision = ids.Revision(0)
        self._records: dict[str, records.Record] = {}
        # Removed keys, so that an older batch does not bring them back.
        self._removals: dict[str, ids.Revision] = {}

    def merge(self, batch: records.Batch) -> list[records.Record]:
        """Takes over what is newer; returns the records that changed."""
        incoming: Iterable[records.Record] = batch.records
        if batch.complete:
            incoming = itertools.chain(incoming, self._list_missing(batch))
        changed = [record for record in incoming if self._take(record)]
        self.revision = max(self.revision, batch.revision)
        return changed

    def list_records(self) -> tuple[records.Record, ...]:
        """Returns the present records."""
        return tuple(self._records.values())

    def make_batch(self) -> records.Batch:
        """Returns everything as one complete batch."""
        return records.Batch(
            records=self.list_records(), revision=self.revision, complete=True
        )

    def _take(self, record: records.Record) -> bool:
        known = self._records.get(record.key)
        newest = known.revision if known else self._removals.get(record.key, 0)
        # A complete batch removes a key at the revision of its last change or
        # later, so a removal wins over an equal revision.
        removal = record.value is None
        if record.revision < newest + (0 if removal else 1):
            return False
        if removal:
            self._records.pop(record.key, None)
            self._removals[record.key] = record.revision
            return known is not None
        self._removals.pop(record.key, None)
        self._records[record.key] = record
        return known is None or known.value != record.value

    def _list_missing(self, batch: records.Batch) -> list[records.Record]:
        present = {record.key for record in batch.records}
        return [
            records.Record(key=key, value=None, revision=batch.revision)
            for key, record in self._records.items()
            if key not in present and record.revision <= batch.revision
        ]
