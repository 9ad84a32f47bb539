"""Tags: the identity of an endpoint in the field that a flow's ends echo.

The upper bits name the endpoint. The lower bits check that the tag belongs to
this flow: a caller that invents a tag, or uses that of another flow, reaches
an endpoint with a chance of one in 4,096 only, and endpoints refuse packets
of flows that they do not hold.
"""

import xxhash

from chivedoor import ids
from chivedoor.steering import const
from chivedoor.steering import segment as segments


def compute_tag_prefix(endpoint_id: ids.EndpointId) -> int:
    """Returns the part of a tag that names the endpoint; never 0."""
    digest = xxhash.xxh32_intdigest(endpoint_id.encode())
    return (digest & const.ENDPOINT_MASK) or 1


def compute_check_bits(numeric_id: int, flow: segments.FlowId) -> int:
    """Returns the part of a tag that binds it to a flow.

    Args:
        numeric_id: The endpoint's number, which callers do not learn.
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
