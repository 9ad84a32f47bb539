"""Constants of the experiments."""

from typing import Final

BALANCERS: Final = 12
REQUEST_DEADLINE_S: Final = 5.0
# Time without a change of owners after which a deployment counts as settled.
# It exceeds the request deadline, during which slots stay closed after all
# balancers have started.
STABLE_S: Final = REQUEST_DEADLINE_S + 1.0
SETTLE_TIMEOUT_S: Final = 40.0
# The naive balancer keeps no shared state, but its health checks take 2 s.
NAIVE_SETTLE_S: Final = 3.0
SAMPLE_INTERVAL_S: Final = 1.0
SCRAPE_TIMEOUT_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.25
# How long to wait for open flows; callers abandon a silent flow after 25 s.
FLOW_END_TIMEOUT_S: Final = 27.0
# How long the fabric keeps sending packets to a failed balancer.
FABRIC_DETECTION_S: Final = 1.0

# Goals for the current deployments, from section 8 of docs/design.md.
MAX_BROKEN_PER_THOUSAND: Final = 1.0
MAX_CONTROL_BYTES_PER_S: Final = 4000.0
MAX_DOMAIN_OUT_S: Final = 3.0
MAX_IMBALANCE: Final = 1.15
MIN_GOODPUT: Final = 0.9
MAX_RECOVERY_S: Final = 30.0

# Minimum offered flows per target for checking the imbalance. With fewer
# flows, random placement alone exceeds the limit: the standard deviation of
# 500 flows is 4.5%. Opened flows are counted, not admitted ones, so that
# refusals do not disable the check.
MIN_FLOWS_PER_TARGET: Final = 500
# A returned failure domain has recovered when, over 3 s, its targets fall
# short of their fair share by no more than the imbalance limit allows.
RECOVERED_SHARE: Final = 1.0 - (MAX_IMBALANCE - 1.0)
RECOVERY_WINDOW_S: Final = 3.0
