"""Constants of the balancer package."""

from typing import Final

# Packets forwarded this many times are dropped, so that balancers with
# different views of the fleet cannot forward them in a loop.
MAX_HOPS: Final = 6

# One owner and one replica.
OWNERS_PER_TARGET: Final = 2

# Time without overrides before mode `DIRECT` is announced. Without it, the
# mode of a target at its limit would change with each flow.
DIRECT_MODE_DELAY_S: Final = 3.0

# Flow keys in one reply to a pull, about 3 KB of CBOR.
PULL_BATCH_SIZE: Final = 256

# Default limit of the flow records of all targets of a balancer.
MAX_FLOWS: Final = 400_000

# Exceeds the number of members in the planned fleet, including their former
# incarnations.
FINGERPRINT_CACHE_SIZE: Final = 4096

# Limit of new flows per second at one balancer, over all services. It leaves
# processing time for established flows during a flood.
MAX_NEW_FLOWS_PER_S: Final = 4000.0

# Data that arrives again after this time went unacknowledged through several
# transmissions: a caller retransmits after 1 s at first (RFC 6298) and doubles
# the interval each time.
MIN_REPEAT_AGE_S: Final = 2.0

# Minimum time from the first suspicion to the abort of a flow, so that a short
# link outage does not break flows.
MIN_SILENCE_S: Final = 10.0

# Time for which an observer waits for a packet from the target before it
# replies to the owner.
OBSERVATION_REPLY_DELAY_S: Final = 5.0

# Exceeds the intervals between a caller's first eight transmissions. A flow
# whose caller waited longer is suspected anew.
OBSERVATION_TIMEOUT_S: Final = 60.0

# Time before a dismissed flow may be suspected again. Observers forward the
# flow's data to the owner until their observation ends, whether or not it is
# repeated data, so this exceeds the observation timeout.
DISMISSAL_DURATION_S: Final = OBSERVATION_TIMEOUT_S + 10.0

# Difference that two clocks may build up during an observation.
MAX_CLOCK_DRIFT_S: Final = 0.1

# Flows whose last data one receiver stores, about 200 bytes each. This covers
# the present 40,000 open connections; a flood evicts the oldest entries.
MAX_TRACKED_FLOWS: Final = 1 << 16
MAX_OBSERVED_FLOWS: Final = 1024
MAX_SUSPICIONS: Final = 256
MAX_DISMISSALS: Final = 4096

# Payload size of keep-alive and zero-window probes.
MAX_PROBE_BYTES: Final = 1
