"""Constants of the control package."""

from typing import Final

# Below the smallest MTU of the fabric (1,280 bytes), with headers.
DATAGRAM_MAX_BYTES: Final = 1200
IP_UDP_HEADER_BYTES: Final = 28
TAG_BYTES: Final = 16
KEY_MIN_BYTES: Final = 16
# Longest key that BLAKE2b accepts.
KEY_MAX_BYTES: Final = 64
REPLAY_WINDOW: Final = 1024
REPLAY_SENDERS_MAX: Final = 8192

# A topic and its value fit into one datagram with its header.
TOPIC_MAX_BYTES: Final = 64
VALUE_MAX_BYTES: Final = 512
# 4,600 endpoints with one mode each, published by two owners during a
# takeover.
BOARD_ENTRIES_MAX: Final = 16384
# Topics with a merge function have a separate limit, so that a board full of
# modes still accepts an operator's command.
MERGED_ENTRIES_MAX: Final = 256
COUNTER_LIMIT: Final = 1 << 53
# Entries of a dead origin are kept for this long. If its death is refuted in
# this time, they are restored without traffic; after a longer partition they
# are transferred again.
DEAD_ORIGIN_TTL_S: Final = 30.0
DIGEST_BUCKETS: Final = 64

FANOUT: Final = 4
RETRANSMIT_FACTOR: Final = 3
PIGGYBACK_CAPACITY: Final = 8192
# Entries published within this time are sent in one urgent datagram.
URGENT_BATCH_DELAY_S: Final = 0.005
JOIN_BACKOFF_S: Final = 0.5
JOIN_BACKOFF_MAX_S: Final = 10.0
JOIN_SEEDS_MAX: Final = 3
# Interval of one datagram to a missing seed or a dead member; the load does
# not depend on the size of the fleet.
RECONNECT_INTERVAL_S: Final = 5.0
SYNC_INTERVAL_S: Final = 2.0
# Digests differ while updates are in transit, so a difference starts a
# synchronization only if the local table did not change for this long.
SYNC_QUIET_S: Final = 1.0
# If the local table keeps changing, a difference starts a synchronization
# after this time.
SYNC_FORCE_AFTER_S: Final = 15.0
SYNC_QUEUE_MAX: Final = 32768
RECEIVE_BATCH_MAX: Final = 64
HOUSEKEEPING_INTERVAL_S: Final = 5.0

# Bucket size in seconds at the configured rate; the planned deployment has a
# limit of 21 KB/s.
BUDGET_BURST_S: Final = 2.0
