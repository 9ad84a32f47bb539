"""Deployment on one machine, for the demonstration and the benchmarks."""

import asyncio
import configparser
import dataclasses
import enum
import json
import pathlib
import signal
import socket
from typing import Any

import aiohttp

from standins import exceptions
from standins import link
from standins import processes
from standins import requests

CALLER_DOMAIN = "clients"
_ENDPOINT_ADDRESS = 1
_BLOCK_WIDTH = 10
_BLOCKS = 25
_RESERVATION_PORT = 7999
_HOSTS_PER_SUBNET = 250
_PEER_KEY = "000102030405060708090a0b0c0d0e0f"
OPERATOR_KEY = "202122232425262728292a2b2c2d2e2f"
_MAXIMUM_SEEDS = 3
# A graceful stop may take 30 s.
_STOP_TIMEOUT_S = 45.0


class BalancerKind(enum.Enum):
    """Balancer implementation on the entry VMs."""

    CHIVEDOORD = "chivedoord"
    DIRECT = "direct"


_MODULES = {
    BalancerKind.CHIVEDOORD: "chivedoor.cli.daemon",
    BalancerKind.DIRECT: "standins.direct",
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """An entry VM of the deployment.

    Attributes:
        name: VM id.
        domain: Failure domain.
        region: Region of the failure domain.
        address: Address in the settings.
        actual_address: Address of the peer ports when they are relayed.
        packet_port: UDP port for packets from the fabric.
        peer_port: UDP port for packets from other balancers.
        gossip_port: UDP port for gossip.
        channel_port: TCP port for channels.
        operator_port: TCP port for operators.
        metrics_port: TCP port for metrics.
    """

    name: str
    domain: str
    region: str
    address: str
    actual_address: str
    packet_port: int = 6080
    peer_port: int = 6081
    gossip_port: int = 6082
    channel_port: int = 6083
    operator_port: int = 6084
    metrics_port: int = 6085


class Deployment:
    """Runs platform, fabric, targets, entry VMs and callers as processes.

    All addresses are in 127.0.0.0/8. Deployments with different blocks can run
    concurrently on one machine.
    """

    def __init__(
        self,
        *,
        document: dict,
        balancers: int,
        folder: pathlib.Path,
        kind: BalancerKind = BalancerKind.CHIVEDOORD,
        seed: int = 1,
        block: int | None = None,
        spray: str = "packet",
        relayed: bool = False,
        limits: dict[str, int] | None = None,
    ):
        """Creates a deployment without starting it.

        Args:
            document: Initial document, in JSON form.
            balancers: Number of entry VMs, assigned round-robin to the failure
                domains.
            folder: Directory for settings files and logs.
            kind: Balancer implementation on the entry VMs.
            seed: Seed of all stand-ins.
            block: Number of the address block, 0 to 24; None for any unused
                one.
            spray: Unit that the fabric distributes, `packet` or `flow`.
            relayed: Whether a relay forwards the traffic between entry VMs;
                it can cut that traffic.
            limits: Values for the `limits` section of the settings.

        Raises:
            PlanError: Another deployment has reserved the block.
        """
        self.block, self._reservation = reserve_block(block)
        block = self.block
        self.document = shift_document(document, block)
        self.processes = processes.ProcessGroup(logs=folder)
        self.vms = build_vms(document, balancers, block)
        self.fabric_admin = (shift_address("127.0.0.2", block), 7001)
        self.targets_admin = (shift_address("127.0.0.3", block), 7002)
        self.callers_admin = (shift_address("127.0.0.4", block), 7003)
        self.relay_admin = (shift_address("127.0.0.6", block), 7004)
        self._platform = (shift_address("127.0.0.5", block), 8500)
        self._fabric = (self.fabric_admin[0], 7000)
        self._folder = folder
        self._kind = kind
        self._seed = seed
        self._spray = spray
        self._relayed = relayed
        self._limits = {
            "control_bytes_per_s": 4000,
            "max_flows": 400_000,
            **(limits or {}),
        }

    async def async_open(self) -> None:
        """Starts all processes and waits until each is ready.

        Raises:
            ProcessError: A process exited early or was not ready in time.
        """
        path = self._folder / "document.json"
        path.write_text(json.dumps(self.document))
        await self._async_start_platform(path)
        await self._async_start_fabric()
        await self._async_start_targets(path)
        if self._relayed:
            await self._async_start_relay()
        for vm in self.vms.values():
            self._start_balancer(vm)
        for vm in self.vms.values():
            await self._async_wait_for_balancer(vm)
            await self.async_attach(vm.name)
        await self._async_start_callers(path)

    async def async_close(self) -> dict[str, int]:
        """Stops all processes; returns the exit status of each."""
        statuses = await self.processes.async_stop()
        self._reservation.close()
        return statuses

    async def async_publish(self, document: dict) -> None:
        """Publishes a document whose addresses are those of block 0."""
        self.document = shift_document(document, self.block)
        await self.async_ask_targets("document", document=self.document)
        await self._async_announce_services()
        await self._async_put("document", self.document)
        await self.async_ask_callers("document", document=self.document)

    async def async_set_vms(self, states: dict[str, str]) -> None:
        """Publishes the list of entry VMs; those without a state are `live`."""
        vms = [
            {
                "id": vm.name,
                "domain": vm.domain,
                "state": states.get(vm.name, "live"),
            }
            for vm in self.vms.values()
        ]
        await self._async_put("vms", {"vms": vms})

    async def async_set_platform_fault(self, fault: dict) -> None:
        """Sets the faults of the platform stand-in."""
        await self._async_put("fault", fault)

    async def async_attach(self, name: str) -> None:
        """Adds an entry VM to the fabric, which then sends packets to it."""
        vm = self.vms[name]
        await self.async_ask_fabric(
            "balancers",
            name=name,
            domain=vm.domain,
            address=vm.address,
            port=vm.packet_port,
        )

    async def async_detach(self, name: str) -> None:
        """Removes an entry VM from the fabric's destinations."""
        await self.async_ask_fabric("remove_balancer", name=name)

    async def async_isolate(self, domain: str) -> None:
        """Partitions a failure domain from all others and from the callers.

        The deployment must be relayed. This replaces all other faults of the
        fabric and the relay.
        """
        others = {vm.domain for vm in self.vms.values()} - {domain}
        cuts = [
            pair
            for other in sorted(others | {CALLER_DOMAIN})
            for pair in ([domain, other], [other, domain])
        ]
        await self.async_ask_fabric("faults", cuts=cuts)
        await self.async_ask_relay("faults", cuts=cuts)

    async def async_clear_faults(self) -> None:
        """Clears all faults of the fabric and the relay."""
        await self.async_ask_fabric("faults")
        await self.async_ask_relay("faults")

    async def async_stop_balancer(self, name: str, lag_s: float = 0.5) -> int:
        """Stops a balancer gracefully; returns its exit status.

        The fabric continues to send packets to it for `lag_s` seconds.
        """
        process = self.processes[name]
        await self.async_set_vms({name: "leaving"})
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(lag_s)
        await self.async_detach(name)
        return await process.async_stop(_STOP_TIMEOUT_S)

    async def async_start_balancer(self, name: str) -> None:
        """Restarts the balancer of an entry VM and attaches the VM."""
        vm = self.vms[name]
        self._start_balancer(vm)
        await self._async_wait_for_balancer(vm)
        await self.async_attach(name)

    async def async_ask_fabric(self, operation: str, **arguments: Any) -> Any:
        """Calls an administration operation of the fabric."""
        return await requests.async_request(
            self.fabric_admin, operation, arguments
        )

    async def async_ask_targets(self, operation: str, **arguments: Any) -> Any:
        """Calls an administration operation of the targets."""
        return await requests.async_request(
            self.targets_admin, operation, arguments
        )

    async def async_ask_callers(self, operation: str, **arguments: Any) -> Any:
        """Calls an administration operation of the callers."""
        return await requests.async_request(
            self.callers_admin, operation, arguments
        )

    async def async_ask_relay(self, operation: str, **arguments: Any) -> Any:
        """Calls an administration operation of the relay."""
        return await requests.async_request(
            self.relay_admin, operation, arguments
        )

    async def async_read_metrics(self, name: str) -> str:
        """Returns the metrics of an entry VM in text format."""
        vm = self.vms[name]
        url = f"http://{vm.address}:{vm.metrics_port}/metrics"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            return await response.text()

    async def _async_put(self, name: str, value: dict) -> None:
        url = f"{self._build_platform_url()}/admin/{name}"
        async with (
            aiohttp.ClientSession() as session,
            session.put(url, json=value) as response,
        ):
            if response.status != 200:
                raise exceptions.PlanError(await response.text())

    def _build_platform_url(self) -> str:
        return f"http://{self._platform[0]}:{self._platform[1]}"

    async def _async_start_platform(self, document: pathlib.Path) -> None:
        arguments = ["-m", "standins.platform"]
        arguments += ["--address", self._platform[0]]
        arguments += ["--port", str(self._platform[1])]
        arguments += ["--document", str(document)]
        url = f"{self._build_platform_url()}/document"
        await self.processes.async_start(
            "platform", arguments, processes.build_url_check(url)
        )
        await self.async_set_vms({})

    async def _async_start_fabric(self) -> None:
        arguments = ["-m", "standins.fabric"]
        arguments += ["--address", format_address(self._fabric)]
        arguments += ["--admin", format_address(self.fabric_admin)]
        arguments += ["--seed", str(self._seed), "--spray", self._spray]
        await self.processes.async_start(
            "fabric",
            arguments,
            processes.build_admin_check(self.fabric_admin),
        )
        await self._async_announce_services()

    async def _async_announce_services(self) -> None:
        addresses = [
            address
            for service in self.document["services"]
            for address in service["addresses"]
        ]
        await self.async_ask_fabric("services", addresses=addresses)

    async def _async_start_targets(self, document: pathlib.Path) -> None:
        arguments = ["-m", "standins.targets", str(document)]
        arguments += self._build_fabric_arguments()
        arguments += ["--address", self.targets_admin[0]]
        arguments += ["--admin", format_address(self.targets_admin)]
        await self.processes.async_start(
            "targets",
            arguments,
            processes.build_admin_check(self.targets_admin),
        )

    async def _async_start_callers(self, document: pathlib.Path) -> None:
        arguments = ["-m", "standins.callers", str(document)]
        arguments += self._build_fabric_arguments()
        arguments += ["--address", self.callers_admin[0]]
        arguments += ["--admin", format_address(self.callers_admin)]
        arguments += ["--domain", CALLER_DOMAIN]
        arguments += ["--inner", shift_address("127.2.0.1", self.block)]
        await self.processes.async_start(
            "callers",
            arguments,
            processes.build_admin_check(self.callers_admin),
        )

    def _build_fabric_arguments(self) -> list[str]:
        return [
            "--fabric",
            format_address(self._fabric),
            "--fabric-admin",
            format_address(self.fabric_admin),
            "--seed",
            str(self._seed),
        ]

    def _start_balancer(self, vm: Vm) -> None:
        path = self._folder / f"{vm.name}.ini"
        self._write_settings(vm, path)
        arguments = [_MODULES[self._kind], str(path)]
        if self._relayed:
            ports = ",".join(map(str, list_peer_ports(vm)))
            redirect = ["standins.relayed", vm.address, vm.actual_address]
            arguments = [*redirect, ports, *arguments]
        self.processes.start(vm.name, ["-m", *arguments])

    async def _async_start_relay(self) -> None:
        arguments = ["-m", "standins.relay", "--seed", str(self._seed)]
        arguments += ["--admin", format_address(self.relay_admin)]
        is_ready = processes.build_admin_check(self.relay_admin)
        await self.processes.async_start("relay", arguments, is_ready)
        table = [
            {
                "id": vm.name,
                "domain": vm.domain,
                "address": vm.actual_address,
                "known_address": vm.address,
                "udp_ports": [vm.peer_port, vm.gossip_port],
                "tcp_ports": [vm.channel_port],
            }
            for vm in self.vms.values()
        ]
        await self.async_ask_relay("vms", vms=table)

    async def _async_wait_for_balancer(self, vm: Vm) -> None:
        url = f"http://{vm.address}:{vm.metrics_port}/metrics"
        is_ready = processes.build_url_check(url)
        await self.processes[vm.name].async_wait_until(is_ready)

    def _write_settings(self, vm: Vm, path: pathlib.Path) -> None:
        seeds = [
            f"{other.address}:{other.gossip_port}"
            for other in self.vms.values()
            if other is not vm
        ]
        parser = configparser.RawConfigParser()
        vm_section = dataclasses.asdict(vm)
        vm_section["id"] = vm_section.pop("name")
        del vm_section["actual_address"]
        parser.read_dict(
            {
                "vm": vm_section,
                "fabric": dict(
                    zip(("address", "port"), self._fabric, strict=True)
                ),
                "platform": {"url": self._build_platform_url()},
                "peers": {"seeds": ", ".join(seeds[:_MAXIMUM_SEEDS])},
                "security": {
                    "peer_key": _PEER_KEY,
                    "operator_key": OPERATOR_KEY,
                },
                "limits": self._limits,
            }
        )
        with path.open("w") as file:
            parser.write(file)


def reserve_block(wanted: int | None = None) -> tuple[int, socket.socket]:
    """Reserves an address block that no other run on this machine uses.

    The block stays reserved until the returned socket is closed.

    Args:
        wanted: Block to reserve; None for any.

    Raises:
        PlanError: The block, or every block, is already reserved.
    """
    candidates = range(1, _BLOCKS) if wanted is None else [wanted]
    for block in candidates:
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind(
                (shift_address("127.0.0.1", block), _RESERVATION_PORT)
            )
        except OSError:
            reservation.close()
        else:
            return block, reservation
    raise exceptions.PlanError(
        f"address blocks already reserved: {[*candidates]}"
    )


def shift_address(address: str, block: int) -> str:
    """Shifts an address of 127.0.0.0/8 into an address block.

    Raises:
        PlanError: The result would be outside 127.0.0.0/8.
    """
    packed = bytearray(socket.inet_aton(address))
    second = packed[1] + block * _BLOCK_WIDTH
    if packed[0] != 127 or second > 255:
        raise exceptions.PlanError(
            f"address {address} cannot be shifted into block {block}"
        )
    packed[1] = second
    return socket.inet_ntoa(bytes(packed))


def shift_document(document: dict, block: int) -> dict:
    """Returns a copy of a document with its endpoints in an address block."""
    shifted = json.loads(json.dumps(document))
    for service in shifted["services"]:
        for endpoint in service["endpoints"]:
            endpoint[_ENDPOINT_ADDRESS] = shift_address(
                endpoint[_ENDPOINT_ADDRESS], block
            )
    for retired in shifted["retired"]:
        retired[0] = shift_address(retired[0], block)
    return shifted


def build_vms(document: dict, count: int, block: int) -> dict[str, Vm]:
    """Builds `count` entry VMs, assigned round-robin to the failure domains."""
    domains = [
        (region, domain)
        for region, members in document["regions"].items()
        for domain in members
    ]
    vms = {}
    for number in range(count):
        region, domain = domains[number % len(domains)]
        high, low = divmod(number, _HOSTS_PER_SUBNET)
        name = f"vm-{domain}{number // len(domains) + 1}"
        host = f"{high}.{low + 1}"
        vms[name] = Vm(
            name=name,
            domain=domain,
            region=region,
            address=shift_address(f"127.3.{host}", block),
            actual_address=shift_address(f"127.4.{host}", block),
        )
    return vms


def list_peer_ports(vm: Vm) -> list[int]:
    """Returns the ports on which a VM communicates with its peers."""
    return [vm.peer_port, vm.gossip_port, vm.channel_port]


def format_address(address: link.Address) -> str:
    """Formats an address as `ADDRESS:PORT`."""
    return f"{address[0]}:{address[1]}"
