"""Benchmark of tag-based steering.

python -m bench.steering [--json FILE] [--group NAME]...
"""

import argparse
from collections.abc import Callable
import dataclasses
import itertools
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
from chivedoor.feed import const as feed_const
from chivedoor.feed import load_reports
from chivedoor.feed import messages
from chivedoor.feed import peers as peer_sets
from chivedoor.feed import records
from chivedoor.feed import table
from chivedoor.platform import items
from chivedoor.platform import packets
from chivedoor.steering import callers
from chivedoor.steering import capacity
from chivedoor.steering import const as steering_const
from chivedoor.steering import delays
from chivedoor.steering import demand as demands
from chivedoor.steering import segment as segments
from chivedoor.steering import shortage
from chivedoor.steering import steerer as steerers
from chivedoor.steering import tags
from chivedoor.steering import verdicts
from chivedoor.steering import view as views

_RUNS = 7
_PACKETS = 20_000
_PACKET_BYTES = 400
_PLANNED_ENDPOINTS = 4_600
_PLANNED_ROUTES = 2_900
_PLANNED_DOMAIN_MEMBERS = 207
_PLANNED_FLOWS_PER_S = 53
_DOMAINS = tuple(ids.DomainId(f"d{number}") for number in range(4))
# Services and priorities: a small deployment, the view of this benchmark, and
# one service for each planned route.
_REPORT_SIZES = ((8, 3), (_PLANNED_ROUTES // 2, 1), (_PLANNED_ROUTES, 1))
# Demand is counted for this long before it is reported. Older flows are below
# the lowest rate.
_DEMAND_S = 15
# Smaller rates are rounded to 0 hundredths.
_LEAST_SENT_RATE = 0.005
_LIMITED_FLOWS = 2_000
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
    opening_segments = make_openings(route)
    start = time.perf_counter()
    for segment in opening_segments:
        steerer.decide(segment, 1.0)
    elapsed_s = time.perf_counter() - start
    return {
        "endpoints of the service": len(steerer.view.get_endpoints(_SERVICE)),
        "new flow, us": elapsed_s / len(opening_segments) * 1e6,
    }


def make_openings(route: segments.RouteKey) -> list[segments.Segment]:
    """Returns opening packets of different flows."""
    return [
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
        for number in range(_LIMITED_FLOWS)
    ]


def measure_shortage() -> dict[str, float]:
    """Measures new flows to a service that is short, and the tables."""
    steerer = make_steerer(make_records(_PLANNED_ENDPOINTS, 40))
    configuration = views.Configuration(
        version=ids.Version(2),
        routes={
            key: dataclasses.replace(route, goal_s=0.1)
            for key, route in steerer.view.routes.items()
        },
        services=steerer.view.services,
    )
    steerer.view.apply(configuration, 0.0)
    steerer.shortage.set_members(
        shortage.Members(
            counts=dict.fromkeys(_DOMAINS, _PLANNED_DOMAIN_MEMBERS), position=5
        )
    )
    sums = delays.DelaySums(
        requests=10.0,
        delay_s=0.5,
        squared_delay_s2=0.025,
        weighted_load_s=0.5,
    )
    steerer.delay_table.set_report(
        ids.VmId("vm-2"), dict.fromkeys(steerer.view.endpoints, sums), 1.0
    )
    steerer.update_delays(1.0)
    # A request that takes long, and a balancer that uses its part, make the
    # service short.
    steerer.shortage.set_waiting(True)
    opening_segments = make_openings(packets.make_route_key("198.18.0.1", 443))
    admitted_s, refused_s = [], []
    for segment in opening_segments:
        start = time.perf_counter()
        verdict = steerer.decide(segment, 1.0)
        elapsed_s = time.perf_counter() - start
        refused = isinstance(verdict, verdicts.Refuse)
        (refused_s if refused else admitted_s).append(elapsed_s)
    assert steerer.shortage.is_short(_SERVICE, 1.0)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    table = capacity.CapacityTable()
    table.update(steerer.delay_table, steerer.view.endpoints)
    capacity_bytes = tracemalloc.get_traced_memory()[0] - before
    before, _ = tracemalloc.get_traced_memory()
    part = 1.0 / _PLANNED_DOMAIN_MEMBERS
    tokens = {
        endpoint.id: shortage.list_own_tokens(
            endpoint.id,
            tokens=round(endpoint.slots * steering_const.MAX_REQUESTS_PER_SLOT),
            start=0.0,
            end=part,
        )
        for endpoint in steerer.view.endpoints.values()
    }
    token_bytes = tracemalloc.get_traced_memory()[0] - before
    before, _ = tracemalloc.get_traced_memory()
    caller_table = callers.CallerTable(max_callers=steering_const.MAX_CALLERS)
    for number in range(2 * steering_const.MAX_CALLERS):
        caller_table.record(number.to_bytes(4, "big"), 1.0)
    caller_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    start = time.perf_counter()
    for _ in range(_RUNS):
        table.update(steerer.delay_table, steerer.view.endpoints)
    update_s = (time.perf_counter() - start) / _RUNS
    start = time.perf_counter()
    for number in range(_PACKETS):
        caller_table.record(number.to_bytes(4, "big"), 1.0)
        caller_table.is_above_share(number.to_bytes(4, "big"), 1.0)
    caller_s = time.perf_counter() - start
    return {
        "endpoints of the service": len(steerer.view.get_endpoints(_SERVICE)),
        "new flow, admitted, us, median": statistics.median(admitted_s) * 1e6,
        "new flow, refused, us, median": statistics.median(refused_s) * 1e6,
        "first new flow, us": admitted_s[0] * 1e6,
        "flows admitted": len(admitted_s),
        "flows refused": len(refused_s),
        "callers": len(caller_table),
        "table of callers, full, MB": caller_bytes / 1e6,
        "a flow in the full table of callers, us": caller_s / _PACKETS * 1e6,
        "endpoints": len(table),
        "capacity table, MB": capacity_bytes / 1e6,
        "update of the capacity table, ms": update_s * 1e3,
        "endpoints with tokens": len(tokens),
        "tokens, MB": token_bytes / 1e6,
    }


def make_load_report(
    number: int,
    *,
    services: int,
    priorities: int,
    generator: random.Random,
) -> load_reports.LoadReport:
    """Builds the report of a balancer from simulated new flows.

    Args:
        number: The balancer.
        services: Services, to which flows go with equal probability.
        priorities: Priorities of the routes of each service.
        generator: Source of the routes.
    """
    demand = demands.Demand()
    routes = [
        views.Route(
            name="r",
            weighted_services=((ids.ServiceId(f"s{service}"), 1.0),),
            idempotent=True,
            priority=priority,
        )
        for service, priority in itertools.product(
            range(services), range(priorities)
        )
    ]
    for flow in range(_DEMAND_S * _PLANNED_FLOWS_PER_S):
        route = generator.choice(routes)
        now = flow / _PLANNED_FLOWS_PER_S
        service = route.weighted_services[0][0]
        demand.record_request(service, route.priority, now)
        demand.record_admitted(service, now)
        demand.record_payload(service, 900, now)
        demand.record_handshake(generator.choice(_DOMAINS), 0.003, now)
    return load_reports.LoadReport(
        vm=ids.VmId(f"edge-{number}"),
        domain=_DOMAINS[0],
        host=f"10.0.{number // 250}.{number % 250 + 1}",
        scope=load_reports.Scope.BALANCER,
        balancers=1,
        demand=demand.list_demand(_DEMAND_S),
        capacity={},
        handshakes=demand.list_handshakes(_DEMAND_S),
        transfers=demand.list_transfers(_DEMAND_S),
        shares={},
        position=0,
    )


def time_call(call: Callable[[], object]) -> float:
    """Returns the median time of a call, in microseconds."""
    times = []
    for _ in range(_RUNS):
        start = time.perf_counter()
        call()
        times.append(time.perf_counter() - start)
    return statistics.median(times) * 1e6


def measure_load_reports() -> dict[str, float]:
    """Measures load reports and sums of a domain of the planned size.

    In the sums, each service has a capacity and shares for all other domains,
    which is the largest size.
    """
    figures: dict[str, float] = {}
    heartbeats_per_s = 1 / feed_const.LARGE_DOMAIN_HEARTBEAT_INTERVAL_S
    remote = feed_const.REMOTE_REPORT_RECIPIENTS * (len(_DOMAINS) - 1)
    for services, priorities in _REPORT_SIZES:
        generator = random.Random(1)
        reports = [
            make_load_report(
                number,
                services=services,
                priorities=priorities,
                generator=generator,
            )
            for number in range(_PLANNED_DOMAIN_MEMBERS)
        ]
        table = load_reports.LoadReports(
            local=reports[0].vm, domain=_DOMAINS[0]
        )
        tracemalloc.start()
        data = [messages.encode_message(report) for report in reports]
        before, _ = tracemalloc.get_traced_memory()
        for encoded in data:
            report = messages.decode_message(encoded)
            assert isinstance(report, load_reports.LoadReport)
            table.record(report, 0.0)
        table_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        names = [ids.ServiceId(f"s{number}") for number in range(services)]
        own = dataclasses.replace(
            reports[0],
            capacity=dict.fromkeys(names, demands.Capacity(1234.5, 67.0)),
        )
        shares = dict.fromkeys(names, dict.fromkeys(_DOMAINS[1:], 0.1234))
        total = table.make_sum(own, shares, 0.0)
        encoded = messages.encode_message(total)
        sent = heartbeats_per_s * (_PLANNED_DOMAIN_MEMBERS - 1 + remote) * len(
            encoded
        ) + heartbeats_per_s * len(data[0])
        decode_us = time_call(
            lambda data=data: messages.decode_message(data[0])
        )
        sum_us = time_call(
            lambda own=own, shares=shares, table=table: table.make_sum(
                own, shares, 0.0
            )
        )
        encode_sum_us = time_call(
            lambda total=total: messages.encode_message(total)
        )
        values = {
            "services in a report, mean": statistics.mean(
                len(report.demand) for report in reports
            ),
            # These are sent although they add nothing to the sum.
            "of them with a rate that is sent as 0, mean": statistics.mean(
                sum(
                    max(rates.values()) < _LEAST_SENT_RATE
                    for rates in report.demand.values()
                )
                for report in reports
            ),
            "report, bytes": len(data[0]),
            "report encoded, us": time_call(
                lambda reports=reports: messages.encode_message(reports[0])
            ),
            "report decoded, us": decode_us,
            "sum, bytes": len(encoded),
            "sum fits into a message, 1 or 0": float(
                len(encoded) <= feed_const.MAX_MESSAGE_BYTES
            ),
            "sum encoded, us": encode_sum_us,
            "sum decoded, us": time_call(
                lambda encoded=encoded: messages.decode_message(encoded)
            ),
            f"sum over {len(reports)} balancers, ms": sum_us / 1e3,
            "reports of a domain at a candidate, MB": table_bytes / 1e6,
            "balancer sends, KB a second": heartbeats_per_s
            * 2
            * len(data[0])
            / 1e3,
            "balancer receives, KB a second": heartbeats_per_s
            * 2
            * len(encoded)
            / 1e3,
            "candidate sends, KB a second": sent / 1e3,
            "candidate receives, KB a second": heartbeats_per_s
            * (_PLANNED_DOMAIN_MEMBERS - 1)
            * len(data[0])
            / 1e3,
            "candidate: decoding and sums, % of a core": heartbeats_per_s
            * (
                (_PLANNED_DOMAIN_MEMBERS - 1) * decode_us
                + sum_us
                + encode_sum_us
            )
            / 1e4,
        }
        prefix = f"{services} services, {priorities} priorities: "
        figures |= {prefix + name: value for name, value in values.items()}
    return figures


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
    # The start is measured first, because the peak memory of a child process
    # includes the size of its parent at the fork.
    groups = {
        "start": measure_start,
        "forwarding": measure_forwarding,
        "view": measure_view,
        "placement": measure_placement,
        "shortage": measure_shortage,
        "greetings": measure_heartbeats,
        "load reports": measure_load_reports,
    }
    parser.add_argument(
        "--group",
        action="append",
        choices=groups,
        help="measure only this group; may be repeated",
    )
    arguments = parser.parse_args()
    figures = {
        name: measure()
        for name, measure in groups.items()
        if not arguments.group or name in arguments.group
    }
    for group, values in figures.items():
        print(group)
        for name, value in values.items():
            print(f"  {name:64} {value:12,.3f}")
    if arguments.json:
        arguments.json.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    main()
