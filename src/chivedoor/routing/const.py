"""Constants of the routing package."""

from typing import Final

BUCKETS_PER_ENDPOINT: Final = 512
MAX_BUCKETS: Final = 4096

# A bucket count that is not shared evenly shows as imbalance of targets, so
# no endpoint is the first choice of more than this multiple of its share.
BUCKET_SHARE_CAP: Final = 1.02

# A new flow visits the owners of at most this many endpoints, which bounds
# its hops between balancers.
MAX_CANDIDATES: Final = 3

# Tables kept after their generation; each takes up to 32 KB.
TABLE_CACHE_SIZE: Final = 64

# Columns of scores that are kept; each takes up to 32 KB.
SCORE_CACHE_SIZE: Final = 128

# Separate seeds keep the ranking of endpoints independent of the flow hash.
FLOW_HASH_SEED: Final = 0x43484956
ENDPOINT_HASH_SEED: Final = 0x454E4450
OWNER_HASH_SEED: Final = 0x4F574E52
GENERATION_HASH_SEED: Final = 0x47454E52
