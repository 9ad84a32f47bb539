"""Store of the current document and of the latest differences for peers."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math
from typing import Any

from chivedoor import ids
from chivedoor.configuration import checks
from chivedoor.configuration import const
from chivedoor.configuration import difference as differences
from chivedoor.configuration import document as documents
from chivedoor.configuration import exceptions
from chivedoor.configuration import faults


class DocumentStore:
    """Current document, the latest differences and the last confirmation.

    Versions only increase. A confirmation states that the current version was
    the newest one at some time; its age determines whether packets may be sent
    to targets. All times are in seconds; `now` is monotonic.

    Attributes:
        rejections: Number of rejected documents by reason; a document that has
            faults of several kinds counts once for each kind.
        accepted: Number of accepted documents.
    """

    def __init__(self) -> None:
        self.rejections: collections.Counter[faults.FaultReason] = (
            collections.Counter()
        )
        self.accepted = 0
        self._document: documents.Document | None = None
        self._confirmed_at = -math.inf
        self._differences: collections.deque[differences.Difference] = (
            collections.deque(maxlen=const.MAX_STORED_DIFFERENCES)
        )

    @property
    def document(self) -> documents.Document | None:
        """Current document; None before the first one is accepted."""
        return self._document

    @property
    def version(self) -> ids.Version:
        """Version of the current document; 0 if there is none."""
        if self._document is None:
            return ids.Version(0)
        return self._document.version

    def accept(
        self,
        document: documents.Document,
        now: float,
        *,
        wall_clock_s: float,
        confirmed_age_s: float = math.inf,
    ) -> None:
        """Checks a document and makes it the current one.

        This never increases the age of the confirmation: the new document is
        newer than one that was confirmed.

        Args:
            document: Document with a higher version than the current one.
            now: Monotonic time in seconds.
            wall_clock_s: Wall-clock time, in seconds of the Unix epoch.
            confirmed_age_s: Time since the document was known to be the newest
                one; 0 when it comes from the platform, the peer's
                `confirmed_age` when it comes from a peer.

        Raises:
            exceptions.DocumentError: The document is rejected and counted; the
                current one stays.
        """
        found = checks.check_document(
            document,
            self._document,
            wall_clock_s=wall_clock_s,
            previous_confirmed_age_s=self.confirmed_age(now),
        )
        if found:
            self._count_rejection(found)
            raise exceptions.DocumentError(faults=found)
        if self._document is not None:
            self._differences.append(
                differences.compare_documents(self._document, document)
            )
        self._document = document
        self.accepted += 1
        self.confirm(document.version, confirmed_age_s, now)

    def accept_data(
        self,
        data: bytes,
        now: float,
        *,
        wall_clock_s: float,
        confirmed_age_s: float = math.inf,
    ) -> None:
        """Parses a document and accepts it, as `accept` does.

        Raises:
            exceptions.DocumentError: The text has faults, or the document is
                rejected. Either is counted.
        """
        try:
            document = documents.parse_document(data)
        except exceptions.DocumentError as error:
            self._count_rejection(error.faults)
            raise
        self.accept(
            document,
            now,
            wall_clock_s=wall_clock_s,
            confirmed_age_s=confirmed_age_s,
        )

    def accept_differences(
        self,
        received: Iterable[differences.Difference],
        now: float,
        *,
        wall_clock_s: float,
        confirmed_age_s: float = math.inf,
    ) -> None:
        """Applies a peer's differences and accepts the resulting document.

        Args:
            received: Differences in the order of their versions; those that
                lead to the current version or an older one are skipped.
            now: Monotonic time in seconds.
            wall_clock_s: Wall-clock time, in seconds of the Unix epoch.
            confirmed_age_s: The peer's `confirmed_age`.

        Raises:
            exceptions.BaseVersionError: The differences are not based on the
                current version; the whole document is needed.
            exceptions.DocumentError: The resulting document is rejected.
        """
        document = self._document
        for difference in received:
            if document is None:
                raise exceptions.BaseVersionError(
                    expected=difference.from_version, found=0
                )
            if difference.to_version > document.version:
                document = differences.apply_difference(document, difference)
        if document is not None and document.version > self.version:
            self.accept(
                document,
                now,
                wall_clock_s=wall_clock_s,
                confirmed_age_s=confirmed_age_s,
            )

    def get_differences(
        self, from_version: int
    ) -> Sequence[differences.Difference] | None:
        """Returns the differences that bring a peer to the current version.

        Args:
            from_version: Version that the peer has.

        Returns:
            Differences in the order of their versions, empty when the peer has
            the current version or a newer one; None when the peer needs the
            whole document.
        """
        if from_version >= self.version:
            return ()
        chain = tuple(
            itertools.dropwhile(
                lambda difference: difference.from_version != from_version,
                self._differences,
            )
        )
        return chain or None

    def confirm(self, version: int, confirmed_age_s: float, now: float) -> None:
        """Records that a version was known to be the newest one.

        Confirmations of other versions than the current one are ignored, and so
        are those older than the last one or with an invalid age.

        Args:
            version: Version that was the newest one.
            confirmed_age_s: Time since the version was the newest one; 0 when
                the platform has just reported it.
            now: Monotonic time in seconds.
        """
        if self._document is None or version != self.version:
            return
        if not confirmed_age_s >= 0:
            return
        self._confirmed_at = max(self._confirmed_at, now - confirmed_age_s)

    def confirmed_age(self, now: float) -> float:
        """Returns the time since the last confirmation; infinite if none."""
        return max(0.0, now - self._confirmed_at)

    def may_send(self, now: float) -> bool:
        """Returns whether packets may be sent to targets.

        When the confirmation is older than the reuse delay, a newer document
        may have assigned an address to another service.
        """
        if self._document is None:
            return False
        return self.confirmed_age(now) <= self._document.reuse_delay_s

    def dump_state(self) -> dict[str, Any]:
        """Returns the state as plain values for the `dump` command."""
        return {
            "version": self.version,
            "accepted": self.accepted,
            "refusals": {
                reason.value: count for reason, count in self.rejections.items()
            },
            "confirmed_at_s": (
                self._confirmed_at
                if math.isfinite(self._confirmed_at)
                else None
            ),
            "differences": [
                [difference.from_version, difference.to_version]
                for difference in self._differences
            ],
        }

    def _count_rejection(self, found: Sequence[faults.Fault]) -> None:
        self.rejections.update({fault.reason for fault in found})
