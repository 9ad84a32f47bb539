"""Constants of the daemon package."""

from typing import Final

# A loop that did not run for this long acts on an old view of the fleet.
PAUSE_THRESHOLD_S: Final = 1.0
HEARTBEAT_INTERVAL_S: Final = 0.1
# Above this delay of the heartbeat, handshake times say more about this
# balancer than about the targets.
LOOP_DELAY_THRESHOLD_S: Final = 0.01

TICK_INTERVAL_S: Final = 0.1
PULL_TIMEOUT_S: Final = 2.0
PULL_RETRY_DELAY_S: Final = 0.3
MAX_CONCURRENT_PULLS: Final = 8

# The gossip needs this long to show a starting balancer its failure domain.
MIN_JOIN_S: Final = 2.0
# A joining balancer takes part without all records after this time, since
# the records may be gone with their former owners.
MAX_JOIN_S: Final = 10.0

HEALTH_POLL_INTERVAL_S: Final = 1.0
HEALTH_TIMEOUT_S: Final = 0.8

READERS_PER_DOMAIN: Final = 2
# Balancers that announce a version besides its readers, all in one ranking.
# With an announcement from each of 830 balancers, 2,400 versions a day take
# 37 KB/s of gossip; 32 sources send a difference to all in less than 4 s.
ANNOUNCERS_PER_DOMAIN: Final = 8
DOCUMENT_TIMEOUT_S: Final = 3.0
DOCUMENT_RETRY_DELAY_S: Final = 0.5
VM_LIST_POLL_INTERVAL_S: Final = 5.0

# A stopped balancer routes packets until none arrived for the first time,
# and no longer than the second.
DRAIN_IDLE_S: Final = 2.0
MAX_DRAIN_S: Final = 30.0

# Checks of silent flows, to keep their control traffic near 1 KB/s: one check
# takes some 5 s and 22 requests of about 100 bytes with their replies.
MAX_CONCURRENT_SILENCE_CHECKS: Final = 4
# A region of at most this many balancers is asked as a whole.
MAX_SILENCE_PEERS: Final = 16
SILENCE_TIMEOUT_S: Final = 2.0

# How often a reader tells peers that the version is confirmed.
CONFIRMATION_INTERVAL_S: Final = 30.0
# CBOR has no use for an infinite age in an entry of a few bytes.
MAX_CONFIRMED_AGE_S: Final = 1e9
# Differences are JSON texts, in which a line feed is always escaped.
DIFFERENCE_SEPARATOR: Final = b"\n"

# Faults of one document in a log event.
MAX_LOGGED_FAULTS: Final = 20
