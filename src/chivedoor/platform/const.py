"""Constants of the platform's packet and store formats."""

from typing import Final

from chivedoor.feed import records

HEADER_BYTES: Final = 32

FLAG_OPEN: Final = 128
FLAG_FINISH: Final = 64
FLAG_RESET: Final = 16

# Prefixes of the keys of each feed.
FEED_PREFIXES: Final = {
    records.Feed.ENDPOINTS: "servers/",
    records.Feed.CONFIGURATION: "op/",
}

# Limit for a response of the store. A configuration has at most 1 MiB, which
# with base64 and the surrounding page stays below this.
MAX_BODY_BYTES: Final = 4 * 1024 * 1024

# Header of all responses of the store: how often it was restored from a copy.
ERA_HEADER: Final = b"store-era"
MAX_ERA_DIGITS: Final = 18
