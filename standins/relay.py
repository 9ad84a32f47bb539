"""UDP and TCP relays between entry VMs that can cut, delay and lose traffic.

Each VM has a listening address and a known address, which its peers use. The
relay listens on the known address, on the same ports, and forwards traffic to
the listening address. It identifies a sending VM by its source address, and
sends to its peers from its known address.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import socket
import time
from typing import Annotated

import cappa

from standins import administration
from standins import bandwidth
from standins import exceptions
from standins import link

_CHUNK_BYTES = 65536
# Connections share a slow link in turns of this size.
_SLOW_LINK_CHUNK_BYTES = 8192
_CUT_POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """An entry VM whose traffic is relayed.

    Attributes:
        id: VM id, which cuts may name.
        domain: Failure domain, which cuts may name.
        address: Address on which the VM listens and from which it sends.
        known_address: Address at which peers reach the VM.
        udp_ports: Relayed UDP ports.
        tcp_ports: Relayed TCP ports.
    """

    id: str
    domain: str
    address: str
    known_address: str
    udp_ports: tuple[int, ...]
    tcp_ports: tuple[int, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults of the traffic between VMs.

    `cuts` holds (source, destination) pairs of VM ids or failure domains;
    each pair cuts one direction. `loss` applies to datagrams only.
    """

    loss: float = 0.0
    delay_s: float = 0.0
    cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)

    def is_cut(self, source: Vm, target: Vm) -> bool:
        """Returns whether traffic between two VMs is cut."""
        return any(
            (first, second) in self.cuts
            for first in (source.id, source.domain)
            for second in (target.id, target.domain)
        )


