"""Tests of streams over a link that loses and reorders packets."""

import asyncio
import random

import pytest

from standins.echo import packets
from standins.echo import streams


class LossyLink:
    """Two streams connected by a link that loses and reorders packets."""

    def __init__(self, *, seed: int, loss: float) -> None:
        self._generator = random.Random(seed)
        self._loss = loss
        self.received = {0: bytearray(), 1: bytearray()}
        self.given_up: list[int] = []
        self.ends = [
            streams.Stream(
                sequence=100 * end + 1,
                expected=100 * (1 - end) + 1,
                send=lambda *fields, end=end: self._transmit(1 - end, fields),
                on_give_up=lambda end=end: self.given_up.append(end),
                max_retransmissions=2 if end else None,
            )
            for end in (0, 1)
        ]

    def _transmit(self, target: int, fields) -> None:
        if self._generator.random() < self._loss:
            return
        flags, sequence, acknowledged, payload = fields
        packet = packets.Packet(
            source=("127.0.0.1", 1),
            destination=("127.0.0.2", 2),
            flags=flags,
            sequence=sequence,
            acknowledged=acknowledged,
            payload=payload,
        )
        asyncio.get_running_loop().call_later(
            self._generator.uniform(0.0, 0.01), self._deliver, target, packet
        )

    def _deliver(self, target: int, packet: packets.Packet) -> None:
        self.received[target] += self.ends[target].receive(packet)

    def close(self) -> None:
        for end in self.ends:
            end.close()


@pytest.mark.parametrize("seed", range(4))
async def test_bytes_arrive_once_and_in_order(seed) -> None:
    """Guards against stand-ins that corrupt the data they check."""
    lossy_link = LossyLink(seed=seed, loss=0.1)
    data = random.Random(seed).randbytes(30_000)
    lossy_link.ends[0].write(data)
    async with asyncio.timeout(15):
        while bytes(lossy_link.received[1]) != data:
            await asyncio.sleep(0.02)
    lossy_link.close()


async def test_finish_arrives_after_all_data() -> None:
    """Guards against a flow that is finished before its last bytes."""
    lossy_link = LossyLink(seed=1, loss=0.0)
    lossy_link.ends[0].write(b"last")
    lossy_link.ends[0].finish()
    async with asyncio.timeout(5):
        while not lossy_link.ends[1].peer_finished:
            await asyncio.sleep(0.02)
    assert bytes(lossy_link.received[1]) == b"last"
    lossy_link.close()


async def test_endpoint_gives_up_after_its_retransmissions() -> None:
    """Guards against endpoints that retransmit forever."""
    lossy_link = LossyLink(seed=1, loss=1.0)
    lossy_link.ends[1].write(b"lost")
    async with asyncio.timeout(5):
        while not lossy_link.given_up:
            await asyncio.sleep(0.02)
    assert lossy_link.given_up == [1]
    lossy_link.close()
