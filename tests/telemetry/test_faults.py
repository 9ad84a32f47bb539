"""Tests of logging the faults of control interfaces."""

import io
import json

import pytest

from chivedoor.control import commands
from chivedoor.control import operators
from chivedoor.rpc import counts
from chivedoor.rpc import exceptions
from chivedoor.telemetry import faults
from chivedoor.telemetry import logs

KEY = bytes(32)


@pytest.fixture
def stream():
    return io.BytesIO()


@pytest.fixture
def writer(stream):
    opened = logs.Logs(vm="v", domain="a", stream=stream, close_stream=False)
    yield opened
    opened.unload()


def read_events(writer, stream):
    """Returns message type, interface and fault of each logged event."""
    writer.unload()
    lines = map(json.loads, stream.getvalue().splitlines())
    return [
        (line["message_type"], line["interface"], line.get("fault"))
        for line in lines
    ]


def test_faults_are_logged_and_ordinary_events_are_not(writer, stream):
    # Guards against failed authentication that is not logged, and against a
    # log line for each request.
    interface_counts = counts.EventCounters()
    unsubscribe = faults.log_interface_faults(interface_counts, writer, "peer")
    interface_counts.add(exceptions.AuthenticationFault.WRONG_TAG)
    interface_counts.add(exceptions.MessageFault.OVERSIZE)
    interface_counts.add(counts.RpcEvent.BYTES_SENT, 100)
    interface_counts.add(counts.RpcEvent.REQUESTS_RECEIVED)
    unsubscribe()
    interface_counts.add(exceptions.AuthenticationFault.WRONG_TAG)
    assert read_events(writer, stream) == [
        ("authentication-failed", "peer", "wrong-tag"),
        ("message-rejected", "peer", "oversize"),
    ]


async def test_failed_handler_is_logged_with_its_location(writer, stream):
    # Guards against a handler failure that is logged without its cause.
    async def async_divide(command):
        return 1 / 0

    server = operators.OperatorServer(
        address="127.0.0.1",
        port=0,
        key=KEY,
        commands={commands.StatusCommand: async_divide},
    )
    faults.log_interface_faults(server.counts, writer, "operator")
    await server.async_open()
    try:
        client = operators.OperatorClient(
            address="127.0.0.1", port=server.port, key=KEY
        )
        async with client:
            with pytest.raises(exceptions.RequestRefusedError):
                await client.async_send(commands.StatusCommand(), 30)
    finally:
        await server.async_close()
    writer.unload()
    (line,) = map(json.loads, stream.getvalue().splitlines())
    assert line["message_type"] == "handler-failed"
    assert line["error"].startswith(
        "StatusCommand: ZeroDivisionError: division by zero at async_divide:"
    )
