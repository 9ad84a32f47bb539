"""Constants of the membership package."""

from typing import Final

# The planned fleet has 830 entry VMs, with 1,100 replacements a day.
MAX_MEMBERS: Final = 4096
# Longer than a usual network partition between regions (minutes), so that both
# sides still know each other's members when it ends.
DEAD_RETENTION_S: Final = 900.0
# Upper limit of incarnations received from peers. Wall-clock milliseconds stay
# below it until the year 2248, and message numbers that contain a shifted
# incarnation fit into 64 bits.
INCARNATION_LIMIT: Final = 1 << 43

TICK_INTERVAL_S: Final = 0.05
# With 0.5 s, 1 of 10 failures among 12 members was known to all members only
# after more than 3.1 s, because the random order delayed the first probe of the
# failed member.
PROBE_INTERVAL_S: Final = 0.25
PROBE_TIMEOUT_S: Final = 0.2
# Time from the ping to the suspicion. It leaves 300 ms for indirect probes,
# which is enough for two round trips between regions.
PROBE_DEADLINE_S: Final = 0.5
INDIRECT_PROBES: Final = 3
# Timeout for this number of reference members; grows with log(members).
SUSPICION_TIMEOUT_S: Final = 1.5
SUSPICION_REFERENCE_MEMBERS: Final = 12
# Minimum for small fleets. It leaves a suspect four probe intervals to refute
# the suspicion.
MIN_SUSPICION_TIMEOUT_S: Final = 1.0
# A tick delayed by more than this indicates that the local VM is overloaded,
# rather than its peers.
LATE_TICK_THRESHOLD_S: Final = 0.1
# After a longer pause, the local view of members, routing modes and flow
# records is considered outdated.
PAUSE_THRESHOLD_S: Final = 1.0
# Limits the multiplier of timeouts to 1 + 3 = 4; Lifeguard's evaluation uses a
# limit of 8. The suspicion timeout of 1.5 s times 4 stays within the usual TCP
# retransmissions.
MAX_HEALTH_SCORE: Final = 3
# The health score improves by 1 after this many consecutive on-time ticks,
# which take 2 s.
HEALTH_RECOVERY_TICKS: Final = 40
MAX_RELAYS: Final = 1024
