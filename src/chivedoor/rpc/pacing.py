"""The interface through which messages wait for their turn."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

# Waits until a message of some payload bytes may be sent.
PaceFunction = Callable[[Any, int], Awaitable[None]]


async def async_skip_pacing(message: Any, size_bytes: int) -> None:
    """Paces nothing; for interfaces without a budget."""
