"""Interface for pacing outgoing messages."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

# Waits until a message with a payload of the given size may be sent.
PaceFunction = Callable[[Any, int], Awaitable[None]]


async def async_skip_pacing(message: Any, size_bytes: int) -> None:
    """Returns immediately; used by interfaces without a byte budget."""
