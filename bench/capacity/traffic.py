"""Measures flow records, packets and flow transfers."""

import asyncio
import collections
from collections.abc import Iterable
import itertools
import socket
import time
from typing import Any

from bench.capacity import fleet as fleets
from bench.capacity import samples
from chivedoor import ids
from chivedoor.balancer import actions
from chivedoor.balancer import balancer as balancers
from chivedoor.balancer import targets as owned_targets
from chivedoor.configuration import document as documents
from chivedoor.control import messages
from chivedoor.dataplane import encapsulation
from chivedoor.dataplane import port as ports
from chivedoor.flows import owner as owners
from chivedoor.flows import records
from chivedoor.rpc import codec

_KEYS = encapsulation.Keys(current=bytes(range(32)))
_SERVICE_ADDRESS = bytes((203, 0, 0, 1))
_PAYLOAD_BYTES = 64
_SYN, _ACK = 0x02, 0x10
_NOW_S = 100.0
_FLOWS = 5_000
# 1,000 packets per second; a balancer accepts at most 4,000 new flows per
# second.
_PACKET_INTERVAL_S = 1 / 1_000
_PORTS_PER_CALLER = 50_000
_FLOW_COUNTS = (20_000, 300_000)
# Flows per target: 16 million over 4,600 endpoints, and 300,000 over 10.
_TARGET_FLOWS = (3_478, 30_000)
_TICKS = 50
_LOOPBACK_PACKETS = 30_000
_LOOPBACK_WINDOW = 64
_PROGRESS_TIMEOUT_S = 10.0
_MESSAGE_BYTES = 1 << 20

SealedPackets = list[tuple[ids.VmId, bytes]]


def measure_traffic() -> dict[str, Any]:
    """Measures records, packets and transfers of flows."""
    return (
        _measure_records()
        | _measure_ticks()
        | _measure_packets()
        | _measure_pulls()
        | {"loopback_direct": _measure_loopback()}
    )


