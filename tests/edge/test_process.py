"""End-to-end tests of the edge balancer process."""

import asyncio
import contextlib
import json
import signal
import socket

import pytest

from standins import store as store_stand_in
from standins.echo import entries
from standins.echo import packets
from tests.edge import conftest

CALLER_PORT = 40001


async def async_open_flow(edge) -> packets.Packet:
    """Opens a flow; returns the packet that the endpoint received."""
    edge.send(conftest.make_packet(CALLER_PORT, flags=conftest.SYN))
    data = await edge.async_receive(edge.endpoint_socket)
    assert data[:8] == bytes.fromhex("000000007f3a91c2")
    return packets.decode_packet(data[8:])


async def async_deliver_request(edge, tag: int) -> None:
    """Sends a packet of an open flow, which its endpoint must receive."""
    request = conftest.make_packet(
        CALLER_PORT, flags=conftest.ACK, tag=tag, payload=b"request"
    )
    edge.send(request)
    assert (await edge.async_receive(edge.endpoint_socket))[8:] == request


async def async_start_ready(edge) -> None:
    edge.publish_configuration()
    edge.publish_endpoint()
    await edge.async_start()
    await edge.async_wait_ready()


async def test_flow_keeps_its_endpoint_across_a_restart(edge) -> None:
    """Guards against flows that break when a balancer is restarted."""
    await async_start_ready(edge)
    opening_packet = await async_open_flow(edge)
    assert opening_packet.tag
    edge.child.kill()
    await edge.child.wait()
    await edge.async_start()
    await edge.async_wait_ready()
    await async_deliver_request(edge, opening_packet.tag)


async def test_packets_received_during_startup_are_served(edge) -> None:
    """Guards against a loss of the packets that arrive during startup.

    Callers would have to wait for their retransmission.
    """
    edge.publish_configuration()
    edge.publish_endpoint()
    await edge.async_start()
    async with asyncio.timeout(20):
        while True:
            # Packets are refused until the port is bound, then queued.
            edge.send(conftest.make_packet(CALLER_PORT, flags=conftest.SYN))
            await asyncio.sleep(0.01)
            try:
                data = edge.endpoint_socket.recv(2048)
            except BlockingIOError:
                continue
            break
    assert data[:8] == bytes.fromhex("000000007f3a91c2")


async def test_removed_endpoint_resets_its_flows(edge) -> None:
    """Guards against callers that wait for a removed endpoint."""
    await async_start_ready(edge)
    opening_packet = await async_open_flow(edge)
    lines = edge.read_lines
    async with asyncio.timeout(20):
        # The view counts as complete some time after it became current.
        await asyncio.sleep(2.6)
        edge.send(
            conftest.make_packet(
                CALLER_PORT,
                flags=conftest.ACK,
                tag=opening_packet.tag,
                payload=b"x",
            )
        )
        await edge.async_receive(edge.endpoint_socket)
        edge.store.remove(f"servers/{conftest.ENDPOINT_ID}")
        reset = packets.decode_packet(
            await edge.async_receive(edge.caller_socket)
        )
    assert reset.flags == conftest.RST
    assert reset.destination[1] == CALLER_PORT
    await asyncio.sleep(0.5)
    events = [line["message_type"] for line in lines()]
    assert "endpoint-removed" in events
    assert "flow-reset" in events


async def test_flow_is_kept_when_the_entry_of_its_endpoint_lapses(
    edge,
) -> None:
    """Guards against resets of open flows whose endpoint lives.

    A store that delays the heartbeats of an endpoint removes its entry, though
    the balancer reads it without a gap, and lists it again soon.
    """
    await async_start_ready(edge)
    opening_packet = await async_open_flow(edge)
    # The view counts as complete some time after it became current.
    await asyncio.sleep(2.6)
    edge.store.remove(f"servers/{conftest.ENDPOINT_ID}")
    for _ in range(4):
        await asyncio.sleep(0.5)
        await async_deliver_request(edge, opening_packet.tag)
    edge.publish_endpoint()
    await asyncio.sleep(1.5)
    await async_deliver_request(edge, opening_packet.tag)
    events = [line["message_type"] for line in edge.read_lines()]
    assert events.count("endpoint-listed") == 2
    assert "flow-reset" not in events


async def test_flow_is_kept_when_the_entry_of_its_endpoint_is_unusable(
    edge,
) -> None:
    """Guards against resets of open flows because of another writer's value."""
    await async_start_ready(edge)
    opening_packet = await async_open_flow(edge)
    # The view counts as complete some time after it became current.
    await asyncio.sleep(2.6)
    edge.store.put(f"servers/{conftest.ENDPOINT_ID}", b"\xff")
    for _ in range(7):
        await asyncio.sleep(0.5)
        await async_deliver_request(edge, opening_packet.tag)
    edge.send(conftest.make_packet(CALLER_PORT + 1, flags=conftest.SYN))
    refusal = packets.decode_packet(
        await edge.async_receive(edge.caller_socket)
    )
    assert refusal.destination[1] == CALLER_PORT + 1
    events = [line["message_type"] for line in edge.read_lines()]
    assert "record-unusable" in events
    assert "flow-reset" not in events


