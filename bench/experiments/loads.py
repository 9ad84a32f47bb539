"""Caller loads; except for overloads, they fit into the target slots."""

from typing import Any

LISTENING_SERVICE = "listening"
INTAKE_SERVICE = "intake"
# Load by which seconds without service are counted.
REQUEST_LOAD = "request-tcp"

_STREAM = {"records": 40, "rate_per_s": 5.0, "record_bytes": 256}
_REQUEST = {"answer_bytes": 1000, "work_s": 0.02}
_UPLOAD = {"blocks": 40, "block_bytes": 1024, "rate_per_s": 20.0}


def build_load(
    name: str, service: str, port: int, rate_per_s: float, shape: dict
) -> dict[str, Any]:
    """Returns a TCP load in JSON form."""
    return {
        "name": name,
        "service": service,
        "protocol": "tcp",
        "port": port,
        "rate_per_s": rate_per_s,
        "shape": shape,
    }


def build_mixed_loads() -> list[dict]:
    """Returns streams, uploads and requests over TCP and UDP."""
    datagrams = build_load(
        "request-udp", LISTENING_SERVICE, 8002, 20.0, _REQUEST
    )
    return [
        build_load("stream", LISTENING_SERVICE, 8000, 30.0, _STREAM),
        build_load(REQUEST_LOAD, LISTENING_SERVICE, 8001, 20.0, _REQUEST),
        {**datagrams, "protocol": "udp"},
        build_load("upload", INTAKE_SERVICE, 8010, 2.0, _UPLOAD),
    ]


def build_balance_loads() -> list[dict]:
    """Returns the mixed loads plus many short flows to measure the balance."""
    short_stream = {"records": 1, "rate_per_s": 20.0, "record_bytes": 256}
    short_upload = {"blocks": 1, "block_bytes": 1024}
    return [
        *build_mixed_loads(),
        build_load(
            "short-stream", LISTENING_SERVICE, 8000, 100.0, short_stream
        ),
        build_load("short-upload", INTAKE_SERVICE, 8010, 55.0, short_upload),
    ]


def build_slow_requests(rate_per_s: float, work_s: float) -> dict[str, Any]:
    """Returns TCP requests that occupy a slot for `work_s` seconds each."""
    shape = {"answer_bytes": 1000, "work_s": work_s}
    return build_load(
        "slow-request", LISTENING_SERVICE, 8001, rate_per_s, shape
    )


def build_background_loads() -> list[dict]:
    """Returns the loads that run alongside the requests of an overload."""
    return [
        load
        for load in build_mixed_loads()
        if load["name"] in ("stream", "upload")
    ]
