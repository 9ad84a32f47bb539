"""Constants of the platform's client."""

from typing import Final

# A watch ends by itself after this time. Together with the timeout it stays
# under the 8 s in which a document must be in force, so that a connection that
# went silent delays a document by one watch only.
WATCH_WAIT_S: Final = 4.0

# The service answers in milliseconds; the rest is for a loaded network.
RESPONSE_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 1.0

# 830 newcomers at the cap make about 280 calls per second, and the service
# supports about 2,000. The cap is short because a document has to be in force
# 8 s after the service returns.
BACKOFF_INITIAL_S: Final = 0.25
BACKOFF_CAP_S: Final = 4.0
BACKOFF_FACTOR: Final = 2.0

# Shortest part of a delay that jitter leaves.
MIN_JITTER_FACTOR: Final = 0.5

# The service holds values up to 1 MB.
MAX_BODY_BYTES: Final = 1_000_000

VERSION_HEADER: Final = "X-Version"
MAX_VERSION_DIGITS: Final = 10