class Relay:
    """Relays the traffic between VMs."""

    def __init__(self, *, vms: list[Vm], seed: int):
        """Creates a relay without opening sockets."""
        self.faults = Faults()
        # Links of limited bandwidth, by VM id; they hold up streams only.
        self.links: dict[str, bandwidth.Link] = {}
        self._vms = {vm.address: vm for vm in vms}
        self._generator = random.Random(seed)
        self._sockets: dict[tuple[str, int], socket.socket] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()
        self._bytes: collections.Counter = collections.Counter()
        self._drops: collections.Counter = collections.Counter()

    async def async_open(self) -> None:
        """Opens the relay sockets of all VMs."""
        loop = asyncio.get_running_loop()
        for vm in self._vms.values():
            for port in vm.udp_ports:
                opened = link.open_socket((vm.known_address, port))
                self._sockets[(vm.id, port)] = opened
                loop.add_reader(opened.fileno(), self._read, vm, port, opened)
            for port in vm.tcp_ports:
                await self._async_listen(vm, port)

    async def _async_listen(self, vm: Vm, port: int) -> None:
        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._async_serve(vm, port, reader, writer)

        server = await asyncio.start_server(async_serve, vm.known_address, port)
        self._servers.append(server)

    async def async_close(self) -> None:
        """Closes all sockets and connections."""
        loop = asyncio.get_running_loop()
        for opened in self._sockets.values():
            loop.remove_reader(opened.fileno())
            opened.close()
        self._sockets.clear()
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_faults(self, request: dict) -> None:
        """Replaces all faults with those of a request in JSON form.

        Raises:
            PlanError: The request has an unknown field.
        """
        fields = dict(request)
        if "seed" in fields:
            self._generator.seed(fields.pop("seed"))
        fields["cuts"] = {tuple(pair) for pair in fields.get("cuts", ())}
        try:
            self.faults = Faults(**fields)
        except TypeError as error:
            raise exceptions.PlanError(str(error)) from error

    def dump_state(self) -> dict:
        """Returns relayed bytes by pair of VMs, and drops by reason."""
        return {
            "bytes": [[*pair, count] for pair, count in self._bytes.items()],
            "drops": dict(self._drops),
            "now": time.monotonic(),
        }

    def _read(self, target: Vm, port: int, opened: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError, ConnectionError):
            while True:
                data, sender = opened.recvfrom(_CHUNK_BYTES)
                self._relay_datagram(target, port, data, sender)

    def _relay_datagram(
        self, target: Vm, port: int, data: bytes, sender: link.Address
    ) -> None:
        source = self._vms.get(sender[0])
        outgoing = source and self._sockets.get((source.id, sender[1]))
        if outgoing is None:
            self._drops["unknown_sender"] += 1
        elif self.faults.is_cut(source, target):
            self._drops["cut"] += 1
        elif self._generator.random() < self.faults.loss:
            self._drops["lost"] += 1
        else:
            self._bytes[(source.id, target.id)] += len(data)
            self._send(outgoing, data, (target.address, port))

    def _send(
        self, outgoing: socket.socket, data: bytes, address: link.Address
    ) -> None:
        if self.faults.delay_s > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.faults.delay_s, _send_now, outgoing, data, address
            )
        else:
            _send_now(outgoing, data, address)

    async def _async_serve(
        self,
        target: Vm,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        source = self._vms.get(writer.get_extra_info("peername")[0])
        if source is None:
            self._drops["unknown_sender"] += 1
            writer.close()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._async_wait_while_cut(source, target)
            upstream_reader, upstream_writer = await asyncio.open_connection(
                target.address, port, local_addr=(source.known_address, 0)
            )
            await asyncio.gather(
                self._async_forward(source, target, reader, upstream_writer),
                self._async_forward(target, source, upstream_reader, writer),
            )
        except OSError:
            writer.close()
        except asyncio.CancelledError:
            # Cancelled by `async_close`. The exception is not raised again,
            # as asyncio would report it as an error of the server's task.
            writer.close()
        finally:
            self._tasks.discard(task)

    async def _async_wait_while_cut(self, source: Vm, target: Vm) -> None:
        while self.faults.is_cut(source, target) or self.faults.is_cut(
            target, source
        ):
            await asyncio.sleep(_CUT_POLL_S)

    def _get_chunk_bytes(self) -> int:
        return _SLOW_LINK_CHUNK_BYTES if self.links else _CHUNK_BYTES

    async def _async_forward(
        self,
        source: Vm,
        target: Vm,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forwards bytes until end of stream; holds them during a cut."""
        try:
            while data := await reader.read(self._get_chunk_bytes()):
                if self.faults.delay_s > 0:
                    await asyncio.sleep(self.faults.delay_s)
                # TCP needs both directions, so a cut of either one blocks it.
                await self._async_wait_while_cut(source, target)
                if source.id in self.links:
                    await self.links[source.id].sending.async_pass(len(data))
                if target.id in self.links:
                    await self.links[target.id].receiving.async_pass(len(data))
                self._bytes[(source.id, target.id)] += len(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            self._drops["connection_lost"] += 1
        finally:
            writer.close()


def _send_now(
    outgoing: socket.socket, data: bytes, address: link.Address
) -> None:
    with contextlib.suppress(OSError):
        outgoing.sendto(data, address)


def parse_vms(table: list[dict]) -> list[Vm]:
    """Parses a list of VMs in JSON form.

    Raises:
        PlanError: An entry has unknown or missing fields.
    """
    try:
        return [
            Vm(
                **{
                    **entry,
                    "udp_ports": tuple(entry["udp_ports"]),
                    "tcp_ports": tuple(entry["tcp_ports"]),
                }
            )
            for entry in table
        ]
    except (TypeError, KeyError) as error:
        raise exceptions.PlanError(f"invalid list of VMs: {error!r}") from error


class RelayProcess:
    """A relay process with its administration interface."""

    def __init__(self, *, admin_address: link.Address, seed: int):
        """Creates a relay without VMs; the operation `vms` sets them."""
        self._seed = seed
        self._relay = Relay(vms=[], seed=seed)
        self._has_vms = False
        self._administration = administration.Administration(
            address=admin_address,
            operations={
                "vms": self._async_set_vms,
                "faults": lambda request: self._relay.set_faults(request),
                "statistics": lambda _: self._relay.dump_state(),
            },
        )

    async def async_open(self) -> None:
        """Opens the administration interface."""
        await self._administration.async_open()

    async def async_close(self) -> None:
        """Closes all sockets."""
        await self._administration.async_close()
        await self._relay.async_close()

    async def _async_set_vms(self, request: dict) -> None:
        if self._has_vms:
            raise exceptions.PlanError("the list of VMs is already set")
        self._relay = Relay(vms=parse_vms(request["vms"]), seed=self._seed)
        self._has_vms = True
        await self._relay.async_open()


@cappa.command(name="python -m standins.relay")
@dataclasses.dataclass
class Command:
    """Relays the traffic between entry VMs."""

    admin: Annotated[str, cappa.Arg(long=True)] = "127.0.0.6:7004"
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Runs the relay until a signal is received."""
        process = RelayProcess(
            admin_address=administration.parse_address(self.admin),
            seed=self.seed,
        )
        asyncio.run(administration.async_serve(process))


def main() -> None:
    """Runs the command line."""
    cappa.invoke(Command)


if __name__ == "__main__":
    main()
