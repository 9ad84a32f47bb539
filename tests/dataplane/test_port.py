"""Tests of the packet port over loopback sockets."""

import asyncio
import socket

import pytest
import pytest_asyncio

from chivedoor.dataplane import exceptions
from chivedoor.dataplane import port


class Receiver:
    """Records copies of the datagrams and the size of each batch."""

    def __init__(self):
        self.datagrams = []
        self.batches = []
        self.port = port.PacketPort(
            address="127.0.0.1", port=0, handle_batch=self.handle_batch
        )

    def handle_batch(self, batch):
        self.batches.append(len(batch))
        self.datagrams.extend(map(bytes, batch))


async def async_wait_until(condition):
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0)


@pytest_asyncio.fixture
async def receiver():
    created = Receiver()
    await created.port.async_open()
    yield created
    await created.port.async_close()


@pytest.fixture
def sender():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as created:
        yield created


async def test_datagrams_arrive_in_order_and_in_bounded_batches(
    receiver, sender
):
    # Guards against views of one batch that share a buffer, and against a loop
    # iteration that reads without a limit.
    expected = [b"%d" % number for number in range(200)]
    for datagram in expected:
        sender.sendto(datagram, receiver.port.local_address)
    await async_wait_until(lambda: len(receiver.datagrams) == 200)
    assert receiver.datagrams == expected
    assert max(receiver.batches) == 64
    counters = receiver.port.counters
    assert counters.received == 200
    assert counters.received_bytes == sum(map(len, expected))
    assert counters.batches == len(receiver.batches)


async def test_timers_run_between_batches(receiver, sender):
    # Guards against timers and control messages that are starved under load.
    turns = []
    original = receiver.handle_batch

    def handle_and_refill(batch):
        original(batch)
        if len(receiver.batches) < 20:
            for _ in batch:
                sender.sendto(b"x", receiver.port.local_address)

    receiver.port._handle_batch = handle_and_refill
    loop = asyncio.get_running_loop()

    def count_turn():
        turns.append(len(receiver.batches))
        loop.call_later(0, count_turn)

    for _ in range(64):
        sender.sendto(b"x", receiver.port.local_address)
    count_turn()
    await async_wait_until(lambda: len(receiver.batches) >= 20)
    assert set(range(1, 20)) <= set(turns)


async def test_largest_datagram_is_not_truncated(receiver, sender):
    # Guards against receive buffers that are smaller than a datagram.
    sender.sendto(b"x" * 65507, receiver.port.local_address)
    await async_wait_until(lambda: receiver.datagrams)
    assert len(receiver.datagrams[0]) == 65507


async def test_send(receiver, sender):
    # Guards against a port that counts datagrams without sending them.
    sender.bind(("127.0.0.1", 0))
    receiver.port.send(bytearray(b"hello"), sender.getsockname())
    sender.settimeout(30)
    assert sender.recv(100) == b"hello"
    assert receiver.port.counters.sent == 1
    assert receiver.port.counters.sent_bytes == 5


@pytest.mark.parametrize(
    ("data", "destination"),
    [
        (b"x" * 70000, ("127.0.0.1", 9)),
        (b"x", ("127.0.0.1", 70000)),
        (b"x", ("::1", 9)),
        (b"x", ("255.255.255.255", 9)),
    ],
)
async def test_send_errors_are_counted(receiver, data, destination):
    # Guards against a send error that is raised into the receive loop.
    receiver.port.send(data, destination)
    assert receiver.port.counters.send_errors == 1
    assert receiver.port.counters.sent == 0


async def test_full_send_buffer_is_counted(receiver):
    # Guards against a send that blocks the event loop.
    class FullSocket:
        def sendto(self, data, destination):
            raise BlockingIOError

    opened = receiver.port._socket
    receiver.port._socket = FullSocket()
    receiver.port.send(b"x", ("127.0.0.1", 9))
    receiver.port._socket = opened
    assert receiver.port.counters.send_blocked == 1


async def test_discard_waiting_empties_the_buffer(receiver, sender):
    # Guards against a balancer that handles outdated packets after a pause.
    for _ in range(100):
        sender.sendto(b"old", receiver.port.local_address)
    assert receiver.port.discard_waiting() == 100
    sender.sendto(b"new", receiver.port.local_address)
    await async_wait_until(lambda: receiver.datagrams)
    assert receiver.datagrams == [b"new"]
    assert receiver.port.counters.discarded == 100
    assert receiver.port.discard_waiting() == 0


async def test_receive_error_is_counted(receiver):
    # Guards against a socket error that is raised into the event loop.
    class FailingSocket:
        def recv_into(self, buffer):
            raise ConnectionRefusedError

    opened = receiver.port._socket
    receiver.port._socket = FailingSocket()
    receiver.port._read_batch()
    receiver.port._socket = opened
    assert receiver.port.counters.receive_errors == 1
    assert receiver.batches == []


async def test_close_and_reopen(receiver):
    # Guards against leaking the event loop's reader or the socket.
    address = receiver.port.local_address
    with pytest.raises(exceptions.PortError):
        await receiver.port.async_open()
    await receiver.port.async_close()
    await receiver.port.async_close()
    receiver.port.send(b"x", address)
    assert receiver.port.counters.send_errors == 1
    with pytest.raises(exceptions.PortError):
        receiver.port.discard_waiting()
    await receiver.port.async_open()
    assert receiver.port.receive_buffer_bytes > 0


async def test_address_in_use_raises_port_error(receiver):
    # Guards against an unhandled OSError when the daemon starts.
    address, number = receiver.port.local_address
    second = port.PacketPort(
        address=address, port=number, handle_batch=lambda batch: None
    )
    with pytest.raises(exceptions.PortError):
        await second.async_open()
