r"""Load generator: holds many flows at one balancer and measures latency.

Examples:
  Open 2,000 flows per second up to 300,000, on a balancer in this process:
    python -m bench.load run --rate 2000 --flows 300000 --json a.json

  Load a `chivedoord` process whose fabric address is 127.0.0.1:7000:
    python -m bench.load run --target 127.0.0.1:4000 --listen 127.0.0.1:7000 \
        --services mix.json --rate 200 --flows 5000 --json b.json

  Compare two results, and plot one:
    python -m bench.load compare a.json b.json
    python -m bench.load plot a.json --output build/load

The services file is a JSON list such as
[{"address": "203.0.0.1", "port": 8000, "share": 3}], where `share` is the
weight of the service.
"""

import argparse
import asyncio
import collections
import dataclasses
import ipaddress
import json
import math
import pathlib
import random
import socket
import time
from typing import Any
from typing import Protocol

from hdrh import histogram
import psutil

from bench.capacity import fleet as fleets
from chivedoor.balancer import actions
from chivedoor.balancer import balancer as balancers
from chivedoor.configuration import document as documents
from chivedoor.dataplane import const

_SYN, _ACK = 0x02, 0x10
_SEQUENCE_FIELD = slice(24, 28)
_FLAGS_OFFSET = 33
_PAYLOAD_BYTES = 64
_PORTS_PER_CALLER = 50_000
_FIRST_CALLER_PORT = 10_000
_PROTOCOL_TCP = 6
# Largest share of the memory for the load generator and the balancer together.
_MAX_MEMORY_SHARE = 0.5
_PROGRESS_INTERVAL_S = 5.0
_LOOP_INTERVAL_S = 0.01
_TICK_INTERVAL_S = 0.1
_MAX_LATENCY_NS = 60 * 10**9
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 99.9, 99.99)
_LOOPBACK_NETWORK = ipaddress.ip_network("127.0.0.0/8")
_LATE_ANSWER_TIMEOUT_S = 2.0
# A single failure domain, so that one balancer owns all targets.
_DOMAINS = ("a",)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service to open flows to, with its weight."""

    address: str
    port: int
    share: float


DEFAULT_SERVICES = (
    Service(address="203.0.0.1", port=fleets.STREAM_PORT, share=7),
    Service(address="203.0.0.2", port=fleets.STREAM_PORT, share=3),
)


class LoadError(Exception):
    """The run cannot start or continue."""


class Link(Protocol):
    """Sends packets to a balancer and counts those delivered."""

    answered: int
    latency: dict[str, histogram.HdrHistogram]

    async def async_open(self) -> None:
        """Opens the link."""

    async def async_close(self) -> None:
        """Closes the link."""

    def send(self, kind: str, number: int, data: bytes) -> None:
        """Sends a packet; `number` is its sequence number, from 1."""


def _create_histograms() -> dict[str, histogram.HdrHistogram]:
    return {
        kind: histogram.HdrHistogram(1, _MAX_LATENCY_NS, _SIGNIFICANT_DIGITS)
        for kind in ("new", "established")
    }


class InProcessLink:
    """Calls a balancer in this process, which owns all targets."""

    def __init__(self) -> None:
        self.answered = 0
        self.latency = _create_histograms()
        self.undelivered_reasons: collections.Counter[str] = (
            collections.Counter()
        )
        self._balancer: balancers.Balancer = fleets.build_balancer(
            documents.parse_document(
                fleets.format_document(fleets.TODAY_SERVICES, _DOMAINS)
            ),
            1,
            _DOMAINS,
            now=time.monotonic(),
        )
        self._ticker: asyncio.Task[None] | None = None

    async def async_open(self) -> None:
        """Starts the balancer's periodic work."""
        self._ticker = asyncio.create_task(self._async_tick())

    async def async_close(self) -> None:
        """Stops the periodic work."""
        if self._ticker is not None:
            self._ticker.cancel()
            await asyncio.gather(self._ticker, return_exceptions=True)

    def send(self, kind: str, number: int, data: bytes) -> None:
        """Passes a packet to the balancer and records the processing time."""
        del number
        started_ns = time.perf_counter_ns()
        results = self._balancer.handle_packet(data, time.monotonic())
        elapsed_ns = time.perf_counter_ns() - started_ns
        delivered = [e for e in results if isinstance(e, actions.Deliver)]
        if not delivered:
            self.undelivered_reasons.update(map(_get_reason, results))
            return
        self.answered += 1
        self.latency[kind].record_value(max(1, elapsed_ns))
        if kind == "new":
            answer = build_syn_ack(bytes(delivered[0].data))
            self._balancer.handle_packet(answer, time.monotonic())

    def count_records(self) -> int:
        """Returns the number of flow records in the balancer."""
        targets = self._balancer.context.targets.values()
        return sum(len(target.flows) for target in targets)

    async def _async_tick(self) -> None:
        while True:
            self._balancer.tick(time.monotonic())
            await asyncio.sleep(_TICK_INTERVAL_S)


