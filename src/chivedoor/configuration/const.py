"""Constants of the settings and of the document."""

import re
from typing import Final

DOCUMENT_FORMAT: Final = 1

# The platform's configuration service stores values of up to 1 MB.
MAX_DOCUMENT_BYTES: Final = 1_000_000

# Ids are used in metric labels, file names and log lines.
ID_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

# Both are 4-byte fields in the header of packets between balancers.
MAX_VERSION: Final = 2**32 - 1
MAX_ENDPOINT_NUMBER: Final = 2**32 - 1

MAX_PORT: Final = 65_535
MAX_WEIGHT: Final = 10_000

# Values outside these limits are probably typing errors and are rejected. The
# planned deployment has 4,000 connections and 4 slots per endpoint and 44,000
# new flows per second.
MAX_CONNECTIONS: Final = 1_000_000
MAX_SLOTS: Final = 1_000_000
MAX_RAMP_INITIAL: Final = 1_000_000
MAX_RAMP_STEP_S: Final = 3_600
MAX_REQUEST_DEADLINE_S: Final = 3_600
MAX_DRAIN_DEADLINE_S: Final = 7 * 86_400
MAX_IDLE_TIMEOUT_S: Final = 7 * 86_400
MAX_FLOW_RATE_PER_S: Final = 10_000_000
MAX_PRIORITY: Final = 100
MIN_DURATION_S: Final = 0.01
MIN_REUSE_DELAY_S: Final = 1
MAX_REUSE_DELAY_S: Final = 30 * 86_400

# In the year 2286; a larger number is a time in milliseconds.
MAX_WALL_CLOCK_S: Final = 9_999_999_999

# The console that writes documents sets and drops reservations by its own
# clock. A balancer accepts them if the two clocks differ by less than this.
RESERVATION_CLOCK_TOLERANCE_S: Final = 60

# Longer lists do not help operators and flood the log.
MAX_FAULTS_IN_MESSAGE: Final = 50

# A peer that missed more versions requests the whole document.
MAX_STORED_DIFFERENCES: Final = 32

MIN_KEY_BYTES: Final = 16

# The budget is 4 KB/s today and 21 KB/s in the planned deployment. The minimum
# rejects values given in KB instead of bytes.
MIN_CONTROL_BYTES_PER_S: Final = 1_000
MAX_CONTROL_BYTES_PER_S: Final = 100_000_000
MAX_FLOWS: Final = 16_000_000
