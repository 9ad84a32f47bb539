"""Settings and fixtures that all tests share."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib

import hypothesis
import pytest

# The same examples in every run, and no verdict that depends on speed.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture
def examples_path() -> pathlib.Path:
    """The directory of the example documents and settings."""
    return pathlib.Path(__file__).parent.parent / "examples"


@pytest.fixture
def async_wait_until() -> Callable[[Callable[[], bool]], Awaitable[None]]:
    """Waits on a condition; the limit only stops a test that hangs."""

    async def async_wait(condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(60):
            while not condition():
                await asyncio.sleep(0.001)

    return async_wait
