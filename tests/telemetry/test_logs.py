"""Tests of the logs."""

import dataclasses
import io
import json
import os
import pathlib
import re
import threading

import pytest

from chivedoor.telemetry import const
from chivedoor.telemetry import events
from chivedoor.telemetry import exceptions
from chivedoor.telemetry import logs

EVENT = events.DocumentAccepted(
    document_version=7, source="platform", services=2, endpoints=10
)
# Fields of every line; an event with a field of that name would overwrite it.
COMMON_FIELDS = {
    "message_type",
    "level",
    "vm",
    "domain",
    "timestamp",
    "task_uuid",
    "task_level",
}
ROOT = pathlib.Path(__file__).parents[2]


class FakeClock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def create_logs(stream, clock=None):
    return logs.Logs(
        vm="vm-1",
        domain="a",
        stream=stream,
        close_stream=False,
        clock=clock or FakeClock(),
    )


def read_lines(data):
    return [json.loads(line) for line in data.splitlines()]


def test_event_is_written_as_one_json_line(tmp_path):
    # Guards against lines without the fields that operators search by.
    path = tmp_path / "log"
    writer = logs.setup_logs(vm="vm-1", domain="a", path=path)
    writer.write_event(EVENT)
    writer.unload()
    (line,) = read_lines(path.read_bytes())
    assert isinstance(line.pop("timestamp"), float)
    assert line.pop("task_uuid")
    assert line.pop("task_level")
    assert line == {
        "message_type": "document-accepted",
        "level": "info",
        "vm": "vm-1",
        "domain": "a",
        "document_version": 7,
        "source": "platform",
        "services": 2,
        "endpoints": 10,
    }


def test_log_file_is_appended_to(tmp_path):
    # Guards against a restart that deletes the log lines about its cause.
    path = tmp_path / "log"
    path.write_bytes(b'{"former": true}\n')
    writer = logs.setup_logs(vm="vm-1", domain="a", path=path)
    writer.write_event(EVENT)
    writer.unload()
    assert len(read_lines(path.read_bytes())) == 2


def test_standard_output_is_the_default(capfdbinary):
    # Guards against closing standard output at the end.
    writer = logs.setup_logs(vm="vm-1", domain="a")
    writer.write_event(EVENT)
    writer.unload()
    os.write(1, b"")
    captured = capfdbinary.readouterr().out
    assert read_lines(captured)[0]["message_type"] == "document-accepted"


def test_unusable_path_raises_log_file_error(tmp_path):
    # Guards against an untyped OSError during startup.
    with pytest.raises(exceptions.LogFileError):
        logs.setup_logs(vm="v", domain="a", path=pathlib.Path(tmp_path))


def test_events_of_one_type_are_limited_and_counted():
    # Guards against clients that fill the log with failed authentications.
    stream, clock = io.BytesIO(), FakeClock()
    writer = create_logs(stream, clock)
    event = events.AuthenticationFailed(interface="peer", fault="wrong-tag")
    for _ in range(const.LOG_BURST_EVENTS + 20):
        writer.write_event(event)
    writer.write_event(EVENT)
    clock.now_s = 1.0
    writer.write_event(event)
    writer.unload()
    lines = read_lines(stream.getvalue())
    types = [line["message_type"] for line in lines]
    assert types.count("authentication-failed") == const.LOG_BURST_EVENTS + 1
    assert types.count("document-accepted") == 1
    assert types[-1] == "events-suppressed"
    assert lines[-1]["count"] == 20
    assert writer.dump_state() == {
        "written": const.LOG_BURST_EVENTS + 3,
        "suppressed": 20,
        "failed": 0,
    }


class StuckStream(io.BytesIO):
    """A stream whose writes block until it is released."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()
        self.entered = threading.Event()

    def write(self, data):
        if data:
            self.entered.set()
            self.released.wait()
        return super().write(data)


def test_stuck_stream_does_not_block_the_caller(monkeypatch):
    # Guards against a full pipe that blocks the packet loop.
    monkeypatch.setattr(const, "LOG_QUEUE_EVENTS", 5)
    stream = StuckStream()
    writer = create_logs(stream)
    writer.write_event(EVENT)
    stream.entered.wait()
    for _ in range(10):
        writer.write_event(EVENT)
    assert writer.suppressed >= 5
    stream.released.set()
    writer.unload()
    assert writer.written >= 6


def test_failing_stream_is_counted_and_does_not_stop_the_writer():
    # Guards against a full disk that stops the daemon or all later logging.
    class FailingOnce(io.BytesIO):
        failures = 1

        def write(self, data):
            if data and self.failures:
                self.failures -= 1
                raise OSError(28, "No space left on device")
            return super().write(data)

    stream = FailingOnce()
    writer = create_logs(stream)
    writer.write_event(EVENT)
    writer.write_event(EVENT)
    writer.unload()
    assert (writer.failed, writer.written) == (1, 1)


def test_unencodable_value_does_not_raise():
    # Guards against an invalid field value that stops the event loop.
    stream = io.BytesIO()
    writer = create_logs(stream)
    writer.write_event(dataclasses.replace(EVENT, source=object()))
    writer.write_event(dataclasses.replace(EVENT, source="\ud800"))
    writer.write_event(EVENT)
    writer.unload()
    assert writer.written + writer.failed == 3
    assert writer.written >= 1


def test_events_after_unload_are_dropped():
    # Guards against tasks that fail because the log is already closed.
    writer = create_logs(io.BytesIO())
    writer.unload()
    writer.unload()
    writer.write_event(EVENT)
    assert writer.dump_state()["written"] == 0


@pytest.mark.parametrize("event_type", events.EVENTS.values())
def test_event_has_a_usable_schema(event_type):
    # Guards against fields that overwrite a common field, and against types
    # that cannot be encoded as JSON.
    names = {field.name for field in dataclasses.fields(event_type)}
    assert not names & COMMON_FIELDS
    assert event_type.__doc__.endswith(".")
    for field in dataclasses.fields(event_type):
        assert field.type in (int, float, str, bool, list[str])


@pytest.mark.parametrize("event_type", events.EVENTS.values())
def test_event_is_documented(event_type):
    # Guards against events that are missing from the documentation.
    page = (ROOT / "docs/metrics.md").read_text()
    names = ", ".join(
        f"`{field.name}`" for field in dataclasses.fields(event_type)
    )
    row = (
        f"| `{event_type.message_type}` | {event_type.level.value} | {names} | "
    )
    assert row in page


def test_documentation_lists_no_unknown_event():
    # Guards against removed events that stay in the documentation.
    page = (ROOT / "docs/metrics.md").read_text()
    rows = re.findall(
        r"^\| `([a-z-]+)` \| (?:info|warning|error) \|", page, re.M
    )
    assert sorted(rows) == sorted(events.EVENTS)
