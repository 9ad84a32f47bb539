"""Constants of the experiments."""

from typing import Final

BALANCERS: Final = 12
REQUEST_DEADLINE_S: Final = 5.0
# After a start of all balancers, slots stay closed for the request deadline.
STABLE_S: Final = REQUEST_DEADLINE_S + 1.0
SETTLE_TIMEOUT_S: Final = 40.0
# The naive version has no state to settle; its health checks need 2 s.
NAIVE_SETTLE_S: Final = 3.0
SAMPLE_INTERVAL_S: Final = 1.0
SCRAPE_TIMEOUT_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.25
# Callers give a silent flow up after 25 s.
FLOW_END_TIMEOUT_S: Final = 27.0
# How long the fabric sends packets to a balancer that has died.
FABRIC_DETECTION_S: Final = 1.0

# Goals for today's deployments, from section 8 of docs/design.md.
MAX_BROKEN_PER_THOUSAND: Final = 1.0
MAX_CONTROL_BYTES_PER_S: Final = 4000.0
MAX_DOMAIN_OUT_S: Final = 3.0
MAX_IMBALANCE: Final = 1.15
MIN_GOODPUT: Final = 0.9
MAX_RECOVERY_S: Final = 30.0

# With fewer flows per target, random choice alone exceeds the bound on the
# imbalance: one standard deviation of 500 flows is 4.5%. Opened flows count,
# so that refused ones do not switch the judgement off.
MIN_FLOWS_PER_TARGET: Final = 500
# A returned failure domain is in full use when its targets receive as much
# less than their share as an even balance allows, over 3 s.
RECOVERED_SHARE: Final = 1.0 - (MAX_IMBALANCE - 1.0)
RECOVERY_WINDOW_S: Final = 3.0
