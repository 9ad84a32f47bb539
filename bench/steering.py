"""Benchmark of tag-based steering: python -m bench.steering [--json FILE]."""

import argparse
from collections.abc import Callable
import json
import os
import pathlib
import random
import resource
import socket
import statistics
import subprocess
import sys
import time
import tracemalloc

from chivedoor import ids
from chivedoor.feed import messages
from chivedoor.feed import peers as peer_sets
from chivedoor.feed import records
from chivedoor.feed import table
from chivedoor.platform import items
from chivedoor.platform import packets
from chivedoor.steering import segment as segments
from chivedoor.steering import steerer as steerers
from chivedoor.steering import tags
from chivedoor.steering import verdicts

_RUNS = 7
_PACKETS = 20_000
_PACKET_BYTES = 400
_PLANNED_ENDPOINTS = 4_600
_PLANNED_ROUTES = 2_900
_PLANNED_DOMAIN_MEMBERS = 207
_FLOWS = 20_000
_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SERVICE = ids.ServiceId("s0")


def make_records(endpoints: int, routes: int) -> tuple[records.Record, ...]:
    """Builds the store records of a deployment."""
    services = max(1, routes // 2)
    document = {
        "version": 1,
        "routes": [
            {
                "name": f"r{number}",
                "host": f"198.18.{number // 250}.{number % 250 + 1}",
                "prefix": "/443/",
                "type": "upload",
                "service": f"s{number % services}",
            }
            for number in range(routes)
        ],
        "services": [{"name": f"s{number}"} for number in range(services)],
    }
    entries = [
        {
            "service": f"s{number % services}",
            "address": f"10.1.{number // 250}.{number % 250 + 1}:8080",
            "zone": f"d{number % 4}",
            "version": "v1",
            "concurrency": 4,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        for number in range(endpoints)
    ]
    values = [("op/config", document)] + [
        (f"servers/i-{number:08x}", entry)
        for number, entry in enumerate(entries, start=1)
    ]
    return tuple(
        records.Record(
            key=key,
            value=json.dumps(value).encode(),
            revision=records.Revision(era=ids.Era(1), number=number),
        )
        for number, (key, value) in enumerate(values, start=1)
    )


def make_steerer(store_records: tuple[records.Record, ...]) -> steerers.Steerer:
    """Builds a steerer with the view given by the records."""
    steerer = steerers.Steerer(
        local=ids.VmId("vm-1"),
        domain=ids.DomainId("d0"),
        generator=random.Random(1),
    )
    for record in store_records:
        change = items.decode_record(record, 0.0)
        if change is not None:
            steerer.view.apply(change, 0.0)
    steerer.set_view_complete_at(0.0)
    return steerer


def make_packets(steerer: steerers.Steerer, count: int) -> list[bytes]:
    """Builds one established packet for each of `count` flows."""
    route = packets.make_route_key("198.18.0.1", 443)
    endpoints = steerer.view.get_endpoints(_SERVICE)
    datagrams = []
    for number in range(count):
        caller = (0x64400000 + number).to_bytes(4, "big")
        flow = segments.FlowId(route + caller + b"\x9c\x41")
        endpoint = endpoints[number % len(endpoints)]
        tag = tags.make_tag(endpoint.tag_prefix, endpoint.numeric_id, flow)
        payload = bytes(_PACKET_BYTES - 32)
        datagrams.append(
            bytes(4)
            + flow
            + tag.to_bytes(4, "big")
            + (number).to_bytes(4, "big")
            + bytes(4)
            + b"\x08\x00"
            + len(payload).to_bytes(2, "big")
            + payload
        )
    return datagrams


def time_packets(
    step: Callable[[memoryview], bytes], sent: list[bytes]
) -> float:
    """Returns microseconds per packet to receive, process and send one."""
    receiver, sender, sink = (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)
    )
    for opened in (receiver, sink):
        opened.bind(("127.0.0.1", 0))
    target, final = receiver.getsockname(), sink.getsockname()
    buffer = memoryview(bytearray(2048))
    elapsed_s = 0.0
    for data in sent:
        sender.sendto(data, target)
        start = time.perf_counter()
        size = receiver.recv_into(buffer)
        sender.sendto(step(buffer[:size]), final)
        elapsed_s += time.perf_counter() - start
        sink.recv(2048)
    for opened in (receiver, sender, sink):
        opened.close()
    return elapsed_s / len(sent) * 1e6


def measure_forwarding() -> dict[str, float]:
    """Compares steering with a dictionary lookup, in alternating runs."""
    steerer = make_steerer(make_records(10, 2))
    sent = make_packets(steerer, 2_000)
    slots = {data[16:20]: data[:8] for data in sent}

    def steer(datagram: memoryview) -> bytes:
        segment = packets.parse_segment(datagram)
        verdict = steerer.decide(segment, 1.0)
        assert isinstance(verdict, verdicts.Deliver)
        return packets.build_delivery(verdict.endpoint, datagram, None)

    def look_up(datagram: memoryview) -> bytes:
        return slots[bytes(datagram[16:20])] + datagram

    pairs = [
        (time_packets(look_up, sent), time_packets(steer, sent))
        for _ in range(_RUNS)
    ]
    baseline_us = statistics.median(pair[0] for pair in pairs)
    steering_us = statistics.median(pair[1] for pair in pairs)
    return {
        "bare loop, us a packet": baseline_us,
        "steering, us a packet": steering_us,
        "ratio": statistics.median(b / a for a, b in pairs),
    }


def measure_view() -> dict[str, float]:
    """Measures memory and build time of a view of the planned size."""
    store_records = make_records(_PLANNED_ENDPOINTS, _PLANNED_ROUTES)
    records_table = table.RecordTable()
    batch = records.Batch(
        records=store_records,
        revision=records.Revision(era=ids.Era(1), number=len(store_records)),
        complete=True,
    )
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    records_table.merge(batch)
    steerer = make_steerer(store_records)
    held_bytes, _ = tracemalloc.get_traced_memory()
    for number in range(_FLOWS):
        flow = segments.FlowId(number.to_bytes(12, "big"))
        steerer.flows.open_flow(flow, ids.EndpointId("i-1"), 0.0)
    flows, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    start = time.perf_counter()
    make_steerer(store_records)
    full_s = time.perf_counter() - start
    start = time.perf_counter()
    items.decode_record(store_records[0], 0.0)
    document_s = time.perf_counter() - start
    frame = messages.Frame(
        batch=records_table.list_since(records.NO_REVISION),
        age_s=0.1,
        sent_at=1.0,
    )
    return {
        "endpoints": _PLANNED_ENDPOINTS,
        "view and records, MB": (held_bytes - before) / 1e6,
        "bytes a flow": (flows - held_bytes) / _FLOWS,
        "whole view from records, ms": full_s * 1e3,
        "document alone, ms": document_s * 1e3,
        "document, KB": len(store_records[0].value or b"") / 1e3,
        "first view from a peer, KB": len(messages.encode_frame(frame)) / 1e3,
    }


def measure_placement() -> dict[str, float]:
    """Measures the placement of a new flow at the planned size."""
    steerer = make_steerer(make_records(_PLANNED_ENDPOINTS, 40))
    route = packets.make_route_key("198.18.0.1", 443)
    opening_segments = [
        segments.Segment(
            flow=segments.FlowId(route + number.to_bytes(6, "big")),
            route=route,
            kind=segments.SegmentKind.OPEN,
            tag=ids.Tag(0),
            retransmissions=0,
            sequence=1,
            acknowledged=0,
            payload_bytes=0,
        )
        for number in range(2_000)
    ]
    start = time.perf_counter()
    for segment in opening_segments:
        steerer.decide(segment, 1.0)
    elapsed_s = time.perf_counter() - start
    return {
        "endpoints of the service": len(steerer.view.get_endpoints(_SERVICE)),
        "new flow, us": elapsed_s / len(opening_segments) * 1e6,
    }


def make_heartbeat(number: int) -> peer_sets.Heartbeat:
    """Builds a heartbeat with ten requests in flight."""
    return peer_sets.Heartbeat(
        vm=ids.VmId(f"edge-{number}"),
        domain=ids.DomainId("d0"),
        host=f"10.0.{number // 250}.{number % 250 + 1}",
        incarnation=1_700_000_000_000,
        bandwidth_mbps=100.0,
        read_age_s=0.5,
        revision=1000,
        leaving=False,
        in_flight={ids.EndpointId(f"i-{n:08x}"): 1 for n in range(10)},
        summed=False,
        suspects={},
        stalled={},
        delays={},
        refusals={},
    )


def measure_heartbeats() -> dict[str, float]:
    """Measures heartbeats in failure domains of several sizes."""
    figures: dict[str, float] = {}
    data = messages.encode_message(make_heartbeat(1))
    start = time.perf_counter()
    for _ in range(_PACKETS // 10):
        messages.decode_message(messages.encode_message(make_heartbeat(1)))
    elapsed_s = time.perf_counter() - start
    figures["greeting, bytes"] = len(data)
    figures["greeting written and read, us"] = (
        elapsed_s / (_PACKETS // 10) * 1e6
    )
    for size in (4, 39, _PLANNED_DOMAIN_MEMBERS):
        domain = []
        for number in range(size):
            peers = peer_sets.Peers(
                local=ids.VmId(f"edge-{number}"),
                domain=ids.DomainId("d0"),
                host=f"10.0.{number // 250}.{number % 250 + 1}",
                bandwidth_mbps=100.0,
                generator=random.Random(number),
            )
            for other in range(size):
                peers.record_heartbeat(make_heartbeat(other), 0.0)
            domain.append(peers)
        sent = [
            len(peers.list_heartbeat_recipients()) / peers.get_interval_s()
            for peers in domain
        ]
        figures[f"{size} balancers: greetings a second, mean"] = (
            statistics.mean(sent)
        )
        figures[f"{size} balancers: greetings a second, most"] = max(sent)
    return figures


def measure_start() -> dict[str, float]:
    """Measures CPU and memory of a process that imports the edge."""
    code = (
        "import sys, time, resource; sys.modules['ssl'] = None;"
        "import chivedoor.edge.__main__, chivedoor.edge.process;"
        "u = resource.getrusage(resource.RUSAGE_SELF);"
        "print(u.ru_utime + u.ru_stime, u.ru_maxrss)"
    )
    path = os.pathsep.join([str(_ROOT / "src"), *sys.path])
    times, sizes = [], []
    for _ in range(_RUNS):
        printed = subprocess.run(
            [sys.executable, "-S", "-c", code],
            env={"PYTHONPATH": path},
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        times.append(float(printed[0]))
        sizes.append(float(printed[1]) / 1024)
    return {
        "start, CPU s, median": statistics.median(times),
        "start, CPU s, least": min(times),
        "start, MB": statistics.median(sizes),
        "parent, MB": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def main() -> None:
    """Runs the measurements, prints the results and writes them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    # The start is measured first, because the peak memory of a child process
    # includes the size of its parent at the fork.
    figures = {
        "start": measure_start(),
        "forwarding": measure_forwarding(),
        "view": measure_view(),
        "placement": measure_placement(),
        "greetings": measure_heartbeats(),
    }
    for group, values in figures.items():
        print(group)
        for name, value in values.items():
            print(f"  {name:48} {value:12,.3f}")
    if arguments.json:
        arguments.json.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
