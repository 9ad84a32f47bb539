"""Streams over a wire that loses, doubles and reorders packets."""

import asyncio
import random

import pytest

from standins.echo import packets
from standins.echo import streams


class Wire:
    """Two streams with a lossy path between them."""

    def __init__(self, *, seed: int, loss: float) -> None:
        self._generator = random.Random(seed)
        self._loss = loss
        self.received = {0: bytearray(), 1: bytearray()}
        self.given_up: list[int] = []
        self.ends = [
            streams.Stream(
                sequence=100 * end + 1,
                expected=100 * (1 - end) + 1,
                send=lambda *fields, end=end: self._carry(1 - end, fields),
                give_up=lambda end=end: self.given_up.append(end),
                repetitions=2 if end else None,
            )
            for end in (0, 1)
        ]

    def _carry(self, target: int, fields) -> None:
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
        self.received[target] += self.ends[target].take(packet)

    def close(self) -> None:
        for end in self.ends:
            end.close()


@pytest.mark.parametrize("seed", range(4))
async def test_bytes_arrive_once_and_in_order(seed) -> None:
    """Guards against stand-ins that break what they are to judge."""
    wire = Wire(seed=seed, loss=0.1)
    data = random.Random(seed).randbytes(30_000)
    wire.ends[0].write(data)
    async with asyncio.timeout(15):
        while bytes(wire.received[1]) != data:
            await asyncio.sleep(0.02)
    wire.close()


async def test_end_is_told_once_everything_was_sent() -> None:
    """Guards against a flow that closes before its last bytes."""
    wire = Wire(seed=1, loss=0.0)
    wire.ends[0].write(b"last")
    wire.ends[0].finish()
    async with asyncio.timeout(5):
        while not wire.ends[1].finished:
            await asyncio.sleep(0.02)
    assert bytes(wire.received[1]) == b"last"
    wire.close()


async def test_endpoint_gives_up_after_its_repetitions() -> None:
    """Guards against endpoints that repeat for ever."""
    wire = Wire(seed=1, loss=1.0)
    wire.ends[1].write(b"lost")
    async with asyncio.timeout(5):
        while not wire.given_up:
            await asyncio.sleep(0.02)
    assert wire.given_up == [1]
    wire.close()
