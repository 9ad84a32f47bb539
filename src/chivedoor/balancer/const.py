"""Constants of the balancer package."""

from typing import Final

# A packet that moved between balancers this often is dropped, so that
# different views of the fleet cannot make it circulate.
MAX_HOPS: Final = 6

# Owner and replica of a target.
OWNERS_PER_TARGET: Final = 2

# A mode `DIRECT` is announced only after this time without overrides, so
# that a target at its limit does not make its mode change with each flow.
DIRECT_MODE_DELAY_S: Final = 3.0

# Flow keys in one reply to a pull; about 3 KB of CBOR.
PULL_BATCH_SIZE: Final = 256

# Flow records of all targets of a balancer, when the settings give no limit.
MAX_FLOWS: Final = 400_000

# More than the members of the planned fleet, with their former lives.
FINGERPRINT_CACHE_SIZE: Final = 4096

# New flows a second that one balancer takes over all services, so that a
# flood leaves time for the packets of established flows.
MAX_NEW_FLOWS_PER_S: Final = 4000.0

# A caller repeats unacknowledged data after 1 s at first (RFC 6298) and then
# with doubled pauses; data that arrives again after this time was not
# acknowledged in several attempts.
MIN_REPEAT_AGE_S: Final = 2.0

# A flow is not ended before the owner knew of its silence for this long, so
# that a short outage of a link breaks no flow.
MIN_SILENCE_S: Final = 10.0

# How long a balancer looks for a packet of the target before it replies.
OBSERVATION_REPLY_DELAY_S: Final = 5.0

# A caller's first eight attempts are each less than this apart. One that has
# waited longer is suspected again.
OBSERVATION_TIMEOUT_S: Final = 60.0

# A flow whose target was seen is not checked again for this long. Observers
# pass its data to the owner until their observation ends, and that data need
# not be repeated data.
DISMISSAL_DURATION_S: Final = OBSERVATION_TIMEOUT_S + 10.0

# Difference of two clocks over the time of an observation.
MAX_CLOCK_DRIFT_S: Final = 0.1

# Last data of flows at one receiver, about 200 bytes each. Today's 40,000
# open connections fit; a flood pushes out the oldest.
MAX_TRACKED_FLOWS: Final = 1 << 16
MAX_OBSERVED_FLOWS: Final = 1024
MAX_SUSPICIONS: Final = 256
MAX_DISMISSALS: Final = 4096

# Payload of keep-alive and zero-window probes.
MAX_PROBE_BYTES: Final = 1
