"""A reading of all keys, page by page."""

from chivedoor import ids
from chivedoor.feed import const
from chivedoor.feed import exceptions
from chivedoor.feed import records


class FullRead:
    """Gathers pages; one that failed is read again alone.

    With thousands of keys a full read takes many calls. When all balancers
    start at once and the store refuses some calls, a read that began anew with
    each refusal would hardly ever end.

    Attributes:
        started_at: Time of the first call, in seconds. The pages are no
            snapshot, so nothing newer than this is known for certain.
        after: The key after which the next page begins.
    """

    def __init__(self, *, started_at: float) -> None:
        """Creates a reading without pages."""
        self.started_at = started_at
        self.after = ""
        self._pages: list[records.Page] = []

    def add(self, page: records.Page) -> bool:
        """Takes the next page; returns whether it was the last one.

        Raises:
            MalformedAnswerError: The pages have no end.
        """
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

        Changes since then are read again from the watch.
        """
        revision = self._pages[0].revision if self._pages else ids.Revision(0)
        return records.Batch(
            records=tuple(
                record for page in self._pages for record in page.records
            ),
            revision=revision,
            complete=True,
        )
