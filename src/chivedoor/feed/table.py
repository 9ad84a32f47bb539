"""Table of the latest record of each key."""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools

from chivedoor.feed import const
from chivedoor.feed import records


def _drop_replaced(
    batch_records: Sequence[records.Record],
) -> Iterable[records.Record]:
    """Returns records without the values that later ones replace.

    Decoding each of many large values would take longer than reading them.
    """
    newest = {record.key: index for index, record in enumerate(batch_records)}
    return [
        record
        for index, record in enumerate(batch_records)
        if record.value is None or newest[record.key] == index
    ]


class RecordTable:
    """Merges batches that may be outdated, duplicated or out of order.

    Attributes:
        revision: The store revision of the table.
    """

    def __init__(self) -> None:
        self.revision = records.NO_REVISION
        self._records: dict[str, records.Record] = {}
        # Revisions of removed keys, oldest first. They keep older batches from
        # restoring the keys and are sent to subscribers that lag behind.
        self._removals: dict[str, records.Revision] = {}
        # Newest revision among the removals that are no longer kept.
        self._newest_dropped_removal = records.NO_REVISION

    def merge(self, batch: records.Batch) -> list[records.Record]:
        """Applies newer records; returns the records that changed.

        A batch of a former era changes nothing: keys that only it has were lost
        in the restoration, and no removal of them follows.
        """
        if batch.revision.era < self.revision.era:
            return []
        incoming = _drop_replaced(batch.records)
        if batch.complete:
            incoming = itertools.chain(incoming, self._list_missing(batch))
        changed = [record for record in incoming if self._apply(record)]
        self.revision = max(self.revision, batch.revision)
        return changed

    def list_since(self, revision: records.Revision) -> records.Batch:
        """Returns the changes after a revision.

        The batch is complete if not all removals since then are known, or if
        the store was restored since then: the restored store may lack keys
        that were never read here.
        """
        complete = (
            revision <= self._newest_dropped_removal
            or revision.era < self.revision.era
        )
        present = (
            record
            for record in self._records.values()
            if complete or record.revision > revision
        )
        removed = (
            records.Record(key=key, value=None, revision=at)
            for key, at in self._removals.items()
            if at > revision and not complete
        )
        return records.Batch(
            records=tuple(itertools.chain(present, removed)),
            revision=self.revision,
            complete=complete,
        )

    def find_large_values(self) -> dict[str, bytes]:
        """Returns the values that are sent as differences, by key."""
        return {
            key: record.value
            for key, record in self._records.items()
            if record.value is not None
            and len(record.value) >= const.LARGE_VALUE_BYTES
        }

    def _apply(self, record: records.Record) -> bool:
        known = self._records.get(record.key)
        newest = (
            known.revision
            if known
            else self._removals.get(record.key, records.NO_REVISION)
        )
        if record.value is None:
            return self._remove(record, known)
        if record.revision <= newest:
            return False
        self._removals.pop(record.key, None)
        self._records[record.key] = record
        return known is None or known.value != record.value

    def _remove(
        self, record: records.Record, known: records.Record | None
    ) -> bool:
        # A key that is missing from a complete batch was removed at the
        # revision of its last change or later, so a removal with an equal
        # revision is accepted.
        if known is not None and record.revision < known.revision:
            return False
        self._records.pop(record.key, None)
        former = self._removals.pop(record.key, records.NO_REVISION)
        self._removals[record.key] = max(former, record.revision)
        if len(self._removals) > const.MAX_REMOVALS:
            key = next(iter(self._removals))
            self._newest_dropped_removal = max(
                self._newest_dropped_removal, self._removals.pop(key)
            )
        return known is not None

    def _list_missing(self, batch: records.Batch) -> list[records.Record]:
        present = {record.key for record in batch.records}
        return [
            records.Record(key=key, value=None, revision=batch.revision)
            for key, record in self._records.items()
            if key not in present and record.revision <= batch.revision
        ]
