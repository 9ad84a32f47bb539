"""Constants of the feed package."""

from typing import Final

# A waiting read returns at least this often, which shows that the connection
# still works. In the known deployments, a configuration has to be in force 3 s
# after it was acknowledged.
WATCH_WAIT_S: Final = 1.0
# Time for the response beyond the wait. The store responds in 4 ms.
WATCH_TIMEOUT_MARGIN_S: Final = 0.5
# Longest time that a response may have been in transit: 60 times the usual
# 4 ms, for a slow store.
RESPONSE_TRANSIT_S: Final = 0.25
READ_TIMEOUT_S: Final = 1.0
# The time limits above and below hold for the start of a transfer. Once it has
# begun, it goes on while bytes arrive: a configuration of 1 MiB takes 2.2 s on
# the slowest known link of 5 Mbit/s, and a transfer that is broken off begins
# with its first byte again.
TRANSFER_STALL_S: Final = 1.0
# A response that arrives more slowly is broken off. On the slowest known link,
# the largest response takes half of this time while the link is half used.
TRANSFER_MAX_S: Final = 10.0
# A frame that takes longer no longer keeps a balancer from reading the store.
FRAME_TRANSFER_MAX_S: Final = 2.5
CONNECT_TIMEOUT_S: Final = 0.5
# Limit for a response with changes: the largest value of the known stores,
# 1 MiB, as base64 with some entries. A response with several versions of it is
# refused, and a full read returns the newest one only.
MAX_WATCH_BYTES: Final = 1536 * 1024
# After a transfer that took longer, the next read returns only the newest
# values. A watch would also return the versions that were written meanwhile,
# which takes longer each time if they come faster than the link carries them.
NEWEST_ONLY_TRANSFER_S: Final = 0.25
# The same holds after a read of this size: a source may return one version at a
# time.
NEWEST_ONLY_BYTES: Final = 256 * 1024
# Delay after such a read. To decode 1 MB takes up to 0.2 s on the slowest known
# core of 0.36, on each balancer of the domain.
LARGE_BATCH_DELAY_S: Final = 0.5
# Changes arrive in groups. This delay lets one call collect a group. It is a
# twelfth of the 3 s in which a configuration has to be in force, the tightest
# bound in the known deployments.
WATCH_BATCH_DELAY_S: Final = 0.25

# A balancer that has just read its first view and knows of others watches after
# this time, unless it has found a reader by then: one heartbeat in a large
# domain and two rounds of coordination.
FIRST_WATCH_DELAY_S: Final = 0.8
# Its first wait is shorter, since others may have subscribed to it meanwhile
# and expect a confirmation within `READER_TIMEOUT_S`.
FIRST_WATCH_WAIT_S: Final = 0.4

# A full read can be resumed for this long after its first page. The history of
# the known stores covers 20 s.
FULL_READ_LIFETIME_S: Final = 5.0
# Limit for a full read. A page holds at most about 500 items.
MAX_PAGES: Final = 200

RETRY_INITIAL_DELAY_S: Final = 0.1
RETRY_BACKOFF_FACTOR: Final = 2.0
RETRY_MAX_DELAY_S: Final = 1.0
# Largest delay of a retry for each balancer of the domain, so that four of them
# together retry as often as forty. The candidates for the reader keep the delay
# above.
RETRY_DELAY_PER_PEER_S: Final = 0.25
# Largest part of the delay that is subtracted at random, so that the retries of
# the balancers do not coincide.
RETRY_JITTER: Final = 0.5

