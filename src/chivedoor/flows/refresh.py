"""Selection of the established packets that renew a flow's record."""

from chivedoor import ids
from chivedoor.flows import const

_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK_64 = (1 << 64) - 1
_SLOT_SHIFT = 64 - (const.REFRESH_SLOTS - 1).bit_length()
_MARK_COUNT = 255


class RefreshFilter:
    """Selects one packet of a long flow in each time window for the owner.

    A flow counts as long when its slot was already marked in the previous
    window, so packets of short flows are not selected. A fixed array with one
    byte per slot limits the memory use and the number of selected packets.
    Flows can share a slot. Each receiver therefore hashes keys with its own
    salt, so that another receiver renews such a flow.
    """

    def __init__(self, *, salt: int, window_s: float) -> None:
        self._multiplier = (_HASH_MULTIPLIER ^ salt) & _MASK_64 | 1
        self._window_s = window_s
        self._slots = bytearray(const.REFRESH_SLOTS)

    def is_due(self, key: ids.FlowKey, now: float) -> bool:
        """Returns whether a packet of a flow should renew the record now."""
        window = int(now / self._window_s)
        mark = window % _MARK_COUNT + 1
        slot = (key * self._multiplier & _MASK_64) >> _SLOT_SHIFT
        last = self._slots[slot]
        if last == mark:
            return False
        self._slots[slot] = mark
        return last == (window - 1) % _MARK_COUNT + 1
