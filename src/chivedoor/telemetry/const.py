"""Constants of the telemetry package."""

from typing import Final

# A JSON line has about 300 bytes, so a full queue holds about 3 MB.
LOG_QUEUE_EVENTS: Final = 10_000
# Events of one type; strangers can cause some of them at will.
LOG_RATE_PER_S: Final = 10.0
LOG_BURST_EVENTS: Final = 50
# A writer that hangs on a full pipe must not hold up the end of the daemon.
LOG_CLOSE_TIMEOUT_S: Final = 2.0

METRIC_PREFIX: Final = "chivedoor_"
METRICS_PATH: Final = "/metrics"
# A scraper that names a label of its own cannot be stopped, but a fault here
# can: more series than this for one metric are refused.
METRIC_MAX_SERIES: Final = 256
