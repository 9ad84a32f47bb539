"""Test of a shortage in a large domain, with a real balancer process.

The other balancers of the domain are sockets that send heartbeats and sums.
"""

import asyncio
import contextlib
import json
import socket

from chivedoor import ids
from chivedoor.edge import const
from chivedoor.feed import load_reports
from chivedoor.feed import messages
from standins.echo import entries
from standins.echo import packets
from tests.edge import conftest
from tests.feed import conftest as feed_conftest

PEERS = 9
GOAL_S = 1.0
# The routes have the priorities 0 and 1.
ROUTES = (("198.18.0.1", 443), ("198.18.0.2", 443))
FLOWS = 40
FIRST_PORT = 41_000
INTERVAL_S = 0.2


def make_heartbeat(number: int, host: str) -> bytes:
    # The peers are the candidates, and not the balancer under test. They do not
    # read from the store.
    return messages.encode_message(
        feed_conftest.make_heartbeat(
            number,
            domain=ids.DomainId("a"),
            host=host,
            bandwidth_mbps=1000.0,
            read_age_s=None,
        )
    )


def make_sum(number: int, host: str) -> bytes:
    return messages.encode_message(
        load_reports.LoadReport(
            vm=ids.VmId(f"vm-{number}"),
            domain=ids.DomainId("a"),
            host=host,
            scope=load_reports.Scope.DOMAIN,
            balancers=PEERS + 1,
            demand={},
            capacity={},
            handshakes={},
            transfers={},
            shares={ids.ServiceId("s"): {ids.DomainId("b"): 0.0}},
            position=0,
        )
    )


async def async_send_as_peers(port: int) -> None:
    """Sends heartbeats and sums of all other balancers until cancelled."""
    with contextlib.ExitStack() as stack:
        peers = []
        for number in range(2, PEERS + 2):
            host = f"127.0.0.{20 + number}"
            opened = stack.enter_context(
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            )
            opened.bind((host, port))
            peers.append((number, host, opened))
        while True:
            for number, host, opened in peers:
                for data in (
                    make_heartbeat(number, host),
                    make_sum(number, host),
                ):
                    opened.sendto(data, ("127.0.0.11", port))
            await asyncio.sleep(INTERVAL_S)


def publish(edge: conftest.EdgeProcess) -> None:
    """Publishes one service with a route of each priority."""
    routes = [
        entries.make_route(
            name=f"r{priority}", address=address, service="s", kind="idempotent"
        )
        | {"priority": priority, "target_latency_ms": round(GOAL_S * 1000)}
        for priority, address in enumerate(ROUTES)
    ]
    edge.store.put(
        entries.CONFIGURATION_KEY,
        entries.make_configuration(
            version=1, routes=routes, services=["s"], warmup_per_s=0.0
        ),
    )
    # The limit is 28 requests, of which domain b, without endpoints, has half.
    entry = edge.make_entry() | {"concurrency": 8}
    edge.store.put(entries.make_endpoint_key(conftest.ENDPOINT_ID), entry)


async def async_receive_from(
    edge: conftest.EdgeProcess,
) -> tuple[bool, packets.Packet]:
    """Returns the next packet, and whether the endpoint received it."""
    async with asyncio.timeout(conftest.RECEIVE_TIMEOUT_S):
        while True:
            for receiver, prefix in (
                (edge.endpoint_socket, 8),
                (edge.caller_socket, 0),
            ):
                with contextlib.suppress(BlockingIOError):
                    data = receiver.recv(2048)
                    return prefix > 0, packets.decode_packet(data[prefix:])
            await asyncio.sleep(0.002)


async def async_open_flow(
    edge: conftest.EdgeProcess, number: int, priority: int
) -> int | None:
    """Opens a flow and sends a request that is never answered.

    Returns the tag of the flow, None if it was refused.
    """
    route, port = ROUTES[priority], FIRST_PORT + number
    edge.send(conftest.make_packet(port, flags=conftest.SYN, route=route))
    served, packet = await async_receive_from(edge)
    if not served:
        assert packet.flags & conftest.RST
        return None
    edge.send(
        conftest.make_packet(
            port,
            flags=conftest.ACK,
            tag=packet.tag,
            payload=b"request",
            route=route,
        )
    )
    delivered, _ = await async_receive_from(edge)
    assert delivered
    return packet.tag


async def async_wait_for_peers(edge: conftest.EdgeProcess) -> None:
    """Waits until the balancer knows all peers and a sum of the domain."""
    async with asyncio.timeout(conftest.RECEIVE_TIMEOUT_S):
        while True:
            _, text = await edge.async_get(edge.metrics_port, "/state")
            state = json.loads(text)
            if len(state["peers"]) == PEERS and "a" in state["load_reports"]:
                break
            await asyncio.sleep(0.1)
    # The next tick applies the number of balancers.
    await asyncio.sleep(2 * const.TICK_INTERVAL_S)


async def async_wait_for_line(
    edge: conftest.EdgeProcess, kind: str
) -> dict[str, object]:
    async with asyncio.timeout(conftest.RECEIVE_TIMEOUT_S):
        while True:
            for line in edge.read_lines():
                if line["message_type"] == kind:
                    return line
            await asyncio.sleep(0.1)


async def test_important_route_is_served_first_in_a_shortage(edge) -> None:
    """Guards against callers of a less important route that are served.

    While no request ends, a refusal of the important route means that there is
    no room for the other one either.
    """
    peer_port = conftest.find_free_port()
    edge.write_settings(domains="a,b", peer_port=peer_port)
    publish(edge)
    await edge.async_start()
    await edge.async_wait_ready()
    sender = asyncio.create_task(async_send_as_peers(peer_port))
    try:
        await async_wait_for_peers(edge)
        # A request that takes long makes the service short.
        tags = {(0, 0): await async_open_flow(edge, 0, 0)}
        await asyncio.sleep(0.75 * GOAL_S)
        for number in range(1, FLOWS):
            tags[number, number % 2] = await async_open_flow(
                edge, number, number % 2
            )
        refused = [key for key, tag in tags.items() if tag is None]
        first = {
            priority: min(
                n for n, refused_of in refused if refused_of == priority
            )
            for priority in (0, 1)
        }
        assert any(
            first[1] < number and tag is not None
            for (number, priority), tag in tags.items()
            if priority == 0
        )
        served_late = [
            key
            for key, tag in tags.items()
            if tag is not None and key[0] > first[0]
        ]
        assert not [key for key in served_late if key[1] == 1]
        begun = await async_wait_for_line(edge, "shortage-begun")
        assert begun["service"] == "s"
        _, text = await edge.async_get(edge.metrics_port, "/metrics")
        for priority in (0, 1):
            count = sum(refused_of == priority for _, refused_of in refused)
            assert (
                "chivedoor_flows_refused_by_priority_total"
                f'{{kind="overloaded/{priority}"}} {float(count)}'
            ) in text
        assert 'chivedoor_load_reports_total{kind="received"}' in text
        assert (
            'chivedoor_share_leaving_domain{destination="b",service="s"} 0.0'
            in text
        )
        line = await async_wait_for_line(edge, "flow-refused")
        assert (line["route"], line["priority"], line["short"]) == (
            "r1",
            1,
            True,
        )
        await async_wait_for_line(edge, "shortage-ended")
    finally:
        sender.cancel()
