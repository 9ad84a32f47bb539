"""Constants of the package."""

import signal
from typing import Final

HANDLED_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

# Names the INI file of a process.
SETTINGS_VARIABLE: Final = "CHIVEDOOR_NODE_FILE"

# The fabric takes a balancer out after two missed readiness probes, sent
# twice a second; one more probe interval covers the delay of a probe.
DRAIN_MIN_S: Final = 1.5
# Time kept for closing before the platform's SIGKILL.
SHUTDOWN_RESERVE_S: Final = 1.0

# The view counts as current while a read was confirmed within this time:
# one waiting read and its slack, with room for one retry.
VIEW_MAX_AGE_S: Final = 2.0

TICK_INTERVAL_S: Final = 0.25
EXPIRY_INTERVAL_TICKS: Final = 4

# A connection from outside that sends no complete request is closed.
HTTP_IDLE_TIMEOUT_S: Final = 10.0
HTTP_MAX_CONNECTIONS: Final = 64
HTTP_MAX_TARGET_BYTES: Final = 1024

# About 300 bytes a line; half a megabyte while nobody reads the pipe.
LOG_BUFFER_LINES: Final = 2_000
LOG_BUFFER_BYTES: Final = 512 * 1024
# Lines of one kind a second, and at once. A line costs about 20 us, so that
# one kind takes under half a percent of a core.
LOG_RATE_PER_S: Final = 200.0
LOG_BURST_LINES: Final = 400

# A loop that did not run for this long is reported: it is four ticks.
PAUSE_THRESHOLD_S: Final = 1.0
# A balancer that is being stopped ends early once no packet came for this
# long; callers repeat an unanswered packet after 200 ms.
DRAIN_QUIET_S: Final = 0.5
DRAIN_CHECK_INTERVAL_S: Final = 0.1

READINESS_PATH: Final = "/v1/readiness"
METRICS_PATH: Final = "/metrics"
STATE_PATH: Final = "/state"

# Packets that waited longer than this for the first view are dropped: callers
# give up a handshake after 1.4 s.
START_QUEUE_MAX_AGE_S: Final = 1.2
# A new balancer counts itself as a holder of cold endpoints' rates only after
# this time, in which the others have greeted it several times.
SETTLING_DELAY_S: Final = 2.0
