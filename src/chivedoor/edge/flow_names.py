"""Ids of flows in the logs."""

from chivedoor.platform import packets
from chivedoor.steering import segment as segments


def format_flow(flow: segments.FlowId) -> str:
    """Returns the id of a flow in the logs: `caller:port>route:port`."""
    route = ".".join(map(str, flow[2:6]))
    route_port = int.from_bytes(flow[:2], "big")
    caller = packets.get_caller_host(flow)
    return f"{caller}:{packets.get_caller_port(flow)}>{route}:{route_port}"
