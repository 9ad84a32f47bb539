"""Constants of the soak test."""

from typing import Final

# Time bounds and tolerances that the requirements set for small sites.
DRAIN_S: Final = 3.0
CONFIGURATION_S: Final = 3.0
EVACUATION_S: Final = 5.0
# Packets that were sent this long after a balancer applied a configuration must
# not be handled by an older one. The bound is that for slowed balancers, since
# repeated opening packets arrive up to 0.6 s after the first one.
DOWNGRADE_SLACK_S: Final = 2.0
DISRUPTION_GRACE_S: Final = 4.0
RECOVERY_S: Final = 12.0
# A flow is reported as moved when this many of its packets reach another
# endpoint within the reorder window.
REORDER_WINDOW_S: Final = 2.0
MISDELIVERED_PACKETS: Final = 3
WARMUP_TOLERANCE: Final = 1.5
WARMUP_SLACK_FLOWS: Final = 5.0
# Flows that are older than this, or idle for longer, may be discarded.
FLOW_LIFETIME_S: Final = 60.0

# Endpoints refresh their entries at this interval; an entry expires after
# three missed refreshes.
HEARTBEAT_S: Final = 1.0
ENTRY_LIFETIME_S: Final = 3.0
# Entries that expired during a store outage are written again this long after
# the outage.
ENTRY_RESTORE_S: Final = 1.5
# After a restoration, the operator and the endpoints write everything again
# within this time.
REWRITE_S: Final = 2.0
# The address of a removed endpoint may be reused after this time.
ADDRESS_REUSE_S: Final = 2.0
# A draining endpoint stops this long after its entry is marked as draining.
DRAIN_LINGER_S: Final = 4.0

GRACE_S: Final = 6.0
# Upper bound of the time until a new process runs its first line of code.
INTERPRETER_START_S: Final = 1.0
RESTART_S: Final = 0.3
START_TIMEOUT_S: Final = 20.0
# After the recovery time, all requests that start during this period must be
# served.
VERIFICATION_S: Final = 4.0

# Rate of new flows that a cold endpoint can handle, in flows per second.
WARMUP_PER_S: Final = 4.0
COLD_S: Final = 4.0

# Part of the seeds with large configurations, their routes without traffic
# (840 KB), and the links of all balancers, a seventh of those of small sites.
LARGE_CONFIGURATIONS_SHARE: Final = 0.35
IDLE_ROUTES: Final = 8_000
SLOW_LINK_MBPS: Final = 50.0

# Interval of the flows on changed routes through each balancer.
PROBE_INTERVAL_S: Final = 1.0
# These flows use the probe routes of this many latest versions.
PROBED_VERSIONS: Final = 3
