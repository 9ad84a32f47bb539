"""Tests for counting requests in flight from packets of callers."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import flows as flow_tables
from chivedoor.steering import observer
from chivedoor.steering import segment as segments
from tests.steering import conftest

ENDPOINT = ids.EndpointId("i-1")
OTHER = ids.EndpointId("i-2")


def open_flow(table: flow_tables.FlowTable, number: int) -> None:
    table.open_flow(conftest.make_flow(number), ENDPOINT, 0.0)


def record(
    table: flow_tables.FlowTable,
    number: int,
    *,
    acknowledged: int,
    payload_bytes: int = 0,
    now: float = 0.1,
) -> flow_tables.SegmentEffect:
    segment = conftest.make_segment(
        conftest.make_flow(number),
        acknowledged=acknowledged,
        payload_bytes=payload_bytes,
    )
    return table.record_segment(segment, ENDPOINT, now)


def test_request_is_in_flight_from_its_data_to_the_reply() -> None:
    """Guards against requests that still count after the reply arrived."""
    table = flow_tables.FlowTable(observer=observer.NullObserver())
    open_flow(table, 1)
    assert table.count_in_flight(ENDPOINT) == 1
    assert record(table, 1, acknowledged=1000)
    assert table.count_in_flight(ENDPOINT) == 0
    record(table, 1, acknowledged=1000, payload_bytes=500)
    assert table.count_in_flight(ENDPOINT) == 1
    record(table, 1, acknowledged=3000)
    assert table.count_in_flight(ENDPOINT) == 0


def test_acknowledgement_wraps_around() -> None:
    """Guards against a request that never ends when numbers wrap at 4 GiB."""
    table = flow_tables.FlowTable(observer=observer.NullObserver())
    open_flow(table, 1)
    record(table, 1, acknowledged=0xFFFFFF00, payload_bytes=10)
    record(table, 1, acknowledged=0x00000100)
    assert table.count_in_flight(ENDPOINT) == 0


def test_late_duplicate_does_not_end_a_request() -> None:
    """Guards against a late duplicate that is mistaken for progress."""
    table = flow_tables.FlowTable(observer=observer.NullObserver())
    open_flow(table, 1)
    record(table, 1, acknowledged=5000, payload_bytes=10)
    record(table, 1, acknowledged=4000)
    assert table.count_in_flight(ENDPOINT) == 1


def test_overdue_request_stops_counting() -> None:
    """Guards against an endpoint that looks busy after a lost reply."""
    table = flow_tables.FlowTable(observer=observer.NullObserver())
    open_flow(table, 1)
    record(table, 1, acknowledged=1, payload_bytes=10)
    table.expire(0.1 + const.REQUEST_LIFETIME_S + 0.1)
    assert table.count_in_flight(ENDPOINT) == 0
    assert len(table) == 1


def test_unanswered_handshake_expires() -> None:
    """Guards against handshakes that count after their callers gave up."""
    table = flow_tables.FlowTable(observer=observer.NullObserver())
    open_flow(table, 1)
    table.expire(const.HANDSHAKE_LIFETIME_S + 0.1)
    assert len(table) == 0
    assert table.list_in_flight() == {}


def test_flow_opened_by_another_balancer_is_counted() -> None:
    """Guards against taken-over flows that are never counted."""
    table = flow_tables.FlowTable(observer=observer.NullObserver())
    effect = record(table, 1, acknowledged=1, payload_bytes=10)
    assert effect is flow_tables.SegmentEffect.NONE
    assert table.count_in_flight(ENDPOINT) == 1


def test_delay_is_reported_when_a_packet_shows_just_the_reply() -> None:
    """Guards against delays that include the pause of a caller."""
    reported = []
    table = flow_tables.FlowTable(
        observer=observer.NullObserver(),
        on_reply=lambda flow, endpoint, delay_s: reported.append(delay_s),
    )
    open_flow(table, 1)
    record(table, 1, acknowledged=1, payload_bytes=10, now=1.0)
    record(table, 1, acknowledged=900, now=1.25)
    assert reported == [0.25]
    record(table, 1, acknowledged=900, payload_bytes=10, now=2.0)
    record(table, 1, acknowledged=1800, payload_bytes=10, now=9.0)
    assert reported == [0.25]


@pytest.mark.parametrize(
    ("kind", "acknowledged", "delays"),
    [
        (segments.SegmentKind.FINISH, 900, [0.25]),
        (segments.SegmentKind.FINISH, 1, []),
        (segments.SegmentKind.ABORT, 900, []),
    ],
)
def test_end_of_a_flow_reports_the_delay_of_an_answered_request(
    kind: segments.SegmentKind, acknowledged: int, delays: list[float]
) -> None:
    """Guards against abandoned requests that count as answered."""
    reported = []
    table = flow_tables.FlowTable(
        observer=observer.NullObserver(),
        on_reply=lambda flow, endpoint, delay_s: reported.append(delay_s),
    )
    open_flow(table, 1)
    record(table, 1, acknowledged=1, payload_bytes=10, now=1.0)
    segment = conftest.make_segment(
        conftest.make_flow(1), kind=kind, acknowledged=acknowledged
    )
    table.finish_flow(segment, 1.25)
    assert reported == delays
    assert table.list_in_flight() == {}


class FlowTableMachine(stateful.RuleBasedStateMachine):
    """Checks that the counts match the flows after any operations."""

    def __init__(self) -> None:
        super().__init__()
        self.table = flow_tables.FlowTable(observer=observer.NullObserver())
        self.now = 0.0

    @stateful.rule(
        number=strategies.integers(0, 5),
        endpoint=strategies.sampled_from([ENDPOINT, OTHER]),
    )
    def open(self, number: int, endpoint: ids.EndpointId) -> None:
        flow = conftest.make_flow(number)
        self.table.open_flow(flow, endpoint, self.now)

    @stateful.rule(
        number=strategies.integers(0, 5),
        endpoint=strategies.sampled_from([ENDPOINT, OTHER]),
        acknowledged=strategies.integers(0, 0xFFFFFFFF),
        payload_bytes=strategies.sampled_from([0, 100]),
    )
    def record(
        self,
        number: int,
        endpoint: ids.EndpointId,
        acknowledged: int,
        payload_bytes: int,
    ) -> None:
        segment = conftest.make_segment(
            conftest.make_flow(number),
            acknowledged=acknowledged,
            payload_bytes=payload_bytes,
        )
        self.table.record_segment(segment, endpoint, self.now)

    @stateful.rule(number=strategies.integers(0, 5))
    def close(self, number: int) -> None:
        self.table.close_flow(conftest.make_flow(number))

    @stateful.rule(passed_s=strategies.floats(0, 10))
    def expire(self, passed_s: float) -> None:
        self.now += passed_s
        self.table.expire(self.now)

    @stateful.invariant()
    def counts_match_flows(self) -> None:
        for endpoint in (ENDPOINT, OTHER):
            busy = sum(
                flow.state is not flow_tables.FlowState.IDLE
                for _, flow in self.table.iterate_flows(endpoint)
            )
            assert self.table.count_in_flight(endpoint) == busy


TestFlowTable = FlowTableMachine.TestCase
TestFlowTable.settings = hypothesis.settings(max_examples=50)


def test_packet_with_the_tag_of_another_endpoint_is_reported() -> None:
    """Guards against packets sent elsewhere without a trace in the log."""
    moved = []

    class Observer(observer.NullObserver):
        def on_tag_changed(self, flow_id, former, current) -> None:
            moved.append((flow_id, former, current))

    table = flow_tables.FlowTable(observer=Observer())
    open_flow(table, 1)
    flow = conftest.make_flow(1)
    # The other endpoint may have answered the handshake first.
    for endpoint_id in (OTHER, OTHER, ENDPOINT):
        table.record_segment(
            conftest.make_segment(flow, acknowledged=1), endpoint_id, 0.1
        )
    assert moved == [(flow, OTHER, ENDPOINT)]
