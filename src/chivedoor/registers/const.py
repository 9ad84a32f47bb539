"""Constants of the registers package."""

from typing import Final

TOPIC_PREFIX: Final = "domain/"
# Exceeds the number of failure domains of any planned deployment (4).
MAX_DOMAINS: Final = 64
MAX_DOMAIN_BYTES: Final = 56
COUNTER_LIMIT: Final = 1 << 53