def build_segment(number: int, flags: int) -> bytes:
    """Builds a TCP segment from the caller of a flow to the service."""
    length = 40 + _PAYLOAD_BYTES
    caller = (0x7F0A0000 + number // _PORTS_PER_CALLER).to_bytes(4, "big")
    ip = b"\x45\x00" + length.to_bytes(2, "big") + bytes(4) + b"\x40\x06"
    source_port = 10_000 + number % _PORTS_PER_CALLER
    tcp_ports = source_port.to_bytes(2, "big")
    tcp_ports += fleets.STREAM_PORT.to_bytes(2, "big")
    tcp = tcp_ports + bytes(8) + bytes((0x50, flags)) + bytes(6)
    addresses = caller + _SERVICE_ADDRESS
    return ip + bytes(2) + addresses + tcp + bytes(_PAYLOAD_BYTES)


def _build_keys(count: int) -> list[ids.FlowKey]:
    """Returns 64-bit keys that are distributed like hashes."""
    multiplier = 0x9E3779B97F4A7C15
    return [
        ids.FlowKey(number * multiplier % (1 << 64))
        for number in range(1, count + 1)
    ]


def _fill_table(count: int) -> records.FlowTable:
    table = records.FlowTable(now=0.0, opening_timeout_s=20.0)
    for key in _build_keys(count):
        table.adopt(key, documents.PortKind.STREAM, _NOW_S)
    return table


def _measure_records() -> dict[str, Any]:
    return {
        f"flow_record_bytes_{count}": samples.measure_bytes(
            lambda count=count: _fill_table(count), items=count
        )
        for count in _FLOW_COUNTS
    }


def _build_target(flows: int) -> owners.TargetState:
    service = fleets.load_today().services[ids.ServiceId("service-0")]
    target = owners.TargetState(
        endpoint=service.endpoints[0],
        policy=service.policy,
        admission=fleets.create_admission(
            endpoint=service.endpoints[0], policy=service.policy, now=0.0
        ),
        now=0.0,
    )
    for key in _build_keys(flows):
        target.replicate(key, documents.PortKind.STREAM, _NOW_S)
    return target


def _measure_ticks() -> dict[str, Any]:
    """Measures `TargetState.tick`, which runs 10 times per second."""
    results = {}
    for flows in _TARGET_FLOWS:
        target = _build_target(flows)
        results[f"target_tick_us_{flows}"] = samples.measure_calls(
            lambda target=target: target.tick(_NOW_S, view_changed_at_s=0.0),
            calls=_TICKS,
        )
    return results


# Packets between balancers.


def _receive_from_fabric(
    balancer: balancers.Balancer, packets: Iterable[bytes]
) -> tuple[SealedPackets, int]:
    """Handles fabric packets; returns forwarded ones and the delivery count."""
    results = [
        balancer.handle_packet(data, _NOW_S + number * _PACKET_INTERVAL_S)
        for number, data in enumerate(packets)
    ]
    return _seal_all(itertools.chain.from_iterable(results))


def _handle_forwarded(
    balancer: balancers.Balancer, datagrams: Iterable[bytes]
) -> tuple[SealedPackets, int]:
    """Handles datagrams that other balancers forwarded."""
    results = []
    for datagram in datagrams:
        header, data = encapsulation.open_packet(datagram, _KEYS)
        results += balancer.handle_forwarded(header, data, _NOW_S)
    return _seal_all(results)


def _seal_all(results: Iterable[actions.Action]) -> tuple[SealedPackets, int]:
    sealed = []
    delivered = 0
    for action in results:
        if isinstance(action, actions.Forward):
            datagram = encapsulation.seal_packet(
                action.header, action.data, _KEYS
            )
            sealed.append((action.member, datagram))
        elif isinstance(action, actions.Deliver):
            delivered += 1
    return sealed, delivered


def _route_forwarded(
    fleet: dict[ids.VmId, balancers.Balancer], sealed: SealedPackets
) -> tuple[SealedPackets, int]:
    """Passes forwarded datagrams to their destination balancers."""
    inboxes = collections.defaultdict(list)
    for member, datagram in sealed:
        inboxes[member].append(datagram)
    following: SealedPackets = []
    delivered = 0
    for member, datagrams in inboxes.items():
        each, count = _handle_forwarded(fleet[member], datagrams)
        following += each
        delivered += count
    return following, delivered


class _StageTimer:
    """Measures the processor time of each stage of packet processing."""

    def __init__(self) -> None:
        self._values: dict[str, list[float]] = collections.defaultdict(list)

    def run(self, name: str, count: int, call: Any, *arguments: Any) -> Any:
        """Runs a stage on `count` packets and returns its result."""
        started_s = time.process_time()
        result = call(*arguments)
        elapsed_s = time.process_time() - started_s
        self._values[name].append(elapsed_s / count * 1e6)
        return result

    def summarize(self) -> dict[str, Any]:
        """Returns microseconds per packet for each stage."""
        return {
            name: samples.summarize(values, "us")
            for name, values in self._values.items()
        }


def _find_receiver(
    fleet: dict[ids.VmId, balancers.Balancer],
) -> balancers.Balancer:
    """Returns a balancer without targets, which forwards all packets."""
    return next(b for b in fleet.values() if not b.context.targets)


def _check_delivered(delivered: int, expected: int) -> None:
    if delivered != expected:
        raise RuntimeError(f"{delivered} of {expected} packets delivered")


def _measure_packets() -> dict[str, Any]:
    timer = _StageTimer()
    for _ in range(samples.RUNS):
        fleet = fleets.build_fleet()
        receiver = _find_receiver(fleet)
        syns = [build_segment(n, _SYN) for n in range(_FLOWS)]
        packets = [build_segment(n, _ACK) for n in range(_FLOWS)]
        _, delivered = timer.run(
            "direct_packet_us", _FLOWS, _receive_from_fabric, receiver, packets
        )
        _check_delivered(delivered, _FLOWS)
        sealed, _ = timer.run(
            "new_flow_receiver_us", _FLOWS, _receive_from_fabric, receiver, syns
        )
        sealed, _ = timer.run(
            "new_flow_owner_us", _FLOWS, _route_forwarded, fleet, sealed
        )
        _, delivered = timer.run(
            "new_flow_replica_us", _FLOWS, _route_forwarded, fleet, sealed
        )
        _check_delivered(delivered, _FLOWS)
        receiver.clear_direct_modes()
        sealed, _ = timer.run(
            "owner_path_receiver_us",
            _FLOWS,
            _receive_from_fabric,
            receiver,
            packets,
        )
        _, delivered = timer.run(
            "owner_path_owner_us", _FLOWS, _route_forwarded, fleet, sealed
        )
        _check_delivered(delivered, _FLOWS)
    return timer.summarize()


# Transfers.


def _measure_pulls() -> dict[str, Any]:
    results: dict[str, Any] = {}
    for flows in _TARGET_FLOWS:
        fleet = fleets.build_fleet()
        owner, pull = _prepare_pull(fleet, flows)
        results[f"pull_read_us_{flows}"] = samples.measure_prepared(
            lambda: None,
            lambda _, owner=owner, pull=pull: _read_all(owner, pull),
            items=flows,
        )
        results[f"pull_overrides_read_us_{flows}"] = samples.measure_prepared(
            lambda: None,
            lambda _, owner=owner, pull=pull: _read_overrides(owner, pull),
            items=flows,
        )
        batches = _read_all(owner, pull)
    batch = batches[0]
    reply = _build_reply(pull, batch)
    encoded = _encode(reply)
    results["pull_record_bytes"] = samples.summarize(
        [len(encoded) / len(batch.keys)], "B"
    )
    results["pull_encode_us"] = samples.measure_prepared(
        lambda: None,
        lambda _: [_encode(_build_reply(pull, each)) for each in batches],
        items=flows,
    )
    results["pull_decode_us"] = samples.measure_prepared(
        lambda: [_encode(_build_reply(pull, each)) for each in batches],
        lambda data: [_decode(each) for each in data],
        items=flows,
    )
    results["pull_accept_us"] = samples.measure_prepared(
        lambda: fleets.build_fleet()[_find_replica_id(fleet, pull)],
        lambda replica: [
            replica.targets.accept_flows(pull, each, _NOW_S) for each in batches
        ],
        items=flows,
    )
    return results


def _prepare_pull(
    fleet: dict[ids.VmId, balancers.Balancer], flows: int
) -> tuple[balancers.Balancer, owned_targets.Pull]:
    owner, target = next(
        (balancer, target)
        for balancer in fleet.values()
        for target in balancer.context.targets.values()
        if target.role is owners.Role.OWNER
    )
    for key in _build_keys(flows):
        target.replicate(key, documents.PortKind.STREAM, _NOW_S)
    routes, endpoint = owner.context.directory.endpoints_by_number[
        target.number
    ]
    pull = owned_targets.Pull(
        number=target.number,
        base=None,
        identity=owner.context.find_identity(endpoint),
        generation=routes.table.generation,
    )
    return owner, pull


def _find_replica_id(
    fleet: dict[ids.VmId, balancers.Balancer], pull: owned_targets.Pull
) -> ids.VmId:
    return next(
        name
        for name, balancer in fleet.items()
        if pull.number in balancer.context.targets
        and name != pull.identity.member
    )


def _read_all(
    owner: balancers.Balancer, pull: owned_targets.Pull
) -> list[owned_targets.FlowBatch]:
    batches = []
    cursor: int | None = 0
    while cursor is not None:
        batch = owner.targets.read_flows(
            number=pull.number,
            base=pull.base,
            generation=pull.generation,
            after=cursor,
            reader=owner.targets.get_local_identity(),
        )
        batches.append(batch)
        cursor = batch.cursor
    return batches


def _read_overrides(
    owner: balancers.Balancer, pull: owned_targets.Pull
) -> object:
    """Reads the flows of a base target that has no records."""
    return owner.targets.read_flows(
        number=pull.number,
        base=ids.EndpointNumber(1 << 30),
        generation=pull.generation,
        after=0,
        reader=owner.targets.get_local_identity(),
    )


def _build_reply(
    pull: owned_targets.Pull, batch: owned_targets.FlowBatch
) -> messages.FlowsReply:
    return messages.FlowsReply(
        endpoint=pull.number,
        base=pull.base,
        known=True,
        keys=list(batch.keys),
        targets=[pull.number] * len(batch.keys),
        kinds=[0] * len(batch.kinds),
        cursor=batch.cursor,
    )


def _encode(reply: messages.FlowsReply) -> bytes:
    return codec.encode_value(messages.REGISTRY.pack(reply), _MESSAGE_BYTES)


def _decode(data: bytes) -> object:
    return messages.REGISTRY.unpack(*codec.decode_value(data, _MESSAGE_BYTES))


# Loopback.


class _LoopbackRun:
    """Sends packets to a balancer over loopback and measures their handling."""

    def __init__(self) -> None:
        self._receiver = _find_receiver(fleets.build_fleet())
        self._packets = itertools.cycle(
            [build_segment(n, _ACK) for n in range(_FLOWS)]
        )
        self._handled = 0
        self._delivered = 0
        self._refill = asyncio.Event()
        self._port = ports.PacketPort(
            address="127.0.0.1", port=0, handle_batch=self._handle_batch
        )
        self._sink = ("127.0.0.1", 0)

    async def async_measure(self) -> float:
        """Returns packets per second of processor time, feeding excluded."""
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as feeder,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink,
        ):
            sink.bind(("127.0.0.1", 0))
            self._sink = sink.getsockname()
            await self._port.async_open()
            try:
                busy_s = await self._async_feed(feeder)
            finally:
                await self._port.async_close()
        _check_delivered(self._delivered, self._handled)
        return self._handled / busy_s

    async def _async_feed(self, feeder: socket.socket) -> float:
        feeding_s = 0.0
        started_s = time.process_time()
        while self._handled < _LOOPBACK_PACKETS:
            feed_started_s = time.process_time()
            for data in itertools.islice(self._packets, _LOOPBACK_WINDOW):
                feeder.sendto(data, self._port.local_address)
            feeding_s += time.process_time() - feed_started_s
            expected = self._handled + _LOOPBACK_WINDOW
            async with asyncio.timeout(_PROGRESS_TIMEOUT_S):
                while self._handled < expected:
                    self._refill.clear()
                    await self._refill.wait()
        return time.process_time() - started_s - feeding_s

    def _handle_batch(self, batch: list[memoryview]) -> None:
        for datagram in batch:
            for action in self._receiver.handle_packet(datagram, _NOW_S):
                if isinstance(action, actions.Deliver):
                    self._delivered += 1
                    self._port.send(action.data, self._sink)
        self._handled += len(batch)
        self._refill.set()


def _measure_loopback() -> dict[str, Any]:
    return samples.summarize(
        [
            asyncio.run(_LoopbackRun().async_measure())
            for _ in range(samples.RUNS)
        ],
        "packets/s",
    )
