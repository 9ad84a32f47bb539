"""Tests of the modes of the proxy."""

import asyncio
import contextlib

import pytest

from standins.echo import proxy

REPLY_TIMEOUT_S = 0.2


@pytest.fixture
async def target():
    """A server that echoes each line."""
    received: list[bytes] = []

    async def async_serve(reader, writer) -> None:
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                received.append(line)
                writer.write(line)
        writer.close()

    server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
    yield server.sockets[0].getsockname(), received
    server.close()


@pytest.fixture
async def faulty_proxy(target):
    address, _ = target
    made = proxy.Proxy(listen=("127.0.0.1", 0), target=address)
    await made.async_open()
    yield made
    await made.async_close()


async def connect(faulty_proxy: proxy.Proxy):
    return await asyncio.open_connection(*faulty_proxy.address)


async def ask(reader, writer) -> bytes:
    writer.write(b"hello\n")
    async with asyncio.timeout(REPLY_TIMEOUT_S):
        return await reader.readline()


async def test_connections_pass(faulty_proxy) -> None:
    """Guards against disruption in mode PASS."""
    assert await ask(*await connect(faulty_proxy)) == b"hello\n"


async def test_reset_ends_open_and_new_connections(faulty_proxy) -> None:
    """Guards against connections that survive mode RESET."""
    reader, writer = await connect(faulty_proxy)
    assert await ask(reader, writer) == b"hello\n"
    faulty_proxy.set_mode(proxy.ProxyMode.RESET)
    with pytest.raises(ConnectionError):
        await reader.readexactly(1)
    again, _ = await connect(faulty_proxy)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await again.readexactly(1)


async def test_silence_keeps_connections_open(faulty_proxy, target) -> None:
    """Guards against connections that are closed in mode SILENT."""
    _, received = target
    reader, writer = await connect(faulty_proxy)
    faulty_proxy.set_mode(proxy.ProxyMode.SILENT)
    with pytest.raises(TimeoutError):
        await ask(reader, writer)
    assert received == []
    assert not reader.at_eof()
    faulty_proxy.set_mode(proxy.ProxyMode.PASS)
    async with asyncio.timeout(5):
        assert await reader.readline() == b"hello\n"


async def test_one_way_mode_blocks_answers_only(faulty_proxy, target) -> None:
    """Guards against requests that are held back as well."""
    _, received = target
    reader, writer = await connect(faulty_proxy)
    faulty_proxy.set_mode(proxy.ProxyMode.ONE_WAY)
    with pytest.raises(TimeoutError):
        await ask(reader, writer)
    assert received == [b"hello\n"]


async def test_delay_mode_delays_answers(faulty_proxy) -> None:
    """Guards against answers that arrive without the delay."""
    reader, writer = await connect(faulty_proxy)
    faulty_proxy.set_mode(proxy.ProxyMode.DELAY, 2 * REPLY_TIMEOUT_S)
    with pytest.raises(TimeoutError):
        await ask(reader, writer)
    async with asyncio.timeout(5):
        assert await reader.readline() == b"hello\n"
