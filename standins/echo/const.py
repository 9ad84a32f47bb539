"""Constants of the platform's protocol, from its specification."""

from typing import Final

# Maximum payload of a packet.
PAYLOAD_BYTES: Final = 1200
# Maximum number of unacknowledged packets of each end.
WINDOW_PACKETS: Final = 16
# Each end acknowledges every second data packet.
PACKETS_PER_ACKNOWLEDGEMENT: Final = 2
# The retransmission timeout starts at 200 ms and doubles up to 1.6 s.
RETRANSMISSION_FIRST_S: Final = 0.2
RETRANSMISSION_LIMIT_S: Final = 1.6
# An endpoint closes a flow after this many retransmissions.
ENDPOINT_RETRANSMISSIONS: Final = 8
# Times at which an opening packet is sent again, and the timeout of the
# attempt, all measured from the first opening packet.
OPENING_COPY_TIMES_S: Final = (0.2, 0.6)
OPENING_TIMEOUT_S: Final = 1.4
# Maximum number of attempts for one request.
REQUEST_ATTEMPTS: Final = 3

# Routers probe the readiness of each balancer twice per second and remove it
# from rotation after two failed probes.
READINESS_INTERVAL_S: Final = 0.5
READINESS_FAILURES: Final = 2
READINESS_TIMEOUT_S: Final = 0.4
READINESS_PATH: Final = "/v1/readiness"
