"""Constants of the telemetry package."""

from typing import Final

# With about 300 bytes for each JSON line, a full queue holds about 3 MB.
LOG_QUEUE_EVENTS: Final = 10_000
# Rate and burst for each event type. Unauthenticated clients can trigger
# some of the events at will.
LOG_RATE_PER_S: Final = 10.0
LOG_BURST_EVENTS: Final = 50
# A writer blocked on a full pipe must not delay the shutdown for longer.
LOG_CLOSE_TIMEOUT_S: Final = 2.0

METRIC_PREFIX: Final = "chivedoor_"
METRICS_PATH: Final = "/metrics"
# Maximum number of series for each metric; more are refused. This limits the
# effect of a bug that creates too many label values. Labels that a scraper adds
# cannot be limited here.
MAX_METRIC_SERIES: Final = 256
