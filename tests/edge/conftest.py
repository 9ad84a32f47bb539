"""Fixture: a real edge balancer process with a store stand-in."""

import asyncio
import json
import pathlib
import socket
import sys

import aiohttp
import pytest

from standins import processes
from standins import store as store_stand_in
from standins.echo import entries
from standins.echo import packets

CALLER = "127.0.0.7"
ROUTE_ADDRESS = ("198.18.0.1", 443)
ENDPOINT_ID = "i-7f3a91c2"
SYN, ACK, FIN, RST = 128, 8, 64, 16
RECEIVE_TIMEOUT_S = 10.0


def find_free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def make_packet(
    port: int,
    *,
    flags: int,
    tag: int = 0,
    sequence: int = 1,
    acknowledged: int = 0,
    payload: bytes = b"",
    caller: str = CALLER,
    route: tuple[str, int] = ROUTE_ADDRESS,
) -> bytes:
    """Returns an encoded packet from a port of a caller."""
    return packets.Packet(
        source=(caller, port),
        destination=route,
        flags=packets.Flags(flags),
        tag=tag,
        sequence=sequence,
        acknowledged=acknowledged,
        payload=payload,
    ).encode()


class EdgeProcess:
    """A balancer process with sockets for its caller and one endpoint."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.store = store_stand_in.StoreStandIn()
        self.packet_port = find_free_port()
        self.metrics_port = find_free_port()
        self.readiness_port = find_free_port()
        self.settings_path = folder / "edge.ini"
        self.child: asyncio.subprocess.Process | None = None
        self.caller_socket = self._open_socket(CALLER, self.packet_port)
        self.endpoint_socket = self._open_socket("127.0.0.9", 0)

    async def async_open(self) -> None:
        await self.store.async_open()
        self.write_settings()

    def write_settings(
        self, seeds: str = "", *, domains: str = "", peer_port: int = 0
    ) -> None:
        host = "127.0.0.11"
        self.settings_path.write_text(
            f"[vm]\nid = vm-1\ndomain = a\nregion = r\naddress = {host}\n"
            f"domains = {domains}\n"
            f"[packets]\naddress = {host}:{self.packet_port}\n"
            f"[readiness]\naddress = {host}:{self.readiness_port}\n"
            f"[peers]\nport = {peer_port or find_free_port()}\n"
            f"seeds = {seeds}\n"
            f"[source]\naddress = 127.0.0.1:{self.store.port}\n"
            "[limits]\ndescriptors = 1535\nbandwidth_mbps = 350\n"
            "[stop]\ngrace_s = 6\n"
            f"[metrics]\nport = {self.metrics_port}\n"
        )

    def publish_configuration(self, version: int = 1) -> None:
        route = entries.make_route(
            name="r", address=ROUTE_ADDRESS, service="s", kind="idempotent"
        )
        self.store.put(
            entries.CONFIGURATION_KEY,
            entries.make_configuration(
                version=version,
                routes=[route],
                services=["s"],
                warmup_per_s=0.0,
            ),
        )

    def make_entry(self, state: str = "ready") -> dict[str, object]:
        """Returns the entry of the endpoint."""
        host, port = self.endpoint_socket.getsockname()
        return {
            "service": "s",
            "address": f"{host}:{port}",
            "zone": "a",
            "version": "v1",
            "concurrency": 4,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1,
        }

    def publish_endpoint(self, state: str = "ready") -> None:
        self.store.put(
            entries.make_endpoint_key(ENDPOINT_ID), self.make_entry(state)
        )

    async def async_start(self) -> None:
        environment = {
            "PYTHONPATH": str(processes.ROOT / "src"),
            "CHIVEDOOR_NODE_FILE": str(self.settings_path),
        }
        with (self.folder / "edge.log").open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "chivedoor.edge",
                stdout=log,
                stderr=log,
                env=environment,
            )

    async def async_get(self, port: int, path: str) -> tuple[int, str]:
        url = f"http://127.0.0.11:{port}{path}"
        async with aiohttp.ClientSession() as session:
            try:
                async with session.get(url) as response:
                    return response.status, await response.text()
            except aiohttp.ClientConnectionError:
                return 0, ""

    async def async_wait_ready(self, status: int = 200) -> None:
        async with asyncio.timeout(20):
            while True:
                found, _ = await self.async_get(
                    self.readiness_port, "/v1/readiness"
                )
                if found == status:
                    return
                await asyncio.sleep(0.02)

    def send(self, data: bytes) -> None:
        self.caller_socket.sendto(data, ("127.0.0.11", self.packet_port))

    async def async_receive(self, receiver: socket.socket) -> bytes:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            return await loop.sock_recv(receiver, 2048)

    def read_lines(self) -> list[dict]:
        text = (self.folder / "edge.log").read_text()
        return [json.loads(line) for line in text.splitlines()]

    async def async_close(self) -> None:
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()
        await self.store.async_close()
        self.caller_socket.close()
        self.endpoint_socket.close()

    def _open_socket(self, host: str, port: int) -> socket.socket:
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        udp_socket.bind((host, port))
        return udp_socket


@pytest.fixture
async def edge(tmp_path):
    process = EdgeProcess(tmp_path)
    await process.async_open()
    yield process
    await process.async_close()
