"""Fixtures for documents as JSON values."""

import json

import hypothesis
import pytest

# Every run uses the same examples, and no result depends on timing.
hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


@pytest.fixture
def document_value():
    """Returns a valid document with two services in shared failure domains."""
    limits = {
        "connections": 4000,
        "slots": 4,
        "ramp_initial": 2,
        "ramp_step_s": 5,
        "request_deadline_s": 30,
        "drain_deadline_s": 3600,
        "idle_timeout_s": 3600,
        "flow_rate_per_s": 5000,
        "priority": 1,
    }
    return {
        "format": 1,
        "version": 7,
        "reuse_delay_s": 86400,
        "regions": {"r1": {"a": {"out": False}, "b": {"out": True}}},
        "policies": {"streams": limits, "uploads": dict(limits)},
        "services": [
            {
                "id": "listening",
                "addresses": ["203.0.113.10"],
                "policy": "streams",
                "ports": [
                    ["tcp", 8000, 9000, "stream", True],
                    ["udp", 8002, 9000, "request", False],
                ],
                "endpoints": [
                    [1, "127.1.0.1", "a", 100, "active", 9001],
                    [2, "127.1.0.2", "b", 50, "draining", None],
                ],
            },
            {
                "id": "intake",
                "addresses": ["203.0.113.11"],
                "policy": "uploads",
                "ports": [["tcp", 8000, 9002, "upload", False]],
                "endpoints": [[3, "127.1.0.1", "a", 100, "active", 9003]],
            },
        ],
        "retired": [["127.1.9.9", "listening", 2000]],
    }


@pytest.fixture
def encode():
    """Returns a function that encodes a JSON value as a document."""
    return lambda document_value: json.dumps(document_value).encode()
