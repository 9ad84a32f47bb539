"""Links of limited bandwidth, shared by all connections of a VM."""

import asyncio
import dataclasses

# Time that a late wake-up may be made up for, so that it costs no bandwidth.
_MAX_BURST_S = 0.02


class Direction:
    """One direction of a link; passes bytes at a fixed rate."""

    def __init__(self, *, bytes_per_s: float) -> None:
        """Creates an idle direction."""
        self._bytes_per_s = bytes_per_s
        # Time by the event loop at which all bytes so far have passed.
        self._free_at = 0.0

    async def async_pass(self, size: int) -> None:
        """Waits until `size` bytes have passed, after those that came first."""
        now = asyncio.get_running_loop().time()
        self._free_at = (
            max(now - _MAX_BURST_S, self._free_at) + size / self._bytes_per_s
        )
        await asyncio.sleep(max(0.0, self._free_at - now))


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Link:
    """The link of a VM.

    Attributes:
        receiving: Direction towards the VM.
        sending: Direction away from the VM.
    """

    receiving: Direction
    sending: Direction


def make_link(mbps: float) -> Link:
    """Returns a link with the same bandwidth in both directions."""
    bytes_per_s = mbps * 1e6 / 8
    return Link(
        receiving=Direction(bytes_per_s=bytes_per_s),
        sending=Direction(bytes_per_s=bytes_per_s),
    )
