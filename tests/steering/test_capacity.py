"""Tests of the service times and limits of endpoints."""

from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies
import pytest

from chivedoor.steering import capacity
from chivedoor.steering import const
from chivedoor.steering import delays
from chivedoor.steering import view as views
from tests.steering import conftest

SERVICE_S = 0.0236
GOAL_S = 0.606
WAIT_S = const.SHORTAGE_WAIT_SHARE * GOAL_S
ENDPOINTS = [conftest.make_endpoint(number, slots=2) for number in range(1, 6)]
FIRST, *OTHERS = ENDPOINTS


class Recorder:
    """Passes completed requests to a capacity table, a tick at a time."""

    def __init__(self) -> None:
        self.delays = delays.DelayTable()
        self.capacity = capacity.CapacityTable()

    def tick(
        self,
        requests: Sequence[tuple[views.Endpoint, float]],
        listed: Sequence[views.Endpoint] = ENDPOINTS,
        now: float = 0.0,
        load: float = 0.5,
    ) -> None:
        """Records requests by endpoint and delay in seconds, and updates."""
        for endpoint, delay_s in requests:
            self.delays.record(
                endpoint.id, delay_s=delay_s, goal_s=GOAL_S, load=load
            )
        self.delays.update(now)
        self.capacity.update(
            self.delays, {endpoint.id: endpoint for endpoint in listed}
        )

    def compute_limit(self, endpoint: views.Endpoint = FIRST) -> float:
        """Returns the limit of an endpoint for the least important route."""
        times_s = capacity.estimate_service_times(ENDPOINTS, self.capacity)
        return capacity.compute_limit(
            endpoint=endpoint, service_s=times_s[endpoint.id], wait_s=WAIT_S
        )


@pytest.fixture
def recorder() -> Recorder:
    """Table whose endpoints completed ten requests in the common time."""
    recorder = Recorder()
    recorder.tick([(e, SERVICE_S) for e in ENDPOINTS for _ in range(10)])
    return recorder


def test_one_long_request_leaves_the_limit(recorder: Recorder) -> None:
    """Guards against an endpoint that is avoided after one long request."""
    recorder.tick(
        [(FIRST, 9.0 * SERVICE_S)]
        + [(e, SERVICE_S) for e in ENDPOINTS for _ in range(10)]
    )
    assert recorder.compute_limit() == 2 * const.MAX_REQUESTS_PER_SLOT


def test_slow_endpoint_is_found_within_a_second(recorder: Recorder) -> None:
    """Guards against queues at an endpoint that answers nine times slower.

    With both slots busy, it completes two or three requests in each tick.
    """
    for _ in range(4):
        recorder.tick(
            [(FIRST, 9.0 * SERVICE_S) for _ in range(2)]
            + [(e, SERVICE_S) for e in OTHERS for _ in range(10)]
        )
    times_s = capacity.estimate_service_times(ENDPOINTS, recorder.capacity)
    assert times_s[FIRST.id] > 4.5 * SERVICE_S
    assert times_s[OTHERS[0].id] == pytest.approx(SERVICE_S, rel=0.5)
    assert recorder.compute_limit() < recorder.compute_limit(OTHERS[0])


def test_endpoint_that_recovers_counts_as_fast_within_a_second(
    recorder: Recorder,
) -> None:
    """Guards against flows that avoid an endpoint after its slow phase.

    The others would be filled until it counts as fast again.
    """
    for _ in range(4):
        recorder.tick([(FIRST, 9.0 * SERVICE_S) for _ in range(3)])
    for _ in range(4):
        recorder.tick([(FIRST, SERVICE_S) for _ in range(8)])
    times_s = capacity.estimate_service_times(ENDPOINTS, recorder.capacity)
    assert times_s[FIRST.id] < 2.0 * SERVICE_S


def test_requests_of_usual_length_do_not_show_a_recovery(
    recorder: Recorder,
) -> None:
    """Guards against limits that grow whenever no long request completes.

    One request in 20 takes seven times as long as the others.
    """
    for _ in range(8):
        recorder.tick([(FIRST, 7.0 * SERVICE_S)] + [(FIRST, SERVICE_S)] * 19)
    times_s = capacity.estimate_service_times(ENDPOINTS, recorder.capacity)
    for _ in range(3):
        recorder.tick([(FIRST, SERVICE_S)] * 8)
    later_s = capacity.estimate_service_times(ENDPOINTS, recorder.capacity)
    assert later_s[FIRST.id] > 0.6 * times_s[FIRST.id]


def test_rejected_requests_do_not_show_a_recovery(recorder: Recorder) -> None:
    """Guards against a slow endpoint that looks fast because it is full.

    It turns requests away at once while five wait for each slot.
    """
    for _ in range(4):
        recorder.tick([(FIRST, 9.0 * SERVICE_S) for _ in range(3)])
    for _ in range(2):
        recorder.tick([(FIRST, 0.002) for _ in range(20)], load=5.0)
    times_s = capacity.estimate_service_times(ENDPOINTS, recorder.capacity)
    assert times_s[FIRST.id] > 2.0 * SERVICE_S


def test_restart_under_the_same_id_forgets(recorder: Recorder) -> None:
    """Guards against a new process that is judged by its predecessor."""
    for _ in range(4):
        recorder.tick([(FIRST, 9.0 * SERVICE_S) for _ in range(3)])
    restarted = conftest.make_endpoint(1, slots=2, incarnation=2)
    # Requests of the former process have left the recent delays.
    recorder.delays = delays.DelayTable()
    recorder.tick([], [restarted, *OTHERS])
    assert recorder.capacity.get(FIRST.id) is None
    assert recorder.capacity.get(OTHERS[0].id) is not None


def test_removed_endpoints_are_dropped(recorder: Recorder) -> None:
    """Guards against a table that grows with each endpoint that ends."""
    recorder.tick([], OTHERS)
    assert recorder.capacity.get(FIRST.id) is None
    assert len(recorder.capacity) == len(OTHERS)


def test_idle_endpoints_are_dropped(recorder: Recorder) -> None:
    """Guards against an old estimate that never ends."""
    for _ in range(40):
        recorder.tick([])
    assert not len(recorder.capacity)


def test_unknown_endpoint_has_the_common_time(recorder: Recorder) -> None:
    """Guards against a new endpoint that gets no flows, or all of them."""
    unknown = conftest.make_endpoint(9, slots=2)
    times_s = capacity.estimate_service_times(
        [*ENDPOINTS, unknown], recorder.capacity
    )
    assert times_s[unknown.id] == pytest.approx(SERVICE_S)


def test_nothing_known_gives_the_largest_limit() -> None:
    """Guards against a division by zero before the first request."""
    assert Recorder().compute_limit() == 2 * const.MAX_REQUESTS_PER_SLOT


@given(
    slots=strategies.integers(1, 64),
    service_s=strategies.floats(0.0, 1000.0),
    wait_s=strategies.floats(0.0, 1000.0),
)
def test_limit_uses_each_slot(
    slots: int, service_s: float, wait_s: float
) -> None:
    """Guards against idle slots, and against queues of unknown length."""
    limit = capacity.compute_limit(
        endpoint=conftest.make_endpoint(1, slots=slots),
        service_s=service_s,
        wait_s=wait_s,
    )
    assert slots <= limit <= slots * const.MAX_REQUESTS_PER_SLOT
