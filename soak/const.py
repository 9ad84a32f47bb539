"""Constants of the package."""

from typing import Final

# Bounds of the users' pages for the small sites.
DRAIN_S: Final = 3.0
CONFIGURATION_S: Final = 3.0
EVACUATION_S: Final = 5.0
DISRUPTION_GRACE_S: Final = 4.0
RECOVERY_S: Final = 12.0
REORDER_WINDOW_S: Final = 2.0
MISDELIVERED_PACKETS: Final = 3
WARMUP_TOLERANCE: Final = 1.5
WARMUP_SLACK_FLOWS: Final = 5.0
# Flows older than this, or idle for longer, may be discarded.
FLOW_LIFETIME_S: Final = 60.0

# An endpoint writes its entry this often; three missed writes remove it.
HEARTBEAT_S: Final = 1.0
ENTRY_LIFETIME_S: Final = 3.0
# Entries that lapsed with the store are back this long after its return.
ENTRY_RESTORE_S: Final = 1.5
# The address of an endpoint that is gone may be given away after this.
ADDRESS_REUSE_S: Final = 2.0
# An endpoint that drains ends this long after its entry says so.
DRAIN_LINGER_S: Final = 4.0

GRACE_S: Final = 6.0
# Time from the start of a process to its first own line of code, at most.
INTERPRETER_START_S: Final = 1.0
RESTART_S: Final = 0.3
START_TIMEOUT_S: Final = 20.0
# After the recovery, all requests that begin in this time must be served.
VERIFICATION_S: Final = 4.0

# A warm-up rate that a cold endpoint bears, in flows a second.
WARMUP_PER_S: Final = 4.0
COLD_S: Final = 4.0
