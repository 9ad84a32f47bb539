"""Observation of transfers, to tell slow links from silent senders."""

from collections.abc import Callable
import dataclasses
import enum


class TransferKind(enum.Enum):
    """What was transferred."""

    RESPONSE = "response"
    FRAME_RECEIVED = "frame-received"
    FRAME_SENT = "frame-sent"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Transfer:
    """A transfer that ended.

    Attributes:
        kind: What was transferred.
        host: The address of the other side.
        size_bytes: Number of bytes that were transferred.
        duration_s: Time from the first byte to the end, in seconds.
        complete: Whether all bytes were transferred.
    """

    kind: TransferKind
    host: str
    size_bytes: int
    duration_s: float
    complete: bool


Observer = Callable[[Transfer], None]


def ignore_transfer(transfer: Transfer) -> None:
    """Observes nothing."""
