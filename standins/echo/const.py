"""Constants of the platform's protocol, as its pages state them."""

from typing import Final

# A packet carries at most this much data.
PAYLOAD_BYTES: Final = 1200
# Packets in flight from each end.
WINDOW_PACKETS: Final = 16
# Each end acknowledges every second packet.
PACKETS_PER_ACKNOWLEDGEMENT: Final = 2
# A missing packet is repeated after 200 ms, then twice as late up to 1.6 s.
RETRANSMISSION_FIRST_S: Final = 0.2
RETRANSMISSION_LIMIT_S: Final = 1.6
# An endpoint gives up after this many repetitions.
ENDPOINT_RETRANSMISSIONS: Final = 8
# Copies of an opening packet, counted from the first one, and the end of the
# attempt.
OPENING_COPY_TIMES_S: Final = (0.2, 0.6)
OPENING_TIMEOUT_S: Final = 1.4
# Attempts of one request.
REQUEST_ATTEMPTS: Final = 3

# Routers ask each balancer for its readiness twice a second and take it out
# after two misses.
READINESS_INTERVAL_S: Final = 0.5
READINESS_FAILURES: Final = 2
READINESS_TIMEOUT_S: Final = 0.4
READINESS_PATH: Final = "/v1/readiness"
