"""Settings and fixtures shared by all tests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib

import hypothesis
import pytest

from tests import known_red

# Every run uses the same examples, and no result depends on timing.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture
def examples_path() -> pathlib.Path:
    """Path of the example documents and settings."""
    return pathlib.Path(__file__).parent.parent / "examples"


@pytest.fixture
def async_wait_until() -> Callable[[Callable[[], bool]], Awaitable[None]]:
    """Function that waits for a condition; the timeout only ends hung tests."""

    async def async_wait(condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(60):
            while not condition():
                await asyncio.sleep(0.001)

    return async_wait


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests listed in KNOWN-RED.txt as expected failures."""
    listed = {entry.test: entry for entry in known_red.load_entries()}
    for item in items:
        if item.nodeid in listed:
            reason = f"KNOWN-RED: {listed[item.nodeid].seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the listed entries, and listed tests that pass."""
    for entry in known_red.load_entries():
        terminalreporter.write_line(
            f"KNOWN-RED: {entry.test} (issue {entry.issue}): {entry.seen}"
        )
    for report in terminalreporter.getreports("xpassed"):
        terminalreporter.write_line(f"KNOWN-RED passes now: {report.nodeid}")
