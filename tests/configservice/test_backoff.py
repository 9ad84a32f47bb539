"""Tests of the delays between calls."""

import random

from chivedoor.configservice import backoff


def build_backoff():
    return backoff.Backoff(generator=random.Random(1), initial_s=1.0, cap_s=4.0)


def test_delays_grow_to_the_cap():
    # Guards against a service in trouble that is called ever more often, and
    # against a delay that grows beyond the time a document may take.
    delays = build_backoff()
    delays_s = [delays.next_delay_s() for _ in range(6)]
    for delay_s, longest_s in zip(delays_s, [1, 2, 4, 4, 4, 4], strict=True):
        assert longest_s / 2 <= delay_s <= longest_s


def test_delays_differ():
    # Guards against readers that call at the same time after an outage.
    delays = build_backoff()
    assert len({delays.next_delay_s() for _ in range(50)}) == 50


def test_reset_starts_again():
    # Guards against a long delay after the service has returned.
    delays = build_backoff()
    for _ in range(5):
        delays.next_delay_s()
    delays.reset()
    assert delays.next_delay_s() <= 1.0
