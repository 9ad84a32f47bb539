"""Tests of the backoff between calls."""

import random

from chivedoor.configservice import backoff


def build_backoff():
    return backoff.Backoff(rng=random.Random(1), initial_s=1.0, cap_s=4.0)


def test_delays_grow_to_the_cap():
    # Guards against overloading a failing service with calls, and against a
    # delay longer than the time in which a document must take effect.
    delays = build_backoff()
    delays_s = [delays.next_delay_s() for _ in range(6)]
    for delay_s, longest_s in zip(delays_s, [1, 2, 4, 4, 4, 4], strict=True):
        assert longest_s / 2 <= delay_s <= longest_s


def test_delays_differ():
    # Guards against clients that all call at the same time after an outage.
    delays = build_backoff()
    assert len({delays.next_delay_s() for _ in range(50)}) == 50


def test_reset_starts_again():
    # Guards against a long delay after the service has recovered.
    delays = build_backoff()
    for _ in range(5):
        delays.next_delay_s()
    delays.reset()
    assert delays.next_delay_s() <= 1.0
