"""Tests for endpoints suspected because of unanswered handshakes."""

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import suspicion
from chivedoor.steering import verdicts
from tests.steering import conftest

A = ids.DomainId("a")
ONE, TWO = ids.EndpointId("i-1"), ids.EndpointId("i-2")


def test_suspicion_expires() -> None:
    """Guards against a wrong suspicion that never ends."""
    suspicions = suspicion.Suspicions()
    assert suspicions.record_unanswered(ONE, A, 1.0)
    assert not suspicions.record_unanswered(ONE, A, 1.1)
    assert suspicions.is_suspect(ONE, 1.2)
    assert not suspicions.is_suspect(ONE, 1.1 + const.SUSPICION_DURATION_S)


def test_single_silent_endpoint_does_not_make_domain_suspect() -> None:
    """Guards against a domain that is avoided because of one target."""
    suspicions = suspicion.Suspicions()
    suspicions.record_unanswered(ONE, A, 1.0)
    suspicions.record_unanswered(ONE, A, 1.2)
    assert not suspicions.is_domain_suspect(A, 1.3)


def test_opened_flow_clears_its_domain() -> None:
    """Guards against packet loss that makes a whole domain suspect."""
    suspicions = suspicion.Suspicions()
    suspicions.record_unanswered(ONE, A, 1.0)
    suspicions.record_opened(TWO, A)
    suspicions.record_unanswered(TWO, A, 1.1)
    assert not suspicions.is_domain_suspect(A, 1.2)
    suspicions.record_unanswered(ONE, A, 1.2)
    assert suspicions.is_domain_suspect(A, 1.3)


def test_peer_report_expires_unless_repeated() -> None:
    """Guards against suspicions that balancers renew for each other."""
    suspicions = suspicion.Suspicions()
    suspicions.record_report([ONE], 1.0)
    assert suspicions.list_suspects(1.1) == []
    assert (
        suspicions.get_penalty(ONE, A, 1.1) == const.REPORTED_SUSPICION_PENALTY
    )
    late = 1.0 + const.REPORTED_SUSPICION_LIFETIME_S
    assert suspicions.get_penalty(ONE, A, late) == 0.0


def test_unreachable_domain_is_avoided_after_two_retransmissions(
    make_steerer,
) -> None:
    """Guards against a slow handshake for each target of a failed domain.

    All 25 targets of the local domain stop answering at once, while callers
    open 40 flows per second and retransmit after 200 ms.
    """
    silent = [conftest.make_endpoint(n) for n in range(1, 26)]
    other = [conftest.make_endpoint(n, domain="b") for n in range(26, 31)]
    steerer = make_steerer(*silent, *other)
    flows = [conftest.make_flow(number) for number in range(40)]
    events = sorted(
        (1.0 + number / 40 + delay_s, retransmissions, number)
        for number in range(40)
        for retransmissions, delay_s in enumerate((0.0, 0.2))
    )
    answered = {}
    for now, retransmissions, number in events:
        if number in answered:
            continue
        opening = conftest.make_opening(
            flows[number], retransmissions=retransmissions
        )
        verdict = steerer.decide(opening, now)
        assert isinstance(verdict, verdicts.Deliver)
        if verdict.endpoint.domain == "b":
            answered[number] = now
    # Flows opened before the second retransmission may have waited for it. One
    # flow may have reached a second silent target.
    assert len(answered) >= 39
    late = [number for number in answered if answered[number] > 1.45]
    assert all(
        answered[number] - (1.0 + number / 40) < 0.01
        for number in late
        if number > 18
    )
