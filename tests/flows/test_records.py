"""Tests of the flow records of one target and of the refresh filter."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from chivedoor.configuration import document as documents
from chivedoor.flows import const
from chivedoor.flows import records
from chivedoor.flows import refresh

_State = records.FlowState
_Kind = documents.PortKind
_KEY = 1 << 63
_TIMEOUTS = {"idle_timeout_s": 100.0, "slot_timeout_s": 30.0}
_EVENTS = strategies.lists(
    strategies.sampled_from(
        ("confirm", "close_caller", "close_target", "close", "touch", "wait")
    ),
    max_size=12,
)


@pytest.fixture
def table():
    return records.FlowTable(now=0.0, opening_timeout_s=20.0)


@settings(max_examples=300)
@given(events=_EVENTS, kind=strategies.sampled_from(_Kind))
def test_every_flow_ends_exactly_once(events, kind):
    # Guards against slots and connections that are never released or released
    # twice.
    table = records.FlowTable(now=0.0, opening_timeout_s=20.0)
    table.open(_KEY, kind, 0.0)
    ended = []
    now = 0.0
    for event in [*events, *["wait"] * 30]:
        if event == "wait":
            now += 12.0
            closed, _ = table.expire(now=now, **_TIMEOUTS)
            ended += closed
        elif _KEY in table:
            result = getattr(table, event)(_KEY, now)
            if result and event.startswith("close"):
                ended.append(kind)
    assert _KEY not in table
    assert ended == [kind]


def test_flow_opens_with_the_first_answer_only(table):
    # Guards against counting one handshake several times in the health of a
    # target.
    table.open(_KEY, _Kind.STREAM, 0.0)
    assert table.get_state(_KEY) is _State.OPENING
    assert table.confirm(_KEY, 1.0)
    assert not table.confirm(_KEY, 2.0)
    assert table.get_state(_KEY) is _State.OPEN
    assert table.get_kind(_KEY) is _Kind.STREAM


def test_flow_ends_with_the_second_fin(table):
    # Guards against freeing a slot while the target still counts the request.
    table.open(_KEY, _Kind.REQUEST, 0.0)
    assert not table.close_target(_KEY, 1.0)
    assert not table.close_target(_KEY, 1.0)
    assert table.close_caller(_KEY, 2.0)
    assert not table.close(_KEY, 3.0)
    assert table.get_state(_KEY) is _State.CLOSED


@pytest.mark.parametrize(
    ("kind", "is_confirmed", "timeout_s"),
    [
        (_Kind.STREAM, False, 20.0),
        (_Kind.STREAM, True, 100.0),
        (_Kind.UPLOAD, False, 30.0),
        (_Kind.UPLOAD, True, 30.0),
    ],
)
def test_idle_flow_closes_after_its_timeout_and_its_record_later(
    table, kind, is_confirmed, timeout_s
):
    # Guards against closing a flow too early, which frees a slot in use.
    table.open(_KEY, kind, 3.9)
    if is_confirmed:
        table.confirm(_KEY, 3.9)
    # The time of the last packet is stored in units of TIME_UNIT_S.
    latest_s = 3.9 + timeout_s + const.TIME_UNIT_S
    assert table.expire(now=3.9 + timeout_s, **_TIMEOUTS) == ([], [])
    assert table.expire(now=latest_s, **_TIMEOUTS) == ([kind], [])
    assert table.get_state(_KEY) is _State.CLOSED
    end_s = latest_s + const.CLOSED_LINGER_S
    assert table.expire(now=end_s, **_TIMEOUTS) == ([], [])
    later_s = end_s + const.TIME_UNIT_S
    assert table.expire(now=later_s, **_TIMEOUTS) == ([], [_KEY])


def test_packet_postpones_the_timeout(table):
    # Guards against closing an established flow that still has traffic.
    table.open(_KEY, _Kind.STREAM, 0.0)
    table.confirm(_KEY, 0.0)
    table.touch(_KEY, 90.0)
    assert table.expire(now=180.0, **_TIMEOUTS) == ([], [])
    closed, _ = table.expire(now=200.0, **_TIMEOUTS)
    assert closed == [_Kind.STREAM]


def test_remove_returns_whether_the_flow_was_open(table):
    # Guards against a wrongly adopted flow that is never released from the
    # limits.
    table.adopt(_KEY, _Kind.UPLOAD, 0.0)
    assert table.is_adopted(_KEY)
    assert table.remove(_KEY)
    assert _KEY not in table
    table.open(_KEY, _Kind.UPLOAD, 0.0)
    assert not table.is_adopted(_KEY)
    table.close(_KEY, 0.0)
    assert not table.remove(_KEY)


def test_expiry_reaches_all_records_in_bounded_steps(table):
    # Guards against blocking the event loop, and against records that are
    # skipped.
    count = const.EXPIRE_MAX_BATCH * const.EXPIRE_PASS_CALLS + 1
    for key in range(count):
        table.open(key, _Kind.STREAM, 0.0)
    sizes = [
        len(table.expire(now=50.0, **_TIMEOUTS)[0])
        for _ in range(const.EXPIRE_PASS_CALLS + 2)
    ]
    assert max(sizes) <= const.EXPIRE_MAX_BATCH
    assert sum(sizes) == count


def test_refresh_passes_one_packet_of_a_long_flow_in_a_window():
    # Guards against records that expire although the flow has traffic in mode
    # `DIRECT`, and against owners that get every packet.
    refresh_filter = refresh.RefreshFilter(salt=1, window_s=600.0)
    passed = [
        refresh_filter.is_due(_KEY, float(now)) for now in range(0, 6000, 10)
    ]
    windows = [passed[i : i + 60] for i in range(0, 600, 60)]
    assert [sum(window) for window in windows] == [0] + [1] * 9


def test_refresh_passes_no_packet_of_a_short_or_resumed_flow():
    # Guards against owners that get packets of every short or resumed flow.
    refresh_filter = refresh.RefreshFilter(salt=1, window_s=600.0)
    assert not refresh_filter.is_due(_KEY, 10.0)
    assert not refresh_filter.is_due(_KEY, 590.0)
    assert not refresh_filter.is_due(_KEY, 1900.0)
