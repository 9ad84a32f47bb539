"""The interface through which messages wait for their turn."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

# Waits until a message of some payload bytes may be sent.
Pace = Callable[[Any, int], Awaitable[None]]


async def async_send_freely(message: Any, size_bytes: int) -> None:
    """Paces nothing; for interfaces without a budget."""
