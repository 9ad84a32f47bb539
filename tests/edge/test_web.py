"""Tests of the HTTP server, including hostile clients."""

import asyncio
import http

import pytest

from chivedoor.edge import const
from chivedoor.edge import web


@pytest.fixture
async def server():
    opened = web.WebServer(
        host="127.0.0.1",
        port=0,
        handle=lambda path: (
            web.Response(status=http.HTTPStatus.OK, body=b"yes")
            if path == "/ok"
            else None
        ),
    )
    await opened.async_open()
    yield opened
    opened.close()


async def async_exchange(server, data: bytes) -> bytes:
    incoming, outgoing = await asyncio.open_connection("127.0.0.1", server.port)
    outgoing.write(data)
    outgoing.write_eof()
    async with asyncio.timeout(10):
        response = await incoming.read()
    outgoing.close()
    return response


async def test_requests_share_a_connection(server) -> None:
    """Guards against a server that closes connections after a request."""
    request = b"GET /ok HTTP/1.1\r\nHost: x\r\n\r\n"
    response = await async_exchange(server, request * 2)
    assert response.count(b"HTTP/1.1 200 OK") == 2
    assert response.endswith(b"yes")


@pytest.mark.parametrize(
    ("request_line", "status"),
    [
        (b"GET /none HTTP/1.1", b"404"),
        (b"POST /ok HTTP/1.1", b"405"),
        (b"GET /ok?x=1 HTTP/1.1", b"200"),
    ],
)
async def test_status(server, request_line: bytes, status: bytes) -> None:
    """Guards against wrong statuses for unknown paths and methods."""
    response = await async_exchange(
        server, request_line + b"\r\nHost: x\r\n\r\n"
    )
    assert response.split()[1] == status


@pytest.mark.parametrize(
    "data", [b"\x00\xff" * 50, b"GET /" + b"a" * 5000 + b" HTTP/1.1\r\n\r\n"]
)
async def test_malformed_request_closes_the_connection(server, data) -> None:
    """Guards against malformed requests that stop the server."""
    assert b"200" not in await async_exchange(server, data)
    response = await async_exchange(
        server, b"GET /ok HTTP/1.1\r\nHost: x\r\n\r\n"
    )
    assert b"200" in response


async def test_connections_are_bounded(server) -> None:
    """Guards against a client that exhausts the file descriptors."""
    connections = [
        await asyncio.open_connection("127.0.0.1", server.port)
        for _ in range(const.HTTP_MAX_CONNECTIONS + 5)
    ]
    await asyncio.sleep(0.1)
    closed = sum(incoming.at_eof() for incoming, _ in connections)
    for _, outgoing in connections:
        outgoing.close()
    assert closed >= 5
