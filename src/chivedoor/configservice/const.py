"""Constants of the platform client."""

from typing import Final

# The service ends a watch after this time. Together with the response timeout
# it is less than the 8 s in which a document must take effect, so that a
# connection that went silent delays a document by one watch only.
WATCH_WAIT_S: Final = 4.0

# The service responds within milliseconds; the rest is for a loaded network.
RESPONSE_TIMEOUT_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 1.0

# At the cap, 830 balancers that start make about 280 calls per second, and the
# service supports about 2,000. The cap is short because a document must take
# effect within 8 s after the service is available again.
BACKOFF_INITIAL_S: Final = 0.25
BACKOFF_CAP_S: Final = 4.0
BACKOFF_FACTOR: Final = 2.0

# Jitter multiplies a delay by a random factor between this and 1.
MIN_JITTER_FACTOR: Final = 0.5

# The service stores values of up to 1 MB.
MAX_BODY_BYTES: Final = 1_000_000

VERSION_HEADER: Final = "X-Version"
MAX_VERSION_DIGITS: Final = 10
