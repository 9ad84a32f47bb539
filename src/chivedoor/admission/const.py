"""Constants of the admission of new flows."""

from typing import Final

# The ramp's token bucket holds this part of a second's flows, so that a loop
# turn of up to 100 ms does not lower the rate.
RAMP_BURST_S: Final = 0.1

# A single lost packet must not take a target out of service; three failures
# in a row without any success between them do.
BAD_FAILURE_THRESHOLD: Final = 3
GOOD_SUCCESS_THRESHOLD: Final = 3

TRIAL_BACKOFF_S: Final = 1.0
MAX_TRIAL_BACKOFF_S: Final = 60.0
# Spreads the trials of different owners, which see a common failure at once.
TRIAL_JITTER: Final = 0.25
# A trial whose outcome nobody reports counts as failed after this time. It is
# longer than the first three retransmissions of a SYN (1 s, 2 s and 4 s).
TRIAL_TIMEOUT_S: Final = 10.0

SLOW_HANDSHAKE_FACTOR: Final = 4.0
# Handshakes below this duration are never slow: queues on busy but healthy
# VMs cause such delays. With 20 ms, 334 of 1,618 flows of a steady run on a
# busy machine met a target that only looked cold.
MIN_SLOW_HANDSHAKE_S: Final = 0.1
COLD_SLOW_HANDSHAKE_THRESHOLD: Final = 3
# Handshakes that one stall of a balancer or of the network delayed together
# count as one. Without this, 1,715 of 3,512 decisions of a run without a cold
# target were "cold".
MIN_SLOW_HANDSHAKE_SPACING_S: Final = 1.0
MIN_BASELINE_HANDSHAKES: Final = 8
BASELINE_WEIGHT: Final = 1 / 16
# Slow handshakes also move the baseline, so that a lasting change of the
# network is learned and does not keep the target cold for ever.
SLOW_BASELINE_WEIGHT: Final = 1 / 64

# Applications close some flows with RST. A restarted target resets all flows
# that send, so a restart shows as a large share of resets in a short time.
RESET_WINDOW_S: Final = 2.0
COLD_RESET_SHARE: Final = 1 / 8

# The largest share of a service's endpoints that may be ejected.
MAX_EJECTED_SHARE: Final = 1 / 2

DIGEST_BYTES: Final = 16
# About 100 bytes each: 64 digests for each of 10,000 flows take 64 MB.
MAX_PAYLOADS_PER_FLOW: Final = 64
MAX_PAYLOADS: Final = 500_000

RATE_INTERVAL_S: Final = 0.25
RATE_BURST_S: Final = 0.1
