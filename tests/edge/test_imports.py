"""Tests of the startup imports, which determine the restart time."""

import resource
import subprocess
import sys

from standins import processes

# Libraries that the packet path does not need; see docs/why.md.
HEAVY_LIBRARIES = (
    "aiohttp",
    "aioprometheus",
    "cappa",
    "eliot",
    "prometheus_client",
)
MAX_RESIDENT_KB = 20 * 1024
MAX_CPU_S = 0.15


def run_python(code: str) -> str:
    completed = subprocess.run(
        [sys.executable, "-S", "-c", code],
        env={"PYTHONPATH": ":".join([str(processes.ROOT / "src"), *sys.path])},
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout


def test_startup_imports_no_heavy_library() -> None:
    """Guards against an import that makes every restart slower."""
    loaded = run_python(
        "import sys; sys.modules['ssl'] = None;"
        "import chivedoor.edge.__main__, chivedoor.edge.process;"
        "print(*sys.modules)"
    ).split()
    assert not set(HEAVY_LIBRARIES) & set(loaded)
    # The packages of chivedoord, whose balancers own flows, are not needed
    # either.
    assert not [
        name
        for name in loaded
        if name.startswith(
            ("chivedoor.balancer", "chivedoor.flows", "chivedoor.membership")
        )
    ]


def test_startup_memory_is_bounded() -> None:
    """Guards against higher memory use on every VM."""
    child_peak_kb = run_python(
        "import sys, resource; sys.modules['ssl'] = None;"
        "import chivedoor.edge.__main__, chivedoor.edge.process;"
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
    )
    # The peak RSS of a child starts at that of the process that forked it.
    own_peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    if own_peak_kb < MAX_RESIDENT_KB:
        assert int(child_peak_kb) < MAX_RESIDENT_KB
    else:
        assert int(child_peak_kb) <= max(own_peak_kb, MAX_RESIDENT_KB)


def test_socket_is_bound_before_asyncio_is_imported() -> None:
    """Guards against packets that are refused during startup."""
    loaded = run_python(
        "import sys, chivedoor.edge.__main__; print(*sys.modules)"
    ).split()
    assert "asyncio" not in loaded
    assert "chivedoor.dataplane.sockets" in loaded
