"""Tests of the load generator."""

import asyncio
import json

import pytest

from bench import load


def _make_run(link, **options):
    values = {
        "link": link,
        "services": load.DEFAULT_SERVICES,
        "rate_per_s": 1_000.0,
        "flows": 200,
        "hold_s": 0.05,
        "packets_per_s": 1_000.0,
        "seed": 1,
        "report": lambda line: None,
    }
    return load.Run(**(values | options))


class _Echo(asyncio.DatagramProtocol):
    """Sends each datagram back, as a balancer delivers its packets."""

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.transport.sendto(data, addr)


async def test_balancer_holds_every_opened_flow():
    # Guards against refused flows that are counted as held.
    link = load.InProcessLink()
    result = await _make_run(link).async_run()
    assert result["flows"] == link.count_records() == 200
    assert result["answered"] == result["sent"]
    assert not link.undelivered_reasons


async def test_flows_are_distributed_by_service_share():
    # Guards against flows that all go to the first service.
    link = load.InProcessLink()
    services = (
        load.Service(address="203.0.0.1", port=8000, share=1),
        load.Service(address="203.0.0.99", port=8000, share=1),
    )
    result = await _make_run(link, services=services).async_run()
    refused = link.undelivered_reasons["no_service"]
    assert 0 < refused < result["sent"]
    assert refused + result["answered"] == result["sent"]


async def test_packets_pass_over_sockets():
    # Guards against delivered packets that are not matched with those sent.
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        _Echo, local_addr=("127.0.0.1", 0)
    )
    link = load.SocketLink(
        target=transport.get_extra_info("sockname"), listen=("127.0.0.1", 0)
    )
    result = await _make_run(link, packets_per_s=0.0).async_run()
    transport.close()
    assert result["answered"] == result["sent"] == 200
    assert result["latency_us"]["new"]["count"] == 200


async def test_packets_of_one_flow_are_distinguished():
    # Guards against a delivered packet that is not counted because the next
    # packet of the same flow was sent before it arrived.
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        _Echo, local_addr=("127.0.0.1", 0)
    )
    link = load.SocketLink(
        target=transport.get_extra_info("sockname"), listen=("127.0.0.1", 0)
    )
    result = await _make_run(link, flows=1).async_run()
    transport.close()
    assert result["answered"] == result["sent"] > 1


def test_addresses_outside_loopback_are_rejected():
    # Guards against load on other machines.
    with pytest.raises(load.LoadError, match="192"):
        load.SocketLink(target=("192.0.2.1", 1), listen=("127.0.0.1", 0))


def test_file_without_services_is_rejected(tmp_path):
    path = tmp_path / "mix.json"
    path.write_text("[]")
    with pytest.raises(load.LoadError, match="contains no services"):
        load.load_services(path)


def test_results_are_compared_as_ratios():
    first = {"flows": 10, "latency_us": {"new": {"p50": 4.0}}, "lost": 0}
    second = {"flows": 20, "latency_us": {"new": {"p50": 2.0}}, "lost": 1}
    assert load.compare_results(first, second) == {
        "flows": 2.0,
        "latency_us.new.p50": 0.5,
    }


async def test_plots_are_written_as_png_and_svg(tmp_path):
    result = await _make_run(load.InProcessLink()).async_run()
    stored = json.loads(json.dumps(result))
    load.plot_results(stored, tmp_path / "load")
    for suffix in (".png", ".svg"):
        assert (tmp_path / f"load{suffix}").stat().st_size
