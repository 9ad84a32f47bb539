"""Read of all keys in pages."""

from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import records


class FullRead:
    """Collects the pages of a full read, which can resume after a failure.

    With thousands of keys, a full read takes many calls. When all balancers
    start at once and the store refuses some calls, a read that restarted after
    each refusal would hardly ever complete.

    Attributes:
        started_at: Time of the first call, in seconds. The pages are not a
            consistent snapshot, so the records are only known to be current as
            of this time.
        after: The last key read; the next page starts after it.
        transfer_s: How long the transfer of the pages took, in seconds.
    """

    def __init__(self, *, started_at: float) -> None:
        """Creates a full read without pages."""
        self.started_at = started_at
        self.after = ""
        self.transfer_s = 0.0
        self._pages: list[records.Page] = []

    def add(self, page: records.Page) -> bool:
        """Adds the next page; returns whether it was the last one.

        Raises:
            HistoryLostError: The store was restored since the first page.
            MalformedAnswerError: There are too many pages, or they are not in
                the order of their keys.
        """
        if self._pages and page.revision.era != self._pages[0].revision.era:
            raise exceptions.HistoryLostError("store restored between pages")
        self._pages.append(page)
        if len(self._pages) > const.MAX_PAGES:
            raise exceptions.MalformedAnswerError("too many pages")
        if not page.has_more or not page.records:
            return True
        last = page.records[-1].key
        if last <= self.after:
            raise exceptions.MalformedAnswerError("pages out of order")
        self.after = last
        return False

    def make_batch(self) -> records.Batch:
        """Returns all records, at the revision of the first page.

        Later changes are read again by the watch.
        """
        revision = (
            self._pages[0].revision if self._pages else records.NO_REVISION
        )
        return records.Batch(
            records=tuple(
                record for page in self._pages for record in page.records
            ),
            revision=revision,
            complete=True,
        )
