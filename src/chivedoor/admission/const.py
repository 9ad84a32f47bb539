"""Constants of the admission of new flows."""

from typing import Final

# Capacity of the ramp's token bucket, in seconds at the current level. With
# it, event loop iterations of up to 100 ms do not lower the admitted rate.
RAMP_BURST_S: Final = 0.1

# Number of consecutive failures after which a target is `BAD`. A single lost
# packet must not take a target out of service.
BAD_FAILURE_THRESHOLD: Final = 3
GOOD_SUCCESS_THRESHOLD: Final = 3

TRIAL_BACKOFF_S: Final = 1.0
MAX_TRIAL_BACKOFF_S: Final = 60.0
# Relative jitter of the backoff. It spreads the trials of owners that detect
# the same failure simultaneously.
TRIAL_JITTER: Final = 0.25
# A trial without a reported outcome counts as failed after this time. It
# is longer than the first three SYN retransmissions take (1 s, 2 s and 4 s).
TRIAL_TIMEOUT_S: Final = 10.0

SLOW_HANDSHAKE_FACTOR: Final = 4.0
# Shorter handshakes never count as slow, because queueing on busy but healthy
# VMs causes such delays. At 20 ms, 334 of 1,618 flows of a steady run on a busy
# machine reached a target that was wrongly classified as cold.
MIN_SLOW_HANDSHAKE_S: Final = 0.1
COLD_SLOW_HANDSHAKE_THRESHOLD: Final = 3
# Slow handshakes within this time count once, since a single stall of the
# balancer or the network delays many at a time. Without this limit, 1,715 of
# 3,512 decisions of a run without a cold target were "cold".
MIN_SLOW_HANDSHAKE_SPACING_S: Final = 1.0
MIN_BASELINE_HANDSHAKES: Final = 8
BASELINE_WEIGHT: Final = 1 / 16
# Slow handshakes also update the baseline, so that it adapts to a permanent
# change of network latency and the target does not stay cold forever.
SLOW_BASELINE_WEIGHT: Final = 1 / 64

# Applications close some flows with RST. A restarted target resets every flow
# that sends data, so a restart causes a large share of resets in a short time.
RESET_WINDOW_S: Final = 2.0
COLD_RESET_SHARE: Final = 1 / 8

# Maximum share of a service's endpoints that may be ejected.
MAX_EJECTED_SHARE: Final = 1 / 2

DIGEST_BYTES: Final = 16
# A stored digest takes about 100 bytes: 64 digests for each of 10,000 flows
# take 64 MB.
MAX_PAYLOADS_PER_FLOW: Final = 64
MAX_PAYLOADS: Final = 500_000

# Interval at which the demand of the services is measured and their fair rates
# are computed.
RATE_INTERVAL_S: Final = 0.25
# Capacity of a token bucket, in seconds at its rate; at least one flow.
RATE_BURST_S: Final = 0.1
