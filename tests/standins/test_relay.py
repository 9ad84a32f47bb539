"""Tests of the relays between entry VMs with real sockets."""

import asyncio
import socket

import pytest

from standins import deployment as deployments
from standins import exceptions
from standins import link
from standins import relay as relays
from standins import relayed

UDP_PORT, TCP_PORT = 6081, 6083


class Pair:
    """Two VMs behind a relay, and a queue of the datagrams they received."""

    def __init__(self, block):
        self.vms = [
            relays.Vm(
                id=name,
                domain=name,
                address=deployments.shift_address(f"127.0.64.{n}", block),
                known_address=deployments.shift_address(f"127.0.65.{n}", block),
                udp_ports=(UDP_PORT,),
                tcp_ports=(TCP_PORT,),
            )
            for n, name in enumerate("ab", start=1)
        ]
        self.relay = relays.Relay(vms=self.vms, seed=1)
        self.received = asyncio.Queue()
        self.links = [
            link.Link(
                address=(vm.address, UDP_PORT),
                handle=lambda *message: self.received.put_nowait(message),
            )
            for vm in self.vms
        ]

    async def async_open(self):
        await self.relay.async_open()
        for opened in self.links:
            await opened.async_open()
        self.server = await asyncio.start_server(
            self.async_echo, self.vms[1].address, TCP_PORT
        )

    async def async_close(self):
        self.server.close()
        for opened in self.links:
            await opened.async_close()
        await self.relay.async_close()

    async def async_echo(self, reader, writer):
        writer.write(writer.get_extra_info("peername")[0].encode() + b"\n")
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    def send(self, data):
        self.links[0].send(data, (self.vms[1].known_address, UDP_PORT))


@pytest.fixture
async def pair(block):
    opened = Pair(block)
    await opened.async_open()
    yield opened
    await opened.async_close()


async def test_datagrams_come_from_the_known_address(pair):
    # Guards against answers that bypass the relay.
    pair.send(b"ping")
    data, sender = await asyncio.wait_for(pair.received.get(), 10)
    assert (data, sender) == (b"ping", (pair.vms[0].known_address, UDP_PORT))
    pair.links[1].send(b"pong", sender)
    data, sender = await asyncio.wait_for(pair.received.get(), 10)
    assert (data, sender) == (b"pong", (pair.vms[1].known_address, UDP_PORT))
    assert ["a", "b", 4] in pair.relay.dump_state()["bytes"]


async def wait_for_drops(pair, reason, count):
    while pair.relay.dump_state()["drops"].get(reason, 0) < count:
        await asyncio.sleep(0.01)


async def test_a_cut_stops_one_direction_of_datagrams(pair):
    # Guards against partitions that forward gossip datagrams.
    pair.relay.set_faults({"cuts": [["a", "b"]]})
    pair.send(b"lost")
    await asyncio.wait_for(wait_for_drops(pair, "cut", 1), 10)
    pair.links[1].send(b"back", (pair.vms[0].known_address, UDP_PORT))
    data, _ = await asyncio.wait_for(pair.received.get(), 10)
    assert data == b"back"
    pair.relay.set_faults({"loss": 1.0})
    pair.send(b"lost")
    await asyncio.wait_for(wait_for_drops(pair, "lost", 1), 10)
    pair.relay.set_faults({"delay_s": 0.01})
    pair.send(b"late")
    data, _ = await asyncio.wait_for(pair.received.get(), 10)
    assert data == b"late"
    with pytest.raises(exceptions.PlanError):
        pair.relay.set_faults({"delay": 1})


async def test_a_connection_waits_until_a_cut_ends(pair):
    # Guards against partitions that close connections or forward bytes
    # instead of blocking connections.
    reader, writer = await asyncio.open_connection(
        pair.vms[1].known_address,
        TCP_PORT,
        local_addr=(pair.vms[0].address, 0),
    )
    assert await reader.readline() == (
        pair.vms[0].known_address.encode() + b"\n"
    )
    pair.relay.set_faults({"cuts": [["b", "a"]]})
    writer.write(b"hello")
    answer = asyncio.ensure_future(reader.readexactly(5))
    done, _ = await asyncio.wait([answer], timeout=0.2)
    assert not done
    pair.relay.set_faults({})
    assert await asyncio.wait_for(answer, 10) == b"hello"
    writer.close()


def test_peer_sockets_move_behind_the_relay(block, monkeypatch):
    # Guards against peer ports that bypass the relay, and other ports that
    # are redirected.
    for name in ("bind", "connect"):
        method = getattr(socket.socket, name)
        monkeypatch.setattr(socket.socket, name, method)
    known = deployments.shift_address("127.0.65.1", block)
    actual = deployments.shift_address("127.0.64.1", block)
    relayed.redirect_sockets(
        known=known, actual=actual, ports=frozenset([TCP_PORT])
    )
    with socket.socket() as peer, socket.socket() as other:
        peer.bind((known, TCP_PORT))
        other.bind((known, TCP_PORT + 1))
        assert peer.getsockname() == (actual, TCP_PORT)
        assert other.getsockname() == (known, TCP_PORT + 1)
        peer.listen()
        other.listen()
        with socket.socket() as caller, socket.socket() as plain:
            caller.connect((actual, TCP_PORT))
            plain.connect((known, TCP_PORT + 1))
            assert caller.getsockname()[0] == actual
            assert plain.getsockname()[0] != actual
