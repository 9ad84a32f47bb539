"""Constants of the package."""

from typing import Final

# The tag is the 32-bit field that both ends of a flow echo.
TAG_BITS: Final = 32
# 4,600 endpoints of the planned size share 20 bits with about ten collisions,
# which the check bits resolve.
ENDPOINT_BITS: Final = 20
CHECK_BITS: Final = TAG_BITS - ENDPOINT_BITS
CHECK_MASK: Final = (1 << CHECK_BITS) - 1
ENDPOINT_MASK: Final = (1 << ENDPOINT_BITS) - 1

# The fabric closes flows after 60 s; tags of removed endpoints are known for
# longer, so that every flow of theirs can be answered with a reset.
REMOVED_ENDPOINT_RETENTION_S: Final = 90.0
# Entries that lapsed while the store was away return within 2 s of its return
# (platform's statement); one more half second covers the delivery.
LAPSED_ENTRY_RETURN_S: Final = 2.5

# A caller repeats its SYN after 200 ms and 600 ms and gives up after 1.4 s.
HANDSHAKE_LIFETIME_S: Final = 1.5
# A caller whose handshake is neither answered nor repeated in this time was
# refused by its endpoint; the first repetition is due after 200 ms.
HANDSHAKE_RETRY_TIMEOUT_S: Final = 0.25
# A balancer that stood still for this long does not judge what it missed.
HANDSHAKE_CHECK_MAX_AGE_S: Final = 1.0
# Two of the callers' repetitions fall into this time.
SUSPICION_DURATION_S: Final = 2.0
# A request is not counted as in flight for longer than this; callers' time
# limits on the known sites are 2.5 s to 11 s.
REQUEST_LIFETIME_S: Final = 5.0
# Flows without a packet for this long leave the table; callers' idle timeout
# on the known sites is 15 s.
FLOW_IDLE_S: Final = 20.0
MAX_FLOWS: Final = 200_000

# Penalty of an endpoint in another failure domain, in parts of a full target.
# Flows elsewhere break or wait when the domains are cut off from each other,
# so the own targets are used until each of their slots has a request waiting.
REMOTE_DOMAIN_PENALTY: Final = 1.0
# An endpoint whose entry may only have lapsed is used when the listed ones
# have a request more for each slot.
LAPSED_PENALTY: Final = 1.0
# An endpoint under suspicion is used only when all others are as well.
SUSPICION_PENALTY: Final = 100.0
# So is one in a domain in which several left handshakes unanswered.
SUSPECT_DOMAIN_PENALTY: Final = 50.0
SUSPECT_DOMAIN_MIN_ENDPOINTS: Final = 2
# What others suspect is used before what this balancer suspects itself.
REPORTED_SUSPICION_PENALTY: Final = 10.0
# Reports come every 0.2 s to 0.5 s; a suspicion that is not repeated ends.
REPORTED_SUSPICION_LIFETIME_S: Final = 1.2
# Load reports of other balancers older than this are not used.
LOAD_REPORT_LIFETIME_S: Final = 1.5
# An endpoint counts as unreachable after this many flows with a repeated
# packet, of which one is a handshake. With one packet in forty lost, one
# handshake in twenty stays unanswered, and four in a row without any progress
# are one in 160,000.
UNREACHABLE_MIN_FLOWS: Final = 4
# In a large domain a balancer sees a flow of an endpoint every few seconds, so
# that its requests say little; only handshakes count there.
UNREACHABLE_MIN_HANDSHAKES_LARGE_DOMAIN: Final = 6
# Callers repeat data after 200, 600 and 1,400 ms.
RETRANSMISSION_LIFETIME_S: Final = 1.5
# An endpoint whose requests take five times their time still ends several a
# second before each balancer of a small domain.
NO_PROGRESS_S: Final = 1.0
# An endpoint whose requests wait gets one new flow after this time without
# progress, at most once an interval, to see whether it answers a handshake.
# Its caller repeats the handshake after 200 ms and is then placed elsewhere.
PROBE_NO_PROGRESS_S: Final = 0.4
PROBE_INTERVAL_S: Final = 1.0
# Entries of endpoints that are gone disappear within this time on the known
# sites; an endpoint that is still listed is tried again after it.
UNREACHABLE_DURATION_S: Final = 4.0
# Callers repeat an opening packet after 200 ms. One that arrives sooner after
# the first one waited with it while this balancer stood still.
OPENING_RETRANSMISSION_MIN_S: Final = 0.1

# More endpoints than this are sampled instead of compared one by one.
MAX_COMPARED_ENDPOINTS: Final = 24

# Balancers of all failure domains that may open flows to one cold endpoint.
# Each holds a bucket of one flow, so that together they stay below the fixed
# allowance of five, with one to spare while two views of a domain differ.
WARMUP_HOLDERS: Final = 4
