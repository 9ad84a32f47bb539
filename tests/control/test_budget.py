"""Tests of the byte budget for control traffic."""

import asyncio

from chivedoor.control import budget as budget_module

Priority = budget_module.Priority


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 10.0

    def __call__(self):
        return self.now


def test_rate_is_enforced_over_time():
    # Guards against control traffic that exceeds the configured rate.
    clock = Clock()
    budget = _build_budget(clock)
    sent = 0
    for _ in range(1000):
        clock.now += 0.01
        sent += 50 * budget.try_spend(Priority.DOCUMENTS, 50, clock.now)
    burst = 2000
    assert 9 * 1000 < sent <= 10 * 1000 + burst
    assert budget.sent_bytes[Priority.DOCUMENTS] == sent
    assert budget.delayed_bytes[Priority.DOCUMENTS] > 0


def test_lower_priority_classes_stop_first():
    # Guards against a probe that is delayed because a document is sent to a
    # new member.
    clock = Clock()
    budget = _build_budget(clock)
    last = {}
    for priority in reversed(Priority):
        while budget.try_spend(priority, 10, clock.now):
            last[priority] = budget.dump_state()["tokens"]
    ordered = [last[priority] for priority in Priority]
    assert ordered == sorted(ordered)
    assert len(set(ordered)) == len(Priority)
    # Probes overdraw the bucket by one burst and no further.
    assert last[Priority.PROBES] == -2000


def test_message_larger_than_the_bucket_is_sent_when_it_is_full():
    # Guards against a caller that waits forever because its message exceeds
    # the bucket.
    clock = Clock()
    budget = _build_budget(clock)
    assert budget.try_spend(Priority.DOCUMENTS, 5000, clock.now)
    assert not budget.try_spend(Priority.DOCUMENTS, 1, clock.now)
    assert budget.compute_wait_s(Priority.DOCUMENTS, 500, clock.now) == 4.5


def test_clock_that_stops_or_goes_back_adds_no_tokens():
    # Guards against surplus tokens after a call with an earlier time.
    clock = Clock()
    budget = _build_budget(clock)
    budget.try_spend(Priority.PROBES, 2000, clock.now)
    assert not budget.can_spend(Priority.MODES, 1, clock.now - 5.0)
    assert not budget.can_spend(Priority.MODES, 1, clock.now)


async def test_waiting_callers_of_a_class_keep_their_order():
    # Guards against a large message that waits forever while small ones
    # overtake it.
    budget = budget_module.ByteBudget(rate_bytes_per_s=1e6, burst_s=0.001)
    done = []

    async def async_run(name, size):
        await budget.async_spend(Priority.SLOTS, size)
        done.append(name)

    await asyncio.gather(
        async_run("first", 1000),
        async_run("large", 900),
        async_run("small", 1),
    )
    assert done == ["first", "large", "small"]
    assert budget.sent_bytes[Priority.SLOTS] == 1901


def _build_budget(clock):
    return budget_module.ByteBudget(rate_bytes_per_s=1000, clock=clock)
