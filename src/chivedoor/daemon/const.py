"""Constants of the daemon package."""

from typing import Final

# After an event loop pause longer than this, the balancer's view of the fleet
# is outdated, so it discards its state and rejoins.
PAUSE_THRESHOLD_S: Final = 1.0
HEARTBEAT_INTERVAL_S: Final = 0.1
# If the heartbeat is later than this, measured handshake times reflect the
# delay of this balancer rather than the speed of the targets.
LOOP_DELAY_THRESHOLD_S: Final = 0.01

TICK_INTERVAL_S: Final = 0.1
PULL_TIMEOUT_S: Final = 2.0
PULL_RETRY_DELAY_S: Final = 0.3
MAX_CONCURRENT_PULLS: Final = 8

# Time that gossip needs to tell a starting balancer the members of its failure
# domain.
MIN_JOIN_S: Final = 2.0
# After this time a joining balancer becomes active even if flow records are
# missing, since the records may be lost with their previous owners.
MAX_JOIN_S: Final = 10.0

HEALTH_POLL_INTERVAL_S: Final = 1.0
HEALTH_TIMEOUT_S: Final = 0.8

READERS_PER_DOMAIN: Final = 2
# The first balancers of a ranking, which include the readers, announce a
# version. With announcements by each of 830 balancers, 2,400 versions a day
# would take 37 KB/s of gossip. The 32 announcers of 4 failure domains send a
# difference to all balancers in less than 4 s.
ANNOUNCERS_PER_DOMAIN: Final = 8
DOCUMENT_TIMEOUT_S: Final = 3.0
DOCUMENT_RETRY_DELAY_S: Final = 0.5
VM_LIST_POLL_INTERVAL_S: Final = 5.0

# A stopping balancer routes packets until none has arrived for DRAIN_IDLE_S,
# but for at most MAX_DRAIN_S.
DRAIN_IDLE_S: Final = 2.0
MAX_DRAIN_S: Final = 30.0

# Keeps the control traffic of silence checks near 1 KB/s: one check takes about
# 5 s and 22 requests of about 100 bytes each, including the replies.
MAX_CONCURRENT_SILENCE_CHECKS: Final = 4
# Regions with more balancers are sampled; otherwise all balancers are asked.
MAX_SILENCE_PEERS: Final = 16
SILENCE_TIMEOUT_S: Final = 2.0

# Interval at which announcers publish when the version was last confirmed.
CONFIRMATION_INTERVAL_S: Final = 30.0
# Replaces an infinite age in announcements, which are CBOR entries of a few
# bytes.
MAX_CONFIRMED_AGE_S: Final = 1e9
# Cannot occur in an encoded difference, since JSON escapes line feeds.
DIFFERENCE_SEPARATOR: Final = b"\n"

# Maximum number of faults of a rejected document in one log event.
MAX_LOGGED_FAULTS: Final = 20
