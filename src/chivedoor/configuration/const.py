"""Constants of the settings and of the document."""

import re
from typing import Final

DOCUMENT_FORMAT: Final = 1

# The platform's service holds values up to 1 MB.
MAX_DOCUMENT_BYTES: Final = 1_000_000

# Ids appear in metric labels, file names and log lines.
ID_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

# The header between balancers has 4 bytes for each of these numbers.
MAX_VERSION: Final = 2**32 - 1
MAX_ENDPOINT_NUMBER: Final = 2**32 - 1

MAX_PORT: Final = 65_535
MAX_WEIGHT: Final = 10_000

# Limits beyond these values are typing errors: the planned deployment has
# 4,000 connections and 4 slots per endpoint and 44,000 new flows per second.
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

# Year 2286; a larger number is a time in milliseconds.
MAX_WALL_CLOCK_S: Final = 9_999_999_999

# The console computes and drops reservations by its own clock; a balancer whose
# clock differs by less than this accepts the document.
RESERVATION_CLOCK_TOLERANCE_S: Final = 60

# A longer list does not help an operator and floods the log.
MAX_FAULTS_IN_MESSAGE: Final = 50

# A peer that missed more versions pulls the whole document.
MAX_STORED_DIFFERENCES: Final = 32

MIN_KEY_BYTES: Final = 16

# The target is 4 KB/s today and 21 KB/s in the planned deployment; a value in
# KB instead of bytes is refused.
MIN_CONTROL_BYTES_PER_S: Final = 1_000
MAX_CONTROL_BYTES_PER_S: Final = 100_000_000
MAX_FLOWS: Final = 16_000_000
