"""Store keys and values that the platform and its operators write."""

from collections.abc import Iterable
from typing import Any

CONFIGURATION_KEY = "op/config"


def make_endpoint_key(endpoint_id: str) -> str:
    """Returns the store key of an endpoint."""
    return f"servers/{endpoint_id}"


def make_domain_out_key(domain: str) -> str:
    """Returns the key that exists while a failure domain is taken out."""
    return f"op/evacuate/{domain}"


def make_route(
    *, name: str, address: tuple[str, int], service: str, kind: str
) -> dict[str, Any]:
    """Builds a route; the platform encodes its port as prefix `/PORT/`."""
    host, port = address
    return {
        "name": name,
        "host": host,
        "prefix": f"/{port}/",
        "type": kind,
        "service": service,
    }


def make_configuration(
    *,
    version: int,
    routes: Iterable[dict[str, Any]],
    services: Iterable[str],
    warmup_per_s: float,
) -> dict[str, Any]:
    """Builds a configuration in which all services have one warm-up rate."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": name, "warmup_per_s": warmup_per_s} for name in services
        ],
    }