class SocketLink(asyncio.DatagramProtocol):
    """Sends packets to a balancer process and receives delivered packets."""

    def __init__(
        self, *, target: tuple[str, int], listen: tuple[str, int]
    ) -> None:
        for address, _ in (target, listen):
            if ipaddress.ip_address(address) not in _LOOPBACK_NETWORK:
                raise LoadError(
                    f"address {address} is not in {_LOOPBACK_NETWORK}"
                )
        self.answered = 0
        self.latency = _create_histograms()
        self._target = target
        self._listen = listen
        self._sent: dict[int, tuple[str, int]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def async_open(self) -> None:
        """Binds the address that the balancer uses as its fabric."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self._listen, family=socket.AF_INET
        )
        # The kernel buffers packets that arrive while others are being sent.
        endpoint = self._transport.get_extra_info("socket")
        endpoint.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, const.RECEIVE_BUFFER_BYTES
        )

    async def async_close(self) -> None:
        """Waits for outstanding packets and closes the socket."""
        deadline_s = time.monotonic() + _LATE_ANSWER_TIMEOUT_S
        while self._sent and time.monotonic() < deadline_s:
            await asyncio.sleep(_LOOP_INTERVAL_S)
        if self._transport is not None:
            self._transport.close()

    def send(self, kind: str, number: int, data: bytes) -> None:
        """Sends a packet and records the time."""
        self._sent[number] = (kind, time.perf_counter_ns())
        self._transport.sendto(data, self._target)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Records a delivered packet and answers SYNs."""
        del addr
        if data[_FLAGS_OFFSET] == _SYN:
            self._transport.sendto(build_syn_ack(data), self._target)
        pending = self._sent.pop(_read_number(data), None)
        if pending is None:
            return
        kind, sent_ns = pending
        self.answered += 1
        self.latency[kind].record_value(time.perf_counter_ns() - sent_ns)


def _get_reason(action: actions.Action) -> str:
    """Returns the reason why a packet was not delivered."""
    if isinstance(action, actions.Drop | actions.Refuse):
        return action.reason.value
    return type(action).__name__.lower()


def _read_number(data: bytes) -> int:
    """Returns the sequence number, which the balancer does not change."""
    return int.from_bytes(data[_SEQUENCE_FIELD], "big")


def build_packet(flow: int, service: Service, flags: int, number: int) -> bytes:
    """Builds a TCP segment with the packet number as sequence number."""
    length = 40 + _PAYLOAD_BYTES
    caller = (0x7F0A0000 + flow // _PORTS_PER_CALLER).to_bytes(4, "big")
    destination = ipaddress.ip_address(service.address).packed
    ip = b"\x45\x00" + length.to_bytes(2, "big") + bytes(4)
    ip += bytes((64, _PROTOCOL_TCP)) + bytes(2) + caller + destination
    tcp = (_FIRST_CALLER_PORT + flow % _PORTS_PER_CALLER).to_bytes(2, "big")
    tcp += service.port.to_bytes(2, "big")
    tcp += number.to_bytes(4, "big") + bytes(4)
    return ip + tcp + bytes((0x50, flags)) + bytes(6 + _PAYLOAD_BYTES)


def build_syn_ack(data: bytes) -> bytes:
    """Builds the SYN-ACK of a target for a delivered SYN.

    Without it the balancer considers the target failed.
    """
    answer = bytearray(data)
    answer[12:16], answer[16:20] = data[16:20], data[12:16]
    answer[20:22], answer[22:24] = data[22:24], data[20:22]
    answer[_SEQUENCE_FIELD] = bytes(4)
    answer[_FLAGS_OFFSET] = _SYN | _ACK
    return bytes(answer)


class Run:
    """Opens flows at a constant rate, then keeps them active."""

    def __init__(
        self,
        *,
        link: Link,
        services: tuple[Service, ...],
        rate_per_s: float,
        flows: int,
        hold_s: float,
        packets_per_s: float,
        seed: int,
        report: Any = print,
    ) -> None:
        self._link = link
        self._services = services
        self._rate_per_s = rate_per_s
        self._flows = flows
        self._hold_s = hold_s
        self._packets_per_s = packets_per_s
        self._rng = random.Random(seed)
        self._report = report
        self._flow_services = bytearray()
        self._sent = {"new": 0, "established": 0}
        self._started_s = 0.0
        self._reported_s = 0.0
        self.samples: list[dict[str, float]] = []

    async def async_run(self) -> dict[str, Any]:
        """Runs the load and returns its results.

        Raises:
          LoadError: The process uses too much memory.
        """
        await self._link.async_open()
        self._started_s = time.monotonic()
        processor_s = time.process_time()
        try:
            await self._async_open_flows()
            opened_s = time.monotonic() - self._started_s
            await self._async_hold(opened_s)
        finally:
            await self._link.async_close()
        elapsed_s = time.monotonic() - self._started_s
        return {
            "flows": len(self._flow_services),
            "opened_s": opened_s,
            "new_flows_per_s": len(self._flow_services) / opened_s,
            "elapsed_s": elapsed_s,
            "sent": sum(self._sent.values()),
            "answered": self._link.answered,
            "processor_s": time.process_time() - processor_s,
            "resident_bytes": psutil.Process().memory_info().rss,
            "latency_us": {
                kind: summarize_latency(each)
                for kind, each in self._link.latency.items()
            },
            "histograms": {
                kind: each.encode().decode()
                for kind, each in self._link.latency.items()
            },
            "samples": self.samples,
        }

    async def _async_open_flows(self) -> None:
        while len(self._flow_services) < self._flows:
            elapsed_s = time.monotonic() - self._started_s
            due = min(self._flows, math.floor(elapsed_s * self._rate_per_s))
            while len(self._flow_services) < due:
                self._open_flow()
            self._send_established(elapsed_s)
            self._report_progress(elapsed_s)
            await asyncio.sleep(_LOOP_INTERVAL_S)

    async def _async_hold(self, opened_s: float) -> None:
        while True:
            elapsed_s = time.monotonic() - self._started_s
            if elapsed_s >= opened_s + self._hold_s:
                return
            self._send_established(elapsed_s)
            self._report_progress(elapsed_s)
            await asyncio.sleep(_LOOP_INTERVAL_S)

    def _open_flow(self) -> None:
        shares = [service.share for service in self._services]
        (index,) = self._rng.choices(range(len(shares)), shares)
        number = len(self._flow_services)
        self._flow_services.append(index)
        self._send("new", number, _SYN)

    def _send_established(self, elapsed_s: float) -> None:
        if not self._flow_services:
            return
        due = math.floor(elapsed_s * self._packets_per_s)
        while self._sent["established"] < due:
            number = self._rng.randrange(len(self._flow_services))
            self._send("established", number, _ACK)

    def _send(self, kind: str, flow: int, flags: int) -> None:
        service = self._services[self._flow_services[flow]]
        self._sent[kind] += 1
        number = sum(self._sent.values())
        data = build_packet(flow, service, flags, number)
        self._link.send(kind, number, data)

    def _report_progress(self, elapsed_s: float) -> None:
        if elapsed_s - self._reported_s < _PROGRESS_INTERVAL_S:
            return
        self._reported_s = elapsed_s
        used_bytes = psutil.Process().memory_info().rss
        self.samples.append(
            {
                "elapsed_s": elapsed_s,
                "flows": len(self._flow_services),
                "resident_bytes": used_bytes,
            }
        )
        self._report(
            f"{elapsed_s:6.0f} s  {len(self._flow_services)} flows"
            f"  {self._link.answered} of {sum(self._sent.values())} answered"
            f"  {used_bytes / 1e6:.0f} MB"
        )
        if used_bytes > _MAX_MEMORY_SHARE * psutil.virtual_memory().total:
            raise LoadError("the process uses half of the machine's memory")


def summarize_latency(values: histogram.HdrHistogram) -> dict[str, float]:
    """Returns percentiles and maximum in microseconds, and the count."""
    summary = {
        f"p{percentile:g}": values.get_value_at_percentile(percentile) / 1e3
        for percentile in _PERCENTILES
    }
    return summary | {
        "max": values.get_max_value() / 1e3,
        "count": values.get_total_count(),
    }


def compare_results(
    first: dict[str, Any], second: dict[str, Any]
) -> dict[str, float]:
    """Returns the ratios of the second result to the first, by name."""
    ratios = {}
    before, after = _flatten(first), _flatten(second)
    for name in before.keys() & after.keys():
        if before[name]:
            ratios[name] = after[name] / before[name]
    return dict(sorted(ratios.items()))


def _flatten(values: dict[str, Any], prefix: str = "") -> dict[str, float]:
    flat = {}
    for name, value in values.items():
        if isinstance(value, dict):
            flat |= _flatten(value, f"{prefix}{name}.")
        elif isinstance(value, int | float):
            flat[f"{prefix}{name}"] = value
    return flat


def plot_results(result: dict[str, Any], output: pathlib.Path) -> None:
    """Plots latency by percentile and memory by flows, as PNG and SVG."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    for kind, encoded in result["histograms"].items():
        values = histogram.HdrHistogram.decode(encoded)
        if not values.get_total_count():
            continue
        points = [100 - 100 / 2 ** (step / 2) for step in range(1, 28)]
        heights = [values.get_value_at_percentile(p) / 1e3 for p in points]
        left.plot([1 / (1 - p / 100) for p in points], heights, label=kind)
    left.set(xscale="log", yscale="log", ylabel="latency (us)")
    left.set_xlabel("1 / (1 - percentile)")
    left.legend()
    samples = result["samples"]
    right.plot(
        [each["flows"] for each in samples],
        [each["resident_bytes"] / 1e6 for each in samples],
        marker=".",
    )
    right.set(xlabel="flows", ylabel="resident memory (MB)")
    figure.tight_layout()
    for suffix in (".png", ".svg"):
        figure.savefig(output.with_suffix(suffix))
    pyplot.close(figure)


def load_services(path: pathlib.Path | None) -> tuple[Service, ...]:
    """Returns the services of a file, or the default services.

    Raises:
      LoadError: The file contains no services.
    """
    if path is None:
        return DEFAULT_SERVICES
    services = tuple(
        Service(
            address=str(each["address"]),
            port=int(each["port"]),
            share=float(each.get("share", 1)),
        )
        for each in json.loads(path.read_text())
    )
    if not services:
        raise LoadError(f"{path.name} contains no services")
    return services


def main() -> None:
    """Runs the command line."""
    arguments = _parse_arguments()
    arguments.call(arguments)


def _run(arguments: argparse.Namespace) -> None:
    link: Link = InProcessLink()
    if arguments.target is not None:
        link = SocketLink(target=arguments.target, listen=arguments.listen)
    run = Run(
        link=link,
        services=load_services(arguments.services),
        rate_per_s=arguments.rate,
        flows=arguments.flows,
        hold_s=arguments.hold,
        packets_per_s=arguments.packets,
        seed=arguments.seed,
    )
    result = asyncio.run(run.async_run())
    if isinstance(link, InProcessLink):
        result["records"] = link.count_records()
        result["not_delivered"] = dict(link.undelivered_reasons)
    hidden = ("histograms", "samples")
    shown = {k: v for k, v in result.items() if k not in hidden}
    print(json.dumps(shown, indent=1))
    if arguments.json is not None:
        arguments.json.write_text(json.dumps(result, indent=1) + "\n")


def _compare(arguments: argparse.Namespace) -> None:
    first, second = (
        json.loads(path.read_text())
        for path in (arguments.first, arguments.second)
    )
    for name, ratio in compare_results(first, second).items():
        print(f"{name}: {ratio:.3f}")


def _plot(arguments: argparse.Namespace) -> None:
    arguments.output.parent.mkdir(parents=True, exist_ok=True)
    plot_results(json.loads(arguments.result.read_text()), arguments.output)


def _parse_endpoint(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    return (address, int(port))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True)
    run = commands.add_parser("run", help="open and hold flows")
    run.add_argument("--rate", type=float, default=2_000, help="flows/s")
    run.add_argument("--flows", type=int, default=20_000)
    run.add_argument("--hold", type=float, default=10.0, help="seconds")
    run.add_argument(
        "--packets", type=float, default=2_000, help="established packets/s"
    )
    run.add_argument("--services", type=pathlib.Path, metavar="FILE")
    run.add_argument("--target", type=_parse_endpoint, metavar="ADDRESS:PORT")
    run.add_argument(
        "--listen",
        type=_parse_endpoint,
        metavar="ADDRESS:PORT",
        default=("127.0.0.1", 7000),
    )
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--json", type=pathlib.Path, metavar="FILE")
    run.set_defaults(call=_run)
    compare = commands.add_parser("compare", help="print ratios of two results")
    compare.add_argument("first", type=pathlib.Path)
    compare.add_argument("second", type=pathlib.Path)
    compare.set_defaults(call=_compare)
    plot = commands.add_parser("plot", help="plot a result as PNG and SVG")
    plot.add_argument("result", type=pathlib.Path)
    plot.add_argument("--output", type=pathlib.Path, required=True)
    plot.set_defaults(call=_plot)
    return parser.parse_args()


if __name__ == "__main__":
    main()
