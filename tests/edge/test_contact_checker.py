"""Tests for connection attempts to silent endpoints."""

import asyncio
from collections.abc import Iterator
import contextlib
import socket

import pytest

from chivedoor.edge import contact_checker
from chivedoor.steering import contacts
from tests.steering import conftest as steering_fixtures


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """Returns a listening socket with room for one connection."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        yield server


async def test_host_that_accepts_has_answered(listener) -> None:
    """Guards against resets of flows of an endpoint that is only full."""
    result = await contact_checker.async_check(listener.getsockname())
    assert result is contacts.Contact.ANSWERED


async def test_host_that_rejects_has_answered(listener) -> None:
    """Guards against resets where the host sends resets itself."""
    address = listener.getsockname()
    listener.close()
    result = await contact_checker.async_check(address)
    assert result is contacts.Contact.ANSWERED


async def test_host_without_answer_is_silent(listener) -> None:
    """Guards against callers that wait for an endpoint without power.

    The queue of the listener is full, so that its host drops further attempts.
    """
    loop = asyncio.get_running_loop()
    with contextlib.ExitStack() as stack:
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    await loop.sock_connect(filler, listener.getsockname())
        result = await contact_checker.async_check(listener.getsockname())
    assert result is contacts.Contact.SILENT


async def test_failure_to_attempt_is_no_silence() -> None:
    """Guards against resets by a balancer without sockets or routes."""
    result = await contact_checker.async_check(("255.255.255.255", 9))
    assert result is contacts.Contact.FAILED


async def test_closed_checker_reports_nothing(listener) -> None:
    """Guards against results that arrive after the end of the balancer."""
    results = []
    checker = contact_checker.ContactChecker(
        on_result=lambda *result: results.append(result)
    )
    checker.start(steering_fixtures.make_endpoint(1))
    checker.close()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert results == []
