"""A websocket connection whose frames a test can change."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest


class Protocol:
    """Stands in for the protocol object that holds the message limit."""

    max_message_size = 0


class Transport:
    """Stands in for the TCP transport."""

    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


class Pipe:
    """One end of a connection in memory."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        self.sent: list[bytes] = []
        self.other: Pipe | None = None
        self.change: Callable[[bytes], bytes] = lambda frame: frame
        self.protocol = Protocol()
        self.transport = Transport()

    async def send(self, frame: bytes) -> None:
        self.sent.append(frame)
        await self.other.received.put(self.change(frame))

    async def recv(self, decode: Any = None) -> bytes:
        return await self.received.get()


@pytest.fixture
def pipes() -> tuple[Pipe, Pipe]:
    client, server = Pipe(), Pipe()
    client.other, server.other = server, client
    return client, server
