"""Constants of the control package."""

from typing import Final

# Below the smallest MTU of the fabric (1,280 bytes), with headers.
MAX_DATAGRAM_BYTES: Final = 1200
IP_UDP_HEADER_BYTES: Final = 28
TAG_BYTES: Final = 16
MIN_KEY_BYTES: Final = 16
# Longest key that BLAKE2b accepts.
MAX_KEY_BYTES: Final = 64
REPLAY_WINDOW: Final = 1024
MAX_REPLAY_SENDERS: Final = 8192

# A topic and its value fit into one datagram with its header.
MAX_TOPIC_BYTES: Final = 64
MAX_VALUE_BYTES: Final = 512
# 4,600 endpoints with one mode each, published by two owners during a
# takeover.
MAX_BOARD_ENTRIES: Final = 16384
# Topics with a merge function have a separate limit, so that a board full of
# modes still accepts an operator's command.
MAX_MERGED_ENTRIES: Final = 256
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
MAX_JOIN_BACKOFF_S: Final = 10.0
MAX_JOIN_SEEDS: Final = 3
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
MAX_SYNC_QUEUE: Final = 32768
MAX_RECEIVE_BATCH: Final = 64
HOUSEKEEPING_INTERVAL_S: Final = 5.0

# Bucket size in seconds at the configured rate; the planned deployment has a
# limit of 21 KB/s.
BUDGET_BURST_S: Final = 2.0