async def async_stall_requests(edge) -> None:
    """Lets an endpoint leave a request and handshakes unanswered.

    The request is idempotent, and two callers retransmit for longer than an
    endpoint needs to show progress.
    """
    opening_packet = await async_open_flow(edge)
    request = conftest.make_packet(
        CALLER_PORT,
        flags=conftest.ACK,
        tag=opening_packet.tag,
        acknowledged=1,
        payload=b"request",
    )
    for count in range(6):
        edge.send(request)
        for port in range(5):
            edge.send(
                conftest.make_packet(
                    50_000 + port,
                    flags=conftest.SYN,
                    # Number of copies sent before.
                    acknowledged=min(count, 2),
                    caller="127.0.0.8",
                )
            )
        await asyncio.sleep(0.25)
    edge.send(request)


async def async_wait_checked(edge, result: str) -> None:
    """Waits until the endpoint was checked with a result."""
    async with asyncio.timeout(20):
        while True:
            results = [
                line["result"]
                for line in edge.read_lines()
                if line["message_type"] == "endpoint-checked"
            ]
            if results:
                break
            await asyncio.sleep(0.05)
    assert results == [result]


async def test_flow_of_a_full_endpoint_is_kept(edge) -> None:
    """Guards against resets of flows whose endpoint works on their requests.

    An endpoint that holds as many flows as it can answers no handshake, and
    its requests are slow. Its host accepts connections (review/1).
    """
    await async_start_ready(edge)
    with socket.create_server(edge.endpoint_socket.getsockname()):
        await async_stall_requests(edge)
        await asyncio.sleep(1.0)
        events = [line["message_type"] for line in edge.read_lines()]
        assert "flow-reset" not in events
        assert "flow-refused" not in events
        await async_wait_checked(edge, "answered")


async def test_flow_of_an_unreachable_endpoint_is_reset(edge) -> None:
    """Guards against callers that wait for an endpoint without power.

    Its host answers no connection attempt: the queue of the listener is full.
    """
    await async_start_ready(edge)
    address = edge.endpoint_socket.getsockname()
    with contextlib.ExitStack() as stack:
        stack.enter_context(socket.create_server(address, backlog=0))
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(address)
        await async_stall_requests(edge)
        await async_wait_checked(edge, "silent")
        reset = packets.decode_packet(
            await edge.async_receive(edge.caller_socket)
        )
    assert reset.flags == conftest.RST
    assert reset.destination[1] == CALLER_PORT


async def test_malformed_input_does_not_stop_the_process(edge) -> None:
    """Guards against invalid entries or datagrams that end the process."""
    await async_start_ready(edge)
    edge.store.put("servers/i-99", b"\xff\xfe")
    edge.store.put("servers/none", {"service": 5})
    edge.store.put("op/config", b"{")
    for data in (b"", b"x" * 31, b"\xff" * 40, b"\x00" * 1500):
        edge.send(data)
    opening_packet = await async_open_flow(edge)
    assert opening_packet.tag
    await asyncio.sleep(1.0)
    faults = [
        line
        for line in edge.read_lines()
        if line["message_type"] == "record-unusable"
    ]
    assert len(faults) == 3
    _, text = await edge.async_get(edge.metrics_port, "/metrics")
    assert 'chivedoor_malformed_packets_total{kind="short"}' in text


async def test_odd_entries_do_not_stop_the_process(edge) -> None:
    """Guards against processes that end, or stop following, at odd entries.

    They are read while the process serves and again at its next start. A
    configuration that is written afterwards must come into force.
    """
    await async_start_ready(edge)
    entry = edge.make_entry()
    odd_values = [
        b'{"a":' * 100_000,
        b"[" * 100_000 + b"]" * 100_000,
        b'{"born":' + b"9" * 5_000 + b"}",
        b'{"warmup_left_ms":1e400}',
        *(
            json.dumps(entry | {"address": f"127.0.0.9:{port}"}).encode()
            for port in (0, 65536, -1, "9" * 5_000)
        ),
    ]
    for number, value in enumerate(odd_values):
        edge.store.put(f"servers/i-{number:x}", value)
    for version in (2, 3):
        edge.publish_configuration(version)
        async with asyncio.timeout(20):
            while not any(
                line["message_type"] == "configuration-applied"
                and line["version"] == version
                for line in edge.read_lines()
            ):
                await asyncio.sleep(0.05)
        assert edge.child.returncode is None
        assert (await async_open_flow(edge)).tag
        edge.child.kill()
        await edge.child.wait()
        await edge.async_start()
        await edge.async_wait_ready()
    keys = {
        line["key"]
        for line in edge.read_lines()
        if line["message_type"] == "record-unusable"
    }
    assert len(keys) == len(odd_values)


