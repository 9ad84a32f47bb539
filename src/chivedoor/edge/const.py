"""Constants of the edge balancer."""

import signal
from typing import Final

HANDLED_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE: Final = "CHIVEDOOR_NODE_FILE"

# Minimum time to keep serving after a stop request. The fabric removes a
# balancer after two failed readiness probes, sent twice a second; one more
# probe interval covers the delay of a probe.
DRAIN_MIN_S: Final = 1.5
# Part of the grace period reserved for closing before the SIGKILL.
SHUTDOWN_RESERVE_S: Final = 1.0

# Maximum age of the last confirmation for the view to count as current. It
# covers one waiting read with its timeout margin and leaves room for one retry.
VIEW_MAX_AGE_S: Final = 2.0

# A balancer whose view is older than this, while another one of its domain
# reads the store, reports itself as unready until its view is younger than
# `VIEW_MAX_AGE_S` again. The fabric removes it within a second, so that its
# callers reach balancers with a newer view within the 5 s in which a
# configuration has to be in force in large domains.
BEHIND_VIEW_AGE_S: Final = 3.0

TICK_INTERVAL_S: Final = 0.25
EXPIRY_INTERVAL_TICKS: Final = 4

# HTTP connections without a complete request for this long are closed.
HTTP_IDLE_TIMEOUT_S: Final = 10.0
HTTP_MAX_CONNECTIONS: Final = 64
HTTP_MAX_TARGET_BYTES: Final = 1024

# Limits of the log buffer. A line has about 300 bytes, so about half a
# megabyte is held while the pipe is not read.
LOG_BUFFER_LINES: Final = 2_000
LOG_BUFFER_BYTES: Final = 512 * 1024
# Rate and burst for each event type. A line costs about 20 us, so one event
# type takes less than half a percent of a core.
LOG_RATE_PER_S: Final = 200.0
LOG_BURST_LINES: Final = 400

# A stopping balancer ends before its grace period does when it received no
# packet for this long; callers retransmit an unanswered packet after 200 ms.
DRAIN_QUIET_S: Final = 0.5
DRAIN_CHECK_INTERVAL_S: Final = 0.1

# Connection attempts before an endpoint counts as silent, and the time from one
# attempt to the next, or to the end. An answer takes one round trip, some 10 ms
# between the failure domains of the known deployments.
CONTACT_ATTEMPTS: Final = 2
CONTACT_ATTEMPT_INTERVAL_S: Final = 0.2

READINESS_PATH: Final = "/v1/readiness"
METRICS_PATH: Final = "/metrics"
STATE_PATH: Final = "/state"
EXPLANATION_PATH: Final = "/explain"

# Packets queued for longer than this before the first view are dropped:
# callers give up a handshake after 1.4 s.
START_QUEUE_MAX_AGE_S: Final = 1.2
# Delay before a new balancer takes its share of the rates of cold endpoints.
# By then it has received several heartbeats from each of the others.
SETTLING_DELAY_S: Final = 2.0
