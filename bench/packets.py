"""Benchmark of the packet path: python -m bench.packets [--json FILE]."""

import argparse
import asyncio
from collections.abc import Callable
import json
import pathlib
import platform
import socket
import statistics
import time

from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import packet
from chivedoor.dataplane import port
from chivedoor.dataplane import rewrite

_RUNS = 7
_CALLS = 20_000
_LOOPBACK_PACKETS = 30_000
# Packets in flight; fits into the smallest common socket buffer.
_LOOPBACK_WINDOW = 64
_PROGRESS_TIMEOUT_S = 10.0
_PAYLOADS_BYTES = {"small": 64, "large": 1400}

_SERVICE_ADDRESS = bytes([127, 200, 0, 1])
_TARGET_ADDRESS = bytes([127, 1, 0, 1])
_KEYS = encapsulation.Keys(current=bytes(range(32)))
_HEADER = encapsulation.Header(
    kind=encapsulation.ForwardKind.RESOLVE,
    hops=1,
    document_version=1,
    endpoint_number=1,
)


def build_packet(payload_bytes: int) -> bytes:
    """Builds an established TCP segment over IPv4 with zero checksums."""
    length = 40 + payload_bytes
    ip = b"\x45\x00" + length.to_bytes(2, "big") + bytes(4) + b"\x40\x06"
    addresses = bytes([127, 9, 0, 1]) + _SERVICE_ADDRESS
    ports = (40_000).to_bytes(2, "big") + (8000).to_bytes(2, "big")
    tcp = ports + bytes(8) + b"\x50\x18" + bytes(6)
    return ip + bytes(2) + addresses + tcp + bytes(payload_bytes)


def measure_calls(call: Callable[[], object]) -> list[float]:
    """Returns microseconds per call for each run."""
    results = []
    for _ in range(_RUNS):
        start = time.perf_counter()
        for _ in range(_CALLS):
            call()
        results.append((time.perf_counter() - start) / _CALLS * 1e6)
    return results


def measure_path(data: bytes) -> dict[str, list[float]]:
    """Measures parsing, rewriting, sealing and opening of a packet."""
    parsed = packet.parse_packet(data)
    sealed = encapsulation.seal_packet(_HEADER, data, _KEYS)

    def rewrite_packet() -> None:
        rewrite.rewrite_destination(parsed, _TARGET_ADDRESS, 9000)

    return {
        "parse": measure_calls(lambda: packet.parse_packet(data)),
        "rewrite": measure_calls(rewrite_packet),
        "seal": measure_calls(
            lambda: encapsulation.seal_packet(_HEADER, data, _KEYS)
        ),
        "open": measure_calls(lambda: encapsulation.open_packet(sealed, _KEYS)),
    }


class _LoopbackRun:
    """Sends packets over loopback and measures their processing."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._handled = 0
        self._refill = asyncio.Event()
        self._port = port.PacketPort(
            address="127.0.0.1", port=0, handle_batch=self._handle_batch
        )
        self._sink = ("127.0.0.1", 0)

    async def async_measure(self) -> float:
        """Returns microseconds of processor time per packet.

        This is the processor time of the process, less the time spent sending
        the packets to the port.
        """
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as feeder,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink,
        ):
            sink.bind(("127.0.0.1", 0))
            self._sink = sink.getsockname()
            await self._port.async_open()
            try:
                return await self._async_feed(feeder)
            finally:
                await self._port.async_close()

    async def _async_feed(self, feeder: socket.socket) -> float:
        destination = self._port.local_address
        feeding_s = 0.0
        start = time.process_time()
        while self._handled < _LOOPBACK_PACKETS:
            feed_start = time.process_time()
            for _ in range(_LOOPBACK_WINDOW):
                feeder.sendto(self._data, destination)
            feeding_s += time.process_time() - feed_start
            expected = self._handled + _LOOPBACK_WINDOW
            async with asyncio.timeout(_PROGRESS_TIMEOUT_S):
                while self._handled < expected:
                    self._refill.clear()
                    await self._refill.wait()
        busy_s = time.process_time() - start - feeding_s
        return busy_s / self._handled * 1e6

    def _handle_batch(self, batch: list[memoryview]) -> None:
        for datagram in batch:
            parsed = packet.parse_packet(datagram)
            rewrite.rewrite_destination(parsed, _TARGET_ADDRESS, 9000)
            rewrite.decrement_ttl(parsed)
            self._port.send(parsed.buffer, self._sink)
        self._handled += len(batch)
        self._refill.set()


def measure_loopback(data: bytes) -> list[float]:
    """Returns microseconds per packet over loopback for each run."""
    return [
        asyncio.run(_LoopbackRun(data).async_measure()) for _ in range(_RUNS)
    ]


def summarize(runs: list[float]) -> dict[str, float]:
    """Returns median, minimum and maximum in microseconds per packet."""
    return {
        "median_us": round(statistics.median(runs), 3),
        "min_us": round(min(runs), 3),
        "max_us": round(max(runs), 3),
    }


def measure_all() -> dict[str, dict[str, dict[str, float]]]:
    """Measures all steps for all packet sizes."""
    results = {}
    for name, payload_bytes in _PAYLOADS_BYTES.items():
        data = build_packet(payload_bytes)
        runs = measure_path(data)
        runs["loopback"] = measure_loopback(data)
        results[name] = {step: summarize(each) for step, each in runs.items()}
    return results


def print_results(results: dict[str, dict[str, dict[str, float]]]) -> None:
    """Prints one line per packet size and step."""
    print(f"microseconds per packet, {_RUNS} runs")
    for name, steps in results.items():
        for step, values in steps.items():
            print(
                f"{name:6} {step:9} median {values['median_us']:7.2f}"
                f"  min {values['min_us']:7.2f}  max {values['max_us']:7.2f}"
            )


def main() -> None:
    """Runs the measurements and prints the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=pathlib.Path, metavar="FILE")
    arguments = parser.parse_args()
    results = measure_all()
    print_results(results)
    if arguments.json is not None:
        report = {"python": platform.python_version(), "results": results}
        arguments.json.write_text(json.dumps(report, indent=2) + "\n")


if __name__ == "__main__":
    main()