async def test_view_is_kept_while_the_store_is_down(edge) -> None:
    """Guards against a balancer that stops serving during a store outage."""
    await async_start_ready(edge)
    edge.store.fault = store_stand_in.StoreFault.SILENT
    await asyncio.sleep(4.0)
    await async_open_flow(edge)
    # Log lines are flushed by a timer.
    await asyncio.sleep(0.6)
    events = {line["message_type"] for line in edge.read_lines()}
    assert {"source-lost", "view-stale", "flow-placed"} <= events
    edge.store.fault = None
    edge.publish_configuration(2)
    async with asyncio.timeout(20):
        while (
            '"view": {"version": 2'
            not in (await edge.async_get(edge.metrics_port, "/state"))[1]
        ):
            await asyncio.sleep(0.05)


async def async_wait_version(edge, version: int) -> None:
    """Waits until a configuration is in force, for 3 s at most."""
    async with asyncio.timeout(3.0):
        while (
            f'"view": {{"version": {version},'
            not in (await edge.async_get(edge.metrics_port, "/state"))[1]
        ):
            await asyncio.sleep(0.05)


async def async_restore_store(
    edge, copy: store_stand_in.StoreCopy, outage_s: float = 0.3
) -> None:
    """Makes the store unreadable for a moment and restores a copy."""
    edge.store.fault = store_stand_in.StoreFault.CLOSE
    await asyncio.sleep(outage_s)
    edge.store.restore(copy)
    edge.store.fault = None


@pytest.mark.parametrize("reads", [False, True])
async def test_configuration_written_after_a_restoration_is_in_force(
    edge, reads: bool
) -> None:
    """Guards against changes that are ignored after a restoration.

    The restored store gives out lower revisions than before. With `reads`, the
    balancer reads it before the operator writes to it again.
    """
    await async_start_ready(edge)
    copy = edge.store.make_copy()
    for version in range(2, 6):
        edge.publish_configuration(version)
    await async_wait_version(edge, 5)
    await async_restore_store(edge, copy)
    if reads:
        await asyncio.sleep(1.5)
    state = (await edge.async_get(edge.metrics_port, "/state"))[1]
    assert '"view": {"version": 5,' in state
    edge.publish_configuration(5)
    edge.publish_configuration(6)
    await async_wait_version(edge, 6)


async def test_flow_is_kept_when_a_restored_store_lacks_its_endpoint(
    edge,
) -> None:
    """Guards against resets of flows whose endpoint is to be listed again."""
    edge.publish_configuration()
    copy = edge.store.make_copy()
    edge.publish_endpoint()
    await edge.async_start()
    await edge.async_wait_ready()
    opening_packet = await async_open_flow(edge)
    # The view counts as complete some time after it became current.
    await asyncio.sleep(2.6)
    await async_restore_store(edge, copy)
    for _ in range(15):
        await async_deliver_request(edge, opening_packet.tag)
        await asyncio.sleep(0.1)
    edge.publish_endpoint()
    await asyncio.sleep(2.0)
    await async_deliver_request(edge, opening_packet.tag)
    events = [line["message_type"] for line in edge.read_lines()]
    assert events.count("source-restored") == 1
    assert "endpoint-removed" in events
    assert "flow-reset" not in events


async def test_not_ready_without_a_view(edge) -> None:
    """Guards against reporting ready without a configuration."""
    edge.store.fault = store_stand_in.StoreFault.BUSY
    await edge.async_start()
    await edge.async_wait_ready(503)


async def test_planned_stop_serves_until_out_of_rotation(edge) -> None:
    """Guards against requests that a planned stop interrupts."""
    await async_start_ready(edge)
    edge.child.send_signal(signal.SIGTERM)
    await edge.async_wait_ready(503)
    await async_open_flow(edge)
    async with asyncio.timeout(6):
        assert await edge.child.wait() == 0
    events = [line["message_type"] for line in edge.read_lines()]
    assert events[0] == "started"
    assert events[-1] == "stopped"
    assert events.index("stopping") < events.index("flow-placed")


async def test_reload_logs_changed_settings(edge) -> None:
    """Guards against a reload that leaves no trace in the log."""
    await async_start_ready(edge)
    edge.write_settings(seeds="127.0.0.12:1")
    edge.child.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.6)
    edge.settings_path.write_text("[vm]\n")
    edge.child.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.6)
    lines = {line["message_type"]: line for line in edge.read_lines()}
    assert "seeds" in lines["settings-reloaded"]["changed"]
    assert len(lines["settings-rejected"]["faults"]) > 5


