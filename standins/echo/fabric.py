"""Routers that choose a balancer in the caller's failure domain by hash."""

import asyncio
import contextlib
import dataclasses

import xxhash

from standins import link
from standins.echo import const

FlowKey = tuple[tuple[str, int], tuple[str, int]]


@dataclasses.dataclass(slots=True, kw_only=True)
class Node:
    """A balancer as the routers see it.

    Attributes:
        id: VM id.
        domain: Failure domain.
        packets: Address for packets.
        readiness: Address of the readiness endpoint.
        in_rotation: Whether the routers send flows to the balancer.
        failed_probes: Consecutive probes that failed.
    """

    id: str
    domain: str
    packets: link.Address
    readiness: link.Address
    in_rotation: bool = False
    failed_probes: int = 0


class Fabric:
    """Probes balancers and distributes flows over those in rotation."""

    def __init__(self, *, nodes: list[Node]) -> None:
        """Creates a fabric without starting the probes."""
        self._nodes = nodes
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts the readiness probes."""
        self._tasks = [
            asyncio.create_task(self._async_probe(node)) for node in self._nodes
        ]

    async def async_close(self) -> None:
        """Stops the readiness probes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def choose_node(self, domain: str, flow: FlowKey) -> Node:
        """Returns the balancer of a flow.

        Rendezvous hashing ensures that only the flows of a leaving node move.
        Flows leave the failure domain when none of its nodes is in rotation.
        When fewer than half are, all its nodes are used.
        """
        local = [node for node in self._nodes if node.domain == domain]
        ready = [node for node in local if node.in_rotation]
        if not ready:
            ready = [node for node in self._nodes if node.in_rotation]
        elif 2 * len(ready) < len(local):
            ready = local
        key = repr(flow)
        return max(
            ready or self._nodes,
            key=lambda node: xxhash.xxh64_intdigest(f"{node.id}{key}".encode()),
        )

    async def _async_probe(self, node: Node) -> None:
        while True:
            if await _async_check_readiness(node.readiness):
                node.in_rotation, node.failed_probes = True, 0
            else:
                node.failed_probes += 1
                if node.failed_probes >= const.READINESS_FAILURES:
                    node.in_rotation = False
            await asyncio.sleep(const.READINESS_INTERVAL_S)


async def _async_check_readiness(address: link.Address) -> bool:
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(const.READINESS_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f"GET {const.READINESS_PATH} HTTP/1.1\r\n"
                f"Host: {address[0]}\r\nConnection: close\r\n\r\n".encode()
            )
            status = await reader.readline()
            return b" 200 " in status
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
