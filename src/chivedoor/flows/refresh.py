"""Which packets of established flows renew their owner's record."""

from chivedoor import ids
from chivedoor.flows import const

_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK_64 = (1 << 64) - 1
_SLOT_SHIFT = 64 - (const.REFRESH_SLOTS - 1).bit_length()
_MARK_COUNT = 255


class RefreshFilter:
    """Lets one packet of a long flow pass to the owner in each time window.

    A flow is long when its slot was marked in the window before, so the
    packets of short flows never pass. A fixed array of one byte a slot
    bounds the memory and the packets that pass. Two flows can share a slot;
    each receiver mixes keys in its own way, so that another receiver renews
    such a flow.
    """

    def __init__(self, *, salt: int, window_s: float) -> None:
        self._multiplier = (_HASH_MULTIPLIER ^ salt) & _MASK_64 | 1
        self._window_s = window_s
        self._slots = bytearray(const.REFRESH_SLOTS)

    def is_due(self, key: ids.FlowKey, now: float) -> bool:
        """Returns whether a flow's packet shall renew its record now."""
        window = int(now / self._window_s)
        mark = window % _MARK_COUNT + 1
        slot = (key * self._multiplier & _MASK_64) >> _SLOT_SHIFT
        last = self._slots[slot]
        if last == mark:
            return False
        self._slots[slot] = mark
        return last == (window - 1) % _MARK_COUNT + 1
