"""Repeated measurements of time and memory."""

from collections.abc import Callable
import gc
import statistics
import time
import tracemalloc
from typing import Any

RUNS = 5


def summarize(values: list[float], unit: str) -> dict[str, Any]:
    """Returns median, minimum, maximum and number of the values."""
    return {
        "median": _round(statistics.median(values)),
        "min": _round(min(values)),
        "max": _round(max(values)),
        "runs": len(values),
        "unit": unit,
    }


def measure_calls(
    call: Callable[[], object], *, calls: int, runs: int = RUNS
) -> dict[str, Any]:
    """Measures the processor time of one call in microseconds."""
    return summarize(
        [_time_calls(call, calls) / calls * 1e6 for _ in range(runs)], "us"
    )


def measure_prepared(
    prepare: Callable[[], Any],
    call: Callable[[Any], object],
    *,
    items: int = 1,
    runs: int = RUNS,
) -> dict[str, Any]:
    """Measures a call that needs new input each run, in us per item."""
    values = []
    for _ in range(runs):
        prepared = prepare()
        gc.collect()
        started_s = time.process_time()
        call(prepared)
        values.append((time.process_time() - started_s) / items * 1e6)
    return summarize(values, "us")


def measure_bytes(
    build: Callable[[], object], *, items: int = 1, runs: int = 3
) -> dict[str, Any]:
    """Measures the memory of a built object in bytes per item (tracemalloc)."""
    values = []
    for _ in range(runs):
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        retained = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        del retained
        values.append((after - before) / items)
    return summarize(values, "B")


def _time_calls(call: Callable[[], object], calls: int) -> float:
    started_s = time.process_time()
    for _ in range(calls):
        call()
    return time.process_time() - started_s


def _round(value: float) -> float:
    return float(f"{value:.5g}")
