"""Tests that declared events and metrics are written."""

import enum
import pathlib

import pytest

from chivedoor import edge
from chivedoor.edge import log_writer
from chivedoor.edge import metrics
from standins import processes


@pytest.mark.parametrize(
    "declared",
    [
        log_writer.EventType,
        metrics.Counter,
        metrics.Gauge,
        metrics.Timing,
    ],
)
def test_each_declared_name_is_written(declared: type[enum.Enum]) -> None:
    """Guards against documented lines and metrics that never appear."""
    source = "".join(
        path.read_text() for path in pathlib.Path(edge.__path__[0]).glob("*.py")
    )
    unused = [
        member.name
        for member in declared
        if f"{declared.__name__}.{member.name}" not in source
    ]
    assert not unused


@pytest.mark.parametrize(
    ("declared", "pattern"),
    [
        (log_writer.EventType, "`{}`"),
        (metrics.Counter, "`chivedoor_{}_total`"),
        (metrics.Gauge, "`chivedoor_{}`"),
        (metrics.Timing, "`chivedoor_{}_seconds`"),
    ],
)
def test_each_name_is_documented(
    declared: type[enum.Enum], pattern: str
) -> None:
    """Guards against lines and metrics that operators cannot look up."""
    page = (processes.ROOT / "docs" / "OPERATIONS.md").read_text()
    assert not [
        member.value
        for member in declared
        if pattern.format(member.value) not in page
    ]
