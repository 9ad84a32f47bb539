"""Constants of the registers package."""

from typing import Final

TOPIC_PREFIX: Final = "domain/"
# More failure domains than any planned deployment has (4).
MAX_DOMAINS: Final = 64
MAX_DOMAIN_BYTES: Final = 56
COUNTER_LIMIT: Final = 1 << 53
