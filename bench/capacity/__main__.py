"""Measures the CPU and memory cost of each part of a balancer.

python -m bench.capacity --json docs/capacity.json

Measuring the gossip takes two minutes. `--membership FILE` reads its results
from `python -m bench.membership --members 12 50 150 --json FILE` instead.
"""

import argparse
import asyncio
import json
import pathlib
import platform
import subprocess
import sys
from typing import Any

from bench import membership
from bench.capacity import configuration
from bench.capacity import control
from bench.capacity import samples
from bench.capacity import traffic

_GOSSIP_MEMBERS = (12, 50, 150)
_IMPORT = (
    "import psutil, chivedoor.daemon.application;"
    "print(psutil.Process().memory_info().rss)"
)


def main() -> None:
    """Runs the measurements, prints the results and writes them as JSON."""
    arguments = _parse_arguments()
    measured = {"process_bytes": _measure_process()}
    measured |= configuration.measure_configuration()
    measured |= control.measure_control()
    measured |= traffic.measure_traffic()
    gossip = control.fit_gossip(_load_gossip(arguments))
    _print_measured(measured, gossip)
    if arguments.json is not None:
        report = {
            "machine": _describe_machine(),
            "measured": dict(sorted(measured.items())),
            "gossip": gossip,
        }
        arguments.json.write_text(json.dumps(report, indent=1) + "\n")


def _measure_process() -> dict[str, Any]:
    """Measures the memory of a process that has only imported the code."""
    values = [
        float(
            subprocess.run(
                [sys.executable, "-c", _IMPORT],
                check=True,
                capture_output=True,
                text=True,
            ).stdout
        )
        for _ in range(3)
    ]
    return samples.summarize(values, "B")


def _load_gossip(arguments: argparse.Namespace) -> list[dict[str, Any]]:
    if arguments.membership is not None:
        return json.loads(arguments.membership.read_text())["fleets"]
    options = argparse.Namespace(seed=1, duration=15.0, rounds=1)
    return [
        asyncio.run(membership.async_measure_fleet(count, options))
        for count in _GOSSIP_MEMBERS
    ]


def _print_measured(measured: dict[str, Any], gossip: dict[str, Any]) -> None:
    for name, value in measured.items():
        print(
            f"{name}: median {value['median']:g} min {value['min']:g}"
            f" max {value['max']:g} {value['unit']} of {value['runs']}"
        )
    for name, value in gossip.items():
        print(f"gossip {name}: {value}")


def _describe_machine() -> dict[str, str]:
    return {
        "python": platform.python_version(),
        "machine": platform.machine(),
    }


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--json", type=pathlib.Path, metavar="FILE")
    parser.add_argument("--membership", type=pathlib.Path, metavar="FILE")
    return parser.parse_args()


if __name__ == "__main__":
    main()
