"""Tests for the choice between the store and a peer."""

import pytest

from chivedoor.feed import const
from chivedoor.feed import coordinator

STORE = coordinator.ReadingMode.STORE
PEER = coordinator.ReadingMode.PEER
BOTH = coordinator.ReadingMode.BOTH
LONG_S = const.SELF_READ_MIN_DURATION_S + 1.0
OLD_S = const.SELF_READ_VIEW_AGE_S + 0.1


@pytest.mark.parametrize(
    ("reader_known", "subscribed", "age_s", "reading_for_s", "expected"),
    [
        # No other balancer reads.
        (False, False, 0.1, None, STORE),
        (False, True, 0.1, LONG_S, STORE),
        # A reader delivers.
        (True, True, 0.1, None, PEER),
        (True, True, 0.1, LONG_S, PEER),
        # The reader has stalled, or there is no view yet.
        (True, True, OLD_S, None, BOTH),
        (True, True, None, None, BOTH),
        # The subscription is not open yet.
        (True, False, 0.1, None, BOTH),
        # A balancer that has just started to read does not stop at once.
        (True, True, 0.1, 0.5, BOTH),
    ],
)
def test_mode(reader_known, subscribed, age_s, reading_for_s, expected) -> None:
    """Guards against a view that becomes outdated with a peer as source."""
    mode = coordinator.choose_mode(
        reader_known=reader_known,
        subscribed=subscribed,
        view_age_s=age_s,
        reading_for_s=reading_for_s,
    )
    assert mode is expected


@pytest.mark.parametrize("age_s", [OLD_S, None])
def test_store_is_not_read_while_a_frame_arrives(age_s) -> None:
    """Guards against the same bytes twice on a link that is already full."""
    mode = coordinator.choose_mode(
        reader_known=True,
        subscribed=True,
        view_age_s=age_s,
        reading_for_s=None,
        receiving=True,
    )
    assert mode is PEER


def test_own_read_goes_on_while_a_frame_arrives() -> None:
    """Guards against a transfer that is broken off shortly before its end."""
    mode = coordinator.choose_mode(
        reader_known=True,
        subscribed=True,
        view_age_s=OLD_S,
        reading_for_s=LONG_S,
        receiving=True,
    )
    assert mode is BOTH


def test_changes_are_in_force_in_time_despite_silent_reader() -> None:
    """Guards against timeouts that add up to more than the 3 s allowed.

    In the known deployments, a configuration has to be in force after 3 s. A
    reader that stalls right after a confirmation is detected by the age of the
    view. This balancer's own read then follows within one coordination
    interval and one timeout.
    """
    worst_s = (
        const.SELF_READ_VIEW_AGE_S
        + const.COORDINATION_INTERVAL_S
        + const.READ_TIMEOUT_S * 0.5
    )
    assert worst_s < 3.0
