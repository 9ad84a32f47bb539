"""Tests of emulated endpoints."""

import random
import time

from standins.echo import endpoints


def make_endpoint() -> endpoints.Endpoint:
    return endpoints.Endpoint(
        id="i-1",
        service="main",
        domain="a",
        host="127.0.0.1",
        slots=1,
        work_s=0.0,
        callers_port=1,
        observer=None,
        is_reachable=lambda endpoint, sender: True,
        generator=random.Random(1),
    )


def test_sequence_rises_within_a_lifetime() -> None:
    """Guards against entries whose order cannot be told."""
    endpoint = make_endpoint()
    first, second = endpoint.build_entry(), endpoint.build_entry()
    assert first["sequence"] < second["sequence"]
    assert first["born"] == second["born"]
    time.sleep(0.002)
    endpoint.restart()
    restarted = endpoint.build_entry()
    assert restarted["sequence"] == first["sequence"]
    assert restarted["born"] > first["born"]
