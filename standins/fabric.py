"""Emulated network between callers, entry VMs and targets.

The fabric may deliver any packet of any flow to any entry VM. `Fabric` makes
the routing decisions; the process carries one IP packet per UDP datagram.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import enum
import random
import socket
import time
from typing import Annotated
from typing import NamedTuple

import cappa
import xxhash

from standins import administration
from standins import const
from standins import exceptions
from standins import host as hosts
from standins import link

ANY_DOMAIN = "*"


class HostKind(enum.Enum):
    """Role of a host that is connected to the fabric."""

    CALLER = "caller"
    TARGET = "target"
    BALANCER = "balancer"


class Spray(enum.Enum):
    """How packets to service addresses are distributed over entry VMs."""

    PACKET = "packet"
    FLOW = "flow"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Host:
    """A host that is connected to the fabric."""

    name: str
    kind: HostKind
    domain: str
    address: link.Address


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Network faults; probabilities are per packet.

    `cuts` and `delays_s` are keyed by (source domain, destination domain).
    `silent` holds pairs of a target address and a direction: `from` drops
    packets from the target, `to` drops packets to it.
    """

    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    reorder_delay_s: float = 0.005
    delay_s: float = 0.0
    delays_s: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    silent: set[tuple[str, str]] = dataclasses.field(default_factory=set)


class Delivery(NamedTuple):
    """A packet to deliver after a delay."""

    data: bytes
    destination: link.Address
    delay_s: float


class _Count:
    """Counts of packets to one address from one failure domain."""

    __slots__ = ("bytes", "last", "packets")

    def __init__(self):
        self.packets = 0
        self.bytes = 0
        self.last = 0.0