# Interval in a small domain. Load reports of this age are still useful for
# placement.
HEARTBEAT_INTERVAL_S: Final = 0.2
# Interval while a service is congested. Loads change within a fraction of the
# goal of a request then.
CONGESTED_HEARTBEAT_INTERVAL_S: Final = 0.1
# In a domain with more peers than this, heartbeats go to the first candidates
# for the reader, which pass on the sums. With 39 balancers in a domain, one
# benchmark run of the deployment took ten minutes because of the all-to-all
# heartbeats.
LARGE_DOMAIN_PEERS: Final = 8
LARGE_DOMAIN_HEARTBEAT_INTERVAL_S: Final = 0.5
READER_CANDIDATES: Final = 2
# A peer is no longer live after this time without messages: the larger of a
# number of heartbeat intervals and a time in seconds.
PEER_TIMEOUT_INTERVALS: Final = 4.0
PEER_TIMEOUT_MIN_S: Final = 0.8
# A reader whose subscription failed is skipped for this long.
READER_FAILURE_BACKOFF_S: Final = 3.0
# Peers without messages for this long are removed and get no more heartbeats.
PEER_RETENTION_S: Final = 20.0
# Interval at which a balancer asks the seeds and another balancer for the peers
# of its domain. The fast one applies while it has no live peers.
DISCOVERY_INTERVAL_S: Final = 5.0
DISCOVERY_FAST_INTERVAL_S: Final = 0.5
MAX_PEERS: Final = 1_000
MAX_MESSAGE_BYTES: Final = 60_000

# A subscription is closed when the reader has confirmed nothing for this long:
# one waiting read, the transit of its response and 0.2 s.
READER_TIMEOUT_S: Final = 1.45
# A balancer whose view is older than this reads the store itself. By then, the
# next reader has had a third of a second to confirm the view.
SELF_READ_VIEW_AGE_S: Final = 1.8
# A peer whose last own read is older than this is not considered a reader.
READER_ACTIVE_AGE_S: Final = 2.0
# A balancer that reads the store itself continues for at least this long, so
# that it does not switch back and forth with each delayed frame.
SELF_READ_MIN_DURATION_S: Final = 1.5
COORDINATION_INTERVAL_S: Final = 0.25
# A starting balancer first looks for an active reader. The time covers two
# round trips within a domain and the processing.
STARTUP_PEER_WAIT_S: Final = 0.04
STARTUP_PEER_POLL_S: Final = 0.005
# If a peer does not send the first view within this time, the store is read.
FIRST_VIEW_TIMEOUT_S: Final = 0.3
# A subscription is kept for at least this long before one to another reader
# replaces it, unless it fails.
SUBSCRIPTION_RETRY_S: Final = 1.0

FRAME_HEADER_BYTES: Final = 4
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
# Changes below this size are sent uncompressed.
MIN_COMPRESSED_BYTES: Final = 256
# Values of at least this size are sent as differences if the subscriber has an
# earlier one.
LARGE_VALUE_BYTES: Final = 4096
# Number of large values that a reader keeps to make differences, and of
# differences that it keeps for other subscribers.
MAX_BASES: Final = 4
MAX_ENCODED_BATCHES: Final = 16
MAX_SUBSCRIBERS: Final = 400
# Transfers that take longer, or that are broken off, are reported.
SLOW_TRANSFER_S: Final = 0.5
# Kernel buffer of a subscriber's connection. What it holds cannot be replaced
# by newer changes any more.
SUBSCRIBER_BUFFER_BYTES: Final = 64 * 1024
# A subscriber that has not received a frame for this long is disconnected. A
# configuration of 1 MB takes 0.8 s on the slowest known link of 10 Mbit/s.
SUBSCRIBER_STALL_S: Final = 5.0
# Number of removals that are kept for subscribers that lag behind.
MAX_REMOVALS: Final = 10_000

# Load reports and sums of them expire after this time, three heartbeat
# intervals of a large domain, so that two lost datagrams change nothing.
LOAD_REPORT_LIFETIME_S: Final = 1.5
# Recipients of a sum in each other domain. With two candidates and two
# recipients each, up to three of four may be unreachable.
REMOTE_REPORT_RECIPIENTS: Final = 2
# Upper limit for a received number in a load report, well above that of any
# domain.
MAX_LOAD_REPORT_VALUE: Final = 1 << 40
