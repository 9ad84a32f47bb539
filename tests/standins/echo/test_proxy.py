"""The proxy spoils connections in the way that its mode says."""

import asyncio
import contextlib

import pytest

from standins.echo import proxy

QUIET_S = 0.2


@pytest.fixture
async def target():
    """A server that answers each line with the same line."""
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
async def spoiler(target):
    address, _ = target
    made = proxy.Proxy(listen=("127.0.0.1", 0), target=address)
    await made.async_open()
    yield made
    await made.async_close()


async def connect(spoiler: proxy.Proxy):
    return await asyncio.open_connection(*spoiler.address)


async def ask(reader, writer) -> bytes:
    writer.write(b"hello\n")
    async with asyncio.timeout(QUIET_S):
        return await reader.readline()


async def test_connections_pass(spoiler) -> None:
    """Guards against a proxy that spoils what it should not."""
    assert await ask(*await connect(spoiler)) == b"hello\n"


async def test_reset_ends_open_and_new_connections(spoiler) -> None:
    """Guards against connections that outlive a reset."""
    reader, writer = await connect(spoiler)
    assert await ask(reader, writer) == b"hello\n"
    spoiler.set_mode(proxy.ProxyMode.RESET)
    with pytest.raises(ConnectionError):
        await reader.readexactly(1)
    again, _ = await connect(spoiler)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await again.readexactly(1)


async def test_silence_keeps_connections_open(spoiler, target) -> None:
    """Guards against a silence that the other end can see."""
    _, received = target
    reader, writer = await connect(spoiler)
    spoiler.set_mode(proxy.ProxyMode.SILENT)
    with pytest.raises(TimeoutError):
        await ask(reader, writer)
    assert received == []
    assert not reader.at_eof()
    spoiler.set_mode(proxy.ProxyMode.PASS)
    async with asyncio.timeout(5):
        assert await reader.readline() == b"hello\n"


async def test_one_way_cut_holds_answers_only(spoiler, target) -> None:
    """Guards against a cut that holds both directions."""
    _, received = target
    reader, writer = await connect(spoiler)
    spoiler.set_mode(proxy.ProxyMode.ONE_WAY)
    with pytest.raises(TimeoutError):
        await ask(reader, writer)
    assert received == [b"hello\n"]


async def test_delay_holds_answers_for_its_time(spoiler) -> None:
    """Guards against a slow store that is not slow."""
    reader, writer = await connect(spoiler)
    spoiler.set_mode(proxy.ProxyMode.DELAY, 2 * QUIET_S)
    with pytest.raises(TimeoutError):
        await ask(reader, writer)
    async with asyncio.timeout(5):
        assert await reader.readline() == b"hello\n"
