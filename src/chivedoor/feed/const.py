"""Constants of the package."""

from typing import Final

# A waiting read returns at least this often, which shows that the connection
# still works. Configurations have to be in force 3 s after their
# acknowledgement on the known sites.
WATCH_WAIT_S: Final = 1.0
# Allowed for the answer beyond the wait; the store answers in 4 ms.
WATCH_TIMEOUT_MARGIN_S: Final = 0.5
# Time that an answer may have been on its way: the store's 4 ms, 60 times as
# long when it is slow.
RESPONSE_TRANSIT_S: Final = 0.25
READ_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.5
# Changes arrive in groups; a pause gathers a group into one call. It delays a
# change by a twelfth of the tightest bound on the known sites.
WATCH_BATCH_DELAY_S: Final = 0.25

# A read of all keys is continued for this long after its first page; the
# history of the known stores reaches back 20 s.
FULL_READ_LIFETIME_S: Final = 5.0
# One read of all keys; pages hold at most about 500 items.
MAX_PAGES: Final = 200

RETRY_INITIAL_DELAY_S: Final = 0.1
RETRY_BACKOFF_FACTOR: Final = 2.0
RETRY_MAX_DELAY_S: Final = 1.0
# Retries of all balancers are spread over this part of the delay.
RETRY_JITTER: Final = 0.5

# Greetings in a small domain: load reports of this age still help placement.
HEARTBEAT_INTERVAL_S: Final = 0.2
# In a larger one they go to the first candidates for reading, which pass on
# the sums: with 39 balancers all-to-all greetings took ten minutes a score.
LARGE_DOMAIN_PEERS: Final = 8
LARGE_DOMAIN_HEARTBEAT_INTERVAL_S: Final = 0.5
READER_CANDIDATES: Final = 2
# Silence after which a peer counts as gone, in intervals and in seconds.
PEER_TIMEOUT_INTERVALS: Final = 4.0
PEER_TIMEOUT_MIN_S: Final = 0.8
# A reader that stopped to deliver is passed over for this long.
READER_FAILURE_BACKOFF_S: Final = 3.0
# Peers that were silent for this long are not greeted any more.
PEER_RETENTION_S: Final = 20.0
# How often a balancer asks another one for the peers of its domain.
DISCOVERY_INTERVAL_S: Final = 5.0
DISCOVERY_FAST_INTERVAL_S: Final = 0.5
MAX_PEERS: Final = 1_000
MAX_MESSAGE_BYTES: Final = 60_000

# A reader is given up when it confirmed nothing for this long: one waiting
# read, the answer's way and a fifth of a second.
READER_TIMEOUT_S: Final = 1.45
# A balancer whose view was not confirmed for this long reads for itself; the
# next reader has had a third of a second by then.
SELF_READ_VIEW_AGE_S: Final = 1.8
# A reader that has not read for longer than this is passed over.
READER_ACTIVE_AGE_S: Final = 2.0
# A balancer that reads for itself goes on for this long after its reader is
# back, so that it does not switch with each delayed frame.
SELF_READ_MIN_DURATION_S: Final = 1.5
COORDINATION_INTERVAL_S: Final = 0.25
# A new balancer first looks for a peer that reads: two round trips in a
# domain and the time to handle them.
STARTUP_PEER_WAIT_S: Final = 0.04
STARTUP_PEER_POLL_S: Final = 0.005
# A peer passes on the first view within this time, or the store is read.
FIRST_VIEW_TIMEOUT_S: Final = 0.3
# Time for which a subscription may fail before it is tried again.
SUBSCRIPTION_RETRY_S: Final = 1.0

FRAME_HEADER_BYTES: Final = 4
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
MAX_SUBSCRIBERS: Final = 400
# A subscriber that reads more slowly than this much behind is closed.
MAX_SUBSCRIBER_BACKLOG_BYTES: Final = 2 * 1024 * 1024
# Removals are kept to answer subscribers that are behind.
MAX_REMOVALS: Final = 10_000
