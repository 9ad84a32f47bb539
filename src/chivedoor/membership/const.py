"""Constants of the membership package."""

from typing import Final

# The planned fleet has 830 entry VMs, of which 1,100 a day are replaced.
MAX_MEMBERS: Final = 4096
# Dead members are remembered for longer than the usual loss of contact
# between regions (minutes), so that both sides find each other again.
DEAD_RETENTION_S: Final = 900.0
# Accepted from peers; wall-clock milliseconds stay below it until the year
# 2248, and shifted message numbers still fit into 64 bits.
INCARNATION_LIMIT: Final = 1 << 43

TICK_INTERVAL_S: Final = 0.05
# With 0.5 s, 1 of 10 deaths among 12 members was known to all only after
# more than 3.1 s, because chance delayed the first probe of the dead member.
PROBE_INTERVAL_S: Final = 0.25
PROBE_TIMEOUT_S: Final = 0.2
# From the ping to the suspicion; indirect probes have 300 ms of it, which
# is enough for two round trips between regions.
PROBE_DEADLINE_S: Final = 0.5
INDIRECT_PROBES: Final = 3
# The suspicion of 1.5 s holds for 12 members and grows with log(members).
SUSPICION_TIMEOUT_S: Final = 1.5
SUSPICION_REFERENCE_MEMBERS: Final = 12
# Smaller fleets still leave a suspect two probe intervals to refute.
MIN_SUSPICION_TIMEOUT_S: Final = 1.0
# A tick this late is evidence that the VM is overloaded, not its peers.
LATE_TICK_THRESHOLD_S: Final = 0.1
# After a longer pause the view, grants and records are out of date.
PAUSE_THRESHOLD_S: Final = 1.0
# Lifeguard's bound on the multiplier of timeouts is 8 in its evaluation.
# The suspicion of 1.5 s times 4 stays within the usual TCP retransmissions.
MAX_HEALTH_SCORE: Final = 3
# Local health improves by one step after this many punctual ticks (2 s).
HEALTH_RECOVERY_TICKS: Final = 40
MAX_RELAYS: Final = 1024
