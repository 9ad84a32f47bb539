"""Constants of the control package."""

from typing import Final

# Gossip datagrams stay below the smallest MTU of the fabric (1,280 bytes).
DATAGRAM_MAX_BYTES: Final = 1200
IP_UDP_HEADER_BYTES: Final = 28
TAG_BYTES: Final = 16
KEY_MIN_BYTES: Final = 16
# BLAKE2b accepts keys up to this length.
KEY_MAX_BYTES: Final = 64
REPLAY_WINDOW: Final = 1024
REPLAY_SENDERS_MAX: Final = 8192

# A topic and its value fit into one datagram together with the header.
TOPIC_MAX_BYTES: Final = 64
VALUE_MAX_BYTES: Final = 512
# 4,600 endpoints with one mode each, two owners during a takeover.
BOARD_ENTRIES_MAX: Final = 16384
# Topics with a merge function have their own bound, so that a board full of
# modes still accepts an operator's command.
MERGED_ENTRIES_MAX: Final = 256
COUNTER_LIMIT: Final = 1 << 53
# Entries of a dead origin come back without traffic when its death is
# refuted; a partition that is longer than this transfers them again.
DEAD_ORIGIN_TTL_S: Final = 30.0
DIGEST_BUCKETS: Final = 64

FANOUT: Final = 4
RETRANSMIT_FACTOR: Final = 3
PIGGYBACK_CAPACITY: Final = 8192
# Entries published within this time share one urgent datagram.
URGENT_BATCH_DELAY_S: Final = 0.005
JOIN_BACKOFF_S: Final = 0.5
JOIN_BACKOFF_MAX_S: Final = 10.0
JOIN_SEEDS_MAX: Final = 3
# One datagram to a seed or a dead member; the load does not depend on the
# size of the fleet.
RECONNECT_INTERVAL_S: Final = 5.0
SYNC_INTERVAL_S: Final = 2.0
# Digests differ while updates are on their way, so a difference counts only
# when the local state did not change for this long.
SYNC_QUIET_S: Final = 1.0
# In a fleet that never becomes quiet a difference counts after this time.
SYNC_FORCE_AFTER_S: Final = 15.0
SYNC_QUEUE_MAX: Final = 32768
RECEIVE_BATCH_MAX: Final = 64
HOUSEKEEPING_INTERVAL_S: Final = 5.0

# 21 KB/s is the limit of the planned deployment.
BUDGET_BURST_S: Final = 2.0
