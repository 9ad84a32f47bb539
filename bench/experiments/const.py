"""Constants of the experiments."""

from typing import Final

BALANCERS: Final = 12
REQUEST_DEADLINE_S: Final = 5.0
# After a start of all balancers, slots stay closed for the request deadline.
SETTLED_S: Final = REQUEST_DEADLINE_S + 1.0
SETTLE_LIMIT_S: Final = 40.0
# The naive version has no state to settle; its health checks need 2 s.
NAIVE_SETTLE_S: Final = 3.0
SAMPLE_INTERVAL_S: Final = 1.0
SCRAPE_TIMEOUT_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.25
# Callers give a silent flow up after 25 s.
GRACE_S: Final = 27.0
# How long the fabric sends packets to a balancer that has died.
FABRIC_LAG_S: Final = 1.0

# Goals for today's deployments, from section 8 of docs/design.md.
BROKEN_PER_THOUSAND_TWO_DEATHS: Final = 1.0
CONTROL_BYTES_PER_S: Final = 4000.0
DOMAIN_OUT_S: Final = 3.0
IMBALANCE: Final = 1.15
GOODPUT: Final = 0.9
FULL_USE_S: Final = 30.0

# With fewer flows per target, random choice alone exceeds the bound on the
# imbalance: one standard deviation of 500 flows is 4.5%.
JUDGED_FLOWS_PER_TARGET: Final = 500
# A returned failure domain is in full use when its targets receive as much
# less than their share as an even balance allows, over 3 s.
FULL_USE_SHARE: Final = 1.0 - (IMBALANCE - 1.0)
FULL_USE_WINDOW_S: Final = 3.0