async def test_metrics_include_histograms(edge) -> None:
    """Guards against metrics without the duration histograms."""
    await async_start_ready(edge)
    await async_open_flow(edge)
    status, text = await edge.async_get(edge.metrics_port, "/metrics")
    assert status == 200
    assert "chivedoor_batch_seconds_bucket" in text
    assert "chivedoor_flows_placed_total" in text
    counts = [
        line
        for line in text.splitlines()
        if "source_call_seconds_count" in line
    ]
    assert float(counts[0].split()[-1]) > 0


@pytest.mark.parametrize(
    ("number", "kind"),
    [
        (signal.SIGHUP, "settings-reloaded"),
        (signal.SIGTERM, "stopped"),
    ],
)
async def test_signal_during_startup_is_handled(edge, number, kind) -> None:
    """Guards against a signal during startup that ends the process.

    In soak seed 46, a balancer that was stopped 60 ms after its start ended
    without a log line, because its signal handlers were not installed yet.
    """
    edge.publish_configuration()
    edge.publish_endpoint()
    await edge.async_start()
    # The packet port is bound before the signal handlers exist.
    async with asyncio.timeout(20):
        while not is_bound("127.0.0.11", edge.packet_port):
            await asyncio.sleep(0.001)
    edge.child.send_signal(number)
    async with asyncio.timeout(10):
        while kind not in {line["message_type"] for line in edge.read_lines()}:
            await asyncio.sleep(0.05)


def is_bound(host: str, port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return True
    return False


async def test_invalid_settings_end_the_process(edge) -> None:
    """Guards against a process that runs with incomplete settings."""
    edge.settings_path.write_text("[vm]\nid = x\n")
    await edge.async_start()
    assert await edge.child.wait() == 2
    text = (edge.folder / "edge.log").read_text()
    assert "packets.address: missing" in text


async def test_page_explains_a_placement(edge) -> None:
    """Guards against a page that fails or takes a place for a flow."""
    await async_start_ready(edge)
    path = f"/explain?caller={conftest.CALLER}:4000&route="
    for route in ("r", "198.18.0.1:443"):
        status, body = await edge.async_get(edge.metrics_port, path + route)
        explanation = json.loads(body)
        assert status == 200
        assert explanation["caller"] == conftest.CALLER
        (service,) = explanation["services"]
        (endpoint,) = service["endpoints"]
        assert endpoint["id"] == conftest.ENDPOINT_ID
        assert endpoint["probability"] == 1.0
    state = json.loads((await edge.async_get(edge.metrics_port, "/state"))[1])
    assert state["flows"] == 0


@pytest.mark.parametrize(
    ("query", "status"),
    [
        ("?caller=100.64.0.4&route=none", 404),
        ("?caller=100.64.0.4:x&route=r", 400),
        ("", 400),
    ],
)
async def test_page_rejects_unusable_arguments(edge, query, status) -> None:
    """Guards against errors without a reason, or that end the process."""
    await async_start_ready(edge)
    found, body = await edge.async_get(edge.metrics_port, "/explain" + query)
    assert found == status
    assert json.loads(body).keys() == {"error"}
    assert (await edge.async_get(edge.metrics_port, "/state"))[0] == 200


async def test_placement_and_refusal_name_domain_and_priority(edge) -> None:
    """Guards against lines and counters without the cause of a refusal."""
    edge.publish_configuration()
    entry = edge.make_entry()
    entry["zone"] = "b"
    edge.store.put(entries.make_endpoint_key(conftest.ENDPOINT_ID), entry)
    await edge.async_start()
    await edge.async_wait_ready()
    await async_open_flow(edge)
    edge.publish_endpoint("draining")
    async with asyncio.timeout(conftest.RECEIVE_TIMEOUT_S):
        while not any(
            line["message_type"] == "flow-refused" for line in edge.read_lines()
        ):
            edge.send(conftest.make_packet(40002, flags=conftest.SYN))
            await asyncio.sleep(0.1)
    refusal = next(
        line
        for line in edge.read_lines()
        if line["message_type"] == "flow-refused"
    )
    assert refusal["reason"] == "no-endpoint"
    assert {
        name: refusal[name]
        for name in ("route", "service", "priority", "short", "above_share")
    } == {
        "route": "r",
        "service": "s",
        "priority": 0,
        "short": False,
        "above_share": False,
    }
    _, text = await edge.async_get(edge.metrics_port, "/metrics")
    assert 'chivedoor_flows_placed_remote_total{kind="b"}' in text
    assert (
        'chivedoor_flows_refused_by_priority_total{kind="no-endpoint/0"}'
        in text
    )
    _, state = await edge.async_get(edge.metrics_port, "/state")
    dumped = json.loads(state)
    assert dumped["load_reports"] == dumped["shares"] == {}
    assert dumped["short_services"] == []