class Fabric:
    """Routes packets, injects faults and counts packets."""

    def __init__(self, *, seed: int, spray: Spray = Spray.PACKET):
        """Creates a fabric without hosts."""
        self._generator = random.Random(seed)
        self._spray = spray
        self._senders: dict[link.Address, Host] = {}
        self._hosts: dict[bytes, Host] = {}
        self._balancers: list[Host] = []
        self._services: set[bytes] = set()
        self.faults = Faults()
        self._has_faults = False
        self.reset_counters()

    def reset_counters(self) -> None:
        """Resets all counters and times."""
        self._counts: dict[tuple[str, bytes], _Count] = {}
        self._drops: collections.Counter = collections.Counter()
        self._received: collections.Counter = collections.Counter()

    def set_services(self, addresses: Iterable[str]) -> None:
        """Sets the service addresses."""
        self._services = {pack_address(address) for address in addresses}

    def add_balancer(self, host: Host) -> None:
        """Adds an entry VM, or replaces the one with the same name."""
        self.remove_balancer(host.name)
        self._senders[host.address] = host
        self._balancers.append(host)
        self._balancers.sort(key=lambda balancer: balancer.name)

    def remove_balancer(self, name: str) -> None:
        """Stops sending packets to an entry VM; its own are still routed."""
        self._balancers = [
            balancer for balancer in self._balancers if balancer.name != name
        ]

    def add_host(self, host: Host, addresses: Iterable[str]) -> None:
        """Registers the inner addresses of a caller or target host."""
        self._senders[host.address] = host
        for address in addresses:
            self._hosts[pack_address(address)] = host

    def set_faults(self, request: dict) -> None:
        """Replaces all faults with those of a request in JSON form.

        Raises:
            PlanError: The request has an unknown field.
        """
        fields = dict(request)
        if "seed" in fields:
            self._generator.seed(fields.pop("seed"))
        known = {field.name for field in dataclasses.fields(Faults)}
        if unknown := set(fields) - known:
            raise exceptions.PlanError(
                f"unknown fault fields: {sorted(unknown)}"
            )
        fields["cuts"] = {tuple(pair) for pair in fields.get("cuts", ())}
        fields["silent"] = {tuple(pair) for pair in fields.get("silent", ())}
        fields["delays_s"] = {
            (source, destination): delay_s
            for source, destination, delay_s in fields.get("delays_s", ())
        }
        self.faults = Faults(**fields)
        self._has_faults = self.faults != Faults()

    def route(
        self, data: bytes, sender: link.Address, now: float
    ) -> list[Delivery]:
        """Returns the deliveries for a packet from a host."""
        source = self._senders.get(sender)
        if source is None:
            return self._drop("unknown_sender")
        addresses = _read_addresses(data)
        if addresses is None:
            return self._drop("malformed")
        if self._has_faults and self._is_silenced(source, addresses[0], "from"):
            return self._drop("silent")
        target = self._choose(source, data, addresses[1])
        if target is None:
            return self._drop("no_route")
        if self._has_faults:
            return self._deliver(source, target, data, addresses[1], now)
        self._count(source, target, data, addresses[1], now)
        return [Delivery(data, target.address, 0.0)]

    def dump_state(self) -> dict:
        """Returns all counters; times are monotonic seconds."""
        return {
            "packets": self._list_counts("packets"),
            "bytes": self._list_counts("bytes"),
            "drops": dict(self._drops),
            "received": dict(self._received),
            "last_delivery": self._list_counts("last"),
            "balancers": [balancer.name for balancer in self._balancers],
        }

    def _list_counts(self, field: str) -> list:
        return [
            [domain, unpack_address(address), getattr(count, field)]
            for (domain, address), count in self._counts.items()
        ]

    def _choose(
        self, source: Host, data: bytes, destination: bytes
    ) -> Host | None:
        if source.kind is HostKind.BALANCER:
            return self._hosts.get(destination)
        is_service = destination in self._services
        if source.kind is HostKind.CALLER and not is_service:
            return None
        if not self._balancers:
            return None
        if self._spray is Spray.PACKET:
            index = int(self._generator.random() * len(self._balancers))
            return self._balancers[index]
        # Addresses and ports have the same offsets in TCP and UDP packets.
        flow = xxhash.xxh3_64_intdigest(data[12:24])
        return self._balancers[flow % len(self._balancers)]

    def _is_silenced(self, host: Host, address: bytes, direction: str) -> bool:
        if host.kind is not HostKind.TARGET or not self.faults.silent:
            return False
        return (unpack_address(address), direction) in self.faults.silent

    def _deliver(
        self,
        source: Host,
        target: Host,
        data: bytes,
        destination: bytes,
        now: float,
    ) -> list[Delivery]:
        pair = (source.domain, target.domain)
        if self._is_cut(pair):
            return self._drop("cut")
        if self._is_silenced(target, destination, "to"):
            return self._drop("silent")
        if self._draw(self.faults.loss):
            return self._drop("lost")
        self._count(source, target, data, destination, now)
        copies = 1 + self._draw(self.faults.double)
        return [
            Delivery(data, target.address, self._draw_delay(pair))
            for _ in range(copies)
        ]

    def _is_cut(self, pair: tuple[str, str]) -> bool:
        cuts = self.faults.cuts
        if not cuts:
            return False
        return any(
            candidate in cuts
            for candidate in (
                pair,
                (pair[0], ANY_DOMAIN),
                (ANY_DOMAIN, pair[1]),
            )
        )

    def _draw(self, probability: float) -> bool:
        return probability > 0 and self._generator.random() < probability

    def _draw_delay(self, pair: tuple[str, str]) -> float:
        delay_s = self.faults.delay_s
        if self.faults.delays_s:
            delay_s += self.faults.delays_s.get(pair, 0.0)
        if self._draw(self.faults.reorder):
            delay_s += self._generator.random() * self.faults.reorder_delay_s
        return delay_s

    def _count(
        self,
        source: Host,
        target: Host,
        data: bytes,
        destination: bytes,
        now: float,
    ) -> None:
        if target.kind is HostKind.BALANCER:
            self._received[target.name] += 1
        key = (source.domain, destination)
        count = self._counts.get(key)
        if count is None:
            count = self._counts[key] = _Count()
        count.packets += 1
        count.bytes += len(data)
        count.last = now

    def _drop(self, reason: str) -> list[Delivery]:
        self._drops[reason] += 1
        return []


def pack_address(text: str) -> bytes:
    """Packs an IPv4 or IPv6 address.

    Raises:
        OSError: The text is not a valid address.
    """
    family = socket.AF_INET6 if ":" in text else socket.AF_INET
    return socket.inet_pton(family, text)


def unpack_address(address: bytes) -> str:
    """Unpacks an IPv4 or IPv6 address into text."""
    family = socket.AF_INET6 if len(address) == 16 else socket.AF_INET
    return socket.inet_ntop(family, address)


