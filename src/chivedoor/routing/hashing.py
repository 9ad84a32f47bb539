"""Hash functions that give the same results on all balancers."""

import math
import struct

import xxhash

from chivedoor import ids
from chivedoor.routing import const

_PAIR = struct.Struct("<QQ")
_PORTS = struct.Struct("!BHH")
_DIGEST_RANGE = 2.0**64


def compute_flow_key(
    *,
    protocol: int,
    caller: bytes,
    caller_port: int,
    service: bytes,
    service_port: int,
) -> ids.FlowKey:
    """Returns the 64-bit key of a flow, which is the same in both directions.

    Args:
      protocol: IP protocol number.
      caller: Packed address of the caller.
      caller_port: Port of the caller.
      service: Packed address of the service.
      service_port: Port of the service.
    """
    ports = _PORTS.pack(protocol, caller_port, service_port)
    return xxhash.xxh3_64_intdigest(
        caller + service + ports, const.FLOW_HASH_SEED
    )


def score_endpoint(bucket: int, number: int, weight: int) -> float:
    """Returns the weighted rendezvous hash of an endpoint for a bucket."""
    digest = xxhash.xxh3_64_intdigest(
        _PAIR.pack(bucket, number), const.ENDPOINT_HASH_SEED
    )
    return -weight / math.log((digest + 1) / (_DIGEST_RANGE + 2))


def score_owner(number: int, member: ids.VmId) -> int:
    """Returns the rendezvous hash of a balancer for an endpoint."""
    return xxhash.xxh3_64_intdigest(
        f"{number}/{member}".encode(), const.OWNER_HASH_SEED
    )
