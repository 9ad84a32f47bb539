"""Tests of the log writer: non-blocking, non-raising and bounded."""

import json
import os

import pytest

from chivedoor import ids
from chivedoor.edge import const
from chivedoor.edge import log_writer


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def make_writer(descriptor: int, now: list[float]) -> log_writer.LogWriter:
    return log_writer.LogWriter(
        vm=ids.VmId("vm-1"),
        domain=ids.DomainId("a"),
        descriptor=descriptor,
        clock=lambda: now[0],
        wall_clock=lambda: 1.5,
    )


def test_line_is_json_with_vm_and_domain(pipe) -> None:
    """Guards against lines without the fields that operators search by."""
    log = make_writer(pipe[1], [0.0])
    log.write(log_writer.EventType.FLOW_PLACED, flow="a:1>b:2", endpoint="i-1")
    log.flush()
    assert json.loads(os.read(pipe[0], 4096)) == {
        "timestamp": 1.5,
        "message_type": "flow-placed",
        "vm": "vm-1",
        "domain": "a",
        "flow": "a:1>b:2",
        "endpoint": "i-1",
    }


def test_rate_is_limited_and_suppressed_lines_are_counted(pipe) -> None:
    """Guards against excessive logging when many packets are dropped."""
    now = [0.0]
    log = make_writer(pipe[1], now)
    for _ in range(const.LOG_BURST_LINES + 100):
        log.write(log_writer.EventType.PACKET_DROPPED, reason="x")
    log.flush()
    now[0] = 1.0
    log.write(log_writer.EventType.PACKET_DROPPED, reason="x")
    log.flush()
    written = os.read(pipe[0], 1_000_000).decode().splitlines()
    suppressed = [
        json.loads(line) for line in written if "lines-suppressed" in line
    ]
    assert [line["count"] for line in suppressed] == [100]


def test_full_pipe_does_not_block(pipe) -> None:
    """Guards against a process that blocks when its log is not read."""
    log = make_writer(pipe[1], [0.0])
    for number in range(5000):
        log.write(
            list(log_writer.EventType)[number % len(log_writer.EventType)],
            pad="x" * 400,
        )
        log.flush()
    assert log.suppressed > 0
    read = 0
    while True:
        log.flush()
        os.set_blocking(pipe[0], False)
        try:
            read += len(os.read(pipe[0], 1_000_000))
        except BlockingIOError:
            break
    assert read < 2 * const.LOG_BUFFER_BYTES + const.LOG_BUFFER_LINES * 700


def test_closed_pipe_does_not_raise() -> None:
    """Guards against a process that ends when its log reader exits."""
    reading, writing = os.pipe()
    log = make_writer(writing, [0.0])
    os.close(reading)
    log.write(log_writer.EventType.STARTED)
    log.flush()
    os.close(writing)
    assert log.failed == 1
