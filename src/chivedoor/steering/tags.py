"""Tags, which identify the endpoint of a flow in each of its packets.

Both ends of a flow echo its tag. The upper bits identify the endpoint. The
lower bits are a checksum that binds the tag to the flow: a caller that invents
a tag or uses the tag of another flow reaches an endpoint with a probability of
1 in 4,096, and endpoints refuse packets of flows that they do not know.
"""

import xxhash

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import segment as segments


def compute_tag_prefix(endpoint_id: ids.EndpointId) -> int:
    """Returns the upper bits of an endpoint's tags; never 0."""
    digest = xxhash.xxh32_intdigest(endpoint_id.encode())
    return (digest & const.ENDPOINT_MASK) or 1


def compute_check_bits(numeric_id: int, flow: segments.FlowId) -> int:
    """Returns the lower bits of a tag, which bind it to a flow.

    Args:
        numeric_id: The numeric id of the endpoint, which callers do not know.
        flow: The flow.
    """
    return (
        xxhash.xxh32_intdigest(flow, numeric_id & 0xFFFFFFFF) & const.CHECK_MASK
    )


def make_tag(
    tag_prefix: int, numeric_id: int, flow: segments.FlowId
) -> ids.Tag:
    """Returns the tag of a flow on an endpoint."""
    return ids.Tag(
        tag_prefix << const.CHECK_BITS | compute_check_bits(numeric_id, flow)
    )