def _read_addresses(data: bytes) -> tuple[bytes, bytes] | None:
    version = data[0] >> 4 if data else 0
    if version == 4 and len(data) >= const.IPV4_HEADER_BYTES:
        return data[12:16], data[16:20]
    if version == 6 and len(data) >= 40:
        return data[8:24], data[24:40]
    return None


class FabricProcess:
    """The fabric with its socket and administration interface."""

    def __init__(
        self,
        *,
        fabric: Fabric,
        address: link.Address,
        admin_address: link.Address,
    ):
        """Creates the process without opening its sockets."""
        self.fabric = fabric
        self._timers = hosts.Timers()
        self._link = link.Link(address=address, handle=self._handle)
        self._administration = administration.Administration(
            address=admin_address,
            operations={
                "services": self._set_services,
                "balancers": self._add_balancer,
                "remove_balancer": self._remove_balancer,
                "hosts": self._add_host,
                "faults": fabric.set_faults,
                "statistics": self._report,
                "reset": lambda _: fabric.reset_counters(),
            },
        )
        self._wakeup: asyncio.TimerHandle | None = None
        self._wakeup_at = 0.0

    async def async_open(self) -> None:
        """Opens the sockets."""
        await self._link.async_open()
        await self._administration.async_open()

    async def async_close(self) -> None:
        """Closes the sockets and discards delayed packets."""
        if self._wakeup is not None:
            self._wakeup.cancel()
        await self._administration.async_close()
        await self._link.async_close()

    def _handle(self, data: bytes, sender: link.Address) -> None:
        now = time.monotonic()
        for delivery in self.fabric.route(data, sender, now):
            if delivery.delay_s <= 0:
                self._link.send(delivery.data, delivery.destination)
            else:
                self._delay(delivery, now)

    def _delay(self, delivery: Delivery, now: float) -> None:
        self._timers.call_at(
            now + delivery.delay_s,
            lambda _: self._link.send(delivery.data, delivery.destination),
        )
        when = self._timers.next_time
        if self._wakeup is None or when < self._wakeup_at:
            self._schedule_wakeup(now)

    def _schedule_wakeup(self, now: float) -> None:
        if self._wakeup is not None:
            self._wakeup.cancel()
        when = self._timers.next_time
        self._wakeup = None
        if when is not None:
            self._wakeup_at = when
            loop = asyncio.get_running_loop()
            self._wakeup = loop.call_later(
                max(0.0, when - now), self._handle_wakeup
            )

    def _handle_wakeup(self) -> None:
        self._wakeup = None
        now = time.monotonic()
        self._timers.tick(now)
        self._schedule_wakeup(now)

    def _set_services(self, request: dict) -> None:
        self.fabric.set_services(request["addresses"])

    def _add_balancer(self, request: dict) -> None:
        self.fabric.add_balancer(_parse_host(request, HostKind.BALANCER))

    def _remove_balancer(self, request: dict) -> None:
        self.fabric.remove_balancer(request["name"])

    def _add_host(self, request: dict) -> None:
        kind = HostKind(request["kind"])
        self.fabric.add_host(_parse_host(request, kind), request["addresses"])

    def _report(self, _: dict) -> dict:
        return {
            **self.fabric.dump_state(),
            "now": time.monotonic(),
            "send_failures": self._link.dropped,
        }


def _parse_host(request: dict, kind: HostKind) -> Host:
    return Host(
        name=request["name"],
        kind=kind,
        domain=request["domain"],
        address=(request["address"], request["port"]),
    )


@cappa.command(name="python -m standins.fabric")
@dataclasses.dataclass
class Command:
    """Forwards packets between callers, entry VMs and targets."""

    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.2:7000"
    admin: Annotated[str, cappa.Arg(long=True)] = "127.0.0.2:7001"
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    spray: Annotated[Spray, cappa.Arg(long=True)] = Spray.PACKET

    def __call__(self) -> None:
        """Runs the fabric until a signal is received."""
        process = FabricProcess(
            fabric=Fabric(seed=self.seed, spray=self.spray),
            address=administration.parse_address(self.address),
            admin_address=administration.parse_address(self.admin),
        )
        asyncio.run(administration.async_serve(process))


def main() -> None:
    """Runs the command line."""
    cappa.invoke(Command)


if __name__ == "__main__":
    main()
