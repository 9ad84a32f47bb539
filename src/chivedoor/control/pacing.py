"""Rate limit for channel messages, based on the byte budget."""

import functools
from typing import Any

from chivedoor.control import budget as budget_module
from chivedoor.control import messages
from chivedoor.rpc import const

Priority = budget_module.Priority


@functools.singledispatch
def classify_message(message: Any) -> Priority:
    """Returns the control traffic class of a message."""
    return Priority.MODES


@classify_message.register
def _(message: messages.DocumentReply) -> Priority:
    return Priority.DOCUMENTS


@classify_message.register
def _(message: messages.FlowsReply) -> Priority:
    is_complete_set = message.base is None
    return Priority.CONNECTIONS if is_complete_set else Priority.OVERRIDES


class Pacer:
    """Takes the bytes of messages from a budget in small chunks.

    Taking all bytes of a large message at once would overdraw the budget and
    delay probes until it is refilled.
    """

    def __init__(self, budget: budget_module.ByteBudget) -> None:
        self._budget = budget

    async def async_pace(self, message: Any, size_bytes: int) -> None:
        """Waits until a message may be sent.

        Args:
            message: The message, which determines the traffic class.
            size_bytes: Size of the payload, without headers.
        """
        priority = classify_message(message)
        remaining_bytes = size_bytes + const.FRAME_OVERHEAD_BYTES
        while remaining_bytes > 0:
            chunk_bytes = min(remaining_bytes, const.PACING_CHUNK_BYTES)
            await self._budget.async_spend(priority, chunk_bytes)
            remaining_bytes -= chunk_bytes
