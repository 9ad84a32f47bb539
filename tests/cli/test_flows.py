"""Tests of the reconstruction of a flow's history from logs."""

import json

from chivedoor.cli import control
from chivedoor.cli import flows

FLOW = "100.64.0.4:1056>198.18.0.1:443"


def make_event(at, kind, vm="vm-1", **fields):
    return {"timestamp": at, "message_type": kind, "vm": vm, **fields}


EVENTS = [
    make_event(1.0, "view-stale", age_s=2.1),
    make_event(3.0, "flow-placed", flow=FLOW, endpoint="i-1", repetition=0),
    make_event(3.1, "endpoint-removed", endpoint="i-1"),
    make_event(3.1, "endpoint-removed", endpoint="i-2"),
    make_event(3.2, "endpoint-removed", vm="vm-2", endpoint="i-1"),
    make_event(
        3.3, "flow-refused", flow=FLOW, reason="endpoint-removed", vm="vm-3"
    ),
    make_event(99.0, "view-stale"),
    make_event(3.0, "flow-placed", flow="100.64.0.4:10561>198.18.0.1:443"),
]


def test_selects_flow_events_and_state_of_its_balancers() -> None:
    """Guards against a history without the state of the balancers."""
    found = flows.select_events(EVENTS, "100.64.0.4:1056", margin_s=5.0)
    assert [(event["message_type"], event["vm"]) for event in found] == [
        ("view-stale", "vm-1"),
        ("flow-placed", "vm-1"),
        ("endpoint-removed", "vm-1"),
        ("flow-refused", "vm-3"),
    ]


def test_unknown_flow_has_no_history() -> None:
    """Guards against state events that are shown without a flow."""
    assert flows.select_events(EVENTS, "1.2.3.4", margin_s=5.0) == []


def test_lines_that_are_not_events_are_left_out() -> None:
    """Guards against a command that fails at a traceback in a log."""
    lines = ["Traceback", "[]", "5", "{}", json.dumps(EVENTS[0])]
    assert list(flows.parse_lines(lines)) == [EVENTS[0]]


def test_command_prints_the_history(tmp_path, capsys) -> None:
    """Guards against a command that finds no events in log files."""
    path = tmp_path / "vm-1.log"
    path.write_text("\n".join(map(json.dumps, EVENTS)))
    command = control.Flow(files=[path], flow="100.64.0.4:1056")
    assert control.run_command(command) is control.ExitCode.OK
    printed = capsys.readouterr().out
    assert "reason=endpoint-removed" in printed
    assert "+2.000 s" in printed


def test_command_reports_an_unknown_flow(tmp_path, capsys) -> None:
    """Guards against an empty output with a successful exit code."""
    path = tmp_path / "vm-1.log"
    path.write_text("")
    command = control.Flow(files=[path], flow="1.2.3.4")
    assert control.run_command(command) is not control.ExitCode.OK
