"""In-memory websocket connections whose frames a test can modify."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest


class FakeProtocol:
    """Replaces the protocol object that holds the message size limit."""

    max_message_size = 0


class FakeTransport:
    """Replaces the TCP transport and records an abort."""

    def __init__(self) -> None:
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


class FakeConnection:
    """One end of an in-memory connection."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[bytes] = asyncio.Queue()
        self.sent: list[bytes] = []
        self.peer: FakeConnection | None = None
        self.modify_frame: Callable[[bytes], bytes] = lambda frame: frame
        self.protocol = FakeProtocol()
        self.transport = FakeTransport()

    async def send(self, frame: bytes) -> None:
        self.sent.append(frame)
        await self.peer.received.put(self.modify_frame(frame))

    async def recv(self, decode: Any = None) -> bytes:
        return await self.received.get()


@pytest.fixture
def connections() -> tuple[FakeConnection, FakeConnection]:
    client, server = FakeConnection(), FakeConnection()
    client.peer, server.peer = server, client
    return client, server
